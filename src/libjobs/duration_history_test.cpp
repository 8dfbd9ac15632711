#include <catch2/catch.hpp>

#include "redwingwheel/duration_history.h"

using namespace redwingwheel::jobs;

// Failure: a handful of runs overrules what the caller declared.
TEST_CASE("the declared duration stands until there are enough runs")
{
    duration_history history;
    for (int run = 0; run < 4; ++run) {
        history.add(1000, 9000.0);
    }
    CHECK(history.predict_ms(1000) == Approx(1000.0));
    history.add(1000, 9000.0);
    CHECK(history.predict_ms(1000) > 8000.0);
}

// Failure: declared durations that are right are thrown away for the queue's mean.
TEST_CASE("declared durations that were right so far are believed")
{
    duration_history history;
    for (const int took : {1000, 2000, 4000, 8000, 16000}) {
        history.add(took, took);
    }
    CHECK(history.predict_ms(500) == Approx(500.0));
    CHECK(history.predict_ms(30'000) == Approx(30'000.0));
}

// Failure: a declared duration that is ten times off decides what is evicted and when a run ends.
TEST_CASE("declared durations that are far off are pulled to the mean of the queue")
{
    duration_history history;
    for (const int declared : {300, 20'000, 700, 9000, 1200, 15'000}) {
        history.add(declared, 2500.0);
    }
    CHECK(history.predict_ms(200) == Approx(2500.0).margin(100.0));
    CHECK(history.predict_ms(20'000) == Approx(2500.0).margin(100.0));
}
