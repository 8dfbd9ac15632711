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
    cell_run(const fault_cell& selected_cell, std::uint64_t seed, const cell_options& options)
        : cell(selected_cell), cluster({seed, options.mutations, options.skip_sync})
    {
    }

    cell_result run()
    {
        const bool formed =
            this->cluster.run(milliseconds(10'000), [this] { return this->cluster.converged(); });
        this->cluster.checks.expect(formed, "the group did not start");
        this->cluster.run(milliseconds(this->cluster.random(400)));
        this->prepare_step();
        this->arm_fault();
        this->cluster.run(milliseconds(8'000), [this] { return this->result.fault_injected; });
        this->cluster.on_step = nullptr;
        this->cluster.run(milliseconds(1'500));
        this->cluster.run(this->faults_until - this->cluster.now() > milliseconds(0)
                              ? remaining_until(this->faults_until, this->cluster.now())
                              : milliseconds(0));
        this->check_leader_unchanged();
        this->cluster.end_faults();
        const bool recovered =
            this->cluster.run(milliseconds(30'000), [this] { return this->cluster.converged(); });
        this->cluster.checks.expect(recovered, "the group did not recover");
        this->cluster.check_final();
        this->result.violations = this->cluster.checks.violations();
        this->result.checks = this->cluster.checks.checks();
        this->result.acknowledged = this->cluster.checks.acknowledged_count();
        return this->result;
    }

private:
    /// Brings the cluster into a state in which the step is about to occur.
    void prepare_step()
    {
        if (this->cell.step == run_step::member_change) {
            this->cluster.add_and_remove_spare();
        }
        const std::size_t leader = this->cluster.leading_host().value_or(0);
        const std::size_t lagging_host = (leader + 1 + this->cluster.random(2)) % 3;
        if (this->cell.step == run_step::election) {
            this->set_partitioned(lagging_host, true, true, true);
            this->partitioned_by_step = lagging_host;
            this->cluster.resign_leader();
        }
        if (this->cell.step == run_step::older_entries) {
            this->prepare_older_entries(leader);
        }
        if (this->cell.step != run_step::snapshot_transfer) {
            return;
        }
        this->set_partitioned(lagging_host, true, true, true);
        const log_index last = this->cluster.status(lagging_host).last_log_index;
        this->cluster.run(milliseconds(5'000), [this, leader, last] {
            return this->cluster.status(leader).snapshot_last_index > last + 10;
        });
        this->set_partitioned(lagging_host, true, true, false);
    }

    void prepare_older_entries(std::size_t first_leader)
    {
        this->set_partitioned(first_leader, true, true, true);
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
        this->set_partitioned(next_leader, true, true, true);
        this->partitioned_by_step = next_leader;
        this->set_partitioned(first_leader, true, true, false);
    }

    void arm_fault()
    {
        this->steps_to_skip = this->cluster.random(this->min_step_count());
        this->cluster.on_step = [this](run_step reached, std::size_t host) {
            if (reached != this->cell.step || this->result.fault_injected ||
                this->steps_to_skip-- > 0) {
                return;
            }
            this->result.fault_injected = true;
            this->inject(this->cell.first, this->choose_host(host));
            if (this->partitioned_by_step.has_value()) {
                this->end_after(this->random_time(200, 2'000),
                                [this, partitioned = *this->partitioned_by_step] {
                                    this->set_partitioned(partitioned, true, true, false);
                                });
            }
            if (this->cell.second != fault::none) {
                // Half of the second faults are injected within 200 ms, while the first message
                // after the step is in transit or its sender is still down.
                const std::int64_t max_delay = this->cluster.random(2) == 0 ? 200 : 1'500;
                this->cluster.schedule(this->random_time(0, max_delay), [this] {
                    this->inject(this->cell.second, this->choose_host(0));
                });
            }
        };
    }

    /// The minimum number of times the step occurs in a run without faults, at most 4.
    [[nodiscard]] std::uint64_t min_step_count() const
    {
        switch (this->cell.step) {
        case run_step::snapshot_transfer:
            return 2; // one chunk and its answer
        case run_step::election:
            return 2; // one request to the host that is not partitioned, and its answer
        default:
            return 4;
        }
    }

    std::size_t choose_host(std::size_t step_host)
    {
        const std::uint64_t choice = this->cluster.random(4);
        if (choice == 0) {
            return step_host;
        }
        if (choice == 1) {
            return this->cluster.leading_host().value_or(step_host);
        }
        return this->cluster.random(test_cluster::founder_count);
    }

    milliseconds random_time(std::int64_t minimum, std::int64_t maximum)
    {
        const std::uint64_t range = static_cast<std::uint64_t>(maximum - minimum) + 1;
        return milliseconds(minimum + static_cast<std::int64_t>(this->cluster.random(range)));
    }

    /// Schedules the end of a fault after `duration` and extends the run until then.
    void end_after(milliseconds duration, std::function<void()> end)
    {
        this->faults_until = std::max(this->faults_until, this->cluster.now() + duration);
        this->cluster.schedule(duration, std::move(end));
    }

    void inject(fault kind, std::size_t host)
    {
        using disk_effect = test_cluster::disk_effect;
        switch (kind) {
        case fault::none:
            return;
        case fault::host_crash:
            return this->stop(host,
                              this->cluster.random(2) == 0 ? disk_effect::lose_unsynced
                                                           : disk_effect::tear_unsynced,
                              this->random_time(500, 4'000));
        case fault::process_kill:
            return this->stop(host, disk_effect::keep_cache, this->random_time(500, 3'000));
        case fault::restart_with_disk:
            return this->stop(host, disk_effect::keep_cache, this->random_time(1, 50));
        case fault::restart_with_empty_disk:
            return this->lose_disk(host);
        case fault::one_way_partition: {
            const bool outward = this->cluster.random(2) == 0;
            return this->partition_host(host, outward, !outward, this->random_time(1'200, 4'000));
        }
        case fault::two_way_partition:
            return this->partition_host(host, true, true, this->random_time(1'200, 4'000));
        case fault::long_isolation:
            return this->partition_host(host, true, true, this->random_time(6'000, 9'000));
        case fault::pause:
            return this->cluster.pause_host(host, this->random_time(1'200, 3'500));
        case fault::duplicate:
        case fault::reorder:
        case fault::loss:
        case fault::slow_link:
            return this->degrade_links(kind, host);
        case fault::torn_write:
            return this->lose_write(host, disk_effect::tear_unsynced);
        case fault::lost_unsynced_data:
            return this->lose_write(host, disk_effect::lose_unsynced);
        case fault::full_disk:
        case fault::failed_sync:
            return this->fail_disk(kind, host);
        case fault::silent_connection:
            return this->silence_connection(host);
        case fault::leader_change:
            return this->cluster.resign_leader();
        }
    }

    void stop(std::size_t host, test_cluster::disk_effect effect, milliseconds restart_after)
    {
        this->cluster.stop_host(host, effect, restart_after);
        this->end_after(restart_after, [] {});
    }

    /// Wipes the disk of `host`. While a founder is already being replaced, only stops the host for
    /// a long time: losing two of three disks may legitimately lose acknowledged commands.
    void lose_disk(std::size_t host)
    {
        if (this->cluster.is_replacing_founder() || host >= test_cluster::founder_count) {
            return this->stop(host, test_cluster::disk_effect::lose_unsynced,
                              this->random_time(3'000, 6'000));
        }
        this->stop(host, test_cluster::disk_effect::wipe_disk, this->random_time(50, 1'000));
    }

    /// Cuts or restores the links from and to `host`.
    void set_partitioned(std::size_t host, bool outward, bool inward, bool partitioned)
    {
        for (std::size_t other = 0; other < test_cluster::host_count; ++other) {
            if (outward) {
                this->cluster.link(host, other).active_cuts += partitioned ? 1 : -1;
            }
            if (inward) {
                this->cluster.link(other, host).active_cuts += partitioned ? 1 : -1;
            }
        }
        this->cluster.set_isolated(host, partitioned);
    }

    void partition_host(std::size_t host, bool outward, bool inward, milliseconds duration)
    {
        const std::optional<std::size_t> leader = this->cluster.leading_host();
        if (this->cell.second == fault::none && !this->partitioned_by_step.has_value() &&
            leader.has_value() && *leader != host) {
            this->expected_leader = this->cluster.status(*leader);
        }
        this->set_partitioned(host, outward, inward, true);
        this->end_after(duration, [this, host, outward, inward] {
            this->set_partitioned(host, outward, inward, false);
        });
    }

    void degrade_links(fault kind, std::size_t host)
    {
        const auto set = [this, kind, host](bool on) {
            for (std::size_t from = 0; from < test_cluster::host_count; ++from) {
                for (std::size_t to = 0; to < test_cluster::host_count; ++to) {
                    link_state& path = this->cluster.link(from, to);
                    path.duplicating = kind == fault::duplicate ? on : path.duplicating;
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

    /// Makes syncs fail, then crashes the host, so that its last writes are not durable.
    void lose_write(std::size_t host, test_cluster::disk_effect effect)
    {
        this->cluster.disk(host).syncs_fail = true;
        const milliseconds outage = this->random_time(300, 2'000);
        this->end_after(this->random_time(1, 100), [this, host, effect, outage] {
            this->cluster.disk(host).syncs_fail = false;
            this->stop(host, effect, outage);
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
            this->cluster.stop_host(host, test_cluster::disk_effect::keep_cache, milliseconds(10));
        });
    }

    /// Drops all messages between two hosts, both ways, for 2 s: the time after which the probe of
    /// a silent connection gives up.
    void silence_connection(std::size_t host)
    {
        const std::size_t other = (host + 1 + this->cluster.random(2)) % 3;
        const auto set = [this, host, other](bool on) {
            this->cluster.link(host, other).active_cuts += on ? 1 : -1;
            this->cluster.link(other, host).active_cuts += on ? 1 : -1;
        };
        set(true);
        this->end_after(milliseconds(2'000), [set] { set(false); });
    }

    /// Checks that the return of a partitioned host has changed neither the leader nor the term.
    /// Only in cells in which that partition is the only fault.
    void check_leader_unchanged()
    {
        if (!this->expected_leader.has_value()) {
            return;
        }
        this->cluster.run(milliseconds(2'500));
        const std::optional<std::size_t> leader = this->cluster.leading_host();
        const bool same = leader.has_value() &&
                          this->cluster.status(*leader).id == this->expected_leader->id &&
                          this->cluster.status(*leader).term == this->expected_leader->term;
        this->cluster.checks.expect(same, "a returning host deposed a healthy leader");
    }

    fault_cell cell;
    test_cluster cluster;
    cell_result result;
    std::uint64_t steps_to_skip = 0;
    steady_time faults_until;
    std::optional<replica_status> expected_leader;
    /// The host that prepare_step partitioned.
    std::optional<std::size_t> partitioned_by_step;
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

cell_result run_cell(const fault_cell& cell, std::uint64_t seed, const cell_options& options)
{
    // The seed includes the cell's name, so that the cells of a pass make independent choices.
    const std::string name = fmt::format("{} {}", seed, cell_name(cell));
    return cell_run(cell, digest::content_hash(name), options).run();
}

} // namespace redwingwheel::replication::testing
