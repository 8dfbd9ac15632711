#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/control_state.h"
#include "redwingwheel/gang.h"
#include "redwingwheel/messages.h"
#include "redwingwheel/permit.h"
#include "redwingwheel/placement.h"
#include "redwingwheel/worker_table.h"

namespace redwingwheel::control {

using command_callback = std::function<void(absl::StatusOr<command_result>)>;

struct controller_hooks {
    /// Proposes a command to the log; `done` receives the result of applying it, or an error.
    std::function<void(const command&, command_callback done)> propose;
    /// Milliseconds since the Unix epoch, for timestamps shown to users and for the age of claims.
    std::function<std::int64_t()> wall_clock_ms;
};

struct controller_options {
    membership::permit_options permits;
    membership::gang_options gangs;
    placement::engine_options placement;
    /// A worker that has not polled for this long is taken as gone for good: its open claims end as
    /// unknown.
    milliseconds worker_gone_after{600'000};
};

/// Latest poll of an agent or entry and the configuration revision it reported as in force.
struct process_view {
    std::string name;
    std::string role;
    std::string data_centre;
    std::uint64_t revision = 0;
    steady_time last_poll;
};

/// Makes the leader's decisions from the applied state: permits, liveness of workers, placement and
/// gangs. It runs on the control thread, does no I/O, and acts through proposed commands and the
/// answers to polls.
class controller {
public:
    controller(const controller_options& chosen, clock_function clock_source,
               const control_state& applied_state, controller_hooks callbacks);

    /// Called when this replica leads and has applied every entry of earlier terms.
    void begin_leadership(std::uint64_t leader_term);
    void end_leadership();
    [[nodiscard]] bool leading() const { return this->is_leading; }

    /// Called on every replica after each command was applied to the state.
    void applied(const command& of, const command_result& result, std::uint64_t index);
    /// Called on every replica after the state was replaced by a snapshot.
    void state_replaced();

    /// Returns no answer for a replayed or reordered poll, which must not be answered.
    [[nodiscard]] std::optional<messages::agent_poll_answer> poll(const messages::agent_poll& from);
    [[nodiscard]] messages::entry_poll_answer poll(const messages::entry_poll& from);

    /// Proposes the submission of a job, or refuses it at once with the reason when it can never be
    /// placed.
    void submit(const job_description& job, command_callback done);

    /// Returns whether a poll has brought gang reports that differ from the worker's previous ones,
    /// and resets the flag. The caller then runs a decision round at once instead of at its period.
    [[nodiscard]] bool take_reports_changed()
    {
        return std::exchange(this->reports_changed, false);
    }

    /// Runs one decision round: handles elapsed timeouts and places jobs. Call it at least every
    /// 100 ms.
    void tick();

    [[nodiscard]] const placement::engine& placement_engine() const { return *this->engine; }
    [[nodiscard]] membership::withdrawal_state withdrawal(std::string_view data_centre) const;
    [[nodiscard]] const membership::gang_coordinator& gangs() const { return this->coordinator; }
    [[nodiscard]] std::vector<process_view> processes() const;
    [[nodiscard]] bool worker_lost(std::string_view worker) const;
    [[nodiscard]] bool worker_shutting_down(std::string_view worker) const;
    /// True when `processes` lists every process that may hold a permit: all permits of the former
    /// leader have ended.
    [[nodiscard]] bool knows_all_processes() const;
    /// True when no permit of the process can still be valid, including the clock drift margin.
    [[nodiscard]] bool permit_has_ended(const process_view& process) const;

private:
    /// A row of the agent table that entries receive.
    struct agent_row {
        messages::agent_state agent;
        /// Table version of the latest change; 0 before the first.
        std::uint64_t version = 0;
        std::uint64_t reports_digest = 0;
    };

