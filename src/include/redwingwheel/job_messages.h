#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "redwingwheel/job_state.h"
#include "redwingwheel/scheduler.h"

/// Messages between supervisors or gateways and the leader. Durations are in milliseconds from the
/// time of sending, because the clocks of two processes may differ.
namespace redwingwheel::messages {

/// A start order that was not carried out and can no longer be.
struct refused_start {
    jobs::run_id run;
    std::string reason;
    MSGPACK_DEFINE(run, reason)
};

/// An earlier incarnation of a supervisor's worker that has ended.
struct ended_incarnation {
    jobs::worker_incarnation worker;
    /// Ended runs that it listed and that the leader is not known to have recorded.
    std::vector<jobs::ended_run> ended_runs;
    std::string evidence; ///< How the supervisor learned of the end, for the log.
    bool crashed = false; ///< It ended without notice while its supervisor was watching it.
    /// Runs that may have been running at the end: listed last, or ordered and not known to be
    /// refused.
    std::vector<jobs::run_id> runs_at_end;
    MSGPACK_DEFINE(worker, ended_runs, evidence, crashed, runs_at_end)
};

/// Long poll of a supervisor. The leader answers when the orders for the worker have changed, or at
/// the end of the maximum poll duration.
struct worker_poll {
    std::string supervisor;
    /// Drawn at random by each process of the supervisor.
    std::uint64_t process = 0;
    /// Incremented with every poll; starts anew with the supervisor's process.
    std::uint64_t sequence = 0;
    jobs::worker_description worker;
    /// The fencing token under which the worker has listed its runs; 0: none.
    std::uint64_t fencing_token = 0;
    /// Announced incarnations that the worker has not confirmed yet and that need a fencing token.
    std::vector<jobs::worker_incarnation> unconfirmed;
    std::vector<jobs::run_progress> running;
    /// Ended runs that the leader is not known to have recorded.
    std::vector<jobs::ended_run> ended_runs;
    std::vector<refused_start> refused_starts;
    std::vector<ended_incarnation> ended_incarnations;
    /// Digest of the orders in the last answer that the supervisor received; 0 when there is none.
    std::uint64_t orders_digest = 0;
    /// Unless the worker answers, `running` is what it listed last. `answers` in polls of processes
    /// that do not know the field.
    jobs::worker_contact contact = jobs::worker_contact::answers;
    MSGPACK_DEFINE(supervisor, sequence, worker, running, ended_runs, refused_starts,
                   ended_incarnations, orders_digest, process, fencing_token, unconfirmed, contact)
};

struct start_order {
    jobs::run_id run;
    std::string payload;
    std::string checkpoint;
    MSGPACK_DEFINE(run, payload, checkpoint)
};

/// Fencing token for the orders of a supervisor's process to an incarnation of its worker.
struct issued_token {
    jobs::worker_incarnation worker;
    std::uint64_t token = 0;
    MSGPACK_DEFINE(worker, token)
};

struct worker_poll_answer {
    std::uint64_t term = 0; ///< Term of the leader.
    /// Tokens for the unconfirmed incarnations, and for the worker when `has_orders` is false.
    std::vector<issued_token> tokens;
    /// False when the poll does not carry the worker's current fencing token, or has no worker:
    /// there are no permit and no orders, and the other fields but `recorded_incarnations` are
    /// unset.
    bool has_orders = false;
    /// Lifetime of the permit to renew leases, from the time at which the poll was sent. 0 when the
    /// poll reports the lease as expired: no permit.
    std::uint64_t permit_ms = 0;
    /// Number of the last ended run of the worker that is recorded; 0: none.
    std::uint64_t last_recorded_end = 0;
    /// Runs that the worker shall execute. The supervisor stops all other runs.
    std::vector<jobs::run_id> desired_runs;
    /// Start orders for those of `desired_runs` that the worker has not listed yet.
    std::vector<start_order> starts;
    /// Runs that are assigned to the worker but shall not run any more. The supervisor reports each
    /// as ended, or as refused once it can no longer start.
    std::vector<jobs::run_id> withdrawn;
    /// Ended incarnations of which all ended runs in the poll are recorded.
    std::vector<jobs::worker_incarnation> recorded_incarnations;
    std::uint64_t orders_digest = 0;
    /// Ended runs up to this number may be acknowledged to the worker only after its lease has
    /// expired; see job_state::last_superseded_end.
    std::uint64_t last_superseded_end = 0;
    MSGPACK_DEFINE(term, permit_ms, last_recorded_end, desired_runs, starts, withdrawn,
                   recorded_incarnations, orders_digest, tokens, has_orders, last_superseded_end)
};

enum class job_operation : std::uint8_t {
    submit,
    cancel,
    status,
    count_pending,
    install_configuration,
    read_configuration,
    evacuate,
    restore,
    read_evacuation,
};

/// A call of a client or an operator that a gateway forwards to the leader.
struct job_call {
    job_operation operation = job_operation::status;
    std::string host;
    std::string path;
    /// The caller's API key. Unknown keys are refused unless the queue has public access.
    std::string key;
    std::string job;
    jobs::job_definition definition;
    jobs::job_configuration configuration;
    std::string data_centre;
    /// Of `evacuate` and `restore`; see set_evacuation::expected_revision.
    std::optional<std::uint64_t> evacuation_revision = std::nullopt;
    MSGPACK_DEFINE(operation, host, path, key, job, definition, configuration, data_centre,
                   evacuation_revision)
};

struct job_answer {
    jobs::command_result result = jobs::command_result::stale;
    jobs::job_status status = jobs::job_status::queued;
    std::uint64_t pending = 0;
    /// Answer to `read_configuration`: the configuration document as it was installed.
    std::string document;
    /// Answer to `read_evacuation`; see job_state::evacuation_revision.
    std::uint64_t evacuation_revision = 0;
    MSGPACK_DEFINE(result, status, pending, document, evacuation_revision)
};

} // namespace redwingwheel::messages

MSGPACK_ADD_ENUM(redwingwheel::messages::job_operation)
MSGPACK_ADD_ENUM(redwingwheel::jobs::command_result)
