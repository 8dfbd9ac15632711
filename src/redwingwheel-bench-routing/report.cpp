#include "report.h"

#include <algorithm>
#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace redwingwheel::bench_routing {

namespace {

const run_outcome* find_run(const std::vector<run_outcome>& outcomes, std::string_view name,
                            request::routing_policy policy)
{
    const auto found =
        std::find_if(outcomes.begin(), outcomes.end(), [&](const run_outcome& outcome) {
            return outcome.settings.name == name && outcome.settings.policy == policy;
        });
    return found == outcomes.end() ? nullptr : &*found;
}

double done_share(const class_outcome& outcome)
{
    return outcome.offered == 0
               ? 0.0
               : static_cast<double>(outcome.done) / static_cast<double>(outcome.offered);
}

std::uint64_t not_done(const run_outcome& outcome)
{
    std::uint64_t count = 0;
    for (const class_outcome& one : outcome.classes) {
        count += one.offered - one.done;
    }
    return count;
}

void print_goal(std::ostream& out, std::string_view goal, double value, bool met)
{
    out << fmt::format("{:<7}{}: {:.3f}\n", met ? "met" : "MISSED", goal, value);
}

} // namespace

double quantile_ms(const class_outcome& outcome, double share)
{
    if (outcome.latency_ms.empty()) {
        return 0.0;
    }
    std::vector<double> sorted = outcome.latency_ms;
    const std::size_t rank = std::min(
        sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.end());
    return sorted[rank];
}

double goodput_slots(const run_outcome& outcome)
{
    double work_ms = 0.0;
    for (const class_outcome& one : outcome.classes) {
        work_ms += one.done_work_ms;
    }
    return work_ms / 1'000.0 / outcome.measured_seconds;
}

void print_table(std::ostream& out, const std::vector<run_outcome>& outcomes)
{
    out << fmt::format("{:<22}{:<19}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}{:>9}{:>9}\n",
                       "scenario", "policy", "int p50", "int p99", "std p50", "std p99", "bat p50",
                       "bat p99", "int %", "std %", "bat %", "goodput", "refused");
    for (const run_outcome& outcome : outcomes) {
        out << fmt::format("{:<22}{:<19}", outcome.settings.name,
                           request::to_string(outcome.settings.policy));
        for (const class_outcome& one : outcome.classes) {
            out << fmt::format("{:>9.1f}{:>9.1f}", quantile_ms(one, 0.5), quantile_ms(one, 0.99));
        }
        for (const class_outcome& one : outcome.classes) {
            out << fmt::format("{:>8.2f}", 100.0 * done_share(one));
        }
        out << fmt::format("{:>9.2f}{:>9}\n", goodput_slots(outcome), outcome.refusals);
    }
}

void print_json_lines(std::ostream& out, const std::vector<run_outcome>& outcomes,
                      std::uint64_t seed)
{
    for (const run_outcome& outcome : outcomes) {
        nlohmann::json line;
        line["seed"] = seed;
        line["scenario"] = outcome.settings.name;
        line["policy"] = std::string(request::to_string(outcome.settings.policy));
        line["load"] = outcome.settings.load;
        line["measured_seconds"] = outcome.measured_seconds;
        line["goodput_slots"] = goodput_slots(outcome);
        line["tries"] = outcome.tries;
        line["refusals"] = outcome.refusals;
        line["failures"] = outcome.failures;
        line["retries_refused_by_budget"] = outcome.budget_refusals;
        line["hedges"] = outcome.hedges;
        line["straggler_tries"] = outcome.straggler_tries;
        line["withdrawn_tries"] = outcome.withdrawn_tries;
        for (std::size_t index = 0; index < class_count; ++index) {
            const class_outcome& one = outcome.classes[index];
            nlohmann::json& part =
                line[std::string(request::to_string(static_cast<request_class>(index)))];
            part["offered"] = one.offered;
            part["done"] = one.done;
            part["p50_ms"] = quantile_ms(one, 0.5);
            part["p99_ms"] = quantile_ms(one, 0.99);
        }
        out << line.dump() << '\n';
    }
}

void print_goals(std::ostream& out, const std::vector<run_outcome>& outcomes)
{
    constexpr request::routing_policy ours = request::routing_policy::estimated_load;
    constexpr request::routing_policy turns = request::routing_policy::round_robin;
    const auto price_p99 = [](const run_outcome& outcome) {
        return quantile_ms(outcome.classes.front(), 0.99);
    };
    for (const std::string_view name :
         {"mixed-0.7", "mixed-0.9", "capacity", "straggler", "slow"}) {
        const run_outcome* const our_run = find_run(outcomes, name, ours);
        const run_outcome* const baseline = find_run(outcomes, name, turns);
        if (our_run != nullptr && baseline != nullptr) {
            const double ratio = price_p99(*our_run) / price_p99(*baseline);
            print_goal(out,
                       fmt::format("price check p99 against round_robin, {} (at most 0.5)", name),
                       ratio, ratio <= 0.5);
        }
    }
    const run_outcome* const capacity = find_run(outcomes, "capacity", ours);
    const run_outcome* const twice = find_run(outcomes, "twice-capacity", ours);
    if (capacity != nullptr && twice != nullptr) {
        const double ratio = goodput_slots(*twice) / goodput_slots(*capacity);
        print_goal(out, "goodput at twice capacity against capacity (at least 0.9)", ratio,
                   ratio >= 0.9);
    }
    const run_outcome* const withdrawal = find_run(outcomes, "withdrawal", ours);
    const run_outcome* const steady = find_run(outcomes, "steady-0.6", ours);
    if (withdrawal != nullptr && steady != nullptr) {
        const double lost = static_cast<double>(not_done(*withdrawal));
        print_goal(out, "requests not done with a withdrawal (none)", lost, lost == 0.0);
        out << fmt::format("       the same load without a withdrawal: {} not done\n",
                           not_done(*steady));
    }
}

} // namespace redwingwheel::bench_routing
