#include "fault_matrix.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "redwingwheel/digest.h"

namespace redwingwheel::replication::testing {

namespace {

struct fault_name {
    fault kind;
    std::string_view name;
};

constexpr std::array<fault_name, 18> fault_names{{
    {fault::host_crash, "host_crash"},
    {fault::process_kill, "process_kill"},
    {fault::restart_with_disk, "restart_with_disk"},
    {fault::restart_with_empty_disk, "restart_with_empty_disk"},
    {fault::one_way_partition, "one_way_partition"},
    {fault::two_way_partition, "two_way_partition"},
    {fault::long_isolation, "long_isolation"},
    {fault::pause, "pause"},
    {fault::duplicate, "duplicate"},
    {fault::reorder, "reorder"},
    {fault::loss, "loss"},
    {fault::slow_link, "slow_link"},
    {fault::torn_write, "torn_write"},
    {fault::lost_unsynced_data, "lost_unsynced_data"},
    {fault::full_disk, "full_disk"},
    {fault::failed_sync, "failed_sync"},
    {fault::silent_connection, "silent_connection"},
    {fault::leader_change, "leader_change"},
}};

constexpr std::array<std::string_view, 9> step_names{
    "proposal",          "append",        "commit",   "apply",        "snapshot",
    "snapshot_transfer", "member_change", "election", "older_entries"};

/// One run of one cell.
class cell_run {
public:
    cell_run(const fault_cell& chosen, std::uint64_t seed, const cell_options& options)
        : cell(chosen), cluster({seed, options.mutations, options.skip_sync})
    {
    }

