#include <cstdlib>
#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <popt.h>

#include "testing/overlap_simulation.h"

/// Runs the simulation of supervisors, workers and a leader for many seeds and prints what was
/// violated. Exit status: 0 without violations, 1 with, 2 for wrong arguments.
namespace {

namespace testing = redwingwheel::jobs::testing;

constexpr int exit_violations = 1;
constexpr int exit_bad_input = 2;

struct arguments {
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 100;
    /// Empty: drawn by each seed.
    std::optional<std::set<testing::fault_kind>> faults;
    bool trace = false;
};

/// Reads "all" or names that are separated by commas. Returns nothing for an unknown name.
std::optional<std::set<testing::fault_kind>> parse_faults(const std::string& names)
{
    if (names == "all") {
        return testing::all_faults();
    }
    std::set<testing::fault_kind> faults;
    const std::vector<std::string> separate = absl::StrSplit(names, ',', absl::SkipEmpty());
    for (const std::string& name : separate) {
        const std::optional<testing::fault_kind> kind = testing::parse_fault(name);
        if (!kind.has_value()) {
            return std::nullopt;
        }
        faults.insert(*kind);
    }
    return faults;
}

/// Reads the command line; prints one line and returns nothing when it is wrong.
std::optional<arguments> read_arguments(int argc, const char** argv)
{
    long long seed = 1;
    long long count = 100;
    int trace = 0;
    char* faults = nullptr;
    const poptOption table[] = {
        {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "First seed (1)", "NUMBER"},
        {"count", 'n', POPT_ARG_LONGLONG, &count, 0, "Number of seeds (100)", "NUMBER"},
        {"faults", 'f', POPT_ARG_STRING, &faults, 0,
         "Kinds of faults, all, or random: drawn by each seed (all)", "NAMES"},
        {"trace", 't', POPT_ARG_NONE, &trace, 0, "Print the log with the simulated time", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int end = poptGetNextOpt(context);
    arguments found;
    std::string problem;
    if (end < -1) {
        problem = fmt::format("{}: {}; allowed: the options of --help",
                              poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(end));
    }
    else if (seed < 0 || count < 1) {
        problem = "--seed or --count: out of range; allowed: from 0 and from 1";
    }
    const std::string names = faults == nullptr ? "all" : faults;
    const std::optional<std::set<testing::fault_kind>> kinds = parse_faults(names);
    std::free(faults);
    poptFreeContext(context);
    if (problem.empty() && names != "random" && !kinds.has_value()) {
        problem = "--faults: unknown name; allowed: all, random";
        for (const testing::fault_kind each : testing::all_faults()) {
            problem += fmt::format(", {}", testing::fault_name(each));
        }
    }
    if (!problem.empty()) {
        std::cerr << problem << "\n";
        return std::nullopt;
    }
    found.first_seed = static_cast<std::uint64_t>(seed);
    found.seeds = static_cast<std::uint64_t>(count);
    found.faults = kinds;
    found.trace = trace != 0;
    return found;
}

} // namespace

int main(int argc, const char** argv)
{
    const std::optional<arguments> chosen = read_arguments(argc, argv);
    if (!chosen.has_value()) {
        return exit_bad_input;
    }
    std::uint64_t violated = 0;
    std::uint64_t starts = 0;
    std::uint64_t jobs = 0;
    std::uint64_t max_messages = 0;
    for (std::uint64_t seed = chosen->first_seed; seed < chosen->first_seed + chosen->seeds;
         ++seed) {
        testing::simulation_options options;
        options.seed = seed;
        options.faults = chosen->faults.has_value() ? *chosen->faults : testing::draw_faults(seed);
        options.trace = chosen->trace;
        const testing::simulation_result result = testing::simulate(options);
        starts += result.starts;
        jobs += result.jobs;
        max_messages = std::max(max_messages, result.max_messages_per_second);
        violated += result.violations.empty() ? 0 : 1;
        for (const testing::violation& each : result.violations) {
            std::cout << fmt::format("seed={} at={:.3f} {}\n", seed, each.at_seconds, each.text);
        }
    }
    std::cout << fmt::format("seeds={} violated={} jobs={} starts={} max_messages_per_second={}\n",
                             chosen->seeds, violated, jobs, starts, max_messages);
    return violated == 0 ? EXIT_SUCCESS : exit_violations;
}
