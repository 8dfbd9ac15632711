#include "redwingwheel/router.h"

#include <iostream>
#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace request = redwingwheel::request;
using redwingwheel::milliseconds;
using request::agent_info;
using request::outcome_kind;
using request::request_class;
using request::routing_choice;
using request::routing_decision;

namespace {

constexpr std::uint64_t router_seed = 42;

struct fixture {
    explicit fixture(request::router_options chosen = {})
        : routes(with_local(std::move(chosen)), this->clock.function(),
                 [this] { return this->random(); })
    {
    }

    static request::router_options with_local(request::router_options chosen)
    {
        chosen.local_data_centre = "dc1";
        return chosen;
    }

    agent_info agent(const std::string& worker, const std::string& data_centre = "dc1",
                     request::incarnation_id incarnation = 1)
    {
        agent_info info;
        info.worker = worker;
        info.data_centre = data_centre;
        info.incarnation = incarnation;
        info.load.slots = 8;
        info.load.duration_ms = {5.0, 100.0, 1'000.0};
        this->routes.update_agent(info);
        return info;
    }

    routing_choice pick(const std::vector<std::string>& excluded = {})
    {
        const routing_decision made = this->routes.choose(this->interactive, excluded);
        REQUIRE(made.chosen.has_value());
        return *made.chosen;
    }

    /// Chooses `count` times with an immediate outcome; returns how often `worker` was chosen.
    int count_choices(const std::string& worker, int count, outcome_kind outcome_there,
                      milliseconds apart = milliseconds(1))
    {
        int chosen = 0;
        for (int one = 0; one < count; ++one) {
            const routing_choice made = this->pick();
            const bool there = made.worker == worker;
            chosen += there ? 1 : 0;
            this->routes.record_sent(made);
            this->routes.record_ended(
                made, {there ? outcome_there : outcome_kind::done, milliseconds(1), std::nullopt});
            this->clock.advance(apart);
        }
        return chosen;
    }

    redwingwheel::manual_clock clock;
    std::mt19937_64 random{router_seed};
    request::request_info interactive{1, "a", "s", request_class::interactive, 1, {}, {}, 1, {}};
    request::router routes;
};

} // namespace

// Guards against routing most requests to a worker that looks idle because all its attempts fail
// fast, and against a worker that gets no requests after it has recovered. Without suspension and
// penalty the same load must show the fault.
TEST_CASE("a worker that fails fast gets probes only, and is used again after it recovers",
          "[router]")
{
    const auto failing_share = [](bool penalised) {
        request::router_options options;
        if (!penalised) {
            options.suspend_error_excess = 2.0;
            options.error_penalty_ms = 0.0;
            options.error_penalty_run_times = 0.0;
        }
        fixture routes(options);
        for (const char* worker : {"w1", "w2", "w3", "w4"}) {
            static_cast<void>(routes.agent(worker));
        }
        return routes.count_choices("w1", 10'000, outcome_kind::failed);
    };
    const int with_penalty = failing_share(true);
    const int without = failing_share(false);
    std::cout << fmt::format("failing worker gets {} of 10000 choices, {} without a penalty\n",
                             with_penalty, without);
    CHECK(with_penalty < 30);
    CHECK(without > 2'000);

    fixture routes;
    for (const char* worker : {"w1", "w2", "w3", "w4"}) {
        static_cast<void>(routes.agent(worker));
    }
    static_cast<void>(routes.count_choices("w1", 5'000, outcome_kind::failed));
    static_cast<void>(routes.count_choices("w1", 60'000, outcome_kind::done));
    CHECK(routes.count_choices("w1", 1'000, outcome_kind::done) > 150);
}

// Guards against a service that fails on all workers and thereby suspends all of them.
TEST_CASE("errors on all workers suspend none of them", "[router]")
{
    fixture routes;
    for (const char* worker : {"w1", "w2"}) {
        static_cast<void>(routes.agent(worker));
    }
    for (int one = 0; one < 1'000; ++one) {
        const routing_choice made = routes.pick();
        CHECK_FALSE(made.probe);
        routes.routes.record_sent(made);
        routes.routes.record_ended(made, {outcome_kind::failed, milliseconds(1), std::nullopt});
    }
    CHECK(routes.routes.error_rate("w1") > 0.9);
}

// Guards against sending non-idempotent work to a suspended worker.
TEST_CASE("claimed work is never sent as a probe", "[router]")
{
    fixture routes;
    for (const char* worker : {"w1", "w2"}) {
        static_cast<void>(routes.agent(worker));
    }
    std::vector<routing_choice> burst;
    for (int one = 0; one < 40; ++one) {
        burst.push_back(routes.pick());
        routes.routes.record_sent(burst.back());
    }
    for (const routing_choice& made : burst) {
        const outcome_kind outcome =
            made.worker == "w1" ? outcome_kind::failed : outcome_kind::done;
        routes.routes.record_ended(made, {outcome, milliseconds(1), std::nullopt});
    }
    routes.clock.advance(milliseconds(2'000));
    routes.interactive.claim_incarnation = 1;
    CHECK(routes.count_choices("w1", 200, outcome_kind::done) == 0);
    CHECK_FALSE(routes.routes.choose(routes.interactive, std::vector<std::string>{"w2"})
                    .chosen.has_value());
    routes.interactive.claim_incarnation.reset();
    CHECK(routes.pick({"w2"}).probe);
    // Without probes the suspension ends as the error rate decays.
    routes.interactive.claim_incarnation = 1;
    routes.clock.advance(std::chrono::minutes(1));
    CHECK(routes.count_choices("w1", 200, outcome_kind::done) > 50);
}

// Guards against a returned data centre that gets its full share of traffic at once, or never.
TEST_CASE("a returned data centre ramps from a tenth of its share to the full share", "[router]")
{
    fixture routes;
    static_cast<void>(routes.agent("w1"));
    agent_info returned = routes.agent("w2");
    returned.ramp_end = routes.clock.now() + milliseconds(10'000);
    routes.routes.update_agent(returned);
    const auto share = [&routes] {
        return routes.count_choices("w2", 10'000, outcome_kind::done, milliseconds(0));
    };
    const int at_start = share();
    routes.clock.advance(milliseconds(5'000));
    const int halfway = share();
    routes.clock.advance(milliseconds(5'000));
    const int at_end = share();
    std::cout << fmt::format("ramp: {} {} {} of 10000 choices\n", at_start, halfway, at_end);
    CHECK(at_start < 800);
    CHECK(halfway > 2'000);
    CHECK(halfway < 4'000);
    CHECK(at_end > 4'500);
    CHECK(routes.routes.choose(routes.interactive, std::vector<std::string>{"w1"})
              .chosen.has_value());
}

// Guards against requests sent to another data centre without need, and against waiting in a local
// queue while another data centre is idle.
TEST_CASE("another data centre is used only when it is faster including the round trip", "[router]")
{
    fixture routes;
    agent_info local = routes.agent("w1", "dc1");
    static_cast<void>(routes.agent("w2", "dc2"));
    CHECK(routes.count_choices("w1", 200, outcome_kind::done) == 200);
    local.load.running = {8, 0, 0};
    local.load.queued = {5, 0, 0};
    routes.routes.update_agent(local);
    CHECK(routes.count_choices("w1", 20, outcome_kind::done) == 20);
    local.load.queued = {40, 0, 0};
    routes.routes.update_agent(local);
    CHECK(routes.count_choices("w1", 20, outcome_kind::done) == 0);
}

// Guards against sending all requests to the one worker that its last report showed as idle, until
// its next report.
TEST_CASE("attempts in flight from the entry count between reports", "[router]")
{
    fixture routes;
    for (const char* worker : {"w1", "w2", "w3"}) {
        agent_info info = routes.agent(worker);
        info.load.running = {info.worker == "w1" ? 0U : 9U, 0, 0};
        routes.routes.update_agent(info);
    }
    for (int one = 0; one < 60; ++one) {
        routes.routes.record_sent(routes.pick());
    }
    CHECK(routes.routes.in_flight("w1") < 36);
    CHECK(routes.routes.in_flight("w2") > 8);
}

// Guards against in-flight counts of a former incarnation that are added to or subtracted from
// those of the next one.
TEST_CASE("a new incarnation starts without errors and attempts in flight", "[router]")
{
    fixture routes;
    static_cast<void>(routes.agent("w1"));
    static_cast<void>(routes.agent("w2"));
    const routing_choice former = routes.pick({"w2"});
    routes.routes.record_sent(former);
    static_cast<void>(routes.agent("w1", "dc1", 2));
    CHECK(routes.routes.in_flight("w1") == 0);
    routes.routes.record_sent(routes.pick({"w2"}));
    routes.routes.record_ended(former, {outcome_kind::unknown, milliseconds(1), std::nullopt});
    CHECK(routes.routes.in_flight("w1") == 1);
    CHECK(routes.routes.error_rate("w1") == 0.0);
    routes.routes.remove_agent("w1");
    CHECK(routes.routes.in_flight("w1") == 0);
}

// Guards against selecting ineligible agents, under every policy, and against a decision record
// without the reasons.
TEST_CASE("ineligible agents are not selected, and the decision record gives the reason",
          "[router]")
{
    for (const request::routing_policy policy :
         {request::routing_policy::estimated_load, request::routing_policy::random,
          request::routing_policy::round_robin, request::routing_policy::least_connections}) {
        request::router_options options;
        options.policy = policy;
        fixture routes(options);
        agent_info stopping = routes.agent("w1");
        stopping.shutting_down = true;
        routes.routes.update_agent(stopping);
        agent_info withdrawn = routes.agent("w2");
        withdrawn.may_start = false;
        routes.routes.update_agent(withdrawn);
        agent_info other = routes.agent("w3");
        other.services = {"another"};
        routes.routes.update_agent(other);
        static_cast<void>(routes.agent("w4", "dc2"));
        CHECK(routes.pick().worker == "w4");
        const routing_decision none =
            routes.routes.choose(routes.interactive, std::vector<std::string>{"w4"});
        CHECK_FALSE(none.chosen.has_value());
        CHECK(none.candidates.size() == 4);
        for (const request::routing_candidate& examined : none.candidates) {
            CHECK(examined.skipped != request::skip_reason::none);
        }
    }
}
