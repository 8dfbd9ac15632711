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

/// A cell of the fault matrix: one or two faults, injected at a step of the protocol. The second
/// fault is injected up to 1.5 s after the first.
struct fault_cell {
    fault first = fault::none;
    fault second = fault::none;
    run_step step = run_step::proposal;
};

struct cell_result {
    std::vector<std::string> violations;
    /// Whether the step was reached, so that the fault was injected.
    bool fault_injected = false;
    /// Invariant checks made.
    std::uint64_t checks = 0;
    /// Commands acknowledged to the client.
    std::size_t acknowledged = 0;
};

/// Name of a cell as FAULT[+FAULT]@STEP, for instance "host_crash+torn_write@append".
[[nodiscard]] std::string cell_name(const fault_cell& cell);

/// All cells: each fault alone, then each ordered pair of faults, at each step.
[[nodiscard]] std::vector<fault_cell> all_cells();

/// Rules that a run violates on purpose (mutation testing).
struct cell_options {
    protocol_mutations mutations;
    bool skip_sync = false;
};

/// Runs one cell. The same cell and seed give the same result.
[[nodiscard]] cell_result run_cell(const fault_cell& cell, std::uint64_t seed,
                                   const cell_options& options = {});

} // namespace redwingwheel::replication::testing
