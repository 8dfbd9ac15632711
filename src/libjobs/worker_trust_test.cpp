#include <catch2/catch.hpp>

#include "scheduler_world.h"

using namespace redwingwheel::jobs;
using redwingwheel::milliseconds;
using redwingwheel::steady_time;

namespace {

constexpr milliseconds suspect_duration{4000};
constexpr steady_time start{std::chrono::hours(1)};

} // namespace

// Failure: eight runs that fail together keep a worker out eight times as long as one.
TEST_CASE("runs that fail together cause one suspicion", "[trust]")
{
    worker_trust trust;
    for (int run = 0; run < 8; ++run) {
        trust.record_failure(start, start + milliseconds(100 * run + 500), suspect_duration);
    }
    const steady_time second_failure = start + milliseconds(600);
    CHECK(trust.is_suspect(second_failure + suspect_duration - milliseconds(1)));
    CHECK_FALSE(trust.is_suspect(second_failure + suspect_duration));
    CHECK(trust.is_on_trial(second_failure + suspect_duration));
}

TEST_CASE("a trial ends with a success or with progress, and a failure in it is a suspicion",
          "[trust]")
{
    worker_trust trust;
    trust.record_failure(start, start, suspect_duration, 2);
    const steady_time trial = trust.trial_since();
    trust.record_progress(start);
    CHECK(trust.is_on_trial(trial));
    trust.record_failure(trial, trial + milliseconds(100), suspect_duration);
    CHECK(trust.is_suspect(trial + milliseconds(200)));
    trust.record_progress(trust.trial_since());
    CHECK_FALSE(trust.is_on_trial(trust.trial_since()));
}

// Load: the only worker of a kind fails a job of eight tasks and is sound again. Failure: it gets
// no work for half a minute, and a job that needs it waits beside idle resources.
TEST_CASE("a worker that is sound again is tried with one run and then used", "[trust]")
{
    scheduler_world w;
    for (const char* const id : {"a", "b", "c"}) {
        w.add_worker(id, "r1");
    }
    w.workers["a"].labels.emplace_back("rare");
    w.report("a");
    step_definition step;
    step.tasks = 8;
    step.per_task = {1000, 1000, 1};
    step.estimate_ms = 5000;
    step.required_label = "rare";
    w.submit_step("failing", "batch", step);
    w.decide();
    for (std::uint32_t index = 0; index < 8; ++index) {
        w.end_run({{"failing", 0, 0, index}, 1}, run_outcome::failed);
    }
    w.state.apply(cancel_job{"failing", w.unix_ms, ""});
    w.submit_step("next", "batch", step);
    w.decide();
    CHECK(w.workers_of("next").empty());
    w.advance_time(milliseconds(4100));
    w.report("a");
    REQUIRE(w.decide().assignments.size() == 1);
    const std::vector<run_progress> running{{{{"next", 0, 0, 0}, 1}, "", 0}};
    w.report("a", running);
    CHECK(w.decide().assignments.empty());
    w.report("a", {{{{"next", 0, 0, 0}, 1}, "", 15}});
    REQUIRE(w.decide().assignments.size() == 1);
    CHECK(w.state.runs_on(w.workers["a"].incarnation).size() == 8);
}
