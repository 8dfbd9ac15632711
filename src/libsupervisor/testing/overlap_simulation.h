#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "event_queue.h"
#include "leader_model.h"
#include "redwingwheel/supervisor.h"
#include "run_history.h"
#include "simulated_log.h"
#include "worker_model.h"

namespace redwingwheel::jobs::testing {

enum class fault_kind : std::uint8_t {
    lossy_network,         ///< Messages with the leader are lost, late or duplicated.
    partition,             ///< No messages with the leader, in one direction or both.
    supervisor_restart,    ///< Killed, and started again.
    supervisor_freeze,     ///< The worker runs on.
    host_suspension,       ///< The worker's clock stands still.
    worker_crash,          ///< A new lifetime follows, under the same or another id.
    clock_step,            ///< The time of day jumps back: the next lifetime begins earlier.
    worker_shutdown,       ///< Draining, deregistration and end; a new lifetime follows.
    capacity_change,       ///< The worker shrinks or grows.
    worker_unreachable,    ///< The supervisor cannot reach its worker.
    held_up_orders,        ///< Orders get no answer and are carried out seconds later.
    late_announcements,    ///< Announcements and deregistrations are late, repeated or lost.
    foreign_announcements, ///< Another writer announces a made-up worker.
    leader_change,
    slow_commits,
    worker_loss, ///< A worker crashes and does not come back. Not among `all_faults`.
};

constexpr std::size_t fault_kind_count = static_cast<std::size_t>(fault_kind::worker_loss) + 1;

[[nodiscard]] std::string_view fault_name(fault_kind kind);
[[nodiscard]] std::optional<fault_kind> parse_fault(std::string_view name);
/// All kinds but those that leave fewer workers after the faults.
[[nodiscard]] std::set<fault_kind> all_faults();
/// A part of the kinds, drawn by the seed.
[[nodiscard]] std::set<fault_kind> draw_faults(std::uint64_t seed);

/// Capacity of each worker before and after the faults.
constexpr resources worker_capacity{4000, 4000, 4};

struct simulation_options {
    std::uint64_t seed = 1;
    std::set<fault_kind> faults;
    std::size_t hosts = 5;
    /// Jobs are submitted and faults begin until then.
    milliseconds fault_duration{60'000};
    milliseconds quiet_duration{60'000};
    /// Prints the log of the simulation with the simulated time.
    bool trace = false;
};

struct simulation_result {
    std::vector<violation> violations;
    std::uint64_t starts = 0;
    std::uint64_t jobs = 0;
    /// Most messages of one supervisor within a second, at any time.
    std::uint64_t max_messages_per_second = 0;
};

/// One seeded course of events: several hosts with a supervisor and a worker each, and a leader.
class overlap_simulation {
public:
    explicit overlap_simulation(const simulation_options& chosen);
    ~overlap_simulation();
    overlap_simulation(const overlap_simulation&) = delete;
    overlap_simulation& operator=(const overlap_simulation&) = delete;

    [[nodiscard]] simulation_result run();

private:
    class order_port;
    enum class worker_link : std::uint8_t { open, silent, refusing };

    struct host {
        host(event_queue& queue, random_source& randomness, run_observer observer)
            : process(queue), worker(queue, randomness, std::move(observer))
        {
        }

        std::size_t index = 0;
        std::string name;
        process_model process;
        std::unique_ptr<worker_port> port;
        std::unique_ptr<supervisor> subject;
        worker_model worker;

        /// Number of active faults that cut the direction.
        int to_leader_cuts = 0;
        int from_leader_cuts = 0;
        bool lossy = false;
        worker_link link = worker_link::open;
        double held_up_share = 0.0;
        bool late_announcements = false;

        steady_time suspended_until;
        /// Total time for which the host was suspended.
        std::chrono::nanoseconds suspended_for{0};
        /// Faults under which no supervisor could stop the runs of a worker that was suspended do
        /// not begin before then.
        steady_time protected_until;

        std::uint64_t announcement_sequence = 0;
        std::uint64_t last_id = 0;
        std::int64_t time_of_day_offset_ms = 0;
        bool worker_lost = false; ///< No further lifetime of the worker begins.
        bool draining = false;
        steady_time drain_deadline;

        std::uint64_t messages_in_second = 0;
        std::uint64_t messages_when_quiet = 0;
    };

    struct proposal {
        job_command command;
        std::function<void(absl::StatusOr<command_result>)> done;
    };

    [[nodiscard]] std::int64_t unix_ms() const;
    /// The clock of a process that runs on the host.
    [[nodiscard]] awake_time awake_now(const host& at) const;
    [[nodiscard]] steady_time fault_end() const;
    [[nodiscard]] bool quiet() const { return this->events.now() >= this->fault_end(); }
    void count_message(host& at);

    // Supervisors and workers.
    void start_supervisor(host& at);
    void stop_supervisor(host& at);
    void send_poll(host& from, const messages::worker_poll& poll, steady_time deadline,
                   const leader_model::poll_done& done);
    void deliver_poll(host& from, const messages::worker_poll& poll,
                      const leader_model::poll_done& answer);
    [[nodiscard]] std::optional<std::chrono::microseconds> network_delay(const host& at);
    [[nodiscard]] std::chrono::microseconds local_delay(const host& at);
    void begin_worker(host& at, bool same_id);
    void announce_repeatedly(host& at, std::uint64_t lifetime);
    [[nodiscard]] worker_description describe(const host& at) const;
    void send_announcement(host& at, const worker_description& described, std::uint64_t sequence);
    void advance_workers();
    void advance_gangs();
    void check_overlaps();
    [[nodiscard]] bool counts(std::size_t worker) const;

    // Leader.
    void begin_term();
    void end_term();
    void tick_leader();
    void propose(const job_command& command,
                 std::function<void(absl::StatusOr<command_result>)> done);
    void commit_next(std::uint64_t proposed_in);

    // Jobs.
    void submit_jobs();
    void change_job(const job_command& command);
    [[nodiscard]] job_definition make_definition(std::string& queue);

    // Faults.
    void schedule_fault(fault_kind kind);
    void inject(fault_kind kind);
    void for_a_while(milliseconds shortest, milliseconds longest, std::function<void()> end);
    [[nodiscard]] bool is_protected(const host& at) const;
    void restart_supervisor(host& at);
    void suspend(host& at);
    void change_capacity(host& at);
    void crash_worker(host& at);
    void lose_worker(host& at);
    void shut_down_worker(host& at);
    void deregister_worker(host& at, std::uint64_t lifetime);
    void end_worker(host& at, std::uint64_t lifetime);
    void announce_foreign_worker(host& at);
    void change_leader();
    void end_faults();

    void check_end();

    simulation_options options;
    event_queue events;
    simulated_log log_replacement;
    steady_time began_at;
    random_source random;
    run_history history;
    std::vector<std::unique_ptr<host>> hosts;

    job_state committed;
    std::unique_ptr<leader_model> leader;
    bool leader_has_majority = false;
    std::uint64_t term = 0;
    std::deque<proposal> log;
    steady_time last_commit_at;
    milliseconds commit_delay{2};
    std::uint64_t last_job = 0;
    std::uint64_t last_process = 0;
    simulation_result result;
};

[[nodiscard]] simulation_result simulate(const simulation_options& options);

} // namespace redwingwheel::jobs::testing
