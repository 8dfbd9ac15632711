#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "redwingwheel/admission.h"
#include "redwingwheel/claims.h"
#include "redwingwheel/digest.h"
#include "redwingwheel/retry.h"

/// A deterministic simulation for tests: simulated entries, agents and backend servers around the
/// real claim table, admission queue and retry rules.
namespace redwingwheel::request::at_most_once {

namespace request = redwingwheel::request;

inline constexpr request::logged_ms start_ms = 1'800'000'000'000;
inline const std::string account = "market";
inline const std::string key = "1800000000-recount-7";
inline const std::string own_payload = "market hall 3";

/// Rules of all layers; a mutation test switches single rules off.
struct protocol_rules {
    request::claim_rules claims;
    request::admission_rules admission;
    request::retry_rules retry;
};

/// The fault injected into the first attempt.
enum class fault {
    none,
    agent_refuses,
    connection_lost_before_last_byte,
    connection_lost_in_flight,
    connection_lost_after_last_byte,
    answer_truncated,
    answer_crossed,
    agent_killed_before,
    agent_killed_during,
    agent_killed_after,
    entry_dies_before_send,
    entry_dies_after_send,
    entry_paused_before_send,
    duplicate_frame,
    late_refusal,
    former_incarnation_marked_late
};
inline constexpr int fault_count = 16;

/// The event that follows the first attempt.
enum class follow_up {
    none,
    resend_while_running,
    resend_after_end,
    resend_after_leader_change,
    resend_after_expiry,
    resend_with_other_payload,
    duplicate_start_after_end,
    duplicate_start_after_restart,
    premature_reassign
};
inline constexpr int follow_up_count = 9;

struct frame {
    attempt_id attempt = 0;
    std::string worker;
    request::incarnation_id incarnation = 0;
    std::string payload;
};

/// An agent incarnation and its admission queue. Its backend server only counts executions.
struct agent {
    request::incarnation_id incarnation = 0;
    std::unique_ptr<request::admission_queue> queue;
};

/// What an entry reported to a caller. `attempts` are the attempts that the outcome is about.
struct caller_result {
    outcome_kind outcome = outcome_kind::unknown;
    std::string payload;
    std::string body;
    std::vector<attempt_id> attempts;
};

inline std::string answer_body(const std::string& payload)
{
    return "recount of " + payload;
}

/// Two agents, a claim table and any number of entries, all deterministic. Entries follow the
/// at-most-once protocol except for the rules that `rules` switches off.
class simulation {
public:
    explicit simulation(const protocol_rules& chosen) : rules(chosen), claims({}, chosen.claims)
    {
        this->restart("w1");
        this->restart("w2");
    }

    void run(fault first, follow_up after)
    {
        this->run_first_attempt(first);
        if (after == follow_up::resend_while_running) {
            this->submit(own_payload);
        }
        if (after == follow_up::premature_reassign && !this->frames.empty()) {
            this->reassign_to("w2", this->frames.front().attempt, own_payload);
        }
        if (this->paused_frame.has_value()) {
            this->deliver(*this->paused_frame);
        }
        this->complete_running(first);
        this->run_follow_up(after);
        this->complete_running(fault::none);
    }

    [[nodiscard]] std::vector<std::string> violations() const
    {
        std::vector<std::string> found;
        if (this->executions.size() > 1) {
            found.emplace_back("more than one execution");
        }
        for (const caller_result& one : this->caller_results) {
            if (one.outcome == outcome_kind::done && one.body != answer_body(one.payload)) {
                found.emplace_back("a done answer is incomplete or belongs to another request");
            }
            if (one.outcome == outcome_kind::unknown && !this->outcome_hidden) {
                found.emplace_back("outcome unknown although no fault hid it");
            }
            for (const attempt_id attempt : one.attempts) {
                if (one.outcome == outcome_kind::not_run &&
                    std::count(this->executions.begin(), this->executions.end(), attempt) > 0) {
                    found.emplace_back("outcome not_run for an attempt that ran");
                }
            }
        }
        if (this->claims.contradictions() > 0) {
            found.emplace_back("an answer for an attempt recorded as not run");
        }
        return found;
    }

