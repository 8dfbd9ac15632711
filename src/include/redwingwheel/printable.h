#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace redwingwheel {

/// Longer values say no more about what is wrong and could fill a log.
inline constexpr std::size_t max_shown_bytes = 80;

/// A value from outside as one short word of a log line, an answer or a message: at most
/// `max_bytes` of it, followed by "..." when it is longer. Control characters and bytes above 0x7e
/// are shown as '?'.
[[nodiscard]] std::string printable(std::string_view text, std::size_t max_bytes = max_shown_bytes);

} // namespace redwingwheel
