#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

} // namespace

// Failure: a run stays on a draining worker that shuts down before the run can end.
TEST_CASE("a run that a draining worker cannot finish is stopped")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("long", "batch", 1, 1);
    w.submit("short", "batch", 1, 1);
    w.decide();
    w.advance_time(milliseconds(4000));
    w.workers["a"].draining = true;
    w.workers["a"].remaining_ms = 2000;
    w.report("a", {{{{"long", 0, 0, 0}, 1}, "", 20}, {{{"short", 0, 0, 0}, 1}, "", 80}});
    const schedule made = w.decide();
    REQUIRE(made.evictions.size() == 1);
    CHECK(made.evictions[0].run.task.job == "long");
}

// Failure: runs of a worker that is disconnected for a short time are stopped although they
// progress.
TEST_CASE("a run is not stalled while its worker does not report")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 8);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    w.report("a", {{run, "", 5}});
    w.advance_time(milliseconds(4000));
    CHECK(w.decide().evictions.empty());
    w.report("a", {{run, "", 60}});
    CHECK(w.decide().evictions.empty());
}

// Failure: only the member on the faulty worker is stopped. The other members then end without a
// checkpoint, and the gang resumes from an older one.
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
    const std::string healthy = w.state.find(second.task)->worker.id;
    std::uint32_t percent = 0;
    schedule made;
    for (int step = 0; step < 30 && made.evictions.empty(); ++step) {
        w.advance_time(milliseconds(100));
        w.report(stalled, {{first, "", 5}});
        w.report(healthy, {{second, "", ++percent}});
        made = w.decide();
    }
    CHECK(made.evictions.size() == 2);
}

// Failure: the healthy worker of a stalled gang becomes suspect, and the gang is assigned to the
// faulty worker again.
TEST_CASE("the worker on which no other run progresses becomes suspect when a gang stalls")
{
    world w;
    for (const char* const id : {"a", "b", "c"}) {
        w.add_worker(id, "r1");
    }
    w.submit("gang", "batch", 2, 7, true);
    REQUIRE(w.decide().assignments.size() == 1);
    const run_id first{{"gang", 0, 0, 0}, 1};
    const run_id second{{"gang", 0, 0, 1}, 1};
    const std::string healthy = w.state.find(first.task)->worker.id;
    const std::string faulty = w.state.find(second.task)->worker.id;
    w.submit("other", "batch", 3, 1);
    w.decide();
    const auto other_on = [&w](const std::string& worker) {
        for (std::uint32_t index = 0; index < 3; ++index) {
            const run_id run{{"other", 0, 0, index}, 1};
            if (w.state.find(run.task)->worker.id == worker) {
                return run;
            }
        }
        FAIL("expected a run of job \"other\" on worker " + worker);
        return run_id();
    };
    const run_id other = other_on(healthy);
    std::uint32_t percent = 0;
    schedule made;
    for (int step = 0; step < 30 && made.evictions.empty(); ++step) {
        w.advance_time(milliseconds(100));
        w.report(faulty, {{second, "", 5}});
        w.report(healthy, {{first, "", 5}, {other, "", ++percent}});
        made = w.decide();
    }
    REQUIRE(made.evictions.size() >= 2);
    w.end_run(first, run_outcome::stopped);
    w.end_run(second, run_outcome::stopped);
    w.report(faulty);
    w.report(healthy);
    w.report("a");
    w.report("b");
    w.report("c");
    w.submit("next", "batch", 1, 7);
    w.decide();
    CHECK_FALSE(w.workers_of("next").contains(faulty));
    CHECK_FALSE(w.workers_of("gang").contains(faulty));
}

// Failure: the remaining members of a gang that has lost one wait for it until they time out.
TEST_CASE("the remaining members of an incomplete gang are stopped at once")
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

// Failure: a worker on which every run fails looks idle and attracts all new runs.
TEST_CASE("a worker on which consecutive runs of different jobs fail is avoided")
{
    world w;
    w.add_worker("bad", "r1");
    for (const char* id : {"a", "b", "c"}) {
        w.add_worker(id, "r2");
    }
    for (const char* id : {"x", "y"}) {
        w.decisions.record_run_end(w.workers["bad"].incarnation,
                                   {1, {{id, 0, 0, 0}, 1}, run_outcome::failed, ""});
    }
    w.submit("job", "batch", 24, 1);
    w.decide();
    CHECK_FALSE(w.workers_of("job").contains("bad"));
}

// Failure: the last attempt of a task is made on the worker on which it has failed before.
TEST_CASE("a failed task is retried on another worker")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    const std::string first = *w.workers_of("job").begin();
    w.end_run({{"job", 0, 0, 0}, 1}, run_outcome::failed);
    w.decide();
    CHECK(w.workers_of("job").size() == 1);
    CHECK(*w.workers_of("job").begin() != first);
}

