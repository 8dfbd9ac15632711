#include <catch2/catch.hpp>

#include "testing/test_cluster.h"

using namespace redwingwheel::replication;
using namespace redwingwheel::replication::testing;
using redwingwheel::milliseconds;
using redwingwheel::steady_time;

namespace {

constexpr milliseconds permit_life{3000};

std::optional<std::size_t> wait_for_leader(test_cluster& cluster, milliseconds limit)
{
    cluster.run(limit, [&cluster] { return cluster.leading_host().has_value(); });
    return cluster.leading_host();
}

} // namespace

// Guards against an election that outlasts the permits, so that work stops in every data centre.
TEST_CASE("a killed leader is replaced within the life of a permit", "[group]")
{
    std::vector<milliseconds> lengths;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        test_cluster cluster({seed, {}, false});
        const std::optional<std::size_t> first = wait_for_leader(cluster, permit_life);
        REQUIRE(first.has_value());
        cluster.run(milliseconds(1000 + cluster.random(500)));
        cluster.stop_host(*first, test_cluster::after_stop::keep_cache, 10 * permit_life);
        cluster.run(milliseconds(1));
        const redwingwheel::steady_time killed = cluster.now();
        REQUIRE(wait_for_leader(cluster, permit_life).has_value());
        lengths.push_back(std::chrono::duration_cast<milliseconds>(cluster.now() - killed));
    }
    std::sort(lengths.begin(), lengths.end());
    INFO("median " << lengths[100].count() << " ms, longest " << lengths.back().count() << " ms");
    CHECK(lengths[100] < milliseconds(1500));
    CHECK(lengths[190] < milliseconds(2000));
}

// Guards against a planned stop after which nobody leads until an election timeout is over.
TEST_CASE("a leader that resigns hands over at once", "[group]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        test_cluster cluster({seed, {}, false});
        const std::optional<std::size_t> first = wait_for_leader(cluster, permit_life);
        REQUIRE(first.has_value());
        cluster.run(milliseconds(1000));
        cluster.resign_leader();
        cluster.run(milliseconds(1));
        constexpr milliseconds handover_limit{500};
        REQUIRE(cluster.run(handover_limit, [&cluster, first] {
            return cluster.leading_host().has_value() && cluster.leading_host() != first;
        }));
    }
}

// Guards against a removed leader that goes on, or that unseats the leader of those that remain.
TEST_CASE("a leader can remove itself", "[group]")
{
    test_cluster cluster({7, {}, false});
    const std::optional<std::size_t> first = wait_for_leader(cluster, permit_life);
    REQUIRE(first.has_value());
    cluster.run(milliseconds(500));
    std::optional<absl::Status> removed;
    cluster.node(*first).remove(cluster.node(*first).identity(),
                                [&removed](const absl::Status& status) { removed = status; });
    cluster.run(milliseconds(500));
    REQUIRE(removed == absl::OkStatus());
    REQUIRE_FALSE(cluster.node(*first).leads());
    const std::optional<std::size_t> second = wait_for_leader(cluster, permit_life);
    REQUIRE(second.has_value());
    REQUIRE(second != first);
    REQUIRE(cluster.node(*second).members().size() == 2);
    const replica_status before = cluster.status(*second);
    cluster.run(milliseconds(6000));
    REQUIRE(cluster.leading_host() == second);
    REQUIRE(cluster.status(*second).term == before.term);
    REQUIRE(cluster.status(*second).commit_index > before.commit_index);
    REQUIRE(cluster.checks.violations().empty());
}
