#include "replica_core.h"

#include <algorithm>

namespace redwingwheel::replication {

void replica::core::maybe_take_snapshot()
{
    const bool due = this->last_applied.value >= this->last_snapshot_position.index.value +
                                                     this->options.snapshot_interval_entries ||
                     this->applied_bytes >= this->options.snapshot_interval_bytes;
    if (!due || this->last_applied == this->last_snapshot_position.index) {
        return;
    }
    const snapshot taken{{this->last_applied, this->log.at(this->last_applied).term},
                         this->members_at(this->last_applied),
                         this->hooks.take_snapshot()};
    const log_index keep_from = std::max(
        this->last_applied + 1 - this->options.trailing_entries,
        std::min(this->log.first_within(this->options.trailing_bytes), this->last_applied + 1));
    const absl::Status status = this->storage.save_snapshot(taken, keep_from);
    if (!status.ok()) {
        return this->stop(status);
    }
    this->last_snapshot_position = taken.last_included;
    this->applied_bytes = 0;
    this->log.drop_through(keep_from - 1);
    while (this->member_lists.size() > 1 && this->member_lists[1].index <= this->last_applied) {
        this->member_lists.erase(this->member_lists.begin());
    }
}

void replica::core::begin_snapshot_transfer(replica_id id, peer_progress& peer)
{
    for (const auto& [other_id, other] : this->peers) {
        if (other.transfer.has_value() &&
            other.transfer->source->last_included == this->last_snapshot_position) {
            peer.transfer = snapshot_transfer{other.transfer->source, 0, {}};
        }
    }
    if (!peer.transfer.has_value()) {
        absl::StatusOr<snapshot> source = this->storage.read_snapshot();
        if (!source.ok()) {
            return this->stop(source.status());
        }
        peer.transfer =
            snapshot_transfer{std::make_shared<const snapshot>(std::move(*source)), 0, {}};
    }
    this->send_snapshot_chunk(id, peer);
}

void replica::core::send_snapshot_chunk(replica_id id, peer_progress& peer)
{
    snapshot_transfer& transfer = *peer.transfer;
    const snapshot& source = *transfer.source;
    peer_message request = this->make_message(message_kind::snapshot_chunk, id);
    request.round = this->round;
    request.part.last_included = source.last_included;
    request.part.members = source.members;
    request.part.offset = transfer.offset;
    request.part.total_bytes = source.state.size();
    request.part.data =
        source.state.substr(transfer.offset, this->options.max_snapshot_chunk_bytes);
    transfer.resend_at = this->now() + 2 * this->options.heartbeat_interval;
    this->send(request);
}

void replica::core::resend_snapshot_chunks()
{
    // Chunks are not resent to a peer that does not answer heartbeats.
    const steady_time alive_since = this->now() - this->options.election_timeout;
    for (auto& [id, peer] : this->peers) {
        if (peer.transfer.has_value() && this->now() >= peer.transfer->resend_at &&
            peer.last_contact >= alive_since) {
            this->send_snapshot_chunk(id, peer);
        }
    }
}

void replica::core::on_snapshot_answer(const peer_message& message)
{
    if (!this->adopt_term(message.term) || this->role != replica_role::leader ||
        message.term != this->vote.term || !this->peers.contains(message.from)) {
        return;
    }
    peer_progress& peer = this->peers.at(message.from);
    this->record_contact(peer, message.round);
    if (!peer.transfer.has_value() ||
        peer.transfer->source->last_included != message.part.last_included) {
        return;
    }
    if (message.accepted) {
        peer.match_index = std::max(peer.match_index, message.part.last_included.index);
        peer.next_index = peer.match_index + 1;
        peer.in_flight_appends = 0;
        peer.transfer.reset();
        this->send_entries(message.from, peer, false);
    }
    else if (message.part.offset != peer.transfer->offset &&
             message.part.offset <= peer.transfer->source->state.size()) {
        peer.transfer->offset = message.part.offset;
        this->send_snapshot_chunk(message.from, peer);
    }
    this->advance_commit();
    this->complete_reads();
}

void replica::core::on_snapshot_chunk(const peer_message& message)
{
    if (!this->accept_leader(message)) {
        if (!this->stopped()) {
            this->send(this->make_answer(message_kind::snapshot_answer, message));
        }
        return;
    }
    peer_message answer = this->make_answer(message_kind::snapshot_answer, message);
    answer.part.last_included = message.part.last_included;
    if (message.part.last_included.index <= this->commit_index) {
        answer.accepted = true;
        return this->send(answer);
    }
    // Two leaders may serialize the same state to different bytes, so chunks of different leaders
    // must not be combined.
    if (this->incoming_snapshot.last_included != message.part.last_included ||
        this->incoming_snapshot_term != message.term) {
        this->incoming_snapshot_term = message.term;
        this->incoming_snapshot = message.part;
        this->incoming_snapshot.data.clear();
    }
    if (message.part.offset == this->incoming_snapshot.data.size()) {
        this->incoming_snapshot.data += message.part.data;
        answer.accepted =
            this->incoming_snapshot.data.size() == this->incoming_snapshot.total_bytes;
    }
    answer.part.offset = this->incoming_snapshot.data.size();
    if (answer.accepted) {
        const snapshot received{this->incoming_snapshot.last_included,
                                std::move(this->incoming_snapshot.members),
                                std::move(this->incoming_snapshot.data)};
        this->incoming_snapshot = {};
        if (!this->install_snapshot(received)) {
            return;
        }
    }
    this->send(answer);
}

bool replica::core::install_snapshot(const snapshot& received)
{
    if (this->log.term_at(received.last_included.index) == received.last_included.term) {
        // The log already contains the end of the snapshot, so it stays and only the commit index
        // advances.
        this->commit_index = received.last_included.index;
        this->apply_committed();
        return !this->stopped();
    }
    const absl::Status status = this->storage.install_snapshot(received);
    if (!status.ok()) {
        this->stop(status);
        return false;
    }
    this->log.reset(received.last_included);
    this->member_lists = {{received.last_included.index, received.members}};
    this->commit_index = received.last_included.index;
    this->last_applied = received.last_included.index;
    this->last_snapshot_position = received.last_included;
    this->applied_bytes = 0;
    this->hooks.restore_snapshot(received);
    return true;
}

} // namespace redwingwheel::replication
