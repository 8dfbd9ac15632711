#include "redwingwheel/scheduler_service.h"

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
        call, submit_job{call.job, call.host, call.path, call.key, call.definition, unix_ms(),
                   default_max_unstarted_occurrences},
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

} // namespace redwingwheel::jobs
