#include <catch2/catch.hpp>

#include "redwingwheel/packing.h"
#include "redwingwheel/permit.h"

using namespace redwingwheel;
using namespace redwingwheel::membership;
using namespace std::chrono_literals;

namespace {

permit in_service(std::uint64_t change_index, std::uint64_t revision)
{
    return {"north", true, change_index, revision, 3000, 3000};
}

permit withdrawn(std::uint64_t change_index, std::uint64_t revision)
{
    return {"north", false, change_index, revision, 0, 3000};
}

} // namespace

// A permit must be measured from the sending of the request: measured from the arrival of the
// answer, it would outlive the granter's wait by the transfer time.
TEST_CASE("a permit is measured from the request, less the drift margin")
{
    manual_clock clock;
    permit_holder holder(clock.function());
    const redwingwheel::steady_time sent_at = clock.now();
    clock.advance(1000ms);
    REQUIRE(holder.accept(in_service(1, 1), sent_at, 1).kind == permit_result_kind::accepted);
    clock.advance(1969ms);
    CHECK(holder.may_start());
    CHECK(holder.lease_valid());
    clock.advance(1ms);
    CHECK_FALSE(holder.may_start());
    CHECK_FALSE(holder.lease_valid());
}

// A process must not start work before its first permit, for instance after a restart.
TEST_CASE("nothing may start without a permit")
{
    manual_clock clock;
    const permit_holder holder(clock.function());
    CHECK_FALSE(holder.may_start());
    CHECK_FALSE(holder.lease_valid());
    CHECK_FALSE(holder.relay(clock.now()).has_value());
}

// An older state of the data centre that arrives last must not undo a withdrawal, and work that may
// still finish in a withdrawn data centre must keep its lease.
TEST_CASE("a withdrawal forbids starts, keeps the lease and is not undone by an older permit")
{
    manual_clock clock;
    permit_holder holder(clock.function());
    const redwingwheel::steady_time first = clock.now();
    static_cast<void>(holder.accept(in_service(5, 1), first, 1));
    clock.advance(500ms);
    CHECK(holder.accept(withdrawn(7, 1), clock.now(), 1).kind == permit_result_kind::accepted);
    CHECK(holder.withdrawn());
    CHECK_FALSE(holder.may_start());
    CHECK(holder.accept(in_service(5, 1), first, 1).kind == permit_result_kind::older_change);
    CHECK_FALSE(holder.may_start());
    clock.advance(2900ms);
    CHECK(holder.lease_valid());
    CHECK(holder.accept(in_service(9, 1), clock.now(), 1).kind == permit_result_kind::accepted);
    CHECK(holder.accept(withdrawn(7, 1), clock.now(), 1).kind == permit_result_kind::older_change);
    CHECK(holder.may_start());
}

// Work must not start under a configuration that this process has not loaded yet or has replaced.
TEST_CASE("a permit takes effect with its revision, which never decreases")
{
    manual_clock clock;
    permit_holder holder(clock.function());
    const permit offered = in_service(1, 4);
    const permit_result result = holder.accept(offered, clock.now(), 3);
    CHECK(result.kind == permit_result_kind::fetch_revision);
    CHECK(result.needed_revision == 4);
    CHECK_FALSE(holder.may_start());
    CHECK(holder.lease_valid());
    CHECK(holder.accept(offered, clock.now(), 4).kind == permit_result_kind::accepted);
    CHECK(holder.may_start());
    CHECK(holder.accepted_revision() == 4);
    CHECK(holder.accept(in_service(1, 3), clock.now(), 3).kind ==
          permit_result_kind::lower_revision);
    CHECK(holder.accept(in_service(1, 4), clock.now(), 5).kind ==
          permit_result_kind::lower_revision);
}

// A withdrawal must not wait for its configuration revision to be fetched.
TEST_CASE("a withdrawal takes effect before its revision is fetched")
{
    manual_clock clock;
    permit_holder holder(clock.function());
    static_cast<void>(holder.accept(in_service(1, 1), clock.now(), 1));
    CHECK(holder.accept(withdrawn(2, 2), clock.now(), 1).kind ==
          permit_result_kind::fetch_revision);
    CHECK_FALSE(holder.may_start());
}

// Relaying must not extend a permit, and a permit of another data centre must be rejected.
TEST_CASE("a relayed permit carries only the remaining time")
{
    manual_clock clock;
    permit_holder relay(clock.function());
    static_cast<void>(relay.accept(in_service(1, 1), clock.now(), 1));
    clock.advance(1000ms);
    const std::optional<permit> relayed = relay.relay(clock.now());
    REQUIRE(relayed.has_value());
    CHECK(relayed->start_remaining_ms == 1970);
    CHECK(relayed->lease_remaining_ms == 1970);
    permit_holder downstream(clock.function());
    static_cast<void>(downstream.accept(*relayed, clock.now(), 1));
    CHECK(downstream.lease_deadline() < relay.lease_deadline());
    permit_holder elsewhere(clock.function(), {}, "south");
    CHECK(elsewhere.accept(*relayed, clock.now(), 1).kind == permit_result_kind::other_data_centre);
}

// A withdrawal must not be reported as in force while a permit granted before it is still valid.
TEST_CASE("a withdrawal waits for the last permit to expire, and waits again after a leader change")
{
    manual_clock clock;
    permit_granter granter(clock.function());
    granter.apply_change("north", true, 3);
    CHECK(granter.grant("north", 1).start_remaining_ms == 0);
    granter.begin_leadership();
    CHECK(granter.grant("north", 1).start_remaining_ms == 3000);
    granter.apply_change("north", false, 4);
    CHECK(granter.grant("north", 1).start_remaining_ms == 0);
    CHECK(granter.grant("north", 1).lease_remaining_ms == 3000);
    clock.advance(3029ms);
    CHECK_FALSE(granter.withdrawal_in_force("north"));
    clock.advance(1ms);
    CHECK(granter.withdrawal_in_force("north"));
    granter.begin_leadership();
    CHECK_FALSE(granter.withdrawal_in_force("north"));
    clock.advance(3030ms);
    CHECK(granter.withdrawal_in_force("north"));
    granter.apply_change("north", true, 4);
    CHECK(granter.withdrawal("north").withdrawn);
    granter.apply_change("north", true, 5);
    CHECK_FALSE(granter.withdrawal("north").withdrawn);
}

// A corrupt or hostile message must not extend a permit beyond its lifetime.
TEST_CASE("remaining times from messages are bounded by the lifetime of a permit")
{
    manual_clock clock;
    permit_holder holder(clock.function());
    permit offered = in_service(1, 1);
    offered.start_remaining_ms = ~0ULL;
    offered.lease_remaining_ms = ~0ULL;
    const permit sent = unpack<permit>(pack(offered)).value();
    static_cast<void>(holder.accept(sent, clock.now(), 1));
    clock.advance(2970ms);
    CHECK_FALSE(holder.may_start());
    CHECK_FALSE(holder.lease_valid());
}
