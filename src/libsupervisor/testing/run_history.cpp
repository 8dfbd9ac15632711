#include "run_history.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace redwingwheel::jobs::testing {

std::string format_run(const run_id& run)
{
    return fmt::format("{}.{}.{}.{} run={}", run.task.job, run.task.occurrence, run.task.step,
                       run.task.index, run.number);
}

void run_history::report(std::string text)
{
    spdlog::error("VIOLATION {}", text);
    const std::chrono::duration<double> since = this->events.now() - this->began_at;
    this->found.push_back({since.count(), std::move(text)});
}

void run_history::started(std::size_t worker, const run_id& run, bool counts)
{
    spdlog::info("sim: started {} on worker {}", format_run(run), worker);
    ++this->start_count;
    this->changed_at = this->events.now();
    this->active[run.task].insert({worker, run});
    task_history& task = this->tasks[run.task];
    task.last_start = this->events.now();
    if (task.done_acknowledged && counts) {
        this->report(fmt::format("{} started on worker {} after an acknowledged end as done",
                                 format_run(run), worker));
    }
}

void run_history::ended(std::size_t worker, const run_id& run, run_outcome outcome)
{
    spdlog::info("sim: ended {} on worker {} outcome={}", format_run(run), worker,
                 run_outcome_name(outcome));
    this->changed_at = this->events.now();
    const auto found_task = this->active.find(run.task);
    if (found_task != this->active.end()) {
        found_task->second.erase({worker, run});
        if (found_task->second.empty()) {
            this->active.erase(found_task);
        }
    }
    this->reported.erase(run.task);
    if (outcome == run_outcome::done) {
        this->tasks[run.task].done_at[run.number] = this->events.now();
    }
}

void run_history::acknowledged(const run_id& run, run_outcome outcome)
{
    if (outcome != run_outcome::done) {
        return;
    }
    task_history& task = this->tasks[run.task];
    if (task.last_start > task.done_at.at(run.number)) {
        this->report(
            fmt::format("end of {} as done acknowledged after a later start", format_run(run)));
    }
    task.done_acknowledged = true;
}

void run_history::check_overlaps(const std::function<bool(std::size_t)>& counts)
{
    for (const auto& [task, runs] : this->active) {
        if (runs.size() < 2 || this->reported.contains(task)) {
            continue;
        }
        std::string text;
        std::size_t count = 0;
        for (const active_run& each : runs) {
            if (counts(each.worker)) {
                ++count;
                text += fmt::format("{}{} on worker {}", text.empty() ? "" : ", ",
                                    format_run(each.run), each.worker);
            }
        }
        if (count > 1) {
            this->reported.insert(task);
            this->report("two runs of a task: " + text);
        }
    }
}

} // namespace redwingwheel::jobs::testing
