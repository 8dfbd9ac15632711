#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/request_info.h"

/// The entry's selection of an agent for each request.
namespace redwingwheel::request {

/// Returns uniformly distributed 64-bit numbers.
using random_function = std::function<std::uint64_t()>;

/// How an agent is selected. All policies but `estimated_load` are baselines for benchmarks.
enum class routing_policy : std::uint8_t { estimated_load, random, round_robin, least_connections };

[[nodiscard]] std::string_view to_string(routing_policy policy);

/// State of an agent, from control's worker table and the agent's polls.
struct agent_info {
    std::string worker;
    std::string data_centre;
    incarnation_id incarnation = 0;
    /// False when the data centre is withdrawn or the worker has no permit.
    bool may_start = true;
    bool shutting_down = false;
    /// End of the traffic ramp after the data centre's return; a time in the past when not ramping.
    steady_time ramp_end;
    load_report load;
    /// Names of the offered services; empty when the agent offers all services.
    std::vector<std::string> services;
};

struct router_options {
    routing_policy policy = routing_policy::estimated_load;
    std::string local_data_centre;
    /// Network round trip to another data centre: 3.5 ms each way within a region.
    milliseconds remote_round_trip{7};
    /// Number of randomly sampled agents that are compared for each request. Compared with two,
    /// four lower the 99th percentile latency of interactive requests by a fifth at capacity; see
    /// docs/decisions/requests.md.
    std::uint32_t candidates_per_choice = 4;
    /// Duration of the traffic ramp after a data centre's return.
    milliseconds ramp_duration{10'000};
    /// Fraction of its normal traffic that an agent gets at the start of the ramp.
    double ramp_initial_share = 0.1;
    /// An agent is suspended, and gets probe requests only, when its error rate exceeds the average
    /// of the other agents by more than this.
    double suspend_error_excess = 0.25;
    /// Interval between the probes of a suspended agent: starts at the minimum, doubles with each
    /// failed probe up to the maximum.
    milliseconds min_probe_interval{1'000};
    milliseconds max_probe_interval{30'000};
    /// Time in which an error rate halves when no attempt ends.
    milliseconds error_half_life{10'000};
    /// Penalty on the score for an error rate of 1 above the average: a fixed time plus a multiple
    /// of the expected run time. A fixed time alone would not outweigh the longer waits of long
    /// work.
    double error_penalty_ms = 2'000.0;
    double error_penalty_run_times = 10.0;
    /// An error rate above the average by no more than this has no penalty, since a single failure
    /// does not indicate a faulty worker.
    double tolerated_error_excess = 0.12;
    /// The same for claimed work. Not 0, because then any excess would keep claimed work away from
    /// a worker as long as an equivalent one is idle.
    double tolerated_error_excess_claimed = 0.02;
    /// Backoff of an agent after a refusal: starts at the minimum, doubles with each consecutive
    /// refusal up to the maximum.
    milliseconds min_refusal_backoff{20};
    milliseconds max_refusal_backoff{500};
};

/// Why an examined agent was not eligible.
enum class skip_reason : std::uint8_t {
    none,
    excluded,
    no_permit,
    shutting_down,
    service_not_offered,
    ramping,
    suspended,
    refused_lately
};

[[nodiscard]] std::string_view to_string(skip_reason reason);

/// An agent examined for a request.
struct routing_candidate {
    std::string worker;
    std::string data_centre;
    /// Expected time, in milliseconds, until the answer, including penalties; valid only when
    /// `skipped` is `none`.
    double score_ms = 0.0;
    skip_reason skipped = skip_reason::none;
};

/// The selected agent. To be passed to `record_sent` and `record_ended`.
struct routing_choice {
    std::string worker;
    std::string data_centre;
    incarnation_id incarnation = 0;
    request_class priority = request_class::standard;
    bool probe = false;
};

/// The selected agent, empty when none is eligible, and the examined agents for the decision log.
struct routing_decision {
    std::optional<routing_choice> chosen;
    std::vector<routing_candidate> candidates;
};

/// The observed result of one attempt that was sent. `latency` is the time from the send to the
/// answer.
struct attempt_observation {
    outcome_kind outcome = outcome_kind::unknown;
    milliseconds latency{0};
    std::optional<load_report> load;
};

/// Keeps the table of agents and selects one for each request. Not thread-safe.
class router {
public:
    router(router_options chosen, clock_function clock_source, random_function random_source);

    /// Adds an agent or updates its state. A new incarnation starts with an error rate of 0 and no
    /// attempts in flight.
    void update_agent(const agent_info& info);
    void remove_agent(std::string_view worker);

    /// Selects an agent that is not in `excluded`. `chosen` is empty when no agent is eligible.
    [[nodiscard]] routing_decision choose(const request_info& request,
                                          std::span<const std::string> excluded);

    /// record_sent is to be called once for each choice whose attempt is sent, and record_ended
    /// once when that attempt has ended. Both ignore a former incarnation.
    void record_sent(const routing_choice& made);
    void record_ended(const routing_choice& made, const attempt_observation& seen);

    [[nodiscard]] std::size_t agent_count() const { return this->agents.size(); }
    /// Attempts in flight from this entry; 0 for an unknown agent.
    [[nodiscard]] std::uint32_t in_flight(std::string_view worker) const;
    /// Current error rate of the agent, 0 to 1; 0 for an unknown agent.
    [[nodiscard]] double error_rate(std::string_view worker) const;

private:
    using class_counts = std::array<std::uint32_t, class_count>;
    struct agent_state {
        agent_info info;
        class_counts in_flight{};
        /// Attempts in flight from this entry when the load was reported; the report includes them.
        class_counts in_flight_at_report{};
        double error_rate = 0.0;
        steady_time error_rate_set_at;
        bool suspended = false;
        bool probing = false;
        steady_time next_probe;
        milliseconds probe_interval{0};
        steady_time backoff_until;
        std::uint32_t consecutive_refusals = 0;
    };
    using agent_list = std::vector<agent_state*>;
    using worker_list = std::span<const std::string>;

    [[nodiscard]] agent_state* find_agent(std::string_view worker);
    [[nodiscard]] skip_reason reason_to_skip(const agent_state& agent, const request_info& request,
                                             worker_list excluded) const;
    [[nodiscard]] skip_reason temporary_skip_reason(const agent_state& agent);
    [[nodiscard]] bool is_suspended(const agent_state& agent) const;
    [[nodiscard]] bool probe_due(const agent_state& agent, const request_info& request) const;
    [[nodiscard]] double decayed_error_rate(const agent_state& agent) const;
    [[nodiscard]] double error_penalty_ms(const agent_state& agent,
                                          const request_info& request) const;
    [[nodiscard]] double error_excess(const agent_state& agent) const;
    [[nodiscard]] double score_ms(const agent_state& agent, const request_info& request) const;
    [[nodiscard]] double expected_wait_ms(const agent_state& agent,
                                          const request_info& request) const;
    [[nodiscard]] double expected_run_ms(const agent_state& agent, request_class priority) const;

    /// The agent with the lowest score, or one that is due for a probe, of a random sample of
    /// `members`; null when no agent of the sample is eligible. Adds the sample to `record`.
    [[nodiscard]] agent_state* best_of_sample(const agent_list& members,
                                              const request_info& request, worker_list excluded,
                                              std::vector<routing_candidate>& record);
    [[nodiscard]] agent_state* choose_by_load(const request_info& request, worker_list excluded,
                                              std::vector<routing_candidate>& record);
    [[nodiscard]] agent_state* choose_last_resort(const request_info& request, worker_list excluded,
                                                  std::vector<routing_candidate>& record);
    [[nodiscard]] agent_state* choose_by_baseline(const request_info& request, worker_list excluded,
                                                  std::vector<routing_candidate>& record);
    void record_outcome(agent_state& agent, const routing_choice& made,
                        const attempt_observation& seen);
    void record_probe(agent_state& agent, bool failed);
    void set_error_rate(agent_state& agent, double rate);
    void record_load(agent_state& agent, const load_report& load);
    void rebuild_lists();
    [[nodiscard]] std::uint64_t random_below(std::uint64_t bound);

    router_options options;
    clock_function clock;
    random_function random;
    std::map<std::string, agent_state, std::less<>> agents;
    /// Set when the agent lists have to be rebuilt, which happens at the next choice, so that
    /// several changes cost one rebuild.
    bool lists_stale = false;
    agent_list local;
    agent_list remote;
    agent_list all;
    /// Moving average of the run times, in milliseconds, reported by all agents; used for agents
    /// without a reported run time.
    std::array<double, class_count> mean_duration_ms{};
    /// Sum of the error rates of all agents, updated incrementally.
    double error_rate_sum = 0.0;
    std::uint64_t round_robin_position = 0;
};

} // namespace redwingwheel::request
