#include "redwingwheel/formation.h"

#include <algorithm>
#include <map>
#include <set>

#include "redwingwheel/replication.h"

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

replacement_step plan_replacement(const replica_status& status, const member& joiner)
{
    const member_status* current = nullptr;
    const member* old_voter = nullptr;
    bool has_rival = false;
    for (const member_status& each : status.members) {
        if (each.member_entry.id == joiner.id) {
            current = &each;
        }
        else if (each.member_entry.address == joiner.address) {
            if (!is_replaced(each, status)) {
                has_rival = true;
                continue;
            }
            if (!each.member_entry.voter) {
                // A learner that lost its disk before its promotion does not count towards a
                // quorum, so it can be removed at once.
                return {replacement_action::remove, each.member_entry};
            }
            old_voter = &each.member_entry;
        }
    }
    if (current == nullptr) {
        return {replacement_action::add_learner, joiner};
    }
    if (!current->member_entry.voter) {
        return {current->caught_up ? replacement_action::promote : replacement_action::wait,
                current->member_entry};
    }
    if (old_voter != nullptr) {
        return {replacement_action::remove, *old_voter};
    }
    return {has_rival ? replacement_action::wait : replacement_action::none, {}};
}

} // namespace redwingwheel::replication
