#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include <fmt/format.h>

#include "gang_simulation.h"

using namespace redwingwheel;
using namespace redwingwheel::membership;
using namespace redwingwheel::membership::simulation;

namespace {

/// Factor for the number of seeds per matrix cell, from the environment variable RWW_MATRIX_SEEDS.
std::uint64_t seeds_per_cell()
{
    const char* const text = std::getenv("RWW_MATRIX_SEEDS");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/// Sums over the runs of many cells. A cell is one combination of faults and points.
struct totals {
    std::uint64_t cells = 0;
    std::uint64_t runs = 0;
    std::uint64_t faults_injected = 0;
    run_result sum;
    std::string first_violation;
};

std::string describe(std::uint64_t seed, std::span<const injected_fault> faults)
{
    std::string text = fmt::format("seed {}", seed);
    for (const injected_fault& fault : faults) {
        text += fmt::format(", {} at {}", simulation::to_text(fault.kind),
                            simulation::to_text(fault.point));
    }
    return text;
}

void run_cell(std::uint64_t first_seed, std::uint64_t seeds, std::span<const injected_fault> faults,
              const mutation& mutated, totals& total)
{
    ++total.cells;
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const run_result result = simulation::run(seed, faults, mutated);
        ++total.runs;
        total.faults_injected += result.faults_injected;
        total.sum.checks += result.checks;
        total.sum.task_starts += result.task_starts;
        total.sum.gangs_fully_running += result.gangs_fully_running;
        total.sum.gangs_broken += result.gangs_broken;
        total.sum.longest_after_break =
            std::max(total.sum.longest_after_break, result.longest_after_break);
        total.sum.takeover_time = std::max(total.sum.takeover_time, result.takeover_time);
        total.sum.longest_partial_run =
            std::max(total.sum.longest_partial_run, result.longest_partial_run);
        total.sum.digest = total.sum.digest * 31 + result.digest;
        if (!result.violations.empty() && total.first_violation.empty()) {
            total.first_violation = describe(seed, faults);
            for (const std::string& violation : result.violations) {
                total.first_violation += fmt::format("; {}", violation);
            }
        }
    }
}

void print(std::string_view name, const totals& result)
{
    std::cout << fmt::format(
        "{}: cells={} runs={} faults={} checks={} starts={} whole={} broken={} "
        "longest_after_break_ms={} longest_overlap_ms={} longest_takeover_ms={} digest={:016x}\n",
        name, result.cells, result.runs, result.faults_injected, result.sum.checks,
        result.sum.task_starts, result.sum.gangs_fully_running, result.sum.gangs_broken,
        result.sum.longest_after_break.count(), result.sum.longest_partial_run.count(),
        result.sum.takeover_time.count(), result.sum.digest);
}

totals run_singles(std::uint64_t seeds, const mutation& mutated = {})
{
    totals result;
    for (int kind = 0; kind < fault_kinds; ++kind) {
        for (int point = 0; point < gang_points; ++point) {
            const std::array<injected_fault, 1> faults{
                {{static_cast<fault_kind>(kind), static_cast<gang_point>(point)}}};
            run_cell(1000, seeds, faults, mutated, result);
        }
    }
    return result;
}

/// All pairs whose first fault is of kind `first` and at a point no later than that of the second.
void run_pairs(int first, std::uint64_t seeds, totals& result)
{
    for (int second = 0; second < fault_kinds; ++second) {
        for (int point = 0; point < gang_points; ++point) {
            for (int later = point; later < gang_points; ++later) {
                const std::array<injected_fault, 2> faults{
                    {{static_cast<fault_kind>(first), static_cast<gang_point>(point)},
                     {static_cast<fault_kind>(second), static_cast<gang_point>(later)}}};
                run_cell(2000, seeds, faults, {}, result);
            }
        }
    }
}

void check_pairs(std::string_view name, int from, int to)
{
    totals result;
    for (int first = from; first < to; ++first) {
        run_pairs(first, seeds_per_cell(), result);
    }
    print(name, result);
    INFO(result.first_violation);
    CHECK(result.first_violation.empty());
    CHECK(result.sum.gangs_fully_running > 0);
}

/// Runs pairs of faults that expose `mutated` until `rule` is violated. Returns the violation, or
/// an empty text when there is none.
std::string find_violation(std::string_view rule, const mutation& mutated, fault_kind first_kind,
                           fault_kind second_kind)
{
    constexpr std::uint64_t max_seeds = 1000;
    totals result;
    for (std::uint64_t seed = 1; seed <= max_seeds; ++seed) {
        for (int point = 0; point < gang_points; ++point) {
            for (int later = point; later < gang_points; ++later) {
                const std::array<injected_fault, 2> faults{
                    {{first_kind, static_cast<gang_point>(point)},
                     {second_kind, static_cast<gang_point>(later)}}};
                result.first_violation.clear();
                run_cell(seed, 1, faults, mutated, result);
                if (result.first_violation.find(rule) != std::string::npos) {
                    std::cout << fmt::format("caught in run {}: {}\n", result.runs,
                                             result.first_violation);
                    return result.first_violation;
                }
            }
        }
    }
    return "";
}

} // namespace

