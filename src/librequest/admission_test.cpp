#include "redwingwheel/admission.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace request = redwingwheel::request;
using redwingwheel::milliseconds;
using request::attempt_id;
using request::offer_kind;
using request::outcome_kind;
using request::refusal_reason;
using request::request_class;
using request::request_info;

namespace {

constexpr std::uint64_t property_seed = 20261204;
constexpr int property_steps = 40'000;

request_info make_request(attempt_id attempt, request_class priority,
                          const redwingwheel::manual_clock& clock, const std::string& account = "a",
                          milliseconds until_deadline = milliseconds(60'000))
{
    request_info made;
    made.attempt = attempt;
    made.account = account;
    made.service = "service";
    made.priority = priority;
    made.deadline = clock.now() + until_deadline;
    return made;
}

/// Faults injected by the test, to verify that each property check can fail.
struct planted_faults {
    bool permit_always_granted = false;
    bool clock_stands_still = false;
    bool drain_refusals_lost = false;
    std::uint32_t extra_connections = 0;
    std::uint32_t extra_queue = 0;
};

/// Drives an admission queue with random operations and checks it against a model.
class property_run {
public:
    property_run(const request::admission_options& chosen, const request::admission_rules& rules,
                 const planted_faults& planted = {})
        : options(chosen), faults(planted), random(property_seed),
          queue(
              with_faults(chosen, planted),
              [this, begin = this->clock.now()] {
                  return this->faults.clock_stands_still ? begin : this->clock.now();
              },
              [this] { return this->permit || this->faults.permit_always_granted; }, rules)
    {
    }

    std::string run()
    {
        for (int step = 0; step < property_steps && this->violation.empty(); ++step) {
            // Every second block of 500 steps offers batch work only, so that it reaches its slot
            // limit.
            this->batch_only = (step / 500) % 2 == 1;
            this->one_step();
            this->check_load();
        }
        const request::dispatch_result drained = this->queue.drain();
        if (!this->faults.drain_refusals_lost) {
            this->note(drained);
        }
        while (!this->running.empty()) {
            this->end_one();
        }
        if (this->violation.empty() && (!this->queued.empty() || this->ended != this->offered)) {
            this->violation = "an attempt without an outcome";
        }
        return this->violation;
    }

    std::uint64_t started = 0;
    std::uint64_t refused = 0;

private:
    static request::admission_options with_faults(request::admission_options chosen,
                                                  const planted_faults& planted)
    {
        chosen.connections += planted.extra_connections;
        chosen.max_queued += planted.extra_queue;
        return chosen;
    }

    std::uint64_t below(std::uint64_t bound) { return this->random() % bound; }

    void one_step()
    {
        const std::uint64_t what = this->below(100);
        if (what < 45) {
            this->offer_one();
        }
        else if (what < 80) {
            this->end_one();
        }
        else if (what < 85 && !this->queued.empty()) {
            this->cancel_one();
        }
        else if (what < 97) {
            this->clock.advance(milliseconds(this->below(20)));
            this->note(this->queue.expire());
        }
        else if (what < 99) {
            const std::uint64_t task = this->below(3);
            if (this->below(2) == 0) {
                const std::uint32_t count = 1 + static_cast<std::uint32_t>(this->below(2));
                this->held_by_task[task] += this->queue.hold_slots(task, count) ? count : 0;
            }
            else {
                this->held_by_task[task] = 0;
                this->note(this->queue.release_slots(task));
            }
        }
        else {
            this->permit = this->below(4) > 0;
        }
    }

    void offer_one()
    {
        request_info made = make_request(
            ++this->offered,
            this->batch_only ? request_class::batch : static_cast<request_class>(this->below(3)),
            this->clock, fmt::format("account-{}", this->below(5)),
            milliseconds(1 + this->below(400)));
        made.slots = this->below(10) == 0 ? 2 : static_cast<std::uint32_t>(this->below(12) > 0);
        made.account_weight = 1 + static_cast<std::uint32_t>(this->below(3));
        made.service = fmt::format("service-{}", this->below(4));
        this->queued.emplace(made.attempt, made);
        const request::offer_result result = this->queue.offer(made);
        request::dispatch_result all = result.other_attempts;
        if (result.kind == offer_kind::started) {
            all.started.push_back(made);
        }
        else if (result.kind == offer_kind::refused) {
            all.refused.push_back({made.attempt, result.reason});
        }
        this->note(all);
    }

    void end_one()
    {
        if (this->running.empty()) {
            return;
        }
        auto victim = this->running.begin();
        std::advance(victim, static_cast<std::ptrdiff_t>(this->below(this->running.size())));
        const attempt_id attempt = victim->first;
        this->running.erase(victim);
        ++this->ended;
        this->note(this->queue.finished(attempt, this->below(5) == 0 ? outcome_kind::failed
                                                                     : outcome_kind::done));
    }

    void cancel_one()
    {
        const attempt_id attempt = this->queued.begin()->first;
        this->queued.erase(attempt);
        ++this->ended;
        const request::cancel_result result = this->queue.cancel(attempt);
        if (result.kind != request::cancel_kind::removed_from_queue) {
            this->violation = "a queued attempt was not found";
        }
        this->note(result.other_attempts);
    }

    void note(const request::dispatch_result& out)
    {
        for (const request::refused_attempt& one : out.refused) {
            ++this->refused;
            ++this->ended;
            if (this->queued.erase(one.attempt) != 1) {
                this->violation = "a refusal of an attempt that did not wait";
            }
        }
        for (const request_info& one : out.started) {
            this->note_start(one);
        }
    }

    void note_start(const request_info& one)
    {
        ++this->started;
        if (this->queued.erase(one.attempt) != 1) {
            this->violation = "a start of an attempt that did not wait";
        }
        if (!this->permit) {
            this->violation = "a start without a permit";
        }
        if (one.deadline <= this->clock.now()) {
            this->violation = "a start after the deadline";
        }
        const bool interactive_waits =
            std::any_of(this->queued.begin(), this->queued.end(), [](const auto& waiting) {
                return waiting.second.priority == request_class::interactive;
            });
        if (interactive_waits && one.priority == request_class::batch &&
            this->slots_of(request_class::standard) + this->slots_of(request_class::batch) >=
                this->options.min_background_slots) {
            this->violation = "interactive work waits behind batch work";
        }
        this->running.emplace(one.attempt, one);
    }

    std::uint32_t slots_of(request_class priority) const
    {
        std::uint32_t used = 0;
        for (const auto& [attempt, info] : this->running) {
            used += info.priority == priority ? info.slots : 0;
        }
        return used;
    }

    void check_load()
    {
        const std::uint32_t held_now =
            this->held_by_task[0] + this->held_by_task[1] + this->held_by_task[2];
        const std::uint32_t batch = this->slots_of(request_class::batch);
        const std::uint32_t used = this->slots_of(request_class::interactive) +
                                   this->slots_of(request_class::standard) + batch + held_now;
        if (used > this->options.slots) {
            this->violation = "more slots used than there are";
        }
        if (this->running.size() > this->options.connections) {
            this->violation = "more connections used than there are";
        }
        if (batch + held_now > this->options.slots - 1) {
            this->violation = "batch work and tasks hold every slot";
        }
        if (this->queued.size() > this->options.max_queued) {
            this->violation = "the queue is over its bound";
        }
    }

    request::admission_options options;
    planted_faults faults;
    redwingwheel::manual_clock clock;
    std::mt19937_64 random;
    bool permit = true;
    bool batch_only = false;
    request::admission_queue queue;
    std::map<attempt_id, request_info> queued;
    std::map<attempt_id, request_info> running;
    std::map<std::uint64_t, std::uint32_t> held_by_task;
    std::uint64_t offered = 0;
    std::uint64_t ended = 0;
    std::string violation;
};

/// Counts the starts {heavy, light} of two accounts that always have queued requests. `heavy` sends
/// four times as many requests as `light`.
std::array<int, 2> share_starts(std::uint32_t light_weight, const request::admission_rules& rules)
{
    redwingwheel::manual_clock clock;
    request::admission_queue queue(
        {}, clock.function(), [] { return true; }, rules);
    std::array<int, 2> starts{};
    std::vector<attempt_id> running;
    attempt_id next = 0;
    const auto note = [&](const request_info& one) {
        ++starts[one.account == "light" ? 1 : 0];
        running.push_back(one.attempt);
    };
    for (int step = 0; step < 4'000; ++step) {
        for (int one = 0; one < 10; ++one) {
            request_info made =
                make_request(++next, request_class::standard, clock, one < 2 ? "light" : "heavy");
            made.account_weight = one < 2 ? light_weight : 1;
            const request::offer_result result = queue.offer(made);
            if (result.kind == offer_kind::started) {
                note(made);
            }
        }
        clock.advance(milliseconds(10));
        const std::vector<attempt_id> ending = std::exchange(running, {});
        for (std::size_t index = 0; index < ending.size(); ++index) {
            // Two of eight running attempts end in each step, so that both accounts stay queued.
            if (index >= 2) {
                running.push_back(ending[index]);
                continue;
            }
            for (const request_info& one :
                 queue.finished(ending[index], outcome_kind::done).started) {
                note(one);
            }
        }
    }
    return starts;
}

} // namespace

// Guards against more slots or connections in use than exist, starts without a permit or after the
// deadline, batch work started before queued interactive work, and attempts that end twice or
// never.
TEST_CASE("admission invariants hold under random operations", "[admission]")
{
    for (const std::uint32_t connections : {64U, 5U}) {
        request::admission_options options;
        options.connections = connections;
        options.max_queued = 30;
        property_run one(options, {});
        const std::string violation = one.run();
        std::cout << fmt::format(
            "admission properties: seed {}, {} steps, {} starts, {} refusals\n", property_seed,
            property_steps, one.started, one.refused);
        INFO(violation);
        CHECK(violation.empty());
        CHECK(one.started > 5'000);
        CHECK(one.refused > 1'000);
    }
}

// Guards against property checks that cannot fail: each broken rule must be detected.
TEST_CASE("the admission property checks detect broken rules", "[admission]")
{
    request::admission_options options;
    options.connections = 5;
    options.max_queued = 30;
    request::admission_rules rules;
    rules.limit_slots = false;
    CHECK(property_run({}, rules).run() == "more slots used than there are");
    rules = {};
    rules.interactive_first = false;
    CHECK(property_run({}, rules).run() == "interactive work waits behind batch work");
    planted_faults faults;
    faults.permit_always_granted = true;
    CHECK(property_run(options, {}, faults).run() == "a start without a permit");
    faults = {};
    faults.clock_stands_still = true;
    CHECK(property_run(options, {}, faults).run() == "a start after the deadline");
    faults = {};
    faults.extra_connections = 1;
    CHECK(property_run(options, {}, faults).run() == "more connections used than there are");
    faults = {};
    faults.extra_queue = 1;
    CHECK(property_run(options, {}, faults).run() == "the queue is over its bound");
    faults = {};
    faults.drain_refusals_lost = true;
    CHECK(property_run(options, {}, faults).run() == "an attempt without an outcome");
    request::admission_options all_for_batch;
    all_for_batch.reserved_non_batch_slots = 0;
    CHECK(property_run(all_for_batch, {}).run() == "batch work and tasks hold every slot");
}

// Guards against an account that starves others by sending more requests. With fair shares switched
// off, the same load must show the starvation.
TEST_CASE("accounts share slot time by weight", "[admission]")
{
    const std::array<int, 2> equal = share_starts(1, {});
    const std::array<int, 2> triple = share_starts(3, {});
    request::admission_rules unfair;
    unfair.fair_shares = false;
    const std::array<int, 2> first_come = share_starts(1, unfair);
    std::cout << fmt::format("starts heavy/light: weights 1:1 {}/{}, 1:3 {}/{}, unfair {}/{}\n",
                             equal[0], equal[1], triple[0], triple[1], first_come[0],
                             first_come[1]);
    CHECK(equal[1] > equal[0] * 0.9);
    CHECK(triple[1] > triple[0] * 2.7);
    CHECK(triple[1] < triple[0] * 3.3);
    CHECK(first_come[1] < first_come[0] * 0.1);
}

// Guards against starvation of batch work under a high interactive load, and against an interactive
// attempt that finds all slots occupied by batch work.
TEST_CASE("one slot is closed to batch work and one is guaranteed to queued background work",
          "[admission]")
{
    redwingwheel::manual_clock clock;
    request::admission_queue queue({}, clock.function());
    attempt_id next = 0;
    for (int one = 0; one < 8; ++one) {
        const offer_kind kind = queue.offer(make_request(++next, request_class::batch, clock)).kind;
        CHECK(kind == (one < 7 ? offer_kind::started : offer_kind::queued));
    }
    const attempt_id urgent = ++next;
    REQUIRE(queue.offer(make_request(urgent, request_class::interactive, clock)).kind ==
            offer_kind::started);
    for (int one = 0; one < 20; ++one) {
        static_cast<void>(queue.offer(make_request(++next, request_class::interactive, clock)));
    }
    // The batch attempts 1 to 7 end. Background work has no slot only after the last of them ends.
    for (attempt_id batch = 1; batch <= 7; ++batch) {
        const std::vector<request_info> started = queue.finished(batch, outcome_kind::done).started;
        REQUIRE(started.size() == 1);
        CHECK(started[0].priority ==
              (batch < 7 ? request_class::interactive : request_class::batch));
    }
}

// Guards against a not_run outcome for an attempt that is running or has run, and against a start
// after a refusal or a cancel, or in another incarnation.
TEST_CASE("incarnation and duplicate checks precede all other refusals", "[admission]")
{
    redwingwheel::manual_clock clock;
    request::admission_options options;
    options.incarnation = 5;
    request::admission_queue queue(options, clock.function());
    request_info claimed = make_request(1, request_class::standard, clock);
    claimed.claim_incarnation = 5;
    REQUIRE(queue.offer(claimed).kind == offer_kind::started);
    CHECK(queue.cancel(1).kind == request::cancel_kind::running);
    static_cast<void>(queue.drain());
    CHECK(queue.offer(claimed).reason == refusal_reason::duplicate_attempt);
    static_cast<void>(queue.finished(1, outcome_kind::done));
    CHECK(queue.offer(claimed).reason == refusal_reason::duplicate_attempt);
    CHECK(queue.cancel(1).kind == request::cancel_kind::finished);
    CHECK(queue.cancel(2).kind == request::cancel_kind::revoked);
    claimed.attempt = 2;
    CHECK(queue.offer(claimed).reason == refusal_reason::revoked);
    claimed.claim_incarnation = 4;
    CHECK(queue.offer(claimed).reason == refusal_reason::wrong_incarnation);
    claimed.attempt = 3;
    claimed.claim_incarnation = 5;
    CHECK(queue.offer(claimed).reason == refusal_reason::shutting_down);
    CHECK(queue.offer(claimed).reason == refusal_reason::revoked);
    CHECK(request::outcome_of_refusal(refusal_reason::duplicate_attempt, true) ==
          outcome_kind::unknown);
    CHECK(request::outcome_of_refusal(refusal_reason::wrong_incarnation, false) ==
          outcome_kind::unknown);
}

// Guards against a history that forgets a claimed attempt within the retention time of one hour,
// grows without limit, or reports itself full after that hour.
TEST_CASE("claimed attempts are remembered for an hour, up to a limit", "[admission]")
{
    redwingwheel::manual_clock clock;
    request::history_options options;
    options.max_claimed = 10;
    options.max_idempotent = 4;
    request::attempt_history history(options, clock.function());
    for (attempt_id attempt = 1; attempt <= 30; ++attempt) {
        history.add(attempt, true, request::end_kind::ran);
        history.add(100 + attempt, false, request::end_kind::ran);
    }
    CHECK(history.claimed_full());
    CHECK(history.find(1).has_value());
    CHECK_FALSE(history.find(21).has_value());
    CHECK_FALSE(history.find(126).has_value());
    CHECK(history.find(127).has_value());
    clock.advance(std::chrono::hours(1));
    CHECK_FALSE(history.claimed_full());
}

// Guards against starting an attempt that cannot meet its deadline, and against an average of long
// run times that makes the agent refuse a service forever.
TEST_CASE("a deadline below the average run time is refused, and the average recovers",
          "[admission]")
{
    redwingwheel::manual_clock clock;
    request::admission_queue queue({}, clock.function());
    REQUIRE(queue.offer(make_request(1, request_class::standard, clock)).kind ==
            offer_kind::started);
    clock.advance(milliseconds(1'000));
    static_cast<void>(queue.finished(1, outcome_kind::done));
    attempt_id next = 1;
    int refusals = 0;
    request_info brief =
        make_request(++next, request_class::standard, clock, "a", milliseconds(500));
    while (queue.offer(brief).reason == refusal_reason::deadline_unmeetable && refusals < 100) {
        brief.attempt = ++next;
        ++refusals;
    }
    CHECK(refusals > 5);
    CHECK(refusals < 20);
}
