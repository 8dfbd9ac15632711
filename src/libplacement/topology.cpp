#include "topology.h"

#include <algorithm>

namespace redwingwheel::placement {

namespace {

std::size_t view_index(capacity_view view)
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
    data_centre_info& parent = this->data_centres[data_centre];
    for (const rack_index index : parent.racks) {
        if (this->racks[index].name == name) {
            return index;
        }
    }
    const rack_index index = this->rack_count();
    rack_state added;
    added.name = std::string(name);
    added.data_centre = data_centre;
    this->racks.push_back(std::move(added));
    parent.racks.push_back(index);
    for (free_index& view : parent.views) {
        view.racks_by_free.insert({0, index});
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
    added.all = first_n_mask(worker.accelerators);
    added.holder_by_accelerator.assign(worker.accelerators, no_job);
    added.claimant_by_accelerator.assign(worker.accelerators, no_job);
    data_centre_info& parent = this->data_centres[added.data_centre];
    parent.hosts.push_back(index);
    parent.accelerators += worker.accelerators;
    for (free_index& view : parent.views) {
        view.partly_free_hosts.insert({0, index});
        view.hosts_by_group_part.insert({0, index});
        ++view.host_count_by_free[0];
    }
    this->racks[added.rack].hosts.push_back(index);
    this->accelerators += worker.accelerators;
    this->max_accelerators = std::max(this->max_accelerators, worker.accelerators);
    this->hosts_by_name.emplace(worker.name, index);
    this->hosts.push_back(std::move(added));
    this->reindex_host(index);
    return index;
}

void topology::set_lost(host_index index, bool lost)
{
    host_state& host_record = this->hosts[index];
    if (host_record.lost == lost) {
        return;
    }
    host_record.lost = lost;
    data_centre_info& parent = this->data_centres[host_record.data_centre];
    if (lost) {
        parent.accelerators -= host_record.spec.accelerators;
    }
    else {
        parent.accelerators += host_record.spec.accelerators;
    }
    this->reindex_host(index);
}

void topology::set_quarantined(host_index index, bool quarantined)
{
    host_state& host_record = this->hosts[index];
    if (host_record.quarantined == quarantined) {
        return;
    }
    host_record.quarantined = quarantined;
    data_centre_info& parent = this->data_centres[host_record.data_centre];
    parent.quarantined = quarantined ? parent.quarantined + 1 : parent.quarantined - 1;
    this->reindex_host(index);
}

void topology::set_draining(host_index index, bool draining)
{
    if (this->hosts[index].draining != draining) {
        this->hosts[index].draining = draining;
        this->reindex_host(index);
    }
}

void topology::set_state(data_centre_index index, data_centre_state state)
{
    this->data_centres[index].state = state;
    for (const host_index host : this->data_centres[index].hosts) {
        this->reindex_host(host);
    }
}

void topology::set_ramp(data_centre_index index, steady_time start, steady_time end)
{
    this->data_centres[index].ramp_start = start;
    this->data_centres[index].ramp_end = end;
}

void topology::hold(const host_part& part, job_slot job)
{
    host_state& host_record = this->hosts[part.host];
    host_record.held |= part.accelerators;
    for_each_accelerator(part.accelerators,
                         [&](std::uint32_t n) { host_record.holder_by_accelerator[n] = job; });
    this->data_centres[host_record.data_centre].held += count_of(part.accelerators);
    this->reindex_host(part.host);
}

void topology::release(const host_part& part)
{
    host_state& host_record = this->hosts[part.host];
    host_record.held &= ~part.accelerators;
    for_each_accelerator(part.accelerators,
                         [&](std::uint32_t n) { host_record.holder_by_accelerator[n] = no_job; });
    this->data_centres[host_record.data_centre].held -= count_of(part.accelerators);
    this->reindex_host(part.host);
}

void topology::claim(const host_part& part, job_slot job, bool is_reservation)
{
    host_state& host_record = this->hosts[part.host];
    host_record.claimed |= part.accelerators;
    if (is_reservation) {
        host_record.reserved |= part.accelerators;
    }
    for_each_accelerator(part.accelerators,
                         [&](std::uint32_t n) { host_record.claimant_by_accelerator[n] = job; });
    this->reindex_host(part.host);
}

void topology::unclaim(const host_part& part)
{
    host_state& host_record = this->hosts[part.host];
    host_record.claimed &= ~part.accelerators;
    host_record.reserved &= ~part.accelerators;
    for_each_accelerator(part.accelerators,
                         [&](std::uint32_t n) { host_record.claimant_by_accelerator[n] = no_job; });
    this->reindex_host(part.host);
}

void topology::set_guaranteed(host_index index, accelerator_mask guaranteed)
{
    if (this->hosts[index].guaranteed != guaranteed) {
        this->hosts[index].guaranteed = guaranteed;
        this->reindex_host(index);
    }
}

void topology::set_closed_to_lending(host_index index, accelerator_mask closed)
{
    if (this->hosts[index].closed_to_lending != closed) {
        this->hosts[index].closed_to_lending = closed;
        this->reindex_host(index);
    }
}

bool topology::is_available(host_index index) const
{
    const host_state& host_record = this->hosts[index];
    return !host_record.lost && !host_record.quarantined && !host_record.draining &&
           this->data_centres[host_record.data_centre].state == data_centre_state::in_service;
}

accelerator_mask topology::usable(host_index index, capacity_view view) const
{
    if (!this->is_available(index)) {
        return 0;
    }
    const host_state& host_record = this->hosts[index];
    const accelerator_mask withheld =
        view == capacity_view::common ? host_record.guaranteed : host_record.closed_to_lending;
    return host_record.all & ~host_record.held & ~host_record.claimed & ~withheld;
}

std::uint32_t topology::group_count(const worker_spec& worker)
{
    return worker.accelerators / worker.accelerators_per_group;
}

accelerator_mask topology::group_mask(const worker_spec& worker, std::uint32_t group)
{
    return first_n_mask(worker.accelerators_per_group) << (group * worker.accelerators_per_group);
}

std::uint32_t topology::largest_group_part(const worker_spec& worker, accelerator_mask mask)
{
    std::uint32_t largest = 0;
    for (std::uint32_t group = 0; group < group_count(worker); ++group) {
        largest = std::max(largest, count_of(mask & group_mask(worker, group)));
    }
    return largest;
}

void topology::reindex_host(host_index index)
{
    this->reindex_view(index, capacity_view::common);
    this->reindex_view(index, capacity_view::lendable);
}

void topology::reindex_view(host_index index, capacity_view view)
{
    const std::size_t view_position = view_index(view);
    host_state& host_record = this->hosts[index];
    rack_state& rack = this->racks[host_record.rack];
    free_index& entry = this->data_centres[host_record.data_centre].views[view_position];
    const accelerator_mask mask = this->usable(index, view);
    const std::uint32_t free = count_of(mask);
    const bool fully_free = mask == host_record.all;
    const std::uint32_t free_before = host_record.indexed_free[view_position];
    if (free != free_before || fully_free != host_record.indexed_fully_free[view_position]) {
        (host_record.indexed_fully_free[view_position] ? entry.fully_free_hosts
                                                       : entry.partly_free_hosts)
            .erase({free_before, index});
        (fully_free ? entry.fully_free_hosts : entry.partly_free_hosts).insert({free, index});
        --entry.host_count_by_free[free_before];
        ++entry.host_count_by_free[free];
        if (host_record.indexed_fully_free[view_position]) {
            --entry.fully_free_host_count_by_free[free_before];
        }
        if (fully_free) {
            ++entry.fully_free_host_count_by_free[free];
        }
        entry.racks_by_free.erase({rack.free[view_position], host_record.rack});
        rack.free[view_position] = rack.free[view_position] - free_before + free;
        entry.racks_by_free.insert({rack.free[view_position], host_record.rack});
        entry.accelerators = entry.accelerators - free_before + free;
        host_record.indexed_free[view_position] = free;
        host_record.indexed_fully_free[view_position] = fully_free;
    }
    const std::uint32_t group = largest_group_part(host_record.spec, mask);
    if (group != host_record.indexed_group_part[view_position]) {
        entry.hosts_by_group_part.erase({host_record.indexed_group_part[view_position], index});
        entry.hosts_by_group_part.insert({group, index});
        host_record.indexed_group_part[view_position] = group;
    }
}

} // namespace redwingwheel::placement
