#pragma once

#include <functional>
#include <memory>

#include "redwingwheel/file_system.h"

namespace redwingwheel::replication::testing {

/// An in-memory disk that tracks written and synced contents separately, and fails on demand. It
/// outlives the storages that use it, as a disk outlives a process.
class fake_disk : public file_system {
public:
    /// Called before each write, append, rename or truncation, with the name of the file.
    std::function<void(std::string_view)> before_change;
    /// Writes fail with no_space after writing the first half of their bytes.
    bool full = false;
    /// All syncs fail. The contents of a file whose sync failed never become durable, even if a
    /// later sync succeeds.
    bool syncs_fail = false;
    /// The process has been killed: calls fail and have no effect.
    bool disconnected = false;
    std::uint64_t sync_count = 0;

    /// The host loses power: unsynced changes are lost. With `torn`, each of them is instead kept,
    /// truncated or corrupted at random.
    void crash(bool torn, const std::function<std::uint64_t()>& random);
    /// Replaces the disk by an empty one.
    void wipe();
    /// Flips one bit of the byte at `offset`, in the written and the synced contents.
    void corrupt_byte(std::string_view name, std::size_t offset);
    [[nodiscard]] std::size_t size_of(std::string_view name) const;

    [[nodiscard]] absl::Status create_and_lock() override;
    [[nodiscard]] absl::StatusOr<std::vector<std::string>> list() override;
    [[nodiscard]] absl::StatusOr<std::string> read(std::string_view name) override;
    [[nodiscard]] absl::Status write(std::string_view name, std::string_view bytes) override;
    [[nodiscard]] absl::Status append(std::string_view name, std::string_view bytes) override;
    [[nodiscard]] absl::Status sync(std::string_view name) override;
    [[nodiscard]] absl::Status rename(std::string_view from, std::string_view to) override;
    [[nodiscard]] absl::Status truncate(std::string_view name, std::uint64_t size) override;
    [[nodiscard]] absl::Status remove(std::string_view name) override;
    [[nodiscard]] absl::Status sync_directory() override;

private:
    struct file {
        std::string written;
        std::string synced;
        /// False after a failed sync: later syncs succeed but make nothing durable.
        bool syncs_effective = true;
    };
    using directory_entries = std::map<std::string, std::shared_ptr<file>, std::less<>>;

    /// Calls `before_change`. Fails when the disk is disconnected.
    [[nodiscard]] absl::Status begin_change(std::string_view name) const;

    directory_entries written_entries;
    directory_entries synced_entries;
};

} // namespace redwingwheel::replication::testing
