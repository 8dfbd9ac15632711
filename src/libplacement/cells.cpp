#include "cells.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace redwingwheel::placement {

/// The best location found so far for a cell; a smaller rank is better.
struct cell_allocator::candidate {
    using rank_type = std::tuple<bool, bool, bool, std::int64_t, std::uint32_t, std::uint32_t>;
    bool found = false;
    rank_type rank;
    cell_location location;
    bool complete = true;
};

namespace {

const cells_by_host no_cells;

std::uint32_t index_of_agreement(std::span<const guarantee_state> states,
                                 std::string_view agreement)
{
    for (std::uint32_t index = 0; index < states.size(); ++index) {
        if (states[index].terms.agreement == agreement) {
            return index;
        }
    }
    return no_index;
}

bool can_keep_location(const guarantee_state& before, const guarantee_state& state,
                       const cell_location& location)
{
    const auto is_location = [&location](const cell& one) { return one.location == location; };
    return std::any_of(before.cells.begin(), before.cells.end(), is_location) &&
           std::none_of(state.cells.begin(), state.cells.end(), is_location);
}

cell_location location_of(const topology& tree, const cell_assignment& known)
{
    cell_location location;
    location.data_centre = tree.find_data_centre(known.data_centre);
    location.host = known.worker.empty() ? no_index : tree.find_host(known.worker);
    location.accelerators = known.accelerators;
    if (location.data_centre != no_index) {
        for (const rack_index rack : tree.data_centre(location.data_centre).racks) {
            if (!known.rack.empty() && tree.rack(rack).name == known.rack) {
                location.rack = rack;
            }
        }
    }
    return location;
}

} // namespace

void cell_allocator::replace_guarantees(std::span<const guarantee> wanted,
                                        std::span<const cell_assignment> known)
{
    std::map<std::string, std::uint32_t, std::less<>> positions;
    for (std::uint32_t index = 0; index < this->states.size(); ++index) {
        positions.emplace(this->states[index].terms.agreement, index);
    }
    std::vector<guarantee_state> next;
    for (const guarantee& terms : wanted) {
        guarantee_state state;
        state.terms = terms;
        const auto before = positions.find(terms.agreement);
        if (before != positions.end() && this->states[before->second].terms.level == terms.level) {
            state.cells = this->states[before->second].cells;
        }
        next.push_back(std::move(state));
    }
    for (const cell_assignment& one : known) {
        const std::uint32_t index = index_of_agreement(next, one.agreement);
        const cell_location location = location_of(this->tree, one);
        const bool host_is_known = one.worker.empty() || location.host != no_index;
        if (index == no_index || location.data_centre == no_index || !host_is_known ||
            next[index].terms.level != one.level) {
            continue;
        }
        next[index].cells.push_back({location, one.version, one.whole, false});
        this->last_version = std::max(this->last_version, one.version);
    }
    this->states = std::move(next);
}

bool cell_allocator::is_available(host_index host) const
{
    return this->assume_all_available || this->tree.is_available(host);
}

std::vector<host_part> cell_allocator::parts_of(const cell_location& location) const
{
    std::vector<host_part> parts;
    if (location.host != no_index) {
        if (this->is_available(location.host)) {
            parts.push_back({location.host, location.accelerators});
        }
        return parts;
    }
    const std::vector<host_index>& hosts = location.rack != no_index
                                               ? this->tree.rack(location.rack).hosts
                                               : this->tree.data_centre(location.data_centre).hosts;
    for (const host_index host : hosts) {
        if (this->is_available(host)) {
            parts.push_back({host, this->tree.host(host).all});
        }
    }
    return parts;
}

std::vector<std::uint32_t> cell_allocator::order_by_level(bool home_first) const
{
    std::vector<std::uint32_t> order(this->states.size());
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [&](std::uint32_t left, std::uint32_t right) {
        const guarantee& a = this->states[left].terms;
        const guarantee& b = this->states[right].terms;
        const std::tuple<bool, int> left_key(a.data_centre.empty(), -static_cast<int>(a.level));
        const std::tuple<bool, int> right_key(b.data_centre.empty(), -static_cast<int>(b.level));
        return home_first ? left_key < right_key
                          : std::tuple(std::get<1>(left_key), std::get<0>(left_key)) <
                                std::tuple(std::get<1>(right_key), std::get<0>(right_key));
    });
    return order;
}

