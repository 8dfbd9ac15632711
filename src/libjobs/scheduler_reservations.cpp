#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// Reservations of resources for a step until other runs have been stopped or have ended.
namespace redwingwheel::jobs {

bool scheduler::has_reservation(const scheduling_round& round, const pending_step& pending) const
{
    const auto held = this->reservations.find(pending.id());
    return held != this->reservations.end() &&
           round.now < held->second.made_at + this->options.reservation_lifetime;
}

void scheduler::make_reservation(scheduling_round& round, const pending_step& pending,
                                 const eviction_plan& plan, steady_time usable_at)
{
    this->drop_reservation(round, pending.id());
    reservation made;
    made.made_at = round.now;
    made.per_task = counted_resources(pending.definition());
    made.urgency_class = pending.urgency_class;
    made.usable_at = usable_at;
    for (const std::size_t place : plan.worker_indices) {
        made.workers.push_back(round.ids[place]);
    }
    round.active_reservations.push_back(
        {pending.id(), made.urgency_class, made.per_task, plan.worker_indices, made.usable_at});
    this->reservations[pending.id()] = std::move(made);
}

void scheduler::drop_reservation(scheduling_round& round, const task_id& owner)
{
    this->reservations.erase(owner);
    std::erase_if(round.active_reservations,
                  [&owner](const active_reservation& each) { return each.owner == owner; });
}

void scheduler::collect_active_reservations(scheduling_round& round) const
{
    std::map<worker_incarnation, std::size_t> positions;
    for (std::size_t each = 0; each < round.ids.size(); ++each) {
        positions[round.ids[each]] = each;
    }
    for (const auto& [owner, made] : this->reservations) {
        const job_record* const job = this->state.find(owner.job);
        if (round.now >= made.made_at + this->options.reservation_lifetime || job == nullptr ||
            job->ended()) {
            continue;
        }
        active_reservation held{owner, made.urgency_class, made.per_task, {}, made.usable_at};
        for (const worker_incarnation& worker : made.workers) {
            const auto found = positions.find(worker);
            if (found != positions.end()) {
                held.worker_indices.push_back(found->second);
            }
        }
        round.active_reservations.push_back(std::move(held));
    }
}

void scheduler::subtract_reservations(scheduling_round& round, const pending_step& pending) const
{
    this->for_each_competing_reservation(
        round, pending, [](worker_availability& worker, const resources& per_task) {
            worker.available -= per_task;
            worker.reserved += per_task;
        });
}

void scheduler::restore_reservations(scheduling_round& round, const pending_step& pending) const
{
    this->for_each_competing_reservation(
        round, pending, [](worker_availability& worker, const resources& per_task) {
            worker.available += per_task;
            worker.reserved -= per_task;
        });
}

void scheduler::for_each_competing_reservation(
    scheduling_round& round, const pending_step& pending,
    const std::function<void(worker_availability&, const resources&)>& change) const
{
    if (round.active_reservations.empty()) {
        return;
    }
    const steady_time end = this->expected_end(round, pending);
    for (const active_reservation& held : round.active_reservations) {
        if (held.owner != pending.id() && held.urgency_class <= pending.urgency_class &&
            end > held.usable_at) {
            for (const std::size_t place : held.worker_indices) {
                change(round.availability[place], held.per_task);
            }
        }
    }
}

/// Errs on the late side. Long-running tasks never end, and tasks of unknown duration are taken to
/// run for long.
steady_time scheduler::expected_end(const scheduling_round& round,
                                    const pending_step& pending) const
{
    /// A gang that is held up costs more than a task that waits, so that reserved resources go to a
    /// task only if it would be done in half of the time until they are needed.
    constexpr double safety_factor = 2.0;
    const step_definition& step = pending.definition();
    const double upper_ms = safety_factor * this->predicted(*pending.job, step).upper_ms;
    if (step.long_running || (step.estimate_ms <= 0 && upper_ms <= safety_factor)) {
        return steady_time::max();
    }
    return round.now + milliseconds(static_cast<std::int64_t>(
                           std::min(upper_ms, static_cast<double>(max_time_span.count()))));
}

} // namespace redwingwheel::jobs
