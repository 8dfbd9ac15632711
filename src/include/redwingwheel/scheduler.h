#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/job_state.h"
#include "redwingwheel/worker_trust.h"

/// Scheduling decisions of the leader: which run is assigned to which worker, which runs are
/// evicted in favour of others, and which runs are released because their worker is lost.
namespace redwingwheel::jobs {

/// A worker as it describes itself.
struct worker_description {
    worker_incarnation incarnation;
    std::string service;
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    std::int64_t remaining_ms = 0; ///< While draining: minimum time that it still works.
    bool reachable = true;         ///< It answered the last renewal of its supervisor.

    friend bool operator==(const worker_description&, const worker_description&) = default;
    MSGPACK_DEFINE(incarnation, service, data_centre, rack, labels, capacity, draining,
                   remaining_ms, reachable)
};

/// Whether a worker answers the renewals of its supervisor.
enum class worker_contact : std::uint8_t {
    answers,
    lost, ///< It has not answered the last renewal. Its lease is not being extended.
    /// It does not answer, every lease that it may have got has expired on its own clock, and no
    /// order can be carried out any more: nothing runs on it. Its supervisor has no permit, and
    /// does not use one that it asked for before.
    lease_expired,
};

/// A run that a worker lists as running.
struct run_progress {
    run_id run;
    std::string checkpoint;
    std::uint32_t percent = 0;

