#include "redwingwheel/scheduler_service.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"
#include "redwingwheel/printable.h"

namespace redwingwheel::jobs {

namespace {

constexpr milliseconds tick_period{25};
/// Longest time between scheduling rounds. A round also takes place without changes, for decisions
/// that depend on the time.
constexpr milliseconds full_round_period{250};
constexpr milliseconds occurrence_check_period{50};
/// A poll is answered after this time even without new orders. Well below the permit lifetime.
constexpr milliseconds max_poll_wait{900};
/// The status of an ended job can be read for at least this long.
constexpr std::int64_t ended_job_retention_ms = 180'000;
constexpr milliseconds clean_up_period{20000};
constexpr milliseconds release_retry_interval{1000};
/// Number of results that are kept. Followers keep results that nobody on the replica waits for.
constexpr std::size_t max_kept_results = 4096;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string format_task(const task_id& id)
{
    return fmt::format("{}.{}.{}.{}", id.job, id.occurrence, id.step, id.index);
}

std::string format_resources(const resources& each)
{
    return fmt::format("{}/{}/{}", each.cpu_millis, each.memory_mb, each.accelerators);
}

std::string_view command_result_name(command_result result)
{
    switch (result) {
    case command_result::accepted:
        return "accepted";
    case command_result::unknown_queue:
        return "unknown_queue";
    case command_result::unknown_key:
        return "unknown_key";
    case command_result::unknown_job:
        return "unknown_job";
    case command_result::conflicting_version:
        return "conflicting_version";
    case command_result::no_configuration:
        return "no_configuration";
    case command_result::stale:
        return "stale";
    case command_result::invalid_job:
        return "invalid_job";
    case command_result::withdrawn_job:
        return "withdrawn_job";
    case command_result::too_many_withdrawn:
        return "too_many_withdrawn";
    }
    return "unknown";
}

} // namespace

scheduler_service::scheduler_service(const scheduler_options& options,
                                     cluster::group_service& replicated_group,
                                     kernel::control_loop& control_loop,
                                     metrics::registry& counters)
    : group(replicated_group), loop(control_loop), metrics(counters),
      job_scheduler(options, boot_clock_function(), this->state)
{
    cluster::state_machine_hooks application;
    application.apply = [this](std::uint64_t index, const std::string& command) {
        this->apply(index, command);
    };
    application.take_snapshot = [this] { return this->state.pack_snapshot(); };
    application.restore_snapshot = [this](std::string_view bytes) {
        return this->state.restore_snapshot(bytes);
    };
    application.reset = [this] {
        this->state = job_state();
        this->results.clear();
    };
    application.leadership_changed = [this](bool leads, std::uint64_t new_term) {
        this->on_leadership(leads, new_term);
    };
    this->group.set_state_machine(std::move(application));
    this->group.set_leader_handler(
        messages::kind::worker_poll,
        [this](const wire::incoming_request& request, const answer_function& answer) {
            this->serve_poll(request, answer);
        });
    this->group.set_leader_handler(
        messages::kind::job_call,
        [this](const wire::incoming_request& request, const answer_function& answer) {
            this->serve_call(request, answer);
        });
}

absl::Status scheduler_service::start()
{
    this->loop.run_every(tick_period, [this] { this->tick(); });
    return absl::OkStatus();
}

void scheduler_service::stop()
{
    this->loop.run_and_wait([this] {
        this->stopping = true;
        this->polls.clear();
    });
}

void scheduler_service::apply(std::uint64_t index, const std::string& command)
{
    const absl::StatusOr<job_command> read = unpack_job_command(command);
    if (!read.ok()) {
        // Every replica skips the same entry, so the replicas stay consistent.
        spdlog::error("event=command_skipped index={} error=\"{}\"", index,
                      errors::message_of(read.status()));
        return;
    }
    const std::uint64_t version = this->state.configuration().version;
    this->results[index] = this->state.apply(*read);
    if (const record_ended_runs* const ended_runs = std::get_if<record_ended_runs>(&*read)) {
        this->log_ended_jobs(*ended_runs);
    }
    if (const record_worker_crash* const crash = std::get_if<record_worker_crash>(&*read)) {
        this->log_crash(*crash);
    }
    if (const set_evacuation* const order = std::get_if<set_evacuation>(&*read)) {
        this->log_evacuation(*order, index, this->results[index]);
    }
    if (this->state.configuration().version != version) {
        spdlog::info("event=configuration_in_force version={} previous={} index={}",
                     this->state.configuration().version, version, index);
    }
    while (this->results.size() > max_kept_results) {
        this->results.erase(this->results.begin());
    }
    this->state_changed = true;
}

void scheduler_service::log_ended_jobs(const record_ended_runs& command) const
{
    std::set<std::string> job_ids;
    for (const ended_run& end : command.ended_runs) {
        job_ids.insert(end.run.task.job);
    }
    for (const std::string& id : job_ids) {
        const job_record* const job = this->state.find(id);
        if (!this->leading || job == nullptr || job->ended_unix_ms != command.now_unix_ms) {
            continue;
        }
        spdlog::info("event=job_ended job={} status={} max_attempts={} took_ms={}", id,
                     job->status == job_status::completed ? "completed" : "failed",
                     job->max_attempts, job->ended_unix_ms - job->submitted_unix_ms);
    }
}

void scheduler_service::log_evacuation(const set_evacuation& order, std::uint64_t index,
                                       command_result result) const
{
    spdlog::info("event=evacuation_order data_centre={} evacuated={} result={} "
                 "expected_revision={} revision={} index={}",
                 printable(order.data_centre), order.evacuated, command_result_name(result),
                 order.expected_revision.has_value() ? std::to_string(*order.expected_revision)
                                                     : "none",
                 this->state.evacuation_revision(order.data_centre), index);
}

void scheduler_service::on_leadership(bool leads, std::uint64_t new_term)
{
    this->leading = leads;
    this->term = new_term;
    this->uncommitted_decisions = 0;
    this->proposed_end_numbers.clear();
    this->proposed_releases.clear();
    this->proposed_crashes.clear();
    for (const auto& [supervisor, waiting] : this->polls) {
        waiting.answer(absl::AbortedError("leadership has changed while the poll waited"));
    }
    this->polls.clear();
    if (leads) {
        this->tokens.begin_term(new_term);
        this->job_scheduler.begin_leadership();
    }
}

void scheduler_service::propose(const job_command& command, command_done done)
{
    this->group.propose(
        pack_job_command(command),
        [this, done = std::move(done)](absl::StatusOr<replication::log_index> index) {
            if (!index.ok()) {
                done(index.status());
                return;
            }
            const auto found = this->results.find(index->value);
            if (found == this->results.end()) {
                done(absl::InternalError(
                    "the result of the applied command was dropped before it was read"));
                return;
            }
            const command_result result = found->second;
            this->results.erase(found);
            done(result);
        });
}

// --- supervisors --------------------------------------------------------------------------------

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
    this->job_scheduler.record_report(described, poll.running);
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
        if (end.number <= last_known) {
            continue;
        }
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
scheduler_service::build_poll_answer(const worker_incarnation& worker) const
{
    messages::worker_poll_answer made;
    made.has_orders = true;
    made.permit_ms =
        static_cast<std::uint64_t>(this->job_scheduler.settings().permit_lifetime.count());
    made.last_recorded_end = this->state.last_recorded_end(worker);
    made.last_superseded_end = this->state.last_superseded_end(worker);
    std::vector<run_id> unconfirmed;
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
            unconfirmed.push_back(run);
            const job_record* const job = this->state.find(run.task.job);
            made.starts.push_back(
                {run, job->definition.payload, this->state.find(run.task)->checkpoint});
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
        messages::worker_poll_answer made =
            waiting.current ? this->build_poll_answer(worker) : messages::worker_poll_answer();
        made.term = this->term;
        const bool needs_token =
            !waiting.poll.unconfirmed.empty() || (!worker.id.empty() && !waiting.current);
        const bool has_news = waiting.current ? made.orders_digest != waiting.poll.orders_digest
                                              : this->has_recorded_ends(waiting.poll);
        if (!needs_token && !has_news && now < waiting.answer_deadline) {
            ++each;
            continue;
        }
        if (waiting.current) {
            this->job_scheduler.record_permit(worker);
        }
        made.tokens = this->issue_tokens(waiting);
        made.recorded_incarnations = this->recorded_incarnations(waiting.poll);
        waiting.answer(pack(made));
        each = this->polls.erase(each);
    }
}

