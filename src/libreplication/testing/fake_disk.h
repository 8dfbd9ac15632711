#pragma once

#include <functional>
#include <memory>

#include "redwingwheel/file_system.h"

namespace redwingwheel::replication::testing {

/// A disk in memory that keeps apart what was written and what was synced, and fails on demand.
/// It outlives the storages that use it, like a disk outlives a process.
class fake_disk : public file_system {
public:
    /// Called before each write, append, rename or truncation, with the name of the file.
    std::function<void(std::string_view)> before_change;
    /// Nothing more can be written; a write leaves its first half.
    bool full = false;
    /// All syncs fail, and what they should have made durable never will be.
    bool syncs_fail = false;
    /// The process is dead: no call has an effect.
    bool disconnected = false;
    std::uint64_t sync_count = 0;

    /// The host loses power. What was not synced is lost; with `torn`, each piece of it is kept,
    /// cut or damaged at random.
    void crash(bool torn, const std::function<std::uint64_t()>& random);
    /// The disk is replaced by an empty one.
    void wipe();
    /// Changes one byte of a file, in what was written and synced.
    void damage(std::string_view name, std::size_t offset);
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
        /// False after a failed sync: later syncs succeed and keep nothing.
        bool syncs_keep = true;
    };
    using folder = std::map<std::string, std::shared_ptr<file>, std::less<>>;

    [[nodiscard]] absl::Status check(std::string_view changed) const;

    folder written_entries;
    folder synced_entries;
};

} // namespace redwingwheel::replication::testing
