#include <catch2/catch.hpp>

#include "redwingwheel/job_state.h"
#include "redwingwheel/packing.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

const worker_incarnation worker_a{"a", 1, "host-a"};
const worker_incarnation worker_b{"b", 1, "host-b"};

run_id run_of(const std::string& job, std::uint32_t number, std::uint32_t index = 0)
{
    return {{job, 0, 0, index}, number};
}

job_state state_with(const std::vector<std::string>& job_ids, const step_definition& step)
{
    job_configuration configuration;
    configuration.version = 1;
    configuration.services = {"inspector"};
    configuration.queues = {{"q", "host", "/q/", "inspector", 1, 2, 2.0, 1000, false}};
    configuration.accounts = {{"account", {"key"}, 8}};
    job_state state;
    state.apply(install_configuration{configuration});
    job_definition job;
    job.steps = {step};
    for (const std::string& id : job_ids) {
        REQUIRE(state.apply(submit_job{id, "host", "/q/" + id, "key", job, 1000}) ==
                command_result::accepted);
    }
    return state;
}

command_result assign(job_state& state, const run_id& run, const worker_incarnation& worker)
{
    return state.apply(assign_runs{{{run, worker}}, 1100});
}

/// Starts the runs on the worker and lets it crash.
void crash(job_state& state, const worker_incarnation& worker, const std::vector<run_id>& runs,
           const std::vector<run_id>& progressed = {})
{
    std::vector<released_run> released;
    for (const std::vector<run_id>& group : {runs, progressed}) {
        for (const run_id& run : group) {
            REQUIRE(assign(state, run, worker) == command_result::accepted);
            released.push_back({run, ""});
        }
    }
    state.apply(record_worker_crash{worker, runs, progressed, 1200});
    state.apply(release_runs{released, 1300});
}

std::size_t crashes_of(const job_state& state, const std::string& job)
{
    return state.find(run_of(job, 1).task)->crashes.size();
}

} // namespace

// Failure: a repeated report, a change of leader or a restart counts a crash twice or forgets it.
TEST_CASE("the crash of a run counts once, whoever reports it and whenever")
{
    job_state state = state_with({"job"}, {});
    crash(state, worker_a, {run_of("job", 1)});
    const record_worker_crash report{worker_a, {run_of("job", 1)}, {}, 1400};
    state.apply(report);
    CHECK(crashes_of(state, "job") == 1);

    job_state restored;
    REQUIRE(restored.restore_snapshot(state.pack_snapshot()).ok());
    const absl::StatusOr<job_command> replayed = unpack_job_command(pack_job_command(report));
    REQUIRE(replayed.ok());
    restored.apply(*replayed);
    CHECK(crashes_of(restored, "job") == 1);
    CHECK(restored.find(run_of("job", 1).task)->crashes.front().alone);

    // The report arrives after the next run has started.
    REQUIRE(assign(restored, run_of("job", 2), worker_b) == command_result::accepted);
    restored.apply(release_runs{{{run_of("job", 2), ""}}, 1500});
    REQUIRE(assign(restored, run_of("job", 3), worker_b) == command_result::accepted);
    restored.apply(record_worker_crash{worker_b, {run_of("job", 2)}, {}, 1600});
    CHECK(crashes_of(restored, "job") == 2);
}

// Failure: a replica cannot read the state that an earlier version has stored.
TEST_CASE("a task that was stored without crashes is read")
{
    const auto stored = std::make_tuple(task_phase::assigned, std::uint32_t{3}, std::uint32_t{1},
                                        worker_a, std::string("checkpoint"));
    const absl::StatusOr<task_record> read = unpack<task_record>(pack(stored));
    REQUIRE(read.ok());
    CHECK(read->last_run == 3);
    CHECK(read->checkpoint == "checkpoint");
    CHECK(read->crashes.empty());
}

// Failure: a task that crashes its workers is started for ever, or only on one of them.
TEST_CASE("a job is given up after three crashes under one task alone")
{
    job_state state = state_with({"job"}, {});
    crash(state, worker_a, {run_of("job", 1)});
    crash(state, worker_b, {run_of("job", 2)});
    CHECK(state.find("job")->status == job_status::running);
    REQUIRE(assign(state, run_of("job", 3), worker_a) == command_result::accepted);
    state.apply(record_worker_crash{worker_a, {run_of("job", 3)}, {}, 1700});
    CHECK(state.find("job")->status == job_status::failed);
    CHECK(state.find("job")->ended_unix_ms == 1700);
    CHECK(assign(state, run_of("job", 4), worker_b) == command_result::stale);
    state.apply(release_runs{{{run_of("job", 3), ""}}, 1800});
    CHECK(state.assigned_runs().empty());
    CHECK(state.find("job")->open_occurrences.empty());
}

