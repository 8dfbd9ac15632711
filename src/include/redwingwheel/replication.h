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

/// Rules of the protocol that mutation tests switch off, to show that the fault matrix detects the
/// violation. All false in production.
struct protocol_mutations {
    bool accept_any_recipient =
        false; ///< Answers messages sent to an earlier identity at this address.
    bool commit_older_terms = false; ///< Commits entries of older terms by counting replicas.
    bool skip_pre_vote = false; ///< Starts elections without a pre-vote; adopts any higher term.
    bool skip_quorum_check = false;     ///< Remains leader without contact with a quorum.
    bool skip_vote_persistence = false; ///< Does not save the term and the vote to storage.
};

/// Largest command that a replica takes by default. An entry of this size and its envelope fit into
/// one transport frame.
inline constexpr std::size_t default_max_command_bytes = std::size_t{3} * 1024 * 1024;

struct replica_options {
    /// Address at which other replicas reach this one, and its data centre.
    std::string address;
    std::string data_centre;
    /// A follower that hears no leader starts a pre-vote after a random time between one and two
    /// election timeouts. Tolerates delays of tens of milliseconds between data centres; an
    /// election still ends within the 3 s lifetime of a permit.
    milliseconds election_timeout{1000};
    milliseconds heartbeat_interval{200};
    /// A snapshot is taken once this many entries, or entries of this many bytes, have been applied
    /// since the last one. The bytes bound the log in memory and, with two snapshots, on the disk.
    std::uint64_t snapshot_interval_entries = 20'000;
    std::size_t snapshot_interval_bytes = std::size_t{8} * 1024 * 1024;
    /// Entries before the end of a snapshot that stay in the log, so that a follower that lags by
    /// fewer entries needs no snapshot transfer.
    std::uint64_t trailing_entries = 2'000;
    /// Further limit of these entries.
    std::size_t trailing_bytes = std::size_t{4} * 1024 * 1024;
    /// Maximum payload bytes in one append message; transport frames are limited to 4 MiB.
    std::size_t max_append_bytes = 512 * 1024;
    /// Maximum append messages with entries that a follower has not answered yet.
    std::size_t max_in_flight_messages = 4;
    std::size_t max_snapshot_chunk_bytes = 512 * 1024;
    std::size_t max_command_bytes = default_max_command_bytes;
    /// Maximum proposals that are queued or not committed yet, and their bytes; further ones fail
    /// with `busy`.
    std::size_t max_uncommitted_entries = 50'000;
    std::size_t max_uncommitted_bytes = std::size_t{16} * 1024 * 1024;
    /// For tests only.
    protocol_mutations mutations;
};

/// The current term and its leader, as known to this replica.
struct leadership {
    term_number term;
    std::optional<replica_id> leader;
    /// True when this replica leads and has applied the first entry of its term.
    bool self_leads = false;

    friend bool operator==(const leadership&, const leadership&) = default;
};

/// Callbacks through which a replica uses the network and the state machine. They run on the
/// caller's thread, from within the replica's functions, and may call only propose, read_barrier
/// and const functions of the replica.
struct replica_hooks {
    /// Sends a message; delivery is not guaranteed. A peer that is not in the member list is
    /// reached at the `reply_address` of its last request.
    std::function<void(replica_id, const peer_message&)> send;
    /// Applies a committed command to the state machine. Commands arrive in log order, each once
    /// per start. Entries of other kinds are not passed on, so indices have gaps.
    std::function<void(const log_entry&)> apply;
    /// Returns the serialized state after the last applied command.
    std::function<std::string()> take_snapshot;
    /// Replaces the state by that of a snapshot.
    std::function<void(const snapshot&)> restore_snapshot;
    /// Called when any field of `leadership` has changed.
    std::function<void(const leadership&)> leadership_changed;
    /// Returns 64 random bits.
    std::function<std::uint64_t()> random;
};

enum class replica_role { follower, pre_candidate, candidate, leader, stopped };

[[nodiscard]] std::string_view role_name(replica_role role);

