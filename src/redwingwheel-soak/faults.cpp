#include "faults.h"

#include <csignal>

#include <fmt/format.h>

namespace redwingwheel::soak {

namespace {

/// From one fault to the next: short enough that faults overlap.
constexpr milliseconds shortest_gap{200};
constexpr milliseconds longest_gap{2500};
constexpr milliseconds shortest_fault{300};
constexpr milliseconds longest_fault{4000};
/// A replica that has lost its disk joins, catches up and takes its seat within this.
constexpr milliseconds replacement_time{12000};
constexpr milliseconds longest_delay{150};

} // namespace

fault_plan::fault_plan(deployment& on, std::uint64_t seed)
    : target(on), random(seed), next_strike(boot_clock::now())
{
}

std::size_t fault_plan::draw(std::size_t below)
{
    return static_cast<std::size_t>(this->random() % below);
}

milliseconds fault_plan::draw_time(milliseconds from, milliseconds to)
{
    return from + milliseconds(static_cast<std::int64_t>(
                      this->draw(static_cast<std::size_t>((to - from).count()) + 1)));
}

void fault_plan::say(const std::string& what)
{
    const std::int64_t now = std::chrono::duration_cast<milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    fmt::print("{} fault: {}\n", now, what);
    std::fflush(stdout);
}

void fault_plan::last(milliseconds by, std::function<void()> end)
{
    this->lasting.push_back({boot_clock::now() + by, std::move(end)});
}

void fault_plan::advance()
{
    const steady_time now = boot_clock::now();
    std::vector<std::function<void()>> over;
    std::erase_if(this->lasting, [now, &over](lasting_fault& each) {
        if (each.until > now) {
            return false;
        }
        over.push_back(std::move(each.end));
        return true;
    });
    for (const std::function<void()>& end : over) {
        end();
    }
    if (now >= this->next_strike) {
        this->next_strike = now + this->draw_time(shortest_gap, longest_gap);
        this->strike();
    }
    this->target.restart_ended();
}

void fault_plan::end_all()
{
    for (const lasting_fault& each : this->lasting) {
        each.end();
    }
    this->lasting.clear();
    this->target.restart_ended();
}

void fault_plan::pause(std::vector<child_process*> processes, milliseconds by)
{
    for (child_process* const each : processes) {
        each->signal(SIGSTOP);
    }
    this->last(by, [processes] {
        for (child_process* const each : processes) {
            each->signal(SIGCONT);
        }
    });
}

void fault_plan::strike()
{
    std::vector<std::unique_ptr<gateway_host>>& gateways = this->target.gateways();
    const std::size_t gateway = this->draw(gateways.size());
    gateway_host& host = *gateways[gateway];
    std::vector<std::unique_ptr<child_process>>& supervisors = this->target.supervisors();
    const std::size_t place = this->draw(supervisors.size());
    child_process& supervisor = *supervisors[place];
    const milliseconds time = this->draw_time(shortest_fault, longest_fault);
    switch (this->draw(15)) {
    case 0:
        say(fmt::format("gateway {} is killed", gateway));
        host.daemon->kill();
        return;
    case 1:
        say(fmt::format("gateway {} is told to stop", gateway));
        host.daemon->expect_end();
        host.daemon->signal(SIGTERM);
        return;
    case 2:
        say(fmt::format("gateway {} stands still for {} ms", gateway, time.count()));
        this->pause({host.daemon.get()}, time);
        return;
    case 3:
        say(fmt::format("links to gateway {} are slow for {} ms", gateway, time.count()));
        this->target.relay(gateway, fmt::format("delay {} {}", this->draw(longest_delay.count()),
                                                this->draw(longest_delay.count())));
        this->last(time, [this, gateway] { this->target.relay(gateway, "delay 0 0"); });
        return;
    case 4:
        say(fmt::format("connections to gateway {} are reset", gateway));
        this->target.relay(gateway, "close");
        return;
    case 5:
        say(fmt::format("connections to gateway {} go silent", gateway));
        this->target.relay(gateway, "silence");
        return;
    case 6: {
        const std::string way = this->draw(2) == 0 ? "forward" : "backward";
        say(fmt::format("links to gateway {} lose all {} for {} ms", gateway, way, time.count()));
        this->target.relay(gateway, fmt::format("drop {} on", way));
        this->last(time, [this, gateway, way] {
            this->target.relay(gateway, fmt::format("drop {} off", way));
        });
        return;
    }
    case 7:
        if (boot_clock::now() < this->disk_loss_allowed_at) {
            return;
        }
        this->disk_loss_allowed_at = boot_clock::now() + replacement_time;
        say(fmt::format("gateway {} loses its disk", gateway));
        this->target.lose_disk(gateway);
        return;
    case 8:
        say(fmt::format("the disk of gateway {} is full for {} ms", gateway, time.count()));
        host.daemon->limit_files(1);
        this->last(time, [&host] { host.daemon->limit_files(0); });
        return;
    case 9:
        say("all gateways are killed");
        for (const std::unique_ptr<gateway_host>& each : gateways) {
            each->daemon->kill();
        }
        return;
    case 10:
        say(fmt::format("supervisor {} is killed", place));
        supervisor.kill();
        return;
    case 11:
        say(fmt::format("supervisor {} stands still for {} ms", place, time.count()));
        this->pause({&supervisor}, time);
        return;
    case 12:
        say(fmt::format("supervisor {} is told to stop", place));
        supervisor.expect_end();
        supervisor.signal(SIGTERM);
        return;
    case 13:
        say(fmt::format("worker {} crashes", place));
        this->target.workers().crash(place);
        return;
    default:
        say(fmt::format("worker {} carries out orders {} ms late for a while", place,
                        time.count() / 2));
        this->target.workers().delay_orders(place, time / 2);
        this->last(time,
                   [this, place] { this->target.workers().delay_orders(place, milliseconds(0)); });
    }
}

} // namespace redwingwheel::soak
