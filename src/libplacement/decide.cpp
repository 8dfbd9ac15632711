#include <algorithm>

#include <fmt/format.h>

#include "engine_state.h"

/// One bounded turn of decisions.
namespace redwingwheel::placement {

namespace {

// A job keeps away from workers it failed on for this long, then takes them when nothing else fits.
constexpr std::chrono::seconds avoid_failed_workers_for{10};

// A plan costs more than a search, so one turn makes few.
constexpr std::uint32_t max_plans_per_decide = 4;

/// Jobs that differ in nothing a search looks at.
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
    this->plans_left = max_plans_per_decide;
    this->review_quarantine(now);
    this->settle();
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

/// Tells a gang to checkpoint and stop for another job; once only.
void engine::implementation::stop_for(job_slot holder, job_slot beneficiary, std::string reason,
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

/// A reservation inside another account's cell ends when that cell is closed for its owner.
bool engine::implementation::is_shut_out(const job_record& job) const
{
    return job.claim == claim_kind::reservation &&
           std::any_of(job.claimed.begin(), job.claimed.end(), [&](const host_part& part) {
               return (part.accelerators & this->tree.host(part.host).closed &
                       ~this->owned_by(job.spec, part.host)) != 0;
           });
}

void engine::implementation::start_claimants(std::vector<decision>& out)
{
    const steady_time now = this->clock();
    for (const job_slot slot : std::set<job_slot>(this->claimants)) {
        if (this->jobs[slot].claim == claim_kind::none || !this->jobs[slot].parts.empty()) {
            continue;
        }
        if (this->is_shut_out(this->jobs[slot])) {
            this->drop_claim(slot);
            continue;
        }
        bool ready = true;
        bool only_backfill = true;
        std::set<job_slot> in_the_way;
        for (const host_part& part : this->jobs[slot].claimed) {
            const host_state& host = this->tree.host(part.host);
            for_each_accelerator(host.held & part.accelerators, [&](std::uint32_t n) {
                const job_record& holder = this->jobs[host.holder[n]];
                ready = false;
                in_the_way.insert(host.holder[n]);
                only_backfill =
                    only_backfill && (holder.state == job_state::stopping ||
                                      (holder.backfill_of == slot && holder.spec.can_checkpoint));
            });
        }
        if (ready ||
            (!this->rules.wait_for_stop && this->jobs[slot].claim == claim_kind::reclaim)) {
            gang_parts parts = this->jobs[slot].claimed;
            this->start(slot, std::move(parts), out);
        }
        else if (this->jobs[slot].claim == claim_kind::reservation) {
            if (only_backfill) {
                for (const job_slot holder : in_the_way) {
                    this->stop_for(holder, slot, "the job whose reservation it filled is ready",
                                   out);
                }
            }
            else if (now > this->jobs[slot].claim_review) {
                this->drop_claim(slot);
            }
        }
    }
}

void engine::implementation::scan_queue(std::vector<decision>& out)
{
    // Half of the turn goes to the head of the queue, half on from where the last turn ended.
    std::vector<job_slot> looked_at;
    const std::uint32_t bound = std::max(2U, this->options.max_scanned_per_decide);
    auto next = this->queue.begin();
    for (; next != this->queue.end() && looked_at.size() < bound / 2; ++next) {
        looked_at.push_back(next->slot);
    }
    if (this->resume_after.has_value() && next != this->queue.end() &&
        *next < *this->resume_after) {
        next = this->queue.upper_bound(*this->resume_after);
    }
    for (; next != this->queue.end() && looked_at.size() < bound; ++next) {
        looked_at.push_back(next->slot);
    }
    this->resume_after.reset();
    if (next != this->queue.end()) {
        this->resume_after = *std::prev(next);
    }

    std::set<search_shape> useless;
    std::set<search_shape> useless_reclaim;
    std::uint32_t starts = 0;
    for (const job_slot slot : looked_at) {
        const job_record& job = this->jobs[slot];
        if (job.state != job_state::queued || !this->queue.contains(job.key)) {
            continue;
        }
        const bool has_cells = !this->book.cells_of(job.spec.account).empty();
        const search_shape shape{has_cells ? std::string_view(job.spec.account) : "",
                                 job.spec.members,
                                 job.spec.accelerators_per_member,
                                 job.spec.adjacency,
                                 job.spec.priority,
                                 this->is_stoppable(job.spec)};
        const bool plain = job.failed_on.empty();
        // Nothing becomes free during a turn, so what failed once fails for all jobs alike.
        const bool could_reclaim = this->may_reclaim(job);
        if (this->place(slot, plain && useless.contains(shape),
                        plain && useless_reclaim.contains(shape), out)) {
            if (++starts >= this->options.max_starts_per_decide) {
                this->resume_after = job.key;
                return;
            }
        }
        else if (plain) {
            useless.insert(shape);
            if (could_reclaim) {
                useless_reclaim.insert(shape);
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
    // A job smaller than the account's cells leaves them whole while there is common room.
    const bool own_first = request.total() >= this->book.largest_cell(job.spec.account);
    std::optional<gang_parts> found;
    if (!own.empty() && own_first) {
        found = this->search.find_with(request, capacity_view::common, own);
    }
    if (!found.has_value()) {
        found = this->search.find(request, capacity_view::common);
    }
    if (!found.has_value() && !own.empty() && !own_first) {
        found = this->search.find_with(request, capacity_view::common, own);
    }
    if (!found.has_value() && request.may_borrow) {
        if (!own.empty()) {
            found = this->search.find_with(request, capacity_view::lendable, own);
        }
        if (!found.has_value()) {
            found = this->search.find(request, capacity_view::lendable);
        }
    }
    return found;
}

/// Keeps away from workers with recent failures as long as something else fits.
std::optional<gang_parts> engine::implementation::find_careful(const job_record& job) const
{
    gang_request request = this->request_of(job);
    std::set_union(this->suspects.begin(), this->suspects.end(), job.failed_on.begin(),
                   job.failed_on.end(), std::back_inserter(request.avoided));
    std::optional<gang_parts> found = this->find_free(job, request);
    if (!found.has_value() && !this->suspects.empty()) {
        request.avoided = job.failed_on;
        found = this->find_free(job, request);
    }
    if (!found.has_value() && !job.failed_on.empty() &&
        request.now > job.last_failure + avoid_failed_workers_for) {
        request.avoided.clear();
        found = this->find_free(job, request);
    }
    return found;
}

bool engine::implementation::place(job_slot slot, bool search_is_useless, bool reclaim_is_useless,
                                   std::vector<decision>& out)
{
    if (!search_is_useless) {
        std::optional<gang_parts> found = this->find_careful(this->jobs[slot]);
        if (found.has_value()) {
            this->start(slot, std::move(*found), out);
            return true;
        }
    }
    if (this->jobs[slot].claim == claim_kind::none && this->overrule_reservations(slot, out)) {
        return true;
    }
    if ((!reclaim_is_useless && this->reclaim(slot, out)) || this->backfill(slot, out)) {
        return true;
    }
    this->reserve(slot);
    return false;
}

void engine::implementation::start(job_slot slot, gang_parts parts, std::vector<decision>& out)
{
    this->drop_claim(slot);
    this->dequeue(slot);
    this->drop_overlapped(slot, parts);
    job_record& job = this->jobs[slot];
    if (!this->rules.whole_gangs && parts.size() > 1) {
        parts.pop_back();
    }
    job.parts = std::move(parts);
    for (const host_part& part : job.parts) {
        this->tree.hold(part, slot);
        const accelerator_mask ours = this->owned_by(job.spec, part.host);
        job.uses_guarantee = job.uses_guarantee || (ours & part.accelerators) != 0;
        job.borrowed =
            job.borrowed || (this->tree.host(part.host).owned & ~ours & part.accelerators) != 0;
    }
    job.state = job_state::running;
    job.started = this->clock();
    job.forecast = this->remaining_run_time(job);
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
