#pragma once

#include <string>
#include <vector>

#include "redwingwheel/replication_types.h"

/// How replicas form a group for the first time, and how an empty replica takes the place of a lost
/// one.
namespace redwingwheel::replication {

/// What a configured replica says of itself.
struct formation_answer {
    std::string address;
    std::string data_centre;
    replica_id identity;
    bool has_state = false;

    MSGPACK_DEFINE(address, data_centre, identity, has_state)
};

struct formation_input {
    /// This replica's own answer; it need not be repeated in `answers`.
    formation_answer self;
    std::vector<std::string> configured_addresses;
    /// The newest answer of each replica that answered.
    std::vector<formation_answer> answers;
};

enum class formation_action {
    resume, ///< This replica has state and goes on with it.
    wait,   ///< Ask again later.
    form,   ///< Write the first membership with replica::form_group.
    join,   ///< Ask the leader of the existing group to be added.
};

struct formation_decision {
    formation_action action = formation_action::wait;
    /// Set with `form`: every configured replica, as a voter.
    std::vector<member> members;
};

/// A group forms only when every configured replica answers and every one is empty; the one with
/// the lowest address writes the first membership.
[[nodiscard]] formation_decision decide_formation(const formation_input& input);

enum class replacement_action { none, wait, add_learner, promote, remove };

struct replacement_step {
    replacement_action action = replacement_action::none;
    /// The member to add, promote or remove.
    member subject;
};

/// The next step that makes `joiner` a voter in the place of any other member at its address: add
/// it as a learner, promote it once `caught_up`, then remove the old identity. One step at a time;
/// call again after each commit.
[[nodiscard]] replacement_step plan_replacement(const std::vector<member>& members,
                                                const member& joiner, bool caught_up);

} // namespace redwingwheel::replication
