#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/errors.h"
#include "redwingwheel/packing.h"

/// Values and messages of the replicated log. The algorithm takes its ideas from Raft (Ongaro and
/// Ousterhout, 2014; Ongaro's thesis for membership, pre-vote and reads).
namespace redwingwheel::replication {

/// A 64-bit number that does not mix with numbers of another kind.
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
    /// Stops at 0.
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

/// Position in the log. The first entry has index 1; 0 stands before it.
using log_index = strong_number<struct log_index_tag>;
/// Term of a leader. 0 stands before the first.
using term_number = strong_number<struct term_number_tag>;
/// Identity of a replica, drawn at random when its data folder is created. 0 is no replica.
using replica_id = strong_number<struct replica_id_tag>;

enum class replication_errc {
    not_leader = 1,        ///< Refused here; nothing was written.
    outcome_unknown,       ///< Leadership was lost after the entry was written; it may yet commit.
    stopped,               ///< The replica stopped for good; see replica_status::stopped_reason.
    busy,                  ///< Too much is waiting; nothing was written.
    too_large,             ///< The command is over the limit; nothing was written.
    change_in_progress,    ///< Another member change has not committed yet.
    not_caught_up,         ///< The learner lacks committed entries.
    invalid_member_change, ///< The change does not fit the present members.
    invalid_state,         ///< The call does not fit the state of the replica.
    corrupt,               ///< A file is damaged; the text names file and offset.
    sync_failed,           ///< A write or sync failed; the storage takes nothing more.
    disk_full,             ///< No space; the storage takes nothing more.
};

[[nodiscard]] constexpr std::string_view error_layer(replication_errc)
{
    return "replication";
}
[[nodiscard]] std::string_view error_name(replication_errc code);
[[nodiscard]] absl::StatusCode error_category(replication_errc code);

/// A place in the log: an index and the term of the entry there.
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
    /// The command, or a packed member list.
    std::string payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
    MSGPACK_DEFINE(index, term, kind, payload)
};

struct member {
    replica_id id;
    std::string address;
    std::string data_centre;
    /// False for a learner, which receives the log and neither votes nor counts for a commit.
    bool voter = false;

    friend bool operator==(const member&, const member&) = default;
    MSGPACK_DEFINE(id, address, data_centre, voter)
};

/// The state after all entries up to `last_included`.
struct snapshot {
    log_position last_included;
    std::vector<member> members;
    std::string state;

    MSGPACK_DEFINE(last_included, members, state)
};

/// The newest term a replica has seen, and its vote in that term.
struct vote_record {
    term_number term;
    /// 0 when no vote was given.
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
    /// From a leader that has given up its leadership: the receiver is to stand for election at
    /// once. Source: Ongaro's thesis, 3.10.
    campaign_now,
};

/// A part of a snapshot on its way to a follower, or how far the follower has got.
struct snapshot_part {
    log_position last_included;
    std::vector<member> members;
    /// Chunk: where `data` begins. Answer: where the next chunk should begin. Bytes.
    std::uint64_t offset = 0;
    /// Size of the whole state in bytes.
    std::uint64_t total_bytes = 0;
    std::string data;

    MSGPACK_DEFINE(last_included, members, offset, total_bytes, data)
};

/// A message between replicas. Any message may be lost, repeated, delayed or reordered.
struct peer_message {
    message_kind kind = message_kind::append_request;
    replica_id from;
    /// A replica with another identity drops the message: after the loss of a disk the same address
    /// belongs to a new replica, which must not answer for the old one.
    replica_id to;
    /// Set in requests: where the sender can be reached, for receivers that do not know it yet.
    std::string reply_address;
    /// The sender's term; in pre-vote requests and granted answers the term of the wanted election.
    term_number term;
    /// Append request: the entry before `entries`. Vote requests: the sender's last entry.
    /// Accepted append answer: the last index known to match. Refused: index to go on from.
    log_position position;
    log_index leader_commit;
    /// Number of the leader's round of messages; answers repeat it.
    std::uint64_t round = 0;
    /// In answers: whether the request was granted. In vote requests: the leader of the term before
    /// has given up its leadership, so that nobody relies on votes being withheld.
    bool accepted = false;
    std::vector<log_entry> entries;
    snapshot_part part;

    MSGPACK_DEFINE(kind, from, to, reply_address, term, position, leader_commit, round, accepted,
                   entries, part)
};

/// The entry of `members` with identity `id`; null when there is none.
[[nodiscard]] const member* find_member(const std::vector<member>& members, replica_id id);

} // namespace redwingwheel::replication

MSGPACK_ADD_ENUM(redwingwheel::replication::entry_kind)
MSGPACK_ADD_ENUM(redwingwheel::replication::message_kind)
