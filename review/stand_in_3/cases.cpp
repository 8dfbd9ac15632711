// The cases 11 to 14. Usage: cases NAME ROOT RECORD. Exit status: 1 the rule was broken, 0 it held,
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

/// Asks for the jobs `finish_s` after the end of the traffic, and then watches for 12 s which of
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
    deployment_options options{with.root, with.folder, 3, 8};
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

/// A step allows two of its tasks on one worker, and some wait. Two workers crash, one after the
/// other.
int too_many_on_one(setting& with)
{
    constexpr int limit = 2;
    constexpr int down_ms = 4'500;
    constexpr int after_start_ms = 1'000;
    deployment_options options{with.root, with.folder, 3, 8};
    deployment system(options, with.log);
    record& log = with.log;
    run_log runs;
    watch(system, runs);
    system.start();
    if (!warm_up(system, log)) {
        return verdict(log, not_run, "the first manifest was not acknowledged");
    }
    // Sixteen of the 22 tasks find a worker at once.
    const std::string id = new_id();
    const std::string body = json({{"Spec", "600000 done 1000 256 0"},
                                   {"Steps", json::array({{{"Count", 22},
                                                           {"Cpu", 1000},
                                                           {"MemMb", 256},
                                                           {"EstimatedMs", 600'000},
                                                           {"AntiAffinity", limit}}})}})
                                 .dump();
    log.line("client: " + body);
    if (!submit(system, log, id, body, 1, 10'000)) {
        return verdict(log, not_run, "the job was not accepted");
    }
    pause_ms(after_start_ms);
    if (runs.read().empty()) {
        return verdict(log, not_run, "no task was started");
    }
    for (std::size_t each = 0; each < 2; ++each) {
        if (with.trouble) {
            system.workers[each]->crash(down_ms);
        }
        pause_ms(8'000);
    }
    std::vector<worker::event> events = runs.read();
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    std::map<std::string, std::set<std::string>> on_worker;
    int too_many = 0;
    for (const worker::event& each : events) {
        std::set<std::string>& tasks = on_worker[each.worker];
        if (each.what != "started") {
            tasks.erase(each.task);
            continue;
        }
        tasks.insert(each.task);
        if (tasks.size() > limit) {
            ++too_many;
            log.line("ROUTE: " + each.task + " is started on worker " + each.worker + " beside " +
                     std::to_string(tasks.size() - 1) + " others of its step; " +
                     std::to_string(limit) + " may be on one worker");
        }
    }
    return too_many > 0 ? verdict(log, broken, std::to_string(too_many) + " starts too many")
                        : verdict(log, held, "no worker has more than two tasks of the step");
}

/// One job of twenty can never be done; its tasks fail. More jobs come some seconds later.
int hopeless_job(setting& with)
{
    constexpr int long_before = 19;
    constexpr int long_after = 9;
    constexpr int max_attempts = 3;
    deployment_options options{with.root, with.folder, 3, 3};
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
    deployment_options options{with.root, with.folder, 3, 3};
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
    else if (name == "too_many_on_one") {
        result = too_many_on_one(with);
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
