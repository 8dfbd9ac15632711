#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cells.h"
#include "history.h"
#include "redwingwheel/placement.h"
#include "search.h"
#include "topology.h"

/// The state of the engine, shared by the source files that implement it.
namespace redwingwheel::placement {

/// Reason for which accelerators are claimed for a job that does not run on them yet.
enum class claim_kind {
    none,
    reclaim,     ///< The owner of a cell waits until its borrowers have stopped.
    reservation, ///< A large job waits for running gangs to end.
    move         ///< A gang that is being moved and still holds its old accelerators.
};

/// Order of the queue.
struct queue_key {
    job_priority priority = job_priority::normal;
    steady_time virtual_arrival; ///< Arrival plus penalties for run time and backlog.
    std::uint64_t sequence = 0;
    job_slot slot = no_job;
    friend bool operator<(const queue_key& left, const queue_key& right)
    {
        return std::tie(left.priority, left.virtual_arrival, left.sequence, left.slot) <
               std::tie(right.priority, right.virtual_arrival, right.sequence, right.slot);
    }
};

struct job_record {
    job_spec spec;
    job_state state = job_state::queued;
    queue_key key;
    steady_time submitted;
    steady_time started;
    milliseconds predicted_run_time{0};    ///< Of the current run, from its start.
    milliseconds checkpointed_run_time{0}; ///< Run time saved by checkpoints.

    gang_parts parts; ///< Held accelerators; empty unless running or stopping.
    bool borrowed = false;
    bool uses_guarantee = false;
    job_slot backfill_of = no_job; ///< Runs on accelerators reserved for that job.

    claim_kind claim = claim_kind::none;
    gang_parts claimed;
    steady_time claim_ready;   ///< When the reserved accelerators are expected to be free.
    steady_time claim_expires; ///< A new reservation is planned after this.

    double queued_work = 0; ///< Accelerator-seconds counted in the account's backlog.
    bool cancelled = false; ///< Removed once it has stopped.
    bool broken = false;    ///< Lost a member or cancelled: this run saves no checkpoint.
    std::string stop_reason;
    std::string refusal; ///< Reason to refuse the job once it has stopped; empty: none.
    std::vector<host_index> failed_on;
    std::uint32_t failures = 0;
    steady_time last_failure;
    decision_record record;
};

struct engine::implementation {
    implementation(engine_options chosen, clock_function now, rule_switches switches)
        : options(chosen), rules(switches), clock(std::move(now)), allocator(this->tree, false),
          search(this->tree)
    {
    }

    // engine.cpp and jobs.cpp: state transitions of jobs and workers.
    absl::Status validate(const job_spec& job) const;
    std::string why_never_fits(const job_spec& job) const;
    job_slot find(std::string_view job) const;
    job_slot insert(const job_spec& job);
    void erase(job_slot slot);
    void enqueue(job_slot slot);
    void dequeue(job_slot slot);
    void release_parts(job_slot slot);
    void mark_broken(job_slot slot, const std::string& reason);
    void handle_stopped(job_slot slot, bool checkpointed);
    bool is_stoppable(const job_spec& job) const;
    milliseconds remaining_run_time(const job_record& job) const;
    steady_time expected_end(job_slot slot, steady_time now) const;

    // reconcile.cpp: cells, claims and quarantine.
    void reconcile();
    occupancy occupancy_of(host_index host, accelerator_mask mask, std::string_view account) const;
    accelerator_mask guaranteed_to(const job_spec& job, host_index host) const;
    accelerator_mask withheld_from(const job_spec& job, host_index host) const;
    bool any_cell_is_pinned() const;
    void apply_cells();
    void update_closed_cells();
    void revalidate_claims();
    bool claim_is_valid(const job_record& job) const;
    void release_expired_quarantines(steady_time now);
    void update_quarantine(host_index host, steady_time now);
    void set_claim(job_slot slot, claim_kind kind, gang_parts parts);
    void drop_claim(job_slot slot);

    // decide.cpp: one bounded call of decide.
    std::vector<decision> decide();
    void emit_stops(std::vector<decision>& out);
    void emit_refusals(std::vector<decision>& out);
    bool overlaps_closed_cell(const job_record& job) const;
    void start_claimants(std::vector<decision>& out);
    void scan_queue(std::vector<decision>& out);
    bool try_place(job_slot slot, bool skip_search, bool skip_reclaim, std::vector<decision>& out);
    bool may_reclaim(const job_record& job) const;
    void start(job_slot slot, gang_parts parts, std::vector<decision>& out);
    void preempt_gang(job_slot holder, job_slot beneficiary, std::string reason,
                      std::vector<decision>& out);
    gang_request request_of(const job_record& job) const;
    std::optional<gang_parts> find_free(const job_record& job, const gang_request& request) const;
    std::optional<gang_parts> find_avoiding_failures(const job_record& job) const;

    // claims.cpp: reclaim, reservation, backfill, evacuation.
    extra_capacity own_free(const job_record& job) const;
    extra_capacity own_reclaimable(const job_record& job, bool from_own_normal) const;
    bool reclaim(job_slot slot, std::vector<decision>& out);
    bool preempt_reservations(job_slot slot, std::vector<decision>& out);
    bool backfill(job_slot slot, std::vector<decision>& out);
    bool reserve(job_slot slot);
    bool may_reserve(const job_record& job) const;
    std::uint64_t reserved_accelerators() const;
    std::uint32_t max_reservation_count() const;
    std::uint64_t max_reserved_accelerators() const;
    void drop_lower_reservations(const job_record& job, std::uint64_t total);
    void evacuate(std::vector<decision>& out);
    bool move(job_slot slot, std::vector<decision>& out);
    void drop_overlapping_claims(job_slot slot, const gang_parts& parts);

    // summaries.cpp
    gang_placement placement_of(const job_record& job) const;
    decision_record explain(const job_record& job) const;
    std::vector<level_summary> level_summaries() const;

    engine_options options;
    rule_switches rules;
    clock_function clock;
    topology tree;
    cell_allocator allocator;
    placement_search search;
    run_history history;
    worker_health health;

    std::vector<job_record> jobs;
    std::vector<job_slot> free_slots;
    std::map<std::string, job_slot, std::less<>> by_id;
    std::set<queue_key> queue;
    std::set<job_slot> claimants;
    std::set<job_slot> to_stop;
    std::set<job_slot> to_refuse;
    std::map<std::string, double, std::less<>> backlog; ///< Queued accelerator-seconds by account.
    std::map<host_index, steady_time> quarantined_until;
    std::vector<host_index> recently_failed_hosts;
    std::vector<host_index> closed_hosts;
    std::uint64_t last_sequence = 0;
    std::optional<queue_key> resume_after; ///< Where the last bounded scan of the queue ended.
    std::uint32_t remaining_plans = 0;     ///< Plans that this call of decide may still make.
    bool has_pinned_cells = false;         ///< As of the last reconcile.
    bool guarantees_changed = false;       ///< Since the last reconcile.
    bool needs_reconcile = false;          ///< Inventory or guarantees have changed.
};

} // namespace redwingwheel::placement
