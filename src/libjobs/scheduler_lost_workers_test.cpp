#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

} // namespace

// Failure: runs of a disconnected worker are released while its lease may still be valid.
TEST_CASE("runs are released only after the worker's permit has expired")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    w.advance_time(milliseconds(6200));
    CHECK(w.decide().releases.empty());
    w.advance_time(milliseconds(200));
    CHECK(w.decide().releases.size() == 1);
}

// Failure: a worker has crashed and does not come back. Its supervisor goes on to poll, and the
// runs stay assigned for good.
TEST_CASE("the runs of a worker that no longer answers its supervisor are never released")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.submit("not listed", "batch", 1, 1);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    w.report("a", {{run, "first", 5}});
    const steady_time last_permit = w.time.now();
    std::size_t released = 0;
    while (w.time.now() < last_permit + milliseconds(8000)) {
        w.advance_time(milliseconds(200));
        w.report_lost_contact("a", {{run, "first", 5}});
        released += w.decide().releases.size();
    }
    CHECK(released == 0);
    w.report_lost_contact("a", {{run, "first", 5}}, worker_contact::lease_expired);
    const schedule made = w.decide();
    REQUIRE(made.releases.size() == 2);
    CHECK(made.releases[0].run == run);
    CHECK(made.releases[0].checkpoint == "first");
    w.add_worker("b", "r1");
    CHECK(w.decide().assignments.size() == 2);
}

// Failure: the runs of a worker that is known to run nothing wait for the end of the last permit.
TEST_CASE("runs wait for the permit although the lease of their worker has expired")
{
    world w;
    w.add_worker("a", "r1");
    w.add_worker("b", "r1");
    w.submit("gang", "batch", 2, 8, true);
    w.decide();
    const run_id first{{"gang", 0, 0, 0}, 1};
    const run_id second{{"gang", 0, 0, 1}, 1};
    const std::string lost = w.state.find(first.task)->worker.id;
    w.advance_time(milliseconds(3000));
    w.report_lost_contact(lost, {{first, "", 5}}, worker_contact::lease_expired);
    const schedule made = w.decide();
    REQUIRE(made.releases.size() == 1);
    CHECK(made.releases[0].run == first);
    // What was given away is neither ordered any more, nor taken back when the worker answers.
    CHECK_FALSE(w.decisions.should_run(first));
    w.end_run(second, run_outcome::broken);
    w.add_worker("c", "r1");
    w.report(lost == "a" ? "b" : "a");
    CHECK(w.decide().assignments.size() == 1);
    CHECK_FALSE(w.workers_of("gang").contains(lost));
}

// Failure: as above, under a leader that has not seen the worker answer.
TEST_CASE("a new leader never releases the runs of a worker that does not answer its supervisor")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    w.report("a", {{run, "", 5}});
    w.decisions.begin_leadership();
    w.advance_time(milliseconds(3000));
    w.report_lost_contact("a", {{run, "saved", 5}});
    CHECK(w.decide().releases.empty());
    w.report_lost_contact("a", {{run, "saved", 5}}, worker_contact::lease_expired);
    const schedule made = w.decide();
    REQUIRE(made.releases.size() == 1);
    CHECK(made.releases[0].checkpoint == "saved");
}

// Failure: a worker that answers again within its lease loses its runs, which then run twice.
TEST_CASE("the runs of a worker that answers again in time are released")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    w.report("a", {{run, "", 5}});
    w.advance_time(milliseconds(5900));
    w.report_lost_contact("a", {{run, "", 5}});
    CHECK(w.decide().releases.empty());
    w.report("a", {{run, "", 6}});
    w.advance_time(milliseconds(6000));
    CHECK(w.decide().releases.empty());
    w.report_lost_contact("a", {{run, "", 6}});
    CHECK(w.decide().releases.empty());
    CHECK(w.decisions.should_run(run));
}

