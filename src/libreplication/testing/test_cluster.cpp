#include "test_cluster.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::replication::testing {

namespace {

constexpr milliseconds link_delay{3};
constexpr milliseconds tick_period{25};
constexpr milliseconds restart_retry{300};
constexpr milliseconds max_reordering_delay{300};

/// Snapshot of the test state machine. Includes the host at both ends, so that the bytes differ
/// from host to host, as with unordered containers, and mixed chunks are detected.
struct host_snapshot {
    std::uint64_t first_host = 0;
    std::vector<applied_command> state;
    std::uint64_t last_host = 0;
    MSGPACK_DEFINE(first_host, state, last_host)
};

/// Options with small limits, so that snapshots, chunks and split appends occur in short runs.
replica_options test_options(const std::string& address, const protocol_mutations& mutations)
{
    replica_options options;
    options.address = address;
    options.data_centre = "north";
    options.snapshot_interval_entries = 20;
    options.trailing_entries = 5;
    options.max_append_bytes = 12;
    options.max_snapshot_chunk_bytes = 256;
    options.mutations = mutations;
    return options;
}

} // namespace

test_cluster::test_cluster(const cluster_options& initial_options)
    : options(initial_options), generator(initial_options.seed)
{
    for (std::size_t host = 0; host < host_count; ++host) {
        this->hosts[host].address = fmt::format("10.0.0.{}", host + 1);
        if (host != spare) {
            this->start_host(host);
        }
        this->schedule(milliseconds(this->random(25)), [this, host] { this->tick_host(host); });
    }
    this->form_group();
    this->run_client();
    this->run_membership();
}

void test_cluster::schedule(milliseconds delay, std::function<void()> action)
{
    this->events.emplace(this->now() + delay, std::move(action));
}

bool test_cluster::run(milliseconds limit, const std::function<bool()>& done)
{
    const steady_time end = this->now() + limit;
    while (!done()) {
        const auto next = this->events.begin();
        if (next->first > end) {
            this->clock.advance_to(end);
            return done();
        }
        this->clock.advance_to(next->first);
        const std::function<void()> action = std::move(next->second);
        this->events.erase(next);
        action();
        this->finish_stopping_hosts();
        this->check_leaders();
    }
    return true;
}

void test_cluster::start_host(std::size_t host)
{
    host_state& target = this->hosts[host];
    target.state.clear();
    target.storage = std::make_unique<file_log_storage>(
        target.disk, [this] { return this->generator(); },
        file_log_options{256, this->options.skip_sync});
    target.node =
        std::make_unique<replica>(test_options(target.address, this->options.mutations),
                                  *target.storage, this->clock.function(), this->make_hooks(host));
    const absl::Status status = target.node->start();
    if (!status.ok()) {
        this->checks.expect(error_code<replication_errc>(status) != replication_errc::corrupt,
                            errors::message_of(status));
        target.node.reset();
        this->schedule(restart_retry, [this, host] {
            if (this->hosts[host].node == nullptr) {
                this->start_host(host);
            }
        });
        return;
    }
    this->host_of[target.node->identity()] = host;
    target.disk.before_change = [this, host](std::string_view name) {
        if (name.starts_with("log-")) {
            this->reach_step(run_step::append, host);
        }
        else if (name.starts_with("snapshot")) {
            this->reach_step(run_step::snapshot, host);
        }
    };
}

replica_hooks test_cluster::make_hooks(std::size_t host)
{
    replica_hooks hooks;
    host_state& target = this->hosts[host];
    hooks.send = [this, host](replica_id, const peer_message& message) {
        this->send(host, message);
    };
    hooks.apply = [this, host, &target](const log_entry& entry) {
        this->reach_step(run_step::apply, host);
        if (target.node->known_leader() == target.node->identity() &&
            entry.term < this->status(host).term) {
            this->reach_step(run_step::older_entries, host);
        }
        if (target.stopping) {
            return;
        }
        this->checks.check_apply(host, target.state, {entry.index, entry.payload});
        target.state.push_back({entry.index, entry.payload});
    };
    hooks.take_snapshot = [this, host, &target] {
        this->reach_step(run_step::snapshot, host);
        return pack(host_snapshot{host, target.state, host});
    };
    hooks.restore_snapshot = [this, host, &target](const snapshot& saved) {
        const absl::StatusOr<host_snapshot> read = unpack<host_snapshot>(saved.state);
        target.state = read.ok() ? read->state : std::vector<applied_command>();
        this->checks.expect(read.ok() && read->first_host == read->last_host,
                            "a restored snapshot is corrupt or mixed from two hosts");
        this->checks.check_restore(host, target.state);
    };
    hooks.leadership_changed = [](const leadership&) {};
    hooks.random = [this] { return this->generator(); };
    return hooks;
}

