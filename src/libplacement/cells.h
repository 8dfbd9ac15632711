#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "topology.h"

/// Assignment of guarantees to cells of the inventory.
namespace redwingwheel::placement {

/// Location of a cell. Fields below the level of the cell are no_index or 0.
struct cell_location {
    data_centre_index data_centre = no_index;
    rack_index rack = no_index;
    host_index host = no_index;
    accelerator_mask accelerators = 0;
    friend bool operator==(const cell_location&, const cell_location&) = default;
};

struct cell {
    cell_location location;
    std::uint64_t version = 0;
    bool complete = true;      ///< False: some worker of the rack or data centre is not available.
    bool outside_home = false; ///< Outside the guarantee's home data centre.
};

struct guarantee_state {
    guarantee terms;
    std::vector<cell> cells;
    std::uint32_t missing = 0; ///< Guaranteed cells without a complete cell assigned.
};

/// Counts of accelerators held on part of a host, as seen by one account.
struct occupancy {
    std::uint32_t pinned = 0;   ///< Held by borrowers that must not be stopped.
    std::uint32_t borrowed = 0; ///< Held by borrowers that can be stopped.
    std::uint32_t own = 0;      ///< Held by the account's own work, except priority low.
};

using occupancy_function =
    std::function<occupancy(host_index, accelerator_mask, std::string_view account)>;

/// Accelerators in an account's cells, by host.
using cells_by_host = std::map<host_index, accelerator_mask>;

/// Holds the guarantees in force and the cells assigned to them.
class cell_allocator {
public:
    /// With `all_available`, lost, quarantined and draining workers and withdrawn data centres
    /// count as available, which tests whether the announced inventory can satisfy the guarantees.
    cell_allocator(const topology& cells, bool all_available)
        : tree(cells), assume_all_available(all_available)
    {
    }

    /// Replaces the guarantees (oldest first). The next `assign` prefers the current cells of
    /// agreements that remain at the same level, then the locations in `known`.
    void replace_guarantees(std::span<const guarantee> wanted,
                            std::span<const cell_assignment> known);

    /// Keeps the cells that are valid and assigns the others. If cells are missing then, tries
    /// other orders; if none provides all cells, the oldest agreements are served first. Returns
    /// true if any cell changed.
    bool assign(const occupancy_function& occupied);

    [[nodiscard]] const std::vector<guarantee_state>& guarantees() const { return this->states; }
    /// Missing cells of all guarantees.
    [[nodiscard]] std::uint32_t missing() const;

    /// Cells of the account by host; empty if it has none.
    [[nodiscard]] const cells_by_host& cells_of(std::string_view account) const;

    /// Accelerators in the account's largest cell; 0 if it has none.
    [[nodiscard]] std::uint32_t largest_cell(std::string_view account) const;

    /// Accelerators of the host that are in any assigned cell.
    [[nodiscard]] accelerator_mask guaranteed(host_index host) const;

    /// The accelerators of a cell on its available hosts, by host.
    [[nodiscard]] std::vector<host_part> parts_of(const cell_location& location) const;

private:
    using masks_by_host =
        std::vector<accelerator_mask>; ///< Accelerators in assigned cells, by host.
    struct candidate;

    bool is_available(host_index host) const;
    std::vector<std::uint32_t> order_by_level(bool home_first) const;
    bool keep_valid_cells(std::uint32_t index, const occupancy_function& occupied,
                          masks_by_host& taken, guarantee_state& state) const;
    std::uint32_t assign_in_order(std::span<const std::uint32_t> order, bool keep_existing,
                                  const occupancy_function& occupied,
                                  std::vector<guarantee_state>& result);
    bool find_cell(const guarantee_state& state, const guarantee_state& before,
                   const masks_by_host& taken, const occupancy_function& occupied,
                   cell& found) const;
    void search_data_centre(data_centre_index index, const guarantee_state& state,
                            const guarantee_state& before, const masks_by_host& taken,
                            const occupancy_function& occupied, candidate& best) const;
    void evaluate_location(const cell_location& location, std::uint32_t leftover,
                           std::uint32_t announced_hosts, const guarantee_state& state,
                           const guarantee_state& before, const masks_by_host& taken,
                           const occupancy_function& occupied, candidate& best) const;
    void assign_versions(std::vector<guarantee_state>& result);
    void rebuild_maps();

    const topology& tree;
    bool assume_all_available;
    std::vector<guarantee_state> states;
    std::map<std::string, cells_by_host, std::less<>> by_account;
    std::map<std::string, std::uint32_t, std::less<>> largest_by_account;
    masks_by_host guaranteed_by_host;
    std::uint64_t last_version = 0;
};

} // namespace redwingwheel::placement
