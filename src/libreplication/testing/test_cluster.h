#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "fake_disk.h"
#include "invariants.h"
#include "redwingwheel/file_log_storage.h"
#include "redwingwheel/replication.h"

namespace redwingwheel::replication::testing {

/// Steps of the protocol at which a fault can be injected.
enum class run_step {
    proposal,
    append,
    commit,
    apply,
    snapshot,
    snapshot_transfer,
    member_change,
    /// A vote request or answer was sent while a third host is partitioned.
    election,
    /// A leader applies entries that it appended in an older term and that no other host had, while
    /// the host that led in between, and appended an entry of its own, is partitioned.
    older_entries,
};

struct cluster_options {
    std::uint64_t seed = 1;
    protocol_mutations mutations;
    bool skip_sync = false;
};

/// Condition of the link from one host to another.
struct link_state {
    /// Number of active faults that cut the link.
    int active_cuts = 0;
    bool lossy = false;
    bool duplicating = false;
    bool reordering = false;
    milliseconds extra_delay{0};
};

/// A deterministic simulation of three replicas and one spare on a manual clock, with in-memory
/// disks and network, and a client that proposes and reads at every replica whose role is leader.
class test_cluster {
public:
    static constexpr std::size_t founder_count = 3;
    static constexpr std::size_t host_count = 4;
    static constexpr std::size_t spare = 3;

    explicit test_cluster(const cluster_options& initial_options);

    /// Called with each step that is reached, and the host that reached it.
    std::function<void(run_step, std::size_t)> on_step;

    [[nodiscard]] steady_time now() const { return this->clock.now(); }
    [[nodiscard]] std::uint64_t random(std::uint64_t range) { return this->generator() % range; }
    void schedule(milliseconds delay, std::function<void()> action);
    /// Runs until `done` returns true or `limit` has passed. Returns the last result of `done`.
    bool run(
        milliseconds limit, const std::function<bool()>& done = [] { return false; });

    [[nodiscard]] std::optional<std::size_t> leading_host() const;
    [[nodiscard]] bool is_up(std::size_t host) const;
    [[nodiscard]] replica_status status(std::size_t host) const;
    [[nodiscard]] link_state& link(std::size_t from, std::size_t to)
    {
        return this->links[from][to];
    }
    [[nodiscard]] replica& node(std::size_t host) { return *this->hosts[host].node; }
    [[nodiscard]] fake_disk& disk(std::size_t host) { return this->hosts[host].disk; }

    enum class disk_effect { keep_cache, lose_unsynced, tear_unsynced, wipe_disk };
    /// Kills the process of `host`: the call in progress has no further effect, and the process
    /// ends when it returns. `effect` tells what happens to the disk.
    void stop_host(std::size_t host, disk_effect effect, milliseconds restart_after);
    void pause_host(std::size_t host, milliseconds duration);
    /// Counts one more, or one less, active fault that keeps `host` from reaching a quorum.
    void set_isolated(std::size_t host, bool isolated);
    void resign_leader();
    /// Adds the spare as a voter, then removes it again.
    void add_and_remove_spare();
    /// True while a founder that lost its disk is being replaced.
    [[nodiscard]] bool is_replacing_founder() const;

    /// Ends all faults, and restarts the replicas that have stopped.
    void end_faults();
    /// True when a leader has exactly the three founders as members and all hold the same state.
    [[nodiscard]] bool converged() const;
    void check_final();

    invariants checks;

private:
    struct host_state {
        std::string address;
        fake_disk disk;
        std::unique_ptr<file_log_storage> storage;
        std::unique_ptr<replica> node;
        std::vector<applied_command> state;
        bool stopping = false;
        disk_effect effect = disk_effect::keep_cache;
        milliseconds restart_after{0};
        steady_time paused_until;
        /// Number of active faults that isolate the host, and since when.
        int isolations = 0;
        steady_time isolated_since;
        /// The host lost its disk and asks to join, or is the spare that joins.
        bool joining = false;
        /// The highest acknowledged index when the disk was lost.
        log_index highest_acknowledged_at_wipe;
    };

    void start_host(std::size_t host);
    [[nodiscard]] replica_hooks make_hooks(std::size_t host);
    void form_group();
    void send(std::size_t from, const peer_message& message);
    void deliver(std::size_t from, std::size_t to, const peer_message& message);
    void check_vote(std::size_t host, const peer_message& message);
    void tick_host(std::size_t host);
    void run_client();
    void propose_at(std::size_t host);
    void read_at(std::size_t host);
    void run_membership();
    [[nodiscard]] member member_of_host(std::size_t host) const;
    void finish_stopping_hosts();
    void check_leaders();
    void reach_step(run_step reached, std::size_t host);
    [[nodiscard]] bool lacks_quorum(std::size_t host) const;

    cluster_options options;
    manual_clock clock;
    std::mt19937_64 generator;
    std::multimap<steady_time, std::function<void()>> events;
    std::array<host_state, host_count> hosts;
    std::array<std::array<link_state, host_count>, host_count> links;
    std::map<replica_id, std::size_t> host_of;
    std::uint64_t next_command = 1;
    bool remove_spare = false;
};

} // namespace redwingwheel::replication::testing
