#include "replica_core.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::replication {

const std::vector<member>& replica::core::members() const
{
    static const std::vector<member> none;
    return this->member_lists.empty() ? none : this->member_lists.back().list;
}

const std::vector<member>& replica::core::members_at(log_index index) const
{
    std::size_t place = this->member_lists.size() - 1;
    while (place > 0 && this->member_lists[place].index > index) {
        --place;
    }
    return this->member_lists[place].list;
}

std::size_t replica::core::quorum_size() const
{
    const auto is_voting = [](const member& who) { return who.voter; };
    const std::vector<member>& present = this->members();
    return static_cast<std::size_t>(std::count_if(present.begin(), present.end(), is_voting)) / 2 +
           1;
}

bool replica::core::is_voter(replica_id id) const
{
    const member* const found = find_member(this->members(), id);
    return found != nullptr && found->voter;
}

/// A member list is in force as soon as it is in the log. Source: Raft, section 6, and Ongaro's
/// thesis, 4.1, for changes of one member at a time.
void replica::core::note_members(const log_entry& entry)
{
    if (entry.kind != entry_kind::membership) {
        return;
    }
    absl::StatusOr<std::vector<member>> list = unpack<std::vector<member>>(entry.payload);
    if (list.ok()) {
        this->member_lists.push_back({entry.index, std::move(*list)});
    }
}

void replica::core::track_peers()
{
    std::map<replica_id, peer_progress> tracked;
    for (const member& who : this->members()) {
        if (who.id == this->identity) {
            continue;
        }
        const auto found = this->peers.find(who.id);
        if (found != this->peers.end()) {
            tracked.emplace(who.id, std::move(found->second));
            continue;
        }
        peer_progress peer;
        peer.next = this->durable + 1;
        tracked.emplace(who.id, std::move(peer));
    }
    this->peers = std::move(tracked);
}

bool replica::core::is_caught_up(replica_id id) const
{
    const auto found = this->peers.find(id);
    return found != this->peers.end() && found->second.match >= this->commit &&
           found->second.last_contact.has_value() &&
           this->now() - *found->second.last_contact < this->options.election_timeout;
}

absl::Status replica::core::check_change() const
{
    if (this->stopped()) {
        return make_error(replication_errc::stopped, this->stopped_reason);
    }
    if (this->role != replica_role::leader) {
        return make_error(replication_errc::not_leader, "this replica does not lead");
    }
    // A change before the first commit of the term could miss one of an older term that is still
    // spreading; the two majorities need not meet.
    const bool queued_change =
        std::any_of(this->queued.begin(), this->queued.end(), [](const queued_proposal& next) {
            return next.kind == entry_kind::membership;
        });
    if (queued_change || this->commit < this->first_of_own_term ||
        this->commit < this->member_lists.back().index) {
        return make_error(replication_errc::change_in_progress, "another change has not committed");
    }
    return absl::OkStatus();
}

void replica::core::change_members(const absl::Status& problem, std::vector<member> changed,
                                   status_callback done)
{
    const absl::Status refused = this->check_change();
    if (!refused.ok() || !problem.ok()) {
        return done(refused.ok() ? problem : refused);
    }
    this->queued.push_back({entry_kind::membership, pack(changed),
                            [done = std::move(done)](const absl::StatusOr<log_index>& index) {
                                done(index.status());
                            }});
}

void replica::core::add_learner(const member& added, status_callback done)
{
    std::vector<member> changed = this->members();
    absl::Status problem;
    if (added.id == replica_id() || find_member(changed, added.id) != nullptr) {
        problem = make_error(replication_errc::invalid_member_change,
                             fmt::format("{:016x} is a member or no identity", added.id.value));
    }
    changed.push_back(added);
    changed.back().voter = false;
    this->change_members(problem, std::move(changed), std::move(done));
}

void replica::core::promote(replica_id id, status_callback done)
{
    std::vector<member> changed = this->members();
    absl::Status problem = make_error(replication_errc::invalid_member_change,
                                      fmt::format("{:016x} is not a learner", id.value));
    for (member& who : changed) {
        if (who.id == id && !who.voter) {
            who.voter = true;
            problem = this->is_caught_up(id)
                          ? absl::OkStatus()
                          : make_error(replication_errc::not_caught_up,
                                       fmt::format("{:016x} lacks entries", id.value));
        }
    }
    this->change_members(problem, std::move(changed), std::move(done));
}

void replica::core::remove(replica_id id, status_callback done)
{
    std::vector<member> changed = this->members();
    const std::size_t before = changed.size();
    std::erase_if(changed, [id](const member& who) { return who.id == id; });
    const bool has_voter =
        std::any_of(changed.begin(), changed.end(), [](const member& who) { return who.voter; });
    absl::Status problem;
    if (changed.size() == before || !has_voter) {
        problem = make_error(replication_errc::invalid_member_change,
                             fmt::format("{:016x} is no member or the last voter", id.value));
    }
    this->change_members(problem, std::move(changed), std::move(done));
}

} // namespace redwingwheel::replication
