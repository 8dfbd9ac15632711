#include "redwingwheel/address.h"

#include <fmt/format.h>

namespace redwingwheel::wire {

absl::StatusOr<address> parse_address(std::string_view text)
{
    const std::optional<address> parsed = redwingwheel::parse_address(text);
    if (!parsed.has_value() || parsed->port == 0) {
        return absl::InvalidArgumentError(
            fmt::format("address {}: allowed IP:PORT with a port from 1 to 65535", text));
    }
    return *parsed;
}

std::string to_string(const address& value)
{
    return value.text();
}

} // namespace redwingwheel::wire
