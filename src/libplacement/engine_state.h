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

/// The state behind the engine, shared by the files that implement its parts.
namespace redwingwheel::placement {

/// Why accelerators are promised to a job that does not run yet.
enum class claim_kind {
    none,
    reclaim,     ///< An owner waits until borrowers have stopped.
    reservation, ///< A large job waits until work ends by itself.
    move         ///< A gang that is being moved; it still holds its old place.
};

struct queue_key {
    job_priority priority = job_priority::normal;
    steady_time key; ///< Arrival, put off by expected length and by the account's backlog.
    std::uint64_t sequence = 0;
    job_slot slot = no_job;
    friend bool operator<(const queue_key& left, const queue_key& right)
    {
        return std::tie(left.priority, left.key, left.sequence, left.slot) <
               std::tie(right.priority, right.key, right.sequence, right.slot);
    }
};

struct job_record {
    job_spec spec;
    job_state state = job_state::queued;
    queue_key key;
    steady_time submitted;
    steady_time started;
    milliseconds forecast{0}; ///< Expected run time from the start on.
    milliseconds done{0};     ///< Work kept by checkpoints.

    gang_parts parts; ///< Held now.
    bool borrowed = false;
    bool uses_guarantee = false;
    job_slot backfill_of = no_job; ///< Runs on accelerators reserved for that job.

    claim_kind claim = claim_kind::none;
    gang_parts claimed;
    steady_time claim_ready;  ///< When the reserved accelerators are expected to be free.
    steady_time claim_review; ///< The reservation is planned anew after this.

    double queued_work = 0; ///< Accelerator-seconds counted in the account's backlog.
    bool cancelled = false; ///< Forgotten once it has stopped.
    bool broken = false;    ///< Lost a member; what ran has no checkpoint.
    std::string stop_reason;
    std::string refusal; ///< Not empty: refused once it has stopped.
    std::vector<host_index> failed_on;
    std::uint32_t failures = 0;
    steady_time last_failure;
    decision_record record;
};

struct engine::implementation {
    implementation(engine_options chosen, clock_function now, rule_switches switches)
        : options(chosen), rules(switches), clock(std::move(now)), book(this->tree, false),
          search(this->tree)
    {
    }

    // engine.cpp: the life of jobs and workers.
    absl::Status validate(const job_spec& job) const;
    std::string why_never_fits(const job_spec& job) const;
    job_slot find(std::string_view job) const;
    job_slot insert(const job_spec& job);
    void erase(job_slot slot);
    void enqueue(job_slot slot);
    void dequeue(job_slot slot);
    void release_parts(job_slot slot);
    void break_gang(job_slot slot, const std::string& reason);
    void after_stop(job_slot slot, bool checkpointed);
    bool is_stoppable(const job_spec& job) const;
    milliseconds remaining_run_time(const job_record& job) const;
    steady_time expected_end(job_slot slot, steady_time now) const;

    // guarding.cpp: cells, claims and quarantine against changes of the inventory.
    void settle();
    occupancy occupancy_of(host_index host, accelerator_mask mask, std::string_view account) const;
    accelerator_mask owned_by(const job_spec& job, host_index host) const;
    accelerator_mask kept_from(const job_spec& job, host_index host) const;
    bool any_cell_is_pinned() const;
    void apply_cells();
    void update_closed();
    void revalidate_claims();
    bool claim_is_valid(const job_record& job) const;
    void review_quarantine(steady_time now);
    void judge_worker(host_index host, steady_time now);
    void set_claim(job_slot slot, claim_kind kind, gang_parts parts);
    void drop_claim(job_slot slot);

    // decide.cpp: one bounded turn.
    std::vector<decision> decide();
    void emit_stops(std::vector<decision>& out);
    void emit_refusals(std::vector<decision>& out);
    bool is_shut_out(const job_record& job) const;
    void start_claimants(std::vector<decision>& out);
    void scan_queue(std::vector<decision>& out);
    bool place(job_slot slot, bool search_is_useless, bool reclaim_is_useless,
               std::vector<decision>& out);
    bool may_reclaim(const job_record& job) const;
    void start(job_slot slot, gang_parts parts, std::vector<decision>& out);
    void stop_for(job_slot holder, job_slot beneficiary, std::string reason,
                  std::vector<decision>& out);
    gang_request request_of(const job_record& job) const;
    std::optional<gang_parts> find_free(const job_record& job, const gang_request& request) const;
    std::optional<gang_parts> find_careful(const job_record& job) const;

    // claims.cpp: reclaim, reservation, backfill, evacuation.
    extra_capacity own_free(const job_record& job) const;
    extra_capacity own_reclaimable(const job_record& job, bool from_own_normal) const;
    bool reclaim(job_slot slot, std::vector<decision>& out);
    bool overrule_reservations(job_slot slot, std::vector<decision>& out);
    bool backfill(job_slot slot, std::vector<decision>& out);
    bool reserve(job_slot slot);
    bool wants_reservation(const job_record& job) const;
    std::uint64_t reserved_accelerators() const;
    std::uint64_t reservation_bound() const;
    void make_way(const job_record& job, std::uint64_t total);
    void evacuate(std::vector<decision>& out);
    bool move(job_slot slot, std::vector<decision>& out);
    void drop_overlapped(job_slot slot, const gang_parts& parts);

    // summaries.cpp
    gang_placement placement_of(const job_record& job) const;
    decision_record explain(const job_record& job) const;
    std::vector<level_summary> level_summaries() const;

    engine_options options;
    rule_switches rules;
    clock_function clock;
    topology tree;
    cell_book book;
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
    std::vector<host_index> suspects;
    std::vector<host_index> closed_hosts;
    std::uint64_t last_sequence = 0;
    std::optional<queue_key> resume_after; ///< Where the last turn's scan ended at its bound.
    std::uint32_t plans_left = 0;          ///< Reservations that this turn may still plan.
    bool has_pinned_cells = false;         ///< Since the last assignment of cells.
    bool terms_changed = false;            ///< Guarantees changed.
    bool cells_changed = false;            ///< Inventory or guarantees changed.
};

} // namespace redwingwheel::placement
