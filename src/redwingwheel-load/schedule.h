#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What an open-loop load run sends, and when: decided before the run and independent of answers.
namespace redwingwheel::load {

/// Keeps a run's schedule in memory at a few tens of megabytes.
inline constexpr double max_arrivals = 1'000'000.0;
inline constexpr std::size_t max_body_bytes = std::size_t{1} << 20U;

struct service_load {
    std::string service;
    double rate_per_s = 0.0;
    std::size_t body_bytes = 0;
};

/// Reads "SERVICE:RATE_PER_S:BODY_BYTES,..."; empty when a part is malformed or out of bounds, or
/// a service is named twice.
[[nodiscard]] std::optional<std::vector<service_load>> parse_mix(std::string_view text);

struct arrival {
    /// Intended send time after the start of the run.
    std::chrono::nanoseconds offset{0};
    std::size_t service_index = 0;
    /// Distinct within a run.
    std::uint64_t number = 0;
};

/// Poisson arrivals of every service for `seconds`, in order of time. Each service draws from a
/// generator of its own, so that a change of one rate leaves the other services' arrivals alone.
[[nodiscard]] std::vector<arrival> make_schedule(const std::vector<service_load>& mix,
                                                 double seconds, std::uint64_t seed);

/// The body of arrival `number`: printable, `bytes` long, the same for the same seed.
[[nodiscard]] std::string make_body(std::uint64_t seed, std::uint64_t number, std::size_t bytes);

} // namespace redwingwheel::load
