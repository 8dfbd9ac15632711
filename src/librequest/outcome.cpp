#include "redwingwheel/outcome.h"

#include <fmt/format.h>

#include "redwingwheel/digest.h"

namespace redwingwheel::request {

std::string_view to_string(outcome_kind outcome)
{
    switch (outcome) {
    case outcome_kind::done:
        return "done";
    case outcome_kind::failed:
        return "failed";
    case outcome_kind::not_run:
        return "not_run";
    case outcome_kind::unknown:
        return "unknown";
    }
    return "invalid";
}

std::string_view error_name(answer_errc code)
{
    switch (code) {
    case answer_errc::crossed:
        return "crossed";
    case answer_errc::truncated:
        return "truncated";
    case answer_errc::damaged:
        return "damaged";
    case answer_errc::unknown_outcome:
        return "unknown_outcome";
    }
    return "invalid";
}

void set_body_digest(answer& completed)
{
    completed.body_length = completed.body.size();
    completed.body_digest = digest::content_hash(completed.body);
}

answer make_bodyless_answer(attempt_id attempt, outcome_kind outcome, std::string_view detail)
{
    answer made;
    made.attempt = attempt;
    made.outcome = outcome;
    made.detail = detail;
    set_body_digest(made);
    return made;
}

absl::Status check_answer(const answer& received, attempt_id expected)
{
    if (received.attempt != expected) {
        return make_error(answer_errc::crossed, fmt::format("attempt {:016x} instead of {:016x}",
                                                            received.attempt, expected));
    }
    if (received.outcome > outcome_kind::unknown) {
        return make_error(answer_errc::unknown_outcome,
                          fmt::format("outcome {}", static_cast<int>(received.outcome)));
    }
    if (received.body.size() != received.body_length) {
        return make_error(answer_errc::truncated,
                          fmt::format("body of {} bytes instead of {}", received.body.size(),
                                      received.body_length));
    }
    if (digest::content_hash(received.body) != received.body_digest) {
        return make_error(answer_errc::damaged, "body differs from its digest");
    }
    return absl::OkStatus();
}

outcome_kind outcome_of_incomplete_body(bool idempotent)
{
    return idempotent ? outcome_kind::failed : outcome_kind::unknown;
}

} // namespace redwingwheel::request
