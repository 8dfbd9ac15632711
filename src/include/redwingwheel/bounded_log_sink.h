#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <spdlog/sinks/sink.h>

#include "redwingwheel/clock.h"

namespace redwingwheel::logs {

struct log_limits {
    /// Lines of one kind (`event=NAME`) that are written in a second; operators read a few hundred.
    std::uint32_t lines_per_second = 200;
    /// How often the number of lines that were left out is written.
    milliseconds report_period{1000};
};

/// Passes lines on to another sink, a bounded number of each kind in a second. What was left out is
/// counted and reported as `event=lines_left_out of=NAME count=N`.
class bounded_log_sink : public spdlog::sinks::sink {
public:
    bounded_log_sink(std::shared_ptr<spdlog::sinks::sink> target, const log_limits& limits,
                     clock_function clock);

    void log(const spdlog::details::log_msg& message) override;
    void flush() override;
    void set_pattern(const std::string& pattern) override;
    void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override;

private:
    struct kind_budget {
        steady_time second_began;
        std::uint32_t written = 0;
        std::uint64_t left_out = 0;
    };

    void report(std::string_view kind, kind_budget& budget);

    std::shared_ptr<spdlog::sinks::sink> target;
    log_limits limits;
    clock_function clock;
    std::mutex lock;
    std::map<std::string, kind_budget, std::less<>> kinds;
};

/// The value of `event=` in a line; empty when there is none.
[[nodiscard]] std::string_view kind_of(std::string_view line);

} // namespace redwingwheel::logs
