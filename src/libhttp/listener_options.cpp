#include "redwingwheel/listener_options.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>

namespace redwingwheel::http {

namespace {

/// Shares of the descriptors of a process. A gateway has one listener for callers, one for
/// operators and two small ones, beside the one for other processes, and keeps an eighth for its
/// own files and connections.
constexpr double listener_share = 0.25;
constexpr double small_listener_share = 0.0625;
constexpr std::size_t small_max_connections = 256;
constexpr std::size_t small_max_request_bytes = std::size_t{64} * 1024;
constexpr std::size_t small_max_unfinished_bytes = std::size_t{1024} * 1024;

} // namespace

server_options listener_options(const config::limit_settings& limits, std::string_view listener,
                                metrics::registry& counters)
{
    server_options options;
    options.max_connections = limits.connections;
    options.descriptor_share = listener_share;
    options.max_unfinished_bytes = std::size_t{limits.unfinished_kb} * 1024;
    options.max_stall = limits.stall;
    options.max_request_time = limits.request;
    options.on_limit = [&counters, name = std::string(listener)](std::string_view cause) {
        counters.add("connections_limited_total",
                     fmt::format("listener=\"{}\",cause=\"{}\"", name, cause));
    };
    return options;
}

server_options small_listener_options(const config::limit_settings& limits,
                                      std::string_view listener, metrics::registry& counters)
{
    server_options options = listener_options(limits, listener, counters);
    options.threads = 1;
    options.max_connections = std::min(options.max_connections, small_max_connections);
    options.descriptor_share = small_listener_share;
    options.max_request_bytes = small_max_request_bytes;
    options.max_unfinished_bytes = small_max_unfinished_bytes;
    return options;
}

} // namespace redwingwheel::http
