#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/gang_messages.h"
#include "redwingwheel/permit.h"

/// Gangs: groups of tasks that start together. The coordinator runs at the control leader, a
/// participant at each agent. As with the commit decision in two-phase commit (Gray, 1978), the
/// release of a gang is logged before it is sent.
namespace redwingwheel::membership {

/// Start the task now, provided that `gang_participant::begin_start` returns true just before.
struct start_task {
    task_key task;
    std::uint64_t accelerator_mask = 0;
    std::uint32_t slots = 0;
    /// End of the task's first lease on this process's clock; sent on as remaining time.
    steady_time lease_deadline{};
};
/// Tell the task to write a checkpoint by `deadline`.
struct checkpoint_task {
    task_key task;
    steady_time deadline{};
};
/// Set the task's speed.
struct throttle_task {
    task_key task;
    /// Share of the full speed, 1 to 100.
    std::uint32_t speed_percent = 100;
};
/// Stop the task; repeated until `task_ended` is called.
struct stop_task {
    task_key task;
    /// End of the time for an orderly stop.
    steady_time deadline{};
};
/// Tell the backend server that the task's lease now ends at `lease_deadline`.
struct renew_lease {
    task_key task;
    steady_time lease_deadline{};
};
using gang_action =
    std::variant<start_task, checkpoint_task, throttle_task, stop_task, renew_lease>;

/// Faults that tests inject to show that their checks detect a broken rule. All false in a daemon.
struct gang_participant_faults {
    bool ignore_epoch = false;
    bool ignore_incarnation = false;
    bool skip_check_before_start = false;
};

struct gang_participant_options {
    /// Slots of the backend server.
    std::uint32_t slots = 8;
    /// Accelerators of the worker, at most 64.
    std::uint32_t accelerators = 8;
    /// A task's lease ends this long before the permit's lease. The backend server measures a
    /// renewal from its arrival, so this is the longest time that its delivery on one host may
    /// take.
    milliseconds delivery_allowance{50};
    /// Time between two stop actions for a task that has not ended.
    milliseconds stop_retry_period{500};
    /// Number of ended tasks that are kept, so that delayed commands for them have no effect.
    std::size_t max_ended_tasks = 4096;
    gang_participant_faults faults;
};

/// Reports for a poll: the tasks that changed after version `from` up to `version`, and all ended
/// ones.
struct report_batch {
    std::uint64_t from = 0;
    std::uint64_t version = 0;
    std::vector<member_report> reports;
};

/// The agent's side: alone decides which task holds which slots and accelerators of the worker.
///
/// For each answer to a poll the caller first accepts the permit, then handles every command, in
/// order, before the next tick.
class gang_participant {
public:
    gang_participant(clock_function clock, permit_holder& permits, std::uint64_t incarnation,
                     gang_participant_options options = {});

    /// Ignores commands of an older term or for another incarnation.
    [[nodiscard]] std::vector<gang_action> handle(const gang_command& command);

    /// Ends expired reservations, stops tasks whose lease has expired, renews leases and repeats
    /// stop actions. Call it at least every 100 ms.
    [[nodiscard]] std::vector<gang_action> tick();

    /// Called by the executor immediately before it sends the start to the backend server. When
    /// false the task must not be started; a task that was due to start has then ended as not_run.
    [[nodiscard]] bool begin_start(const task_key& task);

    void task_started(const task_key& task);
    void task_checkpointed(const task_key& task);
    /// When the start has not been sent, the outcome is recorded as not_run whatever is given. No
    /// effect on a task that is not starting yet or has ended.
    void task_ended(const task_key& task, task_outcome outcome);

    /// State of every task. Ended tasks are included until acknowledged.
    [[nodiscard]] std::vector<member_report> reports() const;

    /// The same without the tasks that have not changed since the last answered poll; ended tasks
    /// are always included. After a leader change every task is reported again, since the new
    /// leader has received none.
    [[nodiscard]] report_batch changed_reports() const;

    /// Records that the leader of `term` answered a poll with the changes after `from` up to
    /// `version`. Ignored when that leader may not have seen the changes before `from`.
    void reports_delivered(std::uint64_t from, std::uint64_t version, std::uint64_t term);

    /// True when a state changed since the last call. Polling at once then reports the change half
    /// a poll period earlier on average.
    [[nodiscard]] bool take_changed();

    [[nodiscard]] std::uint64_t own_incarnation() const { return this->incarnation; }
    /// Accelerators that are reserved or in use, one bit each.
    [[nodiscard]] std::uint64_t accelerators_in_use() const;
    [[nodiscard]] std::uint32_t slots_in_use() const;

private:
    enum class task_phase { reserved, release_pending, starting, running, stopping, ended };

