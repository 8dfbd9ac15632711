#include <algorithm>

#include <fmt/format.h>

#include "engine_state.h"

/// State transitions of jobs.
namespace redwingwheel::placement {

namespace {

double accelerator_seconds(const job_record& job, milliseconds run_time)
{
    return static_cast<double>(job.spec.members) * job.spec.accelerators_per_member *
           std::chrono::duration<double>(run_time).count();
}

} // namespace

job_slot engine::implementation::find(std::string_view job) const
{
    const auto found = this->by_id.find(job);
    return found == this->by_id.end() ? no_job : found->second;
}

job_slot engine::implementation::insert(const job_spec& job)
{
    job_slot slot = static_cast<job_slot>(this->jobs.size());
    if (this->free_slots.empty()) {
        this->jobs.emplace_back();
    }
    else {
        slot = this->free_slots.back();
        this->free_slots.pop_back();
    }
    this->jobs[slot] = job_record{};
    this->jobs[slot].spec = job;
    this->jobs[slot].record.job = job.id;
    this->by_id.emplace(job.id, slot);
    return slot;
}

void engine::implementation::erase(job_slot slot)
{
    this->drop_claim(slot);
    this->dequeue(slot);
    this->release_parts(slot);
    this->to_stop.erase(slot);
    this->to_refuse.erase(slot);
    this->by_id.erase(this->jobs[slot].spec.id);
    this->jobs[slot] = job_record{};
    this->free_slots.push_back(slot);
}

void engine::implementation::enqueue(job_slot slot)
{
    job_record& job = this->jobs[slot];
    job.state = job_state::queued;
    if (this->queue.insert(job.key).second) {
        job.queued_work = accelerator_seconds(job, this->remaining_run_time(job));
        this->backlog[job.spec.account] += job.queued_work;
    }
}

void engine::implementation::dequeue(job_slot slot)
{
    const job_record& job = this->jobs[slot];
    if (this->queue.erase(job.key) > 0) {
        double& queued = this->backlog[job.spec.account];
        queued = std::max(0.0, queued - job.queued_work);
    }
}

void engine::implementation::release_parts(job_slot slot)
{
    job_record& job = this->jobs[slot];
    if (job.parts.empty()) {
        return;
    }
    for (const host_part& part : job.parts) {
        this->tree.release(part);
    }
    job.parts.clear();
    job.borrowed = false;
    job.uses_guarantee = false;
    job.backfill_of = no_job;
    // A cell that contains work that must not be stopped may now be assigned elsewhere.
    if (this->has_pinned_cells) {
        this->needs_reconcile = true;
    }
}

void engine::implementation::mark_broken(job_slot slot, const std::string& reason)
{
    job_record& job = this->jobs[slot];
    if (job.parts.empty()) {
        return;
    }
    job.broken = true;
    if (job.claim == claim_kind::move) {
        this->drop_claim(slot);
    }
    if (job.state == job_state::running) {
        job.stop_reason = reason;
        this->to_stop.insert(slot);
    }
}

void engine::implementation::handle_stopped(job_slot slot, bool checkpointed)
{
    job_record& job = this->jobs[slot];
    const bool planned = job.state == job_state::stopping && !job.broken;
    const bool resumes = planned && job.spec.can_checkpoint && checkpointed;
    if (resumes) {
        job.checkpointed_run_time +=
            std::chrono::duration_cast<milliseconds>(this->clock() - job.started);
    }
    this->release_parts(slot);
    this->to_stop.erase(slot);
    job.broken = false;
    if (job.cancelled) {
        this->erase(slot);
        return;
    }
    if (job.refusal.empty() && !resumes && !job.spec.idempotent && this->rules.never_rerun) {
        job.refusal = fmt::format("stopped without a checkpoint ({}) and must not run twice",
                                  job.stop_reason);
    }
    if (!job.refusal.empty()) {
        this->drop_claim(slot);
        job.state = job_state::queued;
        this->to_refuse.insert(slot);
        return;
    }
    if (job.claim != claim_kind::none) {
        job.state = job_state::reserved;
        return;
    }
    this->enqueue(slot);
}

bool engine::implementation::is_stoppable(const job_spec& job) const
{
    return job.can_checkpoint || job.idempotent;
}

milliseconds engine::implementation::remaining_run_time(const job_record& job) const
{
    const milliseconds whole = this->history.predict(job.spec.service, job.spec.declared_run_time);
    return std::max(milliseconds(1), whole - job.checkpointed_run_time);
}

steady_time engine::implementation::expected_end(job_slot slot, steady_time now) const
{
    const job_record& job = this->jobs[slot];
    if (job.state == job_state::stopping) {
        return now + this->options.checkpoint_grace;
    }
    const steady_time forecast = job.started + job.predicted_run_time;
    if (forecast > now) {
        return forecast;
    }
    // An overdue job is expected to run for another quarter of its run time so far.
    return now + std::max<steady_time::duration>(std::chrono::seconds(1), (now - job.started) / 4);
}

} // namespace redwingwheel::placement
