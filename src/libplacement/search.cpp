#include "search.h"

#include <algorithm>

namespace redwingwheel::placement {

namespace {

// Number of fitting racks that are compared, those with the fewest free accelerators first.
constexpr std::uint32_t max_compared_racks = 8;

std::size_t view_index(capacity_view view)
{
    return static_cast<std::size_t>(view);
}

} // namespace

bool placement_search::within_ramp_limit(data_centre_index index, std::uint32_t accelerators,
                                         steady_time now) const
{
    const data_centre_info& data_centre = this->tree.data_centre(index);
    if (now >= data_centre.ramp_end) {
        return true;
    }
    const double ramp_duration =
        std::chrono::duration<double>(data_centre.ramp_end - data_centre.ramp_start).count();
    const double elapsed = std::chrono::duration<double>(now - data_centre.ramp_start).count();
    // ramp_start is earlier than the return, so that the share begins at ramp_start_percent.
    const double allowed_share = std::clamp(elapsed / ramp_duration, 0.0, 1.0);
    return data_centre.held + accelerators <= allowed_share * data_centre.accelerators;
}

bool placement_search::is_allowed(const gang_request& request, data_centre_index index) const
{
    return this->tree.data_centre(index).state == data_centre_state::in_service &&
           !std::binary_search(request.excluded_data_centres.begin(),
                               request.excluded_data_centres.end(), index);
}

bool placement_search::is_excluded(const gang_request& request, host_index host) const
{
    return std::binary_search(request.excluded_hosts.begin(), request.excluded_hosts.end(), host);
}

std::uint32_t placement_search::count_fully_free_hosts_used(const gang_parts& parts,
                                                            capacity_view view) const
{
    std::uint32_t fully_free_hosts_used = 0;
    host_index last = no_index;
    for (const host_part& part : parts) {
        if (part.host != last &&
            this->tree.usable(part.host, view) == this->tree.host(part.host).all) {
            ++fully_free_hosts_used;
        }
        last = part.host;
    }
    return fully_free_hosts_used;
}

accelerator_mask placement_search::choose_accelerators(const worker_spec& worker,
                                                       accelerator_mask mask,
                                                       accelerator_mask preferred,
                                                       std::uint32_t count)
{
    if (preferred != 0 && count_of(preferred & mask) >= count && preferred != mask) {
        return choose_accelerators(worker, preferred & mask, 0, count);
    }
    accelerator_mask chosen = 0;
    accelerator_mask left = mask;
    std::uint32_t wanted = count;
    while (wanted > 0) {
        // Best fit: the smallest part of a group that holds `wanted`, otherwise the largest part.
        accelerator_mask best = 0;
        for (std::uint32_t group = 0; group < topology::group_count(worker); ++group) {
            const accelerator_mask part = left & topology::group_mask(worker, group);
            const std::uint32_t size = count_of(part);
            const std::uint32_t best_size = count_of(best);
            const bool fits = size >= wanted;
            const bool best_fits = best_size >= wanted;
            if (size > 0 &&
                (best == 0 || (fits && !best_fits) || (fits && best_fits && size < best_size) ||
                 (!fits && !best_fits && size > best_size))) {
                best = part;
            }
        }
        if (best == 0) {
            return 0;
        }
        for_each_accelerator(best, [&](std::uint32_t n) {
            if (wanted > 0) {
                chosen |= accelerator_mask{1} << n;
                --wanted;
            }
        });
        left &= ~best;
    }
    return chosen;
}

std::optional<gang_parts> placement_search::find(const gang_request& request,
                                                 capacity_view view) const
{
    std::optional<gang_parts> best;
    score best_score{no_index, no_index};
    for (data_centre_index index = 0; index < this->tree.data_centre_count(); ++index) {
        const free_index& free_cells = this->tree.data_centre(index).views[view_index(view)];
        if (!this->is_allowed(request, index) || free_cells.accelerators < request.total() ||
            !this->within_ramp_limit(index, request.total(), request.now)) {
            continue;
        }
        std::optional<gang_parts> found;
        score found_score = best_score;
        switch (request.adjacency) {
        case cell_level::data_centre:
            found = this->find_in_data_centre(request, view, index);
            if (found.has_value()) {
                found_score = {this->count_fully_free_hosts_used(*found, view),
                               static_cast<std::uint32_t>(free_cells.accelerators)};
            }
            break;
        case cell_level::rack:
            found = this->find_in_racks(request, view, index, found_score);
            break;
        case cell_level::host:
            found = this->find_in_host(request, view, index, found_score);
            break;
        case cell_level::group:
        case cell_level::accelerator:
            found = this->find_in_group(request, view, index, found_score);
            break;
        }
        if (found.has_value() && (!best.has_value() || found_score < best_score)) {
            best = std::move(found);
            best_score = found_score;
        }
    }
    return best;
}

std::optional<gang_parts> placement_search::find_in_data_centre(const gang_request& request,
                                                                capacity_view view,
                                                                data_centre_index index) const
{
    const free_index& free_cells = this->tree.data_centre(index).views[view_index(view)];
    std::uint64_t member_capacity = 0;
    for (std::uint32_t size = request.accelerators; size < free_cells.host_count_by_free.size();
         ++size) {
        member_capacity +=
            std::uint64_t{free_cells.host_count_by_free[size]} * (size / request.accelerators);
    }
    if (member_capacity < request.members) {
        return std::nullopt;
    }
    return this->place_members(request, this->data_centre_hosts(request, view, index, nullptr));
}

std::vector<placement_search::candidate_host>
placement_search::data_centre_hosts(const gang_request& request, capacity_view view,
                                    data_centre_index index, const extra_capacity* without) const
{
    const free_index& free_cells = this->tree.data_centre(index).views[view_index(view)];
    std::vector<candidate_host> hosts;
    std::uint64_t member_capacity = 0;
    const auto add = [&](host_index host) {
        if (this->is_excluded(request, host) || (without != nullptr && without->contains(host))) {
            return;
        }
        const accelerator_mask usable = this->tree.usable(host, view);
        hosts.push_back({host, usable, 0});
        member_capacity += count_of(usable) / request.accelerators;
    };
    // Partly free hosts first, smallest first; then fully free hosts, in the fullest racks first.
    for (auto next = free_cells.partly_free_hosts.lower_bound({request.accelerators, 0});
         next != free_cells.partly_free_hosts.end() && member_capacity < request.members; ++next) {
        add(next->index);
    }
    for (auto next = free_cells.racks_by_free.lower_bound({request.accelerators, 0});
         next != free_cells.racks_by_free.end() && member_capacity < request.members; ++next) {
        for (const host_index host : this->tree.rack(next->index).hosts) {
            const host_state& host_record = this->tree.host(host);
            if (member_capacity < request.members &&
                host_record.indexed_fully_free[view_index(view)] &&
                host_record.spec.accelerators >= request.accelerators) {
                add(host);
            }
        }
    }
    return hosts;
}

std::vector<placement_search::candidate_host>
placement_search::rack_hosts(const gang_request& request, capacity_view view, rack_index rack) const
{
    std::vector<candidate_host> hosts;
    for (const host_index host : this->tree.rack(rack).hosts) {
        const accelerator_mask usable = this->tree.usable(host, view);
        if (count_of(usable) >= request.accelerators && !this->is_excluded(request, host)) {
            hosts.push_back({host, usable, 0});
        }
    }
    std::stable_sort(
        hosts.begin(), hosts.end(), [&](const candidate_host& left, const candidate_host& right) {
            const bool left_fully_free = left.usable == this->tree.host(left.host).all;
            const bool right_fully_free = right.usable == this->tree.host(right.host).all;
            return std::tuple(left_fully_free, count_of(left.usable)) <
                   std::tuple(right_fully_free, count_of(right.usable));
        });
    return hosts;
}

std::optional<gang_parts> placement_search::find_in_racks(const gang_request& request,
                                                          capacity_view view,
                                                          data_centre_index index,
                                                          score& best) const
{
    const free_index& free_cells = this->tree.data_centre(index).views[view_index(view)];
    std::optional<gang_parts> result;
    std::uint32_t compared = 0;
    for (auto next = free_cells.racks_by_free.lower_bound({request.total(), 0});
         next != free_cells.racks_by_free.end() && compared < max_compared_racks; ++next) {
        std::optional<gang_parts> found =
            this->place_members(request, this->rack_hosts(request, view, next->index));
        if (!found.has_value()) {
            continue;
        }
        ++compared;
        const score rack_score{this->count_fully_free_hosts_used(*found, view), next->free};
        if (!result.has_value() || rack_score < best) {
            best = rack_score;
            result = std::move(found);
        }
    }
    return result;
}

std::optional<gang_parts> placement_search::find_in_host(const gang_request& request,
                                                         capacity_view view,
                                                         data_centre_index index, score& best) const
{
    const std::size_t view_position = view_index(view);
    const free_index& free_cells = this->tree.data_centre(index).views[view_position];
    for (auto next = free_cells.partly_free_hosts.lower_bound({request.total(), 0});
         next != free_cells.partly_free_hosts.end(); ++next) {
        const candidate_host host{next->index, this->tree.usable(next->index, view), 0};
        if (!this->is_excluded(request, host.host)) {
            best = {0, next->free};
            return this->place_members(request, std::span(&host, 1));
        }
    }
    if (free_cells.fully_free_hosts.empty() ||
        free_cells.fully_free_hosts.rbegin()->free < request.total()) {
        return std::nullopt;
    }
    for (auto next = free_cells.racks_by_free.lower_bound({request.total(), 0});
         next != free_cells.racks_by_free.end(); ++next) {
        for (const host_index index_in_rack : this->tree.rack(next->index).hosts) {
            const host_state& host_record = this->tree.host(index_in_rack);
            if (host_record.indexed_fully_free[view_position] &&
                host_record.spec.accelerators >= request.total() &&
                !this->is_excluded(request, index_in_rack)) {
                const candidate_host host{index_in_rack, host_record.all, 0};
                best = {1, next->free};
                return this->place_members(request, std::span(&host, 1));
            }
        }
    }
    return std::nullopt;
}

std::optional<gang_parts> placement_search::find_in_group(const gang_request& request,
                                                          capacity_view view,
                                                          data_centre_index index,
                                                          score& best) const
{
    const std::size_t view_position = view_index(view);
    const free_index& free_cells = this->tree.data_centre(index).views[view_position];
    for (auto next = free_cells.hosts_by_group_part.lower_bound({request.total(), 0});
         next != free_cells.hosts_by_group_part.end(); ++next) {
        if (this->is_excluded(request, next->index)) {
            continue;
        }
        const candidate_host host{next->index, this->tree.usable(next->index, view), 0};
        best = {this->tree.host(next->index).indexed_fully_free[view_position] ? 1U : 0U,
                next->free};
        return this->place_in_group(request, host);
    }
    return std::nullopt;
}

std::optional<gang_parts> placement_search::place_members(const gang_request& request,
                                                          std::span<const candidate_host> hosts,
                                                          bool hosts_may_repeat) const
{
    gang_parts parts;
    for (const candidate_host& candidate : hosts) {
        accelerator_mask usable = candidate.usable;
        for (std::size_t earlier = 0; hosts_may_repeat && earlier < parts.size(); ++earlier) {
            if (parts[earlier].host == candidate.host) {
                usable &= ~parts[earlier].accelerators;
            }
        }
        while (parts.size() < request.members && count_of(usable) >= request.accelerators) {
            const accelerator_mask chosen =
                choose_accelerators(this->tree.host(candidate.host).spec, usable,
                                    candidate.preferred, request.accelerators);
            parts.push_back({candidate.host, chosen});
            usable &= ~chosen;
        }
    }
    if (parts.size() < request.members) {
        return std::nullopt;
    }
    return parts;
}

std::optional<gang_parts> placement_search::place_in_group(const gang_request& request,
                                                           const candidate_host& candidate) const
{
    const worker_spec& worker = this->tree.host(candidate.host).spec;
    accelerator_mask best = 0;
    for (std::uint32_t group = 0; group < topology::group_count(worker); ++group) {
        const accelerator_mask part = candidate.usable & topology::group_mask(worker, group);
        if (count_of(part) < request.total()) {
            continue;
        }
        const std::uint32_t preferred = count_of(part & candidate.preferred);
        const std::uint32_t best_preferred = count_of(best & candidate.preferred);
        if (best == 0 || preferred > best_preferred ||
            (preferred == best_preferred && count_of(part) < count_of(best))) {
            best = part;
        }
    }
    if (best == 0) {
        return std::nullopt;
    }
    const candidate_host one{candidate.host, best, candidate.preferred & best};
    return this->place_members(request, std::span(&one, 1));
}

placement_search::area placement_search::area_of(host_index host, cell_level adjacency) const
{
    const host_state& host_record = this->tree.host(host);
    area search_area{host_record.data_centre, no_index, no_index};
    if (adjacency <= cell_level::rack) {
        search_area.rack = host_record.rack;
    }
    if (adjacency <= cell_level::host) {
        search_area.host = host;
    }
    return search_area;
}

std::optional<gang_parts> placement_search::find_with_extra(const gang_request& request,
                                                            capacity_view view,
                                                            const extra_capacity& extra) const
{
    std::vector<area> areas;
    for (const auto& [host, mask] : extra) {
        if (this->tree.is_available(host) &&
            this->is_allowed(request, this->tree.host(host).data_centre)) {
            areas.push_back(this->area_of(host, request.adjacency));
        }
    }
    std::sort(areas.begin(), areas.end());
    areas.erase(std::unique(areas.begin(), areas.end()), areas.end());

    std::optional<gang_parts> best;
    std::tuple<std::uint32_t, std::uint32_t> best_cost;
    for (const area& search_area : areas) {
        std::optional<gang_parts> found = this->place_in_area(request, view, search_area, extra);
        if (!found.has_value()) {
            continue;
        }
        std::uint32_t outside_extra = 0;
        std::uint32_t held_count = 0;
        for (const host_part& part : *found) {
            const auto extra_on_host = extra.find(part.host);
            outside_extra += count_of(part.accelerators &
                                      ~(extra_on_host == extra.end() ? 0 : extra_on_host->second));
            held_count += count_of(part.accelerators & this->tree.host(part.host).held);
        }
        const std::tuple<std::uint32_t, std::uint32_t> cost(held_count, outside_extra);
        if (!best.has_value() || cost < best_cost) {
            best = std::move(found);
            best_cost = cost;
        }
    }
    return best;
}

std::optional<gang_parts> placement_search::place_in_area(const gang_request& request,
                                                          capacity_view view,
                                                          const area& search_area,
                                                          const extra_capacity& extra) const
{
    // The ramp of a returned data centre limits only accelerators outside `extra`, which holds the
    // account's own cells.
    const bool view_allowed =
        this->within_ramp_limit(search_area.data_centre, request.total(), request.now);
    std::vector<candidate_host> hosts;
    std::vector<candidate_host> combined;
    for (const auto& [host, mask] : extra) {
        if (this->area_of(host, request.adjacency) != search_area ||
            this->is_excluded(request, host) || !this->tree.is_available(host)) {
            continue;
        }
        const accelerator_mask from_view = view_allowed ? this->tree.usable(host, view) : 0;
        if (request.adjacency <= cell_level::group) {
            return this->place_in_group(request, {host, mask | from_view, mask});
        }
        hosts.push_back({host, mask, 0});
        combined.push_back({host, mask | from_view, mask});
    }
    std::stable_sort(
        hosts.begin(), hosts.end(), [&](const candidate_host& left, const candidate_host& right) {
            const auto rank = [&](const candidate_host& one) {
                return std::tuple(count_of(one.usable & this->tree.host(one.host).held),
                                  count_of(one.usable));
            };
            return rank(left) < rank(right);
        });
    // Members first use `extra` alone, then `extra` and the view combined on the same hosts.
    hosts.insert(hosts.end(), combined.begin(), combined.end());
    if (view_allowed && search_area.host == no_index) {
        const std::vector<candidate_host> other_hosts =
            search_area.rack != no_index
                ? this->rack_hosts(request, view, search_area.rack)
                : this->data_centre_hosts(request, view, search_area.data_centre, &extra);
        for (const candidate_host& other : other_hosts) {
            if (!extra.contains(other.host)) {
                hosts.push_back(other);
            }
        }
    }
    return this->place_members(request, hosts, true);
}

std::optional<gang_parts> placement_search::find_within(const gang_request& request,
                                                        const extra_capacity& capacity) const
{
    std::vector<candidate_host> hosts;
    for (const auto& [host, mask] : capacity) {
        if (!this->is_excluded(request, host) && count_of(mask) >= request.accelerators) {
            hosts.push_back({host, mask, 0});
        }
    }
    if (request.adjacency <= cell_level::group) {
        for (const candidate_host& host : hosts) {
            std::optional<gang_parts> found = this->place_in_group(request, host);
            if (found.has_value()) {
                return found;
            }
        }
        return std::nullopt;
    }
    if (request.adjacency == cell_level::host) {
        for (const candidate_host& host : hosts) {
            std::optional<gang_parts> found = this->place_members(request, std::span(&host, 1));
            if (found.has_value()) {
                return found;
            }
        }
        return std::nullopt;
    }
    return this->place_members(request, hosts);
}

} // namespace redwingwheel::placement
