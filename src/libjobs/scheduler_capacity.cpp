#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// Capacity of the workers, which may change while they run.
namespace redwingwheel::jobs {

std::optional<resources> scheduler::occupied_resources(const worker_incarnation& incarnation,
                                                       const tracked_worker& worker) const
{
    resources occupied;
    const std::set<run_id>& assigned = this->state.runs_on(incarnation);
    for (const run_id& run : assigned) {
        const job_record* const job = this->state.find(run.task.job);
        occupied += counted_resources(job->definition.steps[run.task.step]);
    }
    for (const run_id& run : worker.listed) {
        if (assigned.contains(run)) {
            continue;
        }
        const job_record* const job = this->state.find(run.task.job);
        if (job == nullptr || run.task.step >= job->definition.steps.size()) {
            return std::nullopt;
        }
        occupied += counted_resources(job->definition.steps[run.task.step]);
    }
    return occupied;
}

} // namespace redwingwheel::jobs
