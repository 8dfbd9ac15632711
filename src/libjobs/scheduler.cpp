#include "redwingwheel/scheduler.h"

#include <numeric>
#include <tuple>

#include "scheduler_round.h"
#include "urgent_headroom.h"

namespace redwingwheel::jobs {

namespace {

/// After a refused start a worker gets no runs for this long, so that it can report its resources
/// again first.
constexpr milliseconds exclusion_after_refusal{300};
constexpr std::uint32_t finished_percent = 100;
/// A run that has progressed this far shows that its worker carries out work.
constexpr std::uint32_t trusted_percent = 10;
/// Suspect workers are excluded only while at most one in this many workers is suspect.
constexpr std::size_t workers_per_suspect = 3;

} // namespace

scheduler::scheduler(const scheduler_options& chosen, clock_function now, const job_state& of)
    : options(chosen), clock(std::move(now)), state(of), leading_since(this->clock()),
      headroom(
          std::make_unique<urgent_headroom>(headroom_options{.max_share = chosen.urgent_headroom}))
{
}

scheduler::~scheduler() = default;

void scheduler::begin_leadership()
{
    this->workers.clear();
    this->runs.clear();
    this->evicting.clear();
    this->releasing.clear();
    this->failed_on.clear();
    this->restart_paces.clear();
    this->reservations.clear();
    this->waiting_since.clear();
    this->due_times.clear();
    this->progressed_runs.clear();
    this->isolation_since.clear();
    this->critical_paths.clear();
    this->headroom->reset();
    this->leading_since = this->clock();
}

void scheduler::record_report(const worker_description& worker,
                              const std::vector<run_progress>& running, worker_contact contact)
{
    const steady_time now = this->clock();
    for (auto& [incarnation, other] : this->workers) {
        other.ended |= incarnation.shares_host_with(worker.incarnation);
    }
    for (const auto& [incarnation, assigned] : this->state.assigned_runs()) {
        if (incarnation.shares_host_with(worker.incarnation)) {
            this->workers[incarnation].ended = true;
        }
    }
    tracked_worker& known = this->workers[worker.incarnation];
    this->record_capacity(known, worker);
    known.description = worker;
    known.contact = contact;
    if (contact != worker_contact::lease_expired) {
        known.permit_until = now + this->options.permit_lifetime;
    }
    known.poll_answered_at.reset();
    known.listed.clear();
    for (const run_progress& each : running) {
        known.listed.insert(each.run);
        tracked_run& run = this->runs[each.run];
        if (contact != worker_contact::answers && run.listed) {
            continue;
        }
        if (!run.listed || run.percent != each.percent) {
            run.last_progress = now;
        }
        if (!run.listed && run.started_at == steady_time()) {
            run.started_at = now;
        }
        if (!run.listed) {
            run.first_listed = now;
            run.first_percent = each.percent;
        }
        // A resumed run does not begin at 0. Long-running tasks are at 100 percent as soon as they
        // are at work.
        const task_record* const task = this->state.find(each.run.task);
        const bool resumed = task != nullptr && !task->checkpoint.empty();
        if (each.percent > (resumed ? run.first_percent : 0) || each.percent == finished_percent) {
            std::uint32_t& progressed = this->progressed_runs[each.run.task];
            progressed = std::max(progressed, each.run.number);
        }
        if (each.percent >= run.first_percent + trusted_percent) {
            known.trust.record_progress(run.started_at);
        }
        run.listed = true;
        run.last_listed = now;
        run.percent = each.percent;
        if (!each.checkpoint.empty()) {
            run.checkpoint = each.checkpoint;
        }
    }
}

void scheduler::record_permit(const worker_incarnation& worker)
{
    tracked_worker& known = this->workers[worker];
    known.permit_until = this->clock() + this->options.permit_lifetime;
    known.poll_answered_at = this->clock();
}

void scheduler::record_run_end(const worker_incarnation& worker, const ended_run& end)
{
    tracked_worker& known = this->workers[worker];
    known.listed.erase(end.run);
    this->pace_restart(end);
    if (end.outcome == run_outcome::done) {
        known.trust.record_success();
    }
    if (end.outcome != run_outcome::failed) {
        return;
    }
    this->failed_on[end.run.task].insert(worker.id);
    const steady_time now = this->clock();
    const auto run = this->runs.find(end.run);
    known.trust.record_failure(run == this->runs.end() ? now : run->second.started_at, now,
                               this->options.suspect_duration);
}

std::int64_t scheduler::run_time_ms(const run_id& run) const
{
    const auto known = this->runs.find(run);
    if (known == this->runs.end() || !known->second.assigned_here) {
        return 0;
    }
    return std::chrono::duration_cast<milliseconds>(this->clock() - known->second.started_at)
        .count();
}

void scheduler::record_refused_start(const worker_incarnation& worker, const run_id& run)
{
    this->releasing.insert(run);
    this->workers[worker].excluded_until = this->clock() + exclusion_after_refusal;
}

bool scheduler::should_run(const run_id& run) const
{
    const task_record* const task = this->state.find(run.task);
    const job_record* const job = this->state.find(run.task.job);
    return task != nullptr && task->phase == task_phase::assigned && task->last_run == run.number &&
           !job->ended() && !this->evicting.contains(run) && !this->releasing.contains(run);
}

bool scheduler::is_releasing(const run_id& run) const
{
    return this->releasing.contains(run);
}

bool scheduler::is_confirmed(const run_id& run) const
{
    const auto found = this->runs.find(run);
    return found != this->runs.end() && found->second.listed;
}

schedule scheduler::decide(std::int64_t now_unix_ms)
{
    scheduling_round round;
    round.now = this->clock();
    round.now_unix_ms = now_unix_ms;
    ++this->rounds;
    this->remove_ended_entries();
    this->release_runs_of_lost_workers(round);
    for (const auto& [worker, runs_on_worker] : this->state.assigned_runs()) {
        const std::vector<eviction> withdrawn = this->withdraw_excess_starts(worker);
        round.result.evictions.insert(round.result.evictions.end(), withdrawn.begin(),
                                      withdrawn.end());
    }
    this->stop_stalled(round);
    this->stop_incomplete_gangs(round);
    this->move_runs_off_draining_workers(round);
    this->compute_available_resources(round);
    this->collect_active_reservations(round);
    round.guaranteed = this->guaranteed_jobs();
    this->update_due_times(round);
    std::vector<pending_step> waiting = this->pending_steps(round);
    this->update_waiting_since(round, waiting);
    this->update_isolation_since(waiting);
    this->keep_headroom(round, waiting);
    const auto key = [](const pending_step& each) {
        return std::make_tuple(each.urgency_class, each.lateness, each.job->priority,
                               each.objective);
    };
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&key](const pending_step& left, const pending_step& right) {
                         return key(left) < key(right);
                     });
    for (const std::size_t each : this->steps_to_place(waiting.size())) {
        this->place(round, waiting[each]);
    }
    const std::size_t half = this->options.max_eviction_searches / 2;
    this->next_search =
        round.eviction_candidates > 2 * half + this->next_search ? this->next_search + half : 0;
    return std::move(round.result);
}

