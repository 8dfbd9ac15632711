#include <catch2/catch.hpp>

#include "redwingwheel/supervisor.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

const run_id run_one{{"00000000000000aa", 0, 0, 0}, 1};

/// A worker that keeps orders until the test answers them.
class fake_port : public worker_port {
public:
    struct pending_start {
        start_request order;
        std::function<void(start_result)> done;
    };
    struct pending_stop {
        stop_request order;
        std::function<void(bool)> done;
    };
    struct pending_renewal {
        renew_request order;
        std::function<void(absl::StatusOr<worker_listing>)> done;
    };

    void start_run(const start_request& order, std::function<void(start_result)> done) override
    {
        this->starts.push_back({order, std::move(done)});
    }
    void stop_run(const stop_request& order, std::function<void(bool)> done) override
    {
        this->stops.push_back({order, std::move(done)});
    }
    void renew(const renew_request& order,
               std::function<void(absl::StatusOr<worker_listing>)> done) override
    {
        this->renewals.push_back({order, std::move(done)});
    }

    std::vector<pending_start> starts;
    std::vector<pending_stop> stops;
    std::vector<pending_renewal> renewals;
};

/// A supervisor with its worker, its leader and its clock in the test's hands.
class world {
public:
    struct pending_poll {
        messages::worker_poll poll;
        std::function<void(absl::StatusOr<messages::worker_poll_answer>)> done;
    };

    world() { this->restart(); }

    /// A new process: everything but the worker is forgotten.
    void restart()
    {
        this->timers.clear();
        this->polls.clear();
        this->port.renewals.clear();
        supervisor_options options;
        options.name = "host";
        supervisor_hooks hooks;
        hooks.poll =
            [this](const messages::worker_poll& poll, steady_time,
                   std::function<void(absl::StatusOr<messages::worker_poll_answer>)> done) {
                this->polls.push_back({poll, std::move(done)});
            };
        hooks.run_at = [this](steady_time at, std::function<void()> work) {
            this->timers.emplace(at, std::move(work));
        };
        this->tested = std::make_unique<supervisor>(options, this->time.function(), this->port,
                                                    std::move(hooks));
    }

    void pass(milliseconds by)
    {
        this->time.advance(by);
        this->worker_clock += by.count();
        while (!this->timers.empty() && this->timers.begin()->first <= this->time.now()) {
            const std::function<void()> work = this->timers.begin()->second;
            this->timers.erase(this->timers.begin());
            work();
        }
    }

    void announce(bool draining = false, std::int64_t remaining_ms = 0)
    {
        worker_description worker;
        worker.incarnation = {"w", this->born, ""};
        worker.service = "inspector";
        worker.draining = draining;
        worker.remaining_ms = remaining_ms;
        this->tested->announce(worker, ++this->sequence);
        this->pass(milliseconds(0));
    }

    /// The leader answers all polls but the last, as it does when a newer one has arrived.
    void replace_polls()
    {
        while (this->polls.size() > 1) {
            const pending_poll replaced = this->polls.front();
            this->polls.erase(this->polls.begin());
            replaced.done(absl::AbortedError("a newer poll has arrived"));
            this->pass(milliseconds(0));
        }
    }

    /// The worker answers the last renewal.
    void list(std::vector<run_progress> running = {}, std::vector<ended_run> ended_runs = {})
    {
        REQUIRE_FALSE(this->port.renewals.empty());
        const fake_port::pending_renewal renewal = this->port.renewals.back();
        this->port.renewals.clear();
        worker_listing listing;
        listing.worker = {"w", this->born, ""};
        listing.clock = this->worker_clock;
        listing.running = std::move(running);
        listing.ended_runs = std::move(ended_runs);
        renewal.done(listing);
        this->pass(milliseconds(0));
    }

    /// The worker's last renewal fails.
    void fail_renewal(worker_errc code)
    {
        REQUIRE_FALSE(this->port.renewals.empty());
        const fake_port::pending_renewal renewal = this->port.renewals.back();
        this->port.renewals.clear();
        renewal.done(make_error(code, "failed by the test"));
        this->pass(milliseconds(200));
    }

