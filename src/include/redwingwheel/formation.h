#pragma once

#include <string>
#include <vector>

#include "redwingwheel/replication_types.h"

/// Bootstrapping of a replication group, and replacement of a replica that lost its disk.
namespace redwingwheel::replication {

struct replica_status;

/// Answer of a configured replica to a formation query.
struct formation_answer {
    std::string address;
    std::string data_centre;
    replica_id identity;
    bool has_state = false;

    MSGPACK_DEFINE(address, data_centre, identity, has_state)
};

struct formation_input {
    /// This replica's own answer, which overrides one from its address in `answers`.
    formation_answer self;
    std::vector<std::string> configured_addresses;
    /// The latest answer of each replica that has answered.
    std::vector<formation_answer> answers;
};

enum class formation_action {
    resume, ///< This replica has state and continues from it.
    wait,   ///< Query the other replicas again later.
    form,   ///< Write the first member list with replica::form_group.
    join,   ///< Ask the leader of the existing group to add this replica.
};

struct formation_decision {
    formation_action action = formation_action::wait;
    /// Set with `form`: every configured replica, as a voter.
    std::vector<member> members;
};

/// Decides what a starting replica does. A new group is formed only when every configured replica
/// has answered and none has state; the one with the lowest address then writes the first member
/// list.
[[nodiscard]] formation_decision decide_formation(const formation_input& input);

enum class replacement_action { none, wait, add_learner, promote, remove };

struct replacement_step {
    replacement_action action = replacement_action::none;
    /// The member to add, promote or remove.
    member subject;
};

/// Returns the next step that replaces any older identity at the address of `joiner` by `joiner`:
/// add it as a learner, promote it once it has caught up, then remove the old identity. Call again
/// after each step has committed; `none` when the replacement is complete. `status` is that of the
/// leader. Removes only identities for which is_replaced is true, as the request of `joiner` may be
/// older than the other member at its address; `wait` until it is known which of the two is newer.
[[nodiscard]] replacement_step plan_replacement(const replica_status& status, const member& joiner);

} // namespace redwingwheel::replication
