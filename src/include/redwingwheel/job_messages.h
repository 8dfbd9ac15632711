#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "redwingwheel/job_state.h"
#include "redwingwheel/scheduler.h"

/// What supervisors and gateways say to the leader. Times are remaining milliseconds.
namespace redwingwheel::messages {

/// A start that did not happen and never will.
struct refused_start {
    jobs::run_id run;
    std::string reason;
    MSGPACK_DEFINE(run, reason)
};

/// An incarnation of a supervisor's worker that is over.
struct ended_incarnation {
    jobs::worker_incarnation worker;
    /// Ends that it listed and that the leader has not recorded, as far as the supervisor knows.
    std::vector<jobs::ended_run> ended_runs;
    MSGPACK_DEFINE(worker, ended_runs)
};

/// Supervisor to leader. The leader answers when it has news for the worker, or after a while.
struct worker_poll {
    std::string supervisor;
    /// Rises with every poll of a supervisor's process.
    std::uint64_t sequence = 0;
    jobs::worker_description worker;
    std::vector<jobs::run_progress> running;
    /// Ends that the leader has not recorded, as far as the supervisor knows.
    std::vector<jobs::ended_run> ended_runs;
    std::vector<refused_start> refused;
    std::vector<ended_incarnation> ended;
    /// Digest of the orders in the last answer.
    std::uint64_t orders_digest = 0;
    MSGPACK_DEFINE(supervisor, sequence, worker, running, ended_runs, refused, ended, orders_digest)
};

struct start_order {
    jobs::run_id run;
    std::string payload;
    std::string checkpoint;
    MSGPACK_DEFINE(run, payload, checkpoint)
};

struct worker_poll_answer {
    /// Term of the leader; fences orders of earlier leaders at the worker.
    std::uint64_t term = 0;
    /// Life of the permit, counted from when the poll was sent.
    std::uint64_t permit_ms = 0;
    /// Number of the last end of the worker that is recorded.
    std::uint64_t last_recorded_end = 0;
    /// All runs that are to go on; any other run is to be stopped.
    std::vector<jobs::run_id> wanted;
    /// Those of them that the worker has not listed yet.
    std::vector<start_order> starts;
    /// Runs that were given to the worker and are not to go on. Each ends, or is refused once it
    /// surely cannot start any more.
    std::vector<jobs::run_id> withdrawn;
    /// Incarnations that are over and of which all ends in the poll are recorded.
    std::vector<jobs::worker_incarnation> settled;
    std::uint64_t orders_digest = 0;
    MSGPACK_DEFINE(term, permit_ms, last_recorded_end, wanted, starts, withdrawn, settled,
                   orders_digest)
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
};

/// Gateway to leader.
struct job_call {
    job_operation operation = job_operation::status;
    std::string host;
    std::string path;
    /// The caller's key; unknown keys are refused unless the queue is open.
    std::string key;
    std::string job;
    jobs::job_definition definition;
    jobs::job_configuration configuration;
    std::string data_centre;
    MSGPACK_DEFINE(operation, host, path, key, job, definition, configuration, data_centre)
};

struct job_answer {
    jobs::command_result result = jobs::command_result::stale;
    jobs::job_status status = jobs::job_status::queued;
    std::uint64_t pending = 0;
    /// The configuration as it was sent.
    std::string document;
    MSGPACK_DEFINE(result, status, pending, document)
};

} // namespace redwingwheel::messages

MSGPACK_ADD_ENUM(redwingwheel::messages::job_operation)
MSGPACK_ADD_ENUM(redwingwheel::jobs::command_result)
