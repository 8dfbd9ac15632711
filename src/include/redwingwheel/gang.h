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

/// Gangs: the coordinator at the control leader and the member side at each agent. A release is
/// recorded before it is handed out, as a commit decision is in two-phase commit (Gray, 1978).
namespace redwingwheel::membership {

/// Start the task now, after `gang_participant::begin_start` has said yes at the act.
struct start_task {
    task_key task;
    std::uint64_t accelerator_mask = 0;
    std::uint32_t slots = 0;
    /// End of the task's first lease on this process's clock; sent on as remaining time.
    steady_time lease_deadline{};
};
struct checkpoint_task {
    task_key task;
    steady_time deadline{};
};
struct throttle_task {
    task_key task;
    std::uint32_t speed_percent = 100;
};
/// Stop the task; repeated until `task_ended` is called.
struct stop_task {
    task_key task;
    /// When an orderly stop must be over.
    steady_time deadline{};
};
/// Tell the backend server that the task's lease now ends at `lease_deadline`.
struct renew_lease {
    task_key task;
    steady_time lease_deadline{};
};
using gang_action =
    std::variant<start_task, checkpoint_task, throttle_task, stop_task, renew_lease>;

/// Faults that tests put in on purpose. All false in a daemon.
struct gang_participant_faults {
    bool ignore_epoch = false;
    bool ignore_incarnation = false;
    bool skip_check_at_act = false;
};

struct gang_participant_options {
    /// Slots of the backend server.
    std::uint32_t slots = 8;
    /// Accelerators of the worker, at most 64.
    std::uint32_t accelerators = 8;
    /// A task's lease ends this much before the permit's: the backend server counts a renewal from
    /// its arrival, so this bounds how long the delivery on one host may take.
    milliseconds delivery_allowance{50};
    /// Time between two stop actions for a task that has not ended.
    milliseconds stop_period{500};
    /// Ended attempts that are remembered, so that late commands for them do nothing.
    std::size_t remembered_ends = 4096;
    gang_participant_faults faults;
};

/// What a poll carries: the changes after version `from` up to `version`.
struct report_batch {
    std::uint64_t from = 0;
    std::uint64_t version = 0;
    std::vector<member_report> reports;
};

/// The agent's side: the only authority over the worker's slots and accelerators for tasks.
///
/// For each answer to a poll the caller first accepts the permit, then handles every command, in
/// order, before the next tick.
class gang_participant {
public:
    gang_participant(clock_function clock, permit_holder& permits, std::uint64_t incarnation,
                     gang_participant_options options = {});

    [[nodiscard]] std::vector<gang_action> handle(const gang_command& command);

    /// Ends reserves, stops tasks whose lease ran out, renews leases. Call it at least each 100 ms.
    [[nodiscard]] std::vector<gang_action> tick();

    /// Called by the executor immediately before it sends the start to the backend server. When
    /// false the task must not be started; its end as not_run is already noted.
    [[nodiscard]] bool begin_start(const task_key& task);

    void task_started(const task_key& task);
    void task_checkpointed(const task_key& task);
    /// Before the start was sent the outcome is not_run, whatever is given.
    void task_ended(const task_key& task, task_outcome outcome);

    /// State of every member. Ended members stay until acknowledged.
    [[nodiscard]] std::vector<member_report> reports() const;

    /// The same, without the members that have not changed since an answered poll. All members come
    /// again after a leader change, since the new leader has seen none.
    [[nodiscard]] report_batch changed_reports() const;

    /// Notes that the leader of `term` has answered a poll that carried the changes after `from` up
    /// to `version`. Ignored when that leader may not have seen the changes before.
    void reports_delivered(std::uint64_t from, std::uint64_t version, std::uint64_t term);

    /// True when a state changed since the last call; a poll sent at once then saves half a period.
    [[nodiscard]] bool take_changed();

