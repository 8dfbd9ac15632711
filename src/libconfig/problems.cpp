#include "redwingwheel/problems.h"

#include <absl/status/statusor.h>
#include <absl/strings/cord.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "redwingwheel/errors.h"
#include "redwingwheel/packing.h"
#include "redwingwheel/printable.h"

namespace redwingwheel::config {

namespace {

constexpr absl::string_view problems_payload = "redwingwheel/config/problems";
/// A document of another kind would give a line for each of its keys.
constexpr std::size_t max_problems = 100;

} // namespace

std::string_view error_layer(config_errc)
{
    return "config";
}

std::string_view error_name(config_errc code)
{
    switch (code) {
    case config_errc::bad_input:
        return "bad_input";
    case config_errc::unknown_revision:
        return "unknown_revision";
    case config_errc::bad_snapshot:
        return "bad_snapshot";
    }
    return "unknown";
}

absl::StatusCode error_category(config_errc code)
{
    return code == config_errc::unknown_revision ? absl::StatusCode::kOutOfRange
                                                 : absl::StatusCode::kInvalidArgument;
}

std::string to_line(const problem& found)
{
    return fmt::format("{}: {}: value {}: allowed {}", found.file, found.field, found.value,
                       found.allowed);
}

nlohmann::json to_json(const problem& found)
{
    return {{"file", found.file},
            {"field", found.field},
            {"value", found.value},
            {"allowed", found.allowed}};
}

void problem_list::add(std::string_view field, std::string_view value, std::string_view allowed)
{
    if (this->problems.size() >= max_problems) {
        return;
    }
    this->problems.push_back(
        problem{printable(this->file), printable(field), printable(value), std::string(allowed)});
}

absl::Status problem_list::status() const
{
    if (this->problems.empty()) {
        return absl::OkStatus();
    }
    std::string text;
    for (const problem& found : this->problems) {
        text += (text.empty() ? "" : "\n") + to_line(found);
    }
    absl::Status status = make_error(config_errc::bad_input, text);
    status.SetPayload(problems_payload, absl::Cord(pack(this->problems)));
    return status;
}

std::vector<problem> problems_of(const absl::Status& status)
{
    const absl::optional<absl::Cord> payload = status.GetPayload(problems_payload);
    if (!payload.has_value()) {
        return {};
    }
    absl::StatusOr<std::vector<problem>> problems =
        unpack<std::vector<problem>>(std::string(*payload));
    return problems.ok() ? *std::move(problems) : std::vector<problem>();
}

std::vector<std::string> problem_lines(const absl::Status& status)
{
    std::vector<std::string> lines;
    for (const problem& found : problems_of(status)) {
        lines.push_back(to_line(found));
    }
    if (lines.empty() && !status.ok()) {
        lines.push_back(errors::message_of(status));
    }
    return lines;
}

} // namespace redwingwheel::config
