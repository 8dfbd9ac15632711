#pragma once

#include <cstddef>

namespace redwingwheel {

/// Returns the number of connections that a listener accepts: at most `configured`, and at most
/// `share`, between 0 and 1, of the descriptors that the process may open; at least 1.
[[nodiscard]] std::size_t connections_within(std::size_t configured, double share);

} // namespace redwingwheel
