#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "redwingwheel/duration_model.h"
#include "redwingwheel/errors.h"
#include "redwingwheel/job_model.h"
#include "redwingwheel/packing.h"
#include "redwingwheel/state_room.h"
#include "redwingwheel/task_table.h"

/// The replicated state of jobs, which every replica derives from the log, entry by entry.
namespace redwingwheel::jobs {

// --- commands -----------------------------------------------------------------------------------

/// Installs `configuration` if its version is higher than that of the installed one.
struct install_configuration {
    job_configuration configuration;
    MSGPACK_DEFINE(configuration)
};

/// Starts or ends the evacuation of a data centre. No task is started in an evacuated data centre.
struct set_evacuation {
    std::string data_centre;
    bool evacuated = false;
    /// Revision that was read while the operator waited for this order. An order that would change
    /// the data centre is stale once another one has been accepted since: the operator may have
    /// given it up before. Empty in log entries of earlier versions, which are never stale.
    std::optional<std::uint64_t> expected_revision = std::nullopt;
    MSGPACK_DEFINE(data_centre, evacuated, expected_revision)
};

struct submit_job {
    std::string id;
    std::string host;
    std::string path;
    std::string key;
    job_definition definition;
    std::int64_t now_unix_ms = 0; ///< On the leader's clock.
    /// See job_record::max_unstarted_occurrences; 0 in log entries of earlier versions.
    std::uint32_t max_unstarted_occurrences = 0;
    MSGPACK_DEFINE(id, host, path, key, definition, now_unix_ms, max_unstarted_occurrences)
};

/// Cancels a job. The id of a job that is not known is withdrawn: a submission of the account that
/// arrives later is refused, since it may be a late copy of one that the caller has given up.
struct cancel_job {
    std::string id;
    std::int64_t now_unix_ms = 0;
    std::string account = {}; ///< The caller's; empty on a public queue.
    MSGPACK_DEFINE(id, now_unix_ms, account)
};

struct assignment {
    run_id run;
    worker_incarnation worker;
    MSGPACK_DEFINE(run, worker)
};

/// Assigns runs to workers. Start orders are sent only after this command is committed. All runs of
/// a gang are in one command, which takes effect as a whole or not at all.
struct assign_runs {
    std::vector<assignment> runs;
    std::int64_t now_unix_ms = 0;
    MSGPACK_DEFINE(runs, now_unix_ms)
};

/// Records runs that have ended on one worker.
struct record_ended_runs {
    worker_incarnation worker;
    std::vector<ended_run> ended_runs;
    std::int64_t now_unix_ms = 0;
    /// Long-running tasks stay open when a run ends as done. False in log entries of earlier
    /// versions, which every replica applies as they were applied then.
    bool restart_long_running = false;
    /// For each of `ended_runs` the time since its assignment; 0: unknown. Shorter, or empty, in
    /// log entries of earlier versions.
    std::vector<std::int64_t> run_times_ms = {};
    MSGPACK_DEFINE(worker, ended_runs, now_unix_ms, restart_long_running, run_times_ms)
};

struct released_run {
    run_id run;
    std::string checkpoint; ///< The newest known one; empty: none.
    MSGPACK_DEFINE(run, checkpoint)
};

/// Unassigns runs that are certain not to run now or later: they were not started, or their worker
/// has ended or lost its lease.
struct release_runs {
    std::vector<released_run> runs;
    std::int64_t now_unix_ms = 0;
    MSGPACK_DEFINE(runs, now_unix_ms)
};

/// Begins the occurrences that are due, and deletes the jobs that ended and the ids that were
/// withdrawn before `forget_ended_before_unix_ms`.
struct advance_time {
    std::int64_t now_unix_ms = 0;
    std::int64_t forget_ended_before_unix_ms = 0;
    MSGPACK_DEFINE(now_unix_ms, forget_ended_before_unix_ms)
};

/// Records that a worker ended without notice. It counts for the tasks of `suspected_runs` and not
/// for those of `progressed_runs`, which the worker had executed for some time.
struct record_worker_crash {
    worker_incarnation worker;
    std::vector<run_id> suspected_runs;
    std::vector<run_id> progressed_runs;
    std::int64_t now_unix_ms = 0;
    /// Its supervisor has observed the crash. Otherwise their host may have lost power, which
    /// explains the end as well as a task does.
    bool observed = true;
    MSGPACK_DEFINE(worker, suspected_runs, progressed_runs, now_unix_ms, observed)
};

/// New alternatives are appended: the log stores the index.
using job_command =
    std::variant<install_configuration, set_evacuation, submit_job, cancel_job, assign_runs,
                 record_ended_runs, release_runs, advance_time, record_worker_crash>;

[[nodiscard]] std::string pack_job_command(const job_command& command);
/// Errors: packing_errc::malformed.
[[nodiscard]] absl::StatusOr<job_command> unpack_job_command(std::string_view bytes);

// --- state --------------------------------------------------------------------------------------

struct step_record {
    task_table tasks;
    std::uint32_t done = 0;
    std::uint32_t assigned = 0;
    /// Gangs only: number of runs in which a member failed.
    std::uint32_t gang_failures = 0;
    std::uint32_t last_failed_run = 0;
    /// Gangs only: the run that saved the common checkpoint of the members, and whether the member
    /// saved it when it was stopped.
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
    /// Occurrences that have begun and not ended, by number.
    std::map<std::uint32_t, occurrence_record> open_occurrences;
    std::uint32_t begun_occurrences = 0;
    /// The last runs of each task that were released and that their workers have not listed as
    /// ended since; without those of long-running tasks.
    std::set<run_id> released_runs;
    /// No further occurrence begins while this many have begun of which no task has been started;
    /// 0: no limit.
    std::uint32_t max_unstarted_occurrences = 0;
    /// Memory that the job takes, in bytes. Derived, not part of snapshots.
    std::uint64_t charged_bytes = 0;
    bool counts_as_pending = false; ///< Derived as well.

