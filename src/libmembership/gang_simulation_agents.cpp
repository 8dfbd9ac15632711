#include "gang_simulation.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "redwingwheel/digest.h"

namespace redwingwheel::membership::simulation {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds tick_period{50};
constexpr milliseconds poll_period{500};
constexpr milliseconds owner_run{600};
/// Messages between an agent and its backend server take at most 2 ms here.
constexpr milliseconds delivery_allowance{5};
constexpr milliseconds restart_after_kill{6000};
/// Rule: life 3 s plus 1%.
constexpr milliseconds life_and_margin{3030};
/// Detection of a lost member, then one permit life, two polls and delays.
constexpr milliseconds overlap_bound{2 * 3030 + 600};
/// A leader change adds its gap and begins the detection anew.
constexpr milliseconds leader_change_extra{2000 + 3030};

} // namespace

void world::start_agent(std::size_t worker)
{
    agent& started = this->agents[worker];
    ++started.generation;
    started.alive = true;
    started.paused_until = {};
    started.incarnation = 1 + this->random() / 2;
    started.sequence = 0;
    started.sent.clear();
    started.permits = std::make_unique<permit_holder>(this->node_clock(worker), this->permits);
    gang_participant_options options;
    options.delivery_allowance = delivery_allowance;
    options.faults = this->mutated.participants;
    options.max_ended_tasks = this->mutated.max_ended_tasks;
    started.participant = std::make_unique<gang_participant>(this->node_clock(worker), *started.permits,
                                                        started.incarnation, options);
    this->agent_tick(worker);
    this->agent_event(worker, this->draw_ms(0, 500),
                      [this, worker] { this->poll_regularly(worker); });
}

/// Runs `what` in the present process of the agent; a pause delays it, the process's end drops it.
void world::agent_event(std::size_t worker, std::chrono::nanoseconds delay, event what)
{
    const std::uint64_t generation = this->agents[worker].generation;
    this->after(delay, [this, worker, generation, what = std::move(what)] {
        const agent& present = this->agents[worker];
        if (!present.alive || present.generation != generation) {
            return;
        }
        if (this->truth.now() < present.paused_until) {
            this->agent_event(worker, present.paused_until - this->truth.now(), what);
            return;
        }
        what();
    });
}

void world::agent_tick(std::size_t worker)
{
    agent& present = this->agents[worker];
    for (host_task& task : present.tasks) {
        if (!task.end_seen && !this->runs(worker, task)) {
            task.end_seen = true;
            present.participant->task_ended(task.task, task.ended ? task.outcome : task_outcome::failed);
        }
    }
    this->execute(worker, present.participant->tick());
    if (present.participant->take_changed() && this->polls_on_change) {
        this->poll(worker);
    }
    this->agent_event(worker, tick_period, [this, worker] { this->agent_tick(worker); });
}

void world::poll_regularly(std::size_t worker)
{
    this->poll(worker);
    this->agent_event(worker, poll_period + this->draw_ms(0, 100) - 50ms,
                      [this, worker] { this->poll_regularly(worker); });
}

void world::poll(std::size_t worker)
{
    agent& present = this->agents[worker];
    const std::uint64_t sequence = ++present.sequence;
    const report_batch changes = present.participant->changed_reports();
    present.sent[sequence] = {this->node_clock(worker)(), changes.from, changes.version};
    const poll_message message{worker, present.incarnation, sequence,
                               this->reports_changes_only ? changes.reports
                                                          : present.participant->reports()};
    this->send(this->to_leader[worker], [this, message] { this->receive_poll(message); });
}

/// Delivers to whichever process now runs; a new one cannot count a permit that it did not ask for.
void world::receive_answer(std::size_t worker, const poll_answer& answer)
{
    this->agent_event(worker, 0ns, [this, worker, answer] {
        agent& present = this->agents[worker];
        const std::uint64_t change_before = present.permits->change_index();
        const auto sent = present.sent.find(answer.sequence);
        if (answer.incarnation == present.incarnation && sent != present.sent.end()) {
            static_cast<void>(present.permits->accept(answer.granted, sent->second.sent_at, 1));
            present.participant->reports_delivered(sent->second.from, sent->second.version, answer.term);
        }
        this->check(present.permits->change_index() >= change_before,
                    "an older change is never taken back", "");
        for (const gang_command& command : answer.commands) {
            this->execute(worker, present.participant->handle(command));
        }
        const std::vector<member_report> reports = present.participant->reports();
        if (std::any_of(reports.begin(), reports.end(), [](const member_report& report) {
                return report.kind == member_report_kind::reserved_ready;
            })) {
            this->reach(gang_point::ready);
        }
    });
}

