#include "request_flow.h"

#include <fmt/format.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"

/// The claim of a non-idempotent request, which makes sure that at most one attempt runs.
namespace redwingwheel::entry {

namespace {

constexpr milliseconds claim_timeout{2000};

} // namespace

absl::StatusOr<messages::claim_reply> read_claim(const absl::StatusOr<std::string>& body)
{
    if (!body.ok()) {
        return body.status();
    }
    return unpack<messages::claim_reply>(*body);
}

void request_flow::look_up_claim(std::string_view reason)
{
    const messages::look_up_claim lookup{this->incoming.account, this->incoming.key,
                                         this->payload_digest()};
    const std::shared_ptr<request_flow> self = this->shared_from_this();
    const steady_time call_deadline =
        std::min(this->incoming.deadline, boot_clock::now() + claim_timeout);
    this->owner.control.call(
        messages::kind::look_up_claim, pack(lookup), call_deadline,
        [self, text = std::string(reason)](const absl::StatusOr<std::string>& body) {
            const absl::StatusOr<messages::claim_reply> result = read_claim(body);
            if (!result.ok()) {
                self->respond_control_unreachable();
            }
            else if (result->verdict == request::claim_verdict::granted) {
                self->respond_error(status_unavailable, "not_run", text);
            }
            else {
                self->on_claim_not_granted(*result);
            }
        });
}

std::uint64_t request_flow::payload_digest() const
{
    return digest::content_hash(
        fmt::format("{}\n{}", this->incoming.service.name, this->incoming.body));
}

void request_flow::begin_claim()
{
    request::begin_claim begin;
    begin.account = this->incoming.account;
    begin.key = this->incoming.key;
    begin.payload_digest = this->payload_digest();
    begin.attempt = this->current.attempt;
    begin.worker = this->current.choice.worker;
    begin.incarnation = this->current.choice.incarnation;
    const std::shared_ptr<request_flow> self = this->shared_from_this();
    const steady_time call_deadline =
        std::min(this->incoming.deadline, boot_clock::now() + claim_timeout);
    this->owner.control.call(
        messages::kind::claim, request::pack_command(begin), call_deadline,
        [self](const absl::StatusOr<std::string>& body) { self->on_claim_reply(body); });
}

void request_flow::reassign_claim(std::uint64_t previous_attempt)
{
    request::reassign_claim reassignment;
    reassignment.former_attempt = previous_attempt;
    reassignment.attempt = this->current.attempt;
    reassignment.worker = this->current.choice.worker;
    reassignment.incarnation = this->current.choice.incarnation;
    const std::shared_ptr<request_flow> self = this->shared_from_this();
    this->owner.control.call(
        messages::kind::claim, request::pack_command(reassignment), this->incoming.deadline,
        [self](const absl::StatusOr<std::string>& body) { self->on_claim_reply(body); });
}

void request_flow::on_claim_reply(const absl::StatusOr<std::string>& body)
{
    using verdict = request::claim_verdict;
    const absl::StatusOr<messages::claim_reply> reply_message = read_claim(body);
    if (!reply_message.ok()) {
        this->respond_control_unreachable();
        return;
    }
    if (reply_message->verdict == verdict::granted) {
        this->has_claim = true;
        this->send();
        return;
    }
    this->on_claim_not_granted(*reply_message);
}

void request_flow::on_claim_not_granted(const messages::claim_reply& result)
{
    using verdict = request::claim_verdict;
    switch (result.verdict) {
    case verdict::in_progress:
        this->fetch_attempt_answer(result.attempt, result.worker, result.incarnation);
        return;
    case verdict::answered:
        if (result.recorded.empty() || !result.body_kept) {
            this->respond_error(status_gone, "done",
                                "the work ran; its answer was too large to keep");
            return;
        }
        this->current.choice.worker = result.worker;
        this->answer_caller(result.recorded.front());
        return;
    case verdict::conflict:
        this->respond_error(status_key_reused, "not_run", "the key was used with another request");
        return;
    case verdict::unknown:
        this->respond_error(status_timeout, "unknown",
                            "an earlier attempt with this key may have run");
        return;
    case verdict::expired:
        this->respond_error(status_gone, "unknown",
                            "the key is older than the records that are kept");
        return;
    case verdict::issued_in_future:
    case verdict::malformed_key:
        this->respond_error(400, "not_run",
                            "Idempotency-Key: allowed <unix seconds>-<rest>, not in the "
                            "future");
        return;
    case verdict::worker_gone:
    case verdict::attempt_in_use:
        this->excluded.push_back(this->current.choice.worker);
        this->start_next_attempt();
        return;
    case verdict::stale:
        // Another entry has moved the claim; beginning it again returns its present state.
        this->has_claim = false;
        this->begin_claim();
        return;
    case verdict::full:
        this->respond_error(status_unavailable, "not_run", "too many claims are recorded");
        return;
    default:
        this->respond_error(status_conflict, "unknown",
                            fmt::format("claim: {}", request::to_string(result.verdict)));
    }
}

} // namespace redwingwheel::entry