    MSGPACK_DEFINE(run, checkpoint, percent)
};

struct scheduler_options {
    /// Lifetime of a permit. A worker's lease lasts at most this long after its supervisor sent the
    /// poll.
    milliseconds permit_lifetime{6000};
    /// Added to the permit lifetime before the runs of a worker are released. Covers clock drift
    /// between machines and the delay between the supervisor's reading of its clock and the permit.
    milliseconds permit_margin{300};
    /// Time for which a worker is suspect after repeated failures.
    milliseconds suspect_duration{4000};
    /// A run that is listed without progress for this long is stopped and restarted, or for the
    /// time that several percent of its expected duration take, if that is longer.
    milliseconds stall_timeout{2500};
    /// A run on a draining worker is moved when it is expected to end more than this after the time
    /// for which the worker still works.
    milliseconds drain_tolerance{1000};
    /// A supervisor polls again within a round trip after an answer. When it has not done so for
    /// this long, which covers a round trip and one retransmission, it is taken for disconnected or
    /// hung and its worker gets no new runs.
    milliseconds silence_timeout{400};
    /// A step of priority 0 beyond its account's guarantee evicts other runs only if the work lost
    /// is at most this multiple of its own work.
    double urgent_eviction_ratio = 1.0;
    /// A guaranteed gang waits this long for a single rack before it is spread over several. Leaves
    /// enough time to start within the 2.7 s that are required for guaranteed work.
    milliseconds rack_wait_limit{1500};
    /// All supervisors in contact poll a new leader within this time. Until then workers that have
    /// not reported may still be able to hold a gang in one rack.
    milliseconds report_timeout{1000};
    /// Resources are reserved for an ordinary gang that has waited this long.
    milliseconds gang_reservation_delay{1500};
    /// A run that is expected to end within this time is not evicted, since stopping it takes as
    /// long.
    milliseconds imminent_end{500};
    /// A reservation that has not been used within this time expires and is decided anew.
    milliseconds reservation_lifetime{1200};
    /// A task whose worker has crashed waits this long for a worker without runs of other jobs, and
    /// other jobs wait this long for a worker that has started such a task. Two such tasks of
    /// different jobs are kept apart for twice as long.
    milliseconds isolation_wait_limit{1500};
    /// A worker that has started such a task gets no runs of other jobs for this long, or until the
    /// run progresses. Covers a start that is repeated until the end of its window, 1.5 s, and the
    /// next listing.
    milliseconds isolation_duration{3000};
    /// A long-running task whose runs end sooner than this, by themselves, is restarted with a
    /// delay from the second such run on.
    milliseconds short_run{3000};
    /// The delay doubles with each further short run up to the maximum, after which a task that
    /// keeps ending at once costs no more than a start every few seconds.
    milliseconds restart_delay{500};
    milliseconds max_restart_delay{4000};
    /// Largest share of the accelerators that ordinary work leaves to urgent work; 0: none.
    double urgent_headroom = 0.0;
    /// Time from the decision to stop a run until another one has started in its place: a round
    /// trip to the supervisor, the run's grace period and the next start.
    milliseconds eviction_time{2000};
    /// Runs that a worker has at the same time at most, whatever they need. Their orders and
    /// reports fit into one frame.
    std::size_t max_runs_per_worker = 256;
    /// Steps that are placed in a round at most. Half of them are the most urgent ones.
    std::size_t max_steps_per_round = 512;
    /// Searches for runs to evict in a round at most, which cost far more than a placement. Half of
    /// them are for the most urgent steps, the others for the rest in turn.
    std::size_t max_eviction_searches = 64;
};

/// A run that is stopped, for the log.
struct eviction {
    run_id run;
    std::string reason; ///< The id of the job that takes its place, or why it is stopped.
    MSGPACK_DEFINE(run, reason)
};

/// Why some tasks of a step were not placed.
enum class wait_reason : std::uint8_t {
    no_room,           ///< No eviction that is allowed would free enough resources.
    not_searched,      ///< Too many steps are waiting; its turn to search comes later.
    eviction_too_dear, ///< More work would be lost than the eviction limit allows.
    room_is_freed,     ///< Resources are reserved for it and are being freed.
};

[[nodiscard]] std::string_view wait_reason_name(wait_reason reason);

/// A step with tasks that were not placed, for the log.
struct waiting_step {
    task_id step;
    wait_reason reason = wait_reason::no_room;
    std::size_t tasks = 0; ///< Number of tasks that were not placed.
    bool guaranteed = false;
    double eviction_cost = 0.0;  ///< Core-seconds of work that would be lost.
    double eviction_limit = 0.0; ///< Core-seconds that may be lost for it.
};

/// Result of a scheduling round, for the leader to carry out.
struct schedule {
    /// One command for each placed step, to be proposed in this order.
    std::vector<assign_runs> assignments;
    std::vector<released_run> releases;
    std::vector<eviction> evictions;
    /// Guaranteed and urgent steps that were not placed completely.
    std::vector<waiting_step> waiting;
    std::size_t headroom_workers = 0; ///< Workers that ordinary steps leave to urgent ones.
    double urgent_demand = 0.0;       ///< Accelerators that urgent work is expected to need.
};

/// Urgency class of a step. Lower values are placed first.
enum class urgency : std::uint8_t {
    guaranteed, ///< Priority 0, within the account's guarantee. May evict other runs.
    urgent,     ///< Priority 0, beyond the account's guarantee.
    ordinary,   ///< Any other priority.
};

class urgent_headroom;
struct placement_request;
struct worker_availability;
enum class pace_preference : std::uint8_t;

/// Scheduler of the leader. Its volatile state is rebuilt from the workers' reports.
class scheduler {
public:
    scheduler(const scheduler_options& options, clock_function clock, const job_state& state);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Clears the volatile state. Permits of an earlier leader may last until `permit_lifetime`
    /// from now.
    void begin_leadership();

    /// Records a worker's report from a poll of its supervisor, which must be the latest report on
    /// that host. A host runs one worker: all other incarnations on it have ended. The report of a
    /// supervisor that gets no answer from its worker repeats an earlier list of runs, and tells
    /// nothing of runs that are known already. Once the lease has expired, the runs on the worker
    /// are released, and its supervisor must get no permit.
    void record_report(const worker_description& worker, const std::vector<run_progress>& running,
                       worker_contact contact = worker_contact::answers);

    /// Records that a permit is sent to the worker's supervisor, which is expected to poll again.
    void record_permit(const worker_incarnation& worker);

    /// Records that the incarnation of the worker has ended: nothing runs on it any more.
    void record_worker_end(const worker_incarnation& worker);

