#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/errors.h"

namespace redwingwheel::replication {

enum class file_errc { io = 1, no_space, not_found, locked };

[[nodiscard]] constexpr std::string_view error_layer(file_errc)
{
    return "file";
}
[[nodiscard]] std::string_view error_name(file_errc code);
[[nodiscard]] absl::StatusCode error_category(file_errc code);

/// The files of one directory, addressed by file name. Contents are durable only after `sync`;
/// creation, rename and removal only after `sync_directory`. Errors: file_errc.
class file_system {
public:
    file_system() = default;
    file_system(const file_system&) = delete;
    file_system& operator=(const file_system&) = delete;
    virtual ~file_system() = default;

    /// Creates the directory durably and locks it against other processes.
    /// Errors: file_errc::locked when another process holds the lock.
    [[nodiscard]] virtual absl::Status create_and_lock() = 0;

    /// Returns the names of all regular files but the lock file, in ascending order.
    [[nodiscard]] virtual absl::StatusOr<std::vector<std::string>> list() = 0;

    [[nodiscard]] virtual absl::StatusOr<std::string> read(std::string_view name) = 0;

    /// Creates the file, or replaces its contents.
    [[nodiscard]] virtual absl::Status write(std::string_view name, std::string_view bytes) = 0;

    /// Appends to the file; creates it when absent.
    [[nodiscard]] virtual absl::Status append(std::string_view name, std::string_view bytes) = 0;

    [[nodiscard]] virtual absl::Status sync(std::string_view name) = 0;
    [[nodiscard]] virtual absl::Status rename(std::string_view from, std::string_view to) = 0;
    [[nodiscard]] virtual absl::Status truncate(std::string_view name, std::uint64_t size) = 0;
    [[nodiscard]] virtual absl::Status remove(std::string_view name) = 0;
    [[nodiscard]] virtual absl::Status sync_directory() = 0;
};

/// A directory on the host's file system.
class posix_file_system : public file_system {
public:
    explicit posix_file_system(std::filesystem::path directory_path);
    ~posix_file_system() override;

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
    [[nodiscard]] std::string path_of(std::string_view name) const;
    [[nodiscard]] absl::StatusOr<int> open_for_append(std::string_view name);
    void close_file(std::string_view name);

    std::filesystem::path directory;
    /// Files stay open between write and sync: fdatasync on a descriptor opened after a failed
    /// write-back does not report the failure.
    std::map<std::string, int, std::less<>> open_files;
    int lock_file = -1;
};

} // namespace redwingwheel::replication
