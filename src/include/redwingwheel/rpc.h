#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "redwingwheel/address.h"
#include "redwingwheel/clock.h"
#include "redwingwheel/frame.h"
#include "redwingwheel/traffic_loop.h"

/// Calls between daemons over authenticated connections that carry many calls at once.
namespace redwingwheel::wire {

using reply_function = std::function<void(absl::StatusOr<std::string>)>;

/// A request as it reached a server.
struct incoming_request {
    std::uint16_t kind = 0;
    std::string body;
    /// When the caller stops waiting, on this process's clock.
    steady_time deadline;
};

/// Runs on the traffic thread; may keep `reply` and call it later, from any thread, once.
using request_handler = std::function<void(incoming_request, reply_function reply)>;

struct rpc_options {
    /// A connection over which nothing arrived for this long is probed.
    milliseconds probe_after{500};
    /// A connection over which nothing arrived for this long is closed and replaced.
    milliseconds abandon_after{2000};
    /// Upper bound of the wait between attempts to connect; the wait is drawn at random below it.
    milliseconds max_reconnect_wait{1000};
    std::size_t max_connections = 8192;
};

/// Counts since the start of the process.
struct rpc_statistics {
    std::uint64_t accepted = 0;
    std::uint64_t refused_unauthenticated = 0;
    std::uint64_t closed_bad_frame = 0;
    std::uint64_t closed_silent = 0;
    std::uint64_t late_replies = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

/// Listens for other daemons.
class rpc_server {
public:
    /// `secret` authenticates both sides. `handler` is called on the traffic thread.
    rpc_server(kernel::traffic_loop& loop, std::string_view secret, const rpc_options& options,
               request_handler handler);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// Opens the port; call before the traffic loop starts or from outside its thread.
    /// Errors: listen_failed.
    [[nodiscard]] absl::Status listen(const address& on);

    /// Closes the port and all connections. Waits for the traffic thread.
    void stop();

    [[nodiscard]] rpc_statistics statistics() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

/// Keeps one connection to another daemon and replaces it when it breaks or goes silent.
class rpc_client {
public:
    rpc_client(kernel::traffic_loop& loop, const address& to, std::string_view secret,
               const rpc_options& options);
    ~rpc_client();
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    /// Sends a request; `done` is called once, on the traffic thread, at `deadline` at the latest.
    /// Errors: not_sent, lost_after_send, deadline_exceeded, rejected.
    void call(std::uint16_t kind, std::string body, steady_time deadline, reply_function done);

    [[nodiscard]] const address& remote() const;
    [[nodiscard]] rpc_statistics statistics() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace redwingwheel::wire
