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

/// The entry's choice of an agent for each request.
namespace redwingwheel::request {

/// Returns uniformly distributed 64-bit numbers.
using random_function = std::function<std::uint64_t()>;

/// How an agent is picked. All but `estimated_load` are baselines for measurements.
enum class routing_policy : std::uint8_t { estimated_load, random, round_robin, least_connections };

[[nodiscard]] std::string_view to_string(routing_policy policy);

/// What the entry knows of an agent, from control's table and the agent's polls.
struct agent_info {
    std::string worker;
    std::string data_centre;
    incarnation_id incarnation = 0;
    /// False in a withdrawn data centre or without a permit.
    bool may_start = true;
    bool shutting_down = false;
    /// End of the ramp after the data centre's return; a time in the past when there is none.
    steady_time ramp_end;
    load_report load;
    /// Services offered; empty offers all.
    std::vector<std::string> services;
};

struct router_options {
    routing_policy policy = routing_policy::estimated_load;
    std::string local_data_centre;
    /// Cost of another data centre, both ways. 3.5 ms one way is the region's distance.
    milliseconds remote_round_trip{7};
    /// Agents compared in each choice. Four instead of two lower the 99th percentile of price
    /// checks by a fifth at capacity; see docs/decisions/requests.md.
    std::uint32_t candidates_per_choice = 4;
    milliseconds ramp_duration{10'000};
    /// Share of its traffic that an agent gets at the start of its ramp.
    double ramp_initial_share = 0.1;
    /// An agent whose share of errors exceeds the average by this much gets probes only.
    double suspend_error_excess = 0.25;
    milliseconds min_probe_interval{1'000};
    milliseconds max_probe_interval{30'000};
    /// Time in which a share of errors that nothing refreshes falls to half.
    milliseconds error_half_life{10'000};
    /// Score that an error share of 1 above the average costs: milliseconds, and run times of the
    /// request. Long work waits long elsewhere, and a fixed time would not outweigh that.
    double error_penalty_ms = 2'000.0;
    double error_penalty_run_times = 10.0;
    /// An excess of errors below this costs nothing: a single failure is no sign of a bad worker.
    double tolerated_error_excess = 0.12;
    /// The same for claimed work. Above 0, because any excess at all would keep a worker from such
    /// work as long as an equal one is idle.
    double tolerated_error_excess_claimed = 0.02;
    /// Pause after a refusal, doubled on each further one up to the bound.
    milliseconds min_refusal_backoff{20};
    milliseconds max_refusal_backoff{500};
};

/// Why an agent that was looked at was left out.
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

struct routing_candidate {
    std::string worker;
    std::string data_centre;
    /// Expected milliseconds until the answer; meaningless when skipped.
    double score_ms = 0.0;
    skip_reason skipped = skip_reason::none;
};

/// The agent to send to. Passed back to `sent` and `answered`.
struct routing_choice {
    std::string worker;
    std::string data_centre;
    incarnation_id incarnation = 0;
    request_class priority = request_class::standard;
    bool probe = false;
};

/// The choice, if any, with the record for the decision log.
struct routing_decision {
    std::optional<routing_choice> chosen;
    std::vector<routing_candidate> candidates;
};

/// What the entry saw of one sent attempt. `latency` runs from the send to the answer.
struct attempt_observation {
    outcome_kind outcome = outcome_kind::unknown;
    milliseconds latency{0};
    std::optional<load_report> load;
};

/// Keeps the table of agents and chooses among them. Driven on one thread.
class router {
public:
    router(router_options chosen, clock_function clock_source, random_function random_source);

    /// Adds or replaces the knowledge of an agent. A new incarnation starts without errors and
    /// without in-flight attempts.
    void update_agent(const agent_info& info);
    void remove_agent(std::string_view worker);

    /// Picks an agent that is not in `excluded`. `chosen` is empty when no agent can take it.
    [[nodiscard]] routing_decision choose(const request_info& request,
                                          std::span<const std::string> excluded);

    /// To be called once for each choice that is sent, and `answered` once when it has ended.
    void record_sent(const routing_choice& made);
    void record_ended(const routing_choice& made, const attempt_observation& seen);

    [[nodiscard]] std::size_t agent_count() const { return this->agents.size(); }
    [[nodiscard]] std::uint32_t in_flight(std::string_view worker) const;
    /// Present share of errors of the agent; 0 for an unknown one.
    [[nodiscard]] double error_rate(std::string_view worker) const;

private:
    using class_counts = std::array<std::uint32_t, class_count>;
    struct agent_state {
        agent_info info;
        class_counts in_flight{};
        /// Own in-flight attempts when the load was reported, which the report already counts.
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

    /// The best of a few agents of `members`; empty when none can take the request.
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
    void set_error_rate(agent_state& agent, double share);
    void record_load(agent_state& agent, const load_report& load);
    void rebuild_lists();
    [[nodiscard]] std::uint64_t random_below(std::uint64_t bound);

    router_options options;
    clock_function clock;
    random_function random;
    std::map<std::string, agent_state, std::less<>> agents;
    /// The lists are rebuilt at the next choice, so that many changes cost one rebuild.
    bool lists_stale = false;
    agent_list local;
    agent_list remote;
    agent_list all;
    /// Moving average of the reported run times of all agents, for one that has not reported any.
    std::array<double, class_count> mean_duration_ms{};
    /// Sum of the error shares of all agents, kept as they change.
    double error_rate_sum = 0.0;
    std::uint64_t round_robin_position = 0;
};

} // namespace redwingwheel::request
