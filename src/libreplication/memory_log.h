#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>

#include "redwingwheel/replication_types.h"

namespace redwingwheel::replication {

/// The in-memory log entries after a base position. Entries up to the base have been dropped.
class memory_log {
public:
    [[nodiscard]] log_position base() const { return this->base_position; }
    [[nodiscard]] log_position last() const;

    /// The term of the entry at `index`; empty when it lies before the base or after the last
    /// entry.
    [[nodiscard]] std::optional<term_number> term_at(log_index index) const;

    /// The entry at `index`, which must lie after the base and not after the last entry.
    [[nodiscard]] const log_entry& at(log_index index) const;

    /// Entries from `first` on whose payloads total at most `max_bytes`; at least one when there is
    /// an entry at `first`.
    [[nodiscard]] std::vector<log_entry> slice(log_index first, std::size_t max_bytes) const;

    /// The index of the first retained entry with the same term as the entry at `index`.
    [[nodiscard]] log_index first_index_with_term(log_index index) const;

    /// Payload bytes of the entries after `index`.
    [[nodiscard]] std::size_t bytes_after(log_index index) const;

    /// The first entry from which on the payloads total at most `max_bytes`, or the one after the
    /// last.
    [[nodiscard]] log_index first_within(std::size_t max_bytes) const;

    /// Appends an entry, whose index must follow the last one.
    void append(log_entry entry);
    /// Removes the entry at `first` and all later ones.
    void truncate_from(log_index first);
    /// Drops entries up to and including `index`, which becomes the base.
    void drop_through(log_index index);
    /// Empties the log and moves the base to `position`.
    void reset(log_position position);

private:
    log_position base_position;
    std::deque<log_entry> entries;
    /// For each entry the payload bytes up to its end, counted from the first entry ever appended.
    std::deque<std::uint64_t> end_offsets;
};

} // namespace redwingwheel::replication