    [[nodiscard]] std::uint64_t own_incarnation() const { return this->incarnation; }
    /// Accelerators that are reserved or in use.
    [[nodiscard]] std::uint64_t accelerators_in_use() const;
    [[nodiscard]] std::uint32_t slots_in_use() const;

private:
    enum class step { reserved, release_pending, starting, running, stopping, ended };

    struct task_state {
        step at = step::reserved;
        std::uint64_t accelerator_mask = 0;
        std::uint32_t slots = 0;
        /// End of the reserve, by which a release must have come.
        steady_time reserve_deadline{};
        /// The lease that the backend server has been told of; the task ends then at the latest.
        steady_time lease_deadline{};
        steady_time stop_deadline{};
        steady_time next_stop{};
        /// The start has been sent to the backend server.
        bool sent = false;
        bool expired = false;
        bool checkpoint_asked = false;
        bool checkpointed = false;
        std::uint32_t speed_percent = 100;
        task_outcome outcome = task_outcome::none;
        /// Counter of the member's changes at the last change of this task.
        std::uint64_t version = 0;
    };
    using actions = std::vector<gang_action>;

    void reserve(const gang_command& command);
    void release(const gang_command& command, actions& out);
    void stop(const gang_command& command, actions& out);
    void checkpoint(const gang_command& command, actions& out);
    void throttle(const gang_command& command, actions& out);
    void acknowledge(const gang_command& command);

    [[nodiscard]] bool addressed_here(const gang_command& command) const;
    [[nodiscard]] task_state* find(const task_key& task);
    [[nodiscard]] bool can_reserve(const gang_command& command) const;
    [[nodiscard]] bool remembered(const task_key& task) const;
    void remember(const task_key& task);
    void check_deadlines(const task_key& task, task_state& state, actions& out);
    void try_start(const task_key& task, task_state& state, actions& out);
    [[nodiscard]] steady_time task_lease_deadline() const;
    void begin_stop(const task_key& task, task_state& state, steady_time deadline, actions& out);
    void end(const task_key& task, task_state& state, task_outcome outcome);
    void note_change(task_state& state);
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
    std::set<task_key> ends;
    std::deque<task_key> ends_in_order;
};

struct gang_options {
    permit_options permits;
    /// Life of a reserve.
    milliseconds reserve_life{2000};
    /// All members must be ready this long before the reserve ends: one poll, a commit and delays.
    milliseconds release_window{600};
    /// Time from the applied release until every member must have reported running: what is left of
    /// the reserve, one poll and delays.
    milliseconds start_limit{1500};
};

struct gang_statistics {
    std::uint64_t released = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t broken = 0;
    std::uint64_t ended = 0;
    /// Broken gangs of which some members ran while others did not, as seen at the leader.
    std::uint64_t overlaps = 0;
    /// Overlaps longer than the bound: start limit or detection of the loss, then one permit life.
    std::uint64_t overlaps_over_bound = 0;
    milliseconds longest_overlap{0};
    /// Longest time between the first and the last running member of a gang that became whole.
    milliseconds longest_start_skew{0};
    std::uint64_t unknown_reports = 0;
};

enum class gang_phase { reserving, recording, released, running, stopping, ending, abandoning };
[[nodiscard]] std::string_view to_text(gang_phase phase);

struct gang_view {
    std::string job;
    std::uint64_t epoch = 0;
    gang_phase phase = gang_phase::reserving;
    std::vector<gang_member_record> members;
};

/// The leader's side. The caller logs what `take_proposals` returns, in order, and calls `applied`
/// for each once it is committed. A coordinator whose leadership ended is discarded or restored.
class gang_coordinator {
public:
    explicit gang_coordinator(clock_function clock, gang_options options = {});

    /// Begins a leadership in `term` from the logged state. Gangs that were not released are
    /// abandoned; every worker is assumed to have got a permit from the former leader a moment ago.
    void restore(std::uint64_t term, std::span<const gang_record> gangs);

    /// Begins to reserve. An epoch must never be used twice for a job, by any leader: log the
    /// placement first. Errors: malformed_gang, gang_exists (the job has a live gang),
    /// cells_in_use.
    [[nodiscard]] absl::Status place(std::string_view job, std::uint64_t epoch,
                                     std::vector<gang_member_record> members);

