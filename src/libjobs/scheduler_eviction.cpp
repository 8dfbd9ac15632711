#include "redwingwheel/scheduler.h"

#include <cmath>
#include <limits>

#include "scheduler_round.h"

/// Placing a step, if need be by the eviction of less urgent runs.
namespace redwingwheel::jobs {

namespace {

/// An accelerator counts as this many cores when lost work is compared.
constexpr double cores_per_accelerator = 8.0;
/// Lateness of work that earns nothing any more.
constexpr int hopeless = 2;
/// Work lost by evicting a run that resumes from a checkpoint, in seconds of its resources.
constexpr double resume_cost_s = 0.3;

double weight_of(const resources& each)
{
    constexpr double millis_per_core = 1000.0;
    return static_cast<double>(each.cpu_millis) / millis_per_core +
           static_cast<double>(each.accelerators) * cores_per_accelerator;
}

} // namespace

void scheduler::place(round& now, const candidate& next)
{
    this->mark_eligible(now, next);
    withhold(now, next);
    placement_request request;
    request.step = &next.definition();
    request.tasks = static_cast<std::uint32_t>(next.waiting.size());
    const milliseconds waited(now.now_unix_ms - next.waiting_since_unix_ms);
    request.any_rack =
        !fits_when_empty(request, now.rooms) || this->rack_is_out_of_reach(now, next);
    request.away_from_data =
        !fits_when_empty(request, now.rooms) ||
        waited >= milliseconds(std::max<std::int64_t>(next.definition().estimate_ms, 1000)) ||
        next.rank == urgency::guaranteed;
    const std::vector<std::size_t> places = find_places(request, now.rooms);
    if (!places.empty()) {
        this->assign(now, next, places);
    }
    if (places.size() == next.waiting.size()) {
        this->drop_reservation(now, next.id());
    }
    else if (next.rank != urgency::ordinary) {
        waiting_step waits = this->free_room(now, next, request);
        waits.tasks = next.waiting.size() - places.size();
        waits.guaranteed = next.rank == urgency::guaranteed;
        now.result.waiting.push_back(std::move(waits));
    }
    else if (request.step->gang && !now.gang_is_waiting && next.lateness < hopeless &&
             waited >= this->options.gang_patience) {
        now.gang_is_waiting = true;
        this->keep_room(now, next, request);
    }
    give_back(now, next);
}

/// The bound for guaranteed work counts from the submission to its first start; later, losing time
/// by waiting is cheaper than a run across racks.
bool scheduler::rack_is_out_of_reach(const round& now, const candidate& next) const
{
    if (next.rank != urgency::guaranteed) {
        return false;
    }
    const step_record& record = next.job->open.at(next.occurrence).steps[next.step];
    const bool began = std::any_of(record.tasks.begin(), record.tasks.end(),
                                   [](const task_record& task) { return task.last_run > 0; });
    const milliseconds since_due(now.now_unix_ms - next.waiting_since_unix_ms);
    const milliseconds since_waiting =
        std::chrono::duration_cast<milliseconds>(now.now - this->waiting_since.at(next.id()));
    return (began ? since_waiting : since_due) >= this->options.rack_patience;
}

/// Keeps the room that is expected to be free first for a gang that has waited long, so that small
/// work does not take it piece by piece.
void scheduler::keep_room(round& now, const candidate& next, const placement_request& request)
{
    if (this->holds_reservation(now, next)) {
        return;
    }
    std::vector<victim> expected = this->victims(now, std::nullopt);
    std::sort(expected.begin(), expected.end(),
              [](const victim& left, const victim& right) { return left.left_ms < right.left_ms; });
    const std::optional<eviction_plan> plan = plan_eviction(now, request, expected);
    if (plan.has_value()) {
        this->make_reservation(now, next, *plan);
    }
}

/// Evicts others for an urgent step, unless room is being freed for it already.
waiting_step scheduler::free_room(round& now, const candidate& next,
                                  const placement_request& request)
{
    if (this->holds_reservation(now, next)) {
        return {next.id(), wait_reason::room_is_freed};
    }
    this->drop_reservation(now, next.id());
    return this->reserve_by_eviction(now, next, request);
}

std::vector<scheduler::victim> scheduler::victims(const round& now,
                                                  std::optional<std::uint32_t> above) const
{
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>, victim> units;
    for (std::size_t each = 0; each < now.ids.size(); ++each) {
        for (const run_id& run : this->state.runs_on(now.ids[each])) {
            const job_record* const job = this->state.find(run.task.job);
            const step_definition& step = job->definition.steps[run.task.step];
            if (step.long_running) {
                continue;
            }
            const bool leaving = this->evicting.contains(run) || job->ended();
            const double left = leaving ? 0.0 : this->expected_left_ms(now, run);
            const bool ends_soon = leaving || this->is_about_to_end(now, run);
            const std::uint32_t index = step.gang ? 0 : run.task.index;
            victim& unit = units[{run.task.job, run.task.occurrence, run.task.step, index}];
            unit.runs.push_back(run);
            unit.places.push_back(each);
            unit.per_task = step.per_task;
            const auto known = this->runs.find(run);
            const double seconds =
                known == this->runs.end()
                    ? 0.0
                    : std::chrono::duration<double>(now.now - known->second.since).count();
            unit.cost +=
                leaving ? 0.0
                        : weight_of(step.per_task) * (step.resumable ? resume_cost_s : seconds);
            unit.left_ms = std::max(unit.left_ms, left);
            unit.ends_soon = ends_soon && (unit.runs.size() == 1 || unit.ends_soon);
        }
    }
    std::vector<victim> found;
    for (auto& [key, unit] : units) {
        const job_record& job = *this->state.find(unit.runs.front().task.job);
        if (above.has_value() && job.priority <= *above && !unit.ends_soon) {
            continue;
        }
        if (unit.ends_soon) {
            unit.cost = 0.0;
        }
        found.push_back(std::move(unit));
    }
    std::sort(found.begin(), found.end(), [](const victim& left, const victim& right) {
        const auto per_accelerator = [](const victim& of) {
            const double freed = static_cast<double>(of.runs.size()) * weight_of(of.per_task);
            return of.cost / std::max(freed, 0.001);
        };
        return per_accelerator(left) < per_accelerator(right);
    });
    return found;
}

/// An estimate alone is no reason to wait for a run, nor is one that should have ended already.
bool scheduler::is_about_to_end(const round& now, const run_id& run) const
{
    const std::optional<double> left = this->measured_left_ms(now, run);
    return left.has_value() &&
           std::abs(*left) <= static_cast<double>(this->options.natural_end.count());
}

/// The cheapest set of victims that makes room, as a set of positions in `possible`; empty when
/// there is none.
std::optional<scheduler::eviction_plan>
scheduler::plan_eviction(const round& now, const placement_request& request,
                         const std::vector<victim>& possible)
{
    std::vector<worker_room> rooms = now.rooms;
    const auto free = [&rooms](const victim& unit, int sign) {
        for (const std::size_t place : unit.places) {
            if (sign > 0) {
                rooms[place].room += unit.per_task;
            }
            else {
                rooms[place].room -= unit.per_task;
            }
        }
    };
    eviction_plan plan;
    for (std::size_t each = 0; each < possible.size(); ++each) {
        free(possible[each], 1);
        plan.victims.push_back(each);
        plan.places = find_places(request, rooms);
        if (plan.places.size() == request.tasks) {
            break;
        }
    }
    if (plan.places.size() < request.tasks) {
        return std::nullopt;
    }
    // Spares those that turn out not to be needed, the dearest first.
    for (std::size_t kept = plan.victims.size(); kept > 0; --kept) {
        const victim& unit = possible[plan.victims[kept - 1]];
        free(unit, -1);
        std::vector<std::size_t> places = find_places(request, rooms);
        if (places.size() == request.tasks) {
            plan.places = std::move(places);
            plan.victims.erase(plan.victims.begin() + static_cast<std::ptrdiff_t>(kept - 1));
        }
        else {
            free(unit, 1);
        }
    }
    for (const std::size_t each : plan.victims) {
        plan.cost += possible[each].cost;
    }
    return plan;
}

waiting_step scheduler::reserve_by_eviction(round& now, const candidate& next,
                                            const placement_request& request)
{
    const std::vector<victim> possible = this->victims(now, 0);
    std::optional<eviction_plan> best;
    std::set<std::string> racks;
    if (request.step->same_rack && !request.any_rack) {
        for (const worker_room& each : now.rooms) {
            racks.insert(each.rack);
        }
    }
    else {
        racks.insert("");
    }
    for (const std::string& rack : racks) {
        std::vector<victim> in_rack;
        for (const victim& unit : possible) {
            const bool touches = std::any_of(
                unit.places.begin(), unit.places.end(), [&now, &rack](std::size_t place) {
                    return rack.empty() || now.rooms[place].rack == rack;
                });
            if (touches) {
                in_rack.push_back(unit);
            }
        }
        std::optional<eviction_plan> plan = plan_eviction(now, request, in_rack);
        if (plan.has_value() && (!best.has_value() || plan->cost < best->cost)) {
            best = std::move(plan);
            best->units.clear();
            for (const std::size_t each : best->victims) {
                best->units.push_back(in_rack[each]);
            }
        }
    }
    const resources& each = request.step->per_task;
    constexpr double ms_per_s = 1000.0;
    const double own_work = weight_of(each) * static_cast<double>(request.tasks) *
                            this->predicted_ms(*next.job, *request.step) / ms_per_s;
    if (!best.has_value()) {
        return {next.id(), wait_reason::no_room};
    }
    const double limit = own_work * this->options.urgent_eviction_share;
    if (next.rank != urgency::guaranteed && best->cost > limit) {
        return {next.id(), wait_reason::eviction_too_dear, 0, false, best->cost, limit};
    }
    this->make_reservation(now, next, *best);
    for (const victim& unit : best->units) {
        if (unit.ends_soon) {
            continue;
        }
        for (const run_id& run : unit.runs) {
            if (this->evicting.emplace(run, *next.job_id).second) {
                now.result.evictions.push_back({run, *next.job_id});
            }
        }
    }
    return {next.id(), wait_reason::room_is_freed, 0, false, best->cost, limit};
}

std::string_view wait_reason_name(wait_reason reason)
{
    switch (reason) {
    case wait_reason::no_room:
        return "no_room";
    case wait_reason::eviction_too_dear:
        return "eviction_too_dear";
    case wait_reason::room_is_freed:
        return "room_is_freed";
    }
    return "unknown";
}

} // namespace redwingwheel::jobs
