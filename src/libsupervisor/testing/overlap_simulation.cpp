#include "overlap_simulation.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace redwingwheel::jobs::testing {

namespace {

constexpr milliseconds worker_tick{10};
constexpr milliseconds announce_interval{1500};
constexpr milliseconds order_timeout{700};
/// Time after a suspension within which runs on the worker may overlap with others.
constexpr milliseconds suspension_slack{300};
/// The last part of the quiet time, in which messages are counted.
constexpr milliseconds counted_quiet_time{10'000};
/// A supervisor that waits for news sends one poll and one renewal each second.
constexpr std::uint64_t max_quiet_messages = 60;
constexpr std::int64_t first_unix_ms = 1'700'000'000'000;
constexpr std::int64_t slowest_clock_permille = 980;
constexpr std::int64_t exact_clock_permille = 1000;

} // namespace

/// Sends the orders of one supervisor's process to the worker on its host.
class overlap_simulation::order_port : public worker_port {
public:
    order_port(overlap_simulation& owner, host& own_host) : simulation(owner), at(own_host) {}

    void start_run(const start_request& order, std::function<void(start_result)> done) override
    {
        this->send<start_result>(
            order_timeout, start_result::no_answer, start_result::not_sent,
            [order](worker_model& worker, const std::function<void(start_result)>& answer) {
                const start_result made = worker.start_run(order);
                spdlog::info("sim: start {} for {} carried out by {}: {}", format_run(order.run),
                             order.worker.id, worker.present().id, start_result_name(made));
                answer(made);
            },
            std::move(done));
    }
    void stop_run(const stop_request& order, std::function<void(bool)> done) override
    {
        this->send<bool>(
            order_timeout, false, false,
            [order](worker_model& worker, const std::function<void(bool)>& answer) {
                answer(worker.stop_run(order));
            },
            std::move(done));
    }
    void renew(const renew_request& order,
               std::function<void(absl::StatusOr<worker_listing>)> done) override
    {
        using listing = absl::StatusOr<worker_listing>;
        this->simulation.count_message(this->at);
        this->send<listing>(
            order.wait + order_timeout, make_error(worker_errc::no_answer, "timeout"),
            make_error(worker_errc::not_listening, "connection refused"),
            [order](worker_model& worker, const std::function<void(listing)>& answer) {
                worker.renew(order, answer);
            },
            std::move(done));
    }

private:
    template <class Answer>
    struct pending_order {
        Answer not_listening;
        std::function<void(worker_model&, const std::function<void(Answer)>&)> carry_out;
        std::function<void(Answer)> done;
        std::uint64_t sent_by = 0;
        bool held_up = false;
        bool answered = false;

        void answer(Answer made)
        {
            if (!this->answered) {
                this->answered = true;
                this->done(std::move(made));
            }
        }
    };

