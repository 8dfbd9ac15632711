#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "redwingwheel/claims.h"
#include "redwingwheel/configuration.h"
#include "redwingwheel/gang_messages.h"
#include "redwingwheel/messages.h"
#include "redwingwheel/placement_types.h"
#include "redwingwheel/state_room.h"

/// The replicated state of the control replicas: a deterministic state machine that applies the
/// commands of the log. It reads no clock and no random numbers; commands carry the values they
/// need.
namespace redwingwheel::control {

enum class control_errc { malformed_command = 1, malformed_snapshot };

[[nodiscard]] constexpr std::string_view error_layer(control_errc)
{
    return "control";
}
[[nodiscard]] std::string_view error_name(control_errc code);
[[nodiscard]] constexpr absl::StatusCode error_category(control_errc)
{
    return absl::StatusCode::kDataLoss;
}

/// Properties of a job as submitted.
struct job_description {
    std::string id;
    std::string account;
    std::string service;
    std::uint32_t members = 1;
    std::uint32_t accelerators_per_member = 1;
    placement::cell_level adjacency = placement::cell_level::data_centre;
    placement::job_priority priority = placement::job_priority::normal;
    bool idempotent = false;
    bool can_checkpoint = false;
    std::uint64_t declared_run_ms = 0;
    /// JSON that the backend servers receive with each task.
    std::string parameters;

    friend bool operator==(const job_description&, const job_description&) = default;
    MSGPACK_DEFINE(id, account, service, members, accelerators_per_member, adjacency, priority,
                   idempotent, can_checkpoint, declared_run_ms, parameters)
};

enum class job_state : std::uint8_t { queued, placed, running, done, failed, cancelled, unknown };
[[nodiscard]] std::string_view to_text(job_state state);
[[nodiscard]] bool is_final(job_state state);

struct job_record {
    job_description job;
    job_state state = job_state::queued;
    /// Number of the latest placement; rises with every attempt.
    std::uint64_t epoch = 0;
    /// Number of times the gang was released, and task code may thus have started.
    std::uint32_t starts = 0;
    bool cancel_requested = false;
    std::string reason;
    /// One element per member, in order, while the job is placed or running; else empty.
    std::vector<membership::gang_member_record> members;
    bool borrowed = false;
    bool uses_guarantee = false;
    std::int64_t submitted_ms = 0;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
    /// Hash of the job's parameters, which are dropped when it ends; 0 before.
    std::uint64_t parameters_hash = 0;
    MSGPACK_DEFINE(job, state, epoch, starts, cancel_requested, reason, members, borrowed,
                   uses_guarantee, submitted_ms, started_ms, ended_ms, parameters_hash)
};

/// True when `submitted` is the job of `known`, which may have ended.
[[nodiscard]] bool is_same_job(const job_record& known, const job_description& submitted);

/// Estimated memory in bytes that a job takes until it has ended.
[[nodiscard]] std::uint64_t estimated_bytes(const job_description& job);

struct data_centre_record {
    bool in_service = true;
    /// Log index of the latest change of `in_service`; 0 before the first.
    std::uint64_t change_index = 0;
    std::string operator_name;
    std::int64_t changed_ms = 0;
    /// Log index of the latest accepted order that changed nothing; 0 before the first.
    std::uint64_t repeat_index = 0;

    /// Log index of the latest accepted order, whether it changed anything or not.
    [[nodiscard]] std::uint64_t order_index() const
    {
        return std::max(this->change_index, this->repeat_index);
    }
    MSGPACK_DEFINE(in_service, change_index, operator_name, changed_ms, repeat_index)
};

struct usage_record {
    std::uint64_t accelerator_ms = 0;
    std::uint64_t requests = 0;
    std::uint64_t request_ms = 0;
    MSGPACK_DEFINE(accelerator_ms, requests, request_ms)
};

/// Applies a release note to the configuration. This and the following types are the commands of
/// the log.
struct apply_release_note {
    config::release_note note;
    config::note_origin origin;
    MSGPACK_DEFINE(note, origin)
};
struct set_data_centre {
    std::string data_centre;
    bool in_service = true;
    std::string operator_name;
    std::int64_t now_ms = 0;
    /// data_centre_record::order_index as it was while the operator waited for this order. An order
    /// that would change the data centre is refused once another one has been accepted since: the
    /// operator may have given it up before. Empty in log entries of earlier versions, which always
    /// take effect.
    std::optional<std::uint64_t> expected_order_index = std::nullopt;
    MSGPACK_DEFINE(data_centre, in_service, operator_name, now_ms, expected_order_index)
};
struct announce_worker {
    messages::worker_announcement worker;
    MSGPACK_DEFINE(worker)
};
struct submit_job {
    job_description job;
    std::int64_t now_ms = 0;
    MSGPACK_DEFINE(job, now_ms)
};
struct cancel_job {
    std::string id;
    std::string account;
    std::int64_t now_ms = 0;
    MSGPACK_DEFINE(id, account, now_ms)
};
/// Ends a queued job in `final_state`. Refused for a job in any other state.
struct end_job {
    std::string id;
    job_state final_state = job_state::failed;
    std::string reason;
    std::int64_t now_ms = 0;
    MSGPACK_DEFINE(id, final_state, reason, now_ms)
};
struct place_job {
    std::string id;
    std::uint64_t epoch = 0;
    std::vector<membership::gang_member_record> members;
    bool borrowed = false;
    bool uses_guarantee = false;
    MSGPACK_DEFINE(id, epoch, members, borrowed, uses_guarantee)
};
struct apply_gang_proposal {
    membership::gang_proposal proposal;
    std::int64_t now_ms = 0;
};
struct apply_claim_command {
    request::claim_command command;
};
struct record_usage {
    std::string source;
    std::uint64_t incarnation = 0;
    std::uint64_t batch = 0;
    std::vector<messages::usage_delta> usage;
    MSGPACK_DEFINE(source, incarnation, batch, usage)
};

/// Removes a withdrawn service or account that has no work left, so that its name can be used
/// again.
struct remove_withdrawn {
    config::thing_kind kind = config::thing_kind::services;
    std::string key;
    MSGPACK_DEFINE(kind, key)
};

using command = std::variant<apply_release_note, set_data_centre, announce_worker, submit_job,
                             cancel_job, end_job, place_job, apply_gang_proposal,
                             apply_claim_command, record_usage, remove_withdrawn>;

[[nodiscard]] std::string pack_command(const command& of);
/// Errors: control_errc::malformed_command.
[[nodiscard]] absl::StatusOr<command> unpack_command(std::string_view bytes);

/// Result of applying a command, for its proposer.
struct command_result {
    /// False when the command was refused; `reason` says why.
    bool accepted = true;
    std::string reason;
    /// Set for apply_release_note.
    std::optional<config::apply_result> note_result;
    /// Set for apply_claim_command.
    std::optional<request::claim_result> claim_result;
};

/// Returns the problems that keep the inventory from satisfying a proposed configuration; empty
/// when there are none. Must be deterministic.
using feasibility_function = std::function<std::vector<config::problem>(
    const config::configuration& proposed, const std::vector<messages::worker_announcement>&)>;

class control_state {
public:
    explicit control_state(feasibility_function check);

