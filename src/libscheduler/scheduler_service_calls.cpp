#include "redwingwheel/scheduler_service.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"
#include "scheduler_service_log.h"

/// Calls of clients and operators that gateways forward.
namespace redwingwheel::jobs {

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
        this->serve_submit(*std::move(call), answer);
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
        this->serve_configuration(*std::move(call), answer);
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

void scheduler_service::log_refusal(const messages::job_call& call, std::string_view reason) const
{
    spdlog::info("event=job_refused job={} reason={} charged_bytes={} free_bytes={} "
                 "configuration={}",
                 call.job, reason, this->state.charged_bytes(), this->room.free_bytes(),
                 this->state.configuration().version);
}

void scheduler_service::serve_submit(messages::job_call call, const answer_function& answer)
{
    command_result result = this->check_caller(call);
    if (result == command_result::accepted && !is_well_formed(call.definition)) {
        result = command_result::invalid_job;
    }
    if (result != command_result::accepted) {
        this->log_refusal(call, command_result_name(result));
        answer(pack(messages::job_answer{result, {}, 0, ""}));
        return;
    }
    if (this->state.find(call.job) != nullptr) {
        this->answer_submission(call, command_result::stale, answer);
        return;
    }
    this->propose_submission(std::move(call), answer);
}

void scheduler_service::propose_submission(messages::job_call call, const answer_function& answer)
{
    const auto proposed = this->submissions.find(call.job);
    if (proposed != this->submissions.end()) {
        proposed->second.push_back(answer);
        return;
    }
    const queue_definition& queue = *this->state.find_queue(call.host, call.path);
    const std::string owner = owner_of(this->account_name(call), queue.name);
    const std::uint64_t bytes = estimated_bytes(call.definition);
    const room_verdict verdict = this->room.admit(owner, content_of(call.definition), bytes);
    if (verdict != room_verdict::accepted) {
        this->metrics.add("jobs_without_room_total",
                          fmt::format("reason=\"{}\"", room_verdict_name(verdict)));
        this->log_refusal(call, room_verdict_name(verdict));
        this->answer_submission(call, command_result::no_room, answer);
        return;
    }
    const step_definition& first = call.definition.steps.front();
    spdlog::info("event=job_submitted job={} queue={} priority={} account={} steps={} tasks={} "
                 "cpu_millis={} accelerators={} gang={} same_rack={} resumable={} estimate_ms={} "
                 "occurrences={} bytes={} configuration={}",
                 call.job, queue.name, queue.priority, this->account_name(call),
                 call.definition.steps.size(), first.tasks, first.per_task.cpu_millis,
                 first.per_task.accelerators, first.gang, first.same_rack, first.resumable,
                 first.estimate_ms, call.definition.occurrences, bytes,
                 this->state.configuration().version);
    this->submissions[call.job].push_back(answer);
    const std::string job = call.job;
    const auto answer_all = [this, owner, bytes, job,
                             decided_in = this->term](const absl::StatusOr<std::string>& made) {
        if (decided_in == this->term) {
            this->room.settle(owner, bytes);
        }
        const std::vector<answer_function> waiting = std::move(this->submissions[job]);
        this->submissions.erase(job);
        for (const answer_function& each : waiting) {
            each(made);
        }
    };
    const submit_job change{call.job,
                            std::move(call.host),
                            std::move(call.path),
                            std::move(call.key),
                            std::move(call.definition),
                            unix_ms(),
                            default_max_unstarted_occurrences};
    this->commit_change(call, change, answer_all);
}

void scheduler_service::answer_submission(const messages::job_call& call, command_result refusal,
                                          const answer_function& answer)
{
    this->group.confirm_leadership(
        [this, job = call.job, refusal, answer](const absl::Status& is_confirmed) {
            if (!is_confirmed.ok()) {
                answer(is_confirmed);
                return;
            }
            const bool known = this->state.find(job) != nullptr;
            const command_result result = known ? command_result::accepted : refusal;
            answer(pack(messages::job_answer{result, {}, 0, ""}));
        });
}

/// A configuration that would change nothing is not written to the log, since it may be large.
void scheduler_service::serve_configuration(messages::job_call call, const answer_function& answer)
{
    if (call.configuration.version > this->state.configuration().version) {
        this->commit_change(call, install_configuration{std::move(call.configuration)}, answer);
        return;
    }
    this->group.confirm_leadership([this, configuration = std::move(call.configuration),
                                    answer](const absl::Status& is_confirmed) {
        if (!is_confirmed.ok()) {
            answer(is_confirmed);
            return;
        }
        const job_configuration& installed = this->state.configuration();
        const bool conflicts = configuration.version == installed.version &&
                               configuration.document != installed.document;
        const command_result result =
            conflicts ? command_result::conflicting_version : command_result::accepted;
        answer(pack(messages::job_answer{result, {}, 0, ""}));
    });
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

} // namespace redwingwheel::jobs
