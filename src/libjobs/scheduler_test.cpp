#include <catch2/catch.hpp>

#include "redwingwheel/scheduler.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

constexpr std::int64_t start_unix_ms = 1'000'000;

/// A leader's scheduler over a state that applies its decisions at once.
class world {
public:
    world() : decisions(scheduler_options(), this->time.function(), this->state)
    {
        catalogue made;
        made.version = 1;
        made.services = {"inspector"};
        made.queues = {{"urgent", "h", "/urgent/", "inspector", 0, 2, 1.5, 300, false},
                       {"batch", "h", "/batch/", "inspector", 1, 2, 3.0, 1000, false}};
        made.accounts = {{"owner", {"key"}, 16}, {"other", {"other"}, 0}};
        this->state.apply(install_catalogue{made});
        this->decisions.begin_leadership();
    }

    void add_worker(const std::string& id, const std::string& rack, const std::string& zone = "dc")
    {
        worker_description worker;
        worker.incarnation = {id, 1, "host-" + id};
        worker.service = "inspector";
        worker.data_centre = zone;
        worker.rack = rack;
        worker.labels = {"kind", rack};
        worker.capacity = {32000, 64000, 8};
        this->workers[id] = worker;
        this->report(id);
    }

    void report(const std::string& id, const std::vector<run_progress>& running = {})
    {
        // As a supervisor does: it polls again as soon as it has an answer.
        this->decisions.grant(this->workers[id].incarnation);
        this->decisions.report(this->workers[id], running);
    }

    void submit(const std::string& id, const std::string& queue, std::uint32_t tasks,
                std::int64_t accelerators, bool gang = false, bool same_rack = false,
                const std::string& key = "key", std::int64_t estimate_ms = 5000)
    {
        job_definition job;
        step_definition step;
        step.tasks = tasks;
        step.gang = gang;
        step.same_rack = same_rack;
        step.estimate_ms = estimate_ms;
        step.each = {1000, 1000, accelerators};
        job.steps = {step};
        REQUIRE(this->state.apply(submit_job{id, "h", "/" + queue + "/" + id, key, job,
                                             this->unix_ms}) == job_verdict::accepted);
    }

    schedule decide()
    {
        const schedule made = this->decisions.decide(this->unix_ms);
        this->state.apply(release_runs{made.releases, this->unix_ms});
        for (const assign_runs& each : made.assignments) {
            REQUIRE(this->state.apply(each) == job_verdict::accepted);
        }
        return made;
    }

    void pass(milliseconds by)
    {
        this->time.advance(by);
        this->unix_ms += by.count();
    }

    void end(const run_id& run, run_end how)
    {
        const worker_incarnation worker = this->state.find(run.task)->worker;
        const listed_end listed{this->state.recorded_ends(worker) + 1, run, how, ""};
        this->decisions.note_end(worker, listed);
        this->state.apply(record_ends{worker, {listed}, this->unix_ms});
    }

    /// One worker, which another account's ordinary run fills for half a second.
    run_id lend_a_worker()
    {
        this->add_worker("a", "r1");
        this->submit("borrower", "batch", 1, 8, false, false, "other");
        this->decide();
        const run_id borrower{{"borrower", 0, 0, 0}, 1};
        this->report("a", {{borrower, "", 0}});
        this->pass(milliseconds(500));
        return borrower;
    }

    [[nodiscard]] std::set<std::string> workers_of(const std::string& job) const
    {
        std::set<std::string> found;
        for (const auto& [worker, runs] : this->state.assigned_runs()) {
            for (const run_id& run : runs) {
                if (run.task.job == job) {
                    found.insert(worker.id);
                }
            }
        }
        return found;
    }

