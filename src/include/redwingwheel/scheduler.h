#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/duration_history.h"
#include "redwingwheel/job_state.h"

/// The leader's decisions on jobs: which run goes to which worker, which runs are stopped in favour
/// of others, and which are given up.
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
    std::int64_t remaining_ms = 0; ///< While draining: how much longer it works at least.
    bool reachable = true;         ///< It answered its supervisor's last renewal.

    friend bool operator==(const worker_description&, const worker_description&) = default;
    MSGPACK_DEFINE(incarnation, service, data_centre, rack, labels, capacity, draining,
                   remaining_ms, reachable)
};

/// A run that a worker lists as running.
struct run_progress {
    run_id run;
    std::string checkpoint;
    std::uint32_t percent = 0;

    MSGPACK_DEFINE(run, checkpoint, percent)
};

struct scheduler_options {
    /// Life of a grant: a worker's lease lasts at most this long after its agent's poll was sent.
    milliseconds grant_life{6000};
    /// Beyond a grant's life before its worker's runs are given up: clock drift between machines
    /// and the delay between the agent's reading of its clock and the grant.
    milliseconds grant_margin{300};
    /// A worker that failed work is avoided this long; doubles with each failure in a row.
    milliseconds suspicion{4000};
    /// A run that is listed without progress for this long is moved. Workers count whole percents:
    /// the slowest sound run takes a third of a second for one.
    milliseconds stall_limit{2500};
    /// A run on a draining worker is moved when it is predicted to need this much longer than the
    /// worker stays.
    milliseconds drain_slack{1000};
    /// A supervisor polls again within a round trip; one that has not for this long, a round trip
    /// and a lost packet's repetition, is cut off or frozen, and its worker gets nothing new.
    milliseconds silence_limit{400};
    /// Urgent work beyond the guarantee evicts others while the work lost is at most this share of
    /// its own.
    double urgent_eviction_share = 1.0;
    /// A guaranteed gang waits this long for its rack before it is spread, which leaves time to
    /// begin within the users' bound for guaranteed work (2.7 s).
    milliseconds rack_patience{1500};
    /// An ordinary gang that has waited this long has room kept for it.
    milliseconds gang_patience{1500};
    /// A run that is expected to end within this is waited for: stopping it takes as long.
    milliseconds natural_end{500};
    /// A reservation that has not been filled by then is decided anew.
    milliseconds reservation_life{1200};
};

/// Why a run was stopped or released, for the log.
struct eviction {
    run_id run;
    std::string in_favour_of;
    MSGPACK_DEFINE(run, in_favour_of)
};

/// Why a step with tasks that wait was not placed as a whole.
enum class wait_reason : std::uint8_t {
    no_room,           ///< Nothing that may be evicted would make room.
    eviction_too_dear, ///< The work that would be lost is worth more than the step's own.
    room_is_freed,     ///< Room is held for it and is being freed.
};

[[nodiscard]] std::string_view wait_reason_name(wait_reason reason);

/// A step that waits, for the log.
struct waiting_step {
    task_id step;
    wait_reason reason = wait_reason::no_room;
    std::size_t tasks = 0;
    bool guaranteed = false;
    double eviction_cost = 0.0;  ///< Core-seconds of work that would be lost.
    double eviction_limit = 0.0; ///< Core-seconds that may be lost for it.
};

/// What the leader is to do after a round of decisions.
struct schedule {
    /// One command for each gang; proposed in this order.
    std::vector<assign_runs> assignments;
    std::vector<released_run> releases;
    std::vector<eviction> evictions;
    /// Urgent steps that are not placed as a whole.
    std::vector<waiting_step> waiting;
};

/// How much a waiting step matters; lower is placed first.
enum class urgency : std::uint8_t {
    guaranteed, ///< Most urgent priority, within the account's guarantee. May evict others.
    urgent,     ///< Most urgent priority, beyond the guarantee.
    ordinary,
};

struct placement_request;

/// Lives on the leader; its memory is rebuilt from the workers' reports.
class scheduler {
public:
    scheduler(const scheduler_options& options, clock_function clock, const job_state& state);

    /// Forgets all reports. Grants of an earlier leader may last until `grant_life` from now.
    void begin_leadership();

    /// Takes a worker's report.
    void report(const worker_description& worker, const std::vector<run_progress>& running);

    /// A grant is being sent to the worker's supervisor, which is expected to poll again.
    void grant(const worker_incarnation& worker);

    /// The worker's incarnation is over: nothing runs on it any more.
    void worker_ended(const worker_incarnation& worker);

    /// Notes how a run ended, to tell bad workers from bad jobs.
    void note_end(const worker_incarnation& worker, const ended_run& end);

    /// The worker refused a start; it gets no more for a moment.
    void note_refusal(const worker_incarnation& worker);

    /// One round of decisions. `now_unix_ms` is the leader's time of day.
    [[nodiscard]] schedule decide(std::int64_t now_unix_ms);

    /// True when the run is to go on: given to the worker, its job alive, not being evicted.
    [[nodiscard]] bool wanted(const run_id& run) const;

    /// True when the worker has listed the run since it was given to it.
    [[nodiscard]] bool confirmed(const run_id& run) const;

