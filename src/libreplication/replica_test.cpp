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

/// One replica without peers.
struct lone_replica {
    explicit lone_replica(fake_disk& disk, replica_options options = {})
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

// Guards against a group of one that needs an answer from others, and against a sync per command.
TEST_CASE("a group of one commits a batch after one sync of its own", "[replica]")
{
    fake_disk disk;
    lone_replica alone(disk);
    REQUIRE_FALSE(alone.node.has_state());
    REQUIRE(alone.node.form_group({{{5}, "10.0.0.1", "north", true}}).ok());
    alone.node.tick();
    REQUIRE(alone.node.leads());
    const std::uint64_t syncs_before = disk.sync_count;
    for (const char* command : {"a", "b", "c"}) {
        alone.propose(command);
    }
    REQUIRE(alone.results.empty());
    alone.node.flush();
    REQUIRE(alone.results == std::vector<absl::Status>(3, absl::OkStatus()));
    REQUIRE(alone.state == "abc");
    REQUIRE(disk.sync_count == syncs_before + 1);

    bool confirmed = false;
    alone.node.read_barrier([&confirmed](const absl::Status& status) { confirmed = status.ok(); });
    alone.node.flush();
    REQUIRE(confirmed);
}

// Guards against commands that are lost or applied twice by a restart with and without a snapshot.
TEST_CASE("a restarted group of one has its state", "[replica]")
{
    for (const std::uint64_t every : {2, 1000}) {
        fake_disk disk;
        replica_options options;
        options.snapshot_interval_entries = every;
        options.trailing_entries = 1;
        {
            lone_replica alone(disk, options);
            REQUIRE(alone.node.form_group({{{5}, "10.0.0.1", "north", true}}).ok());
            alone.node.tick();
            for (const char* command : {"a", "b", "c", "d", "e"}) {
                alone.propose(command);
                alone.node.flush();
            }
        }
        lone_replica again(disk, options);
        REQUIRE(again.node.identity() == replica_id{5});
        again.node.tick();
        REQUIRE(again.state == "abcde");
        REQUIRE(again.node.leads());
    }
}

// Guards against acknowledgements without durable entries, and against a status that hides why.
TEST_CASE("a failed sync stops the replica and fails what waits", "[replica]")
{
    fake_disk disk;
    lone_replica alone(disk);
    REQUIRE(alone.node.form_group({{{5}, "10.0.0.1", "north", true}}).ok());
    alone.node.tick();
    disk.syncs_fail = true;
    alone.propose("a");
    alone.node.flush();
    REQUIRE(error_code<replication_errc>(alone.results.at(0)) == replication_errc::stopped);
    disk.syncs_fail = false;
    alone.propose("b");
    alone.node.flush();
    REQUIRE_FALSE(alone.results.at(1).ok());
    REQUIRE_FALSE(alone.node.leads());
    REQUIRE(alone.node.status().role == replica_role::stopped);
    REQUIRE_FALSE(alone.node.status().stopped_reason.empty());
    REQUIRE(alone.state.empty());
}
