#include <functional>
#include <iostream>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "at_most_once_world.h"

using namespace redwingwheel::request::at_most_once;

namespace {

struct matrix_counts {
    int cells = 0;
    int broken_cells = 0;
    std::size_t executions = 0;
    std::size_t told = 0;
    std::string first_violation;
};

matrix_counts run_matrix(const world_rules& rules)
{
    matrix_counts counts;
    for (int first = 0; first < fault_count; ++first) {
        for (int after = 0; after < sequel_count; ++after) {
            world one(rules);
            one.run(static_cast<fault>(first), static_cast<sequel>(after));
            ++counts.cells;
            counts.executions += one.execution_count();
            counts.told += one.answers().size();
            const std::vector<std::string> found = one.violations();
            if (!found.empty()) {
                ++counts.broken_cells;
                if (counts.first_violation.empty()) {
                    counts.first_violation =
                        fmt::format("fault {} sequel {}: {}", first, after, found.front());
                }
            }
        }
    }
    return counts;
}

struct mutation {
    std::string name;
    std::function<void(world_rules&)> apply;
};

} // namespace

// Guards against a non-idempotent request that runs twice, a false "not run" and a caller that gets
// a foreign or cut answer, over every fault of the first try and everything that may follow.
TEST_CASE("at-most-once matrix holds", "[at_most_once]")
{
    const matrix_counts counts = run_matrix({});
    std::cout << fmt::format("at-most-once matrix: {} cells, {} executions, {} outcomes told\n",
                             counts.cells, counts.executions, counts.told);
    INFO(counts.first_violation);
    REQUIRE(counts.broken_cells == 0);
    REQUIRE(counts.cells == fault_count * sequel_count);
    REQUIRE(counts.executions > 100);
}

// Guards against checks that cannot fail: each broken rule must be noticed by the matrix.
TEST_CASE("the at-most-once matrix catches each broken rule", "[at_most_once]")
{
    const std::vector<mutation> mutations{
        {"no digest check", [](world_rules& rules) { rules.claims.check_digest = false; }},
        {"reassign without a recorded not_run",
         [](world_rules& rules) { rules.claims.reassign_needs_not_run = false; }},
        {"the log ignores the incarnation",
         [](world_rules& rules) { rules.claims.check_incarnation = false; }},
        {"old keys accepted", [](world_rules& rules) { rules.claims.refuse_old_keys = false; }},
        {"answers unchecked", [](world_rules& rules) { rules.claims.check_answers = false; }},
        {"late answers accepted",
         [](world_rules& rules) { rules.claims.drop_late_answers = false; }},
        {"lost after send counted as not run",
         [](world_rules& rules) { rules.retry.lost_after_send_is_unknown = false; }},
        {"the agent ignores the incarnation",
         [](world_rules& rules) { rules.admission.check_incarnation = false; }},
        {"the agent forgets ended attempts",
         [](world_rules& rules) { rules.admission.check_duplicates = false; }},
        {"a revoked attempt may still start",
         [](world_rules& rules) { rules.admission.refuse_revoked = false; }},
    };
    for (const mutation& broken : mutations) {
        world_rules rules;
        broken.apply(rules);
        const matrix_counts counts = run_matrix(rules);
        std::cout << fmt::format("  {}: {} of {} cells fail; {}\n", broken.name,
                                 counts.broken_cells, counts.cells, counts.first_violation);
        INFO(broken.name);
        CHECK(counts.broken_cells > 0);
    }
}
