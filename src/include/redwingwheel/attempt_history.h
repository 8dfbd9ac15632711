#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "redwingwheel/clock.h"
#include "redwingwheel/outcome.h"

/// An agent's record of ended attempts, by which it detects duplicate starts.
namespace redwingwheel::request {

struct history_options {
    /// Claimed attempts are remembered, and their duplicates refused, for at least this long.
    milliseconds claimed_retention{std::chrono::hours(1)};
    /// Limit of remembered claimed attempts. At the limit the agent refuses new claimed work, since
    /// forgetting an attempt early would admit its duplicates. A steady 291 claimed attempts per
    /// second reach the limit at the default retention.
    std::size_t max_claimed = 1 << 20;
    /// Limit of remembered idempotent attempts. The oldest are forgotten first, since running an
    /// idempotent request twice is harmless.
    std::size_t max_idempotent = 8192;
    /// Limit, in body bytes, of the stored answers of claimed attempts.
    std::size_t max_answer_bytes = 16 << 20;
};

enum class end_kind : std::uint8_t { ran, never_ran };

/// Remembers ended attempts and the answers of claimed ones. An entry that takes over a claim from
/// a failed entry fetches the answer from here and records it in the replicated log.
class attempt_history {
public:
    attempt_history(history_options chosen, clock_function clock_source);

    /// Records that an attempt has ended. `never_ran` prevents the later start of an attempt that
    /// was refused, or revoked before it arrived. A known attempt keeps its first record. A claimed
    /// attempt is not recorded when twice `max_claimed` are remembered already.
    void add(attempt_id attempt, bool claimed, end_kind kind);

    /// Stores the answer of a claimed attempt, and evicts the oldest answers over
    /// `max_answer_bytes`. The newest answer is always kept.
    void store_answer(const answer& stored);

    /// How the attempt ended; empty when it is not remembered.
    [[nodiscard]] std::optional<end_kind> find(attempt_id attempt) const;
    /// The stored answer; null when there is none. Valid until the next call of store_answer.
    [[nodiscard]] const answer* find_answer(attempt_id attempt) const;

    /// True when `max_claimed` claimed attempts are remembered and the retention time of the oldest
    /// has not ended.
    [[nodiscard]] bool claimed_full() const;

private:
    struct entry {
        attempt_id attempt = 0;
        steady_time expires_at;
    };
    void remove_expired();

    history_options options;
    clock_function clock;
    std::unordered_map<attempt_id, end_kind> end_kinds;
    std::deque<entry> claimed_order;
    std::deque<attempt_id> idempotent_order;
    std::unordered_map<attempt_id, answer> answers;
    std::deque<attempt_id> answer_order;
    std::size_t answer_bytes = 0;
};

} // namespace redwingwheel::request
