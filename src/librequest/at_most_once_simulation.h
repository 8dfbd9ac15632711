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

/// Stand-ins for entries, agents and backend servers around the real decisions; for tests.
namespace redwingwheel::request::at_most_once {

namespace request = redwingwheel::request;

inline constexpr request::logged_ms start_ms = 1'800'000'000'000;
inline const std::string account = "market";
inline const std::string key = "1800000000-recount-7";
inline const std::string own_payload = "market hall 3";

struct world_rules {
    request::claim_rules claims;
    request::admission_rules admission;
    request::retry_rules retry;
};

/// What goes wrong with the first try.
enum class fault {
    none,
    agent_refuses,
    broken_before_last_byte,
    broken_in_flight,
    broken_after_last_byte,
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

/// What follows the first try.
enum class sequel {
    none,
    resend_while_running,
    resend_after_end,
    resend_after_leader_change,
    resend_after_expiry,
    resend_with_other_payload,
    duplicate_start_after_end,
    duplicate_start_after_restart,
    hasty_reassign
};
inline constexpr int sequel_count = 9;

struct frame {
    attempt_id attempt = 0;
    std::string worker;
    request::incarnation_id incarnation = 0;
    std::string payload;
};

/// One agent with its queue and a backend server that only counts.
struct agent {
    request::incarnation_id incarnation = 0;
    std::unique_ptr<request::admission_queue> queue;
};

struct told {
    outcome_kind outcome = outcome_kind::unknown;
    std::string payload;
    std::string body;
    std::vector<attempt_id> attempts;
};

inline std::string answer_body(const std::string& payload)
{
    return "recount of " + payload;
}

/// Two agents, the log and any number of entries, all deterministic. Entries follow the rules of
/// the design page; `rules` breaks one of them.
class world {
public:
    explicit world(const world_rules& kept) : rules(kept), log({}, kept.claims)
    {
        this->restart("w1");
        this->restart("w2");
    }

    void run(fault first, sequel after)
    {
        this->first_try(first);
        if (after == sequel::resend_while_running) {
            this->submit(own_payload);
        }
        if (after == sequel::hasty_reassign && !this->frames.empty()) {
            this->move_to("w2", this->frames.front().attempt, own_payload);
        }
        if (this->paused.has_value()) {
            this->deliver(*this->paused);
        }
        this->complete_running(first);
        this->follow(after);
        this->complete_running(fault::none);
    }

    [[nodiscard]] std::vector<std::string> violations() const
    {
        std::vector<std::string> found;
        if (this->executions.size() > 1) {
            found.emplace_back("more than one execution");
        }
        for (const told& one : this->callers) {
            if (one.outcome == outcome_kind::done && one.body != answer_body(one.payload)) {
                found.emplace_back("not the own, whole answer");
            }
            if (one.outcome == outcome_kind::unknown && !this->outcome_hidden) {
                found.emplace_back("unknown although no fault hid the outcome");
            }
            for (const attempt_id attempt : one.attempts) {
                if (one.outcome == outcome_kind::not_run &&
                    std::count(this->executions.begin(), this->executions.end(), attempt) > 0) {
                    found.emplace_back("not run is false");
                }
            }
        }
        if (this->log.contradictions() > 0) {
            found.emplace_back("an answer to an attempt recorded as not run");
        }
        return found;
    }

    [[nodiscard]] std::size_t execution_count() const { return this->executions.size(); }
    [[nodiscard]] const std::vector<told>& answers() const { return this->callers; }

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
        this->handed_over.push_back(sent);
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
        return this->log.apply(
            request::begin_claim{account, key, redwingwheel::digest::content_hash(payload), attempt,
                                 worker, this->agents[worker].incarnation, this->now_ms});
    }

    frame make_frame(const std::string& worker, attempt_id attempt, const std::string& payload)
    {
        this->frames.push_back(frame{attempt, worker, this->agents[worker].incarnation, payload});
        return this->frames.back();
    }

    void tell(outcome_kind outcome, const std::string& payload, const std::string& body = "",
              std::vector<attempt_id> attempts = {})
    {
        this->callers.push_back(told{outcome, payload, body, std::move(attempts)});
    }

