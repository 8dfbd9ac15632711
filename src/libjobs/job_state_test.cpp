#include <catch2/catch.hpp>

#include "redwingwheel/job_state.h"
#include "redwingwheel/packing.h"

using namespace redwingwheel::jobs;

namespace {

const std::string job_id = "00000000000000aa";
const worker_incarnation worker_a{"a", 1, "host-a"};
const worker_incarnation worker_b{"b", 1, "host-b"};

job_configuration make_configuration(std::uint64_t version, const std::string& key = "key")
{
    job_configuration made;
    made.version = version;
    made.document = "document " + std::to_string(version);
    made.services = {"inspector"};
    made.queues = {{"q", "host", "/q/", "inspector", 1, 2, 2.0, 1000, false},
                   {"open", "host", "/q/open/", "inspector", 0, 1, 2.0, 1000, true}};
    made.accounts = {{"account", {key}, 8}};
    return made;
}

job_definition make_job(std::uint32_t tasks, bool gang)
{
    job_definition job;
    job.payload = "payload";
    step_definition step;
    step.tasks = tasks;
    step.gang = gang;
    step.per_task = {1000, 100, 1};
    job.steps = {step};
    return job;
}

submit_job submission(const job_definition& definition, const std::string& key = "key")
{
    return {job_id, "host", "/q/" + job_id, key, definition, 1000};
}

assign_runs assign(std::vector<assignment> runs)
{
    return {std::move(runs), 1100};
}

run_id run_of(std::uint32_t index, std::uint32_t number, std::uint32_t step = 0)
{
    return {{job_id, 0, step, index}, number};
}

record_ended_runs ended_on(const worker_incarnation& worker, std::vector<ended_run> ended_runs)
{
    return {worker, std::move(ended_runs), 2000, true};
}

job_state state_with_job(const job_definition& definition)
{
    job_state state;
    state.apply(install_configuration{make_configuration(1)});
    REQUIRE(state.apply(submission(definition)) == command_result::accepted);
    return state;
}

} // namespace

// Failure: a repeated or delayed configuration replaces a newer one.
TEST_CASE("only a higher version replaces the installed configuration")
{
    job_state state;
    CHECK(state.apply(install_configuration{make_configuration(5)}) == command_result::accepted);
    CHECK(state.apply(install_configuration{make_configuration(3)}) == command_result::accepted);
    CHECK(state.configuration().version == 5);
    CHECK(state.apply(install_configuration{make_configuration(5)}) == command_result::accepted);
    job_configuration other = make_configuration(5, "other key");
    other.document = "other";
    CHECK(state.apply(install_configuration{other}) == command_result::conflicting_version);
    CHECK(state.configuration().document == "document 5");
    CHECK(state.find_account("other key") == nullptr);
}

// Failure: a submission succeeds with a key that was removed between the leader's check and the
// commit.
TEST_CASE(
    "a submission is checked against the configuration that is installed when it is committed")
{
    job_state state;
    CHECK(state.apply(submission(make_job(1, false))) == command_result::no_configuration);
    state.apply(install_configuration{make_configuration(1)});
    CHECK(state.apply(submission(make_job(1, false), "wrong")) == command_result::unknown_key);
    submit_job elsewhere = submission(make_job(1, false));
    elsewhere.path = "/nowhere/x";
    CHECK(state.apply(elsewhere) == command_result::unknown_queue);
    CHECK(state.jobs().empty());
    submit_job open = submission(make_job(1, false), "");
    open.path = "/q/open/" + job_id;
    CHECK(state.apply(open) == command_result::accepted);
    CHECK(state.find(job_id)->queue == "open");
}

// Failure: a repeated submission creates a second job.
TEST_CASE("a repeated submission creates no second job")
{
    job_state state = state_with_job(make_job(2, false));
    state.apply(assign({{run_of(0, 1), worker_a}}));
    CHECK(state.apply(submission(make_job(5, false))) == command_result::accepted);
    CHECK(state.find(job_id)->definition.steps[0].tasks == 2);
    CHECK(state.runs_on(worker_a).size() == 1);
}

