#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// Which workers certainly run nothing any more, so that their runs are given to others.
namespace redwingwheel::jobs {

void scheduler::record_worker_end(const worker_incarnation& worker)
{
    this->workers[worker].ended = true;
}

bool scheduler::has_ended(const worker_incarnation& worker) const
{
    const auto known = this->workers.find(worker);
    return known != this->workers.end() && known->second.ended;
}

worker_contact scheduler::contact_with(const worker_incarnation& worker) const
{
    const auto known = this->workers.find(worker);
    return known == this->workers.end() ? worker_contact::answers : known->second.contact;
}

/// Permits of an earlier leader may last until `permit_lifetime` from the beginning of the term.
steady_time scheduler::permit_end(const worker_incarnation& worker) const
{
    const auto known = this->workers.find(worker);
    return std::max(this->leading_since + this->options.permit_lifetime,
                    known == this->workers.end() ? steady_time() : known->second.permit_until);
}

milliseconds scheduler::time_since_permit(const worker_incarnation& worker) const
{
    return std::chrono::duration_cast<milliseconds>(this->clock() - this->permit_end(worker));
}

bool scheduler::is_lost(const worker_incarnation& worker, steady_time now) const
{
    return this->has_ended(worker) || this->contact_with(worker) == worker_contact::lease_expired ||
           now >= this->permit_end(worker) + this->options.permit_margin;
}

/// True when a worker on the host lists the run as running. An order for an ended incarnation can
/// be carried out by the next one with the same id; the supervisor stops such a run.
bool scheduler::is_listed_on_host(const run_id& run, std::string_view host, steady_time now) const
{
    return std::any_of(this->workers.begin(), this->workers.end(),
                       [this, &run, host, now](const auto& each) {
                           return each.first.host == host && each.second.listed.contains(run) &&
                                  !this->is_lost(each.first, now);
                       });
}

std::string_view scheduler::loss_reason(const worker_incarnation& worker) const
{
    if (this->has_ended(worker)) {
        return "worker_ended";
    }
    if (this->contact_with(worker) == worker_contact::lease_expired) {
        return "lease_expired";
    }
    return this->time_since_permit(worker) >= milliseconds(0) ? "permit_expired" : "start_refused";
}

void scheduler::release_runs_of_lost_workers(scheduling_round& round)
{
    for (const auto& [worker, on_worker] : this->state.assigned_runs()) {
        const bool ended = this->has_ended(worker);
        const bool lost = this->is_lost(worker, round.now);
        for (const run_id& run : on_worker) {
            // An earlier release that was not committed is decided again.
            if (!lost && !this->releasing.contains(run)) {
                continue;
            }
            if (ended && this->is_listed_on_host(run, worker.host, round.now)) {
                continue;
            }
            this->releasing.insert(run);
            const auto progress = this->runs.find(run);
            round.result.releases.push_back(
                {run, progress == this->runs.end() ? "" : progress->second.checkpoint});
        }
    }
}

} // namespace redwingwheel::jobs
