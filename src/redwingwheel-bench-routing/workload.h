#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "redwingwheel/request_info.h"

/// Seeded open-loop arrivals of mixed classes.
namespace redwingwheel::bench_routing {

using request::class_count;
using request::request_class;

/// One class of the mixed load.
struct class_profile {
    /// Share of the slot time that the load asks for.
    double work_share = 0.0;
    double mean_ms = 0.0;
    double deadline_ms = 0.0;
};

/// By request_class: price checks, inspections, recounts.
inline constexpr std::array<class_profile, class_count> profiles{{
    {0.2, 5.0, 1'000.0},
    {0.5, 120.0, 4'000.0},
    {0.3, 2'000.0, 20'000.0},
}};

struct arrival {
    double at_ms = 0.0;
    request_class priority = request_class::standard;
    /// Run time on a worker of ordinary speed.
    double run_ms = 0.0;
    /// Run time that the caller declares; off by a factor of up to 4 either way.
    double declared_ms = 0.0;
    std::uint32_t account = 0;
    std::uint32_t entry = 0;
};

/// Arrivals over `seconds` that ask for `load` times `slots` slots, in order of time. The same
/// arguments give the same arrivals.
[[nodiscard]] std::vector<arrival> make_arrivals(std::uint64_t seed, double seconds, double load,
                                                 std::uint32_t slots, std::uint32_t entries);

} // namespace redwingwheel::bench_routing
