#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include <fmt/format.h>
#include <popt.h>

#include "outcomes.h"
#include "simulation.h"
#include "trace.h"

namespace {

namespace replay = redwingwheel::replay;

constexpr int exit_met = 0;
constexpr int exit_missed = 1;
constexpr int exit_bad_input = 2;

struct arguments {
    std::string path;
    std::string policy = std::string(replay::own_policy_name);
    std::optional<std::uint64_t> seed;
    bool quiet = false;
};

/// Reads the command line; prints one line and returns nothing when it is wrong.
std::optional<arguments> read_arguments(int argc, const char** argv)
{
    char* policy = nullptr;
    long long seed = -1;
    int quiet = 0;
    const poptOption table[] = {
        {"policy", 'p', POPT_ARG_STRING, &policy, 0,
         "Decide with redwingwheel, first-fit, best-fit or quota-only", "NAME"},
        {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "Replaces the seed of the trace", "NUMBER"},
        {"quiet", 'q', POPT_ARG_NONE, &quiet, 0, "Print the outcomes only", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "[OPTION...] TRACE");
    const int end = poptGetNextOpt(context);
    arguments found;
    const char* const path = poptGetArg(context);
    const bool has_rest = poptPeekArg(context) != nullptr;
    std::string problem;
    if (end < -1) {
        problem = fmt::format("{}: {}; allowed: the options of --help",
                              poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(end));
    }
    else if (path == nullptr || has_rest) {
        problem = "arguments: not one trace; allowed: [OPTION...] TRACE";
    }
    found.path = path == nullptr ? "" : path;
    found.policy = policy == nullptr ? found.policy : policy;
    const std::span<const std::string> names = replay::policy_names();
    if (problem.empty() && std::find(names.begin(), names.end(), found.policy) == names.end()) {
        problem = fmt::format("--policy: {}; allowed: {}", found.policy, fmt::join(names, ", "));
    }
    if (seed >= 0) {
        found.seed = static_cast<std::uint64_t>(seed);
    }
    found.quiet = quiet != 0;
    std::free(policy);
    poptFreeContext(context);
    if (!problem.empty()) {
        std::cerr << problem << "\n";
        return std::nullopt;
    }
    return found;
}

int run(const arguments& chosen)
{
    const absl::StatusOr<replay::trace> source = replay::read_trace(chosen.path, chosen.seed);
    if (!source.ok()) {
        std::cerr << redwingwheel::errors::message_of(source.status()) << "\n";
        return exit_bad_input;
    }
    replay::simulation simulated(*source, chosen.policy, [&chosen](const std::string& line) {
        if (!chosen.quiet) {
            std::cout << line << "\n";
        }
    });
    const replay::replay_result result = simulated.run();
    std::size_t missed = 0;
    const std::vector<replay::outcome> verdicts = replay::judge(*source, result);
    for (const replay::outcome& one : verdicts) {
        missed += one.met ? 0 : 1;
        std::cout << fmt::format("outcome line={} kind={} result={} found=\"{}\"\n", one.line,
                                 one.kind, one.met ? "met" : "missed", one.found);
    }
    std::cout << fmt::format("replay trace={} policy={} seed={} jobs={} met={} missed={}\n",
                             source->name, chosen.policy, source->seed, result.jobs.size(),
                             verdicts.size() - missed, missed);
    return missed == 0 ? exit_met : exit_missed;
}

} // namespace

int main(int argc, const char** argv)
{
    const std::optional<arguments> chosen = read_arguments(argc, argv);
    return chosen.has_value() ? run(*chosen) : exit_bad_input;
}
