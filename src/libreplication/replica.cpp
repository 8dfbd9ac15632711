#include "redwingwheel/replication.h"

#include <algorithm>

#include <fmt/format.h>

#include "replica_core.h"

namespace redwingwheel::replication {

std::string_view role_name(replica_role role)
{
    switch (role) {
    case replica_role::follower:
        return "follower";
    case replica_role::pre_candidate:
        return "pre_candidate";
    case replica_role::candidate:
        return "candidate";
    case replica_role::leader:
        return "leader";
    case replica_role::stopped:
        return "stopped";
    }
    return "unknown";
}

replica::core::core(replica_options initial_options, log_storage& durable_storage,
                    clock_function clock, replica_hooks callbacks)
    : options(std::move(initial_options)), storage(durable_storage), now(std::move(clock)),
      hooks(std::move(callbacks))
{
}

absl::Status replica::core::start()
{
    absl::StatusOr<recovered_state> state = this->storage.open();
    if (!state.ok()) {
        this->stop(state.status());
        return state.status();
    }
    this->identity = state->identity;
    this->vote = state->vote;
    this->member_lists.push_back({});
    this->restore_log(*state);
    const log_position last = this->log.last();
    if (last.term > this->vote.term) {
        this->vote = {last.term, {}};
    }
    this->reset_election_deadline();
    this->votes_withheld_until = this->now();
    if (this->has_state()) {
        // A leader's lease may rest on an answer that this replica sent before it restarted.
        this->votes_withheld_until += this->options.election_timeout;
    }
    if (this->quorum_size() == 1 && this->is_voter(this->identity)) {
        this->election_deadline = this->now();
    }
    return absl::OkStatus();
}

void replica::core::restore_log(recovered_state& state)
{
    if (state.last_snapshot.has_value()) {
        const snapshot& last = *state.last_snapshot;
        this->last_snapshot_position = last.last_included;
        this->commit_index = last.last_included.index;
        this->last_applied = last.last_included.index;
        this->log.reset(last.last_included);
        this->member_lists = {{last.last_included.index, last.members}};
        this->hooks.restore_snapshot(last);
    }
    if (state.entries.empty()) {
        return;
    }
    const log_entry& first = state.entries.front();
    if (first.index <= this->last_snapshot_position.index) {
        // The term of the entry before the first one is unknown, so the first entry becomes the
        // base.
        this->log.reset(first.index.value == 1 ? log_position()
                                               : log_position{first.index, first.term});
    }
    for (log_entry& entry : state.entries) {
        if (entry.index <= this->log.base().index) {
            continue;
        }
        if (entry.index > this->last_snapshot_position.index) {
            this->adopt_members(entry);
        }
        this->log.append(std::move(entry));
    }
}

bool replica::core::has_state() const
{
    return this->vote != vote_record() || this->log.last().index.value > 0;
}

absl::Status replica::core::form_group(const std::vector<member>& founders)
{
    if (this->stopped() || this->has_state()) {
        return make_error(
            replication_errc::invalid_state,
            "only an empty replica can form a group; this one has state or has stopped");
    }
    if (find_member(founders, this->identity) == nullptr) {
        return make_error(replication_errc::invalid_state,
                          "this replica is not in the member list of the new group");
    }
    // Only the replica that forms the group writes an entry of term 1: elections start with term 2.
    this->vote = {{1}, {}};
    const log_entry first{{1}, {1}, entry_kind::membership, pack(founders)};
    if (!this->store_entries({first})) {
        return make_error(replication_errc::stopped, this->stopped_reason);
    }
    this->election_deadline = this->now();
    return absl::OkStatus();
}

void replica::core::tick()
{
    if (this->stopped()) {
        return;
    }
    this->flush();
    if (this->role == replica_role::leader) {
        this->resend_snapshot_chunks();
        const bool due = this->now() >= this->heartbeat_deadline;
        if (due || this->announced_commit_index < this->commit_index) {
            this->begin_round();
            this->broadcast(true);
        }
    }
    else if (!this->stopped() && this->is_voter(this->identity) &&
             this->now() >= this->election_deadline) {
        this->begin_pre_vote();
    }
}

void replica::core::receive(replica_id from, const peer_message& message)
{
    if (this->stopped() || message.from != from || from == this->identity) {
        return;
    }
    if (message.to != this->identity && !this->options.mutations.accept_any_recipient) {
        return;
    }
    if (this->role == replica_role::leader) {
        // The process may have been paused while the other replicas elected a new leader; answers
        // that were queued meanwhile must not renew the lease.
        this->check_quorum();
    }
    this->dispatch(message);
}

void replica::core::dispatch(const peer_message& message)
{
    switch (message.kind) {
    case message_kind::pre_vote_request:
        return this->on_pre_vote_request(message);
    case message_kind::pre_vote_answer:
        return this->on_vote_answer(message, replica_role::pre_candidate, this->vote.term + 1);
    case message_kind::vote_request:
        return this->on_vote_request(message);
    case message_kind::vote_answer:
        return this->on_vote_answer(message, replica_role::candidate, this->vote.term);
    case message_kind::append_request:
        return this->on_append_request(message);
    case message_kind::append_answer:
        return this->on_append_answer(message);
    case message_kind::snapshot_chunk:
        return this->on_snapshot_chunk(message);
    case message_kind::snapshot_answer:
        return this->on_snapshot_answer(message);
    case message_kind::campaign_now:
        return this->on_campaign_now(message);
    }
}

void replica::core::stop(const absl::Status& reason)
{
    this->role = replica_role::stopped;
    this->leader.reset();
    this->stopped_reason = errors::message_of(reason);
    this->fail_pending(replication_errc::stopped, replication_errc::stopped, this->stopped_reason);
}

peer_message replica::core::make_message(message_kind kind, replica_id to) const
{
    peer_message message;
    message.kind = kind;
    message.from = this->identity;
    message.to = to;
    message.reply_address = this->options.address;
    message.term = this->vote.term;
    return message;
}

peer_message replica::core::make_answer(message_kind kind, const peer_message& request) const
{
    peer_message answer;
    answer.kind = kind;
    // Equals this replica's identity unless the mutation accept_any_recipient is on.
    answer.from = request.to;
    answer.to = request.from;
    answer.term = this->vote.term;
    answer.round = request.round;
    return answer;
}

replica_status replica::core::status() const
{
    replica_status report;
    report.id = this->identity;
    report.role = this->role;
    report.term = this->vote.term;
    report.leader = this->known_leader();
    report.commit_index = this->commit_index;
    report.last_applied = this->last_applied;
    report.last_log_index = this->log.last().index;
    report.snapshot_last_index = this->last_snapshot_position.index;
    report.stopped_reason = this->stopped_reason;
    for (const member& listed_member : this->members()) {
        member_status& entry = report.members.emplace_back();
        entry.member_entry = listed_member;
        const auto found = this->peers.find(listed_member.id);
        if (found != this->peers.end()) {
            entry.match_index = found->second.match_index;
            entry.last_contact = found->second.last_contact;
            entry.listed_since = found->second.listed_since;
            entry.caught_up = this->is_caught_up(listed_member.id);
        }
        else if (listed_member.id == this->identity && !this->stopped()) {
            entry.match_index = report.last_log_index;
            entry.last_contact = this->now();
            if (this->role == replica_role::leader) {
                entry.listed_since = this->leader_since;
            }
            entry.caught_up = this->role == replica_role::leader;
        }
    }
    return report;
}

void replica::core::notify_leadership()
{
    const bool self_leads =
        this->role == replica_role::leader && this->last_applied >= this->first_index_of_term;
    const leadership current{this->vote.term, this->known_leader(), self_leads};
    if (current != this->last_notified) {
        this->last_notified = current;
        this->hooks.leadership_changed(current);
    }
}

replica::replica(replica_options initial_options, log_storage& durable_storage,
                 clock_function clock, replica_hooks callbacks)
    : impl(std::make_unique<core>(std::move(initial_options), durable_storage, std::move(clock),
                                  std::move(callbacks)))
{
}

replica::~replica() = default;

absl::Status replica::start()
{
    return this->impl->start();
}

absl::Status replica::form_group(const std::vector<member>& members)
{
    return this->impl->form_group(members);
}

void replica::tick()
{
    this->impl->tick();
    this->impl->notify_leadership();
}

void replica::receive(replica_id from, const peer_message& message)
{
    this->impl->receive(from, message);
    this->impl->notify_leadership();
}

void replica::propose(std::string command, propose_callback done)
{
    this->impl->propose(std::move(command), std::move(done));
}

void replica::flush()
{
    this->impl->flush();
    this->impl->notify_leadership();
}

void replica::read_barrier(status_callback done)
{
    this->impl->read_barrier(std::move(done));
}

bool replica::leads() const
{
    return this->impl->leads();
}

std::optional<replica_id> replica::known_leader() const
{
    return this->impl->known_leader();
}

void replica::add_learner(const member& added, status_callback done)
{
    this->impl->add_learner(added, std::move(done));
}

void replica::promote(replica_id id, status_callback done)
{
    this->impl->promote(id, std::move(done));
}

void replica::remove(replica_id id, status_callback done)
{
    this->impl->remove(id, std::move(done));
}

void replica::resign()
{
    this->impl->resign();
    this->impl->notify_leadership();
}

replica_id replica::identity() const
{
    return this->impl->identity;
}

bool replica::has_state() const
{
    return this->impl->has_state();
}

replica_status replica::status() const
{
    return this->impl->status();
}

const std::vector<member>& replica::members() const
{
    return this->impl->members();
}

} // namespace redwingwheel::replication
