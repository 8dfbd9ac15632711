#pragma once

#include <chrono>
#include <ctime>
#include <functional>

/// Steady time and injectable clocks. Code that decides by time gets its clock as a parameter, so
/// that daemons, tests and replays run the same code.
namespace redwingwheel {

/// A steady clock that also counts the time while the machine is suspended. A permit, lease or
/// deadline that ends during a suspension must have expired when the process resumes;
/// std::chrono::steady_clock does not advance during a suspension.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept
    {
        timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) +
                          std::chrono::nanoseconds(value.tv_nsec));
    }
};

using steady_time = boot_clock::time_point;
using std::chrono::milliseconds;

/// Returns the current time of the clock that a component uses.
using clock_function = std::function<steady_time()>;

/// A clock_function that reads boot_clock.
[[nodiscard]] inline clock_function boot_clock_function()
{
    return [] { return boot_clock::now(); };
}

/// Time for which the machine has been awake. Unlike boot_clock it stands still during a
/// suspension, as the steady clocks of the other processes on the machine do.
using awake_time = std::chrono::steady_clock::time_point;
using awake_clock_function = std::function<awake_time()>;

/// An awake_clock_function that reads std::chrono::steady_clock.
[[nodiscard]] inline awake_clock_function steady_clock_function()
{
    return [] { return std::chrono::steady_clock::now(); };
}

/// A clock that advances only on request, for tests and replays. Must outlive its function().
class manual_clock {
public:
    [[nodiscard]] steady_time now() const { return this->current; }
    void advance(std::chrono::nanoseconds duration) { this->current += duration; }
    void advance_to(steady_time target)
    {
        if (target > this->current) {
            this->current = target;
        }
    }
    [[nodiscard]] clock_function function()
    {
        return [this] { return this->current; };
    }

private:
    steady_time current = steady_time() + std::chrono::hours(1);
};

/// Whole milliseconds from `now` until `deadline`; 0 when it has passed.
[[nodiscard]] inline milliseconds remaining_until(steady_time deadline, steady_time now)
{
    if (deadline <= now) {
        return milliseconds(0);
    }
    return std::chrono::duration_cast<milliseconds>(deadline - now);
}

} // namespace redwingwheel
