#pragma once

#include <array>
#include <bit>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "redwingwheel/placement_types.h"

/// The cell tree: accelerators, hosts, racks and data centres, with indexes of free accelerators. A
/// change on a host updates only the indexes of its rack and its data centre.
namespace redwingwheel::placement {

using host_index = std::uint32_t;
using rack_index = std::uint32_t;
using data_centre_index = std::uint32_t;
using job_slot = std::uint32_t;

constexpr std::uint32_t no_index = 0xFFFFFFFF;
constexpr job_slot no_job = 0xFFFFFFFF;

/// Which free accelerators a search may use.
enum class capacity_view {
    common,  ///< Only those outside guaranteed cells.
    lendable ///< Also those in guaranteed cells, unless the cell is being reclaimed.
};
constexpr std::size_t view_count = 2;

/// A worker, which is a cell of level host.
struct host_state {
    worker_spec spec;
    data_centre_index data_centre = 0;
    rack_index rack = 0;
    bool lost = false;
    bool quarantined = false;
    bool draining = false; ///< No gang is started here; running gangs continue.
    accelerator_mask all = 0;
    accelerator_mask held = 0;       ///< A gang runs or stops there.
    accelerator_mask claimed = 0;    ///< Claimed for a job, see claim_kind.
    accelerator_mask reserved = 0;   ///< Part of `claimed` under reservation; an owner may take it.
    accelerator_mask guaranteed = 0; ///< In a cell that is assigned to a guarantee.
    accelerator_mask closed_to_lending = 0;        ///< In a cell that is being reclaimed.
    std::vector<job_slot> holder_by_accelerator;   ///< no_job: free.
    std::vector<job_slot> claimant_by_accelerator; ///< no_job: not claimed.
    // Values under which the host is currently entered in free_index, by view.
    std::array<std::uint32_t, view_count> indexed_free{};
    std::array<std::uint32_t, view_count> indexed_group_part{};
    std::array<bool, view_count> indexed_fully_free{};
};

struct rack_state {
    std::string name;
    data_centre_index data_centre = 0;
    std::vector<host_index> hosts;
    std::array<std::uint32_t, view_count> free{};
};

/// Entry of a free_index, ordered by the number of free accelerators.
struct free_entry {
    std::uint32_t free = 0;
    std::uint32_t index = 0;
    friend bool operator<(const free_entry& left, const free_entry& right)
    {
        return std::tie(left.free, left.index) < std::tie(right.free, right.index);
    }
};

/// Hosts and racks of a data centre by free accelerators in one view.
struct free_index {
    std::set<free_entry> partly_free_hosts;   ///< Hosts with any accelerator not free.
    std::set<free_entry> fully_free_hosts;    ///< Hosts with all accelerators free.
    std::set<free_entry> hosts_by_group_part; ///< By the most free accelerators in one group.
    std::set<free_entry> racks_by_free;
    /// Number of hosts by number of free accelerators.
    std::array<std::uint32_t, max_accelerators_per_worker + 1> host_count_by_free{};
    std::array<std::uint32_t, max_accelerators_per_worker + 1> fully_free_host_count_by_free{};
    std::uint64_t accelerators = 0; ///< Free accelerators of the data centre.
};

struct data_centre_info {
    std::string name;
    data_centre_state state = data_centre_state::in_service;
    std::vector<host_index> hosts;
    std::vector<rack_index> racks;
    std::array<free_index, view_count> views;
    std::uint32_t accelerators = 0; ///< Of workers that are not lost.
    std::uint32_t held = 0;
    std::uint32_t quarantined = 0;
    steady_time ramp_start; ///< Equal to ramp_end: no ramp.
    steady_time ramp_end;
};

/// Some accelerators of one host.
struct host_part {
    host_index host = 0;
    accelerator_mask accelerators = 0;
};

class topology {
public:
    /// Index of the worker, or no_index if it has not been added.
    [[nodiscard]] host_index find_host(std::string_view name) const;
    [[nodiscard]] data_centre_index find_data_centre(std::string_view name) const;

