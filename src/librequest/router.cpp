#include "redwingwheel/router.h"

#include <algorithm>
#include <numeric>

namespace redwingwheel::request {

namespace {

constexpr double error_weight = 0.1;
/// Share of the errors that remains after a probe that went well; a few of them end a suspension.
constexpr double errors_after_good_probe = 0.5;
constexpr double fleet_weight = 0.05;
/// Random picks for one choice. Enough to find two usable agents when a third of them is usable;
/// after that the whole list is searched.
constexpr std::uint32_t picks_bound = 12;
/// Usable agents compared when the random picks met none. Comparing all of 4,600 in each choice
/// would slow the entry down just when every agent is full.
constexpr std::uint32_t last_resort_bound = 16;

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
        this->set_errors(agent, 0.0);
        agent = agent_state{};
    }
    agent.info = info;
    this->note_load(agent, info.load);
    this->lists_stale = this->lists_stale || added || moved;
}

void router::remove_agent(std::string_view worker)
{
    const auto found = this->agents.find(worker);
    if (found == this->agents.end()) {
        return;
    }
    this->set_errors(found->second, 0.0);
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
        const bool near = agent.info.data_centre == this->options.local_data_centre;
        (near ? this->local : this->remote).push_back(&agent);
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

decision router::choose(const request_info& request, std::span<const std::string> excluded)
{
    decision made;
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
    choice chosen;
    chosen.worker = agent->info.worker;
    chosen.data_centre = agent->info.data_centre;
    chosen.incarnation = agent->info.incarnation;
    chosen.priority = request.priority;
    chosen.probe =
        this->still_suspended(*agent) && this->options.policy == routing_policy::estimated_load;
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

skip_reason router::reason_to_wait(const agent_state& agent)
{
    const steady_time now = this->clock();
    if (this->still_suspended(agent)) {
        return skip_reason::suspended;
    }
    if (agent.paused_until > now) {
        return skip_reason::refused_lately;
    }
    if (agent.info.ramp_deadline > now) {
        const double left = in_ms(agent.info.ramp_deadline - now) / in_ms(this->options.ramp);
        const double share = 1.0 - (1.0 - this->options.ramp_floor) * std::clamp(left, 0.0, 1.0);
        constexpr std::uint64_t steps = 1'000'000;
        if (static_cast<double>(this->random_below(steps)) >= share * steps) {
            return skip_reason::ramping;
        }
    }
    return skip_reason::none;
}

bool router::still_suspended(const agent_state& agent) const
{
    // Time alone lifts a suspension too: claimed work sends no probes that could lift it.
    return agent.suspended && this->excess_errors(agent) > this->options.errors_tolerated;
}

bool router::probe_due(const agent_state& agent, const request_info& request) const
{
    // Claimed work is never risked on a probe: its failure could not be retried.
    return this->still_suspended(agent) && !agent.probing && agent.next_probe <= this->clock() &&
           !request.claim_incarnation.has_value();
}

router::agent_state* router::best_of(const agent_list& members, const request_info& request,
                                     worker_list excluded, std::vector<candidate>& record)
{
    agent_state* best = nullptr;
    double best_score = 0.0;
    std::uint32_t compared = 0;
    const std::size_t first_recorded = record.size();
    const std::uint32_t wanted =
        std::min<std::uint32_t>(this->options.choices, static_cast<std::uint32_t>(members.size()));
    for (std::uint32_t pick = 0; pick < picks_bound && compared < wanted; ++pick) {
        agent_state& agent = *members[this->random_below(members.size())];
        const bool seen = std::any_of(
            record.begin() + static_cast<std::ptrdiff_t>(first_recorded), record.end(),
            [&agent](const candidate& earlier) { return earlier.worker == agent.info.worker; });
        if (seen) {
            continue;
        }
        candidate looked_at{agent.info.worker, agent.info.data_centre, 0.0,
                            this->reason_to_skip(agent, request, excluded)};
        if (looked_at.skipped == skip_reason::none) {
            if (this->probe_due(agent, request)) {
                record.push_back(looked_at);
                return &agent;
            }
            looked_at.skipped = this->reason_to_wait(agent);
        }
        if (looked_at.skipped == skip_reason::none) {
            looked_at.score_ms = this->score_ms(agent, request);
            ++compared;
            if (best == nullptr || looked_at.score_ms < best_score) {
                best = &agent;
                best_score = looked_at.score_ms;
            }
        }
        record.push_back(looked_at);
    }
    return best;
}

router::agent_state* router::choose_by_load(const request_info& request, worker_list excluded,
                                            std::vector<candidate>& record)
{
    agent_state* const near =
        this->local.empty() ? nullptr : this->best_of(this->local, request, excluded, record);
    if (near != nullptr && this->still_suspended(*near)) {
        return near;
    }
    const double near_score = near == nullptr ? 0.0 : this->score_ms(*near, request);
    const double link_ms = in_ms(this->options.link_cost);
    // An answer from another data centre takes the link at least.
    const bool near_is_good =
        near != nullptr && near_score <= this->run_ms(*near, request.priority) + link_ms;
    if (near_is_good || this->remote.empty()) {
        return near != nullptr ? near : this->choose_any(request, excluded, record);
    }
    agent_state* const far = this->best_of(this->remote, request, excluded, record);
    if (far == nullptr) {
        return near != nullptr ? near : this->choose_any(request, excluded, record);
    }
    if (near == nullptr || this->still_suspended(*far) ||
        this->score_ms(*far, request) < near_score) {
        return far;
    }
    return near;
}

router::agent_state* router::choose_any(const request_info& request, worker_list excluded,
                                        std::vector<candidate>& record)
{
    // The random picks met nobody usable. Better a ramping, paused or suspended agent than a
    // refusal; the order of the errors and of the load decides.
    agent_state* best = nullptr;
    double best_score = 0.0;
    std::uint32_t compared = 0;
    const std::size_t first = this->all.empty() ? 0 : this->next_in_turn++ % this->all.size();
    for (std::size_t step = 0; step < this->all.size() && compared < last_resort_bound; ++step) {
        agent_state* const agent = this->all[(first + step) % this->all.size()];
        if (this->reason_to_skip(*agent, request, excluded) != skip_reason::none ||
            (this->still_suspended(*agent) && request.claim_incarnation.has_value())) {
            continue;
        }
        ++compared;
        const double score = this->score_ms(*agent, request);
        if (best == nullptr || score < best_score) {
            best = agent;
            best_score = score;
        }
    }
    if (best != nullptr) {
        record.push_back(
            candidate{best->info.worker, best->info.data_centre, best_score, skip_reason::none});
    }
    return best;
}

router::agent_state* router::choose_by_baseline(const request_info& request, worker_list excluded,
                                                std::vector<candidate>& record)
{
    agent_list usable;
    for (agent_state* const agent : this->all) {
        const skip_reason reason = this->reason_to_skip(*agent, request, excluded);
        record.push_back(candidate{agent->info.worker, agent->info.data_centre, 0.0, reason});
        if (reason == skip_reason::none) {
            usable.push_back(agent);
        }
    }
    if (usable.empty()) {
        return nullptr;
    }
    switch (this->options.policy) {
    case routing_policy::round_robin:
        return usable[this->next_in_turn++ % usable.size()];
    case routing_policy::least_connections: {
        const auto connections = [](const agent_state* agent) {
            return std::accumulate(agent->in_flight.begin(), agent->in_flight.end(), 0U);
        };
        // Starts at a random place, so that equal agents share.
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

void router::set_errors(agent_state& agent, double share)
{
    this->error_sum += share - agent.error_share;
    agent.error_share = share;
    agent.errors_changed_at = this->clock();
}

void router::note_load(agent_state& agent, const load_report& load)
{
    agent.info.load = load;
    agent.in_flight_at_report = agent.in_flight;
    for (std::size_t index = 0; index < class_count; ++index) {
        double& fleet = this->fleet_duration_ms[index];
        if (load.duration_ms[index] > 0.0) {
            fleet += (fleet > 0.0 ? fleet_weight : 1.0) * (load.duration_ms[index] - fleet);
        }
    }
}

void router::sent(const choice& made)
{
    agent_state* const agent = this->find_agent(made.worker);
    if (agent == nullptr || agent->info.incarnation != made.incarnation) {
        return;
    }
    ++agent->in_flight[index_of(made.priority)];
    agent->probing = agent->probing || made.probe;
}

void router::answered(const choice& made, const answer_observation& seen)
{
    agent_state* const agent = this->find_agent(made.worker);
    // An answer of an incarnation that is gone says nothing of the present one.
    if (agent == nullptr || agent->info.incarnation != made.incarnation) {
        return;
    }
    std::uint32_t& in_flight = agent->in_flight[index_of(made.priority)];
    in_flight -= std::min<std::uint32_t>(1, in_flight);
    if (seen.load.has_value()) {
        this->note_load(*agent, *seen.load);
    }
    this->note_outcome(*agent, made, seen);
}

void router::note_outcome(agent_state& agent, const choice& made, const answer_observation& seen)
{
    const steady_time now = this->clock();
    if (seen.outcome == outcome_kind::not_run) {
        agent.refusals_in_row = std::min<std::uint32_t>(agent.refusals_in_row + 1, 16);
        const milliseconds pause =
            this->options.refusal_pause * (1LL << (agent.refusals_in_row - 1));
        agent.paused_until = now + std::min(pause, this->options.refusal_pause_bound);
        agent.probing = agent.probing && !made.probe;
        return;
    }
    agent.refusals_in_row = 0;
    const bool failed = seen.outcome != outcome_kind::done;
    const double present = this->decayed_errors(agent);
    this->set_errors(agent, present + error_weight * ((failed ? 1.0 : 0.0) - present));
    if (made.probe) {
        this->note_probe(agent, failed);
    }
    else if (!this->still_suspended(agent) &&
             this->excess_errors(agent) > this->options.suspend_error_share) {
        agent.suspended = true;
        agent.probe_pause = this->options.first_probe_after;
        agent.next_probe = now + agent.probe_pause;
    }
}

void router::note_probe(agent_state& agent, bool failed)
{
    agent.probing = false;
    if (failed) {
        agent.probe_pause = std::min(agent.probe_pause * 2, this->options.last_probe_after);
    }
    else {
        this->set_errors(agent, agent.error_share * errors_after_good_probe);
        agent.probe_pause = this->options.first_probe_after;
        agent.suspended = this->still_suspended(agent);
    }
    agent.next_probe = this->clock() + agent.probe_pause;
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

double router::error_share(std::string_view worker) const
{
    const auto found = this->agents.find(worker);
    return found == this->agents.end() ? 0.0 : this->decayed_errors(found->second);
}

} // namespace redwingwheel::request
