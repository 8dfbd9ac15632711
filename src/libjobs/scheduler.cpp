#include "redwingwheel/scheduler.h"

#include <tuple>

#include "scheduler_round.h"

namespace redwingwheel::jobs {

namespace {

/// After a refused start a worker gets no runs for this long, so that it can report its resources
/// again first.
constexpr milliseconds exclusion_after_refusal{300};
constexpr std::uint32_t finished_percent = 100;
/// Suspect workers are excluded only while at most one in this many workers is suspect.
constexpr std::size_t workers_per_suspect = 3;
/// Ages and objectives beyond this do not influence decisions; keeps sums of times in range.
constexpr milliseconds max_time_span = std::chrono::hours(24 * 365);
/// The result of a job has no value when the job takes longer than this multiple of its objective.
constexpr std::int64_t no_value_after_objectives = 3;

std::int64_t peak_accelerators(const job_definition& definition)
{
    std::int64_t widest = 0;
    for (const step_definition& step : definition.steps) {
        widest = std::max(widest, step.per_task.accelerators * step.tasks);
    }
    return widest;
}

} // namespace

scheduler::scheduler(const scheduler_options& chosen, clock_function now, const job_state& of)
    : options(chosen), clock(std::move(now)), state(of), leading_since(this->clock())
{
}

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
    this->leading_since = this->clock();
}

void scheduler::record_report(const worker_description& worker,
                              const std::vector<run_progress>& running)
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
    known.permit_until = now + this->options.permit_lifetime;
    known.poll_answered_at.reset();
    known.listed.clear();
    for (const run_progress& each : running) {
        known.listed.insert(each.run);
        tracked_run& run = this->runs[each.run];
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

void scheduler::record_worker_end(const worker_incarnation& worker)
{
    this->workers[worker].ended = true;
}

bool scheduler::has_ended(const worker_incarnation& worker) const
{
    const auto known = this->workers.find(worker);
    return known != this->workers.end() && known->second.ended;
}

milliseconds scheduler::time_since_permit(const worker_incarnation& worker) const
{
    const auto known = this->workers.find(worker);
    const steady_time permit_until =
        std::max(this->leading_since + this->options.permit_lifetime,
                 known == this->workers.end() ? steady_time() : known->second.permit_until);
    return std::chrono::duration_cast<milliseconds>(this->clock() - permit_until);
}

void scheduler::record_run_end(const worker_incarnation& worker, const ended_run& end)
{
    tracked_worker& known = this->workers[worker];
    known.listed.erase(end.run);
    this->pace_restart(end);
    if (end.outcome == run_outcome::done) {
        known.consecutive_failures = 0;
        known.suspect_until = steady_time();
        this->record_duration(end.run);
    }
    if (end.outcome != run_outcome::failed) {
        return;
    }
    this->failed_on[end.run.task].insert(worker.id);
    ++known.consecutive_failures;
    this->update_suspicion(this->clock(), known);
}

/// Ignores all but the first run of a task: a resumed run takes less time than the whole task.
void scheduler::record_duration(const run_id& run)
{
    const job_record* const job = this->state.find(run.task.job);
    const auto known = this->runs.find(run);
    if (job == nullptr || known == this->runs.end() || run.number != 1 ||
        job->definition.steps[run.task.step].long_running) {
        return;
    }
    const std::chrono::duration<double, std::milli> took = this->clock() - known->second.started_at;
    this->durations[job->queue].add(job->definition.steps[run.task.step].estimate_ms, took.count());
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
    const auto key = [](const pending_step& each) {
        return std::make_tuple(each.urgency_class, each.lateness, each.job->priority,
                               each.objective);
    };
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&key](const pending_step& left, const pending_step& right) {
                         return key(left) < key(right);
                     });
    for (const pending_step& each : waiting) {
        this->place(round, each);
    }
    return std::move(round.result);
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
    std::erase_if(this->failed_on,
                  [this](const auto& each) { return this->state.find(each.first) == nullptr; });
    std::erase_if(this->restart_paces,
                  [this](const auto& each) { return this->state.find(each.first) == nullptr; });
    std::erase_if(this->reservations,
                  [this](const auto& each) { return this->state.find(each.first) == nullptr; });
    std::erase_if(this->progressed_runs,
                  [this](const auto& each) { return this->state.find(each.first) == nullptr; });
    const steady_time now = this->clock();
    std::erase_if(this->workers, [this, now](const auto& each) {
        return (each.second.ended || each.second.permit_until + std::chrono::seconds(60) < now) &&
               this->state.runs_on(each.first).empty();
    });
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
        worker.suspect = known.suspect_until > round.now;
        suspects += worker.suspect ? 1 : 0;
        round.ids.push_back(incarnation);
        round.availability.push_back(worker);
        round.jobs.push_back(this->jobs_on(round, incarnation));
    }
    round.exclude_suspects = suspects * workers_per_suspect <= round.availability.size();
}

std::set<std::string> scheduler::guaranteed_jobs() const
{
    std::map<std::string, std::vector<std::pair<std::int64_t, const std::string*>>> by_account;
    for (const auto& [id, job] : this->state.jobs()) {
        if (!job.ended() && job.priority == 0) {
            by_account[job.account].emplace_back(job.submitted_unix_ms, &id);
        }
    }
    std::set<std::string> guaranteed;
    for (const account_definition& account : this->state.configuration().accounts) {
        std::vector<std::pair<std::int64_t, const std::string*>>& own = by_account[account.name];
        std::sort(own.begin(), own.end(), [](const auto& left, const auto& right) {
            return std::tie(left.first, *left.second) < std::tie(right.first, *right.second);
        });
        std::int64_t needed = 0;
        for (const auto& [submitted, id] : own) {
            needed += peak_accelerators(this->state.find(*id)->definition);
            if (needed > account.guaranteed_accelerators) {
                break;
            }
            guaranteed.insert(*id);
        }
    }
    return guaranteed;
}