bool cell_allocator::assign(const occupancy_function& occupied)
{
    std::vector<std::uint32_t> by_age(this->states.size());
    std::iota(by_age.begin(), by_age.end(), 0U);
    std::vector<guarantee_state> result;
    std::uint32_t missing_cells = this->assign_in_order(by_age, true, occupied, result);
    // Greedy assignment by age can miss an existing solution because a small cell may split a large
    // one. Retry with the largest levels first; existing cells are then preferred, but not kept.
    for (const bool home_first : {true, false}) {
        if (missing_cells != 0) {
            missing_cells =
                this->assign_in_order(this->order_by_level(home_first), false, occupied, result);
        }
    }
    // Avoiding work that must not be stopped can split a large cell too. Assign as if nothing ran:
    // a cell that has to wait for such work is better than a missing one.
    const occupancy_function assume_idle = [](host_index, accelerator_mask, std::string_view) {
        return occupancy{};
    };
    std::vector<guarantee_state> previous_states;
    if (missing_cells != 0) {
        previous_states = this->states;
        for (guarantee_state& state : this->states) {
            state.cells.clear();
        }
        missing_cells = this->assign_in_order(by_age, false, assume_idle, result);
        for (const bool home_first : {true, false}) {
            if (missing_cells != 0) {
                missing_cells = this->assign_in_order(this->order_by_level(home_first), false,
                                                      assume_idle, result);
            }
        }
        this->states = std::move(previous_states);
    }
    if (missing_cells != 0) {
        // The inventory cannot satisfy all guarantees: the oldest agreements take precedence.
        this->assign_in_order(by_age, false, occupied, result);
    }
    this->assign_versions(result);
    bool changed = false;
    for (std::uint32_t index = 0; index < result.size(); ++index) {
        const std::vector<cell>& before = this->states[index].cells;
        const std::vector<cell>& after = result[index].cells;
        changed = changed || !std::equal(before.begin(), before.end(), after.begin(), after.end(),
                                         [](const cell& left, const cell& right) {
                                             return left.location == right.location &&
                                                    left.version == right.version;
                                         });
    }
    this->states = std::move(result);
    this->rebuild_maps();
    return changed;
}

std::uint32_t cell_allocator::assign_in_order(std::span<const std::uint32_t> order,
                                              bool keep_existing,
                                              const occupancy_function& occupied,
                                              std::vector<guarantee_state>& result)
{
    masks_by_host taken(this->tree.host_count(), 0);
    result.assign(this->states.size(), {});
    for (std::uint32_t index = 0; index < result.size(); ++index) {
        result[index].terms = this->states[index].terms;
        if (keep_existing) {
            this->keep_valid_cells(index, occupied, taken, result[index]);
        }
    }
    std::uint32_t missing_cells = 0;
    for (const std::uint32_t index : order) {
        guarantee_state& state = result[index];
        while (state.cells.size() < state.terms.count) {
            cell found;
            if (!this->find_cell(state, this->states[index], taken, occupied, found)) {
                break;
            }
            for (const host_part& part : this->parts_of(found.location)) {
                taken[part.host] |= part.accelerators;
            }
            state.cells.push_back(found);
        }
        const auto complete = std::count_if(state.cells.begin(), state.cells.end(),
                                            [](const cell& one) { return one.complete; });
        state.missing = state.terms.count - static_cast<std::uint32_t>(complete);
        missing_cells += state.missing;
    }
    return missing_cells;
}

