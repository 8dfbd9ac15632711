#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "event_queue.h"
#include "redwingwheel/job_model.h"

namespace redwingwheel::jobs::testing {

struct violation {
    double at_seconds = 0.0; ///< Since the beginning of the simulation.
    std::string text;
};

[[nodiscard]] std::string format_run(const run_id& run);

/// Checks the runs on all workers: no two runs of a task at the same time, and none after the task
/// is done.
class run_history {
public:
    explicit run_history(event_queue& queue) : events(queue), began_at(queue.now()) {}

    /// `counts` is false for a start for which the worker is excused.
    void started(std::size_t worker, const run_id& run, bool counts);
    void ended(std::size_t worker, const run_id& run, run_outcome outcome);
    void acknowledged(const run_id& run, run_outcome outcome);
    /// Records the tasks with several runs at present. Runs on workers for which `counts` is false
    /// are left out.
    void check_overlaps(const std::function<bool(std::size_t worker)>& counts);

    [[nodiscard]] std::uint64_t starts() const { return this->start_count; }
    [[nodiscard]] bool anything_runs() const { return !this->active.empty(); }
    /// When a run was last started or ended.
    [[nodiscard]] steady_time last_change() const { return this->changed_at; }
    [[nodiscard]] const std::vector<violation>& violations() const { return this->found; }
    void report(std::string text);

private:
    struct active_run {
        std::size_t worker = 0;
        run_id run;
        friend bool operator<(const active_run& left, const active_run& right)
        {
            return std::tie(left.worker, left.run) < std::tie(right.worker, right.run);
        }
    };
    struct task_history {
        steady_time last_start;
        /// Last end of each run that was done, by number of the run.
        std::map<std::uint32_t, steady_time> done_at;
        bool done_acknowledged = false;
    };

    event_queue& events;
    steady_time began_at;
    std::uint64_t start_count = 0;
    steady_time changed_at;
    std::map<task_id, std::set<active_run>> active;
    /// Tasks with several runs that were reported, until one of these ends.
    std::set<task_id> reported;
    std::map<task_id, task_history> tasks;
    std::vector<violation> found;
};

} // namespace redwingwheel::jobs::testing
