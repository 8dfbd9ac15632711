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

/// Test support: a control leader, its successor and four agents with backend servers on a manual
/// clock, joined by an in-memory message channel that loses, repeats and delays messages.
///
/// A borrower gang runs on three workers of one data centre until it is reclaimed; then the owner's
/// gang runs on the same accelerators. Faults are put in when the borrower reaches a given point.
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

/// Points in the life of the borrower gang.
enum class gang_point { reserve, ready, record, release, run, reclaim, end };
constexpr int gang_points = 7;

struct planted_fault {
    fault_kind kind = fault_kind::lost;
    gang_point at = gang_point::reserve;
};

struct mutation {
    permit_faults permits;
    gang_participant_faults participants;
    std::size_t max_ended_tasks = 4096;
};

struct run_result {
    std::vector<std::string> violations;
    std::uint64_t checks = 0;
    std::uint64_t planted = 0;
    std::uint64_t task_starts = 0;
    std::uint64_t gangs_whole = 0;
    std::uint64_t gangs_broken = 0;
    /// Longest time from the record of a break to the end of the gang's last task.
    milliseconds longest_after_break{0};
    /// Longest time in which some tasks of a gang ran and others did not, by true time.
    milliseconds longest_overlap{0};
    /// Time from the reclaim until the whole of the owner's gang ran; zero when it never did.
    milliseconds takeover{0};
    /// Digest of every start, end and log record with its time.
    std::uint64_t digest = 0;
};

constexpr std::size_t worker_count = 4;

class world {
public:
    world(std::uint64_t seed, std::span<const planted_fault> faults, const mutation& mutated);
    [[nodiscard]] run_result run();

private:
    using event = std::function<void()>;

    struct host_task {
        task_key task;
        std::uint64_t accelerator_mask = 0;
        /// On the host's clock.
        steady_time lease_end{};
        bool ended = false;
        bool end_seen = false;
        task_outcome outcome = task_outcome::none;
    };
    struct sent_poll {
        steady_time sent_at{};
        std::uint64_t from = 0;
        std::uint64_t version = 0;
    };
    struct agent {
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
    /// Faults of the channel between an agent and control, one direction.
    struct link {
        int lose_next = 0;
        steady_time lose_until{};
        steady_time repeat_until{};
        steady_time shuffle_until{};
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
    struct gang_truth {
        bool ended = false;
        bool was_whole = false;
        std::optional<steady_time> broken_at;
        std::optional<steady_time> partial_since;
        std::map<std::uint32_t, std::uint64_t> released_incarnations;
        std::size_t size = 0;
    };
    using gang_key = std::map<std::string, std::map<std::uint64_t, gang_truth>>;

    // gang_simulation.cpp: time, channel, control
    [[nodiscard]] std::uint64_t draw(std::uint64_t limit);
    [[nodiscard]] milliseconds draw_ms(std::uint64_t from, std::uint64_t to);
    [[nodiscard]] clock_function node_clock(std::size_t node);
    void at(steady_time when, event what);
    void after(std::chrono::nanoseconds delay, event what);
    void send(link& channel, event deliver);
    void choose_rates();
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
    [[nodiscard]] bool runs(std::size_t worker, const host_task& task);
    [[nodiscard]] host_task* find_task(std::size_t worker, const task_key& task);
    void reach(gang_point point);
    void plant(fault_kind kind);
    void check(bool holds, std::string_view rule, std::string_view detail);
    void check_gang_stopped(std::string_view job, std::uint64_t epoch, std::string_view rule);
    void check_running_gangs();
    void check_end();
    void note(std::string_view text, std::uint64_t number);

    manual_clock truth;
    std::mt19937_64 random;
    std::vector<planted_fault> faults;
    mutation mutated;
    permit_options permits;
    run_result result;
    std::multimap<steady_time, event> events;
    std::array<std::int64_t, worker_count + 2> rates_ppm{};
    std::set<int> reached;
    std::size_t victim = 0;
    steady_time finished_at{};

    std::array<agent, worker_count> agents;
    std::array<link, worker_count> to_leader;
    std::array<link, worker_count> to_agent;

    std::vector<replica> replicas;
    std::size_t active = 0;
    std::uint64_t leadership = 0;
    bool answering = false;
    bool committing = false;
    std::unique_ptr<gang_coordinator> coordinator;
    std::unique_ptr<worker_table> table;
    std::vector<gang_proposal> outstanding;

    std::uint64_t change_index = 1;
    std::optional<steady_time> withdrawn_since;
    bool withdraw_after_grant = false;
    bool leader_changed = false;
    bool polls_on_change = false;
    bool reports_changes_only = false;

    std::uint64_t last_epoch = 0;
    int borrower_places = 0;
    int owner_places = 0;
    bool reclaimed = false;
    steady_time reclaimed_at{};
    bool borrower_over = false;
    bool owner_over = false;
    std::optional<steady_time> borrower_running_since;
    gang_key gangs;
    std::map<task_key, int> starts;
};

[[nodiscard]] run_result run(std::uint64_t seed, std::span<const planted_fault> faults,
                             const mutation& mutated = {});
[[nodiscard]] std::string_view to_text(fault_kind kind);
[[nodiscard]] std::string_view to_text(gang_point point);

} // namespace redwingwheel::membership::simulation
