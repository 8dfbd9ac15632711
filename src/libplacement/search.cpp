#include "search.h"

#include <algorithm>

namespace redwingwheel::placement {

namespace {

// Racks that fit are compared up to this number; the first ones have the least rest.
constexpr std::uint32_t max_compared_racks = 8;

std::size_t slot_of(capacity_view view)
{
    return static_cast<std::size_t>(view);
}

} // namespace

bool placement_search::within_ramp(data_centre_index index, std::uint32_t accelerators,
                                   steady_time now) const
{
    const data_centre_info& place = this->tree.data_centre(index);
    if (now >= place.ramp_end) {
        return true;
    }
    const double span = std::chrono::duration<double>(place.ramp_end - place.ramp_start).count();
    const double gone = std::chrono::duration<double>(now - place.ramp_start).count();
    // The ramp starts before the return by as much as the first share stands for.
    const double share = std::clamp(gone / span, 0.0, 1.0);
    return place.held + accelerators <= share * place.accelerators;
}

bool placement_search::allows(const gang_request& request, data_centre_index index) const
{
    return this->tree.data_centre(index).state == data_centre_state::in_service &&
           !std::binary_search(request.out.begin(), request.out.end(), index);
}

bool placement_search::avoids(const gang_request& request, host_index host) const
{
    return std::binary_search(request.avoided.begin(), request.avoided.end(), host);
}

std::uint32_t placement_search::broken_hosts(const gang_parts& parts, capacity_view view) const
{
    std::uint32_t broken = 0;
    host_index last = no_index;
    for (const host_part& part : parts) {
        if (part.host != last &&
            this->tree.usable(part.host, view) == this->tree.host(part.host).all) {
            ++broken;
        }
        last = part.host;
    }
    return broken;
}

accelerator_mask placement_search::choose(const worker_spec& worker, accelerator_mask mask,
                                          accelerator_mask preferred, std::uint32_t count)
{
    if (preferred != 0 && count_of(preferred & mask) >= count && preferred != mask) {
        return choose(worker, preferred & mask, 0, count);
    }
    accelerator_mask chosen = 0;
    accelerator_mask left = mask;
    std::uint32_t wanted = count;
    while (wanted > 0) {
        // The smallest group part that holds the rest, else the largest part there is.
        accelerator_mask best = 0;
        for (std::uint32_t group = 0; group < topology::group_count(worker); ++group) {
            const accelerator_mask part = left & topology::group_mask(worker, group);
            const std::uint32_t size = count_of(part);
            const std::uint32_t best_size = count_of(best);
            const bool holds = size >= wanted;
            const bool best_holds = best_size >= wanted;
            if (size > 0 &&
                (best == 0 || (holds && !best_holds) || (holds && best_holds && size < best_size) ||
                 (!holds && !best_holds && size > best_size))) {
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
        const free_index& free = this->tree.data_centre(index).views[slot_of(view)];
        if (!this->allows(request, index) || free.free < request.total() ||
            !this->within_ramp(index, request.total(), request.now)) {
            continue;
        }
        std::optional<gang_parts> found;
        score found_score = best_score;
        switch (request.adjacency) {
        case cell_level::data_centre:
            found = this->find_in_data_centre(request, view, index);
            if (found.has_value()) {
                found_score = {this->broken_hosts(*found, view),
                               static_cast<std::uint32_t>(free.free)};
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
    const free_index& free = this->tree.data_centre(index).views[slot_of(view)];
    std::uint64_t fits = 0;
    for (std::uint32_t size = request.accelerators; size < free.hosts_with.size(); ++size) {
        fits += std::uint64_t{free.hosts_with[size]} * (size / request.accelerators);
    }
    if (fits < request.members) {
        return std::nullopt;
    }
    return this->fill(request, this->data_centre_hosts(request, view, index, nullptr));
}

std::vector<placement_search::candidate_host>
placement_search::data_centre_hosts(const gang_request& request, capacity_view view,
                                    data_centre_index index, const extra_capacity* without) const
{
    const free_index& free = this->tree.data_centre(index).views[slot_of(view)];
    std::vector<candidate_host> hosts;
    std::uint64_t fits = 0;
    const auto add = [&](host_index host) {
        if (this->avoids(request, host) || (without != nullptr && without->contains(host))) {
            return;
        }
        const accelerator_mask usable = this->tree.usable(host, view);
        hosts.push_back({host, usable, 0});
        fits += count_of(usable) / request.accelerators;
    };
    // Parts first, smallest first; whole hosts only after that, in the racks with the least room.
    for (auto next = free.partial.lower_bound({request.accelerators, 0});
         next != free.partial.end() && fits < request.members; ++next) {
        add(next->index);
    }
    for (auto next = free.racks.lower_bound({request.accelerators, 0});
         next != free.racks.end() && fits < request.members; ++next) {
        for (const host_index host : this->tree.rack(next->index).hosts) {
            const host_state& asked = this->tree.host(host);
            if (fits < request.members && asked.indexed_whole[slot_of(view)] &&
                asked.spec.accelerators >= request.accelerators) {
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
        if (count_of(usable) >= request.accelerators && !this->avoids(request, host)) {
            hosts.push_back({host, usable, 0});
        }
    }
    std::stable_sort(hosts.begin(), hosts.end(),
                     [&](const candidate_host& left, const candidate_host& right) {
                         const bool left_whole = left.usable == this->tree.host(left.host).all;
                         const bool right_whole = right.usable == this->tree.host(right.host).all;
                         return std::tuple(left_whole, count_of(left.usable)) <
                                std::tuple(right_whole, count_of(right.usable));
                     });
    return hosts;
}

std::optional<gang_parts> placement_search::find_in_racks(const gang_request& request,
                                                          capacity_view view,
                                                          data_centre_index index,
                                                          score& best) const
{
    const free_index& free = this->tree.data_centre(index).views[slot_of(view)];
    std::optional<gang_parts> result;
    std::uint32_t compared = 0;
    for (auto next = free.racks.lower_bound({request.total(), 0});
         next != free.racks.end() && compared < max_compared_racks; ++next) {
        std::optional<gang_parts> found =
            this->fill(request, this->rack_hosts(request, view, next->index));
        if (!found.has_value()) {
            continue;
        }
        ++compared;
        const score here{this->broken_hosts(*found, view), next->free};
        if (!result.has_value() || here < best) {
            best = here;
            result = std::move(found);
        }
    }
    return result;
}

std::optional<gang_parts> placement_search::find_in_host(const gang_request& request,
                                                         capacity_view view,
                                                         data_centre_index index, score& best) const
{
    const std::size_t slot = slot_of(view);
    const free_index& free = this->tree.data_centre(index).views[slot];
    for (auto next = free.partial.lower_bound({request.total(), 0}); next != free.partial.end();
         ++next) {
        const candidate_host host{next->index, this->tree.usable(next->index, view), 0};
        if (!this->avoids(request, host.host)) {
            best = {0, next->free};
            return this->fill(request, std::span(&host, 1));
        }
    }
    if (free.whole.empty() || free.whole.rbegin()->free < request.total()) {
        return std::nullopt;
    }
    for (auto next = free.racks.lower_bound({request.total(), 0}); next != free.racks.end();
         ++next) {
        for (const host_index index_in_rack : this->tree.rack(next->index).hosts) {
            const host_state& asked = this->tree.host(index_in_rack);
            if (asked.indexed_whole[slot] && asked.spec.accelerators >= request.total() &&
                !this->avoids(request, index_in_rack)) {
                const candidate_host host{index_in_rack, asked.all, 0};
                best = {1, next->free};
                return this->fill(request, std::span(&host, 1));
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
    const std::size_t slot = slot_of(view);
    const free_index& free = this->tree.data_centre(index).views[slot];
    for (auto next = free.groups.lower_bound({request.total(), 0}); next != free.groups.end();
         ++next) {
        if (this->avoids(request, next->index)) {
            continue;
        }
        const candidate_host host{next->index, this->tree.usable(next->index, view), 0};
        best = {this->tree.host(next->index).indexed_whole[slot] ? 1U : 0U, next->free};
        return this->fill_group(request, host);
    }
    return std::nullopt;
}

std::optional<gang_parts> placement_search::fill(const gang_request& request,
                                                 std::span<const candidate_host> hosts,
                                                 bool hosts_repeat) const
{
    gang_parts parts;
    for (const candidate_host& candidate : hosts) {
        accelerator_mask usable = candidate.usable;
        for (std::size_t earlier = 0; hosts_repeat && earlier < parts.size(); ++earlier) {
            if (parts[earlier].host == candidate.host) {
                usable &= ~parts[earlier].accelerators;
            }
        }
        while (parts.size() < request.members && count_of(usable) >= request.accelerators) {
            const accelerator_mask chosen = choose(this->tree.host(candidate.host).spec, usable,
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

std::optional<gang_parts> placement_search::fill_group(const gang_request& request,
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
    return this->fill(request, std::span(&one, 1));
}

placement_search::area placement_search::area_of(host_index host, cell_level adjacency) const
{
    const host_state& asked = this->tree.host(host);
    area around{asked.data_centre, no_index, no_index};
    if (adjacency <= cell_level::rack) {
        around.rack = asked.rack;
    }
    if (adjacency <= cell_level::host) {
        around.host = host;
    }
    return around;
}

std::optional<gang_parts> placement_search::find_with(const gang_request& request,
                                                      capacity_view view,
                                                      const extra_capacity& extra) const
{
    std::vector<area> areas;
    for (const auto& [host, mask] : extra) {
        if (this->tree.is_available(host) &&
            this->allows(request, this->tree.host(host).data_centre)) {
            areas.push_back(this->area_of(host, request.adjacency));
        }
    }
    std::sort(areas.begin(), areas.end());
    areas.erase(std::unique(areas.begin(), areas.end()), areas.end());

    std::optional<gang_parts> best;
    std::tuple<std::uint32_t, std::uint32_t> best_cost;
    for (const area& around : areas) {
        std::optional<gang_parts> found = this->fill_area(request, view, around, extra);
        if (!found.has_value()) {
            continue;
        }
        std::uint32_t outside = 0;
        std::uint32_t stops = 0;
        for (const host_part& part : *found) {
            const auto own = extra.find(part.host);
            outside += count_of(part.accelerators & ~(own == extra.end() ? 0 : own->second));
            stops += count_of(part.accelerators & this->tree.host(part.host).held);
        }
        const std::tuple<std::uint32_t, std::uint32_t> cost(stops, outside);
        if (!best.has_value() || cost < best_cost) {
            best = std::move(found);
            best_cost = cost;
        }
    }
    return best;
}

std::optional<gang_parts> placement_search::fill_area(const gang_request& request,
                                                      capacity_view view, const area& around,
                                                      const extra_capacity& extra) const
{
    // The ramp of a returned data centre holds for work outside the account's own cells only.
    const bool view_open = this->within_ramp(around.data_centre, request.total(), request.now);
    std::vector<candidate_host> hosts;
    std::vector<candidate_host> both;
    for (const auto& [host, mask] : extra) {
        if (this->area_of(host, request.adjacency) != around || this->avoids(request, host) ||
            !this->tree.is_available(host)) {
            continue;
        }
        const accelerator_mask beside = view_open ? this->tree.usable(host, view) : 0;
        if (request.adjacency <= cell_level::group) {
            return this->fill_group(request, {host, mask | beside, mask});
        }
        hosts.push_back({host, mask, 0});
        both.push_back({host, mask | beside, mask});
    }
    std::stable_sort(
        hosts.begin(), hosts.end(), [&](const candidate_host& left, const candidate_host& right) {
            const auto rank = [&](const candidate_host& one) {
                return std::tuple(count_of(one.usable & this->tree.host(one.host).held),
                                  count_of(one.usable));
            };
            return rank(left) < rank(right);
        });
    // The extra capacity alone comes first, then what lies beside it on the same hosts.
    hosts.insert(hosts.end(), both.begin(), both.end());
    if (view_open && around.host == no_index) {
        const std::vector<candidate_host> others =
            around.rack != no_index
                ? this->rack_hosts(request, view, around.rack)
                : this->data_centre_hosts(request, view, around.data_centre, &extra);
        for (const candidate_host& other : others) {
            if (!extra.contains(other.host)) {
                hosts.push_back(other);
            }
        }
    }
    return this->fill(request, hosts, true);
}

std::optional<gang_parts> placement_search::fill_within(const gang_request& request,
                                                        const extra_capacity& capacity) const
{
    std::vector<candidate_host> hosts;
    for (const auto& [host, mask] : capacity) {
        if (!this->avoids(request, host) && count_of(mask) >= request.accelerators) {
            hosts.push_back({host, mask, 0});
        }
    }
    if (request.adjacency <= cell_level::group) {
        for (const candidate_host& host : hosts) {
            std::optional<gang_parts> found = this->fill_group(request, host);
            if (found.has_value()) {
                return found;
            }
        }
        return std::nullopt;
    }
    if (request.adjacency == cell_level::host) {
        for (const candidate_host& host : hosts) {
            std::optional<gang_parts> found = this->fill(request, std::span(&host, 1));
            if (found.has_value()) {
                return found;
            }
        }
        return std::nullopt;
    }
    return this->fill(request, hosts);
}

} // namespace redwingwheel::placement
