#include <random>

#include <catch2/catch.hpp>

#include "redwingwheel/duration_model.h"
#include "redwingwheel/packing.h"

using namespace redwingwheel::jobs;

namespace {

run_kind batch(std::int64_t declared_ms, std::string_view account = "a")
{
    return {"batch", account, declared_ms, 1, false};
}

} // namespace

// Failure: a new deployment has no predictions.
TEST_CASE("without samples the declared duration is expected", "[durations]")
{
    const duration_model model;
    CHECK(model.predict(batch(8000)).median_ms == Approx(8000).epsilon(0.01));
    CHECK(model.predict(batch(8000)).upper_ms > 9000);
    CHECK(model.slowdown("host") == 1.0);
}

// Failure: callers who declare ten times too much, or any figure at all, are planned by that.
TEST_CASE("declared durations count by how right they were", "[durations]")
{
    duration_model wrong_by_ten;
    duration_model arbitrary;
    std::mt19937 random(7);
    for (int run = 0; run < 60; ++run) {
        const std::int64_t took = 1000 + static_cast<std::int64_t>(random() % 9000);
        wrong_by_ten.record(batch(took * 10), took, "host", true);
        arbitrary.record(batch(100 + static_cast<std::int64_t>(random() % 50'000)), 3000, "host",
                         true);
    }
    CHECK(wrong_by_ten.predict(batch(50'000)).median_ms == Approx(5000).epsilon(0.1));
    CHECK(wrong_by_ten.predict(batch(20'000)).median_ms == Approx(2000).epsilon(0.1));
    CHECK(arbitrary.predict(batch(50'000)).median_ms == Approx(3000).epsilon(0.1));
}

// Failure: accurate declared durations are replaced by the mean of the queue.
TEST_CASE("declared durations are expected when they were accurate so far", "[durations]")
{
    duration_model model;
    for (int run = 0; run < 8; ++run) {
        for (const int took : {1000, 2000, 4000, 8000, 16000}) {
            model.record(batch(took), took, "host", true);
        }
    }
    CHECK(model.predict(batch(500)).median_ms == Approx(500).epsilon(0.05));
    CHECK(model.predict(batch(30'000)).median_ms == Approx(30'000).epsilon(0.05));
}

// Failure: an account or shape with few runs gets a figure from a single one of them.
TEST_CASE("a group with few samples leans on the coarser one", "[durations]")
{
    duration_model model;
    for (int run = 0; run < 40; ++run) {
        model.record(batch(0, "many"), 4000, "host", true);
    }
    model.record(batch(0, "few"), 64'000, "host", true);
    CHECK(model.predict(batch(0, "few")).median_ms < 12'000);
    CHECK(model.predict(batch(0, "none")).median_ms < 6000);
    for (int run = 0; run < 40; ++run) {
        model.record(batch(0, "few"), 64'000, "host", true);
    }
    CHECK(model.predict(batch(0, "few")).median_ms == Approx(64'000).epsilon(0.2));
    CHECK(model.predict(batch(0, "many")).median_ms == Approx(4000).epsilon(0.5));
}

// Failure: after the work has changed, the old durations are expected for hours.
TEST_CASE("predictions follow a shift", "[durations]")
{
    duration_model model;
    for (int run = 0; run < 1000; ++run) {
        model.record(batch(0), 2000, "host", true);
    }
    for (int run = 0; run < 100; ++run) {
        model.record(batch(0), 16'000, "host", true);
    }
    CHECK(model.predict(batch(0)).median_ms > 12'000);
}

// Failure: runs that are stopped for taking long are missing, and the rest looks short.
TEST_CASE("a run that was cut short counts as at least that long", "[durations]")
{
    duration_model model;
    for (int run = 0; run < 10; ++run) {
        model.record(batch(0), 2000, "host", true);
    }
    model.record_cut_short(batch(0), 500, "host");
    CHECK(model.predict(batch(0)).median_ms == Approx(2000).epsilon(0.05));
    for (int run = 0; run < 20; ++run) {
        model.record_cut_short(batch(0), 20'000, "host");
    }
    CHECK(model.predict(batch(0)).median_ms > 6000);
}

// Load: one worker in four takes twice as long. Failure: the others are not told from it, or their
// kinds of work are taken for slow ones.
TEST_CASE("slow hosts are told from slow kinds of work", "[durations]")
{
    duration_model model;
    std::mt19937 random(11);
    std::lognormal_distribution<double> spread(0.0, 0.3);
    for (int run = 0; run < 400; ++run) {
        const std::string host = "h" + std::to_string(run % 8);
        const double pace = run % 4 == 0 ? 2.2 : 1.0;
        const bool is_long = random() % 2 == 0;
        const run_kind kind{is_long ? "long" : "short", "a", 0, 1, false};
        model.record(kind,
                     static_cast<std::int64_t>(pace * spread(random) * (is_long ? 9000 : 900)),
                     host, true);
    }
    CHECK(model.slowdown("h0") / model.slowdown("h1") == Approx(2.2).epsilon(0.25));
    CHECK(model.slowdown("h4") / model.slowdown("h6") == Approx(2.2).epsilon(0.25));
    CHECK(model.slowdown("h5") / model.slowdown("h6") == Approx(1.0).epsilon(0.25));
}

// Failure: accounts without end fill the memory of every replica.
TEST_CASE("the model is bounded and survives a snapshot", "[durations]")
{
    duration_model model;
    for (int account = 0; account < 6000; ++account) {
        model.record(batch(0, std::to_string(account)), 3000, "h" + std::to_string(account), true);
    }
    const std::string packed = redwingwheel::pack(model);
    CHECK(packed.size() < 1'000'000);
    const absl::StatusOr<duration_model> restored = redwingwheel::unpack<duration_model>(packed);
    REQUIRE(restored.ok());
    CHECK(restored->predict(batch(0)).median_ms == model.predict(batch(0)).median_ms);
    CHECK(redwingwheel::pack(*restored) == packed);
}