    [[nodiscard]] std::size_t execution_count() const { return this->executions.size(); }
    [[nodiscard]] const std::vector<caller_result>& answers() const { return this->caller_results; }

private:
    void restart(const std::string& worker)
    {
        agent& one = this->agents[worker];
        request::admission_options options;
        one.incarnation = this->next_incarnation++;
        options.incarnation = one.incarnation;
        one.queue = std::make_unique<request::admission_queue>(
            options, this->clock.function(), [] { return true; }, this->rules.admission);
        std::erase_if(this->running,
                      [&worker](const frame& busy) { return busy.worker == worker; });
    }

    /// Hands a frame to the agent; returns the reason when it refuses.
    std::optional<request::refusal_reason> deliver(const frame& sent)
    {
        this->sent_frames.push_back(sent);
        request::request_info info;
        info.attempt = sent.attempt;
        info.account = account;
        info.service = "recount";
        info.deadline = this->clock.now() + std::chrono::hours(1);
        info.claim_incarnation = sent.incarnation;
        const request::offer_result result = this->agents[sent.worker].queue->offer(info);
        if (result.kind == request::offer_kind::refused) {
            return result.reason;
        }
        this->executions.push_back(sent.attempt);
        this->running.push_back(sent);
        return std::nullopt;
    }

    claim_result begin(const std::string& worker, const std::string& payload, attempt_id attempt)
    {
        return this->claims.apply(
            request::begin_claim{account, key, redwingwheel::digest::content_hash(payload), attempt,
                                 worker, this->agents[worker].incarnation, this->now_ms});
    }

    frame make_frame(const std::string& worker, attempt_id attempt, const std::string& payload)
    {
        this->frames.push_back(frame{attempt, worker, this->agents[worker].incarnation, payload});
        return this->frames.back();
    }

    void report_to_caller(outcome_kind outcome, const std::string& payload,
                          const std::string& body = "", std::vector<attempt_id> attempts = {})
    {
        this->caller_results.push_back(caller_result{outcome, payload, body, std::move(attempts)});
    }

    void run_first_attempt(fault first)
    {
        if (first == fault::former_incarnation_marked_late) {
            this->former_incarnation = this->agents["w1"].incarnation;
            this->restart("w1");
        }
        const attempt_id attempt = this->next_attempt++;
        if (this->begin("w1", own_payload, attempt).verdict != claim_verdict::granted) {
            return;
        }
        const frame sent = this->make_frame("w1", attempt, own_payload);
        switch (first) {
        case fault::entry_dies_before_send:
            return;
        case fault::entry_paused_before_send:
            this->paused_frame = sent;
            return;
        case fault::connection_lost_before_last_byte:
            this->conclude_attempt(attempt, request::outcome_of_end(end_cause::not_sent, false));
            return;
        case fault::connection_lost_in_flight:
            this->sent_frames.push_back(sent);
            this->lose_connection(attempt);
            return;
        case fault::agent_refuses:
        case fault::late_refusal:
            static_cast<void>(this->agents["w1"].queue->drain());
            break;
        case fault::agent_killed_before:
            this->restart("w1");
            break;
        default:
            break;
        }
        if (const std::optional<request::refusal_reason> refused = this->deliver(sent)) {
            this->conclude_attempt(attempt, request::outcome_of_refusal(*refused, true));
        }
        if (first == fault::late_refusal) {
            // Another entry's record of the same refusal is committed after the claim was
            // reassigned.
            static_cast<void>(this->claims.apply(request::finish_claim{
                attempt, request::make_bodyless_answer(attempt, outcome_kind::not_run, "refused"),
                this->now_ms}));
        }
        this->break_after_delivery(first, sent);
    }

