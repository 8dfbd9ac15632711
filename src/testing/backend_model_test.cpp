#include <catch2/catch.hpp>

#include "backend_model.h"

using namespace redwingwheel;
using namespace redwingwheel::stand_in;
using namespace std::chrono_literals;

namespace {

std::string state_of(backend_model& backend, std::string_view id)
{
    return backend.describe_task(id, 0ms).value().at("state").get<std::string>();
}

} // namespace

// Guards against a stand-in that hides a second execution or use beyond the limits.
TEST_CASE("executions, slots and connections are counted")
{
    manual_clock clock;
    backend_model backend(clock.function(), "b1", {2, 1});
    backend.begin_request("a");
    backend.start_task({"t", 1000ms, 500ms, 1});
    CHECK(backend.log().at("excess_slots") == 0);
    backend.begin_request("a");
    CHECK(backend.log().at("excess_slots") == 1);
    CHECK(backend.log().at("most_slots") == 3);
    CHECK(backend.log().at("double_requests") == 1);
    CHECK(backend.log().at("double_tasks") == 0);
    backend.start_task({"t", 1000ms, 500ms, 1});
    CHECK(backend.log().at("double_tasks") == 1);
    CHECK(backend.open_connection());
    CHECK_FALSE(backend.open_connection());
    CHECK(backend.log().at("excess_connections") == 1);
}

// Guards against a task that runs on without a lease, or that a renewal does not keep alive.
TEST_CASE("a task ends with its lease unless it is renewed")
{
    manual_clock clock;
    backend_model backend(clock.function(), "b1");
    backend.start_task({"kept", 1000ms, 1500ms});
    backend.start_task({"left", 1000ms, 1500ms});
    clock.advance(900ms);
    CHECK(backend.renew_lease("kept", 1000ms));
    clock.advance(700ms);
    CHECK(state_of(backend, "kept") == "done");
    CHECK(state_of(backend, "left") == "lease_ended");
    CHECK_FALSE(backend.renew_lease("left", 1000ms));
    CHECK(backend.describe_task("left", 0ms)->at("usage").at("run_ms") == 1000);
    CHECK(backend.describe_task("left", 900ms)->at("usage").at("run_ms") == 700);
    CHECK_FALSE(backend.describe_task("none", 0ms).has_value());
}

// Guards against an owner and a borrower that overlap unseen, and tasks that take request slots.
TEST_CASE("accelerators that are used twice are counted")
{
    manual_clock clock;
    backend_model backend(clock.function(), "b1", {1, 1});
    backend.start_task({"borrower", 1000ms, 500ms, 0, false, 6});
    backend.start_task({"beside", 1000ms, 500ms, 0, false, 1});
    CHECK(backend.log().at("double_accelerators") == 0);
    backend.start_task({"owner", 1000ms, 500ms, 0, false, 2});
    CHECK(backend.log().at("double_accelerators") == 1);
    CHECK(backend.log().at("excess_slots") == 0);
    clock.advance(500ms);
    backend.start_task({"later", 1000ms, 500ms, 0, false, 7});
    CHECK(backend.log().at("double_accelerators") == 1);
    const nlohmann::json times = backend.log().at("task_times").at("owner");
    CHECK(times.at("ended_ms").get<std::int64_t>() - times.at("started_ms").get<std::int64_t>() ==
          500);
}

// Guards against task controls without effect.
TEST_CASE("tasks are throttled, checkpointed and stopped")
{
    manual_clock clock;
    backend_model backend(clock.function(), "b1");
    backend.start_task({"t", 60s, 1000ms});
    CHECK(backend.throttle("t", 50));
    clock.advance(1000ms);
    CHECK(backend.checkpoint("t"));
    CHECK(backend.describe_task("t", 0ms)->at("checkpoint_ms") == 500);
    CHECK(state_of(backend, "t") == "running");
    CHECK(backend.stop("t"));
    CHECK(state_of(backend, "t") == "stopped");
    CHECK_FALSE(backend.checkpoint("t"));
}

// Guards against a late arrival that goes unseen after the shutdown began, and a misspelt fault.
TEST_CASE("drain and faults")
{
    manual_clock clock;
    backend_model backend(clock.function(), "b1");
    backend.begin_drain();
    clock.advance(1200ms);
    backend.begin_request("late");
    CHECK(backend.log().at("last_arrival_after_drain_ms") == 1200);
    backend_faults faults;
    CHECK(apply_faults({{"slow_ms", 20}, {"silent", true}}, faults).empty());
    CHECK(faults.slow == 20ms);
    CHECK_FALSE(apply_faults({{"silent", false}, {"slwo_ms", 1}}, faults).empty());
    CHECK(faults.silent);
}
