#include "property_world.h"

#include <algorithm>
#include <bit>

#include <fmt/format.h>

/// What the model checks after every decision.
namespace redwingwheel::placement::testing {

namespace {

bool is_stoppable(const job_spec& job)
{
    return job.idempotent || job.can_checkpoint;
}

} // namespace

void property_world::check_start(const gang_placement& placement)
{
    known_job& job = this->jobs[placement.job];
    if (job.runs || !job.may_start) {
        this->fail(placement.job + " starts although it runs or must not run again");
    }
    this->check_shape(job, placement);
    this->check_loans(job, placement);
    for (const member_placement& member : placement.members) {
        if (this->lost.contains(member.worker) ||
            this->withdrawn.contains(member.worker.substr(0, 3))) {
            this->fail(placement.job + " starts on a lost worker or in a withdrawn data centre");
        }
        for (std::uint32_t n = 0; n < 8; ++n) {
            if ((member.accelerators >> n & 1) == 0) {
                continue;
            }
            known_accelerator& accelerator = this->accelerators[member.worker][n];
            if (!accelerator.holder.empty()) {
                this->fail(fmt::format("{} takes accelerator {} of {} from {}", placement.job, n,
                                       member.worker, accelerator.holder));
            }
            accelerator = {placement.job, job.spec.account, this->event_number};
        }
    }
    job.runs = true;
    job.planned_stop = false;
    job.reclaim_step = 0;
    job.members = placement.members;
}

void property_world::check_shape(const known_job& job, const gang_placement& placement)
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
        this->fail(placement.job + " is not placed whole in one cell of its level");
    }
}

bool property_world::covers(const cell_assignment& cell, const member_placement& member) const
{
    const auto worker =
        std::find_if(this->workers.begin(), this->workers.end(),
                     [&member](const worker_spec& one) { return one.name == member.worker; });
    return worker->data_centre == cell.data_centre &&
           (cell.rack.empty() || worker->rack == cell.rack) &&
           (cell.worker.empty() ||
            (worker->name == cell.worker && (cell.accelerators & member.accelerators) != 0));
}

void property_world::check_loans(const known_job& job, const gang_placement& placement)
{
    for (const cell_assignment& cell : this->cells) {
        std::string owner;
        for (const guarantee& one : this->terms) {
            owner = one.agreement == cell.agreement ? one.account : owner;
        }
        const bool own = owner == job.spec.account && job.spec.priority != job_priority::low;
        bool inside = false;
        for (const member_placement& member : placement.members) {
            inside = inside || this->covers(cell, member);
        }
        if (!inside) {
            continue;
        }
        if (!own && !is_stoppable(job.spec)) {
            this->fail(placement.job + " borrows a guaranteed cell and cannot be stopped");
        }
        // Nobody may have entered the cell between the reclaim and the owner's start.
        for (auto& [worker, held] : this->accelerators) {
            for (auto& [number, accelerator] : held) {
                const member_placement one{0, worker, accelerator_mask{1} << number};
                if (own && job.reclaim_step != 0 && this->covers(cell, one) &&
                    accelerator.last_start > job.reclaim_step &&
                    accelerator.last_account != owner) {
                    this->fail(fmt::format("{} was lent {} of a cell during its reclaim",
                                           accelerator.last_account, worker));
                }
            }
        }
    }
}

void property_world::check_state()
{
    for (const job_summary& one : this->decisions.job_summaries()) {
        // Its claim was given up because a worker of it is gone; it reclaims anew.
        if (one.state == job_state::queued) {
            this->jobs[one.job.id].reclaim_step = 0;
        }
    }
    for (const level_summary& level : this->decisions.level_summaries()) {
        if (level.quarantined_workers > 1) {
            this->fail("quarantine of " + level.data_centre + " is over its budget");
        }
    }
    for (const cell_assignment& cell : this->cells) {
        if (cell.whole &&
            (this->lost.contains(cell.worker) || this->withdrawn.contains(cell.data_centre))) {
            this->fail("a guaranteed cell lies on lost or withdrawn inventory");
        }
    }
    const std::vector<guarantee_summary> live = this->decisions.guarantee_summaries();
    this->check_missing(live);
    for (const guarantee_summary& one : live) {
        if (one.whole + one.pinned + one.missing != one.terms.count) {
            this->fail("the cells of " + one.terms.agreement + " do not add up");
        }
    }
}

/// Work in the way must not cost an account cells that the same inventory, empty, would hold.
void property_world::check_missing(std::span<const guarantee_summary> live)
{
    engine empty({}, this->clock.function());
    for (const worker_summary& one : this->decisions.worker_summaries()) {
        static_cast<void>(empty.add_worker(one.worker));
        if (one.lost || one.quarantined) {
            static_cast<void>(empty.remove_worker(one.worker.name));
        }
    }
    for (const std::string& place : this->withdrawn) {
        static_cast<void>(empty.set_data_centre_state(place, data_centre_state::withdrawn));
    }
    static_cast<void>(empty.set_guarantees(this->terms));
    std::uint32_t live_missing = 0;
    std::uint32_t empty_missing = 0;
    for (const guarantee_summary& one : live) {
        live_missing += one.missing;
    }
    for (const guarantee_summary& one : empty.guarantee_summaries()) {
        empty_missing += one.missing;
    }
    if (empty_missing == 0 && live_missing > 0) {
        this->fail(fmt::format("{} guaranteed cells are missing that an empty region would hold",
                               live_missing));
    }
}

} // namespace redwingwheel::placement::testing
