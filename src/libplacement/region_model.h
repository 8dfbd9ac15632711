#pragma once

#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "redwingwheel/placement.h"

/// Property-based tests: random operations on a small region, and a model that checks every
/// decision through the engine's public interface only.
namespace redwingwheel::placement::testing {

/// Drives an engine with random operations and tracks the state that results from its decisions.
class region_model {
public:
    region_model(std::uint64_t seed, rule_switches rules);

    /// Runs `steps` random operations; returns the first violated property, or an empty string.
    [[nodiscard]] std::string run(std::uint32_t steps);

    /// All decisions so far, one per line.
    [[nodiscard]] const std::string& transcript() const { return this->decision_log; }

private:
    struct job_model {
        job_spec spec;
        bool running = false;
        bool may_start = true; ///< False: cancelled, or stopped and not to run again.
        bool planned_stop = false;
        std::vector<member_placement> members;
        std::uint64_t reclaim_event = 0; ///< Latest decision to reclaim cells for it; 0: none.
    };
    struct pending_stop {
        std::string job;
        steady_time due;
    };
    struct accelerator_model {
        std::string holder;
        std::string last_account;
        std::uint64_t last_start_event = 0;
    };

    std::uint32_t random_below(std::uint32_t count);
    bool random_bool(std::uint32_t percent) { return this->random_below(100) < percent; }
    void record_violation(const std::string& reason);
    std::string random_running_job();

    void random_step();
    void submit_random();
    void clear_reclaim_events();
    void change_inventory();
    void change_guarantees();
    void fail_random_task();
    void probe_guarantee();
    void release_gang(const std::string& job);
    void complete_due_stops();
    void apply_decisions();

    void check_start(const gang_placement& placement);
    void check_shape(const job_model& job, const gang_placement& placement);
    void check_borrowing(const job_model& job, const gang_placement& placement);
    void check_state();
    void check_missing(std::span<const guarantee_summary> current);
    bool overlaps(const cell_assignment& cell, const member_placement& member) const;

    std::mt19937_64 random;
    manual_clock clock;
    engine tested_engine;
    std::vector<worker_spec> workers;
    std::set<std::string> lost;
    std::set<std::string> withdrawn;
    std::vector<guarantee> guarantees;
    std::vector<cell_assignment> cells;
    std::map<std::string, job_model> jobs;
    std::map<std::string, std::map<std::uint32_t, accelerator_model>> accelerators;
    std::vector<pending_stop> stops;
    std::string first_violation;
    std::string decision_log;
    std::uint64_t last_id = 0;
    std::uint64_t step_number = 0;
    std::uint64_t event_number = 0;
};

} // namespace redwingwheel::placement::testing
