#include <algorithm>

#include <fmt/format.h>

#include "engine_state.h"
#include "reservation.h"

/// What happens when a job does not fit now: reclaim, overruled reservations, backfill,
/// reservation; and the evacuation of withdrawn data centres.
namespace redwingwheel::placement {

namespace {

// A reservation that has not become free this long after it was expected is planned anew.
constexpr std::chrono::seconds reservation_overrun{30};
// Bounds of one turn.
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

/// The account's own cells as far as they are free, also where a reservation may be taken back.
extra_capacity engine::implementation::own_free(const job_record& job) const
{
    extra_capacity own;
    if (job.spec.priority == job_priority::low) {
        return own;
    }
    for (const auto& [index, mask] : this->book.cells_of(job.spec.account)) {
        const host_state& host = this->tree.host(index);
        if (!this->tree.is_available(index)) {
            continue;
        }
        accelerator_mask open = mask & ~host.held & ~host.claimed;
        for_each_accelerator(mask & ~host.held & host.reserved, [&](std::uint32_t n) {
            const job_record& reserver = this->jobs[host.claimant[n]];
            if (reserver.spec.account != job.spec.account ||
                reserver.spec.priority > job.spec.priority) {
                open |= accelerator_mask{1} << n;
            }
        });
        if (open != 0) {
            own[index] = open;
        }
    }
    return own;
}

/// As own_free, with the accelerators that borrowers hold; with `from_own_normal` also those of the
/// account's own work of lower priority.
extra_capacity engine::implementation::own_reclaimable(const job_record& job,
                                                       bool from_own_normal) const
{
    extra_capacity own = this->own_free(job);
    bool lent = false;
    for (const auto& [cell_host, mask] : this->book.cells_of(job.spec.account)) {
        const host_index index = cell_host;
        const host_state& host = this->tree.host(index);
        if (!this->tree.is_available(index)) {
            continue;
        }
        const accelerator_mask promised = host.claimed & ~host.reserved;
        for_each_accelerator(mask & host.held & ~promised, [&](std::uint32_t n) {
            const job_record& holder = this->jobs[host.holder[n]];
            const bool is_borrower = holder.spec.account != job.spec.account ||
                                     holder.spec.priority == job_priority::low ||
                                     (from_own_normal && holder.spec.priority > job.spec.priority);
            if (is_borrower && (this->is_stoppable(holder.spec) || holder.broken ||
                                holder.state == job_state::stopping)) {
                own[index] |= accelerator_mask{1} << n;
                lent = true;
            }
        });
    }
    return lent ? own : extra_capacity{};
}

bool engine::implementation::may_reclaim(const job_record& job) const
{
    const bool may = job.spec.priority == job_priority::urgent ||
                     (job.spec.priority == job_priority::normal &&
                      this->clock() >= job.submitted + this->options.normal_reclaim_wait);
    return may && !this->book.cells_of(job.spec.account).empty();
}

bool engine::implementation::reclaim(job_slot slot, std::vector<decision>& out)
{
    const job_record& job = this->jobs[slot];
    if (!this->may_reclaim(job)) {
        return false;
    }
    gang_request request = this->request_of(job);
    request.avoided = job.failed_on;
    std::optional<gang_parts> found;
    // The account's own normal work stops only when borrowers do not hold enough.
    for (const bool from_own_normal : {false, true}) {
        const extra_capacity own = this->own_reclaimable(job, from_own_normal);
        // No part of another account's cell: its owner could not take back what is promised here.
        if (!found.has_value() && !own.empty()) {
            found = this->search.find_with(request, capacity_view::common, own);
        }
    }
    if (!found.has_value()) {
        return false;
    }
    std::set<job_slot> borrowers;
    std::set<job_slot> overruled;
    for (const host_part& part : *found) {
        const host_state& host = this->tree.host(part.host);
        for_each_accelerator(part.accelerators & host.held,
                             [&](std::uint32_t n) { borrowers.insert(host.holder[n]); });
        for_each_accelerator(part.accelerators & host.reserved,
                             [&](std::uint32_t n) { overruled.insert(host.claimant[n]); });
    }
    for (const job_slot reserver : overruled) {
        this->drop_claim(reserver);
    }
    this->drop_claim(slot);
    if (borrowers.empty()) {
        this->start(slot, std::move(*found), out);
        return true;
    }
    this->set_claim(slot, claim_kind::reclaim, std::move(*found));
    for (const job_slot borrower : borrowers) {
        this->stop_for(borrower, slot, fmt::format("{} takes its guarantee back", job.spec.account),
                       out);
    }
    this->jobs[slot].record = {
        job.spec.id,
        "reserved",
        {},
        fmt::format("waits until {} borrowers of its guarantee have stopped", borrowers.size()),
        {}};
    return true;
}

/// A job may take what is reserved for a job of lower priority.
bool engine::implementation::overrule_reservations(job_slot slot, std::vector<decision>& out)
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
            const accelerator_mask open =
                part.accelerators & ~host.held & ~this->kept_from(job.spec, part.host);
            if (open != 0) {
                reserved[part.host] |= open;
            }
        }
    }
    if (reserved.empty()) {
        return false;
    }
    gang_request request = this->request_of(job);
    request.avoided = job.failed_on;
    std::optional<gang_parts> found = this->search.find_with(
        request, request.may_borrow ? capacity_view::lendable : capacity_view::common, reserved);
    if (!found.has_value()) {
        return false;
    }
    this->start(slot, std::move(*found), out);
    return true;
}