// Failure: a stalled run occupies its resources forever.
TEST_CASE("a run without progress is stopped")
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
        w.advance_time(milliseconds(1000));
        w.decide();
    }
    CHECK_FALSE(w.decisions.should_run(run));
}

// Failure: a long-running task whose run ends as done is not assigned again.
TEST_CASE("a long-running task is restarted at once when its run ends")
{
    scheduler_world w;
    w.add_worker("a", "r1");
    step_definition step;
    step.per_task = {1000, 1000, 1};
    step.long_running = true;
    w.submit_step("lasting", "batch", step);
    for (std::uint32_t number = 1; number <= 4; ++number) {
        REQUIRE(w.decide().assignments.size() == 1);
        const run_id run{{"lasting", 0, 0, 0}, number};
        w.report("a", {{run, "", 0}});
        w.advance_time(milliseconds(5000));
        w.report("a", {{run, "", 0}});
        w.end_run(run, number % 2 == 0 ? run_outcome::failed : run_outcome::done);
        w.report("a");
    }
    CHECK(w.state.find("lasting")->status == job_status::running);
}

// Failure: a long-running task that ends at once is restarted without a pause and takes the time of
// the leader and the worker.
TEST_CASE("a long-running task that keeps ending at once is restarted with a growing delay")
{
    for (const run_outcome outcome : {run_outcome::done, run_outcome::failed}) {
        scheduler_world w;
        w.add_worker("a", "r1");
        w.add_worker("b", "r1");
        step_definition step;
        step.per_task = {1000, 1000, 1};
        step.long_running = true;
        w.submit_step("lasting", "batch", step);
        constexpr milliseconds interval{50};
        constexpr milliseconds observed{60'000};
        std::size_t starts = 0;
        milliseconds since_start{0};
        milliseconds longest_wait{0};
        for (milliseconds elapsed{0}; elapsed < observed; elapsed += interval) {
            const schedule made = w.decide();
            since_start += interval;
            longest_wait = std::max(longest_wait, since_start);
            for (const assign_runs& each : made.assignments) {
                ++starts;
                since_start = milliseconds(0);
                w.end_run(each.runs.front().run, outcome);
            }
            w.advance_time(interval);
            w.report("a");
            w.report("b");
        }
        INFO("outcome " << run_outcome_name(outcome));
        CHECK(starts <= 25);
        CHECK(starts >= 10);
        CHECK(longest_wait <= milliseconds(4500));
    }
}

// Failure: a sound run that takes longer than the stall timeout for each percent is stopped again
// and again.
TEST_CASE("a long run is not stalled while a percent takes as long as expected")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("long", "batch", 1, 1, false, false, "key", 600'000);
    w.decide();
    const run_id run{{"long", 0, 0, 0}, 1};
    std::size_t evictions = 0;
    for (int step = 0; step < 100; ++step) {
        w.advance_time(milliseconds(500));
        w.report("a", {{run, "", static_cast<std::uint32_t>(step / 12)}});
        evictions += w.decide().evictions.size();
    }
    CHECK(evictions == 0);
    for (int step = 0; step < 62 && evictions == 0; ++step) {
        w.advance_time(milliseconds(500));
        w.report("a", {{run, "", 9}});
        evictions += w.decide().evictions.size();
    }
    CHECK(evictions == 1);
}

// Load: one worker in four is slow, and gangs come beside single tasks that can wait. Failure: each
// gang is as slow as the slow worker, on which the single tasks would have had time.
TEST_CASE("gangs take fast workers, and single tasks with time to spare the slow ones")
{
    world w;
    for (const char* const id : {"slow", "b", "c", "d"}) {
        w.add_worker(id, "r1");
    }
    for (int round = 0; round < 16; ++round) {
        const std::string job = "warm" + std::to_string(round);
        w.submit(job, "batch", 4, 8, false, false, "key", 0);
        REQUIRE(w.decide().assignments.size() == 1);
        std::vector<run_id> late;
        for (const auto& [id, worker] : w.workers) {
            late.insert(late.end(), w.state.runs_on(worker.incarnation).begin(),
                        w.state.runs_on(worker.incarnation).end());
        }
        w.advance_time(milliseconds(2000));
        for (const run_id& run : late) {
            if (w.state.find(run.task)->worker.id != "slow") {
                w.end_run(run, run_outcome::done);
            }
        }
        w.advance_time(milliseconds(2400));
        for (const auto& [id, worker] : w.workers) {
            const std::set<run_id> left = w.state.runs_on(worker.incarnation);
            for (const run_id& run : left) {
                w.end_run(run, run_outcome::done);
            }
            w.report(id);
        }
    }
    CHECK(w.state.durations().slowdown("host-slow") > 1.5);
    w.submit("single", "batch", 1, 2, false, false, "key", 0);
    w.submit("gang", "batch", 3, 8, true, false, "key", 0);
    w.decide();
    CHECK(w.workers_of("single") == std::set<std::string>{"slow"});
    CHECK(w.workers_of("gang") == std::set<std::string>{"b", "c", "d"});
}
