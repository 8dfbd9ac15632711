#include "redwingwheel/json_text.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::json_text {

std::string_view error_name(json_errc code)
{
    return code == json_errc::too_deep ? "too deep" : "malformed";
}

absl::StatusCode error_category(json_errc code)
{
    static_cast<void>(code);
    return absl::StatusCode::kInvalidArgument;
}

std::size_t nesting_depth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
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
            deepest = std::max(deepest, ++depth);
        }
        else if ((letter == ']' || letter == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

absl::StatusOr<nlohmann::json> parse(std::string_view text)
{
    const std::size_t depth = nesting_depth(text);
    if (depth > max_depth) {
        return make_error(json_errc::too_deep,
                          fmt::format("nested {} deep, allowed {}", depth, max_depth));
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
