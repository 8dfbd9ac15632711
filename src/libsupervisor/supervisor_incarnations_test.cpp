#include "supervisor_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = supervisor_world;

} // namespace

// Failure: the runs of a worker that ended without notice wait until its lease expires, which takes
// twice as long as most urgent runs.
TEST_CASE("a draining worker that refuses connections after its announced time is taken for ended")
{
    world w;
    w.complete_start_up();
    w.announce(true, 2000);
    w.advance_time(milliseconds(2000));
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.worker.incarnation.id.empty());
    REQUIRE(w.polls.back().poll.ended_incarnations.size() == 1);
    CHECK(w.polls.back().poll.ended_incarnations.front().worker.id == "w");
}

// Failure: a worker that refuses connections for a short time, resets them or hangs is taken for
// ended, and its tasks run twice.
TEST_CASE("a worker is not taken for ended before its announced time or when connections break")
{
    world w;
    w.complete_start_up();
    const auto is_not_ended = [&w] {
        w.replace_polls();
        return w.polls.back().poll.ended_incarnations.empty();
    };
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    CHECK(is_not_ended());
    w.announce(true, 2000);
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    CHECK(is_not_ended());
    w.advance_time(milliseconds(2000));
    w.fail_renewal(worker_errc::no_answer);
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::no_answer);
    CHECK(is_not_ended());
}

// Failure: the leader gets the remaining time of the last announcement, which is seconds old.
TEST_CASE("the remaining time of a draining worker decreases between its announcements")
{
    world w;
    w.complete_start_up();
    w.announce(true, 2000);
    w.advance_time(milliseconds(1500));
    w.answer_renewal({}, {{1, run_one, run_outcome::done, ""}});
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.worker.remaining_ms == 500);
}

// Failure: a delayed announcement of an ended incarnation replaces the current one.
TEST_CASE("announcements of earlier incarnations are ignored")
{
    world w;
    w.complete_start_up();
    w.started_unix_ms = 9;
    w.announce();
    w.answer_renewal();
    w.replace_polls();
    CHECK(w.polls.back().poll.ended_incarnations.size() == 1);
    w.started_unix_ms = 5;
    w.announce();
    CHECK(w.polls.back().poll.worker.incarnation.started_unix_ms == 9);
}

// Failure: a worker finishes its last task and leaves at once, and the task runs again.
TEST_CASE("the ended runs of a worker that has left are reported until they are recorded")
{
    world w;
    w.complete_start_up();
    const ended_run end{1, run_one, run_outcome::done, ""};
    w.answer_renewal({}, {end});
    w.subject->worker_deregistered("w");
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    const messages::worker_poll poll = w.polls.back().poll;
    CHECK(poll.worker.incarnation.id.empty());
    REQUIRE(poll.ended_incarnations.size() == 1);
    REQUIRE(poll.ended_incarnations.front().ended_runs.size() == 1);
    CHECK(poll.ended_incarnations.front().ended_runs.front().run == run_one);

    messages::worker_poll_answer recorded;
    recorded.recorded_incarnations = {poll.ended_incarnations.front().worker};
    const world::pending_poll answered = w.polls.back();
    w.polls.clear();
    answered.done(recorded);
    w.advance_time(milliseconds(200));
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.ended_incarnations.front().ended_runs.empty());
}

// Failure: a deregistration whose ack is lost, or that arrives late, ends a worker that still runs
// its tasks, and they run twice.
TEST_CASE("a worker that has deregistered but still answers is taken for ended")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.answer_renewal({{run_one, "", 10}});
    w.subject->worker_deregistered("w");
    w.advance_time(milliseconds(0));
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.ended_incarnations.empty());
    CHECK_FALSE(w.polls.back().poll.worker.reachable);
    // The deregistration was late: the worker goes on.
    w.announce();
    w.replace_polls();
    CHECK(w.polls.back().poll.worker.reachable);
}

// Failure: an announcement of another writer ends the worker, and its tasks run twice.
TEST_CASE("a worker is taken for ended because of an announcement that it does not confirm")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.answer_renewal({{run_one, "", 10}});
    worker_description other;
    other.incarnation = {"other", w.started_unix_ms + 1000, ""};
    other.service = "inspector";
    w.subject->announce(other, 1);
    w.advance_time(milliseconds(0));
    w.answer_token_request();
    REQUIRE(w.port.renewals.back().order.worker.id == "other");
    w.fail_renewal(worker_errc::other_incarnation);
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.ended_incarnations.empty());
    CHECK(w.polls.back().poll.worker.incarnation.id == "w");
    CHECK(w.polls.back().poll.unconfirmed.empty());
}

// Failure: an order that was held up on its way to the previous incarnation is carried out by the
// next one with the same id, and its task runs twice.
TEST_CASE("an incarnation is reported before it has seen a token that voids earlier orders")
{
    world w;
    w.complete_start_up();
    w.answer_poll({run_one}, {run_one});
    REQUIRE(w.port.starts.size() == 1);
    w.port.starts[0].done(start_result::no_answer);
    const std::uint64_t token_of_order = w.port.starts[0].order.fencing_token;
    w.started_unix_ms = 9;
    w.announce();
    w.replace_polls();
    CHECK(w.polls.back().poll.worker.incarnation.started_unix_ms == 5);
    CHECK(w.polls.back().poll.ended_incarnations.empty());
    CHECK(w.port.renewals.back().order.fencing_token > token_of_order);
    w.answer_renewal({{run_one, "", 0}});
    w.replace_polls();
    const messages::worker_poll& poll = w.polls.back().poll;
    CHECK(poll.worker.incarnation.started_unix_ms == 9);
    CHECK(poll.fencing_token > token_of_order);
    CHECK(poll.running.size() == 1);
    REQUIRE(poll.ended_incarnations.size() == 1);
    CHECK(poll.ended_incarnations.front().crashed);
    CHECK(poll.ended_incarnations.front().runs_at_end == std::vector<run_id>{run_one});
}

