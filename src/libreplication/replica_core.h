#pragma once

#include "memory_log.h"
#include "redwingwheel/replication.h"

namespace redwingwheel::replication {

/// A snapshot that the leader sends to a peer. At most one chunk is unanswered at a time.
struct snapshot_transfer {
    std::shared_ptr<const snapshot> source;
    std::uint64_t offset = 0;
    steady_time resend_at;
};

/// The leader's replication progress for another member.
struct peer_progress {
    /// The next entry to send.
    log_index next_index;
    /// The last entry known to be durable on the peer.
    log_index match_index;
    /// When the peer was added to this leader's member list, or the leader was elected.
    steady_time listed_since;
    /// The latest message round that the peer answered, and when that round was sent.
    std::uint64_t answered_round = 0;
    std::optional<steady_time> last_contact;
    std::size_t in_flight_appends = 0;
    /// Set after a rejected append: one append is sent at a time, and rejections of rounds before
    /// `probe_round` are ignored. Otherwise, when messages are reordered, each rejection would
    /// cause several more.
    bool probing = false;
    std::uint64_t probe_round = 0;
    std::optional<snapshot_transfer> transfer;
};

class replica::core {
public:
    core(replica_options initial_options, log_storage& durable_storage, clock_function clock,
         replica_hooks callbacks);

    // replica.cpp
    [[nodiscard]] absl::Status start();
    [[nodiscard]] absl::Status form_group(const std::vector<member>& founders);
    void tick();
    void receive(replica_id from, const peer_message& message);
    [[nodiscard]] replica_status status() const;

    // replica_leader.cpp
    void propose(std::string command, propose_callback done);
    void flush();
    void read_barrier(status_callback done);
    void resign();
    [[nodiscard]] bool leads() const;

    // replica_election.cpp
    [[nodiscard]] std::optional<replica_id> known_leader() const;

    // replica_members.cpp
    void add_learner(const member& added, status_callback done);
    void promote(replica_id id, status_callback done);
    void remove(replica_id id, status_callback done);
    [[nodiscard]] const std::vector<member>& members() const;

    replica_id identity;

    [[nodiscard]] bool has_state() const;
    void notify_leadership();

private:
    struct queued_proposal {
        entry_kind kind = entry_kind::command;
        std::string payload;
        propose_callback done;
    };
    struct pending_read {
        /// The round that confirms leadership for this read; 0 until it has started.
        std::uint64_t round = 0;
        /// The read completes once this entry is applied.
        log_index required;
        status_callback done;
    };
    struct sent_round {
        std::uint64_t number = 0;
        steady_time sent_at;
    };
    struct member_list {
        log_index index;
        std::vector<member> list;
    };

    // replica.cpp
    void restore_log(recovered_state& state);
    void dispatch(const peer_message& message);
    /// Stops the replica permanently and fails all pending work; status() reports the reason.
    void stop(const absl::Status& reason);
    [[nodiscard]] bool stopped() const { return this->role == replica_role::stopped; }
    [[nodiscard]] peer_message make_message(message_kind kind, replica_id to) const;
    [[nodiscard]] peer_message make_answer(message_kind kind, const peer_message& request) const;
    void send(const peer_message& message) { this->hooks.send(message.to, message); }

    // replica_election.cpp
    [[nodiscard]] milliseconds random_timeout(milliseconds minimum, milliseconds spread);
    void reset_election_deadline();
    void reset_retry_deadline();
    void begin_pre_vote();
    void begin_election(bool leader_resigned = false);
    void request_votes(message_kind kind, term_number term, bool leader_resigned = false);
    void count_vote(replica_id from);
    /// Makes `record` durable. Returns false when the storage failed and the replica has stopped.
    [[nodiscard]] bool save_vote(const vote_record& record);
    /// Becomes a follower in `term` when it is newer than the current one. Returns false when the
    /// replica has stopped.
    [[nodiscard]] bool adopt_term(term_number term);
    void become_follower();
    void become_leader();
    /// True while votes must be refused because a leader may still hold its lease.
    [[nodiscard]] bool withholds_votes() const;
    /// True when a log that ends at `candidate` is at least as up to date as this one.
    [[nodiscard]] bool is_up_to_date(const log_position& candidate) const;
    void on_campaign_now(const peer_message& message);
    void on_pre_vote_request(const peer_message& message);
    void on_vote_request(const peer_message& message);
    void on_vote_answer(const peer_message& message, replica_role wanted, term_number term);
    /// Follows the sender of a leader's message of the current or a newer term. Returns false when
    /// the message must not be processed.
    [[nodiscard]] bool accept_leader(const peer_message& message);