    template <class Answer>
    void send(milliseconds timeout, Answer no_answer, Answer not_listening,
              std::function<void(worker_model&, const std::function<void(Answer)>&)> carry_out,
              std::function<void(Answer)> done)
    {
        const auto pending = std::make_shared<pending_order<Answer>>(
            pending_order<Answer>{std::move(not_listening), std::move(carry_out), std::move(done),
                                  this->at.process.current_generation()});
        pending->held_up = this->simulation.random.chance(this->at.held_up_share);
        const steady_time now = this->simulation.events.now();
        this->at.process.run_at(now + timeout,
                                [pending, no_answer] { pending->answer(no_answer); });
        std::chrono::microseconds delay = this->simulation.local_delay(this->at);
        if (pending->held_up) {
            delay = this->simulation.random.between(milliseconds(2000), milliseconds(12'000));
        }
        arrive_at(this->simulation, this->at, now + delay, pending);
    }

    /// Static, because the port ends with its process and the order does not.
    template <class Answer>
    static void arrive_at(overlap_simulation& simulation, host& at, steady_time time,
                          const std::shared_ptr<pending_order<Answer>>& pending)
    {
        simulation.events.run_at(time, [&simulation, &at, pending] {
            if (at.worker.is_up() && at.worker.is_suspended()) {
                arrive_at(simulation, at, at.suspended_until + simulation.local_delay(at), pending);
                return;
            }
            const auto answer = [&simulation, &at, pending](Answer made) {
                if (!pending->held_up) {
                    at.process.run_at(pending->sent_by,
                                      simulation.events.now() + simulation.local_delay(at),
                                      [pending, made = std::move(made)] { pending->answer(made); });
                }
            };
            if (!pending->held_up && at.link == worker_link::silent) {
                return;
            }
            if (!at.worker.is_up() || (!pending->held_up && at.link == worker_link::refusing)) {
                answer(pending->not_listening);
                return;
            }
            pending->carry_out(at.worker, answer);
        });
    }

    overlap_simulation& simulation;
    host& at;
};

overlap_simulation::overlap_simulation(const simulation_options& chosen)
    : options(chosen), log_replacement(this->events.function(), chosen.trace),
      began_at(this->events.now()), random(chosen.seed), history(this->events),
      last_commit_at(this->events.now())
{
    job_configuration made;
    made.version = 1;
    made.services = {"inspector"};
    made.queues = {{"urgent", "h", "/urgent/", "inspector", 0, 3, 1.5, 300, false},
                   {"batch", "h", "/batch/", "inspector", 1, 3, 3.0, 1000, false}};
    made.accounts = {{"owner", {"key"}, 8}};
    this->committed.apply(install_configuration{made});
    for (std::size_t index = 0; index < this->options.hosts; ++index) {
        run_observer observer;
        observer.started = [this, index](const run_id& run) {
            this->history.started(index, run, this->counts(index));
            this->check_overlaps();
        };
        observer.ended = [this, index](const run_id& run, run_outcome outcome) {
            this->history.ended(index, run, outcome);
        };
        observer.acknowledged = [this](const run_id& run, run_outcome outcome) {
            this->history.acknowledged(run, outcome);
        };
        this->hosts.push_back(
            std::make_unique<host>(this->events, this->random, std::move(observer)));
        this->hosts.back()->index = index;
        this->hosts.back()->name = fmt::format("host-{}", index);
    }
}

overlap_simulation::~overlap_simulation() = default;

std::int64_t overlap_simulation::unix_ms() const
{
    return first_unix_ms +
           std::chrono::duration_cast<milliseconds>(this->events.now() - this->began_at).count();
}

awake_time overlap_simulation::awake_now(const host& at) const
{
    return awake_time(this->events.now().time_since_epoch() - at.suspended_for);
}

steady_time overlap_simulation::fault_end() const
{
    return this->began_at + this->options.fault_duration;
}

void overlap_simulation::count_message(host& at)
{
    ++at.messages_in_second;
    if (this->events.now() >=
        this->fault_end() + this->options.quiet_duration - counted_quiet_time) {
        ++at.messages_when_quiet;
    }
}

simulation_result overlap_simulation::run()
{
    this->begin_term();
    for (const std::unique_ptr<host>& each : this->hosts) {
        this->start_supervisor(*each);
        this->events.run_after(this->random.between(milliseconds(0), milliseconds(1000)),
                               [this, &at = *each] { this->begin_worker(at, false); });
    }
    this->tick_leader();
    this->advance_workers();
    this->submit_jobs();
    for (const fault_kind kind : this->options.faults) {
        this->schedule_fault(kind);
    }
    this->events.run_at(this->fault_end(), [this] { this->end_faults(); });
    const steady_time end = this->fault_end() + this->options.quiet_duration;
    for (steady_time second = this->began_at; second < end; second += std::chrono::seconds(1)) {
        this->events.run_until(second + std::chrono::seconds(1));
        for (const std::unique_ptr<host>& each : this->hosts) {
            this->result.max_messages_per_second =
                std::max(this->result.max_messages_per_second, each->messages_in_second);
            each->messages_in_second = 0;
        }
    }
    this->check_end();
    this->result.violations = this->history.violations();
    this->result.starts = this->history.starts();
    return this->result;
}

void overlap_simulation::check_end()
{
    for (const auto& [id, job] : this->committed.jobs()) {
        ++this->result.jobs;
        if (!job.ended() || !job.open_occurrences.empty()) {
            this->history.report(fmt::format("job {} has not ended", id));
        }
    }
    if (this->history.anything_runs()) {
        this->history.report("a run goes on after all faults");
    }
    const bool idle = this->history.last_change() + counted_quiet_time < this->events.now();
    for (const std::unique_ptr<host>& each : this->hosts) {
        if (idle && each->messages_when_quiet > max_quiet_messages) {
            this->history.report(fmt::format("{} sends {} messages in {} ms without work",
                                             each->name, each->messages_when_quiet,
                                             counted_quiet_time.count()));
        }
    }
}

// --- supervisors and workers --------------------------------------------------------------------

void overlap_simulation::start_supervisor(host& at)
{
    at.process.start();
    spdlog::info("sim: supervisor of {} starts", at.name);
    at.port = std::make_unique<order_port>(*this, at);
    supervisor_options chosen;
    chosen.name = at.name;
    chosen.process = ++this->last_process;
    supervisor_hooks hooks;
    hooks.poll = [this, &at](const messages::worker_poll& poll, steady_time deadline,
                             const leader_model::poll_done& done) {
        this->send_poll(at, poll, deadline, done);
    };
    hooks.run_at = [&at](steady_time time, std::function<void()> work) {
        at.process.run_at(time, std::move(work));
    };
    at.subject = std::make_unique<supervisor>(
        chosen, this->events.function(), [this, &at] { return this->awake_now(at); }, *at.port,
        std::move(hooks));
}

void overlap_simulation::stop_supervisor(host& at)
{
    spdlog::info("sim: supervisor of {} is killed", at.name);
    at.process.kill();
    at.subject.reset();
    at.port.reset();
}

/// Short after a suspension, since a slow order could not stop the runs in time.
std::chrono::microseconds overlap_simulation::local_delay(const host& at)
{
    if (this->random.chance(0.02) && !this->is_protected(at)) {
        return this->random.between(milliseconds(20), milliseconds(300));
    }
    return this->random.between(std::chrono::microseconds(100), milliseconds(2));
}

/// Returns nothing when the message is lost.
std::optional<std::chrono::microseconds> overlap_simulation::network_delay(const host& at)
{
    if (at.lossy && this->random.chance(0.25)) {
        return std::nullopt;
    }
    if (at.lossy && this->random.chance(0.3)) {
        return this->random.between(milliseconds(100), milliseconds(8000));
    }
    return this->random.between(std::chrono::microseconds(300), milliseconds(4));
}

void overlap_simulation::send_poll(host& from, const messages::worker_poll& poll,
                                   steady_time deadline, const leader_model::poll_done& done)
{
    this->count_message(from);
    const auto answered = std::make_shared<bool>(false);
    const auto answer_once = [answered,
                              done](const absl::StatusOr<messages::worker_poll_answer>& answer) {
        if (!*answered) {
            *answered = true;
            done(answer);
        }
    };
    from.process.run_at(deadline, [answer_once] {
        answer_once(absl::DeadlineExceededError("no answer from the leader"));
    });
    const auto respond = [this, &from, answer_once, sent_by = from.process.current_generation()](
                             const absl::StatusOr<messages::worker_poll_answer>& answer) {
        const std::optional<std::chrono::microseconds> delay = this->network_delay(from);
        if (from.from_leader_cuts == 0 && delay.has_value()) {
            from.process.run_at(sent_by, this->events.now() + *delay,
                                [answer_once, answer] { answer_once(answer); });
        }
    };
    const std::size_t copies = from.lossy && this->random.chance(0.2) ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        const std::optional<std::chrono::microseconds> delay = this->network_delay(from);
        if (from.to_leader_cuts == 0 && delay.has_value()) {
            this->events.run_after(
                *delay, [this, &from, poll, respond] { this->deliver_poll(from, poll, respond); });
        }
    }
}

void overlap_simulation::deliver_poll(host& from, const messages::worker_poll& poll,
                                      const leader_model::poll_done& answer)
{
    if (this->leader != nullptr && this->leader_has_majority) {
        spdlog::debug("sim: poll {} of {} arrives", poll.sequence, from.name);
        this->leader->serve_poll(poll, answer);
    }
    else if (this->random.chance(0.5)) {
        answer(absl::UnavailableError("not the leader"));
    }
}

void overlap_simulation::begin_worker(host& at, bool same_id)
{
    worker_lifetime next;
    if (!same_id) {
        ++at.last_id;
    }
    next.id = fmt::format("i-{}-{}", at.index, at.last_id);
    next.started_unix_ms = this->unix_ms() + at.time_of_day_offset_ms;
    next.first_clock = static_cast<worker_time_ms>(this->random.index(1000));
    next.clock_permille = this->random.chance(0.5) ? slowest_clock_permille : exact_clock_permille;
    next.capacity = worker_capacity;
    next.refuses_fenced_renewals = this->options.seed % 2 == 0;
    at.worker.begin(next);
    at.draining = false;
    at.announcement_sequence = 0;
    spdlog::info("sim: worker {} of {} starts born={} clock={}", next.id, at.name,
                 next.started_unix_ms, next.first_clock);
    this->announce_repeatedly(at, at.worker.lifetime_number());
}

worker_description overlap_simulation::describe(const host& at) const
{
    worker_description made;
    made.incarnation = {at.worker.present().id, at.worker.present().started_unix_ms, ""};
    made.service = "inspector";
    made.data_centre = "dc";
    made.rack = at.index % 2 == 0 ? "r1" : "r2";
    made.labels = {"kind", made.rack};
    made.capacity = at.worker.present().capacity;
    made.draining = at.draining;
    made.remaining_ms = remaining_until(at.drain_deadline, this->events.now()).count();
    return made;
}

void overlap_simulation::announce_repeatedly(host& at, std::uint64_t lifetime)
{
    if (!at.worker.is_up() || at.worker.lifetime_number() != lifetime) {
        return;
    }
    if (!at.worker.is_suspended()) {
        this->send_announcement(at, this->describe(at), ++at.announcement_sequence);
    }
    this->events.run_after(
        this->random.between(announce_interval - milliseconds(100), announce_interval),
        [this, &at, lifetime] { this->announce_repeatedly(at, lifetime); });
}

void overlap_simulation::send_announcement(host& at, const worker_description& described,
                                           std::uint64_t sequence)
{
    const auto send_after = [this, &at, &described, sequence](std::chrono::microseconds delay) {
        this->events.run_after(delay, [this, &at, described, sequence] {
            at.process.run_at(this->events.now(), [&at, described, sequence] {
                if (at.subject != nullptr) {
                    at.subject->announce(described, sequence);
                }
            });
        });
    };
    const bool late = at.late_announcements && this->random.chance(0.3);
    send_after(late ? this->random.between(milliseconds(500), milliseconds(15'000))
                    : this->local_delay(at));
    if (at.late_announcements && this->random.chance(0.3)) {
        send_after(this->random.between(milliseconds(500), milliseconds(15'000)));
    }
}

void overlap_simulation::advance_workers()
{
    for (const std::unique_ptr<host>& each : this->hosts) {
        each->worker.advance(worker_tick);
    }
    this->advance_gangs();
    for (const std::unique_ptr<host>& each : this->hosts) {
        if (each->worker.is_up() && !each->worker.is_suspended()) {
            each->worker.answer_renewals();
        }
    }
    this->check_overlaps();
    this->events.run_after(worker_tick, [this] { this->advance_workers(); });
}

void overlap_simulation::check_overlaps()
{
    this->history.check_overlaps([this](std::size_t worker) { return this->counts(worker); });
}

/// False for a worker that is down or has just been suspended: its supervisor had no time to stop
/// its runs.
bool overlap_simulation::counts(std::size_t worker) const
{
    const host& at = *this->hosts[worker];
    return at.worker.is_up() && !at.worker.is_suspended() &&
           this->events.now() >= at.suspended_until + suspension_slack;
}

/// A gang works while all members are present. When one has ended, the others break.
void overlap_simulation::advance_gangs()
{
    std::map<run_id, std::vector<std::pair<worker_model*, run_id>>> gangs;
    for (const std::unique_ptr<host>& each : this->hosts) {
        for (const auto& [run, task] : each->worker.running()) {
            if (task.behaviour.gang_size > 0) {
                gangs[gang_of(run)].emplace_back(&each->worker, run);
            }
        }
    }
    for (const auto& [gang, members] : gangs) {
        const task_model behaviour = members.front().first->find(members.front().second)->behaviour;
        const bool suspended = std::any_of(members.begin(), members.end(), [](const auto& each) {
            return each.first->is_suspended();
        });
        const bool whole = members.size() >= behaviour.gang_size;
        for (const auto& [worker, run] : members) {
            worker_model::running_task& task = *worker->find(run);
            if (whole && !suspended) {
                task.worked += worker_tick;
                if (task.worked >= milliseconds(behaviour.work_ms)) {
                    worker->end_run(run, run_outcome::done);
                }
            }
            else if (!whole && !worker->is_suspended() &&
                     task.worked > std::chrono::microseconds(0)) {
                worker->end_run(run, run_outcome::broken);
            }
        }
    }
}

simulation_result simulate(const simulation_options& options)
{
    overlap_simulation simulation(options);
    return simulation.run();
}

} // namespace redwingwheel::jobs::testing
