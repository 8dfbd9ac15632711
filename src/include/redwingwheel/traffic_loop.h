#pragma once

#include <functional>
#include <memory>
#include <thread>

#include <boost/asio/io_context.hpp>

namespace redwingwheel::kernel {

/// The thread that carries the traffic between daemons. Sockets and timers made on its context run
/// their handlers on this thread only; it decides nothing.
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

    /// Ends the thread; what is still queued is dropped.
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
