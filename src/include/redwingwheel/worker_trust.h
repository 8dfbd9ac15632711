#pragma once

#include <cstdint>

#include "redwingwheel/clock.h"

namespace redwingwheel::jobs {

/// How far a worker is trusted with new runs, from how its runs have ended.
///
/// Answers the load of a worker that fails what it starts for some seconds: it is suspect after
/// repeated failures, then on trial with one run at a time, and trusted again as soon as a run has
/// ended well or has progressed. Its failures cost one run for each suspicion, and a worker that is
/// sound again is back within one.
class worker_trust {
public:
    /// Records a failed run, which counts `weight` times. Runs that were assigned before the last
    /// suspicion began tell nothing new: they failed together with those that caused it.
    void record_failure(steady_time assigned_at, steady_time now, milliseconds suspect_duration,
                        std::uint32_t weight = 1);

    /// Records that a run has ended well, or has progressed, and when it was assigned. Progress
    /// counts only for runs that were assigned after the last suspicion.
    void record_success();
    void record_progress(steady_time assigned_at);

    /// The worker gets no new runs while other workers suffice.
    [[nodiscard]] bool is_suspect(steady_time now) const { return now < this->suspect_until; }

    /// The worker gets one new run at a time.
    [[nodiscard]] bool is_on_trial(steady_time now) const
    {
        return this->on_trial && !this->is_suspect(now);
    }

    /// When the last suspicion has ended or will end.
    [[nodiscard]] steady_time trial_since() const { return this->suspect_until; }

private:
    std::uint32_t failures = 0; ///< Since the last success.
    steady_time suspected_at;
    steady_time suspect_until;
    bool on_trial = false;
};

} // namespace redwingwheel::jobs
