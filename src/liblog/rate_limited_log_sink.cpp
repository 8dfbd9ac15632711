#include "redwingwheel/rate_limited_log_sink.h"

#include <fmt/format.h>
#include <spdlog/details/log_msg.h>
#include <spdlog/formatter.h>

namespace redwingwheel::logs {

std::string_view event_name_of(std::string_view line)
{
    constexpr std::string_view key = "event=";
    const std::size_t begin = line.find(key);
    if (begin == std::string_view::npos) {
        return {};
    }
    const std::string_view value = line.substr(begin + key.size());
    return value.substr(0, value.find(' '));
}

rate_limited_log_sink::rate_limited_log_sink(std::shared_ptr<spdlog::sinks::sink> next,
                                             const log_rate_limits& rate_limits, clock_function now)
    : target(std::move(next)), limits(rate_limits), clock(std::move(now))
{
}

void rate_limited_log_sink::log(const spdlog::details::log_msg& message)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    const std::string_view event_name =
        event_name_of(std::string_view(message.payload.data(), message.payload.size()));
    const steady_time now = this->clock();
    const auto found = this->budgets.find(event_name);
    event_budget& budget =
        found != this->budgets.end() ? found->second : this->budgets[std::string(event_name)];
    if (now >= budget.period_start + this->limits.report_period) {
        this->report(event_name, budget);
        budget.period_start = now;
        budget.written_lines = 0;
    }
    if (budget.written_lines >= this->limits.max_lines_per_period) {
        ++budget.suppressed;
        return;
    }
    ++budget.written_lines;
    this->target->log(message);
}

void rate_limited_log_sink::report(std::string_view event_name, event_budget& budget)
{
    if (budget.suppressed == 0) {
        return;
    }
    const std::string text =
        fmt::format("event=lines_left_out of={} count={}", event_name, budget.suppressed);
    budget.suppressed = 0;
    this->target->log(
        spdlog::details::log_msg(spdlog::string_view_t("redwingwheel"), spdlog::level::warn, text));
}

void rate_limited_log_sink::flush()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->target->flush();
}

void rate_limited_log_sink::set_pattern(const std::string& pattern)
{
    this->target->set_pattern(pattern);
}

void rate_limited_log_sink::set_formatter(std::unique_ptr<spdlog::formatter> formatter)
{
    this->target->set_formatter(std::move(formatter));
}

} // namespace redwingwheel::logs
