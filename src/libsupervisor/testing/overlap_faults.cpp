#include <array>

#include <spdlog/spdlog.h>

#include "overlap_simulation.h"

/// The faults of the simulation. Several may be active at the same time, also on one host.
namespace redwingwheel::jobs::testing {

namespace {

constexpr std::array<std::string_view, fault_kind_count> fault_names = {
    "lossy_network",         "partition",          "supervisor_restart", "supervisor_freeze",
    "host_suspension",       "worker_crash",       "clock_step",         "worker_shutdown",
    "capacity_change",       "worker_unreachable", "held_up_orders",     "late_announcements",
    "foreign_announcements", "leader_change",      "slow_commits",       "worker_loss"};

constexpr milliseconds drain_time{2000};
/// Of the workers at most this share is lost, so that the others can carry out all jobs.
constexpr std::size_t hosts_per_lost_worker = 2;
/// A lease may last this long after a suspension.
constexpr milliseconds max_lease{6000};
constexpr std::int64_t cpu_unit = 500;

} // namespace

std::string_view fault_name(fault_kind kind)
{
    return fault_names[static_cast<std::size_t>(kind)];
}

std::optional<fault_kind> parse_fault(std::string_view name)
{
    for (std::size_t each = 0; each < fault_names.size(); ++each) {
        if (fault_names[each] == name) {
            return static_cast<fault_kind>(each);
        }
    }
    return std::nullopt;
}

std::set<fault_kind> all_faults()
{
    std::set<fault_kind> all;
    for (std::size_t each = 0; each < fault_kind_count; ++each) {
        all.insert(static_cast<fault_kind>(each));
    }
    all.erase(fault_kind::worker_loss);
    return all;
}

std::set<fault_kind> draw_faults(std::uint64_t seed)
{
    random_source random(seed);
    std::set<fault_kind> drawn = all_faults();
    std::erase_if(drawn, [&random](fault_kind) { return random.chance(0.6); });
    return drawn;
}

void overlap_simulation::schedule_fault(fault_kind kind)
{
    this->events.run_after(this->random.between(milliseconds(500), milliseconds(12'000)),
                           [this, kind] {
                               if (!this->quiet()) {
                                   this->inject(kind);
                                   this->schedule_fault(kind);
                               }
                           });
}

/// Calls `end` after a while, at the latest when all faults end.
void overlap_simulation::for_a_while(milliseconds shortest, milliseconds longest,
                                     std::function<void()> end)
{
    this->events.run_at(
        std::min(this->events.now() + this->random.between(shortest, longest), this->fault_end()),
        std::move(end));
}

bool overlap_simulation::is_protected(const host& at) const
{
    return this->events.now() < at.protected_until;
}

void overlap_simulation::inject(fault_kind kind)
{
    host& at = *this->hosts[this->random.index(this->hosts.size())];
    spdlog::info("sim: fault {} at {}", fault_name(kind), at.name);
    switch (kind) {
    case fault_kind::lossy_network:
        at.lossy = true;
        this->for_a_while(milliseconds(1000), milliseconds(10'000), [&at] { at.lossy = false; });
        return;
    case fault_kind::partition: {
        const std::uint64_t direction = this->random.index(3);
        const int outbound = direction != 1 ? 1 : 0;
        const int inbound = direction != 2 ? 1 : 0;
        at.to_leader_cuts += outbound;
        at.from_leader_cuts += inbound;
        this->for_a_while(milliseconds(500), milliseconds(15'000), [&at, outbound, inbound] {
            spdlog::info("sim: a partition of {} ends", at.name);
            at.to_leader_cuts -= outbound;
            at.from_leader_cuts -= inbound;
        });
        return;
    }
    case fault_kind::supervisor_restart:
        this->restart_supervisor(at);
        return;
    case fault_kind::supervisor_freeze:
        if (!this->is_protected(at) && at.process.is_running()) {
            at.process.freeze_until(std::min(
                this->events.now() + this->random.between(milliseconds(300), milliseconds(12'000)),
                this->fault_end()));
        }
        return;
    case fault_kind::host_suspension:
        this->suspend(at);
        return;
    case fault_kind::worker_crash:
        this->crash_worker(at);
        return;
    case fault_kind::worker_loss:
        this->lose_worker(at);
        return;
    case fault_kind::clock_step:
        at.time_of_day_offset_ms -= 1000 + static_cast<std::int64_t>(this->random.index(100'000));
        return;
    case fault_kind::worker_shutdown:
        this->shut_down_worker(at);
        return;
    case fault_kind::capacity_change:
        this->change_capacity(at);
        return;
    case fault_kind::worker_unreachable:
        if (!this->is_protected(at)) {
            at.link = this->random.chance(0.5) ? worker_link::silent : worker_link::refusing;
            this->for_a_while(milliseconds(300), milliseconds(10'000),
                              [&at] { at.link = worker_link::open; });
        }
        return;
    case fault_kind::held_up_orders:
        if (!this->is_protected(at)) {
            at.held_up_share = 0.5;
            this->for_a_while(milliseconds(1000), milliseconds(8000),
                              [&at] { at.held_up_share = 0.0; });
        }
        return;
    case fault_kind::late_announcements:
        at.late_announcements = true;
        this->for_a_while(milliseconds(5000), milliseconds(20'000),
                          [&at] { at.late_announcements = false; });
        return;
    case fault_kind::foreign_announcements:
        this->announce_foreign_worker(at);
        return;
    case fault_kind::leader_change:
        this->change_leader();
        return;
    case fault_kind::slow_commits:
        this->commit_delay = milliseconds(100 + this->random.index(3000));
        this->for_a_while(milliseconds(1000), milliseconds(8000),
                          [this] { this->commit_delay = milliseconds(2); });
        return;
    }
}

void overlap_simulation::restart_supervisor(host& at)
{
    if (this->is_protected(at) || !at.process.is_running()) {
        return;
    }
    this->stop_supervisor(at);
    this->for_a_while(milliseconds(50), milliseconds(8000),
                      [this, &at] { this->start_supervisor(at); });
}

void overlap_simulation::suspend(host& at)
{
    if (this->is_protected(at) || !at.process.is_running() || at.process.is_frozen() ||
        !at.worker.is_up() || at.link != worker_link::open) {
        return;
    }
    const steady_time end =
        std::min(this->events.now() + this->random.between(milliseconds(500), milliseconds(15'000)),
                 this->fault_end());
    at.worker.suspend();
    at.process.freeze_until(end);
    at.suspended_until = end;
    at.protected_until = end + max_lease;
    at.held_up_share = 0.0;
    this->events.run_at(end, [&at, duration = end - this->events.now()] {
        spdlog::info("sim: {} continues after a suspension", at.name);
        at.suspended_for += duration;
        at.worker.resume();
    });
}

void overlap_simulation::change_capacity(host& at)
{
    if (!at.worker.is_up() || at.worker.is_suspended()) {
        return;
    }
    resources changed = at.worker.present().capacity;
    changed.cpu_millis = cpu_unit * static_cast<std::int64_t>(4 + this->random.index(5));
    changed.accelerators = 2 * static_cast<std::int64_t>(1 + this->random.index(2));
    at.worker.change_capacity(changed);
    this->send_announcement(at, this->describe(at), ++at.announcement_sequence);
}

void overlap_simulation::crash_worker(host& at)
{
    if (!at.worker.is_up() || at.worker.is_suspended()) {
        return;
    }
    this->end_worker(at, at.worker.lifetime_number());
}

/// The worker may be draining, suspended or unreachable when it is lost.
void overlap_simulation::lose_worker(host& at)
{
    const auto lost = std::count_if(this->hosts.begin(), this->hosts.end(),
                                    [](const auto& each) { return each->worker_lost; });
    if (!at.worker.is_up() ||
        static_cast<std::size_t>(lost + 1) * hosts_per_lost_worker > this->hosts.size()) {
        return;
    }
    spdlog::info("sim: the worker of {} is lost for good", at.name);
    at.worker_lost = true;
    this->end_worker(at, at.worker.lifetime_number());
}

/// Ends the lifetime and begins another one a while later, unless the worker is lost.
void overlap_simulation::end_worker(host& at, std::uint64_t lifetime)
{
    if (!at.worker.is_up() || at.worker.lifetime_number() != lifetime) {
        return;
    }
    if (at.worker.is_suspended()) {
        this->events.run_at(at.suspended_until + milliseconds(1),
                            [this, &at, lifetime] { this->end_worker(at, lifetime); });
        return;
    }
    spdlog::info("sim: worker {} of {} ends", at.worker.present().id, at.name);
    at.worker.end();
    if (at.worker_lost) {
        return;
    }
    this->for_a_while(milliseconds(20), milliseconds(8000),
                      [this, &at] { this->begin_worker(at, this->random.chance(0.6)); });
}

void overlap_simulation::shut_down_worker(host& at)
{
    if (!at.worker.is_up() || at.draining) {
        return;
    }
    at.draining = true;
    at.drain_deadline = this->events.now() + drain_time;
    this->send_announcement(at, this->describe(at), ++at.announcement_sequence);
    this->events.run_after(drain_time + this->random.between(milliseconds(0), milliseconds(8000)),
                           [this, &at, lifetime = at.worker.lifetime_number()] {
                               this->deregister_worker(at, lifetime);
                           });
}

/// The worker ends with the acknowledgement of its deregistration, or some seconds later without.
void overlap_simulation::deregister_worker(host& at, std::uint64_t lifetime)
{
    if (!at.worker.is_up() || at.worker.lifetime_number() != lifetime) {
        return;
    }
    spdlog::info("sim: worker {} of {} deregisters", at.worker.present().id, at.name);
    const auto send_after = [this, &at, id = at.worker.present().id](
                                std::chrono::microseconds delay, std::function<void()> on_ack) {
        this->events.run_after(delay, [this, &at, id, on_ack = std::move(on_ack)] {
            at.process.run_at(this->events.now(), [&at, id, on_ack] {
                if (at.subject != nullptr) {
                    at.subject->worker_deregistered(id);
                    on_ack();
                }
            });
        });
    };
    const bool late = at.late_announcements && this->random.chance(0.4);
    const bool ack_lost = late || (at.late_announcements && this->random.chance(0.5));
    const auto end = [this, &at, lifetime] { this->end_worker(at, lifetime); };
    const auto on_ack = [this, &at, ack_lost, end] {
        if (!ack_lost) {
            this->events.run_after(this->local_delay(at), end);
        }
    };
    send_after(late ? this->random.between(milliseconds(1000), milliseconds(15'000))
                    : this->local_delay(at),
               on_ack);
    if (at.late_announcements && this->random.chance(0.3)) {
        send_after(this->random.between(milliseconds(1000), milliseconds(15'000)), [] {});
    }
    this->events.run_after(this->random.between(milliseconds(2000), milliseconds(6000)), end);
}

void overlap_simulation::announce_foreign_worker(host& at)
{
    if (!at.worker.is_up()) {
        return;
    }
    worker_description made = this->describe(at);
    const std::int64_t difference = 1 + static_cast<std::int64_t>(this->random.index(100'000));
    made.incarnation.started_unix_ms += this->random.chance(0.5) ? difference : -difference;
    if (this->random.chance(0.5)) {
        made.incarnation.id = "foreign";
    }
    made.draining = this->random.chance(0.2);
    this->send_announcement(at, made, 1 + this->random.index(50));
}

void overlap_simulation::change_leader()
{
    if (this->leader == nullptr || !this->leader_has_majority) {
        return;
    }
    this->leader_has_majority = false;
    this->for_a_while(milliseconds(0), milliseconds(1500), [this] { this->end_term(); });
    this->for_a_while(milliseconds(1600), milliseconds(5000), [this] { this->begin_term(); });
}

void overlap_simulation::end_faults()
{
    spdlog::info("sim: all faults end");
    for (const std::unique_ptr<host>& each : this->hosts) {
        each->lossy = false;
        each->late_announcements = false;
        each->held_up_share = 0.0;
        each->link = worker_link::open;
        if (each->worker.is_up()) {
            each->worker.change_capacity(worker_capacity);
        }
    }
    this->commit_delay = milliseconds(2);
}

} // namespace redwingwheel::jobs::testing
