#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <thread>

#include <sys/resource.h>

#include <fmt/format.h>
#include <popt.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

#include "call_load.h"
#include "documents.h"
#include "rebuild.h"
#include "report.h"

using namespace redwingwheel;
using namespace redwingwheel::control::bench;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
constexpr std::array<std::size_t, 4> fleet_sizes{10, 50, 200, 660};
/// Each measured window is cut in this many parts, to show the spread.
constexpr std::size_t window_parts = 3;
constexpr std::size_t notes_timed = 3;
constexpr std::size_t claims_at_once = 32;
constexpr milliseconds warm_up{1000};
constexpr milliseconds check_period{5};
constexpr milliseconds announce_patience{10'000};
constexpr milliseconds placement_patience{5000};
constexpr milliseconds claim_window{2000};
constexpr milliseconds note_window{1500};
/// No new size is begun after this time.
constexpr std::chrono::seconds time_bound{70};

double seconds_since(redwingwheel::steady_time start)
{
    return std::chrono::duration<double>(redwingwheel::boot_clock::now() - start).count();
}

/// Waits until `reached`, at most `patience`; returns the time that it took, s.
std::optional<double> wait_until(milliseconds patience, const std::function<bool()>& reached)
{
    const redwingwheel::steady_time start = redwingwheel::boot_clock::now();
    while (!reached()) {
        if (redwingwheel::boot_clock::now() - start > patience) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(check_period);
    }
    return seconds_since(start);
}

/// Cost of a stretch of polls.
struct window_cost {
    double polls_per_s = 0.0;
    double control_us = 0.0; ///< Control thread, for each poll.
    double control_least_us = 0.0;
    double control_most_us = 0.0;
    double traffic_us = 0.0;   ///< The replica's traffic thread, for each poll.
    double process_us = 0.0;   ///< All threads with the simulated agents, for each poll.
    double core_percent = 0.0; ///< Control and traffic thread together, of one core.
    double bytes_in = 0.0;     ///< For each poll.
    double bytes_out = 0.0;    ///< For each poll.
};

window_cost cost_between(const cost_sample& from, const cost_sample& to, std::uint64_t polls)
{
    const double count = static_cast<double>(std::max<std::uint64_t>(polls, 1));
    const double length = std::chrono::duration<double>(to.at - from.at).count();
    window_cost cost;
    cost.polls_per_s = count / length;
    cost.control_us = (to.control_thread_s - from.control_thread_s) / count * 1e6;
    cost.traffic_us = (to.traffic_thread_s - from.traffic_thread_s) / count * 1e6;
    cost.process_us = (to.process_s - from.process_s) / count * 1e6;
    cost.core_percent = (cost.control_us + cost.traffic_us) * cost.polls_per_s * 1e-4;
    cost.bytes_in = static_cast<double>(to.bytes_in - from.bytes_in) / count;
    cost.bytes_out = static_cast<double>(to.bytes_out - from.bytes_out) / count;
    return cost;
}

window_cost measure_window(control_under_test& control, agent_fleet& fleet, double length)
{
    const cost_sample first = control.sample();
    const std::uint64_t first_polls = fleet.read().polls_answered;
    cost_sample before = first;
    std::uint64_t polls_before = first_polls;
    std::vector<double> parts;
    for (std::size_t part = 0; part < window_parts; ++part) {
        std::this_thread::sleep_for(std::chrono::duration<double>(length / window_parts));
        const cost_sample now = control.sample();
        const std::uint64_t polls = fleet.read().polls_answered;
        parts.push_back(cost_between(before, now, polls - polls_before).control_us);
        before = now;
        polls_before = polls;
    }
    window_cost cost = cost_between(first, before, polls_before - first_polls);
    cost.control_least_us = *std::min_element(parts.begin(), parts.end());
    cost.control_most_us = *std::max_element(parts.begin(), parts.end());
    return cost;
}

/// What one size of the fleet measured.
struct fleet_result {
    std::size_t agents = 0;
    window_cost idle;
    window_cost busy;
    std::size_t tasks = 0;
    std::uint64_t resident_growth_kb = 0;
    std::vector<double> in_force_s;
};

std::uint64_t folder_bytes(const std::filesystem::path& folder)
{
    std::uint64_t bytes = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
        bytes += entry.is_regular_file() ? entry.file_size() : 0;
    }
    return bytes;
}

