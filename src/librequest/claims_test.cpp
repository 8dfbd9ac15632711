#include "redwingwheel/claims.h"

#include <catch2/catch.hpp>

#include "redwingwheel/digest.h"

namespace request = redwingwheel::request;
using request::claim_result;
using request::claim_table;
using request::claim_verdict;
using request::outcome_kind;

namespace {

constexpr request::logged_ms start_ms = 1'800'000'000'000;
constexpr request::logged_ms day_ms = 24LL * 3600 * 1000;
const std::string first_key = "1800000000-recount-7";

request::begin_claim begin(request::attempt_id attempt, const std::string& key = first_key,
                           request::logged_ms now = start_ms, const std::string& worker = "w1")
{
    return request::begin_claim{"market", key, 77, attempt, worker, 900, now};
}

request::answer whole_answer(request::attempt_id attempt, const std::string& body)
{
    request::answer made = request::make_bodyless_answer(attempt, outcome_kind::done, "");
    made.http_status = 200;
    made.body = body;
    request::set_body_digest(made);
    return made;
}

request::finish_claim finish(request::attempt_id attempt, const std::string& body = "paid",
                             request::logged_ms now = start_ms)
{
    return request::finish_claim{attempt, whole_answer(attempt, body), now};
}

} // namespace

// Guards against a resend that executes the request again during or after the first attempt, and
// against a key that is reused with another payload.
TEST_CASE("a claim is granted once and its answer is returned to resends", "[claims]")
{
    claim_table table;
    REQUIRE(table.apply(begin(1)).verdict == claim_verdict::granted);
    const claim_result running = table.apply(begin(2));
    REQUIRE(running.verdict == claim_verdict::in_progress);
    REQUIRE(running.attempt == 1);
    REQUIRE(table.apply(finish(1)).verdict == claim_verdict::recorded);
    const claim_result answered = table.apply(begin(3));
    REQUIRE(answered.verdict == claim_verdict::answered);
    REQUIRE(answered.recorded->body == "paid");
    request::begin_claim other = begin(4);
    other.payload_digest = 78;
    REQUIRE(table.apply(other).verdict == claim_verdict::conflict);
}

// Guards against an entry that cannot find out after a leader change whether its own proposal was
// committed.
TEST_CASE("a repeated proposal of one attempt is granted again until it ends", "[claims]")
{
    claim_table table;
    REQUIRE(table.apply(begin(1)).verdict == claim_verdict::granted);
    REQUIRE(table.apply(begin(1)).verdict == claim_verdict::granted);
    REQUIRE(table.apply(request::abandon_claim{1, start_ms}).verdict == claim_verdict::recorded);
    REQUIRE(table.apply(begin(1)).verdict == claim_verdict::attempt_in_use);
    REQUIRE(table.apply(begin(2)).verdict == claim_verdict::granted);
}

// Guards against keys without a valid issue time, whose expiry could not be determined.
TEST_CASE("keys need a valid issue time", "[claims]")
{
    claim_table table;
    request::attempt_id attempt = 0;
    for (const std::string& key :
         {std::string(), std::string("1800000000"), std::string("1800000000-"),
          std::string("18000000o0-a"), std::string("0800000000-a"), std::string("180000000-abc"),
          std::string("-180000000-a"), "1800000000-" + std::string(200, 'a')}) {
        INFO(key);
        REQUIRE(table.apply(begin(++attempt, key)).verdict == claim_verdict::malformed_key);
    }
    REQUIRE(table.apply(begin(20, "1800000301-a")).verdict == claim_verdict::issued_in_future);
    REQUIRE(table.apply(begin(20, "1800000300-a")).verdict == claim_verdict::granted);
    REQUIRE(table.apply(begin(21, "1799000000-a")).verdict == claim_verdict::expired);
}