// Failure: the list that the supervisor of a lost worker repeats is taken for a run that stalls,
// and healthy workers of its gang become suspect.
TEST_CASE("a run is taken for stalled while its worker does not answer its supervisor")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    w.report("a", {{run, "", 5}});
    for (int each = 0; each < 20; ++each) {
        w.advance_time(milliseconds(200));
        w.report_lost_contact("a", {{run, "", 5}});
        CHECK(w.decide().evictions.empty());
    }
}

// Failure: the next incarnation of a worker has carried out an order for the one before it, and
// then crashes and does not come back. The run stays assigned to the earlier incarnation for good.
TEST_CASE("a run that a lost incarnation has listed for the one before it is never released")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 8);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    w.workers["a"].incarnation.started_unix_ms = 2;
    w.report("a", {{run, "", 3}});
    CHECK(w.decide().releases.empty());
    w.report_lost_contact("a", {{run, "", 3}});
    CHECK(w.decide().releases.empty());
    w.report_lost_contact("a", {{run, "", 3}}, worker_contact::lease_expired);
    CHECK(w.decide().releases.size() == 1);
}

// Failure: a new leader releases runs while a permit of its predecessor may still be valid.
TEST_CASE("a new leader waits until the permits of its predecessor have expired")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    w.decisions.begin_leadership();
    w.advance_time(milliseconds(6000));
    CHECK(w.decide().releases.empty());
    w.advance_time(milliseconds(400));
    CHECK(w.decide().releases.size() == 1);
}

// Failure: after a power loss the runs of restarted workers wait for the full permit lifetime.
TEST_CASE("a later incarnation on a host ends the earlier one")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 1);
    w.decide();
    w.decisions.begin_leadership();
    w.workers["a"].incarnation = {"another id", 2, "host-a"};
    w.report("a");
    CHECK(w.decide().releases.size() == 1);
    w.decide();
    CHECK(w.workers_of("job") == std::set<std::string>{"another id"});
}

// Failure: a supervisor that regains contact between the decision to release a run and its commit
// starts the run, and the task runs twice.
TEST_CASE("a run whose release is not committed yet is ordered again")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 8);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    CHECK(w.decisions.should_run(run));
    w.advance_time(milliseconds(6400));
    REQUIRE(w.decisions.decide(w.unix_ms).releases.size() == 1);
    w.report("a");
    CHECK_FALSE(w.decisions.should_run(run));
}

// Failure: an order for an incarnation that has ended is carried out by the next one with the same
// id, and its task is started elsewhere while it runs there.
TEST_CASE("a run is released while the next incarnation of its worker lists it")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 8);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    w.workers["a"].incarnation.started_unix_ms = 2;
    w.report("a", {{run, "", 3}});
    CHECK(w.decide().releases.empty());
    w.report("a");
    CHECK(w.decide().releases.size() == 1);
}

// Failure: the runs of a worker that was restarted while the time of day jumped back wait for the
// end of its lease.
TEST_CASE("an incarnation with an earlier start time does not replace the one before it")
{
    world w;
    w.add_worker("a", "r1");
    w.workers["a"].incarnation.started_unix_ms = 9;
    w.report("a");
    w.submit("job", "batch", 1, 8);
    w.decide();
    const run_id run{{"job", 0, 0, 0}, 1};
    REQUIRE(w.state.find(run.task)->worker.started_unix_ms == 9);
    w.workers["a"].incarnation.started_unix_ms = 4;
    w.report("a");
    CHECK(w.decide().releases.size() == 1);
}

// Failure: a release whose proposal fails is never decided again when its worker is back, and the
// run stays assigned although it is part of no orders.
TEST_CASE("a release that was not committed is not decided again")
{
    world w;
    w.add_worker("a", "r1");
    w.submit("job", "batch", 1, 8);
    w.decide();
    w.advance_time(milliseconds(6400));
    REQUIRE(w.decisions.decide(w.unix_ms).releases.size() == 1);
    w.report("a");
    CHECK(w.decide().releases.size() == 1);
}
