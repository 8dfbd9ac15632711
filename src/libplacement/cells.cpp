#include "cells.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace redwingwheel::placement {

/// A place with what speaks for it; smaller ranks are better.
struct cell_book::candidate {
    using rank_type = std::tuple<bool, bool, bool, std::int64_t, std::uint32_t, std::uint32_t>;
    bool found = false;
    rank_type rank;
    cell_place place;
    bool whole = true;
};

namespace {

const own_cells no_cells;

std::uint32_t position_of(std::span<const guarantee_state> states, std::string_view agreement)
{
    for (std::uint32_t index = 0; index < states.size(); ++index) {
        if (states[index].terms.agreement == agreement) {
            return index;
        }
    }
    return no_index;
}

bool was_there(const guarantee_state& before, const guarantee_state& state, const cell_place& place)
{
    const auto is_place = [&place](const cell& one) { return one.place == place; };
    return std::any_of(before.cells.begin(), before.cells.end(), is_place) &&
           std::none_of(state.cells.begin(), state.cells.end(), is_place);
}

cell_place place_of(const topology& tree, const cell_assignment& known)
{
    cell_place place;
    place.data_centre = tree.find_data_centre(known.data_centre);
    place.host = known.worker.empty() ? no_index : tree.find_host(known.worker);
    place.accelerators = known.accelerators;
    if (place.data_centre != no_index) {
        for (const rack_index rack : tree.data_centre(place.data_centre).racks) {
            if (!known.rack.empty() && tree.rack(rack).name == known.rack) {
                place.rack = rack;
            }
        }
    }
    return place;
}

} // namespace

void cell_book::set_terms(std::span<const guarantee> wanted, std::span<const cell_assignment> known)
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
        const std::uint32_t index = position_of(next, one.agreement);
        const cell_place place = place_of(this->tree, one);
        const bool host_is_known = one.worker.empty() || place.host != no_index;
        if (index == no_index || place.data_centre == no_index || !host_is_known ||
            next[index].terms.level != one.level) {
            continue;
        }
        next[index].cells.push_back({place, one.version, one.whole, false});
        this->last_version = std::max(this->last_version, one.version);
    }
    this->states = std::move(next);
}

bool cell_book::is_available(host_index host) const
{
    return this->ignores_state || this->tree.is_available(host);
}

std::vector<host_part> cell_book::parts_of(const cell_place& place) const
{
    std::vector<host_part> parts;
    if (place.host != no_index) {
        if (this->is_available(place.host)) {
            parts.push_back({place.host, place.accelerators});
        }
        return parts;
    }
    const std::vector<host_index>& hosts = place.rack != no_index
                                               ? this->tree.rack(place.rack).hosts
                                               : this->tree.data_centre(place.data_centre).hosts;
    for (const host_index host : hosts) {
        if (this->is_available(host)) {
            parts.push_back({host, this->tree.host(host).all});
        }
    }
    return parts;
}

std::vector<std::uint32_t> cell_book::order_by_size(bool home_first) const
{
    std::vector<std::uint32_t> order(this->states.size());
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [&](std::uint32_t left, std::uint32_t right) {
        const guarantee& a = this->states[left].terms;
        const guarantee& b = this->states[right].terms;
        const std::tuple<bool, int> by_home_a(a.data_centre.empty(), -static_cast<int>(a.level));
        const std::tuple<bool, int> by_home_b(b.data_centre.empty(), -static_cast<int>(b.level));
        return home_first ? by_home_a < by_home_b
                          : std::tuple(std::get<1>(by_home_a), std::get<0>(by_home_a)) <
                                std::tuple(std::get<1>(by_home_b), std::get<0>(by_home_b));
    });
    return order;
}

bool cell_book::assign(const occupancy_function& occupied)
{
    std::vector<std::uint32_t> by_age(this->states.size());
    std::iota(by_age.begin(), by_age.end(), 0U);
    std::vector<guarantee_state> result;
    std::uint32_t lacking = this->fill(by_age, true, occupied, result);
    // A greedy order can miss a solution that exists, because a small cell may break a large one.
    for (const bool home_first : {true, false}) {
        if (lacking != 0) {
            lacking = this->fill(this->order_by_size(home_first), false, occupied, result);
        }
    }
    // Keeping clear of work that must not be stopped can break a large cell too. A cell that waits
    // for such work is better than one that is missing.
    const occupancy_function nothing_runs = [](host_index, accelerator_mask, std::string_view) {
        return occupancy{};
    };
    std::vector<guarantee_state> wishes;
    if (lacking != 0) {
        wishes = this->states;
        for (guarantee_state& state : this->states) {
            state.cells.clear();
        }
        lacking = this->fill(by_age, false, nothing_runs, result);
        for (const bool home_first : {true, false}) {
            if (lacking != 0) {
                lacking = this->fill(this->order_by_size(home_first), false, nothing_runs, result);
            }
        }
        this->states = std::move(wishes);
    }
    if (lacking != 0) {
        this->fill(by_age, false, occupied, result);
    }
    this->number_cells(result);
    bool changed = false;
    for (std::uint32_t index = 0; index < result.size(); ++index) {
        const std::vector<cell>& before = this->states[index].cells;
        const std::vector<cell>& after = result[index].cells;
        changed = changed ||
                  !std::equal(before.begin(), before.end(), after.begin(), after.end(),
                              [](const cell& left, const cell& right) {
                                  return left.place == right.place && left.version == right.version;
                              });
    }
    this->states = std::move(result);
    this->rebuild_maps();
    return changed;
}

