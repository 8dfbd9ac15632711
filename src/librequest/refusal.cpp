#include "redwingwheel/admission.h"

namespace redwingwheel::request {

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::full:
        return "full";
    case refusal_reason::account_share_full:
        return "account_share_full";
    case refusal_reason::deadline_unmeetable:
        return "deadline_unmeetable";
    case refusal_reason::deadline_passed:
        return "deadline_passed";
    case refusal_reason::shutting_down:
        return "shutting_down";
    case refusal_reason::no_permit:
        return "no_permit";
    case refusal_reason::duplicate_attempt:
        return "duplicate_attempt";
    case refusal_reason::wrong_incarnation:
        return "wrong_incarnation";
    case refusal_reason::revoked:
        return "revoked";
    case refusal_reason::too_many_slots:
        return "too_many_slots";
    case refusal_reason::history_full:
        return "history_full";
    case refusal_reason::cancelled:
        return "cancelled";
    }
    return "invalid";
}

outcome_kind outcome_of_refusal(refusal_reason reason, bool first_send)
{
    switch (reason) {
    case refusal_reason::duplicate_attempt:
        // An attempt with this id is running, queued or ended at the agent, so it may run or have
        // run.
        return outcome_kind::unknown;
    case refusal_reason::wrong_incarnation:
        // An earlier send may have reached the former incarnation and run there.
        return first_send ? outcome_kind::not_run : outcome_kind::unknown;
    default:
        return outcome_kind::not_run;
    }
}

} // namespace redwingwheel::request
