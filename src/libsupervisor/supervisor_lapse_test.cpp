#include "supervisor_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = supervisor_world;

} // namespace

// Failure: a run ends as done, its host is suspended, and the end is acknowledged after the task
// was started elsewhere.
TEST_CASE("a superseded end is acknowledged only after the lease has expired")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.answer_renewal({{run_one, "", 5}});
    const worker_time_ms lease = w.port.renewals.back().order.lease_until;
    const ended_run end{1, run_one, run_outcome::done, ""};
    // The worker's clock stands still while its host is suspended.
    w.advance_time(milliseconds(7000));
    w.worker_clock -= 7000;
    w.answer_renewal({}, {end});
    w.last_recorded_end = 1;
    w.last_superseded_end = 1;
    w.replace_polls();
    w.answer_poll({}, {});
    w.answer_renewal({}, {end});
    w.advance_time(milliseconds(200));
    REQUIRE_FALSE(w.port.renewals.empty());
    CHECK(w.port.renewals.back().order.last_recorded_end == 0);
    CHECK(w.port.renewals.back().order.lease_until == 0);
    REQUIRE_FALSE(w.polls.empty());
    CHECK_FALSE(w.polls.back().poll.worker.reachable);

    // A start that crosses the report is refused: it would extend the lease.
    const run_id other{{"00000000000000bb", 0, 0, 0}, 1};
    w.port.starts.clear();
    w.replace_polls();
    w.answer_poll({other}, {other});
    CHECK(w.port.starts.empty());
    w.advance_time(milliseconds(200));
    CHECK(w.refused().size() == 1);
    w.replace_polls();
    w.answer_poll({}, {});

    w.worker_clock = std::max(lease, w.worker_clock) + 1500;
    w.answer_renewal({}, {end});
    w.advance_time(milliseconds(0));
    REQUIRE_FALSE(w.port.renewals.empty());
    CHECK(w.port.renewals.back().order.last_recorded_end == 1);
    CHECK(w.port.renewals.back().order.lease_until > w.worker_clock);
    w.replace_polls();
    CHECK(w.polls.back().poll.worker.reachable);
}

// Failure: a restarted supervisor does not know how long the lease is that its predecessor has
// granted, and acknowledges a superseded end too early.
TEST_CASE("a restarted supervisor waits for the longest lease before it acknowledges")
{
    world w;
    const ended_run end{1, run_one, run_outcome::done, ""};
    w.last_recorded_end = 1;
    w.last_superseded_end = 1;
    w.announce();
    w.answer_renewal({}, {end});
    w.answer_poll({}, {});
    for (int elapsed_ms = 0; elapsed_ms < 6000; elapsed_ms += 200) {
        w.answer_renewal({}, {end});
        w.advance_time(milliseconds(200));
        REQUIRE_FALSE(w.port.renewals.empty());
        CHECK(w.port.renewals.back().order.last_recorded_end == 0);
    }
    w.advance_time(milliseconds(200));
    w.answer_renewal({}, {end});
    REQUIRE_FALSE(w.port.renewals.empty());
    CHECK(w.port.renewals.back().order.last_recorded_end == 1);
}

// Failure: every restart of a supervisor lets the lease expire once more because of an end that was
// acknowledged long ago.
TEST_CASE("the lease need not expire when no superseded end is listed")
{
    world w;
    w.last_recorded_end = 1;
    w.last_superseded_end = 1;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    CHECK(w.port.starts.size() == 1);
    w.answer_renewal({{run_one, "", 1}}, {{2, run_one, run_outcome::stopped, ""}});
    CHECK(w.port.renewals.back().order.lease_until > w.worker_clock);
}

// Failure: a worker gets new runs before it has listed what has ended while the permit was expired.
TEST_CASE("a worker is not available until it has listed its runs after the permit expired")
{
    world w;
    w.complete_start_up();
    w.answer_poll({}, {});
    w.advance_time(milliseconds(6100));
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    w.polls.back().done(absl::UnavailableError("no leader"));
    w.polls.clear();
    w.advance_time(milliseconds(200));
    REQUIRE_FALSE(w.polls.empty());
    CHECK_FALSE(w.polls.back().poll.worker.reachable);
    w.answer_renewal();
    w.polls.back().done(absl::UnavailableError("no leader"));
    w.polls.clear();
    w.advance_time(milliseconds(200));
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.worker.reachable);
}
