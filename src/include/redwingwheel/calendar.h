#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace redwingwheel {

/// Reads a calendar date YYYY-MM-DD (UTC), years 1970 to 9999.
[[nodiscard]] std::optional<std::chrono::sys_days> parse_date(std::string_view text);

} // namespace redwingwheel
