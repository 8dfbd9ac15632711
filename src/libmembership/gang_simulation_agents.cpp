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
constexpr milliseconds owner_run_time{600};
/// Messages between an agent and its backend server take at most 2 ms in the simulation.
constexpr milliseconds delivery_allowance{5};
constexpr milliseconds restart_after_kill{6000};
/// The default permit lifetime of 3 s plus 1% drift margin.
constexpr milliseconds lifetime_with_margin{3030};
/// Detection of a lost member, then one permit lifetime, two polls and message delays.
constexpr milliseconds partial_run_bound{2 * 3030 + 600};
/// A leader change adds the time without a leader and restarts the detection.
constexpr milliseconds leader_change_extra{2000 + 3030};

} // namespace

void simulated_cluster::start_agent(std::size_t worker)
{
    agent_host& started = this->agents[worker];
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
    started.participant = std::make_unique<gang_participant>(
        this->node_clock(worker), *started.permits, started.incarnation, options);
    this->agent_tick(worker);
    this->agent_event(worker, this->draw_ms(0, 500),
                      [this, worker] { this->poll_regularly(worker); });
}

/// Runs `what` in the current process of the agent after `delay`: later when the process is paused,
/// never when it has ended by then.
void simulated_cluster::agent_event(std::size_t worker, std::chrono::nanoseconds delay, event what)
{
    const std::uint64_t generation = this->agents[worker].generation;
    this->schedule_after(delay, [this, worker, generation, what = std::move(what)] {
        const agent_host& host = this->agents[worker];
        if (!host.alive || host.generation != generation) {
            return;
        }
        if (this->true_clock.now() < host.paused_until) {
            this->agent_event(worker, host.paused_until - this->true_clock.now(), what);
            return;
        }
        what();
    });
}

void simulated_cluster::agent_tick(std::size_t worker)
{
    agent_host& host = this->agents[worker];
    for (host_task& task : host.tasks) {
        if (!task.end_seen && !this->is_running(worker, task)) {
            task.end_seen = true;
            host.participant->task_ended(task.task,
                                         task.ended ? task.outcome : task_outcome::failed);
        }
    }
    this->execute(worker, host.participant->tick());
    if (host.participant->take_changed() && this->polls_on_change) {
        this->poll(worker);
    }
    this->agent_event(worker, tick_period, [this, worker] { this->agent_tick(worker); });
}

void simulated_cluster::poll_regularly(std::size_t worker)
{
    this->poll(worker);
    this->agent_event(worker, poll_period + this->draw_ms(0, 100) - 50ms,
                      [this, worker] { this->poll_regularly(worker); });
}

void simulated_cluster::poll(std::size_t worker)
{
    agent_host& host = this->agents[worker];
    const std::uint64_t sequence = ++host.sequence;
    const report_batch changes = host.participant->changed_reports();
    host.sent[sequence] = {this->node_clock(worker)(), changes.from, changes.version};
    const poll_message message{worker, host.incarnation, sequence,
                               this->reports_changes_only ? changes.reports
                                                          : host.participant->reports()};
    this->send(this->to_leader[worker], [this, message] { this->receive_poll(message); });
}

/// Delivers to whichever process runs now. A new process ignores the permit, since it did not send
/// the request, but handles the commands.
void simulated_cluster::receive_answer(std::size_t worker, const poll_answer& answer)
{
    this->agent_event(worker, 0ns, [this, worker, answer] {
        agent_host& host = this->agents[worker];
        const std::uint64_t change_before = host.permits->change_index();
        const auto sent = host.sent.find(answer.sequence);
        if (answer.incarnation == host.incarnation && sent != host.sent.end()) {
            static_cast<void>(host.permits->accept(answer.granted, sent->second.sent_at, 1));
            host.participant->reports_delivered(sent->second.from, sent->second.version,
                                                answer.term);
        }
        this->check(host.permits->change_index() >= change_before,
                    "the known change of a data centre never becomes older", "");
        for (const gang_command& command : answer.commands) {
            this->execute(worker, host.participant->handle(command));
        }
        const std::vector<member_report> reports = host.participant->reports();
        if (std::any_of(reports.begin(), reports.end(), [](const member_report& report) {
                return report.kind == member_report_kind::reserved_ready;
            })) {
            this->reach_point(gang_point::ready);
        }
    });
}

