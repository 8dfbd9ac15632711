#pragma once

#include "placement_search.h"
#include "redwingwheel/scheduler.h"

namespace redwingwheel::jobs {

/// A step with tasks that wait.
struct scheduler::candidate {
    const std::string* job_id = nullptr;
    const job_record* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::uint32_t> waiting;
    urgency rank = urgency::ordinary;
    /// 0: can still meet the objective; 1: late; 2: so late that it earns nothing.
    int lateness = 0;
    std::int64_t objective_unix_ms = 0;
    std::int64_t waiting_since_unix_ms = 0;

    [[nodiscard]] const step_definition& definition() const
    {
        return this->job->definition.steps[this->step];
    }
    [[nodiscard]] task_id id() const { return {*this->job_id, this->occurrence, this->step, 0}; }
};

/// Room that is being freed for a step.
struct scheduler::held_room {
    task_id owner;
    urgency rank = urgency::ordinary;
    resources per_task;
    std::vector<std::size_t> places;
};

/// State of one round of decisions.
struct scheduler::round {
    steady_time now;
    std::int64_t now_unix_ms = 0;
    std::vector<worker_incarnation> ids;
    std::vector<worker_room> rooms;
    /// Suspects are few enough to be left out.
    bool avoid_suspects = true;
    std::set<std::string> guaranteed;
    std::vector<held_room> held;
    /// Room is being kept for an ordinary gang; one at a time, so that most room stays usable.
    bool gang_is_waiting = false;
    schedule result;
};

} // namespace redwingwheel::jobs
