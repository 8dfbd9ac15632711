#include "redwingwheel/scheduler.h"

#include <tuple>

#include "scheduler_round.h"

namespace redwingwheel::jobs {

namespace {

/// A worker that refused a start for want of room is left out until it has reported again.
constexpr milliseconds refusal_pause{300};
/// Suspects are left out only while they are at most one in this many workers.
constexpr std::size_t workers_per_suspect = 3;
/// A job that ends later than this many times its objective earns nothing.
constexpr std::int64_t worthless_after_objectives = 3;

std::int64_t widest_step_accelerators(const job_definition& definition)
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
    this->failed_on.clear();
    this->reservations.clear();
    this->waiting_since.clear();
    this->leading_since = this->clock();
}

void scheduler::report(const worker_description& worker, const std::vector<run_progress>& running)
{
    const steady_time now = this->clock();
    for (auto& [incarnation, other] : this->workers) {
        other.ended |= incarnation.is_superseded_by(worker.incarnation);
    }
    for (const auto& [incarnation, assigned] : this->state.assigned_runs()) {
        if (incarnation.is_superseded_by(worker.incarnation)) {
            this->workers[incarnation].ended = true;
        }
    }
    known_worker& known = this->workers[worker.incarnation];
    known.description = worker;
    known.grant_until = now + this->options.grant_life;
    known.answered_at.reset();
    for (const run_progress& each : running) {
        known_run& run = this->runs[each.run];
        if (!run.listed || run.percent != each.percent) {
            run.last_progress = now;
        }
        if (!run.listed && run.since == steady_time()) {
            run.since = now;
        }
        if (!run.listed) {
            run.first_listed = now;
            run.first_percent = each.percent;
        }
        run.listed = true;
        run.last_listed = now;
        run.percent = each.percent;
        if (!each.checkpoint.empty()) {
            run.checkpoint = each.checkpoint;
        }
    }
}

void scheduler::grant(const worker_incarnation& worker)
{
    known_worker& known = this->workers[worker];
    known.grant_until = this->clock() + this->options.grant_life;
    known.answered_at = this->clock();
}

void scheduler::worker_ended(const worker_incarnation& worker)
{
    this->workers[worker].ended = true;
}

void scheduler::note_end(const worker_incarnation& worker, const ended_run& end)
{
    known_worker& known = this->workers[worker];
    if (end.outcome == run_outcome::done) {
        known.failures_in_row = 0;
        known.suspect_until = steady_time();
        this->note_duration(end.run);
    }
    if (end.outcome != run_outcome::failed) {
        return;
    }
    this->failed_on[end.run.task].insert(worker.id);
    ++known.failures_in_row;
    this->suspect(this->clock(), known);
}

/// Only of runs that began from nothing: a resumed one takes less than its step.
void scheduler::note_duration(const run_id& run)
{
    const job_record* const job = this->state.find(run.task.job);
    const auto known = this->runs.find(run);
    if (job == nullptr || known == this->runs.end() || run.number != 1) {
        return;
    }
    const std::chrono::duration<double, std::milli> took = this->clock() - known->second.since;
    this->durations[job->queue].add(job->definition.steps[run.task.step].estimate_ms, took.count());
}

void scheduler::note_refusal(const worker_incarnation& worker)
{
    this->workers[worker].refused_until = this->clock() + refusal_pause;
}

bool scheduler::wanted(const run_id& run) const
{
    const task_record* const task = this->state.find(run.task);
    const job_record* const job = this->state.find(run.task.job);
    return task != nullptr && task->phase == task_phase::assigned && task->last_run == run.number &&
           !job->ended() && !this->evicting.contains(run);
}

bool scheduler::confirmed(const run_id& run) const
{
    const auto found = this->runs.find(run);
    return found != this->runs.end() && found->second.listed;
}

schedule scheduler::decide(std::int64_t now_unix_ms)
{
    round now;
    now.now = this->clock();
    now.now_unix_ms = now_unix_ms;
    this->forget_ended_runs();
    this->release_lost(now);
    this->stop_stalled(now);
    this->stop_broken_gangs(now);
    this->leave_draining(now);
    this->picture_rooms(now);
    this->picture_reservations(now);
    now.guaranteed = this->guaranteed_jobs();
    std::vector<candidate> waiting = this->candidates(now);
    this->note_waiting(now, waiting);
    const auto key = [](const candidate& each) {
        return std::make_tuple(each.rank, each.lateness, each.job->priority,
                               each.objective_unix_ms);
    };
    std::stable_sort(
        waiting.begin(), waiting.end(),
        [&key](const candidate& left, const candidate& right) { return key(left) < key(right); });
    for (const candidate& each : waiting) {
        this->place(now, each);
    }
    return std::move(now.result);
}

void scheduler::note_waiting(const round& now, const std::vector<candidate>& waiting)
{
    std::map<task_id, steady_time> still;
    for (const candidate& each : waiting) {
        const auto known = this->waiting_since.find(each.id());
        still[each.id()] = known == this->waiting_since.end() ? now.now : known->second;
    }
    this->waiting_since = std::move(still);
}

void scheduler::forget_ended_runs()
{
    const auto is_over = [this](const run_id& run) {
        const task_record* const task = this->state.find(run.task);
        return task == nullptr || task->phase != task_phase::assigned ||
               task->last_run != run.number;
    };
    std::erase_if(this->runs, [&is_over](const auto& each) { return is_over(each.first); });
    std::erase_if(this->evicting, [&is_over](const auto& each) { return is_over(each.first); });
    std::erase_if(this->failed_on,
                  [this](const auto& each) { return this->state.find(each.first) == nullptr; });
    std::erase_if(this->reservations,
                  [this](const auto& each) { return this->state.find(each.first) == nullptr; });
    const steady_time now = this->clock();
    std::erase_if(this->workers, [this, now](const auto& each) {
        return (each.second.ended || each.second.grant_until + std::chrono::seconds(60) < now) &&
               this->state.runs_on(each.first).empty();
    });
}

void scheduler::picture_rooms(round& now) const
{
    std::size_t suspects = 0;
    for (const auto& [incarnation, known] : this->workers) {
        if (known.ended || known.grant_until < now.now) {
            continue;
        }
        worker_room room;
        room.rack = known.description.rack;
        room.capacity = known.description.capacity;
        room.room = room.capacity;
        room.suspect = known.suspect_until > now.now;
        suspects += room.suspect ? 1 : 0;
        for (const run_id& run : this->state.runs_on(incarnation)) {
            const job_record* const job = this->state.find(run.task.job);
            const step_definition& step = job->definition.steps[run.task.step];
            room.room -= step.per_task;
            if (step.best_effort_cpu) {
                room.room.cpu_millis += step.per_task.cpu_millis;
            }
        }
        now.ids.push_back(incarnation);
        now.rooms.push_back(room);
    }
    now.avoid_suspects = suspects * workers_per_suspect <= now.rooms.size();
}

std::set<std::string> scheduler::guaranteed_jobs() const
{
    std::map<std::string, std::vector<std::pair<std::int64_t, const std::string*>>> by_account;
    for (const auto& [id, job] : this->state.jobs()) {
        if (!job.ended() && job.priority == 0) {
            by_account[job.account].emplace_back(job.submitted_unix_ms, &id);
        }
    }
    std::set<std::string> within;
    for (const account_definition& account : this->state.configuration().accounts) {
        std::vector<std::pair<std::int64_t, const std::string*>>& own = by_account[account.name];
        std::sort(own.begin(), own.end(), [](const auto& left, const auto& right) {
            return std::tie(left.first, *left.second) < std::tie(right.first, *right.second);
        });
        std::int64_t needed = 0;
        for (const auto& [submitted, id] : own) {
            needed += widest_step_accelerators(this->state.find(*id)->definition);
            if (needed > account.guaranteed_accelerators) {
                break;
            }
            within.insert(*id);
        }
    }
    return within;
}

std::vector<scheduler::candidate> scheduler::candidates(const round& now) const
{
    std::vector<candidate> found;
    for (const auto& [id, job] : this->state.jobs()) {
        if (job.ended()) {
            continue;
        }
        const std::int64_t chain = this->longest_chain_ms(job);
        const std::int64_t allowed =
            static_cast<std::int64_t>(job.stretch * static_cast<double>(chain)) +
            job.latency_target_ms;
        for (const auto& [number, occurrence] : job.open) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_record& record = occurrence.steps[step];
                const step_definition& definition = job.definition.steps[step];
                const bool gang_is_running = definition.gang && record.assigned > 0;
                if (record.done + record.assigned == record.tasks.size() || gang_is_running ||
                    !is_ready(job.definition, occurrence, step)) {
                    continue;
                }
                candidate next;
                next.job_id = &id;
                next.job = &job;
                next.occurrence = number;
                next.step = step;
                for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
                    if (record.tasks[index].phase == task_phase::waiting) {
                        next.waiting.push_back(index);
                    }
                }
                next.waiting_since_unix_ms = occurrence.due_unix_ms;
                next.objective_unix_ms = occurrence.due_unix_ms + allowed;
                const std::int64_t late_by = now.now_unix_ms + chain - next.objective_unix_ms;
                next.lateness = late_by <= 0                                           ? 0
                                : late_by < (worthless_after_objectives - 1) * allowed ? 1
                                                                                       : 2;
                if (job.priority == 0) {
                    next.rank = now.guaranteed.contains(id) ? urgency::guaranteed : urgency::urgent;
                }
                found.push_back(std::move(next));
            }
        }
    }
    return found;
}