void print_window(std::size_t agents, std::string_view state, const window_cost& cost)
{
    fmt::print(
        "{:>7} {:<6} {:>8.1f} {:>9.1f} {:>7.1f}-{:<7.1f} {:>9.1f} {:>9.1f} {:>8.2f}% {:>8.0f} "
        "{:>8.0f}\n",
        agents, state, cost.polls_per_s, cost.control_us, cost.control_least_us,
        cost.control_most_us, cost.traffic_us, cost.process_us, cost.core_percent, cost.bytes_in,
        cost.bytes_out);
    print_json("polls", {{"agents", agents},
                         {"state", state},
                         {"polls_per_s", cost.polls_per_s},
                         {"control_us", cost.control_us},
                         {"control_least_us", cost.control_least_us},
                         {"control_most_us", cost.control_most_us},
                         {"traffic_us", cost.traffic_us},
                         {"process_us", cost.process_us},
                         {"core_percent", cost.core_percent},
                         {"bytes_in", cost.bytes_in},
                         {"bytes_out", cost.bytes_out}});
}

/// Applies notes one after the other and times each until all agents report it.
void measure_notes(control_caller& caller, fleet_result& result, std::uint64_t& revision)
{
    for (std::size_t run = 0; run < notes_timed; ++run) {
        const redwingwheel::steady_time start = redwingwheel::boot_clock::now();
        const nlohmann::json answer =
            caller.post("/v1/releases", "wait_ms=10000", weight_note(revision));
        if (!answer.value("in_force", false)) {
            fmt::print("note after revision {} not in force: {}\n", revision, answer.dump());
            return;
        }
        result.in_force_s.push_back(seconds_since(start));
        ++revision;
    }
    print_json("note_in_force", {{"agents", result.agents}, {"seconds", result.in_force_s}});
}

void measure_note_rate(control_caller& caller, std::uint64_t& revision)
{
    const redwingwheel::steady_time start = redwingwheel::boot_clock::now();
    std::size_t notes = 0;
    while (redwingwheel::boot_clock::now() - start < note_window) {
        if (caller.post("/v1/releases", "", weight_note(revision)).is_null()) {
            fmt::print("a note was refused\n");
            return;
        }
        ++revision;
        ++notes;
    }
    print_json("notes", {{"per_s", static_cast<double>(notes) / seconds_since(start)}});
}

void measure_claims(control_under_test& control, control_caller& caller,
                    const std::filesystem::path& folder)
{
    const cost_sample before = control.sample();
    const std::uint64_t bytes_before = folder_bytes(folder);
    const control_caller::claim_counts counts = caller.run_claims(claim_window, claims_at_once);
    const cost_sample after = control.sample();
    const double length = std::chrono::duration<double>(after.at - before.at).count();
    const double commands = static_cast<double>(after.commit - before.commit);
    const double claims = static_cast<double>(std::max<std::uint64_t>(counts.finished, 1));
    print_json(
        "claims",
        {{"per_s", static_cast<double>(counts.finished) / length},
         {"failed", counts.failed},
         {"control_us", (after.control_thread_s - before.control_thread_s) / claims * 1e6},
         {"traffic_us", (after.traffic_thread_s - before.traffic_thread_s) / claims * 1e6},
         {"commands", commands},
         {"file_bytes_per_command",
          static_cast<double>(folder_bytes(folder) - bytes_before) / std::max(commands, 1.0)}});
}