std::uint32_t cell_book::fill(std::span<const std::uint32_t> order, bool keeps_valid,
                              const occupancy_function& occupied,
                              std::vector<guarantee_state>& result)
{
    owners taken(this->tree.host_count(), 0);
    result.assign(this->states.size(), {});
    for (std::uint32_t index = 0; index < result.size(); ++index) {
        result[index].terms = this->states[index].terms;
        if (keeps_valid) {
            this->keep_valid(index, occupied, taken, result[index]);
        }
    }
    std::uint32_t lacking = 0;
    for (const std::uint32_t index : order) {
        guarantee_state& state = result[index];
        while (state.cells.size() < state.terms.count) {
            cell found;
            if (!this->find_cell(state, this->states[index], taken, occupied, found)) {
                break;
            }
            for (const host_part& part : this->parts_of(found.place)) {
                taken[part.host] |= part.accelerators;
            }
            state.cells.push_back(found);
        }
        const auto whole = std::count_if(state.cells.begin(), state.cells.end(),
                                         [](const cell& one) { return one.whole; });
        state.missing = state.terms.count - static_cast<std::uint32_t>(whole);
        lacking += state.missing;
    }
    return lacking;
}

bool cell_book::keep_valid(std::uint32_t index, const occupancy_function& occupied, owners& taken,
                           guarantee_state& state) const
{
    const guarantee_state& before = this->states[index];
    const data_centre_index home = this->tree.find_data_centre(before.terms.data_centre);
    for (const cell& one : before.cells) {
        if (state.cells.size() == state.terms.count) {
            return true;
        }
        const std::vector<host_part> parts = this->parts_of(one.place);
        std::size_t hosts = 1;
        if (one.place.host == no_index) {
            hosts = one.place.rack != no_index
                        ? this->tree.rack(one.place.rack).hosts.size()
                        : this->tree.data_centre(one.place.data_centre).hosts.size();
        }
        bool valid = !parts.empty() && parts.size() == hosts &&
                     (before.terms.data_centre.empty() || one.place.data_centre == home);
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
        state.cells.back().whole = true;
        state.cells.back().away = false;
    }
    return state.cells.size() == state.terms.count;
}

bool cell_book::find_cell(const guarantee_state& state, const guarantee_state& before,
                          const owners& taken, const occupancy_function& occupied,
                          cell& found) const
{
    candidate best;
    const data_centre_index home = this->tree.find_data_centre(state.terms.data_centre);
    const bool has_home = !state.terms.data_centre.empty();
    if (has_home && home != no_index) {
        this->search_data_centre(home, state, before, taken, occupied, best);
    }
    found.away = false;
    // A home that cannot hold the cell whole is replaced while it lasts; the question what the
    // announced inventory satisfies allows the home only.
    if (!has_home || (!this->ignores_state && (!best.found || !best.whole))) {
        for (data_centre_index index = 0; index < this->tree.data_centre_count(); ++index) {
            if (!has_home || index != home) {
                this->search_data_centre(index, state, before, taken, occupied, best);
            }
        }
        found.away = has_home && best.found && best.place.data_centre != home;
    }
    found.place = best.place;
    found.whole = best.whole;
    return best.found;
}

