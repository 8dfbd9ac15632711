#include "request_flow.h"

#include <random>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/json_text.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::entry {

namespace {

/// Recording continues after the caller's deadline, so that a resend with the same key gets the
/// recorded answer.
constexpr milliseconds record_timeout{5000};
/// Time for an agent's answer to reach this entry; the deadline sent to the agent is earlier by it.
constexpr milliseconds return_latency{2};

std::uint64_t draw_attempt()
{
    static thread_local std::mt19937_64 engine(std::random_device{}());
    std::uint64_t drawn = 0;
    while (drawn == 0) {
        drawn = engine();
    }
    return drawn;
}

} // namespace

request_flow::request_flow(entry_service& service, caller_request request,
                           http::responder respond_to)
    : owner(service), incoming(std::move(request)), reply(std::move(respond_to)),
      started_at(boot_clock::now())
{
}

void request_flow::start()
{
    this->owner.retries.record_request(this->incoming.service.name);
    this->start_next_attempt();
}

void request_flow::start_next_attempt()
{
    request::request_info info;
    info.attempt = draw_attempt();
    info.account = this->incoming.account;
    info.service = this->incoming.service.name;
    info.priority = static_cast<request::request_class>(this->incoming.service.request_class);
    info.account_weight = this->incoming.account_weight;
    info.deadline = this->incoming.deadline;
    const std::uint64_t previous_attempt = this->current.attempt;
    const request::routing_decision routing = this->owner.router.choose(info, this->excluded);
    this->log_decision(routing);
    if (!routing.chosen.has_value()) {
        this->on_no_agent();
        return;
    }
    this->current = {info.attempt, *routing.chosen, {}};
    ++this->attempts_made;
    if (!this->needs_claim()) {
        this->send();
    }
    else if (this->has_claim) {
        this->reassign_claim(previous_attempt);
    }
    else {
        this->begin_claim();
    }
}

void request_flow::on_no_agent()
{
    constexpr std::string_view reason = "no worker can take the request";
    // When this flow holds the claim, all its attempts so far are recorded as not run.
    if (this->needs_claim() && !this->has_claim) {
        this->look_up_claim(reason);
        return;
    }
    this->respond_error(status_unavailable, "not_run", reason);
}

void request_flow::respond_control_unreachable()
{
    this->respond_error(
        status_unavailable, "unknown",
        "control does not answer, and an earlier send of the key may have run; send the "
        "request again with the same key");
}

void request_flow::log_decision(const request::routing_decision& routing) const
{
    std::string candidates;
    for (const request::routing_candidate& each : routing.candidates) {
        candidates += fmt::format("{}{}:{}", candidates.empty() ? "" : ";", each.worker,
                                  each.skipped == request::skip_reason::none
                                      ? fmt::format("{:.1f}ms", each.score_ms)
                                      : std::string(request::to_string(each.skipped)));
    }
    spdlog::info("event=routing_decision account={} service={} try={} chosen={} data_centre={} "
                 "candidates=\"{}\"",
                 this->incoming.account, this->incoming.service.name, this->attempts_made + 1,
                 routing.chosen.has_value() ? routing.chosen->worker : "none",
                 routing.chosen.has_value() ? routing.chosen->data_centre : "none", candidates);
}

void request_flow::send()
{
    wire::rpc_client* const agent = this->owner.agent_client(this->current.choice.worker);
    const steady_time now = boot_clock::now();
    this->current.sent_at = now;
    this->owner.router.record_sent(this->current.choice);
    if (agent == nullptr || now >= this->incoming.deadline) {
        this->on_attempt_lost(request::end_cause::not_sent, "the deadline passed before the send");
        return;
    }
    messages::execute message;
    message.attempt = this->current.attempt;
    message.account = this->incoming.account;
    message.service = this->incoming.service.name;
    message.priority = static_cast<request::request_class>(this->incoming.service.request_class);
    message.account_weight = this->incoming.account_weight;
    const milliseconds left = remaining_until(this->incoming.deadline, now);
    message.deadline_ms =
        static_cast<std::uint64_t>(std::max(left - return_latency, milliseconds(1)).count());
    message.idempotent = !this->needs_claim();
    message.claim_incarnation = this->needs_claim() ? this->current.choice.incarnation : 0;
    message.content_type = this->incoming.content_type;
    message.body = this->incoming.body;
    const std::shared_ptr<request_flow> self = this->shared_from_this();
    kernel::control_loop& loop = this->owner.loop;
    agent->call(static_cast<std::uint16_t>(messages::kind::execute), pack(message),
                this->incoming.deadline, [self, &loop](absl::StatusOr<std::string> body) {
                    loop.post([self, body = std::move(body)] { self->on_answer(body); });
                });
}

