#include "stand_in.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>

/// The scenarios of review/N/run.sh. Usage: scenario NAME REPOSITORY RECORD_FILE
/// Exit status: 1 if the rule was broken, 0 if it held, 2 if the scenario could not run.

namespace review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

bool trouble = true;

int verdict(bool is_broken, const std::string& line)
{
    record((is_broken ? "BROKEN: " : "held: ") + line);
    return is_broken ? broken : held;
}

/// Starts the deployment and installs manifest 1.
bool begin(deployment& target)
{
    target.start();
    sleep_ms(2000);
    return target.put_manifest(1, 20'000);
}

std::size_t count_starts(deployment& target, const std::string& job)
{
    std::size_t count = 0;
    for (const std::unique_ptr<worker>& each : target.workers) {
        for (const start_record& start : each->starts()) {
            count += start.task.starts_with(job) ? 1 : 0;
        }
    }
    return count;
}

/// Index of the worker that runs a task of the job; -1: none.
int runner_of(deployment& target, const std::string& job)
{
    for (std::size_t index = 0; index < target.workers.size(); ++index) {
        for (const std::string& each : target.workers[index]->running()) {
            if (each.starts_with(job)) {
                return static_cast<int>(index);
            }
        }
    }
    return -1;
}

int wait_for_runner(deployment& target, const std::string& job, std::int64_t timeout_ms)
{
    const std::int64_t end = now_ms() + timeout_ms;
    int found = -1;
    while (found < 0 && now_ms() < end) {
        sleep_ms(20);
        found = runner_of(target, job);
    }
    return found;
}

// --- disks ----------------------------------------------------------------------------------------

/// One machine with a disk after another loses its disk. Each is back for 10 s before the next one
/// is lost.
int disks()
{
    deployment target(3, 3);
    if (!begin(target)) {
        return not_run;
    }
    const std::string job = "00000000000000a1";
    if (target.submit(job, one_step(1, 1000, 0, 600'000), spec_of(600'000), 10'000) != 200) {
        return not_run;
    }
    const int leader = target.leader();
    if (leader < 0) {
        return not_run;
    }
    const std::size_t first = leader == 0 ? 1 : 0;
    const std::size_t second = 3 - first - static_cast<std::size_t>(leader);
    record("the leader is " + target.gateways[static_cast<std::size_t>(leader)].ip);
    std::uint64_t version = 1;
    for (const std::size_t each : {first, first, second, second}) {
        if (trouble) {
            target.lose_disk(each, 500);
        }
        sleep_ms(10'000);
        target.restart_ended();
        if (!target.put_manifest(++version, 4000)) {
            --version;
            break;
        }
    }
    // RecoveryS is 12: the first requests below are sent later than that after the last loss.
    sleep_ms(8000);
    const std::int64_t end = now_ms() + 30'000;
    int served = 0;
    int asked = 0;
    while (now_ms() < end && served == 0) {
        target.restart_ended();
        ++asked;
        int status = 0;
        const std::string state = target.state(job, status, 2000);
        served += state == "running" ? 1 : 0;
        served += target.get_manifest(2000) >= version ? 1 : 0;
    }
    return verdict(served == 0, "the accepted job and the manifest were asked for " +
                                    std::to_string(asked) + " times over 30 s; answered: " +
                                    std::to_string(served) + "; processes that ended by themselves: " +
                                    std::to_string(target.unexpected_ends()));
}

// --- suspension -----------------------------------------------------------------------------------

/// The machine of a worker is suspended for 7.1 s just after a run on it has ended done.
int suspension()
{
    deployment target(3, 3);
    if (!begin(target)) {
        return not_run;
    }
    sleep_ms(2000);
    std::atomic<int> suspended{-1};
    std::atomic<std::int64_t> suspended_at{0};
    for (std::size_t index = 0; trouble && index < target.workers.size(); ++index) {
        target.workers[index]->on_end = [&target, &suspended, &suspended_at,
                                         index](const std::string&, const std::string& how) {
            if (how == "done" && suspended == -1) {
                suspended = static_cast<int>(index);
                suspended_at = now_ms();
                target.supervisors[index]->signal(SIGSTOP);
                target.workers[index]->suspend();
                record("the machine " + target.workers[index]->ip + " is suspended");
            }
        };
    }
    const std::string job = "00000000000000a2";
    if (target.submit(job, one_step(1, 1000, 0, 3500), spec_of(3500), 10'000) != 200) {
        return not_run;
    }
    sleep_ms(5000);
    if (trouble && suspended < 0) {
        return not_run;
    }
    if (trouble) {
        const std::size_t index = static_cast<std::size_t>(suspended.load());
        sleep_ms(std::max<std::int64_t>(0, suspended_at + 7100 - now_ms()));
        target.workers[index]->resume();
        target.supervisors[index]->signal(SIGCONT);
        record("the machine " + target.workers[index]->ip + " goes on");
    }
    sleep_ms(10'000);
    std::size_t twice = 0;
    for (const std::unique_ptr<worker>& each : target.workers) {
        for (const end_record& end : each->noted_ends()) {
            for (const std::unique_ptr<worker>& other : target.workers) {
                for (const start_record& start : other->starts()) {
                    if (end.how == "done" && start.task == end.task && start.at > end.ended_at) {
                        ++twice;
                        record("TWICE: " + end.task + " had ended done at " +
                               std::to_string(end.ended_at) + " ms (run " +
                               std::to_string(end.number) + "), was started at " +
                               std::to_string(start.at) + " ms (run " +
                               std::to_string(start.number) + "), and its first end was taken "
                               "note of at " + std::to_string(end.noted_at) +
                               " ms, without a lapse of the lease");
                    }
                }
            }
        }
    }
    return verdict(twice > 0, "starts after an end that was taken note of: " +
                                  std::to_string(twice));
}

// --- cancelling -----------------------------------------------------------------------------------

/// A client hands its job in at a machine of the core, not the leader, that is frozen. It gets no
/// answer within its time limit and cancels the job at another machine. Then the first one wakes.
/// Judged 10 s later: ContactMs (3 s) after the last disturbance, and then cancel_ms (3 s) and
/// StopGraceMs (0.2 s).
int cancelling()
{
    deployment target(3, 3);
    if (!begin(target)) {
        return not_run;
    }
    sleep_ms(2000);
    const int leader = target.leader();
    if (leader < 0) {
        return not_run;
    }
    const std::string job = "00000000000000f1";
    const std::string body =
        json{{"Spec", spec_of(60'000)}, {"Steps", one_step(1, 1000, 0, 60'000)}}.dump();
    const headers_type headers{
        {"Host", queue_host}, {"Api-Key", api_key}, {"X-Deadline-Ms", "3000"}};
    gateway& first = target.gateways[leader == 0 ? 1 : 0];
    const gateway& other = target.gateways[static_cast<std::size_t>(leader)];
    const std::int64_t frozen_at = now_ms();
    if (trouble) {
        first.process->signal(SIGSTOP);
        record("gateway " + first.ip + " is frozen");
    }
    const http_reply reply =
        call(first.ip, ports().front, "POST", queue_prefix + job, body, headers, 3000);
    record("client: POST job " + job + " at " + first.ip + " -> " +
           (reply.status == 0 ? reply.error : std::to_string(reply.status)));
    int status = 0;
    for (int attempt = 0; attempt < 10 && status != 200 && status != 410; ++attempt) {
        const http_reply answer = call(other.ip, ports().front, "DELETE", queue_prefix + job, "",
                                       headers, 3000);
        status = answer.status;
        record("client: DELETE job " + job + " at " + other.ip + " -> " + std::to_string(status));
    }
    if (status != 200 && status != 410) {
        return not_run;
    }
    sleep_ms(std::max<std::int64_t>(0, 7000 - (now_ms() - frozen_at)));
    if (trouble) {
        first.process->signal(SIGCONT);
        record("gateway " + first.ip + " wakes");
    }
    sleep_ms(10'000);
    const bool runs = runner_of(target, job) >= 0;
    target.state(job, status, 3000);
    return verdict(runs, std::string("10 s after that a task of the cancelled job ") +
                             (runs ? "runs" : "does not run"));
}

// --- not among the cases --------------------------------------------------------------------------

/// A start is left unanswered and carried out 5 s later; meanwhile the worker crashes and is back
/// under its id, and its supervisor is down.
int late_start()
{
    deployment target(3, 3);
    for (const std::unique_ptr<worker>& each : target.workers) {
        each->first_clock = 482'113;
        each->hold_up = trouble ? 5000 : 0;
    }
    if (!begin(target)) {
        return not_run;
    }
    sleep_ms(2000);
    const std::string job = "00000000000000a3";
    if (target.submit(job, one_step(1, 1000, 0, 20'000), spec_of(20'000), 10'000) != 200) {
        return not_run;
    }
    int index = -1;
    for (const std::int64_t end = now_ms() + 3000; trouble && index < 0 && now_ms() < end;) {
        sleep_ms(10);
        for (std::size_t each = 0; each < target.workers.size(); ++each) {
            index = target.workers[each]->hold_up == 0 ? static_cast<int>(each) : index;
        }
    }
    if (trouble && index < 0) {
        return not_run;
    }
    for (const std::unique_ptr<worker>& each : target.workers) {
        each->hold_up = 0;
    }
    if (trouble) {
        sleep_ms(300);
        record("the supervisor of that worker is killed");
        target.supervisors[static_cast<std::size_t>(index)]->kill();
        worker& chosen = *target.workers[static_cast<std::size_t>(index)];
        chosen.crash();
        chosen.first_clock = 1000;
        sleep_ms(700);
        chosen.begin_life(true);
    }
    std::int64_t overlap_ms = 0;
    for (const std::int64_t end = now_ms() + 9000; now_ms() < end; sleep_ms(20)) {
        std::size_t running = 0;
        for (const std::unique_ptr<worker>& each : target.workers) {
            for (const std::string& task : each->running()) {
                running += task.starts_with(job) ? 1 : 0;
            }
        }
        overlap_ms += running > 1 ? 20 : 0;
    }
    return verdict(overlap_ms > 0, "two runs of the task at once for about " +
                                       std::to_string(overlap_ms) + " ms");
}

/// Another writer sends one heartbeat for each worker, with a service that no manifest names.
int foreign_heartbeat()
{
    deployment target(3, 3);
    if (!begin(target)) {
        return not_run;
    }
    sleep_ms(2000);
    for (std::size_t each = 0; trouble && each < target.workers.size(); ++each) {
        json body = target.workers[each]->heartbeat_body();
        body["Service"] = "other-one";
        body["Sequence"] = 1000;
        target.workers[each]->send_heartbeat(body);
    }
    sleep_ms(500);
    const std::string job = "00000000000000a4";
    if (target.submit(job, one_step(1, 1000, 0, 1000), spec_of(1000), 5000) != 200) {
        return not_run;
    }
    sleep_ms(25'000);
    const std::size_t starts = count_starts(target, job);
    return verdict(starts == 0, "starts of the accepted job within 25 s: " + std::to_string(starts));
}

// --- lasting tasks --------------------------------------------------------------------------------

/// A lasting task ends done. It must be restarted however it ends.
int lasting()
{
    deployment target(3, 3);
    if (!begin(target)) {
        return not_run;
    }
    sleep_ms(2000);
    const std::string job = "00000000000000c1";
    json steps = one_step(1, 1000, 0, 1000);
    steps[0]["LongRunning"] = true;
    const std::string spec = spec_of(trouble ? 5000 : 600'000, "done", 1000, 0, true);
    if (target.submit(job, steps, spec, 10'000) != 200) {
        return not_run;
    }
    if (wait_for_runner(target, job, 15'000) < 0) {
        return not_run;
    }
    sleep_ms(30'000);
    int status = 0;
    const std::string state = target.state(job, status, 10'000);
    const std::size_t starts = count_starts(target, job);
    const bool at_work = runner_of(target, job) >= 0;
    if (status != 200) {
        return not_run;
    }
    return verdict(state == "completed" || (trouble && starts < 2) || (!trouble && !at_work),
                   "30 s after its start the lasting job, which nobody cancelled, is shown as " +
                       state + "; starts: " + std::to_string(starts));
}

// --- pending --------------------------------------------------------------------------------------

/// Ten jobs need the one worker of their kind, which is unhealthy and refuses starts.
int pending()
{
    deployment target(3, 11);
    target.workers[0]->kind = "b";
    if (!begin(target)) {
        return not_run;
    }
    sleep_ms(2000);
    target.workers[0]->set_healthy(!trouble);
    json steps = one_step(1, 1000, 0, 60'000);
    steps[0]["Requirements"] = "b";
    for (int index = 0; index < 10; ++index) {
        char id[32];
        std::snprintf(id, sizeof id, "00000000000000d%x", index);
        if (target.submit(id, steps, spec_of(60'000), 5000) != 200) {
            return not_run;
        }
    }
    const std::size_t unhealthy_for_ms = 6400;
    sleep_ms(static_cast<std::int64_t>(unhealthy_for_ms));
    std::int64_t begun = 0;
    for (int index = 0; index < 10; ++index) {
        char id[32];
        std::snprintf(id, sizeof id, "00000000000000d%x", index);
        begun += count_starts(target, id) > 0 ? 1 : 0;
    }
    bool wrong = false;
    for (std::size_t each = 0; each < target.gateways.size(); ++each) {
        std::int64_t value = -1;
        const int status = target.pending(each, value);
        record("client: GET " + queue_prefix + " at " + target.gateways[each].ip + " -> " +
               std::to_string(status) + " Pending " + std::to_string(value) +
               "; jobs that have not begun: " + std::to_string(10 - begun));
        wrong |= status == 200 && 2 * value < 10 - begun;
    }
    return verdict(wrong, "starts that the worker refused: " +
                              std::to_string(target.workers[0]->refused_starts()));
}

// --- evacuation -----------------------------------------------------------------------------------

/// An order to take a zone back, sent to a machine that is frozen, is sent again elsewhere and
/// acknowledged. Then the zone is evacuated anew, and the machine wakes.
int evacuation()
{
    deployment target(3, 3);
    if (!begin(target)) {
        return not_run;
    }
    const int leader = target.leader();
    if (leader < 0) {
        return not_run;
    }
    const std::size_t frozen = leader == 0 ? 1 : 0;
    const std::size_t other = 3 - frozen - static_cast<std::size_t>(leader);
    const std::string zone = "scl-c";
    if (target.evacuate(other, zone, true, 1000) != 200) {
        return not_run;
    }
    sleep_ms(3000);
    if (trouble) {
        record("gateway " + target.gateways[frozen].ip + " is frozen");
        target.gateways[frozen].process->signal(SIGSTOP);
        sleep_ms(200);
    }
    const std::int64_t frozen_at = now_ms();
    if (target.evacuate(frozen, zone, false, 1000) != 200 &&
        target.evacuate(other, zone, false, 1000) != 200) {
        return not_run;
    }
    sleep_ms(500);
    if (target.evacuate(other, zone, true, 1000) != 200) {
        return not_run;
    }
    const std::int64_t acknowledged = now_ms();
    sleep_ms(4000 - (now_ms() - frozen_at));
    if (trouble) {
        target.gateways[frozen].process->signal(SIGCONT);
        record("gateway " + target.gateways[frozen].ip + " wakes");
    }
    sleep_ms(7000);
    json steps = one_step(3, 1000, 0, 1000);
    steps[0]["AntiAffinity"] = 1;
    const std::string job = "00000000000000e1";
    if (target.submit(job, steps, spec_of(1000), 5000) != 200) {
        return not_run;
    }
    sleep_ms(5000);
    std::size_t starts = 0;
    for (const std::unique_ptr<worker>& each : target.workers) {
        for (const start_record& start : each->starts()) {
            starts += each->zone == zone && start.at > acknowledged + 5000 ? 1 : 0;
        }
    }
    return verdict(starts > 0, "starts in " + zone + " later than 5 s after the ack of its "
                               "evacuation, which nobody has taken back since: " +
                                   std::to_string(starts));
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    using namespace review;
    if (argc != 4) {
        std::fprintf(stderr, "usage: scenario NAME REPOSITORY RECORD_FILE\n");
        return not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* const chosen = std::getenv("TROUBLE");
    trouble = chosen == nullptr || std::string(chosen) != "0";
    const std::string name = argv[1];
    places().repository = argv[2];
    places().program = (places().repository / "target/bin/redwingwheeld").string();
    char folder[] = "/tmp/redwingwheel-review-XXXXXX";
    if (::mkdtemp(folder) == nullptr || !std::filesystem::exists(places().program)) {
        std::fprintf(stderr, "no temporary folder, or %s is not built\n", places().program.c_str());
        return not_run;
    }
    places().folder = folder;
    open_record(argv[3]);
    record("scenario " + name + (trouble ? "" : " without the disruption"));
    const std::map<std::string, int (*)()> scenarios{{"disks", disks},
                                                     {"suspension", suspension},
                                                     {"lasting", lasting},
                                                     {"cancelling", cancelling},
                                                     {"late_start", late_start},
                                                     {"foreign_heartbeat", foreign_heartbeat},
                                                     {"pending", pending},
                                                     {"evacuation", evacuation}};
    int status = not_run;
    try {
        const auto found = scenarios.find(name);
        status = found == scenarios.end() ? not_run : found->second();
    }
    catch (const std::exception& error) {
        record(std::string("could not run: ") + error.what());
    }
    if (status == not_run) {
        record("the scenario could not run");
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder);
    }
    else {
        std::printf("kept %s\n", folder);
    }
    return status;
}
