#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "simulation.h"

/// Measures of a replay, and the verdict on each stated outcome.
namespace redwingwheel::replay {

struct outcome {
    std::size_t line = 0; ///< Of the trace.
    std::string kind;
    bool met = false;
    std::string found; ///< What was measured.
};

[[nodiscard]] std::vector<outcome> judge(const trace& source, const replay_result& result);

struct time_summary {
    std::size_t jobs = 0;
    double mean_ms = 0;
    double p99_ms = 0;
};

/// Arrival to end, or to the end of the trace for a job that has not ended. Refused and cancelled
/// jobs do not count.
[[nodiscard]] time_summary completion_of(const replay_result& result, std::string_view job_class);

/// Arrival to the first start, likewise.
[[nodiscard]] time_summary wait_of(const replay_result& result, std::string_view job_class);

/// Time-weighted mean share of free accelerators that do not lie in wholly free workers.
[[nodiscard]] double fragmentation_of(const replay_result& result);

/// Work done and kept on accelerators in service, as a share of what capacity and demand allowed.
[[nodiscard]] double useful_share(const replay_result& result, milliseconds from, milliseconds to);

struct guarantee_count {
    std::size_t entitled = 0; ///< Urgent jobs within their account's guarantee.
    std::size_t missed = 0;   ///< Of these, not started within the bound.
};
[[nodiscard]] guarantee_count guarantees_of(const replay_result& result, milliseconds bound);

/// From the first stop for a job to its start.
[[nodiscard]] time_summary reclaim_of(const replay_result& result);

} // namespace redwingwheel::replay
