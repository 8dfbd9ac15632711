#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "redwingwheel/job_model.h"

/// Finds workers for the tasks of one step. Pure functions over a picture of the free room.
namespace redwingwheel::jobs {

/// A worker as the search sees it.
struct worker_room {
    std::string rack;
    /// May run tasks of the step at all: service, labels, data centre, state.
    bool eligible = false;
    /// Has failed work lately; taken only when no other worker fits.
    bool suspect = false;
    resources room;
    /// The room if nothing ran there.
    resources capacity;
    /// Tasks of the same step that are there already.
    std::uint32_t same_step = 0;
};

struct placement_request {
    const step_definition* step = nullptr;
    /// Tasks to place; all of them for a gang.
    std::uint32_t tasks = 0;
    /// A gang that wants one rack may be spread all the same.
    bool any_rack = false;
    /// Tasks may be placed away from their data.
    bool away_from_data = false;
};

/// Positions in `workers`, one for each task. Gangs get all or none; other steps as many as fit.
[[nodiscard]] std::vector<std::size_t> find_places(const placement_request& request,
                                                   std::span<const worker_room> workers);

/// True when the tasks fit on empty workers under the same conditions.
[[nodiscard]] bool fits_when_empty(const placement_request& request,
                                   std::span<const worker_room> workers);

} // namespace redwingwheel::jobs