    struct task_state {
        task_phase phase = task_phase::reserved;
        std::uint64_t accelerator_mask = 0;
        std::uint32_t slots = 0;
        /// End of the reservation; the task must have been released and started by then.
        steady_time reservation_deadline{};
        /// End of the lease last sent to the backend server, which ends the task then at the
        /// latest.
        steady_time lease_deadline{};
        steady_time stop_deadline{};
        steady_time next_stop{};
        /// The start has been sent to the backend server.
        bool start_sent = false;
        /// The reservation expired before the task started.
        bool expired = false;
        bool checkpoint_requested = false;
        bool checkpointed = false;
        std::uint32_t speed_percent = 100;
        task_outcome outcome = task_outcome::none;
        /// Value of `gang_participant::version` at the last change of this task.
        std::uint64_t version = 0;
    };
    using actions = std::vector<gang_action>;

    void reserve(const gang_command& command);
    void release(const gang_command& command, actions& out);
    void stop(const gang_command& command, actions& out);
    void checkpoint(const gang_command& command, actions& out);
    void throttle(const gang_command& command, actions& out);
    void acknowledge(const gang_command& command);

    [[nodiscard]] bool is_addressee(const gang_command& command) const;
    [[nodiscard]] task_state* find(const task_key& task);
    [[nodiscard]] bool can_reserve(const gang_command& command) const;
    /// Whether the task is among the last `max_ended_tasks` that ended here.
    [[nodiscard]] bool has_ended(const task_key& task) const;
    void record_ended(const task_key& task);
    void check_deadlines(const task_key& task, task_state& state, actions& out);
    void try_start(const task_key& task, task_state& state, actions& out);
    [[nodiscard]] steady_time task_lease_deadline() const;
    void begin_stop(const task_key& task, task_state& state, steady_time deadline, actions& out);
    void end(const task_key& task, task_state& state, task_outcome outcome);
    void mark_changed(task_state& state);
    [[nodiscard]] static member_report report_of(const task_key& task, const task_state& state);

    clock_function clock;
    permit_holder& permits;
    std::uint64_t incarnation;
    gang_participant_options options;
    std::uint64_t highest_term = 0;
    bool changed = false;
    std::uint64_t version = 0;
    std::uint64_t delivered_version = 0;
    std::uint64_t delivered_term = 0;
    std::map<task_key, task_state> tasks;
    std::set<task_key> ended_tasks;
    std::deque<task_key> ended_tasks_in_order;
};

struct gang_options {
    permit_options permits;
    /// Lifetime of a reservation.
    milliseconds reservation_lifetime{2000};
    /// All members must be ready this long before the reservation ends: one poll, a commit and
    /// message delays.
    milliseconds release_margin{600};
    /// Time from the applied release until every member must have reported running: the rest of the
    /// reservation, one poll and message delays.
    milliseconds start_timeout{1500};
};

/// Counted since the coordinator was constructed; `restore` does not reset it.
struct gang_statistics {
    std::uint64_t released = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t broken = 0;
    std::uint64_t ended = 0;
    /// Broken gangs of which some members ran while others did not, as reported to the leader.
    std::uint64_t partial_runs = 0;
    /// Partial runs longer than the bound: the start timeout or the detection of a lost member,
    /// then one permit lifetime.
    std::uint64_t partial_runs_over_bound = 0;
    milliseconds longest_partial_run{0};
    /// Longest time from the first to the last member reported running, over gangs that started
    /// completely.
    milliseconds longest_start_skew{0};
    /// Reports of tasks that have not ended but belong to no live gang.
    std::uint64_t unknown_reports = 0;
};

/// Phase of a gang at the coordinator. While recording, ending or abandoning, the record
/// gang_released, gang_ended or gang_abandoned is being committed. A gang is running once every
/// member has reported running or has ended as done.
enum class gang_phase { reserving, recording, released, running, stopping, ending, abandoning };
[[nodiscard]] std::string_view to_text(gang_phase phase);

/// A live gang, for callers.
struct gang_view {
    std::string job;
    std::uint64_t epoch = 0;
    gang_phase phase = gang_phase::reserving;
    std::vector<gang_member_record> members;
};

/// The leader's side. The caller logs the records that `take_proposals` returns, in order, and
/// calls `applied` for each once it is committed. When leadership ends, the coordinator is
/// discarded or restored.
class gang_coordinator {
public:
    explicit gang_coordinator(clock_function clock, gang_options options = {});

    /// Begins a leadership in `term` from the logged state. Gangs that were not released are
    /// abandoned. Every worker is assumed to have received a permit from the former leader just
    /// now.
    void restore(std::uint64_t term, std::span<const gang_record> gangs);

    /// Begins to reserve slots and accelerators for a gang. No leader may use an epoch twice for a
    /// job, so the placement is logged first. Errors: malformed_gang (no job, no members or a
    /// member without a worker), gang_exists (the job has a live gang), cells_in_use (an
    /// accelerator is named twice or belongs to a live gang).
    [[nodiscard]] absl::Status place(std::string_view job, std::uint64_t epoch,
                                     std::vector<gang_member_record> members);

    /// Handles one report from an accepted poll of `worker`.
    void on_report(std::string_view worker, std::uint64_t incarnation, const member_report& report);
    /// Marks the members on `worker`, which has stopped polling, as lost.
    void on_worker_lost(std::string_view worker);
    /// Marks the members of another incarnation on `worker` as lost.
    void on_worker_incarnation(std::string_view worker, std::uint64_t incarnation);

