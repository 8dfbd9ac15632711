#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/replication.h"

/// Decides which replicas are members of the group and which of them vote. Pure functions.
namespace redwingwheel::cluster {

/// Request of a replica to become a member.
struct join_request {
    replication::member candidate;
    steady_time last_received;
};

struct member_change_options {
    /// Number of voters that may fail at the same time without loss of the quorum.
    std::uint32_t tolerated_losses = 1;
    /// Join requests are repeated; one that was not received again for this long is ignored.
    milliseconds join_request_lifetime{3000};
    /// A removal needs a quorum of the remaining voters that have answered within this time.
    milliseconds quorum_contact_age{1000};
    /// A member that has not answered the leader for this long counts as unreachable: a voter is
    /// removed once a caught-up learner can replace it, a learner once no voter is missing. Longer
    /// than a restart takes, so that a restarted voter stays a member. A lost voter must have been
    /// replaced before another loss is allowed, which is 4 s after its successor has started.
    milliseconds contact_timeout{3000};
    /// The same for a member that has not answered this leader yet. Shorter, because its
    /// predecessor was silent for an election timeout before, and a voter that is reachable answers
    /// within a round trip.
    milliseconds first_contact_timeout{1000};

    /// Number of voters that the group shall have.
    [[nodiscard]] std::size_t target_voter_count() const { return this->tolerated_losses * 2 + 1; }
};

enum class member_change_action : std::uint8_t { none, add_learner, promote, remove };

[[nodiscard]] std::string_view action_name(member_change_action action);

struct member_change_step {
    member_change_action action = member_change_action::none;
    /// The member to add, promote or remove; unset with `none`.
    replication::member subject;
    /// Why the member is removed, for the log; empty with other actions.
    std::string_view reason = {};
};

/// Returns the voters of a new group, spread over the data centres of `candidates`: at most
/// `options.target_voter_count()`, fewer when there are fewer candidates.
[[nodiscard]] std::vector<replication::member>
choose_initial_voters(std::span<const replication::member> candidates,
                      const member_change_options& options);

/// The join requests that a leader has received.
class join_request_list {
public:
    /// Adds a request, or renews the one of the same identity. Returns true when it is a new one.
    bool record(const replication::member& candidate, steady_time now);
    void clear() { this->entries.clear(); }
    /// Removes the requests of identities that are known to be gone, because a member with another
    /// identity has answered from their address since, and those that are no longer repeated.
    void prune(const replication::replica_status& status, const member_change_options& options,
               steady_time now);
    [[nodiscard]] std::span<const join_request> requests() const { return this->entries; }

private:
    std::vector<join_request> entries;
};

/// Returns the next change of the member list, or `none`. Call again once it has committed; only
/// one change may be in progress. `status` is that of the leader.
///
/// A replica that lost its disk asks to join with a new identity at its old address. Its old
/// identity is removed, before any unreachable voter, once the new one has answered as a member:
/// identities at one address follow each other, so that the one that answers a message sent after
/// the other was listed is the newer one. A join request alone proves nothing, as it may be old.
[[nodiscard]] member_change_step plan_member_change(const replication::replica_status& status,
                                                    std::span<const join_request> join_requests,
                                                    const member_change_options& options,
                                                    steady_time now);

} // namespace redwingwheel::cluster