// --- gateways -----------------------------------------------------------------------------------

command_result scheduler_service::check_caller(const messages::job_call& call) const
{
    const queue_definition* const queue = this->state.find_queue(call.host, call.path);
    if (queue == nullptr) {
        return this->state.configuration().version == 0 ? command_result::no_configuration
                                                        : command_result::unknown_queue;
    }
    if (!queue->public_access && this->state.find_account(call.key) == nullptr) {
        return command_result::unknown_key;
    }
    return command_result::accepted;
}

std::string scheduler_service::account_name(const messages::job_call& call) const
{
    const account_definition* const account = this->state.find_account(call.key);
    return account == nullptr ? "" : account->name;
}

void scheduler_service::serve_call(const wire::incoming_request& request,
                                   const answer_function& answer)
{
    absl::StatusOr<messages::job_call> call = unpack<messages::job_call>(request.body);
    if (!call.ok()) {
        answer(call.status());
        return;
    }
    switch (call->operation) {
    case messages::job_operation::submit:
        this->serve_submit(*call, answer);
        return;
    case messages::job_operation::cancel:
        if (const command_result result = this->check_caller(*call);
            result != command_result::accepted) {
            answer(pack(messages::job_answer{result, {}, 0, ""}));
            return;
        }
        this->commit_change(*call, cancel_job{call->job, unix_ms(), this->account_name(*call)},
                            answer);
        return;
    case messages::job_operation::install_configuration:
        this->commit_change(*call, install_configuration{std::move(call->configuration)}, answer);
        return;
    case messages::job_operation::evacuate:
        this->commit_change(
            *call, set_evacuation{call->data_centre, true, call->evacuation_revision}, answer);
        return;
    case messages::job_operation::restore:
        this->commit_change(
            *call, set_evacuation{call->data_centre, false, call->evacuation_revision}, answer);
        return;
    default:
        this->serve_read(*call, answer);
    }
}

