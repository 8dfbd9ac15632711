#include <catch2/catch.hpp>

#include "ledger.h"

using namespace redwingwheel;
using redwingwheel::platform::testing::call_outcome;
using redwingwheel::soak::ledger;

namespace {

const std::string job_id = "00000000000000aa";

jobs::job_definition two_steps()
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

/// A ledger that knows one job, accepted unless said otherwise.
void accept(ledger& seen, call_outcome outcome = call_outcome::accepted)
{
    seen.submitting(job_id, two_steps());
    seen.submitted(job_id, outcome);
}

void complete(ledger& seen)
{
    for (std::uint32_t step = 0; step < 2; ++step) {
        seen.started("w", run_of(step, 1), "payload");
        seen.ended(run_of(step, 1), jobs::run_outcome::done);
        seen.acknowledged(run_of(step, 1), jobs::run_outcome::done);
    }
    seen.shown(job_id, call_outcome::accepted, "completed");
}

} // namespace

// Failure of all cases: the soak passes although a promise was broken, or fails although none was.
TEST_CASE("a sound course of events has no fault")
{
    ledger seen;
    accept(seen);
    complete(seen);
    seen.installing(4);
    seen.installed(4);
    seen.read_version(4, 4);
    seen.check_at_end();
    CHECK(seen.faults().empty());
}

TEST_CASE("two runs of a task at the same time are a fault")
{
    ledger seen;
    accept(seen);
    seen.started("a", run_of(0, 1), "payload");
    seen.started("b", run_of(0, 2), "payload");
    CHECK(seen.faults().size() == 1);
}

TEST_CASE("a start after a recorded end as done is a fault, in either order")
{
    ledger before;
    accept(before);
    before.started("a", run_of(0, 1), "payload");
    before.ended(run_of(0, 1), jobs::run_outcome::done);
    before.acknowledged(run_of(0, 1), jobs::run_outcome::done);
    before.started("a", run_of(0, 2), "payload");
    CHECK(before.faults().size() == 1);

    ledger after;
    accept(after);
    after.started("a", run_of(0, 1), "payload");
    after.ended(run_of(0, 1), jobs::run_outcome::done);
    after.started("b", run_of(0, 2), "payload");
    CHECK(after.faults().empty());
    after.acknowledged(run_of(0, 1), jobs::run_outcome::done);
    CHECK(after.faults().size() == 1);
}

TEST_CASE("an end that was lost with its worker may be followed by another run")
{
    ledger seen;
    accept(seen);
    seen.started("a", run_of(0, 1), "payload");
    seen.ended(run_of(0, 1), jobs::run_outcome::done);
    seen.started("b", run_of(0, 2), "payload");
    seen.ended(run_of(0, 2), jobs::run_outcome::done);
    seen.acknowledged(run_of(0, 2), jobs::run_outcome::done);
    CHECK(seen.faults().empty());
}

TEST_CASE("a start that nobody asked for, or before its turn, is a fault")
{
    ledger seen;
    accept(seen);
    seen.started("a", {{"ffffffffffffffff", 0, 0, 0}, 1}, "payload");
    seen.started("a", run_of(1, 1), "payload");
    CHECK(seen.faults().size() == 2);
}

TEST_CASE("a job that was refused each time and runs is a fault")
{
    ledger seen;
    accept(seen, call_outcome::refused);
    seen.started("a", run_of(0, 1), "payload");
    seen.check_at_end();
    CHECK(seen.faults().size() == 1);

    ledger unknown;
    accept(unknown, call_outcome::unknown);
    unknown.started("a", run_of(0, 1), "payload");
    unknown.check_at_end();
    CHECK(unknown.faults().empty());
}

TEST_CASE("an accepted job that is unknown, unfinished or shown without cause is a fault")
{
    ledger unknown;
    accept(unknown);
    unknown.shown(job_id, call_outcome::gone, "");
    CHECK(unknown.faults().size() == 1);

    ledger unfinished;
    accept(unfinished);
    unfinished.check_at_end();
    CHECK(unfinished.faults().size() == 1);

    for (const std::string state : {"completed", "failed", "cancelled"}) {
        ledger without_cause;
        accept(without_cause);
        without_cause.shown(job_id, call_outcome::accepted, state);
        CHECK_FALSE(without_cause.faults().empty());
    }
}

TEST_CASE("a cancelled job that still runs in calm is a fault")
{
    ledger seen;
    accept(seen);
    seen.started("a", run_of(0, 1), "payload");
    seen.cancelling(job_id);
    seen.cancelled(job_id, call_outcome::accepted);
    seen.check_at_end();
    CHECK(seen.faults().size() == 1);
}

TEST_CASE("a configuration older than an acknowledged one is a fault")
{
    ledger seen;
    seen.installing(3);
    seen.installed(3);
    seen.installing(5);
    seen.read_version(5, 3);
    CHECK(seen.faults().empty());
    seen.read_version(2, 3);
    CHECK(seen.faults().size() == 1);
    seen.read_version(6, 3);
    CHECK(seen.faults().size() == 2);
}
