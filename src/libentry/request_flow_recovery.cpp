#include "request_flow.h"

#include "redwingwheel/packing.h"

/// The answer of an attempt that may have run: it is fetched from the agent, or the attempt is
/// revoked when it never arrived there.
namespace redwingwheel::entry {

namespace {

constexpr milliseconds fetch_timeout{500};
constexpr milliseconds fetch_interval{100};
/// Time for a claimed attempt to arrive at its agent. Another entry may have claimed it and not
/// sent it yet.
constexpr milliseconds arrival_timeout{500};

} // namespace

void request_flow::fetch_attempt_answer(std::uint64_t attempt, const std::string& worker,
                                        std::uint64_t incarnation)
{
    const steady_time now = boot_clock::now();
    if (now >= this->incoming.deadline) {
        this->respond_error(status_timeout, "unknown",
                            "the work may still run; send the request again with the same key");
        return;
    }
    wire::rpc_client* const agent = this->owner.agent_client(worker);
    const std::shared_ptr<request_flow> self = this->shared_from_this();
    if (agent == nullptr) {
        this->owner.loop.run_at(now + fetch_interval, [self, attempt, worker, incarnation] {
            self->fetch_attempt_answer(attempt, worker, incarnation);
        });
        return;
    }
    kernel::control_loop& loop = this->owner.loop;
    agent->call(static_cast<std::uint16_t>(messages::kind::fetch_answer),
                pack(messages::fetch_answer{attempt, incarnation}),
                std::min(this->incoming.deadline, now + fetch_timeout),
                [self, &loop, attempt, worker, incarnation](absl::StatusOr<std::string> body) {
                    loop.post([self, attempt, worker, incarnation, body = std::move(body)] {
                        self->on_fetched(attempt, worker, incarnation, body);
                    });
                });
}

void request_flow::on_fetched(std::uint64_t attempt, const std::string& worker,
                              std::uint64_t incarnation, const absl::StatusOr<std::string>& body)
{
    using fetch_state = messages::fetched_answer::fetch_state;
    const absl::StatusOr<messages::fetched_answer> fetched =
        body.ok() ? unpack<messages::fetched_answer>(*body)
                  : absl::StatusOr<messages::fetched_answer>(body.status());
    if (!fetched.ok() || fetched->state == fetch_state::running) {
        const std::shared_ptr<request_flow> self = this->shared_from_this();
        this->owner.loop.run_at(boot_clock::now() + fetch_interval,
                                [self, attempt, worker, incarnation] {
                                    self->fetch_attempt_answer(attempt, worker, incarnation);
                                });
        return;
    }
    if (fetched->state == fetch_state::never_seen) {
        this->on_never_seen(attempt, worker, incarnation);
        return;
    }
    this->current.attempt = attempt;
    this->current.choice.worker = worker;
    if (fetched->state == fetch_state::finished &&
        request::check_answer(fetched->answer, attempt).ok()) {
        if (fetched->answer.outcome == request::outcome_kind::not_run) {
            this->has_claim = true;
            this->on_attempt_ended(fetched->answer, request::end_cause::refused);
            return;
        }
        this->record_and_answer(fetched->answer);
        return;
    }
    this->record_and_answer(request::make_bodyless_answer(attempt, request::outcome_kind::unknown,
                                                          "the worker that ran it has restarted"));
}

void request_flow::on_never_seen(std::uint64_t attempt, const std::string& worker,
                                 std::uint64_t incarnation)
{
    const steady_time now = boot_clock::now();
    if (!this->never_seen_since.has_value()) {
        this->never_seen_since = now;
    }
    if (now >= *this->never_seen_since + arrival_timeout) {
        this->revoke_attempt(attempt, worker, incarnation);
        return;
    }
    const std::shared_ptr<request_flow> self = this->shared_from_this();
    this->owner.loop.run_at(now + fetch_interval, [self, attempt, worker, incarnation] {
        self->fetch_attempt_answer(attempt, worker, incarnation);
    });
}

void request_flow::revoke_attempt(std::uint64_t attempt, const std::string& worker,
                                  std::uint64_t incarnation)
{
    // The attempt has not arrived. After the agent has revoked it, it can never start there.
    wire::rpc_client* const agent = this->owner.agent_client(worker);
    if (agent == nullptr) {
        this->fetch_attempt_answer(attempt, worker, incarnation);
        return;
    }
    const std::shared_ptr<request_flow> self = this->shared_from_this();
    kernel::control_loop& loop = this->owner.loop;
    agent->call(static_cast<std::uint16_t>(messages::kind::cancel_attempt),
                pack(messages::cancel_attempt{attempt, true}), boot_clock::now() + fetch_timeout,
                [self, &loop, attempt, worker, incarnation](absl::StatusOr<std::string> body) {
                    loop.post([self, attempt, worker, incarnation, body = std::move(body)] {
                        const absl::StatusOr<messages::cancel_answer> answer =
                            body.ok() ? unpack<messages::cancel_answer>(*body)
                                      : absl::StatusOr<messages::cancel_answer>(body.status());
                        const bool revoked =
                            answer.ok() && answer->never_runs && answer->incarnation == incarnation;
                        if (!revoked) {
                            self->fetch_attempt_answer(attempt, worker, incarnation);
                            return;
                        }
                        self->current.attempt = attempt;
                        self->has_claim = true;
                        self->on_attempt_ended(
                            request::make_bodyless_answer(attempt, request::outcome_kind::not_run,
                                                          "the attempt did not reach its worker"),
                            request::end_cause::not_sent);
                    });
                });
}

} // namespace redwingwheel::entry
