#include "redwingwheel/retry.h"

#include <catch2/catch.hpp>

namespace request = redwingwheel::request;
using redwingwheel::milliseconds;
using request::end_cause;
using request::outcome_kind;
using request::retry_verdict;

namespace {

struct fixture {
    retry_verdict ask(outcome_kind outcome, end_cause cause, bool idempotent,
                      std::uint32_t tries = 1, milliseconds left = milliseconds(1'000))
    {
        return this->policy.decide_retry(
            {"service", outcome, cause, idempotent, tries, this->clock.now() + left});
    }

    redwingwheel::manual_clock clock;
    request::retry_options options = [] {
        request::retry_options chosen;
        chosen.hedging = true;
        return chosen;
    }();
    request::retry_policy policy{this->options, this->clock.function()};
};

} // namespace

// Guards against retrying non-idempotent work that may have run.
TEST_CASE("non-idempotent work is retried only after not_run", "[retry]")
{
    for (const end_cause cause :
         {end_cause::not_sent, end_cause::refused, end_cause::lost_after_send, end_cause::deadline,
          end_cause::truncated, end_cause::failed}) {
        INFO(request::to_string(cause));
        fixture one;
        const bool proven = cause == end_cause::not_sent || cause == end_cause::refused;
        const outcome_kind outcome = request::outcome_of_end(cause, false);
        CHECK((outcome == outcome_kind::not_run) == proven);
        CHECK((one.ask(outcome, cause, false) == retry_verdict::retry) == proven);
        CHECK((one.ask(request::outcome_of_end(cause, true), cause, true) ==
               retry_verdict::retry) == (cause != end_cause::deadline));
        CHECK(one.ask(outcome_kind::done, cause, true) == retry_verdict::final_outcome);
    }
}

// Guards against retries that multiply the load when many requests fail, and against a budget that
// never allows retries for a service with little traffic.
TEST_CASE("retries stay within a tenth of the requests plus the minimum budget", "[retry]")
{
    fixture one;
    int retries = 0;
    for (int request = 0; request < 10'000; ++request) {
        one.policy.record_request("service");
        for (std::uint32_t tries = 1; tries < 3; ++tries) {
            retries += one.ask(outcome_kind::failed, end_cause::failed, true, tries) ==
                               retry_verdict::retry
                           ? 1
                           : 0;
        }
    }
    CHECK(retries >= 1'000);
    CHECK(retries <= 1'003);
    CHECK(one.ask(outcome_kind::not_run, end_cause::refused, true) ==
          retry_verdict::budget_used_up);
    one.clock.advance(milliseconds(60'000));
    for (int again = 0; again < 3; ++again) {
        CHECK(one.ask(outcome_kind::not_run, end_cause::refused, true) == retry_verdict::retry);
    }
    CHECK(one.ask(outcome_kind::not_run, end_cause::refused, true) ==
          retry_verdict::budget_used_up);
}

// Guards against unlimited retries and against retries that cannot meet the deadline.
TEST_CASE("the number of attempts and the remaining time limit retries", "[retry]")
{
    fixture one;
    CHECK(one.ask(outcome_kind::not_run, end_cause::refused, true, 3) ==
          retry_verdict::tries_used_up);
    CHECK(one.ask(outcome_kind::not_run, end_cause::refused, true, 1, milliseconds(4)) ==
          retry_verdict::deadline_near);
}

// Guards against hedging work that is not idempotent or not short, and against hedging beyond the
// budget.
TEST_CASE("only short idempotent work is hedged, within the budget", "[retry]")
{
    fixture one;
    CHECK_FALSE(one.policy.hedge_at("service", true, milliseconds(5)).has_value());
    one.policy.record_latency("service", milliseconds(10));
    CHECK(one.policy.hedge_at("service", true, milliseconds(5)) ==
          one.clock.now() + milliseconds(30));
    CHECK_FALSE(one.policy.hedge_at("service", false, milliseconds(5)).has_value());
    CHECK_FALSE(one.policy.hedge_at("service", true, milliseconds(51)).has_value());
    for (int hedged = 0; hedged < 3; ++hedged) {
        CHECK(one.policy.try_take_hedge("service"));
    }
    CHECK_FALSE(one.policy.try_take_hedge("service"));
}
