#include "replica_core.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::replication {

void replica::core::on_append_request(const peer_message& message)
{
    if (!this->accept_leader(message)) {
        if (!this->stopped()) {
            this->send(this->make_answer(message_kind::append_answer, message));
        }
        return;
    }
    for (std::size_t place = 0; place < message.entries.size(); ++place) {
        if (message.entries[place].index != message.position.index + 1 + place) {
            return;
        }
    }
    peer_message answer = this->make_answer(message_kind::append_answer, message);
    const std::optional<log_index> conflict = this->find_conflict(message.position);
    if (conflict.has_value()) {
        answer.position.index = *conflict;
        return this->send(answer);
    }
    if (!this->store_entries(message.entries)) {
        return;
    }
    answer.accepted = true;
    answer.position.index = message.position.index + message.entries.size();
    this->send(answer);
    const log_index known = std::min(message.leader_commit, answer.position.index);
    if (known > this->commit) {
        this->commit = known;
        this->apply_committed();
    }
}

/// Where the leader should go on from when the entry at `position` differs or is missing here;
/// empty when it matches. Committed entries match those of any leader.
std::optional<log_index> replica::core::find_conflict(const log_position& position) const
{
    if (position.index <= this->commit) {
        return std::nullopt;
    }
    const std::optional<term_number> own = this->log.term_at(position.index);
    if (!own.has_value()) {
        return this->log.last().index + 1;
    }
    if (*own == position.term) {
        return std::nullopt;
    }
    return std::max(this->commit + 1, this->log.first_of_term(position.index));
}

bool replica::core::store_entries(const std::vector<log_entry>& entries)
{
    std::vector<log_entry> added;
    for (const log_entry& entry : entries) {
        if (entry.index <= this->commit ||
            (added.empty() && this->log.term_at(entry.index) == entry.term)) {
            continue;
        }
        if (entry.index <= this->log.last().index && !this->truncate_from(entry.index)) {
            return false;
        }
        this->note_members(entry);
        this->log.append(entry);
        added.push_back(entry);
    }
    if (added.empty()) {
        return true;
    }
    const absl::Status status = this->storage.append(added);
    if (!status.ok()) {
        this->stop(status);
    }
    return status.ok();
}

bool replica::core::truncate_from(log_index first)
{
    const absl::Status status = this->storage.truncate_from(first);
    if (!status.ok()) {
        this->stop(status);
        return false;
    }
    this->log.truncate_from(first);
    while (this->member_lists.size() > 1 && this->member_lists.back().index >= first) {
        this->member_lists.pop_back();
    }
    return true;
}

void replica::core::apply_committed()
{
    while (this->applied < this->commit) {
        this->applied = this->applied + 1;
        const log_entry& entry = this->log.at(this->applied);
        if (entry.kind == entry_kind::command) {
            this->hooks.apply(entry);
        }
        const auto found = this->written.find(this->applied);
        if (found != this->written.end()) {
            const propose_callback done = std::move(found->second);
            this->written.erase(found);
            done(this->applied);
        }
    }
    this->maybe_take_snapshot();
}

} // namespace redwingwheel::replication
