#include <algorithm>

#include <fmt/format.h>

#include "engine_state.h"
#include "reservation.h"

/// Alternatives for a job that does not fit into free accelerators: reclaim, preemption of
/// reservations, backfill and reservation; also the evacuation of withdrawn data centres.
namespace redwingwheel::placement {

namespace {

// A reservation is planned again if its accelerators are not free this long after the expected
// time.
constexpr std::chrono::seconds reservation_overrun{30};
// Limits per call of decide.
constexpr std::uint32_t max_moves_per_decide = 4;
constexpr std::uint32_t max_move_searches_per_decide = 16;

std::uint64_t total_of(const gang_parts& parts)
{
    std::uint64_t sum = 0;
    for (const host_part& part : parts) {
        sum += count_of(part.accelerators);
    }
    return sum;
}

} // namespace

/// The free accelerators in the account's cells, including those under a reservation of another
/// account or of a lower priority. Empty for jobs of priority low.
extra_capacity engine::implementation::own_free(const job_record& job) const
{
    extra_capacity own;
    if (job.spec.priority == job_priority::low) {
        return own;
    }
    for (const auto& [index, mask] : this->allocator.cells_of(job.spec.account)) {
        const host_state& host = this->tree.host(index);
        if (!this->tree.is_available(index)) {
            continue;
        }
        accelerator_mask usable = mask & ~host.held & ~host.claimed;
        for_each_accelerator(mask & ~host.held & host.reserved, [&](std::uint32_t n) {
            const job_record& reserver = this->jobs[host.claimant_by_accelerator[n]];
            if (reserver.spec.account != job.spec.account ||
                reserver.spec.priority > job.spec.priority) {
                usable |= accelerator_mask{1} << n;
            }
        });
        if (usable != 0) {
            own[index] = usable;
        }
    }
    return own;
}

/// Like own_free, plus the accelerators held by borrowers that can be stopped; with
/// `from_own_normal` also by the account's own jobs of a lower priority. Empty if there are no such
/// holders.
extra_capacity engine::implementation::own_reclaimable(const job_record& job,
                                                       bool from_own_normal) const
{
    extra_capacity own = this->own_free(job);
    bool any_reclaimable = false;
    for (const auto& [cell_host, mask] : this->allocator.cells_of(job.spec.account)) {
        const host_index index = cell_host;
        const host_state& host = this->tree.host(index);
        if (!this->tree.is_available(index)) {
            continue;
        }
        const accelerator_mask not_preemptible = host.claimed & ~host.reserved;
        for_each_accelerator(mask & host.held & ~not_preemptible, [&](std::uint32_t n) {
            const job_record& holder = this->jobs[host.holder_by_accelerator[n]];
            const bool is_borrower = holder.spec.account != job.spec.account ||
                                     holder.spec.priority == job_priority::low ||
                                     (from_own_normal && holder.spec.priority > job.spec.priority);
            if (is_borrower && (this->is_stoppable(holder.spec) || holder.broken ||
                                holder.state == job_state::stopping)) {
                own[index] |= accelerator_mask{1} << n;
                any_reclaimable = true;
            }
        });
    }
    return any_reclaimable ? own : extra_capacity{};
}

bool engine::implementation::may_reclaim(const job_record& job) const
{
    const bool priority_allows =
        job.spec.priority == job_priority::urgent ||
        (job.spec.priority == job_priority::normal &&
         this->clock() >= job.submitted + this->options.normal_reclaim_wait);
    return priority_allows && !this->allocator.cells_of(job.spec.account).empty();
}

bool engine::implementation::reclaim(job_slot slot, std::vector<decision>& out)
{
    const job_record& job = this->jobs[slot];
    if (!this->may_reclaim(job)) {
        return false;
    }
    gang_request request = this->request_of(job);
    request.excluded_hosts = job.failed_on;
    std::optional<gang_parts> found;
    // The account's own jobs are stopped only if the borrowed accelerators do not suffice.
    for (const bool from_own_normal : {false, true}) {
        const extra_capacity own = this->own_reclaimable(job, from_own_normal);
        // Other accounts' cells are excluded: their owners could not reclaim what is claimed here.
        if (!found.has_value() && !own.empty()) {
            found = this->search.find_with_extra(request, capacity_view::common, own);
        }
    }
    if (!found.has_value()) {
        return false;
    }
    std::set<job_slot> borrowers;
    std::set<job_slot> preempted;
    for (const host_part& part : *found) {
        const host_state& host = this->tree.host(part.host);
        for_each_accelerator(part.accelerators & host.held, [&](std::uint32_t n) {
            borrowers.insert(host.holder_by_accelerator[n]);
        });
        for_each_accelerator(part.accelerators & host.reserved, [&](std::uint32_t n) {
            preempted.insert(host.claimant_by_accelerator[n]);
        });
    }
    for (const job_slot reserver : preempted) {
        this->drop_claim(reserver);
    }
    this->drop_claim(slot);
    if (borrowers.empty()) {
        this->start(slot, std::move(*found), out);
        return true;
    }
    this->set_claim(slot, claim_kind::reclaim, std::move(*found));
    for (const job_slot borrower : borrowers) {
        this->preempt_gang(borrower, slot,
                           fmt::format("{} takes its guarantee back", job.spec.account), out);
    }
    this->jobs[slot].record = {
        job.spec.id,
        "reserved",
        {},
        fmt::format("waits until {} borrowers of its guarantee have stopped", borrowers.size()),
        {}};
    return true;
}

/// Starts a job on accelerators that are reserved for jobs of lower priority. False if it does not
/// fit there.
bool engine::implementation::preempt_reservations(job_slot slot, std::vector<decision>& out)
{
    const job_record& job = this->jobs[slot];
    extra_capacity reserved;
    for (const job_slot claimant : this->claimants) {
        const job_record& reserver = this->jobs[claimant];
        if (reserver.claim != claim_kind::reservation ||
            reserver.spec.priority <= job.spec.priority) {
            continue;
        }
        for (const host_part& part : reserver.claimed) {
            const host_state& host = this->tree.host(part.host);
            const accelerator_mask usable =
                part.accelerators & ~host.held & ~this->withheld_from(job.spec, part.host);
            if (usable != 0) {
                reserved[part.host] |= usable;
            }
        }
    }
    if (reserved.empty()) {
        return false;
    }
    gang_request request = this->request_of(job);
    request.excluded_hosts = job.failed_on;
    std::optional<gang_parts> found = this->search.find_with_extra(
        request, request.may_borrow ? capacity_view::lendable : capacity_view::common, reserved);
    if (!found.has_value()) {
        return false;
    }
    this->start(slot, std::move(*found), out);
    return true;
}

/// Starts a job on accelerators reserved for a larger one, if it is expected to end before they are
/// needed or can checkpoint. False if it does not fit there.
bool engine::implementation::backfill(job_slot slot, std::vector<decision>& out)
{
    const job_record& job = this->jobs[slot];
    if (job.claim != claim_kind::none) {
        return false;
    }
    const steady_time now = this->clock();
    const steady_time end = now + this->remaining_run_time(job);
    for (const job_slot claimant : this->claimants) {
        const job_record& reserver = this->jobs[claimant];
        if (reserver.claim != claim_kind::reservation ||
            (!job.spec.can_checkpoint && end > reserver.claim_ready) ||
            (job.spec.adjacency <= cell_level::rack &&
             reserver.spec.adjacency > job.spec.adjacency)) {
            continue;
        }
        extra_capacity capacity;
        std::uint32_t usable_count = 0;
        for (const host_part& part : reserver.claimed) {
            const host_state& host = this->tree.host(part.host);
            const accelerator_mask usable =
                part.accelerators & ~host.held & ~this->withheld_from(job.spec, part.host);
            if (usable != 0 && this->tree.is_available(part.host)) {
                capacity[part.host] |= usable;
                usable_count += count_of(usable);
            }
        }
        gang_request request = this->request_of(job);
        request.excluded_hosts = job.failed_on;
        if (usable_count < request.total()) {
            continue;
        }
        std::optional<gang_parts> found = this->search.find_within(request, capacity);
        if (found.has_value() &&
            this->search.within_ramp_limit(this->tree.host(found->front().host).data_centre,
                                           request.total(), now)) {
            this->jobs[slot].backfill_of = claimant;
            this->start(slot, std::move(*found), out);
            return true;
        }
    }
    return false;
}

std::uint64_t engine::implementation::reserved_accelerators() const
{
    std::uint64_t sum = 0;
    for (const job_slot slot : this->claimants) {
        if (this->jobs[slot].claim == claim_kind::reservation) {
            sum += total_of(this->jobs[slot].claimed);
        }
    }
    return sum;
}

bool engine::implementation::may_reserve(const job_record& job) const
{
    const std::uint32_t total = job.spec.members * job.spec.accelerators_per_member;
    if (job.claim != claim_kind::none || this->remaining_plans == 0 ||
        this->clock() < job.submitted + this->options.reservation_wait ||
        total < std::max(2U, this->tree.max_host_accelerators() / 2)) {
        return false;
    }
    // Reservations of lower priority do not count because they are dropped if necessary.
    std::uint32_t reservations = 0;
    std::uint64_t reserved = 0;
    for (const job_slot slot : this->claimants) {
        const job_record& other = this->jobs[slot];
        if (other.claim == claim_kind::reservation && other.spec.priority <= job.spec.priority) {
            ++reservations;
            reserved += total_of(other.claimed);
        }
    }
    return reservations == 0 || (reservations < this->max_reservation_count() &&
                                 reserved + total <= this->max_reserved_accelerators());
}

std::uint32_t engine::implementation::max_reservation_count() const
{
    constexpr std::uint32_t data_centres_per_reservation = 3;
    return this->options.max_reservations +
           (std::max(1U, this->tree.data_centre_count()) - 1) / data_centres_per_reservation;
}

std::uint64_t engine::implementation::max_reserved_accelerators() const
{
    return this->tree.accelerator_count() * this->options.reservation_percent / 100;
}

/// Drops reservations of lower priority until a new one of `total` accelerators is within the
/// limits or none is left.
void engine::implementation::drop_lower_reservations(const job_record& job, std::uint64_t total)
{
    std::vector<job_slot> lower_priority;
    std::uint32_t reservations = 0;
    for (const job_slot slot : this->claimants) {
        if (this->jobs[slot].claim == claim_kind::reservation) {
            ++reservations;
            if (this->jobs[slot].spec.priority > job.spec.priority) {
                lower_priority.push_back(slot);
            }
        }
    }
    while (!lower_priority.empty() &&
           (reservations >= this->max_reservation_count() ||
            this->reserved_accelerators() + total > this->max_reserved_accelerators())) {
        this->drop_claim(lower_priority.back());
        lower_priority.pop_back();
        --reservations;
    }
}

/// Claims the accelerators on which a large job is expected to be able to start earliest. False if
/// the job may not reserve or no plan was found.
bool engine::implementation::reserve(job_slot slot)
{
    if (!this->may_reserve(this->jobs[slot])) {
        return false;
    }
    --this->remaining_plans;
    const job_record& job = this->jobs[slot];
    this->drop_lower_reservations(job, std::uint64_t{job.spec.members} *
                                           job.spec.accelerators_per_member);
    const reservation_planner planner(*this, job);
    std::optional<reservation_plan> plan = planner.plan();
    if (!plan.has_value()) {
        return false;
    }
    this->set_claim(slot, claim_kind::reservation, std::move(plan->parts));
    job_record& reserver = this->jobs[slot];
    const steady_time now = this->clock();
    reserver.claim_ready = plan->ready;
    reserver.claim_expires = std::max(plan->ready, now) + reservation_overrun;
    reserver.record = {reserver.spec.id,
                       "reserved",
                       {},
                       fmt::format("keeps room that is expected to be free in {} ms",
                                   remaining_until(plan->ready, now).count()),
                       {}};
    return true;
}

void engine::implementation::evacuate(std::vector<decision>& out)
{
    std::uint32_t moves = 0;
    std::uint32_t searches = 0;
    std::set<job_slot> examined;
    for (data_centre_index index = 0; index < this->tree.data_centre_count(); ++index) {
        const data_centre_info& data_centre = this->tree.data_centre(index);
        if (data_centre.state == data_centre_state::in_service || data_centre.held == 0) {
            continue;
        }
        for (const host_index host : data_centre.hosts) {
            for (const job_slot slot : this->tree.host(host).holder_by_accelerator) {
                if (moves >= max_moves_per_decide || searches >= max_move_searches_per_decide) {
                    return;
                }
                if (slot == no_job || !examined.insert(slot).second) {
                    continue;
                }
                const job_record& job = this->jobs[slot];
                if (job.state != job_state::running || job.broken || !job.spec.can_checkpoint ||
                    job.claim != claim_kind::none ||
                    this->expected_end(slot, this->clock()) <
                        this->clock() + this->options.min_evacuation_run_time) {
                    continue;
                }
                ++searches;
                moves += this->move(slot, out) ? 1 : 0;
            }
        }
    }
}

/// Claims accelerators elsewhere for a running gang and tells it to stop. False, without any
/// change, if it does not fit elsewhere.
bool engine::implementation::move(job_slot slot, std::vector<decision>& out)
{
    const gang_request request = this->request_of(this->jobs[slot]);
    const extra_capacity own = this->own_free(this->jobs[slot]);
    std::optional<gang_parts> found;
    if (!own.empty()) {
        found = this->search.find_with_extra(request, capacity_view::common, own);
    }
    if (!found.has_value()) {
        found = this->search.find(request, capacity_view::common);
    }
    if (!found.has_value()) {
        return false;
    }
    this->drop_overlapping_claims(slot, *found);
    this->set_claim(slot, claim_kind::move, std::move(*found));
    job_record& job = this->jobs[slot];
    const steady_time deadline = this->clock() + this->options.checkpoint_grace;
    job.state = job_state::stopping;
    job.stop_reason = "its data centre is withdrawn";
    job.record = {job.spec.id, "moved", {}, job.stop_reason, {}};
    out.push_back({move_gang{job.spec.id, deadline, deadline, job.stop_reason}, job.record});
    return true;
}

/// Drops the claims of other jobs that overlap `parts`, except the reservation that the job
/// backfills.
void engine::implementation::drop_overlapping_claims(job_slot slot, const gang_parts& parts)
{
    std::set<job_slot> overlapping;
    for (const host_part& part : parts) {
        const host_state& host = this->tree.host(part.host);
        for_each_accelerator(part.accelerators & host.claimed, [&](std::uint32_t n) {
            overlapping.insert(host.claimant_by_accelerator[n]);
        });
    }
    for (const job_slot claimant : overlapping) {
        if (claimant != slot && claimant != this->jobs[slot].backfill_of) {
            this->drop_claim(claimant);
        }
    }
}

} // namespace redwingwheel::placement
