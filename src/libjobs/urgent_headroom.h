#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"

/// Workers that are kept free of ordinary work for urgent steps. Does no input or output.
namespace redwingwheel::jobs {

/// Limits of the headroom.
struct headroom_options {
    /// Largest share of the accelerators that is kept free of ordinary work; 0: none is.
    double max_share = 0.0;
    /// Ordinary work is kept out only while more than this share of the accelerators is in use.
    double min_use = 0.5;
    /// The peak of the demand halves in this time.
    milliseconds peak_half_life{8000};
};

/// A worker as far as the headroom is concerned.
struct headroom_worker {
    std::string_view rack;
    bool usable = false; ///< May get new runs.
    std::int64_t accelerators = 0;
    std::int64_t ordinary_use = 0; ///< Accelerators of runs that are not urgent.
    std::int64_t urgent_use = 0;
    int pace_class = 0;
};

/// Decides which workers ordinary steps leave to urgent ones.
///
/// Answers the load of urgent jobs whose objective leaves less time than it takes to stop other
/// runs for them, beside ordinary jobs that can wait several times longer: with all workers full of
/// ordinary work each urgent job would come late, and its evictions would throw work away. The
/// headroom follows the demand of the last seconds and consists of whole racks, the fast ones
/// first, since gangs need a rack of their own. It only keeps new ordinary work out; what runs
/// there ends by itself.
class urgent_headroom {
public:
    explicit urgent_headroom(const headroom_options& options);

    /// Forgets the demand seen so far.
    void reset();

    /// Returns the positions of the workers that are kept free. `waiting` is the number of
    /// accelerators for which steps with too little time for evictions wait; `running` those that
    /// such steps use.
    [[nodiscard]] std::vector<std::size_t> choose(std::span<const headroom_worker> workers,
                                                  std::int64_t waiting, std::int64_t running,
                                                  steady_time now);

    /// Accelerators that urgent work is expected to need at once.
    [[nodiscard]] double expected_demand() const { return this->peak; }

private:
    void update_peak(std::int64_t demand, steady_time now);

    headroom_options options;
    double peak = 0.0;
    steady_time peak_updated_at;
    std::set<std::string, std::less<>> racks; ///< Chosen last; kept while they are suitable.
};

} // namespace redwingwheel::jobs
