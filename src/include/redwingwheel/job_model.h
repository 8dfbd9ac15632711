#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

/// Value types for jobs, which are graphs of steps, and for the configuration of queues, services
/// and accounts.
namespace redwingwheel::jobs {

/// Resources that a task uses or that a worker has.
struct resources {
    std::int64_t cpu_millis = 0; ///< Thousandths of a core.
    std::int64_t memory_mb = 0;  ///< In MiB.
    std::int64_t accelerators = 0;

    [[nodiscard]] bool fits_in(const resources& available) const
    {
        return this->cpu_millis <= available.cpu_millis && this->memory_mb <= available.memory_mb &&
               this->accelerators <= available.accelerators;
    }
    resources& operator+=(const resources& other)
    {
        this->cpu_millis += other.cpu_millis;
        this->memory_mb += other.memory_mb;
        this->accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other)
    {
        this->cpu_millis -= other.cpu_millis;
        this->memory_mb -= other.memory_mb;
        this->accelerators -= other.accelerators;
        return *this;
    }
    friend bool operator==(const resources&, const resources&) = default;
    MSGPACK_DEFINE(cpu_millis, memory_mb, accelerators)
};

/// A step of a job: a number of identical tasks.
struct step_definition {
    std::uint32_t tasks = 1;
    std::uint32_t per_worker_limit = 0; ///< Maximum tasks of the step per worker; 0: no limit.
    resources per_task;
    std::int64_t estimate_ms = 0; ///< Declared duration of one task; 0: unknown.
    /// Indices of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> depends_on;
    std::string required_label; ///< Workers need this label; empty: any worker.
    std::string data_rack;      ///< Tasks in other racks run slower; empty: none.
    std::string image;
    std::int64_t latency_target_ms = 0;
    std::uint32_t disruption_limit = 0; ///< Maximum long-running tasks that the system may
                                        ///< interrupt at the same time.
    bool resumable = false;             ///< Tasks save checkpoints and can resume from them.
    bool gang = false;                  ///< All tasks run at the same time, or none runs.
    bool same_rack = false;             ///< Tasks run slower when spread over several racks.
    bool duplicates_allowed = false;
    bool long_running = false;    ///< Tasks run until the job is cancelled and are restarted.
    bool best_effort_cpu = false; ///< CPU of the tasks is not counted against the worker's
                                  ///< capacity.

    MSGPACK_DEFINE(tasks, per_task, estimate_ms, depends_on, resumable, gang, same_rack,
                   required_label, data_rack, per_worker_limit, duplicates_allowed, long_running,
                   image, latency_target_ms, best_effort_cpu, disruption_limit)
};

struct job_definition {
    /// Passed to the worker with each start.
    std::string payload;
    std::vector<step_definition> steps;
    /// 0: the steps run once and are due at submission. Otherwise occurrence K, counted from 0, is
    /// due at `first_due_unix_ms` + K * `interval_ms`.
    std::uint32_t occurrences = 0;
    std::int64_t first_due_unix_ms = 0;
    std::int64_t interval_ms = 0;

    MSGPACK_DEFINE(payload, steps, occurrences, first_due_unix_ms, interval_ms)
};

/// A queue: the route under which clients submit jobs, and the policy for these jobs.
struct queue_definition {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    std::uint32_t priority = 0; ///< 0 is the most urgent priority and may evict others.
    std::uint32_t max_attempts = 1;
    double stretch = 1.0;               ///< Objective: this multiple of the job's critical path ...
    std::int64_t latency_target_ms = 0; ///< ... plus this.
    bool public_access = false;         ///< Calls need no API key.

    MSGPACK_DEFINE(name, host, path_prefix, service, priority, max_attempts, stretch,
                   latency_target_ms, public_access)
};

struct account_definition {
    std::string name;
    std::vector<std::string> keys;
    /// Accelerators that are guaranteed to the account's jobs of priority 0.
    std::int64_t guaranteed_accelerators = 0;

    MSGPACK_DEFINE(name, keys, guaranteed_accelerators)
};

/// A complete configuration with the version that its author assigned.
struct job_configuration {
    std::uint64_t version = 0; ///< 0: no configuration is installed.
    std::string document;      ///< As it was received, for reading it back.
    std::vector<queue_definition> queues;
    std::vector<std::string> services;
    std::vector<account_definition> accounts;

    MSGPACK_DEFINE(version, document, queues, services, accounts)
};

/// A task of a job. `occurrence` is 0 for jobs without occurrences.
struct task_id {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_id&, const task_id&) = default;
    friend bool operator<(const task_id& left, const task_id& right)
    {
        return std::tie(left.job, left.occurrence, left.step, left.index) <
               std::tie(right.job, right.occurrence, right.step, right.index);
    }
    MSGPACK_DEFINE(job, occurrence, step, index)
};

/// One attempt to run a task. Numbers count from 1 and increase with each attempt; all members of a
/// gang have the same number.
struct run_id {
    task_id task;
    std::uint32_t number = 0;

    friend bool operator==(const run_id&, const run_id&) = default;
    friend bool operator<(const run_id& left, const run_id& right)
    {
        return std::tie(left.task, left.number) < std::tie(right.task, right.number);
    }
    MSGPACK_DEFINE(task, number)
};

/// One incarnation of a worker. A restarted worker may keep its id but gets a new start time.
struct worker_incarnation {
    std::string id;
    std::int64_t started_unix_ms = 0;
    /// Name of the supervisor on the worker's host. A host runs one worker at a time.
    std::string host;

    /// True for another incarnation on the same host, at most one of which is running.
    [[nodiscard]] bool shares_host_with(const worker_incarnation& other) const
    {
        return this->host == other.host && !(*this == other);
    }
    friend bool operator==(const worker_incarnation&, const worker_incarnation&) = default;
    friend bool operator<(const worker_incarnation& left, const worker_incarnation& right)
    {
        return std::tie(left.id, left.started_unix_ms, left.host) <
               std::tie(right.id, right.started_unix_ms, right.host);
    }
    MSGPACK_DEFINE(id, started_unix_ms, host)
};

enum class run_outcome : std::uint8_t {
    done,
    failed,  ///< The run or the worker failed; counts as an attempt.
    stopped, ///< Stopped on the order of the leader.
    lapsed,  ///< The worker's lease expired.
    broken,  ///< Another member of the gang ended.
    alone,   ///< The other members of the gang did not start in time.
};

[[nodiscard]] std::string_view run_outcome_name(run_outcome end);

/// A run that has ended, as its worker lists it.
struct ended_run {
    std::uint64_t number = 0; ///< Counts the ended runs of one incarnation, from 1.
    run_id run;
    run_outcome outcome = run_outcome::done;
    std::string checkpoint;

    MSGPACK_DEFINE(number, run, outcome, checkpoint)
};

} // namespace redwingwheel::jobs

MSGPACK_ADD_ENUM(redwingwheel::jobs::run_outcome)
