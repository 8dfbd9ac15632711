#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwingwheel {

/// An IP address and a port.
struct socket_address {
    std::string ip; ///< IPv4, or IPv6 without brackets.
    std::uint16_t port = 0;

    /// Formats as "IP:port", with brackets around an IPv6 address.
    [[nodiscard]] std::string text() const;
};

/// Parses "IP:port" or "[IPv6]:port" with a port from 0 to 65535; empty for any other text. Host
/// names are not resolved.
[[nodiscard]] std::optional<socket_address> parse_address(std::string_view text);

} // namespace redwingwheel
