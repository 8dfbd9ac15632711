#include "fake_disk.h"

#include <algorithm>
#include <set>

namespace redwingwheel::replication::testing {

namespace {

/// Returns the contents of a file after a power loss, when only `synced` is certain to survive.
std::string torn_contents(const std::string& synced, const std::string& written,
                          const std::function<std::uint64_t()>& random)
{
    if (!written.starts_with(synced)) {
        return random() % 2 == 0 ? synced : written;
    }
    std::string surviving =
        written.substr(0, synced.size() + random() % (written.size() - synced.size() + 1));
    if (surviving.size() > synced.size() && random() % 2 == 0) {
        // A block that was not written to disk reads as zeros, even if later blocks were written.
        const std::size_t start = synced.size() + random() % (surviving.size() - synced.size());
        const std::size_t size = std::min<std::size_t>(surviving.size() - start, 1 + random() % 64);
        surviving.replace(start, size, std::string(size, '\0'));
    }
    return surviving;
}

} // namespace

void fake_disk::crash(bool torn, const std::function<std::uint64_t()>& random)
{
    directory_entries surviving = this->synced_entries;
    if (torn) {
        std::set<std::string> names;
        for (const directory_entries* entries : {&this->written_entries, &this->synced_entries}) {
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
                surviving.erase(name);
            }
            else {
                surviving[name] = newest->second;
            }
        }
    }
    for (const auto& [name, content] : surviving) {
        content->written =
            torn ? torn_contents(content->synced, content->written, random) : content->synced;
        content->synced = content->written;
        content->syncs_effective = true;
    }
    this->written_entries = surviving;
    this->synced_entries = std::move(surviving);
}

void fake_disk::wipe()
{
    this->written_entries.clear();
    this->synced_entries.clear();
}

void fake_disk::corrupt_byte(std::string_view name, std::size_t offset)
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

absl::Status fake_disk::begin_change(std::string_view name) const
{
    if (this->before_change && !this->disconnected) {
        this->before_change(name);
    }
    return this->disconnected ? make_error(file_errc::io, "the process was killed")
                              : absl::OkStatus();
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
    const absl::Status status = this->begin_change(name);
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
        return make_error(file_errc::io, "the process was killed");
    }
    file& content = *this->written_entries.find(name)->second;
    if (this->syncs_fail) {
        content.syncs_effective = false;
        return make_error(file_errc::io, name);
    }
    if (content.syncs_effective) {
        content.synced = content.written;
    }
    return absl::OkStatus();
}

absl::Status fake_disk::rename(std::string_view from, std::string_view to)
{
    const absl::Status status = this->begin_change(to);
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
    const absl::Status status = this->begin_change(name);
    if (status.ok()) {
        this->written_entries.find(name)->second->written.resize(size);
    }
    return status;
}

absl::Status fake_disk::remove(std::string_view name)
{
    const absl::Status status = this->begin_change(name);
    if (status.ok()) {
        this->written_entries.erase(this->written_entries.find(name));
    }
    return status;
}

absl::Status fake_disk::sync_directory()
{
    if (this->disconnected || this->syncs_fail) {
        return make_error(file_errc::io, "sync of the directory failed");
    }
    this->synced_entries = this->written_entries;
    return absl::OkStatus();
}

} // namespace redwingwheel::replication::testing