    manual_clock time;
    std::int64_t unix_ms = start_unix_ms;
    job_state state;
    scheduler decisions;
    std::map<std::string, worker_description> workers;
};

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
                used += w.state.find(run.task.job)->definition.steps[0].each.accelerators;
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
    step.each = {1000, 1000, 1};
    job.steps = {step};
    REQUIRE(w.state.apply(submit_job{"spread", "h", "/batch/spread", "key", job, w.unix_ms}) ==
            job_verdict::accepted);
    w.decide();
    CHECK(w.state.runs_on(w.workers["a"].incarnation).size() == 2);
    CHECK(w.decide().assignments.empty());
    w.add_worker("b", "r1");
    w.decide();
    CHECK(w.state.runs_on(w.workers["b"].incarnation).size() == 2);
    w.end({{"spread", 0, 0, 0}, 1}, run_end::done);
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
    w.end(made.evictions[0].run, run_end::stopped);
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
    w.end({{"batch", 0, 0, 0}, 1}, run_end::done);
    w.submit("young", "batch", 1, 8);
    w.state.apply(cancel_job{"urgent", w.unix_ms});
    w.decide();
    w.pass(milliseconds(1000));
    w.report("a");
    w.submit("second", "urgent", 1, 8, false, false, "other");
    CHECK(w.decide().evictions.size() == 1);
}

// Failure: a run stays on a worker that leaves before it can end, and is lost with it.
TEST_CASE("a run that a draining worker cannot finish is moved")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("long", "batch", 1, 1);
    w.submit("short", "batch", 1, 1);
    w.decide();
    w.pass(milliseconds(4000));
    w.workers["a"].draining = true;
    w.workers["a"].remaining_ms = 2000;
    w.report("a", {{{{"long", 0, 0, 0}, 1}, "", 20}, {{{"short", 0, 0, 0}, 1}, "", 80}});
    const schedule made = w.decide();
    REQUIRE(made.evictions.size() == 1);
    CHECK(made.evictions[0].run.task.job == "long");
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

// Failure: a worker that is cut off for a moment loses runs that went on meanwhile.
TEST_CASE("a run on a worker that is not heard of is not taken for stalled")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 8);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    w.report("a", {{run, "", 5}});
    w.pass(milliseconds(4000));
    CHECK(w.decide().evictions.empty());
    w.report("a", {{run, "", 60}});
    CHECK(w.decide().evictions.empty());
}

// Failure: only the member on the bad worker is stopped; the others break, and the gang resumes
// from a checkpoint that is older than need be.
TEST_CASE("a gang whose member makes no progress is stopped as a whole")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("gang", "batch", 2, 8, true);
    REQUIRE(w.decide().assignments.size() == 1);
    const run_id first{{"gang", 0, 0, 0}, 1};
    const run_id second{{"gang", 0, 0, 1}, 1};
    const std::string stalled = w.state.find(first.task)->worker.id;
    const std::string sound = w.state.find(second.task)->worker.id;
    std::uint32_t percent = 0;
    schedule made;
    for (int step = 0; step < 30 && made.evictions.empty(); ++step) {
        w.pass(milliseconds(100));
        w.report(stalled, {{first, "", 5}});
        w.report(sound, {{second, "", ++percent}});
        made = w.decide();
    }
    CHECK(made.evictions.size() == 2);
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
    w.end(borrower, run_end::stopped);
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
    w.end(borrower, run_end::stopped);
    const schedule made = w.decide();
    REQUIRE(made.assignments.size() == 1);
    CHECK(made.assignments.front().runs.front().run.task.job == "owner");
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
    w.end({{"gang", 0, 0, 0}, 1}, run_end::broken);
    w.add_worker("d", "r1");
    w.submit("borrower", "batch", 1, 8, false, false, "other");
    CHECK(w.workers_of("gang").empty());
    w.decide();
    const std::set<std::string> chosen = w.workers_of("gang");
    CHECK(chosen == std::set<std::string>{"a", "d"});
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

