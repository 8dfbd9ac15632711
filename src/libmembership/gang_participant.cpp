#include "redwingwheel/gang.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace redwingwheel::membership {

namespace {

/// Limits remaining times from messages, so that a corrupt value cannot overflow the clock.
constexpr std::uint64_t max_remaining_ms = 24ULL * 60 * 60 * 1000;

steady_time deadline_after(steady_time now, std::uint64_t remaining_ms)
{
    const std::uint64_t bounded = std::min(remaining_ms, max_remaining_ms);
    return now + milliseconds(static_cast<std::int64_t>(bounded));
}

} // namespace

gang_participant::gang_participant(clock_function clock_source, permit_holder& holder,
                                   std::uint64_t agent_incarnation,
                                   gang_participant_options chosen_options)
    : clock(std::move(clock_source)), permits(holder), incarnation(agent_incarnation),
      options(chosen_options)
{
}

std::vector<gang_action> gang_participant::handle(const gang_command& command)
{
    actions out;
    // A lease that expired while the process was paused must be detected before a command or a new
    // permit renews it.
    for (auto& [task, state] : this->tasks) {
        this->check_deadlines(task, state, out);
    }
    if (command.term < this->highest_term) {
        return out;
    }
    this->highest_term = command.term;
    if (!this->is_addressee(command)) {
        return out;
    }
    switch (command.kind) {
    case gang_command_kind::reserve:
        this->reserve(command);
        break;
    case gang_command_kind::release:
        this->release(command, out);
        break;
    case gang_command_kind::checkpoint:
        this->checkpoint(command, out);
        break;
    case gang_command_kind::throttle:
        this->throttle(command, out);
        break;
    case gang_command_kind::stop:
        this->stop(command, out);
        break;
    case gang_command_kind::acknowledge:
        this->acknowledge(command);
        break;
    }
    return out;
}

bool gang_participant::is_addressee(const gang_command& command) const
{
    const bool unaddressed_reserve =
        command.kind == gang_command_kind::reserve && command.incarnation == 0;
    return unaddressed_reserve || command.incarnation == this->incarnation ||
           this->options.faults.ignore_incarnation;
}

gang_participant::task_state* gang_participant::find(const task_key& task)
{
    const auto found = this->tasks.find(task);
    if (found != this->tasks.end()) {
        return &found->second;
    }
    return nullptr;
}

void gang_participant::reserve(const gang_command& command)
{
    if (command.remaining_ms == 0 || this->find(command.task) != nullptr ||
        this->has_ended(command.task)) {
        return;
    }
    const bool resources_free = this->can_reserve(command);
    task_state& state = this->tasks[command.task];
    state.accelerator_mask = command.accelerator_mask;
    state.slots = command.slots;
    state.reservation_deadline = deadline_after(this->clock(), command.remaining_ms);
    this->mark_changed(state);
    if (!resources_free) {
        this->end(command.task, state, task_outcome::not_run);
    }
}

bool gang_participant::can_reserve(const gang_command& command) const
{
    const bool accelerators_exist = this->options.accelerators >= 64 ||
                                    (command.accelerator_mask >> this->options.accelerators) == 0;
    if (!accelerators_exist || (command.accelerator_mask & this->accelerators_in_use()) != 0 ||
        command.slots > this->options.slots - this->slots_in_use()) {
        return false;
    }
    // Another attempt of the same job must have ended on this worker first.
    return std::none_of(this->tasks.begin(), this->tasks.end(), [&command](const auto& entry) {
        return entry.first.job == command.task.job && entry.first.epoch != command.task.epoch &&
               entry.second.phase != task_phase::ended;
    });
}

void gang_participant::release(const gang_command& command, actions& out)
{
    for (auto& [task, state] : this->tasks) {
        const bool same_epoch =
            task.epoch == command.task.epoch || this->options.faults.ignore_epoch;
        if (task.job == command.task.job && task.member == command.task.member && same_epoch &&
            state.phase == task_phase::reserved) {
            state.phase = task_phase::release_pending;
            this->mark_changed(state);
            this->try_start(task, state, out);
        }
    }
}

steady_time gang_participant::task_lease_deadline() const
{
    return this->permits.lease_deadline() - this->options.delivery_allowance;
}

