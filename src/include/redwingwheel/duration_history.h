#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// Corrects the declared durations of runs with the durations of earlier runs.
namespace redwingwheel::jobs {

/// Statistics of the run durations of one queue and of the errors of their declared durations.
class duration_history {
public:
    /// Adds a completed run.
    void add(std::int64_t declared_ms, double took_ms);

    /// Returns the average of the declared duration and the queue's mean duration, each weighted by
    /// the inverse of its mean squared error. Returns `declared_ms` unchanged while there are too
    /// few runs for a mean, and when all errors are 0.
    [[nodiscard]] double predict_ms(std::int64_t declared_ms) const;

private:
    std::uint32_t count = 0;
    double mean_ms = 0.0;
    double squared_deviation = 0.0; ///< Sum of the squared deviations from the mean.
    double squared_error = 0.0;     ///< Sum of the squared errors of the declared durations.
};

} // namespace redwingwheel::jobs
