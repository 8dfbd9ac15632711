#pragma once

#include "memory_log.h"
#include "redwingwheel/replication.h"

namespace redwingwheel::replication {

/// A snapshot on its way to a peer. One chunk is outstanding at a time.
struct snapshot_transfer {
    std::shared_ptr<const snapshot> source;
    std::uint64_t offset = 0;
    steady_time resend_at;
};

/// What the leader knows of another member.
struct peer_progress {
    /// The next entry to send.
    log_index next;
    /// The last entry known to be durable there.
    log_index match;
    /// The newest round that the peer answered, and when it was sent.
    std::uint64_t answered_round = 0;
    std::optional<steady_time> last_contact;
    std::size_t in_flight = 0;
    /// After a refusal one message is sent at a time, and refusals of older rounds are ignored:
    /// when messages overtake each other, each refusal would otherwise cause several more.
    bool probing = false;
    std::uint64_t probe_round = 0;
    std::optional<snapshot_transfer> transfer;
};

class replica::core {
public:
    core(replica_options chosen, log_storage& durable, clock_function clock,
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
    struct waiting_read {
        /// 0 until a round is started for it.
        std::uint64_t round = 0;
        log_index required;
        status_callback done;
    };
    struct started_round {
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
    /// Ends all work; the reason stays in the status.
    void stop(const absl::Status& reason);
    [[nodiscard]] bool stopped() const { return this->role == replica_role::stopped; }
    [[nodiscard]] peer_message make_message(message_kind kind, replica_id to) const;
    [[nodiscard]] peer_message make_answer(message_kind kind, const peer_message& request) const;
    void send(const peer_message& message) { this->hooks.send(message.to, message); }

    // replica_election.cpp
    [[nodiscard]] milliseconds random_timeout(milliseconds least, milliseconds spread);
    void reset_election_deadline();
    void reset_retry_deadline();
    void begin_pre_vote();
    void begin_election(bool leader_resigned = false);
    void request_votes(message_kind kind, term_number term, bool leader_resigned = false);
    void count_vote(replica_id from);
    /// Makes `record` durable. False when the storage failed and the replica has stopped.
    [[nodiscard]] bool save_vote(const vote_record& record);
    /// Follows `term` when it is newer. False when the replica has stopped.
    [[nodiscard]] bool follow_term(term_number term);
    void become_follower();
    void become_leader();
    [[nodiscard]] bool bars_votes() const;
    [[nodiscard]] bool is_up_to_date(const log_position& candidate) const;
    void on_campaign_now(const peer_message& message);
    void on_pre_vote_request(const peer_message& message);
    void on_vote_request(const peer_message& message);
    void on_vote_answer(const peer_message& message, replica_role wanted, term_number term);
    /// Takes a message of a leader of the present or a newer term. False when it is to be ignored.
    [[nodiscard]] bool accept_leader(const peer_message& message);

    // replica_leader.cpp
    void fail_waiting(replication_errc queued, replication_errc written, std::string_view reason);
    void append_queued();
    void begin_round();
    void broadcast(bool heartbeat);
    void send_entries(replica_id id, peer_progress& peer, bool heartbeat);
    void send_append(replica_id id, peer_progress& peer, std::vector<log_entry> entries);
    void note_contact(peer_progress& peer, std::uint64_t number) const;
    void check_quorum();
    [[nodiscard]] std::optional<steady_time> quorum_contact(std::optional<steady_time> least) const;
    void advance_commit();
    void finish_reads();
    void on_append_answer(const peer_message& message);

    // replica_follower.cpp
    void on_append_request(const peer_message& message);
    [[nodiscard]] std::optional<log_index> find_conflict(const log_position& position) const;
    /// Makes the entries durable. False when the replica has stopped.
    [[nodiscard]] bool store_entries(const std::vector<log_entry>& entries);
    [[nodiscard]] bool truncate_from(log_index first);
    void apply_committed();

    // replica_snapshot.cpp
    void maybe_take_snapshot();
    void begin_transfer(replica_id id, peer_progress& peer);
    void send_chunk(replica_id id, peer_progress& peer);
    void resend_chunks();
    void on_snapshot_chunk(const peer_message& message);
    void on_snapshot_answer(const peer_message& message);
    /// False when the replica has stopped.
    [[nodiscard]] bool install(const snapshot& received);

    // replica_members.cpp
    [[nodiscard]] std::size_t quorum_size() const;
    [[nodiscard]] bool is_voter(replica_id id) const;
    /// The list in force at `index`.
    [[nodiscard]] const std::vector<member>& members_at(log_index index) const;
    void note_members(const log_entry& entry);
    void track_peers();
    [[nodiscard]] bool is_caught_up(replica_id id) const;
    void change_members(const absl::Status& problem, std::vector<member> changed,
                        status_callback done);
    [[nodiscard]] absl::Status check_change() const;

    replica_options options;
    log_storage& storage;
    clock_function now;
    replica_hooks hooks;

    replica_role role = replica_role::follower;
    std::string stopped_reason;
    vote_record vote;
    memory_log log;
    std::vector<member_list> member_lists;
    log_index commit;
    log_index applied;
    log_position snapshot_last;
    std::optional<replica_id> leader;
    leadership notified;

    steady_time election_deadline;
    /// No vote is given before: a leader may rely on this replica's answer until then.
    steady_time votes_barred_until;
    std::set<replica_id> votes;
    /// The chunks received so far, and the term of the leader that sent them.
    snapshot_part incoming;
    term_number incoming_term;

    // Leader only.
    log_index first_of_own_term;
    /// The last own entry that is durable.
    log_index durable;
    log_index announced_commit;
    steady_time leader_since;
    steady_time heartbeat_deadline;
    std::map<replica_id, peer_progress> peers;
    std::uint64_t round = 0;
    std::deque<started_round> rounds;
    std::deque<queued_proposal> queued;
    std::map<log_index, propose_callback> written;
    std::vector<waiting_read> reads;
};

} // namespace redwingwheel::replication
