#include <catch2/catch.hpp>

#include "history_checker.h"

using namespace redwingwheel;
using redwingwheel::platform::testing::call_outcome;
using redwingwheel::soak::history_checker;

namespace {

const std::string job_id = "00000000000000aa";

jobs::job_definition job_with_two_steps()
{
    jobs::job_definition job;
    job.payload = "payload";
    jobs::step_definition step;
    job.steps.push_back(step);
    step.depends_on = {0};
    job.steps.push_back(step);
    return job;
}

jobs::run_id run_of(std::uint32_t step, std::uint32_t number)
{
    return {{job_id, 0, step, 0}, number};
}

/// Records the submission of one job with two steps and its outcome.
void submit_job(history_checker& history, call_outcome outcome = call_outcome::accepted)
{
    history.record_submit_sent(job_id, job_with_two_steps());
    history.record_submit_result(job_id, outcome);
}

/// Records that both steps ran as expected and that the job was seen as completed.
void run_to_completion(history_checker& history)
{
    for (std::uint32_t step = 0; step < 2; ++step) {
        history.record_run_started("w", run_of(step, 1), "payload");
        history.record_run_ended(run_of(step, 1), jobs::run_outcome::done);
        history.record_end_acknowledged(run_of(step, 1), jobs::run_outcome::done);
    }
    history.record_job_state(job_id, call_outcome::accepted, "completed");
}

} // namespace

// All cases guard against a soak that passes although a guarantee was violated, or that fails
// although none was.
TEST_CASE("a history without violations passes all checks")
{
    history_checker history;
    submit_job(history);
    run_to_completion(history);
    history.record_install_sent(4);
    history.record_install_acknowledged(4);
    history.check_version_read(4, 4);
    history.check_final_state();
    CHECK(history.violations().empty());
}

TEST_CASE("two runs of a task at the same time are a violation")
{
    history_checker history;
    submit_job(history);
    history.record_run_started("a", run_of(0, 1), "payload");
    history.record_run_started("b", run_of(0, 2), "payload");
    CHECK(history.violations().size() == 1);
}

TEST_CASE(
    "a run that starts after a recorded success of its task is a violation, whether the record "
    "is acknowledged before or after the start")
{
    history_checker before;
    submit_job(before);
    before.record_run_started("a", run_of(0, 1), "payload");
    before.record_run_ended(run_of(0, 1), jobs::run_outcome::done);
    before.record_end_acknowledged(run_of(0, 1), jobs::run_outcome::done);
    before.record_run_started("a", run_of(0, 2), "payload");
    CHECK(before.violations().size() == 1);

    history_checker after;
    submit_job(after);
    after.record_run_started("a", run_of(0, 1), "payload");
    after.record_run_ended(run_of(0, 1), jobs::run_outcome::done);
    after.record_run_started("b", run_of(0, 2), "payload");
    CHECK(after.violations().empty());
    after.record_end_acknowledged(run_of(0, 1), jobs::run_outcome::done);
    CHECK(after.violations().size() == 1);
}

TEST_CASE("a task may run again after a success that was never recorded")
{
    history_checker history;
    submit_job(history);
    history.record_run_started("a", run_of(0, 1), "payload");
    history.record_run_ended(run_of(0, 1), jobs::run_outcome::done);
    history.record_run_started("b", run_of(0, 2), "payload");
    history.record_run_ended(run_of(0, 2), jobs::run_outcome::done);
    history.record_end_acknowledged(run_of(0, 2), jobs::run_outcome::done);
    CHECK(history.violations().empty());
}

TEST_CASE("a run of an unknown job, or before the steps it depends on, is a violation")
{
    history_checker history;
    submit_job(history);
    history.record_run_started("a", {{"ffffffffffffffff", 0, 0, 0}, 1}, "payload");
    history.record_run_started("a", run_of(1, 1), "payload");
    CHECK(history.violations().size() == 2);
}

TEST_CASE("a run of a job whose submissions were all refused is a violation")
{
    history_checker history;
    submit_job(history, call_outcome::refused);
    history.record_run_started("a", run_of(0, 1), "payload");
    history.check_final_state();
    CHECK(history.violations().size() == 1);

    history_checker unknown;
    submit_job(unknown, call_outcome::unknown);
    unknown.record_run_started("a", run_of(0, 1), "payload");
    unknown.check_final_state();
    CHECK(unknown.violations().empty());
}

TEST_CASE(
    "an accepted job that is not found, not completed or shown in an end state that it has not "
    "reached is a violation")
{
    history_checker unknown;
    submit_job(unknown);
    unknown.record_job_state(job_id, call_outcome::gone, "");
    CHECK(unknown.violations().size() == 1);

    history_checker unfinished;
    submit_job(unfinished);
    unfinished.check_final_state();
    CHECK(unfinished.violations().size() == 1);

    for (const std::string state : {"completed", "failed", "cancelled"}) {
        history_checker without_cause;
        submit_job(without_cause);
        without_cause.record_job_state(job_id, call_outcome::accepted, state);
        CHECK_FALSE(without_cause.violations().empty());
    }
}

TEST_CASE("a cancelled job that still runs at the end is a violation")
{
    history_checker history;
    submit_job(history);
    history.record_run_started("a", run_of(0, 1), "payload");
    history.record_cancel_sent(job_id);
    history.record_cancel_result(job_id, call_outcome::accepted);
    history.check_final_state();
    CHECK(history.violations().size() == 1);
}

TEST_CASE("a configuration read that is older than an acknowledged one or newer than all sent is a "
          "violation")
{
    history_checker history;
    history.record_install_sent(3);
    history.record_install_acknowledged(3);
    history.record_install_sent(5);
    history.check_version_read(5, 3);
    CHECK(history.violations().empty());
    history.check_version_read(2, 3);
    CHECK(history.violations().size() == 1);
    history.check_version_read(6, 3);
    CHECK(history.violations().size() == 2);
}
