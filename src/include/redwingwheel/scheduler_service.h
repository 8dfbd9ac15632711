#pragma once

#include <map>
#include <memory>
#include <string>

#include "redwingwheel/fencing_tokens.h"
#include "redwingwheel/group_service.h"
#include "redwingwheel/job_messages.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/metrics.h"
#include "redwingwheel/state_room.h"

namespace redwingwheel::jobs {

/// Replicates the job state through the group's log, makes the scheduling decisions on the leader
/// and serves supervisors and gateways. Runs on the control thread.
class scheduler_service : public kernel::service {
public:
    scheduler_service(const scheduler_options& options, const room_options& limits,
                      cluster::group_service& group, kernel::control_loop& control_loop,
                      metrics::registry& counters);

    [[nodiscard]] std::string_view name() const override { return "scheduler"; }
    [[nodiscard]] absl::Status start() override;
    void stop() override;

private:
    using answer_function = cluster::group_service::answer_function;
    using command_done = std::function<void(absl::StatusOr<command_result>)>;

    /// A supervisor's poll that has not been answered yet.
    struct waiting_poll {
        messages::worker_poll poll;
        answer_function answer;
        steady_time answer_deadline;
        bool current = false; ///< The report on the worker is not outdated.
    };

    void apply(std::uint64_t index, const std::string& command);
    void log_ended_jobs(const record_ended_runs& command) const;
    void log_crash(const record_worker_crash& command) const;
    void log_evacuation(const set_evacuation& order, std::uint64_t index,
                        command_result result) const;
    void on_leadership(bool leads, std::uint64_t term);
    void propose(const job_command& command, command_done done);

    void serve_poll(const wire::incoming_request& request, const answer_function& answer);
    void propose_ended_runs(const worker_incarnation& worker,
                            const std::vector<ended_run>& ended_runs);
    void propose_reported_crash(const messages::ended_incarnation& ended);
    /// Proposes to count incarnations that `worker` has replaced without a report of their end,
    /// because their supervisor ended too.
    void propose_unreported_crashes(const worker_incarnation& worker);
    /// Proposes to count the crash of a worker, once in this leader's term.
    void propose_crash(const worker_incarnation& worker, const std::vector<run_id>& runs_at_end,
                       bool observed);
    void release_refused_starts(const messages::worker_poll& poll);
    void record_report(const messages::worker_poll& poll);
    /// Returns the number of runs that are withdrawn.
    std::size_t withdraw_excess_starts(const worker_incarnation& worker);
    void log_evictions(const std::vector<eviction>& evictions);
    [[nodiscard]] messages::worker_poll_answer
    build_poll_answer(const messages::worker_poll& poll) const;
    [[nodiscard]] std::vector<worker_incarnation>
    recorded_incarnations(const messages::worker_poll& poll) const;
    [[nodiscard]] bool has_recorded_ends(const messages::worker_poll& poll) const;
    [[nodiscard]] std::vector<messages::issued_token> issue_tokens(const waiting_poll& waiting);
    void answer_polls();

    void serve_call(const wire::incoming_request& request, const answer_function& answer);
    void serve_submit(messages::job_call call, const answer_function& answer);
    /// Proposes a job that has been admitted, unless it is proposed already.
    void propose_submission(messages::job_call call, const answer_function& answer);
    /// Answers a submission without a proposal, once it is certain that this replica still leads:
    /// `refusal`, unless the job is in the state by then.
    void answer_submission(const messages::job_call& call, command_result refusal,
                           const answer_function& answer);
    void serve_configuration(messages::job_call call, const answer_function& answer);
    void log_refusal(const messages::job_call& call, std::string_view reason) const;
    void serve_read(const messages::job_call& call, const answer_function& answer);
    void commit_change(const messages::job_call& call, const job_command& change,
                       const answer_function& answer);
    [[nodiscard]] command_result check_caller(const messages::job_call& call) const;
    /// Name of the caller's account; empty without one.
    [[nodiscard]] std::string account_name(const messages::job_call& call) const;

    void tick();
    void decide();
    void log_waiting(const std::vector<waiting_step>& waiting);
    /// Logs a change of the headroom for urgent work.
    void report_headroom(const schedule& made);
    /// Compares the time of a run that has ended with the one that was expected.
    void report_run_time(const ended_run& end, std::int64_t took_ms);
    void propose_advance_time();

    cluster::group_service& group;
    kernel::control_loop& loop;
    metrics::registry& metrics;
    job_state state;
    scheduler job_scheduler;
    state_room room;
    /// Who waits for the result of each proposed submission, by id of the job.
    std::map<std::string, std::vector<answer_function>> submissions;
    fencing_tokens tokens;
    /// Results of applied commands, by log index, until the proposer has taken them.
    std::map<std::uint64_t, command_result> results;
    /// By name of the supervisor.
    std::map<std::string, waiting_poll> polls;
    /// Number of the last ended run for which a command was proposed.
    std::map<worker_incarnation, std::uint64_t> proposed_end_numbers;
    std::map<run_id, steady_time> proposed_releases;
    /// Crashed workers for which a command was proposed.
    std::set<worker_incarnation> proposed_crashes;
    std::uint64_t term = 0;
    bool leading = false;
    bool stopping = false;
    /// The job state or the reports of workers have changed since the last scheduling round.
    bool state_changed = false;
    /// Number of commands of the last scheduling round that are not committed yet.
    std::size_t uncommitted_decisions = 0;
    steady_time next_full_round;
    /// Set after a long round, so that rounds leave most of the thread to everything else.
    steady_time next_round;
    steady_time next_occurrence_check;
    steady_time next_clean_up;
    /// Urgent steps that waited after the last round, with the logged reason.
    std::map<task_id, wait_reason> logged_waits;
    std::size_t logged_headroom = 0;
};

} // namespace redwingwheel::jobs
