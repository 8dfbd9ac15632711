#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// Steps of which a worker may run a limited number of tasks.
namespace redwingwheel::jobs {

std::vector<std::uint32_t> scheduler::count_tasks_of_step(const scheduling_round& round,
                                                          const pending_step& pending) const
{
    const step_record& record =
        pending.job->open_occurrences.at(pending.occurrence).steps[pending.step];
    std::map<worker_incarnation, std::uint32_t> assigned;
    for (const auto& [index, task] : record.tasks.started()) {
        assigned[task.worker] += task.phase == task_phase::assigned ? 1 : 0;
    }
    const task_id first = pending.id();
    task_id end = first;
    ++end.step;
    std::vector<std::uint32_t> counts;
    for (const worker_incarnation& worker : round.ids) {
        const auto on_worker = assigned.find(worker);
        counts.push_back(on_worker == assigned.end() ? 0 : on_worker->second);
        const std::set<run_id>& listed = this->workers.at(worker).listed;
        const std::set<run_id>& known = this->state.runs_on(worker);
        const auto listed_end = listed.lower_bound({end, 0});
        for (auto each = listed.lower_bound({first, 0}); each != listed_end; ++each) {
            counts.back() += known.contains(*each) ? 0 : 1;
        }
    }
    return counts;
}

} // namespace redwingwheel::jobs
