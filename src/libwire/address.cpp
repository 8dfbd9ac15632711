#include "redwingwheel/address.h"

#include <fmt/format.h>

namespace redwingwheel::wire {

absl::StatusOr<address> parse_address(std::string_view text)
{
    const std::optional<address> read = redwingwheel::parse_address(text);
    if (!read.has_value() || read->port == 0) {
        return absl::InvalidArgumentError(
            fmt::format("address {}: allowed IP:PORT with a port from 1 to 65535", text));
    }
    return *read;
}

std::string to_string(const address& of)
{
    return of.text();
}

} // namespace redwingwheel::wire
