#pragma once

#include <string>
#include <string_view>

#include "redwingwheel/errors.h"
#include "redwingwheel/socket_address.h"

namespace redwingwheel::wire {

using address = socket_address;

/// Reads "IP:PORT"; IPv6 numbers stand in brackets. Errors: InvalidArgument with what is allowed.
[[nodiscard]] absl::StatusOr<address> parse_address(std::string_view text);

/// The form that parse_address reads.
[[nodiscard]] std::string to_string(const address& of);

} // namespace redwingwheel::wire