    [[nodiscard]] bool ended() const { return this->status >= job_status::completed; }
    [[nodiscard]] std::uint32_t occurrence_count() const
    {
        return std::max<std::uint32_t>(1, this->definition.occurrences);
    }
    MSGPACK_DEFINE(queue, service, account, priority, max_attempts, stretch, latency_target_ms,
                   definition, submitted_unix_ms, ended_unix_ms, status, open_occurrences,
                   begun_occurrences, released_runs, max_unstarted_occurrences)
};

/// The jobs by id. A snapshot holds each job as bytes of its own, so that no more than one of them
/// is decoded at a time. Reads the plain map of earlier versions as well.
class job_map : public std::map<std::string, job_record> {
public:
    template <class Packer>
    void msgpack_pack(Packer& packer) const
    {
        packer.pack_map(static_cast<std::uint32_t>(this->size()));
        for (const auto& [id, job] : *this) {
            const std::string bytes = pack(job);
            packer.pack(id);
            packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
            packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
        }
    }
    void msgpack_unpack(const msgpack::object& object);
};

enum class command_result : std::uint8_t {
    accepted, ///< Carried out, now or earlier.
    unknown_queue,
    unknown_key,
    unknown_job,
    conflicting_version, ///< The installed configuration has this version but other content.
    no_configuration,
    stale,              ///< Does not apply to the current state; nothing was changed.
    invalid_job,        ///< The definition is not well-formed; nothing was changed.
    withdrawn_job,      ///< The job was cancelled before it was submitted; nothing was changed.
    too_many_withdrawn, ///< The account has withdrawn too many ids lately; nothing was changed.
    no_room,            ///< The state has no room for the job; nothing was changed.
};

/// State machine of the jobs. Deterministic: the same commands in the same order result in the same
/// state on every replica.
class job_state {
public:
    command_result apply(const job_command& command);

    [[nodiscard]] std::string pack_snapshot() const;
    /// Errors: packing_errc::malformed.
    [[nodiscard]] absl::Status restore_snapshot(std::string_view bytes);

