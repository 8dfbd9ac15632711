#include "supervisor_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = supervisor_world;

} // namespace

// Failure: a start is sent before the worker's clock is known, or without the token or a deadline.
TEST_CASE("a start carries the fencing token and a deadline on the worker's clock")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    REQUIRE(w.port.starts.size() == 1);
    CHECK(w.port.starts[0].order.fencing_token == w.token);
    CHECK(w.port.starts[0].order.deadline > w.worker_clock);
    CHECK(w.port.starts[0].order.deadline <= w.worker_clock + 1500);
}

// Failure: a lease outlives the permit on a worker whose clock runs slow.
TEST_CASE("the lease ends before the permit even on the slowest allowed clock")
{
    world w;
    w.complete_start_up();
    w.answer_poll({}, {});
    w.answer_renewal();
    REQUIRE_FALSE(w.port.renewals.empty());
    const worker_time_ms lease = w.port.renewals.back().order.lease_until - w.worker_clock;
    CHECK(lease > 4000);
    CHECK(static_cast<double>(lease) / 0.98 <= 6000.0);
}

// Failure: a supervisor that has lost its leader keeps extending the lease.
TEST_CASE("without a permit the lease is not extended and nothing is started")
{
    world w;
    w.complete_start_up();
    w.answer_poll({}, {});
    w.advance_time(milliseconds(6100));
    CHECK_FALSE(w.subject->has_permit());
    w.answer_renewal();
    CHECK(w.port.renewals.back().order.lease_until == 0);
}

// Failure: a start that may still be carried out is reported as refused, and the task runs twice.
TEST_CASE("a start without an answer is refused only after its deadline")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::no_answer);
    w.advance_time(milliseconds(500));
    w.answer_renewal();
    REQUIRE(w.port.starts.size() == 2);
    CHECK(w.port.starts[1].order.deadline == w.port.starts[0].order.deadline);
    // The second attempt is refused, but the first one may still be in transit.
    w.port.starts[1].done(start_result::no_room);
    w.advance_time(milliseconds(100));
    CHECK(w.refused().empty());
    w.advance_time(milliseconds(1600));
    w.answer_renewal();
    CHECK(w.refused().size() == 1);
}

// Failure: a start that was carried out without an answer is reported as refused.
TEST_CASE("a start that the worker lists is not reported as refused")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::no_answer);
    w.advance_time(milliseconds(2000));
    w.answer_renewal({{run_one, "", 5}});
    CHECK(w.refused().empty());
}

// Failure: a restarted supervisor reports runs as refused that its predecessor has started, and the
// tasks run twice.
TEST_CASE("a restarted supervisor recognizes the running runs")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.restart();
    w.port.starts.clear();
    w.announce();
    CHECK(w.port.starts.empty());
    w.answer_renewal({{run_one, "", 30}});
    w.answer_poll({run_one}, {run_one});
    CHECK(w.refused().empty());
    w.answer_renewal({{run_one, "", 30}});
    w.advance_time(milliseconds(100));
    CHECK(w.port.starts.empty());
    CHECK(w.port.stops.empty());
    CHECK(w.refused().empty());
}

// Failure: a restarted supervisor reports a start as refused that its predecessor has sent without
// an answer.
TEST_CASE(
    "a restarted supervisor reports nothing as refused while earlier starts may be carried out")
{
    world w;
    w.announce();
    w.answer_renewal();
    w.answer_poll({run_one}, {run_one});
    REQUIRE(w.port.starts.size() == 1);
    w.port.starts[0].done(start_result::no_room);
    w.advance_time(milliseconds(100));
    CHECK(w.refused().empty());
    w.advance_time(milliseconds(1600));
    w.answer_renewal();
    CHECK(w.refused().size() == 1);
}

// Failure: a run that was withdrawn before its start stays assigned forever.
TEST_CASE("a withdrawn run that never started is refused after its stop is acknowledged")
{
    world w;
    w.complete_start_up();
    w.answer_poll({}, {}, {run_one});
    REQUIRE(w.port.stops.size() == 1);
    w.answer_renewal();
    CHECK(w.refused().empty());
    w.advance_time(milliseconds(10));
    w.port.stops[0].done(true);
    w.advance_time(milliseconds(10));
    // This renewal was sent before the stop was acknowledged.
    w.answer_renewal();
    CHECK(w.refused().empty());
    w.advance_time(milliseconds(10));
    w.answer_renewal();
    CHECK(w.refused().size() == 1);
}

