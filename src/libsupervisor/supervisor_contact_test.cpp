#include "supervisor_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = supervisor_world;

} // namespace

// Failure: runs are assigned to a worker that its supervisor cannot reach.
TEST_CASE("the leader is informed at once when the worker becomes unreachable or reachable again")
{
    world w;
    w.complete_start_up();
    CHECK(w.polls.back().poll.worker.reachable);
    w.fail_renewal(worker_errc::no_answer);
    w.replace_polls();
    CHECK_FALSE(w.polls.back().poll.worker.reachable);
    CHECK(w.port.renewals.back().order.wait == milliseconds(0));
    w.answer_renewal();
    w.replace_polls();
    CHECK(w.polls.back().poll.worker.reachable);
}

// Failure: the permit is renewed for a worker that has crashed for good, and its runs stay
// assigned.
TEST_CASE("the leader does not learn that the lease of a lost worker has expired")
{
    world w;
    w.complete_long_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.answer_renewal({{run_one, "", 10}});
    CHECK(w.last_contact() == worker_contact::answers);
    const worker_time_ms granted = w.port.renewals.back().order.lease_until;
    CHECK(granted > w.worker_clock + 4000);
    w.fail_renewal(worker_errc::not_listening);
    CHECK(w.last_contact() == worker_contact::lost);
    // The worker's clock may be 2% slow.
    while (static_cast<double>(w.worker_clock) < static_cast<double>(granted) + 250) {
        w.lose_contact_for(milliseconds(50));
        CHECK(w.last_contact() == worker_contact::lost);
        CHECK(w.polls.back().poll.ended_incarnations.empty());
    }
    w.lose_contact_for(milliseconds(800));
    CHECK(w.last_contact() == worker_contact::lease_expired);
    CHECK_FALSE(w.subject->has_permit());
    // The worker may never come back: it is asked once a second, and nothing is stopped.
    w.port.stops.clear();
    CHECK(w.lose_contact_for(milliseconds(10'000)) <= 11);
    CHECK(w.port.stops.empty());
}

// Failure: the lease of a worker that was suspended together with its host is taken for expired, as
// its clock stood still meanwhile, and its runs are given away while they go on.
TEST_CASE("time for which the host was suspended counts towards the end of the lease")
{
    world w;
    w.complete_long_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.answer_renewal({{run_one, "", 10}});
    w.fail_renewal(worker_errc::no_answer);
    w.time.advance(milliseconds(20'000));
    w.advance_time(milliseconds(0));
    w.lose_contact_for(milliseconds(1000));
    CHECK(w.last_contact() == worker_contact::lost);
    CHECK_FALSE(w.port.stops.empty());
}

// Failure: the next incarnation of a worker, whose clock begins anew, carries out a start that its
// predecessor has not answered, after the task was started elsewhere.
TEST_CASE("a lease is taken for expired while an order without an answer may be carried out")
{
    world w;
    w.complete_long_start_up();
    w.answer_poll({run_one}, {run_one});
    REQUIRE(w.port.starts.size() == 1);
    const awake_time sent_at = w.awake;
    w.advance_time(milliseconds(700));
    w.port.starts[0].done(start_result::no_answer);
    w.fail_renewal(worker_errc::no_answer);
    while (w.awake < sent_at + milliseconds(11'900)) {
        w.lose_contact_for(milliseconds(50));
        CHECK(w.last_contact() == worker_contact::lost);
        w.answer_poll({run_one}, {});
    }
    w.lose_contact_for(milliseconds(1100));
    CHECK(w.last_contact() == worker_contact::lease_expired);
}

// Failure: a supervisor that has been restarted does not know the leases of its predecessor.
TEST_CASE("a restarted supervisor takes the lease of its predecessor for expired")
{
    world w;
    w.complete_long_start_up();
    w.restart();
    w.announce();
    w.answer_renewal({{run_one, "", 10}});
    w.answer_poll({run_one}, {});
    const worker_time_ms heard_of = w.worker_clock;
    w.fail_renewal(worker_errc::no_answer);
    while (w.worker_clock < heard_of + 11'900) {
        w.lose_contact_for(milliseconds(50));
        CHECK(w.last_contact() == worker_contact::lost);
    }
    w.lose_contact_for(milliseconds(1100));
    CHECK(w.last_contact() == worker_contact::lease_expired);
}

// Failure: a worker that was cut off from its supervisor for longer than its lease cannot be used
// any more.
TEST_CASE("a worker that answers again after its lease has expired is not used")
{
    world w;
    w.complete_long_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.answer_renewal({{run_one, "", 10}});
    w.fail_renewal(worker_errc::no_answer);
    w.lose_contact_for(milliseconds(8000));
    REQUIRE(w.last_contact() == worker_contact::lease_expired);
    w.answer_poll({}, {});
    w.announce();
    w.answer_renewal({}, {{1, run_one, run_outcome::lapsed, ""}});
    CHECK(w.last_contact() == worker_contact::answers);
    CHECK(w.polls.back().poll.worker.reachable);
    CHECK(w.polls.back().poll.ended_runs.size() == 1);
    CHECK(w.port.renewals.back().order.lease_until == 0);
    w.last_recorded_end = 1;
    w.answer_poll({}, {});
    w.answer_renewal();
    CHECK(w.port.renewals.back().order.lease_until > w.worker_clock);
}

// Failure: an answer of the leader from before the lease was reported as expired arrives when the
// worker is back, and a run is started that the leader has given away.
TEST_CASE("an outdated answer permits a start after the lease was reported as expired")
{
    world w;
    w.complete_long_start_up();
    w.answer_poll({}, {});
    w.answer_renewal();
    const world::pending_poll outdated = w.polls.back();
    w.polls.clear();
    w.fail_renewal(worker_errc::no_answer);
    w.lose_contact_for(milliseconds(8000));
    // Two polls are in flight, so the third one waits for the end of one of them.
    REQUIRE(w.polls.size() == 1);
    const world::pending_poll unanswered = w.polls.back();
    w.polls.clear();
    unanswered.done(absl::DeadlineExceededError("no answer"));
    w.advance_time(milliseconds(0));
    REQUIRE(w.last_contact() == worker_contact::lease_expired);
    w.polls.clear();
    w.polls.push_back(outdated);
    w.answer_poll({run_one}, {run_one});
    CHECK_FALSE(w.subject->has_permit());
    w.announce();
    w.answer_renewal();
    CHECK(w.port.starts.empty());
}
