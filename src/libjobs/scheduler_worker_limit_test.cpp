#include <algorithm>
#include <random>

#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

/// A step of small tasks.
step_definition limited_step(std::uint32_t tasks, std::uint32_t per_worker_limit)
{
    step_definition step;
    step.tasks = tasks;
    step.per_worker_limit = per_worker_limit;
    step.estimate_ms = 5000;
    step.per_task = {100, 100, 0};
    return step;
}

std::size_t assigned_tasks(const world& w)
{
    std::size_t count = 0;
    for (const auto& [worker, runs] : w.state.assigned_runs()) {
        count += runs.size();
    }
    return count;
}

/// The most tasks of one step of one occurrence that are assigned to the same worker.
std::size_t most_tasks_on_a_worker(const world& w)
{
    std::size_t most = 0;
    for (const auto& [worker, runs] : w.state.assigned_runs()) {
        std::map<task_id, std::size_t> by_step;
        for (const run_id& run : runs) {
            task_id step = run.task;
            step.index = 0;
            most = std::max(most, ++by_step[step]);
        }
    }
    return most;
}

} // namespace

// Failure: too many tasks of a step with a limit per worker are placed on one worker.
TEST_CASE("per_worker_limit holds over several scheduling rounds")
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
    w.end_run({{"spread", 0, 0, 0}, 1}, run_outcome::done);
    w.decide();
    CHECK(w.state.runs_on(w.workers["a"].incarnation).size() == 2);
}

// Failure: a step of which some tasks are suspected of a crash is placed in two parts, and each
// part gets as many tasks on a worker as the limit allows for both.
TEST_CASE("per_worker_limit does not hold for both parts of a step that is placed in two")
{
    const std::uint32_t limit = GENERATE(1U, 2U, 3U);
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    const std::uint32_t tasks = 5 * limit;
    w.submit_step("spread", "batch", limited_step(tasks, limit));
    w.decide();
    REQUIRE(w.state.runs_on(w.workers["a"].incarnation).size() == limit);
    w.crash("a");
    w.decide();
    REQUIRE(assigned_tasks(w) == 2 * limit);
    // Tasks that have crashed with the first worker wait, and others that were never started.
    w.crash("b");
    w.decide();
    CHECK(most_tasks_on_a_worker(w) == limit);
    CHECK(assigned_tasks(w) == 2 * limit);
}

// Failure: as above, when the workers crash again and again, are lost or end their runs.
TEST_CASE("per_worker_limit is exceeded after a series of crashes")
{
    const std::uint32_t seed = GENERATE(range(1U, 21U));
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&random](std::uint32_t below) {
        return std::uniform_int_distribution<std::uint32_t>(0, below - 1)(random);
    };
    world w;
    const std::vector<std::string> ids{"a", "b", "c", "d", "e"};
    for (const std::string& id : ids) {
        w.add_worker(id, "r1");
    }
    const std::uint32_t limit = 1 + draw(2);
    step_definition step = limited_step(5 + draw(10), limit);
    step.long_running = draw(2) == 0;
    w.submit_step("spread", "batch", step);
    for (int round = 0; round < 60; ++round) {
        w.decide();
        REQUIRE(most_tasks_on_a_worker(w) <= limit);
        w.advance_time(milliseconds(100 + draw(400)));
        const std::string& id = ids[draw(static_cast<std::uint32_t>(ids.size()))];
        const std::set<run_id> on_worker = w.state.runs_on(w.workers[id].incarnation);
        const std::uint32_t change = draw(6);
        if (change < 3) {
            w.crash(id, change == 0);
        }
        else if (change == 3 && !on_worker.empty()) {
            w.end_run(*on_worker.begin(), run_outcome::stopped);
        }
        else if (change == 4) {
            w.report_lost_contact(id, {}, worker_contact::lease_expired);
        }
        else if (change == 5) {
            w.decisions.begin_leadership();
        }
        for (const std::string& each : ids) {
            std::vector<run_progress> running;
            for (const run_id& run : w.state.runs_on(w.workers[each].incarnation)) {
                running.push_back({run, "", draw(100)});
            }
            if (change != 4 || each != id) {
                w.report(each, running);
            }
        }
    }
}

// Failure: a new leader counts only what it has placed itself, or the part of a step whose
// assignment its predecessor has not committed.
TEST_CASE("per_worker_limit does not hold when the leader changes between two parts of a step")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit_step("spread", "batch", limited_step(10, 2));
    w.decide();
    w.crash("a");
    w.decide();
    w.crash("b");
    const schedule made = w.decisions.decide(w.unix_ms);
    REQUIRE(made.releases.size() == 2);
    w.state.apply(release_runs{made.releases, w.unix_ms});
    REQUIRE_FALSE(made.assignments.empty());
    w.state.apply(made.assignments.front());
    w.decisions.begin_leadership();
    w.report("a");
    w.report("b");
    w.decide();
    CHECK(most_tasks_on_a_worker(w) == 2);
}

// Failure: a run that was given up and goes on, until its supervisor stops it, is not counted.
TEST_CASE("per_worker_limit does not count a run that is listed and not assigned")
{
    world w;
    w.add_worker("a", "r1");
    w.submit_step("spread", "batch", limited_step(4, 2));
    w.decide();
    const std::set<run_id> runs = w.state.runs_on(w.workers["a"].incarnation);
    REQUIRE(runs.size() == 2);
    w.state.apply(release_runs{{{*runs.begin(), ""}}, w.unix_ms});
    w.report("a", {{*runs.begin(), "", 5}, {*runs.rbegin(), "", 5}});
    CHECK(w.decide().assignments.empty());
    w.report("a", {{*runs.rbegin(), "", 5}});
    CHECK(w.decide().assignments.size() == 1);
    CHECK(most_tasks_on_a_worker(w) == 2);
}

// Failure: tasks of another occurrence or another step count, and a worker stays unused.
TEST_CASE("per_worker_limit holds for all occurrences and steps of a job together")
{
    world w;
    w.add_worker("a", "r1");
    job_definition job;
    job.steps = {limited_step(2, 1), limited_step(2, 1)};
    job.occurrences = 2;
    job.first_due_unix_ms = w.unix_ms;
    job.interval_ms = 1;
    REQUIRE(w.state.apply(submit_job{"repeated", "h", "/batch/repeated", "key", job, w.unix_ms}) ==
            command_result::accepted);
    w.advance_time(milliseconds(10));
    w.state.apply(advance_time{w.unix_ms, 0});
    w.decide();
    CHECK(assigned_tasks(w) == 4);
    CHECK(most_tasks_on_a_worker(w) == 1);
}