    void first_try(fault first)
    {
        if (first == fault::former_incarnation_marked_late) {
            this->former = this->agents["w1"].incarnation;
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
            this->paused = sent;
            return;
        case fault::broken_before_last_byte:
            this->conclude(attempt, request::outcome_of_end(end_cause::not_sent, false));
            return;
        case fault::broken_in_flight:
            this->handed_over.push_back(sent);
            this->lose(attempt);
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
            this->conclude(attempt, request::outcome_of_refusal(*refused, true));
        }
        if (first == fault::late_refusal) {
            // A second entry's record of the same refusal is committed after the claim has moved.
            static_cast<void>(this->log.apply(request::finish_claim{
                attempt, request::make_bodyless_answer(attempt, outcome_kind::not_run, "refused"),
                this->now_ms}));
        }
        this->break_after_delivery(first, sent);
    }

    void break_after_delivery(fault first, const frame& sent)
    {
        switch (first) {
        case fault::broken_after_last_byte:
            this->lose(sent.attempt);
            break;
        case fault::agent_killed_during:
            this->outcome_hidden = true;
            this->kill("w1");
            this->lose(sent.attempt);
            break;
        case fault::agent_killed_after:
            this->outcome_hidden = true;
            this->complete_running(fault::entry_dies_after_send);
            this->kill("w1");
            this->lose(sent.attempt);
            break;
        case fault::duplicate_frame:
            this->deliver_again(sent);
            break;
        case fault::former_incarnation_marked_late:
            static_cast<void>(
                this->log.apply(request::mark_unknown{"w1", this->former, this->now_ms}));
            break;
        default:
            break;
        }
    }

    void kill(const std::string& worker)
    {
        const request::incarnation_id gone = this->agents[worker].incarnation;
        this->restart(worker);
        static_cast<void>(this->log.apply(request::mark_unknown{worker, gone, this->now_ms}));
    }

    /// The frame may have arrived; its answer will not.
    void lose(attempt_id attempt)
    {
        this->outcome_hidden = true;
        this->abandoned_by_entry.push_back(attempt);
        this->conclude(
            attempt, request::outcome_of_end(end_cause::lost_after_send, false, this->rules.retry));
    }

    /// A frame that reaches the agent twice. Its refusal is the answer to this second send.
    void deliver_again(const frame& sent)
    {
        if (const std::optional<request::refusal_reason> refused = this->deliver(sent)) {
            const outcome_kind outcome = request::outcome_of_refusal(*refused, false);
            if (outcome == outcome_kind::not_run) {
                this->tell(outcome, sent.payload, "", {sent.attempt});
            }
        }
    }

    void conclude(attempt_id attempt, outcome_kind outcome)
    {
        if (outcome != outcome_kind::not_run) {
            this->tell(outcome, own_payload, "", {attempt});
            return;
        }
        this->record_not_run(attempt);
        this->move_to("w2", attempt, own_payload);
    }

    void record_not_run(attempt_id attempt)
    {
        static_cast<void>(this->log.apply(request::abandon_claim{attempt, this->now_ms}));
    }

    void move_to(const std::string& worker, attempt_id former_attempt, const std::string& payload)
    {
        const attempt_id attempt = this->next_attempt++;
        const claim_result moved = this->log.apply(request::reassign_claim{
            former_attempt, attempt, worker, this->agents[worker].incarnation, this->now_ms});
        if (moved.verdict == claim_verdict::granted) {
            static_cast<void>(this->deliver(this->make_frame(worker, attempt, payload)));
        }
    }

    /// A caller's request at any entry, and again after a takeover.
    void submit(const std::string& payload, int takeovers_left = 1)
    {
        const attempt_id attempt = this->next_attempt++;
        const claim_result result = this->begin("w2", payload, attempt);
        switch (result.verdict) {
        case claim_verdict::granted:
            static_cast<void>(this->deliver(this->make_frame("w2", attempt, payload)));
            break;
        case claim_verdict::answered:
            this->tell(result.recorded->outcome, payload, result.recorded->body);
            break;
        case claim_verdict::unknown:
            this->tell(outcome_kind::unknown, payload);
            break;
        case claim_verdict::in_progress:
            this->take_over(result, payload, takeovers_left);
            break;
        default:
            break;
        }
    }