    /// Takes one report of an accepted poll of `worker`.
    void on_report(std::string_view worker, std::uint64_t incarnation, const member_report& report);
    void on_worker_lost(std::string_view worker);
    void on_worker_incarnation(std::string_view worker, std::uint64_t incarnation);

    /// Asks the members to checkpoint until `checkpoint_deadline` and stops them then, or earlier
    /// when all have; an orderly stop may take until `stop_deadline`. A repeated call can only
    /// bring the checkpoint's deadline forward. Unknown jobs are ignored.
    void reclaim(std::string_view job, steady_time checkpoint_deadline, steady_time stop_deadline);
    void cancel(std::string_view job);
    void throttle(std::string_view job, std::uint32_t speed_percent);
    void tick();

    /// The commands for the answer to a poll, which also carries a permit: notes that the worker's
    /// lease begins anew now. Stops come before reserves.
    [[nodiscard]] std::vector<gang_command> commands_for(std::string_view worker,
                                                         std::uint64_t incarnation);
    /// Notes that a permit left for `worker` by another way than an answer to its poll.
    void note_grant(std::string_view worker);

    [[nodiscard]] std::vector<gang_proposal> take_proposals();
    void applied(const gang_proposal& record);

    [[nodiscard]] const gang_statistics& statistics() const { return this->counts; }
    [[nodiscard]] std::vector<gang_view> list() const;
    [[nodiscard]] bool contains(std::string_view job) const;

private:
    enum class member_step { reserving, ready, running, ended };

    struct worker_state;
    struct member_state {
        gang_member_record record;
        /// Entries of workers stay until the next restore.
        worker_state* home = nullptr;
        member_step at = member_step::reserving;
        bool lost = false;
        bool checkpointed = false;
        std::uint32_t speed_percent = 100;
        /// Set when the agent restarted: end of the lease of the former incarnation.
        std::optional<steady_time> former_lease_end;
    };
    struct gang_state {
        std::uint64_t epoch = 0;
        gang_phase phase = gang_phase::reserving;
        std::vector<member_state> members;
        steady_time reserve_deadline{};
        steady_time start_deadline{};
        std::optional<steady_time> checkpoint_deadline;
        std::optional<steady_time> stop_deadline;
        /// Why the gang stops; set once.
        std::optional<gang_end_reason> reason;
        std::uint32_t speed_percent = 100;
        bool broken = false;
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
        /// By job. Kept per worker so that a poll costs no more for a larger gang.
        std::map<std::string, local_members, std::less<>> jobs;
        /// Answers to reports of gangs that are not known.
        std::vector<gang_command> replies;
    };
    using gang_map = std::map<std::string, gang_state, std::less<>>;

    [[nodiscard]] worker_state& worker_entry(std::string_view worker);
    [[nodiscard]] bool cells_free(std::span<const gang_member_record> members) const;
    void link_workers(std::string_view job, gang_state& gang);
    void remove(gang_map::iterator gang);

    void reply_to_unknown(worker_state& worker, const member_report& report);
    /// True when the report changed what is known of the member.
    static bool note_report(member_state& member, std::uint64_t incarnation,
                            const member_report& report);
    void change_incarnation(worker_state& worker, std::uint64_t incarnation);
    void evaluate(const std::string& job, gang_state& gang);
    void evaluate_reserving(const std::string& job, gang_state& gang);
    void evaluate_released(const std::string& job, gang_state& gang);
    void evaluate_stopping(const std::string& job, gang_state& gang);
    void note_ended_leases(gang_state& gang);
    void note_overlap(gang_state& gang);
    void close_overlap(gang_state& gang);

    void abandon(const std::string& job, gang_state& gang, gang_end_reason reason);
    void break_gang(const std::string& job, gang_state& gang, gang_end_reason reason);
    void stop_whole(const std::string& job, gang_state& gang, gang_end_reason reason);
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
