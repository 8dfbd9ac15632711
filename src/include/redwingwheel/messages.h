#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "redwingwheel/claims.h"
#include "redwingwheel/configuration.h"
#include "redwingwheel/gang_messages.h"
#include "redwingwheel/outcome.h"
#include "redwingwheel/permit.h"
#include "redwingwheel/request_info.h"

/// Messages between daemons. Durations and deadlines travel as remaining milliseconds, so that the
/// clocks of two hosts are never compared.
namespace redwingwheel::messages {

enum class kind : std::uint16_t {
    agent_poll = 1,
    entry_poll,
    execute,
    cancel_attempt,
    fetch_answer,
    claim,
    operator_call,
    replication,
    formation,
    join,
    look_up_claim,
    hello,
    form_group,
    worker_poll,
    job_call,
};

/// Identity, location and capacity of a worker, as its agent announces them.
struct worker_announcement {
    std::string worker;
    std::string data_centre;
    std::string rack;
    /// IP:port on which the agent takes requests.
    std::string address;
    std::uint32_t accelerators = 0;
    std::uint32_t accelerators_per_group = 0;
    std::uint32_t cores = 0;
    std::uint64_t memory_mb = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    friend bool operator==(const worker_announcement&, const worker_announcement&) = default;
    MSGPACK_DEFINE(worker, data_centre, rack, address, accelerators, accelerators_per_group, cores,
                   memory_mb, slots, connections)
};

/// Resources that an account has used since the previous usage batch of the same process.
struct usage_delta {
    std::string account;
    std::uint64_t accelerator_ms = 0;
    std::uint64_t requests = 0;
    std::uint64_t request_ms = 0;
    MSGPACK_DEFINE(account, accelerator_ms, requests, request_ms)
};

struct agent_poll {
    std::string worker;
    std::uint64_t incarnation = 0;
    /// Rises with every poll of an incarnation.
    std::uint64_t sequence = 0;
    /// Configuration revision in force at the agent.
    std::uint64_t revision = 0;
    bool shutting_down = false;
    request::load_report load;
    std::vector<membership::member_report> reports;
    /// Number of the usage batch. The agent sends a batch until `usage_batch_recorded` of an answer
    /// reaches its number.
    std::uint64_t usage_batch = 0;
    std::vector<usage_delta> usage;
    /// At most one element. Sent from the first poll on, until an answer has `want_announcement`
    /// unset.
    std::vector<worker_announcement> announcement;
    MSGPACK_DEFINE(worker, incarnation, sequence, revision, shutting_down, load, reports,
                   usage_batch, usage, announcement)
};

/// Properties of a job that an agent needs to run one of its tasks.
struct task_description {
    std::string job;
    std::string account;
    std::string service;
    /// JSON that the submitter gave for the backend servers.
    std::string parameters;
    bool can_checkpoint = false;
    MSGPACK_DEFINE(job, account, service, parameters, can_checkpoint)
};

struct agent_poll_answer {
    membership::permit granted;
    std::vector<config::catch_up> catch_up;
    std::vector<membership::gang_command> commands;
    /// Descriptions of the jobs that the reserve commands among `commands` name.
    std::vector<task_description> tasks;
    bool want_announcement = false;
    std::uint64_t usage_batch_recorded = 0;
    MSGPACK_DEFINE(granted, catch_up, commands, tasks, want_announcement, usage_batch_recorded)
};

/// State of an agent in the table that the control leader sends to entries.
struct agent_state {
    std::string worker;
    std::string data_centre;
    std::string address;
    std::uint64_t incarnation = 0;
    /// The data centre is in service.
    bool may_start = false;
    bool shutting_down = false;
    bool lost = false;
    /// Rest of the ramp-up after the data centre returned to service; 0 outside a ramp-up.
    std::uint64_t ramp_remaining_ms = 0;
    request::load_report load;
    MSGPACK_DEFINE(worker, data_centre, address, incarnation, may_start, shutting_down, lost,
                   ramp_remaining_ms, load)
};

struct entry_poll {
    std::string entry;
    std::string data_centre;
    std::uint64_t revision = 0;
    /// Version and leader term of the agent table that this entry holds.
    std::uint64_t table_version = 0;
    std::uint64_t table_term = 0;
    MSGPACK_DEFINE(entry, data_centre, revision, table_version, table_term)
};

struct entry_poll_answer {
    membership::permit granted;
    std::vector<config::catch_up> catch_up;
    /// Agents that changed since the table version of the poll; all agents when its term is not the
    /// leader's.
    std::vector<agent_state> agents;
    std::uint64_t table_version = 0;
    std::uint64_t table_term = 0;
    MSGPACK_DEFINE(granted, catch_up, agents, table_version, table_term)
};

/// Entry to agent: runs one attempt of a request. Answered by execute_answer.
struct execute {
    std::uint64_t attempt = 0;
    std::string account;
    std::string service;
    request::request_class priority = request::request_class::standard;
    std::uint32_t account_weight = 1;
    std::uint64_t deadline_ms = 0;
    bool idempotent = false;
    /// Worker incarnation that the idempotency claim names; 0 for a request without a claim.
    std::uint64_t claim_incarnation = 0;
    std::string content_type;
    std::string body;
    MSGPACK_DEFINE(attempt, account, service, priority, account_weight, deadline_ms, idempotent,
                   claim_incarnation, content_type, body)
};

struct execute_answer {
    request::answer answer;
    request::load_report load;
    /// True when the agent refused the attempt; the outcome is then not_run.
    bool refused = false;
    MSGPACK_DEFINE(answer, load, refused)
};

struct cancel_attempt {
    std::uint64_t attempt = 0;
    bool claimed = false;
    MSGPACK_DEFINE(attempt, claimed)
};

struct cancel_answer {
    /// True when the attempt did not run and can never start in this incarnation.
    bool never_runs = false;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(never_runs, incarnation)
};

/// Entry to agent: fetches the answer of a claimed attempt after the connection was lost or the
/// entry that sent it has failed.
struct fetch_answer {
    std::uint64_t attempt = 0;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(attempt, incarnation)
};

struct fetched_answer {
    enum class fetch_state : std::uint8_t {
        running,
        finished,
        never_seen,
        other_incarnation,
        forgotten
    };
    fetch_state state = fetch_state::running;
    request::answer answer;
    MSGPACK_DEFINE(state, answer)
};

/// Entry to control: reads the state of the claim of an idempotency key without taking the claim.
struct look_up_claim {
    std::string account;
    std::string key;
    std::uint64_t payload_digest = 0;
    MSGPACK_DEFINE(account, key, payload_digest)
};

/// Result of a claim command; see request::claim_result.
struct claim_reply {
    request::claim_verdict verdict = request::claim_verdict::stale;
    std::uint64_t attempt = 0;
    std::string worker;
    std::uint64_t incarnation = 0;
    /// One element when the verdict is `answered`, else empty.
    std::vector<request::answer> recorded;
    bool body_kept = true;
    MSGPACK_DEFINE(verdict, attempt, worker, incarnation, recorded, body_kept)
};

[[nodiscard]] inline claim_reply to_message(const request::claim_result& result)
{
    claim_reply reply{result.verdict,  result.attempt, result.worker, result.incarnation, {},
                      result.body_kept};
    if (result.recorded.has_value()) {
        reply.recorded.push_back(*result.recorded);
    }
    return reply;
}

/// Envelope of a control replica's reply to a call that only the leader serves. `body` is set when
/// the result is `served`.
struct control_reply {
    enum class result_kind : std::uint8_t {
        served,
        not_leader,
        unavailable, ///< Leadership was lost during the call; it may have been carried out.
        busy,        ///< Too many calls are in progress; this one was not carried out.
    };
    result_kind result = result_kind::unavailable;
    /// Address of the leader; empty when it is not known.
    std::string leader;
    std::string body;
    MSGPACK_DEFINE(result, leader, body)
};

enum class caller_role : std::uint8_t { client_account, operator_role };

/// A call of the operators' or the job interface. Entries authenticate the caller and forward the
/// call, so that the interface can grow without a change of the protocol between daemons.
struct operator_call {
    caller_role role = caller_role::client_account;
    /// Name of the account or of the operator.
    std::string caller;
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    MSGPACK_DEFINE(role, caller, method, path, query, body)
};

struct operator_answer {
    int status = 500;
    /// JSON.
    std::string body;
    MSGPACK_DEFINE(status, body)
};

} // namespace redwingwheel::messages

MSGPACK_ADD_ENUM(redwingwheel::messages::fetched_answer::fetch_state)
MSGPACK_ADD_ENUM(redwingwheel::messages::control_reply::result_kind)
MSGPACK_ADD_ENUM(redwingwheel::messages::caller_role)
MSGPACK_ADD_ENUM(redwingwheel::request::claim_verdict)
MSGPACK_ADD_ENUM(redwingwheel::request::request_class)
