#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <spdlog/sinks/sink.h>

#include "redwingwheel/clock.h"

namespace redwingwheel::logs {

struct log_rate_limits {
    /// Lines written per event name (`event=NAME`) and report period; operators can read a few
    /// hundred lines per second.
    std::uint32_t max_lines_per_period = 200;
    /// The limit applies to each period of this length. The number of suppressed lines is reported
    /// with the first line of the same event name after the period.
    milliseconds report_period{1000};
};

/// Forwards lines to another sink, up to a limit for each event name. Suppressed lines are counted
/// and reported as `event=lines_left_out of=NAME count=N`.
class rate_limited_log_sink : public spdlog::sinks::sink {
public:
    rate_limited_log_sink(std::shared_ptr<spdlog::sinks::sink> target,
                          const log_rate_limits& limits, clock_function clock);

    void log(const spdlog::details::log_msg& message) override;
    void flush() override;
    void set_pattern(const std::string& pattern) override;
    void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override;

private:
    struct event_budget {
        steady_time period_start;
        std::uint32_t written_lines = 0;
        std::uint64_t suppressed = 0;
    };

    void report(std::string_view event_name, event_budget& budget);

    std::shared_ptr<spdlog::sinks::sink> target;
    log_rate_limits limits;
    clock_function clock;
    std::mutex lock;
    std::map<std::string, event_budget, std::less<>> budgets;
};

/// Returns the value of `event=` in a line; empty when the line has none.
[[nodiscard]] std::string_view event_name_of(std::string_view line);

} // namespace redwingwheel::logs
