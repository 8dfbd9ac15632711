#include "redwingwheel/formation.h"

#include <algorithm>
#include <map>
#include <set>

namespace redwingwheel::replication {

namespace {

std::map<std::string, formation_answer> answers_by_address(const formation_input& input)
{
    std::map<std::string, formation_answer> by_address;
    for (const formation_answer& answer : input.answers) {
        by_address[answer.address] = answer;
    }
    by_address[input.self.address] = input.self;
    return by_address;
}

} // namespace

formation_decision decide_formation(const formation_input& input)
{
    if (input.self.has_state) {
        return {formation_action::resume, {}};
    }
    const std::map<std::string, formation_answer> by_address = answers_by_address(input);
    const std::set<std::string> configured(input.configured_addresses.begin(),
                                           input.configured_addresses.end());
    if (!configured.contains(input.self.address)) {
        return {formation_action::join, {}};
    }
    formation_decision decision{formation_action::form, {}};
    std::set<replica_id> identities;
    bool all_answered = true;
    for (const std::string& address : configured) {
        const auto found = by_address.find(address);
        if (found == by_address.end()) {
            all_answered = false;
            continue;
        }
        const formation_answer& answer = found->second;
        if (answer.has_state) {
            return {formation_action::join, {}};
        }
        // Two addresses with the same identity: a copied data folder, or one replica reached at
        // both.
        all_answered = all_answered && identities.insert(answer.identity).second;
        decision.members.push_back({answer.identity, address, answer.data_centre, true});
    }
    if (!all_answered || *configured.begin() != input.self.address) {
        return {formation_action::wait, {}};
    }
    return decision;
}

replacement_step plan_replacement(const std::vector<member>& members, const member& joiner,
                                  bool caught_up)
{
    const member* const current = find_member(members, joiner.id);
    const member* old_voter = nullptr;
    for (const member& other : members) {
        if (other.address != joiner.address || other.id == joiner.id) {
            continue;
        }
        if (!other.voter) {
            // A learner that lost its disk before its promotion does not count towards a quorum, so
            // it can be removed at once.
            return {replacement_action::remove, other};
        }
        old_voter = &other;
    }
    if (current == nullptr) {
        return {replacement_action::add_learner, joiner};
    }
    if (!current->voter) {
        return {caught_up ? replacement_action::promote : replacement_action::wait, *current};
    }
    if (old_voter != nullptr) {
        return {replacement_action::remove, *old_voter};
    }
    return {};
}

} // namespace redwingwheel::replication
