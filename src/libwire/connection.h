#pragma once

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "redwingwheel/boot_timer.h"
#include <boost/asio/ip/tcp.hpp>

#include "redwingwheel/rpc.h"

namespace redwingwheel::wire {

/// The counters behind rpc_statistics; read() may be called on any thread.
struct rpc_counters {
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> refused_unauthenticated{0};
    std::atomic<std::uint64_t> closed_bad_frame{0};
    std::atomic<std::uint64_t> closed_receive_timeout{0};
    std::atomic<std::uint64_t> late_replies{0};
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};

    [[nodiscard]] rpc_statistics read() const;
};

/// A TCP connection that exchanges frames. Sends probes while it receives nothing and closes itself
/// after rpc_options::receive_timeout. Used on the traffic thread only.
class connection : public std::enable_shared_from_this<connection> {
public:
    enum class close_reason { requested, peer_closed, bad_frame, receive_timeout };

    struct event_handlers {
        /// Called for each frame except probes and their replies.
        std::function<void(frame)> received;
        /// Called when a frame was completely written to the socket.
        std::function<void(std::uint64_t correlation)> sent;
        /// Called once, by close().
        std::function<void(close_reason)> closed;
    };

    connection(boost::asio::ip::tcp::socket connected, const rpc_options& limits,
               rpc_counters& statistics);

    /// Starts to read frames and to send probes. The handlers are released when the connection
    /// closes.
    void open(event_handlers new_handlers);

    /// Closes the connection on frames with a larger length field from now on.
    void set_max_frame_bytes(std::size_t bytes) { this->max_received_bytes = bytes; }

    /// Queues a frame. Errors: bad_frame when it is over the size limit, not_sent when the
    /// connection is not open.
    absl::Status send(const frame& outgoing);

    /// Closes the socket at once; queued frames that are not written yet are dropped. No effect on
    /// a connection that is not open.
    void close(close_reason reason);

    [[nodiscard]] bool is_open() const { return this->opened; }

    /// True when a frame with this correlation is queued and its write has not started.
    [[nodiscard]] bool is_awaiting_write(std::uint64_t correlation) const;

private:
    struct outgoing_frame {
        std::uint64_t correlation;
        std::string bytes;
    };

    void read_header();
    void read_payload(std::size_t size);
    void on_payload();
    void write_next();
    void start_receive_timer();
    void on_receive_timer();

    boost::asio::ip::tcp::socket socket;
    rpc_options options;
    rpc_counters& counters;
    event_handlers handlers;
    bool opened = false;
    bool writing = false;
    steady_time probe_deadline;
    steady_time receive_deadline;
    redwingwheel::boot_timer timer;
    std::size_t max_received_bytes = max_frame_bytes;
    std::array<char, frame_header_bytes> header{};
    std::string payload;
    std::deque<outgoing_frame> queue;
};

/// Returns the digest that proves knowledge of `secret` in reply to `challenge`. `role` ("client"
/// or "server") makes the proofs of both sides different, so that a proof cannot be reflected to
/// the side that sent it.
[[nodiscard]] std::string handshake_proof(std::string_view secret, std::string_view role,
                                          std::string_view challenge);

/// Returns 16 random bytes. Throws std::runtime_error when OpenSSL has no randomness.
[[nodiscard]] std::string random_challenge();

} // namespace redwingwheel::wire