bool cell_allocator::keep_valid_cells(std::uint32_t index, const occupancy_function& occupied,
                                      masks_by_host& taken, guarantee_state& state) const
{
    const guarantee_state& before = this->states[index];
    const data_centre_index home = this->tree.find_data_centre(before.terms.data_centre);
    for (const cell& one : before.cells) {
        if (state.cells.size() == state.terms.count) {
            return true;
        }
        const std::vector<host_part> parts = this->parts_of(one.location);
        std::size_t hosts = 1;
        if (one.location.host == no_index) {
            hosts = one.location.rack != no_index
                        ? this->tree.rack(one.location.rack).hosts.size()
                        : this->tree.data_centre(one.location.data_centre).hosts.size();
        }
        bool valid = !parts.empty() && parts.size() == hosts &&
                     (before.terms.data_centre.empty() || one.location.data_centre == home);
        for (const host_part& part : parts) {
            valid = valid && (taken[part.host] & part.accelerators) == 0 &&
                    occupied(part.host, part.accelerators, before.terms.account).pinned == 0;
        }
        if (!valid) {
            continue;
        }
        for (const host_part& part : parts) {
            taken[part.host] |= part.accelerators;
        }
        state.cells.push_back(one);
        state.cells.back().complete = true;
        state.cells.back().outside_home = false;
    }
    return state.cells.size() == state.terms.count;
}

bool cell_allocator::find_cell(const guarantee_state& state, const guarantee_state& before,
                               const masks_by_host& taken, const occupancy_function& occupied,
                               cell& found) const
{
    candidate best;
    const data_centre_index home = this->tree.find_data_centre(state.terms.data_centre);
    const bool has_home = !state.terms.data_centre.empty();
    if (has_home && home != no_index) {
        this->search_data_centre(home, state, before, taken, occupied, best);
    }
    found.outside_home = false;
    // While the home cannot provide a complete cell, the cell is assigned in another data centre.
    // A check against the announced inventory considers the home only.
    if (!has_home || (!this->assume_all_available && (!best.found || !best.complete))) {
        for (data_centre_index index = 0; index < this->tree.data_centre_count(); ++index) {
            if (!has_home || index != home) {
                this->search_data_centre(index, state, before, taken, occupied, best);
            }
        }
        found.outside_home = has_home && best.found && best.location.data_centre != home;
    }
    found.location = best.location;
    found.complete = best.complete;
    return best.found;
}

void cell_allocator::search_data_centre(data_centre_index index, const guarantee_state& state,
                                        const guarantee_state& before, const masks_by_host& taken,
                                        const occupancy_function& occupied, candidate& best) const
{
    const data_centre_info& data_centre = this->tree.data_centre(index);
    const auto unassigned_count = [&](host_index host) {
        return count_of(this->tree.host(host).all & ~taken[host]);
    };
    if (state.terms.level == cell_level::data_centre) {
        this->evaluate_location({index, no_index, no_index, 0}, 0,
                                static_cast<std::uint32_t>(data_centre.hosts.size()), state, before,
                                taken, occupied, best);
        return;
    }
    for (const rack_index rack : data_centre.racks) {
        const std::vector<host_index>& hosts = this->tree.rack(rack).hosts;
        if (state.terms.level == cell_level::rack) {
            this->evaluate_location({index, rack, no_index, 0}, 0,
                                    static_cast<std::uint32_t>(hosts.size()), state, before, taken,
                                    occupied, best);
            continue;
        }
        std::uint32_t unassigned_hosts = 0;
        for (const host_index host : hosts) {
            unassigned_hosts += taken[host] == 0 ? 1 : 0;
        }
        for (const host_index host : hosts) {
            const host_state& host_record = this->tree.host(host);
            if (state.terms.level == cell_level::host) {
                this->evaluate_location({index, rack, host, host_record.all}, unassigned_hosts, 1,
                                        state, before, taken, occupied, best);
                continue;
            }
            const std::uint32_t unassigned = unassigned_count(host);
            if (unassigned == 0) {
                continue;
            }
            for (std::uint32_t group = 0; group < topology::group_count(host_record.spec);
                 ++group) {
                const accelerator_mask mask = topology::group_mask(host_record.spec, group);
                if (state.terms.level == cell_level::group) {
                    this->evaluate_location({index, rack, host, mask}, unassigned, 1, state, before,
                                            taken, occupied, best);
                    continue;
                }
                // Prefer partly assigned groups, then partly assigned hosts, to keep larger cells
                // available.
                const std::uint32_t leftover =
                    count_of(mask & ~taken[host]) * max_accelerators_per_worker + unassigned;
                for_each_accelerator(mask & ~taken[host], [&](std::uint32_t n) {
                    this->evaluate_location({index, rack, host, accelerator_mask{1} << n}, leftover,
                                            1, state, before, taken, occupied, best);
                });
            }
        }
    }
}

