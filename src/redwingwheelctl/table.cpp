#include "table.h"

#include <algorithm>
#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace redwingwheel::ctl {

std::string plain_text(const nlohmann::json& value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_array()) {
        std::string text;
        for (const nlohmann::json& item : value) {
            text += (text.empty() ? "" : ",") + plain_text(item);
        }
        return text;
    }
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string text_of(const nlohmann::json& object, std::string_view key)
{
    if (!object.is_object()) {
        return "-";
    }
    const auto found = object.find(std::string(key));
    const std::string text = found == object.end() ? "" : plain_text(*found);
    return text.empty() ? "-" : text;
}

nlohmann::json list_of(const nlohmann::json& object, std::string_view key)
{
    if (object.is_object()) {
        const auto found = object.find(std::string(key));
        if (found != object.end() && found->is_array()) {
            return *found;
        }
    }
    return nlohmann::json::array();
}

void print_table(std::ostream& out, const std::vector<std::string_view>& columns,
                 const nlohmann::json& rows)
{
    std::vector<std::size_t> widths;
    for (const std::string_view column : columns) {
        std::size_t width = column.size();
        for (const nlohmann::json& row : rows) {
            width = std::max(width, text_of(row, column).size());
        }
        widths.push_back(width);
    }
    std::vector<std::string> lines(1);
    for (std::size_t index = 0; index < columns.size(); ++index) {
        lines[0] += fmt::format("{:<{}}  ", columns[index], widths[index]);
    }
    for (const nlohmann::json& row : rows) {
        lines.emplace_back();
        for (std::size_t index = 0; index < columns.size(); ++index) {
            lines.back() += fmt::format("{:<{}}  ", text_of(row, columns[index]), widths[index]);
        }
    }
    for (std::string& line : lines) {
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace redwingwheel::ctl
