#pragma once

#include <functional>
#include <span>

#include "redwingwheel/file_system.h"
#include "redwingwheel/log_storage.h"

namespace redwingwheel::replication {

struct file_log_options {
    /// Size from which a segment file is closed to appends and a new one is started.
    std::uint64_t segment_bytes = 8 * 1024 * 1024;
    /// For tests only: omits all syncs.
    bool skip_sync = false;
};

/// Log storage in one directory: the files `identity`, `vote` and `snapshot`, and log segments
/// `log-<first index>.seg`. Each file consists of records with a CRC-32C. Files are replaced
/// atomically: write and sync a temporary file, rename it, sync the directory.
class file_log_storage : public log_storage {
public:
    /// `identity_generator` returns 64 random bits; it is called again if they are all 0, and only
    /// when the directory is empty.
    file_log_storage(file_system& directory, std::function<std::uint64_t()> identity_generator,
                     file_log_options initial_options = {});

    /// Truncates an incomplete batch at the end of the last segment, which a crash during an append
    /// leaves. Fails with replication_errc::corrupt on any other damage; the message names the file
    /// and the offset in bytes.
    [[nodiscard]] absl::StatusOr<recovered_state> open() override;
    [[nodiscard]] absl::Status append(std::span<const log_entry> entries) override;
    [[nodiscard]] absl::Status truncate_from(log_index first) override;
    [[nodiscard]] absl::Status save_vote(const vote_record& vote) override;
    [[nodiscard]] absl::Status save_snapshot(const snapshot& saved, log_index keep_from) override;
    [[nodiscard]] absl::Status install_snapshot(const snapshot& received) override;
    [[nodiscard]] absl::StatusOr<snapshot> read_snapshot() override;

private:
    struct segment {
        std::string name;
        log_index first;
        /// Offset of each record in bytes; one record per entry.
        std::vector<std::uint64_t> record_offsets;
        std::uint64_t size = 0;
    };

    [[nodiscard]] absl::Status open_identity(recovered_state& state,
                                             const std::vector<std::string>& names);
    [[nodiscard]] absl::Status read_segment(const std::string& name, bool newest,
                                            recovered_state& state);
    [[nodiscard]] absl::Status rewrite_newest_segment();
    [[nodiscard]] absl::Status check_continuity(recovered_state& state);
    [[nodiscard]] absl::Status sync_file(std::string_view name);
    [[nodiscard]] absl::Status sync_directory();
    [[nodiscard]] absl::Status replace_file(std::string_view name, std::string_view bytes);
    [[nodiscard]] absl::Status replace_file(std::string_view name,
                                            std::span<const std::string_view> parts);
    [[nodiscard]] absl::Status write_snapshot(const snapshot& saved);
    [[nodiscard]] absl::Status remove_segment(std::size_t position);
    [[nodiscard]] absl::Status append_batch(std::span<const log_entry> entries);
    [[nodiscard]] absl::Status remove_entries_from(log_index first);
    /// Remembers the first error; from then on always returns that one.
    absl::Status keep_first_failure(const absl::Status& status);

    file_system& files;
    std::function<std::uint64_t()> generate_identity;
    file_log_options options;
    std::vector<segment> segments;
    bool start_new_segment = false;
    absl::Status failure;
};

} // namespace redwingwheel::replication
