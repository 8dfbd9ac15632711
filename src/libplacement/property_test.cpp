#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>

#include <catch2/catch.hpp>

#include "region_model.h"

using redwingwheel::placement::rule_switches;
using redwingwheel::placement::testing::region_model;

namespace {

const std::string no_violation;

constexpr std::uint64_t fixed_seeds = 60;
constexpr std::uint32_t steps_per_seed = 500;

std::string run_seed(std::uint64_t seed, rule_switches rules)
{
    region_model model(seed, rules);
    return model.run(steps_per_seed);
}

/// The first of the fixed seeds with a violated property; 0 if there is none.
std::uint64_t first_failing_seed(rule_switches rules)
{
    for (std::uint64_t seed = 1; seed <= fixed_seeds; ++seed) {
        if (!run_seed(seed, rules).empty()) {
            return seed;
        }
    }
    return 0;
}

} // namespace

// Guards, with random operations, against accelerators held by two gangs, incomplete gangs, missing
// guaranteed cells, starts in withdrawn data centres, second runs of non-idempotent jobs and too
// many quarantined workers.
TEST_CASE("properties hold for random operations with fixed seeds", "[placement]")
{
    for (std::uint64_t seed = 1; seed <= fixed_seeds; ++seed) {
        INFO("seed " << seed);
        REQUIRE(run_seed(seed, {}) == no_violation);
    }
}

// Guards against properties that are too weak to detect the violation of a rule.
TEST_CASE("the properties detect each rule that is disabled", "[placement]")
{
    const auto without = [](bool rule_switches::*rule) {
        rule_switches rules;
        rules.*rule = false;
        return first_failing_seed(rules);
    };
    CHECK(without(&rule_switches::close_reclaimed_cells) != 0);
    CHECK(without(&rule_switches::lend_only_stoppable) != 0);
    CHECK(without(&rule_switches::whole_gangs) != 0);
    CHECK(without(&rule_switches::respect_withdrawal) != 0);
    CHECK(without(&rule_switches::bound_quarantine) != 0);
    CHECK(without(&rule_switches::wait_for_stop) != 0);
    CHECK(without(&rule_switches::never_rerun) != 0);
    CHECK(without(&rule_switches::rebuild_lost_cells) != 0);
}

// Guards against decisions that depend on anything other than the calls and their times.
TEST_CASE("the same calls give the same decisions", "[placement]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        region_model first(seed, {});
        region_model second(seed, {});
        REQUIRE(first.run(steps_per_seed) == no_violation);
        REQUIRE(second.run(steps_per_seed) == no_violation);
        REQUIRE_FALSE(first.transcript().empty());
        REQUIRE(first.transcript() == second.transcript());
    }
}

// Runs new random seeds for REDWINGWHEEL_PLACEMENT_SECONDS seconds; does nothing if that is not
// set. REDWINGWHEEL_PLACEMENT_SEED runs one given seed, such as one that has failed.
TEST_CASE("properties hold for random operations with new seeds", "[placement]")
{
    const char* const seed_to_repeat = std::getenv("REDWINGWHEEL_PLACEMENT_SEED");
    const char* const duration = std::getenv("REDWINGWHEEL_PLACEMENT_SECONDS");
    if (seed_to_repeat != nullptr) {
        REQUIRE(run_seed(std::strtoull(seed_to_repeat, nullptr, 10), {}) == no_violation);
    }
    if (duration == nullptr) {
        return;
    }
    const redwingwheel::steady_time end =
        redwingwheel::boot_clock::now() + std::chrono::seconds(std::atoi(duration));
    std::random_device seed_source;
    std::uint64_t histories = 0;
    while (redwingwheel::boot_clock::now() < end) {
        const std::uint64_t seed = (std::uint64_t{seed_source()} << 32) | seed_source();
        const std::string violation = run_seed(seed, {});
        ++histories;
        if (!violation.empty()) {
            std::cout << "seed " << seed << ": " << violation << "\n";
        }
        REQUIRE(violation == no_violation);
    }
    std::cout << histories << " histories with fresh seeds\n";
}
