#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// Capacity of the workers, which may change while they run.
namespace redwingwheel::jobs {

namespace {

constexpr const char* over_capacity_reason = "worker is over its capacity";

} // namespace

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

void scheduler::record_capacity(tracked_worker& known, const worker_description& report)
{
    if (known.description.incarnation != report.incarnation) {
        return;
    }
    if (!known.description.capacity.fits_in(report.capacity)) {
        std::erase_if(this->reservations, [&report](const auto& each) {
            const std::vector<worker_incarnation>& held = each.second.workers;
            return std::find(held.begin(), held.end(), report.incarnation) != held.end();
        });
    }
    if (!report.capacity.fits_in(known.description.capacity)) {
        known.excluded_until = steady_time();
    }
}

std::optional<resources> scheduler::announced_capacity(const worker_incarnation& worker) const
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end() || found->second.description.incarnation != worker) {
        return std::nullopt;
    }
    return found->second.description.capacity;
}

/// None of the unconfirmed starts is kept: any of them may have begun, and would still occupy its
/// resources while another one begins.
std::vector<eviction> scheduler::withdraw_excess_starts(const worker_incarnation& worker)
{
    std::vector<eviction> withdrawn;
    const std::optional<resources> capacity = this->announced_capacity(worker);
    if (!capacity.has_value()) {
        return withdrawn;
    }
    const std::optional<resources> occupied =
        this->occupied_resources(worker, this->workers.at(worker));
    if (occupied.has_value() && occupied->fits_in(*capacity)) {
        return withdrawn;
    }
    for (const run_id& run : this->state.runs_on(worker)) {
        if (this->is_confirmed(run) || !this->should_run(run)) {
            continue;
        }
        for (const run_id& each : this->runs_stopped_together(run)) {
            if (this->evicting.emplace(each, over_capacity_reason).second) {
                withdrawn.push_back({each, over_capacity_reason});
            }
        }
    }
    return withdrawn;
}

} // namespace redwingwheel::jobs
