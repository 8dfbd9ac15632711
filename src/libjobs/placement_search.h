#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "redwingwheel/job_model.h"

/// Finds workers for the tasks of one step. Pure functions on a snapshot of the available
/// resources.
namespace redwingwheel::jobs {

/// A worker with its available resources.
struct worker_availability {
    std::string rack;
    /// May run tasks of the step according to its service, labels, data centre and state.
    bool eligible = false;
    /// Has failed work recently. Used only when no other worker fits.
    bool suspect = false;
    /// Less what is reserved for other steps. Negative when more runs than the capacity allows.
    resources available;
    /// Reserved for other steps.
    resources reserved;
    /// Total resources of the worker.
    resources capacity;
    /// Number of tasks of the same step that are assigned to the worker.
    std::uint32_t tasks_of_step = 0;
    /// Quarters of an octave by which runs take longer than ordinary; negative: less time.
    int pace_class = 0;
    /// Kept free of ordinary work: urgent steps use it first.
    bool in_headroom = false;
    /// Tasks of any step that may be added; empty: as many as fit.
    std::optional<std::uint32_t> max_new_tasks = std::nullopt;
};

/// Returns the pace class of a worker whose runs take `slowdown` times as long as ordinary. Workers
/// in one class differ by less than the durations of equal runs do.
[[nodiscard]] int pace_class_of(double slowdown);

/// Which workers are preferred among those that are equally healthy.
enum class pace_preference : std::uint8_t {
    fast, ///< For work that is urgent, late, or as slow as the slowest of its workers.
    slow, ///< For work that can spare the time, so that the fast workers stay free.
};

/// The resources of a task that count against the capacity of its worker.
[[nodiscard]] resources counted_resources(const step_definition& step);

struct placement_request {
    const step_definition* step = nullptr;
    /// Number of tasks to place; for a gang all of its tasks.
    std::uint32_t tasks = 0;
    /// A gang with `same_rack` may be spread over several racks.
    bool allow_any_rack = false;
    /// Tasks may be placed outside the rack of their data.
    bool allow_remote_data = false;
    pace_preference pace = pace_preference::fast;
    /// The headroom is used first.
    bool prefer_headroom = false;
};

/// Returns positions in `workers`, one for each placed task. All tasks of a gang are placed or
/// none; of other steps as many as fit.
[[nodiscard]] std::vector<std::size_t> find_placement(const placement_request& request,
                                                      std::span<const worker_availability> workers);

/// True when the tasks would fit if nothing ran on the workers.
[[nodiscard]] bool fits_when_empty(const placement_request& request,
                                   std::span<const worker_availability> workers);

} // namespace redwingwheel::jobs
