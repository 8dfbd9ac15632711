#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "redwingwheel/errors.h"
#include "redwingwheel/job_model.h"

/// The replicated state of jobs: what every replica derives from the log, entry by entry.
namespace redwingwheel::jobs {

// --- commands -----------------------------------------------------------------------------------

/// Puts `installed` in force when its version is the highest so far.
struct install_configuration {
    job_configuration installed;
    MSGPACK_DEFINE(installed)
};

/// Takes a data centre out of service, or back.
struct set_evacuation {
    std::string data_centre;
    bool evacuated = false;
    MSGPACK_DEFINE(data_centre, evacuated)
};

struct submit_job {
    std::string id;
    std::string host;
    std::string path;
    std::string key;
    job_definition definition;
    std::int64_t now_unix_ms = 0; ///< The leader's clock.
    MSGPACK_DEFINE(id, host, path, key, definition, now_unix_ms)
};

struct cancel_job {
    std::string id;
    std::int64_t now_unix_ms = 0;
    MSGPACK_DEFINE(id, now_unix_ms)
};

struct assignment {
    run_id run;
    worker_incarnation worker;
    MSGPACK_DEFINE(run, worker)
};

/// Gives runs to workers. Starts are sent only after this is committed. The runs of one gang are
/// in one command; none of them takes effect unless all can.
struct assign_runs {
    std::vector<assignment> runs;
    std::int64_t now_unix_ms = 0;
    MSGPACK_DEFINE(runs, now_unix_ms)
};

/// Ends listed by one worker.
struct record_ended_runs {
    worker_incarnation worker;
    std::vector<ended_run> ended_runs;
    std::int64_t now_unix_ms = 0;
    MSGPACK_DEFINE(worker, ended_runs, now_unix_ms)
};

struct released_run {
    run_id run;
    std::string checkpoint; ///< The newest known; may be empty.
    MSGPACK_DEFINE(run, checkpoint)
};

/// Runs that surely do not work and never will: not started, or their worker is gone.
struct release_runs {
    std::vector<released_run> runs;
    std::int64_t now_unix_ms = 0;
    MSGPACK_DEFINE(runs, now_unix_ms)
};

/// Begins occurrences that are due, and forgets jobs that ended long ago.
struct advance_time {
    std::int64_t now_unix_ms = 0;
    std::int64_t forget_ended_before_unix_ms = 0;
    MSGPACK_DEFINE(now_unix_ms, forget_ended_before_unix_ms)
};

using job_command = std::variant<install_configuration, set_evacuation, submit_job, cancel_job,
                                 assign_runs, record_ended_runs, release_runs, advance_time>;

[[nodiscard]] std::string pack_job_command(const job_command& command);
/// Errors: packing_errc::malformed.
[[nodiscard]] absl::StatusOr<job_command> unpack_job_command(std::string_view bytes);

// --- state --------------------------------------------------------------------------------------

enum class task_phase : std::uint8_t { waiting, assigned, done };

struct task_record {
    task_phase phase = task_phase::waiting;
    std::uint32_t last_run = 0;
    std::uint32_t failures = 0;
    worker_incarnation worker; ///< Of the last run.
    std::string checkpoint;
    MSGPACK_DEFINE(phase, last_run, failures, worker, checkpoint)
};

struct step_record {
    std::vector<task_record> tasks;
    std::uint32_t done = 0;
    std::uint32_t assigned = 0;
    /// Gangs: runs in which a member failed.
    std::uint32_t gang_failures = 0;
    std::uint32_t last_failed_run = 0;
    /// Gangs: the run that the members' common checkpoint is of, and whether a stop saved it.
    std::uint32_t checkpoint_run = 0;
    bool checkpoint_from_stop = false;
    MSGPACK_DEFINE(tasks, done, assigned, gang_failures, last_failed_run, checkpoint_run,
                   checkpoint_from_stop)
};

struct occurrence_record {
    std::int64_t due_unix_ms = 0;
    std::vector<step_record> steps;
    MSGPACK_DEFINE(due_unix_ms, steps)
};

enum class job_status : std::uint8_t { queued, running, completed, failed, cancelled };

struct job_record {
    std::string queue;
    std::string service;
    std::string account;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    double stretch = 1.0;
    std::int64_t latency_target_ms = 0;
    job_definition definition;
    std::int64_t submitted_unix_ms = 0;
    std::int64_t ended_unix_ms = 0;
    job_status status = job_status::queued;
    /// Occurrences that have begun and are not over, by number.
    std::map<std::uint32_t, occurrence_record> open;
    std::uint32_t begun = 0;

