#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// Keeps tasks that may have crashed a worker apart from the runs of other jobs, so that the next
/// crash shows which of them is the cause and ends no other work.
namespace redwingwheel::jobs {

bool scheduler::has_progressed(const run_id& run) const
{
    const task_record* const task = this->state.find(run.task);
    if (task != nullptr && task->phase == task_phase::done && run.number <= task->last_run) {
        return true;
    }
    const auto known = this->progressed_runs.find(run.task);
    return known != this->progressed_runs.end() && known->second >= run.number;
}

std::vector<worker_incarnation>
scheduler::superseded_without_notice(const worker_incarnation& worker) const
{
    std::vector<worker_incarnation> found;
    for (const auto& [incarnation, on_worker] : this->state.assigned_runs()) {
        const auto known = this->workers.find(incarnation);
        if (incarnation.shares_host_with(worker) && known != this->workers.end() &&
            !known->second.ended && !known->second.description.draining) {
            found.push_back(incarnation);
        }
    }
    return found;
}

bool scheduler::is_crash_suspect(const task_id& id, const task_record& task) const
{
    // A loss of power ends the runs of many sound tasks at once. Isolating them would leave most of
    // the workers unused.
    return std::any_of(task.crashes.begin(), task.crashes.end(),
                       [this, &id](const crash_record& each) {
                           return each.observed && !this->has_progressed({id, each.run});
                       });
}

std::set<std::string> scheduler::crashed_hosts(const pending_step& pending) const
{
    std::set<std::string> hosts;
    const step_record& record =
        pending.job->open_occurrences.at(pending.occurrence).steps[pending.step];
    for (const std::uint32_t index : pending.waiting_tasks) {
        for (const crash_record& each : record.tasks[index].crashes) {
            if (each.observed) {
                hosts.insert(each.host);
            }
        }
    }
    return hosts;
}

scheduler::worker_jobs scheduler::jobs_on(const scheduling_round& round,
                                          const worker_incarnation& worker) const
{
    worker_jobs found;
    for (const run_id& run : this->state.runs_on(worker)) {
        found.jobs.insert(run.task.job);
        const auto known = this->runs.find(run);
        const steady_time started_at =
            known == this->runs.end() ? this->leading_since : known->second.started_at;
        if (this->is_crash_suspect(run.task, *this->state.find(run.task)) &&
            !this->has_progressed(run) &&
            round.now < started_at + this->options.isolation_duration) {
            found.isolated_for = run.task.job;
        }
    }
    return found;
}

void scheduler::add_pending(std::vector<pending_step>& found, pending_step pending,
                            const step_record& record) const
{
    const auto is_suspect = [this, &pending, &record](std::uint32_t index) {
        task_id id = pending.id();
        id.index = index;
        return this->is_crash_suspect(id, record.tasks[index]);
    };
    std::vector<std::uint32_t>& tasks = pending.waiting_tasks;
    const auto first_suspect =
        std::stable_partition(tasks.begin(), tasks.end(),
                              [&is_suspect](std::uint32_t index) { return !is_suspect(index); });
    if (pending.definition().gang || first_suspect == tasks.begin()) {
        pending.crash_suspect = first_suspect != tasks.end();
        std::sort(tasks.begin(), tasks.end());
        found.push_back(std::move(pending));
        return;
    }
    if (first_suspect != tasks.end()) {
        pending_step suspects = pending;
        suspects.waiting_tasks.assign(first_suspect, tasks.end());
        suspects.crash_suspect = true;
        found.push_back(std::move(suspects));
        tasks.erase(first_suspect, tasks.end());
    }
    found.push_back(std::move(pending));
}

bool scheduler::apply_isolation(scheduling_round& round, const pending_step& pending)
{
    std::vector<std::size_t> isolated;
    std::vector<std::size_t> shared;
    for (std::size_t each = 0; each < round.availability.size(); ++each) {
        const worker_jobs& on_worker = round.jobs[each];
        worker_availability& entry = round.availability[each];
        const bool isolated_for_other =
            !on_worker.isolated_for.empty() && on_worker.isolated_for != *pending.job_id;
        const bool runs_other =
            std::any_of(on_worker.jobs.begin(), on_worker.jobs.end(),
                        [&pending](const std::string& job) { return job != *pending.job_id; });
        entry.suspect |= isolated_for_other;
        // Guaranteed work must start within a fixed time.
        const bool may_share = pending.urgency_class == urgency::guaranteed;
        if (entry.eligible && isolated_for_other && !may_share) {
            isolated.push_back(each);
        }
        else if (entry.eligible && pending.crash_suspect && runs_other) {
            shared.push_back(each);
        }
    }
    if (isolated.empty() && shared.empty()) {
        return false;
    }
    const isolation_key key(pending.id(), pending.crash_suspect);
    const auto since = this->isolation_since.try_emplace(key, round.now).first;
    const milliseconds limit = this->options.isolation_wait_limit;
    if (round.now < since->second + (pending.crash_suspect ? 2 * limit : limit)) {
        for (const std::size_t each : isolated) {
            round.availability[each].eligible = false;
        }
    }
    const bool isolate = pending.crash_suspect && round.now < since->second + limit;
    if (isolate) {
        for (const std::size_t each : shared) {
            round.availability[each].eligible = false;
        }
    }
    return isolate;
}

/// Forgets since when steps have waited for isolated workers that no longer wait.
void scheduler::update_isolation_since(const std::vector<pending_step>& waiting)
{
    std::set<isolation_key> keys;
    for (const pending_step& each : waiting) {
        keys.emplace(each.id(), each.crash_suspect);
    }
    std::erase_if(this->isolation_since,
                  [&keys](const auto& each) { return !keys.contains(each.first); });
}

} // namespace redwingwheel::jobs