// A simulation in which nothing happens would pass every check. Without faults every gang must run.
TEST_CASE("without faults the borrower runs, is reclaimed, and the owner runs")
{
    totals result;
    run_cell(1, 200, {}, {}, result);
    print("no faults", result);
    INFO(result.first_violation);
    CHECK(result.first_violation.empty());
    CHECK(result.sum.gangs_fully_running == 400);
    CHECK(result.sum.gangs_broken == 0);
    // Urgent work must start within 4.5 s.
    CHECK(result.sum.takeover_time <= std::chrono::milliseconds(4500));
}

// A failure must be reproducible from its seed.
TEST_CASE("a simulation run is deterministic for its seed")
{
    const std::array<injected_fault, 1> faults{{{fault_kind::reordered, gang_point::release}}};
    const run_result first = simulation::run(7, faults);
    CHECK(first.digest == simulation::run(7, faults).digest);
    CHECK(first.digest != simulation::run(8, faults).digest);
}

// No invariant may be violated under any single fault at any point of a gang's execution.
TEST_CASE("fault matrix: single faults")
{
    const totals result = run_singles(10 * seeds_per_cell());
    print("single faults", result);
    INFO(result.first_violation);
    CHECK(result.first_violation.empty());
    CHECK(result.sum.gangs_broken > 0);
}

// No invariant may be violated under any two faults. Split into three tests that can run in
// parallel.
TEST_CASE("fault matrix: pairs with channel faults first")
{
    check_pairs("pairs 1", 0, 5);
}
TEST_CASE("fault matrix: pairs with agent and leader faults first")
{
    check_pairs("pairs 2", 5, 9);
}
TEST_CASE("fault matrix: pairs with withdrawals and clocks first")
{
    check_pairs("pairs 3", 9, fault_kinds);
}

// Mutation tests: the simulation must detect each rule that is switched off, as a violation of the
// rule named.
TEST_CASE("the matrix detects a participant that ignores the epoch")
{
    mutation mutated;
    mutated.participants.ignore_epoch = true;
    CHECK_FALSE(find_violation("no task starts before the release record", mutated,
                               fault_kind::late, fault_kind::late)
                    .empty());
}
TEST_CASE("the matrix detects a participant that ignores the incarnation")
{
    mutation mutated;
    mutated.participants.ignore_incarnation = true;
    CHECK_FALSE(find_violation("a task starts only in the recorded incarnation", mutated,
                               fault_kind::duplicated, fault_kind::agent_restart)
                    .empty());
}
TEST_CASE("the matrix detects a permit measured from its arrival")
{
    mutation mutated;
    mutated.permits.count_from_arrival = true;
    CHECK_FALSE(find_violation("accelerators are freed only after the gang's tasks have ended",
                               mutated, fault_kind::late, fault_kind::one_way)
                    .empty());
}
TEST_CASE("the matrix detects a lease without drift margin")
{
    mutation mutated;
    mutated.permits.no_drift_margin = true;
    CHECK_FALSE(find_violation("accelerators are freed only after the gang's tasks have ended",
                               mutated, fault_kind::agent_paused, fault_kind::clock_rates)
                    .empty());
}
TEST_CASE("the matrix detects a permission to start without drift margin")
{
    mutation mutated;
    mutated.permits.no_drift_margin = true;
    CHECK_FALSE(find_violation("no start once a withdrawal is in force", mutated,
                               fault_kind::agent_paused, fault_kind::withdrawal)
                    .empty());
}
TEST_CASE("the matrix detects a new leader that does not wait for earlier permits")
{
    mutation mutated;
    mutated.permits.no_wait_after_leader_change = true;
    CHECK_FALSE(find_violation("accelerators are freed only after the gang's tasks have ended",
                               mutated, fault_kind::withdrawal, fault_kind::leader_change)
                    .empty());
}
TEST_CASE("the matrix detects a missing permit check before the start")
{
    mutation mutated;
    mutated.participants.skip_check_before_start = true;
    CHECK_FALSE(find_violation("no task starts after the end of its gang", mutated,
                               fault_kind::agent_paused, fault_kind::withdrawal)
                    .empty());
}
TEST_CASE("the matrix detects a participant that forgets its ended tasks")
{
    mutation mutated;
    mutated.max_ended_tasks = 0;
    CHECK_FALSE(find_violation("a member of an attempt starts at most once", mutated,
                               fault_kind::duplicated, fault_kind::duplicated)
                    .empty());
}
