#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "redwingwheel/gang.h"
#include "redwingwheel/worker_table.h"

/// Test support: a discrete-event simulation of a control leader, its successor and four agents
/// with backend servers, connected by an in-memory message channel that loses, duplicates and
/// delays messages.
///
/// A borrower gang runs on three workers of one data centre until it is reclaimed; then the owner's
/// gang runs on accelerators of two of them. Faults are injected when the borrower reaches a given
/// point.
namespace redwingwheel::membership::simulation {

enum class fault_kind {
    lost,
    duplicated,
    reordered,
    late,
    one_way,
    agent_restart,
    agent_paused,
    agent_killed,
    leader_change,
    withdrawal,
    withdraw_restore,
    old_withdrawal_last,
    clock_rates,
    stop_ignored,
};
constexpr int fault_kinds = 14;

/// Points in the execution of the borrower gang at which faults are injected.
enum class gang_point { reserve, ready, record, release, run, reclaim, end };
constexpr int gang_points = 7;

struct injected_fault {
    fault_kind kind = fault_kind::lost;
    gang_point point = gang_point::reserve;
};

/// Rules of the protocol that are switched off, to show that the checks detect it.
struct mutation {
    permit_faults permits;
    gang_participant_faults participants;
    std::size_t max_ended_tasks = 4096;
};

struct run_result {
    /// Violated rules with details.
    std::vector<std::string> violations;
    std::uint64_t checks = 0;
    std::uint64_t faults_injected = 0;
    std::uint64_t task_starts = 0;
    std::uint64_t gangs_fully_running = 0;
    std::uint64_t gangs_broken = 0;
    /// Longest time from the commit of gang_broken to the end of the gang's last task.
    milliseconds longest_after_break{0};
    /// Longest time for which some tasks of a gang ran and others did not, by true time.
    milliseconds longest_partial_run{0};
    /// Time from the reclaim until all tasks of the owner's gang ran; zero when they never did.
    milliseconds takeover_time{0};
    /// Digest of every start, end and log record with its time.
    std::uint64_t digest = 0;
};

constexpr std::size_t worker_count = 4;

/// One simulation run.
class simulated_cluster {
public:
    simulated_cluster(std::uint64_t seed, std::span<const injected_fault> faults,
                      const mutation& mutated);
    [[nodiscard]] run_result run();

private:
    using event = std::function<void()>;

    /// A task at the backend server of a worker.
    struct host_task {
        task_key task;
        std::uint64_t accelerator_mask = 0;
        /// On the worker's clock.
        steady_time lease_end{};
        bool ended = false;
        /// The agent has been told of the end.
        bool end_seen = false;
        task_outcome outcome = task_outcome::none;
    };
    struct sent_poll {
        steady_time sent_at{};
        std::uint64_t from = 0;
        std::uint64_t version = 0;
    };
    /// A worker: its agent process, which can restart, and the tasks at its backend server.
    struct agent_host {
        /// Number of agent processes started so far.
        std::uint64_t generation = 0;
        bool alive = false;
        steady_time paused_until{};
        bool pause_at_next_start = false;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, sent_poll> sent;
        std::unique_ptr<permit_holder> permits;
        std::unique_ptr<gang_participant> participant;
        std::vector<host_task> tasks;
        bool ignores_stop = false;
    };
    /// One direction of the channel between an agent and the leader, with its faults.
    struct link {
        int lose_next = 0;
        steady_time lose_until{};
        steady_time duplicate_until{};
        steady_time reorder_until{};
        milliseconds delay_next{0};
    };
    struct poll_message {
        std::size_t worker = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::vector<member_report> reports;
    };
    struct poll_answer {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t term = 0;
        permit granted;
        std::vector<gang_command> commands;
    };
    struct replica {
        permit_granter granter;
        gang_record_store log;
    };
    /// What the simulation has observed of one attempt to run a gang.
    struct observed_gang {
        bool ended = false;
        bool was_fully_running = false;
        std::optional<steady_time> broken_at;
        std::optional<steady_time> partial_since;
        /// By member.
        std::map<std::uint32_t, std::uint64_t> released_incarnations;
        std::size_t size = 0;
    };
    /// By job and epoch.
    using observed_gangs = std::map<std::string, std::map<std::uint64_t, observed_gang>>;

