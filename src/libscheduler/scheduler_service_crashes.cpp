#include <algorithm>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/scheduler_service.h"
#include "scheduler_service_log.h"

/// Reports of crashed workers.
namespace redwingwheel::jobs {

/// A supervisor repeats its report in each poll, and reports to each new leader. The state counts
/// each run once.
void scheduler_service::propose_reported_crash(const messages::ended_incarnation& ended)
{
    if (ended.crashed) {
        this->propose_crash(ended.worker, ended.runs_at_end, true);
    }
}

void scheduler_service::propose_unreported_crashes(const worker_incarnation& worker)
{
    for (const worker_incarnation& each : this->job_scheduler.superseded_without_notice(worker)) {
        const std::set<run_id>& assigned = this->state.runs_on(each);
        this->propose_crash(each, {assigned.begin(), assigned.end()}, false);
    }
}

void scheduler_service::propose_crash(const worker_incarnation& worker,
                                      const std::vector<run_id>& runs_at_end, bool observed)
{
    const bool is_new =
        std::any_of(runs_at_end.begin(), runs_at_end.end(),
                    [this](const run_id& run) { return this->state.can_count_crash(run); });
    if (!is_new || !this->proposed_crashes.insert(worker).second) {
        return;
    }
    record_worker_crash command;
    command.worker = worker;
    command.now_unix_ms = unix_ms();
    command.observed = observed;
    for (const run_id& run : runs_at_end) {
        (this->job_scheduler.has_progressed(run) ? command.progressed_runs : command.suspected_runs)
            .push_back(run);
    }
    this->metrics.add("worker_crashes_total");
    spdlog::info(
        "event=worker_crashed worker={} born={} host={} observed={} suspected={} progressed={}",
        worker.id, worker.started_unix_ms, worker.host, observed, command.suspected_runs.size(),
        command.progressed_runs.size());
    this->propose(command, [this, worker](const absl::StatusOr<command_result>& result) {
        if (!result.ok()) {
            this->proposed_crashes.erase(worker);
            spdlog::warn("event=crash_not_recorded worker={} error=\"{}\"", worker.id,
                         errors::message_of(result.status()));
        }
    });
}

void scheduler_service::log_crash(const record_worker_crash& command) const
{
    if (!this->leading) {
        return;
    }
    for (const run_id& run : command.suspected_runs) {
        const job_record* const job = this->state.find(run.task.job);
        const task_record* const task = this->state.find(run.task);
        if (job == nullptr || task == nullptr || task->crashes.empty() ||
            task->crashes.back().run != run.number) {
            continue;
        }
        const auto alone = std::count_if(task->crashes.begin(), task->crashes.end(),
                                         [](const crash_record& each) { return each.alone; });
        spdlog::info("event=crash_counted job={} task={} run={} worker={} born={} crashes={} "
                     "alone={}",
                     run.task.job, format_task(run.task), run.number, command.worker.id,
                     command.worker.started_unix_ms, task->crashes.size(), alone);
        if (job->status == job_status::failed && job->ended_unix_ms == command.now_unix_ms) {
            this->metrics.add("jobs_failed_by_crashes_total");
            spdlog::warn("event=job_ended job={} status=failed reason=worker_crashes task={} "
                         "crashes={} alone={} took_ms={}",
                         run.task.job, format_task(run.task), task->crashes.size(), alone,
                         job->ended_unix_ms - job->submitted_unix_ms);
        }
    }
}

} // namespace redwingwheel::jobs