member test_cluster::member_of_host(std::size_t host) const
{
    return {this->hosts[host].node->identity(), this->hosts[host].address, "north", true};
}

void test_cluster::form_group()
{
    formation_input input;
    for (std::size_t host = 0; host < founder_count; ++host) {
        const replica& node = *this->hosts[host].node;
        input.configured_addresses.push_back(this->hosts[host].address);
        input.answers.push_back(
            {this->hosts[host].address, "north", node.identity(), node.has_state()});
    }
    input.self = input.answers.front();
    const formation_decision decision = decide_formation(input);
    this->checks.expect(this->hosts[0].node->form_group(decision.members).ok(),
                        "the founding replica could not form the group");
}

void test_cluster::reach_step(run_step reached, std::size_t host)
{
    if (this->on_step && !this->hosts[host].stopping) {
        this->on_step(reached, host);
    }
}

void test_cluster::send(std::size_t from, const peer_message& message)
{
    if (message.kind == message_kind::snapshot_chunk ||
        message.kind == message_kind::snapshot_answer) {
        this->reach_step(run_step::snapshot_transfer, from);
    }
    for (const log_entry& entry : message.entries) {
        if (entry.kind == entry_kind::membership) {
            this->reach_step(run_step::member_change, from);
        }
    }
    const auto found = this->host_of.find(message.to);
    if (this->hosts[from].stopping || found == this->host_of.end()) {
        return;
    }
    this->check_vote(from, message);
    const std::size_t to = found->second;
    const link_state& path = this->links[from][to];
    if (path.active_cuts > 0 || (path.lossy && this->random(10) < 3)) {
        return;
    }
    const int copies = path.duplicating && this->random(10) < 5 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        milliseconds delay = link_delay + path.extra_delay;
        if (path.reordering || copy > 0) {
            delay += milliseconds(this->random(max_reordering_delay.count()));
        }
        this->schedule(delay, [this, from, to, message] { this->deliver(from, to, message); });
    }
    if (message.kind == message_kind::vote_request || message.kind == message_kind::vote_answer) {
        this->reach_step(run_step::election, from);
    }
}

void test_cluster::check_vote(std::size_t host, const peer_message& message)
{
    if (message.kind != message_kind::vote_answer || !message.accepted) {
        return;
    }
    const host_state& sender = this->hosts[host];
    this->checks.expect(message.from == sender.node->identity() &&
                            sender.node->status().last_log_index >=
                                sender.highest_acknowledged_at_wipe,
                        fmt::format("host {} voted before it had caught up", host));
}

void test_cluster::deliver(std::size_t from, std::size_t to, const peer_message& message)
{
    host_state& target = this->hosts[to];
    if (this->now() < target.paused_until) {
        this->events.emplace(target.paused_until,
                             [this, from, to, message] { this->deliver(from, to, message); });
        return;
    }
    if (target.node != nullptr && this->links[from][to].active_cuts == 0) {
        target.node->receive(message.from, message);
    }
}

void test_cluster::tick_host(std::size_t host)
{
    host_state& target = this->hosts[host];
    if (target.node != nullptr && this->now() >= target.paused_until) {
        target.node->tick();
    }
    this->schedule(tick_period, [this, host] { this->tick_host(host); });
}

void test_cluster::stop_host(std::size_t host, disk_effect effect, milliseconds restart_after)
{
    host_state& target = this->hosts[host];
    if (target.node == nullptr || target.stopping) {
        return;
    }
    target.stopping = true;
    target.disk.disconnected = true;
    target.effect = effect;
    target.restart_after = restart_after;
}