void request_flow::on_answer(const absl::StatusOr<std::string>& body)
{
    if (!body.ok()) {
        const std::optional<wire::wire_errc> code = error_code<wire::wire_errc>(body.status());
        request::end_cause cause = request::end_cause::lost_after_send;
        if (code == wire::wire_errc::not_sent) {
            cause = request::end_cause::not_sent;
        }
        else if (code == wire::wire_errc::deadline_exceeded) {
            cause = request::end_cause::deadline;
        }
        this->on_attempt_lost(cause, errors::message_of(body.status()));
        return;
    }
    absl::StatusOr<messages::execute_answer> received = unpack<messages::execute_answer>(*body);
    if (!received.ok()) {
        this->on_attempt_lost(request::end_cause::truncated, errors::message_of(received.status()));
        return;
    }
    const absl::Status integrity = request::check_answer(received->answer, this->current.attempt);
    if (!integrity.ok()) {
        this->owner.metrics.add("redwingwheel_answers_dropped_total");
        this->on_attempt_lost(request::end_cause::truncated, errors::message_of(integrity));
        return;
    }
    this->report_outcome(received->answer.outcome, &received->load);
    this->on_attempt_ended(std::move(received->answer), received->refused
                                                            ? request::end_cause::refused
                                                            : request::end_cause::failed);
}

void request_flow::report_outcome(request::outcome_kind outcome, const request::load_report* load)
{
    request::attempt_observation observation;
    observation.outcome = outcome;
    observation.latency =
        std::chrono::duration_cast<milliseconds>(boot_clock::now() - this->current.sent_at);
    if (load != nullptr) {
        observation.load = *load;
    }
    this->owner.router.record_ended(this->current.choice, observation);
}

void request_flow::on_attempt_lost(request::end_cause cause, std::string_view detail)
{
    const request::outcome_kind outcome =
        request::outcome_of_end(cause, this->incoming.service.idempotent);
    spdlog::warn("event=attempt_lost attempt={:016x} worker={} cause={} outcome={} detail=\"{}\"",
                 this->current.attempt, this->current.choice.worker, request::to_string(cause),
                 request::to_string(outcome), detail);
    this->report_outcome(outcome, nullptr);
    if (this->needs_claim() && outcome != request::outcome_kind::not_run) {
        this->fetch_attempt_answer(this->current.attempt, this->current.choice.worker,
                                   this->current.choice.incarnation);
        return;
    }
    this->on_attempt_ended(request::make_bodyless_answer(this->current.attempt, outcome, detail),
                           cause);
}

void request_flow::on_attempt_ended(request::answer answer, request::end_cause cause)
{
    using outcome = request::outcome_kind;
    if (answer.outcome == outcome::done) {
        this->owner.retries.record_latency(
            this->incoming.service.name,
            std::chrono::duration_cast<milliseconds>(boot_clock::now() - this->started_at));
        this->record_and_answer(answer);
        return;
    }
    if (this->needs_claim() && answer.outcome == outcome::unknown) {
        this->fetch_attempt_answer(this->current.attempt, this->current.choice.worker,
                                   this->current.choice.incarnation);
        return;
    }
    if (this->needs_claim() && answer.outcome == outcome::not_run) {
        // A retry moves the claim, which requires a record that the previous attempt did not run.
        request::abandon_claim abandon;
        abandon.attempt = this->current.attempt;
        const std::shared_ptr<request_flow> self = this->shared_from_this();
        this->owner.control.call(
            messages::kind::claim, request::pack_command(abandon),
            boot_clock::now() + record_timeout,
            [self, answer = std::move(answer), cause](const absl::StatusOr<std::string>& body) {
                if (!read_claim(body).ok()) {
                    self->respond_error(status_unavailable, "not_run", answer.detail);
                    return;
                }
                self->retry_or_give_up(answer, cause);
            });
        return;
    }
    this->retry_or_give_up(std::move(answer), cause);
}

