#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

} // namespace

// Failure: an account's urgent job waits behind others' borrowed work.
TEST_CASE("guaranteed work evicts the cheapest borrowers")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r2");
    w.submit("long", "batch", 1, 8, false, false, "other");
    w.decide();
    w.pass(milliseconds(3000));
    w.report("a");
    w.report("b");
    w.submit("short", "batch", 1, 8, false, false, "other");
    w.decide();
    w.pass(milliseconds(100));
    w.submit("urgent", "urgent", 1, 8);
    const schedule made = w.decide();
    REQUIRE(made.evictions.size() == 1);
    CHECK(made.evictions[0].run.task.job == "short");
    CHECK_FALSE(w.decisions.wanted(made.evictions[0].run));
    // What is being freed goes to the urgent job, not to another borrower.
    w.submit("third", "batch", 1, 8, false, false, "other");
    w.end(made.evictions[0].run, run_outcome::stopped);
    w.decide();
    CHECK(w.workers_of("urgent").size() == 1);
    CHECK(w.workers_of("third").empty());
}

// Failure: urgent work beyond the guarantee throws away more work than it is itself.
TEST_CASE("urgent work beyond the guarantee evicts only what costs little")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("batch", "batch", 1, 8);
    w.decide();
    w.pass(milliseconds(5500));
    w.report("a");
    w.submit("urgent", "urgent", 1, 8, false, false, "other");
    CHECK(w.decide().evictions.empty());
    w.end({{"batch", 0, 0, 0}, 1}, run_outcome::done);
    w.submit("young", "batch", 1, 8);
    w.state.apply(cancel_job{"urgent", w.unix_ms});
    w.decide();
    w.pass(milliseconds(1000));
    w.report("a");
    w.submit("second", "urgent", 1, 8, false, false, "other");
    CHECK(w.decide().evictions.size() == 1);
}

// Failure: room that was freed by throwing work away goes to a job of the same urgency that came
// later, and more work is thrown away for the first.
TEST_CASE("room that is being freed for an urgent step goes to no other of its urgency")
{
    world w;
    const run_id borrower = w.lend_a_worker();
    w.submit("first", "urgent", 1, 8, false, false, "other");
    REQUIRE(w.decide().evictions.size() == 1);
    w.pass(milliseconds(200));
    // Its objective is earlier than that of the first.
    w.submit("second", "urgent", 1, 8, false, false, "other", 1000);
    w.end(borrower, run_outcome::stopped);
    const schedule made = w.decide();
    REQUIRE(made.assignments.size() == 1);
    CHECK(made.assignments.front().runs.front().run.task.job == "first");
}

// Failure: a job beyond its account's guarantee keeps another account from its own.
TEST_CASE("room that is being freed beyond a guarantee goes to guaranteed work")
{
    world w;
    const run_id borrower = w.lend_a_worker();
    w.submit("beyond", "urgent", 1, 8, false, false, "other");
    REQUIRE(w.decide().evictions.size() == 1);
    w.pass(milliseconds(200));
    w.submit("owner", "urgent", 1, 8);
    w.end(borrower, run_outcome::stopped);
    const schedule made = w.decide();
    REQUIRE(made.assignments.size() == 1);
    CHECK(made.assignments.front().runs.front().run.task.job == "owner");
}

// Failure: an urgent job waits for a run whose declared time is far too short.
TEST_CASE("a run is not waited for on the word of its estimate")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("short", "batch", 1, 8, false, false, "key", 200);
    w.decide();
    const run_id run{{"short", 0, 0, 0}, 1};
    w.report("a", {{run, "", 0}});
    w.pass(milliseconds(100));
    w.report("a", {{run, "", 1}});
    w.submit("claim", "urgent", 1, 8);
    REQUIRE(w.decide().evictions.size() == 1);
}

// Failure: work is thrown away for room that would have been free as soon without it.
TEST_CASE("a run that is about to end is waited for, another one is evicted")
{
    for (const std::uint32_t percent : {94U, 50U}) {
        world w;
        w.add_worker("a", "r1");
        w.submit("borrower", "batch", 1, 8, false, false, "other");
        w.decide();
        const run_id borrower{{"borrower", 0, 0, 0}, 1};
        w.report("a", {{borrower, "", 0}});
        w.pass(milliseconds(50) * percent);
        w.report("a", {{borrower, "", percent}});
        w.submit("owner", "urgent", 1, 8);
        const schedule made = w.decide();
        CHECK(made.evictions.empty() == (percent == 94));
        CHECK(w.decide().assignments.empty());
    }
}

// Failure: small work that comes later takes the room of a large gang piece by piece, for ever.
TEST_CASE("room is kept for a gang that has waited long")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("first", "batch", 16, 1);
    w.decide();
    w.submit("gang", "batch", 2, 8, true);
    w.pass(milliseconds(2000));
    w.report("a");
    w.report("b");
    w.submit("later", "batch", 4, 1);
    for (std::uint32_t index = 0; index < 16; ++index) {
        CHECK(w.decide().evictions.empty());
        CHECK(w.workers_of("later").empty());
        w.end({{"first", 0, 0, index}, 1}, run_outcome::done);
    }
    w.decide();
    CHECK(w.workers_of("gang").size() == 2);
}
