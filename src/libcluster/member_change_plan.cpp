#include "redwingwheel/member_change_plan.h"

#include <algorithm>
#include <map>

namespace redwingwheel::cluster {

namespace {

using replication::member;
using replication::member_status;

bool answered_within(const member_status& entry, milliseconds age, steady_time now)
{
    return entry.last_contact.has_value() && now - *entry.last_contact <= age;
}

bool is_unreachable(const member_status& entry, const replication::replica_status& status,
                    const member_change_options& options, steady_time now)
{
    if (entry.member_entry.id == status.id) {
        return false;
    }
    if (entry.last_contact.has_value()) {
        return !answered_within(entry, options.contact_timeout, now);
    }
    return entry.listed_since.has_value() &&
           now - *entry.listed_since > options.first_contact_timeout;
}

/// True when a member with another identity has answered from the address of the request since the
/// request was received.
bool is_outdated(const join_request& request, const replication::replica_status& status)
{
    return std::any_of(
        status.members.begin(), status.members.end(), [&request](const member_status& each) {
            return each.member_entry.address == request.candidate.address &&
                   each.member_entry.id != request.candidate.id && each.last_contact.has_value() &&
                   *each.last_contact >= request.last_received;
        });
}

/// True when the voters that remain without `removed` have a quorum that is in contact.
bool keeps_quorum(const member& removed, const replication::replica_status& status,
                  const member_change_options& options, steady_time now)
{
    std::size_t remaining = 0;
    std::size_t in_contact = 0;
    for (const member_status& each : status.members) {
        if (each.member_entry.voter && each.member_entry.id != removed.id) {
            ++remaining;
            in_contact += answered_within(each, options.quorum_contact_age, now) ? 1 : 0;
        }
    }
    return in_contact >= remaining / 2 + 1;
}

/// Counts the voters of the group that are in `data_centre`.
std::size_t count_voters_in(const replication::replica_status& status,
                            const std::string& data_centre)
{
    return static_cast<std::size_t>(std::count_if(
        status.members.begin(), status.members.end(), [&data_centre](const member_status& each) {
            return each.member_entry.voter && each.member_entry.data_centre == data_centre;
        }));
}

/// Returns a replaced voter, or a replaced learner when `voter` is false; null when there is none.
const member* find_replaced(const replication::replica_status& status, bool voter)
{
    for (const member_status& each : status.members) {
        if (each.member_entry.voter == voter && is_replaced(each, status)) {
            return &each.member_entry;
        }
    }
    return nullptr;
}

/// Returns the caught-up learner in the data centre with the fewest voters; null when no learner
/// has caught up.
const member* find_promotable(const replication::replica_status& status)
{
    const member* best = nullptr;
    std::size_t best_count = 0;
    for (const member_status& each : status.members) {
        if (each.member_entry.voter || !each.caught_up) {
            continue;
        }
        const std::size_t count = count_voters_in(status, each.member_entry.data_centre);
        if (best == nullptr || count < best_count) {
            best = &each.member_entry;
            best_count = count;
        }
    }
    return best;
}

/// Returns an unreachable voter, or an unreachable learner when `voter` is false; null when there
/// is none.
const member* find_unreachable(const replication::replica_status& status, bool voter,
                               const member_change_options& options, steady_time now)
{
    for (const member_status& each : status.members) {
        if (each.member_entry.voter == voter && is_unreachable(each, status, options, now)) {
            return &each.member_entry;
        }
    }
    return nullptr;
}

} // namespace

std::string_view action_name(member_change_action action)
{
    switch (action) {
    case member_change_action::none:
        return "none";
    case member_change_action::add_learner:
        return "add_learner";
    case member_change_action::promote:
        return "promote";
    case member_change_action::remove:
        return "remove";
    }
    return "unknown";
}

bool join_request_list::record(const member& candidate, steady_time now)
{
    for (join_request& each : this->entries) {
        if (each.candidate.id == candidate.id) {
            each = {candidate, now};
            return false;
        }
    }
    this->entries.push_back({candidate, now});
    return true;
}

void join_request_list::prune(const replication::replica_status& status,
                              const member_change_options& options, steady_time now)
{
    std::erase_if(this->entries, [&](const join_request& request) {
        return is_outdated(request, status) ||
               now - request.last_received >= options.join_request_lifetime;
    });
}

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
            if (round < members.size() && chosen.size() < options.target_voter_count()) {
                chosen.push_back(members[round]);
                chosen.back().voter = true;
            }
        }
    }
    return chosen;
}

member_change_step plan_member_change(const replication::replica_status& status,
                                      std::span<const join_request> join_requests,
                                      const member_change_options& options, steady_time now)
{
    std::size_t voter_count = 0;
    for (const member_status& each : status.members) {
        voter_count += each.member_entry.voter ? 1 : 0;
    }
    const member* const promotable = find_promotable(status);
    if (promotable != nullptr && voter_count < options.target_voter_count()) {
        return {member_change_action::promote, *promotable};
    }
    const member* const replaced_voter = find_replaced(status, true);
    const member* const leaving =
        replaced_voter != nullptr ? replaced_voter : find_unreachable(status, true, options, now);
    // A voter is removed only when a learner can be promoted in its place, so that the group lacks
    // a voter for no longer than the two commits of the removal and the promotion.
    if (leaving != nullptr && promotable != nullptr &&
        keeps_quorum(*leaving, status, options, now)) {
        return {member_change_action::remove, *leaving,
                replaced_voter != nullptr ? "replaced" : "unreachable"};
    }
    const member* const replaced_learner = find_replaced(status, false);
    if (replaced_learner != nullptr) {
        return {member_change_action::remove, *replaced_learner, "replaced"};
    }
    for (const join_request& request : join_requests) {
        const bool known = std::any_of(status.members.begin(), status.members.end(),
                                       [&request](const member_status& each) {
                                           return each.member_entry.id == request.candidate.id;
                                       });
        if (!known && !is_outdated(request, status) &&
            now - request.last_received < options.join_request_lifetime) {
            return {member_change_action::add_learner, request.candidate};
        }
    }
    const member* const unreachable_learner = find_unreachable(status, false, options, now);
    if (unreachable_learner != nullptr && voter_count >= options.target_voter_count()) {
        return {member_change_action::remove, *unreachable_learner, "unreachable"};
    }
    return {};
}

} // namespace redwingwheel::cluster
