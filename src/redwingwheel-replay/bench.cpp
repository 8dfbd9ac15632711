#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include "outcomes.h"
#include "redwingwheel/placement.h"
#include "simulation.h"

namespace {

namespace placement = redwingwheel::placement;
namespace replay = redwingwheel::replay;
using redwingwheel::milliseconds;

constexpr milliseconds guarantee_bound{4500};
constexpr int exit_bad_input = 2;

/// Measures of one policy on one trace.
struct measures {
    std::map<std::string, replay::time_summary> completion;
    std::map<std::string, replay::time_summary> wait;
    double fragmentation = 0;
    double withdrawal_work = -1; ///< Below 0: no data centre leaves in the trace.
    replay::guarantee_count guarantees;
    replay::time_summary reclaim;
};

measures measure(const replay::trace& source, const std::string& policy)
{
    replay::simulation run(source, policy, [](const std::string&) {});
    const replay::replay_result result = run.run();
    measures found;
    for (const auto& [id, job] : result.jobs) {
        if (!found.completion.contains(job.job_class)) {
            found.completion[job.job_class] = replay::completion_of(result, job.job_class);
            found.wait[job.job_class] = replay::wait_of(result, job.job_class);
        }
    }
    found.fragmentation = replay::fragmentation_of(result);
    found.guarantees = replay::guarantees_of(result, guarantee_bound);
    found.reclaim = replay::reclaim_of(result);
    for (const replay::trace_event& event : source.events) {
        if (event.kind == replay::event_kind::data_centre_withdrawn && found.withdrawal_work < 0) {
            milliseconds until = source.end;
            for (const replay::trace_event& later : source.events) {
                if (later.kind == replay::event_kind::data_centre_returned &&
                    later.name == event.name && later.at > event.at) {
                    until = std::min(until, later.at);
                }
            }
            found.withdrawal_work = replay::useful_share(result, event.at, until);
        }
    }
    return found;
}

void report(const std::string& trace, const std::string& policy, const std::string& measure_name,
            double value, double own)
{
    // The ratio is the project's own value over the baseline's: below 1 is better for times.
    const double ratio = value > 0 ? own / value : std::nan("");
    std::cout << fmt::format("{:<20} {:<13} {:<32} {:>12.3f} {:>8.3f}\n", trace, policy,
                             measure_name, value, ratio);
    const nlohmann::json line = {
        {"trace", trace},
        {"policy", policy},
        {"measure", measure_name},
        {"value", value},
        {"own_over_this", std::isnan(ratio) ? nlohmann::json(nullptr) : nlohmann::json(ratio)}};
    std::cout << line.dump() << "\n";
}

void compare(const replay::trace& source)
{
    std::map<std::string, measures> by_policy;
    for (const std::string& policy : replay::policy_names()) {
        by_policy[policy] = measure(source, policy);
    }
    const measures& own = by_policy[std::string(replay::own_policy_name)];
    for (const std::string& policy : replay::policy_names()) {
        const measures& here = by_policy[policy];
        for (const auto& [job_class, times] : here.completion) {
            const replay::time_summary& ours = own.completion.at(job_class);
            if (times.jobs == 0) {
                continue;
            }
            report(source.name, policy, "completion mean s " + job_class, times.mean_ms / 1000,
                   ours.mean_ms / 1000);
            report(source.name, policy, "completion p99 s " + job_class, times.p99_ms / 1000,
                   ours.p99_ms / 1000);
            report(source.name, policy, "wait mean s " + job_class,
                   here.wait.at(job_class).mean_ms / 1000, own.wait.at(job_class).mean_ms / 1000);
        }
        report(source.name, policy, "fragmentation", here.fragmentation, own.fragmentation);
        if (here.withdrawal_work >= 0) {
            report(source.name, policy, "work during withdrawal", here.withdrawal_work,
                   own.withdrawal_work);
        }
        report(source.name, policy, fmt::format("missed of {} entitled", here.guarantees.entitled),
               static_cast<double>(here.guarantees.missed),
               static_cast<double>(own.guarantees.missed));
        report(source.name, policy, "reclaim p99 s", here.reclaim.p99_ms / 1000,
               own.reclaim.p99_ms / 1000);
    }
}

std::uint64_t allocated_bytes()
{
    const struct mallinfo2 usage = mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

/// A region with five tasks per worker in place, and the cost of one more decision at a time.
struct decision_cost {
    std::size_t workers = 0;
    double median_us = 0;
    double p99_us = 0;
    double turn_with_backlog_us = 0;
    double reassign_ms = 0;
    double withdrawal_ms = 0;
    double megabytes = 0;
};

placement::job_spec job_of(std::uint64_t number, std::uint32_t accounts)
{
    placement::job_spec job;
    job.id = fmt::format("job{:07}", number);
    job.account = fmt::format("team{:03}", number % accounts);
    job.service = fmt::format("service{}", number % 17);
    constexpr std::array<std::uint32_t, 8> members = {1, 1, 2, 4, 1, 8, 1, 16};
    job.members = members[number % members.size()];
    job.accelerators_per_member = 1;
    job.adjacency =
        number % 5 == 0 ? placement::cell_level::rack : placement::cell_level::data_centre;
    job.members = number % 5 == 0 ? std::min(job.members, 8U) : job.members;
    job.priority = static_cast<placement::job_priority>(number % 3);
    job.can_checkpoint = number % 2 == 0;
    job.idempotent = number % 3 == 0;
    job.declared_run_time = std::chrono::minutes(30 + number % 300);
    return job;
}

decision_cost cost_of(std::uint32_t workers, std::uint32_t accounts)
{
    using clock = redwingwheel::boot_clock;
    const std::uint64_t before = allocated_bytes();
    redwingwheel::manual_clock time;
    placement::engine engine({}, time.function());
    const std::uint32_t places = std::max(1U, workers / 177);
    for (std::uint32_t n = 0; n < workers; ++n) {
        static_cast<void>(
            engine.add_worker({fmt::format("w{:05}", n), fmt::format("dc{:02}", n % places),
                               fmt::format("r{}", n / places / 3), 8, 4}));
    }
    std::vector<placement::guarantee> terms;
    for (std::uint32_t n = 0; n < accounts; ++n) {
        terms.push_back({fmt::format("agreement{:03}", n), fmt::format("team{:03}", n),
                         n % 4 == 0 ? placement::cell_level::host : placement::cell_level::group,
                         1 + n % 2, ""});
    }
    static_cast<void>(engine.set_guarantees(terms));
    std::uint64_t number = 0;
    std::uint64_t tasks = 0;
    std::vector<std::string> running;
    const auto turn = [&] {
        std::vector<placement::decision> decided;
        do {
            for (placement::decision& one : engine.decide()) {
                if (const auto* const start =
                        std::get_if<placement::start_gang>(&one.requested_action)) {
                    running.push_back(start->placement.job);
                    tasks += start->placement.members.size();
                }
                if (const auto* const stop =
                        std::get_if<placement::reclaim_gang>(&one.requested_action)) {
                    decided.push_back(one);
                    static_cast<void>(stop);
                }
            }
        } while (engine.has_more());
        for (const placement::decision& one : decided) {
            const std::string job = std::get<placement::reclaim_gang>(one.requested_action).job;
            static_cast<void>(engine.report_stopped(job));
            std::erase(running, job);
        }
    };
    while (tasks < std::uint64_t{workers} * 5) {
        static_cast<void>(engine.submit(job_of(++number, accounts)));
        turn();
        time.advance(milliseconds(10));
    }
    decision_cost found;
    found.workers = workers;
    found.megabytes = static_cast<double>(allocated_bytes() - before) / 1e6;
    std::vector<double> samples;
    constexpr int rounds = 2000;
    for (int round = 0; round < rounds; ++round) {
        const placement::job_spec job = job_of(++number, accounts);
        const clock::time_point start = clock::now();
        static_cast<void>(engine.submit(job));
        const std::vector<placement::decision> decided = engine.decide();
        samples.push_back(std::chrono::duration<double, std::micro>(clock::now() - start).count());
        for (const placement::decision& one : decided) {
            if (const auto* const begun =
                    std::get_if<placement::start_gang>(&one.requested_action)) {
                running.push_back(begun->placement.job);
            }
            if (const auto* const stop =
                    std::get_if<placement::reclaim_gang>(&one.requested_action)) {
                static_cast<void>(engine.report_stopped(stop->job));
                std::erase(running, stop->job);
            }
        }
        if (!running.empty()) {
            const std::size_t ended = static_cast<std::size_t>(number * 7919) % running.size();
            static_cast<void>(engine.report_finished(running[ended]));
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(ended));
        }
        time.advance(milliseconds(10));
    }
    std::sort(samples.begin(), samples.end());
    found.median_us = samples[samples.size() / 2];
    found.p99_us = samples[samples.size() * 99 / 100];
    // A new placement of cells after the loss of a worker, and a turn over a backlog.
    static_cast<void>(engine.remove_worker("w00000"));
    clock::time_point start = clock::now();
    static_cast<void>(engine.decide());
    found.reassign_ms = std::chrono::duration<double, std::milli>(clock::now() - start).count();
    static_cast<void>(
        engine.set_data_centre_state("dc00", placement::data_centre_state::withdrawn));
    start = clock::now();
    static_cast<void>(engine.decide());
    found.withdrawal_ms = std::chrono::duration<double, std::milli>(clock::now() - start).count();
    static_cast<void>(
        engine.set_data_centre_state("dc00", placement::data_centre_state::in_service));
    time.advance(std::chrono::seconds(20));
    for (int n = 0; n < 10000; ++n) {
        static_cast<void>(engine.submit(job_of(++number, accounts)));
    }
    while (!engine.decide().empty()) {
        time.advance(milliseconds(10));
    }
    start = clock::now();
    constexpr int turns = 50;
    for (int n = 0; n < turns; ++n) {
        static_cast<void>(engine.decide());
    }
    found.turn_with_backlog_us =
        std::chrono::duration<double, std::micro>(clock::now() - start).count() / turns;
    return found;
}

void report_costs()
{
    std::vector<decision_cost> costs;
    for (const std::uint32_t workers : {50U, 500U, 4600U}) {
        costs.push_back(cost_of(workers, workers == 4600 ? 630 : std::max(4U, workers / 8)));
    }
    const double slope = std::log(costs.back().median_us / costs.front().median_us) /
                         std::log(static_cast<double>(costs.back().workers) /
                                  static_cast<double>(costs.front().workers));
    for (const decision_cost& one : costs) {
        std::cout << fmt::format(
            "workers {:>5}: submit and decide median {:.1f} us, p99 {:.1f} us; "
            "turn over a backlog of 10000 {:.1f} us; after a lost worker "
            "{:.2f} ms, after a withdrawal {:.2f} ms; state {:.1f} MB\n",
            one.workers, one.median_us, one.p99_us, one.turn_with_backlog_us, one.reassign_ms,
            one.withdrawal_ms, one.megabytes);
        const nlohmann::json line = {{"workers", one.workers},
                                     {"median_us", one.median_us},
                                     {"p99_us", one.p99_us},
                                     {"turn_with_backlog_us", one.turn_with_backlog_us},
                                     {"after_lost_worker_ms", one.reassign_ms},
                                     {"after_withdrawal_ms", one.withdrawal_ms},
                                     {"state_mb", one.megabytes}};
        std::cout << line.dump() << "\n";
    }
    std::cout << fmt::format("slope of the median in workers, log over log: {:.2f}\n", slope);
}

} // namespace

int main(int argc, const char** argv)
{
    int skip_costs = 0;
    const poptOption table[] = {
        {"no-costs", 'n', POPT_ARG_NONE, &skip_costs, 0, "Skip the cost of decisions", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "[OPTION...] TRACE...");
    if (poptGetNextOpt(context) < -1) {
        std::cerr << "arguments: unknown option; allowed: [--no-costs] TRACE...\n";
        poptFreeContext(context);
        return exit_bad_input;
    }
    std::cout << fmt::format("{:<20} {:<13} {:<32} {:>12} {:>8}\n", "trace", "policy", "measure",
                             "value", "own/this");
    for (const char* path = poptGetArg(context); path != nullptr; path = poptGetArg(context)) {
        const absl::StatusOr<replay::trace> source = replay::read_trace(path, {});
        if (!source.ok()) {
            std::cerr << redwingwheel::errors::message_of(source.status()) << "\n";
            poptFreeContext(context);
            return exit_bad_input;
        }
        compare(*source);
    }
    poptFreeContext(context);
    if (skip_costs == 0) {
        report_costs();
    }
    return 0;
}
