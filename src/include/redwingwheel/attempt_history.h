#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "redwingwheel/clock.h"
#include "redwingwheel/outcome.h"

/// Attempts that have ended at an agent, so that a duplicate start is recognised.
namespace redwingwheel::request {

struct history_options {
    /// A late duplicate of a claimed attempt is refused for at least this long.
    milliseconds claimed_retention{std::chrono::hours(1)};
    /// Claimed attempts remembered; beyond this, new claimed work is refused rather than an old
    /// attempt forgotten early. 291 claimed attempts a second fill it.
    std::size_t max_claimed = 1 << 20;
    /// Idempotent attempts remembered, oldest forgotten first; running one twice does no harm.
    std::size_t max_idempotent = 8192;
    /// Bytes of answers of claimed attempts kept for an entry that asks again.
    std::size_t max_answer_bytes = 16 << 20;
};

enum class end_kind : std::uint8_t { ran, never_ran };

/// Remembers ended attempts and, for claimed ones, their answers. An entry that takes over a claim
/// from a dead entry fetches the answer here and records it in the log.
class attempt_history {
public:
    attempt_history(history_options chosen, clock_function clock_source);

    /// Records an end. `never_ran` bars an attempt that was revoked before it came or was refused.
    void add(attempt_id attempt, bool claimed, end_kind how);

    /// Keeps the answer of a claimed attempt, the oldest answers giving way.
    void store_answer(const answer& kept);

    [[nodiscard]] std::optional<end_kind> find(attempt_id attempt) const;
    [[nodiscard]] const answer* find_answer(attempt_id attempt) const;

    /// True when a claimed attempt cannot be remembered without forgetting another too early.
    [[nodiscard]] bool claimed_full() const;

private:
    struct entry {
        attempt_id attempt = 0;
        steady_time expires_at;
    };
    void remove_expired();

    history_options options;
    clock_function clock;
    std::unordered_map<attempt_id, end_kind> known;
    std::deque<entry> claimed_order;
    std::deque<attempt_id> idempotent_order;
    std::unordered_map<attempt_id, answer> answers;
    std::deque<attempt_id> answer_order;
    std::size_t answer_bytes = 0;
};

} // namespace redwingwheel::request
