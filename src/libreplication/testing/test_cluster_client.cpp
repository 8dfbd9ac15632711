#include <algorithm>

#include <fmt/format.h>

#include "test_cluster.h"

/// The client of the simulated cluster, and the operator that replaces lost replicas.
namespace redwingwheel::replication::testing {

namespace {

constexpr milliseconds client_period{40};
constexpr milliseconds membership_period{100};

} // namespace

bool test_cluster::lacks_quorum(std::size_t host) const
{
    const host_state& target = this->hosts[host];
    return target.isolations > 0 &&
           this->now() - target.isolated_since > replica_options().election_timeout;
}

void test_cluster::run_client()
{
    for (std::size_t host = 0; host < host_count; ++host) {
        if (!this->is_up(host) || this->now() < this->hosts[host].paused_until ||
            this->status(host).role != replica_role::leader) {
            continue;
        }
        this->propose_at(host);
        this->propose_at(host);
        this->read_at(host);
        this->reach_step(run_step::proposal, host);
        if (!this->hosts[host].stopping) {
            this->hosts[host].node->flush();
        }
    }
    this->schedule(client_period, [this] { this->run_client(); });
}

void test_cluster::propose_at(std::size_t host)
{
    const std::string command = fmt::format("c{}", this->next_command++);
    const log_index before = this->checks.highest_acknowledged();
    this->hosts[host].node->propose(
        command, [this, host, command, before](const absl::StatusOr<log_index>& index) {
            if (!index.ok() || this->hosts[host].stopping) {
                return;
            }
            this->checks.expect(!this->lacks_quorum(host),
                                fmt::format("host {} acknowledged without a quorum", host));
            this->checks.check_acknowledged({*index, command}, before);
            this->reach_step(run_step::commit, host);
        });
}

void test_cluster::read_at(std::size_t host)
{
    const log_index before = this->checks.highest_acknowledged();
    this->hosts[host].node->read_barrier([this, host, before](const absl::Status& status) {
        if (!status.ok() || this->hosts[host].stopping) {
            return;
        }
        const std::vector<applied_command>& state = this->hosts[host].state;
        this->checks.expect(!this->lacks_quorum(host),
                            fmt::format("host {} confirmed a read without a quorum", host));
        this->checks.expect(before == log_index() ||
                                (!state.empty() && state.back().index >= before),
                            fmt::format("host {} confirmed a stale read", host));
    });
}

void test_cluster::run_membership()
{
    this->schedule(membership_period, [this] { this->run_membership(); });
    const std::optional<std::size_t> leading = this->leading_host();
    if (!leading.has_value() || this->now() < this->hosts[*leading].paused_until) {
        return;
    }
    replica& leader = *this->hosts[*leading].node;
    const replica_status report = leader.status();
    for (std::size_t host = 0; host < host_count; ++host) {
        host_state& joiner = this->hosts[host];
        if (joiner.node == nullptr || !joiner.joining) {
            continue;
        }
        replacement_step next = plan_replacement(report, this->member_of_host(host));
        if (next.action == replacement_action::none && host == spare && this->remove_spare) {
            next = {replacement_action::remove, this->member_of_host(host)};
        }
        const auto ignore = [](const absl::Status&) {};
        switch (next.action) {
        case replacement_action::add_learner:
            return leader.add_learner(next.subject, ignore);
        case replacement_action::promote:
            return leader.promote(next.subject.id, ignore);
        case replacement_action::remove:
            return leader.remove(next.subject.id, [this, host, next](const absl::Status& status) {
                if (status.ok() && host == spare &&
                    next.subject.address == this->hosts[spare].address) {
                    this->hosts[spare].joining = false;
                }
            });
        case replacement_action::none:
            joiner.joining = false;
            return;
        case replacement_action::wait:
            break;
        }
    }
}

void test_cluster::add_and_remove_spare()
{
    this->start_host(spare);
    this->hosts[spare].joining = true;
    this->remove_spare = true;
}

bool test_cluster::is_replacing_founder() const
{
    return std::any_of(this->hosts.begin(), this->hosts.begin() + founder_count,
                       [](const host_state& host) { return host.joining; });
}

} // namespace redwingwheel::replication::testing
