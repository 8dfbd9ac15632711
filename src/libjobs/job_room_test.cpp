#include <catch2/catch.hpp>

#include "redwingwheel/job_state.h"
#include "redwingwheel/state_room.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

constexpr std::uint64_t small_payload = 300;

/// A leader with a small room, whose submissions are applied at once.
class room_world {
public:
    room_world()
    {
        job_configuration made;
        made.version = 1;
        made.services = {"s"};
        made.queues = {{"q", "h", "/q/", "s", 1, 2, 2.0, 1000, true},
                       {"other", "h", "/other/", "s", 1, 2, 2.0, 1000, true}};
        made.accounts = {{"a", {"key-a"}, 0}, {"b", {"key-b"}, 0}};
        this->state.apply(install_configuration{made});
    }

    room_verdict submit(std::uint64_t payload_bytes, const std::string& key = "",
                        const std::string& queue = "q")
    {
        const std::string id = std::to_string(this->submitted++);
        submit_job made{id, "h", "/" + queue + "/" + id, key, {}, 0};
        made.definition.payload = std::string(payload_bytes, 'x');
        made.definition.steps.resize(1);
        const account_definition* const account = this->state.find_account(key);
        const std::string owner = owner_of(account == nullptr ? "" : account->name, queue);
        const std::uint64_t bytes = estimated_bytes(made.definition);
        const room_verdict verdict = this->room.admit(owner, content_of(made.definition), bytes);
        if (verdict == room_verdict::accepted) {
            REQUIRE(this->state.apply(made) == command_result::accepted);
            this->room.settle(owner, bytes);
        }
        return verdict;
    }

    std::size_t flood(std::uint64_t payload_bytes, const std::string& key = "")
    {
        std::size_t accepted = 0;
        for (int each = 0; each < 20'000; ++each) {
            accepted += this->submit(payload_bytes, key) == room_verdict::accepted ? 1 : 0;
        }
        return accepted;
    }

    room_options options{.max_bytes = 1024 * 1024, .max_proposed_bytes = 300'000};
    manual_clock time;
    job_state state;
    state_room room{options, this->time.function(), room_usage_of(this->state)};
    int submitted = 0;
};

} // namespace

// Load: jobs of the largest size, one after the other. Failure: they take all the room, and no
// ordinary job finds any.
TEST_CASE("large jobs are refused while small ones are accepted")
{
    room_world world;
    CHECK(world.flood(100'000) > 0);
    CHECK(world.submit(100'000) != room_verdict::accepted);
    CHECK(world.submit(small_payload) == room_verdict::accepted);
    CHECK(world.state.charged_bytes() <= world.options.max_bytes);
}

// Load: jobs of ordinary size without end from one account. Failure: other accounts, or callers of
// a public queue, are refused, or the memory grows without bound.
TEST_CASE("an owner beyond its share does not keep out others")
{
    room_world world;
    world.flood(small_payload, "key-a");
    CHECK(world.submit(small_payload, "key-a") == room_verdict::over_share);
    CHECK(world.submit(small_payload, "key-b") == room_verdict::accepted);
    CHECK(world.submit(small_payload) == room_verdict::accepted);
    CHECK(world.submit(small_payload, "", "other") == room_verdict::accepted);
    CHECK(world.state.charged_bytes() <= world.options.max_bytes);
}

// Load: jobs of ordinary size without end on a public queue, from which ordinary callers cannot be
// told. Failure: none of them is accepted once the crowd has left.
TEST_CASE("a full share opens again with time, and ever more slowly")
{
    room_world world;
    world.flood(small_payload);
    CHECK(world.submit(small_payload) == room_verdict::over_share);
    std::size_t first_hour = 0;
    std::size_t second_hour = 0;
    for (std::size_t* const hour : {&first_hour, &second_hour}) {
        for (int second = 0; second < 3600; ++second) {
            world.time.advance(milliseconds(1000));
            while (world.submit(small_payload) == room_verdict::accepted) {
                ++*hour;
            }
        }
    }
    CHECK(first_hour > second_hour);
    CHECK(world.state.charged_bytes() <= world.options.max_bytes);
}

// Load: a client that submits the same job without end on a public queue, and does not leave.
// Failure: the callers of the same queue are refused for as long as it stays.
TEST_CASE("a client that repeats itself does not keep out others of its queue")
{
    room_world world;
    world.flood(small_payload);
    std::size_t accepted = 0;
    for (std::size_t second = 0; second < 60; ++second) {
        world.time.advance(milliseconds(1000));
        for (int each = 0; each < 1000; ++each) {
            static_cast<void>(world.submit(small_payload));
        }
        accepted += world.submit(small_payload + 1 + second) == room_verdict::accepted ? 1 : 0;
    }
    CHECK(accepted >= 20);
    CHECK(world.state.charged_bytes() <= world.options.max_bytes);
}

// Failure: a new leader accepts what the former one has refused, although the state is as full.
TEST_CASE("the room is the same after a change of leader")
{
    room_world world;
    world.flood(100'000);
    REQUIRE(world.submit(100'000) != room_verdict::accepted);
    job_state replica;
    REQUIRE(replica.restore_snapshot(world.state.pack_snapshot()).ok());
    state_room successor(world.options, world.time.function(), room_usage_of(replica));
    CHECK(successor.free_bytes() == world.room.free_bytes());
    job_definition large;
    large.payload = std::string(100'000, 'x');
    large.steps.resize(1);
    CHECK(successor.admit(owner_of("", "q"), 0, estimated_bytes(large)) != room_verdict::accepted);
}

// Failure: jobs that are proposed at the same time take more room than there is.
TEST_CASE("jobs count from their proposal on")
{
    room_world world;
    const std::string owner = owner_of("", "q");
    std::uint64_t taken = 0;
    for (int each = 0; each < 1000; ++each) {
        if (world.room.admit(owner, 0, 20'000) == room_verdict::accepted) {
            taken += 20'000;
        }
    }
    CHECK(taken <= world.options.max_proposed_bytes);
    CHECK(world.room.admit(owner, 0, 20'000) == room_verdict::in_progress);
    CHECK(world.room.free_bytes() == world.options.max_bytes - taken);
    world.room.begin_leadership();
    CHECK(world.room.free_bytes() == world.options.max_bytes);
}

// Failure: with a large room, a job that may be accepted never is, as it is larger than what may be
// proposed together.
TEST_CASE("a single job may be proposed whatever its size")
{
    room_world world;
    state_room large(room_of_mb(1024), world.time.function(), room_usage_of(world.state));
    CHECK(large.admit("a", 0, std::uint64_t{100} * 1024 * 1024) == room_verdict::accepted);
    CHECK(large.admit("a", 0, 1024) == room_verdict::in_progress);
}

// Failure: a job in the largest body that the platform allows is refused in calm.
TEST_CASE("the default room takes the largest job of the platform")
{
    constexpr std::size_t body_bytes = 262'144;
    const std::string smallest_step = R"({"Count":1},)";
    job_definition largest;
    largest.payload = std::string(4000, 'x');
    largest.steps.resize(body_bytes / smallest_step.size());
    CHECK(estimated_bytes(largest) <= largest_accepted_bytes(room_options()));
}
