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

/// Claims of non-idempotent requests: a state machine applied from the replicated log.
namespace redwingwheel::request {

/// Milliseconds since the Unix epoch as the leader wrote them into the log. The table has no clock
/// of its own: it takes the largest value applied so far as the present.
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

/// Takes the claim for a request before it is sent. A second proposal of the same attempt is
/// granted again, so that an entry may repeat a proposal whose fate it does not know.
struct begin_claim {
    std::string account;
    /// "<unix seconds of issue>-<rest>", chosen by the caller.
    std::string key;
    std::uint64_t payload_digest = 0;
    attempt_id attempt = 0;
    std::string worker;
    incarnation_id incarnation = 0;
    logged_ms issued_at = 0;
    MSGPACK_DEFINE(account, key, payload_digest, attempt, worker, incarnation, issued_at)
};

/// Moves a claim to another agent; granted only after a recorded not_run of `former_attempt`.
struct reassign_claim {
    attempt_id former_attempt = 0;
    attempt_id attempt = 0;
    std::string worker;
    incarnation_id incarnation = 0;
    logged_ms now = 0;
    MSGPACK_DEFINE(former_attempt, attempt, worker, incarnation, now)
};

/// Records the answer of an attempt. The outcome not_run acts as abandon_claim.
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

/// Records that an incarnation is gone: what it had not answered is unknown.
struct mark_unknown {
    std::string worker;
    incarnation_id incarnation = 0;
    logged_ms now = 0;
    MSGPACK_DEFINE(worker, incarnation, now)
};

/// Lets the table forget claims that ended long enough ago.
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
    /// Another attempt holds the claim; the result names it, its worker and incarnation.
    in_progress,
    /// The result carries the recorded answer.
    answered,
    /// The key was used with another payload.
    conflict,
    /// The attempt may have run and nobody can tell.
    unknown,
    /// The key is older than the records that are kept; it may have run.
    expired,
    /// The key's time of issue is too far in the future.
    issued_in_future,
    malformed_key,
    /// The named incarnation is already gone; choose another agent.
    worker_gone,
    /// The attempt number is 0 or was used before.
    attempt_in_use,
    /// Too many claims are recorded, of the account or in all.
    full,
    /// The command was applied (finish, abandon, mark_unknown, expire).
    recorded,
    /// Nothing holds the key; a begin would be granted. Only from look_up.
    unclaimed,
    /// The command names an attempt that does not hold its claim; nothing was changed.
    stale,
    /// The answer is not whole or belongs to another attempt; nothing was changed.
    bad_answer
};

[[nodiscard]] std::string_view to_string(claim_verdict verdict);

struct claim_result {
    claim_verdict verdict = claim_verdict::stale;
    attempt_id attempt = 0;
    std::string worker;
    incarnation_id incarnation = 0;
    /// Set for answered.
    std::optional<answer> recorded;
    /// False when the body was not kept for its size; the answer then fails check_answer, so that
    /// it cannot pass for a whole one.
    bool body_kept = true;
};

/// State of a recorded claim; part of snapshots.
enum class claim_state : std::uint8_t { running, not_run, answered, unknown };

struct claim_options {
    /// Kept this long after the end of the claim.
    logged_ms retention_ms = 24LL * 3600 * 1000;
    /// A key may be this far ahead of the leader's clock.
    logged_ms max_clock_skew_ms = 5LL * 60 * 1000;
    /// Longest recorded body. A longer one reaches its caller, and a resend gets the outcome, the
    /// length and the digest without the body.
    std::size_t max_body_bytes = 64 * 1024;
    /// All recorded bodies together; the oldest bodies give way.
    std::size_t max_total_body_bytes = 32 << 20;
    /// A record takes about 600 bytes without its body, so these bounds keep the table under 100
    /// MB.
    std::size_t max_records = 100'000;
    std::size_t max_records_per_account = 25'000;
    std::size_t max_key_length = 200;
};

/// Rules that a test switches off to show that its checks notice.
struct claim_rules {
    bool check_digest = true;
    bool reassign_needs_not_run = true;
    bool check_incarnation = true;
    bool refuse_old_keys = true;
    bool check_answers = true;
    bool drop_late_answers = true;
};

/// The claims of a region group. Every replica applies the same commands and reaches the same
/// state; nothing here reads a clock or draws a random number.
class claim_table {
public:
    explicit claim_table(claim_options chosen = {}, claim_rules chosen_rules = {});

    [[nodiscard]] claim_result apply(const claim_command& command);

    /// What a begin of this key would find, without any change. Serves reads at the leader.
    [[nodiscard]] claim_result look_up(std::string_view account, std::string_view key,
                                       std::uint64_t payload_digest) const;

    [[nodiscard]] std::string pack_snapshot() const;
    /// Replaces the whole state. Errors: claim_errc::malformed_snapshot, and the state is kept.
    [[nodiscard]] absl::Status restore_snapshot(std::string_view bytes);

    [[nodiscard]] std::size_t size() const { return this->records.size(); }
    [[nodiscard]] std::size_t recorded_body_bytes() const { return this->body_bytes; }
    [[nodiscard]] std::size_t running_count() const { return this->running_attempts.size(); }
    /// Answers for attempts that were recorded as not run: each one shows a false "not run".
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
        /// Attempts that held the claim before and are recorded as not run.
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
    /// Names a record by views into the record itself.
    struct claim_id_view {
        std::string_view account;
        std::string_view key;
        [[nodiscard]] bool operator<(const claim_id_view& other) const
        {
            return std::tie(this->account, this->key) < std::tie(other.account, other.key);
        }
    };
    /// Order of ending; the same on every replica.
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
    [[nodiscard]] claim_result begin_existing(claim_record& known, const begin_claim& command);
    [[nodiscard]] claim_result make_result(const claim_record& known) const;
    [[nodiscard]] claim_result make_result(const claim_record& known, claim_verdict verdict) const;
    [[nodiscard]] claim_record* find_by_attempt(attempt_id attempt);
    [[nodiscard]] bool attempt_used(attempt_id attempt) const;
    [[nodiscard]] bool is_gone(std::string_view worker, incarnation_id incarnation) const;
    void assign(claim_record& record, attempt_id attempt, std::string_view worker,
                incarnation_id incarnation);
    void end_claim(claim_record& record, claim_state state);
    void record_answer(claim_record& record, const answer& given);
    void drop_body(claim_record& record);
    [[nodiscard]] bool insert_restored(claim_record taken);
    void erase_record(claim_record& record);
    void advance_time(logged_ms now);

    claim_options options;
    claim_rules rules;
    /// Records stay where they are, so that the indexes below hold plain pointers to them.
    std::map<claim_id_view, std::unique_ptr<claim_record>> records;
    /// Present and former attempts of all records.
    std::unordered_map<attempt_id, claim_record*> records_by_attempt;
    std::set<attempt_id> running_attempts;
    std::set<claim_record*, ends_earlier> ended_records;
    std::set<claim_record*, ends_earlier> records_with_body;
    std::map<std::string, std::size_t, std::less<>> account_records;
    std::deque<gone_incarnation> gone_incarnations;
    /// The incarnations in `gone_incarnations`; the numbers are random, so a hit is nearly always
    /// the worker's.
    std::set<incarnation_id> gone_incarnation_ids;
    std::size_t body_bytes = 0;
    std::uint64_t contradiction_count = 0;
    logged_ms latest_time = 0;
};

} // namespace redwingwheel::request

MSGPACK_ADD_ENUM(redwingwheel::request::claim_state);
