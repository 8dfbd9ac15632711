#include "redwingwheel/file_log_storage.h"

#include <filesystem>
#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "testing/fake_disk.h"

using namespace redwingwheel::replication;
using redwingwheel::error_code;
using redwingwheel::errors::message_of;
using testing::fake_disk;

namespace {

constexpr std::string_view first_segment = "log-00000000000000000001.seg";

std::vector<log_entry> entries(std::uint64_t first, std::uint64_t count, std::uint64_t term = 1)
{
    std::vector<log_entry> made;
    for (std::uint64_t index = first; index < first + count; ++index) {
        made.push_back({{index}, {term}, entry_kind::command, fmt::format("command {}", index)});
    }
    return made;
}

file_log_storage make_storage(file_system& disk, std::uint64_t segment_bytes = 100)
{
    return file_log_storage(disk, [] { return std::uint64_t{77}; }, {segment_bytes, false});
}

recovered_state reopen(file_system& disk)
{
    absl::StatusOr<recovered_state> state = make_storage(disk).open();
    INFO(state.status());
    REQUIRE(state.ok());
    return *state;
}

std::function<std::uint64_t()> random_source(std::uint64_t seed)
{
    return [generator = std::mt19937_64(seed)]() mutable { return generator(); };
}

} // namespace

// Guards against losing entries, the vote, the snapshot or the identity on a restart with real
// files, and against two processes that use the same directory.
TEST_CASE("storage on real files recovers what was stored", "[file_log_storage]")
{
    const std::filesystem::path directory =
        std::filesystem::temp_directory_path() / fmt::format("rww-log-test-{}", ::getpid());
    std::filesystem::remove_all(directory);
    {
        posix_file_system files(directory / "nested");
        file_log_storage storage = make_storage(files);
        const absl::StatusOr<recovered_state> empty = storage.open();
        REQUIRE(empty.ok());
        REQUIRE_FALSE(empty->has_state());
        REQUIRE(storage.append(entries(1, 4)).ok());
        REQUIRE(storage.append(entries(5, 4)).ok());
        REQUIRE(storage.append(entries(9, 4)).ok());
        REQUIRE(storage.truncate_from({11}).ok());
        REQUIRE(storage.append(entries(11, 1, 2)).ok());
        REQUIRE(storage.save_vote({{7}, {3}}).ok());
        REQUIRE(storage.save_snapshot({{{6}, {1}}, {}, "state"}, {6}).ok());
        posix_file_system second(directory / "nested");
        REQUIRE(error_code<file_errc>(second.create_and_lock()) == file_errc::locked);
    }
    posix_file_system files(directory / "nested");
    const recovered_state state = reopen(files);
    REQUIRE(state.identity == replica_id{77});
    REQUIRE(state.vote == vote_record{{7}, {3}});
    REQUIRE(state.last_snapshot->state == "state");
    REQUIRE(state.entries.front().index == log_index{5});
    REQUIRE(state.entries.back() == entries(11, 1, 2).back());
    std::filesystem::remove_all(directory);
}

// Guards against losing acknowledged entries, or recovering entries that were never appended, after
// a crash during the last append, whichever of its blocks reached the disk.
TEST_CASE("a torn last batch is truncated and synced entries are kept", "[file_log_storage]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        fake_disk disk;
        {
            file_log_storage storage = make_storage(disk);
            REQUIRE(storage.open().ok());
            REQUIRE(storage.append(entries(1, 5)).ok());
            REQUIRE(storage.append(entries(6, 2)).ok());
            disk.syncs_fail = true;
            REQUIRE_FALSE(storage.append(entries(8, 3)).ok());
        }
        disk.syncs_fail = false;
        disk.crash(true, random_source(seed));
        const recovered_state state = reopen(disk);
        REQUIRE(state.entries.size() >= 7);
        const std::vector<log_entry> all = entries(1, 10);
        REQUIRE(std::equal(state.entries.begin(), state.entries.end(), all.begin()));
        // Recovered entries must be durable: the replica may acknowledge them immediately.
        disk.crash(false, random_source(seed));
        REQUIRE(reopen(disk).entries == state.entries);
    }
}

// Guards against silently truncating a corrupt log that contains acknowledged entries.
TEST_CASE("corruption before the last batch is reported with file and offset", "[file_log_storage]")
{
    for (const std::uint64_t segment_bytes : {std::uint64_t{100}, std::uint64_t{100'000}}) {
        fake_disk disk;
        {
            file_log_storage storage = make_storage(disk, segment_bytes);
            REQUIRE(storage.open().ok());
            for (std::uint64_t index = 1; index < 10; index += 3) {
                REQUIRE(storage.append(entries(index, 3)).ok());
            }
        }
        // Records are 28 bytes long; offset 60 is in the third one, which starts at 56.
        disk.corrupt_byte(first_segment, 60);
        const absl::Status status = make_storage(disk).open().status();
        REQUIRE(error_code<replication_errc>(status) == replication_errc::corrupt);
        REQUIRE(message_of(status).find(std::string(first_segment)) != std::string::npos);
        REQUIRE(message_of(status).find("offset 56") != std::string::npos);
    }
    fake_disk disk;
    REQUIRE(make_storage(disk).open().ok());
    disk.corrupt_byte("identity", 12);
    REQUIRE_FALSE(make_storage(disk).open().ok());
}

// Guards against further writes after a failed sync or a full disk: a later sync may report success
// although data was lost.
TEST_CASE("the storage refuses all writes after its first error", "[file_log_storage]")
{
    for (const bool full : {false, true}) {
        fake_disk disk;
        file_log_storage storage = make_storage(disk);
        REQUIRE(storage.open().ok());
        REQUIRE(storage.append(entries(1, 1)).ok());
        (full ? disk.full : disk.syncs_fail) = true;
        const absl::Status status = storage.append(entries(2, 1));
        REQUIRE(error_code<replication_errc>(status) ==
                (full ? replication_errc::disk_full : replication_errc::sync_failed));
        (full ? disk.full : disk.syncs_fail) = false;
        REQUIRE_FALSE(storage.append(entries(2, 1)).ok());
        REQUIRE_FALSE(storage.save_vote({{9}, {9}}).ok());
    }
}

// Guards against recovering an installed snapshot together with entries of the log it replaced.
TEST_CASE("an interrupted snapshot installation leaves the old or the new state",
          "[file_log_storage]")
{
    const snapshot received{{{20}, {3}}, {}, "new"};
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        fake_disk disk;
        int changes_left = static_cast<int>(seed % 6);
        {
            file_log_storage storage = make_storage(disk, 100);
            REQUIRE(storage.open().ok());
            for (std::uint64_t index = 1; index < 10; index += 3) {
                REQUIRE(storage.append(entries(index, 3)).ok());
            }
            disk.before_change = [&](std::string_view) {
                disk.disconnected = disk.disconnected || changes_left-- == 0;
            };
            static_cast<void>(storage.install_snapshot(received));
        }
        disk.before_change = nullptr;
        disk.disconnected = false;
        disk.crash(true, random_source(seed));
        const recovered_state state = reopen(disk);
        if (state.last_snapshot.has_value()) {
            REQUIRE(state.last_snapshot->last_included == received.last_included);
            REQUIRE(state.entries.empty());
        }
        else {
            REQUIRE(state.entries == entries(1, 9));
        }
    }
}
