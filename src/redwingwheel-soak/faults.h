#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "deployment.h"
#include "redwingwheel/clock.h"

namespace redwingwheel::soak {

/// Draws faults and injects them from outside the processes. At most one disk is lost before its
/// replica has had time to catch up, as the deployment is set up to bear.
class fault_plan {
public:
    fault_plan(deployment& on, std::uint64_t seed);

    /// Begins and ends what is due. Call often.
    void advance();

    /// Ends all faults that last.
    void end_all();

private:
    struct lasting_fault {
        steady_time until;
        std::function<void()> end;
    };

    void strike();
    void pause(std::vector<child_process*> processes, milliseconds by);
    void last(milliseconds by, std::function<void()> end);
    [[nodiscard]] std::size_t draw(std::size_t below);
    [[nodiscard]] milliseconds draw_time(milliseconds from, milliseconds to);
    static void say(const std::string& what);

    deployment& target;
    std::mt19937_64 random;
    steady_time next_strike;
    steady_time disk_loss_allowed_at;
    std::vector<lasting_fault> lasting;
};

} // namespace redwingwheel::soak