    /// The leader answers the last poll.
    void order(std::vector<run_id> wanted, std::vector<run_id> starts,
               std::vector<run_id> withdrawn = {}, std::uint64_t term = 3)
    {
        REQUIRE_FALSE(this->polls.empty());
        const pending_poll poll = this->polls.back();
        this->polls.clear();
        messages::worker_poll_answer answer;
        answer.term = term;
        answer.permit_ms = 6000;
        answer.wanted = std::move(wanted);
        answer.withdrawn = std::move(withdrawn);
        for (const run_id& run : starts) {
            answer.starts.push_back({run, "payload", ""});
        }
        poll.done(answer);
        this->pass(milliseconds(0));
    }

    [[nodiscard]] std::vector<messages::refused_start> refused() const
    {
        return this->polls.empty() ? std::vector<messages::refused_start>()
                                   : this->polls.back().poll.refused;
    }

    /// A supervisor whose predecessor's starts can no longer be carried out.
    void settle()
    {
        this->announce();
        this->list();
        this->order({}, {});
        this->pass(milliseconds(1600));
        this->list();
    }

    manual_clock time;
    worker_time_ms worker_clock = 10'000;
    std::int64_t born = 5;
    std::uint64_t sequence = 0;
    fake_port port;
    std::vector<pending_poll> polls;
    std::multimap<steady_time, std::function<void()>> timers;
    std::unique_ptr<supervisor> tested;
};

} // namespace

// Failure: a start is sent before the worker was seen, or without a deadline on its clock.
TEST_CASE("a start carries the term and a deadline on the worker's clock")
{
    world w;
    w.settle();
    w.order({run_one}, {run_one});
    REQUIRE(w.port.starts.size() == 1);
    CHECK(w.port.starts[0].order.fencing_token == 3);
    CHECK(w.port.starts[0].order.deadline > w.worker_clock);
    CHECK(w.port.starts[0].order.deadline <= w.worker_clock + 1500);
}

// Failure: a lease outlives the permit on a worker whose clock runs slow.
TEST_CASE("the lease ends before the permit on the slowest clock")
{
    world w;
    w.settle();
    w.order({}, {});
    w.list();
    REQUIRE_FALSE(w.port.renewals.empty());
    const worker_time_ms lease = w.port.renewals.back().order.lease_until - w.worker_clock;
    CHECK(lease > 4000);
    CHECK(static_cast<double>(lease) / 0.98 <= 6000.0);
}

// Failure: a supervisor that lost its leader extends leases for ever.
TEST_CASE("without a permit the lease is not extended and nothing is started")
{
    world w;
    w.settle();
    w.order({}, {});
    w.pass(milliseconds(6100));
    CHECK_FALSE(w.tested->has_permit());
    w.list();
    CHECK(w.port.renewals.back().order.lease_until == 0);
}

// Failure: a start that was carried out is reported as refused, and the task runs twice.
TEST_CASE("a start without an answer is refused only after its deadline")
{
    world w;
    w.settle();
    w.order({run_one}, {run_one});
    w.port.starts[0].done(start_result::no_answer);
    w.pass(milliseconds(500));
    w.list();
    REQUIRE(w.port.starts.size() == 2);
    CHECK(w.port.starts[1].order.deadline == w.port.starts[0].order.deadline);
    // The second attempt finds no room; the first may still be on its way.
    w.port.starts[1].done(start_result::no_room);
    w.pass(milliseconds(100));
    CHECK(w.refused().empty());
    w.pass(milliseconds(1600));
    w.list();
    CHECK(w.refused().size() == 1);
}

// Failure: a start that was carried out late is taken for one that never was.
TEST_CASE("a start that shows up in the list is not refused")
{
    world w;
    w.settle();
    w.order({run_one}, {run_one});
    w.port.starts[0].done(start_result::no_answer);
    w.pass(milliseconds(2000));
    w.list({{run_one, "", 5}});
    CHECK(w.refused().empty());
}

// Failure: a restarted supervisor refuses what its predecessor started; the task ran twice.
TEST_CASE("a restarted supervisor recognizes what runs")
{
    world w;
    w.settle();
    w.order({run_one}, {run_one});
    w.port.starts[0].done(start_result::started);
    w.restart();
    w.port.starts.clear();
    w.announce();
    w.order({run_one}, {run_one});
    CHECK(w.refused().empty());
    CHECK(w.port.starts.empty());
    w.list({{run_one, "", 30}});
    w.pass(milliseconds(100));
    CHECK(w.port.starts.empty());
    CHECK(w.port.stops.empty());
    CHECK(w.refused().empty());
}

