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

/// The counts of rpc_statistics, readable from other threads.
struct rpc_counters {
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> refused_unauthenticated{0};
    std::atomic<std::uint64_t> closed_bad_frame{0};
    std::atomic<std::uint64_t> closed_silent{0};
    std::atomic<std::uint64_t> late_replies{0};
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};

    [[nodiscard]] rpc_statistics read() const;
};

/// One TCP connection that carries frames and probes itself. Lives on the traffic thread.
class connection : public std::enable_shared_from_this<connection> {
public:
    enum class close_reason { requested, peer_closed, bad_frame, silent };

    struct hooks {
        std::function<void(frame)> received;
        /// The frame with this correlation was handed to the kernel whole.
        std::function<void(std::uint64_t correlation)> sent;
        /// Called once.
        std::function<void(close_reason)> closed;
    };

    connection(boost::asio::ip::tcp::socket connected, const rpc_options& limits,
               rpc_counters& statistics);

    /// Begins to read and probe. The hooks are released when the connection closes.
    void open(hooks callbacks);

    /// Queues a frame. A frame over the size limit is refused with bad_frame.
    absl::Status send(const frame& outgoing);

    /// Closes the connection after the frames that are queued have been written.
    void close(close_reason reason);

    [[nodiscard]] bool is_open() const { return this->opened; }

    /// True when a frame with this correlation is queued and its write has not begun.
    [[nodiscard]] bool waits_to_be_written(std::uint64_t correlation) const;

private:
    struct outgoing_frame {
        std::uint64_t correlation;
        std::string bytes;
    };

    void read_header();
    void read_payload(std::size_t size);
    void on_payload();
    void write_next();
    void watch_silence();
    void on_silence_timer();

    boost::asio::ip::tcp::socket socket;
    rpc_options options;
    rpc_counters& counters;
    hooks callbacks;
    bool opened = false;
    bool writing = false;
    steady_time probe_deadline;
    steady_time silence_deadline;
    redwingwheel::boot_timer timer;
    std::array<char, frame_header_bytes> header{};
    std::string payload;
    std::deque<outgoing_frame> queue;
};

/// Digest that a side shows to prove that it holds the secret. `role` keeps the two sides' answers
/// apart, so that one side's answer cannot be reflected to it.
[[nodiscard]] std::string prove(std::string_view secret, std::string_view role,
                                std::string_view challenge);

/// 128 random bits as text.
[[nodiscard]] std::string random_challenge();

} // namespace redwingwheel::wire
