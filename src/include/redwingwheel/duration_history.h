#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// Corrects declared durations by what similar runs took.
namespace redwingwheel::jobs {

/// How long the runs of one queue took, and how far their declared durations were off.
class duration_history {
public:
    /// Notes a run that was done.
    void add(std::int64_t declared_ms, double took_ms);

    /// The declared duration and the mean of the queue, each weighed by the inverse of its mean
    /// squared error. The declared duration alone while there are too few runs to tell.
    [[nodiscard]] double predict_ms(std::int64_t declared_ms) const;

private:
    std::uint32_t count = 0;
    double mean_ms = 0.0;
    double squared_deviation = 0.0; ///< Sum over all runs, from the mean.
    double squared_error = 0.0;     ///< Sum over all runs, of the declared duration.
};

} // namespace redwingwheel::jobs