std::vector<scheduler::pending_step> scheduler::pending_steps(const scheduling_round& round) const
{
    std::vector<pending_step> found;
    for (const auto& [id, job] : this->state.jobs()) {
        if (job.ended()) {
            continue;
        }
        const milliseconds critical_path =
            std::min(milliseconds(this->critical_path_ms(job)), max_time_span);
        const double objective_ms = job.stretch * static_cast<double>(critical_path.count()) +
                                    static_cast<double>(job.latency_target_ms);
        const milliseconds allowed(static_cast<std::int64_t>(
            std::clamp(objective_ms, 0.0, static_cast<double>(max_time_span.count()))));
        for (const auto& [number, occurrence] : job.open_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_record& record = occurrence.steps[step];
                const step_definition& definition = job.definition.steps[step];
                const bool gang_is_running = definition.gang && record.assigned > 0;
                if (record.done + record.assigned == record.tasks.size() || gang_is_running ||
                    !is_ready(job.definition, occurrence, step)) {
                    continue;
                }
                pending_step pending;
                pending.job_id = &id;
                pending.job = &job;
                pending.occurrence = number;
                pending.step = step;
                bool has_paced_task = false;
                for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
                    if (record.tasks[index].phase != task_phase::waiting) {
                        continue;
                    }
                    if (this->is_paced({id, number, step, index}, round.now)) {
                        has_paced_task = true;
                        continue;
                    }
                    pending.waiting_tasks.push_back(index);
                }
                if (pending.waiting_tasks.empty() || (definition.gang && has_paced_task)) {
                    continue;
                }
                pending.due = this->due_times.at({id, number});
                pending.objective = pending.due + allowed;
                const steady_time expected_end = round.now + critical_path;
                const steady_time worthless = pending.due + no_value_after_objectives * allowed;
                pending.lateness = expected_end <= pending.objective ? 0
                                   : expected_end < worthless        ? 1
                                                                     : 2;
                if (job.priority == 0) {
                    pending.urgency_class =
                        round.guaranteed.contains(id) ? urgency::guaranteed : urgency::urgent;
                }
                this->add_pending(found, std::move(pending), record);
            }
        }
    }
    return found;
}

bool scheduler::is_silent(const scheduling_round& round, const tracked_worker& worker) const
{
    return worker.poll_answered_at.has_value() &&
           round.now > *worker.poll_answered_at + this->options.silence_timeout;
}

void scheduler::update_eligibility(scheduling_round& round, const pending_step& pending) const
{
    const step_definition& step = pending.definition();
    std::set<std::string> failed;
    for (const std::uint32_t index : pending.waiting_tasks) {
        task_id id = pending.id();
        id.index = index;
        const auto found = this->failed_on.find(id);
        if (found != this->failed_on.end()) {
            failed.insert(found->second.begin(), found->second.end());
        }
    }
    const std::set<std::string> hosts_crashed = this->crashed_hosts(pending);
    const step_record& record =
        pending.job->open_occurrences.at(pending.occurrence).steps[pending.step];
    for (std::size_t each = 0; each < round.availability.size(); ++each) {
        const tracked_worker& known = this->workers.at(round.ids[each]);
        const worker_description& worker = known.description;
        worker_availability& entry = round.availability[each];
        const bool has_label =
            step.required_label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                                     step.required_label) != worker.labels.end();
        const bool is_suspect = known.suspect_until > round.now;
        entry.eligible = worker.service == pending.job->service && has_label && !worker.draining &&
                         worker.reachable && !this->is_silent(round, known) &&
                         known.excluded_until <= round.now &&
                         !this->state.evacuated().contains(worker.data_centre) &&
                         !(is_suspect && round.exclude_suspects);
        entry.suspect = is_suspect || failed.contains(round.ids[each].id) ||
                        hosts_crashed.contains(round.ids[each].host);
        entry.tasks_of_step = static_cast<std::uint32_t>(
            std::count_if(record.tasks.begin(), record.tasks.end(),
                          [&id = round.ids[each]](const task_record& task) {
                              return task.phase == task_phase::assigned && task.worker == id;
                          }));
    }
}

void scheduler::assign(scheduling_round& round, const pending_step& pending,
                       const std::vector<std::size_t>& worker_indices)
{
    const step_definition& step = pending.definition();
    const step_record& record =
        pending.job->open_occurrences.at(pending.occurrence).steps[pending.step];
    std::uint32_t gang_run = 0;
    for (const task_record& task : record.tasks) {
        gang_run = std::max(gang_run, task.last_run);
    }
    assign_runs command;
    command.now_unix_ms = round.now_unix_ms;
    for (std::size_t each = 0; each < worker_indices.size(); ++each) {
        task_id id = pending.id();
        id.index = pending.waiting_tasks[each];
        const std::uint32_t number = (step.gang ? gang_run : record.tasks[id.index].last_run) + 1;
        command.runs.push_back({{id, number}, round.ids[worker_indices[each]]});
        this->runs[{id, number}].started_at = round.now;
        this->runs[{id, number}].last_progress = round.now;
        round.availability[worker_indices[each]].available -= counted_resources(step);
        worker_jobs& jobs = round.jobs[worker_indices[each]];
        jobs.jobs.insert(id.job);
        if (pending.crash_suspect) {
            jobs.isolated_for = id.job;
        }
    }
    round.result.assignments.push_back(std::move(command));
}

} // namespace redwingwheel::jobs
