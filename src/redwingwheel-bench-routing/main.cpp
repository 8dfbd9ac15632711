#include <fstream>
#include <iostream>

#include <fmt/format.h>
#include <popt.h>

#include "report.h"

namespace {

namespace bench = redwingwheel::bench_routing;
using redwingwheel::request::routing_policy;

constexpr int exit_bad_input = 2;

std::vector<bench::scenario> make_scenarios(routing_policy policy)
{
    std::vector<bench::scenario> made;
    const auto add = [&made, policy](std::string name, double load) -> bench::scenario& {
        bench::scenario& added = made.emplace_back();
        added.name = std::move(name);
        added.policy = policy;
        added.load = load;
        return added;
    };
    add("mixed-0.7", 0.7);
    add("mixed-0.9", 0.9);
    add("capacity", 1.0);
    add("twice-capacity", 2.0);
    add("straggler", 0.7).straggler = true;
    add("slow", 0.7).slow_worker = true;
    add("steady-0.6", 0.6);
    add("withdrawal", 0.6).withdrawal = true;
    add("mixed-0.9-plain-queue", 0.9).plain_queue = true;
    if (policy == routing_policy::estimated_load) {
        add("mixed-0.9-hedging", 0.9).hedging = true;
        for (const std::uint32_t choices : {1U, 2U, 3U, 4U}) {
            add(fmt::format("mixed-0.9-choices-{}", choices), 0.9).choices = choices;
            add(fmt::format("capacity-choices-{}", choices), 1.0).choices = choices;
            bench::scenario& entries = add(fmt::format("12-entries-choices-{}", choices), 0.9);
            entries.choices = choices;
            entries.entries = 12;
            bench::scenario& polls = add(fmt::format("polls-only-choices-{}", choices), 0.9);
            polls.choices = choices;
            polls.polls_only = true;
        }
        bench::scenario& slow = add("slow-hedging", 0.7);
        slow.slow_worker = true;
        slow.hedging = true;
    }
    return made;
}

} // namespace

int main(int argc, const char** argv)
{
    long seed = 1;
    double seconds = 30.0;
    char* json_file = nullptr;
    const std::array<poptOption, 5> options{{
        {"seed", 's', POPT_ARG_LONG, &seed, 0, "Seed of the arrivals and choices", "N"},
        {"seconds", 't', POPT_ARG_DOUBLE, &seconds, 0, "Simulated seconds, at least 6", "N"},
        {"json", 'j', POPT_ARG_STRING, &json_file, 0, "File for JSON lines; default is stdout",
         "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    }};
    const poptContext context = poptGetContext(nullptr, argc, argv, options.data(), 0);
    const int next = poptGetNextOpt(context);
    const char* const rest = poptGetArg(context);
    if (next < -1 || rest != nullptr || seed < 0 || !(seconds >= 6.0) || seconds > 3'600.0) {
        std::cerr << fmt::format("{}: {}\n", next < -1 ? poptBadOption(context, 0) : "arguments",
                                 next < -1 ? poptStrerror(next)
                                           : "allowed: --seed 0 or more, --seconds 6 to 3600");
        poptFreeContext(context);
        return exit_bad_input;
    }
    poptFreeContext(context);

    std::vector<bench::run_outcome> outcomes;
    for (const routing_policy policy :
         {routing_policy::estimated_load, routing_policy::random, routing_policy::round_robin,
          routing_policy::least_connections}) {
        for (const bench::scenario& one : make_scenarios(policy)) {
            outcomes.push_back(
                bench::simulation(one, static_cast<std::uint64_t>(seed), seconds).run());
        }
    }
    std::stable_sort(outcomes.begin(), outcomes.end(),
                     [](const bench::run_outcome& left, const bench::run_outcome& right) {
                         return left.settings.name < right.settings.name;
                     });
    std::cout << fmt::format("seed {}, {} simulated seconds, 11 workers of 8 slots\n", seed,
                             seconds);
    bench::print_table(std::cout, outcomes);
    bench::print_goals(std::cout, outcomes);
    if (json_file == nullptr) {
        bench::print_json_lines(std::cout, outcomes, static_cast<std::uint64_t>(seed));
        return 0;
    }
    std::ofstream file(json_file);
    bench::print_json_lines(file, outcomes, static_cast<std::uint64_t>(seed));
    if (!file.good()) {
        std::cerr << fmt::format("{}: cannot be written\n", json_file);
        return 1;
    }
    return 0;
}
