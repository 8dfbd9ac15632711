#pragma once

#include <memory>

#include <spdlog/spdlog.h>

#include "redwingwheel/clock.h"

namespace redwingwheel::jobs::testing {

/// Replaces the process's log while it exists: prints with the simulated time, or drops all lines.
class simulated_log {
public:
    simulated_log(clock_function clock, bool print);
    ~simulated_log();
    simulated_log(const simulated_log&) = delete;
    simulated_log& operator=(const simulated_log&) = delete;

private:
    std::shared_ptr<spdlog::logger> replaced;
};

} // namespace redwingwheel::jobs::testing