// Failure: some members of a gang are assigned although others cannot be.
TEST_CASE("an assignment takes effect as a whole or not at all")
{
    job_state state = state_with_job(make_job(2, true));
    CHECK(state.apply(assign({{run_of(0, 1), worker_a}, {run_of(7, 1), worker_b}})) ==
          command_result::stale);
    CHECK(state.assigned_runs().empty());
    CHECK(state.apply(assign({{run_of(0, 1), worker_a}, {run_of(1, 1), worker_b}})) ==
          command_result::accepted);
    CHECK(state.apply(assign({{run_of(0, 2), worker_b}})) == command_result::stale);
}

// Failure: a gang that is done runs again because one member's end was not listed yet.
TEST_CASE("a gang is done as soon as one of its members is done")
{
    job_state state = state_with_job(make_job(2, true));
    state.apply(assign({{run_of(0, 1), worker_a}, {run_of(1, 1), worker_b}}));
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::done, ""}}));
    CHECK(state.find(job_id)->status == job_status::completed);
    CHECK(state.assigned_runs().empty());
}

// Failure: a job is completed before all of its tasks are done.
TEST_CASE("a job is completed when its last task is done")
{
    job_definition definition = make_job(2, false);
    definition.steps.push_back(definition.steps[0]);
    definition.steps[1].depends_on = {0};
    definition.steps[1].tasks = 1;
    job_state state = state_with_job(definition);
    CHECK(state.apply(assign({{run_of(0, 1, 1), worker_a}})) == command_result::stale);
    state.apply(assign({{run_of(0, 1), worker_a}, {run_of(1, 1), worker_a}}));
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::done, ""}}));
    CHECK(state.apply(assign({{run_of(0, 1, 1), worker_b}})) == command_result::stale);
    state.apply(ended_on(worker_a, {{2, run_of(1, 1), run_outcome::done, ""}}));
    CHECK(state.find(job_id)->status == job_status::running);
    CHECK(state.apply(assign({{run_of(0, 1, 1), worker_b}})) == command_result::accepted);
    state.apply(ended_on(worker_b, {{1, run_of(0, 1, 1), run_outcome::done, ""}}));
    CHECK(state.find(job_id)->status == job_status::completed);
}

// Failure: stopped runs and expired leases count as attempts, or a task exceeds its attempts.
TEST_CASE("only failed runs count as attempts")
{
    job_state state = state_with_job(make_job(1, false));
    std::uint64_t number = 0;
    std::uint32_t run = 0;
    for (const run_outcome outcome :
         {run_outcome::stopped, run_outcome::lapsed, run_outcome::broken, run_outcome::failed}) {
        ++run;
        REQUIRE(state.apply(assign({{run_of(0, run), worker_a}})) == command_result::accepted);
        state.apply(ended_on(worker_a, {{++number, run_of(0, run), outcome, ""}}));
        CHECK(state.find(job_id)->status == job_status::running);
    }
    REQUIRE(state.apply(assign({{run_of(0, 5), worker_a}})) == command_result::accepted);
    state.apply(ended_on(worker_a, {{++number, run_of(0, 5), run_outcome::failed, ""}}));
    CHECK(state.find(job_id)->status == job_status::failed);
    CHECK(state.apply(assign({{run_of(0, 6), worker_a}})) == command_result::stale);
}

// Failure: two members of a gang that fail in the same run count as two attempts.
TEST_CASE("a failed run of a gang counts as one attempt")
{
    job_state state = state_with_job(make_job(2, true));
    state.apply(assign({{run_of(0, 1), worker_a}, {run_of(1, 1), worker_b}}));
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::failed, ""}}));
    state.apply(ended_on(worker_b, {{1, run_of(1, 1), run_outcome::failed, ""}}));
    CHECK(state.find(job_id)->status == job_status::running);
    CHECK(state.apply(assign({{run_of(0, 2), worker_a}, {run_of(1, 2), worker_b}})) ==
          command_result::accepted);
}

