#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include <fmt/format.h>

#include "gang_simulation.h"

using namespace redwingwheel;
using namespace redwingwheel::membership;
using namespace redwingwheel::membership::simulation;

namespace {

/// RWW_MATRIX_SEEDS multiplies the runs of each cell.
std::uint64_t seeds_per_cell()
{
    const char* const text = std::getenv("RWW_MATRIX_SEEDS");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

struct totals {
    std::uint64_t cells = 0;
    std::uint64_t runs = 0;
    std::uint64_t planted = 0;
    run_result sum;
    std::string first_violation;
};

std::string describe(std::uint64_t seed, std::span<const planted_fault> faults)
{
    std::string text = fmt::format("seed {}", seed);
    for (const planted_fault& fault : faults) {
        text += fmt::format(", {} at {}", simulation::to_text(fault.kind),
                            simulation::to_text(fault.at));
    }
    return text;
}

void run_cell(std::uint64_t first_seed, std::uint64_t seeds, std::span<const planted_fault> faults,
              const mutation& mutated, totals& into)
{
    ++into.cells;
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const run_result result = simulation::run(seed, faults, mutated);
        ++into.runs;
        into.planted += result.planted;
        into.sum.checks += result.checks;
        into.sum.task_starts += result.task_starts;
        into.sum.gangs_whole += result.gangs_whole;
        into.sum.gangs_broken += result.gangs_broken;
        into.sum.longest_after_break =
            std::max(into.sum.longest_after_break, result.longest_after_break);
        into.sum.takeover = std::max(into.sum.takeover, result.takeover);
        into.sum.longest_overlap = std::max(into.sum.longest_overlap, result.longest_overlap);
        into.sum.digest = into.sum.digest * 31 + result.digest;
        if (!result.violations.empty() && into.first_violation.empty()) {
            into.first_violation = describe(seed, faults);
            for (const std::string& violation : result.violations) {
                into.first_violation += fmt::format("; {}", violation);
            }
        }
    }
}

void print(std::string_view name, const totals& result)
{
    std::cout << fmt::format(
        "{}: cells={} runs={} faults={} checks={} starts={} whole={} broken={} "
        "longest_after_break_ms={} longest_overlap_ms={} longest_takeover_ms={} digest={:016x}\n",
        name, result.cells, result.runs, result.planted, result.sum.checks, result.sum.task_starts,
        result.sum.gangs_whole, result.sum.gangs_broken, result.sum.longest_after_break.count(),
        result.sum.longest_overlap.count(), result.sum.takeover.count(), result.sum.digest);
}

totals run_singles(std::uint64_t seeds, const mutation& mutated = {})
{
    totals result;
    for (int kind = 0; kind < fault_kinds; ++kind) {
        for (int point = 0; point < gang_points; ++point) {
            const std::array<planted_fault, 1> faults{
                {{static_cast<fault_kind>(kind), static_cast<gang_point>(point)}}};
            run_cell(1000, seeds, faults, mutated, result);
        }
    }
    return result;
}

/// All ordered pairs of kinds whose first fault is of kind `first` and not later than the second.
void run_pairs(int first, std::uint64_t seeds, totals& result)
{
    for (int second = 0; second < fault_kinds; ++second) {
        for (int point = 0; point < gang_points; ++point) {
            for (int later = point; later < gang_points; ++later) {
                const std::array<planted_fault, 2> faults{
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
    CHECK(result.sum.gangs_whole > 0);
}

/// Runs pairs that provoke `mutated` until the breach of `rule` is seen.
std::string find_breach(std::string_view rule, const mutation& mutated, fault_kind one,
                        fault_kind other)
{
    constexpr std::uint64_t most_seeds = 1000;
    totals result;
    for (std::uint64_t seed = 1; seed <= most_seeds; ++seed) {
        for (int point = 0; point < gang_points; ++point) {
            for (int later = point; later < gang_points; ++later) {
                const std::array<planted_fault, 2> faults{
                    {{one, static_cast<gang_point>(point)},
                     {other, static_cast<gang_point>(later)}}};
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

// Guards against a world that is not simulated at all: without faults everything must come to pass.
TEST_CASE("without faults the borrower runs, is reclaimed, and the owner runs")
{
    totals result;
    run_cell(1, 200, {}, {}, result);
    print("no faults", result);
    INFO(result.first_violation);
    CHECK(result.first_violation.empty());
    CHECK(result.sum.gangs_whole == 400);
    CHECK(result.sum.gangs_broken == 0);
    // Urgent work starts within 4.5 s.
    CHECK(result.sum.takeover <= std::chrono::milliseconds(4500));
}

// Guards against verdicts that change from run to run.
TEST_CASE("a run is the same for the same seed")
{
    const std::array<planted_fault, 1> faults{{{fault_kind::reordered, gang_point::release}}};
    const run_result first = simulation::run(7, faults);
    CHECK(first.digest == simulation::run(7, faults).digest);
    CHECK(first.digest != simulation::run(8, faults).digest);
}

// Guards against a broken invariant under any one fault at any point of a gang's life.
TEST_CASE("fault matrix: single faults")
{
    const totals result = run_singles(10 * seeds_per_cell());
    print("single faults", result);
    INFO(result.first_violation);
    CHECK(result.first_violation.empty());
    CHECK(result.sum.gangs_broken > 0);
}

// Guard against a broken invariant under two faults; split so that they run side by side.
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

// Guard against a matrix that cannot fail: each broken rule must be noticed, and as that rule.
TEST_CASE("the matrix notices a member that ignores the epoch")
{
    mutation mutated;
    mutated.participants.ignore_epoch = true;
    CHECK_FALSE(find_breach("no task starts before the release record", mutated, fault_kind::late,
                            fault_kind::late)
                    .empty());
}
TEST_CASE("the matrix notices a member that ignores the incarnation")
{
    mutation mutated;
    mutated.participants.ignore_incarnation = true;
    CHECK_FALSE(find_breach("a task starts only in the recorded incarnation", mutated,
                            fault_kind::duplicated, fault_kind::agent_restart)
                    .empty());
}
TEST_CASE("the matrix notices a permit counted from its arrival")
{
    mutation mutated;
    mutated.permits.count_from_arrival = true;
    CHECK_FALSE(find_breach("cells are free only after the end", mutated, fault_kind::late,
                            fault_kind::one_way)
                    .empty());
}
TEST_CASE("the matrix notices a missing margin of the lease")
{
    mutation mutated;
    mutated.permits.no_drift_margin = true;
    CHECK_FALSE(find_breach("cells are free only after the end", mutated, fault_kind::agent_paused,
                            fault_kind::clock_rates)
                    .empty());
}
TEST_CASE("the matrix notices a missing margin of the permission to start")
{
    mutation mutated;
    mutated.permits.no_drift_margin = true;
    CHECK_FALSE(find_breach("no start once a withdrawal is in force", mutated,
                            fault_kind::agent_paused, fault_kind::withdrawal)
                    .empty());
}
TEST_CASE("the matrix notices a new leader that does not wait")
{
    mutation mutated;
    mutated.permits.no_wait_after_leader_change = true;
    CHECK_FALSE(find_breach("cells are free only after the end", mutated, fault_kind::withdrawal,
                            fault_kind::leader_change)
                    .empty());
}
TEST_CASE("the matrix notices a start without a check at the act")
{
    mutation mutated;
    mutated.participants.skip_check_before_start = true;
    CHECK_FALSE(find_breach("no task starts after the end of its gang", mutated,
                            fault_kind::agent_paused, fault_kind::withdrawal)
                    .empty());
}
TEST_CASE("the matrix notices a member that forgets its ended tasks")
{
    mutation mutated;
    mutated.max_ended_tasks = 0;
    CHECK_FALSE(find_breach("a gang never runs twice", mutated, fault_kind::duplicated,
                            fault_kind::duplicated)
                    .empty());
}