void world::execute(std::size_t worker, const std::vector<gang_action>& actions)
{
    for (const gang_action& action : actions) {
        if (const start_task* const start = std::get_if<start_task>(&action)) {
            this->execute_start(worker, *start);
        }
        else if (const renew_lease* const renew = std::get_if<renew_lease>(&action)) {
            const clock_function clock = this->node_clock(worker);
            const std::chrono::nanoseconds remaining = renew->lease_deadline - clock();
            this->after(this->draw_ms(0, 2), [this, worker, clock, remaining, key = renew->task] {
                host_task* const task = this->find_task(worker, key);
                if (task != nullptr && this->runs(worker, *task)) {
                    task->lease_end = std::max(task->lease_end, clock() + remaining);
                }
            });
        }
        else if (const stop_task* const stop = std::get_if<stop_task>(&action)) {
            this->after(this->draw_ms(1, 5),
                        [this, worker, key = stop->task] { this->stop_on_host(worker, key); });
        }
        else if (const checkpoint_task* const asked = std::get_if<checkpoint_task>(&action)) {
            this->agent_event(worker, 100ms, [this, worker, key = asked->task] {
                this->agents[worker].participant->task_checkpointed(key);
            });
        }
    }
}

void world::execute_start(std::size_t worker, const start_task& start)
{
    agent& present = this->agents[worker];
    this->agent_event(worker, this->draw_ms(1, 20), [this, worker, start] {
        if (this->agents[worker].participant->begin_start(start.task)) {
            this->start_on_host(worker, start);
        }
    });
    if (!std::exchange(present.pause_at_next_start, false)) {
        return;
    }
    // Wakes up just before the permit ends, or some time after it.
    const steady_time deadline = std::min(start.lease_deadline, present.permits->start_deadline());
    const std::int64_t left_ns = (deadline - this->node_clock(worker)()).count();
    const milliseconds left(left_ns / this->rates_ppm[worker] - 2);
    const milliseconds pause = this->draw(2) == 0 ? left : this->draw_ms(2900, 4500);
    present.paused_until = this->truth.now() + pause;
}

void world::start_on_host(std::size_t worker, const start_task& start)
{
    agent& present = this->agents[worker];
    const task_key& key = start.task;
    const std::string name =
        fmt::format("w{} {} epoch {} member {}", worker, key.job, key.epoch, key.member);
    this->note(name, 0);
    ++this->result.task_starts;
    gang_truth& gang = this->gangs[key.job][key.epoch];
    const auto released = gang.released_incarnations.find(key.member);
    this->check(released != gang.released_incarnations.end(),
                "no task starts before the release record of its epoch", name);
    this->check(released != gang.released_incarnations.end() &&
                    released->second == present.incarnation,
                "a task starts only in the recorded incarnation", name);
    this->check(!gang.ended, "no task starts after the end of its gang", name);
    this->check(++this->starts[key] == 1, "a gang never runs twice", name);
    for (const host_task& other : present.tasks) {
        this->check((other.accelerator_mask & start.accelerator_mask) == 0 ||
                        !this->runs(worker, other),
                    "owner and borrower never overlap", name);
    }
    for (const auto& [epoch, other] : this->gangs[key.job]) {
        if (epoch != key.epoch) {
            this->check_gang_stopped(key.job, epoch, "two epochs of a job never run at once");
        }
    }
    const bool north = worker < worker_count - 1;
    this->check(!north || !this->withdrawn_since.has_value() ||
                    this->truth.now() - *this->withdrawn_since <= life_and_margin,
                "no start later than life plus margin after the withdrawal", name);
    this->check(!north || !this->replicas[this->active].granter.withdrawal_in_force("north"),
                "no start once a withdrawal is in force", name);

    const clock_function clock = this->node_clock(worker);
    const steady_time lease_end = start.lease_deadline + this->draw_ms(0, 2);
    present.tasks.push_back(
        {key, start.accelerator_mask, lease_end, false, false, task_outcome::none});
    this->agent_event(worker, this->draw_ms(1, 10),
                      [this, worker, key] { this->agents[worker].participant->task_started(key); });
    if (key.job == "owner") {
        this->after(owner_run, [this, worker, key] {
            host_task* const task = this->find_task(worker, key);
            if (task != nullptr && this->runs(worker, *task)) {
                task->ended = true;
                task->outcome = task_outcome::done;
            }
        });
    }
}

