#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cells.h"
#include "topology.h"

/// Finds accelerators for a whole gang. Searches read the tree and change nothing.
namespace redwingwheel::placement {

/// What a gang needs, and what it may use.
struct gang_request {
    std::uint32_t members = 1;
    std::uint32_t accelerators = 1; ///< Per member.
    cell_level adjacency = cell_level::data_centre;
    bool may_borrow = false;            ///< May take open guaranteed cells of others.
    std::vector<host_index> avoided;    ///< Sorted.
    std::vector<data_centre_index> out; ///< Data centres not to use, sorted.
    steady_time now;

    [[nodiscard]] std::uint32_t total() const { return this->members * this->accelerators; }
};

/// Accelerators per member, in order of member.
using gang_parts = std::vector<host_part>;

/// Accelerators that a request may use beside the view, by host.
using extra_capacity = std::map<host_index, accelerator_mask>;

class placement_search {
public:
    explicit placement_search(const topology& cells) : tree(cells) {}

    /// Best fit within one view: the placement that breaks the fewest whole hosts, then leaves the
    /// least rest. Empty when the gang does not fit.
    [[nodiscard]] std::optional<gang_parts> find(const gang_request& request,
                                                 capacity_view view) const;

    /// Best fit that uses `extra` first and fills up from the view. `cost` rates accelerators of
    /// `extra` that are not free now. Empty when the gang does not fit around any extra host.
    [[nodiscard]] std::optional<gang_parts>
    find_with(const gang_request& request, capacity_view view, const extra_capacity& extra) const;

    /// Fits the gang into `capacity` alone, an area that satisfies its adjacency.
    [[nodiscard]] std::optional<gang_parts> fill_within(const gang_request& request,
                                                        const extra_capacity& capacity) const;

    /// True when the data centre may take `accelerators` more during its ramp.
    [[nodiscard]] bool within_ramp(data_centre_index index, std::uint32_t accelerators,
                                   steady_time now) const;

    /// Picks `count` accelerators from `mask`, in one group when possible, from the smallest
    /// group part that holds them. `preferred` are taken first.
    [[nodiscard]] static accelerator_mask choose(const worker_spec& worker, accelerator_mask mask,
                                                 accelerator_mask preferred, std::uint32_t count);

private:
    struct candidate_host {
        host_index host = 0;
        accelerator_mask usable = 0;
        accelerator_mask preferred = 0;
    };
    struct score {
        std::uint32_t broken = 0; ///< Whole hosts that are broken.
        std::uint32_t rest = 0;   ///< Free accelerators left in the area.
        friend bool operator<(const score& left, const score& right)
        {
            return std::tie(left.broken, left.rest) < std::tie(right.broken, right.rest);
        }
    };
    struct area {
        data_centre_index data_centre = no_index;
        rack_index rack = no_index;
        host_index host = no_index;
        friend bool operator<(const area& left, const area& right)
        {
            return std::tie(left.data_centre, left.rack, left.host) <
                   std::tie(right.data_centre, right.rack, right.host);
        }
        friend bool operator==(const area&, const area&) = default;
    };

    bool allows(const gang_request& request, data_centre_index index) const;
    bool avoids(const gang_request& request, host_index host) const;
    std::uint32_t broken_hosts(const gang_parts& parts, capacity_view view) const;

    std::optional<gang_parts> find_in_data_centre(const gang_request& request, capacity_view view,
                                                  data_centre_index index) const;
    std::optional<gang_parts> find_in_racks(const gang_request& request, capacity_view view,
                                            data_centre_index index, score& best) const;
    std::optional<gang_parts> find_in_host(const gang_request& request, capacity_view view,
                                           data_centre_index index, score& best) const;
    std::optional<gang_parts> find_in_group(const gang_request& request, capacity_view view,
                                            data_centre_index index, score& best) const;

    std::vector<candidate_host> rack_hosts(const gang_request& request, capacity_view view,
                                           rack_index rack) const;
    std::vector<candidate_host> data_centre_hosts(const gang_request& request, capacity_view view,
                                                  data_centre_index index,
                                                  const extra_capacity* without) const;
    area area_of(host_index host, cell_level adjacency) const;
    std::optional<gang_parts> fill_area(const gang_request& request, capacity_view view,
                                        const area& around, const extra_capacity& extra) const;
    std::optional<gang_parts> fill(const gang_request& request,
                                   std::span<const candidate_host> hosts,
                                   bool hosts_repeat = false) const;
    std::optional<gang_parts> fill_group(const gang_request& request,
                                         const candidate_host& candidate) const;

    const topology& tree;
};

} // namespace redwingwheel::placement