    /// Applies one command. `index` is its index in the log.
    command_result apply(const command& of, std::uint64_t index);

    [[nodiscard]] const config::configuration& configuration() const { return *this->config; }
    [[nodiscard]] const std::map<std::string, data_centre_record>& data_centres() const
    {
        return this->data_centre_records;
    }
    /// State of a data centre; one without a record is in service with change index 0.
    [[nodiscard]] data_centre_record data_centre(std::string_view name) const;
    [[nodiscard]] const std::map<std::string, messages::worker_announcement>& workers() const
    {
        return this->worker_records;
    }
    [[nodiscard]] const std::map<std::string, job_record, std::less<>>& jobs() const
    {
        return this->job_records;
    }
    [[nodiscard]] const job_record* find_job(std::string_view id) const;
    /// What the jobs that have not ended take of the room, by account. The state must outlive the
    /// result.
    [[nodiscard]] room_usage open_job_usage() const;
    [[nodiscard]] const membership::gang_record_store& gangs() const { return this->gang_records; }
    [[nodiscard]] const request::claim_table& claims() const { return this->claim_records; }
    [[nodiscard]] const std::map<std::string, usage_record>& usage() const
    {
        return this->usage_records;
    }
    /// Number of the latest usage batch of this incarnation that is applied; 0 when there is none.
    [[nodiscard]] std::uint64_t recorded_usage_batch(std::string_view source,
                                                     std::uint64_t incarnation) const;

    [[nodiscard]] std::string pack_snapshot() const;
    /// Replaces the whole state. On an error (control_errc::malformed_snapshot) the state is
    /// unchanged.
    [[nodiscard]] absl::Status restore_snapshot(std::string_view bytes);

private:
    struct usage_source {
        std::uint64_t incarnation = 0;
        std::uint64_t batch = 0;
        MSGPACK_DEFINE(incarnation, batch)
    };
    struct snapshot;

    [[nodiscard]] command_result apply_one(const apply_release_note& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const set_data_centre& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const announce_worker& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const submit_job& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const cancel_job& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const end_job& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const place_job& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const apply_gang_proposal& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const apply_claim_command& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const record_usage& of, std::uint64_t index);
    [[nodiscard]] command_result apply_one(const remove_withdrawn& of, std::uint64_t index);

    void apply_gang_end(const membership::gang_ended& ended, std::int64_t now_ms);
    void finish_job(job_record& job, job_state state, std::string_view reason, std::int64_t now_ms);
    void remove_oldest_ended_jobs();
    /// Counts a job that has not ended.
    void charge(const job_record& job);
    void release_charge(const job_record& job);
    [[nodiscard]] config::configuration_options configuration_options() const;

    feasibility_function feasibility_check;
    std::optional<config::configuration> config;
    std::map<std::string, data_centre_record> data_centre_records;
    std::map<std::string, messages::worker_announcement> worker_records;
    std::map<std::string, job_record, std::less<>> job_records;
    /// Ended jobs in the order of their end, oldest first; bounded.
    std::vector<std::string> ended_jobs;
    membership::gang_record_store gang_records;
    request::claim_table claim_records;
    std::map<std::string, usage_record> usage_records;
    std::map<std::string, usage_source, std::less<>> usage_sources;
    /// Estimated bytes of the jobs that have not ended, derived from `job_records`.
    std::uint64_t open_bytes = 0;
    std::map<std::string, std::uint64_t> open_bytes_by_account;
};

} // namespace redwingwheel::control

MSGPACK_ADD_ENUM(redwingwheel::control::job_state)
MSGPACK_ADD_ENUM(redwingwheel::placement::cell_level)
MSGPACK_ADD_ENUM(redwingwheel::placement::job_priority)
