#pragma once

#include <functional>
#include <mutex>
#include <optional>

#include "redwingwheel/clock.h"

namespace redwingwheel::kernel {

/// Notices when the process has stood still: it was stopped, or its host was suspended. What it
/// reads right after that may have been sent long before, by a peer that has given up since.
/// Thread-safe.
class standstill_detector {
public:
    /// Calls a function after each `period`; see control_loop::run_every.
    using run_every_function = std::function<void(milliseconds period, std::function<void()>)>;

    /// `clock` must count the time for which the host is suspended.
    standstill_detector(clock_function clock, const run_every_function& run_every);
    standstill_detector(const standstill_detector&) = delete;
    standstill_detector& operator=(const standstill_detector&) = delete;

    /// Upper limit for the time that a message which is read now has waited because of a
    /// standstill; 0 when there was none lately.
    [[nodiscard]] milliseconds max_waiting_time() const;

private:
    struct interval {
        steady_time begin;
        steady_time end;
    };

    void tick();

    clock_function clock;
    mutable std::mutex lock;
    steady_time last_tick;
    std::optional<interval> last_standstill;
};

} // namespace redwingwheel::kernel
