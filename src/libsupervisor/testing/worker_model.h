#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "event_queue.h"
#include "redwingwheel/worker_port.h"

namespace redwingwheel::jobs::testing {

/// What a task does on a simulated worker. Encoded in the job's payload.
struct task_model {
    std::int64_t work_ms = 0;
    std::uint32_t gang_size = 0; ///< Number of members; 0 for a task without a gang.
    resources per_task;

    [[nodiscard]] std::string to_payload() const;
    [[nodiscard]] static task_model from_payload(const std::string& payload);
};

/// Key that the runs of a gang's members share: the run id with task index 0.
[[nodiscard]] run_id gang_of(run_id run);

struct worker_lifetime {
    std::string id;
    std::int64_t started_unix_ms = 0;
    worker_time_ms first_clock = 0;     ///< Reading of the worker's clock when it starts.
    std::int64_t clock_permille = 1000; ///< Rate of the clock; 980 for the slowest allowed one.
    resources capacity;
    /// Refuses a renewal with a lower fencing token, instead of listing the runs without an effect.
    bool refuses_fenced_renewals = true;
};

/// Called with each change of the runs on a worker.
struct run_observer {
    std::function<void(const run_id& run)> started;
    std::function<void(const run_id& run, run_outcome outcome)> ended;
    /// A renewal has acknowledged the end of the run, and the lease has not expired in between.
    std::function<void(const run_id& run, run_outcome outcome)> acknowledged;
};

/// A worker that follows orders as a real one does: leases on its own clock, fencing tokens and a
/// numbered list of ended runs. A new lifetime knows nothing of the previous one.
class worker_model {
public:
    struct running_task {
        task_model behaviour;
        std::chrono::microseconds worked{0};
        std::chrono::microseconds waited{0}; ///< For the other members of the gang.
        /// Remaining time of the stop that was ordered.
        std::optional<std::chrono::microseconds> stops_in;
    };

    worker_model(event_queue& queue, random_source& randomness, run_observer run_changes);

    void begin(const worker_lifetime& lifetime);
    /// Ends the lifetime. All runs are lost without a trace.
    void end();
    void suspend();
    void resume();
    /// Runs that no longer fit go on.
    void change_capacity(const resources& changed) { this->lifetime->capacity = changed; }

    [[nodiscard]] bool is_up() const { return this->lifetime.has_value(); }
    [[nodiscard]] bool is_suspended() const { return this->suspended; }
    /// Counts lifetimes, from 1.
    [[nodiscard]] std::uint64_t lifetime_number() const { return this->lifetimes; }
    [[nodiscard]] const worker_lifetime& present() const { return *this->lifetime; }
    [[nodiscard]] worker_time_ms clock_ms() const;
    [[nodiscard]] const std::map<run_id, running_task>& running() const { return this->runs; }

    [[nodiscard]] start_result start_run(const start_request& order);
    [[nodiscard]] bool stop_run(const stop_request& order);
    /// Calls `done` when a run has ended, the wait time is over or the worker ends.
    void renew(const renew_request& order,
               std::function<void(absl::StatusOr<worker_listing>)> done);

    /// Lets time pass for the runs, except for the work of gangs.
    void advance(std::chrono::microseconds by);
    /// Answers the renewals whose wait is over.
    void answer_renewals();
    running_task* find(const run_id& run);
    void end_run(const run_id& run, run_outcome outcome);

private:
    struct listed_end {
        ended_run end;
        bool lease_expired = false; ///< Since the end.
    };
    struct pending_renewal {
        std::uint64_t acknowledged = 0;
        steady_time answer_by;
        std::function<void(absl::StatusOr<worker_listing>)> done;
    };

    [[nodiscard]] bool accept(const worker_incarnation& addressee) const;
    void extend_lease(worker_time_ms until);
    [[nodiscard]] resources available() const;
    [[nodiscard]] worker_listing list() const;

    event_queue& events;
    random_source& random;
    run_observer observer;
    std::optional<worker_lifetime> lifetime;
    std::uint64_t lifetimes = 0;
    bool suspended = false;
    /// The worker's clock at the last change between running and suspended.
    worker_time_ms clock_base = 0;
    steady_time clock_based_at;
    worker_time_ms lease_until = 0;
    std::uint64_t fencing_token = 0;
    std::map<run_id, running_task> runs;
    /// Highest number of a run that was stopped or has ended.
    std::map<task_id, std::uint32_t> highest_ended_run;
    std::vector<listed_end> ended_runs;
    std::uint64_t last_end_number = 0;
    std::vector<pending_renewal> pending_renewals;
};

} // namespace redwingwheel::jobs::testing
