#include <algorithm>

#include <fmt/format.h>

#include "engine_state.h"

/// Summaries of the engine's state and explanations of its decisions.
namespace redwingwheel::placement {

namespace {

constexpr std::size_t max_refused_candidates = 8;

constexpr std::array<cell_level, 5> all_levels = {cell_level::accelerator, cell_level::group,
                                                  cell_level::host, cell_level::rack,
                                                  cell_level::data_centre};

} // namespace

gang_placement engine::implementation::placement_of(const job_record& job) const
{
    gang_placement placement;
    placement.job = job.spec.id;
    placement.borrowed = job.borrowed;
    placement.uses_guarantee = job.uses_guarantee;
    std::uint32_t member = 0;
    for (const host_part& part : job.parts) {
        placement.members.push_back(
            {member++, this->tree.host(part.host).spec.name, part.accelerators});
    }
    return placement;
}

decision_record engine::implementation::explain(const job_record& job) const
{
    decision_record record = job.record;
    if (job.state != job_state::queued) {
        return record;
    }
    if (job.claim == claim_kind::none) {
        record.outcome = "waiting";
        record.workers.clear();
        record.reason =
            fmt::format("{} members of {} accelerators in one {} do not fit now", job.spec.members,
                        job.spec.accelerators_per_member, name_of(job.spec.adjacency));
    }
    const capacity_view view =
        this->is_stoppable(job.spec) ? capacity_view::lendable : capacity_view::common;
    const std::uint32_t total = job.spec.members * job.spec.accelerators_per_member;
    for (data_centre_index index = 0;
         index < this->tree.data_centre_count() && record.refused.size() < max_refused_candidates;
         ++index) {
        const data_centre_info& data_centre = this->tree.data_centre(index);
        const std::uint64_t free = data_centre.views[static_cast<std::size_t>(view)].accelerators;
        std::string reason = "the free accelerators do not lie together as the job needs them";
        if (data_centre.state == data_centre_state::withdrawn) {
            reason = "withdrawn";
        }
        else if (free < total) {
            reason =
                fmt::format("{} accelerators open to the job are free, it needs {}", free, total);
        }
        else if (!this->search.within_ramp_limit(index, total, this->clock())) {
            reason = "returned a short time ago and takes a part of its load only";
        }
        record.refused.push_back({data_centre.name, std::move(reason)});
    }
    return record;
}

absl::StatusOr<decision_record> engine::explain(std::string_view job) const
{
    const job_slot slot = this->impl->find(job);
    if (slot == no_job) {
        return make_error(placement_errc::unknown_job, fmt::format("job \"{}\"", job));
    }
    return this->impl->explain(this->impl->jobs[slot]);
}

std::vector<level_summary> engine::implementation::level_summaries() const
{
    std::vector<level_summary> found;
    for (data_centre_index index = 0; index < this->tree.data_centre_count(); ++index) {
        const data_centre_info& data_centre = this->tree.data_centre(index);
        std::array<level_summary, all_levels.size()> counts;
        for (std::size_t at = 0; at < all_levels.size(); ++at) {
            counts[at].data_centre = data_centre.name;
            counts[at].level = all_levels[at];
            counts[at].quarantined_workers = data_centre.quarantined;
        }
        std::uint32_t present_in_data_centre = 0;
        for (const rack_index rack : data_centre.racks) {
            std::uint32_t present = 0;
            bool rack_free = true;
            for (const host_index host : this->tree.rack(rack).hosts) {
                const host_state& host_record = this->tree.host(host);
                rack_free = rack_free && host_record.held == 0;
                if (host_record.lost) {
                    continue;
                }
                ++present;
                counts[0].cells += host_record.spec.accelerators;
                counts[0].free += host_record.spec.accelerators - count_of(host_record.held);
                for (std::uint32_t group = 0; group < topology::group_count(host_record.spec);
                     ++group) {
                    ++counts[1].cells;
                    counts[1].free +=
                        (host_record.held & topology::group_mask(host_record.spec, group)) == 0 ? 1
                                                                                                : 0;
                }
                ++counts[2].cells;
                counts[2].free += host_record.held == 0 ? 1 : 0;
            }
            counts[3].cells += present > 0 ? 1 : 0;
            counts[3].free += present > 0 && rack_free ? 1 : 0;
            present_in_data_centre += present;
        }
        counts[4].cells = present_in_data_centre > 0 ? 1 : 0;
        counts[4].free = present_in_data_centre > 0 && data_centre.held == 0 ? 1 : 0;
        found.insert(found.end(), counts.begin(), counts.end());
    }
    for (const guarantee_state& state : this->allocator.guarantees()) {
        for (const cell& one : state.cells) {
            level_summary& entry = found[one.location.data_centre * all_levels.size() +
                                         static_cast<std::size_t>(state.terms.level)];
            occupancy held;
            for (const host_part& part : this->allocator.parts_of(one.location)) {
                const occupancy here =
                    this->occupancy_of(part.host, part.accelerators, state.terms.account);
                held.borrowed += here.borrowed;
                held.pinned += here.pinned;
            }
            ++entry.guaranteed;
            entry.lent += held.borrowed > 0 ? 1 : 0;
            entry.whole += one.complete && held.pinned == 0 ? 1 : 0;
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const level_summary& left, const level_summary& right) {
                         return left.data_centre < right.data_centre;
                     });
    return found;
}

std::vector<level_summary> engine::level_summaries() const
{
    this->impl->reconcile();
    return this->impl->level_summaries();
}

std::vector<guarantee_summary> engine::guarantee_summaries() const
{
    this->impl->reconcile();
    std::vector<guarantee_summary> found;
    for (const guarantee_state& state : this->impl->allocator.guarantees()) {
        guarantee_summary entry{state.terms, 0, 0, state.missing};
        for (const cell& one : state.cells) {
            std::uint32_t pinned = 0;
            for (const host_part& part : this->impl->allocator.parts_of(one.location)) {
                pinned +=
                    this->impl->occupancy_of(part.host, part.accelerators, state.terms.account)
                        .pinned;
            }
            entry.pinned += one.complete && pinned > 0 ? 1 : 0;
            entry.whole += one.complete && pinned == 0 ? 1 : 0;
        }
        found.push_back(std::move(entry));
    }
    return found;
}

std::vector<cell_assignment> engine::cell_assignments() const
{
    this->impl->reconcile();
    const topology& tree = this->impl->tree;
    std::vector<cell_assignment> found;
    for (const guarantee_state& state : this->impl->allocator.guarantees()) {
        std::uint32_t index = 0;
        for (const cell& one : state.cells) {
            cell_assignment entry;
            entry.agreement = state.terms.agreement;
            entry.index = index++;
            entry.level = state.terms.level;
            entry.data_centre = tree.data_centre(one.location.data_centre).name;
            entry.rack = one.location.rack == no_index ? "" : tree.rack(one.location.rack).name;
            entry.worker =
                one.location.host == no_index ? "" : tree.host(one.location.host).spec.name;
            entry.accelerators = one.location.accelerators;
            entry.version = one.version;
            entry.whole = one.complete;
            found.push_back(std::move(entry));
        }
    }
    return found;
}

std::vector<worker_summary> engine::worker_summaries() const
{
    const topology& tree = this->impl->tree;
    std::vector<worker_summary> found;
    for (host_index index = 0; index < tree.host_count(); ++index) {
        const host_state& host = tree.host(index);
        found.push_back({host.spec, host.lost, host.quarantined, host.held});
    }
    std::sort(found.begin(), found.end(),
              [](const worker_summary& left, const worker_summary& right) {
                  return left.worker.name < right.worker.name;
              });
    return found;
}

std::vector<job_summary> engine::job_summaries() const
{
    std::vector<job_summary> found;
    for (const auto& [id, slot] : this->impl->by_id) {
        const job_record& job = this->impl->jobs[slot];
        found.push_back({job.spec, job.state, this->impl->placement_of(job)});
    }
    return found;
}

} // namespace redwingwheel::placement
