#include "redwingwheel/formation.h"

#include <catch2/catch.hpp>

#include "redwingwheel/replication.h"

using namespace redwingwheel;
using namespace redwingwheel::replication;

namespace {

formation_answer answer(char letter, bool has_state = false)
{
    return {
        std::string("10.0.0.") + letter, "north", {static_cast<std::uint64_t>(letter)}, has_state};
}

member_status listed_member(const member& entry, steady_time listed_since,
                            std::optional<steady_time> last_contact)
{
    member_status status;
    status.member_entry = entry;
    status.listed_since = listed_since;
    status.last_contact = last_contact;
    return status;
}

formation_decision decide(const formation_answer& self, std::vector<formation_answer> answers)
{
    return decide_formation({self, {"10.0.0.2", "10.0.0.1", "10.0.0.3"}, std::move(answers)});
}

} // namespace

// Guards against a second, empty group that is formed by a host that lost its disk, and against a
// group that is formed by two hosts or by only some of the configured ones.
TEST_CASE("a group is formed only by the lowest address, when all configured replicas are empty",
          "[formation]")
{
    const formation_decision formed = decide(answer('1'), {answer('2'), answer('3')});
    REQUIRE(formed.action == formation_action::form);
    REQUIRE(formed.members.size() == 3);
    REQUIRE(formed.members[1] == member{{'2'}, "10.0.0.2", "north", true});

    REQUIRE(decide(answer('2'), {answer('1'), answer('3')}).action == formation_action::wait);
    REQUIRE(decide(answer('1'), {answer('2')}).action == formation_action::wait);
    REQUIRE(decide(answer('1'), {answer('2', true)}).action == formation_action::join);
    REQUIRE(decide(answer('1'), {answer('2'), answer('3', true)}).action == formation_action::join);
    REQUIRE(decide(answer('1', true), {answer('2')}).action == formation_action::resume);
    REQUIRE(decide(answer('4'), {answer('1')}).action == formation_action::join);

    formation_answer copied = answer('3');
    copied.identity = {'2'};
    REQUIRE(decide(answer('1'), {answer('2'), copied}).action == formation_action::wait);
}

// Guards against removing the old identity before the new one holds the log, against learners that
// accumulate when a host loses its disk again while it joins, and against the removal of a member
// because of an old request of its predecessor.
TEST_CASE("a replacement adds a learner, promotes it, then removes the old member", "[formation]")
{
    const steady_time listed = steady_time() + milliseconds(1000);
    const steady_time answered = listed + milliseconds(50);
    const member joiner{{9}, "10.0.0.3", "north", false};
    replica_status status;
    status.members = {listed_member({{1}, "10.0.0.1", "north", true}, listed, answered),
                      listed_member({{3}, "10.0.0.3", "north", true}, listed, std::nullopt)};
    REQUIRE(plan_replacement(status, joiner).action == replacement_action::add_learner);
    status.members.push_back(listed_member(joiner, listed, std::nullopt));
    REQUIRE(plan_replacement(status, joiner).action == replacement_action::wait);
    status.members.back() = listed_member(joiner, listed, answered);
    status.members.back().caught_up = true;
    REQUIRE(plan_replacement(status, joiner).action == replacement_action::promote);

    const member next_joiner{{10}, "10.0.0.3", "north", false};
    replica_status after_second_loss = status;
    REQUIRE(plan_replacement(after_second_loss, next_joiner).action ==
            replacement_action::add_learner);
    after_second_loss.members.push_back(
        listed_member(next_joiner, answered + milliseconds(100), answered + milliseconds(150)));
    REQUIRE(plan_replacement(after_second_loss, next_joiner).action == replacement_action::remove);
    REQUIRE(plan_replacement(after_second_loss, next_joiner).subject.id == replica_id{9});
    REQUIRE(plan_replacement(after_second_loss, joiner).subject.id != replica_id{10});

    status.members.back().member_entry.voter = true;
    const replacement_step last = plan_replacement(status, joiner);
    REQUIRE(last.action == replacement_action::remove);
    REQUIRE(last.subject.id == replica_id{3});
    status.members.erase(status.members.begin() + 1);
    REQUIRE(plan_replacement(status, joiner).action == replacement_action::none);
}
