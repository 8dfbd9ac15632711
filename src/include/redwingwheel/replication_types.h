#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/errors.h"
#include "redwingwheel/packing.h"

/// Values and messages of the replicated log. The protocol follows Raft (Ongaro and Ousterhout,
/// 2014; Ongaro's thesis for membership changes, pre-vote, leadership transfer and reads).
namespace redwingwheel::replication {

/// A 64-bit number with its own type per `Tag`, so that indices, terms and identities cannot be
/// mixed up.
template <class Tag>
struct strong_number {
    std::uint64_t value = 0;

    friend bool operator==(const strong_number&, const strong_number&) = default;
    friend std::strong_ordering operator<=>(const strong_number& left, const strong_number& right)
    {
        return left.value <=> right.value;
    }
    friend strong_number operator+(strong_number left, std::uint64_t right)
    {
        return {left.value + right};
    }
    /// Saturates at 0.
    friend strong_number operator-(strong_number left, std::uint64_t right)
    {
        return {left.value > right ? left.value - right : 0};
    }

    template <class Packer>
    void msgpack_pack(Packer& packer) const
    {
        packer.pack(this->value);
    }
    void msgpack_unpack(const msgpack::object& object) { object.convert(this->value); }
};

/// Index of a log entry. The first entry has index 1; 0 means the position before it.
using log_index = strong_number<struct log_index_tag>;
/// Raft term, in which at most one leader is elected. 0 means before the first term.
using term_number = strong_number<struct term_number_tag>;
/// Identity of a replica, generated at random when its data folder is created. 0 means none.
using replica_id = strong_number<struct replica_id_tag>;

enum class replication_errc {
    not_leader = 1,  ///< This replica is not the leader; nothing was written.
    outcome_unknown, ///< Leadership was lost after the entry was written; it may yet commit.
    stopped,         ///< The replica has stopped permanently; see replica_status::stopped_reason.
    busy,            ///< Too many proposals are uncommitted; nothing was written.
    too_large,       ///< The command is over the limit; nothing was written.
    change_in_progress,    ///< Another member change has not committed yet.
    not_caught_up,         ///< The learner lacks committed entries.
    invalid_member_change, ///< The change does not apply to the current member list.
    invalid_state,         ///< The call is not allowed in the current state of the replica.
    corrupt,               ///< A file is corrupt; the message names the file and the offset.
    sync_failed,           ///< A write or sync failed; the storage accepts no further writes.
    disk_full,             ///< The disk is full; the storage accepts no further writes.
};

[[nodiscard]] constexpr std::string_view error_layer(replication_errc)
{
    return "replication";
}
[[nodiscard]] std::string_view error_name(replication_errc code);
[[nodiscard]] absl::StatusCode error_category(replication_errc code);

/// The index of a log entry together with its term.
struct log_position {
    log_index index;
    term_number term;

    friend bool operator==(const log_position&, const log_position&) = default;
    MSGPACK_DEFINE(index, term)
};

enum class entry_kind { no_op, command, membership };

struct log_entry {
    log_index index;
    term_number term;
    entry_kind kind = entry_kind::no_op;
    /// The command, or a msgpack-encoded member list; empty for a no-op.
    std::string payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
    MSGPACK_DEFINE(index, term, kind, payload)
};

struct member {
    replica_id id;
    std::string address;
    std::string data_centre;
    /// False for a learner, which receives the log but neither votes nor counts towards a quorum.
    bool voter = false;

    friend bool operator==(const member&, const member&) = default;
    MSGPACK_DEFINE(id, address, data_centre, voter)
};

/// The serialized state after all entries up to and including `last_included`.
struct snapshot {
    log_position last_included;
    std::vector<member> members;
    std::string state;

    MSGPACK_DEFINE(last_included, members, state)
};

/// The latest term a replica has seen, and its vote in that term.
struct vote_record {
    term_number term;
    /// 0 when the replica has not voted in this term.
    replica_id voted_for;

    friend bool operator==(const vote_record&, const vote_record&) = default;
    MSGPACK_DEFINE(term, voted_for)
};

enum class message_kind {
    pre_vote_request,
    pre_vote_answer,
    vote_request,
    vote_answer,
    append_request,
    append_answer,
    snapshot_chunk,
    snapshot_answer,
    /// Sent by a leader that has stepped down: the receiver starts an election immediately, without
    /// a pre-vote. TimeoutNow in Ongaro's thesis, 3.10.
    campaign_now,
};

/// In a snapshot_chunk: a part of a snapshot for a follower. In a snapshot_answer: how much of the
/// snapshot the follower has received.
struct snapshot_part {
    log_position last_included;
    std::vector<member> members;
    /// Offset in the state, in bytes. Chunk: where `data` begins. Answer: where the next chunk
    /// should begin.
    std::uint64_t offset = 0;
    /// Size of the whole state in bytes.
    std::uint64_t total_bytes = 0;
    std::string data;

    MSGPACK_DEFINE(last_included, members, offset, total_bytes, data)
};

/// A message between replicas. Messages may be lost, duplicated, delayed or reordered.
struct peer_message {
    message_kind kind = message_kind::append_request;
    replica_id from;
    /// A replica with another identity drops the message: after the loss of a disk, a new replica
    /// uses the same address and must not answer for the old one.
    replica_id to;
    /// Set in requests: the sender's address, for receivers that do not have it in their member
    /// list.
    std::string reply_address;
    /// The sender's term. In pre-vote requests and granted pre-vote answers: the term of the
    /// election that would follow.
    term_number term;
    /// Append request: the entry before `entries`. Vote and pre-vote requests: the sender's last
    /// entry. Accepted append answer: the last index known to match the leader's log. Rejected
    /// append answer: the index from which the leader should send next.
    log_position position;
    log_index leader_commit;
    /// Number of the leader's message round, which answers echo; tells when a request was sent.
    std::uint64_t round = 0;
    /// In answers: whether the request was granted. In vote requests: true when the previous leader
    /// has stepped down, so that its lease no longer requires votes to be withheld.
    bool accepted = false;
    std::vector<log_entry> entries;
    snapshot_part part;

    MSGPACK_DEFINE(kind, from, to, reply_address, term, position, leader_commit, round, accepted,
                   entries, part)
};

/// Returns the entry of `members` with identity `id`, or null.
[[nodiscard]] const member* find_member(const std::vector<member>& members, replica_id id);

} // namespace redwingwheel::replication

MSGPACK_ADD_ENUM(redwingwheel::replication::entry_kind)
MSGPACK_ADD_ENUM(redwingwheel::replication::message_kind)
