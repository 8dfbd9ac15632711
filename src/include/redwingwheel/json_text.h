#pragma once

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "redwingwheel/errors.h"

/// Reading and writing of JSON from outside this process: calls, answers of backend servers and
/// workers, files.
namespace redwingwheel::json_text {

/// Most arrays and objects that may contain each other. Documents of this project nest less than
/// ten levels. Copying and writing a value recurse once per level, so without a limit a caller
/// could overflow the stack.
inline constexpr std::size_t max_depth = 64;

enum class json_errc {
    malformed = 1, ///< Not one JSON value in valid UTF-8, or a number out of range.
    too_deep,      ///< Nested deeper than `max_depth`.
    too_many,      ///< More values than the caller of `parse` allows.
};

[[nodiscard]] constexpr std::string_view error_layer(json_errc)
{
    return "json";
}
[[nodiscard]] std::string_view error_name(json_errc code);
[[nodiscard]] absl::StatusCode error_category(json_errc code);

/// Returns the largest number of arrays and objects of `text` that contain each other; 0 for a
/// value that is neither. Reads brackets only, in linear time and without a tree. At least the
/// depth at which a parser would find a syntax error when `text` is malformed.
[[nodiscard]] std::size_t nesting_depth(std::string_view text);

/// Reads the one JSON value of `text`. Of duplicate keys the last one counts. A tree takes up to 50
/// times the memory of its text, about 100 bytes for each value, so that callers limit the commas
/// between the values where the text may be large. Errors: json_errc.
[[nodiscard]] absl::StatusOr<nlohmann::json>
parse(std::string_view text, std::size_t max_separators = std::numeric_limits<std::size_t>::max());

/// Why `parse` refuses a text, as the parts of a line or answer about a bad value.
struct refusal {
    std::string found;
    std::string allowed;
};
[[nodiscard]] refusal describe_refusal(std::string_view text);

/// Writes `value` on one line. Bytes that are not UTF-8 are written as U+FFFD. `value` must not
/// nest deeper than a few levels more than `max_depth`.
[[nodiscard]] std::string dump(const nlohmann::json& value);

} // namespace redwingwheel::json_text