    [[nodiscard]] const job_configuration& configuration() const
    {
        return this->replicated.configuration;
    }
    [[nodiscard]] const std::set<std::string>& evacuated() const
    {
        return this->replicated.evacuated;
    }
    /// Number of accepted orders to start or end the evacuation of a data centre, without those
    /// that carry no expected revision. Orders that change nothing count too, since the operator
    /// relies on their acknowledgement as well.
    [[nodiscard]] std::uint64_t evacuation_revision(const std::string& data_centre) const;
    [[nodiscard]] const std::map<std::string, job_record>& jobs() const
    {
        return this->replicated.jobs;
    }
    /// What is known from ended runs about how long runs take.
    [[nodiscard]] const duration_model& durations() const { return this->replicated.durations; }
    [[nodiscard]] const job_record* find(const std::string& id) const;
    [[nodiscard]] const task_record* find(const task_id& id) const;
    /// Runs that are assigned to `worker` and have not ended.
    [[nodiscard]] const std::set<run_id>& runs_on(const worker_incarnation& worker) const;
    [[nodiscard]] const std::map<worker_incarnation, std::set<run_id>>& assigned_runs() const
    {
        return this->runs_by_worker;
    }
    /// True when a crash of the worker of `run` would count for its task: the task is open, and
    /// neither this crash nor a sound end of the run is recorded.
    [[nodiscard]] bool can_count_crash(const run_id& run) const;
    /// Number of the last ended run of `worker` that is recorded; 0: none.
    [[nodiscard]] std::uint64_t last_recorded_end(const worker_incarnation& worker) const;
    /// Number of the last superseded end among the recorded ones of `worker`; 0: none. An end is
    /// superseded when its task may have been started elsewhere after it. It changes nothing, and
    /// must not be acknowledged before the worker's lease has expired.
    [[nodiscard]] std::uint64_t last_superseded_end(const worker_incarnation& worker) const;
    /// True when one of the ends that `worker` lists is superseded, recorded or not.
    [[nodiscard]] bool has_superseded_end(const worker_incarnation& worker,
                                          std::span<const ended_run> ended_runs) const;

    /// Returns the queue of `host` with the longest prefix of `path`, or null.
    [[nodiscard]] const queue_definition* find_queue(std::string_view host,
                                                     std::string_view path) const;
    /// Returns the account to which `key` belongs, or null.
    [[nodiscard]] const account_definition* find_account(std::string_view key) const;
    /// Number of jobs of `queue` that were accepted and of which no task has been assigned yet.
    [[nodiscard]] std::uint64_t count_pending_jobs(std::string_view queue) const;
    /// Estimated memory of all jobs, in bytes, and of those of one account, or of one queue for
    /// jobs without an account.
    [[nodiscard]] std::uint64_t charged_bytes() const { return this->total_charge; }
    [[nodiscard]] std::uint64_t charged_bytes(const std::string& owner) const;
    /// Number of accounts and queues that own a job.
    [[nodiscard]] std::size_t owner_count() const { return this->charges_by_owner.size(); }

    /// True when an occurrence of any job is due at `now_unix_ms` and can begin.
    [[nodiscard]] bool occurrence_due(std::int64_t now_unix_ms) const;

private:
    struct replicated_data {
        job_configuration configuration;
        std::set<std::string> evacuated;
        job_map jobs;
        std::map<worker_incarnation, std::uint64_t> last_recorded_ends;
        std::map<worker_incarnation, std::uint64_t> last_superseded_ends;
        /// Unix times in milliseconds at which ids were withdrawn, by account and id.
        std::map<std::string, std::map<std::string, std::int64_t>> withdrawn_ids;
        std::map<std::string, std::uint64_t> evacuation_revisions; ///< By data centre.
        duration_model durations;
        MSGPACK_DEFINE(configuration, evacuated, jobs, last_recorded_ends, last_superseded_ends,
                       withdrawn_ids, evacuation_revisions, durations)
    };

    command_result apply_command(const install_configuration& command);
    command_result apply_command(const set_evacuation& command);
    command_result apply_command(const submit_job& command);
    command_result apply_command(const cancel_job& command);
    command_result apply_command(const assign_runs& command);
    command_result apply_command(const record_ended_runs& command);
    command_result apply_command(const release_runs& command);
    command_result apply_command(const advance_time& command);
    command_result apply_command(const record_worker_crash& command);