// Failure: the members of a gang resume from different checkpoints, which makes all of them
// useless.
TEST_CASE("all members of a gang resume from the same checkpoint")
{
    job_state state = state_with_job(make_job(3, true));
    state.apply(
        assign({{run_of(0, 1), worker_a}, {run_of(1, 1), worker_b}, {run_of(2, 1), worker_b}}));
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::stopped, "at stop"}}));
    state.apply(ended_on(worker_b, {{1, run_of(1, 1), run_outcome::broken, "earlier"}}));
    state.apply(release_runs{{{run_of(2, 1), "earlier still"}}, 2000});
    for (std::uint32_t index = 0; index < 3; ++index) {
        CHECK(state.find(run_of(index, 1).task)->checkpoint == "at stop");
    }
    state.apply(
        assign({{run_of(0, 2), worker_a}, {run_of(1, 2), worker_b}, {run_of(2, 2), worker_b}}));
    state.apply(ended_on(worker_a, {{2, run_of(0, 2), run_outcome::broken, ""}}));
    state.apply(ended_on(worker_b, {{2, run_of(1, 2), run_outcome::lapsed, "of run 2"},
                                    {3, run_of(2, 2), run_outcome::broken, ""}}));
    for (std::uint32_t index = 0; index < 3; ++index) {
        CHECK(state.find(run_of(index, 2).task)->checkpoint == "of run 2");
    }
}

// Failure: an ended run that the worker lists repeatedly is counted twice.
TEST_CASE("an ended run is recorded once")
{
    job_state state = state_with_job(make_job(1, false));
    state.apply(assign({{run_of(0, 1), worker_a}}));
    const record_ended_runs ended_runs =
        ended_on(worker_a, {{1, run_of(0, 1), run_outcome::failed, ""}});
    state.apply(ended_runs);
    state.apply(ended_runs);
    CHECK(state.last_recorded_end(worker_a) == 1);
    CHECK(state.find({job_id, 0, 0, 0})->failures == 1);
}

// Failure: a task that is done is assigned again because its worker has left.
TEST_CASE("a run that is recorded as done is not released later")
{
    job_state state = state_with_job(make_job(1, false));
    state.apply(assign({{run_of(0, 1), worker_a}}));
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::done, ""}}));
    state.apply(release_runs{{{run_of(0, 1), ""}}, 2000});
    CHECK(state.find(job_id)->status == job_status::completed);
    CHECK(state.apply(assign({{run_of(0, 2), worker_b}})) == command_result::stale);
}

// Failure: the late end of a released run ends the next run of the task.
TEST_CASE("the end of an earlier run does not end a later one")
{
    job_state state = state_with_job(make_job(1, false));
    state.apply(assign({{run_of(0, 1), worker_a}}));
    state.apply(release_runs{{{run_of(0, 1), "saved"}}, 1500});
    CHECK(state.find({job_id, 0, 0, 0})->checkpoint == "saved");
    state.apply(assign({{run_of(0, 2), worker_b}}));
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::lapsed, ""}}));
    CHECK(state.runs_on(worker_b).size() == 1);
    // A release that was decided before the second run must not release that run.
    state.apply(release_runs{{{run_of(0, 1), ""}}, 1600});
    CHECK(state.runs_on(worker_b).size() == 1);
}

// Failure: a task of a cancelled job is started.
TEST_CASE("no task of a cancelled job is assigned")
{
    job_state state = state_with_job(make_job(2, false));
    state.apply(assign({{run_of(0, 1), worker_a}}));
    CHECK(state.apply(cancel_job{job_id, 1200}) == command_result::accepted);
    CHECK(state.apply(assign({{run_of(1, 1), worker_a}})) == command_result::stale);
    CHECK(state.runs_on(worker_a).size() == 1);
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::done, ""}}));
    CHECK(state.find(job_id)->status == job_status::cancelled);
    CHECK(state.assigned_runs().empty());
    CHECK(state.apply(cancel_job{"0000000000000000", 1}) == command_result::unknown_job);
}

// Failure: an occurrence begins too early, or never if the time advances past several of them.
TEST_CASE("occurrences begin when they are due")
{
    job_definition definition = make_job(1, false);
    definition.occurrences = 3;
    definition.first_due_unix_ms = 5000;
    definition.interval_ms = 1000;
    job_state state = state_with_job(definition);
    CHECK(state.apply(assign({{run_of(0, 1), worker_a}})) == command_result::stale);
    CHECK_FALSE(state.occurrence_due(4999));
    CHECK(state.occurrence_due(6000));
    state.apply(advance_time{6000, 0});
    CHECK(state.find(job_id)->begun_occurrences == 2);
    CHECK(state.apply(assign({{run_of(0, 1), worker_a}})) == command_result::accepted);
}