/// Stops the replica and opens its folder again while the agents go on polling.
void measure_failover(std::unique_ptr<control_under_test>& control, agent_fleet& fleet,
                      const std::filesystem::path& folder)
{
    const std::uint16_t port = control->address().port;
    control->stop();
    control.reset();
    const redwingwheel::steady_time start = redwingwheel::boot_clock::now();
    control = std::make_unique<control_under_test>(folder, port);
    const absl::Status started = control->start();
    const double leads_s = seconds_since(start);
    const cost_sample at_lead = control->sample();
    const redwingwheel::steady_time lead = redwingwheel::boot_clock::now();
    const std::optional<double> all_s =
        wait_until(announce_patience, [&fleet, lead] { return fleet.read().oldest_answer > lead; });
    const cost_sample at_all = control->sample();
    print_json("failover",
               {{"started", started.ok()},
                {"leads_after_s", leads_s},
                {"all_agents_answered_after_s", all_s.value_or(-1.0)},
                {"control_ms", (at_all.control_thread_s - at_lead.control_thread_s) * 1e3},
                {"traffic_ms", (at_all.traffic_thread_s - at_lead.traffic_thread_s) * 1e3},
                {"tasks_running", fleet.read().tasks_running}});
}

bool start_fleet(control_caller& caller, agent_fleet& fleet, std::size_t agents)
{
    if (caller.post("/v1/releases", "", first_note()).is_null()) {
        return false;
    }
    const std::optional<double> announced = wait_until(
        announce_patience, [&fleet, agents] { return fleet.read().permitted == agents; });
    print_json("announced", {{"agents", agents},
                             {"seconds", announced.value_or(-1.0)},
                             {"permitted", fleet.read().permitted}});
    return announced.has_value();
}

std::optional<fleet_result> measure_fleet(const std::filesystem::path& folder, std::size_t agents,
                                          double length)
{
    fleet_result result;
    result.agents = agents;
    const std::uint64_t resident_before = resident_kb();
    std::unique_ptr<control_under_test> control = std::make_unique<control_under_test>(folder, 0);
    const absl::Status started = control->start();
    if (!started.ok()) {
        fmt::print(stderr, "start: {}\n", started.ToString());
        return std::nullopt;
    }
    agent_fleet fleet(control->address(), agents);
    control_caller caller(fleet.traffic_loop(), control->address());
    fleet.start();
    if (!start_fleet(caller, fleet, agents)) {
        return std::nullopt;
    }
    std::this_thread::sleep_for(warm_up);
    result.idle = measure_window(*control, fleet, length);
    print_window(agents, "idle", result.idle);
    std::uint64_t revision = 1;
    revision +=
        caller.post("/v1/releases", "wait_ms=5000", agreements_note(agents)).is_null() ? 0 : 1;
    const std::size_t accepted = caller.post_all("/v1/jobs", make_jobs(agents));
    const std::optional<double> placed = wait_until(placement_patience, [&fleet, accepted] {
        return fleet.read().tasks_running >= accepted * tasks_per_job;
    });
    result.tasks = fleet.read().tasks_running;
    print_json("jobs", {{"accepted", accepted},
                        {"running_after_s", placed.value_or(-1.0)},
                        {"tasks_running", result.tasks}});
    std::this_thread::sleep_for(warm_up);
    result.busy = measure_window(*control, fleet, length);
    print_window(agents, "busy", result.busy);
    measure_notes(caller, result, revision);
    result.resident_growth_kb = resident_kb() - std::min(resident_kb(), resident_before);
    if (agents == fleet_sizes.back()) {
        measure_note_rate(caller, revision);
        measure_claims(*control, caller, folder);
        measure_failover(control, fleet, folder);
    }
    const agent_fleet::progress end = fleet.read();
    print_json("fleet", {{"agents", agents},
                         {"polls_answered", end.polls_answered},
                         {"polls_failed", end.polls_failed},
                         {"resident_growth_kb", result.resident_growth_kb}});
    control->stop();
    return result;
}