// Failure: a withdrawn run that was stopped is also reported as refused, and its end is lost.
TEST_CASE("a withdrawn run that was running is reported as ended")
{
    world w;
    w.complete_start_up();
    w.answer_poll({}, {}, {run_one});
    w.answer_renewal({{run_one, "", 10}});
    w.port.stops.back().done(true);
    w.answer_renewal({}, {{1, run_one, run_outcome::stopped, "saved"}});
    w.advance_time(milliseconds(10));
    w.answer_renewal({}, {{1, run_one, run_outcome::stopped, "saved"}});
    CHECK(w.refused().empty());
    CHECK(w.polls.back().poll.ended_runs.size() == 1);
}

// Failure: running runs are stopped before the leader has sent its orders.
TEST_CASE("nothing is stopped before the leader's first answer")
{
    world w;
    w.announce();
    w.answer_renewal({{run_one, "", 10}});
    CHECK(w.port.stops.empty());
    w.answer_poll({}, {});
    CHECK(w.port.stops.size() == 1);
}

// Failure: the supervisor follows the answer of a replaced leader.
TEST_CASE("answers of earlier terms are ignored")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one}, {}, 7);
    w.answer_renewal({{run_one, "", 10}});
    w.answer_poll({}, {}, {}, 6);
    CHECK(w.port.stops.empty());
}

// Failure: a run is started on a draining worker.
TEST_CASE("no run is started on a draining worker")
{
    world w;
    w.complete_start_up();
    w.announce(true);
    w.answer_poll({run_one}, {run_one});
    CHECK(w.port.starts.empty());
    CHECK(w.refused().size() == 1);
}

// Failure: a start that was not sent delays its task until the deadline of the order.
TEST_CASE("a start without a connection is reported as refused at once")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    REQUIRE(w.port.starts.size() == 1);
    w.port.starts.front().done(start_result::not_sent);
    w.advance_time(milliseconds(0));
    REQUIRE(w.refused().size() == 1);
    CHECK(w.refused().front().reason == "not_sent");
}

// Failure: ended runs are lost when the leader cannot be reached.
TEST_CASE("ended runs are reported until they are recorded")
{
    world w;
    w.complete_start_up();
    const ended_run end{1, run_one, run_outcome::done, ""};
    w.answer_renewal({}, {end});
    CHECK(w.polls.back().poll.ended_runs.size() == 1);
    CHECK(w.port.renewals.back().order.last_recorded_end == 0);
    while (!w.polls.empty()) {
        const world::pending_poll failed = w.polls.back();
        w.polls.pop_back();
        failed.done(absl::UnavailableError("no leader"));
    }
    w.advance_time(milliseconds(200));
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.ended_runs.size() == 1);
}

// Failure: an ended run is not reported until the leader has new orders, although a poll could be
// sent.
TEST_CASE("a run that ends while two polls are in flight is reported when one of them is answered")
{
    world w;
    w.complete_start_up();
    w.answer_renewal({}, {{1, run_one, run_outcome::stopped, ""}});
    w.answer_renewal({}, {{1, run_one, run_outcome::stopped, ""},
                          {2, {{"00000000000000bb", 0, 0, 0}, 1}, run_outcome::done, ""}});
    REQUIRE(w.polls.size() == 2);
    w.replace_polls();
    CHECK(w.polls.back().poll.ended_runs.size() == 2);
}

// Failure: runs go on after the permit on a worker that was suspended together with its host.
TEST_CASE("runs that outlast the permit are not stopped")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.answer_renewal({{run_one, "", 10}});
    // The worker's clock stands still.
    w.time.advance(milliseconds(8000));
    w.advance_time(milliseconds(0));
    CHECK(w.port.stops.size() == 1);
}

// Failure: the refusal of a repeated start counts for an earlier attempt that has started the run.
TEST_CASE("a start that was repeated too late is reported as refused at once")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::no_answer);
    w.advance_time(milliseconds(500));
    w.answer_renewal();
    REQUIRE(w.port.starts.size() == 2);
    w.port.starts[1].done(start_result::too_late);
    w.advance_time(milliseconds(0));
    CHECK(w.refused().empty());
    w.advance_time(milliseconds(1600));
    w.answer_renewal({{run_one, "", 5}});
    CHECK(w.refused().empty());
}

// Failure: a run that was started just before its host was suspended goes on after the permit.
TEST_CASE("a run that was never listed is not stopped when the permit expires")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.time.advance(milliseconds(8000));
    w.advance_time(milliseconds(0));
    REQUIRE(w.port.stops.size() == 1);
    CHECK(w.port.stops[0].order.run == run_one);
}

// Failure: a worker that lists its runs under a lower token refuses all orders for good.
TEST_CASE("a supervisor whose start is fenced does not ask for a new token")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::fenced);
    w.advance_time(milliseconds(200));
    w.replace_polls();
    CHECK(w.polls.back().poll.unconfirmed.size() == 1);
}
