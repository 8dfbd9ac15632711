#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "redwingwheel/errors.h"
#include "redwingwheel/outcome.h"
#include "redwingwheel/packing.h"

/// Claims of non-idempotent requests: a replicated state machine that applies the commands of the
/// replicated log.
namespace redwingwheel::request {

/// Milliseconds since the Unix epoch, as the leader wrote them into the replicated log. The table
/// reads no clock: its current time is the largest value applied so far.
using logged_ms = std::int64_t;

enum class claim_errc { malformed_command = 1, malformed_snapshot };

[[nodiscard]] constexpr std::string_view error_layer(claim_errc)
{
    return "claims";
}
[[nodiscard]] std::string_view error_name(claim_errc code);
[[nodiscard]] constexpr absl::StatusCode error_category(claim_errc)
{
    return absl::StatusCode::kDataLoss;
}

/// Acquires the claim of a request before the request is sent. Repeating the command with the same
/// attempt is granted again while the attempt runs, so that an entry may repeat a proposal when it
/// does not know whether the first one was committed.
struct begin_claim {
    std::string account;
    /// Idempotency key "<unix seconds of issue>-<rest>", chosen by the caller.
    std::string key;
    std::uint64_t payload_digest = 0;
    attempt_id attempt = 0;
    std::string worker;
    incarnation_id incarnation = 0;
    logged_ms issued_at = 0;
    MSGPACK_DEFINE(account, key, payload_digest, attempt, worker, incarnation, issued_at)
};

/// Moves a claim to a new attempt, at any agent. Granted only when `former_attempt` is recorded as
/// not run.
struct reassign_claim {
    attempt_id former_attempt = 0;
    attempt_id attempt = 0;
    std::string worker;
    incarnation_id incarnation = 0;
    logged_ms now = 0;
    MSGPACK_DEFINE(former_attempt, attempt, worker, incarnation, now)
};

/// Records the answer of an attempt. With the outcome `not_run` the claim ends as by abandon_claim.
struct finish_claim {
    attempt_id attempt = 0;
    answer final_answer;
    logged_ms now = 0;
    MSGPACK_DEFINE(attempt, final_answer, now)
};

/// Records that an attempt did not run.
struct abandon_claim {
    attempt_id attempt = 0;
    logged_ms now = 0;
    MSGPACK_DEFINE(attempt, now)
};

/// Records that an agent incarnation has ended. The outcome of its running claims becomes unknown.
struct mark_unknown {
    std::string worker;
    incarnation_id incarnation = 0;
    logged_ms now = 0;
    MSGPACK_DEFINE(worker, incarnation, now)
};

/// Removes claims whose retention time after their end has passed.
struct expire_claims {
    logged_ms now = 0;
    MSGPACK_DEFINE(now)
};

using claim_command = std::variant<begin_claim, reassign_claim, finish_claim, abandon_claim,
                                   mark_unknown, expire_claims>;

[[nodiscard]] std::string pack_command(const claim_command& command);
/// Errors: claim_errc::malformed_command.
[[nodiscard]] absl::StatusOr<claim_command> unpack_command(std::string_view bytes);

enum class claim_verdict : std::uint8_t {
    /// Send the attempt named in the result.
    granted,
    /// Another attempt holds the claim and is running. The result contains the attempt, its worker
    /// and its incarnation.
    in_progress,
    /// The result carries the recorded answer.
    answered,
    /// The key was used with another payload.
    conflict,
    /// The attempt may or may not have run.
    unknown,
    /// The key is older than the retention time of records; the request may have run.
    expired,
    /// The key's issue time is more than `max_clock_skew_ms` in the future.
    issued_in_future,
    /// The key is not "<unix seconds>-<rest>", or longer than `max_key_length`.
    malformed_key,
    /// The incarnation has ended; the entry has to choose another agent.
    worker_gone,
    /// The attempt id is 0 or was used before.
    attempt_in_use,
    /// `max_records` or `max_records_per_account` is reached.
    full,
    /// The command was applied: finish_claim, abandon_claim, mark_unknown or expire_claims.
    recorded,
    /// No attempt holds the key, so that begin_claim would be granted. Returned by look_up, and by
    /// reassign_claim when a later attempt has held the claim and did not run either.
    unclaimed,
    /// The attempt named in the command does not hold its claim; nothing was changed.
    stale,
    /// The answer fails check_answer; nothing was changed.
    bad_answer
};

[[nodiscard]] std::string_view to_string(claim_verdict verdict);

struct claim_result {
    claim_verdict verdict = claim_verdict::stale;
    attempt_id attempt = 0;
    std::string worker;
    incarnation_id incarnation = 0;
    /// Set for `answered` only.
    std::optional<answer> recorded;
    /// False when the body was dropped to save memory. The answer then fails check_answer, so that
    /// it cannot be taken for a complete one.
    bool body_kept = true;
};

/// State of a recorded claim; part of snapshots.
enum class claim_state : std::uint8_t { running, not_run, answered, unknown };

struct claim_options {
    /// Time for which a record is kept after the end of its claim.
    logged_ms retention_ms = 24LL * 3600 * 1000;
    /// Maximum time by which a key's issue time may be ahead of the leader's clock.
    logged_ms max_clock_skew_ms = 5LL * 60 * 1000;
    /// Limit of a recorded answer body. A larger body is delivered to its caller but not recorded;
    /// a resend then gets the outcome, the body's length and its digest only.
    std::size_t max_body_bytes = 64 * 1024;
    /// Limit of all recorded bodies together; the oldest bodies are dropped first.
    std::size_t max_total_body_bytes = 32 << 20;
    /// A record takes about 600 bytes without its body, so that `max_records` and
    /// `max_total_body_bytes` keep the table under 100 MB.
    std::size_t max_records = 100'000;
    std::size_t max_records_per_account = 25'000;
    std::size_t max_key_length = 200;
};

/// Rules of the claim protocol. Mutation tests switch single rules off to verify that the test
/// detects it.
struct claim_rules {
    bool check_digest = true;
    bool reassign_needs_not_run = true;
    bool check_incarnation = true;
    bool refuse_old_keys = true;
    bool check_answers = true;
    bool drop_late_answers = true;
};

/// The claims of a region group. Deterministic: reads no clock and draws no random numbers, so that
/// all replicas reach the same state by applying the same commands.
class claim_table {
public:
    explicit claim_table(claim_options chosen = {}, claim_rules chosen_rules = {});

