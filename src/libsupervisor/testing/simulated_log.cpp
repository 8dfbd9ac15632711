#include "simulated_log.h"

#include <iostream>

#include <fmt/format.h>
#include <spdlog/sinks/base_sink.h>

namespace redwingwheel::jobs::testing {

namespace {

class printing_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit printing_sink(clock_function now) : clock(std::move(now)), began_at(this->clock()) {}

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        const std::chrono::duration<double> since = this->clock() - this->began_at;
        std::cout << fmt::format("{:8.3f} {}\n", since.count(),
                                 fmt::string_view(message.payload.data(), message.payload.size()));
    }
    void flush_() override {}

private:
    clock_function clock;
    steady_time began_at;
};

} // namespace

simulated_log::simulated_log(clock_function clock, bool print) : replaced(spdlog::default_logger())
{
    const auto logger = std::make_shared<spdlog::logger>(
        "simulation", std::make_shared<printing_sink>(std::move(clock)));
    logger->set_level(print ? spdlog::level::info : spdlog::level::off);
    spdlog::set_default_logger(logger);
}

simulated_log::~simulated_log()
{
    spdlog::set_default_logger(this->replaced);
}

} // namespace redwingwheel::jobs::testing
