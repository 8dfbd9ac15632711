#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"
#include "urgent_headroom.h"

/// Which ordinary steps leave workers to urgent ones.
namespace redwingwheel::jobs {

bool scheduler::needs_headroom(const job_record& job, const step_definition& step) const
{
    if (job.priority != 0 || step.long_running) {
        return false;
    }
    const double slack_ms = (job.stretch - 1.0) * this->predicted_ms(job, step) +
                            static_cast<double>(job.latency_target_ms);
    return slack_ms < static_cast<double>(this->options.eviction_time.count());
}

void scheduler::keep_headroom(scheduling_round& round, const std::vector<pending_step>& waiting)
{
    if (this->options.urgent_headroom <= 0.0) {
        return;
    }
    std::int64_t waiting_accelerators = 0;
    for (const pending_step& each : waiting) {
        if (this->needs_headroom(*each.job, each.definition())) {
            waiting_accelerators += each.definition().per_task.accelerators *
                                    static_cast<std::int64_t>(each.waiting_tasks.size());
        }
    }
    std::int64_t running_accelerators = 0;
    std::vector<headroom_worker> considered;
    for (std::size_t each = 0; each < round.ids.size(); ++each) {
        const worker_description& described = this->workers.at(round.ids[each]).description;
        const worker_availability& available = round.availability[each];
        headroom_worker worker;
        worker.rack = available.rack;
        worker.usable = described.reachable && !described.draining && !available.suspect &&
                        !this->state.evacuated().contains(described.data_centre);
        worker.accelerators = available.capacity.accelerators;
        worker.pace_class = available.pace_class;
        for (const run_id& run : this->state.runs_on(round.ids[each])) {
            const job_record& job = *this->state.find(run.task.job);
            const step_definition& step = job.definition.steps[run.task.step];
            const bool urgent = this->needs_headroom(job, step);
            (urgent ? worker.urgent_use : worker.ordinary_use) += step.per_task.accelerators;
            running_accelerators += urgent ? step.per_task.accelerators : 0;
        }
        considered.push_back(worker);
    }
    round.headroom =
        this->headroom->choose(considered, waiting_accelerators, running_accelerators, round.now);
    for (const std::size_t each : round.headroom) {
        round.availability[each].in_headroom = true;
    }
    round.result.headroom_workers = round.headroom.size();
    round.result.urgent_demand = this->headroom->expected_demand();
}

/// A step whose data are in a rack of the headroom may use it, since it would take several times
/// as long elsewhere.
void scheduler::apply_headroom(scheduling_round& round, const pending_step& pending,
                               const placement_request& request) const
{
    if (round.headroom.empty() || pending.urgency_class != urgency::ordinary ||
        pending.lateness > 0) {
        return;
    }
    const std::chrono::duration<double, std::milli> left = pending.objective - round.now;
    const std::int64_t needed_ms =
        this->critical_path_ms(*pending.job) + this->options.eviction_time.count();
    if (left.count() < static_cast<double>(needed_ms)) {
        return;
    }
    std::vector<std::size_t> excluded;
    for (const std::size_t each : round.headroom) {
        worker_availability& worker = round.availability[each];
        if (worker.eligible && worker.rack != pending.definition().data_rack) {
            worker.eligible = false;
            excluded.push_back(each);
        }
    }
    if (!fits_when_empty(request, round.availability)) {
        for (const std::size_t each : excluded) {
            round.availability[each].eligible = true;
        }
    }
}

} // namespace redwingwheel::jobs