// Failure: a restarted supervisor vouches for starts that its predecessor left unanswered.
TEST_CASE("a restarted supervisor refuses nothing while earlier starts may be carried out")
{
    world w;
    w.announce();
    w.list();
    w.order({run_one}, {run_one});
    REQUIRE(w.port.starts.size() == 1);
    w.port.starts[0].done(start_result::no_room);
    w.pass(milliseconds(100));
    CHECK(w.refused().empty());
    w.pass(milliseconds(1600));
    w.list();
    CHECK(w.refused().size() == 1);
}

// Failure: a run that was withdrawn before its start stays given away for good.
TEST_CASE("a withdrawn run that never started is refused after its stop is acknowledged")
{
    world w;
    w.settle();
    w.order({}, {}, {run_one});
    REQUIRE(w.port.stops.size() == 1);
    w.list();
    CHECK(w.refused().empty());
    w.pass(milliseconds(10));
    w.port.stops[0].done(true);
    w.pass(milliseconds(10));
    // This renewal was on its way before the stop.
    w.list();
    CHECK(w.refused().empty());
    w.pass(milliseconds(10));
    w.list();
    CHECK(w.refused().size() == 1);
}

// Failure: a withdrawn run that ended by the stop is refused as well, and its end is lost.
TEST_CASE("a withdrawn run that ran is reported by its end")
{
    world w;
    w.settle();
    w.order({}, {}, {run_one});
    w.list({{run_one, "", 10}});
    w.port.stops.back().done(true);
    w.list({}, {{1, run_one, run_outcome::stopped, "saved"}});
    w.pass(milliseconds(10));
    w.list({}, {{1, run_one, run_outcome::stopped, "saved"}});
    CHECK(w.refused().empty());
    CHECK(w.polls.back().poll.ended_runs.size() == 1);
}

// Failure: what runs is stopped before the leader has said what it wants.
TEST_CASE("nothing is stopped before the leader's first answer")
{
    world w;
    w.announce();
    w.list({{run_one, "", 10}});
    CHECK(w.port.stops.empty());
    w.order({}, {});
    CHECK(w.port.stops.size() == 1);
}

// Failure: an answer of a leader that was replaced takes effect.
TEST_CASE("answers of earlier terms are ignored")
{
    world w;
    w.settle();
    w.order({run_one}, {run_one}, {}, 7);
    w.list({{run_one, "", 10}});
    w.order({}, {}, {}, 6);
    CHECK(w.port.stops.empty());
}

// Failure: work is started on a worker that shuts down.
TEST_CASE("a draining worker gets nothing")
{
    world w;
    w.settle();
    w.announce(true);
    w.order({run_one}, {run_one});
    CHECK(w.port.starts.empty());
    CHECK(w.refused().size() == 1);
}

// Failure: the runs of a worker that ended without a word wait for its lease, twice as long as most
// urgent runs take.
TEST_CASE("a draining worker whose address refuses connections after its time has ended")
{
    world w;
    w.settle();
    w.announce(true, 2000);
    w.pass(milliseconds(2000));
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.worker.incarnation.id.empty());
    REQUIRE(w.polls.back().poll.ended.size() == 1);
    CHECK(w.polls.back().poll.ended.front().worker.id == "w");
}

// Failure: a worker that only refuses connections for a moment, resets them or hangs is taken for
// ended, and its tasks run twice.
TEST_CASE("a worker is not taken for ended before its time, nor when connections break")
{
    world w;
    w.settle();
    const auto is_there = [&w] {
        w.replace_polls();
        return w.polls.back().poll.ended.empty();
    };
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    CHECK(is_there());
    w.announce(true, 2000);
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::not_listening);
    CHECK(is_there());
    w.pass(milliseconds(2000));
    w.fail_renewal(worker_errc::no_answer);
    w.fail_renewal(worker_errc::not_listening);
    w.fail_renewal(worker_errc::no_answer);
    CHECK(is_there());
}

