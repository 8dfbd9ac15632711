#include "redwingwheel/bounded_log_sink.h"

#include <fmt/format.h>
#include <spdlog/details/log_msg.h>
#include <spdlog/formatter.h>

namespace redwingwheel::logs {

std::string_view kind_of(std::string_view line)
{
    constexpr std::string_view key = "event=";
    const std::size_t begin = line.find(key);
    if (begin == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = line.substr(begin + key.size());
    return rest.substr(0, rest.find(' '));
}

bounded_log_sink::bounded_log_sink(std::shared_ptr<spdlog::sinks::sink> to,
                                   const log_limits& chosen, clock_function now)
    : target(std::move(to)), limits(chosen), clock(std::move(now))
{
}

void bounded_log_sink::log(const spdlog::details::log_msg& message)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    const std::string_view kind =
        kind_of(std::string_view(message.payload.data(), message.payload.size()));
    const steady_time now = this->clock();
    const auto found = this->kinds.find(kind);
    kind_budget& budget =
        found != this->kinds.end() ? found->second : this->kinds[std::string(kind)];
    if (now >= budget.second_began + this->limits.report_period) {
        this->report(kind, budget);
        budget.second_began = now;
        budget.written = 0;
    }
    if (budget.written >= this->limits.lines_per_second) {
        ++budget.left_out;
        return;
    }
    ++budget.written;
    this->target->log(message);
}

void bounded_log_sink::report(std::string_view kind, kind_budget& budget)
{
    if (budget.left_out == 0) {
        return;
    }
    const std::string text =
        fmt::format("event=lines_left_out of={} count={}", kind, budget.left_out);
    budget.left_out = 0;
    this->target->log(
        spdlog::details::log_msg(spdlog::string_view_t("redwingwheel"), spdlog::level::warn, text));
}

void bounded_log_sink::flush()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->target->flush();
}

void bounded_log_sink::set_pattern(const std::string& pattern)
{
    this->target->set_pattern(pattern);
}

void bounded_log_sink::set_formatter(std::unique_ptr<spdlog::formatter> formatter)
{
    this->target->set_formatter(std::move(formatter));
}

} // namespace redwingwheel::logs
