#include "redwingwheel/router.h"

#include <algorithm>
#include <numeric>

namespace redwingwheel::request {

namespace {

/// Weight of the newest outcome in the error rate of an agent.
constexpr double error_weight = 0.1;
/// Factor on the error rate of an agent after a successful probe; a few of them end a suspension.
constexpr double error_rate_factor_after_probe = 0.5;
/// Weight of the newest report in the mean run time of all agents.
constexpr double mean_duration_weight = 0.05;
/// Limit of random picks per choice: enough to find two eligible agents when a third of all is
/// eligible. When no picked agent is eligible, choose_last_resort searches the list of all agents.
constexpr std::uint32_t max_random_picks = 12;
/// Limit of the agents compared by choose_last_resort. Comparing all 4,600 for each request would
/// slow the entry down just when all agents are full.
constexpr std::uint32_t max_last_resort_comparisons = 16;

double in_ms(std::chrono::nanoseconds length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

std::size_t index_of(request_class priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

router::router(router_options chosen, clock_function clock_source, random_function random_source)
    : options(std::move(chosen)), clock(std::move(clock_source)), random(std::move(random_source))
{
}

void router::update_agent(const agent_info& info)
{
    const auto [position, added] = this->agents.try_emplace(info.worker);
    agent_state& agent = position->second;
    const bool moved = !added && agent.info.data_centre != info.data_centre;
    if (!added && agent.info.incarnation != info.incarnation) {
        this->set_error_rate(agent, 0.0);
        agent = agent_state{};
    }
    agent.info = info;
    this->record_load(agent, info.load);
    this->lists_stale = this->lists_stale || added || moved;
}

void router::remove_agent(std::string_view worker)
{
    const auto found = this->agents.find(worker);
    if (found == this->agents.end()) {
        return;
    }
    this->set_error_rate(found->second, 0.0);
    this->agents.erase(found);
    this->lists_stale = true;
}

void router::rebuild_lists()
{
    this->lists_stale = false;
    this->local.clear();
    this->remote.clear();
    this->all.clear();
    for (auto& [worker, agent] : this->agents) {
        const bool is_local = agent.info.data_centre == this->options.local_data_centre;
        (is_local ? this->local : this->remote).push_back(&agent);
        this->all.push_back(&agent);
    }
}

router::agent_state* router::find_agent(std::string_view worker)
{
    const auto found = this->agents.find(worker);
    return found == this->agents.end() ? nullptr : &found->second;
}

std::uint64_t router::random_below(std::uint64_t bound)
{
    return this->random() % bound;
}

routing_decision router::choose(const request_info& request, std::span<const std::string> excluded)
{
    routing_decision made;
    agent_state* agent = nullptr;
    if (this->lists_stale) {
        this->rebuild_lists();
    }
    if (this->options.policy == routing_policy::estimated_load) {
        agent = this->choose_by_load(request, excluded, made.candidates);
    }
    else {
        agent = this->choose_by_baseline(request, excluded, made.candidates);
    }
    if (agent == nullptr) {
        return made;
    }
    routing_choice chosen;
    chosen.worker = agent->info.worker;
    chosen.data_centre = agent->info.data_centre;
    chosen.incarnation = agent->info.incarnation;
    chosen.priority = request.priority;
    chosen.probe =
        this->is_suspended(*agent) && this->options.policy == routing_policy::estimated_load;
    made.chosen = std::move(chosen);
    return made;
}

skip_reason router::reason_to_skip(const agent_state& agent, const request_info& request,
                                   worker_list excluded) const
{
    const agent_info& info = agent.info;
    if (std::find(excluded.begin(), excluded.end(), info.worker) != excluded.end()) {
        return skip_reason::excluded;
    }
    if (info.shutting_down) {
        return skip_reason::shutting_down;
    }
    if (!info.may_start) {
        return skip_reason::no_permit;
    }
    if (!info.services.empty() && std::find(info.services.begin(), info.services.end(),
                                            request.service) == info.services.end()) {
        return skip_reason::service_not_offered;
    }
    return skip_reason::none;
}

skip_reason router::temporary_skip_reason(const agent_state& agent)
{
    const steady_time now = this->clock();
    if (this->is_suspended(agent)) {
        return skip_reason::suspended;
    }
    if (agent.backoff_until > now) {
        return skip_reason::refused_lately;
    }
    if (agent.info.ramp_end > now) {
        const double left = in_ms(agent.info.ramp_end - now) / in_ms(this->options.ramp_duration);
        const double share =
            1.0 - (1.0 - this->options.ramp_initial_share) * std::clamp(left, 0.0, 1.0);
        constexpr std::uint64_t steps = 1'000'000;
        if (static_cast<double>(this->random_below(steps)) >= share * steps) {
            return skip_reason::ramping;
        }
    }
    return skip_reason::none;
}

bool router::is_suspended(const agent_state& agent) const
{
    // A suspension also ends as the error rate decays over time, since claimed work sends no probes
    // that could end it.
    return agent.suspended && this->error_excess(agent) > this->options.tolerated_error_excess;
}

bool router::probe_due(const agent_state& agent, const request_info& request) const
{
    // Claimed work is never sent as a probe, because a failure could not be retried.
    return this->is_suspended(agent) && !agent.probing && agent.next_probe <= this->clock() &&
           !request.claim_incarnation.has_value();
}

router::agent_state* router::best_of_sample(const agent_list& members, const request_info& request,
                                            worker_list excluded,
                                            std::vector<routing_candidate>& record)
{
    agent_state* best = nullptr;
    double best_score_ms = 0.0;
    std::uint32_t compared = 0;
    const std::size_t first_recorded = record.size();
    const std::uint32_t wanted = std::min<std::uint32_t>(
        this->options.candidates_per_choice, static_cast<std::uint32_t>(members.size()));
    for (std::uint32_t pick = 0; pick < max_random_picks && compared < wanted; ++pick) {
        agent_state& agent = *members[this->random_below(members.size())];
        const bool seen = std::any_of(record.begin() + static_cast<std::ptrdiff_t>(first_recorded),
                                      record.end(), [&agent](const routing_candidate& earlier) {
                                          return earlier.worker == agent.info.worker;
                                      });
        if (seen) {
            continue;
        }
        routing_candidate examined{agent.info.worker, agent.info.data_centre, 0.0,
                                   this->reason_to_skip(agent, request, excluded)};
        if (examined.skipped == skip_reason::none) {
            if (this->probe_due(agent, request)) {
                record.push_back(examined);
                return &agent;
            }
            examined.skipped = this->temporary_skip_reason(agent);
        }
        if (examined.skipped == skip_reason::none) {
            examined.score_ms = this->score_ms(agent, request);
            ++compared;
            if (best == nullptr || examined.score_ms < best_score_ms) {
                best = &agent;
                best_score_ms = examined.score_ms;
            }
        }
        record.push_back(examined);
    }
    return best;
}

router::agent_state* router::choose_by_load(const request_info& request, worker_list excluded,
                                            std::vector<routing_candidate>& record)
{
    agent_state* const local_agent =
        this->local.empty() ? nullptr
                            : this->best_of_sample(this->local, request, excluded, record);
    if (local_agent != nullptr && this->is_suspended(*local_agent)) {
        return local_agent;
    }
    const double local_score_ms =
        local_agent == nullptr ? 0.0 : this->score_ms(*local_agent, request);
    const double link_ms = in_ms(this->options.remote_round_trip);
    // A remote agent takes at least the round trip longer than the run time of the request.
    const bool local_is_sufficient =
        local_agent != nullptr &&
        local_score_ms <= this->expected_run_ms(*local_agent, request.priority) + link_ms;
    if (local_is_sufficient || this->remote.empty()) {
        return local_agent != nullptr ? local_agent
                                      : this->choose_last_resort(request, excluded, record);
    }
    agent_state* const remote_agent = this->best_of_sample(this->remote, request, excluded, record);
    if (remote_agent == nullptr) {
        return local_agent != nullptr ? local_agent
                                      : this->choose_last_resort(request, excluded, record);
    }
    if (local_agent == nullptr || this->is_suspended(*remote_agent) ||
        this->score_ms(*remote_agent, request) < local_score_ms) {
        return remote_agent;
    }
    return local_agent;
}

router::agent_state* router::choose_last_resort(const request_info& request, worker_list excluded,
                                                std::vector<routing_candidate>& record)
{
    // No randomly picked agent was eligible. Ramping, backed-off and suspended agents are accepted
    // here rather than refusing the request; the score, with its error penalty, decides.
    agent_state* best = nullptr;
    double best_score_ms = 0.0;
    std::uint32_t compared = 0;
    const std::size_t first =
        this->all.empty() ? 0 : this->round_robin_position++ % this->all.size();
    for (std::size_t step = 0; step < this->all.size() && compared < max_last_resort_comparisons;
         ++step) {
        agent_state* const agent = this->all[(first + step) % this->all.size()];
        if (this->reason_to_skip(*agent, request, excluded) != skip_reason::none ||
            (this->is_suspended(*agent) && request.claim_incarnation.has_value())) {
            continue;
        }
        ++compared;
        const double score = this->score_ms(*agent, request);
        if (best == nullptr || score < best_score_ms) {
            best = agent;
            best_score_ms = score;
        }
    }
    if (best != nullptr) {
        record.push_back(routing_candidate{best->info.worker, best->info.data_centre, best_score_ms,
                                           skip_reason::none});
    }
    return best;
}

router::agent_state* router::choose_by_baseline(const request_info& request, worker_list excluded,
                                                std::vector<routing_candidate>& record)
{
    agent_list usable;
    for (agent_state* const agent : this->all) {
        const skip_reason reason = this->reason_to_skip(*agent, request, excluded);
        record.push_back(
            routing_candidate{agent->info.worker, agent->info.data_centre, 0.0, reason});
        if (reason == skip_reason::none) {
            usable.push_back(agent);
        }
    }
    if (usable.empty()) {
        return nullptr;
    }
    switch (this->options.policy) {
    case routing_policy::round_robin:
        return usable[this->round_robin_position++ % usable.size()];
    case routing_policy::least_connections: {
        const auto connections = [](const agent_state* agent) {
            return std::accumulate(agent->in_flight.begin(), agent->in_flight.end(), 0U);
        };
        // Starts at a random position, so that ties are spread over the agents.
        std::rotate(usable.begin(),
                    usable.begin() + static_cast<std::ptrdiff_t>(this->random_below(usable.size())),
                    usable.end());
        return *std::min_element(usable.begin(), usable.end(),
                                 [&connections](const agent_state* left, const agent_state* right) {
                                     return connections(left) < connections(right);
                                 });
    }
    default:
        return usable[this->random_below(usable.size())];
    }
}

void router::set_error_rate(agent_state& agent, double rate)
{
    this->error_rate_sum += rate - agent.error_rate;
    agent.error_rate = rate;
    agent.error_rate_set_at = this->clock();
}

void router::record_load(agent_state& agent, const load_report& load)
{
    agent.info.load = load;
    agent.in_flight_at_report = agent.in_flight;
    for (std::size_t index = 0; index < class_count; ++index) {
        double& mean = this->mean_duration_ms[index];
        if (load.duration_ms[index] > 0.0) {
            mean += (mean > 0.0 ? mean_duration_weight : 1.0) * (load.duration_ms[index] - mean);
        }
    }
}

void router::record_sent(const routing_choice& made)
{
    agent_state* const agent = this->find_agent(made.worker);
    if (agent == nullptr || agent->info.incarnation != made.incarnation) {
        return;
    }
    ++agent->in_flight[index_of(made.priority)];
    agent->probing = agent->probing || made.probe;
}

void router::record_ended(const routing_choice& made, const attempt_observation& seen)
{
    agent_state* const agent = this->find_agent(made.worker);
    // An answer of a former incarnation does not apply to the current one.
    if (agent == nullptr || agent->info.incarnation != made.incarnation) {
        return;
    }
    std::uint32_t& in_flight = agent->in_flight[index_of(made.priority)];
    in_flight -= std::min<std::uint32_t>(1, in_flight);
    if (seen.load.has_value()) {
        this->record_load(*agent, *seen.load);
    }
    this->record_outcome(*agent, made, seen);
}

void router::record_outcome(agent_state& agent, const routing_choice& made,
                            const attempt_observation& seen)
{
    const steady_time now = this->clock();
    if (seen.outcome == outcome_kind::not_run) {
        agent.consecutive_refusals = std::min<std::uint32_t>(agent.consecutive_refusals + 1, 16);
        const milliseconds backoff =
            this->options.min_refusal_backoff * (1LL << (agent.consecutive_refusals - 1));
        agent.backoff_until = now + std::min(backoff, this->options.max_refusal_backoff);
        agent.probing = agent.probing && !made.probe;
        return;
    }
    agent.consecutive_refusals = 0;
    const bool failed = seen.outcome != outcome_kind::done;
    const double decayed = this->decayed_error_rate(agent);
    this->set_error_rate(agent, decayed + error_weight * ((failed ? 1.0 : 0.0) - decayed));
    if (made.probe) {
        this->record_probe(agent, failed);
    }
    else if (!this->is_suspended(agent) &&
             this->error_excess(agent) > this->options.suspend_error_excess) {
        agent.suspended = true;
        agent.probe_interval = this->options.min_probe_interval;
        agent.next_probe = now + agent.probe_interval;
    }
}

void router::record_probe(agent_state& agent, bool failed)
{
    agent.probing = false;
    if (failed) {
        agent.probe_interval = std::min(agent.probe_interval * 2, this->options.max_probe_interval);
    }
    else {
        this->set_error_rate(agent, agent.error_rate * error_rate_factor_after_probe);
        agent.probe_interval = this->options.min_probe_interval;
        agent.suspended = this->is_suspended(agent);
    }
    agent.next_probe = this->clock() + agent.probe_interval;
}

std::uint32_t router::in_flight(std::string_view worker) const
{
    const auto found = this->agents.find(worker);
    if (found == this->agents.end()) {
        return 0;
    }
    const class_counts& counts = found->second.in_flight;
    return std::accumulate(counts.begin(), counts.end(), 0U);
}

double router::error_rate(std::string_view worker) const
{
    const auto found = this->agents.find(worker);
    return found == this->agents.end() ? 0.0 : this->decayed_error_rate(found->second);
}

} // namespace redwingwheel::request
