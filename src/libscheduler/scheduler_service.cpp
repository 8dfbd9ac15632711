#include "redwingwheel/scheduler_service.h"

#include <utility>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"
#include "redwingwheel/printable.h"
#include "scheduler_service_log.h"

namespace redwingwheel::jobs {

namespace {

constexpr milliseconds tick_period{25};
/// Longest time between scheduling rounds. A round also takes place without changes, for decisions
/// that depend on the time.
constexpr milliseconds full_round_period{250};
/// A round that takes longer is followed by a pause of twice its duration.
constexpr milliseconds long_round{20};
constexpr milliseconds occurrence_check_period{50};
/// The status of an ended job can be read for at least this long.
constexpr std::int64_t ended_job_retention_ms = 180'000;
constexpr milliseconds clean_up_period{20000};
/// Number of results that are kept. Followers keep results that nobody on the replica waits for.
constexpr std::size_t max_kept_results = 4096;

} // namespace

scheduler_service::scheduler_service(const scheduler_options& options, const room_options& limits,
                                     cluster::group_service& replicated_group,
                                     kernel::control_loop& control_loop,
                                     metrics::registry& counters)
    : group(replicated_group), loop(control_loop), metrics(counters),
      job_scheduler(options, boot_clock_function(), this->state),
      room(limits, boot_clock_function(), room_usage_of(this->state))
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
    const std::map<std::string, std::vector<answer_function>> unanswered =
        std::exchange(this->submissions, {});
    for (const auto& [job, waiting] : unanswered) {
        for (const answer_function& each : waiting) {
            each(make_error(replication::replication_errc::outcome_unknown,
                            "leadership has changed during the submission"));
        }
    }
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
        this->room.begin_leadership();
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

void scheduler_service::tick()
{
    if (this->stopping || !this->leading || !this->group.leads()) {
        return;
    }
    this->propose_advance_time();
    const steady_time now = boot_clock::now();
    const bool due = this->state_changed || now >= this->next_full_round;
    if (this->uncommitted_decisions == 0 && due && now >= this->next_round) {
        this->state_changed = false;
        this->next_full_round = now + full_round_period;
        this->decide();
        const steady_time ended_at = boot_clock::now();
        this->next_round = now + long_round < ended_at ? ended_at + 2 * (ended_at - now) : now;
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
        const auto known = this->logged_waits.find(each.step);
        if (each.reason == wait_reason::not_searched) {
            if (known != this->logged_waits.end()) {
                reasons[each.step] = known->second;
            }
            continue;
        }
        reasons[each.step] = each.reason;
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

void scheduler_service::report_headroom(const schedule& made)
{
    if (made.headroom_workers == this->logged_headroom) {
        return;
    }
    this->logged_headroom = made.headroom_workers;
    this->metrics.set("urgent_headroom_workers", "", static_cast<double>(made.headroom_workers));
    spdlog::info("event=headroom_changed workers={} urgent_demand={:.0f}", made.headroom_workers,
                 made.urgent_demand);
}

void scheduler_service::decide()
{
    const schedule made = this->job_scheduler.decide(unix_ms());
    this->log_evictions(made.evictions);
    this->log_waiting(made.waiting);
    this->report_headroom(made);
    this->metrics.set("job_bytes", "", static_cast<double>(this->state.charged_bytes()));
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
                         worker.started_unix_ms, this->job_scheduler.loss_reason(worker),
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
