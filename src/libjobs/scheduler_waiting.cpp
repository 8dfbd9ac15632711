#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// The steps that wait for workers, in the order in which they are placed, and the workers that may
/// run them.
namespace redwingwheel::jobs {

namespace {

/// The result of a job has no value when the job takes longer than this multiple of its objective.
constexpr std::int64_t no_value_after_objectives = 3;
/// Tasks of one step, and steps of one job, that are considered in a round. Bounds the cost of a
/// round with wide jobs; the others follow in later rounds, as soon as these are placed.
constexpr std::size_t max_tasks_of_step = 256;
constexpr std::size_t max_steps_of_job = 256;
/// Jobs with more steps than this keep their critical path for a while, instead of computing it in
/// each round.
constexpr std::size_t min_steps_of_kept_path = 16;
constexpr milliseconds kept_path_lifetime{5000};

std::int64_t peak_accelerators(const job_definition& definition)
{
    std::int64_t widest = 0;
    for (const step_definition& step : definition.steps) {
        widest = std::max(widest, step.per_task.accelerators * step.tasks);
    }
    return widest;
}

} // namespace

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

std::vector<scheduler::pending_step> scheduler::pending_steps(const scheduling_round& round)
{
    std::vector<pending_step> found;
    for (const auto& [id, job] : this->state.jobs()) {
        if (job.ended()) {
            continue;
        }
        const milliseconds critical_path =
            std::min(this->critical_path(round, id, job), max_time_span);
        const double objective_ms = job.stretch * static_cast<double>(critical_path.count()) +
                                    static_cast<double>(job.latency_target_ms);
        const milliseconds allowed(static_cast<std::int64_t>(
            std::clamp(objective_ms, 0.0, static_cast<double>(max_time_span.count()))));
        const std::size_t found_before = found.size();
        const std::size_t steps = job.definition.steps.size();
        // Steps that fit nowhere must not keep the others of the job from being considered.
        const std::size_t first_step =
            steps > max_steps_of_job ? this->rounds * max_steps_of_job % steps : 0;
        for (const auto& [number, occurrence] : job.open_occurrences) {
            for (std::size_t each = 0;
                 each < steps && found.size() < found_before + max_steps_of_job; ++each) {
                const std::uint32_t step = static_cast<std::uint32_t>((first_step + each) % steps);
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
                pending.waiting_tasks = this->startable_tasks(round, pending, record);
                const bool is_whole =
                    record.done + record.assigned + pending.waiting_tasks.size() ==
                    record.tasks.size();
                if (pending.waiting_tasks.empty() || (definition.gang && !is_whole)) {
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

milliseconds scheduler::critical_path(const scheduling_round& round, const std::string& id,
                                      const job_record& job)
{
    if (job.definition.steps.size() <= min_steps_of_kept_path) {
        return milliseconds(this->critical_path_ms(job));
    }
    kept_path& kept = this->critical_paths[id];
    if (round.now >= kept.expires_at) {
        kept = {milliseconds(this->critical_path_ms(job)), round.now + kept_path_lifetime};
    }
    return kept.duration;
}

/// The first waiting tasks of the step that need not be delayed; of a gang all, or none if it is
/// larger than the workers together.
std::vector<std::uint32_t> scheduler::startable_tasks(const scheduling_round& round,
                                                      const pending_step& pending,
                                                      const step_record& record) const
{
    const step_definition& definition = pending.definition();
    const std::size_t size = record.tasks.size();
    const bool is_limited = !definition.gang;
    if (!is_limited && size > round.availability.size() * this->options.max_runs_per_worker) {
        return {};
    }
    // A paced task has been started before.
    const std::size_t paced = definition.long_running ? this->restart_paces.size() : 0;
    std::vector<std::uint32_t> tasks =
        record.tasks.waiting(is_limited ? max_tasks_of_step + paced : size);
    if (paced > 0) {
        std::erase_if(tasks, [this, &round, id = pending.id()](std::uint32_t index) mutable {
            id.index = index;
            return this->is_paced(id, round.now);
        });
    }
    if (is_limited && tasks.size() > max_tasks_of_step) {
        tasks.resize(max_tasks_of_step);
    }
    return tasks;
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
    const std::vector<std::uint32_t>* tasks_of_step = nullptr;
    if (step.per_worker_limit > 0) {
        const auto [found, is_new] = round.tasks_of_step.try_emplace(pending.id());
        if (is_new) {
            found->second = this->count_tasks_of_step(round, pending);
        }
        tasks_of_step = &found->second;
    }
    for (std::size_t each = 0; each < round.availability.size(); ++each) {
        const tracked_worker& known = this->workers.at(round.ids[each]);
        const worker_description& worker = known.description;
        worker_availability& entry = round.availability[each];
        const bool has_label =
            step.required_label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                                     step.required_label) != worker.labels.end();
        const bool is_suspect = known.trust.is_suspect(round.now);
        entry.eligible = worker.service == pending.job->service && has_label && !worker.draining &&
                         worker.reachable && !this->is_silent(round, known) &&
                         known.excluded_until <= round.now &&
                         !this->state.evacuated().contains(worker.data_centre) &&
                         !(is_suspect && round.exclude_suspects);
        entry.suspect = is_suspect || known.trust.is_on_trial(round.now) ||
                        failed.contains(round.ids[each].id) ||
                        hosts_crashed.contains(round.ids[each].host);
        entry.tasks_of_step = tasks_of_step == nullptr ? 0 : (*tasks_of_step)[each];
    }
}

} // namespace redwingwheel::jobs
