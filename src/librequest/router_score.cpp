#include "redwingwheel/router.h"

#include <algorithm>
#include <cmath>

/// The expected time until an agent answers, and the names of policies and skip reasons.
namespace redwingwheel::request {

namespace {

/// Run time, in milliseconds, assumed until an agent has reported one, by request_class.
constexpr std::array<double, class_count> default_run_ms{10.0, 200.0, 2'000.0};

/// A reported run time within this factor of the mean of all agents is replaced by the mean. An
/// average over a few runs varies by that much even between equal workers, and the variation would
/// outweigh the waiting times to be compared.
constexpr double near_mean_factor = 2.0;

double in_ms(std::chrono::nanoseconds length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

std::size_t index_of(request_class priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

double router::expected_run_ms(const agent_state& agent, request_class priority) const
{
    const std::size_t index = index_of(priority);
    const double reported = agent.info.load.duration_ms[index];
    const double mean =
        this->mean_duration_ms[index] > 0.0 ? this->mean_duration_ms[index] : default_run_ms[index];
    const bool near_mean = reported < mean * near_mean_factor && reported * near_mean_factor > mean;
    return reported <= 0.0 || near_mean ? mean : reported;
}

double router::expected_wait_ms(const agent_state& agent, const request_info& request) const
{
    const load_report& load = agent.info.load;
    double running = 0.0;
    double completions_per_ms = 0.0;
    double ahead = 0.0;
    for (std::size_t index = 0; index < class_count; ++index) {
        const double sent_since = static_cast<double>(agent.in_flight[index]) -
                                  static_cast<double>(agent.in_flight_at_report[index]);
        const double reported = load.running[index] + load.queued[index];
        // The agent has at least the attempts in flight from this entry.
        const double current =
            std::max(static_cast<double>(agent.in_flight[index]), reported + sent_since);
        const double now_running =
            std::min(current, static_cast<double>(load.running[index]) + std::max(0.0, sent_since));
        running += now_running;
        // A slot freed by an interactive attempt is mostly taken by the next interactive one.
        if (index > 0 || request.priority == request_class::interactive) {
            completions_per_ms +=
                now_running / this->expected_run_ms(agent, static_cast<request_class>(index));
        }
        if (index <= index_of(request.priority)) {
            ahead += current - now_running;
        }
    }
    double slots = std::max(1.0, static_cast<double>(load.slots) - load.held_slots);
    if (request.priority == request_class::batch && slots > 1.0) {
        slots -= 1.0;
    }
    const double excess_slots = running + ahead + std::max<std::uint32_t>(1, request.slots) - slots;
    if (excess_slots <= 0.0) {
        return 0.0;
    }
    if (completions_per_ms <= 0.0) {
        return excess_slots * this->expected_run_ms(agent, request_class::interactive) / slots;
    }
    // Attempts in excess of the slots wait and do not add to the completion rate.
    return excess_slots / (completions_per_ms * std::min(1.0, slots / running));
}

double router::score_ms(const agent_state& agent, const request_info& request) const
{
    const bool is_local = agent.info.data_centre == this->options.local_data_centre;
    const double link_ms = is_local ? 0.0 : in_ms(this->options.remote_round_trip);
    return link_ms + this->expected_wait_ms(agent, request) +
           this->expected_run_ms(agent, request.priority) + this->error_penalty_ms(agent, request);
}

double router::error_penalty_ms(const agent_state& agent, const request_info& request) const
{
    const double excess = this->error_excess(agent);
    // A failure of claimed work is final, so that less excess is tolerated.
    const double tolerated = request.claim_incarnation.has_value()
                                 ? this->options.tolerated_error_excess_claimed
                                 : this->options.tolerated_error_excess;
    if (excess <= tolerated) {
        return 0.0;
    }
    return excess *
           (this->options.error_penalty_ms +
            this->options.error_penalty_run_times * this->expected_run_ms(agent, request.priority));
}

double router::decayed_error_rate(const agent_state& agent) const
{
    const double halvings =
        in_ms(this->clock() - agent.error_rate_set_at) / in_ms(this->options.error_half_life);
    return agent.error_rate * std::exp2(-std::max(0.0, halvings));
}

double router::error_excess(const agent_state& agent) const
{
    // The rate is compared with the average of the other agents, so that a service that fails on
    // all agents does not suspend any. A single agent has no excess.
    const double others = static_cast<double>(this->agents.size()) - 1.0;
    if (others <= 0.0) {
        return 0.0;
    }
    const double average = std::max(0.0, this->error_rate_sum - agent.error_rate) / others;
    return std::max(0.0, this->decayed_error_rate(agent) - average);
}

std::string_view to_string(routing_policy policy)
{
    switch (policy) {
    case routing_policy::estimated_load:
        return "estimated_load";
    case routing_policy::random:
        return "random";
    case routing_policy::round_robin:
        return "round_robin";
    case routing_policy::least_connections:
        return "least_connections";
    }
    return "invalid";
}

std::string_view to_string(skip_reason reason)
{
    switch (reason) {
    case skip_reason::none:
        return "none";
    case skip_reason::excluded:
        return "excluded";
    case skip_reason::no_permit:
        return "no_permit";
    case skip_reason::shutting_down:
        return "shutting_down";
    case skip_reason::service_not_offered:
        return "service_not_offered";
    case skip_reason::ramping:
        return "ramping";
    case skip_reason::suspended:
        return "suspended";
    case skip_reason::refused_lately:
        return "refused_lately";
    }
    return "invalid";
}

} // namespace redwingwheel::request
