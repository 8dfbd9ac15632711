#pragma once

#include <deque>
#include <optional>
#include <span>

#include "redwingwheel/replication_types.h"

namespace redwingwheel::replication {

/// The entries behind a base position, in memory. Entries up to the base have been dropped.
class memory_log {
public:
    [[nodiscard]] log_position base() const { return this->before; }
    [[nodiscard]] log_position last() const;

    /// The term of the entry at `index`; empty when it lies before the base or behind the end.
    [[nodiscard]] std::optional<term_number> term_at(log_index index) const;

    /// The entry at `index`, which lies behind the base and not behind the end.
    [[nodiscard]] const log_entry& at(log_index index) const;

    /// Entries from `first` on, until their payloads reach `max_bytes`; at least one.
    [[nodiscard]] std::vector<log_entry> slice(log_index first, std::size_t max_bytes) const;

    /// The first index of the run of entries with the term that stands at `index`.
    [[nodiscard]] log_index first_of_term(log_index index) const;

    /// Adds an entry with the index that follows the last.
    void append(log_entry entry);
    void truncate_from(log_index first);
    /// Drops entries up to `index`, which becomes the base.
    void drop_to(log_index index);
    /// Empties the log and moves the base to `position`.
    void reset(log_position position);

private:
    log_position before;
    std::deque<log_entry> entries;
};

} // namespace redwingwheel::replication
