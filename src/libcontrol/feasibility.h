#pragma once

#include <chrono>
#include <cstdint>

#include "redwingwheel/controller.h"

namespace redwingwheel::control {

/// The properties of a worker that placement uses.
[[nodiscard]] placement::worker_spec spec_of(const messages::worker_announcement& worker);

/// The day in UTC of a time in Unix milliseconds.
[[nodiscard]] std::chrono::sys_days day_of(std::int64_t unix_ms);

} // namespace redwingwheel::control