    /// Asks the agent that holds the claim, which bars the attempt when it never arrived.
    void take_over(const claim_result& held, const std::string& payload, int takeovers_left)
    {
        agent& holder = this->agents[held.worker];
        if (holder.incarnation != held.incarnation) {
            this->outcome_hidden = true;
            static_cast<void>(this->log.apply(
                request::mark_unknown{held.worker, held.incarnation, this->now_ms}));
            this->tell(outcome_kind::unknown, payload);
            return;
        }
        const request::cancel_kind found = holder.queue->cancel(held.attempt).kind;
        if (found == request::cancel_kind::finished) {
            const answer* const kept = holder.queue->history().find_answer(held.attempt);
            static_cast<void>(
                this->log.apply(request::finish_claim{held.attempt, *kept, this->now_ms}));
            this->tell(kept->outcome, payload, kept->body);
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
        for (const frame& over : ending) {
            answer given = request::make_bodyless_answer(over.attempt, outcome_kind::done, "");
            given.body = answer_body(over.payload);
            request::set_body_digest(given);
            agent& one = this->agents[over.worker];
            one.queue->store_answer(given);
            static_cast<void>(one.queue->finished(over.attempt, outcome_kind::done));
            this->receive(first, over, given);
        }
    }

    /// The entry's side of an answer, damaged on the way as `first` says.
    void receive(fault first, const frame& over, answer given)
    {
        const bool lost = std::count(this->abandoned_by_entry.begin(),
                                     this->abandoned_by_entry.end(), over.attempt) > 0;
        if (first == fault::entry_dies_after_send || lost) {
            return;
        }
        if (first == fault::answer_truncated) {
            given.body.resize(given.body.size() / 2);
        }
        if (first == fault::answer_crossed) {
            given = request::make_bodyless_answer(over.attempt + 1'000, outcome_kind::done, "");
            given.body = answer_body("another caller's hall");
            request::set_body_digest(given);
        }
        const bool whole = request::check_answer(given, over.attempt).ok();
        if (this->rules.claims.check_answers && !whole) {
            this->outcome_hidden = true;
            this->tell(request::outcome_of_end(end_cause::truncated, false), over.payload);
            return;
        }
        const claim_result recorded =
            this->log.apply(request::finish_claim{over.attempt, given, this->now_ms});
        if (recorded.verdict == claim_verdict::recorded) {
            this->tell(given.outcome, over.payload, given.body);
        }
    }

    void follow(sequel after)
    {
        switch (after) {
        case sequel::resend_after_leader_change: {
            request::claim_table next({}, this->rules.claims);
            REQUIRE(next.restore_snapshot(this->log.pack_snapshot()).ok());
            this->log = std::move(next);
            this->submit(own_payload);
            break;
        }
        case sequel::resend_after_expiry:
            this->now_ms += 25LL * 3600 * 1000;
            this->clock.advance(std::chrono::hours(25));
            static_cast<void>(this->log.apply(request::expire_claims{this->now_ms}));
            this->submit(own_payload);
            break;
        case sequel::resend_after_end:
            this->submit(own_payload);
            break;
        case sequel::resend_with_other_payload:
            this->submit("market hall 4");
            break;
        case sequel::duplicate_start_after_restart:
            this->kill("w1");
            this->kill("w2");
            this->repeat_frames();
            break;
        case sequel::duplicate_start_after_end:
            this->repeat_frames();
            break;
        default:
            break;
        }
    }

    void repeat_frames()
    {
        // A frame that was not handed to the kernel whole has no duplicate.
        for (const frame& sent : std::vector<frame>(this->handed_over)) {
            this->deliver_again(sent);
        }
    }

    world_rules rules;
    redwingwheel::manual_clock clock;
    request::logged_ms now_ms = start_ms;
    request::claim_table log;
    std::map<std::string, agent> agents;
    std::vector<frame> running;
    std::vector<frame> frames;
    std::vector<frame> handed_over;
    std::optional<frame> paused;
    std::vector<attempt_id> executions;
    std::vector<attempt_id> abandoned_by_entry;
    std::vector<told> callers;
    bool outcome_hidden = false;
    attempt_id next_attempt = 1;
    request::incarnation_id next_incarnation = 100;
    request::incarnation_id former = 0;
};

} // namespace redwingwheel::request::at_most_once
