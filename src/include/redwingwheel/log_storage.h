#pragma once

#include <optional>
#include <span>

#include "redwingwheel/replication_types.h"

namespace redwingwheel::replication {

/// The contents of a log_storage after recovery.
struct recovered_state {
    replica_id identity;
    vote_record vote;
    std::optional<snapshot> last_snapshot;
    /// Consecutive. The first may have a lower index than the end of the snapshot.
    std::vector<log_entry> entries;
    /// Bytes of incomplete records dropped from the end of the log (a torn write).
    std::uint64_t truncated_bytes = 0;

    /// False for a replica that has never written an entry, a vote or a snapshot.
    [[nodiscard]] bool has_state() const
    {
        return this->vote != vote_record() || this->last_snapshot.has_value() ||
               !this->entries.empty();
    }
};

/// Durable storage of a replica's identity, vote, log and snapshot. Changes are durable when the
/// call returns OK. After any error the storage refuses all further writes, because a repeated sync
/// may report success although data was lost. Errors: replication_errc corrupt, sync_failed,
/// disk_full.
class log_storage {
public:
    log_storage() = default;
    log_storage(const log_storage&) = delete;
    log_storage& operator=(const log_storage&) = delete;
    virtual ~log_storage() = default;

    /// Creates the storage when it does not exist, otherwise recovers it. Call once, before any
    /// other function.
    [[nodiscard]] virtual absl::StatusOr<recovered_state> open() = 0;

    /// Appends `entries`, whose indices continue the log, with one sync for all.
    [[nodiscard]] virtual absl::Status append(std::span<const log_entry> entries) = 0;

    /// Removes the entry at `first` and all later ones.
    [[nodiscard]] virtual absl::Status truncate_from(log_index first) = 0;

    [[nodiscard]] virtual absl::Status save_vote(const vote_record& vote) = 0;

    /// Saves `saved`, then drops entries before `keep_from`, which is at most
    /// `saved.last_included.index` + 1. The storage may keep more entries.
    [[nodiscard]] virtual absl::Status save_snapshot(const snapshot& saved,
                                                     log_index keep_from) = 0;

    /// Replaces the snapshot and the whole log by `received`.
    [[nodiscard]] virtual absl::Status install_snapshot(const snapshot& received) = 0;

    /// Reads the latest snapshot that was saved or installed.
    [[nodiscard]] virtual absl::StatusOr<snapshot> read_snapshot() = 0;
};

} // namespace redwingwheel::replication