    command_result withdraw(const cancel_job& command);
    [[nodiscard]] bool is_withdrawn(const std::string& account, const std::string& id) const;
    [[nodiscard]] bool can_assign(const assignment& each) const;
    static void remember_released(job_record& job, const run_id& run);
    [[nodiscard]] bool is_superseded(const ended_run& end) const;
    /// Learns from a run that is about to be recorded as ended.
    void learn_run_time(const ended_run& end, std::int64_t run_time_ms);
    void record_end(const ended_run& end, const record_ended_runs& command);
    static void store_checkpoint(const step_definition& definition, step_record& step,
                                 const run_id& run, const std::string& checkpoint, bool from_stop);
    void mark_tasks_done(const step_definition& definition, step_record& step,
                         const task_id& ended);
    void count_failure(job_record& job, const ended_run& end, std::int64_t now_unix_ms);
    void count_crash(const run_id& run, const crash_record& crash, std::int64_t now_unix_ms);
    void mark_sound(const run_id& run);
    /// The task must exist.
    [[nodiscard]] task_record& task_at(const task_id& id);
    void unassign(const run_id& run, task_record& task, step_record& step);
    void close_ended_occurrences(job_record& job, std::uint32_t occurrence,
                                 std::int64_t now_unix_ms);
    void begin_occurrences(job_record& job, std::int64_t now_unix_ms);
    /// Closes the occurrences of an ended job that have no assigned task. Once none is open, drops
    /// what is no longer needed of the job.
    void release_ended(job_record& job);
    /// Updates what is derived from the job: what it is charged for, and the pending jobs of its
    /// queue. Called after each change of the job.
    void charge(job_record& job);
    void set_charge(job_record& job, std::uint64_t bytes);
    void rebuild_derived();

    replicated_data replicated;
    /// Assigned runs, derived from `replicated`.
    std::map<worker_incarnation, std::set<run_id>> runs_by_worker;
    /// Derived from `replicated` as well.
    std::uint64_t total_charge = 0;
    std::map<std::string, std::uint64_t> charges_by_owner;
    std::map<std::string, std::uint64_t, std::less<>> pending_by_queue;
};

/// Largest number of withdrawn ids of one account that are kept.
constexpr std::size_t max_withdrawn_ids = 1'000;

/// Largest number of tasks of one occurrence of a job, and of all its occurrences. Each replica
/// keeps a record of every task of an occurrence that has begun, and all occurrences may be due at
/// once.
constexpr std::int64_t max_tasks_of_occurrence = 100'000;
constexpr std::int64_t max_tasks_of_job = 1'000'000;

/// True when there is at least one step, each step has tasks and requires no negative resources,
/// and depends only on earlier steps, and the tasks are within the limits above. Gateways check
/// more than this; the log is checked again, because every replica would fail on the same entry.
[[nodiscard]] bool is_well_formed(const job_definition& definition);

/// Who is charged for the jobs that are submitted to a queue: the account, or without one the
/// queue.
[[nodiscard]] std::string owner_of(std::string_view account, std::string_view queue);

/// What the jobs of `state`, which must outlive the result, take of the room.
[[nodiscard]] room_usage room_usage_of(const job_state& state);

/// Hash of what two submissions of the same job by different ids have in common.
[[nodiscard]] std::uint64_t content_of(const job_definition& definition);

/// Estimated memory in bytes that a job takes until its first task is started.
[[nodiscard]] std::uint64_t estimated_bytes(const job_definition& definition);

/// Largest number of a job's occurrences that are open at the same time although no task of them
/// has been started. Enough for the scheduler to start any number of them one after the other.
constexpr std::uint32_t default_max_unstarted_occurrences = 64;

/// True when the job's next occurrence can begin as far as those that have begun are concerned.
[[nodiscard]] bool can_begin_occurrence(const job_record& job);

/// True when the crashes of the task's workers exceed the limit: it is not started again.
[[nodiscard]] bool has_crashed_too_often(const step_definition& step, const task_record& task);

/// When an occurrence of the job is due, in Unix milliseconds.
[[nodiscard]] std::int64_t due_unix_ms(const job_record& job, std::uint32_t occurrence);

/// True when all tasks of the steps before `step` are done.
[[nodiscard]] bool is_ready(const job_definition& definition, const occurrence_record& occurrence,
                            std::uint32_t step);

} // namespace redwingwheel::jobs

MSGPACK_ADD_ENUM(redwingwheel::jobs::job_status)