    // replica_leader.cpp
    /// Fails queued proposals and pending reads with `queued_code`, appended proposals with
    /// `appended_code`.
    void fail_pending(replication_errc queued_code, replication_errc appended_code,
                      std::string_view reason);
    void append_queued();
    void begin_round();
    void broadcast(bool heartbeat);
    void send_entries(replica_id id, peer_progress& peer, bool heartbeat);
    void send_append(replica_id id, peer_progress& peer, std::vector<log_entry> entries);
    /// Records that `peer` answered the round with this number.
    void record_contact(peer_progress& peer, std::uint64_t round_number) const;
    /// Steps down when no quorum has answered within an election timeout.
    void check_quorum();
    /// The latest time since which a quorum has answered; peers that answered before `floor` count
    /// as having answered then.
    [[nodiscard]] std::optional<steady_time>
    last_quorum_contact(std::optional<steady_time> floor) const;
    void advance_commit();
    void complete_reads();
    void on_append_answer(const peer_message& message);

    // replica_follower.cpp
    void on_append_request(const peer_message& message);
    [[nodiscard]] std::optional<log_index> find_conflict(const log_position& position) const;
    /// Appends the entries that the log lacks and makes them durable; conflicting entries are
    /// removed first. Returns false when the replica has stopped.
    [[nodiscard]] bool store_entries(const std::vector<log_entry>& entries);
    [[nodiscard]] bool truncate_from(log_index first);
    void apply_committed();

    // replica_snapshot.cpp
    void maybe_take_snapshot();
    void begin_snapshot_transfer(replica_id id, peer_progress& peer);
    void send_snapshot_chunk(replica_id id, peer_progress& peer);
    void resend_snapshot_chunks();
    void on_snapshot_chunk(const peer_message& message);
    void on_snapshot_answer(const peer_message& message);
    /// Replaces state and log by `received`. Returns false when the replica has stopped.
    [[nodiscard]] bool install_snapshot(const snapshot& received);

    // replica_members.cpp
    [[nodiscard]] std::size_t quorum_size() const;
    [[nodiscard]] bool is_voter(replica_id id) const;
    /// The member list in effect at `index`.
    [[nodiscard]] const std::vector<member>& members_at(log_index index) const;
    void adopt_members(const log_entry& entry);
    void update_peers();
    [[nodiscard]] bool is_caught_up(replica_id id) const;
    void queue_member_change(const absl::Status& validation, std::vector<member> changed,
                             status_callback done);
    [[nodiscard]] absl::Status check_member_change_allowed() const;

    replica_options options;
    log_storage& storage;
    clock_function now;
    replica_hooks hooks;

    replica_role role = replica_role::follower;
    std::string stopped_reason;
    vote_record vote;
    memory_log log;
    std::vector<member_list> member_lists;
    log_index commit_index;
    log_index last_applied;
    log_position last_snapshot_position;
    /// Payload bytes of the entries applied since the last snapshot.
    std::size_t applied_bytes = 0;
    std::optional<replica_id> leader;
    leadership last_notified;

    steady_time election_deadline;
    /// Votes are refused before this time, because a leader's lease may rest on this replica's last
    /// answer.
    steady_time votes_withheld_until;
    std::set<replica_id> votes_received;
    /// Follower: the snapshot chunks received so far, and the term of the leader that sent them.
    snapshot_part incoming_snapshot;
    term_number incoming_snapshot_term;

    // Leader only.
    log_index first_index_of_term;
    /// The last entry that is durable in this leader's own log.
    log_index durable_index;
    log_index announced_commit_index;
    steady_time leader_since;
    steady_time heartbeat_deadline;
    std::map<replica_id, peer_progress> peers;
    std::uint64_t round = 0;
    std::deque<sent_round> recent_rounds;
    std::deque<queued_proposal> queued_proposals;
    std::size_t queued_bytes = 0;
    /// Callbacks of appended proposals, by index, until the entry is applied.
    std::map<log_index, propose_callback> commit_callbacks;
    std::vector<pending_read> pending_reads;
};

} // namespace redwingwheel::replication
