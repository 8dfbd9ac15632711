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

/// A request and an agent's load as the decisions see them.
namespace redwingwheel::request {

/// Order of precedence. The numbers index the per-class arrays below.
enum class request_class : std::uint8_t { interactive, standard, batch };
inline constexpr std::size_t class_count = 3;

[[nodiscard]] std::string_view to_string(request_class priority);

/// One request as the decisions see it.
struct request_info {
    attempt_id attempt = 0;
    std::string account;
    std::string service;
    request_class priority = request_class::standard;
    /// Share of the account within its class; values below 1 count as 1.
    std::uint32_t account_weight = 1;
    steady_time deadline;
    /// Declared run time; 0 when not declared. History of the service replaces it once there is
    /// any.
    milliseconds expected_duration{0};
    /// Slots taken while it runs; 0 takes a connection only.
    std::uint32_t slots = 1;
    /// Incarnation named by the claim; empty for idempotent work, which has no claim.
    std::optional<incarnation_id> claim_incarnation;
};

/// The load of an agent as it travels in answers and polls. Arrays are by request_class.
struct load_report {
    std::uint32_t slots = 0;
    std::array<std::uint32_t, class_count> running{};
    std::array<std::uint32_t, class_count> queued{};
    /// Slots held by long-lived tasks.
    std::uint32_t held_slots = 0;
    /// Moving average of the run time in milliseconds of attempts that ended as done; 0 before any.
    std::array<double, class_count> duration_ms{};
    /// Moving average of the share of attempts that ended as failed or unknown.
    double error_rate = 0.0;
    MSGPACK_DEFINE(slots, running, queued, held_slots, duration_ms, error_rate)
};

} // namespace redwingwheel::request
