// The cases 11 to 15. Usage: cases NAME ROOT RECORD. Exit status: 1 the rule was broken, 0 it held,
// 2 the case could not run. TROUBLE=0 leaves out the disruption.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>

#include <nlohmann/json.hpp>

#include "lab.h"

namespace {

using namespace lab;
using nlohmann::json;

constexpr int broken = 1;
constexpr int held = 0;
constexpr int not_run = 2;

struct setting {
    std::string root;
    std::string folder;
    record& log;
    bool trouble = true;
};

void wait_until(const record& log, double seconds)
{
    while (log.seconds() < seconds) {
        pause_ms(5);
    }
}

int verdict(record& log, int result, const std::string& why)
{
    log.line(std::string("VERDICT ") +
             (result == broken ? "broken"
              : result == held ? "held"
                               : "not run") +
             ": " + why);
    return result;
}

/// The first gateway is cut off from the two others while the system starts for the first time.
int founding_cut(setting& with)
{
    constexpr double cut_s = 5.5;
    constexpr double traffic_from_s = 10.0;
    constexpr double config_apply_s = 2.0;
    constexpr double visible_s = 3.0;
    deployment_options options{with.root, with.folder, 3, 0, true, 1};
    deployment system(options, with.log);
    record& log = with.log;
    system.is_cut = [&with](int from, int to) {
        return with.trouble && with.log.seconds() < cut_s && from != to && (from == 0 || to == 0);
    };
    log.line(with.trouble ? "gateway 0 is cut off from gateways 1 and 2 until 5.5 s"
                          : "nothing is cut");
    system.start();
    wait_until(log, traffic_from_s);
    if (!put_manifest(system, log, 1, 0, 20'000)) {
        return verdict(log, not_run, "no gateway has acknowledged the first manifest");
    }
    std::map<std::string, double> accepted;
    std::vector<std::pair<std::uint64_t, double>> acknowledged = {{1, log.seconds()}};
    std::size_t stale = 0;
    std::size_t gone = 0;
    std::size_t reads = 0;
    std::string first_break;
    const auto look = [&] {
        for (int gateway = 0; gateway < 3; ++gateway) {
            const double sent = log.seconds();
            const http_response read =
                http(system.operators(gateway), "GET", "/Config.Get", {"Host: operator"}, "", 1000);
            const std::uint64_t version =
                read.status == 200 ? json::parse(read.body, nullptr, false).value("Version", 0U)
                                   : 0;
            std::uint64_t owed = 0;
            for (const auto& [each, at] : acknowledged) {
                owed = at + config_apply_s < sent ? std::max(owed, each) : owed;
            }
            reads += read.status == 200 ? 1 : 0;
            if (read.status == 200 && version < owed) {
                ++stale;
                const std::string text = "gateway " + std::to_string(gateway) +
                                         " answers Config.Get with version " +
                                         std::to_string(version) + ", although version " +
                                         std::to_string(owed) + " was acknowledged before";
                log.line("CONFIG: " + text);
                first_break = first_break.empty() ? text : first_break;
            }
            for (const auto& [id, at] : accepted) {
                const double asked = log.seconds();
                const std::string state = state_of(system, id, gateway);
                if (asked > at + visible_s && state == "410") {
                    ++gone;
                    log.line("LOST: job " + id + " was accepted, and gateway " +
                             std::to_string(gateway) + " answers 410");
                }
            }
        }
    };
    for (std::uint64_t version = 2; version <= 9; ++version) {
        if (put_manifest(system, log, version, static_cast<int>(version), 4'000)) {
            acknowledged.emplace_back(version, log.seconds());
        }
        const std::string id = new_id();
        if (submit(system, log, id, job_body("1000 done 1000 256 0", 1, 1000, 1000),
                   static_cast<int>(version), 4'000)) {
            accepted[id] = log.seconds();
        }
        look();
        pause_ms(700);
    }
    const double until = log.seconds() + 8.0;
    while (log.seconds() < until) {
        look();
        pause_ms(300);
    }
    log.line("reads of the manifest: " + std::to_string(reads) + ", of which older: " +
             std::to_string(stale) + "; answers 410 for accepted jobs: " + std::to_string(gone));
    if (reads == 0 || acknowledged.size() < 2) {
        return verdict(log, not_run, "the manifest could not be read or changed");
    }
    return stale + gone > 0
               ? verdict(log, broken, first_break.empty() ? "410 for accepted jobs" : first_break)
               : verdict(log, held, "one manifest, and all jobs are known");
}

struct run_log {
    std::mutex lock;
    std::vector<worker::event> events;

    std::vector<worker::event> read()
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        return this->events;
    }
};

void watch(deployment& system, run_log& runs)
{
    for (const std::unique_ptr<worker>& each : system.workers) {
        each->on_event = [&runs](const worker::event& seen) {
            const std::lock_guard<std::mutex> guard(runs.lock);
            runs.events.push_back(seen);
        };
    }
}

/// Installs the first manifest and waits until the workers are known. No job runs before those of
/// the case, so that the system has learned nothing of how long tasks take.
bool warm_up(deployment& system, record& log, int max_attempts = 2)
{
    if (!put_manifest(system, log, 1, 0, 30'000, max_attempts)) {
        return false;
    }
    pause_ms(6000);
    return true;
}

/// Three times a worker crashes soon after it has started the task of a job.
int crashed_workers(setting& with)
{
    constexpr int crashes = 3;
    constexpr int down_ms = 4'500;
    constexpr int after_start_ms = 1'000;
    deployment_options options{with.root, with.folder, 3, 7, false, 1};
    deployment system(options, with.log);
    record& log = with.log;
    run_log runs;
    watch(system, runs);
    system.start();
    if (!warm_up(system, log)) {
        return verdict(log, not_run, "the first manifest was not acknowledged");
    }
    // Ten minutes of work, declared as such.
    const std::string id = new_id();
    if (!submit(system, log, id, job_body("600000 done 4000 256 1", 1, 4000, 600'000), 1, 10'000)) {
        return verdict(log, not_run, "the job was not accepted");
    }
    const std::string task = id + ".0.0.0";
    int crashed = 0;
    std::uint32_t last_run = 0;
    std::string state;
    const double until = log.seconds() + 60.0;
    while (log.seconds() < until && state != "failed") {
        for (const worker::event& each : runs.read()) {
            if (each.task == task && each.what == "started" && each.run > last_run &&
                log.seconds() > each.at + after_start_ms / 1000.0) {
                last_run = each.run;
                if (with.trouble && crashed < crashes) {
                    ++crashed;
                    for (const std::unique_ptr<worker>& other : system.workers) {
                        if (other->own_name() == each.worker) {
                            other->crash(down_ms);
                        }
                    }
                }
            }
        }
        const std::string read = state_of(system, id, crashed % 3);
        if (read != state) {
            log.line("client: GET " + id + ": " + read);
            state = read;
        }
        pause_ms(50);
    }
    int failed_runs = 0;
    for (const worker::event& each : runs.read()) {
        failed_runs += each.task == task && each.what == "failed" ? 1 : 0;
    }
    log.line("runs of the task that ended failed: " + std::to_string(failed_runs) +
             ", crashes of its workers: " + std::to_string(crashed) + ", state: " + state);
    if (with.trouble && crashed < crashes && state != "failed") {
        return verdict(log, not_run, "the task was not started often enough");
    }
    if (last_run == 0) {
        return verdict(log, not_run, "the task was never started");
    }
    return state == "failed" && failed_runs < 2
               ? verdict(log, broken, "the job is shown as failed, and no run of it has failed")
               : verdict(log, held, "the job is shown as " + state);
}

/// Asks for the jobs `finish_s` after the end of the traffic, and then watches for 8 s which of
/// them have no task at work for 3 s, though none of them waits for another and the workers have
/// room.
int judge_waiting_jobs(deployment& system, record& log, const std::vector<std::string>& ids)
{
    constexpr double finish_s = 14.0;
    constexpr double watched_s = 12.0;
    constexpr double nothing_runs_s = 3.0;
    const double traffic_end = log.seconds();
    log.line("end of the traffic");
    wait_until(log, traffic_end + finish_s);
    std::set<std::string> unfinished;
    for (const std::string& each : ids) {
        const std::string state = state_of(system, each, 0);
        log.line("client: GET " + each + ": " + state);
        if (state == "queued" || state == "running") {
            unfinished.insert(each);
        }
    }
    std::map<std::string, double> idle_since;
    std::map<std::string, double> longest;
    double most_used = 0.0;
    const double until = log.seconds() + watched_s;
    while (log.seconds() < until) {
        std::set<std::string> running;
        std::int64_t used = 0;
        std::int64_t total = 0;
        for (const std::unique_ptr<worker>& each : system.workers) {
            for (const std::string& task : each->running()) {
                running.insert(task.substr(0, task.find('.')));
            }
            used += each->cpu_in_use();
            total += each->settings().cpu;
        }
        most_used = std::max(most_used, static_cast<double>(used) / static_cast<double>(total));
        for (const std::string& each : unfinished) {
            if (running.contains(each)) {
                idle_since.erase(each);
                continue;
            }
            const double since = idle_since.try_emplace(each, log.seconds()).first->second;
            longest[each] = std::max(longest[each], log.seconds() - since);
        }
        pause_ms(20);
    }
    int waiting = 0;
    for (const auto& [id, seconds] : longest) {
        if (seconds > nothing_runs_s) {
            ++waiting;
            log.line("LOST: job " + id + " (" + state_of(system, id, 0) +
                     ") had nothing running for " + std::to_string(seconds) + " s");
        }
    }
    log.line("largest part of the service's cores in use: " + std::to_string(most_used));
    if (most_used >= 0.5) {
        return verdict(log, not_run, "half of the service's capacity was in use");
    }
    return waiting > 0 ? verdict(log, broken,
                                 std::to_string(waiting) + " of " +
                                     std::to_string(unfinished.size()) + " jobs wait")
                       : verdict(log, held, std::to_string(unfinished.size()) + " jobs run");
}

/// A worker crashes and does not come back. Its machine, and the process of the system on it, go
/// on.
int worker_gone(setting& with)
{
    constexpr int gone_ms = 600'000;
    constexpr int after_start_ms = 2'000;
    deployment_options options{with.root, with.folder, 3, 7, false, 1};
    deployment system(options, with.log);
    record& log = with.log;
    run_log runs;
    watch(system, runs);
    system.start();
    if (!warm_up(system, log)) {
        return verdict(log, not_run, "the first manifest was not acknowledged");
    }
    const std::string id = new_id();
    if (!submit(system, log, id, job_body("8000 done 4000 256 1", 1, 4000, 8'000), 1, 10'000)) {
        return verdict(log, not_run, "the job was not accepted");
    }
    pause_ms(after_start_ms);
    const std::vector<worker::event> seen = runs.read();
    if (seen.empty()) {
        return verdict(log, not_run, "the task was not started");
    }
    for (const worker::event& each : seen) {
        if (with.trouble && each.what == "started") {
            for (const std::unique_ptr<worker>& other : system.workers) {
                if (other->own_name() == each.worker) {
                    other->crash(gone_ms);
                }
            }
        }
    }
    return judge_waiting_jobs(system, log, {id});
}

/// One job of twenty can never be done; its tasks fail. More jobs come some seconds later.
int hopeless_job(setting& with)
{
    constexpr int long_before = 19;
    constexpr int long_after = 9;
    constexpr int max_attempts = 3;
    deployment_options options{with.root, with.folder, 3, 3, false, 1};
    deployment system(options, with.log);
    record& log = with.log;
    system.start();
    if (!warm_up(system, log, max_attempts)) {
        return verdict(log, not_run, "the first manifest was not acknowledged");
    }
    const std::string long_job = job_body("600000 done 1000 256 0", 1, 1000, 600'000);
    std::vector<std::string> ids;
    const double window = log.seconds();
    for (int each = 0; each < long_before; ++each) {
        ids.push_back(new_id());
        if (!submit(system, log, ids.back(), long_job, each, 10'000)) {
            return verdict(log, not_run, "a job was not accepted");
        }
        pause_ms(50);
    }
    const std::string hopeless = new_id();
    const std::string spec = with.trouble ? "400 failed 1000 256 0" : "600000 done 1000 256 0";
    if (!submit(system, log, hopeless, job_body(spec, 9, 1000, 600'000), 0, 10'000)) {
        return verdict(log, not_run, "the hopeless job was not accepted");
    }
    log.line("20 jobs in " + std::to_string(log.seconds() - window) + " s, one of them " +
             (with.trouble ? "hopeless" : "of nine tasks"));
    pause_ms(7000);
    log.line("client: GET " + hopeless + ": " + state_of(system, hopeless, 0));
    for (int each = 0; each < long_after; ++each) {
        ids.push_back(new_id());
        if (!submit(system, log, ids.back(), long_job, each, 10'000)) {
            return verdict(log, not_run, "a job was not accepted");
        }
    }
    return judge_waiting_jobs(system, log, ids);
}

/// Many short jobs come at once, and a few long ones after them.
int short_jobs_before_long(setting& with)
{
    constexpr int short_jobs = 5;
    constexpr int long_jobs = 12;
    deployment_options options{with.root, with.folder, 3, 3, false, 1};
    deployment system(options, with.log);
    record& log = with.log;
    system.start();
    if (!warm_up(system, log)) {
        return verdict(log, not_run, "the first manifest was not acknowledged");
    }
    for (int each = 0; each < short_jobs && with.trouble; ++each) {
        if (!submit(system, log, new_id(), job_body("2500 done 1000 256 0", 3, 1000, 2'500), each,
                    10'000)) {
            return verdict(log, not_run, "a job was not accepted");
        }
        pause_ms(1100);
    }
    pause_ms(5000);
    std::vector<std::string> ids;
    for (int each = 0; each < long_jobs; ++each) {
        ids.push_back(new_id());
        if (!submit(system, log, ids.back(), job_body("600000 done 1000 256 0", 1, 1000, 600'000),
                    each, 10'000)) {
            return verdict(log, not_run, "a job was not accepted");
        }
    }
    return judge_waiting_jobs(system, log, ids);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 4) {
        std::fprintf(stderr, "usage: cases NAME ROOT RECORD\n");
        return not_run;
    }
    const std::string name = argv[1];
    record log(argv[3]);
    const char* const trouble = std::getenv("TROUBLE");
    const char* const temporary = std::getenv("TMPDIR");
    std::string folder = std::string(temporary == nullptr ? "/tmp" : temporary) + "/case-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) {
        return not_run;
    }
    setting with{std::filesystem::absolute(argv[2]).string(), folder, log,
                 trouble == nullptr || std::strcmp(trouble, "0") != 0};
    int result = not_run;
    if (name == "worker_gone") {
        result = worker_gone(with);
    }
    else if (name == "founding_cut") {
        result = founding_cut(with);
    }
    else if (name == "crashed_workers") {
        result = crashed_workers(with);
    }
    else if (name == "hopeless_job") {
        result = hopeless_job(with);
    }
    else if (name == "short_jobs_before_long") {
        result = short_jobs_before_long(with);
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    else {
        std::fprintf(stderr, "logs: %s\n", folder.c_str());
    }
    return result;
}