    void break_after_delivery(fault first, const frame& sent)
    {
        switch (first) {
        case fault::connection_lost_after_last_byte:
            this->lose_connection(sent.attempt);
            break;
        case fault::agent_killed_during:
            this->outcome_hidden = true;
            this->kill("w1");
            this->lose_connection(sent.attempt);
            break;
        case fault::agent_killed_after:
            this->outcome_hidden = true;
            this->complete_running(fault::entry_dies_after_send);
            this->kill("w1");
            this->lose_connection(sent.attempt);
            break;
        case fault::duplicate_frame:
            this->deliver_duplicate(sent);
            break;
        case fault::former_incarnation_marked_late:
            static_cast<void>(this->claims.apply(
                request::mark_unknown{"w1", this->former_incarnation, this->now_ms}));
            break;
        default:
            break;
        }
    }

    void kill(const std::string& worker)
    {
        const request::incarnation_id gone = this->agents[worker].incarnation;
        this->restart(worker);
        static_cast<void>(this->claims.apply(request::mark_unknown{worker, gone, this->now_ms}));
    }

    /// The connection is lost after the send: the frame may have arrived, but no answer will.
    void lose_connection(attempt_id attempt)
    {
        this->outcome_hidden = true;
        this->abandoned_by_entry.push_back(attempt);
        this->conclude_attempt(
            attempt, request::outcome_of_end(end_cause::lost_after_send, false, this->rules.retry));
    }

    /// Delivers a frame a second time. A refusal is reported as the answer to the second send.
    void deliver_duplicate(const frame& sent)
    {
        if (const std::optional<request::refusal_reason> refused = this->deliver(sent)) {
            const outcome_kind outcome = request::outcome_of_refusal(*refused, false);
            if (outcome == outcome_kind::not_run) {
                this->report_to_caller(outcome, sent.payload, "", {sent.attempt});
            }
        }
    }

    void conclude_attempt(attempt_id attempt, outcome_kind outcome)
    {
        if (outcome != outcome_kind::not_run) {
            this->report_to_caller(outcome, own_payload, "", {attempt});
            return;
        }
        this->record_not_run(attempt);
        this->reassign_to("w2", attempt, own_payload);
    }

    void record_not_run(attempt_id attempt)
    {
        static_cast<void>(this->claims.apply(request::abandon_claim{attempt, this->now_ms}));
    }

    void reassign_to(const std::string& worker, attempt_id former_attempt,
                     const std::string& payload)
    {
        const attempt_id attempt = this->next_attempt++;
        const claim_result moved = this->claims.apply(request::reassign_claim{
            former_attempt, attempt, worker, this->agents[worker].incarnation, this->now_ms});
        if (moved.verdict == claim_verdict::granted) {
            static_cast<void>(this->deliver(this->make_frame(worker, attempt, payload)));
        }
    }

    /// Submits a caller's request at any entry, and once more after a takeover.
    void submit(const std::string& payload, int takeovers_left = 1)
    {
        const attempt_id attempt = this->next_attempt++;
        const claim_result result = this->begin("w2", payload, attempt);
        switch (result.verdict) {
        case claim_verdict::granted:
            static_cast<void>(this->deliver(this->make_frame("w2", attempt, payload)));
            break;
        case claim_verdict::answered:
            this->report_to_caller(result.recorded->outcome, payload, result.recorded->body);
            break;
        case claim_verdict::unknown:
            this->report_to_caller(outcome_kind::unknown, payload);
            break;
        case claim_verdict::in_progress:
            this->take_over(result, payload, takeovers_left);
            break;
        default:
            break;
        }
    }

    /// Cancels the attempt at the agent that holds the claim, which revokes it if it has not
    /// arrived.
    void take_over(const claim_result& held, const std::string& payload, int takeovers_left)
    {
        agent& holder = this->agents[held.worker];
        if (holder.incarnation != held.incarnation) {
            this->outcome_hidden = true;
            static_cast<void>(this->claims.apply(
                request::mark_unknown{held.worker, held.incarnation, this->now_ms}));
            this->report_to_caller(outcome_kind::unknown, payload);
            return;
        }
        const request::cancel_kind found = holder.queue->cancel(held.attempt).kind;
        if (found == request::cancel_kind::finished) {
            const answer* const kept = holder.queue->history().find_answer(held.attempt);
            static_cast<void>(
                this->claims.apply(request::finish_claim{held.attempt, *kept, this->now_ms}));
            this->report_to_caller(kept->outcome, payload, kept->body);
        }
        else if (found != request::cancel_kind::running) {
            this->record_not_run(held.attempt);
            if (takeovers_left > 0) {
                this->submit(payload, takeovers_left - 1);
            }
        }
    }