void simulated_cluster::execute(std::size_t worker, const std::vector<gang_action>& actions)
{
    for (const gang_action& action : actions) {
        if (const start_task* const start = std::get_if<start_task>(&action)) {
            this->execute_start(worker, *start);
        }
        else if (const renew_lease* const renew = std::get_if<renew_lease>(&action)) {
            const clock_function clock = this->node_clock(worker);
            const std::chrono::nanoseconds remaining = renew->lease_deadline - clock();
            this->schedule_after(
                this->draw_ms(0, 2), [this, worker, clock, remaining, task_id = renew->task] {
                    host_task* const task = this->find_task(worker, task_id);
                    if (task != nullptr && this->is_running(worker, *task)) {
                        task->lease_end = std::max(task->lease_end, clock() + remaining);
                    }
                });
        }
        else if (const stop_task* const stop = std::get_if<stop_task>(&action)) {
            this->schedule_after(this->draw_ms(1, 5), [this, worker, task_id = stop->task] {
                this->stop_on_host(worker, task_id);
            });
        }
        else if (const checkpoint_task* const checkpoint = std::get_if<checkpoint_task>(&action)) {
            this->agent_event(worker, 100ms, [this, worker, task_id = checkpoint->task] {
                this->agents[worker].participant->task_checkpointed(task_id);
            });
        }
    }
}

void simulated_cluster::execute_start(std::size_t worker, const start_task& start)
{
    agent_host& host = this->agents[worker];
    this->agent_event(worker, this->draw_ms(1, 20), [this, worker, start] {
        if (this->agents[worker].participant->begin_start(start.task)) {
            this->start_on_host(worker, start);
        }
    });
    if (!std::exchange(host.pause_at_next_start, false)) {
        return;
    }
    // Resumes just before the permit expires, or up to some time after it.
    const steady_time deadline = std::min(start.lease_deadline, host.permits->start_deadline());
    const std::int64_t left_ns = (deadline - this->node_clock(worker)()).count();
    const milliseconds left(left_ns / this->clock_rates_ppm[worker] - 2);
    const milliseconds pause = this->draw(2) == 0 ? left : this->draw_ms(2900, 4500);
    host.paused_until = this->true_clock.now() + pause;
}

void simulated_cluster::start_on_host(std::size_t worker, const start_task& start)
{
    agent_host& host = this->agents[worker];
    const task_key& task_id = start.task;
    const std::string name = fmt::format("w{} {} epoch {} member {}", worker, task_id.job,
                                         task_id.epoch, task_id.member);
    this->add_to_digest(name, 0);
    ++this->result.task_starts;
    observed_gang& gang = this->gangs[task_id.job][task_id.epoch];
    const auto released = gang.released_incarnations.find(task_id.member);
    this->check(released != gang.released_incarnations.end(),
                "no task starts before the release record of its epoch", name);
    this->check(released != gang.released_incarnations.end() &&
                    released->second == host.incarnation,
                "a task starts only in the recorded incarnation", name);
    this->check(!gang.ended, "no task starts after the end of its gang", name);
    this->check(++this->starts[task_id] == 1, "a member of an attempt starts at most once", name);
    for (const host_task& other : host.tasks) {
        this->check((other.accelerator_mask & start.accelerator_mask) == 0 ||
                        !this->is_running(worker, other),
                    "owner and borrower never use the same accelerator", name);
    }
    for (const auto& [epoch, other] : this->gangs[task_id.job]) {
        if (epoch != task_id.epoch) {
            this->check_gang_stopped(task_id.job, epoch, "two epochs of a job never run at once");
        }
    }
    const bool north = worker < worker_count - 1;
    this->check(!north || !this->withdrawn_since.has_value() ||
                    this->true_clock.now() - *this->withdrawn_since <= lifetime_with_margin,
                "no start later than the permit lifetime plus margin after the withdrawal", name);
    this->check(!north ||
                    !this->replicas[this->active_replica].granter.withdrawal_in_force("north"),
                "no start once a withdrawal is in force", name);

    const clock_function clock = this->node_clock(worker);
    const steady_time lease_end = start.lease_deadline + this->draw_ms(0, 2);
    host.tasks.push_back(
        {task_id, start.accelerator_mask, lease_end, false, false, task_outcome::none});
    this->agent_event(worker, this->draw_ms(1, 10), [this, worker, task_id] {
        this->agents[worker].participant->task_started(task_id);
    });
    if (task_id.job == "owner") {
        this->schedule_after(owner_run_time, [this, worker, task_id] {
            host_task* const task = this->find_task(worker, task_id);
            if (task != nullptr && this->is_running(worker, *task)) {
                task->ended = true;
                task->outcome = task_outcome::done;
            }
        });
    }
}