    [[nodiscard]] claim_result apply(const claim_command& command);

    /// Returns what begin_claim would find for this key, without changing the table. Serves reads
    /// at the leader.
    [[nodiscard]] claim_result look_up(std::string_view account, std::string_view key,
                                       std::uint64_t payload_digest) const;

    [[nodiscard]] std::string pack_snapshot() const;
    /// Replaces the whole state. Errors: claim_errc::malformed_snapshot; the state is then
    /// unchanged.
    [[nodiscard]] absl::Status restore_snapshot(std::string_view bytes);

    [[nodiscard]] std::size_t size() const { return this->records.size(); }
    [[nodiscard]] std::size_t recorded_body_bytes() const { return this->body_bytes; }
    [[nodiscard]] std::size_t running_count() const { return this->running_attempts.size(); }
    /// Number of `done` or `failed` answers for attempts that were recorded as not run. Each one
    /// proves that a recorded `not_run` was wrong.
    [[nodiscard]] std::uint64_t contradictions() const { return this->contradiction_count; }

private:
    struct claim_id {
        std::string account;
        std::string key;
        MSGPACK_DEFINE(account, key)
        [[nodiscard]] bool operator<(const claim_id& other) const
        {
            return std::tie(this->account, this->key) < std::tie(other.account, other.key);
        }
    };
    struct claim_record {
        claim_id id;
        std::uint64_t payload_digest = 0;
        attempt_id attempt = 0;
        /// Previous holders of the claim, all recorded as not run.
        std::vector<attempt_id> former_attempts;
        std::string worker;
        incarnation_id incarnation = 0;
        claim_state state = claim_state::running;
        logged_ms ended_at = 0;
        bool body_kept = true;
        answer final_answer;
        MSGPACK_DEFINE(id, payload_digest, attempt, former_attempts, worker, incarnation, state,
                       ended_at, body_kept, final_answer)
    };
    struct gone_incarnation {
        std::string worker;
        incarnation_id incarnation = 0;
        logged_ms marked_at = 0;
        MSGPACK_DEFINE(worker, incarnation, marked_at)
    };
    /// Key of a record in the index, made of views of the strings inside the record.
    struct claim_id_view {
        std::string_view account;
        std::string_view key;
        [[nodiscard]] bool operator<(const claim_id_view& other) const
        {
            return std::tie(this->account, this->key) < std::tie(other.account, other.key);
        }
    };
    /// Order by end time and id, identical on every replica.
    struct ends_earlier {
        [[nodiscard]] bool operator()(const claim_record* left, const claim_record* right) const
        {
            return std::tie(left->ended_at, left->id) < std::tie(right->ended_at, right->id);
        }
    };
    static constexpr std::uint32_t snapshot_version = 1;
    struct snapshot {
        std::uint32_t version = snapshot_version;
        logged_ms latest_time = 0;
        std::uint64_t contradictions = 0;
        std::vector<claim_record> records;
        std::vector<gone_incarnation> gone_incarnations;
        MSGPACK_DEFINE(version, latest_time, contradictions, records, gone_incarnations)
    };

