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

/// What a poll meant for the worker table.
struct poll_verdict {
    /// False for a replayed or reordered poll, which must not be answered with a permit.
    bool accepted = false;
    /// The agent has restarted, or polls for the first time.
    bool new_incarnation = false;
    /// The worker was lost and is back.
    bool returned = false;
};

struct worker_view {
    std::string worker;
    /// 0 until the first poll under this leader.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    steady_time last_poll{};
    bool lost = false;
};

/// Liveness of the workers at the leader, rebuilt from polls after a leader change.
class worker_table {
public:
    explicit worker_table(clock_function clock, permit_options options = {});

    /// Forgets all workers; a new leader then calls `expect` for each worker of the inventory.
    void clear() { this->workers.clear(); }

    /// Makes a worker known that has not polled yet. It is lost after one permit life without poll.
    void expect(std::string_view worker);

    /// Forgets a worker that was taken out of the inventory.
    void forget(std::string_view worker);

    /// Notes a poll. Within an incarnation the sequence must rise, also when another incarnation
    /// has polled in between: incarnations are random numbers, so a late first poll of a former
    /// process can look like a restart, and the living process must be able to come back after it.
    [[nodiscard]] poll_verdict poll(std::string_view worker, std::uint64_t incarnation,
                                    std::uint64_t sequence);

    /// The workers that became lost since the last call: no poll within the permit life.
    [[nodiscard]] std::vector<std::string> take_lost();

    [[nodiscard]] std::vector<worker_view> list() const;
    /// Null when the worker is unknown. Valid until the next change.
    [[nodiscard]] const worker_view* find(std::string_view worker) const;

private:
    struct former_incarnation {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    struct entry {
        worker_view view;
        std::vector<former_incarnation> former;
    };
    static bool change_incarnation(entry& known, std::uint64_t incarnation, std::uint64_t sequence);

    clock_function clock;
    permit_options options;
    std::map<std::string, entry, std::less<>> workers;
};

} // namespace redwingwheel::membership
