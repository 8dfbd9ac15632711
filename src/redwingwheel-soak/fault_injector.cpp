#include "fault_injector.h"

#include <csignal>

#include <fmt/format.h>

namespace redwingwheel::soak {

namespace {

/// Interval between the starts of two faults, short enough that faults overlap.
constexpr milliseconds min_fault_interval{200};
constexpr milliseconds max_fault_interval{2500};
constexpr milliseconds min_fault_duration{300};
constexpr milliseconds max_fault_duration{4000};
/// Time within which a replica that has lost its disk joins the group, catches up and becomes a
/// voter again.
constexpr milliseconds replica_replacement_time{12000};
constexpr milliseconds max_link_delay{150};

} // namespace

fault_injector::fault_injector(deployment& target_deployment, std::uint64_t seed)
    : target(target_deployment), random(seed), next_fault_at(boot_clock::now())
{
}

std::size_t fault_injector::random_below(std::size_t bound)
{
    return static_cast<std::size_t>(this->random() % bound);
}

milliseconds fault_injector::random_duration(milliseconds min, milliseconds max)
{
    return min + milliseconds(static_cast<std::int64_t>(
                     this->random_below(static_cast<std::size_t>((max - min).count()) + 1)));
}

void fault_injector::log_fault(const std::string& description)
{
    const std::int64_t now = std::chrono::duration_cast<milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    fmt::print("{} fault: {}\n", now, description);
    std::fflush(stdout);
}

void fault_injector::schedule_end(milliseconds duration, std::function<void()> end)
{
    this->active_faults.push_back({boot_clock::now() + duration, std::move(end)});
}

void fault_injector::apply_due_faults()
{
    const steady_time now = boot_clock::now();
    std::vector<std::function<void()>> ended_faults;
    std::erase_if(this->active_faults, [now, &ended_faults](timed_fault& each) {
        if (each.ends_at > now) {
            return false;
        }
        ended_faults.push_back(std::move(each.end));
        return true;
    });
    for (const std::function<void()>& end : ended_faults) {
        end();
    }
    if (now >= this->next_fault_at) {
        this->next_fault_at = now + this->random_duration(min_fault_interval, max_fault_interval);
        this->inject_random_fault();
    }
    this->target.restart_ended();
}

void fault_injector::end_active_faults()
{
    for (const timed_fault& each : this->active_faults) {
        each.end();
    }
    this->active_faults.clear();
    this->target.restart_ended();
}

void fault_injector::pause_processes(std::vector<child_process*> processes, milliseconds duration)
{
    for (child_process* const each : processes) {
        each->signal(SIGSTOP);
    }
    this->schedule_end(duration, [processes] {
        for (child_process* const each : processes) {
            each->signal(SIGCONT);
        }
    });
}

void fault_injector::inject_random_fault()
{
    std::vector<std::unique_ptr<gateway_host>>& gateways = this->target.gateways();
    const std::size_t gateway = this->random_below(gateways.size());
    gateway_host& host = *gateways[gateway];
    std::vector<std::unique_ptr<child_process>>& supervisors = this->target.supervisors();
    const std::size_t worker = this->random_below(supervisors.size());
    child_process& supervisor = *supervisors[worker];
    const milliseconds duration = this->random_duration(min_fault_duration, max_fault_duration);
    switch (this->random_below(15)) {
    case 0:
        log_fault(fmt::format("gateway {} is killed", gateway));
        host.daemon->kill();
        return;
    case 1:
        log_fault(fmt::format("gateway {} is sent SIGTERM", gateway));
        host.daemon->expect_exit();
        host.daemon->signal(SIGTERM);
        return;
    case 2:
        log_fault(fmt::format("gateway {} is paused for {} ms", gateway, duration.count()));
        this->pause_processes({host.daemon.get()}, duration);
        return;
    case 3:
        log_fault(
            fmt::format("links of gateway {} are delayed for {} ms", gateway, duration.count()));
        this->target.send_relay_command(
            gateway, fmt::format("delay {} {}", this->random_below(max_link_delay.count()),
                                 this->random_below(max_link_delay.count())));
        this->schedule_end(
            duration, [this, gateway] { this->target.send_relay_command(gateway, "delay 0 0"); });
        return;
    case 4:
        log_fault(fmt::format("connections of gateway {} are reset", gateway));
        this->target.send_relay_command(gateway, "close");
        return;
    case 5:
        log_fault(
            fmt::format("connections of gateway {} stop carrying data and stay open", gateway));
        this->target.send_relay_command(gateway, "silence");
        return;
    case 6: {
        const std::string direction = this->random_below(2) == 0 ? "forward" : "backward";
        log_fault(fmt::format("links of gateway {} drop all {} data for {} ms", gateway, direction,
                              duration.count()));
        this->target.send_relay_command(gateway, fmt::format("drop {} on", direction));
        this->schedule_end(duration, [this, gateway, direction] {
            this->target.send_relay_command(gateway, fmt::format("drop {} off", direction));
        });
        return;
    }
    case 7:
        if (boot_clock::now() < this->disk_loss_allowed_at) {
            return;
        }
        this->disk_loss_allowed_at = boot_clock::now() + replica_replacement_time;
        log_fault(fmt::format("gateway {} loses its disk", gateway));
        this->target.replace_disk(gateway);
        return;
    case 8:
        log_fault(
            fmt::format("the disk of gateway {} is full for {} ms", gateway, duration.count()));
        host.daemon->limit_file_size(1);
        this->schedule_end(duration, [&host] { host.daemon->limit_file_size(0); });
        return;
    case 9:
        log_fault("all gateways are killed");
        for (const std::unique_ptr<gateway_host>& each : gateways) {
            each->daemon->kill();
        }
        return;
    case 10:
        log_fault(fmt::format("supervisor {} is killed", worker));
        supervisor.kill();
        return;
    case 11:
        log_fault(fmt::format("supervisor {} is paused for {} ms", worker, duration.count()));
        this->pause_processes({&supervisor}, duration);
        return;
    case 12:
        log_fault(fmt::format("supervisor {} is sent SIGTERM", worker));
        supervisor.expect_exit();
        supervisor.signal(SIGTERM);
        return;
    case 13:
        log_fault(fmt::format("worker {} crashes", worker));
        this->target.workers().crash(worker);
        return;
    default:
        log_fault(fmt::format("worker {} delays its orders by {} ms for twice that time", worker,
                              duration.count() / 2));
        this->target.workers().delay_orders(worker, duration / 2);
        this->schedule_end(duration, [this, worker] {
            this->target.workers().delay_orders(worker, milliseconds(0));
        });
    }
}

} // namespace redwingwheel::soak
