#include <catch2/catch.hpp>

#include "redwingwheel/packing.h"
#include "scheduler_world.h"

/// What an accepted job costs the replicas and the leader, from its submission until it is
/// forgotten.
using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

const worker_incarnation worker{"a", 1, "host-a"};

job_state configured_state()
{
    job_configuration made;
    made.version = 1;
    made.services = {"inspector"};
    made.queues = {{"q", "h", "/q/", "inspector", 1, 2, 2.0, 1000, true}};
    job_state state;
    state.apply(install_configuration{made});
    return state;
}

submit_job submission(const std::string& id, std::uint32_t tasks, std::uint32_t occurrences = 0)
{
    submit_job made{id, "h", "/q/" + id, "", {}, 1000, default_max_unstarted_occurrences};
    made.definition.payload = std::string(1000, 'x');
    made.definition.steps.resize(1);
    made.definition.steps[0].tasks = tasks;
    made.definition.occurrences = occurrences;
    made.definition.interval_ms = occurrences > 0 ? 1 : 0;
    return made;
}

/// Layouts of the snapshots before tasks had a table.
struct listed_step {
    std::vector<task_record> tasks;
    std::uint32_t done = 0;
    std::uint32_t assigned = 0;
    std::uint32_t gang_failures = 0;
    std::uint32_t last_failed_run = 0;
    std::uint32_t checkpoint_run = 0;
    bool checkpoint_from_stop = false;
    MSGPACK_DEFINE(tasks, done, assigned, gang_failures, last_failed_run, checkpoint_run,
                   checkpoint_from_stop)
};
struct listed_occurrence {
    std::int64_t due_unix_ms = 0;
    std::vector<listed_step> steps;
    MSGPACK_DEFINE(due_unix_ms, steps)
};
struct listed_job {
    std::string queue = "q";
    std::string service = "inspector";
    std::string account;
    std::uint32_t priority = 1;
    std::uint32_t max_attempts = 2;
    double stretch = 2.0;
    std::int64_t latency_target_ms = 1000;
    job_definition definition;
    std::int64_t submitted_unix_ms = 1000;
    std::int64_t ended_unix_ms = 0;
    job_status status = job_status::running;
    std::map<std::uint32_t, listed_occurrence> open_occurrences;
    std::uint32_t begun_occurrences = 1;
    std::set<run_id> released_runs;
    MSGPACK_DEFINE(queue, service, account, priority, max_attempts, stretch, latency_target_ms,
                   definition, submitted_unix_ms, ended_unix_ms, status, open_occurrences,
                   begun_occurrences, released_runs)
};

} // namespace

