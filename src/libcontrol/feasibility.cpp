#include "feasibility.h"

#include <algorithm>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace redwingwheel::control {

placement::worker_spec spec_of(const messages::worker_announcement& worker)
{
    placement::worker_spec spec;
    spec.name = worker.worker;
    spec.data_centre = worker.data_centre;
    spec.rack = worker.rack;
    spec.accelerators = worker.accelerators;
    spec.accelerators_per_group = worker.accelerators_per_group;
    return spec;
}

std::chrono::sys_days day_of(std::int64_t unix_ms)
{
    const std::chrono::sys_time<milliseconds> time{milliseconds(unix_ms)};
    return std::chrono::floor<std::chrono::days>(time);
}

std::vector<placement::guarantee> guarantees_of(const config::configuration& configuration,
                                                std::optional<std::int64_t> now_ms)
{
    std::vector<config::agreement> agreements = configuration.agreements();
    std::stable_sort(agreements.begin(), agreements.end(),
                     [](const config::agreement& left, const config::agreement& right) {
                         return left.starts < right.starts;
                     });
    std::vector<placement::guarantee> guarantees;
    for (const config::agreement& each : agreements) {
        if (now_ms.has_value() && !config::in_term(each, day_of(*now_ms))) {
            continue;
        }
        placement::guarantee wanted;
        wanted.agreement = each.id;
        wanted.account = each.account;
        wanted.level = static_cast<placement::cell_level>(each.level);
        wanted.count = each.count;
        wanted.data_centre = each.data_centre;
        guarantees.push_back(std::move(wanted));
    }
    return guarantees;
}

std::vector<config::problem>
check_feasibility(const config::configuration& proposed,
                  const std::vector<messages::worker_announcement>& inventory)
{
    std::vector<config::problem> problems;
    // The engine needs a clock, which this check does not use.
    placement::engine trial({}, [] { return steady_time(); });
    for (const messages::worker_announcement& worker : inventory) {
        const absl::Status added = trial.add_worker(spec_of(worker));
        if (!added.ok()) {
            spdlog::warn("event=worker_refused worker={} error=\"{}\"", worker.worker,
                         errors::message_of(added));
        }
    }
    const std::vector<placement::guarantee> wanted = guarantees_of(proposed, std::nullopt);
    for (const placement::shortfall& each : trial.check_guarantees(wanted)) {
        problems.push_back(
            {"", fmt::format("agreements.{}.count", each.agreement), fmt::format("{}", each.wanted),
             fmt::format("at most {} cells of level {} in {}", each.wanted - each.missing,
                         placement::name_of(each.level),
                         each.data_centre.empty() ? "any data centre" : each.data_centre)});
    }
    return problems;
}

} // namespace redwingwheel::control
