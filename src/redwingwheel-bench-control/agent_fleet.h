#pragma once

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "redwingwheel/boot_timer.h"

#include "control_under_test.h"

namespace redwingwheel::control::bench {

/// The worker of index `index` as its agent announces it: eight accelerators, three workers to a
/// rack, three data centres.
[[nodiscard]] messages::worker_announcement announcement_of(std::size_t index);

/// Agents that poll a control replica as the agent service does, each over a connection of its own,
/// and carry out gang commands at once. All run on one thread.
class agent_fleet {
public:
    agent_fleet(const wire::address& control, std::size_t count);
    ~agent_fleet();
    agent_fleet(const agent_fleet&) = delete;
    agent_fleet& operator=(const agent_fleet&) = delete;

    void start();

    struct progress {
        std::uint64_t polls_answered = 0;
        std::uint64_t polls_failed = 0;
        std::size_t permitted = 0; ///< Agents that were granted a permit.
        std::size_t tasks_running = 0;
        std::uint64_t lowest_revision = 0;
        steady_time oldest_answer; ///< When the agent that waits longest was last answered.
    };
    [[nodiscard]] progress read();

    /// The thread that carries the agents; callers may share it.
    [[nodiscard]] kernel::traffic_loop& traffic_loop() { return this->traffic; }

private:
    struct agent;

    void poll(agent& of);
    void on_answer(agent& of, const absl::StatusOr<std::string>& body);
    [[nodiscard]] bool carry_out(agent& of, const membership::gang_command& command);
    void poll_after(agent& of, milliseconds wait);
    [[nodiscard]] milliseconds jittered_period();

    kernel::traffic_loop traffic;
    std::vector<std::unique_ptr<agent>> agents;
    std::mt19937_64 random{1};
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
};

} // namespace redwingwheel::control::bench
