#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/errors.h"
#include "redwingwheel/placement_types.h"

/// Decides which accelerators run which gang. Pure code: it does no I/O and reads time only from
/// the clock that is passed in. The same calls in the same order give the same results.
namespace redwingwheel::placement {

enum class placement_errc {
    never_fits = 1, ///< No state of the announced inventory can hold the job.
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
/// A gang goes queued -> running -> gone. A gang that is told to stop (`reclaim_gang`, `move_gang`)
/// holds its accelerators until `stopped` is called for it; it is then queued again, or refused by
/// the next `decide` when it must not run a second time.
class engine {
public:
    engine(engine_options options, clock_function clock, rule_switches rules = {});
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Adds a worker, or takes back one that was lost; its accelerators are free inventory except
    /// those that a gang still holds because `stopped` has not been called for it.
    /// Errors: invalid_worker (no accelerators, more than 64, a group size that does not divide
    /// them, or another shape or place than before).
    [[nodiscard]] absl::Status add_worker(const worker_spec& worker);

    /// Marks a worker as lost. Gangs with a member on it are broken: `decide` stops the rest.
    /// Errors: unknown_worker.
    [[nodiscard]] absl::Status remove_worker(std::string_view worker);

    /// Nothing new is placed on a draining worker; what runs there goes on. Guaranteed cells are
    /// rebuilt elsewhere where cells exist. Errors: unknown_worker.
    [[nodiscard]] absl::Status set_worker_draining(std::string_view worker, bool draining);

    /// Nothing is placed in a withdrawn data centre; its running gangs go on. A return ramps up
    /// (engine_options::ramp_time). Errors: unknown_data_centre (no worker announced in it).
    [[nodiscard]] absl::Status set_data_centre_state(std::string_view data_centre,
                                                     data_centre_state state);

    /// What is missing for all of `wanted` to be satisfied together from the announced inventory,
    /// lost workers and withdrawn data centres included since they may return; empty when nothing
    /// is. Oldest agreement first. An invalid guarantee counts as missing whole.
    [[nodiscard]] std::vector<shortfall> check_guarantees(std::span<const guarantee> wanted) const;

    /// Puts `wanted` (all guarantees, oldest agreement first) in force at once and assigns their
    /// cells. Cells that are still valid stay; cells in `known` (from the log) are taken first.
    /// Guarantees that cannot be met are in force and reported short.
    /// Errors: invalid_guarantee; nothing changes then.
    [[nodiscard]] absl::Status set_guarantees(std::span<const guarantee> wanted,
                                              std::span<const cell_assignment> known = {});

    /// Queues a job. Errors: invalid_job, duplicate_job, never_fits with the reason. While no
    /// worker at all is announced nothing is refused as never_fits.
    [[nodiscard]] absl::Status submit(const job_spec& job);

    /// Takes over a placement from the log, as a new leader does: call after the workers are added.
    /// Run time counts from now. Errors: invalid_job, duplicate_job, unknown_worker,
    /// conflicting_placement.
    [[nodiscard]] absl::Status restore(const job_spec& job, const gang_placement& placement);

    /// Forgets a job that is queued. A running gang is told to stop by the next `decide` and is
    /// forgotten when `stopped` is called for it. Errors: unknown_job.
    [[nodiscard]] absl::Status cancel(std::string_view job);

    /// A gang has ended by itself; its accelerators are free and its run time enters the history
    /// of its service. Errors: unknown_job.
    [[nodiscard]] absl::Status finish(std::string_view job);

    /// A gang that was told to stop has stopped everywhere, or its lease is over; its accelerators
    /// are free. `checkpointed` says whether it can resume. Errors: unknown_job.
    [[nodiscard]] absl::Status stopped(std::string_view job, bool checkpointed = true);

    /// A task of the gang failed on `worker`. The gang is broken and the worker is blamed.
    /// Errors: unknown_job, unknown_worker.
    [[nodiscard]] absl::Status report_failure(std::string_view job, std::string_view worker,
                                              std::string_view service);

    /// Decides as much as fits into one bounded turn. Call it after changes, and every few hundred
    /// milliseconds for what depends on time. Placements count as held from here on.
    [[nodiscard]] std::vector<decision> decide();

    /// True when the last `decide` hit its bound before it had looked at every queued job.
    [[nodiscard]] bool has_more() const;

    /// The latest decision about a job and why it waits. Errors: unknown_job.
    [[nodiscard]] absl::StatusOr<decision_record> explain(std::string_view job) const;

    /// Counts per data centre and level, sorted by data centre, then level.
    [[nodiscard]] std::vector<level_summary> level_summaries() const;

    /// One entry per guarantee, in order of age.
    [[nodiscard]] std::vector<guarantee_summary> guarantee_summaries() const;

    /// The named cells of all guarantees, for the log and for the status.
    [[nodiscard]] std::vector<cell_assignment> cell_assignments() const;

    /// One entry per announced worker, sorted by name.
    [[nodiscard]] std::vector<worker_summary> worker_summaries() const;

    /// One entry per known job, sorted by name.
    [[nodiscard]] std::vector<job_summary> job_summaries() const;

    struct implementation; ///< Of the library itself.

private:
    std::unique_ptr<implementation> impl;
};

} // namespace redwingwheel::placement
