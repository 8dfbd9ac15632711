#include <algorithm>

#include "engine_state.h"

/// Keeps cells, claims and quarantine in step with the inventory.
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
    this->impl->book.set_terms(wanted, known);
    this->impl->cells_changed = true;
    this->impl->terms_changed = true;
    this->impl->settle();
    return absl::OkStatus();
}

std::vector<shortfall> engine::check_guarantees(std::span<const guarantee> wanted) const
{
    cell_book trial(this->impl->tree, true);
    trial.set_terms(wanted, {});
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

/// Brings cells and claims in step with what has changed since the last call.
void engine::implementation::settle()
{
    if (!this->cells_changed) {
        return;
    }
    this->cells_changed = false;
    const auto occupied = [this](host_index host, accelerator_mask mask, std::string_view account) {
        return this->occupancy_of(host, mask, account);
    };
    if (this->rules.rebuild_lost_cells || this->terms_changed) {
        this->book.assign(occupied);
    }
    this->terms_changed = false;
    this->has_pinned_cells = this->any_cell_is_pinned();
    this->apply_cells();
    this->revalidate_claims();
    this->update_closed();
}

occupancy engine::implementation::occupancy_of(host_index host, accelerator_mask mask,
                                               std::string_view account) const
{
    occupancy found;
    const host_state& asked = this->tree.host(host);
    for_each_accelerator(mask & asked.held, [&](std::uint32_t n) {
        const job_record& job = this->jobs[asked.holder[n]];
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
    for (const guarantee_state& state : this->book.guarantees()) {
        for (const cell& one : state.cells) {
            for (const host_part& part : this->book.parts_of(one.place)) {
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
        this->tree.set_owned(host, this->book.owned(host));
    }
}

/// Closes every cell in which an owner waits for accelerators.
void engine::implementation::update_closed()
{
    std::set<std::string_view> waiting;
    for (const job_slot slot : this->claimants) {
        if (this->jobs[slot].claim == claim_kind::reclaim) {
            waiting.insert(this->jobs[slot].spec.account);
        }
    }
    std::map<host_index, accelerator_mask> closed;
    for (const guarantee_state& state : this->book.guarantees()) {
        if (!this->rules.close_reclaimed_cells || !waiting.contains(state.terms.account)) {
            continue;
        }
        for (const cell& one : state.cells) {
            const std::vector<host_part> parts = this->book.parts_of(one.place);
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
            this->tree.set_closed(host, 0);
        }
    }
    this->closed_hosts.clear();
    for (const auto& [host, mask] : closed) {
        this->tree.set_closed(host, mask);
        this->closed_hosts.push_back(host);
    }
}

/// The account's cells on a host, as far as the job uses them as their owner.
accelerator_mask engine::implementation::owned_by(const job_spec& job, host_index host) const
{
    if (job.priority == job_priority::low) {
        return 0;
    }
    const own_cells& own = this->book.cells_of(job.account);
    const auto mine = own.find(host);
    return mine == own.end() ? 0 : mine->second;
}

/// What guarantees keep from the job on a host.
accelerator_mask engine::implementation::kept_from(const job_spec& job, host_index host) const
{
    const host_state& asked = this->tree.host(host);
    return (this->is_stoppable(job) ? asked.closed : asked.owned) & ~this->owned_by(job, host);
}

/// A claim stands while its workers are available and the guarantees still allow it.
bool engine::implementation::claim_is_valid(const job_record& job) const
{
    for (const host_part& part : job.claimed) {
        if (!this->tree.is_available(part.host)) {
            return false;
        }
        const accelerator_mask owned_by_others =
            this->tree.host(part.host).owned & ~this->owned_by(job.spec, part.host);
        const bool may_borrow =
            job.claim == claim_kind::reservation && this->is_stoppable(job.spec);
        if ((owned_by_others & part.accelerators) != 0 && !may_borrow) {
            return false;
        }
        const host_state& host = this->tree.host(part.host);
        bool all_stop = true;
        for_each_accelerator(part.accelerators & host.held, [&](std::uint32_t n) {
            all_stop = all_stop && this->jobs[host.holder[n]].state == job_state::stopping;
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
        this->update_closed();
    }
}

/// Gives up what is promised to the job. One that waits for it goes back to the queue.
void engine::implementation::drop_claim(job_slot slot)
{
    job_record& job = this->jobs[slot];
    if (job.claim == claim_kind::none) {
        return;
    }
    for (const host_part& part : job.claimed) {
        for (const job_slot holder : this->tree.host(part.host).holder) {
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
        this->update_closed();
    }
}

/// Quarantines the worker, or releases it, as its blame and the budget say.
void engine::implementation::judge_worker(host_index host, steady_time now)
{
    const bool guilty = this->health.services_failed(host) >= this->options.quarantine_min_services;
    const host_state& judged = this->tree.host(host);
    if (!guilty && judged.quarantined) {
        this->tree.set_quarantined(host, false);
        this->quarantined_until.erase(host);
        this->cells_changed = true;
        return;
    }
    if (!guilty || judged.quarantined) {
        return;
    }
    const data_centre_info& place = this->tree.data_centre(judged.data_centre);
    const std::uint32_t workers = static_cast<std::uint32_t>(place.hosts.size());
    // A tenth of a small data centre is less than one worker; one may be quarantined where
    // others are left.
    const std::uint32_t budget =
        workers < 2 ? 0 : std::max(1U, workers * this->options.quarantine_percent / 100);
    if (place.quarantined >= budget && this->rules.bound_quarantine) {
        return;
    }
    this->tree.set_quarantined(host, true);
    this->quarantined_until[host] = now + this->options.quarantine_time;
    this->cells_changed = true;
}

void engine::implementation::review_quarantine(steady_time now)
{
    bool released = false;
    for (auto entry = this->quarantined_until.begin(); entry != this->quarantined_until.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        this->tree.set_quarantined(entry->first, false);
        this->health.forget_host(entry->first);
        entry = this->quarantined_until.erase(entry);
        this->cells_changed = true;
        released = true;
    }
    if (released) {
        for (const host_index host : this->health.blamed()) {
            this->judge_worker(host, now);
        }
    }
    this->suspects = this->health.suspects(now);
}

} // namespace redwingwheel::placement
