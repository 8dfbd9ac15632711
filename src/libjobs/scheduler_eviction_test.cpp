#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

} // namespace

// Failure: a guaranteed job waits for runs of other accounts that use its guaranteed accelerators.
TEST_CASE("guaranteed work evicts the runs with the least lost work")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r2");
    w.submit("long", "batch", 1, 8, false, false, "other");
    w.decide();
    w.advance_time(milliseconds(3000));
    w.report("a");
    w.report("b");
    w.submit("short", "batch", 1, 8, false, false, "other");
    w.decide();
    w.advance_time(milliseconds(100));
    w.submit("urgent", "urgent", 1, 8);
    const schedule made = w.decide();
    REQUIRE(made.evictions.size() == 1);
    CHECK(made.evictions[0].run.task.job == "short");
    CHECK_FALSE(w.decisions.should_run(made.evictions[0].run));
    // The freed resources go to the urgent job, not to another ordinary one.
    w.submit("third", "batch", 1, 8, false, false, "other");
    w.end_run(made.evictions[0].run, run_outcome::stopped);
    w.decide();
    CHECK(w.workers_of("urgent").size() == 1);
    CHECK(w.workers_of("third").empty());
}

// Failure: urgent work beyond the guarantee evicts runs that have done more work than it needs.
TEST_CASE("urgent work beyond the guarantee evicts only within the eviction limit")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("batch", "batch", 1, 8);
    w.decide();
    w.advance_time(milliseconds(5500));
    w.report("a");
    w.submit("urgent", "urgent", 1, 8, false, false, "other");
    CHECK(w.decide().evictions.empty());
    w.end_run({{"batch", 0, 0, 0}, 1}, run_outcome::done);
    w.submit("young", "batch", 1, 8);
    w.state.apply(cancel_job{"urgent", w.unix_ms});
    w.decide();
    w.advance_time(milliseconds(1000));
    w.report("a");
    w.submit("second", "urgent", 1, 8, false, false, "other");
    CHECK(w.decide().evictions.size() == 1);
}

// Failure: resources that were freed by an eviction go to a later job of the same urgency, and more
// runs are evicted for the first job.
TEST_CASE("resources freed for an urgent step go to no other step of its urgency")
{
    world w;
    const run_id borrower = w.add_worker_with_borrower();
    w.submit("first", "urgent", 1, 8, false, false, "other");
    REQUIRE(w.decide().evictions.size() == 1);
    w.advance_time(milliseconds(200));
    // The objective of the second job is earlier than that of the first.
    w.submit("second", "urgent", 1, 8, false, false, "other", 1000);
    w.end_run(borrower, run_outcome::stopped);
    const schedule made = w.decide();
    REQUIRE(made.assignments.size() == 1);
    CHECK(made.assignments.front().runs.front().run.task.job == "first");
}

// Failure: a job beyond its account's guarantee delays guaranteed work of another account.
TEST_CASE("resources freed for a step beyond a guarantee may go to guaranteed work")
{
    world w;
    const run_id borrower = w.add_worker_with_borrower();
    w.submit("beyond", "urgent", 1, 8, false, false, "other");
    REQUIRE(w.decide().evictions.size() == 1);
    w.advance_time(milliseconds(200));
    w.submit("owner", "urgent", 1, 8);
    w.end_run(borrower, run_outcome::stopped);
    const schedule made = w.decide();
    REQUIRE(made.assignments.size() == 1);
    CHECK(made.assignments.front().runs.front().run.task.job == "owner");
}

// Failure: an urgent job waits for a run whose declared duration is far too short.
TEST_CASE("the declared duration of a run does not protect it from eviction")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("short", "batch", 1, 8, false, false, "key", 200);
    w.decide();
    const run_id run{{"short", 0, 0, 0}, 1};
    w.report("a", {{run, "", 0}});
    w.advance_time(milliseconds(100));
    w.report("a", {{run, "", 1}});
    w.submit("claim", "urgent", 1, 8);
    REQUIRE(w.decide().evictions.size() == 1);
}

// Failure: a run is evicted although it would have ended just as soon.
TEST_CASE("a run that is about to end is not evicted, others are")
{
    for (const std::uint32_t percent : {94U, 50U}) {
        world w;
        w.add_worker("a", "r1");
        w.submit("borrower", "batch", 1, 8, false, false, "other");
        w.decide();
        const run_id borrower{{"borrower", 0, 0, 0}, 1};
        w.report("a", {{borrower, "", 0}});
        w.advance_time(milliseconds(50) * percent);
        w.report("a", {{borrower, "", percent}});
        w.submit("owner", "urgent", 1, 8);
        const schedule made = w.decide();
        CHECK(made.evictions.empty() == (percent == 94));
        CHECK(w.decide().assignments.empty());
    }
}

// Failure: small tasks that are submitted later take freed resources one by one and starve a gang.
TEST_CASE("resources are reserved for a gang that has waited long")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("first", "batch", 16, 1);
    w.decide();
    w.submit("gang", "batch", 2, 8, true);
    w.advance_time(milliseconds(2000));
    w.report("a");
    w.report("b");
    w.submit("later", "batch", 4, 1);
    for (std::uint32_t index = 0; index < 16; ++index) {
        CHECK(w.decide().evictions.empty());
        CHECK(w.workers_of("later").empty());
        w.end_run({{"first", 0, 0, index}, 1}, run_outcome::done);
    }
    w.decide();
    CHECK(w.workers_of("gang").size() == 2);
}