    // gang_simulation.cpp: clocks, message channel, control leader
    [[nodiscard]] std::uint64_t draw(std::uint64_t limit);
    [[nodiscard]] milliseconds draw_ms(std::uint64_t from, std::uint64_t to);
    [[nodiscard]] clock_function node_clock(std::size_t node);
    void schedule_at(steady_time when, event what);
    void schedule_after(std::chrono::nanoseconds delay, event what);
    void send(link& channel, event deliver);
    void choose_clock_rates();
    void leader_tick(std::uint64_t leadership);
    void receive_poll(const poll_message& poll);
    void collect_proposals();
    void commit_next(std::uint64_t leadership);
    void commit(const gang_proposal& record);
    void change_leader();
    void begin_leadership();
    void change_data_centre(bool in_service);
    void schedule_gangs();
    void place(const std::string& job, std::size_t members);

    // gang_simulation_agents.cpp: agents, backend servers, faults, invariants
    void start_agent(std::size_t worker);
    void agent_event(std::size_t worker, std::chrono::nanoseconds delay, event what);
    void agent_tick(std::size_t worker);
    void poll(std::size_t worker);
    void poll_regularly(std::size_t worker);
    void receive_answer(std::size_t worker, const poll_answer& answer);
    void execute(std::size_t worker, const std::vector<gang_action>& actions);
    void execute_start(std::size_t worker, const start_task& start);
    void start_on_host(std::size_t worker, const start_task& start);
    void stop_on_host(std::size_t worker, const task_key& task);
    [[nodiscard]] bool is_running(std::size_t worker, const host_task& task);
    [[nodiscard]] host_task* find_task(std::size_t worker, const task_key& task);
    void reach_point(gang_point point);
    void inject_fault(fault_kind kind);
    void check(bool holds, std::string_view rule, std::string_view detail);
    void check_gang_stopped(std::string_view job, std::uint64_t epoch, std::string_view rule);
    void check_running_gangs();
    void check_end();
    void add_to_digest(std::string_view text, std::uint64_t number);

    manual_clock true_clock;
    std::mt19937_64 random;
    std::vector<injected_fault> faults;
    mutation mutated;
    permit_options permits;
    run_result result;
    std::multimap<steady_time, event> events;
    /// Clock rates relative to true time in parts per million, about 1'000'000. Workers, then the
    /// two replicas.
    std::array<std::int64_t, worker_count + 2> clock_rates_ppm{};
    std::set<int> reached_points;
    std::size_t faulty_worker = 0;
    steady_time last_progress_at{};

    std::array<agent_host, worker_count> agents;
    std::array<link, worker_count> to_leader;
    std::array<link, worker_count> to_agent;

    std::vector<replica> replicas;
    /// Index of the leader.
    std::size_t active_replica = 0;
    /// Number of the current leadership, also its term.
    std::uint64_t leadership = 0;
    /// The leader answers polls.
    bool answering = false;
    /// The leader can commit records.
    bool committing = false;
    std::unique_ptr<gang_coordinator> coordinator;
    std::unique_ptr<worker_table> workers;
    /// Proposed records, in order.
    std::vector<gang_proposal> uncommitted;

    std::uint64_t change_index = 1;
    std::optional<steady_time> withdrawn_since;
    /// Withdraw the data centre right after the next answer that releases a member on the faulty
    /// worker.
    bool withdraw_after_grant = false;
    bool leader_changed = false;
    /// Agents poll at once when a task's state changes.
    bool polls_on_change = false;
    /// Polls carry changed reports only.
    bool reports_changes_only = false;

    std::uint64_t last_epoch = 0;
    int borrower_places = 0;
    int owner_places = 0;
    bool reclaimed = false;
    steady_time reclaimed_at{};
    bool borrower_finished = false;
    bool owner_finished = false;
    std::optional<steady_time> borrower_running_since;
    observed_gangs gangs;
    std::map<task_key, int> starts;
};

[[nodiscard]] run_result run(std::uint64_t seed, std::span<const injected_fault> faults,
                             const mutation& mutated = {});
[[nodiscard]] std::string_view to_text(fault_kind kind);
[[nodiscard]] std::string_view to_text(gang_point point);

} // namespace redwingwheel::membership::simulation
