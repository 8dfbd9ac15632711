#include "redwingwheel/member_change_plan.h"

#include <algorithm>
#include <map>

namespace redwingwheel::cluster {

namespace {

using replication::member;
using replication::member_status;

bool is_silent(const member_status& who, const replication::replica_status& status,
               const member_change_options& options, steady_time now)
{
    return who.member_entry.id != status.id &&
           (!who.last_contact.has_value() || now - *who.last_contact > options.contact_timeout);
}

/// Voters of the data centre other than `except`.
std::size_t voters_in(const replication::replica_status& status, const std::string& data_centre)
{
    return static_cast<std::size_t>(std::count_if(
        status.members.begin(), status.members.end(), [&data_centre](const member_status& each) {
            return each.member_entry.voter && each.member_entry.data_centre == data_centre;
        }));
}

/// A member whose address belongs to another identity now.
const member* find_replaced(const replication::replica_status& status,
                            std::span<const join_request> claims)
{
    for (const member_status& each : status.members) {
        for (const join_request& claim : claims) {
            if (claim.who.address == each.member_entry.address &&
                claim.who.id != each.member_entry.id) {
                return &each.member_entry;
            }
        }
    }
    return nullptr;
}

/// The learner to promote: caught up, and in the data centre with the fewest voters.
const member* find_promotable(const replication::replica_status& status)
{
    const member* best = nullptr;
    std::size_t best_count = 0;
    for (const member_status& each : status.members) {
        if (each.member_entry.voter || !each.caught_up) {
            continue;
        }
        const std::size_t count = voters_in(status, each.member_entry.data_centre);
        if (best == nullptr || count < best_count) {
            best = &each.member_entry;
            best_count = count;
        }
    }
    return best;
}

const member* find_silent(const replication::replica_status& status, bool voter,
                          const member_change_options& options, steady_time now)
{
    for (const member_status& each : status.members) {
        if (each.member_entry.voter == voter && is_silent(each, status, options, now)) {
            return &each.member_entry;
        }
    }
    return nullptr;
}

} // namespace

std::vector<member> choose_initial_voters(std::span<const member> candidates,
                                          const member_change_options& options)
{
    std::map<std::string, std::vector<member>> by_data_centre;
    for (const member& each : candidates) {
        by_data_centre[each.data_centre].push_back(each);
    }
    for (auto& [data_centre, members] : by_data_centre) {
        std::sort(members.begin(), members.end(), [](const member& left, const member& right) {
            return left.address < right.address;
        });
    }
    std::vector<member> chosen;
    for (std::size_t round = 0; round < candidates.size(); ++round) {
        for (const auto& [data_centre, members] : by_data_centre) {
            if (round < members.size() && chosen.size() < options.voters()) {
                chosen.push_back(members[round]);
                chosen.back().voter = true;
            }
        }
    }
    return chosen;
}

member_change_step plan_member_change(const replication::replica_status& status,
                                      std::span<const join_request> claims,
                                      const member_change_options& options, steady_time now)
{
    std::size_t voters = 0;
    for (const member_status& each : status.members) {
        voters += each.member_entry.voter ? 1 : 0;
    }
    const member* const promotable = find_promotable(status);
    if (promotable != nullptr && voters < options.voters()) {
        return {member_change_action::promote, *promotable};
    }
    const member* const replaced = find_replaced(status, claims);
    const member* const silent_voter = find_silent(status, true, options, now);
    const member* const leaving = replaced != nullptr ? replaced : silent_voter;
    // A voter leaves only when a learner is ready, so that the group is not left with fewer seats
    // for longer than two commits.
    if (leaving != nullptr && leaving->voter && promotable != nullptr) {
        return {member_change_action::remove, *leaving};
    }
    if (replaced != nullptr && !replaced->voter) {
        return {member_change_action::remove, *replaced};
    }
    for (const join_request& claim : claims) {
        const bool known = std::any_of(
            status.members.begin(), status.members.end(),
            [&claim](const member_status& each) { return each.member_entry.id == claim.who.id; });
        if (!known && now - claim.last_heard < options.join_request_lifetime) {
            return {member_change_action::add_learner, claim.who};
        }
    }
    const member* const silent_learner = find_silent(status, false, options, now);
    if (silent_learner != nullptr && voters >= options.voters()) {
        return {member_change_action::remove, *silent_learner};
    }
    return {};
}

} // namespace redwingwheel::cluster
