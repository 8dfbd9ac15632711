#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// What becomes of runs that are assigned: which are given up, stopped or expected to end, and
/// which workers are blamed.
namespace redwingwheel::jobs {

namespace {

/// A worker is avoided after this many failures of different jobs in a row: one failure is more
/// often the job's fault.
constexpr std::uint32_t failures_before_suspicion = 2;
/// Suspicion doubles with each further failure, up to 2 to this power.
constexpr std::uint32_t max_suspicion_doublings = 3;
constexpr double whole_percent = 100.0;

} // namespace

void scheduler::release_lost(round& now)
{
    for (const auto& [worker, on_worker] : this->state.assigned_runs()) {
        const auto known = this->workers.find(worker);
        steady_time over = this->leading_since + this->options.grant_life;
        if (known != this->workers.end()) {
            over = known->second.ended ? steady_time() : std::max(over, known->second.grant_until);
        }
        const bool ended = known != this->workers.end() && known->second.ended;
        if (!ended && now.now < over + this->options.grant_margin) {
            continue;
        }
        for (const run_id& run : on_worker) {
            const auto progress = this->runs.find(run);
            now.result.releases.push_back(
                {run, progress == this->runs.end() ? "" : progress->second.checkpoint});
        }
    }
}

void scheduler::stop_stalled(round& now)
{
    constexpr std::uint32_t finished_percent = 100;
    for (const auto& [run, progress] : this->runs) {
        if (!progress.listed || progress.percent >= finished_percent ||
            this->evicting.contains(run) ||
            progress.last_listed < progress.last_progress + this->options.stall_limit) {
            continue;
        }
        const job_record* const job = this->state.find(run.task.job);
        if (job == nullptr || job->definition.steps[run.task.step].long_running ||
            now.now > this->workers[this->state.find(run.task)->worker].grant_until) {
            continue;
        }
        this->blame_for_stall(now, run);
        this->evict(now, run, "no progress");
    }
}

/// The members of a gang stand still together, whichever worker is at fault. A worker on which
/// another job has made progress since is sound; one that alone remains is at fault for sure.
void scheduler::blame_for_stall(const round& now, const run_id& run)
{
    const std::vector<run_id> members = this->runs_to_stop_with(run);
    std::vector<worker_incarnation> doubtful;
    for (const run_id& member : members) {
        const worker_incarnation& on = this->state.find(member.task)->worker;
        this->failed_on[member.task].insert(on.id);
        if (!this->has_progressed_since(on, run)) {
            doubtful.push_back(on);
        }
    }
    for (const worker_incarnation& each : doubtful) {
        known_worker& known = this->workers[each];
        ++known.failures_in_row;
        if (doubtful.size() == 1) {
            known.failures_in_row = std::max(known.failures_in_row, failures_before_suspicion + 1);
        }
        this->suspect(now.now, known);
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

/// Leaves a worker out after failures in a row, for longer with each.
void scheduler::suspect(steady_time now, known_worker& worker) const
{
    if (worker.failures_in_row >= failures_before_suspicion) {
        const std::uint32_t doublings =
            std::min(worker.failures_in_row - failures_before_suspicion, max_suspicion_doublings);
        worker.suspect_until = now + this->options.suspicion * (1 << doublings);
    }
}

/// The run, or all assigned members of its gang.
std::vector<run_id> scheduler::runs_to_stop_with(const run_id& run) const
{
    const job_record& job = *this->state.find(run.task.job);
    const std::vector<task_record>& tasks =
        job.open.at(run.task.occurrence).steps[run.task.step].tasks;
    std::vector<run_id> found;
    run_id each = run;
    for (each.task.index = 0; each.task.index < tasks.size(); ++each.task.index) {
        const bool stops =
            each.task.index == run.task.index || job.definition.steps[run.task.step].gang;
        const task_record& task = tasks[each.task.index];
        if (stops && task.phase == task_phase::assigned && task.last_run == run.number) {
            found.push_back(each);
        }
    }
    return found;
}

/// Stops a run. The members of a gang are stopped together: one that only breaks has nothing newer
/// to resume from than its last periodic checkpoint.
void scheduler::evict(round& now, const run_id& run, const std::string& reason)
{
    for (const run_id& each : this->runs_to_stop_with(run)) {
        if (this->evicting.emplace(each, reason).second) {
            now.result.evictions.push_back({each, reason});
        }
    }
}

/// The other members of a gang that lost one cannot work and only hold room.
void scheduler::stop_broken_gangs(round& now)
{
    for (const auto& [worker, on_worker] : this->state.assigned_runs()) {
        for (const run_id& run : on_worker) {
            const job_record& job = *this->state.find(run.task.job);
            const step_record& step = job.open.at(run.task.occurrence).steps[run.task.step];
            const bool broken = job.definition.steps[run.task.step].gang &&
                                step.assigned < step.tasks.size() - step.done;
            if (broken && this->evicting.emplace(run, "gang is not whole").second) {
                now.result.evictions.push_back({run, "gang is not whole"});
            }
        }
    }
}

/// Moves runs that a draining worker would not finish: now, while there is time to checkpoint.
void scheduler::leave_draining(round& now)
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
            const double left = this->expected_left_ms(now, run);
            const double stays = static_cast<double>(known.description.remaining_ms +
                                                     this->options.drain_slack.count());
            if (left > stays) {
                this->evict(now, run, "worker drains");
            }
        }
    }
}

double scheduler::predicted_ms(const job_record& job, const step_definition& step) const
{
    const auto known = this->durations.find(job.queue);
    return known == this->durations.end() ? static_cast<double>(step.estimate_ms)
                                          : known->second.predict_ms(step.estimate_ms);
}

std::int64_t scheduler::longest_chain_ms(const job_record& job) const
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

std::optional<double> scheduler::measured_left_ms(const round& now, const run_id& run) const
{
    /// Less progress than this says little about the pace.
    constexpr std::uint32_t telling_percent = 4;
    const auto found = this->runs.find(run);
    if (found == this->runs.end() || !found->second.listed ||
        found->second.percent < found->second.first_percent + telling_percent) {
        return std::nullopt;
    }
    const known_run& known = found->second;
    const double open = whole_percent - known.percent;
    const std::chrono::duration<double, std::milli> took = known.last_progress - known.first_listed;
    const std::chrono::duration<double, std::milli> since = now.now - known.last_progress;
    return open * took.count() / (known.percent - known.first_percent) - since.count();
}

double scheduler::expected_left_ms(const round& now, const run_id& run) const
{
    const std::optional<double> measured = this->measured_left_ms(now, run);
    if (measured.has_value()) {
        return std::max(0.0, *measured);
    }
    const job_record& job = *this->state.find(run.task.job);
    const double whole = this->predicted_ms(job, job.definition.steps[run.task.step]);
    const auto found = this->runs.find(run);
    const double open =
        found == this->runs.end() ? whole_percent : whole_percent - found->second.percent;
    return whole * open / whole_percent;
}

} // namespace redwingwheel::jobs