bool scheduler::is_silent(const round& now, const known_worker& worker) const
{
    return worker.answered_at.has_value() &&
           now.now > *worker.answered_at + this->options.silence_limit;
}

void scheduler::mark_eligible(round& now, const candidate& next) const
{
    const step_definition& step = next.definition();
    std::set<std::string> failed;
    for (const std::uint32_t index : next.waiting) {
        task_id id = next.id();
        id.index = index;
        const auto found = this->failed_on.find(id);
        if (found != this->failed_on.end()) {
            failed.insert(found->second.begin(), found->second.end());
        }
    }
    const step_record& record = next.job->open.at(next.occurrence).steps[next.step];
    for (std::size_t each = 0; each < now.rooms.size(); ++each) {
        const known_worker& known = this->workers.at(now.ids[each]);
        const worker_description& worker = known.description;
        worker_room& room = now.rooms[each];
        const bool labelled =
            step.required_label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                                     step.required_label) != worker.labels.end();
        const bool suspected = known.suspect_until > now.now;
        room.eligible = worker.service == next.job->service && labelled && !worker.draining &&
                        worker.reachable && !this->is_silent(now, known) &&
                        known.refused_until <= now.now &&
                        !this->state.evacuated().contains(worker.data_centre) &&
                        !(suspected && now.avoid_suspects);
        room.suspect = suspected || failed.contains(now.ids[each].id);
        room.same_step = static_cast<std::uint32_t>(
            std::count_if(record.tasks.begin(), record.tasks.end(),
                          [&id = now.ids[each]](const task_record& task) {
                              return task.phase == task_phase::assigned && task.worker == id;
                          }));
    }
}

void scheduler::assign(round& now, const candidate& next, const std::vector<std::size_t>& places)
{
    const step_definition& step = next.definition();
    const step_record& record = next.job->open.at(next.occurrence).steps[next.step];
    std::uint32_t gang_run = 0;
    for (const task_record& task : record.tasks) {
        gang_run = std::max(gang_run, task.last_run);
    }
    assign_runs command;
    command.now_unix_ms = now.now_unix_ms;
    for (std::size_t each = 0; each < places.size(); ++each) {
        task_id id = next.id();
        id.index = next.waiting[each];
        const std::uint32_t number = (step.gang ? gang_run : record.tasks[id.index].last_run) + 1;
        command.runs.push_back({{id, number}, now.ids[places[each]]});
        this->runs[{id, number}].since = now.now;
        this->runs[{id, number}].last_progress = now.now;
        resources& room = now.rooms[places[each]].room;
        room -= step.per_task;
        if (step.best_effort_cpu) {
            room.cpu_millis += step.per_task.cpu_millis;
        }
    }
    now.result.assignments.push_back(std::move(command));
}

} // namespace redwingwheel::jobs
