#pragma once

#include <span>
#include <string>
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
    /// A member that has not answered the leader for this long counts as unreachable: a voter is
    /// removed once a caught-up learner can replace it, a learner once no voter is missing. Longer
    /// than a restart takes, so that a restarted voter stays a member.
    milliseconds contact_timeout{4000};

    /// Number of voters that the group shall have.
    [[nodiscard]] std::size_t target_voter_count() const { return this->tolerated_losses * 2 + 1; }
};

enum class member_change_action : std::uint8_t { none, add_learner, promote, remove };

struct member_change_step {
    member_change_action action = member_change_action::none;
    /// The member to add, promote or remove; unset with `none`.
    replication::member subject;
};

/// Returns the voters of a new group, spread over the data centres of `candidates`: at most
/// `options.target_voter_count()`, fewer when there are fewer candidates.
[[nodiscard]] std::vector<replication::member>
choose_initial_voters(std::span<const replication::member> candidates,
                      const member_change_options& options);

/// Returns the next change of the member list, or `none`. Call again once it has committed; only
/// one change may be in progress. A replica that lost its disk asks to join with a new identity at
/// its old address: its old identity can never answer again, and is removed before any unreachable
/// voter.
[[nodiscard]] member_change_step plan_member_change(const replication::replica_status& status,
                                                    std::span<const join_request> join_requests,
                                                    const member_change_options& options,
                                                    steady_time now);

} // namespace redwingwheel::cluster