std::vector<std::size_t> scheduler::steps_to_place(std::size_t waiting)
{
    const std::size_t limit = this->options.max_steps_per_round;
    std::vector<std::size_t> positions(std::min(waiting, limit));
    std::iota(positions.begin(), positions.end(), std::size_t{0});
    if (waiting <= limit) {
        return positions;
    }
    // Steps that fit nowhere must not keep the others from being looked at.
    const std::size_t urgent = limit / 2;
    const std::size_t others = waiting - urgent;
    for (std::size_t each = urgent; each < limit; ++each) {
        positions[each] = urgent + (this->next_turn + each - urgent) % others;
    }
    this->next_turn = (this->next_turn + limit - urgent) % others;
    std::sort(positions.begin() + static_cast<std::ptrdiff_t>(urgent), positions.end());
    return positions;
}

/// Converts the due time of each occurrence to the steady clock when this leader first sees it, so
/// that later steps of the wall clock change neither how long it has waited nor its objective.
void scheduler::update_due_times(const scheduling_round& round)
{
    std::map<occurrence_id, steady_time> due;
    for (const auto& [id, job] : this->state.jobs()) {
        if (job.ended()) {
            continue;
        }
        for (const auto& [number, occurrence] : job.open_occurrences) {
            const auto known = this->due_times.find({id, number});
            const milliseconds age(std::clamp<std::int64_t>(
                round.now_unix_ms - occurrence.due_unix_ms, 0, max_time_span.count()));
            due[{id, number}] = known == this->due_times.end() ? round.now - age : known->second;
        }
    }
    this->due_times = std::move(due);
}

void scheduler::update_waiting_since(const scheduling_round& round,
                                     const std::vector<pending_step>& waiting)
{
    std::map<task_id, steady_time> since;
    for (const pending_step& each : waiting) {
        const auto known = this->waiting_since.find(each.id());
        since[each.id()] = known == this->waiting_since.end() ? round.now : known->second;
    }
    this->waiting_since = std::move(since);
}

