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
    /// Proposes a command to the log; `done` gets what applying it answered.
    std::function<void(const command&, command_callback done)> propose;
    /// Milliseconds since the Unix epoch, for people and for the age of claims.
    std::function<std::int64_t()> wall_clock_ms;
};

struct controller_options {
    membership::permit_options permits;
    membership::gang_options gangs;
    placement::engine_options placement;
    /// A worker silent for this long is taken as gone for good: its open claims become unknown.
    milliseconds worker_gone_after{600'000};
};

/// Revision that a process has reported as in force.
struct process_view {
    std::string name;
    std::string role;
    std::string data_centre;
    std::uint64_t revision = 0;
    steady_time last_poll;
};

/// The leader's decisions over the applied state: permits, liveness, placement and gangs. Pure
/// code on the control thread; it acts through proposals and through the answers to polls.
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

    /// Empty for a replayed poll, which must not be answered.
    [[nodiscard]] std::optional<messages::agent_poll_answer> poll(const messages::agent_poll& from);
    [[nodiscard]] messages::entry_poll_answer poll(const messages::entry_poll& from);

    /// Accepts a job, or refuses it at once with the reason when it can never run.
    void submit(const job_description& job, command_callback done);

    /// True once after a poll brought reports that differ from the worker's last ones: a turn of
    /// decisions is then worth its cost at once rather than at its period.
    [[nodiscard]] bool take_reports_changed()
    {
        return std::exchange(this->reports_changed, false);
    }

    /// Acts on the time; call it every 100 ms.
    void tick();

    [[nodiscard]] const placement::engine& placement_engine() const { return *this->engine; }
    [[nodiscard]] membership::withdrawal_state withdrawal(std::string_view data_centre) const;
    [[nodiscard]] const membership::gang_coordinator& gangs() const { return this->coordinator; }
    [[nodiscard]] std::vector<process_view> processes() const;
    [[nodiscard]] bool worker_lost(std::string_view worker) const;
    [[nodiscard]] bool worker_shutting_down(std::string_view worker) const;
    /// True when every process that may hold a permit has polled this leader, or its permit from
    /// the former leader has ended.
    [[nodiscard]] bool knows_all_processes() const;
    /// True when no permit of the process can be valid any more.
    [[nodiscard]] bool permit_has_ended(const process_view& of) const;

private:
    struct agent_row {
        messages::agent_state entry;
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

    void note_data_centres();
    void add_worker(const messages::worker_announcement& worker);
    void update_guarantees();
    /// Follows the terms of agreements and frees the names of withdrawn things without work.
    void review_configuration();
    [[nodiscard]] bool has_open_job(std::string_view account, std::string_view service) const;
    void restore_jobs();
    void lose_workers();
    void end_claims_of_replaced();
    void mark_claims_unknown(const std::string& worker, std::uint64_t incarnation);
    void take_announcement(const messages::agent_poll& from, messages::agent_poll_answer& answer);
    void take_usage(const messages::agent_poll& from, messages::agent_poll_answer& answer);
    void update_row(const messages::agent_poll& from);
    void touch(agent_row& row);
    void describe_tasks(messages::agent_poll_answer& answer) const;
    void note_process(std::string_view name, std::string_view role, std::string_view data_centre,
                      std::uint64_t revision);
    void place_jobs();
    void act(const placement::start_gang& what);
    void act(const placement::reclaim_gang& what);
    void act(const placement::move_gang& what);
    void act(const placement::refuse_job& what);
    void stop_gang(const std::string& job, steady_time checkpoint, steady_time stop);
    void note_gang_end(const membership::gang_ended& step);
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
    std::map<std::string, agent_row, std::less<>> rows;
    std::uint64_t table_version = 0;
    bool reports_changed = false;
    std::map<std::string, process_view, std::less<>> process_views;
    /// Stops asked for before the placement was applied.
    struct early_stop {
        steady_time checkpoint_deadline;
        steady_time stop_deadline;
    };
    std::map<std::string, early_stop, std::less<>> early_stops;
    std::set<std::string, std::less<>> announcing;
    std::set<std::string, std::less<>> recording_usage;
    std::set<std::string, std::less<>> marked_gone;
    /// An incarnation that was followed by another. A late poll of a former process can look like
    /// that, so its claims end only when it has not come back within a permit's life.
    struct replaced_incarnation {
        std::string worker;
        std::uint64_t incarnation = 0;
        steady_time deadline;
    };
    std::vector<replaced_incarnation> replaced;
    steady_time next_review;
    std::chrono::sys_days guarantees_day;
};

/// The guarantees of agreements, oldest first. With `now_ms` (Unix milliseconds) only those whose
/// term holds on that day; a check of a release note takes all, whatever their term.
[[nodiscard]] std::vector<placement::guarantee>
guarantees_of(const config::configuration& configuration, std::optional<std::int64_t> now_ms);

/// Refuses a configuration whose agreements the announced inventory cannot meet together.
[[nodiscard]] std::vector<config::problem>
check_feasibility(const config::configuration& proposed,
                  const std::vector<messages::worker_announcement>& inventory);

} // namespace redwingwheel::control
