#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// Decisions on assigned runs: which are stopped, when they are expected to end, and which workers
/// become suspect.
namespace redwingwheel::jobs {

namespace {

/// A stall of a run whose worker alone can be at fault counts like this many failures.
constexpr std::uint32_t certain_stall_weight = 2;
constexpr double whole_percent = 100.0;

} // namespace

void scheduler::stop_stalled(scheduling_round& round)
{
    constexpr std::uint32_t finished_percent = 100;
    for (const auto& [run, progress] : this->runs) {
        if (!progress.listed || progress.percent >= finished_percent ||
            this->evicting.contains(run) ||
            progress.last_listed < progress.last_progress + this->options.stall_timeout) {
            continue;
        }
        const job_record* const job = this->state.find(run.task.job);
        if (job == nullptr || job->definition.steps[run.task.step].long_running ||
            round.now > this->workers[this->state.find(run.task)->worker].permit_until ||
            progress.last_listed <
                progress.last_progress +
                    this->stall_timeout(run, this->state.find(run.task)->worker.host)) {
            continue;
        }
        this->count_stall_as_failure(round, run);
        this->evict(round, run, "no progress");
    }
}

/// Counts the stall of a run as a failure of its worker. All members of a gang stall together,
/// whichever worker is faulty. A worker on which another job has progressed since is healthy; if
/// that leaves a single worker, this one is faulty and becomes suspect at once.
void scheduler::count_stall_as_failure(const scheduling_round& round, const run_id& run)
{
    const std::vector<run_id> members = this->runs_stopped_together(run);
    std::vector<worker_incarnation> possibly_faulty;
    for (const run_id& member : members) {
        const worker_incarnation& worker = this->state.find(member.task)->worker;
        this->failed_on[member.task].insert(worker.id);
        if (!this->has_progressed_since(worker, run)) {
            possibly_faulty.push_back(worker);
        }
    }
    for (const worker_incarnation& each : possibly_faulty) {
        this->workers[each].trust.record_failure(
            this->runs.at(run).started_at, round.now, this->options.suspect_duration,
            possibly_faulty.size() == 1 ? certain_stall_weight : 1);
    }
}

bool scheduler::has_progressed_since(const worker_incarnation& worker, const run_id& stalled) const
{
    const steady_time since = this->runs.at(stalled).last_progress;
    const std::set<run_id>& on_worker = this->state.runs_on(worker);
    return std::any_of(on_worker.begin(), on_worker.end(),
                       [this, since, &stalled](const run_id& each) {
                           const auto known = this->runs.find(each);
                           return each.task.job != stalled.task.job && known != this->runs.end() &&
                                  known->second.listed && known->second.last_progress > since;
                       });
}

/// Delays the restart of a long-running task whose runs end at once. Ends that the system has
/// caused do not count.
void scheduler::pace_restart(const ended_run& end)
{
    const job_record* const job = this->state.find(end.run.task.job);
    const auto known = this->runs.find(end.run);
    const bool by_itself = end.outcome == run_outcome::done || end.outcome == run_outcome::failed;
    if (job == nullptr || known == this->runs.end() || !by_itself ||
        !job->definition.steps[end.run.task.step].long_running) {
        return;
    }
    const steady_time now = this->clock();
    restart_pace& pace = this->restart_paces[end.run.task];
    if (now >= known->second.started_at + this->options.short_run) {
        pace = restart_pace();
        return;
    }
    ++pace.short_runs;
    if (pace.short_runs < 2) {
        return;
    }
    milliseconds delay = this->options.restart_delay;
    for (std::uint32_t each = 2; each < pace.short_runs && delay < this->options.max_restart_delay;
         ++each) {
        delay *= 2;
    }
    pace.not_before = now + std::min(delay, this->options.max_restart_delay);
}

bool scheduler::is_paced(const task_id& task, steady_time now) const
{
    const auto found = this->restart_paces.find(task);
    return found != this->restart_paces.end() && now < found->second.not_before;
}

/// Returns the run, or all assigned runs of its gang.
std::vector<run_id> scheduler::runs_stopped_together(const run_id& run) const
{
    const job_record& job = *this->state.find(run.task.job);
    const step_record& record = job.open_occurrences.at(run.task.occurrence).steps[run.task.step];
    const auto is_assigned = [&run](const task_record& task) {
        return task.phase == task_phase::assigned && task.last_run == run.number;
    };
    std::vector<run_id> found;
    if (!job.definition.steps[run.task.step].gang) {
        if (is_assigned(record.tasks[run.task.index])) {
            found.push_back(run);
        }
        return found;
    }
    for (const auto& [index, task] : record.tasks.started()) {
        if (is_assigned(task)) {
            found.push_back(run);
            found.back().task.index = index;
        }
    }
    return found;
}

/// Stops a run. The members of a gang are stopped together, since a member that ends because
/// another one has ended saves no checkpoint and would resume from an older, periodic one.
void scheduler::evict(scheduling_round& round, const run_id& run, const std::string& reason)
{
    for (const run_id& each : this->runs_stopped_together(run)) {
        if (this->evicting.emplace(each, reason).second) {
            round.result.evictions.push_back({each, reason});
        }
    }
}

/// Stops the remaining members of gangs that have lost a member: they cannot make progress and only
/// occupy resources.
void scheduler::stop_incomplete_gangs(scheduling_round& round)
{
    for (const auto& [worker, on_worker] : this->state.assigned_runs()) {
        for (const run_id& run : on_worker) {
            const job_record& job = *this->state.find(run.task.job);
            const step_record& step =
                job.open_occurrences.at(run.task.occurrence).steps[run.task.step];
            const bool broken = job.definition.steps[run.task.step].gang &&
                                step.assigned < step.tasks.size() - step.done;
            if (broken && this->evicting.emplace(run, "gang is not whole").second) {
                round.result.evictions.push_back({run, "gang is not whole"});
            }
        }
    }
}

/// Stops runs that a draining worker will not finish, while there is still time for a checkpoint.
void scheduler::move_runs_off_draining_workers(scheduling_round& round)
{
    for (const auto& [worker, known] : this->workers) {
        if (!known.description.draining || known.ended) {
            continue;
        }
        for (const run_id& run : this->state.runs_on(worker)) {
            const step_definition& step =
                this->state.find(run.task.job)->definition.steps[run.task.step];
            if (!this->runs.contains(run) || step.long_running) {
                continue;
            }
            const double remaining_ms = this->expected_remaining_ms(round, run);
            const double available_ms = static_cast<double>(known.description.remaining_ms +
                                                            this->options.drain_tolerance.count());
            if (remaining_ms > available_ms) {
                this->evict(round, run, "worker drains");
            }
        }
    }
}

duration_prediction scheduler::predicted(const job_record& job, const step_definition& step) const
{
    return this->state.durations().predict(kind_of(step, job.queue, job.account));
}

double scheduler::predicted_ms(const job_record& job, const step_definition& step) const
{
    return this->predicted(job, step).median_ms;
}

milliseconds scheduler::stall_timeout(const run_id& run, const std::string& host) const
{
    /// A run is reported in whole percent, and a run that takes this many times longer than
    /// expected is not stopped for it.
    constexpr double tolerated_percents = 5.0;
    const job_record& job = *this->state.find(run.task.job);
    const double expected_ms = this->predicted_ms(job, job.definition.steps[run.task.step]) *
                               this->state.durations().slowdown(host);
    constexpr double max_timeout_ms = 60'000.0;
    const milliseconds scaled(static_cast<std::int64_t>(
        std::min(max_timeout_ms, expected_ms * tolerated_percents / whole_percent)));
    return std::max(this->options.stall_timeout, scaled);
}

std::int64_t scheduler::critical_path_ms(const job_record& job) const
{
    const std::vector<step_definition>& steps = job.definition.steps;
    std::vector<double> end(steps.size(), 0.0);
    for (std::size_t step = 0; step < steps.size(); ++step) {
        double begin = 0.0;
        for (const std::uint32_t earlier : steps[step].depends_on) {
            begin = std::max(begin, end[earlier]);
        }
        end[step] = begin + this->predicted_ms(job, steps[step]);
    }
    return static_cast<std::int64_t>(*std::max_element(end.begin(), end.end()));
}

std::optional<double> scheduler::measured_remaining_ms(const scheduling_round& round,
                                                       const run_id& run) const
{
    /// Less progress than this gives no reliable estimate.
    constexpr std::uint32_t min_percent = 4;
    const auto found = this->runs.find(run);
    if (found == this->runs.end() || !found->second.listed ||
        found->second.percent < found->second.first_percent + min_percent) {
        return std::nullopt;
    }
    const tracked_run& known = found->second;
    const double remaining_percent = whole_percent - known.percent;
    const std::chrono::duration<double, std::milli> took = known.last_progress - known.first_listed;
    const std::chrono::duration<double, std::milli> since = round.now - known.last_progress;
    return remaining_percent * took.count() / (known.percent - known.first_percent) - since.count();
}

double scheduler::expected_remaining_ms(const scheduling_round& round, const run_id& run) const
{
    const std::optional<double> measured = this->measured_remaining_ms(round, run);
    if (measured.has_value()) {
        return std::max(0.0, *measured);
    }
    const job_record& job = *this->state.find(run.task.job);
    const double predicted =
        this->predicted_ms(job, job.definition.steps[run.task.step]) *
        this->state.durations().slowdown(this->state.find(run.task)->worker.host);
    const auto found = this->runs.find(run);
    const double remaining_percent =
        found == this->runs.end() ? whole_percent : whole_percent - found->second.percent;
    return predicted * remaining_percent / whole_percent;
}

} // namespace redwingwheel::jobs
