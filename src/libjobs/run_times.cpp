#include "redwingwheel/job_state.h"

/// What the replicated state learns from the times that runs took.
namespace redwingwheel::jobs {

namespace {

/// Longer times are measuring faults; keeps the sums of the model in range.
constexpr std::int64_t max_run_time_ms = std::int64_t{30} * 24 * 3600 * 1000;

} // namespace

/// Ignores runs that resumed from a checkpoint, which take less time than the whole task, and
/// long-running tasks, which have no duration. Of a gang, the first end that is recorded counts.
void job_state::learn_run_time(const ended_run& end, std::int64_t run_time_ms)
{
    const task_record* const task = this->find(end.run.task);
    if (task == nullptr || task->last_run != end.run.number ||
        task->phase != task_phase::assigned || !task->checkpoint.empty() || run_time_ms <= 0 ||
        run_time_ms > max_run_time_ms || end.outcome == run_outcome::failed ||
        end.outcome == run_outcome::alone) {
        return;
    }
    const job_record& job = *this->find(end.run.task.job);
    const step_definition& definition = job.definition.steps[end.run.task.step];
    if (definition.long_running) {
        return;
    }
    const run_kind kind = kind_of(definition, job.queue, job.account);
    std::string slowest_host = task->worker.host;
    bool alone = true;
    if (definition.gang) {
        const step_record& step =
            job.open_occurrences.at(end.run.task.occurrence).steps[end.run.task.step];
        for (const auto& [index, member] : step.tasks.started()) {
            alone = alone && member.worker.host == task->worker.host;
            if (this->durations().slowdown(member.worker.host) >
                this->durations().slowdown(slowest_host)) {
                slowest_host = member.worker.host;
            }
        }
    }
    if (end.outcome == run_outcome::done) {
        this->replicated.durations.record(kind, run_time_ms, slowest_host, alone);
    }
    else {
        this->replicated.durations.record_cut_short(kind, run_time_ms, slowest_host);
    }
}

} // namespace redwingwheel::jobs
