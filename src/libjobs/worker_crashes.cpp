#include <algorithm>

#include "redwingwheel/job_state.h"

/// Counts the worker crashes of each task and gives up jobs whose tasks crash their workers.
namespace redwingwheel::jobs {

namespace {

/// Number of crashes, of workers on at least two hosts, after which a task that was the only
/// suspect each time is given up.
constexpr std::size_t max_crashes_alone = 3;
/// Number of crashes after which a task is given up in any case. At most two starts are allowed
/// after the third crash.
constexpr std::size_t max_crashes = 5;

bool is_single_job(const std::vector<run_id>& runs)
{
    return std::all_of(runs.begin(), runs.end(), [&runs](const run_id& each) {
        return each.task.job == runs.front().task.job;
    });
}

} // namespace

bool has_crashed_too_often(const step_definition& step, const task_record& task)
{
    if (task.crashes.size() >= max_crashes) {
        return true;
    }
    std::size_t alone = 0;
    bool several_hosts = false;
    for (const crash_record& each : task.crashes) {
        alone += each.alone ? 1 : 0;
        several_hosts |= each.host != task.crashes.front().host;
    }
    // A long-running task meets more crashes that it has not caused.
    return alone >= max_crashes_alone && several_hosts && !step.long_running;
}

bool job_state::can_count_crash(const run_id& run) const
{
    const job_record* const job = this->find(run.task.job);
    const task_record* const task = this->find(run.task);
    return job != nullptr && !job->ended() && task != nullptr && task->phase != task_phase::done &&
           run.number <= task->last_run && run.number > task->last_sound_run &&
           std::none_of(task->crashes.begin(), task->crashes.end(),
                        [&run](const crash_record& each) { return each.run == run.number; });
}

command_result job_state::apply_command(const record_worker_crash& command)
{
    for (const run_id& run : command.progressed_runs) {
        this->mark_sound(run);
    }
    const bool alone = command.observed && is_single_job(command.suspected_runs);
    for (const run_id& run : command.suspected_runs) {
        if (this->can_count_crash(run)) {
            this->count_crash(run, {run.number, command.worker.host, alone, command.observed},
                              command.now_unix_ms);
        }
    }
    return command_result::accepted;
}

void job_state::count_crash(const run_id& run, const crash_record& crash, std::int64_t now_unix_ms)
{
    job_record& job = this->replicated.jobs.at(run.task.job);
    task_record& task = this->task_at(run.task);
    task.crashes.push_back(crash);
    if (has_crashed_too_often(job.definition.steps[run.task.step], task)) {
        job.status = job_status::failed;
        job.ended_unix_ms = now_unix_ms;
        this->close_ended_occurrences(job, run.task.occurrence, now_unix_ms);
    }
}

/// Records that the run did not crash its worker. Crashes of earlier runs then had other causes.
void job_state::mark_sound(const run_id& run)
{
    const task_record* const known = this->find(run.task);
    if (known == nullptr || known->phase == task_phase::done || run.number > known->last_run ||
        run.number <= known->last_sound_run) {
        return;
    }
    task_record& task = this->task_at(run.task);
    task.last_sound_run = run.number;
    std::erase_if(task.crashes,
                  [&run](const crash_record& each) { return each.run <= run.number; });
}

task_record& job_state::task_at(const task_id& id)
{
    occurrence_record& occurrence =
        this->replicated.jobs.at(id.job).open_occurrences.at(id.occurrence);
    return occurrence.steps[id.step].tasks.open(id.index);
}

} // namespace redwingwheel::jobs