// Failure: an order that its operator has given up undoes a later one that was acknowledged.
TEST_CASE("an evacuation order has no effect once a later one has been accepted")
{
    const auto order = [](bool evacuated, std::optional<std::uint64_t> expected_revision) {
        return set_evacuation{"dc", evacuated, expected_revision};
    };
    for (const bool late : {false, true}) {
        // The later order reverses the late one, which was accepted or not, or changes nothing.
        for (const bool accepted_before : {false, true}) {
            job_state state;
            CHECK(state.apply(order(!late, 0)) == command_result::accepted);
            const std::uint64_t read = state.evacuation_revision("dc");
            if (accepted_before) {
                CHECK(state.apply(order(late, read)) == command_result::accepted);
                // A retry whose first attempt was accepted.
                CHECK(state.apply(order(late, read)) == command_result::accepted);
            }
            CHECK(state.apply(order(!late, state.evacuation_revision("dc"))) ==
                  command_result::accepted);
            job_state restored;
            REQUIRE(restored.restore_snapshot(state.pack_snapshot()).ok());
            for (job_state* const each : {&state, &restored}) {
                CHECK(each->apply(order(late, read)) == command_result::stale);
                CHECK(each->evacuated().contains("dc") == !late);
                // Sent again by an operator that still waits.
                CHECK(each->apply(order(late, each->evacuation_revision("dc"))) ==
                      command_result::accepted);
                CHECK(each->evacuated().contains("dc") == late);
            }
        }
    }
}

