#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

} // namespace

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
    w.end(first, run_outcome::stopped);
    w.end(second, run_outcome::stopped);
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
                             {1, {{id, 0, 0, 0}, 1}, run_outcome::failed, ""});
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
    w.end({{"job", 0, 0, 0}, 1}, run_outcome::failed);
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
