#include <deque>
#include <limits>
#include <random>
#include <utility>

#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

/// A leader and workers that start whatever they are told to, with delays on all ways, random jobs
/// and capacities that change. One tick is 25 ms.
namespace {

constexpr milliseconds tick{25};
constexpr int max_report_delay = 4; ///< From a change of the capacity to the leader, in ticks.
constexpr int max_order_delay = 4;  ///< From the leader to the supervisor.
constexpr int max_call_delay = 3;   ///< From the supervisor to the worker.
/// A start counts as excessive when it exceeds all capacities of this many last ticks.
constexpr int grace = max_report_delay + max_order_delay + 2 * max_call_delay + 2;
constexpr int start_window = 60;  ///< For which the supervisor repeats an unanswered start.
constexpr int max_end_skew = 12;  ///< Between the ends of the members of a gang.
constexpr int max_stop_time = 60; ///< For which a run that is being stopped goes on.
constexpr int never = std::numeric_limits<int>::max();
constexpr std::int64_t full_accelerators = 8;
constexpr std::int64_t full_cpu = 32000;

struct simulated_run {
    resources need;
    int duration = 0;
    int ends_at = never;
    bool stopping = false;
};

/// Orders of an answer on its way to the supervisor.
struct answer_under_way {
    int arrives_at = 0;
    std::set<run_id> desired;
};

/// A start or stop on its way to the worker.
struct call_under_way {
    int arrives_at = 0;
    run_id run;
    bool stop = false;
};

struct report_under_way {
    int arrives_at = 0;
    resources capacity;
    std::vector<run_progress> running;
    std::vector<ended_run> ends;
    std::vector<run_id> refused;
};

struct simulated_worker {
    std::string id;
    std::deque<resources> capacities; ///< Of the last `grace` ticks; the newest is the last.
    std::map<run_id, simulated_run> running;
    std::set<run_id> no_longer_started; ///< Stopped or ended here.
    std::vector<ended_run> ends;
    std::uint64_t ended_count = 0;
    // Its supervisor.
    std::set<run_id> desired;
    std::map<run_id, int> start_until;
    std::set<run_id> stopped;
    std::set<run_id> refused;
    std::deque<answer_under_way> answers;
    std::deque<report_under_way> reports;
    bool known_to_leader = true;
    std::vector<call_under_way> calls;
};

class capacity_simulation {
public:
    explicit capacity_simulation(std::uint32_t seed) : random(seed)
    {
        for (const char* const id : {"a", "b", "c", "d"}) {
            this->w.add_worker(id, id < std::string("c") ? "r1" : "r2");
            simulated_worker& added = this->workers[id];
            added.id = id;
            added.capacities.assign(grace, this->w.workers[id].capacity);
        }
    }

    void run(int ticks, bool disturbed)
    {
        for (int each = 0; each < ticks; ++each) {
            ++this->now;
            this->w.advance_time(tick);
            if (disturbed) {
                this->disturb();
            }
            for (auto& [id, worker] : this->workers) {
                this->advance_worker(worker);
                this->advance_supervisor(worker);
                this->deliver_reports(worker);
            }
            this->w.decide();
            this->send_answers();
        }
    }

    void restore_capacities()
    {
        for (auto& [id, worker] : this->workers) {
            worker.capacities.back() = {full_cpu, 64000, full_accelerators};
        }
    }

