#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

run_id first_run(const std::string& job, std::uint32_t index = 0)
{
    return {{job, 0, 0, index}, 1};
}

void submit_with_needs(world& w, const std::string& job, const std::string& queue,
                       const resources& per_task, bool best_effort_cpu = false,
                       const std::string& key = "key")
{
    step_definition step;
    step.estimate_ms = 5000;
    step.per_task = per_task;
    step.best_effort_cpu = best_effort_cpu;
    w.submit_step(job, queue, step, key);
}

/// Announces another number of accelerators.
void announce_accelerators(world& w, const std::string& worker, std::int64_t accelerators,
                           const std::vector<run_progress>& running = {})
{
    w.workers[worker].capacity.accelerators = accelerators;
    w.report(worker, running);
}

} // namespace

// Failure: a worker that runs more than its capacity gets a task that needs nothing of the resource
// that is exceeded.
TEST_CASE("nothing is placed on a worker that is over its capacity in any resource")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("running", "batch", 1, 8);
    w.decide();
    announce_accelerators(w, "a", 4, {{first_run("running"), "", 10}});
    w.submit("cores", "batch", 1, 0);
    CHECK(w.decide().assignments.empty());
    CHECK(w.decisions.should_run(first_run("running")));
    w.end_run(first_run("running"), run_outcome::done);
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: a reservation of accelerators that are being freed keeps the idle cores of the worker
// from other steps.
TEST_CASE("a worker with a reservation is not over its capacity")
{
    world w;
    w.add_worker_with_borrower();
    w.submit("owner", "urgent", 1, 8);
    REQUIRE(w.decide().evictions.size() == 1);
    w.submit("cores", "batch", 1, 0);
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: a run is evicted for CPU that it does not occupy, and the step that needs it still does
// not fit.
TEST_CASE("an eviction does not free CPU that is not counted")
{
    world w;
    w.add_worker("a", "r1");
    submit_with_needs(w, "protected", "urgent", {24000, 1000, 0});
    submit_with_needs(w, "filler", "batch", {24000, 1000, 0}, true, "other");
    REQUIRE(w.decide().assignments.size() == 2);
    w.report("a", {{first_run("protected"), "", 10}, {first_run("filler"), "", 10}});
    submit_with_needs(w, "claim", "urgent", {16000, 1000, 0});
    const schedule made = w.decide();
    CHECK(made.evictions.empty());
    REQUIRE(made.waiting.size() == 1);
    CHECK(made.waiting.front().reason == wait_reason::no_room);
}

// Failure: a step whose CPU is not counted reserves CPU, and others cannot use it.
TEST_CASE("a reservation does not hold CPU that is not counted")
{
    world w;
    w.add_worker_with_borrower();
    submit_with_needs(w, "claim", "urgent", {32000, 1000, 8}, true);
    REQUIRE(w.decide().evictions.size() == 1);
    submit_with_needs(w, "cores", "batch", {16000, 1000, 0});
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: the first member of a gang to end frees the resources of members that still run.
TEST_CASE("a run that a worker lists counts against its capacity when it is assigned no more")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("gang", "batch", 2, 8, true);
    w.decide();
    const run_id at_a = *w.state.runs_on(w.workers["a"].incarnation).begin();
    const run_id at_b = *w.state.runs_on(w.workers["b"].incarnation).begin();
    w.report("a", {{at_a, "", 99}});
    w.report("b", {{at_b, "", 99}});
    w.report("a");
    w.end_run(at_a, run_outcome::done);
    w.submit("next", "batch", 2, 8);
    w.decide();
    CHECK(w.workers_of("next") == std::set<std::string>{"a"});
    w.report("b");
    w.decide();
    CHECK(w.workers_of("next") == std::set<std::string>{"a", "b"});
}

// Failure: a worker that lists a run of a job that was deleted is taken for idle.
TEST_CASE("nothing is placed on a worker that lists a run whose needs are unknown")
{
    world w;
    w.add_worker("a", "r1");
    w.report("a", {{first_run("deleted"), "", 10}});
    w.submit("job", "batch", 1, 1);
    CHECK(w.decide().assignments.empty());
    w.report("a");
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: the capacity of a worker shrinks after runs were assigned, and they are started beyond
// it.
TEST_CASE("starts that are not confirmed are withdrawn when the capacity shrinks below them")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("confirmed", "batch", 1, 2);
    w.decide();
    const std::vector<run_progress> running = {{first_run("confirmed"), "", 10}};
    w.report("a", running);
    w.submit("ordered", "batch", 2, 3);
    w.decide();
    REQUIRE(w.state.runs_on(w.workers["a"].incarnation).size() == 3);
    announce_accelerators(w, "a", 8, running);
    CHECK(w.decide().evictions.empty());
    announce_accelerators(w, "a", 5, running);
    // Either of them may have begun, so that the other would exceed the capacity.
    CHECK(w.decide().evictions.size() == 2);
    CHECK_FALSE(w.decisions.should_run(first_run("ordered", 0)));
    CHECK_FALSE(w.decisions.should_run(first_run("ordered", 1)));
    CHECK(w.decisions.should_run(first_run("confirmed")));
}

// Failure: an assignment that is committed after the capacity has shrunk is ordered before the next
// scheduling round.
TEST_CASE("a start committed after the capacity has shrunk is withdrawn before it is ordered")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 2, 4);
    const schedule made = w.decisions.decide(w.unix_ms);
    REQUIRE(made.assignments.size() == 1);
    announce_accelerators(w, "a", 4);
    w.state.apply(made.assignments.front());
    CHECK(w.decisions.withdraw_excess_starts(w.workers["a"].incarnation).size() == 2);
    CHECK_FALSE(w.decisions.should_run(first_run("job", 0)));
    CHECK_FALSE(w.decisions.should_run(first_run("job", 1)));
}

