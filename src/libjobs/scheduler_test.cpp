#include <limits>

#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

} // namespace

// Failure: some members of a gang are started and wait for members that cannot be placed.
TEST_CASE("a gang is placed completely or not at all")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("gang", "batch", 2, 8, true);
    CHECK(w.decide().assignments.empty());
    w.add_worker("b", "r2");
    CHECK(w.decide().assignments.size() == 1);
    CHECK(w.workers_of("gang").size() == 2);
}

// Failure: a gang with `same_rack` is spread over racks although one rack could hold it later.
TEST_CASE("a gang with same_rack waits until one rack can hold it")
{
    world w;
    for (const char* id : {"a", "b"}) {
        w.add_worker(id, "r1");
    }
    w.add_worker("c", "r2");
    w.submit("small", "batch", 1, 8);
    w.decide();
    const std::string taken = *w.workers_of("small").begin();
    w.submit("gang", "batch", 2, 8, true, true);
    w.decide();
    if (taken == "c") {
        CHECK(w.workers_of("gang") == std::set<std::string>{"a", "b"});
    }
    else {
        CHECK(w.workers_of("gang").empty());
    }
}

// Failure: the runs on a worker need more resources than it has.
TEST_CASE("the capacity of a worker is never exceeded")
{
    world w;
    w.add_worker("a", "r1");
    for (int job = 0; job < 30; ++job) {
        w.submit("job-" + std::to_string(job), "batch", 3, 1 + job % 3);
    }
    for (int round = 0; round < 3; ++round) {
        w.decide();
        std::int64_t used = 0;
        for (const auto& [worker, runs] : w.state.assigned_runs()) {
            for (const run_id& run : runs) {
                used += w.state.find(run.task.job)->definition.steps[0].per_task.accelerators;
            }
        }
        CHECK(used <= 8);
        CHECK(used > 0);
    }
}

// Failure: a task is started in an evacuated data centre or on a draining worker.
TEST_CASE("nothing is placed in evacuated data centres or on draining workers")
{
    world w;
    w.add_worker("a", "r1", "out");
    w.add_worker("b", "r2", "dc");
    w.workers["b"].draining = true;
    w.report("b");
    w.state.apply(set_evacuation{"out", true});
    w.submit("job", "batch", 1, 1);
    CHECK(w.decide().assignments.empty());
    w.state.apply(set_evacuation{"out", false});
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: a task is assigned to a worker that its supervisor cannot reach, which delays its start.
TEST_CASE("nothing is placed on a worker that its supervisor cannot reach")
{
    world w;
    w.add_worker("a", "r1");
    w.workers["a"].reachable = false;
    w.report("a");
    w.submit("job", "batch", 1, 1);
    CHECK(w.decide().assignments.empty());
    w.workers["a"].reachable = true;
    w.report("a");
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: a disconnected worker looks idle and gets gangs, which then wait until its lease
// expires.
TEST_CASE("nothing is placed on a worker whose supervisor does not poll again")
{
    world w;
    w.add_worker("a", "r1");
    w.decisions.record_permit(w.workers["a"].incarnation);
    w.submit("soon", "batch", 1, 1);
    CHECK(w.decide().assignments.size() == 1);
    w.advance_time(milliseconds(500));
    w.submit("later", "batch", 1, 1);
    CHECK(w.decide().assignments.empty());
    w.report("a");
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: a gang that loses a worker late in its run is spread over racks at once. It then takes
// several times as long as in a single rack that would be available soon.
TEST_CASE("a guaranteed gang waits for a single rack again after it has lost a run")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.add_worker("c", "r2");
    w.submit("gang", "urgent", 2, 8, true, true);
    REQUIRE(w.decide().assignments.size() == 1);
    w.advance_time(milliseconds(4000));
    w.report("a");
    w.report("c");
    w.decisions.record_worker_end(w.workers["b"].incarnation);
    w.decide();
    w.end_run({{"gang", 0, 0, 0}, 1}, run_outcome::broken);
    w.add_worker("d", "r1");
    w.submit("borrower", "batch", 1, 8, false, false, "other");
    CHECK(w.workers_of("gang").empty());
    w.decide();
    const std::set<std::string> chosen = w.workers_of("gang");
    CHECK(chosen == std::set<std::string>{"a", "d"});
}

// Failure: just after a change of leader, when few workers have reported, a gang is spread over
// racks because no rack seems to be large enough or because of the time that it waited without a
// leader.
TEST_CASE("a gang is not spread over racks before the workers had time to report to a new leader")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.add_worker("c", "r2");
    w.submit("gang", "urgent", 2, 8, true, true);
    w.advance_time(milliseconds(2500));
    w.decisions.begin_leadership();
    w.report("a");
    w.report("c");
    CHECK(w.decide().assignments.empty());
    w.advance_time(milliseconds(200));
    w.report("b");
    w.decide();
    CHECK(w.workers_of("gang") == std::set<std::string>{"a", "b"});
}

// Failure: a step of the leader's wall clock counts as time that jobs have waited. Ahead, a
// guaranteed gang is spread over racks at once; back, it waits for a single rack for longer than
// allowed.
TEST_CASE("a step of the wall clock does not change how long a gang waits for a single rack")
{
    for (const std::int64_t step_ms : {4000, -4000}) {
        world w;
        w.add_worker("a", "r1");
        w.add_worker("b", "r1");
        w.add_worker("c", "r2");
        w.advance_time(milliseconds(2000));
        const auto report_all = [&w] {
            for (const char* const id : {"a", "b", "c"}) {
                w.report(id);
            }
        };
        report_all();
        w.submit("running", "urgent", 1, 8);
        w.decide();
        REQUIRE_FALSE(w.workers_of("running").contains("c"));
        step_definition step;
        step.tasks = 2;
        step.gang = true;
        step.same_rack = true;
        step.estimate_ms = 5000;
        step.per_worker_limit = 1;
        step.per_task = {1000, 1000, 4};
        w.submit_step("gang", "urgent", step);
        CHECK(w.decide().assignments.empty());
        w.unix_ms += step_ms;
        CHECK(w.decide().assignments.empty());
        w.advance_time(milliseconds(1600));
        report_all();
        w.decide();
        CHECK(w.workers_of("gang").size() == 2);
    }
}

// Failure: after a step of the wall clock ahead, jobs that wait are taken for too late to have any
// value, and jobs that arrive later are placed before them.
TEST_CASE("a step of the wall clock does not make a waiting job late")
{
    world w;
    const run_id borrower = w.add_worker_with_borrower();
    w.submit("first", "batch", 1, 8, false, false, "key", 1000);
    CHECK(w.decide().assignments.empty());
    w.unix_ms += 60'000;
    w.submit("second", "batch", 1, 8, false, false, "key", 5000);
    w.end_run(borrower, run_outcome::done);
    w.decide();
    CHECK(w.workers_of("first").size() == 1);
}

// Failure: the largest declared duration overflows the sum of times, and the job is never placed or
// is placed before all others.
TEST_CASE("a job with the largest declared duration is placed after one with an earlier objective")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("endless", "batch", 1, 8, false, false, "key",
             std::numeric_limits<std::int64_t>::max() / 4);
    w.submit("short", "batch", 1, 8);
    w.decide();
    CHECK(w.workers_of("short").size() == 1);
    w.end_run({{"short", 0, 0, 0}, 1}, run_outcome::done);
    w.decide();
    CHECK(w.workers_of("endless").size() == 1);
}
