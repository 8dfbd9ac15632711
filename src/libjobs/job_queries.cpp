#include "redwingwheel/job_state.h"

/// What is read from the replicated state.
namespace redwingwheel::jobs {

std::int64_t due_unix_ms(const job_record& job, std::uint32_t occurrence)
{
    if (job.definition.occurrences == 0) {
        return job.submitted_unix_ms;
    }
    return job.definition.first_due_unix_ms + occurrence * job.definition.interval_ms;
}

std::uint64_t job_state::evacuation_revision(const std::string& data_centre) const
{
    const auto found = this->replicated.evacuation_revisions.find(data_centre);
    return found == this->replicated.evacuation_revisions.end() ? 0 : found->second;
}

const job_record* job_state::find(const std::string& id) const
{
    const auto found = this->replicated.jobs.find(id);
    return found == this->replicated.jobs.end() ? nullptr : &found->second;
}

const task_record* job_state::find(const task_id& id) const
{
    const job_record* const job = this->find(id.job);
    if (job == nullptr) {
        return nullptr;
    }
    const auto occurrence = job->open_occurrences.find(id.occurrence);
    if (occurrence == job->open_occurrences.end() || id.step >= occurrence->second.steps.size() ||
        id.index >= occurrence->second.steps[id.step].tasks.size()) {
        return nullptr;
    }
    return &occurrence->second.steps[id.step].tasks[id.index];
}

const std::set<run_id>& job_state::runs_on(const worker_incarnation& worker) const
{
    static const std::set<run_id> none;
    const auto found = this->runs_by_worker.find(worker);
    return found == this->runs_by_worker.end() ? none : found->second;
}

std::uint64_t job_state::last_recorded_end(const worker_incarnation& worker) const
{
    const auto found = this->replicated.last_recorded_ends.find(worker);
    return found == this->replicated.last_recorded_ends.end() ? 0 : found->second;
}

std::uint64_t job_state::last_superseded_end(const worker_incarnation& worker) const
{
    const auto found = this->replicated.last_superseded_ends.find(worker);
    return found == this->replicated.last_superseded_ends.end() ? 0 : found->second;
}

bool job_state::has_superseded_end(const worker_incarnation& worker,
                                   std::span<const ended_run> ended_runs) const
{
    const std::uint64_t recorded = this->last_recorded_end(worker);
    const std::uint64_t superseded = this->last_superseded_end(worker);
    return std::any_of(ended_runs.begin(), ended_runs.end(), [&](const ended_run& each) {
        return each.number <= recorded ? each.number <= superseded : this->is_superseded(each);
    });
}

const queue_definition* job_state::find_queue(std::string_view host, std::string_view path) const
{
    const queue_definition* best = nullptr;
    for (const queue_definition& queue : this->replicated.configuration.queues) {
        if (queue.host == host && path.starts_with(queue.path_prefix) &&
            (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const account_definition* job_state::find_account(std::string_view key) const
{
    if (key.empty()) {
        return nullptr;
    }
    for (const account_definition& account : this->replicated.configuration.accounts) {
        if (std::find(account.keys.begin(), account.keys.end(), key) != account.keys.end()) {
            return &account;
        }
    }
    return nullptr;
}

std::uint64_t job_state::count_pending_jobs(std::string_view queue) const
{
    const auto found = this->pending_by_queue.find(queue);
    return found == this->pending_by_queue.end() ? 0 : found->second;
}

bool job_state::occurrence_due(std::int64_t now_unix_ms) const
{
    return std::any_of(this->replicated.jobs.begin(), this->replicated.jobs.end(),
                       [now_unix_ms](const auto& entry) {
                           const job_record& job = entry.second;
                           return !job.ended() && can_begin_occurrence(job) &&
                                  due_unix_ms(job, job.begun_occurrences) <= now_unix_ms;
                       });
}

} // namespace redwingwheel::jobs
