#pragma once

#include "placement_search.h"
#include "redwingwheel/scheduler.h"

namespace redwingwheel::jobs {

/// Ages, durations and objectives beyond this do not influence decisions; keeps sums of times in
/// range.
constexpr milliseconds max_time_span = std::chrono::hours(24 * 365);

/// A step with tasks that are ready and not assigned.
struct scheduler::pending_step {
    const std::string* job_id = nullptr;
    const job_record* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::uint32_t> waiting_tasks; ///< Indices of the tasks to place.
    urgency urgency_class = urgency::ordinary;
    /// 0: can still meet its objective; 1: late; 2: so late that it no longer has any value.
    int lateness = 0;
    steady_time objective;
    steady_time due;
    /// The waiting tasks are suspected of crashing their workers.
    bool crash_suspect = false;

    [[nodiscard]] const step_definition& definition() const
    {
        return this->job->definition.steps[this->step];
    }
    [[nodiscard]] task_id id() const { return {*this->job_id, this->occurrence, this->step, 0}; }
};

/// Resources that are reserved for a step while they are being freed.
struct scheduler::active_reservation {
    task_id owner;
    urgency urgency_class = urgency::ordinary;
    resources per_task;
    std::vector<std::size_t> worker_indices;
    steady_time usable_at;
};

/// State of one round of decisions.
struct scheduler::scheduling_round {
    steady_time now;
    std::int64_t now_unix_ms = 0;
    std::vector<worker_incarnation> ids;
    std::vector<worker_availability> availability;
    std::vector<worker_jobs> jobs; ///< For each worker, including runs assigned in this round.
    /// For steps with a limit per worker, as they are placed: the number of their tasks on each
    /// worker, including those assigned in this round. A step may be placed in several parts.
    std::map<task_id, std::vector<std::uint32_t>> tasks_of_step;
    /// Suspect workers are not eligible, because there are few enough of them.
    bool exclude_suspects = true;
    std::set<std::string> guaranteed;
    std::vector<std::size_t> headroom; ///< Positions of workers that are kept for urgent steps.
    std::vector<active_reservation> active_reservations;
    /// Steps that needed an eviction so far.
    std::size_t eviction_candidates = 0;
    /// An ordinary gang has a reservation. Only one at a time has, so that most resources stay
    /// usable.
    bool gang_has_reservation = false;
    schedule result;
};

} // namespace redwingwheel::jobs
