#include "replica_core.h"

#include <algorithm>

namespace redwingwheel::replication {

namespace {

/// Lease duration in percent of the election timeout: leaves room for the clocks of the leader and
/// a voter to drift by 1% each.
constexpr int lease_percent = 98;

} // namespace

void replica::core::propose(std::string command, propose_callback done)
{
    if (this->stopped()) {
        return done(make_error(replication_errc::stopped, this->stopped_reason));
    }
    if (this->role != replica_role::leader) {
        return done(make_error(replication_errc::not_leader, "this replica does not lead"));
    }
    if (command.size() > this->options.max_command_bytes) {
        return done(make_error(replication_errc::too_large, "the command is too large"));
    }
    if (this->queued_proposals.size() + this->commit_callbacks.size() >=
        this->options.max_uncommitted_entries) {
        return done(make_error(replication_errc::busy, "too many commands are waiting"));
    }
    if (this->queued_bytes + this->log.bytes_after(this->commit_index) + command.size() >
        this->options.max_uncommitted_bytes) {
        return done(make_error(replication_errc::busy, "too many bytes are waiting"));
    }
    this->queued_bytes += command.size();
    this->queued_proposals.push_back({entry_kind::command, std::move(command), std::move(done)});
}

void replica::core::read_barrier(status_callback done)
{
    if (this->stopped()) {
        return done(make_error(replication_errc::stopped, this->stopped_reason));
    }
    if (this->role != replica_role::leader) {
        return done(make_error(replication_errc::not_leader, "this replica does not lead"));
    }
    // Until an entry of its own term commits, a leader does not know the cluster's commit index.
    const log_index required = std::max(this->commit_index, this->first_index_of_term);
    this->pending_reads.push_back({0, required, std::move(done)});
}

void replica::core::resign()
{
    if (this->role != replica_role::leader) {
        return;
    }
    const steady_time contact_after = this->now() - this->options.election_timeout;
    std::optional<replica_id> successor;
    log_index highest_match;
    for (const auto& [id, peer] : this->peers) {
        const bool reachable = peer.last_contact.has_value() && *peer.last_contact > contact_after;
        if (this->is_voter(id) && reachable &&
            (!successor.has_value() || peer.match_index > highest_match)) {
            successor = id;
            highest_match = peer.match_index;
        }
    }
    this->become_follower();
    this->votes_withheld_until = steady_time();
    if (successor.has_value()) {
        this->send(this->make_message(message_kind::campaign_now, *successor));
    }
}

bool replica::core::leads() const
{
    if (this->role != replica_role::leader || this->last_applied < this->first_index_of_term) {
        return false;
    }
    if (this->options.mutations.skip_quorum_check) {
        return true;
    }
    const std::optional<steady_time> contact = this->last_quorum_contact(std::nullopt);
    return contact.has_value() &&
           this->now() - *contact < this->options.election_timeout * lease_percent / 100;
}

void replica::core::fail_pending(replication_errc queued_code, replication_errc appended_code,
                                 std::string_view reason)
{
    // Callbacks may propose again, so the lists are emptied before any callback runs.
    std::deque<queued_proposal> failed_proposals;
    std::map<log_index, propose_callback> failed_callbacks;
    std::vector<pending_read> failed_reads;
    failed_proposals.swap(this->queued_proposals);
    this->queued_bytes = 0;
    failed_callbacks.swap(this->commit_callbacks);
    failed_reads.swap(this->pending_reads);
    for (const queued_proposal& next : failed_proposals) {
        next.done(make_error(queued_code, reason));
    }
    for (const auto& [index, done] : failed_callbacks) {
        done(make_error(appended_code, reason));
    }
    for (const pending_read& next : failed_reads) {
        next.done(make_error(queued_code, reason));
    }
}

void replica::core::flush()
{
    if (this->role != replica_role::leader) {
        return;
    }
    this->check_quorum();
    if (this->role != replica_role::leader) {
        return;
    }
    const bool has_new_reads =
        std::any_of(this->pending_reads.begin(), this->pending_reads.end(),
                    [](const pending_read& next) { return next.round == 0; });
    if (this->queued_proposals.empty() && !has_new_reads) {
        return;
    }
    this->begin_round();
    for (pending_read& next : this->pending_reads) {
        next.round = next.round == 0 ? this->round : next.round;
    }
    this->append_queued();
}

/// Appends all queued proposals with one sync. They are sent before the sync, so that the
/// followers' syncs run in parallel with the leader's (Ongaro's thesis, 10.2.1); the leader counts
/// itself towards the quorum only after its own sync.
void replica::core::append_queued()
{
    std::vector<log_entry> entries;
    entries.reserve(this->queued_proposals.size());
    for (queued_proposal& next : this->queued_proposals) {
        const log_index index = this->log.last().index + 1;
        log_entry entry{index, this->vote.term, next.kind, std::move(next.payload)};
        this->adopt_members(entry);
        this->commit_callbacks.emplace(index, std::move(next.done));
        this->log.append(entry);
        entries.push_back(std::move(entry));
    }
    this->queued_proposals.clear();
    this->queued_bytes = 0;
    this->update_peers();
    this->broadcast(true);
    if (this->stopped()) {
        return;
    }
    const absl::Status status = this->storage.append(entries);
    if (!status.ok()) {
        return this->stop(status);
    }
    this->durable_index = this->log.last().index;
    this->advance_commit();
    this->complete_reads();
}

void replica::core::begin_round()
{
    ++this->round;
    const steady_time sent_at = this->now();
    this->recent_rounds.push_back({this->round, sent_at});
    while (this->recent_rounds.front().sent_at + 2 * this->options.election_timeout < sent_at) {
        this->recent_rounds.pop_front();
    }
}

void replica::core::broadcast(bool heartbeat)
{
    this->announced_commit_index = this->commit_index;
    this->heartbeat_deadline = this->now() + this->options.heartbeat_interval;
    for (auto& [id, peer] : this->peers) {
        this->send_entries(id, peer, heartbeat);
    }
}

void replica::core::send_entries(replica_id id, peer_progress& peer, bool heartbeat)
{
    if (!peer.transfer.has_value() && !this->log.term_at(peer.next_index - 1).has_value()) {
        this->begin_snapshot_transfer(id, peer);
    }
    if (peer.transfer.has_value() || this->stopped()) {
        if (heartbeat) {
            this->send_append(id, peer, {});
        }
        return;
    }
    bool sent = false;
    const std::size_t in_flight_limit = peer.probing ? 1 : this->options.max_in_flight_messages;
    while (peer.next_index <= this->log.last().index && peer.in_flight_appends < in_flight_limit) {
        this->send_append(id, peer,
                          this->log.slice(peer.next_index, this->options.max_append_bytes));
        ++peer.in_flight_appends;
        sent = true;
    }
    if (heartbeat && !sent) {
        this->send_append(id, peer, {});
    }
}

void replica::core::send_append(replica_id id, peer_progress& peer, std::vector<log_entry> entries)
{
    peer_message request = this->make_message(message_kind::append_request, id);
    if (!peer.transfer.has_value()) {
        // During a snapshot transfer the position stays 0, which matches any log.
        request.position = {peer.next_index - 1,
                            this->log.term_at(peer.next_index - 1).value_or(term_number())};
    }
    request.leader_commit = this->commit_index;
    request.round = this->round;
    request.entries = std::move(entries);
    peer.next_index = peer.next_index + request.entries.size();
    this->send(request);
}

/// The contact time is when the request was sent, not when its answer is read: a process that was
/// paused may read answers long after they arrived.
void replica::core::record_contact(peer_progress& peer, std::uint64_t round_number) const
{
    if (this->recent_rounds.empty() || round_number < this->recent_rounds.front().number ||
        round_number <= peer.answered_round || round_number > this->round) {
        return;
    }
    peer.answered_round = round_number;
    peer.last_contact =
        this->recent_rounds[round_number - this->recent_rounds.front().number].sent_at;
}

std::optional<steady_time>
replica::core::last_quorum_contact(std::optional<steady_time> floor) const
{
    std::vector<std::optional<steady_time>> contacts;
    for (const member& listed_member : this->members()) {
        if (!listed_member.voter) {
            continue;
        }
        std::optional<steady_time> contact = this->now();
        if (listed_member.id != this->identity) {
            contact = std::max(this->peers.at(listed_member.id).last_contact, floor);
        }
        contacts.push_back(contact);
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[this->quorum_size() - 1];
}

void replica::core::check_quorum()
{
    if (this->options.mutations.skip_quorum_check) {
        return;
    }
    const std::optional<steady_time> contact = this->last_quorum_contact(this->leader_since);
    if (this->now() - *contact >= this->options.election_timeout) {
        this->become_follower();
    }
}

void replica::core::advance_commit()
{
    if (this->role != replica_role::leader) {
        return;
    }
    std::vector<log_index> match_indexes;
    for (const member& listed_member : this->members()) {
        if (listed_member.voter) {
            match_indexes.push_back(listed_member.id == this->identity
                                        ? this->durable_index
                                        : this->peers.at(listed_member.id).match_index);
        }
    }
    std::sort(match_indexes.begin(), match_indexes.end(), std::greater<>());
    const log_index quorum_index = match_indexes[this->quorum_size() - 1];
    if (quorum_index <= this->commit_index) {
        return;
    }
    // An entry of an older term can be overwritten although a majority stores it. Source: Raft,
    // 5.4.2.
    if (this->log.term_at(quorum_index) != this->vote.term &&
        !this->options.mutations.commit_older_terms) {
        return;
    }
    this->commit_index = quorum_index;
    this->apply_committed();
    if (!this->stopped() && !this->is_voter(this->identity) &&
        this->commit_index >= this->member_lists.back().index) {
        this->become_follower();
    }
}

void replica::core::complete_reads()
{
    if (this->role != replica_role::leader || this->pending_reads.empty()) {
        return;
    }
    std::vector<std::uint64_t> answered;
    for (const member& listed_member : this->members()) {
        if (listed_member.voter) {
            answered.push_back(listed_member.id == this->identity
                                   ? this->round
                                   : this->peers.at(listed_member.id).answered_round);
        }
    }
    std::sort(answered.begin(), answered.end(), std::greater<>());
    const std::uint64_t confirmed = answered[this->quorum_size() - 1];
    const auto first_waiting =
        std::stable_partition(this->pending_reads.begin(), this->pending_reads.end(),
                              [this, confirmed](const pending_read& next) {
                                  return next.round != 0 && next.round <= confirmed &&
                                         this->last_applied >= next.required;
                              });
    std::vector<pending_read> completed(std::make_move_iterator(this->pending_reads.begin()),
                                        std::make_move_iterator(first_waiting));
    this->pending_reads.erase(this->pending_reads.begin(), first_waiting);
    for (const pending_read& next : completed) {
        next.done(absl::OkStatus());
    }
}

void replica::core::on_append_answer(const peer_message& message)
{
    if (!this->adopt_term(message.term) || this->role != replica_role::leader ||
        message.term != this->vote.term || !this->peers.contains(message.from)) {
        return;
    }
    peer_progress& peer = this->peers.at(message.from);
    this->record_contact(peer, message.round);
    if (message.accepted) {
        peer.probing = false;
        peer.match_index = std::max(peer.match_index, message.position.index);
        peer.next_index = std::max(peer.next_index, peer.match_index + 1);
        peer.in_flight_appends =
            peer.match_index + 1 == peer.next_index || peer.in_flight_appends == 0
                ? 0
                : peer.in_flight_appends - 1;
    }
    else if (!peer.transfer.has_value() && message.round >= peer.probe_round) {
        this->begin_round();
        peer.probing = true;
        peer.probe_round = this->round;
        const log_index hint = std::min(message.position.index, this->log.last().index + 1);
        peer.next_index = std::max(peer.match_index + 1, hint);
        peer.in_flight_appends = 0;
    }
    // A follower that lost acknowledged entries rejects every append; it gets the next one only
    // with the next heartbeat.
    if (message.accepted || message.position.index > peer.match_index) {
        this->send_entries(message.from, peer, false);
    }
    this->advance_commit();
    this->complete_reads();
}

} // namespace redwingwheel::replication