    /// Incarnations with assigned runs that `worker` supersedes although they were not draining.
    [[nodiscard]] std::vector<worker_incarnation>
    superseded_without_notice(const worker_incarnation& worker) const;

    /// True when the incarnation is known to have ended.
    [[nodiscard]] bool has_ended(const worker_incarnation& worker) const;

    /// Time since the last permit that this leader gave to the worker has expired; negative while
    /// it is valid. Permits of an earlier leader count as given when this one took over.
    [[nodiscard]] milliseconds time_since_permit(const worker_incarnation& worker) const;

    /// Why the runs of the worker are released, for the log.
    [[nodiscard]] std::string_view loss_reason(const worker_incarnation& worker) const;

    /// Records how a run ended, to tell faulty workers from faulty jobs.
    void record_run_end(const worker_incarnation& worker, const ended_run& end);

    /// True when the run, or a later one of its task, is known to have made progress: it did not
    /// crash its worker as soon as it was started.
    [[nodiscard]] bool has_progressed(const run_id& run) const;

    /// Time from the assignment of the run until now, in milliseconds; 0 when another leader has
    /// assigned it.
    [[nodiscard]] std::int64_t run_time_ms(const run_id& run) const;

    /// Records that the worker refused the start of the run, which will not be ordered again. The
    /// worker gets no new runs for a short time.
    void record_refused_start(const worker_incarnation& worker, const run_id& run);

    /// Capacity in the last report of the worker; empty when it has not reported.
    [[nodiscard]] std::optional<resources>
    announced_capacity(const worker_incarnation& worker) const;

    /// Stops the runs that the worker has not confirmed, and their gangs, when not all runs on it
    /// fit into its capacity. Returns what is stopped.
    std::vector<eviction> withdraw_excess_starts(const worker_incarnation& worker);

    /// Performs a scheduling round. `now_unix_ms` is the wall clock time of the leader.
    [[nodiscard]] schedule decide(std::int64_t now_unix_ms);

    /// True when the run is assigned, its job has not ended and it is neither being evicted nor
    /// released.
    [[nodiscard]] bool should_run(const run_id& run) const;

    /// True when the release of the run has been decided. It is part of no orders from then on.
    [[nodiscard]] bool is_releasing(const run_id& run) const;

    /// True when the worker has listed the run since its assignment.
    [[nodiscard]] bool is_confirmed(const run_id& run) const;

    [[nodiscard]] std::size_t worker_count() const { return this->workers.size(); }
    [[nodiscard]] const scheduler_options& settings() const { return this->options; }

private:
    struct tracked_worker {
        worker_description description;
        /// Runs in its last report that have not ended since.
        std::set<run_id> listed;
        steady_time permit_until;
        /// When the last poll of its supervisor was answered; empty once the next poll has arrived.
        std::optional<steady_time> poll_answered_at;
        bool ended = false;
        worker_contact contact = worker_contact::answers;
        steady_time excluded_until;
        worker_trust trust;
    };
    struct tracked_run {
        /// When it was assigned, or first listed if another leader had assigned it.
        steady_time started_at;
        bool assigned_here = false; ///< `started_at` is when it was assigned.
        steady_time last_listed;
        steady_time last_progress;
        std::uint32_t percent = 0;
        /// Progress when the run was first listed; a resumed run does not begin at 0.
        steady_time first_listed;
        std::uint32_t first_percent = 0;
        std::string checkpoint;
        bool listed = false;
    };
    /// Paces the restarts of a long-running task whose runs end at once.
    struct restart_pace {
        std::uint32_t short_runs = 0;
        steady_time not_before;
    };
    struct kept_path {
        milliseconds duration{0};
        steady_time expires_at;
    };
    struct reservation {
        steady_time made_at;
        std::vector<worker_incarnation> workers;
        resources per_task;
        urgency urgency_class = urgency::ordinary;
        /// When the last run in its way is expected to have ended.
        steady_time usable_at;
    };
    /// Victims of a lower rank are taken first.
    enum class victim_rank : std::uint8_t {
        batch,        ///< Of a priority above 0.
        long_running, ///< Runs until its job is cancelled; loses no work, but is missed.
        urgent,       ///< Priority 0, beyond the guarantee of its account.
    };
    /// A run, or all runs of a gang, which are evicted together.
    struct victim {
        std::vector<run_id> runs;
        std::vector<std::size_t> worker_indices;
        resources freed_per_task;
        double cost = 0.0;                  ///< Core-seconds of work that would be lost.
        double expected_remaining_ms = 0.0; ///< Until the last run is expected to end.
        /// The same, but a run without measured progress may be as far as its age says.
        double earliest_end_ms = 0.0;
        victim_rank rank = victim_rank::batch;
        bool ends_soon = false; ///< Not stopped, since it is expected to end soon.
    };
    /// Runs on a worker, as far as they matter for the isolation of suspected tasks.
    struct worker_jobs {
        std::set<std::string> jobs;
        /// Job of a suspected run that has not progressed yet; empty: none.
        std::string isolated_for;
    };
    using isolation_key = std::pair<task_id, bool>; ///< Step, and whether for its crash suspects.
    using occurrence_id = std::pair<std::string, std::uint32_t>; ///< Job and occurrence.
    struct eviction_plan {
        std::vector<std::size_t> victim_indices; ///< Positions in the list of candidates.
        std::vector<victim> victims;             ///< Copies of these candidates.
        std::vector<std::size_t> worker_indices;
        double cost = 0.0;
    };
    struct pending_step;
    struct active_reservation;
    struct scheduling_round;

