#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/errors.h"
#include "redwingwheel/placement_types.h"

/// Assigns gangs of tasks to accelerators. The code does no I/O and reads time only from the clock
/// that is passed in, so the same calls at the same times give the same decisions.
namespace redwingwheel::placement {

enum class placement_errc {
    never_fits = 1, ///< Too large even if all announced workers were idle.
    invalid_job,
    duplicate_job,
    unknown_job,
    invalid_worker,
    unknown_worker,
    invalid_guarantee,
    unknown_data_centre,
    conflicting_placement ///< A restored placement overlaps one that is held already.
};

[[nodiscard]] std::string_view error_layer(placement_errc code);
[[nodiscard]] std::string_view error_name(placement_errc code);
[[nodiscard]] absl::StatusCode error_category(placement_errc code);

/// The placement decisions of one region. Not thread-safe: one control thread owns it.
///
/// A job is queued, then running, and is removed when it ends. A gang that is told to stop
/// (`reclaim_gang`, `move_gang`) holds its accelerators until `report_stopped` is called for it.
/// The job is then queued again, or refused by the next `decide` if it must not run a second time.
class engine {
public:
    engine(engine_options options, clock_function clock, rule_switches rules = {});
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Adds a worker, or marks a lost one as present again. Its accelerators are free, except those
    /// of gangs for which `report_stopped` has not been called yet.
    /// Errors: invalid_worker (no name or data centre, no accelerators, more than 64, a group size
    /// that does not divide them, or a known worker with a changed size, group size, rack or data
    /// centre).
    [[nodiscard]] absl::Status add_worker(const worker_spec& worker);

    /// Marks a worker as lost. Gangs with a member on it are broken: the next `decide` stops their
    /// other members.
    /// Errors: unknown_worker.
    [[nodiscard]] absl::Status remove_worker(std::string_view worker);

    /// No gang is started on a draining worker; running gangs continue. Guaranteed cells on it are
    /// reassigned to other workers if the inventory has suitable cells. Errors: unknown_worker.
    [[nodiscard]] absl::Status set_worker_draining(std::string_view worker, bool draining);

    /// No gang is started in a withdrawn data centre; running gangs continue. A data centre that
    /// returns to service takes load gradually (engine_options::ramp_time).
    /// Errors: unknown_data_centre (no worker announced in it).
    [[nodiscard]] absl::Status set_data_centre_state(std::string_view data_centre,
                                                     data_centre_state state);

    /// The cells missing from the announced inventory if all of `wanted` (oldest agreement first)
    /// had to be satisfied together; empty if none are. Lost workers and withdrawn data centres
    /// count as present because they may return. The guarantees are not validated; one with an
    /// unknown home data centre is missing entirely.
    [[nodiscard]] std::vector<shortfall> check_guarantees(std::span<const guarantee> wanted) const;

    /// Replaces all guarantees by `wanted` (oldest agreement first) and assigns their cells. Cells
    /// that are still valid keep their location; locations in `known` (from the log) are preferred
    /// for the others. Guarantees that cannot be met take effect too, and their missing cells are
    /// reported by `guarantee_summaries`.
    /// Errors: invalid_guarantee (empty account, empty or repeated agreement); nothing changes
    /// then.
    [[nodiscard]] absl::Status set_guarantees(std::span<const guarantee> wanted,
                                              std::span<const cell_assignment> known = {});

    /// Queues a job. Errors: invalid_job, duplicate_job, never_fits with the reason; never_fits is
    /// not returned before the first worker is announced.
    [[nodiscard]] absl::Status submit(const job_spec& job);

    /// Restores a running gang from the log, as a new leader does. Call it after the workers have
    /// been added. The run time counts from now. Errors: invalid_job, duplicate_job,
    /// unknown_worker, conflicting_placement (accelerators that are held or do not exist).
    [[nodiscard]] absl::Status restore(const job_spec& job, const gang_placement& placement);

    /// Removes a queued job. A running gang is told to stop by the next `decide` and is removed
    /// when `report_stopped` is called for it. Errors: unknown_job.
    [[nodiscard]] absl::Status cancel(std::string_view job);

    /// Records that a gang has run to its end. Its accelerators become free and its run time is
    /// added to the history of its service. Errors: unknown_job (also when it holds no
    /// accelerators).
    [[nodiscard]] absl::Status report_finished(std::string_view job);

    /// Records that all members of a gang have stopped or that its lease has ended. Its
    /// accelerators become free. `checkpointed`: the gang saved its state and can resume from it.
    /// Errors: unknown_job (also when it holds no accelerators).
    [[nodiscard]] absl::Status report_stopped(std::string_view job, bool checkpointed = true);

    /// Records that a task of the gang failed on `worker`. The gang is broken and the failure
    /// counts towards the quarantine of the worker. Errors: unknown_job, unknown_worker.
    [[nodiscard]] absl::Status report_failure(std::string_view job, std::string_view worker,
                                              std::string_view service);

    /// Makes a bounded number of decisions (max_starts_per_decide, max_scanned_per_decide). Call it
    /// after changes, and every few hundred milliseconds for rules that depend on time. The
    /// accelerators of returned placements are held from then on.
    [[nodiscard]] std::vector<decision> decide();

    /// True if the last `decide` reached one of its bounds before it had examined every queued job.
    [[nodiscard]] bool has_more() const;

    /// The latest decision about a job; for a queued job also why it does not start.
    /// Errors: unknown_job.
    [[nodiscard]] absl::StatusOr<decision_record> explain(std::string_view job) const;

    /// Counts per data centre and level, sorted by data centre, then level.
    [[nodiscard]] std::vector<level_summary> level_summaries() const;

    /// One entry per guarantee, oldest agreement first.
    [[nodiscard]] std::vector<guarantee_summary> guarantee_summaries() const;

    /// The cells assigned to all guarantees, for the log and for the status.
    [[nodiscard]] std::vector<cell_assignment> cell_assignments() const;

    /// One entry per announced worker, sorted by name.
    [[nodiscard]] std::vector<worker_summary> worker_summaries() const;

    /// One entry per known job, sorted by name.
    [[nodiscard]] std::vector<job_summary> job_summaries() const;

    struct implementation; ///< For use by the library's own source files.

private:
    std::unique_ptr<implementation> impl;
};

} // namespace redwingwheel::placement
