#include <algorithm>

#include "engine_state.h"

/// Updates cells, claims and quarantine after changes of the inventory or the guarantees.
namespace redwingwheel::placement {

absl::Status engine::set_guarantees(std::span<const guarantee> wanted,
                                    std::span<const cell_assignment> known)
{
    std::set<std::string_view> agreements;
    for (const guarantee& terms : wanted) {
        if (terms.agreement.empty() || terms.account.empty() ||
            !agreements.insert(terms.agreement).second) {
            return make_error(placement_errc::invalid_guarantee,
                              "agreement \"" + terms.agreement +
                                  "\" needs a unique identity and an account");
        }
    }
    this->impl->allocator.replace_guarantees(wanted, known);
    this->impl->needs_reconcile = true;
    this->impl->guarantees_changed = true;
    this->impl->reconcile();
    return absl::OkStatus();
}

std::vector<shortfall> engine::check_guarantees(std::span<const guarantee> wanted) const
{
    cell_allocator trial(this->impl->tree, true);
    trial.replace_guarantees(wanted, {});
    trial.assign([](host_index, accelerator_mask, std::string_view) { return occupancy{}; });
    std::vector<shortfall> found;
    for (const guarantee_state& state : trial.guarantees()) {
        if (state.missing > 0) {
            found.push_back({state.terms.agreement, state.terms.account, state.terms.data_centre,
                             state.terms.level, state.terms.count, state.missing});
        }
    }
    return found;
}

/// Reassigns cells and drops invalid claims if inventory or guarantees have changed since the last
/// call.
void engine::implementation::reconcile()
{
    if (!this->needs_reconcile) {
        return;
    }
    this->needs_reconcile = false;
    const auto occupied = [this](host_index host, accelerator_mask mask, std::string_view account) {
        return this->occupancy_of(host, mask, account);
    };
    if (this->rules.rebuild_lost_cells || this->guarantees_changed) {
        this->allocator.assign(occupied);
    }
    this->guarantees_changed = false;
    this->has_pinned_cells = this->any_cell_is_pinned();
    this->apply_cells();
    this->revalidate_claims();
    this->update_closed_cells();
}

occupancy engine::implementation::occupancy_of(host_index host, accelerator_mask mask,
                                               std::string_view account) const
{
    occupancy found;
    const host_state& host_record = this->tree.host(host);
    for_each_accelerator(mask & host_record.held, [&](std::uint32_t n) {
        const job_record& job = this->jobs[host_record.holder_by_accelerator[n]];
        if (job.spec.account == account && job.spec.priority != job_priority::low) {
            ++found.own;
        }
        else if (this->is_stoppable(job.spec) || job.state == job_state::stopping || job.broken) {
            ++found.borrowed;
        }
        else {
            ++found.pinned;
        }
    });
    return found;
}

bool engine::implementation::any_cell_is_pinned() const
{
    for (const guarantee_state& state : this->allocator.guarantees()) {
        for (const cell& one : state.cells) {
            for (const host_part& part : this->allocator.parts_of(one.location)) {
                if (this->occupancy_of(part.host, part.accelerators, state.terms.account).pinned >
                    0) {
                    return true;
                }
            }
        }
    }
    return false;
}

void engine::implementation::apply_cells()
{
    for (host_index host = 0; host < this->tree.host_count(); ++host) {
        this->tree.set_guaranteed(host, this->allocator.guaranteed(host));
    }
}

/// Closes cells to new borrowers while their owner waits for accelerators in them.
void engine::implementation::update_closed_cells()
{
    std::set<std::string_view> waiting;
    for (const job_slot slot : this->claimants) {
        if (this->jobs[slot].claim == claim_kind::reclaim) {
            waiting.insert(this->jobs[slot].spec.account);
        }
    }
    std::map<host_index, accelerator_mask> closed;
    for (const guarantee_state& state : this->allocator.guarantees()) {
        if (!this->rules.close_reclaimed_cells || !waiting.contains(state.terms.account)) {
            continue;
        }
        for (const cell& one : state.cells) {
            const std::vector<host_part> parts = this->allocator.parts_of(one.location);
            const bool is_claimed =
                std::any_of(parts.begin(), parts.end(), [this](const host_part& part) {
                    const host_state& host = this->tree.host(part.host);
                    return (host.claimed & ~host.reserved & part.accelerators) != 0;
                });
            if (is_claimed) {
                for (const host_part& part : parts) {
                    closed[part.host] |= part.accelerators;
                }
            }
        }
    }
    for (const host_index host : this->closed_hosts) {
        if (!closed.contains(host)) {
            this->tree.set_closed_to_lending(host, 0);
        }
    }
    this->closed_hosts.clear();
    for (const auto& [host, mask] : closed) {
        this->tree.set_closed_to_lending(host, mask);
        this->closed_hosts.push_back(host);
    }
}

/// Accelerators of the host in cells that the job may use as their owner; none for priority low.
accelerator_mask engine::implementation::guaranteed_to(const job_spec& job, host_index host) const
{
    if (job.priority == job_priority::low) {
        return 0;
    }
    const cells_by_host& own = this->allocator.cells_of(job.account);
    const auto own_entry = own.find(host);
    return own_entry == own.end() ? 0 : own_entry->second;
}

/// Accelerators of the host that the job may not use because of other guarantees.
accelerator_mask engine::implementation::withheld_from(const job_spec& job, host_index host) const
{
    const host_state& host_record = this->tree.host(host);
    return (this->is_stoppable(job) ? host_record.closed_to_lending : host_record.guaranteed) &
           ~this->guaranteed_to(job, host);
}

/// True if the workers of the claim are available, the guarantees still permit it and, for a
/// reclaim, all holders are stopping.
bool engine::implementation::claim_is_valid(const job_record& job) const
{
    for (const host_part& part : job.claimed) {
        if (!this->tree.is_available(part.host)) {
            return false;
        }
        const accelerator_mask guaranteed_to_others =
            this->tree.host(part.host).guaranteed & ~this->guaranteed_to(job.spec, part.host);
        const bool may_borrow =
            job.claim == claim_kind::reservation && this->is_stoppable(job.spec);
        if ((guaranteed_to_others & part.accelerators) != 0 && !may_borrow) {
            return false;
        }
        const host_state& host = this->tree.host(part.host);
        bool all_stop = true;
        for_each_accelerator(part.accelerators & host.held, [&](std::uint32_t n) {
            all_stop =
                all_stop && this->jobs[host.holder_by_accelerator[n]].state == job_state::stopping;
        });
        if (job.claim == claim_kind::reclaim && !all_stop) {
            return false;
        }
    }
    return true;
}

void engine::implementation::revalidate_claims()
{
    for (const job_slot slot : std::set<job_slot>(this->claimants)) {
        if (this->jobs[slot].claim != claim_kind::none && !this->claim_is_valid(this->jobs[slot])) {
            this->drop_claim(slot);
        }
    }
}

void engine::implementation::set_claim(job_slot slot, claim_kind kind, gang_parts parts)
{
    job_record& job = this->jobs[slot];
    job.claim = kind;
    job.claimed = std::move(parts);
    for (const host_part& part : job.claimed) {
        this->tree.claim(part, slot, kind == claim_kind::reservation);
    }
    this->claimants.insert(slot);
    if (kind == claim_kind::reclaim) {
        this->dequeue(slot);
        job.state = job_state::reserved;
        this->update_closed_cells();
    }
}

/// Releases the claim of a job, if it has one. A job in state reserved is queued again.
void engine::implementation::drop_claim(job_slot slot)
{
    job_record& job = this->jobs[slot];
    if (job.claim == claim_kind::none) {
        return;
    }
    for (const host_part& part : job.claimed) {
        for (const job_slot holder : this->tree.host(part.host).holder_by_accelerator) {
            if (holder != no_job && this->jobs[holder].backfill_of == slot) {
                this->jobs[holder].backfill_of = no_job;
            }
        }
        this->tree.unclaim(part);
    }
    const claim_kind kind = job.claim;
    job.claim = claim_kind::none;
    job.claimed.clear();
    this->claimants.erase(slot);
    if (job.state == job_state::reserved) {
        this->enqueue(slot);
    }
    if (kind == claim_kind::reclaim) {
        this->update_closed_cells();
    }
}

/// Quarantines the worker or releases it, depending on its recorded failures and on the limit of
/// quarantined workers in its data centre.
void engine::implementation::update_quarantine(host_index host, steady_time now)
{
    const bool exceeds_threshold =
        this->health.failed_service_count(host) >= this->options.quarantine_min_services;
    const host_state& worker = this->tree.host(host);
    if (!exceeds_threshold && worker.quarantined) {
        this->tree.set_quarantined(host, false);
        this->quarantined_until.erase(host);
        this->needs_reconcile = true;
        return;
    }
    if (!exceeds_threshold || worker.quarantined) {
        return;
    }
    const data_centre_info& data_centre = this->tree.data_centre(worker.data_centre);
    const std::uint32_t workers = static_cast<std::uint32_t>(data_centre.hosts.size());
    // quarantine_percent of a small data centre is less than one worker; one may still be
    // quarantined unless it is the only one.
    const std::uint32_t budget =
        workers < 2 ? 0 : std::max(1U, workers * this->options.quarantine_percent / 100);
    if (data_centre.quarantined >= budget && this->rules.bound_quarantine) {
        return;
    }
    this->tree.set_quarantined(host, true);
    this->quarantined_until[host] = now + this->options.quarantine_time;
    this->needs_reconcile = true;
}

void engine::implementation::release_expired_quarantines(steady_time now)
{
    bool released = false;
    for (auto entry = this->quarantined_until.begin(); entry != this->quarantined_until.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        this->tree.set_quarantined(entry->first, false);
        this->health.clear_host(entry->first);
        entry = this->quarantined_until.erase(entry);
        this->needs_reconcile = true;
        released = true;
    }
    if (released) {
        for (const host_index host : this->health.hosts_with_failures()) {
            this->update_quarantine(host, now);
        }
    }
    this->recently_failed_hosts = this->health.recently_failed_hosts(now);
}

} // namespace redwingwheel::placement
