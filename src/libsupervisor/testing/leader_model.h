#pragma once

#include <map>
#include <memory>
#include <string>

#include "redwingwheel/fencing_tokens.h"
#include "redwingwheel/job_messages.h"
#include "redwingwheel/scheduler.h"

namespace redwingwheel::jobs::testing {

struct leader_hooks {
    /// Calls `done` once the command is committed and applied, or with an error when it may be
    /// lost.
    std::function<void(const job_command&,
                       std::function<void(absl::StatusOr<command_result>)> done)>
        propose;
    /// False for a leader that has lost its majority and is not aware of it yet.
    std::function<bool()> leads;
    std::function<std::int64_t()> unix_ms;
};

/// The leader's part of jobs::scheduler_service, without its metrics and its log: serves polls and
/// carries out the decisions of the scheduler during one term.
class leader_model {
public:
    using poll_done = std::function<void(absl::StatusOr<messages::worker_poll_answer>)>;

    /// `committed` is the state at the beginning of the term.
    leader_model(const scheduler_options& options, clock_function now, leader_hooks callbacks,
                 std::uint64_t leader_term, job_state committed);

    /// Applies a committed command to this replica.
    command_result apply(const job_command& command);
    void serve_poll(messages::worker_poll poll, poll_done done);
    void tick();
    /// Ends the term: fails the waiting polls.
    void abandon();

    [[nodiscard]] const job_state& jobs() const { return this->state; }
    [[nodiscard]] std::uint64_t served_polls() const { return this->served; }

private:
    struct waiting_poll {
        messages::worker_poll poll;
        poll_done done;
        steady_time answer_deadline;
        bool current = false; ///< The report on the worker is not outdated.
    };

    void record_report(const messages::worker_poll& poll);
    void propose_ended_runs(const worker_incarnation& worker,
                            const std::vector<ended_run>& ended_runs);
    void release_refused_starts(const messages::worker_poll& poll);
    [[nodiscard]] messages::worker_poll_answer
    build_poll_answer(const messages::worker_poll& poll) const;
    [[nodiscard]] std::vector<worker_incarnation>
    recorded_incarnations(const messages::worker_poll& poll) const;
    [[nodiscard]] bool has_recorded_ends(const messages::worker_poll& poll) const;
    [[nodiscard]] std::vector<messages::issued_token> issue_tokens(const waiting_poll& waiting);
    void answer_polls();
    void decide();

    clock_function clock;
    leader_hooks hooks;
    std::uint64_t term;
    job_state state;
    scheduler job_scheduler;
    fencing_tokens tokens;
    std::map<std::string, waiting_poll> polls;
    std::map<worker_incarnation, std::uint64_t> proposed_end_numbers;
    std::map<run_id, steady_time> proposed_releases;
    std::uint64_t served = 0;
    bool state_changed = true;
    std::size_t uncommitted_decisions = 0;
    steady_time next_full_round;
};

} // namespace redwingwheel::jobs::testing