void cell_allocator::evaluate_location(const cell_location& location, std::uint32_t leftover,
                                       std::uint32_t announced_hosts, const guarantee_state& state,
                                       const guarantee_state& before, const masks_by_host& taken,
                                       const occupancy_function& occupied, candidate& best) const
{
    const bool was_assigned = can_keep_location(before, state, location);
    if (location.host != no_index) {
        // The rank of an idle location is a lower bound that needs no occupancy query.
        const candidate::rank_type bound(
            false, false, !was_assigned,
            -static_cast<std::int64_t>(count_of(location.accelerators)), 0, leftover);
        if ((taken[location.host] & location.accelerators) != 0 ||
            !this->is_available(location.host) || (best.found && best.rank <= bound)) {
            return;
        }
    }
    const std::vector<host_part> parts = this->parts_of(location);
    if (parts.empty()) {
        return;
    }
    occupancy total;
    std::int64_t size = 0;
    for (const host_part& part : parts) {
        if ((taken[part.host] & part.accelerators) != 0) {
            return;
        }
        const occupancy here = occupied(part.host, part.accelerators, state.terms.account);
        total.pinned += here.pinned;
        total.borrowed += here.borrowed;
        size += count_of(part.accelerators);
    }
    const bool complete = parts.size() == announced_hosts;
    const candidate::rank_type rank(!complete, total.pinned != 0, !was_assigned, -size,
                                    total.borrowed, leftover);
    if (!best.found || rank < best.rank) {
        best.found = true;
        best.rank = rank;
        best.location = location;
        best.complete = complete;
    }
}

void cell_allocator::assign_versions(std::vector<guarantee_state>& result)
{
    for (std::uint32_t index = 0; index < result.size(); ++index) {
        for (cell& one : result[index].cells) {
            const std::vector<cell>& before = this->states[index].cells;
            const auto same =
                std::find_if(before.begin(), before.end(), [&one](const cell& earlier) {
                    return earlier.location == one.location && earlier.complete == one.complete;
                });
            if (same != before.end() && same->version != 0) {
                one.version = same->version;
            }
            else {
                one.version = ++this->last_version;
            }
        }
    }
}

void cell_allocator::rebuild_maps()
{
    this->by_account.clear();
    this->largest_by_account.clear();
    this->guaranteed_by_host.assign(this->tree.host_count(), 0);
    for (const guarantee_state& state : this->states) {
        for (const cell& one : state.cells) {
            std::uint32_t size = 0;
            for (const host_part& part : this->parts_of(one.location)) {
                this->by_account[state.terms.account][part.host] |= part.accelerators;
                this->guaranteed_by_host[part.host] |= part.accelerators;
                size += count_of(part.accelerators);
            }
            std::uint32_t& largest = this->largest_by_account[state.terms.account];
            largest = std::max(largest, size);
        }
    }
}

std::uint32_t cell_allocator::missing() const
{
    std::uint32_t sum = 0;
    for (const guarantee_state& state : this->states) {
        sum += state.missing;
    }
    return sum;
}

const cells_by_host& cell_allocator::cells_of(std::string_view account) const
{
    const auto found = this->by_account.find(account);
    return found == this->by_account.end() ? no_cells : found->second;
}

std::uint32_t cell_allocator::largest_cell(std::string_view account) const
{
    const auto found = this->largest_by_account.find(account);
    return found == this->largest_by_account.end() ? 0 : found->second;
}

accelerator_mask cell_allocator::guaranteed(host_index host) const
{
    return host < this->guaranteed_by_host.size() ? this->guaranteed_by_host[host] : 0;
}

} // namespace redwingwheel::placement