void test_cluster::finish_stopping_hosts()
{
    for (std::size_t host = 0; host < host_count; ++host) {
        host_state& target = this->hosts[host];
        if (!target.stopping) {
            continue;
        }
        target.node.reset();
        target.stopping = false;
        target.disk.disconnected = false;
        target.paused_until = this->now();
        if (target.effect == disk_effect::wipe_disk) {
            target.disk.wipe();
            target.joining = true;
            target.highest_acknowledged_at_wipe = this->checks.highest_acknowledged();
        }
        else if (target.effect != disk_effect::keep_cache) {
            target.disk.crash(target.effect == disk_effect::tear_unsynced,
                              [this] { return this->generator(); });
        }
        this->schedule(target.restart_after, [this, host] {
            if (this->hosts[host].node == nullptr) {
                this->start_host(host);
            }
        });
    }
}

void test_cluster::pause_host(std::size_t host, milliseconds duration)
{
    this->hosts[host].paused_until = this->now() + duration;
    this->schedule(duration, [this, host, duration] {
        const host_state& target = this->hosts[host];
        if (target.node != nullptr && duration > replica_options().election_timeout &&
            this->now() == target.paused_until) {
            this->checks.expect(!target.node->leads(),
                                fmt::format("host {} leads right after a long pause", host));
        }
    });
}

void test_cluster::set_isolated(std::size_t host, bool isolated)
{
    host_state& target = this->hosts[host];
    if (isolated && target.isolations == 0) {
        target.isolated_since = this->now();
    }
    target.isolations += isolated ? 1 : -1;
}

void test_cluster::resign_leader()
{
    const std::optional<std::size_t> leading = this->leading_host();
    if (leading.has_value()) {
        // Scheduled, because the caller may be a hook of the replica, which must not be reentered.
        this->schedule(milliseconds(0), [this, host = *leading] {
            if (this->hosts[host].node != nullptr) {
                this->hosts[host].node->resign();
            }
        });
    }
}

std::optional<std::size_t> test_cluster::leading_host() const
{
    for (std::size_t host = 0; host < host_count; ++host) {
        if (this->is_up(host) && this->hosts[host].node->leads()) {
            return host;
        }
    }
    return std::nullopt;
}

bool test_cluster::is_up(std::size_t host) const
{
    return this->hosts[host].node != nullptr && !this->hosts[host].stopping;
}

replica_status test_cluster::status(std::size_t host) const
{
    return this->hosts[host].node->status();
}

void test_cluster::check_leaders()
{
    std::size_t leading = 0;
    for (std::size_t host = 0; host < host_count; ++host) {
        const host_state& target = this->hosts[host];
        if (target.node == nullptr) {
            continue;
        }
        if (target.node->known_leader() == target.node->identity()) {
            this->checks.check_term_leader(this->status(host).term, target.node->identity());
        }
        const bool leads = target.node->leads();
        this->checks.expect(!leads || !this->lacks_quorum(host),
                            fmt::format("host {} leads without a quorum", host));
        leading += leads ? 1 : 0;
    }
    this->checks.expect(leading <= 1, "two hosts lead at the same time");
}

void test_cluster::end_faults()
{
    this->links = {};
    for (std::size_t host = 0; host < host_count; ++host) {
        host_state& target = this->hosts[host];
        target.disk.full = false;
        target.disk.syncs_fail = false;
        target.isolations = 0;
        const bool stopped =
            target.node != nullptr && this->status(host).role == replica_role::stopped;
        if (stopped) {
            this->stop_host(host, disk_effect::keep_cache, milliseconds(0));
        }
    }
}

bool test_cluster::converged() const
{
    const std::optional<std::size_t> leading = this->leading_host();
    if (!leading.has_value() || this->is_replacing_founder() || this->hosts[spare].joining) {
        return false;
    }
    const replica& leader = *this->hosts[*leading].node;
    const replica_status report = leader.status();
    if (report.members.size() != founder_count || report.commit_index != report.last_applied) {
        return false;
    }
    for (std::size_t host = 0; host < founder_count; ++host) {
        if (!this->is_up(host) || this->hosts[host].state != this->hosts[*leading].state ||
            find_member(leader.members(), this->hosts[host].node->identity()) == nullptr) {
            return false;
        }
    }
    return true;
}

void test_cluster::check_final()
{
    for (std::size_t host = 0; host < founder_count; ++host) {
        if (this->is_up(host)) {
            this->checks.check_complete(host, this->hosts[host].state);
        }
    }
}

} // namespace redwingwheel::replication::testing