// Failure: a worker that was restarted while the time of day jumped back is never recognized.
TEST_CASE("an incarnation with an earlier start time is not confirmed")
{
    world w;
    w.complete_start_up();
    w.started_unix_ms = 3;
    w.announce();
    w.answer_renewal();
    w.replace_polls();
    CHECK(w.polls.back().poll.worker.incarnation.started_unix_ms == 3);
    CHECK(w.polls.back().poll.ended_incarnations.size() == 1);
}

// Failure: after its worker has seen a higher token, a supervisor renews the lease in vain, or
// polls without a pause.
TEST_CASE("a fenced supervisor does not ask for a new token")
{
    world w;
    w.complete_start_up();
    w.answer_poll({}, {});
    const std::uint64_t refused_token = w.port.renewals.back().order.fencing_token;
    w.fail_renewal(worker_errc::fenced);
    w.replace_polls();
    REQUIRE(w.polls.back().poll.unconfirmed.size() == 1);
    CHECK(w.polls.back().poll.worker.reachable);
    w.answer_token_request();
    REQUIRE_FALSE(w.port.renewals.empty());
    CHECK(w.port.renewals.back().order.fencing_token > refused_token);
    w.answer_renewal();
    w.advance_time(milliseconds(200));
    w.replace_polls();
    CHECK(w.polls.back().poll.fencing_token > refused_token);
    CHECK(w.polls.back().poll.unconfirmed.empty());
}

// Failure: after a restart under the same id a worker forgets ends that nobody has recorded, and
// extends its lease for its predecessor.
TEST_CASE("a renewal for the previous incarnation changes the next one")
{
    world w;
    w.complete_start_up();
    w.answer_renewal({}, {{1, run_one, run_outcome::done, ""}});
    w.replace_polls();
    w.answer_poll({}, {});
    w.answer_renewal();
    REQUIRE(w.port.renewals.back().order.lease_until > 0);
    w.fail_renewal(worker_errc::no_answer);
    REQUIRE_FALSE(w.port.renewals.empty());
    CHECK(w.port.renewals.back().order.lease_until == 0);
    CHECK(w.port.renewals.back().order.last_recorded_end == 0);
    w.answer_renewal();
    CHECK(w.port.renewals.back().order.lease_until > 0);

    w.started_unix_ms = 9;
    w.fail_renewal(worker_errc::no_answer);
    w.announce();
    w.replace_polls();
    w.answer_token_request();
    REQUIRE(w.port.renewals.back().order.worker.started_unix_ms == 9);
    w.fail_renewal(worker_errc::no_answer);
    REQUIRE(w.port.renewals.size() == 1);
    CHECK(w.port.renewals.back().order.worker.started_unix_ms == 9);
}

// Failure: nobody can tell which runs ended together with their worker.
TEST_CASE("a crash is reported with the runs that the worker had started")
{
    const run_id sent{{"00000000000000bb", 0, 0, 0}, 1};
    const run_id refused{{"00000000000000cc", 0, 0, 0}, 1};
    const run_id ended{{"00000000000000dd", 0, 0, 0}, 1};
    world w;
    w.complete_start_up();
    w.answer_poll({run_one, sent, refused, ended}, {run_one, sent, refused, ended});
    REQUIRE(w.port.starts.size() == 4);
    for (const fake_worker_port::pending_start& each : w.port.starts) {
        if (each.order.run != sent) {
            each.done(each.order.run == refused ? start_result::no_room : start_result::started);
        }
    }
    w.answer_renewal({{run_one, "", 0}}, {{1, ended, run_outcome::failed, ""}});
    w.replace_polls();
    w.started_unix_ms = 9;
    w.announce();
    w.replace_polls();
    w.answer_token_request();
    w.answer_renewal();
    w.replace_polls();
    const messages::ended_incarnation& reported = w.polls.back().poll.ended_incarnations.front();
    CHECK(reported.crashed);
    CHECK(reported.runs_at_end == std::vector<run_id>{run_one, sent});
}

// Failure: runs of a worker that ended as planned are taken for the cause of a crash.
TEST_CASE("a worker that drained or deregistered before the next one is not reported as crashed")
{
    const bool deregisters = GENERATE(true, false);
    world w;
    w.complete_start_up();
    w.answer_renewal({{run_one, "", 0}});
    if (deregisters) {
        w.subject->worker_deregistered("w");
        w.fail_renewal(worker_errc::not_listening);
        w.fail_renewal(worker_errc::not_listening);
    }
    else {
        w.announce(true, 2000);
    }
    w.replace_polls();
    w.started_unix_ms = 9;
    w.announce();
    w.replace_polls();
    w.answer_token_request();
    w.answer_renewal();
    w.replace_polls();
    REQUIRE(w.polls.back().poll.ended_incarnations.size() == 1);
    CHECK_FALSE(w.polls.back().poll.ended_incarnations.front().crashed);
}