void simulated_cluster::stop_on_host(std::size_t worker, const task_key& task_id)
{
    host_task* const task = this->find_task(worker, task_id);
    if (task != nullptr && this->is_running(worker, *task) && !this->agents[worker].ignores_stop) {
        task->ended = true;
        task->outcome = task_outcome::failed;
        this->add_to_digest("stopped", worker);
        this->reach_point(gang_point::end);
    }
}

bool simulated_cluster::is_running(std::size_t worker, const host_task& task)
{
    return !task.ended && this->node_clock(worker)() < task.lease_end;
}

simulated_cluster::host_task* simulated_cluster::find_task(std::size_t worker, const task_key& task)
{
    for (host_task& known : this->agents[worker].tasks) {
        if (known.task == task) {
            return &known;
        }
    }
    return nullptr;
}

/// Injects the faults planned for `point`, up to 450 ms after the borrower first reaches it.
void simulated_cluster::reach_point(gang_point point)
{
    if (!this->reached_points.insert(static_cast<int>(point)).second) {
        return;
    }
    for (const injected_fault& fault : this->faults) {
        if (fault.point == point) {
            const std::array<milliseconds, 5> offsets{0ms, 0ms, 10ms, 120ms, 450ms};
            this->schedule_after(offsets[this->draw(offsets.size())],
                                 [this, kind = fault.kind] { this->inject_fault(kind); });
            ++this->result.faults_injected;
        }
    }
}

void simulated_cluster::inject_fault(fault_kind kind)
{
    const steady_time now = this->true_clock.now();
    this->faulty_worker = this->draw(2) == 0 ? this->faulty_worker : this->draw(worker_count - 1);
    const std::size_t target = this->faulty_worker;
    agent_host& host = this->agents[target];
    link& one_direction = this->draw(2) == 0 ? this->to_leader[target] : this->to_agent[target];
    switch (kind) {
    case fault_kind::lost:
        one_direction.lose_next = 1 + static_cast<int>(this->draw(2));
        break;
    case fault_kind::duplicated:
        this->to_leader[target].duplicate_until = this->to_agent[target].duplicate_until =
            now + 1500ms;
        break;
    case fault_kind::reordered:
        this->to_leader[target].reorder_until = this->to_agent[target].reorder_until = now + 2000ms;
        break;
    case fault_kind::late:
        one_direction.delay_next = 700ms + 800ms * static_cast<int>(this->draw(7));
        break;
    case fault_kind::one_way:
        one_direction.lose_until = now + this->draw_ms(1000, 5000);
        break;
    case fault_kind::agent_restart:
    case fault_kind::agent_killed: {
        const bool killed = kind == fault_kind::agent_killed;
        host.alive = false;
        if (killed && this->draw(2) == 0) {
            for (host_task& task : host.tasks) {
                task.ended = true;
            }
        }
        const std::uint64_t generation = host.generation;
        this->schedule_after(killed ? restart_after_kill : this->draw_ms(0, 300),
                             [this, target, generation] {
                                 if (this->agents[target].generation == generation) {
                                     this->start_agent(target);
                                 }
                             });
        break;
    }
    case fault_kind::agent_paused:
        if (this->draw(2) == 0) {
            host.pause_at_next_start = true;
        }
        else {
            host.paused_until = now + this->draw_ms(2900, 4500);
        }
        break;
    case fault_kind::leader_change:
        this->change_leader();
        break;
    case fault_kind::withdrawal:
        this->withdraw_after_grant = this->draw(2) == 0;
        this->schedule_after(this->withdraw_after_grant ? 1500ms : 0ms, [this] {
            this->withdraw_after_grant = false;
            this->change_data_centre(false);
        });
        break;
    case fault_kind::old_withdrawal_last:
        this->to_agent[target].delay_next = 1500ms;
        [[fallthrough]];
    case fault_kind::withdraw_restore:
        this->change_data_centre(false);
        this->schedule_after(this->draw_ms(50, 800), [this] { this->change_data_centre(true); });
        break;
    case fault_kind::clock_rates:
        break;
    case fault_kind::stop_ignored:
        host.ignores_stop = true;
        break;
    }
}

