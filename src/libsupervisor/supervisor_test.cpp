#include <catch2/catch.hpp>

#include "redwingwheel/supervisor.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

const run_id run_one{{"00000000000000aa", 0, 0, 0}, 1};

/// A worker port that keeps the orders until the test answers them.
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

/// Test fixture: a supervisor whose worker, leader and clock are controlled by the test.
class world {
public:
    struct pending_poll {
        messages::worker_poll poll;
        std::function<void(absl::StatusOr<messages::worker_poll_answer>)> done;
    };

    world() { this->restart(); }

    /// Restarts the supervisor's process, which loses its state. The worker keeps running.
    void restart()
    {
        this->timers.clear();
        this->polls.clear();
        this->port.renewals.clear();
        supervisor_options options;
        options.name = "host";
        options.process = ++this->process;
        supervisor_hooks hooks;
        hooks.poll =
            [this](const messages::worker_poll& poll, steady_time,
                   std::function<void(absl::StatusOr<messages::worker_poll_answer>)> done) {
                this->polls.push_back({poll, std::move(done)});
            };
        hooks.run_at = [this](steady_time at, std::function<void()> work) {
            this->timers.emplace(at, std::move(work));
        };
        this->subject = std::make_unique<supervisor>(
            options, this->time.function(), [this] { return this->awake; }, this->port,
            std::move(hooks));
    }

    void advance_time(milliseconds by)
    {
        this->time.advance(by);
        this->awake += by;
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
        worker.incarnation = {"w", this->started_unix_ms, ""};
        worker.service = "inspector";
        worker.draining = draining;
        worker.remaining_ms = remaining_ms;
        this->subject->announce(worker, ++this->sequence);
        this->advance_time(milliseconds(0));
        this->answer_token_request();
    }

    /// Answers the last poll with a token for each incarnation that it names, if there are any.
    void answer_token_request()
    {
        if (this->polls.empty() || this->polls.back().poll.unconfirmed.empty()) {
            return;
        }
        const pending_poll poll = this->polls.back();
        this->polls.pop_back();
        messages::worker_poll_answer answer;
        answer.term = 3;
        for (const worker_incarnation& each : poll.poll.unconfirmed) {
            answer.tokens.push_back({each, ++this->token});
        }
        poll.done(answer);
        this->advance_time(milliseconds(0));
    }

    /// Answers all polls but the last as the leader does when a newer one has arrived.
    void replace_polls()
    {
        while (this->polls.size() > 1) {
            const pending_poll replaced = this->polls.front();
            this->polls.erase(this->polls.begin());
            replaced.done(absl::AbortedError("a newer poll has arrived"));
            this->advance_time(milliseconds(0));
        }
    }

    /// Answers the last renewal as the worker does.
    void answer_renewal(std::vector<run_progress> running = {},
                        std::vector<ended_run> ended_runs = {})
    {
        REQUIRE_FALSE(this->port.renewals.empty());
        const fake_port::pending_renewal renewal = this->port.renewals.back();
        this->port.renewals.clear();
        worker_listing listing;
        listing.worker = {"w", this->started_unix_ms, ""};
        listing.clock = this->worker_clock;
        listing.running = std::move(running);
        listing.ended_runs = std::move(ended_runs);
        renewal.done(listing);
        this->advance_time(milliseconds(0));
    }

    /// Fails the last renewal and lets the pause after it elapse.
    void fail_renewal(worker_errc code)
    {
        REQUIRE_FALSE(this->port.renewals.empty());
        const fake_port::pending_renewal renewal = this->port.renewals.back();
        this->port.renewals.clear();
        renewal.done(make_error(code, "failed by the test"));
        this->advance_time(milliseconds(200));
    }

    /// Answers the last poll as the leader does.
    void answer_poll(std::vector<run_id> wanted, std::vector<run_id> starts,
                     std::vector<run_id> withdrawn = {}, std::uint64_t term = 3)
    {
        REQUIRE_FALSE(this->polls.empty());
        const pending_poll poll = this->polls.back();
        this->polls.clear();
        messages::worker_poll_answer answer;
        answer.last_recorded_end = this->last_recorded_end;
        answer.last_superseded_end = this->last_superseded_end;
        answer.term = term;
        answer.has_orders = true;
        answer.permit_ms = poll.poll.contact == worker_contact::lease_expired ? 0 : 6000;
        answer.desired_runs = std::move(wanted);
        answer.withdrawn = std::move(withdrawn);
        for (const run_id& run : starts) {
            answer.starts.push_back({run, "payload", ""});
        }
        poll.done(answer);
        this->advance_time(milliseconds(0));
    }

    /// Lets time pass in which no renewal is answered. Returns the number of renewals.
    std::size_t lose_contact_for(milliseconds duration)
    {
        constexpr milliseconds step{50};
        std::size_t failed = 0;
        for (milliseconds passed{0}; passed < duration; passed += step) {
            if (!this->port.renewals.empty()) {
                const fake_port::pending_renewal renewal = this->port.renewals.back();
                this->port.renewals.clear();
                renewal.done(make_error(worker_errc::not_listening, "failed by the test"));
                ++failed;
            }
            this->advance_time(step);
        }
        return failed;
    }

    /// What the last poll says of the worker.
    [[nodiscard]] worker_contact last_contact()
    {
        this->replace_polls();
        REQUIRE_FALSE(this->polls.empty());
        return this->polls.back().poll.contact;
    }

    [[nodiscard]] std::vector<messages::refused_start> refused() const
    {
        return this->polls.empty() ? std::vector<messages::refused_start>()
                                   : this->polls.back().poll.refused_starts;
    }

    /// Starts up the supervisor and waits until no order of an earlier process can be carried out.
    void complete_long_start_up()
    {
        this->complete_start_up();
        this->advance_time(milliseconds(12'000));
        this->answer_renewal();
        this->answer_poll({}, {});
        this->answer_renewal();
    }

    /// Starts up the supervisor and waits until no start of an earlier process can be carried out.
    void complete_start_up()
    {
        this->announce();
        this->answer_renewal();
        this->answer_poll({}, {});
        this->advance_time(milliseconds(1600));
        this->answer_renewal();
    }

    manual_clock time;
    awake_time awake;
    worker_time_ms worker_clock = 10'000;
    std::int64_t started_unix_ms = 5;
    std::uint64_t sequence = 0;
    std::uint64_t process = 0;
    std::uint64_t token = 300;
    /// Sent with the next answers to polls.
    std::uint64_t last_recorded_end = 0;
    std::uint64_t last_superseded_end = 0;
    fake_port port;
    std::vector<pending_poll> polls;
    std::multimap<steady_time, std::function<void()>> timers;
    std::unique_ptr<supervisor> subject;
};

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
    for (const fake_port::pending_start& each : w.port.starts) {
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
