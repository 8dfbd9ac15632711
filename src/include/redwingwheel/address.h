#pragma once

#include <string>
#include <string_view>

#include "redwingwheel/errors.h"
#include "redwingwheel/socket_address.h"

namespace redwingwheel::wire {

using address = socket_address;

/// Parses "IP:PORT" or "[IPv6]:PORT" with a port from 1 to 65535; host names are not accepted.
/// Errors: InvalidArgument, with the accepted form in the message.
[[nodiscard]] absl::StatusOr<address> parse_address(std::string_view text);

/// Formats an address in the form that parse_address accepts.
[[nodiscard]] std::string to_string(const address& value);

} // namespace redwingwheel::wire