    /// Adds a worker with a new name.
    host_index add_host(const worker_spec& worker);
    void set_lost(host_index index, bool lost);
    void set_quarantined(host_index index, bool quarantined);
    void set_draining(host_index index, bool draining);
    void set_state(data_centre_index index, data_centre_state state);
    void set_ramp(data_centre_index index, steady_time start, steady_time end);

    void hold(const host_part& part, job_slot job);
    void release(const host_part& part);
    void claim(const host_part& part, job_slot job, bool is_reservation);
    void unclaim(const host_part& part);
    void set_guaranteed(host_index index, accelerator_mask guaranteed);
    void set_closed_to_lending(host_index index, accelerator_mask closed);

    [[nodiscard]] const host_state& host(host_index index) const { return this->hosts[index]; }
    [[nodiscard]] const rack_state& rack(rack_index index) const { return this->racks[index]; }
    [[nodiscard]] const data_centre_info& data_centre(data_centre_index index) const
    {
        return this->data_centres[index];
    }
    [[nodiscard]] std::uint32_t host_count() const
    {
        return static_cast<std::uint32_t>(this->hosts.size());
    }
    [[nodiscard]] std::uint32_t rack_count() const
    {
        return static_cast<std::uint32_t>(this->racks.size());
    }
    [[nodiscard]] std::uint32_t data_centre_count() const
    {
        return static_cast<std::uint32_t>(this->data_centres.size());
    }
    [[nodiscard]] std::uint64_t accelerator_count() const { return this->accelerators; }

    /// Accelerators of the largest worker; 0 without workers.
    [[nodiscard]] std::uint32_t max_host_accelerators() const { return this->max_accelerators; }

    /// True if the worker is not lost, quarantined or draining and its data centre is in service.
    [[nodiscard]] bool is_available(host_index index) const;

    /// Accelerators of the host that are in the view, not held and not claimed; none if the host is
    /// not available.
    [[nodiscard]] accelerator_mask usable(host_index index, capacity_view view) const;

    /// Mask of the accelerators in group `group` of the worker.
    [[nodiscard]] static accelerator_mask group_mask(const worker_spec& worker,
                                                     std::uint32_t group);
    [[nodiscard]] static std::uint32_t group_count(const worker_spec& worker);

    /// Number of accelerators of `mask` in the group that has most of them.
    [[nodiscard]] static std::uint32_t largest_group_part(const worker_spec& worker,
                                                          accelerator_mask mask);

private:
    /// Updates the free indexes after a change of the host.
    void reindex_host(host_index index);
    void reindex_view(host_index index, capacity_view view);
    rack_index find_or_add_rack(std::string_view name, data_centre_index data_centre);
    data_centre_index find_or_add_data_centre(std::string_view name);

    std::vector<host_state> hosts;
    std::vector<rack_state> racks;
    std::vector<data_centre_info> data_centres;
    std::map<std::string, host_index, std::less<>> hosts_by_name;
    std::map<std::string, data_centre_index, std::less<>> data_centres_by_name;
    std::uint64_t accelerators = 0;
    std::uint32_t max_accelerators = 0;
};

[[nodiscard]] constexpr std::uint32_t count_of(accelerator_mask mask)
{
    return static_cast<std::uint32_t>(std::popcount(mask));
}

/// Mask of accelerators 0 .. count-1.
[[nodiscard]] constexpr accelerator_mask first_n_mask(std::uint32_t count)
{
    return count >= max_accelerators_per_worker ? ~accelerator_mask{0}
                                                : (accelerator_mask{1} << count) - 1;
}

/// Calls `visit(n)` for every accelerator n in `mask`, lowest first.
template <class Visit>
void for_each_accelerator(accelerator_mask mask, const Visit& visit)
{
    while (mask != 0) {
        visit(static_cast<std::uint32_t>(std::countr_zero(mask)));
        mask &= mask - 1;
    }
}

} // namespace redwingwheel::placement
