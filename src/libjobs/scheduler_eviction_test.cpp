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

// Load: a gang waits for a worker on which a long task runs, and small jobs arrive. Failure: the
// idle rest of the worker is kept from a small job that would be done long before the gang starts.
TEST_CASE("a short task uses resources that a gang cannot use yet")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("long", "batch", 1, 6, false, false, "key", 60'000);
    w.decide();
    w.submit("gang", "batch", 2, 4, true, false, "key", 5000);
    w.advance_time(milliseconds(2000));
    w.report("a", {{{{"long", 0, 0, 0}, 1}, "", 3}});
    w.decide();
    w.submit("short", "batch", 1, 1, false, false, "key", 1000);
    w.submit("another long", "batch", 1, 1, false, false, "key", 50'000);
    w.decide();
    CHECK(w.workers_of("short").size() == 1);
    CHECK(w.workers_of("another long").empty());
}

namespace {

void submit_long_running(world& w, std::uint32_t tasks, std::uint32_t disruption_limit)
{
    step_definition step;
    step.tasks = tasks;
    step.per_task = {1000, 1000, 8};
    step.long_running = true;
    step.disruption_limit = disruption_limit;
    w.submit_step("lasting", "batch", step, "other");
}

} // namespace

// Failure: a guarantee cannot be reclaimed from tasks that run until their job is cancelled.
TEST_CASE("guaranteed work stops long-running tasks of others")
{
    world w;
    w.add_worker("a", "r1");
    submit_long_running(w, 1, 0);
    w.decide();
    w.report("a", {{{{"lasting", 0, 0, 0}, 1}, "", 100}});
    w.submit("mine", "urgent", 1, 8);
    const schedule made = w.decide();
    REQUIRE(made.evictions.size() == 1);
    CHECK(made.evictions.front().run.task.job == "lasting");
    w.end_run({{"lasting", 0, 0, 0}, 1}, run_outcome::stopped);
    w.decide();
    CHECK(w.workers_of("mine").size() == 1);
}

// Failure: more tasks of a long-running step are stopped at once than its job can spare.
TEST_CASE("the disruption limit of long-running tasks holds for guaranteed work")
{
    world w;
    for (const char* const id : {"a", "b"}) {
        w.add_worker(id, "r1");
    }
    submit_long_running(w, 2, 1);
    w.decide();
    w.report("a", {{{{"lasting", 0, 0, 0}, 1}, "", 100}});
    w.report("b", {{{{"lasting", 0, 0, 1}, 1}, "", 100}});
    w.submit("mine", "urgent", 2, 8);
    CHECK(w.decide().evictions.empty());
    w.submit("smaller", "urgent", 1, 8, false, false, "key");
    w.state.apply(cancel_job{"mine", w.unix_ms, ""});
    CHECK(w.decide().evictions.size() == 1);
    CHECK(w.decide().evictions.empty());
}

// Failure: a task on a worker that does not answer any more counts as at work, and another one is
// stopped while it is away.
TEST_CASE("the disruption limit leaves out long-running tasks on lost workers")
{
    world w;
    for (const char* const id : {"a", "b"}) {
        w.add_worker(id, "r1");
    }
    submit_long_running(w, 2, 1);
    w.decide();
    const run_id first{{"lasting", 0, 0, 0}, 1};
    const run_id second{{"lasting", 0, 0, 1}, 1};
    const std::string lost = w.state.find(second.task)->worker.id;
    w.report(lost, {{second, "", 100}});
    w.report(lost == "a" ? "b" : "a", {{first, "", 100}});
    const worker_contact contact = GENERATE(worker_contact::lost, worker_contact::lease_expired);
    w.report_lost_contact(lost, {{second, "", 100}}, contact);
    w.submit("mine", "urgent", 1, 8);
    CHECK(w.decide().evictions.empty());
}

// Failure: an account that borrows for urgent work of its own keeps what is guaranteed to another.
TEST_CASE("guaranteed work stops urgent work beyond a guarantee, and no guaranteed work")
{
    world w;
    for (const char* const id : {"a", "b"}) {
        w.add_worker(id, "r1");
    }
    w.submit("borrower", "urgent", 1, 8, false, false, "other");
    w.decide();
    w.submit("covered", "urgent", 1, 8);
    w.decide();
    w.submit("also covered", "urgent", 1, 8);
    const schedule made = w.decide();
    REQUIRE(made.evictions.size() == 1);
    CHECK(made.evictions.front().run.task.job == "borrower");
    w.end_run({{"borrower", 0, 0, 0}, 1}, run_outcome::stopped);
    w.decide();
    CHECK(w.workers_of("also covered").size() == 1);
    CHECK(w.workers_of("covered").size() == 1);
}