// Failure: the leader counts with the time that a draining worker had seconds ago.
TEST_CASE("the time that a draining worker has left runs down between its announcements")
{
    world w;
    w.settle();
    w.announce(true, 2000);
    w.pass(milliseconds(1500));
    w.list({}, {{1, run_one, run_outcome::done, ""}});
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.worker.remaining_ms == 500);
}

// Failure: a start that was never sent keeps its task waiting until the order's deadline.
TEST_CASE("a start without a connection is refused at once")
{
    world w;
    w.settle();
    w.order({run_one}, {run_one});
    REQUIRE(w.port.starts.size() == 1);
    w.port.starts.front().done(start_result::not_sent);
    w.pass(milliseconds(0));
    REQUIRE(w.refused().size() == 1);
    CHECK(w.refused().front().reason == "not_sent");
}

// Failure: work is given to a worker that its supervisor cannot reach.
TEST_CASE("the leader is told at once when the worker cannot be reached, and when it can again")
{
    world w;
    w.settle();
    CHECK(w.polls.back().poll.worker.reachable);
    w.fail_renewal(worker_errc::no_answer);
    w.replace_polls();
    CHECK_FALSE(w.polls.back().poll.worker.reachable);
    CHECK(w.port.renewals.back().order.wait == milliseconds(0));
    w.list();
    w.replace_polls();
    CHECK(w.polls.back().poll.worker.reachable);
}

// Failure: a delayed announcement of an incarnation that is over takes the place of the new one.
TEST_CASE("announcements of earlier incarnations are ignored")
{
    world w;
    w.settle();
    w.born = 9;
    w.announce();
    CHECK(w.polls.back().poll.ended.size() == 1);
    w.born = 5;
    w.announce();
    CHECK(w.polls.back().poll.worker.incarnation.started_unix_ms == 9);
}

// Failure: ends are lost when the worker leaves or the leader is not reached.
TEST_CASE("ends are reported until they are recorded")
{
    world w;
    w.settle();
    const ended_run end{1, run_one, run_outcome::done, ""};
    w.list({}, {end});
    CHECK(w.polls.back().poll.ended_runs.size() == 1);
    CHECK(w.port.renewals.back().order.last_recorded_end == 0);
    while (!w.polls.empty()) {
        const world::pending_poll failed = w.polls.back();
        w.polls.pop_back();
        failed.done(absl::UnavailableError("no leader"));
    }
    w.pass(milliseconds(200));
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.ended_runs.size() == 1);
}

// Failure: a worker ends its last task and leaves at once; its task is given away and runs again.
TEST_CASE("the ends of a worker that has left are reported until they are recorded")
{
    world w;
    w.settle();
    const ended_run end{1, run_one, run_outcome::done, ""};
    w.list({}, {end});
    w.tested->worker_left("w");
    w.pass(milliseconds(0));
    w.replace_polls();
    REQUIRE_FALSE(w.polls.empty());
    const messages::worker_poll poll = w.polls.back().poll;
    CHECK(poll.worker.incarnation.id.empty());
    REQUIRE(poll.ended.size() == 1);
    REQUIRE(poll.ended.front().ended_runs.size() == 1);
    CHECK(poll.ended.front().ended_runs.front().run == run_one);

    messages::worker_poll_answer recorded;
    recorded.settled = {poll.ended.front().worker};
    const world::pending_poll answered = w.polls.back();
    w.polls.clear();
    answered.done(recorded);
    w.pass(milliseconds(0));
    REQUIRE_FALSE(w.polls.empty());
    CHECK(w.polls.back().poll.ended.front().ended_runs.empty());
}

// Failure: an end waits until the leader has news of its own, although a poll could carry it.
TEST_CASE("news that comes while two polls are out is sent when one of them is answered")
{
    world w;
    w.settle();
    w.list({}, {{1, run_one, run_outcome::stopped, ""}});
    w.list({}, {{1, run_one, run_outcome::stopped, ""},
                {2, {{"00000000000000bb", 0, 0, 0}, 1}, run_outcome::done, ""}});
    REQUIRE(w.polls.size() == 2);
    w.replace_polls();
    CHECK(w.polls.back().poll.ended_runs.size() == 2);
}
