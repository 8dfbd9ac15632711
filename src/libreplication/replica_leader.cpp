#include "replica_core.h"

#include <algorithm>

namespace redwingwheel::replication {

namespace {

/// The part of the election timeout for which an answer is relied on: two clocks that drift apart
/// by 1% each still agree.
constexpr int trusted_percent = 98;

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
    if (this->queued.size() + this->written.size() >= this->options.max_uncommitted_entries) {
        return done(make_error(replication_errc::busy, "too many commands are waiting"));
    }
    this->queued.push_back({entry_kind::command, std::move(command), std::move(done)});
}

void replica::core::read_barrier(status_callback done)
{
    if (this->stopped()) {
        return done(make_error(replication_errc::stopped, this->stopped_reason));
    }
    if (this->role != replica_role::leader) {
        return done(make_error(replication_errc::not_leader, "this replica does not lead"));
    }
    // Before its own first entry commits, a leader does not know how far the log is committed.
    const log_index required = std::max(this->commit, this->first_of_own_term);
    this->reads.push_back({0, required, std::move(done)});
}

void replica::core::resign()
{
    if (this->role != replica_role::leader) {
        return;
    }
    const steady_time recent = this->now() - this->options.election_timeout;
    std::optional<replica_id> successor;
    log_index most;
    for (const auto& [id, peer] : this->peers) {
        const bool reachable = peer.last_contact.has_value() && *peer.last_contact > recent;
        if (this->is_voter(id) && reachable && (!successor.has_value() || peer.match > most)) {
            successor = id;
            most = peer.match;
        }
    }
    this->become_follower();
    this->votes_barred_until = steady_time();
    if (successor.has_value()) {
        this->send(this->make_message(message_kind::campaign_now, *successor));
    }
}

bool replica::core::leads() const
{
    if (this->role != replica_role::leader || this->applied < this->first_of_own_term) {
        return false;
    }
    if (this->options.mutations.skip_quorum_check) {
        return true;
    }
    const std::optional<steady_time> contact = this->quorum_contact(std::nullopt);
    return contact.has_value() &&
           this->now() - *contact < this->options.election_timeout * trusted_percent / 100;
}

void replica::core::fail_waiting(replication_errc queued_code, replication_errc written_code,
                                 std::string_view reason)
{
    // Callbacks may propose again, so the lists are taken first.
    std::deque<queued_proposal> refused;
    std::map<log_index, propose_callback> unknown;
    std::vector<waiting_read> unread;
    refused.swap(this->queued);
    unknown.swap(this->written);
    unread.swap(this->reads);
    for (const queued_proposal& next : refused) {
        next.done(make_error(queued_code, reason));
    }
    for (const auto& [index, done] : unknown) {
        done(make_error(written_code, reason));
    }
    for (const waiting_read& next : unread) {
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
    const bool reads_wait = std::any_of(this->reads.begin(), this->reads.end(),
                                        [](const waiting_read& next) { return next.round == 0; });
    if (this->queued.empty() && !reads_wait) {
        return;
    }
    this->begin_round();
    for (waiting_read& next : this->reads) {
        next.round = next.round == 0 ? this->round : next.round;
    }
    this->append_queued();
}

/// Writes all queued proposals with one sync. They are sent first, so that the followers' syncs run
/// at the same time as the leader's (Ongaro's thesis, 10.2.1); the leader counts itself only after.
void replica::core::append_queued()
{
    std::vector<log_entry> entries;
    entries.reserve(this->queued.size());
    for (queued_proposal& next : this->queued) {
        const log_index index = this->log.last().index + 1;
        log_entry entry{index, this->vote.term, next.kind, std::move(next.payload)};
        this->note_members(entry);
        this->written.emplace(index, std::move(next.done));
        this->log.append(entry);
        entries.push_back(std::move(entry));
    }
    this->queued.clear();
    this->track_peers();
    this->broadcast(true);
    if (this->stopped()) {
        return;
    }
    const absl::Status status = this->storage.append(entries);
    if (!status.ok()) {
        return this->stop(status);
    }
    this->durable = this->log.last().index;
    this->advance_commit();
    this->finish_reads();
}

void replica::core::begin_round()
{
    ++this->round;
    const steady_time sent_at = this->now();
    this->rounds.push_back({this->round, sent_at});
    while (this->rounds.front().sent_at + 2 * this->options.election_timeout < sent_at) {
        this->rounds.pop_front();
    }
}

void replica::core::broadcast(bool heartbeat)
{
    this->announced_commit = this->commit;
    this->heartbeat_deadline = this->now() + this->options.heartbeat_interval;
    for (auto& [id, peer] : this->peers) {
        this->send_entries(id, peer, heartbeat);
    }
}

void replica::core::send_entries(replica_id id, peer_progress& peer, bool heartbeat)
{
    if (!peer.transfer.has_value() && !this->log.term_at(peer.next - 1).has_value()) {
        this->begin_transfer(id, peer);
    }
    if (peer.transfer.has_value() || this->stopped()) {
        if (heartbeat) {
            this->send_append(id, peer, {});
        }
        return;
    }
    bool sent = false;
    const std::size_t limit = peer.probing ? 1 : this->options.max_in_flight_messages;
    while (peer.next <= this->log.last().index && peer.in_flight < limit) {
        this->send_append(id, peer, this->log.slice(peer.next, this->options.max_append_bytes));
        ++peer.in_flight;
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
        // During a transfer the position stays 0, which matches everywhere and tells nothing.
        request.position = {peer.next - 1,
                            this->log.term_at(peer.next - 1).value_or(term_number())};
    }
    request.leader_commit = this->commit;
    request.round = this->round;
    request.entries = std::move(entries);
    peer.next = peer.next + request.entries.size();
    this->send(request);
}

/// Counts an answer from the moment its request was sent: a process that was paused may read old
/// answers long after they came.
void replica::core::note_contact(peer_progress& peer, std::uint64_t number) const
{
    if (this->rounds.empty() || number < this->rounds.front().number ||
        number <= peer.answered_round || number > this->round) {
        return;
    }
    peer.answered_round = number;
    peer.last_contact = this->rounds[number - this->rounds.front().number].sent_at;
}

std::optional<steady_time> replica::core::quorum_contact(std::optional<steady_time> least) const
{
    std::vector<std::optional<steady_time>> contacts;
    for (const member& who : this->members()) {
        if (!who.voter) {
            continue;
        }
        std::optional<steady_time> contact = this->now();
        if (who.id != this->identity) {
            contact = std::max(this->peers.at(who.id).last_contact, least);
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
    const std::optional<steady_time> contact = this->quorum_contact(this->leader_since);
    if (this->now() - *contact >= this->options.election_timeout) {
        this->become_follower();
    }
}

void replica::core::advance_commit()
{
    if (this->role != replica_role::leader) {
        return;
    }
    std::vector<log_index> matches;
    for (const member& who : this->members()) {
        if (who.voter) {
            matches.push_back(who.id == this->identity ? this->durable
                                                       : this->peers.at(who.id).match);
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const log_index reached = matches[this->quorum_size() - 1];
    if (reached <= this->commit) {
        return;
    }
    // An entry of an older term may be on a majority and still be overwritten. Source: Raft, 5.4.2.
    if (this->log.term_at(reached) != this->vote.term &&
        !this->options.mutations.commit_older_terms) {
        return;
    }
    this->commit = reached;
    this->apply_committed();
    if (!this->stopped() && !this->is_voter(this->identity) &&
        this->commit >= this->member_lists.back().index) {
        this->become_follower();
    }
}

void replica::core::finish_reads()
{
    if (this->role != replica_role::leader || this->reads.empty()) {
        return;
    }
    std::vector<std::uint64_t> answered;
    for (const member& who : this->members()) {
        if (who.voter) {
            answered.push_back(who.id == this->identity ? this->round
                                                        : this->peers.at(who.id).answered_round);
        }
    }
    std::sort(answered.begin(), answered.end(), std::greater<>());
    const std::uint64_t confirmed = answered[this->quorum_size() - 1];
    const auto first_waiting = std::stable_partition(
        this->reads.begin(), this->reads.end(), [this, confirmed](const waiting_read& next) {
            return next.round != 0 && next.round <= confirmed && this->applied >= next.required;
        });
    std::vector<waiting_read> finished(std::make_move_iterator(this->reads.begin()),
                                       std::make_move_iterator(first_waiting));
    this->reads.erase(this->reads.begin(), first_waiting);
    for (const waiting_read& next : finished) {
        next.done(absl::OkStatus());
    }
}

void replica::core::on_append_answer(const peer_message& message)
{
    if (!this->follow_term(message.term) || this->role != replica_role::leader ||
        message.term != this->vote.term || !this->peers.contains(message.from)) {
        return;
    }
    peer_progress& peer = this->peers.at(message.from);
    this->note_contact(peer, message.round);
    if (message.accepted) {
        peer.probing = false;
        peer.match = std::max(peer.match, message.position.index);
        peer.next = std::max(peer.next, peer.match + 1);
        peer.in_flight =
            peer.match + 1 == peer.next || peer.in_flight == 0 ? 0 : peer.in_flight - 1;
    }
    else if (!peer.transfer.has_value() && message.round >= peer.probe_round) {
        this->begin_round();
        peer.probing = true;
        peer.probe_round = this->round;
        const log_index hint = std::min(message.position.index, this->log.last().index + 1);
        peer.next = std::max(peer.match + 1, hint);
        peer.in_flight = 0;
    }
    // A follower that lost what it had acknowledged refuses everything; it is asked again with the
    // next heartbeat only.
    if (message.accepted || message.position.index > peer.match) {
        this->send_entries(message.from, peer, false);
    }
    this->advance_commit();
    this->finish_reads();
}

} // namespace redwingwheel::replication