    [[nodiscard]] std::size_t worker_count() const { return this->workers.size(); }
    [[nodiscard]] const scheduler_options& limits() const { return this->options; }

private:
    struct known_worker {
        worker_description description;
        steady_time grant_until;
        /// When its supervisor's last poll was answered, until the next one comes.
        std::optional<steady_time> answered_at;
        bool ended = false;
        steady_time suspect_until;
        steady_time refused_until;
        std::uint32_t failures_in_row = 0;
    };
    struct known_run {
        steady_time since;
        steady_time last_listed;
        steady_time last_progress;
        std::uint32_t percent = 0;
        /// As it was first listed: a resumed run does not begin at 0.
        steady_time first_listed;
        std::uint32_t first_percent = 0;
        std::string checkpoint;
        bool listed = false;
    };
    struct reservation {
        steady_time made;
        std::vector<worker_incarnation> places;
        resources per_task;
        urgency rank = urgency::ordinary;
    };
    /// Runs that end together when one of them is evicted.
    struct victim {
        std::vector<run_id> runs;
        std::vector<std::size_t> places;
        resources per_task;
        double cost = 0.0;      ///< Core-seconds of work that would be lost.
        double left_ms = 0.0;   ///< Until the last of them is expected to end.
        bool ends_soon = false; ///< Is waited for rather than stopped.
    };
    struct eviction_plan {
        std::vector<std::size_t> victims;
        std::vector<victim> units;
        std::vector<std::size_t> places;
        double cost = 0.0;
    };
    struct candidate;
    struct held_room;
    struct round;

    void note_duration(const run_id& run);
    void note_waiting(const round& now, const std::vector<candidate>& waiting);
    [[nodiscard]] bool rack_is_out_of_reach(const round& now, const candidate& next) const;
    void forget_ended_runs();
    void release_lost(round& now);
    void stop_stalled(round& now);
    void blame_for_stall(const round& now, const run_id& run);
    [[nodiscard]] bool has_progressed_since(const worker_incarnation& worker,
                                            const run_id& stalled) const;
    void suspect(steady_time now, known_worker& worker) const;
    [[nodiscard]] std::vector<run_id> runs_to_stop_with(const run_id& run) const;
    void stop_broken_gangs(round& now);
    void leave_draining(round& now);
    void evict(round& now, const run_id& run, const std::string& reason);
    /// The step's declared duration, corrected by what runs of its queue took.
    [[nodiscard]] double predicted_ms(const job_record& job, const step_definition& step) const;
    [[nodiscard]] std::int64_t longest_chain_ms(const job_record& job) const;
    /// Predicted from the progress that the worker lists; negative when it should have ended.
    /// Empty while the progress says nothing.
    [[nodiscard]] std::optional<double> measured_left_ms(const round& now, const run_id& run) const;
    /// As measured, or else as predicted for the step.
    [[nodiscard]] double expected_left_ms(const round& now, const run_id& run) const;
    [[nodiscard]] bool is_about_to_end(const round& now, const run_id& run) const;
    void picture_rooms(round& now) const;
    [[nodiscard]] std::vector<candidate> candidates(const round& now) const;
    [[nodiscard]] std::set<std::string> guaranteed_jobs() const;
    [[nodiscard]] bool is_silent(const round& now, const known_worker& worker) const;
    void mark_eligible(round& now, const candidate& next) const;
    void place(round& now, const candidate& next);
    void assign(round& now, const candidate& next, const std::vector<std::size_t>& places);
    /// Returns why the step waits.
    waiting_step free_room(round& now, const candidate& next, const placement_request& request);
    void keep_room(round& now, const candidate& next, const placement_request& request);
    [[nodiscard]] bool holds_reservation(const round& now, const candidate& next) const;
    void make_reservation(round& now, const candidate& next, const eviction_plan& plan);
    void drop_reservation(round& now, const task_id& owner);
    void picture_reservations(round& now) const;
    /// Room that is being freed for others of the same or a higher urgency is not there for `next`.
    static void withhold(round& now, const candidate& next);
    /// Undoes `withhold`.
    static void give_back(round& now, const candidate& next);
    static void each_withheld(round& now, const candidate& next,
                              const std::function<void(resources& room, const resources& each)>&);
    /// Runs of jobs whose priority number is above `above`; all when it is empty.
    [[nodiscard]] std::vector<victim> victims(const round& now,
                                              std::optional<std::uint32_t> above) const;
    [[nodiscard]] static std::optional<eviction_plan>
    plan_eviction(const round& now, const placement_request& request,
                  const std::vector<victim>& possible);
    /// Returns why the step waits.
    waiting_step reserve_by_eviction(round& now, const candidate& next,
                                     const placement_request& request);

    scheduler_options options;
    clock_function clock;
    const job_state& state;
    std::map<worker_incarnation, known_worker> workers;
    std::map<run_id, known_run> runs;
    std::map<run_id, std::string> evicting;
    std::map<task_id, std::set<std::string>> failed_on;
    std::map<task_id, reservation> reservations;
    /// Steps with tasks that wait, and since when: a step that lost its runs waits anew.
    std::map<task_id, steady_time> waiting_since;
    /// By queue.
    std::map<std::string, duration_history> durations;
    steady_time leading_since;
};

} // namespace redwingwheel::jobs
