#include "request_runner.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace redwingwheel::agent {

namespace {

constexpr int first_server_error = 500;

request::request_info make_request_info(const messages::execute& message, steady_time deadline)
{
    request::request_info info;
    info.attempt = message.attempt;
    info.account = message.account;
    info.service = message.service;
    info.priority = message.priority;
    info.account_weight = message.account_weight;
    info.deadline = deadline;
    if (message.claim_incarnation != 0) {
        info.claim_incarnation = message.claim_incarnation;
    }
    return info;
}

} // namespace

request_runner::request_runner(const request_runner_options& chosen, clock_function clock_source,
                               kernel::control_loop& control_loop, http::client& http_client,
                               std::function<bool()> may_start)
    : options(chosen), clock(std::move(clock_source)), loop(control_loop), client(http_client),
      admission(chosen.admission, this->clock, std::move(may_start)),
      answer_history(chosen.admission.history, this->clock)
{
}

void request_runner::execute(messages::execute message, execute_reply reply)
{
    const std::uint64_t attempt = message.attempt;
    const steady_time deadline = this->clock() + milliseconds(message.deadline_ms);
    const request::request_info info = make_request_info(message, deadline);
    const request::offer_result offered = this->admission.offer(info);
    if (offered.kind == request::offer_kind::refused) {
        messages::execute_answer answer;
        answer.answer = request::make_bodyless_answer(
            attempt, request::outcome_of_refusal(offered.reason, true),
            request::to_string(offered.reason));
        answer.load = this->admission.load();
        answer.refused = true;
        spdlog::info("event=attempt_refused attempt={:016x} account={} service={} reason={}",
                     attempt, message.account, message.service, request::to_string(offered.reason));
        reply(answer);
        this->carry_out(offered.other_attempts);
        return;
    }
    open_attempt added;
    added.message = std::move(message);
    added.deadline = deadline;
    added.reply = std::move(reply);
    this->open_attempts.emplace(attempt, std::move(added));
    if (offered.kind == request::offer_kind::started) {
        this->start(attempt);
    }
    this->carry_out(offered.other_attempts);
}

void request_runner::carry_out(const request::dispatch_result& next)
{
    for (const request::refused_attempt& each : next.refused) {
        this->refuse(each.attempt, each.reason);
    }
    for (const request::request_info& each : next.started) {
        this->start(each.attempt);
    }
}

void request_runner::start(std::uint64_t attempt)
{
    open_attempt& started = this->open_attempts.at(attempt);
    started.running = true;
    started.started_at = this->clock();
    const messages::execute& message = started.message;
    http::client_request request;
    request.method = "POST";
    request.url = fmt::format("http://{}/request", this->options.backend);
    request.headers = {{"X-Attempt", fmt::format("{:016x}", attempt)},
                       {"X-Account", message.account},
                       {"X-Service", message.service},
                       {"Content-Type", message.content_type.empty() ? "application/octet-stream"
                                                                     : message.content_type}};
    request.body = message.body;
    request.at_most_once = !message.idempotent;
    request.deadline = started.deadline + (message.idempotent ? this->options.max_idempotent_overrun
                                                              : this->options.max_claimed_overrun);
    spdlog::debug("event=attempt_started attempt={:016x} account={} service={}", attempt,
                  message.account, message.service);
    started.http_request_id = this->client.send(
        std::move(request), [this, attempt](absl::StatusOr<http::client_response> response) {
            this->loop.post([this, attempt, response = std::move(response)]() mutable {
                this->on_response(attempt, std::move(response));
            });
        });
}

void request_runner::on_response(std::uint64_t attempt,
                                 absl::StatusOr<http::client_response> response)
{
    const auto found = this->open_attempts.find(attempt);
    if (found == this->open_attempts.end()) {
        return;
    }
    const open_attempt& ended = found->second;
    request::answer answer = this->make_answer(ended, std::move(response));
    const milliseconds ran =
        std::chrono::duration_cast<milliseconds>(this->clock() - ended.started_at);
    messages::usage_delta& used = this->usage[ended.message.account];
    used.account = ended.message.account;
    ++used.requests;
    used.request_ms += static_cast<std::uint64_t>(ran.count());
    if (ended.message.claim_incarnation != 0) {
        this->answer_history.store_answer(answer);
    }
    const request::outcome_kind outcome = answer.outcome;
    const request::dispatch_result next = this->admission.finished(attempt, outcome);
    this->finish(attempt, std::move(answer), false);
    this->carry_out(next);
}

