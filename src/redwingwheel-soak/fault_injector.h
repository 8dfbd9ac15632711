#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "deployment.h"
#include "redwingwheel/clock.h"

namespace redwingwheel::soak {

/// Injects random faults into a deployment from outside its processes: exits, pauses, network
/// faults, lost and full disks, late workers. Faults may overlap, but after a lost disk the next
/// one is lost only when the replica has had time to catch up, since the deployment tolerates one
/// lost replica. The faults drawn depend on the seed only, their times also on the clock.
class fault_injector {
public:
    fault_injector(deployment& target, std::uint64_t seed);

    /// Ends the faults whose duration has passed, injects the next one if it is due and restarts
    /// daemons that have exited. To be called more often than the shortest fault lasts.
    void apply_due_faults();

    /// Ends all active faults at once and restarts daemons that have exited.
    void end_active_faults();

private:
    struct timed_fault {
        steady_time ends_at;
        std::function<void()> end;
    };

    void inject_random_fault();
    /// Stops the processes with SIGSTOP and continues them after `duration`.
    void pause_processes(std::vector<child_process*> processes, milliseconds duration);
    /// Runs `end` after `duration`, or earlier in `end_active_faults`.
    void schedule_end(milliseconds duration, std::function<void()> end);
    /// Random number from 0 to `bound` - 1; `bound` must not be 0.
    [[nodiscard]] std::size_t random_below(std::size_t bound);
    [[nodiscard]] milliseconds random_duration(milliseconds min, milliseconds max);
    /// Prints the time in ms since the Unix epoch and the description to the standard output.
    static void log_fault(const std::string& description);

    deployment& target;
    std::mt19937_64 random;
    steady_time next_fault_at;
    steady_time disk_loss_allowed_at;
    std::vector<timed_fault> active_faults;
};

} // namespace redwingwheel::soak
