#include <catch2/catch.hpp>

#include "testing/test_cluster.h"

using namespace redwingwheel::replication;
using namespace redwingwheel::replication::testing;
using redwingwheel::milliseconds;
using redwingwheel::steady_time;

namespace {

constexpr milliseconds permit_lifetime{3000};

std::optional<std::size_t> wait_for_leader(test_cluster& cluster, milliseconds limit)
{
    cluster.run(limit, [&cluster] { return cluster.leading_host().has_value(); });
    return cluster.leading_host();
}

} // namespace

// Guards against an election that takes longer than the lifetime of a permit, after which work
// stops in every data centre.
TEST_CASE("a killed leader is replaced within the lifetime of a permit", "[group]")
{
    std::vector<milliseconds> failover_times;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        test_cluster cluster({seed, {}, false});
        const std::optional<std::size_t> first = wait_for_leader(cluster, permit_lifetime);
        REQUIRE(first.has_value());
        cluster.run(milliseconds(1000 + cluster.random(500)));
        cluster.stop_host(*first, test_cluster::disk_effect::keep_cache, 10 * permit_lifetime);
        cluster.run(milliseconds(1));
        const redwingwheel::steady_time killed = cluster.now();
        REQUIRE(wait_for_leader(cluster, permit_lifetime).has_value());
        failover_times.push_back(std::chrono::duration_cast<milliseconds>(cluster.now() - killed));
    }
    std::sort(failover_times.begin(), failover_times.end());
    INFO("median " << failover_times[100].count() << " ms, longest "
                   << failover_times.back().count() << " ms");
    CHECK(failover_times[100] < milliseconds(1500));
    CHECK(failover_times[190] < milliseconds(2000));
}

// Guards against a planned stop after which there is no leader until an election timeout expires.
TEST_CASE("leadership transfer elects a new leader without an election timeout", "[group]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        test_cluster cluster({seed, {}, false});
        const std::optional<std::size_t> first = wait_for_leader(cluster, permit_lifetime);
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

// Guards against a removed leader that remains leader, or that deposes the leader of the remaining
// members.
TEST_CASE("a leader can remove itself", "[group]")
{
    test_cluster cluster({7, {}, false});
    const std::optional<std::size_t> first = wait_for_leader(cluster, permit_lifetime);
    REQUIRE(first.has_value());
    cluster.run(milliseconds(500));
    std::optional<absl::Status> removed;
    cluster.node(*first).remove(cluster.node(*first).identity(),
                                [&removed](const absl::Status& status) { removed = status; });
    cluster.run(milliseconds(500));
    REQUIRE(removed == absl::OkStatus());
    REQUIRE_FALSE(cluster.node(*first).leads());
    const std::optional<std::size_t> second = wait_for_leader(cluster, permit_lifetime);
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