request::answer request_runner::make_answer(const open_attempt& ended,
                                            absl::StatusOr<http::client_response> response)
{
    const std::uint64_t attempt = ended.message.attempt;
    if (response.ok()) {
        request::answer answer;
        answer.attempt = attempt;
        answer.outcome = response->status >= first_server_error ? request::outcome_kind::failed
                                                                : request::outcome_kind::done;
        answer.http_status = response->status;
        answer.content_type = std::move(response->content_type);
        answer.body = std::move(response->body);
        request::set_body_digest(answer);
        return answer;
    }
    const std::string detail = errors::message_of(response.status());
    const std::optional<http::http_errc> code = error_code<http::http_errc>(response.status());
    request::outcome_kind outcome = request::outcome_kind::unknown;
    if (http::was_not_sent(response.status())) {
        outcome = request::outcome_kind::not_run;
    }
    else if (code == http::http_errc::incomplete_response ||
             code == http::http_errc::response_too_large) {
        outcome = request::outcome_of_incomplete_body(ended.message.idempotent);
    }
    return request::make_bodyless_answer(attempt, outcome, detail);
}

void request_runner::refuse(std::uint64_t attempt, request::refusal_reason reason)
{
    const auto found = this->open_attempts.find(attempt);
    if (found == this->open_attempts.end()) {
        return;
    }
    spdlog::info("event=attempt_refused attempt={:016x} account={} service={} reason={}", attempt,
                 found->second.message.account, found->second.message.service,
                 request::to_string(reason));
    this->finish(attempt,
                 request::make_bodyless_answer(attempt, request::outcome_of_refusal(reason, true),
                                               request::to_string(reason)),
                 true);
}

void request_runner::finish(std::uint64_t attempt, request::answer answer, bool refused)
{
    const auto found = this->open_attempts.find(attempt);
    messages::execute_answer result;
    result.answer = std::move(answer);
    result.load = this->admission.load();
    result.refused = refused;
    const execute_reply reply = std::move(found->second.reply);
    this->open_attempts.erase(found);
    reply(result);
}

messages::cancel_answer request_runner::cancel(const messages::cancel_attempt& message)
{
    const request::cancel_result result = this->admission.cancel(message.attempt, message.claimed);
    messages::cancel_answer answer;
    answer.incarnation = this->options.admission.incarnation;
    answer.never_runs = result.kind == request::cancel_kind::removed_from_queue ||
                        result.kind == request::cancel_kind::revoked;
    if (result.kind == request::cancel_kind::removed_from_queue) {
        this->refuse(message.attempt, request::refusal_reason::cancelled);
    }
    const auto found = this->open_attempts.find(message.attempt);
    if (result.kind == request::cancel_kind::running && found != this->open_attempts.end() &&
        found->second.message.idempotent) {
        this->client.cancel(found->second.http_request_id);
    }
    this->carry_out(result.other_attempts);
    return answer;
}

messages::fetched_answer request_runner::fetch(const messages::fetch_answer& message) const
{
    using fetch_state = messages::fetched_answer::fetch_state;
    messages::fetched_answer result;
    if (message.incarnation != this->options.admission.incarnation) {
        result.state = fetch_state::other_incarnation;
        return result;
    }
    if (this->open_attempts.contains(message.attempt)) {
        result.state = fetch_state::running;
        return result;
    }
    const request::answer* const stored = this->answer_history.find_answer(message.attempt);
    if (stored != nullptr) {
        result.state = fetch_state::finished;
        result.answer = *stored;
        return result;
    }
    const std::optional<request::end_kind> ended = this->admission.history().find(message.attempt);
    result.state =
        ended == request::end_kind::ran ? fetch_state::forgotten : fetch_state::never_seen;
    return result;
}

void request_runner::tick()
{
    this->carry_out(this->admission.expire());
}

bool request_runner::hold_slots(std::uint64_t task, std::uint32_t count)
{
    return this->admission.hold_slots(task, count);
}

void request_runner::release_slots(std::uint64_t task)
{
    this->carry_out(this->admission.release_slots(task));
}

std::vector<messages::usage_delta> request_runner::take_usage()
{
    std::vector<messages::usage_delta> taken;
    for (auto& [account, delta] : this->usage) {
        taken.push_back(delta);
    }
    this->usage.clear();
    return taken;
}

} // namespace redwingwheel::agent
