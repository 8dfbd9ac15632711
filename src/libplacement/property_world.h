#pragma once

#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "redwingwheel/placement.h"

/// A random history of a small region, and a model that checks every decision without looking into
/// the engine. Test code.
namespace redwingwheel::placement::testing {

class property_world {
public:
    property_world(std::uint64_t seed, rule_switches rules);

    /// Runs `steps` random steps; returns the first broken property, or nothing.
    [[nodiscard]] std::string run(std::uint32_t steps);

    /// All decisions so far, one per line.
    [[nodiscard]] const std::string& transcript() const { return this->lines; }

private:
    struct known_job {
        job_spec spec;
        bool runs = false;
        bool may_start = true; ///< False: ran and must not run again.
        bool planned_stop = false;
        std::vector<member_placement> members;
        std::uint64_t reclaim_step = 0; ///< Latest event by which a gang was reclaimed for it.
    };
    struct pending_stop {
        std::string job;
        steady_time due;
    };
    struct known_accelerator {
        std::string holder;
        std::string last_account;
        std::uint64_t last_start = 0;
    };

    std::uint32_t pick(std::uint32_t count);
    bool chance(std::uint32_t percent) { return this->pick(100) < percent; }
    void fail(const std::string& reason);
    std::string random_running();

    void step();
    void submit_random();
    void forget_reclaims();
    void change_inventory();
    void change_guarantees();
    void fail_random_task();
    void probe_guarantee();
    void end_gang(const std::string& job);
    void settle_stops();
    void turn();

    void check_start(const gang_placement& placement);
    void check_shape(const known_job& job, const gang_placement& placement);
    void check_loans(const known_job& job, const gang_placement& placement);
    void check_state();
    void check_missing(std::span<const guarantee_summary> live);
    bool covers(const cell_assignment& cell, const member_placement& member) const;

    std::mt19937_64 random;
    manual_clock clock;
    engine decisions;
    std::vector<worker_spec> workers;
    std::set<std::string> lost;
    std::set<std::string> withdrawn;
    std::vector<guarantee> terms;
    std::vector<cell_assignment> cells;
    std::map<std::string, known_job> jobs;
    std::map<std::string, std::map<std::uint32_t, known_accelerator>> accelerators;
    std::vector<pending_stop> stops;
    std::string broken;
    std::string lines;
    std::uint64_t sequence = 0;
    std::uint64_t step_number = 0;
    std::uint64_t event_number = 0;
};

} // namespace redwingwheel::placement::testing
