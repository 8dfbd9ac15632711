#include "reservation.h"

#include <algorithm>

namespace redwingwheel::placement {

namespace {

// Racks examined for a plan in all data centres, those with the most free accelerators first.
constexpr std::uint32_t max_planned_racks = 128;

} // namespace

reservation_planner::reservation_planner(const engine::implementation& engine_state,
                                         const job_record& planned)
    : state(engine_state), job(planned), now(engine_state.clock())
{
}

accelerator_mask reservation_planner::usable(host_index index) const
{
    const host_state& host = this->state.tree.host(index);
    if (!this->state.tree.is_available(index) ||
        std::binary_search(this->job.failed_on.begin(), this->job.failed_on.end(), index)) {
        return 0;
    }
    return host.all & ~host.claimed & ~this->state.withheld_from(this->job.spec, index);
}

/// Appends the member slots of a host, earliest first. For adjacency group or accelerator, only
/// those of one group: the group with the most slots, then the one that is free earliest.
void reservation_planner::add_slots(host_index index, std::vector<member_slot>& slots) const
{
    const host_state& host = this->state.tree.host(index);
    const accelerator_mask mask = this->usable(index);
    const std::uint32_t size = this->job.spec.accelerators_per_member;
    const bool in_group = this->job.spec.adjacency <= cell_level::group;
    const std::uint32_t groups = in_group ? topology::group_count(host.spec) : 1;
    std::vector<member_slot> best;
    for (std::uint32_t group = 0; group < groups; ++group) {
        const accelerator_mask part =
            in_group ? mask & topology::group_mask(host.spec, group) : mask;
        std::vector<std::pair<steady_time, std::uint32_t>> free_times;
        for_each_accelerator(part, [&](std::uint32_t n) {
            const job_slot holder = host.holder_by_accelerator[n];
            free_times.emplace_back(
                holder == no_job ? this->now : this->state.expected_end(holder, this->now), n);
        });
        std::sort(free_times.begin(), free_times.end());
        std::vector<member_slot> found;
        for (std::size_t end = size;
             end <= free_times.size() && found.size() < this->job.spec.members; end += size) {
            member_slot slot{free_times[end - 1].first, {index, 0}};
            for (std::size_t at = end - size; at < end; ++at) {
                slot.part.accelerators |= accelerator_mask{1} << free_times[at].second;
            }
            found.push_back(slot);
        }
        if (best.empty() || found.size() > best.size() ||
            (found.size() == best.size() && found.back().free_at < best.back().free_at)) {
            best = std::move(found);
        }
    }
    slots.insert(slots.end(), best.begin(), best.end());
}

void reservation_planner::evaluate_hosts(std::span<const host_index> hosts,
                                         std::optional<reservation_plan>& best) const
{
    std::vector<member_slot> slots;
    for (const host_index host : hosts) {
        this->add_slots(host, slots);
    }
    const std::uint32_t members = this->job.spec.members;
    if (slots.size() < members) {
        return;
    }
    std::stable_sort(slots.begin(), slots.end(),
                     [](const member_slot& left, const member_slot& right) {
                         return left.free_at < right.free_at;
                     });
    const steady_time ready = slots[members - 1].free_at;
    if (best.has_value() && best->ready <= ready) {
        return;
    }
    best = reservation_plan{ready, {}};
    for (std::uint32_t member = 0; member < members; ++member) {
        best->parts.push_back(slots[member].part);
    }
}

std::optional<reservation_plan> reservation_planner::plan() const
{
    std::optional<reservation_plan> best;
    const std::uint32_t racks_per_data_centre =
        std::max(4U, max_planned_racks / std::max(1U, this->state.tree.data_centre_count()));
    for (data_centre_index index = 0; index < this->state.tree.data_centre_count(); ++index) {
        const data_centre_info& data_centre = this->state.tree.data_centre(index);
        if (data_centre.state != data_centre_state::in_service) {
            continue;
        }
        const free_index& free_cells =
            data_centre.views[static_cast<std::size_t>(capacity_view::lendable)];
        if (this->job.spec.adjacency == cell_level::data_centre) {
            this->evaluate_hosts(data_centre.hosts, best);
            continue;
        }
        // In small data centres this covers all racks, in large ones the emptiest.
        std::uint32_t racks_examined = 0;
        for (auto next = free_cells.racks_by_free.rbegin();
             next != free_cells.racks_by_free.rend() && racks_examined < racks_per_data_centre;
             ++next, ++racks_examined) {
            const std::vector<host_index>& hosts = this->state.tree.rack(next->index).hosts;
            if (this->job.spec.adjacency == cell_level::rack) {
                this->evaluate_hosts(hosts, best);
                continue;
            }
            for (const host_index host : hosts) {
                this->evaluate_hosts(std::span(&host, 1), best);
            }
        }
    }
    return best;
}

} // namespace redwingwheel::placement
