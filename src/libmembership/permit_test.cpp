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

permit taken_out(std::uint64_t change_index, std::uint64_t revision)
{
    return {"north", false, change_index, revision, 0, 3000};
}

} // namespace

// Guards against a permit that gains time on its way: it must count from the sending of the
// request.
TEST_CASE("a permit counts from the request, less the margin")
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

// Guards against a process that starts work before its first permit, for instance after a restart.
TEST_CASE("nothing may start without a permit")
{
    manual_clock clock;
    const permit_holder holder(clock.function());
    CHECK_FALSE(holder.may_start());
    CHECK_FALSE(holder.lease_valid());
    CHECK_FALSE(holder.relay(clock.now()).has_value());
}

// Guards against an old state of the data centre that arrives last, and against a lost lease of
// work that may still finish in a withdrawn data centre.
TEST_CASE("a withdrawal ends starts, keeps the lease and is not undone by an older permit")
{
    manual_clock clock;
    permit_holder holder(clock.function());
    const redwingwheel::steady_time first = clock.now();
    static_cast<void>(holder.accept(in_service(5, 1), first, 1));
    clock.advance(500ms);
    CHECK(holder.accept(taken_out(7, 1), clock.now(), 1).kind == permit_result_kind::accepted);
    CHECK(holder.withdrawn());
    CHECK_FALSE(holder.may_start());
    CHECK(holder.accept(in_service(5, 1), first, 1).kind == permit_result_kind::older_change);
    CHECK_FALSE(holder.may_start());
    clock.advance(2900ms);
    CHECK(holder.lease_valid());
    CHECK(holder.accept(in_service(9, 1), clock.now(), 1).kind == permit_result_kind::accepted);
    CHECK(holder.accept(taken_out(7, 1), clock.now(), 1).kind == permit_result_kind::older_change);
    CHECK(holder.may_start());
}

// Guards against starts under a configuration that this process does not have, or has left behind.
TEST_CASE("a permit waits for its revision and never lowers it")
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

// Guards against a withdrawal that waits for a revision to arrive before it takes effect.
TEST_CASE("a withdrawal with a missing revision is in force at once")
{
    manual_clock clock;
    permit_holder holder(clock.function());
    static_cast<void>(holder.accept(in_service(1, 1), clock.now(), 1));
    CHECK(holder.accept(taken_out(2, 2), clock.now(), 1).kind ==
          permit_result_kind::fetch_revision);
    CHECK_FALSE(holder.may_start());
}

// Guards against a relay that renews what it only holds, and against a permit of another place.
TEST_CASE("a relayed permit carries only what remains")
{
    manual_clock clock;
    permit_holder relay(clock.function());
    static_cast<void>(relay.accept(in_service(1, 1), clock.now(), 1));
    clock.advance(1000ms);
    const std::optional<permit> relayed = relay.relay(clock.now());
    REQUIRE(relayed.has_value());
    CHECK(relayed->start_remaining_ms == 1970);
    CHECK(relayed->lease_remaining_ms == 1970);
    permit_holder behind(clock.function());
    static_cast<void>(behind.accept(*relayed, clock.now(), 1));
    CHECK(behind.lease_deadline() < relay.lease_deadline());
    permit_holder elsewhere(clock.function(), {}, "south");
    CHECK(elsewhere.accept(*relayed, clock.now(), 1).kind == permit_result_kind::other_data_centre);
}

// Guards against a withdrawal that is reported while a permit granted before it still lives.
TEST_CASE("a withdrawal is in force after the longest permit, and again after a leader change")
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

// Guards against a damaged or hostile message that extends a permit beyond its life.
TEST_CASE("remaining times from messages are bounded by the life of a permit")
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
