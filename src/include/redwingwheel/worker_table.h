#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/permit.h"

namespace redwingwheel::membership {

/// Result of recording a poll.
struct poll_result {
    /// False for a replayed or reordered poll, which must not be answered with a permit.
    bool accepted = false;
    /// The agent has restarted, or polls for the first time.
    bool new_incarnation = false;
    /// The worker was marked lost before this poll.
    bool returned = false;
};

struct worker_view {
    std::string worker;
    /// 0 until the first poll under this leader.
    std::uint64_t incarnation = 0;
    /// Sequence number of the last accepted poll.
    std::uint64_t sequence = 0;
    /// Time of the last accepted poll, or of `add` before the first.
    steady_time last_poll{};
    /// No poll was accepted within one permit lifetime.
    bool lost = false;
};

/// Liveness of the workers at the leader, rebuilt from polls after a leader change.
class worker_table {
public:
    explicit worker_table(clock_function clock, permit_options options = {});

    /// Removes all workers; a new leader then calls `add` for each worker of the inventory.
    void clear() { this->workers.clear(); }

    /// Adds a worker that has not polled yet. It counts as lost after one permit lifetime without a
    /// poll. No effect when the worker is known.
    void add(std::string_view worker);

    /// Removes a worker that was taken out of the inventory. Unknown workers are ignored.
    void remove(std::string_view worker);

    /// Records a poll; adds the worker if it is unknown. The sequence must increase within an
    /// incarnation, also when another incarnation has polled in between: incarnations are random
    /// numbers, so a delayed first poll of a former process looks like a restart, and the current
    /// process must be accepted again after it.
    [[nodiscard]] poll_result record_poll(std::string_view worker, std::uint64_t incarnation,
                                          std::uint64_t sequence);

    /// Marks and returns the workers that became lost since the last call: no poll within one
    /// permit lifetime.
    [[nodiscard]] std::vector<std::string> take_lost();

    [[nodiscard]] std::vector<worker_view> list() const;
    /// Null when the worker is unknown. Valid until the next change.
    [[nodiscard]] const worker_view* find(std::string_view worker) const;

private:
    struct former_incarnation {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    struct worker_state {
        worker_view view;
        /// The most recent incarnations before the current one, oldest first.
        std::vector<former_incarnation> former;
    };
    /// False when the poll is a replay from a former incarnation.
    static bool accept_incarnation(worker_state& known, std::uint64_t incarnation,
                                   std::uint64_t sequence);

    clock_function clock;
    permit_options options;
    std::map<std::string, worker_state, std::less<>> workers;
};

} // namespace redwingwheel::membership