void scheduler_service::serve_submit(const messages::job_call& call, const answer_function& answer)
{
    command_result result = this->check_caller(call);
    if (result == command_result::accepted && !is_well_formed(call.definition)) {
        result = command_result::invalid_job;
    }
    if (result != command_result::accepted) {
        spdlog::info("event=job_refused job={} reason={} configuration={}", call.job,
                     command_result_name(result), this->state.configuration().version);
        answer(pack(messages::job_answer{result, {}, 0, ""}));
        return;
    }
    const step_definition& first = call.definition.steps.front();
    const queue_definition& queue = *this->state.find_queue(call.host, call.path);
    spdlog::info("event=job_submitted job={} queue={} priority={} account={} steps={} tasks={} "
                 "cpu_millis={} accelerators={} gang={} same_rack={} resumable={} estimate_ms={} "
                 "occurrences={} configuration={}",
                 call.job, queue.name, queue.priority, this->account_name(call),
                 call.definition.steps.size(), first.tasks, first.per_task.cpu_millis,
                 first.per_task.accelerators, first.gang, first.same_rack, first.resumable,
                 first.estimate_ms, call.definition.occurrences,
                 this->state.configuration().version);
    this->commit_change(
        call, submit_job{call.job, call.host, call.path, call.key, call.definition, unix_ms()},
        answer);
}

void scheduler_service::commit_change(const messages::job_call& call, const job_command& change,
                                      const answer_function& answer)
{
    const steady_time begun = boot_clock::now();
    this->propose(
        change, [this, answer, begun, job = call.job, operation = static_cast<int>(call.operation)](
                    const absl::StatusOr<command_result>& result) {
            if (!result.ok()) {
                spdlog::warn("event=change_unanswered operation={} job={} error=\"{}\"", operation,
                             job, errors::message_of(result.status()));
                answer(result.status());
                return;
            }
            const double took =
                std::chrono::duration<double, std::milli>(boot_clock::now() - begun).count();
            this->metrics.observe("commit_ms", "", took);
            spdlog::info("event=change_committed operation={} job={} result={} took_ms={:.1f} "
                         "configuration={}",
                         operation, job, command_result_name(*result), took,
                         this->state.configuration().version);
            answer(pack(messages::job_answer{*result, {}, 0, ""}));
        });
}

void scheduler_service::serve_read(const messages::job_call& call, const answer_function& answer)
{
    // Confirmed by a quorum, because a replaced leader that is not aware of it would return an old
    // state.
    this->group.confirm_leadership([this, call, answer](const absl::Status& is_confirmed) {
        if (!is_confirmed.ok()) {
            answer(is_confirmed);
            return;
        }
        messages::job_answer made;
        if (call.operation == messages::job_operation::read_configuration) {
            made.document = this->state.configuration().document;
            made.result = this->state.configuration().version == 0
                              ? command_result::no_configuration
                              : command_result::accepted;
            answer(pack(made));
            return;
        }
        if (call.operation == messages::job_operation::read_evacuation) {
            made.evacuation_revision = this->state.evacuation_revision(call.data_centre);
            made.result = command_result::accepted;
            answer(pack(made));
            return;
        }
        made.result = this->check_caller(call);
        if (made.result == command_result::accepted &&
            call.operation == messages::job_operation::count_pending) {
            made.pending =
                this->state.count_pending_jobs(this->state.find_queue(call.host, call.path)->name);
        }
        else if (made.result == command_result::accepted) {
            const job_record* const job = this->state.find(call.job);
            made.result = job == nullptr ? command_result::unknown_job : command_result::accepted;
            made.status = job == nullptr ? job_status::queued : job->status;
        }
        answer(pack(made));
    });
}

