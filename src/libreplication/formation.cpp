#include "redwingwheel/formation.h"

#include <algorithm>
#include <map>
#include <set>

namespace redwingwheel::replication {

namespace {

std::map<std::string, formation_answer> index_answers(const formation_input& input)
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
    const std::map<std::string, formation_answer> by_address = index_answers(input);
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
        // Two addresses with one identity are a copied folder or one replica that answers twice.
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
    const member* const present = find_member(members, joiner.id);
    const member* old_voter = nullptr;
    for (const member& other : members) {
        if (other.address != joiner.address || other.id == joiner.id) {
            continue;
        }
        if (!other.voter) {
            // A learner that lost its disk before it was promoted holds no vote.
            return {replacement_action::remove, other};
        }
        old_voter = &other;
    }
    if (present == nullptr) {
        return {replacement_action::add_learner, joiner};
    }
    if (!present->voter) {
        return {caught_up ? replacement_action::promote : replacement_action::wait, *present};
    }
    if (old_voter != nullptr) {
        return {replacement_action::remove, *old_voter};
    }
    return {};
}

} // namespace redwingwheel::replication
