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

/// Remote procedure calls between daemons over authenticated connections. Concurrent calls share a
/// connection.
namespace redwingwheel::wire {

/// Receives the body of the reply, or the error.
using reply_function = std::function<void(absl::StatusOr<std::string>)>;

/// A request as a server received it.
struct incoming_request {
    /// Message type; see frame::kind.
    std::uint16_t kind = 0;
    std::string body;
    /// Deadline of the call, on the clock of this process.
    steady_time deadline;
};

/// Called on the traffic thread. May store `reply` and call it later from any thread, at most once.
using request_handler = std::function<void(incoming_request, reply_function reply)>;

struct rpc_options {
    /// A connection that has received nothing for this long sends a probe, and repeats it at this
    /// interval.
    milliseconds probe_interval{500};
    /// A connection that has received nothing for this long is closed; also the limit of an attempt
    /// to connect.
    milliseconds receive_timeout{2000};
    /// Upper limit of the random backoff between attempts to connect.
    milliseconds max_reconnect_wait{1000};
    /// A server closes accepted connections over this number at once.
    std::size_t max_connections = 8192;
};

/// Counters since the server or client was created.
struct rpc_statistics {
    /// Accepted connections, before authentication.
    std::uint64_t accepted = 0;
    std::uint64_t refused_unauthenticated = 0;
    std::uint64_t closed_bad_frame = 0;
    std::uint64_t closed_receive_timeout = 0;
    /// Replies that arrived after their call had ended.
    std::uint64_t late_replies = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

/// Accepts connections from other daemons and passes their requests to a handler.
class rpc_server {
public:
    /// Client and server prove to each other that they have `secret`. `handler` is called on the
    /// traffic thread.
    rpc_server(kernel::traffic_loop& loop, std::string_view secret, const rpc_options& options,
               request_handler handler);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// Opens the port. Call before the traffic loop starts, or from another thread than its own.
    /// Errors: listen_failed.
    [[nodiscard]] absl::Status listen(const address& on);

    /// Closes the port and all connections. Waits up to a second for the traffic thread to do so;
    /// not to be called on that thread.
    void stop();

    [[nodiscard]] rpc_statistics statistics() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

/// Maintains one connection to another daemon. Connects on the first call. After the connection or
/// an attempt to connect has failed, calls fail with not_sent until the backoff has ended; the next
/// call connects again.
class rpc_client {
public:
    rpc_client(kernel::traffic_loop& loop, const address& to, std::string_view secret,
               const rpc_options& options);
    ~rpc_client();
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    /// Sends a request. `done` is called once, on the traffic thread, at `deadline` at the latest.
    /// Errors: not_sent, lost_after_send, deadline_exceeded, rejected.
    void call(std::uint16_t kind, std::string body, steady_time deadline, reply_function done);

    [[nodiscard]] const address& remote() const;
    [[nodiscard]] rpc_statistics statistics() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace redwingwheel::wire
