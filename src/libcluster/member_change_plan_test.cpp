#include <catch2/catch.hpp>

#include "redwingwheel/member_change_plan.h"

using namespace redwingwheel;
using namespace redwingwheel::cluster;
using replication::member;
using replication::member_status;

namespace {

const steady_time now = steady_time() + std::chrono::hours(1);

member make_member(std::uint64_t id, const std::string& address, const std::string& data_centre,
                   bool voter = true)
{
    return {{id}, address, data_centre, voter};
}

member_status make_member_status(const member& candidate, milliseconds contact_age,
                                 bool caught_up = true,
                                 milliseconds listed_age = milliseconds(60'000))
{
    member_status status;
    status.member_entry = candidate;
    status.last_contact = now - contact_age;
    status.listed_since = now - listed_age;
    status.caught_up = caught_up;
    return status;
}

replication::replica_status three_voters(milliseconds third_contact_age)
{
    replication::replica_status status;
    status.id = {1};
    status.members = {make_member_status(make_member(1, "a", "x"), milliseconds(0)),
                      make_member_status(make_member(2, "b", "y"), milliseconds(50)),
                      make_member_status(make_member(3, "c", "z"), third_contact_age)};
    return status;
}

} // namespace

// Failure: all voters are placed in one data centre, whose loss stops the group.
TEST_CASE("initial voters are spread over data centres")
{
    std::vector<member> candidates;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        candidates.push_back(
            make_member(id, std::string(1, static_cast<char>('a' + id)), id <= 4 ? "x" : "y"));
    }
    member_change_options options;
    options.tolerated_losses = 1;
    const std::vector<member> initial_voters = choose_initial_voters(candidates, options);
    REQUIRE(initial_voters.size() == 3);
    CHECK(std::count_if(initial_voters.begin(), initial_voters.end(),
                        [](const member& each) { return each.data_centre == "y"; }) >= 1);
    options.tolerated_losses = 2;
    CHECK(choose_initial_voters(candidates, options).size() == 5);
}

// Failure: a voter is replaced while it restarts.
TEST_CASE("a voter out of contact for less than the timeout is not replaced")
{
    replication::replica_status status = three_voters(milliseconds(3000));
    status.members.push_back(make_member_status(make_member(4, "d", "z", false), milliseconds(50)));
    CHECK(plan_member_change(status, {}, member_change_options(), now).action ==
          member_change_action::none);
}

// Failure: an unreachable voter stays in the group although a learner has caught up, so that the
// next loss stops the group.
TEST_CASE("a caught-up learner replaces an unreachable voter")
{
    replication::replica_status status = three_voters(milliseconds(9000));
    status.members.push_back(make_member_status(make_member(4, "d", "z", false), milliseconds(50)));
    const member_change_step first = plan_member_change(status, {}, member_change_options(), now);
    CHECK(first.action == member_change_action::remove);
    CHECK(first.subject.id.value == 3);
    status.members.erase(status.members.begin() + 2);
    const member_change_step second = plan_member_change(status, {}, member_change_options(), now);
    CHECK(second.action == member_change_action::promote);
    CHECK(second.subject.id.value == 4);
}

// Failure: a voter is removed before a learner can be promoted, and a second loss stops the group.
TEST_CASE("an unreachable voter stays a member until a learner has caught up")
{
    replication::replica_status status = three_voters(milliseconds(9000));
    CHECK(plan_member_change(status, {}, member_change_options(), now).action ==
          member_change_action::none);
    status.members.push_back(
        make_member_status(make_member(4, "d", "z", false), milliseconds(50), false));
    CHECK(plan_member_change(status, {}, member_change_options(), now).action ==
          member_change_action::none);
}

// Failure: a replica that lost its log and its votes with its disk votes again under its old
// identity.
TEST_CASE("a replica that lost its disk is added under its new identity and its old one removed")
{
    const replication::replica_status status = three_voters(milliseconds(1000));
    const std::vector<join_request> join_requests{{make_member(7, "c", "z", false), now}};
    const member_change_step first =
        plan_member_change(status, join_requests, member_change_options(), now);
    CHECK(first.action == member_change_action::add_learner);
    CHECK(first.subject.id.value == 7);
    replication::replica_status status_after_join = status;
    status_after_join.members.push_back(make_member_status(
        make_member(7, "c", "z", false), milliseconds(50), true, milliseconds(500)));
    const member_change_step second =
        plan_member_change(status_after_join, join_requests, member_change_options(), now);
    CHECK(second.action == member_change_action::remove);
    CHECK(second.subject.id.value == 3);
}

// Failure: a replica that no longer repeats its join request is added as a member.
TEST_CASE("an expired join request is ignored")
{
    const std::vector<join_request> join_requests{
        {make_member(7, "e", "z", false), now - std::chrono::seconds(10)}};
    CHECK(plan_member_change(three_voters(milliseconds(10)), join_requests, member_change_options(),
                             now)
              .action == member_change_action::none);
}

// Failure: a request of an identity that was lost with its disk, received before the present
// identity joined or long on its way, marks the live voter at its address as replaced. With the
// next loss the leader removes this voter, and the group has no quorum for good.
TEST_CASE("a live voter is not removed because of a request of its predecessor")
{
    replication::replica_status status = three_voters(milliseconds(9000));
    status.members.push_back(make_member_status(make_member(4, "c", "z", false), milliseconds(50),
                                                true, milliseconds(500)));
    const std::vector<join_request> join_requests{
        {make_member(9, "b", "y", false), now - std::chrono::seconds(60)},
        {make_member(10, "b", "y", false), now - milliseconds(100)},
        {make_member(4, "c", "z", false), now - milliseconds(600)}};
    const member_change_step step =
        plan_member_change(status, join_requests, member_change_options(), now);
    CHECK(step.action == member_change_action::remove);
    CHECK(step.subject.id.value == 3);
}

// Failure: a request of an identity that is gone adds it as a learner.
TEST_CASE("a request is ignored when a member has answered from its address since")
{
    const std::vector<join_request> join_requests{
        {make_member(9, "b", "y", false), now - milliseconds(100)}};
    CHECK(plan_member_change(three_voters(milliseconds(50)), join_requests, member_change_options(),
                             now)
              .action == member_change_action::none);
}

// Failure: a new leader removes a live voter whose first answer is still on its way.
TEST_CASE("a voter that has not answered a new leader yet is not removed at once")
{
    replication::replica_status status = three_voters(milliseconds(50));
    status.members.push_back(make_member_status(make_member(4, "d", "z", false), milliseconds(50)));
    status.members[2].last_contact.reset();
    status.members[2].listed_since = now - milliseconds(300);
    CHECK(plan_member_change(status, {}, member_change_options(), now).action ==
          member_change_action::none);
    status.members[2].listed_since = now - milliseconds(1100);
    CHECK(plan_member_change(status, {}, member_change_options(), now).subject.id.value == 3);
}

// Failure: a removal leaves voters of which no quorum is in contact, and can never commit.
TEST_CASE("no voter is removed while the remaining ones in contact are no quorum")
{
    replication::replica_status status = three_voters(milliseconds(9000));
    status.members[1].last_contact = now - milliseconds(2000);
    status.members.push_back(make_member_status(make_member(4, "d", "z", false), milliseconds(50)));
    CHECK(plan_member_change(status, {}, member_change_options(), now).action ==
          member_change_action::none);
}