// Failure: a message that was held up on its way undoes what was accepted after it.
TEST_CASE("a late copy of an accepted change has no effect after any later change")
{
    const auto evacuation = [](bool evacuated, std::uint64_t expected_revision) {
        return [=](std::int64_t) { return set_evacuation{"dc", evacuated, expected_revision}; };
    };
    const auto submit = [](const std::string& id) {
        return [id](std::int64_t now) {
            return submit_job{id, "host", "/q/" + id, "key", make_job(1, false), now};
        };
    };
    const auto cancel = [](const std::string& id) {
        return [id](std::int64_t now) { return cancel_job{id, now, "account"}; };
    };
    const auto install = [](std::uint64_t version) {
        return
            [version](std::int64_t) { return install_configuration{make_configuration(version)}; };
    };
    // The leader stamps a change with the time at which it arrives.
    const std::vector<std::function<job_command(std::int64_t now_unix_ms)>> changes = {
        install(1),          submit("a"), evacuation(true, 0),  cancel("a"),
        submit("a"),         install(3),  evacuation(false, 1), cancel("b"),
        submit("b"),         install(2),  evacuation(true, 2),  submit("c"),
        evacuation(true, 3), cancel("c"), evacuation(false, 4), install(5),
    };
    const auto visible_state = [](const job_state& state) {
        std::string text = state.configuration().document;
        for (const std::string& each : state.evacuated()) {
            text += " evacuated " + each;
        }
        for (const auto& [id, job] : state.jobs()) {
            text += " " + id + " " + std::to_string(static_cast<int>(job.status));
        }
        return text;
    };
    for (std::size_t count = 1; count <= changes.size(); ++count) {
        for (std::size_t late = 0; late < count; ++late) {
            job_state state;
            for (std::size_t index = 0; index < count; ++index) {
                state.apply(changes[index](static_cast<std::int64_t>(1000 * index)));
            }
            const std::string before = visible_state(state);
            state.apply(changes[late](60'000));
            INFO("change " << late << " again after " << count);
            CHECK(visible_state(state) == before);
        }
    }
}

// Failure: orders for different data centres, or equal ones of two operators, hinder each other.
TEST_CASE("evacuation orders that do not conflict are all accepted")
{
    job_state state;
    const set_evacuation first{"dc1", true, 0};
    const set_evacuation second{"dc2", true, 0};
    for (const set_evacuation& each : {first, second, first, second}) {
        CHECK(state.apply(each) == command_result::accepted);
    }
    CHECK(state.evacuated() == std::set<std::string>{"dc1", "dc2"});
}

// Failure: replicas differ after an update, since one of them has restored a snapshot of the
// earlier version where another has applied the entries.
TEST_CASE("evacuation entries of earlier versions take effect and count on no replica")
{
    job_state state;
    state.apply(set_evacuation{"dc", true, std::nullopt});
    CHECK(state.evacuated().contains("dc"));
    CHECK(state.evacuation_revision("dc") == 0);
}

// Failure: a replica that restores a snapshot loses the assigned runs.
TEST_CASE("a snapshot restores the whole state")
{
    job_state state = state_with_job(make_job(2, true));
    state.apply(assign({{run_of(0, 1), worker_a}, {run_of(1, 1), worker_b}}));
    state.apply(set_evacuation{"dc", true});
    job_state copy;
    REQUIRE(copy.restore_snapshot(state.pack_snapshot()).ok());
    CHECK(copy.assigned_runs() == state.assigned_runs());
    CHECK(copy.evacuated() == state.evacuated());
    CHECK(copy.configuration().document == "document 1");
    CHECK_FALSE(copy.restore_snapshot("damaged").ok());
}

// Failure: a packed command is unpacked as a different one.
TEST_CASE("a packed command is unpacked unchanged")
{
    const job_command command = assign({{run_of(1, 3), worker_a}});
    const absl::StatusOr<job_command> read = unpack_job_command(pack_job_command(command));
    REQUIRE(read.ok());
    CHECK(std::get<assign_runs>(*read).runs[0].run == run_of(1, 3));
    CHECK(std::get<assign_runs>(*read).runs[0].worker == worker_a);
    CHECK_FALSE(unpack_job_command("x").ok());
}

// Guards against one malformed job in the log that takes down every replica that applies it, and
// every leader that schedules it.
TEST_CASE("a job definition that is not well-formed is refused and changes nothing")
{
    job_definition no_steps;
    job_definition no_tasks = make_job(0, false);
    job_definition depends_on_itself = make_job(1, false);
    depends_on_itself.steps[0].depends_on = {0};
    job_definition depends_on_missing_step = make_job(1, false);
    depends_on_missing_step.steps[0].depends_on = {7};
    job_definition negative = make_job(1, false);
    negative.steps[0].per_task.accelerators = -1;
    for (const job_definition& definition :
         {no_steps, no_tasks, depends_on_itself, depends_on_missing_step, negative}) {
        job_state state;
        state.apply(install_configuration{make_configuration(1)});
        const std::string before = state.pack_snapshot();
        CHECK(state.apply(submission(definition)) == command_result::invalid_job);
        CHECK(state.pack_snapshot() == before);
    }
}

// Failure: one job with more tasks than fit into memory ends every replica that applies it, again
// after each restart.
TEST_CASE("a job with more tasks than the replicas can hold is applied")
{
    const auto result_of = [](std::uint32_t tasks, std::uint32_t occurrences) {
        job_definition definition = make_job(tasks, false);
        definition.occurrences = occurrences;
        definition.first_due_unix_ms = std::int64_t{1} << 52;
        job_state state;
        state.apply(install_configuration{make_configuration(1)});
        return state.apply(submission(definition));
    };
    CHECK(result_of(100, 10'000) == command_result::accepted);
    CHECK(result_of(100, 10'001) == command_result::invalid_job);
    CHECK(result_of(1, UINT32_MAX) == command_result::invalid_job);
    CHECK(result_of(100'001, 1) == command_result::invalid_job);
}

// Failure: an end from before a suspension of the worker's host is acknowledged after its task was
// started elsewhere, and the work counts twice.
TEST_CASE("the end of a released run is superseded once its task may run elsewhere")
{
    job_state state = state_with_job(make_job(2, false));
    state.apply(assign({{run_of(0, 1), worker_a}, {run_of(1, 1), worker_a}}));
    state.apply(release_runs{{{run_of(0, 1), ""}, {run_of(1, 1), ""}}, 1200});
    state.apply(assign({{run_of(0, 2), worker_b}}));
    const std::vector<ended_run> ends{{4, run_of(0, 1), run_outcome::done, ""},
                                      {5, run_of(1, 1), run_outcome::done, ""}};
    CHECK(state.has_superseded_end(worker_a, ends));
    state.apply(ended_on(worker_a, ends));
    CHECK(state.last_recorded_end(worker_a) == 5);
    // The second task was not started again, so that its end counts.
    CHECK(state.last_superseded_end(worker_a) == 4);
    CHECK(state.find(run_of(0, 2).task)->phase == task_phase::assigned);
    CHECK(state.find(run_of(1, 1).task)->phase == task_phase::done);
    CHECK(state.last_superseded_end(worker_b) == 0);

    job_state restored;
    REQUIRE(restored.restore_snapshot(state.pack_snapshot()).ok());
    CHECK(restored.last_superseded_end(worker_a) == 4);
}

// Failure: the same after the job has been completed by the later run.
TEST_CASE("the end of a released run is superseded after its job has ended")
{
    for (const bool gang : {false, true}) {
        job_state state = state_with_job(make_job(1, gang));
        state.apply(assign({{run_of(0, 1), worker_a}}));
        state.apply(release_runs{{{run_of(0, 1), ""}}, 1200});
        state.apply(assign({{run_of(0, 2), worker_b}}));
        state.apply(ended_on(worker_b, {{1, run_of(0, 2), run_outcome::done, ""}}));
        REQUIRE(state.find(job_id)->status == job_status::completed);
        state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::done, ""}}));
        CHECK(state.last_superseded_end(worker_a) == 1);
        CHECK(state.last_superseded_end(worker_b) == 0);
    }
}

// Failure: the runs that are remembered for a task that is released again and again use up the
// memory of the replicas.
TEST_CASE("a limited number of released runs is remembered for a task")
{
    for (const bool long_running : {false, true}) {
        job_definition job = make_job(2, false);
        job.steps[0].long_running = long_running;
        job_state state = state_with_job(job);
        for (std::uint32_t number = 1; number <= 100; ++number) {
            state.apply(assign({{run_of(0, number), worker_a}, {run_of(1, number), worker_a}}));
            state.apply(release_runs{{{run_of(0, number), ""}, {run_of(1, number), ""}}, 1200});
        }
        CHECK(state.find(job_id)->released_runs.size() == (long_running ? 0 : 32));
    }
}

// Failure: a failed run is acknowledged that does not count as an attempt, and the task is started
// more often than allowed.
TEST_CASE("a failed end is superseded in the same way, and a stopped one is not")
{
    for (const run_outcome outcome : {run_outcome::failed, run_outcome::stopped}) {
        job_state state = state_with_job(make_job(1, false));
        state.apply(assign({{run_of(0, 1), worker_a}}));
        state.apply(release_runs{{{run_of(0, 1), ""}}, 1200});
        state.apply(assign({{run_of(0, 2), worker_b}}));
        state.apply(ended_on(worker_a, {{1, run_of(0, 1), outcome, ""}}));
        CHECK(state.last_superseded_end(worker_a) == (outcome == run_outcome::failed ? 1 : 0));
    }
}

// Failure: the lease of a worker has to expire because of the ends of a gang's other members.
TEST_CASE("the ends of all members of a gang that is done are acknowledged at once")
{
    job_state state = state_with_job(make_job(2, true));
    state.apply(assign({{run_of(0, 1), worker_a}, {run_of(1, 1), worker_b}}));
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::done, ""}}));
    state.apply(ended_on(worker_b, {{1, run_of(1, 1), run_outcome::done, ""}}));
    CHECK(state.find(job_id)->status == job_status::completed);
    CHECK(state.last_superseded_end(worker_b) == 0);
}

