#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "redwingwheel/clock.h"
#include "redwingwheel/outcome.h"

/// Retries and hedging of requests. The entry is the only layer that retries.
namespace redwingwheel::request {

/// How an attempt ended, as observed by the entry.
enum class end_cause : std::uint8_t {
    /// The frame was not completely handed to the kernel, so that the agent cannot have parsed it.
    not_sent,
    /// The agent refused the attempt.
    refused,
    /// The connection was lost after the complete frame was handed to the kernel.
    lost_after_send,
    /// The deadline passed before the answer arrived.
    deadline,
    /// The answer was incomplete or corrupt.
    truncated,
    /// The backend server answered with an error.
    failed
};

[[nodiscard]] std::string_view to_string(end_cause cause);

/// Rules of retries. Mutation tests switch single rules off to verify that the test detects it.
struct retry_rules {
    bool lost_after_send_is_unknown = true;
};

/// The outcome that the entry may infer from how an attempt ended. For `refused` this is `not_run`,
/// unless the agent's answer states another outcome, which then takes precedence.
[[nodiscard]] outcome_kind outcome_of_end(end_cause cause, bool idempotent, retry_rules rules = {});

struct retry_options {
    /// Limit of attempts per request, including the first.
    std::uint32_t max_attempts = 3;
    /// Retries that each request adds to the budget of its service.
    double budget_ratio = 0.1;
    /// Budget, in retries, to which every service is refilled over time, independent of its
    /// traffic.
    double min_budget = 3.0;
    /// Limit of the budget, in retries.
    double max_budget = 100.0;
    /// Time in which one retry is refilled while the budget is below `min_budget`.
    milliseconds min_budget_refill_interval{1'000};
    /// No retry is made with less time left until the deadline.
    milliseconds min_time_left{5};
    /// Whether short idempotent requests are hedged: a second attempt is sent before the first has
    /// ended.
    bool hedging = false;
    /// Requests with a longer expected run time are not hedged.
    milliseconds hedge_max_duration{50};
    /// The second attempt is sent after this multiple of the service's average latency.
    double hedge_latency_factor = 3.0;
};

enum class retry_verdict : std::uint8_t {
    retry,
    /// The work may have run and is not idempotent.
    may_have_run,
    /// The outcome is `done`.
    final_outcome,
    tries_used_up,
    budget_used_up,
    deadline_near
};

[[nodiscard]] std::string_view to_string(retry_verdict verdict);

struct retry_context {
    std::string_view service;
    outcome_kind outcome = outcome_kind::unknown;
    end_cause cause = end_cause::failed;
    bool idempotent = false;
    std::uint32_t attempts_made = 1;
    steady_time deadline;
};

/// Decides on retries and hedging within a budget per service. Not thread-safe.
class retry_policy {
public:
    retry_policy(retry_options chosen, clock_function clock_source);

    /// Records the first attempt of a request, which adds `budget_ratio` to the service's budget.
    void record_request(std::string_view service);

    /// Decides whether to retry. Takes one retry from the budget when the result is `retry`.
    [[nodiscard]] retry_verdict decide_retry(const retry_context& context);

    /// Records the latency of a request that ended as `done`, for the hedging delay.
    void record_latency(std::string_view service, milliseconds latency);

    /// Time at which to send the second attempt of a request sent now; empty when the request is
    /// not to be hedged.
    [[nodiscard]] std::optional<steady_time> hedge_at(std::string_view service, bool idempotent,
                                                      milliseconds expected_duration) const;
    /// To be called at the time returned by hedge_at. Takes one retry from the budget and returns
    /// true, or returns false when hedging is off or the budget is used up.
    [[nodiscard]] bool try_take_hedge(std::string_view service);

    /// Budget of the service, in retries, as of its last use; `min_budget` for an unknown service.
    [[nodiscard]] double budget_left(std::string_view service) const;

private:
    struct service_budget {
        double retries = 0.0;
        steady_time refilled_at;
        double latency_ms = 0.0;
    };
    [[nodiscard]] service_budget& budget_of(std::string_view service);
    [[nodiscard]] bool try_take_retry(std::string_view service);

    retry_options options;
    clock_function clock;
    std::map<std::string, service_budget, std::less<>> budgets;
};

} // namespace redwingwheel::request