void simulated_cluster::check(bool holds, std::string_view rule, std::string_view detail)
{
    ++this->result.checks;
    if (!holds) {
        this->result.violations.push_back(fmt::format("{}: {}", rule, detail));
    }
}

void simulated_cluster::check_gang_stopped(std::string_view job, std::uint64_t epoch,
                                           std::string_view rule)
{
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        for (const host_task& task : this->agents[worker].tasks) {
            const bool same = task.task.job == job && task.task.epoch == epoch;
            this->check(!same || !this->is_running(worker, task), rule,
                        fmt::format("{} epoch {} on w{}", job, epoch, worker));
        }
    }
}

/// Checks the tasks that run at the backend servers, every 10 ms.
void simulated_cluster::check_running_gangs()
{
    const steady_time now = this->true_clock.now();
    for (auto& [job, epochs] : this->gangs) {
        for (auto& [epoch, gang] : epochs) {
            std::size_t running = 0;
            std::size_t done = 0;
            for (std::size_t worker = 0; worker < worker_count; ++worker) {
                for (const host_task& task : this->agents[worker].tasks) {
                    const bool same = task.task.job == job && task.task.epoch == epoch;
                    running += same && this->is_running(worker, task) ? 1 : 0;
                    done += same && task.outcome == task_outcome::done ? 1 : 0;
                }
            }
            if (running > 0 && gang.broken_at.has_value()) {
                const milliseconds length = std::chrono::ceil<milliseconds>(now - *gang.broken_at);
                this->result.longest_after_break =
                    std::max(this->result.longest_after_break, length);
                this->check(length <= lifetime_with_margin,
                            "a broken gang stops within one permit lifetime", job);
            }
            if (running == gang.size && running > 0 && !gang.was_fully_running) {
                gang.was_fully_running = true;
                ++this->result.gangs_fully_running;
                if (job == "owner" && this->reclaimed) {
                    this->result.takeover_time =
                        std::chrono::ceil<milliseconds>(now - this->reclaimed_at);
                }
            }
            if (running == 0 || running + done >= gang.size) {
                gang.partial_since.reset();
                continue;
            }
            gang.partial_since = gang.partial_since.value_or(now);
            const milliseconds length = std::chrono::ceil<milliseconds>(now - *gang.partial_since);
            this->result.longest_partial_run = std::max(this->result.longest_partial_run, length);
            this->check(length <= partial_run_bound + (this->leader_changed ? leader_change_extra
                                                                            : milliseconds(0)),
                        "the time for which a gang runs partially is bounded", job);
        }
    }
    this->schedule_after(10ms, [this] { this->check_running_gangs(); });
}

void simulated_cluster::check_end()
{
    if (!this->result.violations.empty()) {
        return;
    }
    this->check(this->owner_finished, "every gang ends or is abandoned within the simulated time",
                "schedule");
    this->check(this->coordinator != nullptr && this->coordinator->list().empty(),
                "no gang is left at the leader", "");
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        const agent_host& host = this->agents[worker];
        this->check(host.alive && host.participant->accelerators_in_use() == 0 &&
                        host.participant->reports().empty(),
                    "no reservation, task or report is left at an agent",
                    fmt::format("w{}", worker));
        for (const host_task& task : host.tasks) {
            this->check(!this->is_running(worker, task), "no task still runs at the end",
                        task.task.job);
        }
    }
}

void simulated_cluster::add_to_digest(std::string_view text, std::uint64_t number)
{
    this->result.digest =
        digest::content_hash(fmt::format("{} {} {} {}", this->result.digest, text, number,
                                         this->true_clock.now().time_since_epoch().count()));
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
