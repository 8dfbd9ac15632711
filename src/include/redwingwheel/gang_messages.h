#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "redwingwheel/packing.h"

/// Messages and log records of gangs.
namespace redwingwheel::membership {

/// Errors of `gang_coordinator::place`. cells_in_use: an accelerator is named twice or in use.
enum class membership_errc { malformed_gang = 1, gang_exists, cells_in_use };

[[nodiscard]] constexpr std::string_view error_layer(membership_errc)
{
    return "membership";
}
[[nodiscard]] std::string_view error_name(membership_errc code);
[[nodiscard]] absl::StatusCode error_category(membership_errc code);

/// Outcome of a task. none: not ended; not_run: ended without a start; unknown: it may have run,
/// but its result is not known.
enum class task_outcome : std::uint8_t { none, done, failed, not_run, unknown };
[[nodiscard]] std::string_view to_text(task_outcome outcome);

/// One member of one attempt to run a gang.
struct task_key {
    std::string job;
    std::uint64_t epoch = 0;
    std::uint32_t member = 0;

    [[nodiscard]] bool operator==(const task_key&) const = default;
    [[nodiscard]] bool operator<(const task_key& other) const
    {
        return std::tie(this->job, this->epoch, this->member) <
               std::tie(other.job, other.epoch, other.member);
    }
    MSGPACK_DEFINE(job, epoch, member)
};

enum class gang_command_kind : std::uint8_t {
    reserve,
    release,
    checkpoint,
    throttle,
    stop,
    /// The leader has logged the member's end; the agent need not report it any more.
    acknowledge,
};

/// Message from the leader to an agent in the answer to a poll. Repeated until a report shows its
/// effect.
struct gang_command {
    gang_command_kind kind = gang_command_kind::stop;
    task_key task;
    /// The agent's incarnation; 0 in a reserve command when it is not known yet.
    std::uint64_t incarnation = 0;
    /// Term of the leader. An agent ignores commands of a lower term than it has seen.
    std::uint64_t term = 0;
    /// One bit per accelerator of the worker. Only in a reserve command.
    std::uint64_t accelerator_mask = 0;
    /// Only in a reserve command.
    std::uint32_t slots = 0;
    /// Time left: of the reservation, until the checkpoint must be written, or for an orderly stop.
    std::uint64_t remaining_ms = 0;
    /// Share of the full speed, 1 to 100. Only in a throttle command.
    std::uint32_t speed_percent = 100;

    MSGPACK_DEFINE(kind, task, incarnation, term, accelerator_mask, slots, remaining_ms,
                   speed_percent)
};

enum class member_report_kind : std::uint8_t {
    reserved_ready,
    /// Released; the backend server has not confirmed the start yet.
    starting,
    running,
    stopping,
    ended,
    /// The reservation expired before the task started; nothing ran.
    reservation_expired,
};

/// Message from an agent to the leader: the current state of one member, part of every poll until
/// acknowledged.
struct member_report {
    member_report_kind kind = member_report_kind::ended;
    task_key task;
    /// Only with ended and reservation_expired.
    task_outcome outcome = task_outcome::none;
    /// A checkpoint was written.
    bool checkpointed = false;
    std::uint32_t speed_percent = 100;

    MSGPACK_DEFINE(kind, task, outcome, checkpointed, speed_percent)
};

/// A member as placed and logged.
struct gang_member_record {
    std::string worker;
    /// The agent's incarnation; 0 when it is not known yet.
    std::uint64_t incarnation = 0;
    std::uint64_t accelerator_mask = 0;
    std::uint32_t slots = 1;
    task_outcome outcome = task_outcome::none;

    MSGPACK_DEFINE(worker, incarnation, accelerator_mask, slots, outcome)
};

/// Why a gang was abandoned, broken or ended.
enum class gang_end_reason : std::uint8_t {
    /// Every member ended with the outcome done.
    completed,
    member_failed,
    member_lost,
    /// A member had no slot or accelerator free, its reservation expired, or it did not start.
    refused,
    /// A member was not ready or not running by its deadline.
    timed_out,
    reclaimed,
    cancelled,
    leader_changed,
};
[[nodiscard]] std::string_view to_text(gang_end_reason reason);

/// Log record: every member is ready. Release commands are sent only after it is applied.
struct gang_released {
    std::string job;
    std::uint64_t epoch = 0;
    std::vector<gang_member_record> members;
    MSGPACK_DEFINE(job, epoch, members)
};
/// Log record: the gang did not run; its slots and accelerators are free.
struct gang_abandoned {
    std::string job;
    std::uint64_t epoch = 0;
    gang_end_reason reason = gang_end_reason::refused;
    MSGPACK_DEFINE(job, epoch, reason)
};
/// Log record: a member was lost, failed or did not start. The others are being stopped; slots and
/// accelerators are still in use.
struct gang_broken {
    std::string job;
    std::uint64_t epoch = 0;
    gang_end_reason reason = gang_end_reason::member_lost;
    MSGPACK_DEFINE(job, epoch, reason)
};
/// Log record: no member can still run; the slots and accelerators are free.
struct gang_ended {
    std::string job;
    std::uint64_t epoch = 0;
    gang_end_reason reason = gang_end_reason::completed;
    /// Each with its outcome.
    std::vector<gang_member_record> members;
    MSGPACK_DEFINE(job, epoch, reason, members)
};
using gang_proposal = std::variant<gang_released, gang_abandoned, gang_broken, gang_ended>;

enum class logged_gang_phase : std::uint8_t { placed, released, broken };

/// State of a live gang according to the log; part of snapshots.
struct gang_record {
    std::string job;
    std::uint64_t epoch = 0;
    logged_gang_phase phase = logged_gang_phase::placed;
    /// Only in the phase broken.
    gang_end_reason broken_reason = gang_end_reason::member_lost;
    std::vector<gang_member_record> members;
    MSGPACK_DEFINE(job, epoch, phase, broken_reason, members)
};

/// The live gangs according to the applied log records. Each replica keeps one; a new leader
/// restores its coordinator from it.
class gang_record_store {
public:
    /// Adds a placed gang, in place of an earlier gang of the job.
    void place(std::string_view job, std::uint64_t epoch, std::vector<gang_member_record> members);
    /// Applies a log record. Ignored unless the job has a live gang of the same epoch.
    void apply(const gang_proposal& record);
    [[nodiscard]] std::vector<gang_record> records() const;
    /// Replaces all gangs by those of a snapshot.
    void load(std::vector<gang_record> records);

private:
    std::map<std::string, gang_record, std::less<>> gangs;
};

} // namespace redwingwheel::membership

MSGPACK_ADD_ENUM(redwingwheel::membership::task_outcome);
MSGPACK_ADD_ENUM(redwingwheel::membership::gang_command_kind);
MSGPACK_ADD_ENUM(redwingwheel::membership::member_report_kind);
MSGPACK_ADD_ENUM(redwingwheel::membership::gang_end_reason);
MSGPACK_ADD_ENUM(redwingwheel::membership::logged_gang_phase);
