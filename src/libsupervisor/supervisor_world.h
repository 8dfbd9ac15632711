#pragma once

#include <map>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "redwingwheel/supervisor.h"

namespace redwingwheel::jobs {

inline const run_id run_one{{"00000000000000aa", 0, 0, 0}, 1};

/// A worker port that keeps the orders until the test answers them.
class fake_worker_port : public worker_port {
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
class supervisor_world {
public:
    struct pending_poll {
        messages::worker_poll poll;
        std::function<void(absl::StatusOr<messages::worker_poll_answer>)> done;
    };

    supervisor_world() { this->restart(); }

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
        const fake_worker_port::pending_renewal renewal = this->port.renewals.back();
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
        const fake_worker_port::pending_renewal renewal = this->port.renewals.back();
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
                const fake_worker_port::pending_renewal renewal = this->port.renewals.back();
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
    fake_worker_port port;
    std::vector<pending_poll> polls;
    std::multimap<steady_time, std::function<void()>> timers;
    std::unique_ptr<supervisor> subject;
};

} // namespace redwingwheel::jobs
