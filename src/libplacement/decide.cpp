#include <algorithm>

#include <fmt/format.h>

#include "engine_state.h"

/// The steps of one bounded call of decide.
namespace redwingwheel::placement {

namespace {

// A job is not placed on workers it failed on for this long; afterwards only if nothing else fits.
constexpr std::chrono::seconds avoid_failed_workers_for{10};

// Planning a reservation is more expensive than a search.
constexpr std::uint32_t max_plans_per_decide = 4;

/// The properties of a job that affect a search. Jobs with equal shapes have equal search results.
struct search_shape {
    std::string_view account; ///< Empty when the account has no cells.
    std::uint32_t members = 0;
    std::uint32_t accelerators = 0;
    cell_level adjacency = cell_level::accelerator;
    job_priority priority = job_priority::normal;
    bool may_borrow = false;
    friend bool operator<(const search_shape& left, const search_shape& right)
    {
        return std::tie(left.account, left.members, left.accelerators, left.adjacency,
                        left.priority, left.may_borrow) <
               std::tie(right.account, right.members, right.accelerators, right.adjacency,
                        right.priority, right.may_borrow);
    }
};

std::vector<std::string> workers_of(const topology& tree, const gang_parts& parts)
{
    std::vector<std::string> names;
    for (const host_part& part : parts) {
        const std::string& name = tree.host(part.host).spec.name;
        if (names.empty() || names.back() != name) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace

std::vector<decision> engine::implementation::decide()
{
    std::vector<decision> out;
    const steady_time now = this->clock();
    this->remaining_plans = max_plans_per_decide;
    this->release_expired_quarantines(now);
    this->reconcile();
    this->emit_refusals(out);
    this->emit_stops(out);
    this->start_claimants(out);
    this->scan_queue(out);
    this->evacuate(out);
    return out;
}

void engine::implementation::emit_refusals(std::vector<decision>& out)
{
    const std::set<job_slot> refused = std::move(this->to_refuse);
    this->to_refuse.clear();
    for (const job_slot slot : refused) {
        const job_record& job = this->jobs[slot];
        out.push_back(
            {refuse_job{job.spec.id, job.refusal}, {job.spec.id, "refused", {}, job.refusal, {}}});
        this->erase(slot);
    }
}

void engine::implementation::emit_stops(std::vector<decision>& out)
{
    const std::set<job_slot> broken = std::move(this->to_stop);
    this->to_stop.clear();
    const steady_time now = this->clock();
    for (const job_slot slot : broken) {
        job_record& job = this->jobs[slot];
        job.state = job_state::stopping;
        job.record = {
            job.spec.id, "reclaimed", workers_of(this->tree, job.parts), job.stop_reason, {}};
        out.push_back({reclaim_gang{job.spec.id, now, now, "", job.stop_reason}, job.record});
    }
}

/// Tells a running gang to checkpoint and stop in favour of another job. Does nothing if it is
/// stopping already.
void engine::implementation::preempt_gang(job_slot holder, job_slot beneficiary, std::string reason,
                                          std::vector<decision>& out)
{
    job_record& job = this->jobs[holder];
    if (job.state != job_state::running) {
        return;
    }
    this->to_stop.erase(holder);
    const steady_time now = this->clock();
    const steady_time deadline =
        job.spec.can_checkpoint && !job.broken ? now + this->options.checkpoint_grace : now;
    job.state = job_state::stopping;
    job.stop_reason = std::move(reason);
    job.record = {job.spec.id, "reclaimed", workers_of(this->tree, job.parts), job.stop_reason, {}};
    out.push_back(
        {reclaim_gang{job.spec.id, deadline, deadline, this->jobs[beneficiary].spec.id,
                      job.stop_reason, this->jobs[beneficiary].claim == claim_kind::reclaim},
         job.record});
}

/// True if the job's reservation includes cells of other accounts that are being reclaimed; it must
/// then be dropped.
bool engine::implementation::overlaps_closed_cell(const job_record& job) const
{
    return job.claim == claim_kind::reservation &&
           std::any_of(job.claimed.begin(), job.claimed.end(), [&](const host_part& part) {
               return (part.accelerators & this->tree.host(part.host).closed_to_lending &
                       ~this->guaranteed_to(job.spec, part.host)) != 0;
           });
}

void engine::implementation::start_claimants(std::vector<decision>& out)
{
    const steady_time now = this->clock();
    for (const job_slot slot : std::set<job_slot>(this->claimants)) {
        if (this->jobs[slot].claim == claim_kind::none || !this->jobs[slot].parts.empty()) {
            continue;
        }
        if (this->overlaps_closed_cell(this->jobs[slot])) {
            this->drop_claim(slot);
            continue;
        }
        bool ready = true;
        bool may_preempt_holders = true;
        std::set<job_slot> holders;
        for (const host_part& part : this->jobs[slot].claimed) {
            const host_state& host = this->tree.host(part.host);
            for_each_accelerator(host.held & part.accelerators, [&](std::uint32_t n) {
                const job_record& holder = this->jobs[host.holder_by_accelerator[n]];
                ready = false;
                holders.insert(host.holder_by_accelerator[n]);
                may_preempt_holders = may_preempt_holders &&
                                      (holder.state == job_state::stopping ||
                                       (holder.backfill_of == slot && holder.spec.can_checkpoint));
            });
        }
        if (ready ||
            (!this->rules.wait_for_stop && this->jobs[slot].claim == claim_kind::reclaim)) {
            gang_parts parts = this->jobs[slot].claimed;
            this->start(slot, std::move(parts), out);
        }
        else if (this->jobs[slot].claim == claim_kind::reservation) {
            if (may_preempt_holders) {
                for (const job_slot holder : holders) {
                    this->preempt_gang(holder, slot, "the job whose reservation it filled is ready",
                                       out);
                }
            }
            else if (now > this->jobs[slot].claim_expires) {
                this->drop_claim(slot);
            }
        }
    }
}

void engine::implementation::scan_queue(std::vector<decision>& out)
{
    // Half of the scan covers the head of the queue, the other half continues where the last call
    // stopped.
    std::vector<job_slot> scanned;
    const std::uint32_t scan_limit = std::max(2U, this->options.max_scanned_per_decide);
    auto next = this->queue.begin();
    for (; next != this->queue.end() && scanned.size() < scan_limit / 2; ++next) {
        scanned.push_back(next->slot);
    }
    if (this->resume_after.has_value() && next != this->queue.end() &&
        *next < *this->resume_after) {
        next = this->queue.upper_bound(*this->resume_after);
    }
    for (; next != this->queue.end() && scanned.size() < scan_limit; ++next) {
        scanned.push_back(next->slot);
    }
    this->resume_after.reset();
    if (next != this->queue.end()) {
        this->resume_after = *std::prev(next);
    }

    std::set<search_shape> failed_searches;
    std::set<search_shape> failed_reclaims;
    std::uint32_t starts = 0;
    for (const job_slot slot : scanned) {
        const job_record& job = this->jobs[slot];
        if (job.state != job_state::queued || !this->queue.contains(job.key)) {
            continue;
        }
        const bool has_cells = !this->allocator.cells_of(job.spec.account).empty();
        const search_shape shape{has_cells ? std::string_view(job.spec.account) : "",
                                 job.spec.members,
                                 job.spec.accelerators_per_member,
                                 job.spec.adjacency,
                                 job.spec.priority,
                                 this->is_stoppable(job.spec)};
        const bool has_no_failures = job.failed_on.empty();
        // No gang releases accelerators during a call, so a search that failed for one job fails
        // for all jobs of the same shape.
        const bool could_reclaim = this->may_reclaim(job);
        if (this->try_place(slot, has_no_failures && failed_searches.contains(shape),
                            has_no_failures && failed_reclaims.contains(shape), out)) {
            if (++starts >= this->options.max_starts_per_decide) {
                this->resume_after = job.key;
                return;
            }
        }
        else if (has_no_failures) {
            failed_searches.insert(shape);
            if (could_reclaim) {
                failed_reclaims.insert(shape);
            }
        }
    }
}

gang_request engine::implementation::request_of(const job_record& job) const
{
    gang_request request;
    request.members = job.spec.members;
    request.accelerators = job.spec.accelerators_per_member;
    request.adjacency = job.spec.adjacency;
    request.may_borrow = this->is_stoppable(job.spec) || !this->rules.lend_only_stoppable;
    request.now = this->clock();
    return request;
}

std::optional<gang_parts> engine::implementation::find_free(const job_record& job,
                                                            const gang_request& request) const
{
    const extra_capacity own = this->own_free(job);
    // A job smaller than the account's largest cell uses common accelerators first, to keep the
    // account's cells available for jobs that need them.
    const bool own_first = request.total() >= this->allocator.largest_cell(job.spec.account);
    std::optional<gang_parts> found;
    if (!own.empty() && own_first) {
        found = this->search.find_with_extra(request, capacity_view::common, own);
    }
    if (!found.has_value()) {
        found = this->search.find(request, capacity_view::common);
    }
    if (!found.has_value() && !own.empty() && !own_first) {
        found = this->search.find_with_extra(request, capacity_view::common, own);
    }
    if (!found.has_value() && request.may_borrow) {
        if (!own.empty()) {
            found = this->search.find_with_extra(request, capacity_view::lendable, own);
        }
        if (!found.has_value()) {
            found = this->search.find(request, capacity_view::lendable);
        }
    }
    return found;
}

/// Finds free accelerators, avoiding workers with recent failures if possible. Workers on which the
/// job itself failed are excluded for avoid_failed_workers_for.
std::optional<gang_parts>
engine::implementation::find_avoiding_failures(const job_record& job) const
{
    gang_request request = this->request_of(job);
    std::set_union(this->recently_failed_hosts.begin(), this->recently_failed_hosts.end(),
                   job.failed_on.begin(), job.failed_on.end(),
                   std::back_inserter(request.excluded_hosts));
    std::optional<gang_parts> found = this->find_free(job, request);
    if (!found.has_value() && !this->recently_failed_hosts.empty()) {
        request.excluded_hosts = job.failed_on;
        found = this->find_free(job, request);
    }
    if (!found.has_value() && !job.failed_on.empty() &&
        request.now > job.last_failure + avoid_failed_workers_for) {
        request.excluded_hosts.clear();
        found = this->find_free(job, request);
    }
    return found;
}

bool engine::implementation::try_place(job_slot slot, bool skip_search, bool skip_reclaim,
                                       std::vector<decision>& out)
{
    if (!skip_search) {
        std::optional<gang_parts> found = this->find_avoiding_failures(this->jobs[slot]);
        if (found.has_value()) {
            this->start(slot, std::move(*found), out);
            return true;
        }
    }
    if (this->jobs[slot].claim == claim_kind::none && this->preempt_reservations(slot, out)) {
        return true;
    }
    if ((!skip_reclaim && this->reclaim(slot, out)) || this->backfill(slot, out)) {
        return true;
    }
    this->reserve(slot);
    return false;
}

void engine::implementation::start(job_slot slot, gang_parts parts, std::vector<decision>& out)
{
    this->drop_claim(slot);
    this->dequeue(slot);
    this->drop_overlapping_claims(slot, parts);
    job_record& job = this->jobs[slot];
    if (!this->rules.whole_gangs && parts.size() > 1) {
        parts.pop_back();
    }
    job.parts = std::move(parts);
    for (const host_part& part : job.parts) {
        this->tree.hold(part, slot);
        const accelerator_mask own_mask = this->guaranteed_to(job.spec, part.host);
        job.uses_guarantee = job.uses_guarantee || (own_mask & part.accelerators) != 0;
        job.borrowed = job.borrowed ||
                       (this->tree.host(part.host).guaranteed & ~own_mask & part.accelerators) != 0;
    }
    job.state = job_state::running;
    job.started = this->clock();
    job.predicted_run_time = this->remaining_run_time(job);
    job.broken = false;
    job.record = {job.spec.id,
                  "started",
                  workers_of(this->tree, job.parts),
                  job.uses_guarantee ? "in the account's guarantee"
                  : job.borrowed     ? "borrowed guaranteed cells"
                                     : "common cells",
                  {}};
    out.push_back({start_gang{this->placement_of(job)}, job.record});
}

} // namespace redwingwheel::placement
