#pragma once

#include <optional>
#include <span>

#include "redwingwheel/replication_types.h"

namespace redwingwheel::replication {

/// What a storage holds when it is opened.
struct recovered_state {
    replica_id identity;
    vote_record vote;
    std::optional<snapshot> last_snapshot;
    /// Consecutive; the first may lie before the end of the snapshot.
    std::vector<log_entry> entries;
    /// Bytes cut from a torn tail.
    std::uint64_t truncated_bytes = 0;

    /// False for a replica that has never written an entry, a vote or a snapshot.
    [[nodiscard]] bool has_state() const
    {
        return this->vote != vote_record() || this->last_snapshot.has_value() ||
               !this->entries.empty();
    }
};

/// The durable part of a replica. Everything is durable when the call returns OK. After any error
/// the storage refuses all further writes: a repeated sync may report success falsely.
/// Errors: replication_errc corrupt, sync_failed, disk_full.
class log_storage {
public:
    log_storage() = default;
    log_storage(const log_storage&) = delete;
    log_storage& operator=(const log_storage&) = delete;
    virtual ~log_storage() = default;

    /// Creates the storage when it does not exist, else recovers it. Called once, before all else.
    [[nodiscard]] virtual absl::StatusOr<recovered_state> open() = 0;

    /// Adds `entries`, which follow the last one, with one sync for all.
    [[nodiscard]] virtual absl::Status append(std::span<const log_entry> entries) = 0;

    /// Removes the entry at `first` and all behind it.
    [[nodiscard]] virtual absl::Status truncate_from(log_index first) = 0;

    [[nodiscard]] virtual absl::Status save_vote(const vote_record& vote) = 0;

    /// Saves `saved`, then drops entries before `keep_from` (at most `saved.last_included.index` +
    /// 1). The storage may keep more.
    [[nodiscard]] virtual absl::Status save_snapshot(const snapshot& saved,
                                                     log_index keep_from) = 0;

    /// Saves `received` in the place of the snapshot and of the whole log.
    [[nodiscard]] virtual absl::Status install_snapshot(const snapshot& received) = 0;

    /// Reads the last snapshot that was saved or installed.
    [[nodiscard]] virtual absl::StatusOr<snapshot> read_snapshot() = 0;
};

} // namespace redwingwheel::replication
