#include "connection_table.h"

#include <catch2/catch.hpp>

namespace http = redwingwheel::http;
using redwingwheel::milliseconds;
using redwingwheel::steady_time;

namespace {

constexpr steady_time start{std::chrono::hours(1)};

http::connection_limits small_limits()
{
    return {4, 1000, milliseconds(5000), milliseconds(20'000)};
}

http::admission open(http::connection_table& table, http::connection_id id, steady_time now)
{
    std::optional<http::connection_to_close> displaced;
    return table.open(id, now, displaced);
}

} // namespace

// Load: a crowd opens all connections and sends nothing more. Failure: nobody else gets in.
TEST_CASE("an idle connection gives way to a new one", "[http][limits]")
{
    http::connection_table table(small_limits());
    for (http::connection_id id = 1; id <= 4; ++id) {
        REQUIRE(open(table, id, start) == http::admission::accepted);
    }
    CHECK(open(table, 5, start) == http::admission::refused);
    static_cast<void>(table.receive(1, 10, start + milliseconds(900)));
    table.complete(2);
    std::optional<http::connection_to_close> displaced;
    REQUIRE(table.open(6, start + milliseconds(1500), displaced) == http::admission::accepted);
    REQUIRE(displaced.has_value());
    CHECK(displaced->id == 3);
    CHECK(open(table, 7, start + milliseconds(1500)) == http::admission::accepted);
    // One has sent input just now, one is being served and two are new.
    CHECK(open(table, 8, start + milliseconds(1500)) == http::admission::refused);
    CHECK(table.contains(2));
}

// Load: more connections at once than can be told that there is no room. Failure: the process runs
// out of descriptors.
TEST_CASE("the connections that are being refused are bounded", "[http][limits]")
{
    http::connection_table table(small_limits());
    std::size_t kept = 0;
    for (http::connection_id id = 1; id <= 500; ++id) {
        kept += open(table, id, start) == http::admission::closed ? 0 : 1;
    }
    CHECK(kept <= 4 + 32);
    CHECK(table.expire(start + milliseconds(3000)).size() == kept - 4);
}

// Load: large bodies that stop short of their end, beside one that still arrives and a small one.
TEST_CASE("requests that stall give way first, then the largest", "[http][limits]")
{
    http::connection_table table(small_limits());
    for (http::connection_id id = 1; id <= 4; ++id) {
        REQUIRE(open(table, id, start) == http::admission::accepted);
    }
    CHECK(table.receive(1, 300, start).empty());
    const steady_time later = start + milliseconds(1100);
    CHECK(table.receive(2, 600, later).empty());
    const std::vector<http::connection_to_close> stalled = table.receive(3, 200, later);
    REQUIRE(stalled.size() == 1);
    CHECK(stalled.front().id == 1);
    const std::vector<http::connection_to_close> largest = table.receive(4, 300, later);
    REQUIRE(largest.size() == 1);
    CHECK(largest.front().id == 2);
    CHECK(table.held_bytes() == 500);
    table.complete(3);
    table.close(4);
    CHECK(table.held_bytes() == 0);
}

// Failure: a request that never ends holds its memory for good.
TEST_CASE("a request that stalls or takes too long is closed", "[http][limits]")
{
    http::connection_table table(small_limits());
    for (http::connection_id id = 1; id <= 3; ++id) {
        REQUIRE(open(table, id, start) == http::admission::accepted);
    }
    static_cast<void>(table.receive(1, 10, start));
    for (int second = 0; second < 21; second += 3) {
        static_cast<void>(table.receive(2, 10, start + std::chrono::seconds(second)));
    }
    table.complete(3);
    const std::vector<http::connection_to_close> stalled =
        table.expire(start + std::chrono::seconds(6));
    REQUIRE(stalled.size() == 1);
    CHECK(stalled.front().id == 1);
    const std::vector<http::connection_to_close> slow =
        table.expire(start + std::chrono::seconds(21));
    REQUIRE(slow.size() == 1);
    CHECK(slow.front().cause == http::close_cause::too_slow);
    CHECK(table.contains(3));
}
