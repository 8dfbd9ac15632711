#include "redwingwheel/worker_trust.h"

namespace redwingwheel::jobs {

namespace {

/// Consecutive failures after which a worker becomes suspect. A single failure is more often the
/// fault of the job.
constexpr std::uint32_t failures_before_suspicion = 2;

} // namespace

void worker_trust::record_failure(steady_time assigned_at, steady_time now,
                                  milliseconds suspect_duration, std::uint32_t weight)
{
    if (this->on_trial && assigned_at < this->suspected_at) {
        return;
    }
    this->failures += weight;
    if (this->failures >= failures_before_suspicion) {
        this->suspected_at = now;
        this->suspect_until = now + suspect_duration;
        this->on_trial = true;
    }
}

void worker_trust::record_success()
{
    this->failures = 0;
    this->suspect_until = steady_time();
    this->on_trial = false;
}

void worker_trust::record_progress(steady_time assigned_at)
{
    if (this->on_trial && assigned_at >= this->suspect_until) {
        this->record_success();
    }
}

} // namespace redwingwheel::jobs