    void update_due_times(const scheduling_round& round);
    void update_waiting_since(const scheduling_round& round,
                              const std::vector<pending_step>& waiting);
    [[nodiscard]] bool workers_had_time_to_report(const scheduling_round& round) const;
    [[nodiscard]] bool rack_wait_expired(const scheduling_round& round,
                                         const pending_step& pending) const;
    void remove_ended_entries();
    void release_runs_of_lost_workers(scheduling_round& round);
    /// What the last report of the worker's supervisor said; `answers` when there is none.
    [[nodiscard]] worker_contact contact_with(const worker_incarnation& worker) const;
    [[nodiscard]] steady_time permit_end(const worker_incarnation& worker) const;
    /// True when nothing runs on the worker any more: it has ended, or its lease has expired.
    [[nodiscard]] bool is_lost(const worker_incarnation& worker, steady_time now) const;
    [[nodiscard]] bool is_listed_on_host(const run_id& run, std::string_view host,
                                         steady_time now) const;
    void stop_stalled(scheduling_round& round);
    void count_stall_as_failure(const scheduling_round& round, const run_id& run);
    [[nodiscard]] bool has_progressed_since(const worker_incarnation& worker,
                                            const run_id& stalled) const;
    void pace_restart(const ended_run& end);
    /// True while a restart of the task must wait.
    [[nodiscard]] bool is_paced(const task_id& task, steady_time now) const;
    [[nodiscard]] std::vector<run_id> runs_stopped_together(const run_id& run) const;
    void stop_incomplete_gangs(scheduling_round& round);
    void move_runs_off_draining_workers(scheduling_round& round);
    void evict(scheduling_round& round, const run_id& run, const std::string& reason);
    /// Chooses the workers that ordinary steps leave to urgent ones.
    void keep_headroom(scheduling_round& round, const std::vector<pending_step>& waiting);
    /// True when the objective of the job leaves no time to stop other runs for it.
    [[nodiscard]] bool needs_headroom(const job_record& job, const step_definition& step) const;
    /// Excludes the headroom for an ordinary step that can wait and fits elsewhere.
    void apply_headroom(scheduling_round& round, const pending_step& pending,
                        const placement_request& request) const;
    /// The expected duration of a task of the step on a worker of ordinary speed.
    [[nodiscard]] duration_prediction predicted(const job_record& job,
                                                const step_definition& step) const;
    [[nodiscard]] double predicted_ms(const job_record& job, const step_definition& step) const;
    /// Time without progress after which a run on the host has stalled.
    [[nodiscard]] milliseconds stall_timeout(const run_id& run, const std::string& host) const;
    [[nodiscard]] std::int64_t critical_path_ms(const job_record& job) const;
    /// Remaining duration of the run, extrapolated from its listed progress. Negative when the run
    /// should have ended already; empty while there is too little progress.
    [[nodiscard]] std::optional<double> measured_remaining_ms(const scheduling_round& round,
                                                              const run_id& run) const;
    /// Remaining duration of the run, extrapolated from its progress or else from the prediction
    /// for its step. Not negative.
    [[nodiscard]] double expected_remaining_ms(const scheduling_round& round,
                                               const run_id& run) const;
    [[nodiscard]] bool is_about_to_end(const scheduling_round& round, const run_id& run) const;
    /// Records the capacity in a report of the worker. Drops the reservations on a worker that has
    /// shrunk; one that has grown may get runs again after a refused start.
    void record_capacity(tracked_worker& known, const worker_description& report);
    /// Resources of the runs that are assigned to the worker or listed by it. Empty when it lists a
    /// run of an unknown job.
    [[nodiscard]] std::optional<resources> occupied_resources(const worker_incarnation& incarnation,
                                                              const tracked_worker& worker) const;
    void compute_available_resources(scheduling_round& round) const;
    [[nodiscard]] std::size_t runs_on_trial(const worker_incarnation& worker,
                                            const worker_trust& trust) const;
    [[nodiscard]] std::vector<pending_step> pending_steps(const scheduling_round& round);
    [[nodiscard]] std::vector<std::uint32_t> startable_tasks(const scheduling_round& round,
                                                             const pending_step& pending,
                                                             const step_record& record) const;
    /// The job's critical path, for large jobs as it was some seconds ago.
    [[nodiscard]] milliseconds critical_path(const scheduling_round& round, const std::string& id,
                                             const job_record& job);
    /// Positions of the steps that are placed in this round, in order: the most urgent ones, and
    /// some of the others in turn.
    [[nodiscard]] std::vector<std::size_t> steps_to_place(std::size_t waiting);
    [[nodiscard]] std::set<std::string> guaranteed_jobs() const;
    [[nodiscard]] bool is_silent(const scheduling_round& round, const tracked_worker& worker) const;
    void update_eligibility(scheduling_round& round, const pending_step& pending) const;
    /// The tasks of the step on each worker of the round: those that are assigned to it, and those
    /// that it lists although they are not.
    [[nodiscard]] std::vector<std::uint32_t> count_tasks_of_step(const scheduling_round& round,
                                                                 const pending_step& pending) const;
    /// True when a worker was observed to crash under the task and no run has progressed since.
    [[nodiscard]] bool is_crash_suspect(const task_id& id, const task_record& task) const;
    [[nodiscard]] std::set<std::string> crashed_hosts(const pending_step& pending) const;
    [[nodiscard]] worker_jobs jobs_on(const scheduling_round& round,
                                      const worker_incarnation& worker) const;
    /// Separates the crash suspects among the waiting tasks from the others, except in gangs.
    void add_pending(std::vector<pending_step>& found, pending_step pending,
                     const step_record& record) const;
    /// Excludes the workers that are isolated for other jobs and, for crash suspects, those that
    /// run other jobs, unless the step has waited too long for others. Returns true when the tasks
    /// wait for isolation, so that nothing is evicted for them.
    bool apply_isolation(scheduling_round& round, const pending_step& pending);
    void update_isolation_since(const std::vector<pending_step>& waiting);
    void place(scheduling_round& round, const pending_step& pending);
    void assign(scheduling_round& round, const pending_step& pending,
                const std::vector<std::size_t>& worker_indices);
    /// True when the next step in this round that needs an eviction may search for one.
    [[nodiscard]] bool may_search_eviction(scheduling_round& round) const;
    /// Returns why the step waits.
    waiting_step free_resources(scheduling_round& round, const pending_step& pending,
                                const placement_request& request);
    void reserve_for_gang(scheduling_round& round, const pending_step& pending,
                          const placement_request& request);
    [[nodiscard]] bool has_reservation(const scheduling_round& round,
                                       const pending_step& pending) const;
    void make_reservation(scheduling_round& round, const pending_step& pending,
                          const eviction_plan& plan, steady_time usable_at);
    void drop_reservation(scheduling_round& round, const task_id& owner);
    void collect_active_reservations(scheduling_round& round) const;
    /// Subtracts the resources that are reserved for other steps of the same or a higher urgency
    /// from those available to `pending`, unless it is expected to end before they are needed.
    void subtract_reservations(scheduling_round& round, const pending_step& pending) const;
    /// Reverts `subtract_reservations`.
    void restore_reservations(scheduling_round& round, const pending_step& pending) const;
    void for_each_competing_reservation(
        scheduling_round& round, const pending_step& pending,
        const std::function<void(worker_availability& worker, const resources& per_task)>&) const;
    /// When the pending tasks are expected to have ended if they are started now.
    [[nodiscard]] steady_time expected_end(const scheduling_round& round,
                                           const pending_step& pending) const;
    [[nodiscard]] pace_preference preferred_pace(const scheduling_round& round,
                                                 const pending_step& pending) const;
    /// All runs that end by themselves, as candidates for a reservation. Cheapest first per freed
    /// resources.
    [[nodiscard]] std::vector<victim> find_ending_runs(const scheduling_round& round) const;
    /// The runs that may be stopped for the step, and those that are about to end, of any priority.
    /// By rank, then cheapest first per freed resources.
    [[nodiscard]] std::vector<victim> find_victims(const scheduling_round& round,
                                                   const pending_step& pending) const;
    [[nodiscard]] std::vector<victim> group_runs(const scheduling_round& round,
                                                 bool with_long_running) const;
    /// Number of long-running tasks of the step that may be stopped now.
    [[nodiscard]] std::size_t disruptions_left(const task_id& step) const;
    [[nodiscard]] static std::optional<eviction_plan>
    plan_eviction(const scheduling_round& round, const placement_request& request,
                  const std::vector<victim>& candidates);
    /// Returns why the step waits.
    waiting_step reserve_by_eviction(scheduling_round& round, const pending_step& pending,
                                     const placement_request& request);