    /// Asks the members to write checkpoints by `checkpoint_deadline` and stops them at that time,
    /// or earlier when all have written one; an orderly stop may take until `stop_deadline`. A gang
    /// that is not running completely is stopped at once. A repeated call can only bring the
    /// checkpoint deadline forward. Unknown jobs are ignored.
    void reclaim(std::string_view job, steady_time checkpoint_deadline, steady_time stop_deadline);
    /// Stops the gang. Unknown jobs are ignored.
    void cancel(std::string_view job);
    /// Sets the speed of the members, limited to 1 to 100 percent. Unknown jobs are ignored.
    void throttle(std::string_view job, std::uint32_t speed_percent);
    /// Checks all deadlines and leases.
    void tick();

    /// The commands for the answer to a poll. The answer also carries a permit, so the worker's
    /// lease is taken to begin anew now. Commands that free accelerators come before reservations.
    [[nodiscard]] std::vector<gang_command> commands_for(std::string_view worker,
                                                         std::uint64_t incarnation);
    /// Records that a permit was sent to `worker` by other means than the answer to a poll.
    void record_grant(std::string_view worker);

    /// The records to log since the last call, in order.
    [[nodiscard]] std::vector<gang_proposal> take_proposals();
    /// Applies a committed record. A gang that is not live in its epoch is left unchanged.
    void applied(const gang_proposal& record);

    [[nodiscard]] const gang_statistics& statistics() const { return this->counts; }
    [[nodiscard]] std::vector<gang_view> list() const;
    [[nodiscard]] bool contains(std::string_view job) const;

private:
    enum class member_phase { reserving, ready, running, ended };

    struct worker_state;
    struct member_state {
        gang_member_record record;
        /// Points into `workers`, whose entries are kept until the next restore.
        worker_state* worker = nullptr;
        member_phase phase = member_phase::reserving;
        bool lost = false;
        bool checkpointed = false;
        std::uint32_t speed_percent = 100;
        /// Set when the agent restarted: time by which the lease of the former incarnation has
        /// expired.
        std::optional<steady_time> former_lease_end;
    };
    struct gang_state {
        std::uint64_t epoch = 0;
        gang_phase phase = gang_phase::reserving;
        std::vector<member_state> members;
        steady_time reservation_deadline{};
        steady_time start_deadline{};
        std::optional<steady_time> checkpoint_deadline;
        std::optional<steady_time> stop_deadline;
        /// Why the gang stops; set once.
        std::optional<gang_end_reason> reason;
        std::uint32_t speed_percent = 100;
        bool broken = false;
        /// Since when some members run while others do not.
        std::optional<steady_time> partial_since;
    };
    /// Members of one gang on one worker.
    struct local_members {
        gang_state* gang = nullptr;
        std::vector<std::uint32_t> indexes;
    };
    struct worker_state {
        std::uint64_t incarnation = 0;
        steady_time last_grant{};
        /// Members on this worker by job, so that the cost of a poll does not depend on the size of
        /// the gangs.
        std::map<std::string, local_members, std::less<>> jobs;
        /// Answers to reports of gangs that are not known.
        std::vector<gang_command> replies;
    };
    using gang_map = std::map<std::string, gang_state, std::less<>>;

    [[nodiscard]] worker_state& find_or_add_worker(std::string_view worker);
    [[nodiscard]] bool accelerators_free(std::span<const gang_member_record> members) const;
    void index_by_worker(std::string_view job, gang_state& gang);
    void remove(gang_map::iterator gang);

    void reply_to_unknown(worker_state& worker, const member_report& report);
    /// True when the report changed the member's phase or its checkpoint state.
    static bool apply_report(member_state& member, std::uint64_t incarnation,
                             const member_report& report);
    void change_incarnation(worker_state& worker, std::uint64_t incarnation);
    void evaluate(const std::string& job, gang_state& gang);
    void evaluate_reserving(const std::string& job, gang_state& gang);
    void evaluate_released(const std::string& job, gang_state& gang);
    void evaluate_stopping(const std::string& job, gang_state& gang);
    void end_expired_members(gang_state& gang);
    void update_partial_run(gang_state& gang);
    void finish_partial_run(gang_state& gang);

    void abandon(const std::string& job, gang_state& gang, gang_end_reason reason);
    void break_gang(const std::string& job, gang_state& gang, gang_end_reason reason);
    void stop_gang(const std::string& job, gang_state& gang, gang_end_reason reason);
    void propose_end(const std::string& job, gang_state& gang, gang_end_reason reason);

    void apply_released(const gang_released& record);
    void append_commands(const std::string& job, const local_members& members,
                         std::vector<gang_command>& out) const;
    [[nodiscard]] std::optional<gang_command> command_for(const gang_state& gang,
                                                          const member_state& member) const;

    clock_function clock;
    gang_options options;
    std::uint64_t term = 0;
    gang_map gangs;
    std::map<std::string, worker_state, std::less<>> workers;
    std::vector<gang_proposal> proposals;
    gang_statistics counts;
};

} // namespace redwingwheel::membership
