#pragma once

#include <functional>

#include "redwingwheel/file_system.h"
#include "redwingwheel/log_storage.h"

namespace redwingwheel::replication {

struct file_log_options {
    /// A segment file that has reached this size is followed by a new one.
    std::uint64_t segment_bytes = 8 * 1024 * 1024;
    /// For tests only: acknowledges without a sync.
    bool skip_sync = false;
};

/// Storage in one folder: `identity`, `vote`, `snapshot`, and segments `log-<first index>.seg`.
/// Each file consists of records with a CRC-32C. Whole files are replaced by write, sync, rename
/// and sync of the folder.
class file_log_storage : public log_storage {
public:
    /// `draw_identity` gives 64 random bits; called once when the folder is empty.
    file_log_storage(file_system& folder, std::function<std::uint64_t()> draw_identity,
                     file_log_options chosen = {});

    /// A torn tail is cut: a damaged end of the last segment with nothing synced behind it. Other
    /// damage is refused (replication_errc::corrupt) with the file and the offset in bytes.
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
        std::vector<std::uint64_t> offsets;
        std::uint64_t size = 0;
    };

    [[nodiscard]] absl::Status open_identity(recovered_state& state,
                                             const std::vector<std::string>& names);
    [[nodiscard]] absl::Status read_segment(const std::string& name, bool newest,
                                            recovered_state& state);
    [[nodiscard]] absl::Status rewrite_newest_segment();
    [[nodiscard]] absl::Status check_continuity(recovered_state& state);
    [[nodiscard]] absl::Status sync_file(std::string_view name);
    [[nodiscard]] absl::Status sync_folder();
    [[nodiscard]] absl::Status replace_file(std::string_view name, std::string_view bytes);
    [[nodiscard]] absl::Status remove_segment(std::size_t position);
    [[nodiscard]] absl::Status write_batch(std::span<const log_entry> entries);
    [[nodiscard]] absl::Status cut_log(log_index first);
    /// Keeps the first failure and answers it from then on.
    absl::Status record(const absl::Status& status);

    file_system& files;
    std::function<std::uint64_t()> draw;
    file_log_options options;
    std::vector<segment> segments;
    bool begin_segment = false;
    absl::Status failure;
};

} // namespace redwingwheel::replication
