#pragma once

#include <string>
#include <vector>

#include "test_cluster.h"

namespace redwingwheel::replication::testing {

enum class fault {
    none,
    host_crash,
    process_kill,
    restart_with_disk,
    restart_with_empty_disk,
    one_way_partition,
    two_way_partition,
    long_isolation,
    pause,
    duplicate,
    reorder,
    loss,
    slow_link,
    torn_write,
    lost_unsynced_data,
    full_disk,
    failed_sync,
    silent_connection,
    leader_change,
};

/// One cell: a fault, or two, at a step. The second fault strikes up to 1.5 s after the first.
struct fault_cell {
    fault first = fault::none;
    fault second = fault::none;
    run_step step = run_step::proposal;
};

struct cell_result {
    std::vector<std::string> violations;
    /// Whether the step was reached, so that the fault struck.
    bool struck = false;
    std::uint64_t checks = 0;
    std::size_t acknowledged = 0;
};

/// For instance "host_crash+torn_write@append".
[[nodiscard]] std::string cell_name(const fault_cell& cell);

/// Each fault alone, then each ordered pair, at each step.
[[nodiscard]] std::vector<fault_cell> all_cells();

/// The rules that a run breaks on purpose.
struct cell_options {
    protocol_mutations mutations;
    bool skip_sync = false;
};

/// Runs one cell. The same cell and seed give the same result.
[[nodiscard]] cell_result run_cell(const fault_cell& cell, std::uint64_t seed,
                                   const cell_options& chosen = {});

} // namespace redwingwheel::replication::testing
