#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include "redwingwheel/clock.h"

namespace redwingwheel::kernel {

/// The thread that owns the control state of a process. Other threads post work to it; posted work
/// runs in order and never concurrently with other control work.
class control_loop {
public:
    using task = std::function<void()>;

    control_loop();
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Starts the thread, which first runs the work that is already queued. Call once.
    void start();

    /// Stops and joins the thread after the task that is running; drops all queued work.
    void stop();

    /// Queues `work`; may be called from any thread.
    void post(task work);

    /// Runs `work` once, not before `deadline`; may be called from any thread.
    void run_at(steady_time deadline, task work);

    /// Runs `work` repeatedly until the loop stops, first after one `period`, then one `period`
    /// after each run has ended.
    void run_every(milliseconds period, task work);

    /// True when called on the control thread.
    [[nodiscard]] bool on_control_thread() const;

    /// Runs `work` on the control thread and waits until it has returned. The loop must be running;
    /// a call from the control thread itself deadlocks.
    void run_and_wait(const task& work);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace redwingwheel::kernel