// Failure: the end of a run whose job has been completed elsewhere and forgotten is acknowledged.
TEST_CASE("the end of a run of an unknown job is superseded")
{
    job_state state;
    state.apply(ended_on(worker_a, {{1, run_of(0, 1), run_outcome::done, ""}}));
    CHECK(state.last_superseded_end(worker_a) == 1);
}

// Failure: a long-running task whose run ends as done is not restarted, and its job is shown as
// completed though nobody has cancelled it.
TEST_CASE("a long-running task stays open however its run ends")
{
    for (const bool gang : {false, true}) {
        for (const run_outcome outcome :
             {run_outcome::done, run_outcome::failed, run_outcome::stopped, run_outcome::lapsed,
              run_outcome::broken, run_outcome::alone}) {
            INFO("gang " << gang << " outcome " << run_outcome_name(outcome));
            job_definition job = make_job(2, gang);
            job.steps[0].long_running = true;
            job.steps.push_back(job.steps[0]);
            job.steps[1].long_running = false;
            job.steps[1].depends_on = {0};
            job_state state = state_with_job(job);
            for (std::uint32_t number = 1; number <= 5; ++number) {
                REQUIRE(state.apply(assign(
                            {{run_of(0, number), worker_a}, {run_of(1, number), worker_b}})) ==
                        command_result::accepted);
                state.apply(ended_on(worker_a, {{number, run_of(0, number), outcome, ""}}));
                state.apply(ended_on(worker_b, {{number, run_of(1, number), outcome, ""}}));
                CHECK(state.find(job_id)->status == job_status::running);
                CHECK(state.find(run_of(0, number).task)->phase == task_phase::waiting);
                CHECK(state.find(run_of(1, number).task)->phase == task_phase::waiting);
                CHECK(state.runs_on(worker_a).empty());
            }
            CHECK_FALSE(is_ready(job, state.find(job_id)->open_occurrences.at(0), 1));
            state.apply(cancel_job{job_id, 3000});
            CHECK(state.find(job_id)->status == job_status::cancelled);
            CHECK(state.find(job_id)->open_occurrences.empty());
        }
    }
}

