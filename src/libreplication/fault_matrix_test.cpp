#include "testing/fault_matrix.h"

#include <algorithm>
#include <functional>

#include <catch2/catch.hpp>

using namespace redwingwheel::replication::testing;

namespace {

constexpr std::uint64_t fixed_seed = 20'261'204;
/// Every pair cell would take about 10 s; a prime stride visits all faults and steps.
constexpr std::size_t pair_stride = 11;

void run_and_check(const fault_cell& cell)
{
    const cell_result result = run_cell(cell, fixed_seed);
    INFO("repeat: redwingwheel-faults --seed " << fixed_seed << " --cell " << cell_name(cell));
    CHECK_THAT(result.violations, Catch::Matchers::Equals(std::vector<std::string>()));
    CHECK(result.struck);
    CHECK(result.acknowledged > 0);
}

struct mutation {
    std::string_view name;
    std::function<void(cell_options&)> break_rule;
    /// Cells whose names contain this are tried.
    std::string_view cells;
    /// What one of the violations says.
    std::string_view violation;
};

bool is_caught(const mutation& broken, const fault_cell& cell, std::uint64_t seed)
{
    cell_options options;
    broken.break_rule(options);
    const std::vector<std::string> found = run_cell(cell, seed, options).violations;
    return std::any_of(found.begin(), found.end(), [&broken](const std::string& text) {
        return text.find(broken.violation) != std::string::npos;
    });
}

/// The number of the run that noticed the broken rule; 0 when none of the seeds' runs did.
std::size_t runs_until_caught(const mutation& broken, std::uint64_t seeds)
{
    std::size_t runs = 0;
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + seeds; ++seed) {
        for (const fault_cell& cell : all_cells()) {
            if (cell_name(cell).find(broken.cells) != std::string::npos) {
                ++runs;
                if (is_caught(broken, cell, seed)) {
                    return runs;
                }
            }
        }
    }
    return 0;
}

} // namespace

// Guards against loss, reordering, divergence, two leaders and false confirmations under each fault
// at each step.
TEST_CASE("every fault alone at every step", "[fault_matrix]")
{
    for (const fault_cell& cell : all_cells()) {
        if (cell.second == fault::none) {
            run_and_check(cell);
        }
    }
}

// Guards against the same failures when a second fault strikes during or after the first.
TEST_CASE("a sample of the pairs of faults", "[fault_matrix]")
{
    std::size_t place = 0;
    for (const fault_cell& cell : all_cells()) {
        if (cell.second != fault::none && ++place % pair_stride == 0) {
            run_and_check(cell);
        }
    }
}

// Guards against a matrix that passes whatever the replica does.
TEST_CASE("the matrix notices each broken rule", "[fault_matrix]")
{
    const std::vector<mutation> mutations{
        {"skip the sync", [](cell_options& o) { o.skip_sync = true; }, "host_crash", ""},
        {"vote without catching up",
         [](cell_options& o) { o.mutations.accept_any_recipient = true; },
         "restart_with_empty_disk", "voted before it had caught up"},
        {"commit entries of an older term",
         [](cell_options& o) { o.mutations.commit_older_terms = true; }, "@older_entries",
         "applied"},
        {"no pre-vote", [](cell_options& o) { o.mutations.skip_pre_vote = true; }, "partition@",
         "unseated"},
        {"no quorum check", [](cell_options& o) { o.mutations.skip_quorum_check = true; },
         "partition@", "leads without a quorum"},
        {"forget the vote", [](cell_options& o) { o.mutations.skip_vote_persistence = true; },
         "@election", "two leaders in term"},
    };
    for (const mutation& broken : mutations) {
        INFO(broken.name << ", seed " << fixed_seed);
        const std::size_t runs = runs_until_caught(broken, 5);
        CHECK(runs > 0);
        WARN(broken.name << ": noticed by run " << runs);
    }
}

// Guards against failures that cannot be repeated from their seed.
TEST_CASE("a cell and a seed give the same run", "[fault_matrix]")
{
    const fault_cell cell{fault::loss, fault::restart_with_empty_disk, run_step::member_change};
    const cell_result first = run_cell(cell, fixed_seed);
    const cell_result second = run_cell(cell, fixed_seed);
    REQUIRE(first.checks == second.checks);
    REQUIRE(first.acknowledged == second.acknowledged);
    REQUIRE(first.checks != run_cell(cell, fixed_seed + 1).checks);
}