// Guards against a truncated answer body that a resend cannot distinguish from a complete one.
TEST_CASE("an answer whose body exceeds the limit is recorded without the body", "[claims]")
{
    claim_table table;
    REQUIRE(table.apply(begin(1)).verdict == claim_verdict::granted);
    REQUIRE(table.apply(finish(1, std::string(64 * 1024 + 1, 'x'))).verdict ==
            claim_verdict::recorded);
    const claim_result resend = table.apply(begin(2));
    REQUIRE(resend.verdict == claim_verdict::answered);
    REQUIRE_FALSE(resend.body_kept);
    REQUIRE_FALSE(request::check_answer(*resend.recorded, 1).ok());
    REQUIRE(table.recorded_body_bytes() == 0);
}

// Guards against a table that grows without limit: the oldest bodies are dropped, and claims over
// the limit are refused.
TEST_CASE("the sizes of bodies and the number of records are limited", "[claims]")
{
    request::claim_options options;
    options.max_total_body_bytes = 10;
    options.max_records_per_account = 3;
    claim_table table(options);
    for (request::attempt_id attempt = 1; attempt <= 3; ++attempt) {
        const std::string key = "1800000000-" + std::to_string(attempt);
        REQUIRE(table.apply(begin(attempt, key)).verdict == claim_verdict::granted);
        REQUIRE(
            table.apply(finish(attempt, "12345", start_ms + static_cast<int>(attempt))).verdict ==
            claim_verdict::recorded);
    }
    REQUIRE(table.recorded_body_bytes() == 10);
    REQUIRE_FALSE(table.apply(begin(9, "1800000000-1")).body_kept);
    REQUIRE(table.apply(begin(9, "1800000000-3")).body_kept);
    REQUIRE(table.apply(begin(9, "1800000000-9")).verdict == claim_verdict::full);
    REQUIRE(table.apply(request::expire_claims{start_ms + day_ms + 10}).verdict ==
            claim_verdict::recorded);
    REQUIRE(table.size() == 0);
    REQUIRE(table.recorded_body_bytes() == 0);
}

// Guards against a snapshot that restores different state, and against accepting a truncated one.
TEST_CASE("a snapshot restores the same state, and a truncated one is refused", "[claims]")
{
    claim_table table;
    static_cast<void>(table.apply(begin(1)));
    static_cast<void>(table.apply(finish(1)));
    static_cast<void>(table.apply(begin(2, "1800000000-b")));
    static_cast<void>(table.apply(request::abandon_claim{2, start_ms}));
    static_cast<void>(table.apply(request::reassign_claim{2, 3, "w2", 901, start_ms}));
    static_cast<void>(table.apply(begin(4, "1800000000-c")));
    static_cast<void>(table.apply(request::mark_unknown{"w1", 900, start_ms}));
    const std::string bytes = table.pack_snapshot();
    claim_table restored;
    REQUIRE(restored.restore_snapshot(bytes).ok());
    REQUIRE(restored.pack_snapshot() == bytes);
    REQUIRE(restored.running_count() == 1);
    REQUIRE(restored.apply(begin(2, "1800000000-z")).verdict == claim_verdict::attempt_in_use);
    REQUIRE(restored.apply(begin(5, "1800000000-z")).verdict == claim_verdict::worker_gone);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        REQUIRE_FALSE(restored.restore_snapshot(std::string_view(bytes).substr(0, size)).ok());
    }
}

// Guards against a command that changes when it is packed into the log and unpacked again.
TEST_CASE("commands are unchanged by packing, and malformed ones are refused", "[claims]")
{
    claim_table direct;
    claim_table logged;
    const std::vector<request::claim_command> commands{
        begin(1),
        finish(1),
        begin(2, "1800000000-b"),
        request::abandon_claim{2, start_ms},
        request::reassign_claim{2, 3, "w2", 901, start_ms},
        request::mark_unknown{"w2", 901, start_ms},
        request::expire_claims{start_ms + 1}};
    for (const request::claim_command& command : commands) {
        const std::string bytes = request::pack_command(command);
        const absl::StatusOr<request::claim_command> read = request::unpack_command(bytes);
        REQUIRE(read.ok());
        REQUIRE(logged.apply(*read).verdict == direct.apply(command).verdict);
        REQUIRE_FALSE(request::unpack_command(bytes.substr(1)).ok());
    }
    REQUIRE(logged.pack_snapshot() == direct.pack_snapshot());
}