void world::stop_on_host(std::size_t worker, const task_key& key)
{
    host_task* const task = this->find_task(worker, key);
    if (task != nullptr && this->runs(worker, *task) && !this->agents[worker].ignores_stop) {
        task->ended = true;
        task->outcome = task_outcome::failed;
        this->note("stopped", worker);
        this->reach(gang_point::end);
    }
}

bool world::runs(std::size_t worker, const host_task& task)
{
    return !task.ended && this->node_clock(worker)() < task.lease_end;
}

world::host_task* world::find_task(std::size_t worker, const task_key& task)
{
    for (host_task& known : this->agents[worker].tasks) {
        if (known.task == task) {
            return &known;
        }
    }
    return nullptr;
}

/// Puts in the faults planned for `point` when the gang reaches it for the first time.
void world::reach(gang_point point)
{
    if (!this->reached.insert(static_cast<int>(point)).second) {
        return;
    }
    for (const planted_fault& fault : this->faults) {
        if (fault.at == point) {
            const std::array<milliseconds, 5> offsets{0ms, 0ms, 10ms, 120ms, 450ms};
            this->after(offsets[this->draw(offsets.size())],
                        [this, kind = fault.kind] { this->plant(kind); });
            ++this->result.planted;
        }
    }
}

void world::plant(fault_kind kind)
{
    const steady_time now = this->truth.now();
    this->victim = this->draw(2) == 0 ? this->victim : this->draw(worker_count - 1);
    const std::size_t hit = this->victim;
    agent& present = this->agents[hit];
    link& one_side = this->draw(2) == 0 ? this->to_leader[hit] : this->to_agent[hit];
    switch (kind) {
    case fault_kind::lost:
        one_side.lose_next = 1 + static_cast<int>(this->draw(2));
        break;
    case fault_kind::duplicated:
        this->to_leader[hit].repeat_until = this->to_agent[hit].repeat_until = now + 1500ms;
        break;
    case fault_kind::reordered:
        this->to_leader[hit].shuffle_until = this->to_agent[hit].shuffle_until = now + 2000ms;
        break;
    case fault_kind::late:
        one_side.delay_next = 700ms + 800ms * static_cast<int>(this->draw(7));
        break;
    case fault_kind::one_way:
        one_side.lose_until = now + this->draw_ms(1000, 5000);
        break;
    case fault_kind::agent_restart:
    case fault_kind::agent_killed: {
        const bool killed = kind == fault_kind::agent_killed;
        present.alive = false;
        if (killed && this->draw(2) == 0) {
            for (host_task& task : present.tasks) {
                task.ended = true;
            }
        }
        const std::uint64_t generation = present.generation;
        this->after(killed ? restart_after_kill : this->draw_ms(0, 300), [this, hit, generation] {
            if (this->agents[hit].generation == generation) {
                this->start_agent(hit);
            }
        });
        break;
    }
    case fault_kind::agent_paused:
        if (this->draw(2) == 0) {
            present.pause_at_next_start = true;
        }
        else {
            present.paused_until = now + this->draw_ms(2900, 4500);
        }
        break;
    case fault_kind::leader_change:
        this->change_leader();
        break;
    case fault_kind::withdrawal:
        this->withdraw_after_grant = this->draw(2) == 0;
        this->after(this->withdraw_after_grant ? 1500ms : 0ms, [this] {
            this->withdraw_after_grant = false;
            this->change_data_centre(false);
        });
        break;
    case fault_kind::old_withdrawal_last:
        this->to_agent[hit].delay_next = 1500ms;
        [[fallthrough]];
    case fault_kind::withdraw_restore:
        this->change_data_centre(false);
        this->after(this->draw_ms(50, 800), [this] { this->change_data_centre(true); });
        break;
    case fault_kind::clock_rates:
        break;
    case fault_kind::stop_ignored:
        present.ignores_stop = true;
        break;
    }
}