// Failure: a job on a host that crashes repeatedly by itself is given up like a deadly one.
TEST_CASE("crashes on a single host, or beside other jobs, give a job up only after five")
{
    const bool beside_other = GENERATE(true, false);
    job_state state = state_with({"job", "other"}, {});
    for (std::uint32_t run = 1; run <= 5; ++run) {
        CHECK(state.find("job")->status != job_status::failed);
        if (beside_other) {
            crash(state, run % 2 == 0 ? worker_a : worker_b,
                  {run_of("job", run), run_of("other", run)});
        }
        else {
            crash(state, worker_a, {run_of("job", run)});
        }
    }
    CHECK(state.find("job")->status == job_status::failed);
}

// Failure: a sound task is given up because of crashes that others cause over a long time.
TEST_CASE("a run that progressed, or whose end is listed, clears the crashes of its task")
{
    const bool listed = GENERATE(true, false);
    job_state state = state_with({"job", "deadly"}, {});
    crash(state, worker_a, {run_of("job", 1)});
    crash(state, worker_b, {run_of("job", 2)});
    if (listed) {
        assign(state, run_of("job", 3), worker_a);
        state.apply(
            record_ended_runs{worker_a, {{1, run_of("job", 3), run_outcome::failed, ""}}, 1400});
    }
    else {
        crash(state, worker_a, {run_of("deadly", 1)}, {run_of("job", 3)});
        CHECK(state.find(run_of("deadly", 1).task)->crashes.front().alone);
    }
    CHECK(crashes_of(state, "job") == 0);
    state.apply(record_worker_crash{worker_a, {run_of("job", 1), run_of("job", 3)}, {}, 1500});
    CHECK(crashes_of(state, "job") == 0);
    crash(state, worker_b, {run_of("job", 4)});
    CHECK(crashes_of(state, "job") == 1);
    CHECK(state.find("job")->status == job_status::running);
}

// Failure: crashes use up the attempts of a job that fails by itself now and then.
TEST_CASE("crashes do not count as failed attempts")
{
    job_state state = state_with({"job"}, {});
    crash(state, worker_a, {run_of("job", 1)});
    crash(state, worker_b, {run_of("job", 2)});
    CHECK(state.find(run_of("job", 1).task)->failures == 0);
    assign(state, run_of("job", 3), worker_a);
    state.apply(
        record_ended_runs{worker_a, {{1, run_of("job", 3), run_outcome::failed, ""}}, 1400});
    CHECK(state.find("job")->status == job_status::running);
}

// Failure: several workers that crash in the same instant under one job are one crash, or one
// command counts on after it has given the job up.
TEST_CASE("workers that crash in the same instant under a gang count for the tasks on each")
{
    step_definition step;
    step.tasks = 3;
    step.gang = true;
    job_state state = state_with({"gang"}, step);
    for (std::uint32_t run = 1; run <= 3; ++run) {
        const std::vector<run_id> on_a{run_of("gang", run, 0), run_of("gang", run, 1)};
        const std::vector<run_id> on_b{run_of("gang", run, 2)};
        REQUIRE(state.apply(assign_runs{{{on_a[0], run % 2 == 0 ? worker_b : worker_a},
                                         {on_a[1], run % 2 == 0 ? worker_b : worker_a},
                                         {on_b[0], run % 2 == 0 ? worker_a : worker_b}},
                                        1100}) == command_result::accepted);
        state.apply(record_worker_crash{run % 2 == 0 ? worker_b : worker_a, on_a, {}, 1200});
        state.apply(record_worker_crash{run % 2 == 0 ? worker_a : worker_b, on_b, {}, 1200});
        if (run < 3) {
            for (std::uint32_t index = 0; index < 3; ++index) {
                CHECK(state.find(run_of("gang", 1, index).task)->crashes.size() == run);
            }
        }
        state.apply(release_runs{{{on_a[0], ""}, {on_a[1], ""}, {on_b[0], ""}}, 1300});
    }
    CHECK(state.find("gang")->status == job_status::failed);
    CHECK(state.assigned_runs().empty());
}

// Failure: a long-running job is stopped for ever after a few crashes of other causes, or a deadly
// one is never stopped.
TEST_CASE("a long-running task is given up only after five crashes")
{
    step_definition step;
    step.long_running = true;
    job_state state = state_with({"service"}, step);
    for (std::uint32_t run = 1; run <= 5; ++run) {
        CHECK(state.find("service")->status != job_status::failed);
        crash(state, run % 2 == 0 ? worker_a : worker_b, {run_of("service", run)});
    }
    CHECK(state.find("service")->status == job_status::failed);
}

// Failure: a sound job is given up because its hosts lost power.
TEST_CASE("ends of workers that nobody observed give a job up only after five")
{
    job_state state = state_with({"job"}, {});
    for (std::uint32_t run = 1; run <= 5; ++run) {
        CHECK(state.find("job")->status != job_status::failed);
        const worker_incarnation& worker = run % 2 == 0 ? worker_a : worker_b;
        REQUIRE(assign(state, run_of("job", run), worker) == command_result::accepted);
        state.apply(record_worker_crash{worker, {run_of("job", run)}, {}, 1200, false});
        state.apply(release_runs{{{run_of("job", run), ""}}, 1300});
    }
    CHECK(state.find("job")->status == job_status::failed);
}
