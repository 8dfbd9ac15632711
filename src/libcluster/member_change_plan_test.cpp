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

member_status heard(const member& who, milliseconds ago, bool caught_up = true)
{
    member_status status;
    status.member_entry = who;
    status.last_contact = now - ago;
    status.caught_up = caught_up;
    return status;
}

replication::replica_status three_voters(milliseconds third_silent_for)
{
    replication::replica_status status;
    status.id = {1};
    status.members = {heard(make_member(1, "a", "x"), milliseconds(0)),
                      heard(make_member(2, "b", "y"), milliseconds(50)),
                      heard(make_member(3, "c", "z"), third_silent_for)};
    return status;
}

} // namespace

// Failure: all voters sit in one data centre, whose loss stops the group.
TEST_CASE("founders are spread over data centres")
{
    std::vector<member> candidates;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        candidates.push_back(
            make_member(id, std::string(1, static_cast<char>('a' + id)), id <= 4 ? "x" : "y"));
    }
    member_change_options options;
    options.tolerated_losses = 1;
    const std::vector<member> founders = choose_initial_voters(candidates, options);
    REQUIRE(founders.size() == 3);
    CHECK(std::count_if(founders.begin(), founders.end(),
                        [](const member& each) { return each.data_centre == "y"; }) >= 1);
    options.tolerated_losses = 2;
    CHECK(choose_initial_voters(candidates, options).size() == 5);
}

// Failure: a voter that restarts loses its seat.
TEST_CASE("a short silence moves no seat")
{
    replication::replica_status status = three_voters(milliseconds(3000));
    status.members.push_back(heard(make_member(4, "d", "z", false), milliseconds(50)));
    CHECK(plan_member_change(status, {}, member_change_options(), now).action ==
          member_change_action::none);
}

// Failure: the group runs on with a lost voter although a learner is ready.
TEST_CASE("a learner that has caught up takes the seat of a lost voter")
{
    replication::replica_status status = three_voters(milliseconds(9000));
    status.members.push_back(heard(make_member(4, "d", "z", false), milliseconds(50)));
    const member_change_step first = plan_member_change(status, {}, member_change_options(), now);
    CHECK(first.action == member_change_action::remove);
    CHECK(first.subject.id.value == 3);
    status.members.erase(status.members.begin() + 2);
    const member_change_step second = plan_member_change(status, {}, member_change_options(), now);
    CHECK(second.action == member_change_action::promote);
    CHECK(second.subject.id.value == 4);
}

// Failure: a voter leaves before anyone can take its seat, and a second loss stops the group.
TEST_CASE("a lost voter keeps its seat until a learner has caught up")
{
    replication::replica_status status = three_voters(milliseconds(9000));
    CHECK(plan_member_change(status, {}, member_change_options(), now).action ==
          member_change_action::none);
    status.members.push_back(heard(make_member(4, "d", "z", false), milliseconds(50), false));
    CHECK(plan_member_change(status, {}, member_change_options(), now).action ==
          member_change_action::none);
}

// Failure: a replica whose disk was lost votes for what it no longer knows.
TEST_CASE("a replica with an empty disk joins under its new identity")
{
    const replication::replica_status status = three_voters(milliseconds(1000));
    const std::vector<join_request> claims{{make_member(7, "c", "z", false), now}};
    const member_change_step first =
        plan_member_change(status, claims, member_change_options(), now);
    CHECK(first.action == member_change_action::add_learner);
    CHECK(first.subject.id.value == 7);
    replication::replica_status joined = status;
    joined.members.push_back(heard(make_member(7, "c", "z", false), milliseconds(50)));
    const member_change_step second =
        plan_member_change(joined, claims, member_change_options(), now);
    CHECK(second.action == member_change_action::remove);
    CHECK(second.subject.id.value == 3);
}

// Failure: claims that are no longer made are added for ever.
TEST_CASE("an old claim is dropped")
{
    const std::vector<join_request> claims{
        {make_member(7, "e", "z", false), now - std::chrono::seconds(10)}};
    CHECK(plan_member_change(three_voters(milliseconds(10)), claims, member_change_options(), now)
              .action == member_change_action::none);
}