void gang_participant::try_start(const task_key& task, task_state& state, actions& out)
{
    if (this->permits.withdrawn()) {
        this->end(task, state, task_outcome::not_run);
    }
    else if (this->permits.may_start() && this->clock() < this->task_lease_deadline()) {
        state.phase = task_phase::starting;
        state.lease_deadline = this->task_lease_deadline();
        this->mark_changed(state);
        out.push_back(start_task{task, state.accelerator_mask, state.slots, state.lease_deadline});
    }
}

bool gang_participant::begin_start(const task_key& task)
{
    task_state* const state = this->find(task);
    if (state == nullptr || state->phase != task_phase::starting || state->start_sent) {
        return false;
    }
    const bool permitted = this->permits.may_start() && this->clock() < state->lease_deadline;
    if (!permitted && !this->options.faults.skip_check_before_start) {
        this->end(task, *state, task_outcome::not_run);
        return false;
    }
    state->start_sent = true;
    return true;
}

void gang_participant::task_started(const task_key& task)
{
    task_state* const state = this->find(task);
    if (state != nullptr && state->phase == task_phase::starting) {
        state->phase = task_phase::running;
        this->mark_changed(*state);
    }
}

void gang_participant::task_checkpointed(const task_key& task)
{
    task_state* const state = this->find(task);
    if (state != nullptr && state->phase != task_phase::ended) {
        state->checkpointed = true;
        this->mark_changed(*state);
    }
}

void gang_participant::task_ended(const task_key& task, task_outcome outcome)
{
    task_state* const state = this->find(task);
    if (state == nullptr || state->phase == task_phase::ended) {
        return;
    }
    if (state->start_sent) {
        this->end(task, *state, outcome);
    }
    else if (state->phase == task_phase::starting) {
        // The executor gave up before it sent the start.
        this->end(task, *state, task_outcome::not_run);
    }
}

void gang_participant::stop(const gang_command& command, actions& out)
{
    task_state* const state = this->find(command.task);
    if (state == nullptr) {
        // Nothing ran here for this attempt. Recording its end makes a delayed reserve or release
        // command ineffective.
        if (!this->has_ended(command.task)) {
            this->end(command.task, this->tasks[command.task], task_outcome::not_run);
        }
        return;
    }
    this->begin_stop(command.task, *state, deadline_after(this->clock(), command.remaining_ms),
                     out);
}

void gang_participant::begin_stop(const task_key& task, task_state& state, steady_time deadline,
                                  actions& out)
{
    if (state.phase == task_phase::ended || state.phase == task_phase::stopping) {
        return;
    }
    if (!state.start_sent) {
        this->end(task, state, task_outcome::not_run);
        return;
    }
    state.phase = task_phase::stopping;
    state.stop_deadline = deadline;
    state.next_stop = this->clock() + this->options.stop_retry_period;
    this->mark_changed(state);
    out.push_back(stop_task{task, deadline});
}

void gang_participant::checkpoint(const gang_command& command, actions& out)
{
    task_state* const state = this->find(command.task);
    if (state != nullptr && state->phase == task_phase::running && !state->checkpoint_requested) {
        state->checkpoint_requested = true;
        out.push_back(
            checkpoint_task{command.task, deadline_after(this->clock(), command.remaining_ms)});
    }
}

void gang_participant::throttle(const gang_command& command, actions& out)
{
    task_state* const state = this->find(command.task);
    if (state != nullptr && state->phase == task_phase::running &&
        state->speed_percent != command.speed_percent) {
        state->speed_percent = command.speed_percent;
        this->mark_changed(*state);
        out.push_back(throttle_task{command.task, command.speed_percent});
    }
}

void gang_participant::acknowledge(const gang_command& command)
{
    const task_state* const state = this->find(command.task);
    if (state != nullptr && state->phase == task_phase::ended) {
        this->tasks.erase(command.task);
    }
}

std::vector<gang_action> gang_participant::tick()
{
    actions out;
    const steady_time now = this->clock();
    for (auto& [task, state] : this->tasks) {
        this->check_deadlines(task, state, out);
        const bool lease_held = state.start_sent && (state.phase == task_phase::starting ||
                                                     state.phase == task_phase::running);
        if (state.phase == task_phase::release_pending) {
            this->try_start(task, state, out);
        }
        else if (lease_held && this->task_lease_deadline() > state.lease_deadline) {
            state.lease_deadline = this->task_lease_deadline();
            out.push_back(renew_lease{task, state.lease_deadline});
        }
        else if (state.phase == task_phase::stopping && now >= state.next_stop) {
            state.next_stop = now + this->options.stop_retry_period;
            out.push_back(stop_task{task, state.stop_deadline});
        }
    }
    return out;
}

