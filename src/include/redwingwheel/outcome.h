#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "redwingwheel/errors.h"
#include "redwingwheel/packing.h"

/// The outcome of a request attempt and the answer that reports it.
namespace redwingwheel::request {

/// Identifies one attempt to run a request: a random 64-bit number drawn by the entry, never
/// reused.
using attempt_id = std::uint64_t;

/// Identifies one incarnation of an agent: a random 64-bit number drawn when its process starts.
using incarnation_id = std::uint64_t;

/// `not_run` guarantees that the work did not run. With `unknown` it may or may not have run.
enum class outcome_kind : std::uint8_t { done, failed, not_run, unknown };

[[nodiscard]] std::string_view to_string(outcome_kind outcome);

enum class answer_errc { crossed = 1, truncated, damaged, unknown_outcome };

[[nodiscard]] constexpr std::string_view error_layer(answer_errc)
{
    return "answer";
}
[[nodiscard]] std::string_view error_name(answer_errc code);
[[nodiscard]] constexpr absl::StatusCode error_category(answer_errc)
{
    return absl::StatusCode::kDataLoss;
}

/// The answer to one attempt, as sent from the agent to the entry and stored in the replicated log.
struct answer {
    attempt_id attempt = 0;
    outcome_kind outcome = outcome_kind::unknown;
    int http_status = 0;
    std::string content_type;
    std::string body;
    /// Length in bytes of the whole body; differs from `body.size()` when the body was truncated.
    std::uint64_t body_length = 0;
    /// digest::content_hash of the whole body.
    std::uint64_t body_digest = 0;
    /// Human-readable reason; empty for `done`.
    std::string detail;
    MSGPACK_DEFINE(attempt, outcome, http_status, content_type, body, body_length, body_digest,
                   detail)
};

/// Sets `body_length` and `body_digest` of `completed` from its body.
void set_body_digest(answer& completed);

/// Builds an answer without a body: a refusal, or an outcome that the entry infers itself.
[[nodiscard]] answer make_bodyless_answer(attempt_id attempt, outcome_kind outcome,
                                          std::string_view detail);

/// Checks that `received` is the complete, intact answer to the attempt `expected`.
/// Errors: answer_errc::crossed for another attempt, ::truncated for a wrong length, ::damaged for
/// a wrong digest, ::unknown_outcome for a value outside outcome_kind.
[[nodiscard]] absl::Status check_answer(const answer& received, attempt_id expected);

/// Outcome that the agent reports when the backend server's response body is incomplete or corrupt:
/// `failed` for idempotent work, `unknown` otherwise.
[[nodiscard]] outcome_kind outcome_of_incomplete_body(bool idempotent);

} // namespace redwingwheel::request

MSGPACK_ADD_ENUM(redwingwheel::request::outcome_kind);