void print_fits(const std::vector<fleet_result>& results)
{
    std::vector<point> idle_control;
    std::vector<point> idle_core;
    std::vector<point> busy_control;
    std::vector<point> busy_core;
    std::vector<point> memory;
    for (const fleet_result& each : results) {
        const double agents = static_cast<double>(each.agents);
        idle_control.push_back(
            {each.idle.polls_per_s, each.idle.polls_per_s * each.idle.control_us * 1e-3});
        busy_control.push_back(
            {each.busy.polls_per_s, each.busy.polls_per_s * each.busy.control_us * 1e-3});
        idle_core.push_back({agents, each.idle.core_percent});
        busy_core.push_back({agents, each.busy.core_percent});
        memory.push_back({agents, static_cast<double>(each.resident_growth_kb)});
    }
    print_fit("control thread, idle", "poll/s", "ms/s", idle_control);
    print_fit("control thread, five tasks a worker", "poll/s", "ms/s", busy_control);
    print_fit("control and traffic thread, idle", "worker", "% of a core", idle_core);
    print_fit("control and traffic thread, five tasks a worker", "worker", "% of a core",
              busy_core);
    print_fit("resident memory with the simulated agents", "worker", "KiB", memory);
}

void measure_rebuilds()
{
    std::vector<point> begin;
    std::vector<point> state;
    std::vector<point> leader;
    std::vector<point> tick;
    fmt::print("\n{:>7} {:>6} {:>22} {:>9} {:>9} {:>9} {:>9} {:>9}\n", "workers", "jobs",
               "begin_leadership ms", "poll us", "idle us", "tick us", "state KB", "leader KB");
    for (const std::size_t workers : {60, 220, 660, 1500, 4600}) {
        const rebuild_cost cost = measure_rebuild(workers, workers);
        fmt::print("{:>7} {:>6} {:>7.2f} ({:.2f}-{:.2f}) {:>9.2f} {:>9.2f} {:>9.1f} {:>9} {:>9}\n",
                   cost.workers, cost.jobs, cost.begin_ms, cost.begin_least_ms, cost.begin_most_ms,
                   cost.poll_us, cost.idle_poll_us, cost.tick_us, cost.state_bytes / 1024,
                   cost.leader_bytes / 1024);
        print_json("rebuild", {{"workers", cost.workers},
                               {"jobs", cost.jobs},
                               {"begin_ms", cost.begin_ms},
                               {"poll_us", cost.poll_us},
                               {"idle_poll_us", cost.idle_poll_us},
                               {"first_tick_us", cost.first_tick_us},
                               {"tick_us", cost.tick_us},
                               {"snapshot_ms", cost.snapshot_ms},
                               {"snapshot_bytes", cost.snapshot_bytes},
                               {"state_bytes", cost.state_bytes},
                               {"leader_bytes", cost.leader_bytes},
                               {"begin_least_ms", cost.begin_least_ms},
                               {"begin_most_ms", cost.begin_most_ms},
                               {"catch_up_bytes", cost.catch_up_bytes},
                               {"entry_table_bytes", cost.entry_table_bytes},
                               {"entry_idle_bytes", cost.entry_idle_bytes}});
        const double x = static_cast<double>(workers);
        begin.push_back({x, cost.begin_ms});
        tick.push_back({x, cost.tick_us});
        state.push_back({x, static_cast<double>(cost.state_bytes) / 1024});
        leader.push_back({x, static_cast<double>(cost.leader_bytes) / 1024});
    }
    print_fit("begin_leadership, one job of five a worker", "worker", "ms", begin);
    print_fit("turn of the decisions", "worker", "us", tick);
    print_fit("replicated state", "worker", "KiB", state);
    print_fit("leader's memory", "worker", "KiB", leader);
}

