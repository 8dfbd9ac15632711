#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include "redwingwheel/clock.h"

namespace redwingwheel::kernel {

/// The one thread that owns a process's control state. Other threads post work to it; everything
/// posted runs in order, never at the same time as other control work.
class control_loop {
public:
    using task = std::function<void()>;

    control_loop();
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Starts the thread. Work posted before is kept and runs then.
    void start();

    /// Ends the thread after the task that is running; what is still queued is dropped.
    void stop();

    /// Queues `work`; may be called from any thread.
    void post(task work);

    /// Runs `work` once at `deadline` or soon after; may be called from any thread.
    void run_at(steady_time deadline, task work);

    /// Runs `work` every `period`, the first time after one period, until the loop stops.
    void run_every(milliseconds period, task work);

    /// True on the control thread itself.
    [[nodiscard]] bool on_control_thread() const;

    /// Runs `work` on the control thread and waits for its end. Not for the control thread itself.
    void run_and_wait(const task& work);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace redwingwheel::kernel
