#pragma once

#include <cstddef>
#include <cstdint>

namespace redwingwheel::control::bench {

/// What a leader of `workers` workers and `jobs` running jobs of five tasks costs, without network
/// and disk.
struct rebuild_cost {
    std::size_t workers = 0;
    std::size_t jobs = 0;
    double begin_ms = 0.0;       ///< begin_leadership, median of three.
    double begin_least_ms = 0.0; ///< The quickest of the three.
    double begin_most_ms = 0.0;  ///< The slowest of the three.
    double poll_us = 0.0;        ///< One poll that carries every task of its worker.
    double idle_poll_us = 0.0;   ///< One poll without tasks.
    double first_tick_us = 0.0;  ///< The first turn of the decisions after all polls.
    double tick_us = 0.0;        ///< A later turn without anything to do, median.
    double snapshot_ms = 0.0;    ///< Packing of a snapshot.
    std::size_t snapshot_bytes = 0;
    std::uint64_t state_bytes = 0;  ///< Heap of the replicated state.
    std::uint64_t leader_bytes = 0; ///< Heap of the leader's memory after all workers have polled.
    std::size_t entry_table_bytes = 0; ///< Answer to an entry that holds no agent table.
    std::size_t catch_up_bytes = 0;    ///< Configuration for a process that holds none.
    std::size_t entry_idle_bytes = 0;  ///< Answer to an entry that is up to date.
};

[[nodiscard]] rebuild_cost measure_rebuild(std::size_t workers, std::size_t jobs);

} // namespace redwingwheel::control::bench
