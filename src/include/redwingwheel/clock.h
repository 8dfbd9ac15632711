#pragma once

#include <chrono>
#include <ctime>
#include <functional>

/// Time as the decision code sees it: a steady clock that is passed in, so that daemons, tests and
/// replays run the same code.
namespace redwingwheel {

/// A steady clock that also counts time in which the machine is suspended. A permit, lease or
/// deadline that ran out during a suspension must have expired when the process goes on;
/// std::chrono::steady_clock stands still meanwhile.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept
    {
        timespec read{};
        clock_gettime(CLOCK_BOOTTIME, &read);
        return time_point(std::chrono::seconds(read.tv_sec) +
                          std::chrono::nanoseconds(read.tv_nsec));
    }
};

using steady_time = boot_clock::time_point;
using std::chrono::milliseconds;

/// Returns the present time of this process's steady clock.
using clock_function = std::function<steady_time()>;

/// The real steady clock.
[[nodiscard]] inline clock_function system_clock_function()
{
    return [] { return boot_clock::now(); };
}

/// A clock that moves only when told, for tests and replays. Outlives the functions it hands out.
class manual_clock {
public:
    [[nodiscard]] steady_time now() const { return this->current; }
    void advance(std::chrono::nanoseconds by) { this->current += by; }
    void advance_to(steady_time to)
    {
        if (to > this->current) {
            this->current = to;
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
