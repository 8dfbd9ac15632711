// The cases of review/6 and later. Usage: review-lab CASE DAEMON REPOSITORY RECORD TROUBLE
// Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
#include <iostream>
#include <signal.h>

#include "lab.h"

using namespace lab;

namespace {

bool broken(const std::string& rule, const std::string& text)
{
    record("RULE " + rule + " BROKEN: " + text);
    return true;
}

bool held(const std::string& text)
{
    record("held: " + text);
    return false;
}

int version_of(const response& answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object() ? body.value("Version", 0) : 0;
}

std::string state_of(const response& answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object() ? body.value("State", "") : "";
}

const std::string first_key = "d4a3hwrr6x73d3zji9n7";
const std::string second_key = "3hh2b9wu3fexd9dnn2ct";

json usual_manifest(int version)
{
    return make_manifest(version, {make_tenant("kaje80", {first_key}, 16), make_tenant("mora11", {second_key}, 16)});
}

std::string kind_a(int)
{
    return "a";
}

/// Worker 10 is the only one of kind b, of 11 or 12.
std::string kind_b_last(int index)
{
    return index == 10 ? "b" : "a";
}

/// The three workers of the first rack are those of kind b.
std::string kind_b_first_rack(int index)
{
    return index < 3 ? "b" : "a";
}

/// Starts everything, as the platform does, and brings the first manifest into force.
void begin(deployment& site)
{
    site.start_all();
    sleep_until_ms(now_ms() + 10'000); // lead_s of the site
    site.put_until_acknowledged(usual_manifest(1), 20'000);
    site.wait_until_ready(20'000);
    std::this_thread::sleep_for(ms(bounds::contact_ms));
}

/// A core machine freezes while the whole system starts for the first time.
bool first_start_freeze(deployment& site, bool trouble)
{
    const long start = now_ms();
    site.start_gateway(0);
    // Until it listens: it has no peer yet, since the other machines start after it.
    while (call(site.gateways[0]->ready, "GET", "/readiness", "", {}, 100).status == 0 && now_ms() < start + 280) {
        std::this_thread::sleep_for(ms(5));
    }
    if (trouble) {
        site.gateways[0]->process->signal(SIGSTOP);
    }
    const long frozen = now_ms();
    if (frozen > start + 280) {
        throw cannot_run("the first gateway takes more than 0.28 s to start; all machines start within 0.3 s");
    }
    site.start_rest(0);
    constexpr int freeze_ms = 6000;
    sleep_until_ms(frozen + freeze_ms);
    if (trouble) {
        site.gateways[0]->process->signal(SIGCONT);
    }
    sleep_until_ms(frozen + freeze_ms + 4000 + bounds::contact_ms); // CatchUpS and ContactMs after the freeze
    record("traffic starts");
    // Every 2 s the operator sends a manifest and a client a job, each to one gateway after the other. A second copy of
    // the job arrives at another gateway 3 s after the ack. 1 s later the job and the manifest are read everywhere.
    struct sent_job {
        std::string id;
        std::size_t at;
        long accepted;
        bool copied = false, read = false;
    };
    std::vector<sent_job> jobs;
    std::vector<std::pair<long, int>> acknowledged;
    std::string stale, lost;
    const auto version_due = [&acknowledged](long sent) {
        int due = 0;
        for (const auto& [at, version] : acknowledged) {
            due = sent > at + bounds::config_apply_ms ? std::max(due, version) : due;
        }
        return due;
    };
    const long traffic = now_ms();
    int version = 1;
    for (std::size_t round = 0; now_ms() < traffic + 40'000; ++round) {
        const std::size_t at = round % site.gateways.size();
        if (round < 12) {
            version += 2;
            if (site.put_manifest(at, usual_manifest(version)).status == 200) {
                acknowledged.emplace_back(now_ms(), version);
            }
            const std::string id = job_id(static_cast<unsigned>(round) + 1);
            if (site.submit(at, "/recount/", id, {{1, 2800, 4100, 1, 6000}}, first_key).status == 200) {
                jobs.push_back({id, at, now_ms()});
            }
        }
        sleep_until_ms(traffic + static_cast<long>(round + 1) * 2000);
        for (sent_job& each : jobs) {
            if (!each.copied && now_ms() > each.accepted + 3000) {
                each.copied = true;
                site.submit((each.at + 1) % site.gateways.size(), "/recount/", each.id, {{1, 2800, 4100, 1, 6000}},
                            first_key);
            }
            else if (!each.read && now_ms() > each.accepted + bounds::visible_ms + 1000) {
                each.read = true;
                for (std::size_t other = 0; other < site.gateways.size(); ++other) {
                    if (site.status(other, "/recount/", each.id, first_key).status == 410) {
                        lost = "gateway " + std::to_string(other) + " answers 410 for job " + each.id +
                               ", accepted by gateway " + std::to_string(each.at) + " and cancelled by nobody";
                    }
                    const int due = version_due(now_ms());
                    const int found = version_of(site.get_manifest(other));
                    if (found > 0 && found < due) {
                        stale = "gateway " + std::to_string(other) + " reads version " + std::to_string(found) +
                                " back over 2 s after the ack of version " + std::to_string(due);
                    }
                }
            }
        }
    }
    const std::string twice = worker::find_second_run();
    for (const auto& [rule, text] : {std::pair<std::string, std::string>("TWICE", twice), {"LOST", lost}, {"CONFIG", stale}}) {
        if (!text.empty()) {
            broken(rule, text);
        }
    }
    if (acknowledged.empty() || jobs.empty()) {
        throw cannot_run("nothing was accepted");
    }
    return !twice.empty() || !lost.empty() || !stale.empty() ||
           held(std::to_string(jobs.size()) + " jobs and " + std::to_string(acknowledged.size()) +
                " manifests accepted, none lost, none run twice");
}

/// The only worker of a kind fails all that it starts for some seconds, and is sound again.
bool sound_again(deployment& site, bool trouble)
{
    begin(site);
    worker& only = *site.workers[10];
    const long start = now_ms();
    if (trouble) {
        only.set_failing(true);
        record("worker w10, the only one of kind b, fails all that it starts from now on");
    }
    site.submit_until_accepted("/recount/", job_id(1), {{8, 2800, 4100, 1, 5000, false, false, "b"}}, first_key);
    sleep_until_ms(start + 6500);
    only.set_failing(false);
    record("worker w10 is sound");
    site.submit_until_accepted("/recount/", job_id(2), {{1, 2800, 4100, 1, 2000, false, false, "b"}}, first_key);
    const long traffic_end = now_ms();
    record("end of the traffic");
    sleep_until_ms(traffic_end + bounds::finish_ms);
    const std::string state = state_of(site.status(3, "/recount/", job_id(2), first_key));
    if (state == "completed") {
        return held("the job is completed");
    }
    const long from = now_ms();
    bool idle = true;
    while (now_ms() < from + 3000) {
        idle = idle && only.gpus_in_use() == 0;
        std::this_thread::sleep_for(ms(50));
    }
    int used = 0;
    for (const auto& each : site.workers) {
        used += each->gpus_in_use();
    }
    record("GPUs in use: " + std::to_string(used) + " of " + std::to_string(8 * site.workers.size()));
    if (idle && !worker::has_started(job_id(2)) && used < 44) {
        return broken("LOST", "14 s after the end of the traffic the job, " + state +
                                  ", has nothing running for 3 s, while w10 has been idle and sound for " +
                                  std::to_string(now_ms() - start - 6500) + " ms");
    }
    return held("the job runs");
}

/// A worker goes down and up by turns; the job that needs its kind never ends as failed.
bool flapping(deployment& site, bool trouble)
{
    begin(site);
    worker& only = *site.workers[10];
    site.submit_until_accepted("/crate/", job_id(1), {{1, 13000, 26000, 1, 5000, false, false, "b"}}, first_key);
    const long start = now_ms();
    // Period 0.88 s for 7.1 s, share 0.12: one of 11 workers.
    constexpr int period_ms = 880;
    for (int each = 0; each < 8; ++each) {
        sleep_until_ms(start + each * period_ms + period_ms / 2);
        if (trouble) {
            only.crash();
        }
        sleep_until_ms(start + (each + 1) * period_ms);
        if (trouble) {
            only.restart(false);
        }
    }
    const long until = now_ms() + 30'000;
    std::string state;
    while (now_ms() < until) {
        state = state_of(site.status(3, "/crate/", job_id(1), first_key));
        if (state == "completed" || state == "failed") {
            break;
        }
        std::this_thread::sleep_for(ms(1000));
    }
    long failed_ends = 0;
    for (const end_event& each : worker::ends) {
        failed_ends += each.how == "failed" ? 1 : 0;
    }
    if (state == "failed") {
        return broken("LOST", "the job is shown as failed; its runs that ended `failed`: " +
                                  std::to_string(failed_ends));
    }
    return held("the job is shown as " + state);
}

/// A channel between two machines goes silent after a job was passed on, and the key is taken away.
bool silent_channel(deployment& site, bool trouble)
{
    begin(site);
    for (int each = 0; each < 3; ++each) {
        site.pending(3, "/price/", first_key);
    }
    if (trouble) {
        relay::silence_channel_with(job_id(1));
    }
    response answer;
    std::thread client([&] {
        answer = site.submit(3, "/price/", job_id(1), {{1, 3700, 7600, 1, 2500}}, first_key);
    });
    const long until = now_ms() + 1000;
    while (trouble && !relay::has_silenced() && now_ms() < until) {
        std::this_thread::sleep_for(ms(5));
    }
    std::this_thread::sleep_for(ms(200));
    site.put_until_acknowledged(
        make_manifest(2, {make_tenant("kaje80", {"a-new-key-of-kaje80"}, 16), make_tenant("mora11", {second_key}, 16)}),
        10'000);
    client.join();
    const long end = now_ms() + 8000;
    while (now_ms() < end && !worker::has_started(job_id(1))) {
        std::this_thread::sleep_for(ms(50));
    }
    const bool rejected = answer.status == 429 || answer.status == 503 || (answer.status >= 400 && answer.status < 500);
    if (rejected && worker::has_started(job_id(1))) {
        return broken("REFUSED", "the only attempt to hand the job in was answered " + std::to_string(answer.status) +
                                     ", and its task started");
    }
    return held("answer " + std::to_string(answer.status) + ", started " +
                std::to_string(worker::has_started(job_id(1))));
}

/// The only worker of a kind answers 503 to starts for some seconds.
bool shedding(deployment& site, bool trouble)
{
    begin(site);
    worker& only = *site.workers[10];
    const long start = now_ms();
    if (trouble) {
        only.set_shedding(true);
        record("worker w10, the only one of kind b, answers 503 to each start from now on");
    }
    constexpr unsigned jobs = 4;
    for (unsigned each = 1; each <= jobs; ++each) {
        site.submit_until_accepted("/recount/", job_id(each), {{1, 2800, 4100, 1, 2000, false, false, "b"}}, first_key,
                                   1000);
    }
    const long accepted = now_ms();
    sleep_until_ms(accepted + bounds::visible_ms + 2000 + 50);
    while (now_ms() < start + 6400) {
        for (std::size_t each = 0; each < site.gateways.size(); ++each) {
            const response answer = site.pending(each, "/recount/", first_key);
            unsigned waiting = 0;
            for (unsigned job = 1; job <= jobs; ++job) {
                waiting += worker::has_started(job_id(job)) ? 0 : 1;
            }
            const json body = json::parse(answer.body, nullptr, false);
            if (answer.status == 200 && body.is_object() && body.value("Pending", 0U) * 2 < waiting) {
                only.set_shedding(false);
                return broken("MIXED", "gateway " + std::to_string(each) + " gives Pending " +
                                            std::to_string(body.value("Pending", 0U)) + " while " +
                                            std::to_string(waiting) + " jobs accepted over 5 s ago have not begun");
            }
        }
        std::this_thread::sleep_for(ms(200));
    }
    only.set_shedding(false);
    return held("Pending fits");
}

/// A tenant's lasting job uses all accelerators; another tenant claims what is guaranteed to it.
bool lasting_borrower(deployment& site, bool trouble)
{
    begin(site);
    if (trouble) {
        // The widest job of the site's classes has 55 tasks.
        step_spec lasting{44, 1000, 2000, 1, 1000};
        lasting.lasts = true;
        site.submit_until_accepted("/recount/", job_id(1), {lasting}, second_key);
        site.submit_until_accepted("/recount/", job_id(3), {lasting}, second_key);
        std::this_thread::sleep_for(ms(5000));
        int used = 0;
        for (const auto& each : site.workers) {
            used += each->gpus_in_use();
        }
        record("the lasting jobs of mora11 use " + std::to_string(used) + " of 88 GPUs");
    }
    site.submit_until_accepted("/price/", job_id(2), {{2, 3700, 7600, 8, 2500}}, first_key);
    const long accepted = now_ms();
    while (now_ms() < accepted + 30'000) {
        std::set<std::string> begun;
        {
            const std::lock_guard<std::mutex> guard(worker::events_lock);
            for (const start_event& each : worker::starts) {
                if (job_book::job_of(each.task) == job_id(2)) {
                    begun.insert(each.task);
                }
            }
        }
        if (begun.size() == 2) {
            const long took = now_ms() - accepted;
            return took <= bounds::reclaim_ms ? held("begun after " + std::to_string(took) + " ms")
                                              : broken("RECLAIM", "begun after " + std::to_string(took) + " ms");
        }
        std::this_thread::sleep_for(ms(20));
    }
    const std::string state = state_of(site.status(3, "/price/", job_id(2), first_key));
    return broken("RECLAIM", "30 s after its ack the job of priority 0, 16 of 16 guaranteed GPUs, has not begun; "
                             "shown as " + state);
}

/// A tenant's lasting job uses all accelerators; another tenant claims what is guaranteed to it.
bool urgent_borrower(deployment& site, bool trouble)
{
    begin(site);
    if (trouble) {
        // The widest job of the site's classes has 55 tasks.
        step_spec lasting{44, 1000, 2000, 1, 24'000};
        site.submit_until_accepted("/price/", job_id(1), {lasting}, second_key);
        site.submit_until_accepted("/price/", job_id(3), {lasting}, second_key);
        std::this_thread::sleep_for(ms(5000));
        int used = 0;
        for (const auto& each : site.workers) {
            used += each->gpus_in_use();
        }
        record("the lasting jobs of mora11 use " + std::to_string(used) + " of 88 GPUs");
    }
    site.submit_until_accepted("/price/", job_id(2), {{2, 3700, 7600, 8, 2500}}, first_key);
    const long accepted = now_ms();
    while (now_ms() < accepted + 30'000) {
        std::set<std::string> begun;
        {
            const std::lock_guard<std::mutex> guard(worker::events_lock);
            for (const start_event& each : worker::starts) {
                if (job_book::job_of(each.task) == job_id(2)) {
                    begun.insert(each.task);
                }
            }
        }
        if (begun.size() == 2) {
            const long took = now_ms() - accepted;
            return took <= bounds::reclaim_ms ? held("begun after " + std::to_string(took) + " ms")
                                              : broken("RECLAIM", "begun after " + std::to_string(took) + " ms");
        }
        std::this_thread::sleep_for(ms(20));
    }
    const std::string state = state_of(site.status(3, "/price/", job_id(2), first_key));
    return broken("RECLAIM", "30 s after its ack the job of priority 0, 16 of 16 guaranteed GPUs, has not begun; "
                             "shown as " + state);
}

/// A gang waits for all workers of a kind; a small job that fits into their idle rest waits with it.
bool reserved_kind(deployment& site, bool trouble)
{
    begin(site);
    // A task whose data is in another rack takes three times as long (RemotePenalty): 33 s.
    step_spec remote{1, 2800, 4100, 1, 33'000, false, false, "b"};
    remote.affinity = "r1-2";
    site.submit_until_accepted("/recount/", job_id(1), {remote}, first_key);
    std::this_thread::sleep_for(ms(2500));
    if (trouble) {
        step_spec gang{3, 13000, 26000, 8, 11'000, false, false, "b"};
        gang.gang = true;
        site.submit_until_accepted("/crate/", job_id(2), {gang}, second_key);
        std::this_thread::sleep_for(ms(3000));
    }
    site.submit_until_accepted("/recount/", job_id(3), {{1, 2800, 4100, 1, 3000, false, false, "b"}}, first_key);
    const long traffic_end = now_ms();
    record("end of the traffic");
    sleep_until_ms(traffic_end + bounds::finish_ms);
    const std::string state = state_of(site.status(3, "/recount/", job_id(3), first_key));
    if (state == "completed") {
        return held("the job is completed");
    }
    const long from = now_ms();
    int most = 0;
    while (now_ms() < from + 3000) {
        int used = 0;
        for (const auto& each : site.workers) {
            used += each->gpus_in_use();
        }
        most = std::max(most, used);
        std::this_thread::sleep_for(ms(50));
    }
    if (!worker::has_started(job_id(3)) && most < 44) {
        return broken("LOST", "14 s after the end of the traffic the job, " + state +
                                  ", has nothing running for 3 s, and at most " + std::to_string(most) +
                                  " of 88 GPUs are in use");
    }
    return held("the job runs");
}

struct case_entry {
    bool (*run)(deployment&, bool);
    deployment_plan plan;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6) {
        std::cerr << "usage: review-lab CASE DAEMON REPOSITORY RECORD TROUBLE\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const std::map<std::string, case_entry> cases{
        {"first_start_freeze", {first_start_freeze, {1, 4, true, 3500, kind_a}}},
        {"sound_again", {sound_again, {1, 12, false, 0, kind_b_last}}},
        {"flapping", {flapping, {1, 11, false, 0, kind_b_last}}},
        {"silent_channel", {silent_channel, {1, 11, true, 0, kind_a}}},
        {"shedding", {shedding, {1, 11, false, 0, kind_b_last}}},
        {"reserved_kind", {reserved_kind, {1, 11, false, 0, kind_b_first_rack}}},
        {"urgent_borrower", {urgent_borrower, {1, 11, false, 0, kind_a}}},
        {"lasting_borrower", {lasting_borrower, {1, 11, false, 0, kind_a}}},
    };
    const auto chosen = cases.find(argv[1]);
    if (chosen == cases.end()) {
        std::cerr << "unknown case\n";
        return 2;
    }
    try {
        open_record(argv[4]);
        const bool trouble = std::string(argv[5]) != "0";
        record("case " + chosen->first + ", TROUBLE=" + (trouble ? "1" : "0"));
        deployment site(chosen->second.plan, argv[2], argv[3]);
        return chosen->second.run(site, trouble) ? 1 : 0;
    }
    catch (const std::exception& error) {
        record(std::string("the case could not run: ") + error.what());
        std::cerr << error.what() << "\n";
        return 2;
    }
}
