#include "testing/fault_matrix.h"

#include <algorithm>
#include <functional>

#include <catch2/catch.hpp>

using namespace redwingwheel::replication::testing;

namespace {

constexpr std::uint64_t fixed_seed = 20'261'204;
/// Running every pair would take about 10 s; a prime stride covers all faults and steps.
constexpr std::size_t pair_sampling_stride = 11;

void run_and_check(const fault_cell& cell)
{
    const cell_result result = run_cell(cell, fixed_seed);
    INFO("repeat: redwingwheel-faults --seed " << fixed_seed << " --cell " << cell_name(cell));
    CHECK_THAT(result.violations, Catch::Matchers::Equals(std::vector<std::string>()));
    CHECK(result.fault_injected);
    CHECK(result.acknowledged > 0);
}

struct mutation {
    std::string_view name;
    std::function<void(cell_options&)> break_rule;
    /// Only cells whose names contain this text are run.
    std::string_view cells;
    /// Text that one of the violations must contain.
    std::string_view violation;
};

bool is_detected(const mutation& tested, const fault_cell& cell, std::uint64_t seed)
{
    cell_options options;
    tested.break_rule(options);
    const std::vector<std::string> found = run_cell(cell, seed, options).violations;
    return std::any_of(found.begin(), found.end(), [&tested](const std::string& text) {
        return text.find(tested.violation) != std::string::npos;
    });
}

/// Returns the number of the first run that detected the mutation; 0 when no run of any seed did.
std::size_t runs_until_detected(const mutation& tested, std::uint64_t seeds)
{
    std::size_t runs = 0;
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + seeds; ++seed) {
        for (const fault_cell& cell : all_cells()) {
            if (cell_name(cell).find(tested.cells) != std::string::npos) {
                ++runs;
                if (is_detected(tested, cell, seed)) {
                    return runs;
                }
            }
        }
    }
    return 0;
}

} // namespace

// Guards against lost, reordered or diverging commands, two leaders, and acknowledgements or reads
// without a quorum under each fault at each step.
TEST_CASE("each single fault at each step violates no invariant", "[fault_matrix]")
{
    for (const fault_cell& cell : all_cells()) {
        if (cell.second == fault::none) {
            run_and_check(cell);
        }
    }
}

// Guards against the same failures when a second fault is injected during or after the first.
TEST_CASE("a sample of the pairs of faults violates no invariant", "[fault_matrix]")
{
    std::size_t pair_index = 0;
    for (const fault_cell& cell : all_cells()) {
        if (cell.second != fault::none && ++pair_index % pair_sampling_stride == 0) {
            run_and_check(cell);
        }
    }
}

// Guards against a fault matrix that passes although the replica violates a rule of the protocol.
TEST_CASE("the fault matrix detects each protocol mutation", "[fault_matrix]")
{
    const std::vector<mutation> mutations{
        {"skip the sync", [](cell_options& o) { o.skip_sync = true; }, "host_crash", ""},
        {"accept any recipient", [](cell_options& o) { o.mutations.accept_any_recipient = true; },
         "restart_with_empty_disk", "voted before it had caught up"},
        {"commit entries of older terms",
         [](cell_options& o) { o.mutations.commit_older_terms = true; }, "@older_entries",
         "applied"},
        {"skip the pre-vote", [](cell_options& o) { o.mutations.skip_pre_vote = true; },
         "partition@", "deposed"},
        {"skip the quorum check", [](cell_options& o) { o.mutations.skip_quorum_check = true; },
         "partition@", "leads without a quorum"},
        {"skip vote persistence", [](cell_options& o) { o.mutations.skip_vote_persistence = true; },
         "@election", "two leaders in term"},
    };
    for (const mutation& tested : mutations) {
        INFO(tested.name << ", seed " << fixed_seed);
        const std::size_t runs = runs_until_detected(tested, 5);
        CHECK(runs > 0);
        WARN(tested.name << ": detected by run " << runs);
    }
}

// Guards against failures that cannot be reproduced from their seed.
TEST_CASE("a cell and a seed always give the same run", "[fault_matrix]")
{
    const fault_cell cell{fault::loss, fault::restart_with_empty_disk, run_step::member_change};
    const cell_result first = run_cell(cell, fixed_seed);
    const cell_result second = run_cell(cell, fixed_seed);
    REQUIRE(first.checks == second.checks);
    REQUIRE(first.acknowledged == second.acknowledged);
    REQUIRE(first.checks != run_cell(cell, fixed_seed + 1).checks);
}
