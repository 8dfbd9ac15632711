#include "redwingwheel/file_system.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

namespace redwingwheel::replication {

namespace {

constexpr std::string_view lock_name = "lock";

absl::Status system_error(std::string_view call, std::string_view path)
{
    const int error = errno;
    file_errc code = file_errc::io;
    if (error == ENOSPC || error == EDQUOT) {
        code = file_errc::no_space;
    }
    else if (error == ENOENT) {
        code = file_errc::not_found;
    }
    else if (error == EWOULDBLOCK) {
        code = file_errc::locked;
    }
    return make_error(code, fmt::format("{} {}: {}", call, path, std::strerror(error)));
}

absl::Status write_all(int file, std::string_view path, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return system_error("write", path);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return absl::OkStatus();
}

absl::Status sync_directory_at(const std::string& path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return system_error("open", path);
    }
    const absl::Status status =
        ::fsync(descriptor) == 0 ? absl::OkStatus() : system_error("fsync", path);
    ::close(descriptor);
    return status;
}

} // namespace

std::string_view error_name(file_errc code)
{
    switch (code) {
    case file_errc::io:
        return "io";
    case file_errc::no_space:
        return "no_space";
    case file_errc::not_found:
        return "not_found";
    case file_errc::locked:
        return "locked";
    }
    return "unknown";
}

absl::StatusCode error_category(file_errc code)
{
    switch (code) {
    case file_errc::io:
        return absl::StatusCode::kUnavailable;
    case file_errc::no_space:
        return absl::StatusCode::kResourceExhausted;
    case file_errc::not_found:
        return absl::StatusCode::kNotFound;
    case file_errc::locked:
        return absl::StatusCode::kFailedPrecondition;
    }
    return absl::StatusCode::kUnknown;
}

posix_file_system::posix_file_system(std::filesystem::path directory_path)
    : directory(std::move(directory_path))
{
}

posix_file_system::~posix_file_system()
{
    for (const auto& [name, file] : this->open_files) {
        ::close(file);
    }
    if (this->lock_file >= 0) {
        ::close(this->lock_file);
    }
}

std::string posix_file_system::path_of(std::string_view name) const
{
    return (this->directory / name).string();
}

absl::Status posix_file_system::create_and_lock()
{
    std::error_code error;
    this->directory = std::filesystem::absolute(this->directory, error).lexically_normal();
    // A new directory is durable only once its parent directory has been synced.
    std::vector<std::filesystem::path> parents;
    for (std::filesystem::path next = this->directory;
         !std::filesystem::exists(next, error) && next.has_relative_path();
         next = next.parent_path()) {
        parents.push_back(next.parent_path());
    }
    std::filesystem::create_directories(this->directory, error);
    if (error) {
        return make_error(file_errc::io, fmt::format("create directory {}: {}",
                                                     this->directory.string(), error.message()));
    }
    for (const std::filesystem::path& parent : parents) {
        const absl::Status status = sync_directory_at(parent.string());
        if (!status.ok()) {
            return status;
        }
    }
    const std::string path = this->path_of(lock_name);
    this->lock_file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (this->lock_file < 0) {
        return system_error("open", path);
    }
    if (::flock(this->lock_file, LOCK_EX | LOCK_NB) != 0) {
        return system_error("lock", path);
    }
    return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> posix_file_system::list()
{
    std::vector<std::string> names;
    std::error_code error;
    for (std::filesystem::directory_iterator entry(this->directory, error), end;
         !error && entry != end; entry.increment(error)) {
        const std::string name = entry->path().filename().string();
        if (entry->is_regular_file() && name != lock_name) {
            names.push_back(name);
        }
    }
    if (error) {
        return make_error(file_errc::io,
                          fmt::format("list {}: {}", this->directory.string(), error.message()));
    }
    std::sort(names.begin(), names.end());
    return names;
}

absl::StatusOr<std::string> posix_file_system::read(std::string_view name)
{
    const std::string path = this->path_of(name);
    const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        return system_error("open", path);
    }
    std::string bytes;
    std::string block(256 * 1024, '\0');
    ssize_t count = 0;
    while ((count = ::read(file, block.data(), block.size())) > 0 ||
           (count < 0 && errno == EINTR)) {
        bytes.append(block, 0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    const absl::Status status = count < 0 ? system_error("read", path) : absl::OkStatus();
    ::close(file);
    if (!status.ok()) {
        return status;
    }
    return bytes;
}

absl::StatusOr<int> posix_file_system::open_for_append(std::string_view name)
{
    const auto found = this->open_files.find(name);
    if (found != this->open_files.end()) {
        return found->second;
    }
    const std::string path = this->path_of(name);
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file < 0) {
        return system_error("open", path);
    }
    this->open_files.emplace(name, file);
    return file;
}

void posix_file_system::close_file(std::string_view name)
{
    const auto found = this->open_files.find(name);
    if (found != this->open_files.end()) {
        ::close(found->second);
        this->open_files.erase(found);
    }
}

absl::Status posix_file_system::write(std::string_view name, std::string_view bytes)
{
    const absl::StatusOr<int> file = this->open_for_append(name);
    if (!file.ok()) {
        return file.status();
    }
    if (::ftruncate(*file, 0) != 0) {
        return system_error("truncate", this->path_of(name));
    }
    return write_all(*file, this->path_of(name), bytes);
}

absl::Status posix_file_system::append(std::string_view name, std::string_view bytes)
{
    const absl::StatusOr<int> file = this->open_for_append(name);
    if (!file.ok()) {
        return file.status();
    }
    return write_all(*file, this->path_of(name), bytes);
}

absl::Status posix_file_system::sync(std::string_view name)
{
    const absl::StatusOr<int> file = this->open_for_append(name);
    if (!file.ok()) {
        return file.status();
    }
    return ::fdatasync(*file) == 0 ? absl::OkStatus()
                                   : system_error("fdatasync", this->path_of(name));
}

absl::Status posix_file_system::rename(std::string_view from, std::string_view to)
{
    this->close_file(from);
    this->close_file(to);
    const std::string path = this->path_of(from);
    return ::rename(path.c_str(), this->path_of(to).c_str()) == 0 ? absl::OkStatus()
                                                                  : system_error("rename", path);
}

absl::Status posix_file_system::truncate(std::string_view name, std::uint64_t size)
{
    const absl::StatusOr<int> file = this->open_for_append(name);
    if (!file.ok()) {
        return file.status();
    }
    return ::ftruncate(*file, static_cast<off_t>(size)) == 0
               ? absl::OkStatus()
               : system_error("truncate", this->path_of(name));
}

absl::Status posix_file_system::remove(std::string_view name)
{
    this->close_file(name);
    const std::string path = this->path_of(name);
    return ::unlink(path.c_str()) == 0 ? absl::OkStatus() : system_error("unlink", path);
}

absl::Status posix_file_system::sync_directory()
{
    return sync_directory_at(this->directory.string());
}

} // namespace redwingwheel::replication
