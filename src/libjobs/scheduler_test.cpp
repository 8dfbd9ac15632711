#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

} // namespace

// Failure: part of a gang is started and waits for the rest in vain.
TEST_CASE("a gang is placed as a whole or not at all")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("gang", "batch", 2, 8, true);
    CHECK(w.decide().assignments.empty());
    w.add_worker("b", "r2");
    CHECK(w.decide().assignments.size() == 1);
    CHECK(w.workers_of("gang").size() == 2);
}

// Failure: a gang that wants one rack is spread although a rack will have room.
TEST_CASE("a gang that wants one rack waits for it")
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

// Failure: a worker gets more than it has.
TEST_CASE("a worker is never given more than its room")
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

// Failure: tasks of a step that must be spread crowd on one worker.
TEST_CASE("a worker gets no more tasks of a step than its limit, over several rounds")
{
    world w;
    w.add_worker("a", "r1");
    job_definition job;
    step_definition step;
    step.tasks = 5;
    step.per_worker_limit = 2;
    step.estimate_ms = 5000;
    step.per_task = {1000, 1000, 1};
    job.steps = {step};
    REQUIRE(w.state.apply(submit_job{"spread", "h", "/batch/spread", "key", job, w.unix_ms}) ==
            command_result::accepted);
    w.decide();
    CHECK(w.state.runs_on(w.workers["a"].incarnation).size() == 2);
    CHECK(w.decide().assignments.empty());
    w.add_worker("b", "r1");
    w.decide();
    CHECK(w.state.runs_on(w.workers["b"].incarnation).size() == 2);
    w.end({{"spread", 0, 0, 0}, 1}, run_outcome::done);
    w.decide();
    CHECK(w.state.runs_on(w.workers["a"].incarnation).size() == 2);
}

// Failure: work starts in a data centre that was taken out, or on a worker that shuts down.
TEST_CASE("nothing is placed where nothing may start")
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

// Failure: a start is sent to a worker that its supervisor cannot reach, and the task waits.
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

// Failure: a worker that is cut off looks idle and draws gangs, which wait for its lease to end.
TEST_CASE("nothing is placed on a worker whose supervisor does not poll again")
{
    world w;
    w.add_worker("a", "r1");
    w.decisions.grant(w.workers["a"].incarnation);
    w.submit("soon", "batch", 1, 1);
    CHECK(w.decide().assignments.size() == 1);
    w.pass(milliseconds(500));
    w.submit("later", "batch", 1, 1);
    CHECK(w.decide().assignments.empty());
    w.report("a");
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: a gang that lost a worker late in its run is spread at once, and takes several times as
// long as it would in its rack a moment later.
TEST_CASE("a guaranteed gang waits for its rack anew after a run was lost")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.add_worker("c", "r2");
    w.submit("gang", "urgent", 2, 8, true, true);
    REQUIRE(w.decide().assignments.size() == 1);
    w.pass(milliseconds(4000));
    w.report("a");
    w.report("c");
    w.decisions.worker_ended(w.workers["b"].incarnation);
    w.decide();
    w.end({{"gang", 0, 0, 0}, 1}, run_outcome::broken);
    w.add_worker("d", "r1");
    w.submit("borrower", "batch", 1, 8, false, false, "other");
    CHECK(w.workers_of("gang").empty());
    w.decide();
    const std::set<std::string> chosen = w.workers_of("gang");
    CHECK(chosen == std::set<std::string>{"a", "d"});
}