    cell_result run()
    {
        const bool formed =
            this->cluster.run(milliseconds(10'000), [this] { return this->cluster.converged(); });
        this->cluster.checks.expect(formed, "the group did not start");
        this->cluster.run(milliseconds(this->cluster.random(400)));
        this->prepare_step();
        this->arm();
        this->cluster.run(milliseconds(8'000), [this] { return this->result.struck; });
        this->cluster.on_step = nullptr;
        this->cluster.run(milliseconds(1'500));
        this->cluster.run(this->faults_until - this->cluster.now() > milliseconds(0)
                              ? remaining_until(this->faults_until, this->cluster.now())
                              : milliseconds(0));
        this->check_not_unseated();
        this->cluster.heal();
        const bool healed =
            this->cluster.run(milliseconds(30'000), [this] { return this->cluster.converged(); });
        this->cluster.checks.expect(healed, "the group did not recover");
        this->cluster.check_final();
        this->result.violations = this->cluster.checks.violations();
        this->result.checks = this->cluster.checks.checks();
        this->result.acknowledged = this->cluster.checks.acknowledged_count();
        return this->result;
    }

private:
    /// Brings the cluster to where the step is about to happen.
    void prepare_step()
    {
        if (this->cell.step == run_step::member_change) {
            this->cluster.cycle_spare();
        }
        const std::size_t leader = this->cluster.leading_host().value_or(0);
        const std::size_t behind = (leader + 1 + this->cluster.random(2)) % 3;
        if (this->cell.step == run_step::election) {
            this->cut(behind, true, true, true);
            this->cut_by_step = behind;
            this->cluster.resign_leader();
        }
        if (this->cell.step == run_step::older_entries) {
            this->prepare_older_entries(leader);
        }
        if (this->cell.step != run_step::snapshot_transfer) {
            return;
        }
        this->cut(behind, true, true, true);
        const log_index last = this->cluster.status(behind).last_log_index;
        this->cluster.run(milliseconds(5'000), [this, leader, last] {
            return this->cluster.status(leader).snapshot_last_index > last + 10;
        });
        this->cut(behind, true, true, false);
    }

    void prepare_older_entries(std::size_t first_leader)
    {
        this->cut(first_leader, true, true, true);
        std::size_t next_leader = first_leader;
        this->cluster.run(milliseconds(8'000), [this, first_leader, &next_leader] {
            for (std::size_t host = 0; host < test_cluster::founder_count; ++host) {
                if (host != first_leader &&
                    this->cluster.status(host).role == replica_role::leader) {
                    next_leader = host;
                }
            }
            return next_leader != first_leader;
        });
        this->cut(next_leader, true, true, true);
        this->cut_by_step = next_leader;
        this->cut(first_leader, true, true, false);
    }

    void arm()
    {
        this->skipped_steps = this->cluster.random(this->fewest_steps());
        this->cluster.on_step = [this](run_step at, std::size_t host) {
            if (at != this->cell.step || this->result.struck || this->skipped_steps-- > 0) {
                return;
            }
            this->result.struck = true;
            this->strike(this->cell.first, this->choose_host(host));
            if (this->cut_by_step.has_value()) {
                this->end_after(this->random_time(200, 2'000),
                                [this, cut_off = *this->cut_by_step] {
                                    this->cut(cut_off, true, true, false);
                                });
            }
            if (this->cell.second != fault::none) {
                // Half of the second faults strike while the first message after the step is on its
                // way or its sender is still down.
                const std::int64_t longest = this->cluster.random(2) == 0 ? 200 : 1'500;
                this->cluster.schedule(this->random_time(0, longest), [this] {
                    this->strike(this->cell.second, this->choose_host(0));
                });
            }
        };
    }

    /// How often the step occurs at the least in a run without faults, or 4 when more often.
    [[nodiscard]] std::uint64_t fewest_steps() const
    {
        switch (this->cell.step) {
        case run_step::snapshot_transfer:
            return 2; // One chunk and its answer.
        case run_step::election:
            return 2; // One request to the host that is not cut off and its answer.
        default:
            return 4;
        }
    }

    std::size_t choose_host(std::size_t at_step)
    {
        const std::uint64_t choice = this->cluster.random(4);
        if (choice == 0) {
            return at_step;
        }
        if (choice == 1) {
            return this->cluster.leading_host().value_or(at_step);
        }
        return this->cluster.random(test_cluster::founder_count);
    }

    milliseconds random_time(std::int64_t least, std::int64_t most)
    {
        const std::uint64_t range = static_cast<std::uint64_t>(most - least) + 1;
        return milliseconds(least + static_cast<std::int64_t>(this->cluster.random(range)));
    }

    /// Ends a fault after `length` and keeps the run going until then.
    void end_after(milliseconds length, std::function<void()> end)
    {
        this->faults_until = std::max(this->faults_until, this->cluster.now() + length);
        this->cluster.schedule(length, std::move(end));
    }

    void strike(fault kind, std::size_t host)
    {
        using after_stop = test_cluster::after_stop;
        switch (kind) {
        case fault::none:
            return;
        case fault::host_crash:
            return this->stop(host,
                              this->cluster.random(2) == 0 ? after_stop::lose_unsynced
                                                           : after_stop::tear_unsynced,
                              this->random_time(500, 4'000));
        case fault::process_kill:
            return this->stop(host, after_stop::keep_cache, this->random_time(500, 3'000));
        case fault::restart_with_disk:
            return this->stop(host, after_stop::keep_cache, this->random_time(1, 50));
        case fault::restart_with_empty_disk:
            return this->lose_disk(host);
        case fault::one_way_partition: {
            const bool outward = this->cluster.random(2) == 0;
            return this->isolate(host, outward, !outward, this->random_time(1'200, 4'000));
        }
        case fault::two_way_partition:
            return this->isolate(host, true, true, this->random_time(1'200, 4'000));
        case fault::long_isolation:
            return this->isolate(host, true, true, this->random_time(6'000, 9'000));
        case fault::pause:
            return this->cluster.pause_host(host, this->random_time(1'200, 3'500));
        case fault::duplicate:
        case fault::reorder:
        case fault::loss:
        case fault::slow_link:
            return this->disturb(kind, host);
        case fault::torn_write:
            return this->lose_write(host, after_stop::tear_unsynced);
        case fault::lost_unsynced_data:
            return this->lose_write(host, after_stop::lose_unsynced);
        case fault::full_disk:
        case fault::failed_sync:
            return this->fail_disk(kind, host);
        case fault::silent_connection:
            return this->silence(host);
        case fault::leader_change:
            return this->cluster.resign_leader();
        }
    }

    void stop(std::size_t host, test_cluster::after_stop fate, milliseconds restart_after)
    {
        this->cluster.stop_host(host, fate, restart_after);
        this->end_after(restart_after, [] {});
    }

    /// While one host is being replaced, a second one is lost for long, but not its disk: with two
    /// of three disks gone, acknowledged commands may be gone as well.
    void lose_disk(std::size_t host)
    {
        if (this->cluster.replacing() || host >= test_cluster::founder_count) {
            return this->stop(host, test_cluster::after_stop::lose_unsynced,
                              this->random_time(3'000, 6'000));
        }
        this->stop(host, test_cluster::after_stop::wipe_disk, this->random_time(50, 1'000));
    }

    void cut(std::size_t host, bool outward, bool inward, bool to)
    {
        for (std::size_t other = 0; other < test_cluster::host_count; ++other) {
            if (outward) {
                this->cluster.link(host, other).cuts += to ? 1 : -1;
            }
            if (inward) {
                this->cluster.link(other, host).cuts += to ? 1 : -1;
            }
        }
        this->cluster.note_isolated(host, to);
    }

    void isolate(std::size_t host, bool outward, bool inward, milliseconds length)
    {
        const std::optional<std::size_t> leader = this->cluster.leading_host();
        if (this->cell.second == fault::none && !this->cut_by_step.has_value() &&
            leader.has_value() && *leader != host) {
            this->expected = this->cluster.status(*leader);
        }
        this->cut(host, outward, inward, true);
        this->end_after(length,
                        [this, host, outward, inward] { this->cut(host, outward, inward, false); });
    }

    void disturb(fault kind, std::size_t host)
    {
        const auto set = [this, kind, host](bool on) {
            for (std::size_t from = 0; from < test_cluster::host_count; ++from) {
                for (std::size_t to = 0; to < test_cluster::host_count; ++to) {
                    link_state& path = this->cluster.link(from, to);
                    path.repeating = kind == fault::duplicate ? on : path.repeating;
                    path.reordering = kind == fault::reorder ? on : path.reordering;
                    path.lossy = kind == fault::loss ? on : path.lossy;
                    if (kind == fault::slow_link && (from == host || to == host)) {
                        path.extra_delay = milliseconds(on ? 400 : 0);
                    }
                }
            }
        };
        set(true);
        this->end_after(this->random_time(2'000, 4'000), [set] { set(false); });
    }

    /// The next write is not synced when the host loses power.
    void lose_write(std::size_t host, test_cluster::after_stop fate)
    {
        this->cluster.disk(host).syncs_fail = true;
        const milliseconds outage = this->random_time(300, 2'000);
        this->end_after(this->random_time(1, 100), [this, host, fate, outage] {
            this->cluster.disk(host).syncs_fail = false;
            this->stop(host, fate, outage);
        });
    }

    void fail_disk(fault kind, std::size_t host)
    {
        const auto set = [this, kind, host](bool on) {
            fake_disk& disk = this->cluster.disk(host);
            (kind == fault::full_disk ? disk.full : disk.syncs_fail) = on;
        };
        set(true);
        this->end_after(this->random_time(500, 3'000), [this, host, set] {
            set(false);
            this->cluster.stop_host(host, test_cluster::after_stop::keep_cache, milliseconds(10));
        });
    }

    /// One connection goes silent both ways until its probe gives up after 2 s.
    void silence(std::size_t host)
    {
        const std::size_t other = (host + 1 + this->cluster.random(2)) % 3;
        const auto set = [this, host, other](bool on) {
            this->cluster.link(host, other).cuts += on ? 1 : -1;
            this->cluster.link(other, host).cuts += on ? 1 : -1;
        };
        set(true);
        this->end_after(milliseconds(2'000), [set] { set(false); });
    }

    /// A host that was cut off alone must not have changed leader or term by its return.
    void check_not_unseated()
    {
        if (!this->expected.has_value()) {
            return;
        }
        this->cluster.run(milliseconds(2'500));
        const std::optional<std::size_t> leader = this->cluster.leading_host();
        const bool same = leader.has_value() &&
                          this->cluster.status(*leader).id == this->expected->id &&
                          this->cluster.status(*leader).term == this->expected->term;
        this->cluster.checks.expect(same, "a returning host unseated a healthy leader");
    }

    fault_cell cell;
    test_cluster cluster;
    cell_result result;
    std::uint64_t skipped_steps = 0;
    steady_time faults_until;
    std::optional<replica_status> expected;
    /// The host that the preparation of the step cut off.
    std::optional<std::size_t> cut_by_step;
};

} // namespace

std::string cell_name(const fault_cell& cell)
{
    const auto name_of = [](fault kind) {
        const auto found =
            std::find_if(fault_names.begin(), fault_names.end(),
                         [kind](const fault_name& next) { return next.kind == kind; });
        return found == fault_names.end() ? std::string_view("none") : found->name;
    };
    const std::string_view step = step_names.at(static_cast<std::size_t>(cell.step));
    if (cell.second == fault::none) {
        return fmt::format("{}@{}", name_of(cell.first), step);
    }
    return fmt::format("{}+{}@{}", name_of(cell.first), name_of(cell.second), step);
}

std::vector<fault_cell> all_cells()
{
    std::vector<fault_cell> singles;
    std::vector<fault_cell> pairs;
    for (std::size_t step = 0; step < step_names.size(); ++step) {
        for (const fault_name& first : fault_names) {
            singles.push_back({first.kind, fault::none, static_cast<run_step>(step)});
            for (const fault_name& second : fault_names) {
                pairs.push_back({first.kind, second.kind, static_cast<run_step>(step)});
            }
        }
    }
    singles.insert(singles.end(), pairs.begin(), pairs.end());
    return singles;
}

cell_result run_cell(const fault_cell& cell, std::uint64_t seed, const cell_options& chosen)
{
    // Cells of one pass must not share their random choices.
    const std::string name = fmt::format("{} {}", seed, cell_name(cell));
    return cell_run(cell, digest::content_hash(name), chosen).run();
}

} // namespace redwingwheel::replication::testing
