#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "redwingwheel/clock.h"

/// What the placement decisions take and return.
namespace redwingwheel::placement {

/// Levels of the cell tree, smallest first. A group is a set of adjacent accelerators in a host.
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
    std::uint32_t accelerators_per_group = 0; ///< Divides `accelerators`; 0: one group.
};

/// `count` cells of one level for an account.
struct guarantee {
    std::string agreement; ///< Unique.
    std::string account;
    cell_level level = cell_level::accelerator;
    std::uint32_t count = 0;
    std::string data_centre; ///< Home of the cells; empty: any. Used elsewhere while home is out.
};

struct job_spec {
    std::string id;
    std::string account;
    std::string service;
    std::uint32_t members = 1;
    std::uint32_t accelerators_per_member = 1;
    /// All members lie inside one cell of this level. A gang never spans data centres.
    cell_level adjacency = cell_level::data_centre;
    job_priority priority = job_priority::normal;
    bool idempotent = false;
    bool can_checkpoint = false;
    /// As declared by the submitter; used for order and backfill, never for safety.
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
    bool borrowed = false;                 ///< Some accelerators are lent from a guarantee.
    bool uses_guarantee = false;           ///< Some accelerators are the account's own guarantee.
};

/// Start all members of a gang.
struct start_gang {
    gang_placement placement;
};

/// Ask the gang to checkpoint, then stop it; call `stopped` when it has ended.
struct reclaim_gang {
    std::string job;
    steady_time checkpoint_deadline; ///< Not later than now: no checkpoint is waited for.
    steady_time stop_deadline;       ///< The stop is sent now at the latest.
    std::string for_job;             ///< Empty when no job waits for the cells.
    std::string reason;
    bool for_guarantee = false; ///< `for_job` takes its guarantee back: the reclaim bound holds.
};

/// The job is forgotten; it will not run (again).
struct refuse_job {
    std::string job;
    std::string reason;
};

/// As reclaim_gang, for a gang that fits elsewhere: it is queued again once `stopped` is called.
struct move_gang {
    std::string job;
    steady_time checkpoint_deadline;
    steady_time stop_deadline;
    std::string reason;
};

using action = std::variant<start_gang, reclaim_gang, refuse_job, move_gang>;

struct refused_candidate {
    std::string place; ///< A data centre, "data centre/rack" or a worker.
    std::string reason;
};

/// One decision as its log line shows it.
struct decision_record {
    std::string job;
    std::string outcome; ///< started, reclaimed, refused, moved, reserved, waiting
    std::vector<std::string> workers;
    std::string reason;
    std::vector<refused_candidate> refused; ///< Bounded in number.
};

struct decision {
    action what;
    decision_record record;
};

/// Guaranteed cells that the inventory lacks.
struct shortfall {
    std::string agreement;
    std::string account;
    std::string data_centre; ///< Empty when any data centre would do.
    cell_level level = cell_level::accelerator;
    std::uint32_t wanted = 0;
    std::uint32_t missing = 0;
};

/// A named cell of a guarantee.
struct cell_assignment {
    std::string agreement;
    std::uint32_t index = 0; ///< 0 .. count-1 within the agreement.
    cell_level level = cell_level::accelerator;
    std::string data_centre;
    std::string rack;                  ///< Empty at level data_centre.
    std::string worker;                ///< Empty above level host.
    accelerator_mask accelerators = 0; ///< 0 above level host.
    std::uint64_t version = 0;         ///< Grows with every reassignment in this engine.
    bool whole = true;                 ///< False: smaller than a whole cell of its level.
};

struct guarantee_summary {
    guarantee terms;
    std::uint32_t whole = 0;   ///< Cells that are present and can be assembled within the bound.
    std::uint32_t pinned = 0;  ///< Cells with other work in them that must not be stopped.
    std::uint32_t missing = 0; ///< Cells that the inventory lacks.
};

/// Cells of one level in a data centre.
struct level_summary {
    std::string data_centre;
    cell_level level = cell_level::accelerator;
    std::uint32_t cells = 0;      ///< Of workers that are present.
    std::uint32_t free = 0;       ///< No accelerator of it is held.
    std::uint32_t lent = 0;       ///< Guaranteed cells of this level with a borrower in them.
    std::uint32_t guaranteed = 0; ///< Guaranteed cells of this level.
    std::uint32_t whole = 0;      ///< Guaranteed cells that can be assembled within the bound.
    std::uint32_t quarantined_workers = 0; ///< Of the data centre, the same at every level.
};

struct worker_summary {
    worker_spec worker;
    bool lost = false;
    bool quarantined = false;
    accelerator_mask held = 0;
};

enum class job_state { queued, reserved, running, stopping };

struct job_summary {
    job_spec job;
    job_state state = job_state::queued;
    gang_placement placement; ///< Empty unless running or stopping.
};

/// Limits and rules. The defaults are those of the design.
struct engine_options {
    milliseconds checkpoint_grace{1000};        ///< Reclaim: from request to stop.
    milliseconds normal_reclaim_wait{2000};     ///< A normal job of an owner reclaims after this.
    milliseconds ramp_time{10000};              ///< Return of a data centre.
    std::uint32_t ramp_start_percent = 10;      ///< Share of a returned data centre at first.
    std::uint32_t max_reservations = 4;         ///< For large jobs, at one time.
    std::uint32_t reservation_percent = 50;     ///< Most of the inventory under reservation.
    milliseconds reservation_wait{2000};        ///< A large job waits this long before it reserves.
    std::uint32_t quarantine_percent = 10;      ///< Of a data centre's workers, at least one.
    std::uint32_t quarantine_services = 2;      ///< Distinct services that must fail on a worker.
    milliseconds quarantine_time{600000};       ///< Then the worker is tried again.
    std::uint32_t max_failed_workers = 3;       ///< A job that failed on so many is failed itself.
    std::uint32_t max_starts_per_decide = 64;   ///< Bound of one turn.
    std::uint32_t max_scanned_per_decide = 512; ///< Queued jobs looked at in one turn.
    /// Gangs that can checkpoint and are expected to run longer than this leave a withdrawn data
    /// centre when they fit elsewhere; shorter ones end sooner than they would move.
    milliseconds evacuate_longer_than{30000};
};

/// Switches single rules off, so that a test can show that breaking a rule is caught. Tests only.
struct rule_switches {
    bool close_reclaimed_cells = true; ///< No second borrower in a cell that is reclaimed.
    bool lend_only_stoppable = true;   ///< Borrowers can checkpoint or be run again.
    bool whole_gangs = true;           ///< A gang starts with all members.
    bool respect_withdrawal = true;    ///< Nothing starts in a withdrawn data centre.
    bool bound_quarantine = true;      ///< The quarantine budget.
    bool wait_for_stop = true;         ///< An owner starts after the borrower has stopped.
    bool never_rerun = true;           ///< Non-idempotent work never runs twice.
    bool rebuild_lost_cells = true;    ///< Cells of lost workers are assigned elsewhere.
};

} // namespace redwingwheel::placement
