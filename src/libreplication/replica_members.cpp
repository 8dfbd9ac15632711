#include "replica_core.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::replication {

bool is_replaced(const member_status& entry, const replica_status& status)
{
    return std::any_of(
        status.members.begin(), status.members.end(), [&entry](const member_status& other) {
            return other.member_entry.address == entry.member_entry.address &&
                   other.member_entry.id != entry.member_entry.id &&
                   entry.listed_since.has_value() && other.last_contact.has_value() &&
                   *other.last_contact >= *entry.listed_since;
        });
}

const std::vector<member>& replica::core::members() const
{
    static const std::vector<member> none;
    return this->member_lists.empty() ? none : this->member_lists.back().list;
}

const std::vector<member>& replica::core::members_at(log_index index) const
{
    std::size_t position = this->member_lists.size() - 1;
    while (position > 0 && this->member_lists[position].index > index) {
        --position;
    }
    return this->member_lists[position].list;
}

std::size_t replica::core::quorum_size() const
{
    const auto is_voting = [](const member& listed_member) { return listed_member.voter; };
    const std::vector<member>& current_members = this->members();
    return static_cast<std::size_t>(
               std::count_if(current_members.begin(), current_members.end(), is_voting)) /
               2 +
           1;
}

bool replica::core::is_voter(replica_id id) const
{
    const member* const found = find_member(this->members(), id);
    return found != nullptr && found->voter;
}

/// A member list takes effect as soon as it is appended to the log, before it commits. Source:
/// Raft, section 6, and Ongaro's thesis, 4.1, for single-member changes.
void replica::core::adopt_members(const log_entry& entry)
{
    if (entry.kind != entry_kind::membership) {
        return;
    }
    absl::StatusOr<std::vector<member>> list = unpack<std::vector<member>>(entry.payload);
    if (list.ok()) {
        this->member_lists.push_back({entry.index, std::move(*list)});
    }
}

void replica::core::update_peers()
{
    std::map<replica_id, peer_progress> tracked;
    for (const member& listed_member : this->members()) {
        if (listed_member.id == this->identity) {
            continue;
        }
        const auto found = this->peers.find(listed_member.id);
        if (found != this->peers.end()) {
            tracked.emplace(listed_member.id, std::move(found->second));
            continue;
        }
        peer_progress peer;
        peer.next_index = this->durable_index + 1;
        peer.listed_since = this->now();
        tracked.emplace(listed_member.id, std::move(peer));
    }
    this->peers = std::move(tracked);
}

bool replica::core::is_caught_up(replica_id id) const
{
    const auto found = this->peers.find(id);
    return found != this->peers.end() && found->second.match_index >= this->commit_index &&
           found->second.last_contact.has_value() &&
           this->now() - *found->second.last_contact < this->options.election_timeout;
}

absl::Status replica::core::check_member_change_allowed() const
{
    if (this->stopped()) {
        return make_error(replication_errc::stopped, this->stopped_reason);
    }
    if (this->role != replica_role::leader) {
        return make_error(replication_errc::not_leader, "this replica does not lead");
    }
    // Before an entry of its own term commits, a leader may not know of an uncommitted change of an
    // older term; the majorities of two such changes need not overlap.
    const bool queued_change = std::any_of(
        this->queued_proposals.begin(), this->queued_proposals.end(),
        [](const queued_proposal& next) { return next.kind == entry_kind::membership; });
    if (queued_change || this->commit_index < this->first_index_of_term ||
        this->commit_index < this->member_lists.back().index) {
        return make_error(
            replication_errc::change_in_progress,
            "another member change, or the first entry of this term, has not committed yet");
    }
    return absl::OkStatus();
}

void replica::core::queue_member_change(const absl::Status& validation, std::vector<member> changed,
                                        status_callback done)
{
    const absl::Status not_allowed = this->check_member_change_allowed();
    if (!not_allowed.ok() || !validation.ok()) {
        return done(not_allowed.ok() ? validation : not_allowed);
    }
    this->queued_proposals.push_back(
        {entry_kind::membership, pack(changed),
         [done = std::move(done)](const absl::StatusOr<log_index>& index) {
             done(index.status());
         }});
}

void replica::core::add_learner(const member& added, status_callback done)
{
    std::vector<member> changed = this->members();
    absl::Status validation;
    if (added.id == replica_id() || find_member(changed, added.id) != nullptr) {
        validation =
            make_error(replication_errc::invalid_member_change,
                       fmt::format("replica {:016x} is already a member, or the identity is 0",
                                   added.id.value));
    }
    changed.push_back(added);
    changed.back().voter = false;
    this->queue_member_change(validation, std::move(changed), std::move(done));
}

void replica::core::promote(replica_id id, status_callback done)
{
    std::vector<member> changed = this->members();
    absl::Status validation = make_error(replication_errc::invalid_member_change,
                                         fmt::format("replica {:016x} is not a learner", id.value));
    for (member& listed_member : changed) {
        if (listed_member.id == id && !listed_member.voter) {
            listed_member.voter = true;
            validation =
                this->is_caught_up(id)
                    ? absl::OkStatus()
                    : make_error(replication_errc::not_caught_up,
                                 fmt::format(
                                     "replica {:016x} lacks committed entries or is not in contact",
                                     id.value));
        }
    }
    this->queue_member_change(validation, std::move(changed), std::move(done));
}

void replica::core::remove(replica_id id, status_callback done)
{
    std::vector<member> changed = this->members();
    const std::size_t before = changed.size();
    std::erase_if(changed, [id](const member& listed_member) { return listed_member.id == id; });
    const bool has_voter =
        std::any_of(changed.begin(), changed.end(),
                    [](const member& listed_member) { return listed_member.voter; });
    absl::Status validation;
    if (changed.size() == before || !has_voter) {
        validation = make_error(
            replication_errc::invalid_member_change,
            fmt::format("replica {:016x} is not a member, or is the last voter", id.value));
    }
    this->queue_member_change(validation, std::move(changed), std::move(done));
}

} // namespace redwingwheel::replication