void print_command_sizes()
{
    using control::pack_command;
    control::submit_job submit;
    submit.job.id = "job-1234";
    submit.job.account = "account-0";
    submit.job.service = "builds";
    submit.job.parameters = "{}";
    control::place_job place;
    place.id = "job-1234";
    place.members.resize(tasks_per_job, {"w1234", 0x9e3779b97f4a7c15, 0xff, 1});
    const membership::gang_released released{place.id, 1, place.members};
    control::record_usage usage{"w1234", 0x9e3779b97f4a7c15, 1, {}};
    usage.usage.resize(4, {"account-0", 40000, 100, 40000});
    control::apply_release_note note;
    note.note.note = "bench-1234";
    note.note.changed.client_accounts.push_back({{"account-0", "", 7}, {"weight"}});
    note.origin = {"ops", 1767225600000};
    print_json(
        "command_bytes",
        {{"announce_worker", pack_command(control::announce_worker{announcement_of(1000)}).size()},
         {"submit_job", pack_command(submit).size()},
         {"place_job_5", pack_command(place).size()},
         {"gang_released_5", pack_command(control::apply_gang_proposal{released, 0}).size()},
         {"begin_claim", pack_command(control::apply_claim_command{sample_begin(1234567)}).size()},
         {"finish_claim",
          pack_command(control::apply_claim_command{sample_finish(1234567)}).size()},
         {"record_usage_4", pack_command(usage).size()},
         {"apply_note_one_change", pack_command(note).size()}});
}

/// The daemon logs to a file at the level info, which is part of its cost.
void set_up_log(const std::filesystem::path& folder)
{
    const std::shared_ptr<spdlog::logger> logger =
        spdlog::basic_logger_mt("bench", (folder / "bench.log").string());
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

void allow_connections()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int run(const std::filesystem::path& folder, double length)
{
    const redwingwheel::steady_time start = redwingwheel::boot_clock::now();
    print_command_sizes();
    measure_rebuilds();
    fmt::print("\n{:>7} {:<6} {:>8} {:>9} {:>15} {:>9} {:>9} {:>9} {:>8} {:>8}\n", "agents",
               "state", "polls/s", "control", "least-most", "traffic", "process", "core", "B in",
               "B out");
    std::vector<fleet_result> results;
    for (const std::size_t agents : fleet_sizes) {
        if (redwingwheel::boot_clock::now() - start > time_bound) {
            fmt::print("{} agents: not measured, out of time\n", agents);
            continue;
        }
        const std::optional<fleet_result> result =
            measure_fleet(folder / fmt::format("fleet-{}", agents), agents, length);
        if (!result.has_value()) {
            return exit_failed;
        }
        results.push_back(*result);
    }
    print_fits(results);
    fmt::print("took {:.1f} s\n", seconds_since(start));
    return 0;
}

} // namespace

int main(int argc, const char** argv)
{
    double length = 3.0;
    int keep = 0;
    const poptOption options[] = {
        {"seconds", 's', POPT_ARG_DOUBLE, &length, 0, "length of a window, 0.3 to 6", "SECONDS"},
        {"keep", 'k', POPT_ARG_NONE, &keep, 0, "keep the data folder and the log", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context =
        poptGetContext("redwingwheel-bench-control", argc, argv, options, 0);
    const int result = poptGetNextOpt(context);
    const bool good = result == -1 && poptPeekArg(context) == nullptr;
    poptFreeContext(context);
    if (!good || length < 0.3 || length > 6.0) {
        fmt::print(stderr, "usage: redwingwheel-bench-control [--seconds 0.3..6] [--keep]\n");
        return exit_bad_input;
    }
    std::string folder =
        (std::filesystem::temp_directory_path() / "redwingwheel-bench-control-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        fmt::print(stderr, "no temporary folder\n");
        return exit_failed;
    }
    allow_connections();
    set_up_log(folder);
    const int status = run(folder, length);
    if (keep != 0) {
        fmt::print("kept {}\n", folder);
    }
    else {
        std::filesystem::remove_all(folder);
    }
    return status;
}
