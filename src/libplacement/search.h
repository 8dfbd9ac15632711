#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cells.h"
#include "topology.h"

/// Finds accelerators for all members of a gang. Searches only read the topology.
namespace redwingwheel::placement {

/// The shape of a gang and the inventory that it may use.
struct gang_request {
    std::uint32_t members = 1;
    std::uint32_t accelerators = 1; ///< Per member.
    cell_level adjacency = cell_level::data_centre;
    bool may_borrow = false;                ///< May use other accounts' lendable cells.
    std::vector<host_index> excluded_hosts; ///< Sorted.
    std::vector<data_centre_index> excluded_data_centres; ///< Sorted.
    steady_time now;

    [[nodiscard]] std::uint32_t total() const { return this->members * this->accelerators; }
};

/// The accelerators of each member, in order of member.
using gang_parts = std::vector<host_part>;

/// Accelerators that a request may use in addition to the view, by host.
using extra_capacity = std::map<host_index, accelerator_mask>;

class placement_search {
public:
    explicit placement_search(const topology& cells) : tree(cells) {}

    /// Best fit within one view: the placement that uses the fewest fully free hosts, then the area
    /// with the fewest free accelerators. Empty if the gang does not fit.
    [[nodiscard]] std::optional<gang_parts> find(const gang_request& request,
                                                 capacity_view view) const;

    /// Best fit that uses `extra` first and adds accelerators of the view. Prefers the placement
    /// with the fewest held accelerators, then the fewest outside `extra`. Only areas with a host
    /// in `extra` are tried; empty if the gang fits in none of them.
    [[nodiscard]] std::optional<gang_parts> find_with_extra(const gang_request& request,
                                                            capacity_view view,
                                                            const extra_capacity& extra) const;

    /// Places the gang on `capacity` only. For adjacency rack or data_centre all hosts in
    /// `capacity` must lie in one cell of that level. Empty if the gang does not fit.
    [[nodiscard]] std::optional<gang_parts> find_within(const gang_request& request,
                                                        const extra_capacity& capacity) const;

    /// True if the data centre may hold `accelerators` more at this point of its ramp, or has none.
    [[nodiscard]] bool within_ramp_limit(data_centre_index index, std::uint32_t accelerators,
                                         steady_time now) const;

    /// Picks `count` accelerators from `mask`, if possible from `preferred` alone and from a single
    /// group: the one with the fewest that suffice. 0 if `mask` has too few.
    [[nodiscard]] static accelerator_mask choose_accelerators(const worker_spec& worker,
                                                              accelerator_mask mask,
                                                              accelerator_mask preferred,
                                                              std::uint32_t count);

private:
    struct candidate_host {
        host_index host = 0;
        accelerator_mask usable = 0;
        accelerator_mask preferred = 0;
    };
    struct score {
        std::uint32_t fully_free_hosts_used = 0; ///< Fully free hosts that would be used.
        std::uint32_t area_free = 0; ///< Free accelerators in the area before the placement.
        friend bool operator<(const score& left, const score& right)
        {
            return std::tie(left.fully_free_hosts_used, left.area_free) <
                   std::tie(right.fully_free_hosts_used, right.area_free);
        }
    };
    /// The cell in which a gang must fit; fields below its level are no_index.
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

    bool is_allowed(const gang_request& request, data_centre_index index) const;
    bool is_excluded(const gang_request& request, host_index host) const;
    std::uint32_t count_fully_free_hosts_used(const gang_parts& parts, capacity_view view) const;

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
    std::optional<gang_parts> place_in_area(const gang_request& request, capacity_view view,
                                            const area& search_area,
                                            const extra_capacity& extra) const;
    std::optional<gang_parts> place_members(const gang_request& request,
                                            std::span<const candidate_host> hosts,
                                            bool hosts_may_repeat = false) const;
    std::optional<gang_parts> place_in_group(const gang_request& request,
                                             const candidate_host& candidate) const;

    const topology& tree;
};

} // namespace redwingwheel::placement
