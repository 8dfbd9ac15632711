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
    for (std::size_t offset = 0; offset < message.entries.size(); ++offset) {
        if (message.entries[offset].index != message.position.index + 1 + offset) {
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
    const log_index new_commit_index = std::min(message.leader_commit, answer.position.index);
    if (new_commit_index > this->commit_index) {
        this->commit_index = new_commit_index;
        this->apply_committed();
    }
}

/// Returns the index from which the leader should send next when the entry at `position` is missing
/// or has another term; empty when it matches. Committed entries match those of any leader.
std::optional<log_index> replica::core::find_conflict(const log_position& position) const
{
    if (position.index <= this->commit_index) {
        return std::nullopt;
    }
    const std::optional<term_number> own_term = this->log.term_at(position.index);
    if (!own_term.has_value()) {
        return this->log.last().index + 1;
    }
    if (*own_term == position.term) {
        return std::nullopt;
    }
    return std::max(this->commit_index + 1, this->log.first_index_with_term(position.index));
}

bool replica::core::store_entries(const std::vector<log_entry>& entries)
{
    std::vector<log_entry> stored;
    for (const log_entry& entry : entries) {
        if (entry.index <= this->commit_index ||
            (stored.empty() && this->log.term_at(entry.index) == entry.term)) {
            continue;
        }
        if (entry.index <= this->log.last().index && !this->truncate_from(entry.index)) {
            return false;
        }
        this->adopt_members(entry);
        this->log.append(entry);
        stored.push_back(entry);
    }
    if (stored.empty()) {
        return true;
    }
    const absl::Status status = this->storage.append(stored);
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
    while (this->last_applied < this->commit_index) {
        this->last_applied = this->last_applied + 1;
        const log_entry& entry = this->log.at(this->last_applied);
        this->applied_bytes += entry.payload.size();
        if (entry.kind == entry_kind::command) {
            this->hooks.apply(entry);
        }
        const auto found = this->commit_callbacks.find(this->last_applied);
        if (found != this->commit_callbacks.end()) {
            const propose_callback done = std::move(found->second);
            this->commit_callbacks.erase(found);
            done(this->last_applied);
        }
    }
    this->maybe_take_snapshot();
}

} // namespace redwingwheel::replication
