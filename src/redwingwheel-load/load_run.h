#pragma once

#include <set>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"
#include "results.h"
#include "schedule.h"

namespace redwingwheel::load {

struct run_settings {
    /// IP:PORT; requests go to them in turn.
    std::vector<std::string> entries;
    std::string token;
    std::vector<service_load> mix;
    /// Services whose requests carry an idempotency key.
    std::set<std::string, std::less<>> keyed;
    double seconds = 10.0;
    /// Sent before the measured time, and kept out of the results.
    double warm_up_s = 2.0;
    std::uint64_t seed = 1;
    milliseconds deadline{2000};
    /// The addresses are backend servers: calls go to /request, with an attempt per request.
    bool direct = false;
};

struct run_outcome {
    std::vector<service_results> measured;
    /// Counts of the warm-up, whose wrong and lost answers count as faults, too.
    service_results warm_up;
    /// How far behind the schedule the last-sent request was at most, in ms: a sender that cannot
    /// keep up shows here. Latencies include it.
    double most_behind_ms = 0.0;
};

/// Sends the whole schedule and waits for the answers. Ends at the latest some seconds after the
/// deadline of the last request; what is then open counts as lost.
[[nodiscard]] run_outcome run_load(const run_settings& settings);

} // namespace redwingwheel::load
