#pragma once

namespace redwingwheel::jobs {

/// Lowest rate of the worker's clock relative to the local one. A lease of L on the worker's clock
/// lasts up to L / 0.98 here.
inline constexpr double min_worker_clock_rate = 0.98;

} // namespace redwingwheel::jobs
