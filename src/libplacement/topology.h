#pragma once

#include <array>
#include <bit>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "redwingwheel/placement_types.h"

/// The cell tree with free counts per level. Every change of an accelerator updates the host, its
/// rack and its data centre only.
namespace redwingwheel::placement {

using host_index = std::uint32_t;
using rack_index = std::uint32_t;
using data_centre_index = std::uint32_t;
using job_slot = std::uint32_t;

constexpr std::uint32_t no_index = 0xFFFFFFFF;
constexpr job_slot no_job = 0xFFFFFFFF;

/// Which free accelerators a search may use.
enum class capacity_view {
    common,  ///< Not part of any guarantee.
    lendable ///< Also guaranteed cells that are open to borrowers.
};
constexpr std::size_t view_count = 2;

struct host_state {
    worker_spec spec;
    data_centre_index data_centre = 0;
    rack_index rack = 0;
    bool lost = false;
    bool quarantined = false;
    bool draining = false; ///< Takes nothing new; what runs goes on.
    accelerator_mask all = 0;
    accelerator_mask held = 0;     ///< A gang runs or stops there.
    accelerator_mask claimed = 0;  ///< Promised to one queued job.
    accelerator_mask reserved = 0; ///< The part of `claimed` that an owner may take back.
    accelerator_mask owned = 0;    ///< Part of a guarantee's cell.
    accelerator_mask closed = 0;   ///< Part of a cell that is being reclaimed.
    std::vector<job_slot> holder;
    std::vector<job_slot> claimant;
    std::array<std::uint32_t, view_count> indexed_free{};
    std::array<std::uint32_t, view_count> indexed_group{};
    std::array<bool, view_count> indexed_whole{};
};

struct rack_state {
    std::string name;
    data_centre_index data_centre = 0;
    std::vector<host_index> hosts;
    std::array<std::uint32_t, view_count> free{};
};

struct ranked {
    std::uint32_t free = 0;
    std::uint32_t index = 0;
    friend bool operator<(const ranked& left, const ranked& right)
    {
        return std::tie(left.free, left.index) < std::tie(right.free, right.index);
    }
};

/// Free cells of a data centre in one view, ordered by size.
struct free_index {
    std::set<ranked> partial; ///< Hosts with some, but not all, accelerators free.
    std::set<ranked> whole;   ///< Hosts that are free as a whole.
    std::set<ranked> groups;  ///< Hosts by the largest free part of one group.
    std::set<ranked> racks;
    std::array<std::uint32_t, max_accelerators_per_worker + 1> hosts_with{};
    std::array<std::uint32_t, max_accelerators_per_worker + 1> whole_hosts_with{};
    std::uint64_t free = 0;
};

struct data_centre_info {
    std::string name;
    data_centre_state state = data_centre_state::in_service;
    std::vector<host_index> hosts;
    std::vector<rack_index> racks;
    std::array<free_index, view_count> views;
    std::uint32_t accelerators = 0; ///< Of workers that are present.
    std::uint32_t held = 0;
    std::uint32_t quarantined = 0;
    steady_time ramp_start; ///< Equal to ramp_end: no ramp.
    steady_time ramp_end;
};

/// Accelerators of one host.
struct host_part {
    host_index host = 0;
    accelerator_mask accelerators = 0;
};

class topology {
public:
    /// Index of a worker that was added before, or no_index.
    [[nodiscard]] host_index find_host(std::string_view name) const;
    [[nodiscard]] data_centre_index find_data_centre(std::string_view name) const;

    /// Adds a worker that is not known yet.
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
    void set_owned(host_index index, accelerator_mask owned);
    void set_closed(host_index index, accelerator_mask closed);

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

    /// Accelerators of the largest worker.
    [[nodiscard]] std::uint32_t largest_host() const { return this->largest; }

    /// Present, not quarantined, not draining and in a data centre that is in service.
    [[nodiscard]] bool is_available(host_index index) const;

    /// Accelerators of the host that a job without a guarantee may take.
    [[nodiscard]] accelerator_mask usable(host_index index, capacity_view view) const;

    /// Mask of group `group` of the host.
    [[nodiscard]] static accelerator_mask group_mask(const worker_spec& worker,
                                                     std::uint32_t group);
    [[nodiscard]] static std::uint32_t group_count(const worker_spec& worker);

    /// Largest part of `mask` that lies in one group.
    [[nodiscard]] static std::uint32_t largest_group_part(const worker_spec& worker,
                                                          accelerator_mask mask);

private:
    void refresh(host_index index);
    void refresh_view(host_index index, capacity_view view);
    rack_index find_or_add_rack(std::string_view name, data_centre_index data_centre);
    data_centre_index find_or_add_data_centre(std::string_view name);

    std::vector<host_state> hosts;
    std::vector<rack_state> racks;
    std::vector<data_centre_info> data_centres;
    std::map<std::string, host_index, std::less<>> hosts_by_name;
    std::map<std::string, data_centre_index, std::less<>> data_centres_by_name;
    std::uint64_t accelerators = 0;
    std::uint32_t largest = 0;
};

[[nodiscard]] constexpr std::uint32_t count_of(accelerator_mask mask)
{
    return static_cast<std::uint32_t>(std::popcount(mask));
}

/// Mask of accelerators 0 .. count-1.
[[nodiscard]] constexpr accelerator_mask mask_of(std::uint32_t count)
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
