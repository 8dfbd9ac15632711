#include <catch2/catch.hpp>

#include "redwingwheel/worker_table.h"

using namespace redwingwheel;
using namespace redwingwheel::membership;
using namespace std::chrono_literals;

// A replayed poll must not renew a permit or make a former incarnation current again.
TEST_CASE("replayed polls and polls of former incarnations are rejected")
{
    manual_clock clock;
    worker_table table(clock.function());
    CHECK(table.record_poll("w1", 11, 1).new_incarnation);
    CHECK(table.record_poll("w1", 11, 2).accepted);
    CHECK_FALSE(table.record_poll("w1", 11, 2).accepted);
    CHECK_FALSE(table.record_poll("w1", 11, 1).accepted);
    const poll_result restarted = table.record_poll("w1", 12, 1);
    CHECK(restarted.accepted);
    CHECK(restarted.new_incarnation);
    CHECK_FALSE(table.record_poll("w1", 11, 2).accepted);
    CHECK(table.find("w1")->incarnation == 12);
}

// A delayed poll of the former process arrives after the new process has polled. The new process
// must not be locked out by it.
TEST_CASE("an agent is accepted again after a delayed poll of its former incarnation")
{
    manual_clock clock;
    worker_table table(clock.function());
    CHECK(table.record_poll("w1", 12, 1).accepted);
    CHECK(table.record_poll("w1", 11, 4).new_incarnation);
    CHECK_FALSE(table.record_poll("w1", 12, 1).accepted);
    CHECK(table.record_poll("w1", 12, 2).new_incarnation);
    CHECK_FALSE(table.record_poll("w1", 11, 4).accepted);
    CHECK(table.find("w1")->incarnation == 12);
}

// A worker that stops polling must be reported lost, and only once.
TEST_CASE("a worker without polls for a permit lifetime is reported lost once and may return")
{
    manual_clock clock;
    worker_table table(clock.function());
    table.add("never");
    static_cast<void>(table.record_poll("w1", 11, 1));
    clock.advance(2999ms);
    CHECK(table.take_lost().empty());
    clock.advance(1ms);
    CHECK(table.take_lost() == std::vector<std::string>{"never", "w1"});
    CHECK(table.take_lost().empty());
    CHECK(table.record_poll("w1", 11, 2).returned);
    CHECK_FALSE(table.find("w1")->lost);
    table.remove("never");
    CHECK(table.list().size() == 1);
}
