#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "redwingwheel/clock.h"
#include "redwingwheel/formation.h"
#include "redwingwheel/log_storage.h"

namespace redwingwheel::replication {

/// Rules of the algorithm that tests switch off to show that the fault matrix notices.
struct protocol_mutations {
    bool accept_any_recipient = false;  ///< Answers for the identity that had the address before.
    bool commit_older_terms = false;    ///< Counts replicas for entries of older terms.
    bool skip_pre_vote = false;         ///< Campaigns at once, and follows any higher term.
    bool skip_quorum_check = false;     ///< Leads on without contact with a quorum.
    bool skip_vote_persistence = false; ///< Does not save term and vote.
};

struct replica_options {
    /// Where other replicas reach this one, and its data centre.
    std::string address;
    std::string data_centre;
    /// Followers wait between one and two of these, drawn at random, before they campaign. Long
    /// enough for delays of tens of milliseconds between data centres, short enough that an
    /// election ends within the 3 s life of a permit.
    milliseconds election_timeout{1000};
    milliseconds heartbeat_interval{200};
    /// A snapshot is taken when this many entries were applied since the last.
    std::uint64_t snapshot_interval_entries = 20'000;
    /// Entries kept behind a snapshot, so that a follower that lags a little needs no transfer.
    std::uint64_t trailing_entries = 2'000;
    /// Payload bytes in one append message; frames are limited to 4 MiB.
    std::size_t max_append_bytes = 512 * 1024;
    /// Append messages with entries sent to a follower ahead of its answers.
    std::size_t max_in_flight_messages = 4;
    std::size_t max_snapshot_chunk_bytes = 512 * 1024;
    std::size_t max_command_bytes = 1024 * 1024;
    /// Proposals waiting or uncommitted before `busy`.
    std::size_t max_uncommitted_entries = 50'000;
    /// For tests only.
    protocol_mutations mutations;
};

/// Who leads, as far as this replica knows.
struct leadership {
    term_number term;
    std::optional<replica_id> leader;
    /// True when this replica leads and has applied the first entry of its term.
    bool self_leads = false;

    friend bool operator==(const leadership&, const leadership&) = default;
};

/// What a replica asks of its surroundings. All are called on the caller's thread, from within
/// replica's functions. They may call propose, read_barrier, status and the other const functions,
/// and nothing else of the replica.
struct replica_hooks {
    /// Sends a message, or loses it. A peer that is not in the member list is reached at the
    /// `reply_address` of its last request.
    std::function<void(replica_id, const peer_message&)> send;
    /// Applies a committed command; commands come in log order, each once per start. Entries of
    /// other kinds are not passed on, so indices have gaps.
    std::function<void(const log_entry&)> apply;
    /// The state after the last applied command.
    std::function<std::string()> take_snapshot;
    /// Replaces the state.
    std::function<void(const snapshot&)> restore_snapshot;
    std::function<void(const leadership&)> leadership_changed;
    /// 64 random bits.
    std::function<std::uint64_t()> random;
};

enum class replica_role { follower, pre_candidate, candidate, leader, stopped };

[[nodiscard]] std::string_view role_name(replica_role role);

struct member_status {
    member member_entry;
    /// Known on the leader; 0 elsewhere.
    log_index match_index;
    /// When the leader sent the last message that this member answered; empty if never.
    std::optional<steady_time> last_contact;
    bool caught_up = false;
};

struct replica_status {
    replica_id id;
    replica_role role = replica_role::follower;
    term_number term;
    std::optional<replica_id> leader;
    log_index commit_index;
    log_index last_applied;
    log_index last_log_index;
    log_index snapshot_last_index;
    /// Empty unless the role is `stopped`.
    std::string stopped_reason;
    std::vector<member_status> members;
};

/// One replica of a replicated log. Not thread-safe: the control thread owns it. Does no I/O of
/// its own beyond `storage` and the hooks.
class replica {
public:
    using propose_callback = std::function<void(absl::StatusOr<log_index>)>;
    using status_callback = std::function<void(absl::Status)>;

    replica(replica_options initial_options, log_storage& durable_storage, clock_function clock,
            replica_hooks callbacks);
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Opens the storage and restores the last snapshot. Call once, before all else.
    [[nodiscard]] absl::Status start();

    /// Writes the first membership. Only for an empty replica, after decide_formation said `form`.
    /// Errors: invalid_state when the replica has state or is not among `members`.
    [[nodiscard]] absl::Status form_group(const std::vector<member>& members);

    /// Acts on the time: heartbeats, elections, the quorum check; then flushes. Call at least four
    /// times per heartbeat interval.
    void tick();

    /// Takes a message from the replica `from`.
    void receive(replica_id from, const peer_message& message);

    /// Queues a command; the next flush or tick writes and sends all that wait, with one sync.
    /// `done` gets the index once the command is committed and applied here. Errors: not_leader,
    /// busy, too_large (all three: not written), outcome_unknown, stopped (may be written).
    void propose(std::string command, propose_callback done);

    /// Writes and sends the waiting proposals, and starts the round that waiting reads need.
    void flush();

    /// Calls `done` with OK when this replica, at some moment after the call, was the leader, and
    /// has applied everything committed before the call. Errors: not_leader, stopped.
    void read_barrier(status_callback done);

    /// True when the leader's own no-op is applied and a quorum answered messages sent within the
    /// last election timeout (less 2% for clocks that drift apart by 1% each). No other replica can
    /// win an election before that time is over.
    [[nodiscard]] bool leads() const;

    /// The leader of the present term, if heard of within an election timeout.
    [[nodiscard]] std::optional<replica_id> known_leader() const;

    /// Member changes, one at a time. `done` gets OK once the change is committed. Errors:
    /// not_leader, change_in_progress, not_caught_up, invalid_member_change, outcome_unknown.
    void add_learner(const member& added, status_callback done);
    void promote(replica_id id, status_callback done);
    void remove(replica_id id, status_callback done);

    /// Gives up leadership, for instance before a planned stop, and asks the follower with the most
    /// entries to take over. No effect on a follower.
    void resign();

    [[nodiscard]] replica_id identity() const;
    [[nodiscard]] bool has_state() const;
    [[nodiscard]] replica_status status() const;
    /// The newest member list this replica knows; it may not be committed yet.
    [[nodiscard]] const std::vector<member>& members() const;

private:
    class core;
    std::unique_ptr<core> impl;
};

} // namespace redwingwheel::replication
