#include "redwingwheel/file_log_storage.h"

#include <algorithm>

#include <fmt/format.h>

#include "record.h"

namespace redwingwheel::replication {

namespace {

constexpr std::string_view identity_name = "identity";
constexpr std::string_view vote_name = "vote";
constexpr std::string_view snapshot_name = "snapshot";
constexpr std::string_view segment_prefix = "log-";
constexpr std::string_view segment_suffix = ".seg";
constexpr std::string_view temporary_suffix = ".tmp";

/// Body of a record in a log segment. All records of one append (a batch) carry the index of its
/// first entry, which tells a batch that a crash tore from corruption of synced records.
struct log_record {
    log_index batch_first;
    log_entry entry;
    MSGPACK_DEFINE(batch_first, entry)
};

std::string segment_name(log_index first)
{
    return fmt::format("{}{:020}{}", segment_prefix, first.value, segment_suffix);
}

bool is_segment(std::string_view name)
{
    return name.starts_with(segment_prefix) && name.ends_with(segment_suffix);
}

absl::Status corrupt_error(std::string_view name, std::size_t offset, std::string_view what)
{
    return make_error(replication_errc::corrupt,
                      fmt::format("{} offset {}: {}", name, offset, what));
}

absl::Status to_replication_error(const absl::Status& status)
{
    if (status.ok() || error_code<replication_errc>(status).has_value()) {
        return status;
    }
    const bool full = error_code<file_errc>(status) == file_errc::no_space;
    return translate_error(full ? replication_errc::disk_full : replication_errc::sync_failed,
                           status);
}

template <class Value>
std::string pack_single_record(const Value& value)
{
    std::string bytes;
    append_record(bytes, pack(value));
    return bytes;
}

/// Reads a file that consists of exactly one record.
template <class Value>
absl::StatusOr<Value> read_single_record(file_system& files, std::string_view name)
{
    const absl::StatusOr<std::string> bytes = files.read(name);
    if (!bytes.ok()) {
        return to_replication_error(bytes.status());
    }
    const std::optional<record_view> record = read_record(*bytes, 0);
    if (!record.has_value() || record->size != bytes->size()) {
        return corrupt_error(name, 0, "damaged record");
    }
    absl::StatusOr<Value> value = unpack<Value>(record->body);
    if (!value.ok()) {
        return corrupt_error(name, 0, errors::message_of(value.status()));
    }
    return value;
}

/// True when an intact record after `offset` belongs to a batch that starts after entry `expected`.
/// The corrupt bytes at `offset` had then been synced, and are not a torn batch.
bool has_later_batch(std::string_view bytes, std::size_t offset, log_index expected)
{
    std::optional<std::size_t> next = find_record(bytes, offset);
    while (next.has_value()) {
        const std::optional<record_view> record = read_record(bytes, *next);
        const absl::StatusOr<log_record> parsed = unpack<log_record>(record->body);
        if (!parsed.ok() || parsed->batch_first > expected) {
            return true;
        }
        next = find_record(bytes, *next + record->size);
    }
    return false;
}

} // namespace

file_log_storage::file_log_storage(file_system& directory,
                                   std::function<std::uint64_t()> identity_generator,
                                   file_log_options initial_options)
    : files(directory), generate_identity(std::move(identity_generator)), options(initial_options)
{
}

absl::Status file_log_storage::keep_first_failure(const absl::Status& status)
{
    if (this->failure.ok() && !status.ok()) {
        this->failure = to_replication_error(status);
    }
    return this->failure;
}

absl::Status file_log_storage::sync_file(std::string_view name)
{
    return this->options.skip_sync ? absl::OkStatus() : this->files.sync(name);
}

absl::Status file_log_storage::sync_directory()
{
    return this->options.skip_sync ? absl::OkStatus() : this->files.sync_directory();
}

absl::Status file_log_storage::replace_file(std::string_view name, std::string_view bytes)
{
    return this->replace_file(name, std::span(&bytes, 1));
}

absl::Status file_log_storage::replace_file(std::string_view name,
                                            std::span<const std::string_view> parts)
{
    const std::string temporary_name = fmt::format("{}{}", name, temporary_suffix);
    absl::Status status = this->files.write(temporary_name, parts.front());
    for (const std::string_view part : parts.subspan(1)) {
        if (status.ok()) {
            status = this->files.append(temporary_name, part);
        }
    }
    if (status.ok()) {
        status = this->sync_file(temporary_name);
    }
    if (status.ok()) {
        status = this->files.rename(temporary_name, name);
    }
    if (status.ok()) {
        status = this->sync_directory();
    }
    return status;
}

absl::StatusOr<recovered_state> file_log_storage::open()
{
    recovered_state state;
    absl::Status status = this->files.create_and_lock();
    if (!status.ok()) {
        return this->keep_first_failure(status);
    }
    const absl::StatusOr<std::vector<std::string>> names = this->files.list();
    if (!names.ok()) {
        return this->keep_first_failure(names.status());
    }
    for (const std::string& name : *names) {
        if (status.ok() && name.ends_with(temporary_suffix)) {
            status = to_replication_error(this->files.remove(name));
        }
    }
    if (status.ok()) {
        status = this->open_identity(state, *names);
    }
    for (const std::string& name : *names) {
        if (status.ok() && name == vote_name) {
            const absl::StatusOr<vote_record> vote =
                read_single_record<vote_record>(this->files, name);
            status = vote.status();
            state.vote = vote.ok() ? *vote : vote_record();
        }
        else if (status.ok() && name == snapshot_name) {
            absl::StatusOr<snapshot> saved = this->read_snapshot();
            status = saved.status();
            if (saved.ok()) {
                state.last_snapshot = std::move(*saved);
            }
        }
    }
    const auto newest = std::find_if(names->rbegin(), names->rend(), is_segment);
    for (const std::string& name : *names) {
        if (status.ok() && is_segment(name)) {
            status = this->read_segment(name, name == *newest, state);
        }
    }
    if (status.ok()) {
        status = this->rewrite_newest_segment();
    }
    if (status.ok()) {
        status = this->check_continuity(state);
    }
    if (!status.ok()) {
        this->failure = status;
        return status;
    }
    return state;
}

absl::Status file_log_storage::open_identity(recovered_state& state,
                                             const std::vector<std::string>& names)
{
    if (std::find(names.begin(), names.end(), identity_name) != names.end()) {
        const absl::StatusOr<replica_id> read =
            read_single_record<replica_id>(this->files, identity_name);
        state.identity = read.ok() ? *read : replica_id();
        return read.status();
    }
    for (const std::string& name : names) {
        if (name == vote_name || name == snapshot_name || is_segment(name)) {
            return corrupt_error(identity_name, 0,
                                 fmt::format("file is missing although {} exists", name));
        }
    }
    while (state.identity == replica_id()) {
        state.identity = {this->generate_identity()};
    }
    return to_replication_error(
        this->replace_file(identity_name, pack_single_record(state.identity)));
}

absl::Status file_log_storage::read_segment(const std::string& name, bool newest,
                                            recovered_state& state)
{
    const absl::StatusOr<std::string> bytes = this->files.read(name);
    if (!bytes.ok()) {
        return to_replication_error(bytes.status());
    }
    segment parsed_segment{name, {}, {}, 0};
    std::uint64_t first = 0;
    for (const char digit : name.substr(segment_prefix.size(), 20)) {
        first = first * 10 + static_cast<std::uint64_t>(digit - '0');
    }
    parsed_segment.first = {first};
    if (name != segment_name(parsed_segment.first)) {
        return corrupt_error(name, 0, "malformed segment file name");
    }
    while (parsed_segment.size < bytes->size()) {
        const log_index expected = parsed_segment.first + parsed_segment.record_offsets.size();
        const std::optional<record_view> record = read_record(*bytes, parsed_segment.size);
        if (!record.has_value()) {
            if (!newest || has_later_batch(*bytes, parsed_segment.size, expected)) {
                return corrupt_error(name, parsed_segment.size,
                                     "corrupt record outside the last batch of the newest segment");
            }
            state.truncated_bytes = bytes->size() - parsed_segment.size;
            break;
        }
        absl::StatusOr<log_record> parsed = unpack<log_record>(record->body);
        if (!parsed.ok()) {
            return corrupt_error(name, parsed_segment.size, errors::message_of(parsed.status()));
        }
        const bool is_consecutive =
            state.entries.empty() || expected == state.entries.back().index + 1;
        if (parsed->entry.index != expected || !is_consecutive) {
            return corrupt_error(
                name, parsed_segment.size,
                fmt::format("found entry {}, expected entry {}", parsed->entry.index.value,
                            is_consecutive ? expected.value
                                           : state.entries.back().index.value + 1));
        }
        state.entries.push_back(std::move(parsed->entry));
        parsed_segment.record_offsets.push_back(parsed_segment.size);
        parsed_segment.size += record->size;
    }
    this->segments.push_back(std::move(parsed_segment));
    return absl::OkStatus();
}

/// Rewrites the intact records of the newest segment to a new file. The bytes that were read may
/// exist only in the page cache, either unsynced or marked clean by a failed sync, so a successful
/// sync of the same file would not make them durable.
absl::Status file_log_storage::rewrite_newest_segment()
{
    if (this->segments.empty()) {
        return to_replication_error(this->sync_directory());
    }
    segment& newest = this->segments.back();
    if (newest.record_offsets.empty()) {
        return to_replication_error(this->remove_segment(this->segments.size() - 1));
    }
    const absl::StatusOr<std::string> bytes = this->files.read(newest.name);
    if (!bytes.ok()) {
        return to_replication_error(bytes.status());
    }
    return to_replication_error(
        this->replace_file(newest.name, std::string_view(*bytes).substr(0, newest.size)));
}

/// Checks that the log continues the snapshot without a gap. A log that does not contain the last
/// entry of the snapshot was left by a snapshot installation that a crash interrupted; it is
/// dropped.
absl::Status file_log_storage::check_continuity(recovered_state& state)
{
    if (state.entries.empty()) {
        return absl::OkStatus();
    }
    const log_position last =
        state.last_snapshot.has_value() ? state.last_snapshot->last_included : log_position();
    const log_index first = state.entries.front().index;
    if (first > last.index + 1) {
        return corrupt_error(
            this->segments.front().name, 0,
            fmt::format("entries {} to {} are missing", last.index.value + 1, first.value - 1));
    }
    if (first == last.index + 1) {
        return absl::OkStatus();
    }
    const std::uint64_t position = last.index.value - first.value;
    if (position < state.entries.size() && state.entries[position].term == last.term) {
        return absl::OkStatus();
    }
    state.entries.clear();
    return to_replication_error(this->remove_entries_from({0}));
}

absl::Status file_log_storage::remove_segment(std::size_t position)
{
    const absl::Status status = this->files.remove(this->segments[position].name);
    if (!status.ok()) {
        return status;
    }
    this->segments.erase(this->segments.begin() + static_cast<std::ptrdiff_t>(position));
    // Syncs after each removal: removals that become durable out of order would leave a gap.
    return this->sync_directory();
}

absl::Status file_log_storage::append(std::span<const log_entry> entries)
{
    if (!this->failure.ok() || entries.empty()) {
        return this->failure;
    }
    return this->keep_first_failure(this->append_batch(entries));
}

absl::Status file_log_storage::append_batch(std::span<const log_entry> entries)
{
    const log_index first = entries.front().index;
    const bool new_segment = this->segments.empty() || this->start_new_segment ||
                             this->segments.back().size >= this->options.segment_bytes;
    if (new_segment) {
        this->start_new_segment = false;
        this->segments.push_back({segment_name(first), first, {}, 0});
    }
    segment& newest = this->segments.back();
    if (first != newest.first + newest.record_offsets.size()) {
        return make_error(replication_errc::invalid_state,
                          fmt::format("append at {} to {}", first.value, newest.name));
    }
    std::string bytes;
    std::vector<std::uint64_t> record_offsets;
    for (const log_entry& entry : entries) {
        record_offsets.push_back(newest.size + bytes.size());
        append_record(bytes, pack(log_record{first, entry}));
    }
    absl::Status status = this->files.append(newest.name, bytes);
    if (status.ok()) {
        status = this->sync_file(newest.name);
    }
    if (status.ok() && new_segment) {
        status = this->sync_directory();
    }
    newest.record_offsets.insert(newest.record_offsets.end(), record_offsets.begin(),
                                 record_offsets.end());
    newest.size += bytes.size();
    return status;
}

absl::Status file_log_storage::truncate_from(log_index first)
{
    return this->failure.ok() ? this->keep_first_failure(this->remove_entries_from(first))
                              : this->failure;
}

absl::Status file_log_storage::remove_entries_from(log_index first)
{
    while (!this->segments.empty() && this->segments.back().first >= first) {
        const absl::Status status = this->remove_segment(this->segments.size() - 1);
        if (!status.ok()) {
            return status;
        }
    }
    if (this->segments.empty()) {
        return absl::OkStatus();
    }
    segment& newest = this->segments.back();
    const std::uint64_t kept_count = first.value - newest.first.value;
    if (kept_count >= newest.record_offsets.size()) {
        return absl::OkStatus();
    }
    newest.size = newest.record_offsets[kept_count];
    newest.record_offsets.resize(kept_count);
    const absl::Status status = this->files.truncate(newest.name, newest.size);
    return status.ok() ? this->sync_file(newest.name) : status;
}

absl::Status file_log_storage::save_vote(const vote_record& vote)
{
    if (!this->failure.ok()) {
        return this->failure;
    }
    return this->keep_first_failure(this->replace_file(vote_name, pack_single_record(vote)));
}

absl::Status file_log_storage::save_snapshot(const snapshot& saved, log_index keep_from)
{
    if (!this->failure.ok()) {
        return this->failure;
    }
    absl::Status status = this->write_snapshot(saved);
    // The next append starts a new segment, so that the next snapshot can remove all older ones.
    this->start_new_segment = true;
    while (status.ok() && !this->segments.empty() &&
           this->segments.front().first + this->segments.front().record_offsets.size() <=
               keep_from) {
        status = this->remove_segment(0);
    }
    return this->keep_first_failure(status);
}

/// Writes the record of the snapshot in parts, without a copy of the state.
absl::Status file_log_storage::write_snapshot(const snapshot& saved)
{
    std::string fields;
    string_stream stream(fields);
    msgpack::packer<string_stream> packer(stream);
    packer.pack_array(3);
    packer.pack(saved.last_included);
    packer.pack(saved.members);
    packer.pack_str(static_cast<std::uint32_t>(saved.state.size()));
    const std::vector<std::string_view> body = {fields, saved.state};
    const std::string header = record_header(body);
    const std::vector<std::string_view> record = {header, fields, saved.state};
    return this->replace_file(snapshot_name, record);
}

absl::Status file_log_storage::install_snapshot(const snapshot& received)
{
    if (!this->failure.ok()) {
        return this->failure;
    }
    absl::Status status = this->write_snapshot(received);
    if (status.ok()) {
        status = this->remove_entries_from({0});
    }
    return this->keep_first_failure(status);
}

absl::StatusOr<snapshot> file_log_storage::read_snapshot()
{
    return read_single_record<snapshot>(this->files, snapshot_name);
}

} // namespace redwingwheel::replication
