#include "trace_fields.h"

#include <algorithm>

#include "redwingwheel/json_text.h"

namespace redwingwheel::replay {

namespace {

// Thirty days; also keeps sums of times far from overflow.
constexpr std::uint64_t max_time_ms = 30ULL * 24 * 3600 * 1000;

constexpr std::string_view time_allowed = "a whole number of milliseconds from 0 to 2592000000";

} // namespace

trace_fields::trace_fields(std::string_view text)
{
    absl::StatusOr<nlohmann::json> read = json_text::parse(text);
    if (error_code<json_text::json_errc>(read.status()) == json_text::json_errc::too_deep) {
        const json_text::refusal why = json_text::describe_refusal(text);
        throw bad_field("line", why.found, why.allowed);
    }
    if (!read.ok() || !read->is_object()) {
        throw bad_field("line", text, "one JSON object per line");
    }
    this->line = *std::move(read);
}

const nlohmann::json* trace_fields::find(std::string_view field)
{
    this->known.emplace(field);
    const auto found = this->line.find(std::string(field));
    return found == this->line.end() ? nullptr : &*found;
}

bool trace_fields::has(std::string_view field) const
{
    return this->line.contains(std::string(field));
}

std::string trace_fields::text(std::string_view field)
{
    const nlohmann::json* const value = this->find(field);
    if (value == nullptr || !value->is_string() || value->get<std::string>().empty()) {
        throw bad_field(field, value == nullptr ? "missing" : json_text::dump(*value),
                        "a text, not empty");
    }
    return value->get<std::string>();
}

std::string trace_fields::text_or(std::string_view field, std::string_view fallback)
{
    return this->has(field) ? this->text(field) : (this->find(field), std::string(fallback));
}

std::string trace_fields::one_of(std::string_view field, const std::vector<std::string>& allowed,
                                 std::string_view fallback)
{
    if (!this->has(field) && !fallback.empty()) {
        static_cast<void>(this->find(field));
        return std::string(fallback);
    }
    const nlohmann::json* const value = this->find(field);
    const bool is_text = value != nullptr && value->is_string();
    if (!is_text ||
        std::find(allowed.begin(), allowed.end(), value->get<std::string>()) == allowed.end()) {
        throw bad_field(field, value == nullptr ? "missing" : json_text::dump(*value),
                        fmt::format("{}", fmt::join(allowed, ", ")));
    }
    return value->get<std::string>();
}

std::uint64_t trace_fields::number(std::string_view field, std::uint64_t low, std::uint64_t high)
{
    const nlohmann::json* const value = this->find(field);
    if (value == nullptr || !value->is_number_unsigned() || value->get<std::uint64_t>() < low ||
        value->get<std::uint64_t>() > high) {
        throw bad_field(field, value == nullptr ? "missing" : json_text::dump(*value),
                        fmt::format("a whole number from {} to {}", low, high));
    }
    return value->get<std::uint64_t>();
}

std::uint64_t trace_fields::number_or(std::string_view field, std::uint64_t low, std::uint64_t high,
                                      std::uint64_t fallback)
{
    return this->has(field) ? this->number(field, low, high) : (this->find(field), fallback);
}

milliseconds trace_fields::time(std::string_view field)
{
    const nlohmann::json* const value = this->find(field);
    if (value == nullptr || !value->is_number_unsigned() ||
        value->get<std::uint64_t>() > max_time_ms) {
        throw bad_field(field, value == nullptr ? "missing" : json_text::dump(*value),
                        time_allowed);
    }
    return milliseconds(value->get<std::int64_t>());
}

milliseconds trace_fields::time_or(std::string_view field, milliseconds fallback)
{
    return this->has(field) ? this->time(field) : (this->find(field), fallback);
}

double trace_fields::real(std::string_view field, double low, double high)
{
    const nlohmann::json* const value = this->find(field);
    if (value == nullptr || !value->is_number() || value->get<double>() < low ||
        value->get<double>() > high) {
        throw bad_field(field, value == nullptr ? "missing" : json_text::dump(*value),
                        fmt::format("a number from {} to {}", low, high));
    }
    return value->get<double>();
}

bool trace_fields::flag_or(std::string_view field, bool fallback)
{
    const nlohmann::json* const value = this->find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        throw bad_field(field, json_text::dump(*value), "true, false");
    }
    return value->get<bool>();
}

void trace_fields::reject_unknown() const
{
    for (const auto& [field, value] : this->line.items()) {
        if (!this->known.contains(field)) {
            throw bad_field(field, json_text::dump(value),
                            fmt::format("only the fields {}", fmt::join(this->known, ", ")));
        }
    }
}

} // namespace redwingwheel::replay