void gang_participant::check_deadlines(const task_key& task, task_state& state, actions& out)
{
    const steady_time now = this->clock();
    const bool waiting =
        state.phase == task_phase::reserved || state.phase == task_phase::release_pending;
    if (waiting && now >= state.reservation_deadline) {
        state.expired = true;
        this->end(task, state, task_outcome::not_run);
    }
    else if ((state.phase == task_phase::starting || state.phase == task_phase::running) &&
             now >= state.lease_deadline) {
        this->begin_stop(task, state, now, out);
    }
    // The lease of a stopping task is not renewed, so the backend server ends the task. The extra
    // wait covers the delivery of the last renewal, which is measured from its arrival there.
    if (state.phase == task_phase::stopping &&
        now >= state.lease_deadline + this->options.stop_retry_period) {
        this->end(task, state, task_outcome::unknown);
    }
}

void gang_participant::end(const task_key& task, task_state& state, task_outcome outcome)
{
    state.phase = task_phase::ended;
    state.outcome = outcome;
    this->mark_changed(state);
    this->record_ended(task);
}

bool gang_participant::has_ended(const task_key& task) const
{
    return this->ended_tasks.contains(task);
}

void gang_participant::record_ended(const task_key& task)
{
    if (!this->ended_tasks.insert(task).second) {
        return;
    }
    this->ended_tasks_in_order.push_back(task);
    if (this->ended_tasks_in_order.size() > this->options.max_ended_tasks) {
        this->ended_tasks.erase(this->ended_tasks_in_order.front());
        this->ended_tasks_in_order.pop_front();
    }
}

void gang_participant::mark_changed(task_state& state)
{
    ++this->version;
    state.version = this->version;
    this->changed = true;
}

member_report gang_participant::report_of(const task_key& task, const task_state& state)
{
    member_report report;
    report.task = task;
    report.checkpointed = state.checkpointed;
    report.speed_percent = state.speed_percent;
    switch (state.phase) {
    case task_phase::reserved:
        report.kind = member_report_kind::reserved_ready;
        break;
    case task_phase::release_pending:
    case task_phase::starting:
        report.kind = member_report_kind::starting;
        break;
    case task_phase::running:
        report.kind = member_report_kind::running;
        break;
    case task_phase::stopping:
        report.kind = member_report_kind::stopping;
        break;
    case task_phase::ended:
        report.kind =
            state.expired ? member_report_kind::reservation_expired : member_report_kind::ended;
        report.outcome = state.outcome;
        break;
    }
    return report;
}

std::vector<member_report> gang_participant::reports() const
{
    std::vector<member_report> all;
    all.reserve(this->tasks.size());
    for (const auto& [task, state] : this->tasks) {
        all.push_back(report_of(task, state));
    }
    return all;
}

report_batch gang_participant::changed_reports() const
{
    report_batch batch{this->delivered_version, this->version, {}};
    for (const auto& [task, state] : this->tasks) {
        // The leader acknowledges an end only in reply to a report that arrives after the whole
        // gang has ended, so ended tasks are always reported.
        if (state.version > this->delivered_version || state.phase == task_phase::ended) {
            batch.reports.push_back(report_of(task, state));
        }
    }
    return batch;
}

void gang_participant::reports_delivered(std::uint64_t from, std::uint64_t delivered,
                                         std::uint64_t term)
{
    if (term > this->delivered_term) {
        this->delivered_term = term;
        this->delivered_version = 0;
    }
    if (term == this->delivered_term && from <= this->delivered_version) {
        this->delivered_version = std::max(this->delivered_version, delivered);
    }
}

bool gang_participant::take_changed()
{
    return std::exchange(this->changed, false);
}

std::uint64_t gang_participant::accelerators_in_use() const
{
    std::uint64_t mask = 0;
    for (const auto& [task, state] : this->tasks) {
        mask |= state.phase == task_phase::ended ? 0 : state.accelerator_mask;
    }
    return mask;
}

std::uint32_t gang_participant::slots_in_use() const
{
    std::uint32_t slots = 0;
    for (const auto& [task, state] : this->tasks) {
        slots += state.phase == task_phase::ended ? 0 : state.slots;
    }
    return slots;
}

} // namespace redwingwheel::membership