    scheduler_options options;
    clock_function clock;
    const job_state& state;
    std::map<worker_incarnation, tracked_worker> workers;
    std::map<run_id, tracked_run> runs;
    /// Runs that are being stopped, with the reason.
    std::map<run_id, std::string> evicting;
    /// Runs whose release has been decided and may not be committed yet. A supervisor that regains
    /// contact in between must not start them.
    std::set<run_id> releasing;
    /// Ids of the workers on which a task has failed or stalled.
    std::map<task_id, std::set<std::string>> failed_on;
    std::map<task_id, restart_pace> restart_paces;
    std::map<task_id, reservation> reservations;
    /// When the occurrences of the open jobs were due.
    std::map<occurrence_id, steady_time> due_times;
    /// When each pending step began to wait. A step whose runs were lost begins to wait anew.
    std::map<task_id, steady_time> waiting_since;
    /// Highest run of each task that has made progress.
    std::map<task_id, std::uint32_t> progressed_runs;
    /// When each pending step was first excluded from a worker for isolation.
    std::map<isolation_key, steady_time> isolation_since;
    /// Critical paths of the jobs with many steps.
    std::map<std::string, kept_path> critical_paths;
    std::size_t rounds = 0; ///< Number of scheduling rounds.
    /// Where the turn of the less urgent steps continues, and that of their searches for runs to
    /// evict.
    std::size_t next_turn = 0;
    std::size_t next_search = 0;
    steady_time leading_since;
    std::unique_ptr<urgent_headroom> headroom;
};

} // namespace redwingwheel::jobs

MSGPACK_ADD_ENUM(redwingwheel::jobs::worker_contact)
