#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

run_id first_run(const std::string& job, std::uint32_t index = 0)
{
    return {{job, 0, 0, index}, 1};
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
