#pragma once

#include <optional>
#include <span>
#include <vector>

#include "engine_state.h"

/// Plans reservations for large jobs.
namespace redwingwheel::placement {

struct reservation_plan {
    steady_time ready; ///< When the last accelerator is expected to be free.
    gang_parts parts;
};

/// Finds the accelerators on which a job can start earliest according to the predicted run times.
class reservation_planner {
public:
    /// Both arguments must outlive the planner.
    reservation_planner(const engine::implementation& engine_state, const job_record& planned);

    /// Empty if no examined area can hold the job, given the current claims and guarantees.
    [[nodiscard]] std::optional<reservation_plan> plan() const;

private:
    /// Accelerators for one member, and when they are expected to be free.
    struct member_slot {
        steady_time free_at;
        host_part part;
    };

    accelerator_mask usable(host_index index) const;
    void add_slots(host_index index, std::vector<member_slot>& slots) const;
    void evaluate_hosts(std::span<const host_index> hosts,
                        std::optional<reservation_plan>& best) const;

    const engine::implementation& state;
    const job_record& job;
    steady_time now;
};

} // namespace redwingwheel::placement
