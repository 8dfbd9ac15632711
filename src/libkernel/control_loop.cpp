#include "redwingwheel/control_loop.h"

#include <future>

#include "redwingwheel/boot_timer.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace redwingwheel::kernel {

namespace asio = boost::asio;

struct control_loop::implementation {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard =
        asio::make_work_guard(this->context);
    std::thread thread;
    std::atomic<std::thread::id> thread_id{};
};

control_loop::control_loop() : impl(std::make_unique<implementation>()) {}

control_loop::~control_loop()
{
    this->stop();
}

void control_loop::start()
{
    this->impl->thread = std::thread([this] {
        this->impl->thread_id = std::this_thread::get_id();
        this->impl->context.run();
    });
}

void control_loop::stop()
{
    this->impl->context.stop();
    if (this->impl->thread.joinable()) {
        this->impl->thread.join();
    }
}

void control_loop::post(task work)
{
    asio::post(this->impl->context, std::move(work));
}

void control_loop::run_at(steady_time deadline, task work)
{
    const auto timer = std::make_shared<redwingwheel::boot_timer>(this->impl->context, deadline);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code& error) {
        if (!error) {
            work();
        }
    });
}

void control_loop::run_every(milliseconds period, task work)
{
    this->run_at(boot_clock::now() + period, [this, period, work = std::move(work)]() mutable {
        work();
        this->run_every(period, std::move(work));
    });
}

bool control_loop::on_control_thread() const
{
    return this->impl->thread_id.load() == std::this_thread::get_id();
}

void control_loop::run_and_wait(const task& work)
{
    std::promise<void> done;
    this->post([&work, &done] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace redwingwheel::kernel