void request_flow::retry_or_give_up(request::answer answer, request::end_cause cause)
{
    request::retry_context context;
    context.service = this->incoming.service.name;
    context.outcome = answer.outcome;
    context.cause = cause;
    context.idempotent = this->incoming.service.idempotent;
    context.attempts_made = this->attempts_made;
    context.deadline = this->incoming.deadline;
    const request::retry_verdict verdict = this->owner.retries.decide_retry(context);
    if (verdict == request::retry_verdict::retry) {
        this->owner.metrics.add("redwingwheel_retries_total");
        this->excluded.push_back(this->current.choice.worker);
        this->start_next_attempt();
        return;
    }
    if (answer.outcome == request::outcome_kind::not_run) {
        this->respond_error(status_unavailable, "not_run", answer.detail);
        return;
    }
    this->record_and_answer(answer);
}

void request_flow::record_and_answer(const request::answer& answer)
{
    if (!this->needs_claim()) {
        this->answer_caller(answer);
        return;
    }
    request::finish_claim finish;
    finish.attempt = answer.attempt;
    finish.final_answer = answer;
    const std::shared_ptr<request_flow> self = this->shared_from_this();
    this->owner.control.call(
        messages::kind::claim, request::pack_command(finish), boot_clock::now() + record_timeout,
        [self, answer](const absl::StatusOr<std::string>& body) {
            const absl::StatusOr<messages::claim_reply> recorded = read_claim(body);
            if (!recorded.ok()) {
                self->respond_error(
                    status_timeout, "unknown",
                    "the answer could not be recorded; send the request again with the "
                    "same key");
                return;
            }
            if (recorded->verdict == request::claim_verdict::answered &&
                !recorded->recorded.empty() && recorded->body_kept) {
                self->answer_caller(recorded->recorded.front());
                return;
            }
            self->answer_caller(answer);
        });
}

void request_flow::answer_caller(const request::answer& answer)
{
    using outcome = request::outcome_kind;
    if (answer.outcome == outcome::unknown) {
        this->respond_error(status_timeout, "unknown", answer.detail);
        return;
    }
    if (answer.outcome == outcome::not_run) {
        this->respond_error(status_unavailable, "not_run", answer.detail);
        return;
    }
    if (answer.http_status == 0) {
        this->respond_error(status_bad_gateway, request::to_string(answer.outcome), answer.detail);
        return;
    }
    http::server_response response;
    response.status = answer.http_status;
    response.content_type =
        answer.content_type.empty() ? "application/octet-stream" : answer.content_type;
    response.body = answer.body;
    response.headers = {{"X-Attempt", fmt::format("{:016x}", answer.attempt)},
                        {"X-Worker", this->current.choice.worker}};
    this->respond(response, request::to_string(answer.outcome));
}

void request_flow::respond_error(int status, std::string_view outcome, std::string_view reason)
{
    http::server_response response;
    response.status = status;
    response.body = json_text::dump({{"outcome", outcome}, {"reason", reason}});
    this->respond(response, outcome);
}

void request_flow::respond(const http::server_response& response, std::string_view outcome)
{
    if (this->responded) {
        return;
    }
    this->responded = true;
    http::server_response complete = response;
    complete.headers.emplace("X-Outcome", outcome);
    const bool delivered = this->reply(complete);
    const double elapsed_ms =
        std::chrono::duration<double, std::milli>(boot_clock::now() - this->started_at).count();
    const std::string_view priority = config::to_text(this->incoming.service.request_class);
    this->owner.metrics.add("redwingwheel_requests_total",
                            fmt::format("class=\"{}\",outcome=\"{}\"", priority, outcome));
    this->owner.metrics.observe("redwingwheel_request_ms", fmt::format("class=\"{}\"", priority),
                                elapsed_ms);
    spdlog::info("event=request_ended account={} service={} outcome={} status={} tries={} "
                 "took_ms={:.2f} delivered={}",
                 this->incoming.account, this->incoming.service.name, outcome, complete.status,
                 this->attempts_made, elapsed_ms, delivered);
    this->owner.remove_flow(this);
}

} // namespace redwingwheel::entry
