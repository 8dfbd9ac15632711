#include "replica_core.h"

namespace redwingwheel::replication {

milliseconds replica::core::random_timeout(milliseconds minimum, milliseconds spread)
{
    const std::uint64_t range = static_cast<std::uint64_t>(spread.count()) + 1;
    return minimum + milliseconds(static_cast<std::int64_t>(this->hooks.random() % range));
}

void replica::core::reset_election_deadline()
{
    this->election_deadline = this->now() + this->random_timeout(this->options.election_timeout,
                                                                 this->options.election_timeout);
}

/// Retries a failed election after a quarter to three quarters of the election timeout: the leader
/// is already known to be missing, and answers take milliseconds.
void replica::core::reset_retry_deadline()
{
    const milliseconds quarter = this->options.election_timeout / 4;
    this->election_deadline = this->now() + this->random_timeout(quarter, 2 * quarter);
}

std::optional<replica_id> replica::core::known_leader() const
{
    if (this->role == replica_role::leader) {
        return this->identity;
    }
    // votes_withheld_until is one election timeout after the leader was last heard from.
    return this->now() < this->votes_withheld_until ? this->leader : std::nullopt;
}

bool replica::core::withholds_votes() const
{
    return this->role == replica_role::leader || this->now() < this->votes_withheld_until;
}

bool replica::core::is_up_to_date(const log_position& candidate) const
{
    const log_position own = this->log.last();
    if (candidate.term != own.term) {
        return candidate.term > own.term;
    }
    return candidate.index >= own.index;
}

bool replica::core::save_vote(const vote_record& record)
{
    if (record == this->vote) {
        return true;
    }
    this->vote = record;
    if (this->options.mutations.skip_vote_persistence) {
        return true;
    }
    const absl::Status status = this->storage.save_vote(record);
    if (!status.ok()) {
        this->stop(status);
    }
    return status.ok();
}

bool replica::core::adopt_term(term_number term)
{
    if (term <= this->vote.term) {
        return true;
    }
    this->become_follower();
    return this->save_vote({term, {}});
}

void replica::core::become_follower()
{
    const bool was_leader = this->role == replica_role::leader;
    this->role = replica_role::follower;
    this->leader.reset();
    if (was_leader) {
        this->peers.clear();
        this->reset_election_deadline();
        this->fail_pending(replication_errc::not_leader, replication_errc::outcome_unknown,
                           "leadership was lost");
    }
}

/// Asks the voters whether this replica could win an election, without increasing the term.
/// Source: Ongaro's thesis, 9.6.
void replica::core::begin_pre_vote()
{
    if (this->options.mutations.skip_pre_vote) {
        return this->begin_election();
    }
    this->role = replica_role::pre_candidate;
    this->leader.reset();
    this->reset_retry_deadline();
    this->request_votes(message_kind::pre_vote_request, this->vote.term + 1);
}

void replica::core::begin_election(bool leader_resigned)
{
    this->role = replica_role::candidate;
    this->leader.reset();
    this->reset_retry_deadline();
    if (this->save_vote({this->vote.term + 1, this->identity})) {
        this->request_votes(message_kind::vote_request, this->vote.term, leader_resigned);
    }
}

void replica::core::request_votes(message_kind kind, term_number term, bool leader_resigned)
{
    this->votes_received.clear();
    for (const member& other : this->members()) {
        if (!other.voter || other.id == this->identity) {
            continue;
        }
        peer_message request = this->make_message(kind, other.id);
        request.term = term;
        request.position = this->log.last();
        request.accepted = leader_resigned;
        this->send(request);
    }
    this->count_vote(this->identity);
}

void replica::core::count_vote(replica_id from)
{
    if (!this->is_voter(from)) {
        return;
    }
    this->votes_received.insert(from);
    if (this->votes_received.size() < this->quorum_size()) {
        return;
    }
    if (this->role == replica_role::pre_candidate) {
        this->begin_election();
    }
    else if (this->role == replica_role::candidate) {
        this->become_leader();
    }
}

/// Accepts the request only from the leader of the current term, which steps down before sending.
void replica::core::on_campaign_now(const peer_message& message)
{
    if (message.term == this->vote.term && this->role == replica_role::follower &&
        this->leader == message.from && this->is_voter(this->identity)) {
        this->begin_election(true);
    }
}

void replica::core::on_pre_vote_request(const peer_message& message)
{
    peer_message answer = this->make_answer(message_kind::pre_vote_answer, message);
    answer.accepted = message.term > this->vote.term && !this->withholds_votes() &&
                      this->is_up_to_date(message.position);
    if (answer.accepted) {
        answer.term = message.term;
    }
    this->send(answer);
}

void replica::core::on_vote_request(const peer_message& message)
{
    peer_message answer = this->make_answer(message_kind::vote_answer, message);
    const bool withheld =
        this->withholds_votes() && !message.accepted && !this->options.mutations.skip_pre_vote;
    if (message.term > this->vote.term && withheld) {
        // Adopting the term would depose a working leader. Source: Ongaro's thesis, 4.2.3.
        return this->send(answer);
    }
    if (!this->adopt_term(message.term)) {
        return;
    }
    const bool vote_available =
        this->vote.voted_for == replica_id() || this->vote.voted_for == message.from;
    if (message.term == this->vote.term && vote_available &&
        this->is_up_to_date(message.position)) {
        this->role = replica_role::follower;
        if (!this->save_vote({message.term, message.from})) {
            return;
        }
        answer.accepted = true;
        this->reset_election_deadline();
    }
    answer.term = this->vote.term;
    this->send(answer);
}

void replica::core::on_vote_answer(const peer_message& message, replica_role wanted,
                                   term_number term)
{
    if (!message.accepted) {
        static_cast<void>(this->adopt_term(message.term));
        return;
    }
    if (this->role == wanted && message.term == term) {
        this->count_vote(message.from);
    }
}

bool replica::core::accept_leader(const peer_message& message)
{
    if (message.term < this->vote.term || !this->adopt_term(message.term) ||
        this->role == replica_role::leader) {
        return false;
    }
    this->role = replica_role::follower;
    this->leader = message.from;
    this->reset_election_deadline();
    this->votes_withheld_until = this->now() + this->options.election_timeout;
    return true;
}

void replica::core::become_leader()
{
    this->role = replica_role::leader;
    this->leader = this->identity;
    this->leader_since = this->now();
    this->durable_index = this->log.last().index;
    this->first_index_of_term = this->durable_index + 1;
    this->announced_commit_index = this->commit_index;
    this->peers.clear();
    this->update_peers();
    this->queued_proposals.push_front(
        {entry_kind::no_op, {}, [](const absl::StatusOr<log_index>&) {}});
    this->flush();
}

} // namespace redwingwheel::replication
