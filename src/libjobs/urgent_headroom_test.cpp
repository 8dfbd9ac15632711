#include "urgent_headroom.h"

#include <catch2/catch.hpp>

#include "scheduler_world.h"

using namespace redwingwheel::jobs;
using redwingwheel::milliseconds;
using redwingwheel::steady_time;

namespace {

constexpr steady_time start{std::chrono::hours(1)};

/// Four racks of two workers with 8 accelerators, three quarters of which ordinary work uses.
std::vector<headroom_worker> busy_workers()
{
    std::vector<headroom_worker> workers;
    for (const std::string_view rack : {"r1", "r2", "r3", "r4"}) {
        workers.insert(workers.end(), 2, headroom_worker{rack, true, 8, 6, 0, 0});
    }
    return workers;
}

} // namespace

// Failure: the headroom starves ordinary work when there is little urgent work, or grows over its
// limit when there is much.
TEST_CASE("the headroom follows the urgent demand within its limit", "[headroom]")
{
    urgent_headroom headroom({.max_share = 0.5});
    const std::vector<headroom_worker> workers = busy_workers();
    CHECK(headroom.choose(workers, 0, 0, start).empty());
    CHECK(headroom.choose(workers, 4, 0, start).size() == 2);
    CHECK(headroom.choose(workers, 20, 4, start).size() == 4);
    CHECK(headroom.choose(workers, 64, 0, start).size() == 4);
    CHECK(headroom.choose(workers, 0, 0, start + milliseconds(24'000)).size() == 2);
    CHECK(headroom.choose(workers, 0, 0, start + std::chrono::hours(1)).empty());
}

// Failure: ordinary work is kept out although most of the deployment is idle.
TEST_CASE("there is no headroom while half of the accelerators is free", "[headroom]")
{
    urgent_headroom headroom({.max_share = 0.5});
    std::vector<headroom_worker> workers = busy_workers();
    for (headroom_worker& each : workers) {
        each.ordinary_use = 2;
    }
    CHECK(headroom.choose(workers, 8, 0, start).empty());
}

// Failure: the headroom moves from rack to rack, or is on slow or unusable workers.
TEST_CASE("the headroom stays on fast racks that can be used", "[headroom]")
{
    urgent_headroom headroom({.max_share = 0.4});
    std::vector<headroom_worker> workers = busy_workers();
    workers[0].pace_class = 4;
    workers[4].ordinary_use = 0;
    CHECK(headroom.choose(workers, 8, 0, start) == std::vector<std::size_t>{4, 5});
    workers[2].ordinary_use = 0;
    workers[3].ordinary_use = 0;
    CHECK(headroom.choose(workers, 8, 0, start) == std::vector<std::size_t>{4, 5});
    workers[4].usable = false;
    workers[5].usable = false;
    CHECK(headroom.choose(workers, 8, 0, start) == std::vector<std::size_t>{2, 3});
}

// Load: ordinary jobs that can wait fill all workers, and urgent jobs come every few seconds that
// leave no time for an eviction. Failure: each of them evicts, waits for it and is late.
TEST_CASE("urgent jobs start at once beside a backlog of ordinary ones", "[headroom]")
{
    for (const double share : {0.0, 0.25}) {
        scheduler_options options;
        options.urgent_headroom = share;
        scheduler_world w(options);
        for (int worker = 0; worker < 8; ++worker) {
            w.add_worker("w" + std::to_string(worker), "r" + std::to_string(worker / 2));
        }
        std::map<run_id, steady_time> ends;
        std::size_t evictions = 0;
        std::size_t started_at_once = 0;
        for (int step = 0; step < 400; ++step) {
            w.advance_time(milliseconds(100));
            if (step % 10 == 0) {
                w.submit("ordinary" + std::to_string(step), "batch", 6, 1, false, false, "other",
                         10'000);
            }
            if (step % 25 == 0) {
                w.submit("urgent" + std::to_string(step), "urgent", 2, 4, true, true, "other",
                         2000);
            }
            for (auto each = ends.begin(); each != ends.end();) {
                const bool over = each->second <= w.time.now();
                const task_record* const task = w.state.find(each->first.task);
                if (over && task != nullptr && task->phase == task_phase::assigned &&
                    task->last_run == each->first.number) {
                    w.end_run(each->first, w.decisions.should_run(each->first)
                                               ? run_outcome::done
                                               : run_outcome::stopped);
                }
                each = over ? ends.erase(each) : std::next(each);
            }
            for (const auto& [id, description] : w.workers) {
                std::vector<run_progress> running;
                for (const run_id& run : w.state.runs_on(description.incarnation)) {
                    running.push_back({run, "", static_cast<std::uint32_t>(step % 90 + 1)});
                }
                w.report(id, running);
            }
            const schedule made = w.decide();
            evictions += made.evictions.size();
            for (const eviction& each : made.evictions) {
                ends[each.run] = w.time.now() + milliseconds(1000);
            }
            for (const assign_runs& each : made.assignments) {
                const std::string& job = each.runs.front().run.task.job;
                const bool urgent = job.starts_with("urgent");
                started_at_once += urgent && job == "urgent" + std::to_string(step) ? 1 : 0;
                for (const assignment& run : each.runs) {
                    ends[run.run] = w.time.now() + milliseconds(urgent ? 2000 : 10'000);
                }
            }
        }
        CAPTURE(share, evictions, started_at_once);
        if (share > 0.0) {
            CHECK(started_at_once >= 12);
            CHECK(evictions <= 16);
        }
        else {
            CHECK(started_at_once < 12);
            CHECK(evictions > 16);
        }
    }
}