// Failure: one small request makes every replica keep a record for each of 100,000 tasks.
TEST_CASE("a waiting job costs the same whatever its number of tasks")
{
    job_state narrow = configured_state();
    job_state wide = configured_state();
    REQUIRE(narrow.apply(submission("a", 1)) == command_result::accepted);
    REQUIRE(wide.apply(submission("a", 100'000)) == command_result::accepted);
    CHECK(wide.charged_bytes() == narrow.charged_bytes());
    CHECK(wide.count_pending_jobs("q") == 1);
    CHECK(wide.pack_snapshot().size() < narrow.pack_snapshot().size() + 16);
}

// Failure: all occurrences of a job that are due at once take memory on every replica.
TEST_CASE("only so many occurrences are open of which nothing has been started")
{
    constexpr std::uint32_t occurrences = 1000;
    job_state state = configured_state();
    REQUIRE(state.apply(submission("a", 1, occurrences)) == command_result::accepted);
    std::uint32_t ended = 0;
    for (std::int64_t now = 1'000'000; ended < occurrences; now += 50) {
        state.apply(advance_time{now, 0});
        CHECK_FALSE(state.occurrence_due(now));
        const job_record& job = *state.find("a");
        REQUIRE_FALSE(job.open_occurrences.empty());
        CHECK(job.open_occurrences.size() <= default_max_unstarted_occurrences);
        const run_id run{{"a", job.open_occurrences.begin()->first, 0, 0}, 1};
        REQUIRE(state.apply(assign_runs{{{run, worker}}, now}) == command_result::accepted);
        CHECK(state.occurrence_due(now) == (job.begun_occurrences < occurrences));
        state.apply(record_ended_runs{worker, {{++ended, run, run_outcome::done, ""}}, now, true});
    }
    CHECK(state.find("a")->status == job_status::completed);
}

// Failure: a log of an earlier version is applied differently than it was then.
TEST_CASE("a submission of an earlier version begins all due occurrences")
{
    job_state state = configured_state();
    submit_job earlier = submission("a", 1, 1000);
    earlier.max_unstarted_occurrences = 0;
    REQUIRE(state.apply(earlier) == command_result::accepted);
    state.apply(advance_time{1'000'000, 0});
    CHECK(state.find("a")->open_occurrences.size() == 1000);
}

// Failure: jobs that have ended or were cancelled keep their payloads until they are forgotten, or
// count for their owner for ever.
TEST_CASE("an ended job takes less, and nothing once it is forgotten")
{
    job_state state = configured_state();
    REQUIRE(state.apply(submission("a", 3)) == command_result::accepted);
    const std::uint64_t waiting = state.charged_bytes();
    CHECK(state.count_pending_jobs("q") == 1);
    CHECK(state.charged_bytes(owner_of("", "q")) == waiting);
    CHECK(waiting >= 1000);
    state.apply(cancel_job{"a", 2000, ""});
    CHECK(state.charged_bytes() <= waiting - 1000);
    CHECK(state.find("a")->definition.payload.empty());
    CHECK(state.count_pending_jobs("q") == 0);
    CHECK(state.find("a")->status == job_status::cancelled);
    job_state restored;
    REQUIRE(restored.restore_snapshot(state.pack_snapshot()).ok());
    CHECK(restored.charged_bytes() == state.charged_bytes());
    state.apply(advance_time{10'000, 9'000});
    CHECK(state.charged_bytes() == 0);
    CHECK(state.owner_count() == 0);
}

// Failure: a replica cannot read the snapshot that it took before an upgrade, or loses its runs.
TEST_CASE("a snapshot of an earlier version is read")
{
    listed_job job;
    job.definition = submission("a", 3).definition;
    listed_step step;
    step.tasks.resize(3);
    step.tasks[0].phase = task_phase::done;
    step.tasks[0].last_run = 2;
    step.tasks[1].phase = task_phase::assigned;
    step.tasks[1].last_run = 1;
    step.tasks[1].worker = worker;
    step.done = 1;
    step.assigned = 1;
    job.open_occurrences[0].steps = {step};
    const std::map<std::string, listed_job> jobs = {{"a", job}};
    const std::map<worker_incarnation, std::uint64_t> ends;
    const std::map<std::string, std::map<std::string, std::int64_t>> withdrawn;
    const std::map<std::string, std::uint64_t> revisions;
    job_state state;
    REQUIRE(state
                .restore_snapshot(
                    pack(std::make_tuple(job_configuration(), std::set<std::string>(), jobs, ends,
                                         ends, withdrawn, revisions, duration_model())))
                .ok());
    CHECK(state.runs_on(worker) == std::set<run_id>{{{"a", 0, 0, 1}, 1}});
    CHECK(state.find(task_id{"a", 0, 0, 0})->phase == task_phase::done);
    CHECK(state.find(task_id{"a", 0, 0, 0})->last_run == 2);
    CHECK(state.find(task_id{"a", 0, 0, 2})->phase == task_phase::waiting);
    CHECK(state.charged_bytes() > 0);
}

// Failure: steps that no worker can run keep the leader from placing anybody else's.
TEST_CASE("a crowd of steps that fit nowhere does not starve the others")
{
    scheduler_options options;
    options.max_steps_per_round = 8;
    scheduler_world world(options);
    world.add_worker("a", "r1");
    step_definition hopeless;
    hopeless.required_label = "missing";
    hopeless.estimate_ms = 1;
    for (int each = 0; each < 200; ++each) {
        world.submit_step("crowd" + std::to_string(each), "urgent", hopeless);
    }
    world.submit("ordinary", "batch", 1, 1);
    for (int round = 0; round < 60 && world.workers_of("ordinary").empty(); ++round) {
        world.decide();
    }
    CHECK(world.workers_of("ordinary") == std::set<std::string>{"a"});
}

// Failure: tasks that need nothing are all started at once on one worker, whose orders then do not
// fit into a message.
TEST_CASE("a worker has a limited number of runs, and a step starts all its tasks in the end")
{
    scheduler_options options;
    options.max_runs_per_worker = 4;
    scheduler_world world(options);
    world.add_worker("a", "r1");
    step_definition step;
    step.tasks = 10;
    world.submit_step("wide", "batch", step);
    std::size_t ended = 0;
    for (int round = 0; round < 10; ++round) {
        world.decide();
        const std::set<run_id> running = world.state.runs_on(world.workers["a"].incarnation);
        CHECK(running.size() <= options.max_runs_per_worker);
        for (const run_id& each : running) {
            world.end_run(each, run_outcome::done);
            ++ended;
        }
    }
    CHECK(ended == 10);
    CHECK(world.state.find("wide")->status == job_status::completed);
}

// Failure: the steps of a job that fit nowhere keep its other steps from starting.
TEST_CASE("all steps of a large job are considered in turn")
{
    scheduler_world world;
    world.add_worker("a", "r1");
    job_definition large;
    large.steps.resize(1000);
    for (step_definition& each : large.steps) {
        each.required_label = "missing";
    }
    large.steps.back().required_label.clear();
    REQUIRE(world.state.apply(submit_job{"large", "h", "/batch/large", "key", large,
                                         world.unix_ms}) == command_result::accepted);
    for (int round = 0; round < 8; ++round) {
        world.decide();
    }
    CHECK(world.workers_of("large") == std::set<std::string>{"a"});
}
