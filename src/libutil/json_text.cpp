#include "redwingwheel/json_text.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::json_text {

std::string_view error_name(json_errc code)
{
    switch (code) {
    case json_errc::too_deep:
        return "too deep";
    case json_errc::too_many:
        return "too many values";
    case json_errc::malformed:
        break;
    }
    return "malformed";
}

absl::StatusCode error_category(json_errc code)
{
    static_cast<void>(code);
    return absl::StatusCode::kInvalidArgument;
}

namespace {

struct extent {
    std::size_t depth = 0;      ///< Arrays and objects that contain each other.
    std::size_t separators = 0; ///< Commas outside texts.
};

/// Reads brackets and commas only, in linear time and without a tree.
extent measure(std::string_view text)
{
    extent found;
    std::size_t depth = 0;
    bool in_string = false;
    bool escaped = false;
    for (const char letter : text) {
        if (escaped) {
            escaped = false;
        }
        else if (in_string) {
            escaped = letter == '\\';
            in_string = letter != '"';
        }
        else if (letter == '"') {
            in_string = true;
        }
        else if (letter == '[' || letter == '{') {
            found.depth = std::max(found.depth, ++depth);
        }
        else if ((letter == ']' || letter == '}') && depth > 0) {
            --depth;
        }
        else if (letter == ',') {
            ++found.separators;
        }
    }
    return found;
}

} // namespace

std::size_t nesting_depth(std::string_view text)
{
    return measure(text).depth;
}

absl::StatusOr<nlohmann::json> parse(std::string_view text, std::size_t max_separators)
{
    const extent size = measure(text);
    if (size.depth > max_depth) {
        return make_error(json_errc::too_deep,
                          fmt::format("nested {} deep, allowed {}", size.depth, max_depth));
    }
    if (size.separators > max_separators) {
        return make_error(json_errc::too_many,
                          fmt::format("{} commas, allowed {}", size.separators, max_separators));
    }
    nlohmann::json value = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (value.is_discarded()) {
        return make_error(json_errc::malformed, "not one JSON value in UTF-8");
    }
    return absl::StatusOr<nlohmann::json>(std::move(value));
}

refusal describe_refusal(std::string_view text)
{
    const std::size_t depth = nesting_depth(text);
    if (depth > max_depth) {
        return {fmt::format("nested {} deep", depth),
                fmt::format("nested at most {} deep", max_depth)};
    }
    return {"(not readable)", "one JSON value in UTF-8"};
}

std::string dump(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace redwingwheel::json_text
