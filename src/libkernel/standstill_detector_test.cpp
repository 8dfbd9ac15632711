#include "redwingwheel/standstill_detector.h"

#include <catch2/catch.hpp>

using namespace redwingwheel;

// Failure: a request that arrived while the process was frozen counts as new, and is carried out
// after its client has withdrawn it.
TEST_CASE("what is read right after a standstill may be as old as the standstill")
{
    manual_clock time;
    std::function<void()> tick;
    const kernel::standstill_detector detector(
        time.function(),
        [&tick](milliseconds, std::function<void()> work) { tick = std::move(work); });
    const auto run_for = [&time, &tick](milliseconds duration) {
        for (milliseconds passed{0}; passed < duration; passed += milliseconds(100)) {
            time.advance(milliseconds(100));
            tick();
        }
    };
    run_for(milliseconds(2000));
    CHECK(detector.max_waiting_time() == milliseconds(0));

    time.advance(milliseconds(7000));
    CHECK(detector.max_waiting_time() == milliseconds(7000));
    tick();
    CHECK(detector.max_waiting_time() == milliseconds(7000));
    run_for(milliseconds(900));
    CHECK(detector.max_waiting_time() == milliseconds(7900));
    run_for(milliseconds(200));
    CHECK(detector.max_waiting_time() == milliseconds(0));

    // Short gaps occur in a busy process.
    time.advance(milliseconds(400));
    CHECK(detector.max_waiting_time() == milliseconds(0));
}
