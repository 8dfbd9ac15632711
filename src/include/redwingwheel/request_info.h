#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "redwingwheel/clock.h"
#include "redwingwheel/outcome.h"

/// The attributes of a request and the load report of an agent, the inputs to admission and
/// routing.
namespace redwingwheel::request {

/// Priority classes, highest first. The values index the per-class arrays.
enum class request_class : std::uint8_t { interactive, standard, batch };
inline constexpr std::size_t class_count = 3;

[[nodiscard]] std::string_view to_string(request_class priority);

/// The attributes of one request attempt that admission and routing use.
struct request_info {
    attempt_id attempt = 0;
    std::string account;
    std::string service;
    request_class priority = request_class::standard;
    /// Weight of the account within its class in fair queueing; 0 counts as 1.
    std::uint32_t account_weight = 1;
    steady_time deadline;
    /// Declared run time; 0 when not declared. Admission uses the measured average run time of the
    /// service instead as soon as there is one.
    milliseconds expected_duration{0};
    /// Slots occupied while it runs; with 0 it occupies a connection only.
    std::uint32_t slots = 1;
    /// Agent incarnation named in the claim; empty for idempotent work, which has no claim.
    std::optional<incarnation_id> claim_incarnation;
};

/// The load of an agent, sent with answers and polls. Arrays are indexed by request_class.
struct load_report {
    std::uint32_t slots = 0;
    std::array<std::uint32_t, class_count> running{};
    std::array<std::uint32_t, class_count> queued{};
    /// Slots occupied by long-lived tasks.
    std::uint32_t held_slots = 0;
    /// Moving average of the run time, in milliseconds, of attempts that ended as `done`; 0 before
    /// the first one.
    std::array<double, class_count> duration_ms{};
    /// Moving average, from 0 to 1, of the fraction of attempts that ended as `failed` or
    /// `unknown`.
    double error_rate = 0.0;
    MSGPACK_DEFINE(slots, running, queued, held_slots, duration_ms, error_rate)
};

} // namespace redwingwheel::request
