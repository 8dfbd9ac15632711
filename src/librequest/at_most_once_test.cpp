#include <functional>
#include <iostream>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "at_most_once_simulation.h"

using namespace redwingwheel::request::at_most_once;

namespace {

struct matrix_counts {
    int cells = 0;
    int broken_cells = 0;
    std::size_t executions = 0;
    std::size_t reported_outcomes = 0;
    std::string first_violation;
};

matrix_counts run_matrix(const protocol_rules& rules)
{
    matrix_counts counts;
    for (int first = 0; first < fault_count; ++first) {
        for (int after = 0; after < follow_up_count; ++after) {
            simulation one(rules);
            one.run(static_cast<fault>(first), static_cast<follow_up>(after));
            ++counts.cells;
            counts.executions += one.execution_count();
            counts.reported_outcomes += one.answers().size();
            const std::vector<std::string> found = one.violations();
            if (!found.empty()) {
                ++counts.broken_cells;
                if (counts.first_violation.empty()) {
                    counts.first_violation =
                        fmt::format("fault {} follow-up {}: {}", first, after, found.front());
                }
            }
        }
    }
    return counts;
}

struct mutation {
    std::string name;
    std::function<void(protocol_rules&)> apply;
};

} // namespace

// Guards against a non-idempotent request that runs twice, a wrong not_run, and an answer that is
// incomplete or belongs to another request. Combines every fault of the first attempt with every
// event that may follow it.
TEST_CASE("at-most-once execution holds for every fault and follow-up", "[at_most_once]")
{
    const matrix_counts counts = run_matrix({});
    std::cout << fmt::format("at-most-once matrix: {} cells, {} executions, {} outcomes told\n",
                             counts.cells, counts.executions, counts.reported_outcomes);
    INFO(counts.first_violation);
    REQUIRE(counts.broken_cells == 0);
    REQUIRE(counts.cells == fault_count * follow_up_count);
    REQUIRE(counts.executions > 100);
}

// Guards against checks that cannot fail: the matrix must detect each rule that is switched off.
TEST_CASE("the at-most-once matrix detects each rule that is switched off", "[at_most_once]")
{
    const std::vector<mutation> mutations{
        {"no digest check", [](protocol_rules& rules) { rules.claims.check_digest = false; }},
        {"reassign without a recorded not_run",
         [](protocol_rules& rules) { rules.claims.reassign_needs_not_run = false; }},
        {"the claim table ignores the incarnation",
         [](protocol_rules& rules) { rules.claims.check_incarnation = false; }},
        {"old keys accepted", [](protocol_rules& rules) { rules.claims.refuse_old_keys = false; }},
        {"answers unchecked", [](protocol_rules& rules) { rules.claims.check_answers = false; }},
        {"late answers accepted",
         [](protocol_rules& rules) { rules.claims.drop_late_answers = false; }},
        {"lost after send counted as not run",
         [](protocol_rules& rules) { rules.retry.lost_after_send_is_unknown = false; }},
        {"the agent ignores the incarnation",
         [](protocol_rules& rules) { rules.admission.check_incarnation = false; }},
        {"the agent forgets ended attempts",
         [](protocol_rules& rules) { rules.admission.check_duplicates = false; }},
        {"a revoked attempt may still start",
         [](protocol_rules& rules) { rules.admission.refuse_revoked = false; }},
    };
    for (const mutation& broken : mutations) {
        protocol_rules rules;
        broken.apply(rules);
        const matrix_counts counts = run_matrix(rules);
        std::cout << fmt::format("  {}: {} of {} cells fail; {}\n", broken.name,
                                 counts.broken_cells, counts.cells, counts.first_violation);
        INFO(broken.name);
        CHECK(counts.broken_cells > 0);
    }
}
