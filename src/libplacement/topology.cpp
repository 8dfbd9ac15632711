#include "topology.h"

#include <algorithm>

namespace redwingwheel::placement {

namespace {

std::size_t slot_of(capacity_view view)
{
    return static_cast<std::size_t>(view);
}

} // namespace

host_index topology::find_host(std::string_view name) const
{
    const auto found = this->hosts_by_name.find(name);
    return found == this->hosts_by_name.end() ? no_index : found->second;
}

data_centre_index topology::find_data_centre(std::string_view name) const
{
    const auto found = this->data_centres_by_name.find(name);
    return found == this->data_centres_by_name.end() ? no_index : found->second;
}

data_centre_index topology::find_or_add_data_centre(std::string_view name)
{
    const data_centre_index known = this->find_data_centre(name);
    if (known != no_index) {
        return known;
    }
    const data_centre_index index = this->data_centre_count();
    data_centre_info added;
    added.name = std::string(name);
    this->data_centres.push_back(std::move(added));
    this->data_centres_by_name.emplace(std::string(name), index);
    return index;
}

rack_index topology::find_or_add_rack(std::string_view name, data_centre_index data_centre)
{
    data_centre_info& place = this->data_centres[data_centre];
    for (const rack_index index : place.racks) {
        if (this->racks[index].name == name) {
            return index;
        }
    }
    const rack_index index = this->rack_count();
    rack_state added;
    added.name = std::string(name);
    added.data_centre = data_centre;
    this->racks.push_back(std::move(added));
    place.racks.push_back(index);
    for (free_index& view : place.views) {
        view.racks.insert({0, index});
    }
    return index;
}

host_index topology::add_host(const worker_spec& worker)
{
    const host_index index = this->host_count();
    host_state added;
    added.spec = worker;
    if (added.spec.accelerators_per_group == 0) {
        added.spec.accelerators_per_group = worker.accelerators;
    }
    added.data_centre = this->find_or_add_data_centre(worker.data_centre);
    added.rack = this->find_or_add_rack(worker.rack, added.data_centre);
    added.all = mask_of(worker.accelerators);
    added.holder.assign(worker.accelerators, no_job);
    added.claimant.assign(worker.accelerators, no_job);
    data_centre_info& place = this->data_centres[added.data_centre];
    place.hosts.push_back(index);
    place.accelerators += worker.accelerators;
    for (free_index& view : place.views) {
        view.partial.insert({0, index});
        view.groups.insert({0, index});
        ++view.hosts_with[0];
    }
    this->racks[added.rack].hosts.push_back(index);
    this->accelerators += worker.accelerators;
    this->largest = std::max(this->largest, worker.accelerators);
    this->hosts_by_name.emplace(worker.name, index);
    this->hosts.push_back(std::move(added));
    this->refresh(index);
    return index;
}

void topology::set_lost(host_index index, bool lost)
{
    host_state& changed = this->hosts[index];
    if (changed.lost == lost) {
        return;
    }
    changed.lost = lost;
    data_centre_info& place = this->data_centres[changed.data_centre];
    if (lost) {
        place.accelerators -= changed.spec.accelerators;
    }
    else {
        place.accelerators += changed.spec.accelerators;
    }
    this->refresh(index);
}

void topology::set_quarantined(host_index index, bool quarantined)
{
    host_state& changed = this->hosts[index];
    if (changed.quarantined == quarantined) {
        return;
    }
    changed.quarantined = quarantined;
    data_centre_info& place = this->data_centres[changed.data_centre];
    place.quarantined = quarantined ? place.quarantined + 1 : place.quarantined - 1;
    this->refresh(index);
}

void topology::set_draining(host_index index, bool draining)
{
    if (this->hosts[index].draining != draining) {
        this->hosts[index].draining = draining;
        this->refresh(index);
    }
}

void topology::set_state(data_centre_index index, data_centre_state state)
{
    this->data_centres[index].state = state;
    for (const host_index host : this->data_centres[index].hosts) {
        this->refresh(host);
    }
}

void topology::set_ramp(data_centre_index index, steady_time start, steady_time end)
{
    this->data_centres[index].ramp_start = start;
    this->data_centres[index].ramp_end = end;
}

void topology::hold(const host_part& part, job_slot job)
{
    host_state& changed = this->hosts[part.host];
    changed.held |= part.accelerators;
    for_each_accelerator(part.accelerators, [&](std::uint32_t n) { changed.holder[n] = job; });
    this->data_centres[changed.data_centre].held += count_of(part.accelerators);
    this->refresh(part.host);
}

void topology::release(const host_part& part)
{
    host_state& changed = this->hosts[part.host];
    changed.held &= ~part.accelerators;
    for_each_accelerator(part.accelerators, [&](std::uint32_t n) { changed.holder[n] = no_job; });
    this->data_centres[changed.data_centre].held -= count_of(part.accelerators);
    this->refresh(part.host);
}

void topology::claim(const host_part& part, job_slot job, bool is_reservation)
{
    host_state& changed = this->hosts[part.host];
    changed.claimed |= part.accelerators;
    if (is_reservation) {
        changed.reserved |= part.accelerators;
    }
    for_each_accelerator(part.accelerators, [&](std::uint32_t n) { changed.claimant[n] = job; });
    this->refresh(part.host);
}

void topology::unclaim(const host_part& part)
{
    host_state& changed = this->hosts[part.host];
    changed.claimed &= ~part.accelerators;
    changed.reserved &= ~part.accelerators;
    for_each_accelerator(part.accelerators, [&](std::uint32_t n) { changed.claimant[n] = no_job; });
    this->refresh(part.host);
}

void topology::set_owned(host_index index, accelerator_mask owned)
{
    if (this->hosts[index].owned != owned) {
        this->hosts[index].owned = owned;
        this->refresh(index);
    }
}

void topology::set_closed(host_index index, accelerator_mask closed)
{
    if (this->hosts[index].closed != closed) {
        this->hosts[index].closed = closed;
        this->refresh(index);
    }
}

bool topology::is_available(host_index index) const
{
    const host_state& asked = this->hosts[index];
    return !asked.lost && !asked.quarantined && !asked.draining &&
           this->data_centres[asked.data_centre].state == data_centre_state::in_service;
}

accelerator_mask topology::usable(host_index index, capacity_view view) const
{
    if (!this->is_available(index)) {
        return 0;
    }
    const host_state& asked = this->hosts[index];
    const accelerator_mask withheld = view == capacity_view::common ? asked.owned : asked.closed;
    return asked.all & ~asked.held & ~asked.claimed & ~withheld;
}

std::uint32_t topology::group_count(const worker_spec& worker)
{
    return worker.accelerators / worker.accelerators_per_group;
}

accelerator_mask topology::group_mask(const worker_spec& worker, std::uint32_t group)
{
    return mask_of(worker.accelerators_per_group) << (group * worker.accelerators_per_group);
}

std::uint32_t topology::largest_group_part(const worker_spec& worker, accelerator_mask mask)
{
    std::uint32_t largest = 0;
    for (std::uint32_t group = 0; group < group_count(worker); ++group) {
        largest = std::max(largest, count_of(mask & group_mask(worker, group)));
    }
    return largest;
}

void topology::refresh(host_index index)
{
    this->refresh_view(index, capacity_view::common);
    this->refresh_view(index, capacity_view::lendable);
}

void topology::refresh_view(host_index index, capacity_view view)
{
    const std::size_t at = slot_of(view);
    host_state& changed = this->hosts[index];
    rack_state& around = this->racks[changed.rack];
    free_index& entry = this->data_centres[changed.data_centre].views[at];
    const accelerator_mask mask = this->usable(index, view);
    const std::uint32_t free = count_of(mask);
    const bool whole = mask == changed.all;
    const std::uint32_t before = changed.indexed_free[at];
    if (free != before || whole != changed.indexed_whole[at]) {
        (changed.indexed_whole[at] ? entry.whole : entry.partial).erase({before, index});
        (whole ? entry.whole : entry.partial).insert({free, index});
        --entry.hosts_with[before];
        ++entry.hosts_with[free];
        if (changed.indexed_whole[at]) {
            --entry.whole_hosts_with[before];
        }
        if (whole) {
            ++entry.whole_hosts_with[free];
        }
        entry.racks.erase({around.free[at], changed.rack});
        around.free[at] = around.free[at] - before + free;
        entry.racks.insert({around.free[at], changed.rack});
        entry.free = entry.free - before + free;
        changed.indexed_free[at] = free;
        changed.indexed_whole[at] = whole;
    }
    const std::uint32_t group = largest_group_part(changed.spec, mask);
    if (group != changed.indexed_group[at]) {
        entry.groups.erase({changed.indexed_group[at], index});
        entry.groups.insert({group, index});
        changed.indexed_group[at] = group;
    }
}

} // namespace redwingwheel::placement