    [[nodiscard]] claim_result apply_one(const begin_claim& command);
    [[nodiscard]] claim_result apply_one(const reassign_claim& command);
    [[nodiscard]] claim_result apply_one(const finish_claim& command);
    [[nodiscard]] claim_result apply_one(const abandon_claim& command);
    [[nodiscard]] claim_result apply_one(const mark_unknown& command);
    [[nodiscard]] claim_result apply_one(const expire_claims& command);

    [[nodiscard]] std::optional<claim_verdict> reason_to_refuse(const begin_claim& command) const;
    [[nodiscard]] std::optional<claim_verdict> reason_to_refuse_key(std::string_view key) const;
    [[nodiscard]] claim_result begin_existing(claim_record& record, const begin_claim& command);
    [[nodiscard]] claim_result make_result(const claim_record& record) const;
    [[nodiscard]] claim_result make_result(const claim_record& record, claim_verdict verdict) const;
    [[nodiscard]] claim_record* find_by_attempt(attempt_id attempt);
    [[nodiscard]] bool attempt_used(attempt_id attempt) const;
    [[nodiscard]] bool is_gone(std::string_view worker, incarnation_id incarnation) const;
    void assign(claim_record& record, attempt_id attempt, std::string_view worker,
                incarnation_id incarnation);
    void end_claim(claim_record& record, claim_state state);
    void record_answer(claim_record& record, const answer& received);
    void drop_body(claim_record& record);
    [[nodiscard]] bool insert_restored(claim_record taken);
    void erase_record(claim_record& record);
    void advance_time(logged_ms now);

    claim_options options;
    claim_rules rules;
    /// Records are heap-allocated and never move, so that the indexes below hold plain pointers.
    std::map<claim_id_view, std::unique_ptr<claim_record>> records;
    /// Index of the records by their current and former attempts.
    std::unordered_map<attempt_id, claim_record*> records_by_attempt;
    std::set<attempt_id> running_attempts;
    std::set<claim_record*, ends_earlier> ended_records;
    std::set<claim_record*, ends_earlier> records_with_body;
    std::map<std::string, std::size_t, std::less<>> account_records;
    std::deque<gone_incarnation> gone_incarnations;
    /// The incarnation ids in `gone_incarnations`, to avoid a linear search. Ids are random, so
    /// that two workers hardly ever share one.
    std::set<incarnation_id> gone_incarnation_ids;
    std::size_t body_bytes = 0;
    std::uint64_t contradiction_count = 0;
    logged_ms latest_time = 0;
};

} // namespace redwingwheel::request

MSGPACK_ADD_ENUM(redwingwheel::request::claim_state);