    [[nodiscard]] bool ended() const { return this->status >= job_status::completed; }
    [[nodiscard]] std::uint32_t occurrence_count() const
    {
        return std::max<std::uint32_t>(1, this->definition.occurrences);
    }
    MSGPACK_DEFINE(queue, service, account, priority, max_attempts, stretch, latency_target_ms,
                   definition, submitted_unix_ms, ended_unix_ms, status, open, begun)
};

enum class command_result : std::uint8_t {
    accepted, ///< Carried out, now or before.
    unknown_queue,
    unknown_key,
    unknown_job,
    conflicting_version, ///< Other content under the version that is held.
    no_configuration,
    stale, ///< The state has moved on; nothing was changed.
};

/// Deterministic: the same commands in the same order give the same state on every replica.
class job_state {
public:
    /// Applies a command.
    command_result apply(const job_command& command);

    [[nodiscard]] std::string pack_snapshot() const;
    /// Errors: packing_errc::malformed.
    [[nodiscard]] absl::Status restore_snapshot(std::string_view bytes);

    [[nodiscard]] const job_configuration& configuration() const
    {
        return this->held.configuration;
    }
    [[nodiscard]] const std::set<std::string>& evacuated() const { return this->held.evacuated; }
    [[nodiscard]] const std::map<std::string, job_record>& jobs() const { return this->held.jobs; }
    [[nodiscard]] const job_record* find(const std::string& id) const;
    [[nodiscard]] const task_record* find(const task_id& id) const;
    /// Runs that are given to a worker and have not ended.
    [[nodiscard]] const std::set<run_id>& runs_on(const worker_incarnation& worker) const;
    [[nodiscard]] const std::map<worker_incarnation, std::set<run_id>>& assigned_runs() const
    {
        return this->runs;
    }
    /// The last listed end of a worker that is recorded.
    [[nodiscard]] std::uint64_t last_recorded_end(const worker_incarnation& worker) const;

    /// The queue with the longest prefix of `path` at `host`; null when there is none.
    [[nodiscard]] const queue_definition* route(std::string_view host, std::string_view path) const;
    /// The account that holds `key`; null when there is none.
    [[nodiscard]] const account_definition* account_of(std::string_view key) const;
    /// Accepted jobs of the queue of which no task has been given to a worker.
    [[nodiscard]] std::uint64_t pending(std::string_view queue) const;
    /// True when an occurrence is due at `now_unix_ms` and has not begun.
    [[nodiscard]] bool occurrence_due(std::int64_t now_unix_ms) const;

private:
    struct contents {
        job_configuration configuration;
        std::set<std::string> evacuated;
        std::map<std::string, job_record> jobs;
        std::map<worker_incarnation, std::uint64_t> recorded;
        MSGPACK_DEFINE(configuration, evacuated, jobs, recorded)
    };

    command_result on(const install_configuration& command);
    command_result on(const set_evacuation& command);
    command_result on(const submit_job& command);
    command_result on(const cancel_job& command);
    command_result on(const assign_runs& command);
    command_result on(const record_ended_runs& command);
    command_result on(const release_runs& command);
    command_result on(const advance_time& command);

    [[nodiscard]] bool can_assign(const assignment& each) const;
    void record_end(const ended_run& end, std::int64_t now_unix_ms);
    static void keep_checkpoint(const step_definition& definition, step_record& step,
                                const run_id& run, const std::string& checkpoint, bool from_stop);
    void finish_tasks(const step_definition& definition, step_record& step, const task_id& ended);
    void count_failure(job_record& job, const ended_run& end, std::int64_t now_unix_ms);
    void detach(const run_id& run, task_record& task, step_record& step);
    void settle(job_record& job, std::uint32_t occurrence, std::int64_t now_unix_ms);
    void begin_occurrences(job_record& job, std::int64_t now_unix_ms);
    void index_runs();

    contents held;
    /// Derived from `held`.
    std::map<worker_incarnation, std::set<run_id>> runs;
};

/// True when all tasks of the steps before `step` are done.
[[nodiscard]] bool is_ready(const job_definition& definition, const occurrence_record& occurrence,
                            std::uint32_t step);

} // namespace redwingwheel::jobs

MSGPACK_ADD_ENUM(redwingwheel::jobs::task_phase)
MSGPACK_ADD_ENUM(redwingwheel::jobs::job_status)
