#pragma once

#include <span>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/replication.h"

/// Which replicas vote: the seats of a group. Pure decisions.
namespace redwingwheel::cluster {

/// A replica that wants a seat.
struct seat_claim {
    replication::member who;
    steady_time last_heard;
};

struct seat_options {
    /// Votes that may be lost at once; the group has twice as many voters, and one.
    std::uint32_t tolerated_losses = 1;
    /// A claim that was not repeated for this long is dropped.
    milliseconds claim_life{3000};
    /// A voter that did not answer for this long gives its seat to a learner that has caught up.
    /// Longer than a restart, so that a restart moves no seat.
    milliseconds silence_limit{4000};

    [[nodiscard]] std::size_t voters() const { return this->tolerated_losses * 2 + 1; }
};

enum class seat_action : std::uint8_t { none, add_learner, promote, remove };

struct seat_step {
    seat_action action = seat_action::none;
    replication::member subject;
};

/// The founding voters, spread over data centres; at most `options.voters()`.
[[nodiscard]] std::vector<replication::member>
choose_founders(std::span<const replication::member> candidates, const seat_options& options);

/// The next change of members, one at a time. A replica that lost its disk claims a seat under a
/// new identity at its old address: its old identity can never answer again and goes first.
[[nodiscard]] seat_step plan_seats(const replication::replica_status& status,
                                   std::span<const seat_claim> claims, const seat_options& options,
                                   steady_time now);

} // namespace redwingwheel::cluster
