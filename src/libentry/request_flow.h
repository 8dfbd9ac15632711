#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/entry_service.h"

namespace redwingwheel::entry {

/// What a caller asked for.
struct caller_request {
    std::string account;
    config::service service;
    std::uint32_t account_weight = 1;
    /// Empty for idempotent work.
    std::string key;
    std::string content_type;
    std::string body;
    steady_time deadline;
};

/// One caller's request from its arrival to its answer: attempts, retries and the claim. Lives on
/// the control thread.
class request_flow : public std::enable_shared_from_this<request_flow> {
public:
    request_flow(entry_service& owner, caller_request asked, http::responder respond);

    void start();

private:
    struct attempt_state {
        std::uint64_t attempt = 0;
        request::routing_choice choice;
        steady_time sent_at;
    };

    void next_attempt();
    void on_no_agent();
    void log_decision(const request::routing_decision& made) const;
    [[nodiscard]] std::uint64_t payload_digest() const;
    void begin_claim();
    /// Tells whether "not run" is true although this entry has sent nothing: an earlier send of the
    /// key may have run.
    void look_up_claim(std::string_view reason);
    void refuse_without_claim();
    void on_known_claim(const messages::claim_reply& result);
    void on_claim(const absl::StatusOr<std::string>& body);
    void reassign_claim(std::uint64_t former);
    void send();
    void on_answer(const absl::StatusOr<std::string>& body);
    void on_lost(request::end_cause cause, std::string_view detail);
    void conclude(request::answer answer, request::end_cause cause);
    void retry_or_give_up(request::answer answer, request::end_cause cause);
    void note_outcome(request::outcome_kind outcome, const request::load_report* load);

    /// Follows an attempt whose answer this entry does not have.
    void follow(std::uint64_t attempt, const std::string& worker, std::uint64_t incarnation);
    void on_fetched(std::uint64_t attempt, const std::string& worker, std::uint64_t incarnation,
                    const absl::StatusOr<std::string>& body);
    void on_never_seen(std::uint64_t attempt, const std::string& worker, std::uint64_t incarnation);
    void bar(std::uint64_t attempt, const std::string& worker, std::uint64_t incarnation);

    void record_and_answer(const request::answer& answer);
    void answer_caller(const request::answer& answer);
    void refuse(int status, std::string_view outcome, std::string_view reason);
    void respond(const http::server_response& response, std::string_view outcome);
    [[nodiscard]] bool claimed() const { return !this->asked.service.idempotent; }

    entry_service& owner;
    caller_request asked;
    http::responder reply;
    steady_time begun_at;
    attempt_state current;
    std::vector<std::string> excluded;
    std::optional<steady_time> never_seen_since;
    std::uint32_t tries = 0;
    bool has_claim = false;
    bool done = false;
};

} // namespace redwingwheel::entry
