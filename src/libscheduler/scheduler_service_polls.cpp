#include "redwingwheel/scheduler_service.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"
#include "redwingwheel/printable.h"
#include "scheduler_service_log.h"

/// Polls of the supervisors: their reports, and the orders that answer them.
namespace redwingwheel::jobs {

namespace {

/// A poll is answered after this time even without new orders. Well below the permit lifetime.
constexpr milliseconds max_poll_wait{900};
constexpr milliseconds release_retry_interval{1000};
/// Payloads and checkpoints of the starts in one answer. The others follow once these are
/// confirmed.
constexpr std::size_t max_start_bytes = std::size_t{512} * 1024;

} // namespace

void scheduler_service::serve_poll(const wire::incoming_request& request,
                                   const answer_function& answer)
{
    absl::StatusOr<messages::worker_poll> poll = unpack<messages::worker_poll>(request.body);
    if (!poll.ok()) {
        answer(poll.status());
        return;
    }
    const auto earlier = this->polls.find(poll->supervisor);
    if (earlier != this->polls.end()) {
        const messages::worker_poll& waiting = earlier->second.poll;
        if (waiting.process == poll->process && waiting.sequence > poll->sequence) {
            answer(absl::AbortedError("a newer poll has arrived"));
            return;
        }
        earlier->second.answer(absl::AbortedError("a newer poll has arrived"));
        this->polls.erase(earlier);
    }
    // Proposed before the release of the other runs of these workers, so that the log records a run
    // that is done as done.
    for (const messages::ended_incarnation& ended : poll->ended_incarnations) {
        this->propose_ended_runs(ended.worker, ended.ended_runs);
        this->propose_reported_crash(ended);
        if (!this->job_scheduler.has_ended(ended.worker) &&
            !this->state.runs_on(ended.worker).empty()) {
            spdlog::info("event=worker_ended worker={} born={} host={} evidence={} crashed={} "
                         "runs={} permit_expired_ms={}",
                         ended.worker.id, ended.worker.started_unix_ms, ended.worker.host,
                         ended.evidence, ended.crashed, this->state.runs_on(ended.worker).size(),
                         this->job_scheduler.time_since_permit(ended.worker).count());
        }
        this->job_scheduler.record_worker_end(ended.worker);
    }
    const bool current = !poll->worker.incarnation.id.empty() &&
                         this->tokens.accept_report(poll->supervisor, poll->process, poll->sequence,
                                                    poll->worker.incarnation, poll->fencing_token);
    if (current) {
        this->propose_unreported_crashes(poll->worker.incarnation);
        this->record_report(*poll);
    }
    this->propose_ended_runs(poll->worker.incarnation, poll->ended_runs);
    if (current) {
        this->release_refused_starts(*poll);
    }
    this->state_changed = true;
    const std::string supervisor = poll->supervisor;
    this->polls[supervisor] = {*std::move(poll), answer, boot_clock::now() + max_poll_wait,
                               current};
}

/// Logs a changed capacity. What no longer fits is withdrawn before the next orders are sent.
void scheduler_service::record_report(const messages::worker_poll& poll)
{
    const worker_incarnation& worker = poll.worker.incarnation;
    const std::optional<resources> before = this->job_scheduler.announced_capacity(worker);
    worker_description described = poll.worker;
    // Its lease has to expire first.
    described.reachable =
        described.reachable && !this->state.has_superseded_end(worker, poll.ended_runs);
    this->job_scheduler.record_report(described, poll.running, poll.contact);
    const resources& after = poll.worker.capacity;
    if (!before.has_value() || *before == after) {
        return;
    }
    const std::size_t withdrawn = this->withdraw_excess_starts(worker);
    spdlog::info("event=worker_capacity_changed worker={} born={} before={} after={} runs={} "
                 "withdrawn={}",
                 worker.id, worker.started_unix_ms, format_resources(*before),
                 format_resources(after), this->state.runs_on(worker).size(), withdrawn);
}

std::size_t scheduler_service::withdraw_excess_starts(const worker_incarnation& worker)
{
    const std::vector<eviction> withdrawn = this->job_scheduler.withdraw_excess_starts(worker);
    this->log_evictions(withdrawn);
    return withdrawn.size();
}

void scheduler_service::log_evictions(const std::vector<eviction>& evictions)
{
    for (const eviction& each : evictions) {
        this->metrics.add("evictions_total");
        spdlog::info("event=run_evicted job={} task={} run={} reason=\"{}\"", each.run.task.job,
                     format_task(each.run.task), each.run.number, each.reason);
    }
}

void scheduler_service::propose_ended_runs(const worker_incarnation& worker,
                                           const std::vector<ended_run>& ended_runs)
{
    if (ended_runs.empty()) {
        return;
    }
    const std::uint64_t last_recorded = this->state.last_recorded_end(worker);
    const std::uint64_t last_known = std::max(last_recorded, this->proposed_end_numbers[worker]);
    record_ended_runs command;
    command.worker = worker;
    command.now_unix_ms = unix_ms();
    command.restart_long_running = true;
    for (const ended_run& end : ended_runs) {
        if (end.number <= last_recorded) {
            continue;
        }
        // Includes the ends of earlier proposals, which may not be committed.
        command.ended_runs.push_back(end);
        command.run_times_ms.push_back(this->job_scheduler.run_time_ms(end.run));
        if (end.number <= last_known) {
            continue;
        }
        this->report_run_time(end, command.run_times_ms.back());
        this->job_scheduler.record_run_end(worker, end);
        this->metrics.add("run_ends_total",
                          fmt::format("how=\"{}\"", run_outcome_name(end.outcome)));
        spdlog::info("event=run_ended job={} task={} run={} how={} worker={} born={} number={}",
                     end.run.task.job, format_task(end.run.task), end.run.number,
                     run_outcome_name(end.outcome), worker.id, worker.started_unix_ms, end.number);
    }
    if (command.ended_runs.empty() || command.ended_runs.back().number <= last_known) {
        return;
    }
    this->proposed_end_numbers[worker] = command.ended_runs.back().number;
    this->propose(command, [this, worker](const absl::StatusOr<command_result>& result) {
        if (!result.ok()) {
            this->proposed_end_numbers.erase(worker);
            spdlog::warn("event=ends_not_recorded worker={} error=\"{}\"", worker.id,
                         errors::message_of(result.status()));
        }
    });
}

void scheduler_service::report_run_time(const ended_run& end, std::int64_t took_ms)
{
    const job_record* const job = this->state.find(end.run.task.job);
    if (job == nullptr || took_ms <= 0 || end.outcome != run_outcome::done) {
        return;
    }
    const run_kind kind =
        kind_of(job->definition.steps[end.run.task.step], job->queue, job->account);
    const double expected_ms = this->state.durations().predict(kind).median_ms;
    this->metrics.observe("run_time_ratio", fmt::format("queue=\"{}\"", printable(job->queue)),
                          static_cast<double>(took_ms) / expected_ms);
}

void scheduler_service::release_refused_starts(const messages::worker_poll& poll)
{
    release_runs command;
    command.now_unix_ms = unix_ms();
    const steady_time now = boot_clock::now();
    std::erase_if(this->proposed_releases,
                  [now](const auto& each) { return now > each.second + release_retry_interval; });
    for (const messages::refused_start& each : poll.refused_starts) {
        const task_record* const task = this->state.find(each.run.task);
        if (task == nullptr || task->phase != task_phase::assigned ||
            task->last_run != each.run.number) {
            continue;
        }
        if (!this->proposed_releases.emplace(each.run, now).second) {
            continue;
        }
        this->job_scheduler.record_refused_start(poll.worker.incarnation, each.run);
        this->metrics.add("starts_refused_total", fmt::format("reason=\"{}\"", each.reason));
        spdlog::info("event=start_refused job={} task={} run={} worker={} reason={}",
                     each.run.task.job, format_task(each.run.task), each.run.number,
                     poll.worker.incarnation.id, each.reason);
        command.runs.push_back({each.run, ""});
    }
    if (!command.runs.empty()) {
        this->propose(command, [](const absl::StatusOr<command_result>& result) {
            if (!result.ok()) {
                spdlog::warn("event=release_not_recorded error=\"{}\"",
                             errors::message_of(result.status()));
            }
        });
    }
}

messages::worker_poll_answer
scheduler_service::build_poll_answer(const messages::worker_poll& poll) const
{
    const worker_incarnation& worker = poll.worker.incarnation;
    messages::worker_poll_answer made;
    made.has_orders = true;
    if (poll.contact != worker_contact::lease_expired) {
        made.permit_ms =
            static_cast<std::uint64_t>(this->job_scheduler.settings().permit_lifetime.count());
    }
    made.last_recorded_end = this->state.last_recorded_end(worker);
    made.last_superseded_end = this->state.last_superseded_end(worker);
    std::vector<run_id> unconfirmed;
    std::size_t start_bytes = 0;
    for (const run_id& run : this->state.runs_on(worker)) {
        if (this->job_scheduler.is_releasing(run)) {
            // Not withdrawn either: the supervisor would report it as refused once more.
            continue;
        }
        if (!this->job_scheduler.should_run(run)) {
            made.withdrawn.push_back(run);
            continue;
        }
        made.desired_runs.push_back(run);
        if (!this->job_scheduler.is_confirmed(run)) {
            const job_record* const job = this->state.find(run.task.job);
            const std::string& checkpoint = this->state.find(run.task)->checkpoint;
            start_bytes += job->definition.payload.size() + checkpoint.size();
            if (start_bytes > max_start_bytes && !made.starts.empty()) {
                continue;
            }
            unconfirmed.push_back(run);
            made.starts.push_back({run, job->definition.payload, checkpoint});
        }
    }
    made.orders_digest =
        digest::content_hash(pack(std::make_tuple(made.last_recorded_end, made.last_superseded_end,
                                                  made.desired_runs, unconfirmed, made.withdrawn)));
    return made;
}

/// Returns the ended incarnations in the poll of which all ended runs are recorded.
std::vector<worker_incarnation>
scheduler_service::recorded_incarnations(const messages::worker_poll& poll) const
{
    std::vector<worker_incarnation> recorded;
    for (const messages::ended_incarnation& ended : poll.ended_incarnations) {
        if (ended.ended_runs.empty() ||
            ended.ended_runs.back().number <= this->state.last_recorded_end(ended.worker)) {
            recorded.push_back(ended.worker);
        }
    }
    return recorded;
}

/// True when ended runs in the poll have been recorded since it was sent.
bool scheduler_service::has_recorded_ends(const messages::worker_poll& poll) const
{
    return std::any_of(poll.ended_incarnations.begin(), poll.ended_incarnations.end(),
                       [this](const messages::ended_incarnation& ended) {
                           return !ended.ended_runs.empty() &&
                                  ended.ended_runs.back().number <=
                                      this->state.last_recorded_end(ended.worker);
                       });
}

/// Issues tokens for the unconfirmed incarnations, and for the worker if its report is outdated.
std::vector<messages::issued_token> scheduler_service::issue_tokens(const waiting_poll& waiting)
{
    const messages::worker_poll& poll = waiting.poll;
    std::vector<worker_incarnation> needed = poll.unconfirmed;
    const worker_incarnation& worker = poll.worker.incarnation;
    if (!worker.id.empty() && !waiting.current &&
        std::find(needed.begin(), needed.end(), worker) == needed.end()) {
        needed.push_back(worker);
    }
    std::vector<messages::issued_token> issued;
    for (const worker_incarnation& each : needed) {
        issued.push_back({each, this->tokens.issue(poll.supervisor, poll.process, each)});
        spdlog::info("event=token_issued supervisor={} process={:016x} worker={} born={} token={}",
                     poll.supervisor, poll.process, each.id, each.started_unix_ms,
                     issued.back().token);
    }
    return issued;
}

void scheduler_service::answer_polls()
{
    const steady_time now = boot_clock::now();
    for (auto each = this->polls.begin(); each != this->polls.end();) {
        const waiting_poll& waiting = each->second;
        const worker_incarnation& worker = waiting.poll.worker.incarnation;
        if (waiting.current) {
            // An assignment may have been committed after the report that shows a smaller capacity.
            this->withdraw_excess_starts(worker);
        }
        messages::worker_poll_answer made = waiting.current ? this->build_poll_answer(waiting.poll)
                                                            : messages::worker_poll_answer();
        made.term = this->term;
        const bool needs_token =
            !waiting.poll.unconfirmed.empty() || (!worker.id.empty() && !waiting.current);
        const bool has_news = waiting.current ? made.orders_digest != waiting.poll.orders_digest
                                              : this->has_recorded_ends(waiting.poll);
        if (!needs_token && !has_news && now < waiting.answer_deadline) {
            ++each;
            continue;
        }
        if (made.permit_ms > 0) {
            this->job_scheduler.record_permit(worker);
        }
        made.tokens = this->issue_tokens(waiting);
        made.recorded_incarnations = this->recorded_incarnations(waiting.poll);
        waiting.answer(pack(made));
        each = this->polls.erase(each);
    }
}

} // namespace redwingwheel::jobs
