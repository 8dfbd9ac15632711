#include "redwingwheel/formation.h"

#include <catch2/catch.hpp>

using namespace redwingwheel::replication;

namespace {

formation_answer answer(char letter, bool has_state = false)
{
    return {
        std::string("10.0.0.") + letter, "north", {static_cast<std::uint64_t>(letter)}, has_state};
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

// Guards against removing the old identity before the new one holds the log, and against learners
// that accumulate when a host loses its disk again while it joins.
TEST_CASE("a replacement adds a learner, promotes it, then removes the old member", "[formation]")
{
    const member joiner{{9}, "10.0.0.3", "north", false};
    std::vector<member> members{{{1}, "10.0.0.1", "north", true}, {{3}, "10.0.0.3", "north", true}};
    REQUIRE(plan_replacement(members, joiner, false).action == replacement_action::add_learner);
    members.push_back(joiner);
    REQUIRE(plan_replacement(members, joiner, false).action == replacement_action::wait);
    REQUIRE(plan_replacement(members, joiner, true).action == replacement_action::promote);
    const member next_joiner{{10}, "10.0.0.3", "north", false};
    REQUIRE(plan_replacement(members, next_joiner, true).subject.id == replica_id{9});
    members.back().voter = true;
    const replacement_step last = plan_replacement(members, joiner, true);
    REQUIRE(last.action == replacement_action::remove);
    REQUIRE(last.subject.id == replica_id{3});
    members.erase(members.begin() + 1);
    REQUIRE(plan_replacement(members, joiner, true).action == replacement_action::none);
}
