#pragma once

#include <map>
#include <memory>
#include <string>

#include "redwingwheel/group_service.h"
#include "redwingwheel/job_messages.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/metrics.h"

namespace redwingwheel::jobs {

/// Carries the job state on the group's log and, on the leader, the scheduling decisions. Serves
/// supervisors and gateways. Lives on the control thread.
class scheduler_service : public kernel::service {
public:
    scheduler_service(const scheduler_options& options, cluster::group_service& group,
                      kernel::control_loop& control_loop, metrics::registry& counters);

    [[nodiscard]] std::string_view name() const override { return "scheduler"; }
    [[nodiscard]] absl::Status start() override;
    void stop() override;

private:
    using answer_function = cluster::group_service::answer_function;
    using command_done = std::function<void(absl::StatusOr<command_result>)>;

    /// A supervisor's poll that waits for news.
    struct waiting_poll {
        messages::worker_poll poll;
        answer_function answer;
        steady_time answer_by;
    };

    void apply(std::uint64_t index, const std::string& command);
    void log_ended_jobs(const record_ended_runs& command) const;
    void on_leadership(bool leads, std::uint64_t term);
    void propose(const job_command& command, command_done done);

    void serve_poll(const wire::incoming_request& request, const answer_function& answer);
    void take_ends(const worker_incarnation& worker, const std::vector<ended_run>& ended_runs);
    void take_refusals(const messages::worker_poll& poll);
    [[nodiscard]] messages::worker_poll_answer make_answer(const worker_incarnation& worker) const;
    void answer_polls();

    void serve_call(const wire::incoming_request& request, const answer_function& answer);
    void serve_submit(const messages::job_call& call, const answer_function& answer);
    void serve_read(const messages::job_call& call, const answer_function& answer);
    void serve_change(const messages::job_call& call, const job_command& change,
                      const answer_function& answer);
    [[nodiscard]] command_result check_caller(const messages::job_call& call) const;

    void tick();
    void decide();
    void log_waiting(const std::vector<waiting_step>& waiting);
    void advance_time();

    cluster::group_service& group;
    kernel::control_loop& loop;
    metrics::registry& metrics;
    job_state state;
    scheduler decisions;
    std::map<std::uint64_t, command_result> results;
    std::map<std::string, waiting_poll> polls;
    std::map<worker_incarnation, std::uint64_t> proposed_ends;
    std::map<run_id, steady_time> proposed_releases;
    std::uint64_t term = 0;
    bool leading = false;
    bool stopping = false;
    bool changed = false;
    /// Commands of the last round of decisions that are not committed yet.
    std::size_t undecided = 0;
    steady_time next_full_round;
    steady_time next_time_check;
    steady_time next_clean_up;
    /// Steps that waited in the last round, and why.
    std::map<task_id, wait_reason> logged_waits;
};

} // namespace redwingwheel::jobs
