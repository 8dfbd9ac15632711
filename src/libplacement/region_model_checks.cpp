#include "region_model.h"

#include <algorithm>
#include <bit>

#include <fmt/format.h>

/// The properties that are checked after every decision.
namespace redwingwheel::placement::testing {

namespace {

bool is_stoppable(const job_spec& job)
{
    return job.idempotent || job.can_checkpoint;
}

} // namespace

void region_model::check_start(const gang_placement& placement)
{
    job_model& job = this->jobs[placement.job];
    if (job.running || !job.may_start) {
        this->record_violation(placement.job +
                               " starts although it is running or must not run again");
    }
    this->check_shape(job, placement);
    this->check_borrowing(job, placement);
    for (const member_placement& member : placement.members) {
        if (this->lost.contains(member.worker) ||
            this->withdrawn.contains(member.worker.substr(0, 3))) {
            this->record_violation(placement.job +
                                   " starts on a lost worker or in a withdrawn data centre");
        }
        for (std::uint32_t n = 0; n < 8; ++n) {
            if ((member.accelerators >> n & 1) == 0) {
                continue;
            }
            accelerator_model& accelerator = this->accelerators[member.worker][n];
            if (!accelerator.holder.empty()) {
                this->record_violation(
                    fmt::format("{} starts on accelerator {} of {}, which is held by {}",
                                placement.job, n, member.worker, accelerator.holder));
            }
            accelerator = {placement.job, job.spec.account, this->event_number};
        }
    }
    job.running = true;
    job.planned_stop = false;
    job.reclaim_event = 0;
    job.members = placement.members;
}

void region_model::check_shape(const job_model& job, const gang_placement& placement)
{
    bool whole = placement.members.size() == job.spec.members;
    std::set<std::string> areas;
    for (const member_placement& member : placement.members) {
        whole = whole && static_cast<std::uint32_t>(std::popcount(member.accelerators)) ==
                             job.spec.accelerators_per_member;
        const auto worker =
            std::find_if(this->workers.begin(), this->workers.end(),
                         [&member](const worker_spec& one) { return one.name == member.worker; });
        std::string area = worker->data_centre;
        if (job.spec.adjacency <= cell_level::rack) {
            area += "/" + worker->rack;
        }
        if (job.spec.adjacency <= cell_level::host) {
            area += "/" + worker->name;
        }
        if (job.spec.adjacency <= cell_level::group) {
            const bool low = (member.accelerators & 0x0F) != 0;
            const bool high = (member.accelerators & 0xF0) != 0;
            whole = whole && !(low && high);
            area += low ? "/0" : "/1";
        }
        areas.insert(area);
    }
    if (!whole || areas.size() != 1) {
        this->record_violation(placement.job +
                               " is not placed completely in one cell of its adjacency level");
    }
}

bool region_model::overlaps(const cell_assignment& cell, const member_placement& member) const
{
    const auto worker =
        std::find_if(this->workers.begin(), this->workers.end(),
                     [&member](const worker_spec& one) { return one.name == member.worker; });
    return worker->data_centre == cell.data_centre &&
           (cell.rack.empty() || worker->rack == cell.rack) &&
           (cell.worker.empty() ||
            (worker->name == cell.worker && (cell.accelerators & member.accelerators) != 0));
}

void region_model::check_borrowing(const job_model& job, const gang_placement& placement)
{
    for (const cell_assignment& cell : this->cells) {
        std::string owner;
        for (const guarantee& one : this->guarantees) {
            owner = one.agreement == cell.agreement ? one.account : owner;
        }
        const bool own = owner == job.spec.account && job.spec.priority != job_priority::low;
        bool inside = false;
        for (const member_placement& member : placement.members) {
            inside = inside || this->overlaps(cell, member);
        }
        if (!inside) {
            continue;
        }
        if (!own && !is_stoppable(job.spec)) {
            this->record_violation(placement.job +
                                   " borrows a guaranteed cell but cannot be stopped");
        }
        // No other account may start in the cell between the reclaim and the owner's start.
        for (auto& [worker, held] : this->accelerators) {
            for (auto& [number, accelerator] : held) {
                const member_placement one{0, worker, accelerator_mask{1} << number};
                if (own && job.reclaim_event != 0 && this->overlaps(cell, one) &&
                    accelerator.last_start_event > job.reclaim_event &&
                    accelerator.last_account != owner) {
                    this->record_violation(
                        fmt::format("{} started on {} in a cell that was being reclaimed",
                                    accelerator.last_account, worker));
                }
            }
        }
    }
}

void region_model::check_state()
{
    for (const job_summary& one : this->tested_engine.job_summaries()) {
        // The job lost its claim, for example because a worker was lost, and has to reclaim again.
        if (one.state == job_state::queued) {
            this->jobs[one.job.id].reclaim_event = 0;
        }
    }
    for (const level_summary& level : this->tested_engine.level_summaries()) {
        if (level.quarantined_workers > 1) {
            this->record_violation("more than one worker of " + level.data_centre +
                                   " is quarantined");
        }
    }
    for (const cell_assignment& cell : this->cells) {
        if (cell.whole &&
            (this->lost.contains(cell.worker) || this->withdrawn.contains(cell.data_centre))) {
            this->record_violation(
                "a complete cell is on a lost worker or in a withdrawn data centre");
        }
    }
    const std::vector<guarantee_summary> current = this->tested_engine.guarantee_summaries();
    this->check_missing(current);
    for (const guarantee_summary& one : current) {
        if (one.whole + one.pinned + one.missing != one.terms.count) {
            this->record_violation("whole, pinned and missing cells of " + one.terms.agreement +
                                   " do not add up to its count");
        }
    }
}

/// Checks that running gangs do not make cells missing that the same inventory could provide if it
/// were idle.
void region_model::check_missing(std::span<const guarantee_summary> current)
{
    engine empty({}, this->clock.function());
    for (const worker_summary& one : this->tested_engine.worker_summaries()) {
        static_cast<void>(empty.add_worker(one.worker));
        if (one.lost || one.quarantined) {
            static_cast<void>(empty.remove_worker(one.worker.name));
        }
    }
    for (const std::string& data_centre : this->withdrawn) {
        static_cast<void>(empty.set_data_centre_state(data_centre, data_centre_state::withdrawn));
    }
    static_cast<void>(empty.set_guarantees(this->guarantees));
    std::uint32_t live_missing = 0;
    std::uint32_t empty_missing = 0;
    for (const guarantee_summary& one : current) {
        live_missing += one.missing;
    }
    for (const guarantee_summary& one : empty.guarantee_summaries()) {
        empty_missing += one.missing;
    }
    if (empty_missing == 0 && live_missing > 0) {
        this->record_violation(
            fmt::format("{} guaranteed cells are missing although an idle region would provide all",
                        live_missing));
    }
}

} // namespace redwingwheel::placement::testing