void world::check(bool holds, std::string_view rule, std::string_view detail)
{
    ++this->result.checks;
    if (!holds) {
        this->result.violations.push_back(fmt::format("{}: {}", rule, detail));
    }
}

void world::check_gang_stopped(std::string_view job, std::uint64_t epoch, std::string_view rule)
{
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        for (const host_task& task : this->agents[worker].tasks) {
            const bool same = task.task.job == job && task.task.epoch == epoch;
            this->check(!same || !this->runs(worker, task), rule,
                        fmt::format("{} epoch {} on w{}", job, epoch, worker));
        }
    }
}

/// Looks at what really runs, each 10 ms.
void world::check_running_gangs()
{
    const steady_time now = this->truth.now();
    for (auto& [job, epochs] : this->gangs) {
        for (auto& [epoch, gang] : epochs) {
            std::size_t running = 0;
            std::size_t done = 0;
            for (std::size_t worker = 0; worker < worker_count; ++worker) {
                for (const host_task& task : this->agents[worker].tasks) {
                    const bool same = task.task.job == job && task.task.epoch == epoch;
                    running += same && this->runs(worker, task) ? 1 : 0;
                    done += same && task.outcome == task_outcome::done ? 1 : 0;
                }
            }
            if (running > 0 && gang.broken_at.has_value()) {
                const milliseconds length = std::chrono::ceil<milliseconds>(now - *gang.broken_at);
                this->result.longest_after_break =
                    std::max(this->result.longest_after_break, length);
                this->check(length <= life_and_margin, "a broken gang stops within one permit life",
                            job);
            }
            if (running == gang.size && running > 0 && !gang.was_whole) {
                gang.was_whole = true;
                ++this->result.gangs_whole;
                if (job == "owner" && this->reclaimed) {
                    this->result.takeover =
                        std::chrono::ceil<milliseconds>(now - this->reclaimed_at);
                }
            }
            if (running == 0 || running + done >= gang.size) {
                gang.partial_since.reset();
                continue;
            }
            gang.partial_since = gang.partial_since.value_or(now);
            const milliseconds length = std::chrono::ceil<milliseconds>(now - *gang.partial_since);
            this->result.longest_overlap = std::max(this->result.longest_overlap, length);
            this->check(length <= overlap_bound + (this->leader_changed ? leader_change_extra
                                                                        : milliseconds(0)),
                        "the overlap of a partial gang is bounded", job);
        }
    }
    this->after(10ms, [this] { this->check_running_gangs(); });
}

void world::check_end()
{
    if (!this->result.violations.empty()) {
        return;
    }
    this->check(this->owner_over, "every gang ends, is released or is abandoned", "schedule");
    this->check(this->coordinator != nullptr && this->coordinator->list().empty(),
                "no gang is left at the leader", "");
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        const agent& present = this->agents[worker];
        this->check(present.alive && present.participant->accelerators_in_use() == 0 &&
                        present.participant->reports().empty(),
                    "no reserve, task or report is left at an agent", fmt::format("w{}", worker));
        for (const host_task& task : present.tasks) {
            this->check(!this->runs(worker, task), "no task is left", task.task.job);
        }
    }
}

void world::note(std::string_view text, std::uint64_t number)
{
    this->result.digest =
        digest::content_hash(fmt::format("{} {} {} {}", this->result.digest, text, number,
                                         this->truth.now().time_since_epoch().count()));
}

std::string_view to_text(fault_kind kind)
{
    constexpr std::array<std::string_view, fault_kinds> names{
        "lost",          "duplicated",    "reordered",        "late",
        "one_way",       "agent_restart", "agent_paused",     "agent_killed",
        "leader_change", "withdrawal",    "withdraw_restore", "old_withdrawal_last",
        "clock_rates",   "stop_ignored"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view to_text(gang_point point)
{
    constexpr std::array<std::string_view, gang_points> names{
        "reserve", "ready", "record", "release", "run", "reclaim", "end"};
    return names.at(static_cast<std::size_t>(point));
}

} // namespace redwingwheel::membership::simulation
