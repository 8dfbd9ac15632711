#include "redwingwheel/duration_history.h"

namespace redwingwheel::jobs {

namespace {

/// The mean duration is not used before this many runs.
constexpr std::uint32_t min_runs = 5;

} // namespace

void duration_history::add(std::int64_t declared_ms, double took_ms)
{
    ++this->count;
    const double deviation = took_ms - this->mean_ms;
    this->mean_ms += deviation / this->count;
    this->squared_deviation += deviation * (took_ms - this->mean_ms);
    const double error = took_ms - static_cast<double>(declared_ms);
    this->squared_error += error * error;
}

double duration_history::predict_ms(std::int64_t declared_ms) const
{
    const double declared = static_cast<double>(declared_ms);
    const double sum = this->squared_deviation + this->squared_error;
    if (this->count < min_runs || sum <= 0.0) {
        return declared;
    }
    const double weight_of_declared = this->squared_deviation / sum;
    return weight_of_declared * declared + (1.0 - weight_of_declared) * this->mean_ms;
}

} // namespace redwingwheel::jobs
