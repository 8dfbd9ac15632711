#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "redwingwheel/errors.h"

namespace redwingwheel::wire {

/// An IP number and a TCP port.
struct address {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
};

/// Reads "IP:PORT"; IPv6 numbers stand in brackets. Errors: InvalidArgument with what is allowed.
[[nodiscard]] absl::StatusOr<address> parse_address(std::string_view text);

/// The form that parse_address reads.
[[nodiscard]] std::string to_string(const address& of);

} // namespace redwingwheel::wire
