#include "redwingwheel/admission.h"

#include <algorithm>

namespace redwingwheel::request {

namespace {

/// Weights of the newest value in the moving averages of run times and error rates.
constexpr double duration_weight = 0.2;
constexpr double error_weight = 0.1;
/// Minimum slot time, in milliseconds, charged for a start, so that work without a declared run
/// time is not free.
constexpr double min_charge_ms = 1.0;
/// Limit of the services whose run times are remembered.
constexpr std::size_t max_services = 512;
/// Factor by which each refusal based on a service's average run time lowers that average. Without
/// it an average from long runs would refuse every request with a short deadline, and no shorter
/// run could correct it.
constexpr double history_decay = 0.95;

double in_ms(std::chrono::nanoseconds length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

admission_queue::admission_queue(admission_options chosen, clock_function clock_source,
                                 std::function<bool()> permit_check, admission_rules chosen_rules)
    : options(chosen), clock(clock_source), may_start(std::move(permit_check)), rules(chosen_rules),
      ended_attempts(chosen.history, std::move(clock_source))
{
}

admission_queue::class_state& admission_queue::state_of(request_class priority)
{
    return this->classes[static_cast<std::size_t>(priority)];
}

const admission_queue::class_state& admission_queue::state_of(request_class priority) const
{
    return this->classes[static_cast<std::size_t>(priority)];
}

offer_result admission_queue::offer(const request_info& offered)
{
    offer_result result;
    if (const std::optional<refusal_reason> reason = this->reason_to_refuse(offered)) {
        // A duplicate, or an attempt for another incarnation, may have run and must not be recorded
        // as never_ran.
        if (*reason != refusal_reason::duplicate_attempt &&
            *reason != refusal_reason::wrong_incarnation) {
            this->ended_attempts.add(offered.attempt, offered.claim_incarnation.has_value(),
                                     end_kind::never_ran);
        }
        result.reason = *reason;
        return result;
    }
    this->state_of(offered.priority).waiting.push(offered);
    this->queued.emplace(offered.attempt, offered.priority);
    this->fill_slots(result.other_attempts);
    if (this->queued.contains(offered.attempt)) {
        const std::optional<refusal_reason> reason = this->reason_not_to_queue(offered);
        if (reason.has_value()) {
            this->state_of(offered.priority).waiting.remove(offered.attempt);
            this->refuse_queued(offered, *reason, result.other_attempts);
        }
        else if (!this->make_room_for(offered, result.other_attempts)) {
            this->state_of(offered.priority).waiting.remove(offered.attempt);
            this->refuse_queued(offered, refusal_reason::full, result.other_attempts);
        }
    }
    const auto is_offered = [&offered](const auto& other) {
        return other.attempt == offered.attempt;
    };
    if (std::erase_if(result.other_attempts.started, is_offered) > 0) {
        result.kind = offer_kind::started;
    }
    else if (this->queued.contains(offered.attempt)) {
        result.kind = offer_kind::queued;
    }
    else {
        const auto refused = std::find_if(result.other_attempts.refused.begin(),
                                          result.other_attempts.refused.end(), is_offered);
        result.reason = refused->reason;
        result.other_attempts.refused.erase(refused);
    }
    return result;
}

std::optional<refusal_reason> admission_queue::reason_to_refuse(const request_info& offered) const
{
    // The incarnation and duplicate checks come first: all other reasons imply not_run, which would
    // be false for an attempt that is running or has run.
    if (this->rules.check_incarnation && offered.claim_incarnation.has_value() &&
        *offered.claim_incarnation != this->options.incarnation) {
        return refusal_reason::wrong_incarnation;
    }
    if (this->running.contains(offered.attempt) || this->queued.contains(offered.attempt)) {
        return refusal_reason::duplicate_attempt;
    }
    const std::optional<end_kind> end = this->ended_attempts.find(offered.attempt);
    if (end.has_value() && this->rules.check_duplicates) {
        return *end == end_kind::ran ? refusal_reason::duplicate_attempt : refusal_reason::revoked;
    }
    if (this->draining) {
        return refusal_reason::shutting_down;
    }
    if (!this->may_start()) {
        return refusal_reason::no_permit;
    }
    if (offered.claim_incarnation.has_value() && this->ended_attempts.claimed_full()) {
        return refusal_reason::history_full;
    }
    if (offered.deadline <= this->clock()) {
        return refusal_reason::deadline_passed;
    }
    if (offered.slots > this->slots_open_to(offered.priority)) {
        return refusal_reason::too_many_slots;
    }
    return std::nullopt;
}

std::optional<refusal_reason> admission_queue::reason_not_to_queue(const request_info& offered)
{
    const double account_bound = this->options.max_account_queue_share * this->options.max_queued;
    if (this->account_waiting(offered.account) > account_bound) {
        return refusal_reason::account_share_full;
    }
    const double left_ms = in_ms(offered.deadline - this->clock());
    if (this->estimated_wait_ms(offered) + this->expected_ms(offered) > left_ms) {
        return refusal_reason::deadline_unmeetable;
    }
    return std::nullopt;
}

std::optional<refusal_reason> admission_queue::reason_not_to_start(const request_info& candidate)
{
    const steady_time now = this->clock();
    if (candidate.deadline <= now) {
        return refusal_reason::deadline_passed;
    }
    if (this->expected_ms(candidate) <= in_ms(candidate.deadline - now)) {
        return std::nullopt;
    }
    const auto history = this->service_duration_ms.find(candidate.service);
    if (history != this->service_duration_ms.end()) {
        history->second *= history_decay;
    }
    return refusal_reason::deadline_unmeetable;
}

bool admission_queue::make_room_for(const request_info& offered, dispatch_result& out)
{
    if (this->waiting_count() <= this->options.max_queued) {
        return true;
    }
    for (std::size_t index = class_count; index > 0; --index) {
        const request_class lower = static_cast<request_class>(index - 1);
        if (lower <= offered.priority) {
            return false;
        }
        if (const std::optional<request_info> removed =
                this->state_of(lower).waiting.remove_newest()) {
            this->refuse_queued(*removed, refusal_reason::full, out);
            return true;
        }
    }
    return false;
}

void admission_queue::fill_slots(dispatch_result& out)
{
    std::optional<request_class> priority = this->next_class();
    while (priority.has_value()) {
        class_state& state = this->state_of(*priority);
        const request_info head = *state.waiting.head();
        if (const std::optional<refusal_reason> reason = this->reason_not_to_start(head)) {
            state.waiting.remove(head.attempt);
            this->refuse_queued(head, *reason, out);
        }
        else if (!this->fits(head)) {
            return;
        }
        else if (!this->may_start()) {
            this->refuse_all_queued(refusal_reason::no_permit, out);
            return;
        }
        else {
            this->start(head, out);
        }
        priority = this->next_class();
    }
}

void admission_queue::start(const request_info& begun, dispatch_result& out)
{
    class_state& state = this->state_of(begun.priority);
    const double cost_ms =
        std::max(min_charge_ms, this->expected_ms(begun)) * std::max<std::uint32_t>(1, begun.slots);
    state.waiting.pop_head(this->rules.fair_shares ? cost_ms : 0.0);
    this->charge_class(begun.priority, cost_ms);
    this->queued.erase(begun.attempt);
    this->running.emplace(begun.attempt, running_attempt{begun, this->clock(), cost_ms});
    ++state.running;
    state.slots_used += begun.slots;
    this->used_slots += begun.slots;
    out.started.push_back(begun);
}

void admission_queue::charge_class(request_class priority, double cost_ms)
{
    if (priority == request_class::interactive) {
        return;
    }
    class_state& state = this->state_of(priority);
    const std::uint32_t weight = priority == request_class::standard ? this->options.standard_weight
                                                                     : this->options.batch_weight;
    const double start_tag = std::max(state.finish_tag, this->background_virtual_time);
    this->background_virtual_time = start_tag;
    state.finish_tag = start_tag + cost_ms / std::max<std::uint32_t>(1, weight);
}

dispatch_result admission_queue::finished(attempt_id attempt, outcome_kind outcome)
{
    dispatch_result out;
    const auto found = this->running.find(attempt);
    if (found == this->running.end()) {
        return out;
    }
    const running_attempt ended = std::move(found->second);
    this->running.erase(found);
    class_state& state = this->state_of(ended.info.priority);
    --state.running;
    state.slots_used -= ended.info.slots;
    this->used_slots -= ended.info.slots;
    this->record_end(ended, outcome);
    this->ended_attempts.add(attempt, ended.info.claim_incarnation.has_value(),
                             outcome == outcome_kind::not_run ? end_kind::never_ran
                                                              : end_kind::ran);
    this->fill_slots(out);
    if (state.running == 0 && state.waiting.size() == 0) {
        state.waiting.reset_shares();
    }
    return out;
}

void admission_queue::record_end(const running_attempt& ended_attempt, outcome_kind outcome)
{
    const double used_ms = in_ms(this->clock() - ended_attempt.started_at);
    class_state& state = this->state_of(ended_attempt.info.priority);
    if (this->rules.fair_shares) {
        state.waiting.correct_charge(ended_attempt.info.account, ended_attempt.charged_ms,
                                     used_ms *
                                         std::max<std::uint32_t>(1, ended_attempt.info.slots));
    }
    if (outcome != outcome_kind::not_run) {
        const double failed = outcome == outcome_kind::done ? 0.0 : 1.0;
        this->error_rate += error_weight * (failed - this->error_rate);
    }
    // Only successful attempts count, since failures often end early.
    if (outcome != outcome_kind::done) {
        return;
    }
    state.duration_ms +=
        (state.duration_ms > 0.0 ? duration_weight : 1.0) * (used_ms - state.duration_ms);
    const auto history = this->service_duration_ms.find(ended_attempt.info.service);
    if (history != this->service_duration_ms.end()) {
        history->second += duration_weight * (used_ms - history->second);
    }
    else if (this->service_duration_ms.size() < max_services) {
        this->service_duration_ms.emplace(ended_attempt.info.service, used_ms);
    }
}

void admission_queue::refuse_queued(const request_info& waiting, refusal_reason reason,
                                    dispatch_result& out)
{
    this->queued.erase(waiting.attempt);
    this->ended_attempts.add(waiting.attempt, waiting.claim_incarnation.has_value(),
                             end_kind::never_ran);
    out.refused.push_back(refused_attempt{waiting.attempt, reason});
}

void admission_queue::refuse_all_queued(refusal_reason reason, dispatch_result& out)
{
    for (class_state& state : this->classes) {
        for (const request_info& waiting :
             state.waiting.remove_if([](const request_info&) { return true; })) {
            this->refuse_queued(waiting, reason, out);
        }
    }
}

cancel_result admission_queue::cancel(attempt_id attempt, bool claimed)
{
    cancel_result result;
    if (this->running.contains(attempt)) {
        result.kind = cancel_kind::running;
        return result;
    }
    const auto waiting = this->queued.find(attempt);
    if (waiting == this->queued.end()) {
        const std::optional<end_kind> end = this->ended_attempts.find(attempt);
        if (end == end_kind::ran) {
            result.kind = cancel_kind::finished;
            return result;
        }
        if (this->rules.refuse_revoked) {
            this->ended_attempts.add(attempt, claimed, end_kind::never_ran);
        }
        return result;
    }
    const std::optional<request_info> removed =
        this->state_of(waiting->second).waiting.remove(attempt);
    this->queued.erase(waiting);
    this->ended_attempts.add(attempt, removed->claim_incarnation.has_value(), end_kind::never_ran);
    result.kind = cancel_kind::removed_from_queue;
    // The removed attempt may have been the head of the queue that did not fit into the free slots.
    this->fill_slots(result.other_attempts);
    return result;
}

dispatch_result admission_queue::drain()
{
    dispatch_result out;
    this->draining = true;
    this->refuse_all_queued(refusal_reason::shutting_down, out);
    return out;
}

dispatch_result admission_queue::expire()
{
    dispatch_result out;
    const steady_time now = this->clock();
    if (!this->queued.empty() && !this->may_start()) {
        this->refuse_all_queued(refusal_reason::no_permit, out);
        return out;
    }
    for (class_state& state : this->classes) {
        for (const request_info& waiting : state.waiting.remove_if(
                 [now](const request_info& candidate) { return candidate.deadline <= now; })) {
            this->refuse_queued(waiting, refusal_reason::deadline_passed, out);
        }
    }
    this->fill_slots(out);
    return out;
}

bool admission_queue::hold_slots(std::uint64_t task, std::uint32_t count)
{
    const std::uint32_t reserved =
        std::min(this->options.reserved_non_batch_slots, this->options.slots - 1);
    const bool free =
        this->used_slots + this->held_slots + count + reserved <= this->options.slots &&
        this->running.size() + this->held_by_task.size() < this->options.connections;
    if (this->draining || !free || !this->may_start() || this->held_by_task.contains(task)) {
        return false;
    }
    this->held_by_task.emplace(task, count);
    this->held_slots += count;
    return true;
}

dispatch_result admission_queue::release_slots(std::uint64_t task)
{
    dispatch_result out;
    const auto found = this->held_by_task.find(task);
    if (found != this->held_by_task.end()) {
        this->held_slots -= found->second;
        this->held_by_task.erase(found);
        this->fill_slots(out);
    }
    return out;
}

load_report admission_queue::load() const
{
    load_report report;
    report.slots = this->options.slots;
    report.held_slots = this->held_slots;
    report.error_rate = this->error_rate;
    for (std::size_t index = 0; index < class_count; ++index) {
        report.running[index] = this->classes[index].running;
        report.queued[index] = this->classes[index].waiting.size();
        report.duration_ms[index] = this->classes[index].duration_ms;
    }
    return report;
}

bool admission_queue::idle() const
{
    return this->running.empty() && this->queued.empty() && this->held_by_task.empty();
}

std::optional<steady_time> admission_queue::next_deadline() const
{
    std::optional<steady_time> earliest;
    for (const class_state& state : this->classes) {
        const std::optional<steady_time> candidate = state.waiting.earliest_deadline();
        if (candidate.has_value() && (!earliest.has_value() || *candidate < *earliest)) {
            earliest = candidate;
        }
    }
    return earliest;
}

} // namespace redwingwheel::request
