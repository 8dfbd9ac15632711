#include <algorithm>
#include <bit>

#include <fmt/format.h>

#include "simulation.h"

/// What the event loop observes beside the decisions themselves.
namespace redwingwheel::replay {

using namespace placement;

void simulation::check_shape(const live_job& job, const gang_placement& placement)
{
    const job_spec& spec = job.traced.spec;
    bool whole = placement.members.size() == spec.members;
    std::set<std::string> areas;
    for (const member_placement& member : placement.members) {
        const worker_spec& worker = this->workers[member.worker].spec;
        whole = whole && static_cast<std::uint32_t>(std::popcount(member.accelerators)) ==
                             spec.accelerators_per_member;
        std::string area = worker.data_centre;
        if (spec.adjacency <= cell_level::rack) {
            area += "/" + worker.rack;
        }
        if (spec.adjacency <= cell_level::host) {
            area += "/" + worker.name;
        }
        if (spec.adjacency <= cell_level::group) {
            const auto size = static_cast<int>(worker.accelerators_per_group);
            const int low = std::countr_zero(member.accelerators) / size;
            const int high = (63 - std::countl_zero(member.accelerators)) / size;
            whole = whole && low == high;
            area += fmt::format("/{}", low);
        }
        areas.insert(area);
    }
    this->result.split_gangs += whole && areas.size() == 1 ? 0 : 1;
}

void simulation::sample()
{
    load_sample one;
    one.at = this->now();
    const auto is_open = [this](const live_worker& worker) {
        return !worker.lost && !this->withdrawn.contains(worker.spec.data_centre);
    };
    for (const auto& [name, worker] : this->workers) {
        if (!is_open(worker)) {
            continue;
        }
        std::uint32_t free = 0;
        for (const std::string& holder : worker.holder) {
            free += holder.empty() ? 1 : 0;
        }
        one.capacity += worker.spec.accelerators;
        one.used += worker.spec.accelerators - free;
        one.free += free;
        one.free_in_whole_hosts += free == worker.spec.accelerators ? free : 0;
    }
    one.demand = one.used;
    for (const auto& [id, job] : this->jobs) {
        one.demand +=
            job.waits ? job.traced.spec.members * job.traced.spec.accelerators_per_member : 0;
    }
    this->result.load.push_back(one);
    for (const guarantee_summary& summary : this->scheduler->guarantee_summaries()) {
        const bool whole = summary.whole == summary.terms.count;
        const auto last =
            std::find_if(this->result.guarantees.rbegin(), this->result.guarantees.rend(),
                         [&](const guarantee_sample& entry) {
                             return entry.agreement == summary.terms.agreement;
                         });
        if (last == this->result.guarantees.rend() || last->whole != whole) {
            this->result.guarantees.push_back({this->now(), summary.terms.agreement, whole});
        }
    }
}

/// True when what survives of the inventory can hold all guarantees; homes that are gone count as
/// replaceable.
bool simulation::guarantees_are_feasible()
{
    if (!this->feasible.has_value()) {
        placement::engine survivors({}, this->clock.function());
        std::set<std::string> places;
        for (const auto& [name, worker] : this->workers) {
            if (!worker.lost && !this->withdrawn.contains(worker.spec.data_centre)) {
                static_cast<void>(survivors.add_worker(worker.spec));
                places.insert(worker.spec.data_centre);
            }
        }
        std::vector<guarantee> wanted = this->terms;
        for (guarantee& one : wanted) {
            if (!places.contains(one.data_centre)) {
                one.data_centre.clear();
            }
        }
        this->feasible = survivors.check_guarantees(wanted).empty();
    }
    return *this->feasible;
}

/// True for an urgent job that fits, beside the account's own other work, into cells that its
/// guarantees are sure to hold together.
bool simulation::is_entitled(const traced_job& job)
{
    const job_spec& spec = job.spec;
    if (spec.priority != job_priority::urgent || !this->guarantees_are_feasible()) {
        return false;
    }
    std::map<std::string, std::uint32_t> racks;
    std::map<std::string, std::uint32_t> places;
    std::uint32_t host_size = 0;
    std::uint32_t group_size = 0;
    for (const auto& [name, worker] : this->workers) {
        racks[worker.spec.data_centre + "/" + worker.spec.rack] += worker.spec.accelerators;
        places[worker.spec.data_centre] += worker.spec.accelerators;
        host_size = std::max(host_size, worker.spec.accelerators);
        group_size = std::max(group_size, worker.spec.accelerators_per_group);
    }
    const auto largest = [](const std::map<std::string, std::uint32_t>& sizes) {
        std::uint32_t size = 0;
        for (const auto& [name, accelerators] : sizes) {
            size = std::max(size, accelerators);
        }
        return size;
    };
    const std::array<std::uint32_t, 5> cell_sizes = {1, group_size, host_size, largest(racks),
                                                     largest(places)};
    std::uint32_t own_demand = 0;
    for (const auto& [id, other] : this->jobs) {
        if (other.traced.spec.account == spec.account &&
            other.traced.spec.priority != job_priority::low) {
            own_demand += other.traced.spec.members * other.traced.spec.accelerators_per_member;
        }
    }
    const std::uint32_t total = spec.members * spec.accelerators_per_member;
    for (const guarantee& one : this->terms) {
        const std::uint32_t size = cell_sizes[static_cast<std::size_t>(one.level)];
        if (one.account != spec.account || size < spec.accelerators_per_member) {
            continue;
        }
        const std::uint32_t per_host = std::min(size, host_size) / spec.accelerators_per_member;
        const std::uint32_t members_per_cell =
            one.level <= cell_level::host ? per_host : size / host_size * per_host;
        const std::uint32_t cells = spec.adjacency <= one.level ? 1 : one.count;
        const bool together =
            cells == 1 || (spec.adjacency == cell_level::data_centre && !one.data_centre.empty());
        // Members of different jobs need not pack; only room without any other own work is sure.
        if (together && members_per_cell * cells >= spec.members && own_demand == 0 &&
            total <= one.count * size) {
            return true;
        }
    }
    return false;
}

} // namespace redwingwheel::replay
