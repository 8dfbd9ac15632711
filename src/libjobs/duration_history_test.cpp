#include <catch2/catch.hpp>

#include "redwingwheel/duration_history.h"

using namespace redwingwheel::jobs;

// Failure: too few runs override the declared duration.
TEST_CASE("the declared duration is returned until there are enough runs")
{
    duration_history history;
    for (int run = 0; run < 4; ++run) {
        history.add(1000, 9000.0);
    }
    CHECK(history.predict_ms(1000) == Approx(1000.0));
    history.add(1000, 9000.0);
    CHECK(history.predict_ms(1000) > 8000.0);
}

// Failure: accurate declared durations are replaced by the mean of the queue.
TEST_CASE("declared durations are returned when they were accurate so far")
{
    duration_history history;
    for (const int took : {1000, 2000, 4000, 8000, 16000}) {
        history.add(took, took);
    }
    CHECK(history.predict_ms(500) == Approx(500.0));
    CHECK(history.predict_ms(30'000) == Approx(30'000.0));
}

// Failure: a declared duration that is wrong by a factor of ten determines what is evicted.
TEST_CASE("inaccurate declared durations are corrected towards the mean of the queue")
{
    duration_history history;
    for (const int declared : {300, 20'000, 700, 9000, 1200, 15'000}) {
        history.add(declared, 2500.0);
    }
    CHECK(history.predict_ms(200) == Approx(2500.0).margin(100.0));
    CHECK(history.predict_ms(20'000) == Approx(2500.0).margin(100.0));
}
