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

/// Places in a run where a fault can strike.
enum class run_step {
    proposal,
    append,
    commit,
    apply,
    snapshot,
    snapshot_transfer,
    member_change,
    /// A vote request or answer was sent, while a third host is cut off.
    election,
    /// A leader applies entries that it wrote in an older term and that nobody else had, while a
    /// host that led in between with an entry of its own is cut off.
    older_entries,
};

struct cluster_options {
    std::uint64_t seed = 1;
    protocol_mutations mutations;
    bool skip_sync = false;
};

/// What happens to messages from one host to another.
struct link_state {
    /// Faults that cut the link at present.
    int cuts = 0;
    bool lossy = false;
    bool repeating = false;
    bool reordering = false;
    milliseconds extra_delay{0};
};

/// Three replicas and one spare on a manual clock, with disks and a network in memory and a client
/// that proposes and reads at every replica that believes it leads.
class test_cluster {
public:
    static constexpr std::size_t founder_count = 3;
    static constexpr std::size_t host_count = 4;
    static constexpr std::size_t spare = 3;

    explicit test_cluster(const cluster_options& chosen);

    /// Called at each step with the host that is in it.
    std::function<void(run_step, std::size_t)> on_step;

    [[nodiscard]] steady_time now() const { return this->clock.now(); }
    [[nodiscard]] std::uint64_t random(std::uint64_t range) { return this->generator() % range; }
    void schedule(milliseconds delay, std::function<void()> action);
    /// Runs until `done` holds or `limit` has passed; the result is whether it held.
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

    enum class after_stop { keep_cache, lose_unsynced, tear_unsynced, wipe_disk };
    /// Stops the process of `host` as soon as its present call returns, which has no more effect.
    void stop_host(std::size_t host, after_stop fate, milliseconds restart_after);
    void pause_host(std::size_t host, milliseconds length);
    /// Tells the checks that one more fault, or one less, keeps `host` from any quorum.
    void note_isolated(std::size_t host, bool isolated);
    void resign_leader();
    /// The spare joins, becomes a voter and is removed again.
    void cycle_spare();
    [[nodiscard]] bool replacing() const;

    /// Ends all faults and restarts what is down.
    void heal();
    /// True when one leader leads three voters that all have the same state.
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
        bool dying = false;
        after_stop fate = after_stop::keep_cache;
        milliseconds restart_after{0};
        steady_time paused_until;
        /// Faults that isolate the host at present, and since when.
        int isolations = 0;
        steady_time isolated_since;
        /// The host lost its disk and asks to join, or is the spare that joins.
        bool joining = false;
        /// What was acknowledged when the disk was lost.
        log_index acknowledged_at_wipe;
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
    [[nodiscard]] member self_member(std::size_t host) const;
    void reap_hosts();
    void check_leaders();
    void step(run_step at, std::size_t host);
    [[nodiscard]] bool lacks_quorum(std::size_t host) const;

    cluster_options options;
    manual_clock clock;
    std::mt19937_64 generator;
    std::multimap<steady_time, std::function<void()>> events;
    std::array<host_state, host_count> hosts;
    std::array<std::array<link_state, host_count>, host_count> links;
    std::map<replica_id, std::size_t> host_of;
    std::uint64_t next_command = 1;
    bool spare_leaves = false;
};

} // namespace redwingwheel::replication::testing
