#pragma once

#include <functional>
#include <memory>
#include <thread>

#include <boost/asio/io_context.hpp>

namespace redwingwheel::kernel {

/// The thread that runs the network I/O between daemons. Handlers of sockets and timers created on
/// its context run on this thread only. It owns no control state; see control_loop.
class traffic_loop {
public:
    traffic_loop() = default;
    ~traffic_loop() { this->stop(); }
    traffic_loop(const traffic_loop&) = delete;
    traffic_loop& operator=(const traffic_loop&) = delete;

    void start()
    {
        this->thread = std::thread([this] { this->io.run(); });
    }

    /// Stops and joins the thread; drops all queued work.
    void stop()
    {
        this->io.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    [[nodiscard]] boost::asio::io_context& context() { return this->io; }

private:
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard =
        boost::asio::make_work_guard(this->io);
    std::thread thread;
};

} // namespace redwingwheel::kernel