    /// Submits more than fits on all workers.
    void submit_backlog()
    {
        this->w.submit("backlog", "batch", 40, 1, false, false, "other", 600'000);
    }

    [[nodiscard]] bool all_accelerators_in_use() const
    {
        return std::all_of(this->workers.begin(), this->workers.end(), [](const auto& each) {
            return usage(each.second).accelerators == full_accelerators;
        });
    }

    int excessive_starts = 0;
    int starts = 0;
    int starts_on_shrunk = 0;

private:
    int pick(int from, int to)
    {
        return std::uniform_int_distribution<int>(from, to)(this->random);
    }

    static resources usage(const simulated_worker& worker)
    {
        resources sum;
        for (const auto& [run, state] : worker.running) {
            sum += state.need;
        }
        return sum;
    }

    void disturb()
    {
        if (this->pick(0, 9) == 0) {
            this->submit_random();
        }
        if (this->pick(0, 39) == 0 && !this->submitted.empty()) {
            const std::size_t chosen = static_cast<std::size_t>(
                this->pick(0, static_cast<int>(this->submitted.size()) - 1));
            this->w.state.apply(cancel_job{this->submitted[chosen], this->w.unix_ms});
        }
        if (this->pick(0, 199) == 0) {
            this->w.decisions.begin_leadership();
            for (auto& [id, worker] : this->workers) {
                worker.known_to_leader = false;
            }
        }
        for (auto& [id, worker] : this->workers) {
            if (this->pick(0, 29) == 0) {
                resources& capacity = worker.capacities.back();
                capacity.accelerators = this->pick(0, 8);
                capacity.cpu_millis = this->pick(0, 8) * (full_cpu / 8);
            }
        }
    }

    void submit_random()
    {
        step_definition step;
        step.tasks = static_cast<std::uint32_t>(this->pick(1, 4));
        step.gang = step.tasks > 1 && this->pick(0, 1) == 0;
        step.same_rack = step.gang && this->pick(0, 1) == 0;
        step.estimate_ms = this->pick(200, 3000);
        step.resumable = this->pick(0, 1) == 0;
        step.best_effort_cpu = this->pick(0, 4) == 0;
        step.per_task = {this->pick(1, 8) * 1000, 1000, this->pick(0, 4)};
        const std::string id = "job-" + std::to_string(this->submitted.size());
        this->submitted.push_back(id);
        this->w.submit_step(id, this->pick(0, 2) == 0 ? "urgent" : "batch", step,
                            this->pick(0, 1) == 0 ? "key" : "other");
    }

    void advance_worker(simulated_worker& worker)
    {
        worker.capacities.push_back(worker.capacities.back());
        while (worker.capacities.size() > static_cast<std::size_t>(grace)) {
            worker.capacities.pop_front();
        }
        for (auto each = worker.running.begin(); each != worker.running.end();) {
            if (each->second.ends_at > this->now) {
                ++each;
                continue;
            }
            worker.ends.push_back({++worker.ended_count, each->first,
                                   each->second.stopping ? run_outcome::stopped : run_outcome::done,
                                   ""});
            worker.no_longer_started.insert(each->first);
            each = worker.running.erase(each);
        }
        std::vector<call_under_way> arrived;
        std::erase_if(worker.calls, [this, &arrived](const call_under_way& call) {
            if (call.arrives_at <= this->now) {
                arrived.push_back(call);
            }
            return call.arrives_at <= this->now;
        });
        for (const call_under_way& call : arrived) {
            call.stop ? this->stop(worker, call.run) : this->start(worker, call.run);
        }
    }

    void start(simulated_worker& worker, const run_id& run)
    {
        const job_record* const job = this->w.state.find(run.task.job);
        if (worker.running.contains(run) || worker.no_longer_started.contains(run) ||
            job == nullptr) {
            return;
        }
        const step_definition& step = job->definition.steps[run.task.step];
        resources need = step.per_task;
        if (step.best_effort_cpu) {
            need.cpu_millis = 0;
        }
        resources after = usage(worker);
        after += need;
        resources allowed;
        for (const resources& each : worker.capacities) {
            allowed.cpu_millis = std::max(allowed.cpu_millis, each.cpu_millis);
            allowed.memory_mb = std::max(allowed.memory_mb, each.memory_mb);
            allowed.accelerators = std::max(allowed.accelerators, each.accelerators);
        }
        ++this->starts;
        this->starts_on_shrunk += allowed.accelerators < full_accelerators ? 1 : 0;
        this->excessive_starts += after.fits_in(allowed) ? 0 : 1;
        const int duration = static_cast<int>(step.estimate_ms / tick.count()) + this->pick(1, 4);
        worker.running[run] = {need, duration, step.gang ? never : this->now + duration, false};
        if (step.gang) {
            this->begin_gang(run, step.tasks);
        }
    }

    /// The members of a gang work once all of them have started, and end one shortly after the
    /// other.
    void begin_gang(const run_id& started, std::uint32_t members)
    {
        std::vector<simulated_run*> found;
        for (auto& [id, worker] : this->workers) {
            for (auto& [run, state] : worker.running) {
                const bool member = run.task.job == started.task.job &&
                                    run.task.step == started.task.step &&
                                    run.number == started.number && !state.stopping;
                if (member) {
                    found.push_back(&state);
                }
            }
        }
        if (found.size() < members) {
            return;
        }
        for (simulated_run* const each : found) {
            each->ends_at = this->now + found.front()->duration + this->pick(0, max_end_skew);
        }
    }

    void stop(simulated_worker& worker, const run_id& run)
    {
        worker.no_longer_started.insert(run);
        const auto found = worker.running.find(run);
        if (found != worker.running.end() && !found->second.stopping) {
            found->second.stopping = true;
            found->second.ends_at =
                std::min(found->second.ends_at, this->now + this->pick(1, max_stop_time));
        }
        else if (found == worker.running.end()) {
            worker.refused.insert(run);
        }
    }

    void call(simulated_worker& worker, const run_id& run, bool stop)
    {
        worker.calls.push_back({this->now + this->pick(1, max_call_delay), run, stop});
    }

    /// Sends each start until it is executed or its window is over; most calls are lost.
    void advance_supervisor(simulated_worker& worker)
    {
        while (!worker.answers.empty() && worker.answers.front().arrives_at <= this->now) {
            worker.desired = worker.answers.front().desired;
            worker.answers.pop_front();
            for (const run_id& run : worker.desired) {
                worker.start_until.emplace(run, this->now + start_window);
            }
            for (const auto& [run, until] : worker.start_until) {
                if (!worker.desired.contains(run)) {
                    worker.stopped.insert(run);
                }
            }
        }
        for (const auto& [run, until] : worker.start_until) {
            const bool known =
                worker.running.contains(run) || worker.no_longer_started.contains(run);
            if (worker.stopped.contains(run)) {
                if (!worker.no_longer_started.contains(run)) {
                    this->call(worker, run, true);
                }
            }
            else if (!known && this->now < until) {
                if (this->pick(0, 5) == 0) {
                    this->call(worker, run, false);
                }
            }
            else if (!known) {
                worker.stopped.insert(run);
            }
        }
    }

    void deliver_reports(simulated_worker& worker)
    {
        report_under_way made;
        made.arrives_at = this->now + this->pick(0, max_report_delay);
        if (!worker.reports.empty()) {
            made.arrives_at = std::max(made.arrives_at, worker.reports.back().arrives_at);
        }
        made.capacity = worker.capacities.back();
        for (const auto& [run, state] : worker.running) {
            made.running.push_back({run, "", static_cast<std::uint32_t>(this->now % 100)});
        }
        made.ends = std::exchange(worker.ends, {});
        made.refused.assign(worker.refused.begin(), worker.refused.end());
        worker.refused.clear();
        worker.reports.push_back(std::move(made));
        while (!worker.reports.empty() && worker.reports.front().arrives_at <= this->now) {
            this->take_report(worker, worker.reports.front());
            worker.reports.pop_front();
        }
    }

    void take_report(simulated_worker& worker, const report_under_way& report)
    {
        worker.known_to_leader = true;
        worker_description& description = this->w.workers[worker.id];
        description.capacity = report.capacity;
        this->w.report(worker.id, report.running);
        for (const ended_run& end : report.ends) {
            this->w.decisions.record_run_end(description.incarnation, end);
            this->w.state.apply(record_ended_runs{description.incarnation, {end}, this->w.unix_ms});
        }
        for (const run_id& run : report.refused) {
            this->w.decisions.record_refused_start(description.incarnation, run);
            this->w.state.apply(release_runs{{{run, ""}}, this->w.unix_ms});
        }
    }

    void send_answers()
    {
        for (auto& [id, worker] : this->workers) {
            if (!worker.known_to_leader) {
                continue;
            }
            answer_under_way made;
            made.arrives_at = this->now + this->pick(1, max_order_delay);
            if (!worker.answers.empty()) {
                made.arrives_at = std::max(made.arrives_at, worker.answers.back().arrives_at);
            }
            for (const run_id& run : this->w.state.runs_on(this->w.workers[id].incarnation)) {
                if (this->w.decisions.should_run(run)) {
                    made.desired.insert(run);
                }
            }
            worker.answers.push_back(std::move(made));
        }
    }

    std::mt19937 random;
    scheduler_world w;
    std::map<std::string, simulated_worker> workers;
    std::vector<std::string> submitted;
    int now = 0;
};

} // namespace

// Failure: a start exceeds the capacity of its worker after the capacity has shrunk, or a worker
// that has grown again stays partly idle.
TEST_CASE("no start exceeds a capacity that changes, and all of it is used after it has grown")
{
    int starts = 0;
    int starts_on_shrunk = 0;
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        capacity_simulation simulation(seed);
        simulation.run(300, true);
        CHECK(simulation.excessive_starts == 0);
        starts += simulation.starts;
        starts_on_shrunk += simulation.starts_on_shrunk;
        simulation.restore_capacities();
        simulation.submit_backlog();
        // The jobs submitted before take some time to end.
        for (int part = 0; part < 20 && !simulation.all_accelerators_in_use(); ++part) {
            simulation.run(60, false);
        }
        CHECK(simulation.all_accelerators_in_use());
    }
    CHECK(starts > 10'000);
    CHECK(starts_on_shrunk > 1'000);
}