// Failure: a run that is being stopped no longer counts, and starts that were ordered beside it
// exceed the shrunk capacity.
TEST_CASE("a run that is being stopped counts when starts are withdrawn")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("borrower", "batch", 1, 4, false, false, "other");
    w.decide();
    const std::vector<run_progress> running = {{first_run("borrower"), "", 10}};
    w.report("a", running);
    w.submit("ordered", "batch", 1, 4);
    w.decide();
    w.state.apply(cancel_job{"borrower", w.unix_ms});
    CHECK(w.decisions.should_run(first_run("ordered")));
    announce_accelerators(w, "a", 4, running);
    CHECK(w.decide().evictions.size() == 1);
    CHECK_FALSE(w.decisions.should_run(first_run("ordered")));
    w.state.apply(release_runs{{{first_run("ordered"), ""}}, w.unix_ms});
    CHECK(w.decide().assignments.empty());
    w.end_run(first_run("borrower"), run_outcome::stopped);
    w.report("a");
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: some members of a gang are withdrawn and the others wait for them.
TEST_CASE("a gang with a start that no longer fits is withdrawn as a whole")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("gang", "batch", 2, 8, true);
    w.decide();
    announce_accelerators(w, "a", 4);
    CHECK(w.decide().evictions.size() == 2);
    CHECK_FALSE(w.decisions.should_run(first_run("gang", 0)));
    CHECK_FALSE(w.decisions.should_run(first_run("gang", 1)));
}

// Failure: runs are stopped, and their work is lost, only because the capacity of their worker has
// shrunk.
TEST_CASE("confirmed runs go on when the capacity shrinks")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("running", "batch", 2, 4);
    w.decide();
    const std::vector<run_progress> running = {{first_run("running", 0), "", 10},
                                               {first_run("running", 1), "", 10}};
    w.report("a", running);
    announce_accelerators(w, "a", 0, running);
    CHECK(w.decide().evictions.empty());
    CHECK(w.decisions.should_run(first_run("running", 0)));
    CHECK(w.decisions.should_run(first_run("running", 1)));
}

// Failure: a step waits for a reservation on a worker that has shrunk, although another worker
// could be freed for it.
TEST_CASE("a reservation on a worker that has shrunk is decided anew")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("cheap", "batch", 1, 8, false, false, "other");
    w.decide();
    w.advance_time(milliseconds(100));
    w.add_worker("b", "r1");
    w.submit("dear", "batch", 1, 8, false, false, "other");
    w.decide();
    const run_id cheap = first_run("cheap");
    const run_id dear = first_run("dear");
    w.report("a", {{cheap, "", 1}});
    w.report("b", {{dear, "", 1}});
    w.advance_time(milliseconds(200));
    w.submit("owner", "urgent", 1, 8);
    const schedule first = w.decide();
    REQUIRE(first.evictions.size() == 1);
    const bool chose_b = first.evictions.front().run == dear;
    const std::string chosen = chose_b ? "b" : "a";
    announce_accelerators(w, chosen, 4, {{chose_b ? dear : cheap, "", 1}});
    const schedule second = w.decide();
    REQUIRE(second.evictions.size() == 1);
    CHECK(second.evictions.front().run == (chose_b ? cheap : dear));
}

// Failure: a job that fits on no worker at present is given up, or it still waits after a worker
// has grown.
TEST_CASE("a job that fits on no worker waits until one has grown")
{
    world w;
    w.add_worker("a", "r1");
    announce_accelerators(w, "a", 0);
    w.submit("job", "urgent", 1, 8);
    w.submit("gang", "batch", 2, 8, true);
    for (int round = 0; round < 20; ++round) {
        w.advance_time(milliseconds(500));
        w.report("a");
        const schedule made = w.decide();
        CHECK(made.assignments.empty());
        CHECK(made.evictions.empty());
    }
    CHECK(w.state.find("job")->status == job_status::queued);
    CHECK(w.state.find("gang")->status == job_status::queued);
    announce_accelerators(w, "a", 8);
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: a worker that has refused a start for want of room is not used after it has grown.
TEST_CASE("a worker that has grown gets runs at once")
{
    world w;
    w.add_worker("a", "r1");
    announce_accelerators(w, "a", 4);
    w.decisions.record_refused_start(w.workers["a"].incarnation, {{"refused", 0, 0, 0}, 1});
    w.submit("job", "batch", 1, 4);
    CHECK(w.decide().assignments.empty());
    announce_accelerators(w, "a", 8);
    CHECK(w.decide().assignments.size() == 1);
}

// Failure: a worker that is over its capacity hides idle accelerators of its rack, and a gang takes
// a rack that is larger than it needs.
TEST_CASE("a worker over its capacity does not change which rack a gang fits best")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("running", "batch", 1, 8);
    w.decide();
    announce_accelerators(w, "a", 0, {{first_run("running"), "", 10}});
    for (const char* const id : {"b", "c"}) {
        w.add_worker(id, "r1");
    }
    w.add_worker("d", "r2");
    w.submit("gang", "batch", 2, 4, true, true);
    w.decide();
    CHECK(w.workers_of("gang") == std::set<std::string>{"d"});
}