struct member_status {
    member member_entry;
    /// The last log entry known to be durable on this member. Set on the leader only; elsewhere 0,
    /// but for the replica's own entry.
    log_index match_index;
    /// When the leader sent the latest message that this member answered; empty when it has
    /// answered none.
    std::optional<steady_time> last_contact;
    /// Since when this leader has had the member in its list; for the leader itself, since when it
    /// has led. Set on the leader only.
    std::optional<steady_time> listed_since;
    /// True when this member holds all committed entries and answered within an election timeout.
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
    /// Text of the error that stopped the replica; empty unless the role is `stopped`.
    std::string stopped_reason;
    std::vector<member_status> members;
};

/// True on the leader when another member has answered from the address of `entry` since `entry`
/// was listed. One process runs at an address at a time and a lost identity never returns, so that
/// `entry` is the older identity of the two and its disk is gone.
[[nodiscard]] bool is_replaced(const member_status& entry, const replica_status& status);

/// One replica of a replicated log. Not thread-safe: the control thread owns it. All its I/O goes
/// through the log storage and the hooks.
class replica {
public:
    using propose_callback = std::function<void(absl::StatusOr<log_index>)>;
    using status_callback = std::function<void(absl::Status)>;

    replica(replica_options initial_options, log_storage& durable_storage, clock_function clock,
            replica_hooks callbacks);
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Opens the storage and restores the last snapshot. Call once, before any other function.
    /// Errors: those of log_storage::open; the replica has then stopped.
    [[nodiscard]] absl::Status start();

    /// Bootstraps a group: writes its first member list. Only for an empty replica, after
    /// decide_formation returned `form`. Errors: invalid_state when the replica has state or is not
    /// among `members`; stopped when the storage fails.
    [[nodiscard]] absl::Status form_group(const std::vector<member>& members);

    /// Flushes, then runs what is due: heartbeats, elections, the quorum check and the resending of
    /// snapshot chunks. Call at least four times per heartbeat interval.
    void tick();

    /// Processes a message from the replica `from`.
    void receive(replica_id from, const peer_message& message);

    /// Queues a command; the next flush or tick writes and sends all queued commands with one sync.
    /// `done` gets the log index once the command is committed and applied on this replica. Errors:
    /// not_leader, busy, too_large (the command was not written); outcome_unknown, stopped (it may
    /// have been written and may still commit).
    void propose(std::string command, propose_callback done);

    /// Writes and sends the queued proposals, and starts the message round that confirms leadership
    /// for pending reads.
    void flush();

    /// Linearizable read: calls `done` with OK once a quorum has confirmed that this replica was
    /// the leader at some moment after the call, and it has applied everything committed before the
    /// call. Errors: not_leader, stopped.
    void read_barrier(status_callback done);

    /// True while this replica is leader and holds its lease: it has applied the no-op entry of its
    /// term, and a quorum has answered messages sent within the last election timeout (less 2% for
    /// clocks that drift by 1% each). No other replica can win an election before the lease ends.
    [[nodiscard]] bool leads() const;

    /// The leader of the current term; empty when none was heard from within an election timeout.
    [[nodiscard]] std::optional<replica_id> known_leader() const;

    /// Member changes, one at a time. `done` gets OK once the change is committed. Errors:
    /// not_leader, change_in_progress, not_caught_up, invalid_member_change, outcome_unknown,
    /// stopped.
    void add_learner(const member& added, status_callback done);
    void promote(replica_id id, status_callback done);
    void remove(replica_id id, status_callback done);

    /// Transfers leadership, for instance before a planned stop: steps down and asks the reachable
    /// voter with the most replicated entries to start an election. No effect unless leader.
    void resign();

    [[nodiscard]] replica_id identity() const;
    [[nodiscard]] bool has_state() const;
    [[nodiscard]] replica_status status() const;
    /// The latest member list in the log of this replica; it may not be committed yet.
    [[nodiscard]] const std::vector<member>& members() const;

private:
    class core;
    std::unique_ptr<core> impl;
};

} // namespace redwingwheel::replication
