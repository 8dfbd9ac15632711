#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "redwingwheel/boot_timer.h"

/// Sends responses that may not fit into the send buffer of a connection. Pistache busy-waits until
/// such a response is sent, and its other connections wait as long.
namespace redwingwheel::http {

/// The thread that sends the large responses of one server. It starts with the first of them.
class response_writer_loop {
public:
    response_writer_loop() = default;
    ~response_writer_loop();
    response_writer_loop(const response_writer_loop&) = delete;
    response_writer_loop& operator=(const response_writer_loop&) = delete;

    /// Thread-safe only among callers that hold the same lock. Not to be called after stop().
    boost::asio::io_context& context();

    /// Ends the thread. Responses that are not sent completely are dropped.
    void stop();

private:
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work =
        boost::asio::make_work_guard(this->io);
    std::thread thread;
};

/// Sends responses over one connection, in the order of the calls.
class response_writer : public std::enable_shared_from_this<response_writer> {
public:
    /// `descriptor` is that of the connection; it is duplicated, so that the connection may be
    /// closed and its descriptor reused meanwhile. A client that takes no further bytes for 20 s is
    /// disconnected.
    response_writer(boost::asio::io_context& loop, int descriptor);
    ~response_writer();
    response_writer(const response_writer&) = delete;
    response_writer& operator=(const response_writer&) = delete;

    /// Sends `bytes` and then calls `done` on the thread of the loop, with false when the
    /// connection failed.
    void send(std::string bytes, std::function<void(bool sent)> done);
    /// True when everything has been sent or the connection has failed.
    [[nodiscard]] bool idle() const { return this->unsent == 0; }

private:
    struct response {
        std::string bytes;
        std::function<void(bool sent)> done;
    };

    void write_some();
    void start_timer();
    void finish_front(bool sent);

    boost::asio::ip::tcp::socket socket;
    boot_timer progress_timer;
    std::deque<response> queue;
    std::size_t offset = 0; ///< Bytes of the first response that have been sent.
    bool failed = false;
    std::atomic<std::size_t> unsent{0};
};

} // namespace redwingwheel::http