/// Runs a job on accelerators that wait for a large job, when it ends before or can checkpoint.
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
        std::uint32_t room = 0;
        for (const host_part& part : reserver.claimed) {
            const host_state& host = this->tree.host(part.host);
            const accelerator_mask open =
                part.accelerators & ~host.held & ~this->kept_from(job.spec, part.host);
            if (open != 0 && this->tree.is_available(part.host)) {
                capacity[part.host] |= open;
                room += count_of(open);
            }
        }
        gang_request request = this->request_of(job);
        request.avoided = job.failed_on;
        if (room < request.total()) {
            continue;
        }
        std::optional<gang_parts> found = this->search.fill_within(request, capacity);
        if (found.has_value() &&
            this->search.within_ramp(this->tree.host(found->front().host).data_centre,
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

bool engine::implementation::wants_reservation(const job_record& job) const
{
    const std::uint32_t total = job.spec.members * job.spec.accelerators_per_member;
    if (job.claim != claim_kind::none || this->plans_left == 0 ||
        this->clock() < job.submitted + this->options.reservation_wait ||
        total < std::max(2U, this->tree.largest_host() / 2)) {
        return false;
    }
    // Reservations of lower priority do not count: they give way.
    std::uint32_t reservations = 0;
    std::uint64_t reserved = 0;
    for (const job_slot slot : this->claimants) {
        const job_record& other = this->jobs[slot];
        if (other.claim == claim_kind::reservation && other.spec.priority <= job.spec.priority) {
            ++reservations;
            reserved += total_of(other.claimed);
        }
    }
    return reservations == 0 || (reservations < this->reservation_limit() &&
                                 reserved + total <= this->reservation_bound());
}

std::uint32_t engine::implementation::reservation_limit() const
{
    constexpr std::uint32_t data_centres_per_reservation = 3;
    return this->options.max_reservations +
           (std::max(1U, this->tree.data_centre_count()) - 1) / data_centres_per_reservation;
}

std::uint64_t engine::implementation::reservation_bound() const
{
    return this->tree.accelerator_count() * this->options.reservation_percent / 100;
}

/// Drops reservations of lower priority until one of `total` accelerators is within the bounds.
void engine::implementation::make_way(const job_record& job, std::uint64_t total)
{
    std::vector<job_slot> lower;
    std::uint32_t reservations = 0;
    for (const job_slot slot : this->claimants) {
        if (this->jobs[slot].claim == claim_kind::reservation) {
            ++reservations;
            if (this->jobs[slot].spec.priority > job.spec.priority) {
                lower.push_back(slot);
            }
        }
    }
    while (!lower.empty() && (reservations >= this->reservation_limit() ||
                              this->reserved_accelerators() + total > this->reservation_bound())) {
        this->drop_claim(lower.back());
        lower.pop_back();
        --reservations;
    }
}

/// Plans where a large job can run first, as far as forecasts tell, and keeps that place for it.
bool engine::implementation::reserve(job_slot slot)
{
    if (!this->wants_reservation(this->jobs[slot])) {
        return false;
    }
    --this->plans_left;
    const job_record& job = this->jobs[slot];
    this->make_way(job, std::uint64_t{job.spec.members} * job.spec.accelerators_per_member);
    const reservation_planner planner(*this, job);
    std::optional<reservation_plan> plan = planner.plan();
    if (!plan.has_value()) {
        return false;
    }
    this->set_claim(slot, claim_kind::reservation, std::move(plan->parts));
    job_record& reserver = this->jobs[slot];
    const steady_time now = this->clock();
    reserver.claim_ready = plan->ready;
    reserver.claim_review = std::max(plan->ready, now) + reservation_overrun;
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
    std::set<job_slot> seen;
    for (data_centre_index index = 0; index < this->tree.data_centre_count(); ++index) {
        const data_centre_info& place = this->tree.data_centre(index);
        if (place.state == data_centre_state::in_service || place.held == 0) {
            continue;
        }
        for (const host_index host : place.hosts) {
            for (const job_slot slot : this->tree.host(host).holder) {
                if (moves >= max_moves_per_decide || searches >= max_move_searches_per_decide) {
                    return;
                }
                if (slot == no_job || !seen.insert(slot).second) {
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

/// Keeps room elsewhere for a running gang and tells it to stop, when there is such room.
bool engine::implementation::move(job_slot slot, std::vector<decision>& out)
{
    const gang_request request = this->request_of(this->jobs[slot]);
    const extra_capacity own = this->own_free(this->jobs[slot]);
    std::optional<gang_parts> found;
    if (!own.empty()) {
        found = this->search.find_with(request, capacity_view::common, own);
    }
    if (!found.has_value()) {
        found = this->search.find(request, capacity_view::common);
    }
    if (!found.has_value()) {
        return false;
    }
    this->drop_overlapped(slot, *found);
    this->set_claim(slot, claim_kind::move, std::move(*found));
    job_record& job = this->jobs[slot];
    const steady_time deadline = this->clock() + this->options.checkpoint_grace;
    job.state = job_state::stopping;
    job.stop_reason = "its data centre is withdrawn";
    job.record = {job.spec.id, "moved", {}, job.stop_reason, {}};
    out.push_back({move_gang{job.spec.id, deadline, deadline, job.stop_reason}, job.record});
    return true;
}

/// Takes back reservations that overlap `parts`, except the one that the job itself fills.
void engine::implementation::drop_overlapped(job_slot slot, const gang_parts& parts)
{
    std::set<job_slot> overlapped;
    for (const host_part& part : parts) {
        const host_state& host = this->tree.host(part.host);
        for_each_accelerator(part.accelerators & host.claimed,
                             [&](std::uint32_t n) { overlapped.insert(host.claimant[n]); });
    }
    for (const job_slot claimant : overlapped) {
        if (claimant != slot && claimant != this->jobs[slot].backfill_of) {
            this->drop_claim(claimant);
        }
    }
}

} // namespace redwingwheel::placement
