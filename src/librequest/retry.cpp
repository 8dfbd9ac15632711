#include "redwingwheel/retry.h"

#include <algorithm>

namespace redwingwheel::request {

namespace {

/// Weight of the newest value in the moving average of latencies.
constexpr double latency_weight = 0.1;
/// Limit of services with a separate budget. Further services share one budget, so that arbitrary
/// service names cannot exhaust memory.
constexpr std::size_t max_services = 1'024;
constexpr std::string_view shared_budget{"(others)"};

double in_ms(std::chrono::nanoseconds length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

outcome_kind outcome_of_end(end_cause cause, bool idempotent, retry_rules rules)
{
    switch (cause) {
    case end_cause::not_sent:
    case end_cause::refused:
        return outcome_kind::not_run;
    case end_cause::lost_after_send:
    case end_cause::deadline:
        return rules.lost_after_send_is_unknown ? outcome_kind::unknown : outcome_kind::not_run;
    case end_cause::truncated:
        return outcome_of_incomplete_body(idempotent);
    case end_cause::failed:
        return outcome_kind::failed;
    }
    return outcome_kind::unknown;
}

retry_policy::retry_policy(retry_options chosen, clock_function clock_source)
    : options(chosen), clock(std::move(clock_source))
{
}

retry_policy::service_budget& retry_policy::budget_of(std::string_view service)
{
    auto found = this->budgets.find(service);
    if (found == this->budgets.end() && this->budgets.size() >= max_services) {
        found = this->budgets.find(shared_budget);
        service = shared_budget;
    }
    if (found == this->budgets.end()) {
        const service_budget fresh{this->options.min_budget, this->clock(), 0.0};
        found = this->budgets.emplace(std::string(service), fresh).first;
    }
    service_budget& budget = found->second;
    const steady_time now = this->clock();
    // Elapsed time refills the budget up to min_budget only; requests can raise it to max_budget.
    if (budget.retries < this->options.min_budget) {
        const double refilled =
            in_ms(now - budget.refilled_at) / in_ms(this->options.min_budget_refill_interval);
        budget.retries = std::min(this->options.min_budget, budget.retries + refilled);
    }
    budget.refilled_at = now;
    return budget;
}

void retry_policy::record_request(std::string_view service)
{
    service_budget& budget = this->budget_of(service);
    budget.retries =
        std::min(this->options.max_budget, budget.retries + this->options.budget_ratio);
}

bool retry_policy::try_take_retry(std::string_view service)
{
    service_budget& budget = this->budget_of(service);
    if (budget.retries < 1.0) {
        return false;
    }
    budget.retries -= 1.0;
    return true;
}

retry_verdict retry_policy::decide_retry(const retry_context& context)
{
    if (context.outcome == outcome_kind::done) {
        return retry_verdict::final_outcome;
    }
    if (context.outcome != outcome_kind::not_run && !context.idempotent) {
        return retry_verdict::may_have_run;
    }
    if (context.attempts_made >= this->options.max_attempts) {
        return retry_verdict::tries_used_up;
    }
    if (context.cause == end_cause::deadline ||
        remaining_until(context.deadline, this->clock()) < this->options.min_time_left) {
        return retry_verdict::deadline_near;
    }
    return this->try_take_retry(context.service) ? retry_verdict::retry
                                                 : retry_verdict::budget_used_up;
}

void retry_policy::record_latency(std::string_view service, milliseconds latency)
{
    service_budget& budget = this->budget_of(service);
    const double latency_ms = in_ms(latency);
    budget.latency_ms +=
        (budget.latency_ms > 0.0 ? latency_weight : 1.0) * (latency_ms - budget.latency_ms);
}

std::optional<steady_time> retry_policy::hedge_at(std::string_view service, bool idempotent,
                                                  milliseconds expected_duration) const
{
    const auto found = this->budgets.find(service);
    if (!this->options.hedging || !idempotent || found == this->budgets.end() ||
        found->second.latency_ms <= 0.0 || expected_duration > this->options.hedge_max_duration) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> pause(found->second.latency_ms *
                                                          this->options.hedge_latency_factor);
    return this->clock() + std::chrono::duration_cast<std::chrono::nanoseconds>(pause);
}

bool retry_policy::try_take_hedge(std::string_view service)
{
    return this->options.hedging && this->try_take_retry(service);
}

double retry_policy::budget_left(std::string_view service) const
{
    const auto found = this->budgets.find(service);
    return found == this->budgets.end() ? this->options.min_budget : found->second.retries;
}

std::string_view to_string(end_cause cause)
{
    switch (cause) {
    case end_cause::not_sent:
        return "not_sent";
    case end_cause::refused:
        return "refused";
    case end_cause::lost_after_send:
        return "lost_after_send";
    case end_cause::deadline:
        return "deadline";
    case end_cause::truncated:
        return "truncated";
    case end_cause::failed:
        return "failed";
    }
    return "invalid";
}

std::string_view to_string(retry_verdict verdict)
{
    switch (verdict) {
    case retry_verdict::retry:
        return "retry";
    case retry_verdict::may_have_run:
        return "may_have_run";
    case retry_verdict::final_outcome:
        return "final_outcome";
    case retry_verdict::tries_used_up:
        return "tries_used_up";
    case retry_verdict::budget_used_up:
        return "budget_used_up";
    case retry_verdict::deadline_near:
        return "deadline_near";
    }
    return "invalid";
}

} // namespace redwingwheel::request