void cell_book::search_data_centre(data_centre_index index, const guarantee_state& state,
                                   const guarantee_state& before, const owners& taken,
                                   const occupancy_function& occupied, candidate& best) const
{
    const data_centre_info& place = this->tree.data_centre(index);
    const auto unowned = [&](host_index host) {
        return count_of(this->tree.host(host).all & ~taken[host]);
    };
    if (state.terms.level == cell_level::data_centre) {
        this->consider({index, no_index, no_index, 0}, 0,
                       static_cast<std::uint32_t>(place.hosts.size()), state, before, taken,
                       occupied, best);
        return;
    }
    for (const rack_index rack : place.racks) {
        const std::vector<host_index>& hosts = this->tree.rack(rack).hosts;
        if (state.terms.level == cell_level::rack) {
            this->consider({index, rack, no_index, 0}, 0, static_cast<std::uint32_t>(hosts.size()),
                           state, before, taken, occupied, best);
            continue;
        }
        std::uint32_t whole_hosts = 0;
        for (const host_index host : hosts) {
            whole_hosts += taken[host] == 0 ? 1 : 0;
        }
        for (const host_index host : hosts) {
            const host_state& asked = this->tree.host(host);
            if (state.terms.level == cell_level::host) {
                this->consider({index, rack, host, asked.all}, whole_hosts, 1, state, before, taken,
                               occupied, best);
                continue;
            }
            const std::uint32_t rest = unowned(host);
            if (rest == 0) {
                continue;
            }
            for (std::uint32_t group = 0; group < topology::group_count(asked.spec); ++group) {
                const accelerator_mask mask = topology::group_mask(asked.spec, group);
                if (state.terms.level == cell_level::group) {
                    this->consider({index, rack, host, mask}, rest, 1, state, before, taken,
                                   occupied, best);
                    continue;
                }
                // Prefer broken groups, then broken hosts, so that larger cells stay whole.
                const std::uint32_t fit =
                    count_of(mask & ~taken[host]) * max_accelerators_per_worker + rest;
                for_each_accelerator(mask & ~taken[host], [&](std::uint32_t n) {
                    this->consider({index, rack, host, accelerator_mask{1} << n}, fit, 1, state,
                                   before, taken, occupied, best);
                });
            }
        }
    }
}

void cell_book::consider(const cell_place& place, std::uint32_t fit, std::uint32_t known_hosts,
                         const guarantee_state& state, const guarantee_state& before,
                         const owners& taken, const occupancy_function& occupied,
                         candidate& best) const
{
    const bool there = was_there(before, state, place);
    if (place.host != no_index) {
        // The rank if nothing ran there bounds the real one from below and costs little.
        const candidate::rank_type bound(
            false, false, !there, -static_cast<std::int64_t>(count_of(place.accelerators)), 0, fit);
        if ((taken[place.host] & place.accelerators) != 0 || !this->is_available(place.host) ||
            (best.found && best.rank <= bound)) {
            return;
        }
    }
    const std::vector<host_part> parts = this->parts_of(place);
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
    const bool whole = parts.size() == known_hosts;
    const candidate::rank_type rank(!whole, total.pinned != 0, !there, -size, total.borrowed, fit);
    if (!best.found || rank < best.rank) {
        best.found = true;
        best.rank = rank;
        best.place = place;
        best.whole = whole;
    }
}

void cell_book::number_cells(std::vector<guarantee_state>& result)
{
    for (std::uint32_t index = 0; index < result.size(); ++index) {
        for (cell& one : result[index].cells) {
            const std::vector<cell>& before = this->states[index].cells;
            const auto same =
                std::find_if(before.begin(), before.end(), [&one](const cell& earlier) {
                    return earlier.place == one.place && earlier.whole == one.whole;
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

void cell_book::rebuild_maps()
{
    this->by_account.clear();
    this->largest_by_account.clear();
    this->owned_by_any.assign(this->tree.host_count(), 0);
    for (const guarantee_state& state : this->states) {
        for (const cell& one : state.cells) {
            std::uint32_t size = 0;
            for (const host_part& part : this->parts_of(one.place)) {
                this->by_account[state.terms.account][part.host] |= part.accelerators;
                this->owned_by_any[part.host] |= part.accelerators;
                size += count_of(part.accelerators);
            }
            std::uint32_t& largest = this->largest_by_account[state.terms.account];
            largest = std::max(largest, size);
        }
    }
}

std::uint32_t cell_book::missing() const
{
    std::uint32_t sum = 0;
    for (const guarantee_state& state : this->states) {
        sum += state.missing;
    }
    return sum;
}

const own_cells& cell_book::cells_of(std::string_view account) const
{
    const auto found = this->by_account.find(account);
    return found == this->by_account.end() ? no_cells : found->second;
}

std::uint32_t cell_book::largest_cell(std::string_view account) const
{
    const auto found = this->largest_by_account.find(account);
    return found == this->largest_by_account.end() ? 0 : found->second;
}

accelerator_mask cell_book::owned(host_index host) const
{
    return host < this->owned_by_any.size() ? this->owned_by_any[host] : 0;
}

} // namespace redwingwheel::placement