    void on_applied(const apply_release_note& of, const command_result& result,
                    std::uint64_t index);
    void on_applied(const set_data_centre& of, const command_result& result, std::uint64_t index);
    void on_applied(const announce_worker& of, const command_result& result, std::uint64_t index);
    void on_applied(const submit_job& of, const command_result& result, std::uint64_t index);
    void on_applied(const cancel_job& of, const command_result& result, std::uint64_t index);
    void on_applied(const end_job& of, const command_result& result, std::uint64_t index);
    void on_applied(const place_job& of, const command_result& result, std::uint64_t index);
    void on_applied(const apply_gang_proposal& of, const command_result& result,
                    std::uint64_t index);
    void on_applied(const apply_claim_command&, const command_result&, std::uint64_t) {}
    void on_applied(const record_usage&, const command_result&, std::uint64_t) {}
    void on_applied(const remove_withdrawn&, const command_result&, std::uint64_t) {}

    void update_data_centres();
    void add_worker(const messages::worker_announcement& worker);
    void update_guarantees();
    /// Updates the guarantees when the day changes, and removes withdrawn services and accounts
    /// that have no work left.
    void review_configuration();
    [[nodiscard]] bool has_open_job(std::string_view account, std::string_view service) const;
    void restore_jobs();
    void handle_lost_workers();
    void end_claims_of_replaced_incarnations();
    void mark_claims_unknown(const std::string& worker, std::uint64_t incarnation);
    void handle_announcement(const messages::agent_poll& from, messages::agent_poll_answer& answer);
    void handle_usage(const messages::agent_poll& from, messages::agent_poll_answer& answer);
    void update_row(const messages::agent_poll& from);
    void increment_version(agent_row& row);
    void describe_tasks(messages::agent_poll_answer& answer) const;
    void record_process(std::string_view name, std::string_view role, std::string_view data_centre,
                        std::uint64_t revision);
    void place_jobs();
    void carry_out(const placement::start_gang& action);
    void carry_out(const placement::reclaim_gang& action);
    void carry_out(const placement::move_gang& action);
    void carry_out(const placement::refuse_job& action);
    void stop_gang(const std::string& job, steady_time checkpoint, steady_time stop);
    void on_gang_ended(const membership::gang_ended& ended);
    void release_cells(std::string_view job, bool checkpointed);
    void propose(const command& of);

    controller_options options;
    clock_function clock;
    const control_state& state;
    controller_hooks hooks;
    bool is_leading = false;
    steady_time former_permits_end;
    std::uint64_t term = 0;
    membership::permit_granter granter;
    membership::worker_table workers;
    membership::gang_coordinator coordinator;
    std::unique_ptr<placement::engine> engine;
    std::map<std::string, agent_row, std::less<>> agent_table;
    std::uint64_t table_version = 0;
    bool reports_changed = false;
    std::map<std::string, process_view, std::less<>> process_views;
    /// Deadlines of a stop that was requested before the placement was applied.
    struct pending_stop {
        steady_time checkpoint_deadline;
        steady_time stop_deadline;
    };
    std::map<std::string, pending_stop, std::less<>> pending_stops;
    std::set<std::string, std::less<>> pending_announcements;
    std::set<std::string, std::less<>> pending_usage_records;
    /// Lost workers whose open claims were marked unknown.
    std::set<std::string, std::less<>> marked_gone;
    /// A worker incarnation that another one has superseded. A delayed poll of an older process can
    /// look like a new incarnation, so the claims end only when the worker has not polled again as
    /// this incarnation within the lifetime of a permit.
    struct replaced_incarnation {
        std::string worker;
        std::uint64_t incarnation = 0;
        steady_time deadline;
    };
    std::vector<replaced_incarnation> replaced_incarnations;
    steady_time next_review;
    std::chrono::sys_days guarantees_day;
};

/// The guarantees of the configured agreements, ordered by the start of their term. With `now_ms`
/// (Unix milliseconds) only those in term on that day in UTC; without it, as in the check of a
/// release note, all of them.
[[nodiscard]] std::vector<placement::guarantee>
guarantees_of(const config::configuration& configuration, std::optional<std::int64_t> now_ms);

/// Returns one problem for each agreement that the announced inventory cannot satisfy together with
/// the others; empty when it can satisfy all.
[[nodiscard]] std::vector<config::problem>
check_feasibility(const config::configuration& proposed,
                  const std::vector<messages::worker_announcement>& inventory);

} // namespace redwingwheel::control
