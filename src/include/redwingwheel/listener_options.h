#pragma once

#include <string_view>

#include "redwingwheel/http_server.h"
#include "redwingwheel/metrics.h"
#include "redwingwheel/settings.h"

namespace redwingwheel::http {

/// Returns the options of a listener with the limits of the settings. Connections that are closed
/// for a limit are counted in `connections_limited_total` by `listener` and cause. `counters` must
/// outlive the server.
[[nodiscard]] server_options listener_options(const config::limit_settings& limits,
                                              std::string_view listener,
                                              metrics::registry& counters);

/// As listener_options(), for a listener of which only health checks and tools make use: small
/// requests on few connections.
[[nodiscard]] server_options small_listener_options(const config::limit_settings& limits,
                                                    std::string_view listener,
                                                    metrics::registry& counters);

} // namespace redwingwheel::http
