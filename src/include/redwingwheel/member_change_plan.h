#pragma once

#include <span>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/replication.h"

/// Which replicas vote: the seats of a group. Pure decisions.
namespace redwingwheel::cluster {

/// A replica that wants a seat.
struct join_request {
    replication::member who;
    steady_time last_heard;
};

struct member_change_options {
    /// Votes that may be lost at once; the group has twice as many voters, and one.
    std::uint32_t tolerated_losses = 1;
    /// A claim that was not repeated for this long is dropped.
    milliseconds join_request_lifetime{3000};
    /// A voter that did not answer for this long gives its seat to a learner that has caught up.
    /// Longer than a restart, so that a restart moves no seat.
    milliseconds contact_timeout{4000};

    [[nodiscard]] std::size_t voters() const { return this->tolerated_losses * 2 + 1; }
};

enum class member_change_action : std::uint8_t { none, add_learner, promote, remove };

struct member_change_step {
    member_change_action action = member_change_action::none;
    replication::member subject;
};

/// The founding voters, spread over data centres; at most `options.voters()`.
[[nodiscard]] std::vector<replication::member>
choose_initial_voters(std::span<const replication::member> candidates,
                      const member_change_options& options);

/// The next change of members, one at a time. A replica that lost its disk claims a seat under a
/// new identity at its old address: its old identity can never answer again and goes first.
[[nodiscard]] member_change_step plan_member_change(const replication::replica_status& status,
                                                    std::span<const join_request> claims,
                                                    const member_change_options& options,
                                                    steady_time now);

} // namespace redwingwheel::cluster
