#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "redwingwheel/clock.h"
#include "redwingwheel/outcome.h"

/// When the entry, the only layer that retries, sends a request again.
namespace redwingwheel::request {

/// How a try came to its end, as the entry saw it.
enum class end_cause : std::uint8_t {
    /// The frame was not fully handed to the kernel; the agent cannot have parsed it.
    not_sent,
    /// The agent refused.
    refused,
    /// The connection was lost after the whole frame was handed to the kernel.
    lost_after_send,
    /// The deadline passed while the answer was awaited.
    deadline,
    /// The body was cut or damaged.
    truncated,
    /// The backend server answered with an error.
    failed
};

[[nodiscard]] std::string_view to_string(end_cause cause);

/// Rules that a test switches off to show that its checks notice.
struct retry_rules {
    bool lost_after_send_is_unknown = true;
};

/// The outcome that a try's end proves. `refused` says not_run here; the agent's own answer may
/// carry a weaker outcome, which then prevails.
[[nodiscard]] outcome_kind outcome_of_end(end_cause cause, bool idempotent, retry_rules rules = {});

struct retry_options {
    /// Tries of one request, the first included.
    std::uint32_t max_attempts = 3;
    /// Retries per request that the budget grants in the long run.
    double budget_ratio = 0.1;
    /// Retries that every service may make at once, however little traffic it has.
    double min_budget = 3.0;
    /// Retries that a service may save up.
    double max_budget = 100.0;
    /// Time in which one retry of the floor comes back without any traffic.
    milliseconds min_budget_refill_interval{1'000};
    /// No retry starts with less time left.
    milliseconds min_time_left{5};
    /// Second try of short idempotent requests before the first has ended.
    bool hedging = false;
    /// Requests expected to run longer are not hedged.
    milliseconds hedge_max_duration{50};
    /// Multiple of the service's usual latency after which the second try is sent.
    double hedge_latency_factor = 3.0;
};

enum class retry_verdict : std::uint8_t {
    retry,
    /// The work may have run and is not idempotent.
    may_have_run,
    /// The outcome is final: done.
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

/// Decides on retries within a budget per service. Driven on one thread.
class retry_policy {
public:
    retry_policy(retry_options chosen, clock_function clock_source);

    /// Counts a first try, which earns the service its share of a retry.
    void record_request(std::string_view service);

    /// Takes one retry from the budget when it answers `retry`.
    [[nodiscard]] retry_verdict decide_retry(const retry_context& context);

    /// Notes the latency of a done request, from which the hedging delay follows.
    void record_latency(std::string_view service, milliseconds latency);

    /// When to send a second try of a request sent now; empty when it is not to be hedged.
    [[nodiscard]] std::optional<steady_time> hedge_at(std::string_view service, bool idempotent,
                                                      milliseconds expected_duration) const;
    /// Asked at that time; takes one retry from the budget when true.
    [[nodiscard]] bool try_take_hedge(std::string_view service);

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