void scheduler::remove_ended_entries()
{
    const auto is_over = [this](const run_id& run) {
        const task_record* const task = this->state.find(run.task);
        return task == nullptr || task->phase != task_phase::assigned ||
               task->last_run != run.number;
    };
    std::erase_if(this->runs, [&is_over](const auto& each) { return is_over(each.first); });
    std::erase_if(this->evicting, [&is_over](const auto& each) { return is_over(each.first); });
    std::erase_if(this->releasing, is_over);
    std::erase_if(this->restart_paces,
                  [this](const auto& each) { return this->state.find(each.first) == nullptr; });
    std::erase_if(this->reservations,
                  [this](const auto& each) { return this->state.find(each.first) == nullptr; });
    // Neither matters for a task that is done.
    const auto is_closed = [this](const task_id& id) {
        const task_record* const task = this->state.find(id);
        return task == nullptr || task->phase == task_phase::done;
    };
    std::erase_if(this->failed_on,
                  [&is_closed](const auto& each) { return is_closed(each.first); });
    std::erase_if(this->progressed_runs,
                  [&is_closed](const auto& each) { return is_closed(each.first); });
    std::erase_if(this->critical_paths, [this](const auto& each) {
        const job_record* const job = this->state.find(each.first);
        return job == nullptr || job->ended();
    });
    const steady_time now = this->clock();
    std::erase_if(this->workers, [this, now](const auto& each) {
        return (each.second.ended || each.second.permit_until + std::chrono::seconds(60) < now) &&
               this->state.runs_on(each.first).empty();
    });
}

/// Number of runs on the worker that were assigned since its trial began.
std::size_t scheduler::runs_on_trial(const worker_incarnation& worker,
                                     const worker_trust& trust) const
{
    const std::set<run_id>& on_worker = this->state.runs_on(worker);
    return static_cast<std::size_t>(
        std::count_if(on_worker.begin(), on_worker.end(), [this, &trust](const run_id& each) {
            const auto known = this->runs.find(each);
            return known == this->runs.end() || known->second.started_at >= trust.trial_since();
        }));
}

void scheduler::compute_available_resources(scheduling_round& round) const
{
    std::size_t suspects = 0;
    for (const auto& [incarnation, known] : this->workers) {
        if (known.ended || known.permit_until < round.now) {
            continue;
        }
        const std::optional<resources> occupied = this->occupied_resources(incarnation, known);
        if (!occupied.has_value()) {
            continue;
        }
        worker_availability worker;
        worker.rack = known.description.rack;
        worker.capacity = known.description.capacity;
        worker.available = worker.capacity;
        worker.available -= *occupied;
        worker.suspect = known.trust.is_suspect(round.now);
        worker.pace_class = pace_class_of(this->state.durations().slowdown(incarnation.host));
        const std::size_t running = this->state.runs_on(incarnation).size();
        worker.max_new_tasks =
            static_cast<std::uint32_t>(this->options.max_runs_per_worker -
                                       std::min(running, this->options.max_runs_per_worker));
        if (known.trust.is_on_trial(round.now)) {
            worker.max_new_tasks = this->runs_on_trial(incarnation, known.trust) > 0 ? 0 : 1;
        }
        suspects += worker.suspect ? 1 : 0;
        round.ids.push_back(incarnation);
        round.availability.push_back(worker);
        round.jobs.push_back(this->jobs_on(round, incarnation));
    }
    round.exclude_suspects = suspects * workers_per_suspect <= round.availability.size();
}

void scheduler::assign(scheduling_round& round, const pending_step& pending,
                       const std::vector<std::size_t>& worker_indices)
{
    const step_definition& step = pending.definition();
    const step_record& record =
        pending.job->open_occurrences.at(pending.occurrence).steps[pending.step];
    std::uint32_t gang_run = 0;
    if (step.gang) {
        for (const auto& [index, task] : record.tasks.started()) {
            gang_run = std::max(gang_run, task.last_run);
        }
    }
    assign_runs command;
    command.now_unix_ms = round.now_unix_ms;
    for (std::size_t each = 0; each < worker_indices.size(); ++each) {
        task_id id = pending.id();
        id.index = pending.waiting_tasks[each];
        const std::uint32_t number = (step.gang ? gang_run : record.tasks[id.index].last_run) + 1;
        command.runs.push_back({{id, number}, round.ids[worker_indices[each]]});
        tracked_run& run = this->runs[{id, number}];
        run.started_at = round.now;
        run.assigned_here = true;
        run.last_progress = round.now;
        worker_availability& worker = round.availability[worker_indices[each]];
        worker.available -= counted_resources(step);
        if (step.per_worker_limit > 0) {
            ++round.tasks_of_step.at(pending.id())[worker_indices[each]];
        }
        if (worker.max_new_tasks.value_or(0) > 0) {
            --*worker.max_new_tasks;
        }
        worker_jobs& jobs = round.jobs[worker_indices[each]];
        jobs.jobs.insert(id.job);
        if (pending.crash_suspect) {
            jobs.isolated_for = id.job;
        }
    }
    round.result.assignments.push_back(std::move(command));
}

} // namespace redwingwheel::jobs
