#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "redwingwheel/clock.h"

/// Input and output types of the placement engine.
namespace redwingwheel::placement {

/// Levels of the cell tree, smallest first. A host is one worker; a group is a set of adjacent
/// accelerators in a host.
enum class cell_level { accelerator, group, host, rack, data_centre };

enum class job_priority { urgent, normal, low };

enum class data_centre_state { in_service, withdrawn };

[[nodiscard]] std::string_view name_of(cell_level level);
[[nodiscard]] std::string_view name_of(job_priority priority);

/// Bit n stands for accelerator n of a worker.
using accelerator_mask = std::uint64_t;

constexpr std::uint32_t max_accelerators_per_worker = 64;
constexpr std::uint32_t max_gang_members = 512;

struct worker_spec {
    std::string name;
    std::string data_centre;
    std::string rack; ///< Unique within its data centre.
    std::uint32_t accelerators = 0;
    std::uint32_t accelerators_per_group = 0; ///< Divides `accelerators`; 0: one group of all.
};

/// Entitles an account to `count` cells of one level.
struct guarantee {
    std::string agreement; ///< Unique.
    std::string account;
    cell_level level = cell_level::accelerator;
    std::uint32_t count = 0;
    /// Home of the cells; empty: any. Other data centres are used only while the home cannot
    /// provide a complete cell.
    std::string data_centre;
};

struct job_spec {
    std::string id;
    std::string account;
    std::string service;
    std::uint32_t members = 1;
    std::uint32_t accelerators_per_member = 1;
    /// All members are placed in one cell of this level. A gang never spans data centres.
    cell_level adjacency = cell_level::data_centre;
    job_priority priority = job_priority::normal;
    bool idempotent = false;
    bool can_checkpoint = false;
    /// As declared by the submitter; 0 if unknown. Affects queue order and backfill only; no
    /// guarantee depends on it.
    milliseconds declared_run_time{0};
};

struct member_placement {
    std::uint32_t member = 0;
    std::string worker;
    accelerator_mask accelerators = 0;
    friend bool operator==(const member_placement&, const member_placement&) = default;
};

struct gang_placement {
    std::string job;
    std::vector<member_placement> members; ///< In order of member.
    bool borrowed = false;                 ///< Uses guaranteed cells that the job does not own.
    bool uses_guarantee = false;           ///< Uses guaranteed cells that the job owns.
};

/// Start all members of a gang.
struct start_gang {
    gang_placement placement;
};

/// Ask the gang to checkpoint, then stop it; call `report_stopped` when it has ended.
struct reclaim_gang {
    std::string job;
    steady_time checkpoint_deadline; ///< Stop without a checkpoint if this is not in the future.
    steady_time stop_deadline;       ///< Latest time to send the stop.
    std::string for_job;             ///< Job that waits for the accelerators; empty: none.
    std::string reason;
    /// `for_job` reclaims its account's guaranteed cells; the reclaim time bound applies.
    bool for_guarantee = false;
};

/// The job has been removed and will not run (again).
struct refuse_job {
    std::string job;
    std::string reason;
};

/// Like reclaim_gang, for a gang that leaves a withdrawn data centre. Accelerators elsewhere are
/// claimed for it; it starts there after `report_stopped` has been called.
struct move_gang {
    std::string job;
    steady_time checkpoint_deadline;
    steady_time stop_deadline;
    std::string reason;
};

using action = std::variant<start_gang, reclaim_gang, refuse_job, move_gang>;

struct refused_candidate {
    std::string location; ///< A data centre, "data centre/rack" or a worker.
    std::string reason;
};

/// A decision in the form in which it is logged and explained.
struct decision_record {
    std::string job;
    std::string outcome; ///< started, reclaimed, refused, moved, reserved, waiting
    std::vector<std::string> workers;
    std::string reason;
    std::vector<refused_candidate> refused; ///< A limited number of entries.
};

struct decision {
    action requested_action;
    decision_record record;
};

/// Cells of a guarantee that the inventory cannot provide.
struct shortfall {
    std::string agreement;
    std::string account;
    std::string data_centre; ///< Home of the guarantee; empty: any.
    cell_level level = cell_level::accelerator;
    std::uint32_t wanted = 0;
    std::uint32_t missing = 0;
};

/// A cell assigned to a guarantee.
struct cell_assignment {
    std::string agreement;
    std::uint32_t index = 0; ///< 0 .. count-1 within the agreement.
    cell_level level = cell_level::accelerator;
    std::string data_centre;
    std::string rack;                  ///< Empty at level data_centre.
    std::string worker;                ///< Empty above level host.
    accelerator_mask accelerators = 0; ///< 0 above level host.
    std::uint64_t version = 0;         ///< Increases with every reassignment in this engine.
    bool whole = true; ///< False: some worker of the rack or data centre is not available.
};

struct guarantee_summary {
    guarantee terms;
    std::uint32_t whole = 0;  ///< Complete cells that the owner gets within the reclaim time bound.
    std::uint32_t pinned = 0; ///< Complete cells with borrowers that must not be stopped.
    std::uint32_t missing = 0; ///< Cells that the available inventory cannot provide completely.
};

/// Cells of one level in a data centre.
struct level_summary {
    std::string data_centre;
    cell_level level = cell_level::accelerator;
    std::uint32_t cells = 0;      ///< On workers that are not lost.
    std::uint32_t free = 0;       ///< Cells without any held accelerator.
    std::uint32_t lent = 0;       ///< Guaranteed cells of this level in which a borrower runs.
    std::uint32_t guaranteed = 0; ///< Guaranteed cells of this level.
    std::uint32_t whole = 0;      ///< Guaranteed cells that their owner gets within the bound.
    std::uint32_t quarantined_workers = 0; ///< Of the data centre; repeated for every level.
};

struct worker_summary {
    worker_spec worker;
    bool lost = false;
    bool quarantined = false;
    accelerator_mask held = 0; ///< Accelerators on which gangs run or stop.
};

enum class job_state { queued, reserved, running, stopping };

struct job_summary {
    job_spec job;
    job_state state = job_state::queued;
    gang_placement placement; ///< Empty unless running or stopping.
};

/// Limits and durations of the placement rules.
struct engine_options {
    milliseconds checkpoint_grace{1000};    ///< Time from a stop request to the stop.
    milliseconds normal_reclaim_wait{2000}; ///< A normal job waits this long before it reclaims.
    milliseconds ramp_time{10000};          ///< Duration of the ramp after a data centre returns.
    std::uint32_t ramp_start_percent = 10;  ///< Usable share at the start of the ramp.
    /// Reservations for large jobs that exist at the same time; one more is allowed for every three
    /// data centres after the first. More than one would leave too many accelerators idle in a
    /// small region.
    std::uint32_t max_reservations = 1;
    std::uint32_t reservation_percent = 50; ///< Largest share of the inventory that is reserved.
    milliseconds reservation_wait{2000};    ///< A large job waits this long before it reserves.
    std::uint32_t quarantine_percent = 10; ///< Of a data centre's workers, but at least one worker.
    std::uint32_t quarantine_min_services = 2; ///< Failed services that quarantine a worker.
    milliseconds quarantine_time{600000};      ///< After this the worker is used again.
    std::uint32_t max_failed_workers = 3;      ///< A job that failed on so many workers is refused.
    std::uint32_t max_starts_per_decide = 64;  ///< Jobs started in one call.
    std::uint32_t max_scanned_per_decide = 512; ///< Queued jobs examined in one call.
    /// Gangs that can checkpoint and have at least this expected run time left are moved out of a
    /// withdrawn data centre if they fit elsewhere. Shorter ones would end before the move is done.
    milliseconds min_evacuation_run_time{30000};
};

/// Disables single rules so that tests can verify that a violation is detected. Tests only.
struct rule_switches {
    bool close_reclaimed_cells = true; ///< No new borrower in a cell that is being reclaimed.
    bool lend_only_stoppable = true;   ///< Borrowers can checkpoint or are idempotent.
    bool whole_gangs = true;           ///< A gang starts with all of its members.
    bool respect_withdrawal = true;    ///< No gang starts in a withdrawn data centre.
    bool bound_quarantine = true;      ///< The quarantine stays within quarantine_percent.
    bool wait_for_stop = true;         ///< An owner starts only after the borrowers have stopped.
    bool never_rerun = true;           ///< Non-idempotent work never runs twice.
    bool rebuild_lost_cells = true;    ///< Cells of lost workers are assigned elsewhere.
};

} // namespace redwingwheel::placement
