#include "redwingwheel/job_state.h"

#include <algorithm>

#include "redwingwheel/digest.h"

/// What jobs are charged for, and how many of their occurrences are open.
namespace redwingwheel::jobs {

namespace {

/// Estimated memory in bytes, with the overhead of allocations. A job is charged for its record,
/// and for each of its started tasks also for what the leader tracks of a run.
constexpr std::uint64_t bytes_of_job = 640;
constexpr std::uint64_t bytes_of_ended_job = 448;
constexpr std::uint64_t bytes_of_occurrence = 128;
constexpr std::uint64_t bytes_of_started_task = 640;
constexpr std::uint64_t bytes_of_released_run = 128;

/// Steps of all open occurrences of a job together, unless a single occurrence has more.
constexpr std::size_t max_open_steps = 16'384;

bool is_started(const occurrence_record& occurrence)
{
    return std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](const step_record& step) { return step.tasks.record_count() > 0; });
}

std::uint64_t bytes_of_steps(const std::vector<step_definition>& steps)
{
    std::uint64_t bytes = 0;
    for (const step_definition& step : steps) {
        bytes += sizeof(step_definition) + step.depends_on.size() * sizeof(std::uint32_t);
        for (const std::string* const text : {&step.required_label, &step.data_rack, &step.image}) {
            // Short texts are part of the object.
            bytes += text->size() > 15 ? text->size() + 16 : 0;
        }
    }
    return bytes;
}

std::uint64_t bytes_of_open_occurrence(const job_definition& definition)
{
    return bytes_of_occurrence + definition.steps.size() * sizeof(step_record);
}

/// Occurrences that a job is charged for even if fewer are open.
std::uint64_t reserved_occurrences(const job_definition& definition)
{
    const std::uint64_t steps = std::max<std::uint64_t>(1, definition.steps.size());
    return std::min({std::max<std::uint64_t>(1, definition.occurrences),
                     std::uint64_t{default_max_unstarted_occurrences},
                     std::max<std::uint64_t>(1, max_open_steps / steps)});
}

std::uint64_t bytes_of_definition(const job_definition& definition)
{
    return bytes_of_job + definition.payload.size() + bytes_of_steps(definition.steps);
}

std::uint64_t current_bytes(const job_record& job)
{
    if (job.ended() && job.open_occurrences.empty()) {
        return bytes_of_ended_job + bytes_of_steps(job.definition.steps) +
               job.released_runs.size() * bytes_of_released_run;
    }
    std::uint64_t records = 0;
    for (const auto& [number, occurrence] : job.open_occurrences) {
        for (const step_record& step : occurrence.steps) {
            records += step.tasks.record_count();
        }
    }
    const std::uint64_t open =
        std::max<std::uint64_t>(reserved_occurrences(job.definition), job.open_occurrences.size());
    return bytes_of_definition(job.definition) + open * bytes_of_open_occurrence(job.definition) +
           records * bytes_of_started_task + job.released_runs.size() * bytes_of_released_run;
}

} // namespace

std::string owner_of(std::string_view account, std::string_view queue)
{
    return account.empty() ? std::string("queue\n").append(queue) : std::string(account);
}

std::uint64_t estimated_bytes(const job_definition& definition)
{
    return bytes_of_definition(definition) +
           reserved_occurrences(definition) * bytes_of_open_occurrence(definition);
}

std::uint64_t content_of(const job_definition& definition)
{
    return digest::content_hash(definition.payload) + estimated_bytes(definition);
}

bool can_begin_occurrence(const job_record& job)
{
    if (job.begun_occurrences >= job.occurrence_count()) {
        return false;
    }
    if (job.max_unstarted_occurrences == 0 || job.open_occurrences.empty()) {
        return true;
    }
    const std::size_t steps = job.definition.steps.size();
    if ((job.open_occurrences.size() + 1) * steps > max_open_steps) {
        return false;
    }
    const auto unstarted =
        std::count_if(job.open_occurrences.begin(), job.open_occurrences.end(),
                      [](const auto& entry) { return !is_started(entry.second); });
    return unstarted < static_cast<std::ptrdiff_t>(job.max_unstarted_occurrences);
}

void job_state::charge(job_record& job)
{
    this->set_charge(job, current_bytes(job));
    const bool is_pending = job.status == job_status::queued;
    if (is_pending != job.counts_as_pending) {
        std::uint64_t& pending = this->pending_by_queue[job.queue];
        is_pending ? ++pending : --pending;
        job.counts_as_pending = is_pending;
    }
}

void job_state::set_charge(job_record& job, std::uint64_t bytes)
{
    std::uint64_t& of_owner = this->charges_by_owner[owner_of(job.account, job.queue)];
    of_owner = of_owner + bytes - job.charged_bytes;
    this->total_charge = this->total_charge + bytes - job.charged_bytes;
    job.charged_bytes = bytes;
    if (of_owner == 0) {
        this->charges_by_owner.erase(owner_of(job.account, job.queue));
    }
}

std::uint64_t job_state::charged_bytes(const std::string& owner) const
{
    const auto found = this->charges_by_owner.find(owner);
    return found == this->charges_by_owner.end() ? 0 : found->second;
}

room_usage room_usage_of(const job_state& state)
{
    return {[&state] { return state.charged_bytes(); },
            [&state](const std::string& owner) { return state.charged_bytes(owner); },
            [&state] { return state.owner_count(); }};
}

} // namespace redwingwheel::jobs
