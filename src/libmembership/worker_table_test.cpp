#include <catch2/catch.hpp>

#include "redwingwheel/worker_table.h"

using namespace redwingwheel;
using namespace redwingwheel::membership;
using namespace std::chrono_literals;

// Guards against a replayed poll that renews a permit or brings a former incarnation back.
TEST_CASE("replayed polls and former incarnations are stale")
{
    manual_clock clock;
    worker_table table(clock.function());
    CHECK(table.poll("w1", 11, 1).new_incarnation);
    CHECK(table.poll("w1", 11, 2).accepted);
    CHECK_FALSE(table.poll("w1", 11, 2).accepted);
    CHECK_FALSE(table.poll("w1", 11, 1).accepted);
    const poll_verdict restarted = table.poll("w1", 12, 1);
    CHECK(restarted.accepted);
    CHECK(restarted.new_incarnation);
    CHECK_FALSE(table.poll("w1", 11, 2).accepted);
    CHECK(table.find("w1")->incarnation == 12);
}

// Guards against a living agent that is shut out because a poll of its former process came last.
TEST_CASE("an agent comes back after a late poll of its former incarnation")
{
    manual_clock clock;
    worker_table table(clock.function());
    CHECK(table.poll("w1", 12, 1).accepted);
    CHECK(table.poll("w1", 11, 4).new_incarnation);
    CHECK_FALSE(table.poll("w1", 12, 1).accepted);
    CHECK(table.poll("w1", 12, 2).new_incarnation);
    CHECK_FALSE(table.poll("w1", 11, 4).accepted);
    CHECK(table.find("w1")->incarnation == 12);
}

// Guards against a silent worker that is never given up, or one that is reported lost twice.
TEST_CASE("a worker is lost once after a permit life of silence and may return")
{
    manual_clock clock;
    worker_table table(clock.function());
    table.expect("never");
    static_cast<void>(table.poll("w1", 11, 1));
    clock.advance(2999ms);
    CHECK(table.take_lost().empty());
    clock.advance(1ms);
    CHECK(table.take_lost() == std::vector<std::string>{"never", "w1"});
    CHECK(table.take_lost().empty());
    CHECK(table.poll("w1", 11, 2).returned);
    CHECK_FALSE(table.find("w1")->lost);
    table.forget("never");
    CHECK(table.list().size() == 1);
}