// Failure: the occurrences of a recurring job with a long-running task end.
TEST_CASE("a recurring job with a long-running task is not completed")
{
    job_definition job = make_job(1, false);
    job.steps[0].long_running = true;
    job.occurrences = 2;
    job.first_due_unix_ms = 900;
    job.interval_ms = 50;
    job_state state = state_with_job(job);
    for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
        const run_id run{{job_id, occurrence, 0, 0}, 1};
        state.apply(assign({{run, worker_a}}));
        state.apply(ended_on(worker_a, {{occurrence + 1, run, run_outcome::done, ""}}));
    }
    CHECK(state.find(job_id)->status == job_status::running);
    CHECK(state.find(job_id)->open_occurrences.size() == 2);
}

// Failure: an end that every replica has applied as the end of the task is applied in another way
// by a replica that reads the log again.
TEST_CASE("a log entry of an earlier version completes a long-running task as it did")
{
    job_definition job = make_job(1, false);
    job.steps[0].long_running = true;
    job_state state = state_with_job(job);
    state.apply(assign({{run_of(0, 1), worker_a}}));
    const std::vector<ended_run> ends{{1, run_of(0, 1), run_outcome::done, ""}};
    const std::uint32_t alternative = job_command(record_ended_runs()).index();
    const absl::StatusOr<job_command> read = unpack_job_command(redwingwheel::pack(
        std::make_tuple(alternative, redwingwheel::pack(std::make_tuple(worker_a, ends, 2000)))));
    REQUIRE(read.ok());
    state.apply(*read);
    CHECK(state.find(job_id)->status == job_status::completed);
}

// Failure: a submission that a frozen gateway hands in late starts a job that its caller has
// cancelled elsewhere since.
TEST_CASE("a job that was cancelled before it was submitted is not accepted")
{
    job_state state;
    state.apply(install_configuration{make_configuration(1)});
    CHECK(state.apply(cancel_job{job_id, 1000, "account"}) == command_result::unknown_job);
    CHECK(state.apply(submission(make_job(1, false))) == command_result::withdrawn_job);
    CHECK(state.find(job_id) == nullptr);

    job_state restored;
    REQUIRE(restored.restore_snapshot(state.pack_snapshot()).ok());
    CHECK(restored.apply(submission(make_job(1, false))) == command_result::withdrawn_job);
    // The id is remembered as long as an ended job is.
    restored.apply(advance_time{5000, 1000});
    CHECK(restored.apply(submission(make_job(1, false))) == command_result::withdrawn_job);
    restored.apply(advance_time{5000, 1001});
    CHECK(restored.apply(submission(make_job(1, false))) == command_result::accepted);
}

// Failure: an account withdraws the ids of another one, or uses up the memory of the replicas.
TEST_CASE("withdrawn ids are limited and kept for each account")
{
    job_state state;
    state.apply(install_configuration{make_configuration(1)});
    CHECK(state.apply(cancel_job{job_id, 1000, "other"}) == command_result::unknown_job);
    CHECK(state.apply(submission(make_job(1, false))) == command_result::accepted);
    for (std::size_t each = 1; each < max_withdrawn_ids; ++each) {
        CHECK(state.apply(cancel_job{"id" + std::to_string(each), 1000, "other"}) ==
              command_result::unknown_job);
    }
    CHECK(state.apply(cancel_job{"one more", 1000, "other"}) == command_result::too_many_withdrawn);
    // Repeated cancellations and those of known jobs are acknowledged.
    CHECK(state.apply(cancel_job{"id1", 1100, "other"}) == command_result::unknown_job);
    CHECK(state.apply(cancel_job{job_id, 1100, "account"}) == command_result::accepted);
    CHECK(state.apply(cancel_job{"one more", 1100, "account"}) == command_result::unknown_job);
}