// Failure: a sound member of a gang that stands still is blamed, and the gang is given to the
// worker at fault again.
TEST_CASE("a gang that stands still is blamed on the worker where nothing else goes on")
{
    world w;
    for (const char* const id : {"a", "b", "c"}) {
        w.add_worker(id, "r1");
    }
    w.submit("gang", "batch", 2, 7, true);
    REQUIRE(w.decide().assignments.size() == 1);
    const run_id first{{"gang", 0, 0, 0}, 1};
    const run_id second{{"gang", 0, 0, 1}, 1};
    const std::string sound = w.state.find(first.task)->worker.id;
    const std::string at_fault = w.state.find(second.task)->worker.id;
    w.submit("other", "batch", 3, 1);
    w.decide();
    const auto other_on = [&w](const std::string& worker) {
        for (std::uint32_t index = 0; index < 3; ++index) {
            const run_id run{{"other", 0, 0, index}, 1};
            if (w.state.find(run.task)->worker.id == worker) {
                return run;
            }
        }
        FAIL("nothing else runs on " + worker);
        return run_id();
    };
    const run_id other = other_on(sound);
    std::uint32_t percent = 0;
    schedule made;
    for (int step = 0; step < 30 && made.evictions.empty(); ++step) {
        w.pass(milliseconds(100));
        w.report(at_fault, {{second, "", 5}});
        w.report(sound, {{first, "", 5}, {other, "", ++percent}});
        made = w.decide();
    }
    REQUIRE(made.evictions.size() >= 2);
    w.end(first, run_end::stopped);
    w.end(second, run_end::stopped);
    w.report(at_fault);
    w.report(sound);
    w.report("a");
    w.report("b");
    w.report("c");
    w.submit("next", "batch", 1, 7);
    w.decide();
    CHECK_FALSE(w.workers_of("next").contains(at_fault));
    CHECK_FALSE(w.workers_of("gang").contains(at_fault));
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
        w.end({{"first", 0, 0, index}, 1}, run_end::done);
    }
    w.decide();
    CHECK(w.workers_of("gang").size() == 2);
}

// Failure: runs on a worker that is cut off are given away while its lease may still run.
TEST_CASE("runs are given up only when the worker's grant is over")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    w.pass(milliseconds(6200));
    CHECK(w.decide().releases.empty());
    w.pass(milliseconds(200));
    CHECK(w.decide().releases.size() == 1);
}

// Failure: a new leader does not know of the grants of the one before it.
TEST_CASE("a new leader waits out the grants of the last one")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    w.decisions.begin_leadership();
    w.pass(milliseconds(6000));
    CHECK(w.decide().releases.empty());
    w.pass(milliseconds(400));
    CHECK(w.decide().releases.size() == 1);
}

// Failure: after a power loss the runs of restarted workers wait for the longest grant.
TEST_CASE("a later incarnation on the host ends the earlier one")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    w.decisions.begin_leadership();
    w.workers["a"].incarnation = {"another id", 2, "host-a"};
    w.report("a");
    CHECK(w.decide().releases.size() == 1);
    w.decide();
    CHECK(w.workers_of("job") == std::set<std::string>{"another id"});
}

// Failure: members of a gang that lost one wait for it and end alone.
TEST_CASE("the rest of a broken gang is stopped at once")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r2");
    w.submit("gang", "batch", 2, 8, true);
    w.decide();
    w.state.apply(release_runs{{{{{"gang", 0, 0, 0}, 1}, ""}}, w.unix_ms});
    const schedule made = w.decide();
    REQUIRE(made.evictions.size() == 1);
    CHECK(made.evictions[0].run.task.index == 1);
    CHECK(made.assignments.empty());
}

// Failure: a worker that fails everything looks idle and draws all the work.
TEST_CASE("a worker that fails different jobs in a row is avoided")
{
    world w;
    w.add_worker("bad", "r1");
    for (const char* id : {"a", "b", "c"}) {
        w.add_worker(id, "r2");
    }
    for (const char* id : {"x", "y"}) {
        w.decisions.note_end(w.workers["bad"].incarnation,
                             {1, {{id, 0, 0, 0}, 1}, run_end::failed, ""});
    }
    w.submit("job", "batch", 24, 1);
    w.decide();
    CHECK_FALSE(w.workers_of("job").contains("bad"));
}

// Failure: the last attempt goes to the worker on which the task failed.
TEST_CASE("a task that failed is tried elsewhere")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    const std::string first = *w.workers_of("job").begin();
    w.end({{"job", 0, 0, 0}, 1}, run_end::failed);
    w.decide();
    CHECK(w.workers_of("job").size() == 1);
    CHECK(*w.workers_of("job").begin() != first);
}

// Failure: a run that stands still holds its room for good.
TEST_CASE("a run without progress is moved")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    const std::string on = *w.workers_of("job").begin();
    for (int second = 0; second < 7; ++second) {
        w.report(on, {{run, "", 10}});
        w.pass(milliseconds(1000));
        w.decide();
    }
    CHECK_FALSE(w.decisions.wanted(run));
}