    void complete_running(fault first)
    {
        const std::vector<frame> ending = std::move(this->running);
        this->running.clear();
        for (const frame& ended : ending) {
            answer given = request::make_bodyless_answer(ended.attempt, outcome_kind::done, "");
            given.body = answer_body(ended.payload);
            request::set_body_digest(given);
            agent& one = this->agents[ended.worker];
            one.queue->store_answer(given);
            static_cast<void>(one.queue->finished(ended.attempt, outcome_kind::done));
            this->receive_answer(first, ended, given);
        }
    }

    /// Receives an answer at the entry, damaged in transit as `first` specifies.
    void receive_answer(fault first, const frame& ended, answer given)
    {
        const bool lost = std::count(this->abandoned_by_entry.begin(),
                                     this->abandoned_by_entry.end(), ended.attempt) > 0;
        if (first == fault::entry_dies_after_send || lost) {
            return;
        }
        if (first == fault::answer_truncated) {
            given.body.resize(given.body.size() / 2);
        }
        if (first == fault::answer_crossed) {
            given = request::make_bodyless_answer(ended.attempt + 1'000, outcome_kind::done, "");
            given.body = answer_body("another caller's hall");
            request::set_body_digest(given);
        }
        const bool whole = request::check_answer(given, ended.attempt).ok();
        if (this->rules.claims.check_answers && !whole) {
            this->outcome_hidden = true;
            this->report_to_caller(request::outcome_of_end(end_cause::truncated, false),
                                   ended.payload);
            return;
        }
        const claim_result recorded =
            this->claims.apply(request::finish_claim{ended.attempt, given, this->now_ms});
        if (recorded.verdict == claim_verdict::recorded) {
            this->report_to_caller(given.outcome, ended.payload, given.body);
        }
    }

    void run_follow_up(follow_up after)
    {
        switch (after) {
        case follow_up::resend_after_leader_change: {
            request::claim_table next({}, this->rules.claims);
            REQUIRE(next.restore_snapshot(this->claims.pack_snapshot()).ok());
            this->claims = std::move(next);
            this->submit(own_payload);
            break;
        }
        case follow_up::resend_after_expiry:
            this->now_ms += 25LL * 3600 * 1000;
            this->clock.advance(std::chrono::hours(25));
            static_cast<void>(this->claims.apply(request::expire_claims{this->now_ms}));
            this->submit(own_payload);
            break;
        case follow_up::resend_after_end:
            this->submit(own_payload);
            break;
        case follow_up::resend_with_other_payload:
            this->submit("market hall 4");
            break;
        case follow_up::duplicate_start_after_restart:
            this->kill("w1");
            this->kill("w2");
            this->resend_frames();
            break;
        case follow_up::duplicate_start_after_end:
            this->resend_frames();
            break;
        default:
            break;
        }
    }

    void resend_frames()
    {
        // Only frames that were completely handed to the kernel can have duplicates.
        for (const frame& sent : std::vector<frame>(this->sent_frames)) {
            this->deliver_duplicate(sent);
        }
    }

    protocol_rules rules;
    redwingwheel::manual_clock clock;
    request::logged_ms now_ms = start_ms;
    request::claim_table claims;
    std::map<std::string, agent> agents;
    std::vector<frame> running;
    std::vector<frame> frames;
    std::vector<frame> sent_frames;
    std::optional<frame> paused_frame;
    std::vector<attempt_id> executions;
    std::vector<attempt_id> abandoned_by_entry;
    std::vector<caller_result> caller_results;
    bool outcome_hidden = false;
    attempt_id next_attempt = 1;
    request::incarnation_id next_incarnation = 100;
    request::incarnation_id former_incarnation = 0;
};

} // namespace redwingwheel::request::at_most_once
