#include <algorithm>
#include <limits>

#include <fmt/format.h>

#include "engine_state.h"

namespace redwingwheel::placement {

namespace {

// Upper limit of the queue penalty for the predicted run time of a job.
constexpr std::chrono::seconds max_run_time_penalty{900};
// Upper limit of the queue penalty for an account's queued work. The penalty prevents a burst of
// one account from starving the others.
constexpr double max_backlog_penalty_seconds = 600;
// A job that failed this often is refused even if it failed on fewer than max_failed_workers
// workers: it may be retried on the same ones if no others fit.
constexpr std::uint32_t max_failures_per_job = 6;

} // namespace

engine::engine(engine_options options, clock_function clock, rule_switches rules)
    : impl(std::make_unique<implementation>(options, std::move(clock), rules))
{
}

engine::~engine() = default;

absl::Status engine::add_worker(const worker_spec& worker)
{
    implementation& state = *this->impl;
    const std::uint32_t group =
        worker.accelerators_per_group == 0 ? worker.accelerators : worker.accelerators_per_group;
    if (worker.name.empty() || worker.data_centre.empty() || worker.accelerators == 0 ||
        worker.accelerators > max_accelerators_per_worker || worker.accelerators % group != 0) {
        return make_error(
            placement_errc::invalid_worker,
            fmt::format("worker \"{}\": needs a name, a data centre, 1 to {} accelerators (has "
                        "{}) and a group size that divides them (has {})",
                        worker.name, max_accelerators_per_worker, worker.accelerators, group));
    }
    const host_index known = state.tree.find_host(worker.name);
    if (known == no_index) {
        state.tree.add_host(worker);
        state.needs_reconcile = true;
        return absl::OkStatus();
    }
    const worker_spec& before = state.tree.host(known).spec;
    if (before.data_centre != worker.data_centre || before.rack != worker.rack ||
        before.accelerators != worker.accelerators || before.accelerators_per_group != group) {
        return make_error(
            placement_errc::invalid_worker,
            fmt::format("worker \"{}\" was announced with another shape or place", worker.name));
    }
    state.tree.set_lost(known, false);
    state.health.clear_host(known);
    state.needs_reconcile = true;
    return absl::OkStatus();
}

absl::Status engine::remove_worker(std::string_view worker)
{
    implementation& state = *this->impl;
    const host_index host = state.tree.find_host(worker);
    if (host == no_index) {
        return make_error(placement_errc::unknown_worker, fmt::format("worker \"{}\"", worker));
    }
    state.tree.set_lost(host, true);
    state.needs_reconcile = true;
    std::set<job_slot> affected;
    for (const job_slot slot : state.tree.host(host).holder_by_accelerator) {
        if (slot != no_job) {
            affected.insert(slot);
        }
    }
    for (const job_slot slot : affected) {
        state.mark_broken(slot, fmt::format("worker {} is lost", worker));
    }
    return absl::OkStatus();
}

absl::Status engine::set_worker_draining(std::string_view worker, bool draining)
{
    implementation& state = *this->impl;
    const host_index host = state.tree.find_host(worker);
    if (host == no_index) {
        return make_error(placement_errc::unknown_worker, fmt::format("worker \"{}\"", worker));
    }
    if (state.tree.host(host).draining != draining) {
        state.tree.set_draining(host, draining);
        state.needs_reconcile = true;
    }
    return absl::OkStatus();
}

absl::Status engine::set_data_centre_state(std::string_view data_centre, data_centre_state wanted)
{
    implementation& state = *this->impl;
    const data_centre_index index = state.tree.find_data_centre(data_centre);
    if (index == no_index) {
        return make_error(placement_errc::unknown_data_centre,
                          fmt::format("data centre \"{}\"", data_centre));
    }
    const bool ignored = wanted == data_centre_state::withdrawn && !state.rules.respect_withdrawal;
    if (state.tree.data_centre(index).state == wanted || ignored) {
        return absl::OkStatus();
    }
    if (wanted == data_centre_state::in_service) {
        const steady_time now = state.clock();
        const std::uint32_t percent = std::min(state.options.ramp_start_percent, 99U);
        state.tree.set_ramp(index, now - state.options.ramp_time * percent / (100 - percent),
                            now + state.options.ramp_time);
    }
    state.tree.set_state(index, wanted);
    state.needs_reconcile = true;
    return absl::OkStatus();
}

absl::Status engine::implementation::validate(const job_spec& job) const
{
    if (job.id.empty() || job.account.empty() || job.service.empty()) {
        return make_error(placement_errc::invalid_job,
                          fmt::format("job \"{}\" needs an id, an account and a service", job.id));
    }
    if (job.members == 0 || job.members > max_gang_members) {
        return make_error(placement_errc::invalid_job,
                          fmt::format("job \"{}\": members is {}, allowed are 1 to {}", job.id,
                                      job.members, max_gang_members));
    }
    if (job.accelerators_per_member == 0 ||
        job.accelerators_per_member > max_accelerators_per_worker) {
        return make_error(placement_errc::invalid_job,
                          fmt::format("job \"{}\": accelerators_per_member is {}, allowed are 1 "
                                      "to {}",
                                      job.id, job.accelerators_per_member,
                                      max_accelerators_per_worker));
    }
    if (job.declared_run_time.count() < 0) {
        return make_error(placement_errc::invalid_job,
                          fmt::format("job \"{}\": declared run time is {} ms, allowed are 0 or "
                                      "more",
                                      job.id, job.declared_run_time.count()));
    }
    if (this->by_id.contains(job.id)) {
        return make_error(placement_errc::duplicate_job, fmt::format("job \"{}\"", job.id));
    }
    return absl::OkStatus();
}

/// Empty if the job would fit if all announced workers were idle, given the current guarantees;
/// otherwise the reason.
std::string engine::implementation::why_never_fits(const job_spec& job) const
{
    const cells_by_host& own = this->allocator.cells_of(job.account);
    const bool borrows = this->is_stoppable(job);
    const std::uint32_t size = job.accelerators_per_member;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> members_by_area;
    std::uint32_t max_members = 0;
    for (host_index index = 0; index < this->tree.host_count(); ++index) {
        const host_state& host = this->tree.host(index);
        const auto own_entry = own.find(index);
        const accelerator_mask withheld =
            borrows ? 0 : host.guaranteed & ~(own_entry == own.end() ? 0 : own_entry->second);
        const accelerator_mask usable = host.all & ~withheld;
        std::pair<std::uint32_t, std::uint32_t> area(host.data_centre, 0);
        std::uint32_t members_here = count_of(usable) / size;
        if (job.adjacency == cell_level::rack) {
            area.second = host.rack;
        }
        if (job.adjacency <= cell_level::host) {
            area.second = index;
        }
        if (job.adjacency <= cell_level::group) {
            members_here = topology::largest_group_part(host.spec, usable) / size;
        }
        std::uint32_t& area_members = members_by_area[area];
        area_members += members_here;
        max_members = std::max(max_members, area_members);
        if (max_members >= job.members &&
            (job.adjacency != cell_level::accelerator || job.members * size == 1)) {
            return "";
        }
    }
    return fmt::format("needs {} members of {} accelerators in one {}; the largest that the "
                       "guarantees of others leave holds {} members",
                       job.members, size, name_of(job.adjacency), max_members);
}

absl::Status engine::submit(const job_spec& job)
{
    implementation& state = *this->impl;
    const absl::Status valid = state.validate(job);
    if (!valid.ok()) {
        return valid;
    }
    state.reconcile();
    if (state.tree.host_count() > 0) {
        const std::string reason = state.why_never_fits(job);
        if (!reason.empty()) {
            return make_error(placement_errc::never_fits,
                              fmt::format("job \"{}\" {}", job.id, reason));
        }
    }
    const job_slot slot = state.insert(job);
    job_record& added = state.jobs[slot];
    const milliseconds predicted = state.history.predict(job.service, job.declared_run_time);
    const double capacity =
        std::max<double>(1, static_cast<double>(state.tree.accelerator_count()));
    const double backlog_penalty_seconds =
        std::min(max_backlog_penalty_seconds, state.backlog[job.account] / capacity);
    added.submitted = state.clock();
    added.key = {job.priority,
                 added.submitted + std::min<milliseconds>(predicted, max_run_time_penalty) +
                     milliseconds(static_cast<milliseconds::rep>(backlog_penalty_seconds * 1000)),
                 ++state.last_sequence, slot};
    state.enqueue(slot);
    return absl::OkStatus();
}

absl::Status engine::restore(const job_spec& job, const gang_placement& placement)
{
    implementation& state = *this->impl;
    const absl::Status valid = state.validate(job);
    if (!valid.ok()) {
        return valid;
    }
    std::map<host_index, accelerator_mask> taken;
    gang_parts parts;
    for (const member_placement& member : placement.members) {
        const host_index host = state.tree.find_host(member.worker);
        if (host == no_index) {
            return make_error(placement_errc::unknown_worker,
                              fmt::format("job \"{}\": worker \"{}\"", job.id, member.worker));
        }
        const accelerator_mask busy = state.tree.host(host).held | taken[host];
        if ((member.accelerators & busy) != 0 || member.accelerators == 0 ||
            (member.accelerators & ~state.tree.host(host).all) != 0) {
            return make_error(placement_errc::conflicting_placement,
                              fmt::format("job \"{}\": accelerators {:#x} of worker \"{}\" are "
                                          "held or do not exist",
                                          job.id, member.accelerators, member.worker));
        }
        taken[host] |= member.accelerators;
        parts.push_back({host, member.accelerators});
    }
    const job_slot slot = state.insert(job);
    job_record& added = state.jobs[slot];
    added.submitted = state.clock();
    added.started = added.submitted;
    added.predicted_run_time = state.remaining_run_time(added);
    added.key = {job.priority, added.submitted, ++state.last_sequence, slot};
    added.state = job_state::running;
    added.parts = std::move(parts);
    added.borrowed = placement.borrowed;
    added.uses_guarantee = placement.uses_guarantee;
    added.record = {job.id, "started", {}, "restored from the log", {}};
    bool lost = false;
    for (const host_part& part : added.parts) {
        if ((state.tree.host(part.host).claimed & part.accelerators) != 0) {
            for (const job_slot claimant : std::set<job_slot>(state.claimants)) {
                state.drop_claim(claimant);
            }
        }
        state.tree.hold(part, slot);
        lost = lost || state.tree.host(part.host).lost;
    }
    state.needs_reconcile = true;
    if (lost) {
        state.mark_broken(slot, "a worker of the gang is lost");
    }
    return absl::OkStatus();
}

absl::Status engine::cancel(std::string_view job)
{
    implementation& state = *this->impl;
    const job_slot slot = state.find(job);
    if (slot == no_job) {
        return make_error(placement_errc::unknown_job, fmt::format("job \"{}\"", job));
    }
    if (state.jobs[slot].parts.empty()) {
        state.erase(slot);
        return absl::OkStatus();
    }
    state.jobs[slot].cancelled = true;
    state.mark_broken(slot, "cancelled");
    return absl::OkStatus();
}

absl::Status engine::report_finished(std::string_view job)
{
    implementation& state = *this->impl;
    const job_slot slot = state.find(job);
    if (slot == no_job || state.jobs[slot].parts.empty()) {
        return make_error(placement_errc::unknown_job, fmt::format("no gang \"{}\" runs", job));
    }
    const job_record& ended = state.jobs[slot];
    const milliseconds ran = ended.checkpointed_run_time + std::chrono::duration_cast<milliseconds>(
                                                               state.clock() - ended.started);
    state.history.record(ended.spec.service, ended.spec.declared_run_time, ran);
    for (const host_part& part : ended.parts) {
        state.health.record_success(part.host, ended.spec.service);
    }
    state.erase(slot);
    return absl::OkStatus();
}

absl::Status engine::report_stopped(std::string_view job, bool checkpointed)
{
    implementation& state = *this->impl;
    const job_slot slot = state.find(job);
    if (slot == no_job || state.jobs[slot].parts.empty()) {
        return make_error(placement_errc::unknown_job, fmt::format("no gang \"{}\" runs", job));
    }
    state.handle_stopped(slot, checkpointed);
    return absl::OkStatus();
}

absl::Status engine::report_failure(std::string_view job, std::string_view worker,
                                    std::string_view service)
{
    implementation& state = *this->impl;
    const job_slot slot = state.find(job);
    const host_index host = state.tree.find_host(worker);
    if (slot == no_job) {
        return make_error(placement_errc::unknown_job, fmt::format("job \"{}\"", job));
    }
    if (host == no_index) {
        return make_error(placement_errc::unknown_worker, fmt::format("worker \"{}\"", worker));
    }
    const steady_time now = state.clock();
    job_record& failed = state.jobs[slot];
    const auto known = std::lower_bound(failed.failed_on.begin(), failed.failed_on.end(), host);
    if (known == failed.failed_on.end() || *known != host) {
        failed.failed_on.insert(known, host);
    }
    ++failed.failures;
    failed.last_failure = now;
    state.health.record_failure(host, service, job, now);
    if (failed.failed_on.size() >= state.options.max_failed_workers ||
        failed.failures >= max_failures_per_job) {
        failed.refusal = fmt::format("failed {} times on {} different workers", failed.failures,
                                     failed.failed_on.size());
        // A job that fails on every worker is no evidence against the workers.
        for (const host_index cleared : state.health.clear_job_failures(job)) {
            state.update_quarantine(cleared, now);
        }
    }
    state.update_quarantine(host, now);
    state.mark_broken(slot, fmt::format("a task failed on worker {}", worker));
    return absl::OkStatus();
}

std::vector<decision> engine::decide()
{
    return this->impl->decide();
}

bool engine::has_more() const
{
    return this->impl->resume_after.has_value();
}

} // namespace redwingwheel::placement
