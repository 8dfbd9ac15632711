#include "fake_disk.h"

#include <algorithm>
#include <set>

namespace redwingwheel::replication::testing {

namespace {

/// What a crash leaves of a file of which only `synced` is sure.
std::string tear(const std::string& synced, const std::string& written,
                 const std::function<std::uint64_t()>& random)
{
    if (!written.starts_with(synced)) {
        return random() % 2 == 0 ? synced : written;
    }
    std::string left =
        written.substr(0, synced.size() + random() % (written.size() - synced.size() + 1));
    if (left.size() > synced.size() && random() % 2 == 0) {
        // A block that never reached the disk reads as zeros, even before blocks that did.
        const std::size_t start = synced.size() + random() % (left.size() - synced.size());
        const std::size_t size = std::min<std::size_t>(left.size() - start, 1 + random() % 64);
        left.replace(start, size, std::string(size, '\0'));
    }
    return left;
}

} // namespace

void fake_disk::crash(bool torn, const std::function<std::uint64_t()>& random)
{
    folder left = this->synced_entries;
    if (torn) {
        std::set<std::string> names;
        for (const folder* entries : {&this->written_entries, &this->synced_entries}) {
            for (const auto& [name, unused] : *entries) {
                names.insert(name);
            }
        }
        for (const std::string& name : names) {
            if (random() % 2 == 0) {
                continue;
            }
            const auto newest = this->written_entries.find(name);
            if (newest == this->written_entries.end()) {
                left.erase(name);
            }
            else {
                left[name] = newest->second;
            }
        }
    }
    for (const auto& [name, content] : left) {
        content->written = torn ? tear(content->synced, content->written, random) : content->synced;
        content->synced = content->written;
        content->syncs_keep = true;
    }
    this->written_entries = left;
    this->synced_entries = std::move(left);
}

void fake_disk::wipe()
{
    this->written_entries.clear();
    this->synced_entries.clear();
}

void fake_disk::damage(std::string_view name, std::size_t offset)
{
    file& content = *this->written_entries.find(name)->second;
    content.written[offset] = static_cast<char>(content.written[offset] ^ 0x40);
    content.synced = content.written;
}

std::size_t fake_disk::size_of(std::string_view name) const
{
    const auto found = this->written_entries.find(name);
    return found == this->written_entries.end() ? 0 : found->second->written.size();
}

absl::Status fake_disk::check(std::string_view changed) const
{
    if (this->before_change && !this->disconnected) {
        this->before_change(changed);
    }
    return this->disconnected ? make_error(file_errc::io, "the process is dead") : absl::OkStatus();
}

absl::Status fake_disk::create_and_lock()
{
    return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> fake_disk::list()
{
    std::vector<std::string> names;
    for (const auto& [name, content] : this->written_entries) {
        names.push_back(name);
    }
    return names;
}

absl::StatusOr<std::string> fake_disk::read(std::string_view name)
{
    const auto found = this->written_entries.find(name);
    if (found == this->written_entries.end()) {
        return make_error(file_errc::not_found, name);
    }
    return found->second->written;
}

absl::Status fake_disk::write(std::string_view name, std::string_view bytes)
{
    const auto found = this->written_entries.find(name);
    if (found != this->written_entries.end() && !this->disconnected) {
        found->second->written.clear();
    }
    return this->append(name, bytes);
}

absl::Status fake_disk::append(std::string_view name, std::string_view bytes)
{
    const absl::Status status = this->check(name);
    if (!status.ok()) {
        return status;
    }
    std::shared_ptr<file>& content = this->written_entries[std::string(name)];
    if (content == nullptr) {
        content = std::make_shared<file>();
    }
    content->written += bytes.substr(0, this->full ? bytes.size() / 2 : bytes.size());
    return this->full ? make_error(file_errc::no_space, name) : absl::OkStatus();
}

absl::Status fake_disk::sync(std::string_view name)
{
    ++this->sync_count;
    if (this->disconnected) {
        return make_error(file_errc::io, "the process is dead");
    }
    file& content = *this->written_entries.find(name)->second;
    if (this->syncs_fail) {
        content.syncs_keep = false;
        return make_error(file_errc::io, name);
    }
    if (content.syncs_keep) {
        content.synced = content.written;
    }
    return absl::OkStatus();
}

absl::Status fake_disk::rename(std::string_view from, std::string_view to)
{
    const absl::Status status = this->check(to);
    if (!status.ok()) {
        return status;
    }
    const auto found = this->written_entries.find(from);
    this->written_entries[std::string(to)] = found->second;
    this->written_entries.erase(found);
    return absl::OkStatus();
}

absl::Status fake_disk::truncate(std::string_view name, std::uint64_t size)
{
    const absl::Status status = this->check(name);
    if (status.ok()) {
        this->written_entries.find(name)->second->written.resize(size);
    }
    return status;
}

absl::Status fake_disk::remove(std::string_view name)
{
    const absl::Status status = this->check(name);
    if (status.ok()) {
        this->written_entries.erase(this->written_entries.find(name));
    }
    return status;
}

absl::Status fake_disk::sync_directory()
{
    if (this->disconnected || this->syncs_fail) {
        return make_error(file_errc::io, "folder");
    }
    this->synced_entries = this->written_entries;
    return absl::OkStatus();
}

} // namespace redwingwheel::replication::testing
