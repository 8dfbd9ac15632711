#include "redwingwheel/scheduler.h"

#include <cmath>
#include <limits>

#include "scheduler_round.h"

/// Placement of a step, if necessary with the eviction of less urgent runs.
namespace redwingwheel::jobs {

namespace {

/// Cores to which an accelerator is equivalent when lost work is compared.
constexpr double cores_per_accelerator = 8.0;
/// `pending_step::lateness` of a step that is too late to have any value.
constexpr int lateness_without_value = 2;
/// Work that is lost when a resumable run is evicted, in seconds of its resources.
constexpr double resume_cost_s = 0.3;

double core_equivalents(const resources& each)
{
    constexpr double millis_per_core = 1000.0;
    return static_cast<double>(each.cpu_millis) / millis_per_core +
           static_cast<double>(each.accelerators) * cores_per_accelerator;
}

} // namespace

void scheduler::place(scheduling_round& round, const pending_step& pending)
{
    this->update_eligibility(round, pending);
    subtract_reservations(round, pending);
    placement_request request;
    request.step = &pending.definition();
    request.tasks = static_cast<std::uint32_t>(pending.waiting_tasks.size());
    request.pace = this->preferred_pace(round, pending);
    request.prefer_headroom = pending.urgency_class != urgency::ordinary;
    const milliseconds waited = std::chrono::duration_cast<milliseconds>(round.now - pending.due);
    const bool never_fits =
        this->workers_had_time_to_report(round) && !fits_when_empty(request, round.availability);
    request.allow_any_rack = never_fits || this->rack_wait_expired(round, pending);
    request.allow_remote_data =
        never_fits ||
        waited >= milliseconds(std::max<std::int64_t>(pending.definition().estimate_ms, 1000)) ||
        pending.urgency_class == urgency::guaranteed;
    this->apply_headroom(round, pending, request);
    const bool isolate = this->apply_isolation(round, pending);
    const std::vector<std::size_t> worker_indices = find_placement(request, round.availability);
    if (!worker_indices.empty()) {
        this->assign(round, pending, worker_indices);
    }
    if (worker_indices.size() == pending.waiting_tasks.size()) {
        this->drop_reservation(round, pending.id());
    }
    else if (isolate) {
        // Nothing is evicted to isolate a task.
    }
    else if (pending.urgency_class != urgency::ordinary) {
        waiting_step waiting = this->free_resources(round, pending, request);
        waiting.tasks = pending.waiting_tasks.size() - worker_indices.size();
        waiting.guaranteed = pending.urgency_class == urgency::guaranteed;
        round.result.waiting.push_back(std::move(waiting));
    }
    else if (request.step->gang && !round.gang_has_reservation &&
             pending.lateness < lateness_without_value &&
             waited >= this->options.gang_reservation_delay) {
        round.gang_has_reservation = true;
        this->reserve_for_gang(round, pending, request);
    }
    restore_reservations(round, pending);
}

/// Ordinary tasks that run one by one and have time to spare leave the fast workers to urgent work
/// and to gangs, which are as slow as the slowest of their workers.
pace_preference scheduler::preferred_pace(const scheduling_round& round,
                                          const pending_step& pending) const
{
    const step_definition& step = pending.definition();
    if (pending.urgency_class != urgency::ordinary || step.gang || step.long_running) {
        return pace_preference::fast;
    }
    int slowest_class = 0;
    for (const worker_availability& each : round.availability) {
        slowest_class = std::max(slowest_class, each.pace_class);
    }
    // A pace class is a quarter of an octave.
    const double slowest = std::exp2(slowest_class / 4.0);
    const std::chrono::duration<double, std::milli> left = pending.objective - round.now;
    const double longest_ms = slowest * this->predicted(*pending.job, step).upper_ms;
    return longest_ms <= left.count() ? pace_preference::slow : pace_preference::fast;
}

/// A new leader knows only the workers that have reported to it.
bool scheduler::workers_had_time_to_report(const scheduling_round& round) const
{
    return round.now >= this->leading_since + this->options.report_timeout;
}

/// True when a guaranteed gang has waited long enough for a single rack. Before the first start the
/// time counts from when the step was due, as in the requirement for guaranteed work, but not from
/// before this leader's term. After a lost run it counts anew, because waiting costs less time than
/// a run across racks.
bool scheduler::rack_wait_expired(const scheduling_round& round, const pending_step& pending) const
{
    if (pending.urgency_class != urgency::guaranteed) {
        return false;
    }
    const step_record& record =
        pending.job->open_occurrences.at(pending.occurrence).steps[pending.step];
    const bool has_started = record.tasks.record_count() > 0;
    const milliseconds since_due =
        std::chrono::duration_cast<milliseconds>(round.now - pending.due);
    const milliseconds since_waiting =
        std::chrono::duration_cast<milliseconds>(round.now - this->waiting_since.at(pending.id()));
    const milliseconds since_term =
        std::chrono::duration_cast<milliseconds>(round.now - this->leading_since);
    return (has_started ? since_waiting : std::min(since_due, since_term)) >=
           this->options.rack_wait_limit;
}

/// Reserves the resources that are expected to be free first for a gang that has waited long.
/// Otherwise small tasks could take them one by one and starve the gang.
void scheduler::reserve_for_gang(scheduling_round& round, const pending_step& pending,
                                 const placement_request& request)
{
    if (this->has_reservation(round, pending)) {
        return;
    }
    std::vector<victim> expected = this->find_ending_runs(round);
    std::sort(expected.begin(), expected.end(), [](const victim& left, const victim& right) {
        return left.expected_remaining_ms < right.expected_remaining_ms;
    });
    const std::optional<eviction_plan> plan = plan_eviction(round, request, expected);
    if (!plan.has_value()) {
        return;
    }
    double longest_ms = 0.0;
    for (const std::size_t each : plan->victim_indices) {
        longest_ms = std::max(longest_ms, expected[each].earliest_end_ms);
    }
    const milliseconds until_usable(static_cast<std::int64_t>(
        std::min(longest_ms, static_cast<double>(max_time_span.count()))));
    this->make_reservation(round, pending, *plan, round.now + until_usable);
}

/// Evicts other runs for an urgent step, unless resources are already being freed for it.
waiting_step scheduler::free_resources(scheduling_round& round, const pending_step& pending,
                                       const placement_request& request)
{
    if (this->has_reservation(round, pending)) {
        return {pending.id(), wait_reason::room_is_freed};
    }
    if (!this->may_search_eviction(round)) {
        return {pending.id(), wait_reason::not_searched};
    }
    this->drop_reservation(round, pending.id());
    return this->reserve_by_eviction(round, pending, request);
}

bool scheduler::may_search_eviction(scheduling_round& round) const
{
    const std::size_t position = round.eviction_candidates++;
    const std::size_t half = this->options.max_eviction_searches / 2;
    return position < half ||
           (position >= half + this->next_search && position < 2 * half + this->next_search);
}

/// Runs on known workers, those of a gang together. Long-running tasks end only when they are
/// stopped.
std::vector<scheduler::victim> scheduler::group_runs(const scheduling_round& round,
                                                     bool with_long_running) const
{
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>, victim> by_unit;
    for (std::size_t each = 0; each < round.ids.size(); ++each) {
        for (const run_id& run : this->state.runs_on(round.ids[each])) {
            const job_record* const job = this->state.find(run.task.job);
            const step_definition& step = job->definition.steps[run.task.step];
            if (step.long_running && !with_long_running) {
                continue;
            }
            const bool is_ending = this->evicting.contains(run) || job->ended();
            const double left = is_ending ? 0.0 : this->expected_remaining_ms(round, run);
            const bool ends_soon =
                is_ending || (!step.long_running && this->is_about_to_end(round, run));
            const std::uint32_t index = step.gang ? 0 : run.task.index;
            victim& unit = by_unit[{run.task.job, run.task.occurrence, run.task.step, index}];
            unit.runs.push_back(run);
            unit.worker_indices.push_back(each);
            unit.freed_per_task = counted_resources(step);
            const auto known = this->runs.find(run);
            const double seconds =
                known == this->runs.end()
                    ? 0.0
                    : std::chrono::duration<double>(round.now - known->second.started_at).count();
            const bool keeps_work = step.resumable || step.long_running;
            unit.cost += is_ending ? 0.0
                                   : core_equivalents(step.per_task) *
                                         (keeps_work ? resume_cost_s : seconds);
            unit.expected_remaining_ms = std::max(unit.expected_remaining_ms, left);
            const std::optional<double> measured = this->measured_remaining_ms(round, run);
            constexpr double ms_per_second = 1000.0;
            unit.earliest_end_ms = std::max(
                unit.earliest_end_ms,
                measured.has_value() ? left : std::max(0.0, left - seconds * ms_per_second));
            unit.ends_soon = ends_soon && (unit.runs.size() == 1 || unit.ends_soon);
            unit.rank = step.long_running    ? victim_rank::long_running
                        : job->priority == 0 ? victim_rank::urgent
                                             : victim_rank::batch;
        }
    }
    std::vector<victim> found;
    for (auto& [key, unit] : by_unit) {
        if (unit.ends_soon) {
            unit.cost = 0.0;
        }
        found.push_back(std::move(unit));
    }
    std::sort(found.begin(), found.end(), [](const victim& left, const victim& right) {
        const auto order = [](const victim& of) {
            const double freed =
                static_cast<double>(of.runs.size()) * core_equivalents(of.freed_per_task);
            return std::make_tuple(of.ends_soon ? victim_rank::batch : of.rank,
                                   of.cost / std::max(freed, 0.001));
        };
        return order(left) < order(right);
    });
    return found;
}

std::vector<scheduler::victim> scheduler::find_ending_runs(const scheduling_round& round) const
{
    return this->group_runs(round, false);
}

/// A guaranteed step may stop whatever its own guarantee or that of another account does not cover,
/// and long-running tasks as far as their disruption limits allow. Other urgent steps may stop only
/// runs of lower priority that end by themselves.
std::vector<scheduler::victim> scheduler::find_victims(const scheduling_round& round,
                                                       const pending_step& pending) const
{
    const bool is_guaranteed = pending.urgency_class == urgency::guaranteed;
    std::map<task_id, std::size_t> disruptions;
    std::vector<victim> found;
    for (victim& unit : this->group_runs(round, is_guaranteed)) {
        const run_id& first = unit.runs.front();
        const job_record& job = *this->state.find(first.task.job);
        const bool is_covered =
            job.priority == 0 && (!is_guaranteed || round.guaranteed.contains(first.task.job));
        if (is_covered && !unit.ends_soon) {
            continue;
        }
        if (unit.rank == victim_rank::long_running && !unit.ends_soon) {
            const task_id step{first.task.job, first.task.occurrence, first.task.step, 0};
            std::size_t& left =
                disruptions.try_emplace(step, this->disruptions_left(step)).first->second;
            if (left < unit.runs.size()) {
                continue;
            }
            left -= unit.runs.size();
        }
        found.push_back(std::move(unit));
    }
    return found;
}

/// A task is at work when it is listed at 100 percent, by a worker that answers.
std::size_t scheduler::disruptions_left(const task_id& step) const
{
    constexpr std::uint32_t at_work_percent = 100;
    const job_record& job = *this->state.find(step.job);
    const step_definition& definition = job.definition.steps[step.step];
    const step_record& record = job.open_occurrences.at(step.occurrence).steps[step.step];
    if (definition.disruption_limit == 0) {
        return record.tasks.size();
    }
    std::size_t at_work = 0;
    task_id id = step;
    for (const auto& [index, task] : record.tasks.started()) {
        id.index = index;
        const run_id run{id, task.last_run};
        const auto known = this->runs.find(run);
        at_work += task.phase == task_phase::assigned && known != this->runs.end() &&
                           known->second.listed && known->second.percent >= at_work_percent &&
                           this->contact_with(task.worker) == worker_contact::answers &&
                           !this->evicting.contains(run)
                       ? 1
                       : 0;
    }
    const std::size_t away = record.tasks.size() - at_work;
    return definition.disruption_limit - std::min<std::size_t>(away, definition.disruption_limit);
}

/// True when the measured progress predicts the end of the run within `imminent_end`. A declared
/// duration is not sufficient, nor is a run that should have ended long ago.
bool scheduler::is_about_to_end(const scheduling_round& round, const run_id& run) const
{
    const std::optional<double> left = this->measured_remaining_ms(round, run);
    return left.has_value() &&
           std::abs(*left) <= static_cast<double>(this->options.imminent_end.count());
}

/// Selects victims that free enough resources, in the order of `candidates`, and leaves out those
/// that turn out not to be needed. Empty when all candidates together do not suffice.
std::optional<scheduler::eviction_plan>
scheduler::plan_eviction(const scheduling_round& round, const placement_request& request,
                         const std::vector<victim>& candidates)
{
    std::vector<worker_availability> availability = round.availability;
    const auto change = [&availability](const victim& unit, int sign) {
        for (const std::size_t place : unit.worker_indices) {
            if (sign > 0) {
                availability[place].available += unit.freed_per_task;
            }
            else {
                availability[place].available -= unit.freed_per_task;
            }
        }
    };
    eviction_plan plan;
    for (std::size_t each = 0; each < candidates.size(); ++each) {
        change(candidates[each], 1);
        plan.victim_indices.push_back(each);
        plan.worker_indices = find_placement(request, availability);
        if (plan.worker_indices.size() == request.tasks) {
            break;
        }
    }
    if (plan.worker_indices.size() < request.tasks) {
        return std::nullopt;
    }
    // Leaves out the victims that are not needed, the most expensive first.
    for (std::size_t kept = plan.victim_indices.size(); kept > 0; --kept) {
        const victim& unit = candidates[plan.victim_indices[kept - 1]];
        change(unit, -1);
        std::vector<std::size_t> worker_indices = find_placement(request, availability);
        if (worker_indices.size() == request.tasks) {
            plan.worker_indices = std::move(worker_indices);
            plan.victim_indices.erase(plan.victim_indices.begin() +
                                      static_cast<std::ptrdiff_t>(kept - 1));
        }
        else {
            change(unit, 1);
        }
    }
    for (const std::size_t each : plan.victim_indices) {
        plan.cost += candidates[each].cost;
    }
    return plan;
}

waiting_step scheduler::reserve_by_eviction(scheduling_round& round, const pending_step& pending,
                                            const placement_request& request)
{
    const std::vector<victim> candidates = this->find_victims(round, pending);
    std::optional<eviction_plan> best;
    std::set<std::string> racks;
    if (request.step->same_rack && !request.allow_any_rack) {
        for (const worker_availability& each : round.availability) {
            racks.insert(each.rack);
        }
    }
    else {
        racks.insert("");
    }
    for (const std::string& rack : racks) {
        std::vector<victim> victims_in_rack;
        for (const victim& unit : candidates) {
            const bool uses_rack =
                std::any_of(unit.worker_indices.begin(), unit.worker_indices.end(),
                            [&round, &rack](std::size_t place) {
                                return rack.empty() || round.availability[place].rack == rack;
                            });
            if (uses_rack) {
                victims_in_rack.push_back(unit);
            }
        }
        std::optional<eviction_plan> plan = plan_eviction(round, request, victims_in_rack);
        if (plan.has_value() && (!best.has_value() || plan->cost < best->cost)) {
            best = std::move(plan);
            best->victims.clear();
            for (const std::size_t each : best->victim_indices) {
                best->victims.push_back(victims_in_rack[each]);
            }
        }
    }
    const resources& per_task = request.step->per_task;
    constexpr double ms_per_s = 1000.0;
    const double own_core_seconds = core_equivalents(per_task) *
                                    static_cast<double>(request.tasks) *
                                    this->predicted_ms(*pending.job, *request.step) / ms_per_s;
    if (!best.has_value()) {
        return {pending.id(), wait_reason::no_room};
    }
    const double limit = own_core_seconds * this->options.urgent_eviction_ratio;
    if (pending.urgency_class != urgency::guaranteed && best->cost > limit) {
        return {pending.id(), wait_reason::eviction_too_dear, 0, false, best->cost, limit};
    }
    this->make_reservation(round, pending, *best, round.now);
    for (const victim& unit : best->victims) {
        if (unit.ends_soon) {
            continue;
        }
        for (const run_id& run : unit.runs) {
            if (this->evicting.emplace(run, *pending.job_id).second) {
                round.result.evictions.push_back({run, *pending.job_id});
            }
        }
    }
    return {pending.id(), wait_reason::room_is_freed, 0, false, best->cost, limit};
}

std::string_view wait_reason_name(wait_reason reason)
{
    switch (reason) {
    case wait_reason::no_room:
        return "no_room";
    case wait_reason::not_searched:
        return "not_searched";
    case wait_reason::eviction_too_dear:
        return "eviction_too_dear";
    case wait_reason::room_is_freed:
        return "room_is_freed";
    }
    return "unknown";
}

} // namespace redwingwheel::jobs
