#include "redwingwheel/replication.h"

#include <catch2/catch.hpp>

#include "redwingwheel/file_log_storage.h"
#include "testing/fake_disk.h"

using namespace redwingwheel::replication;
using redwingwheel::error_code;
using redwingwheel::manual_clock;
using redwingwheel::milliseconds;
using testing::fake_disk;

namespace {

/// A replica without peers, and its state machine: the concatenation of all commands.
struct single_replica {
    explicit single_replica(fake_disk& disk, replica_options options = {})
        : storage(disk, [] { return std::uint64_t{5}; }),
          node(std::move(options), this->storage, this->clock.function(), this->hooks())
    {
        REQUIRE(this->node.start().ok());
    }

    replica_hooks hooks()
    {
        replica_hooks made;
        made.send = [](replica_id, const peer_message&) {};
        made.apply = [this](const log_entry& entry) { this->state += entry.payload; };
        made.take_snapshot = [this] { return this->state; };
        made.restore_snapshot = [this](const snapshot& saved) { this->state = saved.state; };
        made.leadership_changed = [](const leadership&) {};
        made.random = [] { return std::uint64_t{0}; };
        return made;
    }

    void propose(const std::string& command)
    {
        this->node.propose(command, [this](const absl::StatusOr<log_index>& index) {
            this->results.push_back(index.status());
        });
    }

    manual_clock clock;
    file_log_storage storage;
    std::string state;
    std::vector<absl::Status> results;
    replica node;
};

} // namespace

// Guards against a single-member group that waits for answers of other replicas, and against one
// sync per command.
TEST_CASE("a single-member group commits a batch after one sync", "[replica]")
{
    fake_disk disk;
    single_replica single(disk);
    REQUIRE_FALSE(single.node.has_state());
    REQUIRE(single.node.form_group({{{5}, "10.0.0.1", "north", true}}).ok());
    single.node.tick();
    REQUIRE(single.node.leads());
    const std::uint64_t syncs_before = disk.sync_count;
    for (const char* command : {"a", "b", "c"}) {
        single.propose(command);
    }
    REQUIRE(single.results.empty());
    single.node.flush();
    REQUIRE(single.results == std::vector<absl::Status>(3, absl::OkStatus()));
    REQUIRE(single.state == "abc");
    REQUIRE(disk.sync_count == syncs_before + 1);

    bool confirmed = false;
    single.node.read_barrier([&confirmed](const absl::Status& status) { confirmed = status.ok(); });
    single.node.flush();
    REQUIRE(confirmed);
}

// Guards against commands that are lost or applied twice on a restart, with or without a snapshot.
TEST_CASE("a restarted single-member group recovers its state", "[replica]")
{
    for (const std::uint64_t snapshot_interval : {2, 1000}) {
        fake_disk disk;
        replica_options options;
        options.snapshot_interval_entries = snapshot_interval;
        options.trailing_entries = 1;
        {
            single_replica single(disk, options);
            REQUIRE(single.node.form_group({{{5}, "10.0.0.1", "north", true}}).ok());
            single.node.tick();
            for (const char* command : {"a", "b", "c", "d", "e"}) {
                single.propose(command);
                single.node.flush();
            }
        }
        single_replica restarted(disk, options);
        REQUIRE(restarted.node.identity() == replica_id{5});
        restarted.node.tick();
        REQUIRE(restarted.state == "abcde");
        REQUIRE(restarted.node.leads());
    }
}

// Guards against acknowledging entries that are not durable, and against a status without the
// reason of the stop.
TEST_CASE("a failed sync stops the replica and fails pending proposals", "[replica]")
{
    fake_disk disk;
    single_replica single(disk);
    REQUIRE(single.node.form_group({{{5}, "10.0.0.1", "north", true}}).ok());
    single.node.tick();
    disk.syncs_fail = true;
    single.propose("a");
    single.node.flush();
    REQUIRE(error_code<replication_errc>(single.results.at(0)) == replication_errc::stopped);
    disk.syncs_fail = false;
    single.propose("b");
    single.node.flush();
    REQUIRE_FALSE(single.results.at(1).ok());
    REQUIRE_FALSE(single.node.leads());
    REQUIRE(single.node.status().role == replica_role::stopped);
    REQUIRE_FALSE(single.node.status().stopped_reason.empty());
    REQUIRE(single.state.empty());
}

// Load: large commands. Failure: the log takes all memory and the whole disk long before the number
// of its entries calls for a snapshot.
TEST_CASE("the bytes of the log are bounded", "[replica]")
{
    fake_disk disk;
    replica_options options;
    options.snapshot_interval_bytes = 1000;
    options.trailing_bytes = 300;
    single_replica single(disk, options);
    REQUIRE(single.node.form_group({{{5}, "10.0.0.1", "north", true}}).ok());
    single.node.tick();
    for (int each = 0; each < 50; ++each) {
        single.propose(std::string(100, 'a'));
        single.node.flush();
        const replica_status status = single.node.status();
        REQUIRE(status.last_log_index.value - status.snapshot_last_index.value <= 11);
    }
    single_replica restarted(disk, options);
    restarted.node.tick();
    REQUIRE(restarted.state == single.state);
}

// Load: large commands while no quorum answers. Failure: they take all memory until one does.
TEST_CASE("the bytes of uncommitted proposals are bounded", "[replica]")
{
    fake_disk disk;
    replica_options options;
    options.max_uncommitted_bytes = 1000;
    single_replica single(disk, options);
    REQUIRE(single.node.form_group({{{5}, "10.0.0.1", "north", true}}).ok());
    single.node.tick();
    for (int each = 0; each < 11; ++each) {
        single.propose(std::string(100, 'a'));
    }
    REQUIRE(single.results.size() == 1);
    REQUIRE(error_code<replication_errc>(single.results.at(0)) == replication_errc::busy);
    single.node.flush();
    single.propose("b");
    single.node.flush();
    REQUIRE(single.results.back().ok());
}
