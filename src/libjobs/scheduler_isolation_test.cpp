#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

/// Times after which a scheduling round takes place.
constexpr milliseconds round_period{250};

/// Crashes each worker that starts the task, as often as it is started within `duration`. Returns
/// the number of crashes.
std::size_t crash_each_starter(world& w, const task_id& task, milliseconds duration)
{
    std::size_t crashes = 0;
    for (milliseconds waited{0}; waited < duration; waited += round_period) {
        w.decide();
        const task_record* const record = w.state.find(task);
        if (record != nullptr && record->phase == task_phase::assigned) {
            w.crash(record->worker.id);
            ++crashes;
        }
        w.advance_time(round_period);
        for (const auto& [id, worker] : w.workers) {
            w.report(id);
        }
    }
    return crashes;
}

} // namespace

// Failure: a task that crashes each worker that starts it is started on one worker after the other.
TEST_CASE("a task is not started three times more after three workers have crashed under it")
{
    world w;
    const std::size_t workers = GENERATE(1, 2, 6);
    for (std::size_t each = 0; each < workers; ++each) {
        w.add_worker("w" + std::to_string(each), "r1");
    }
    w.submit("deadly", "batch", 1, 8);
    CHECK(crash_each_starter(w, {"deadly", 0, 0, 0}, milliseconds(60'000)) <= 5);
}

// Failure: a task that has crashed a worker is started beside other jobs and ends their runs too.
TEST_CASE("a task whose worker has crashed is placed on a worker without other jobs")
{
    world w;
    for (const char* const id : {"a", "b", "c"}) {
        w.add_worker(id, "r1");
    }
    w.submit("suspect", "batch", 1, 1);
    w.decide();
    const task_id suspect{"suspect", 0, 0, 0};
    const std::string crashed = w.state.find(suspect)->worker.id;
    w.submit("neighbour", "batch", 1, 1);
    w.decide();
    REQUIRE(w.workers_of("neighbour") == std::set<std::string>{crashed});
    w.crash(crashed);
    w.decide();
    w.decide();
    const std::string second = w.state.find(suspect)->worker.id;
    CHECK(second != crashed);
    CHECK_FALSE(w.workers_of("neighbour").contains(second));

    // The other workers have less room than the isolated one needs for best fit.
    w.submit("later", "batch", 1, 1);
    w.decide();
    CHECK_FALSE(w.workers_of("later").contains(second));
    w.report(second, {{{suspect, 2}, "", 0}});
    w.report(second, {{{suspect, 2}, "", 3}});
    w.submit("last", "batch", 14, 1);
    w.decide();
    CHECK(w.workers_of("last").contains(second));
}

// Failure: a sound task waits for ever, because each worker runs something, or two suspected tasks
// are started beside each other, so that the next crash does not show which of them is the cause.
TEST_CASE("suspected tasks share a worker one after the other when none has become empty in time")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("first", "batch", 1, 1);
    w.submit("second", "batch", 1, 1);
    w.decide();
    w.crash("a");
    w.submit("other", "urgent", 1, 2);
    w.decide();
    w.decide();
    milliseconds waited{0};
    std::vector<milliseconds> started;
    while (started.size() < 2 && waited < milliseconds(10'000)) {
        w.advance_time(round_period);
        waited += round_period;
        w.report("a");
        CHECK(w.decide().evictions.empty());
        const std::size_t running = w.workers_of("first").size() + w.workers_of("second").size();
        started.resize(running, waited);
    }
    CHECK(started == std::vector<milliseconds>{milliseconds(1500), milliseconds(3000)});
}

// Failure: work that must start within a fixed time waits for a suspected task.
TEST_CASE("guaranteed work is started on an isolated worker when there is no other")
{
    const bool guaranteed = GENERATE(true, false);
    world w;
    w.add_worker("a", "r1");
    w.submit("suspect", "batch", 1, 1);
    w.decide();
    w.crash("a");
    w.decide();
    w.decide();
    REQUIRE(w.workers_of("suspect").contains("a"));
    w.submit("urgent", "urgent", 1, 4, false, false, guaranteed ? "key" : "other");
    w.decide();
    CHECK(w.workers_of("urgent").contains("a") == guaranteed);
}

// Failure: other jobs are kept off a worker for as long as a suspected task runs there.
TEST_CASE("a worker is isolated for a limited time")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("suspect", "batch", 1, 1);
    w.decide();
    w.crash("a");
    w.decide();
    w.decide();
    REQUIRE(w.workers_of("suspect").contains("a"));
    const auto starts_after = [&w](const std::string& job, milliseconds wait) {
        w.advance_time(wait);
        w.report("a");
        w.decide();
        return w.workers_of(job).contains("a");
    };
    w.submit("early", "batch", 1, 1);
    CHECK_FALSE(starts_after("early", milliseconds(0)));
    CHECK_FALSE(starts_after("early", milliseconds(1400)));
    CHECK(starts_after("early", milliseconds(100)));
    w.submit("late", "batch", 1, 1);
    CHECK_FALSE(starts_after("late", milliseconds(1400)));
    CHECK(starts_after("late", milliseconds(100)));
}

// Failure: a sound job is given up because its runs share workers with a deadly one.
TEST_CASE("the sound neighbours of a deadly task are not given up")
{
    world w;
    for (const char* const id : {"a", "b"}) {
        w.add_worker(id, "r1");
    }
    w.submit("deadly", "batch", 1, 1);
    for (const char* const id : {"s1", "s2", "s3"}) {
        w.submit(id, "batch", 4, 1);
    }
    std::map<run_id, std::uint32_t> percent;
    for (int round = 0; round < 200; ++round) {
        w.decide();
        const task_record* const deadly = w.state.find({"deadly", 0, 0, 0});
        if (deadly != nullptr && deadly->phase == task_phase::assigned) {
            w.crash(deadly->worker.id);
        }
        if (round == 20) {
            w.decisions.begin_leadership();
        }
        w.advance_time(round_period);
        for (const auto& [id, worker] : w.workers) {
            std::vector<run_progress> running;
            for (const run_id& run : w.state.runs_on(worker.incarnation)) {
                running.push_back({run, "", percent[run] += 5});
            }
            w.report(id, running);
            for (const run_progress& each : running) {
                if (each.percent == 100) {
                    w.end_run(each.run, run_outcome::done);
                }
            }
        }
    }
    CHECK(w.state.find("deadly")->status == job_status::failed);
    for (const char* const id : {"s1", "s2", "s3"}) {
        CHECK(w.state.find(id)->status == job_status::completed);
    }
}

// Failure: a gang whose worker has crashed is spread over workers of other jobs, or is never
// placed.
TEST_CASE("a gang is isolated as a whole, and shares workers when it does not fit otherwise")
{
    world w;
    for (const char* const id : {"a", "b", "c"}) {
        w.add_worker(id, "r1");
    }
    w.submit("gang", "batch", 2, 5, true);
    w.decide();
    REQUIRE(w.workers_of("gang").size() == 2);
    const std::string crashed = w.state.find(task_id{"gang", 0, 0, 0})->worker.id;
    w.crash(crashed);
    w.decide();
    w.end_run({{"gang", 0, 0, 1}, 1}, run_outcome::broken);
    w.submit("s1", "batch", 1, 3);
    w.submit("s2", "batch", 1, 3);
    const auto place_neighbour = [&w](const std::string& job, const std::string& worker) {
        REQUIRE(w.state.apply(assign_runs{{{{{job, 0, 0, 0}, 1}, w.workers[worker].incarnation}},
                                          w.unix_ms}) == command_result::accepted);
    };
    place_neighbour("s1", "a");
    place_neighbour("s2", "b");
    w.decide();
    CHECK(w.workers_of("gang").empty());
    w.advance_time(milliseconds(1500));
    for (const char* const id : {"a", "b", "c"}) {
        w.report(id);
    }
    w.decide();
    CHECK(w.workers_of("gang").size() == 2);
}

// Failure: a deadly task is started once more for each crash that nobody reported, because the
// supervisor ended with its worker.
TEST_CASE("a worker that is replaced without a report is known to have ended without notice")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    const worker_incarnation before = w.workers["a"].incarnation;
    worker_incarnation next = before;
    next.started_unix_ms += 1;
    SECTION("no notice")
    {
        CHECK(w.decisions.superseded_without_notice(next) == std::vector{before});
        CHECK(w.decisions.superseded_without_notice(before).empty());
    }
    SECTION("it was draining")
    {
        w.workers["a"].draining = true;
        w.report("a");
        CHECK(w.decisions.superseded_without_notice(next).empty());
    }
    SECTION("its end is reported")
    {
        w.decisions.record_worker_end(before);
        CHECK(w.decisions.superseded_without_notice(next).empty());
    }
}

// Failure: a new leader does not know which runs have progressed, and counts crashes for all.
TEST_CASE("a run has progressed when it is listed with more than it resumed from")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    const run_id first{{"job", 0, 0, 0}, 1};
    w.report("a", {{first, "", 0}});
    CHECK_FALSE(w.decisions.has_progressed(first));
    w.decisions.begin_leadership();
    w.report("a", {{first, "saved", 40}});
    CHECK(w.decisions.has_progressed(first));

    w.state.apply(release_runs{{{first, "saved"}}, w.unix_ms});
    w.decide();
    const run_id second{first.task, 2};
    REQUIRE(w.workers_of("job").contains("a"));
    w.report("a", {{second, "saved", 40}});
    CHECK_FALSE(w.decisions.has_progressed(second));
    w.report("a", {{second, "saved", 41}});
    CHECK(w.decisions.has_progressed(second));
}

// Failure: after a loss of power most workers stay unused, because each holds one task that waits
// to be cleared.
TEST_CASE("tasks whose worker ended unobserved are not isolated")
{
    const bool observed = GENERATE(true, false);
    world w;
    w.add_worker("a", "r1");
    w.submit("first", "batch", 1, 1);
    w.submit("second", "batch", 1, 1);
    w.decide();
    w.crash("a", observed);
    w.decide();
    w.decide();
    CHECK(w.workers_of("first").contains("a"));
    CHECK(w.workers_of("second").contains("a") != observed);
}
