#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "topology.h"

/// Guarantees as named cells.
namespace redwingwheel::placement {

/// Where a cell lies. Fields below the cell's level are no_index or 0.
struct cell_place {
    data_centre_index data_centre = no_index;
    rack_index rack = no_index;
    host_index host = no_index;
    accelerator_mask accelerators = 0;
    friend bool operator==(const cell_place&, const cell_place&) = default;
};

struct cell {
    cell_place place;
    std::uint64_t version = 0;
    bool whole = true; ///< False: some worker of the rack or data centre is not available.
    bool away = false; ///< Outside the guarantee's home data centre.
};

struct guarantee_state {
    guarantee terms;
    std::vector<cell> cells;
    std::uint32_t missing = 0; ///< Cells wanted and not whole.
};

/// What runs on some accelerators of a host, from the point of view of one account.
struct occupancy {
    std::uint32_t pinned = 0;   ///< Held by another account's work that must not be stopped.
    std::uint32_t borrowed = 0; ///< Held by work that can be stopped.
    std::uint32_t own = 0;      ///< Held by the account's own work.
};

using occupancy_function =
    std::function<occupancy(host_index, accelerator_mask, std::string_view account)>;

using own_cells = std::map<host_index, accelerator_mask>;

class cell_book {
public:
    /// With `whole_inventory`, lost and quarantined workers and withdrawn data centres count as
    /// available: the question is then what the announced inventory can satisfy.
    cell_book(const topology& cells, bool whole_inventory)
        : tree(cells), ignores_state(whole_inventory)
    {
    }

    /// Replaces the guarantees (oldest first). Cells of agreements that stay are kept as wishes.
    void set_terms(std::span<const guarantee> wanted, std::span<const cell_assignment> known);

    /// Assigns cells again: keeps what is valid and searches for the rest; when something is
    /// missing, tries other orders, and at last serves the oldest agreements first.
    /// True when any cell changed.
    bool assign(const occupancy_function& occupied);

    [[nodiscard]] const std::vector<guarantee_state>& guarantees() const { return this->states; }
    [[nodiscard]] std::uint32_t missing() const;

    /// Cells of the account by host; empty when it has none.
    [[nodiscard]] const own_cells& cells_of(std::string_view account) const;

    /// Accelerators in the account's largest cell; 0 when it has none.
    [[nodiscard]] std::uint32_t largest_cell(std::string_view account) const;

    /// Accelerators of the host that belong to any cell.
    [[nodiscard]] accelerator_mask owned(host_index host) const;

    /// The available accelerators of a cell, host by host.
    [[nodiscard]] std::vector<host_part> parts_of(const cell_place& place) const;

private:
    using owners = std::vector<accelerator_mask>; ///< By host: accelerators that have an owner.
    struct candidate;

    bool is_available(host_index host) const;
    std::vector<std::uint32_t> order_by_size(bool home_first) const;
    bool keep_valid(std::uint32_t index, const occupancy_function& occupied, owners& taken,
                    guarantee_state& state) const;
    std::uint32_t fill(std::span<const std::uint32_t> order, bool keeps_valid,
                       const occupancy_function& occupied, std::vector<guarantee_state>& result);
    bool find_cell(const guarantee_state& state, const guarantee_state& before, const owners& taken,
                   const occupancy_function& occupied, cell& found) const;
    void search_data_centre(data_centre_index index, const guarantee_state& state,
                            const guarantee_state& before, const owners& taken,
                            const occupancy_function& occupied, candidate& best) const;
    void consider(const cell_place& place, std::uint32_t fit, std::uint32_t known_hosts,
                  const guarantee_state& state, const guarantee_state& before, const owners& taken,
                  const occupancy_function& occupied, candidate& best) const;
    void number_cells(std::vector<guarantee_state>& result);
    void rebuild_maps();

    const topology& tree;
    bool ignores_state;
    std::vector<guarantee_state> states;
    std::map<std::string, own_cells, std::less<>> by_account;
    std::map<std::string, std::uint32_t, std::less<>> largest_by_account;
    owners owned_by_any;
    std::uint64_t last_version = 0;
};

} // namespace redwingwheel::placement
