#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/entry_service.h"

namespace redwingwheel::entry {

/// HTTP status of the responses that the entry makes itself.
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_key_reused = 422;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_timeout = 504;

/// Reads the control leader's reply to a message about a claim. Passes on the error of a call that
/// failed.
[[nodiscard]] absl::StatusOr<messages::claim_reply>
read_claim(const absl::StatusOr<std::string>& body);

/// A caller's request to a service, authenticated and checked.
struct caller_request {
    std::string account;
    config::service service;
    std::uint32_t account_weight = 1;
    /// Idempotency key; required unless the service is idempotent.
    std::string key;
    std::string content_type;
    std::string body;
    steady_time deadline;
};

/// Handles one caller's request until it is answered: routes attempts to agents, retries, and for a
/// service that is not idempotent keeps the claim on the idempotency key at the control leader.
/// All functions run on the control thread. Callbacks of pending calls keep the object alive.
class request_flow : public std::enable_shared_from_this<request_flow> {
public:
    request_flow(entry_service& owner, caller_request incoming, http::responder respond);

    void start();

private:
    struct attempt_state {
        std::uint64_t attempt = 0;
        request::routing_choice choice;
        steady_time sent_at;
    };

    /// Chooses a worker for a new attempt and begins or moves the claim, or sends the attempt.
    void start_next_attempt();
    void on_no_agent();
    void log_decision(const request::routing_decision& routing) const;
    /// Digest of service name and body; detects reuse of a key with another request.
    [[nodiscard]] std::uint64_t payload_digest() const;
    void begin_claim();
    /// Looks up the claim of the key before answering "not_run". This entry has sent nothing, but
    /// an earlier send with the same key may have run.
    void look_up_claim(std::string_view reason);
    void respond_control_unreachable();
    /// Continues after any result of a claim call but `granted`.
    void on_claim_not_granted(const messages::claim_reply& result);
    void on_claim_reply(const absl::StatusOr<std::string>& body);
    /// Moves the claim from `previous_attempt`, which is recorded as not run, to the current
    /// attempt.
    void reassign_claim(std::uint64_t previous_attempt);
    void send();
    void on_answer(const absl::StatusOr<std::string>& body);
    /// The agent's answer to the current attempt is missing or damaged.
    void on_attempt_lost(request::end_cause cause, std::string_view detail);
    /// Answers the caller, fetches the answer or retries, depending on the outcome.
    void on_attempt_ended(request::answer answer, request::end_cause cause);
    void retry_or_give_up(request::answer answer, request::end_cause cause);
    /// Reports the current attempt's outcome and latency to the router. `load` may be null.
    void report_outcome(request::outcome_kind outcome, const request::load_report* load);

    /// Asks the agent of an attempt for its answer, repeatedly until the answer is known or the
    /// request's deadline has passed. The attempt may have been sent by another entry.
    void fetch_attempt_answer(std::uint64_t attempt, const std::string& worker,
                              std::uint64_t incarnation);
    void on_fetched(std::uint64_t attempt, const std::string& worker, std::uint64_t incarnation,
                    const absl::StatusOr<std::string>& body);
    /// The agent does not know the attempt: waits `arrival_timeout` for it, then revokes it.
    void on_never_seen(std::uint64_t attempt, const std::string& worker, std::uint64_t incarnation);
    /// Cancels an attempt that has not arrived at its agent, so that it can never start there.
    void revoke_attempt(std::uint64_t attempt, const std::string& worker,
                        std::uint64_t incarnation);

    /// Records the answer in the claim, if there is one, before it goes to the caller.
    void record_and_answer(const request::answer& answer);
    void answer_caller(const request::answer& answer);
    void respond_error(int status, std::string_view outcome, std::string_view reason);
    void respond(const http::server_response& response, std::string_view outcome);
    /// A request to a service that is not idempotent is sent only while its key is claimed.
    [[nodiscard]] bool needs_claim() const { return !this->incoming.service.idempotent; }

    entry_service& owner;
    caller_request incoming;
    http::responder reply;
    steady_time started_at;
    attempt_state current;
    /// Workers that later attempts must not use.
    std::vector<std::string> excluded;
    /// When an agent first reported that it does not know the attempt.
    std::optional<steady_time> never_seen_since;
    std::uint32_t attempts_made = 0;
    /// This flow holds the claim of the key.
    bool has_claim = false;
    bool responded = false;
};

} // namespace redwingwheel::entry