// --- scheduling ----------------------------------------------------------------------------------

void scheduler_service::tick()
{
    if (this->stopping || !this->leading || !this->group.leads()) {
        return;
    }
    this->propose_advance_time();
    const steady_time now = boot_clock::now();
    if (this->uncommitted_decisions == 0 && (this->state_changed || now >= this->next_full_round)) {
        this->state_changed = false;
        this->next_full_round = now + full_round_period;
        this->decide();
    }
    this->answer_polls();
}

void scheduler_service::propose_advance_time()
{
    const steady_time now = boot_clock::now();
    if (now < this->next_occurrence_check) {
        return;
    }
    this->next_occurrence_check = now + occurrence_check_period;
    const std::int64_t now_unix_ms = unix_ms();
    const bool clean_up = now >= this->next_clean_up;
    if (this->state.occurrence_due(now_unix_ms) || clean_up) {
        this->next_clean_up = now + clean_up_period;
        // Reset as soon as this command is committed.
        this->next_occurrence_check = now + std::chrono::seconds(1);
        this->propose(
            ::redwingwheel::jobs::advance_time{now_unix_ms, now_unix_ms - ended_job_retention_ms},
            [this](const absl::StatusOr<command_result>&) {
                this->next_occurrence_check = steady_time();
            });
    }
}

/// Logs each urgent step that waits, once for each reason.
void scheduler_service::log_waiting(const std::vector<waiting_step>& waiting)
{
    std::map<task_id, wait_reason> reasons;
    for (const waiting_step& each : waiting) {
        reasons[each.step] = each.reason;
        const auto known = this->logged_waits.find(each.step);
        if (known == this->logged_waits.end() || known->second != each.reason) {
            spdlog::info("event=step_waits job={} step={}.{}.{} reason={} tasks={} guaranteed={} "
                         "eviction_cost_core_s={:.0f} eviction_limit_core_s={:.0f}",
                         each.step.job, each.step.job, each.step.occurrence, each.step.step,
                         wait_reason_name(each.reason), each.tasks, each.guaranteed,
                         each.eviction_cost, each.eviction_limit);
        }
    }
    this->logged_waits = std::move(reasons);
}

/// Returns why the runs of the worker are released.
std::string_view scheduler_service::loss_reason(const worker_incarnation& worker) const
{
    if (this->job_scheduler.has_ended(worker)) {
        return "worker_ended";
    }
    const bool expired = this->job_scheduler.time_since_permit(worker) >= milliseconds(0);
    return expired ? "permit_expired" : "start_refused";
}

void scheduler_service::decide()
{
    const schedule made = this->job_scheduler.decide(unix_ms());
    this->log_evictions(made.evictions);
    this->log_waiting(made.waiting);
    const auto on_committed = [this, decided_in =
                                         this->term](const absl::StatusOr<command_result>& result) {
        if (decided_in != this->term) {
            return;
        }
        if (!result.ok()) {
            spdlog::warn("event=decision_not_committed error=\"{}\"",
                         errors::message_of(result.status()));
        }
        if (this->uncommitted_decisions > 0) {
            --this->uncommitted_decisions;
        }
    };
    if (!made.releases.empty()) {
        for (const released_run& each : made.releases) {
            const worker_incarnation& worker = this->state.find(each.run.task)->worker;
            spdlog::info("event=run_given_up job={} task={} run={} worker={} born={} reason={} "
                         "permit_expired_ms={}",
                         each.run.task.job, format_task(each.run.task), each.run.number, worker.id,
                         worker.started_unix_ms, this->loss_reason(worker),
                         this->job_scheduler.time_since_permit(worker).count());
        }
        ++this->uncommitted_decisions;
        this->propose(release_runs{made.releases, unix_ms()}, on_committed);
    }
    for (const assign_runs& each : made.assignments) {
        ++this->uncommitted_decisions;
        for (const assignment& assigned : each.runs) {
            this->metrics.add("assignments_total");
            spdlog::info("event=run_assigned job={} task={} run={} worker={} born={} term={}",
                         assigned.run.task.job, format_task(assigned.run.task), assigned.run.number,
                         assigned.worker.id, assigned.worker.started_unix_ms, this->term);
        }
        this->propose(each, on_committed);
    }
}

} // namespace redwingwheel::jobs
