#include "redwingwheel/controller.h"

#include <algorithm>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "feasibility.h"

namespace redwingwheel::control {

namespace {

placement::job_spec spec_of(const job_description& job)
{
    placement::job_spec spec;
    spec.id = job.id;
    spec.account = job.account;
    spec.service = job.service;
    spec.members = job.members;
    spec.accelerators_per_member = job.accelerators_per_member;
    spec.adjacency = job.adjacency;
    spec.priority = job.priority;
    spec.idempotent = job.idempotent;
    spec.can_checkpoint = job.can_checkpoint;
    spec.declared_run_time = milliseconds(job.declared_run_ms);
    return spec;
}

placement::gang_placement placement_of(const job_record& job)
{
    placement::gang_placement placed;
    placed.job = job.job.id;
    placed.borrowed = job.borrowed;
    placed.uses_guarantee = job.uses_guarantee;
    std::uint32_t index = 0;
    for (const membership::gang_member_record& member : job.members) {
        placed.members.push_back({index++, member.worker, member.accelerator_mask});
    }
    return placed;
}

void log_decision(const placement::decision_record& record)
{
    std::string refused;
    for (const placement::refused_candidate& candidate : record.refused) {
        refused += fmt::format("{}{}:{}", refused.empty() ? "" : ";", candidate.location,
                               candidate.reason);
    }
    spdlog::info("event=placement_decision job={} outcome={} workers=[{}] reason=\"{}\" "
                 "refused=\"{}\"",
                 record.job, record.outcome, fmt::join(record.workers, ","), record.reason,
                 refused);
}

} // namespace

controller::controller(const controller_options& chosen, clock_function clock_source,
                       const control_state& applied_state, controller_hooks callbacks)
    : options(chosen), clock(std::move(clock_source)), state(applied_state),
      hooks(std::move(callbacks)), granter(this->clock, chosen.permits),
      workers(this->clock, chosen.permits), coordinator(this->clock, chosen.gangs),
      engine(std::make_unique<placement::engine>(chosen.placement, this->clock))
{
}

void controller::begin_leadership(std::uint64_t leader_term)
{
    this->is_leading = true;
    this->term = leader_term;
    this->former_permits_end = this->clock() + this->options.permits.lifetime_with_margin();
    this->granter.begin_leadership();
    this->workers.clear();
    this->engine = std::make_unique<placement::engine>(this->options.placement, this->clock);
    this->agent_table.clear();
    this->process_views.clear();
    this->pending_stops.clear();
    this->pending_announcements.clear();
    this->pending_usage_records.clear();
    this->marked_gone.clear();
    this->replaced_incarnations.clear();
    for (const auto& [name, worker] : this->state.workers()) {
        this->add_worker(worker);
        this->workers.add(name);
    }
    this->update_data_centres();
    const std::vector<membership::gang_record> gangs = this->state.gangs().records();
    this->coordinator.restore(leader_term, gangs);
    // Restores placements first, so that the cells of guarantees are chosen around running gangs.
    this->restore_jobs();
    this->update_guarantees();
    spdlog::info("event=leadership_begun term={} workers={} jobs={} gangs={}", leader_term,
                 this->state.workers().size(), this->state.jobs().size(), gangs.size());
}

void controller::end_leadership()
{
    if (this->is_leading) {
        spdlog::info("event=leadership_ended term={}", this->term);
    }
    this->is_leading = false;
    this->granter.end_leadership();
}

void controller::state_replaced()
{
    this->update_data_centres();
}

void controller::update_data_centres()
{
    for (const auto& [name, record] : this->state.data_centres()) {
        this->granter.apply_change(name, record.in_service, record.change_index);
        // Fails until a worker of the data centre is announced; the state is set again then.
        const absl::Status ignored = this->engine->set_data_centre_state(
            name, record.in_service ? placement::data_centre_state::in_service
                                    : placement::data_centre_state::withdrawn);
        static_cast<void>(ignored);
    }
}

void controller::add_worker(const messages::worker_announcement& worker)
{
    const absl::Status added = this->engine->add_worker(spec_of(worker));
    if (!added.ok()) {
        spdlog::warn("event=worker_refused worker={} error=\"{}\"", worker.worker,
                     errors::message_of(added));
    }
}

void controller::update_guarantees()
{
    this->guarantees_day = day_of(this->hooks.wall_clock_ms());
    const std::vector<placement::guarantee> wanted =
        guarantees_of(this->state.configuration(), this->hooks.wall_clock_ms());
    const absl::Status set = this->engine->set_guarantees(wanted);
    if (!set.ok()) {
        spdlog::error("event=guarantees_refused error=\"{}\"", errors::message_of(set));
    }
}

void controller::restore_jobs()
{
    for (const auto& [id, job] : this->state.jobs()) {
        absl::Status status;
        if (job.state == job_state::placed || job.state == job_state::running) {
            status = this->engine->restore(spec_of(job.job), placement_of(job));
            if (job.cancel_requested) {
                this->coordinator.cancel(id);
            }
        }
        else if (job.state == job_state::queued) {
            status = this->engine->submit(spec_of(job.job));
        }
        if (!status.ok()) {
            spdlog::warn("event=job_not_restored job={} error=\"{}\"", id,
                         errors::message_of(status));
        }
    }
}

void controller::applied(const command& of, const command_result& result, std::uint64_t index)
{
    std::visit([&](const auto& each) { this->on_applied(each, result, index); }, of);
}

void controller::on_applied(const apply_release_note& of, const command_result& result,
                            std::uint64_t)
{
    if (!result.accepted || result.note_result->resend) {
        return;
    }
    spdlog::info("event=note_applied note={} revision={}", of.note.note,
                 result.note_result->revision);
    this->update_data_centres();
    if (this->is_leading) {
        this->update_guarantees();
    }
}

void controller::on_applied(const set_data_centre& of, const command_result& result, std::uint64_t)
{
    if (!result.accepted) {
        return;
    }
    spdlog::info("event=data_centre_changed data_centre={} in_service={} operator={}",
                 of.data_centre, of.in_service, of.operator_name);
    this->update_data_centres();
    for (auto& [worker, row] : this->agent_table) {
        if (row.agent.data_centre != of.data_centre || row.agent.may_start == of.in_service) {
            continue;
        }
        row.agent.may_start = of.in_service;
        row.agent.ramp_remaining_ms =
            of.in_service ? static_cast<std::uint64_t>(this->options.placement.ramp_time.count())
                          : 0;
        this->increment_version(row);
    }
}

void controller::on_applied(const announce_worker& of, const command_result&, std::uint64_t)
{
    this->pending_announcements.erase(of.worker.worker);
    if (!this->is_leading) {
        return;
    }
    this->add_worker(of.worker);
    this->update_data_centres();
    this->update_guarantees();
}

void controller::on_applied(const submit_job& of, const command_result& result, std::uint64_t)
{
    if (!this->is_leading || !result.accepted) {
        return;
    }
    const absl::Status queued = this->engine->submit(spec_of(of.job));
    if (!queued.ok() &&
        error_code<placement::placement_errc>(queued) == placement::placement_errc::never_fits) {
        this->propose(end_job{of.job.id, job_state::failed, errors::message_of(queued),
                              this->hooks.wall_clock_ms()});
    }
}

void controller::on_applied(const cancel_job& of, const command_result& result, std::uint64_t)
{
    if (!this->is_leading || !result.accepted) {
        return;
    }
    const job_record* const job = this->state.find_job(of.id);
    if (job->state == job_state::cancelled) {
        const absl::Status ignored = this->engine->cancel(of.id);
        static_cast<void>(ignored);
    }
    else if (!is_final(job->state)) {
        this->coordinator.cancel(of.id);
    }
}

void controller::on_applied(const end_job& of, const command_result& result, std::uint64_t)
{
    if (result.accepted) {
        spdlog::info("event=job_ended job={} outcome={} reason=\"{}\"", of.id,
                     to_text(of.final_state), of.reason);
    }
}

void controller::on_applied(const place_job& of, const command_result& result, std::uint64_t)
{
    if (!this->is_leading) {
        return;
    }
    if (!result.accepted) {
        // The job was cancelled after the placement was decided and before it was committed.
        this->release_cells(of.id, true);
        return;
    }
    const absl::Status placed = this->coordinator.place(of.id, of.epoch, of.members);
    if (!placed.ok()) {
        spdlog::error("event=gang_refused job={} error=\"{}\"", of.id, errors::message_of(placed));
        this->propose(apply_gang_proposal{
            membership::gang_abandoned{of.id, of.epoch, membership::gang_end_reason::refused},
            this->hooks.wall_clock_ms()});
        return;
    }
    const auto pending = this->pending_stops.find(of.id);
    if (pending != this->pending_stops.end()) {
        this->coordinator.reclaim(of.id, pending->second.checkpoint_deadline,
                                  pending->second.stop_deadline);
        this->pending_stops.erase(pending);
    }
}

void controller::on_applied(const apply_gang_proposal& of, const command_result&, std::uint64_t)
{
    if (!this->is_leading) {
        return;
    }
    this->coordinator.applied(of.proposal);
    if (const auto* released = std::get_if<membership::gang_released>(&of.proposal)) {
        spdlog::info("event=gang_released job={} epoch={} members={}", released->job,
                     released->epoch, released->members.size());
    }
    else if (const auto* abandoned = std::get_if<membership::gang_abandoned>(&of.proposal)) {
        spdlog::info("event=gang_abandoned job={} epoch={} reason={}", abandoned->job,
                     abandoned->epoch, membership::to_text(abandoned->reason));
        this->release_cells(abandoned->job, true);
    }
    else if (const auto* broken = std::get_if<membership::gang_broken>(&of.proposal)) {
        spdlog::warn("event=gang_broken job={} epoch={} reason={}", broken->job, broken->epoch,
                     membership::to_text(broken->reason));
    }
    else if (const auto* ended = std::get_if<membership::gang_ended>(&of.proposal)) {
        this->on_gang_ended(*ended);
    }
}

void controller::on_gang_ended(const membership::gang_ended& ended)
{
    const job_record* const job = this->state.find_job(ended.job);
    const std::string_view outcome = job == nullptr ? "forgotten" : to_text(job->state);
    spdlog::info("event=gang_ended job={} epoch={} reason={} job_state={}", ended.job, ended.epoch,
                 membership::to_text(ended.reason), outcome);
    if (ended.reason == membership::gang_end_reason::completed) {
        const absl::Status ignored = this->engine->report_finished(ended.job);
        static_cast<void>(ignored);
        return;
    }
    if (job != nullptr && ended.reason == membership::gang_end_reason::member_failed) {
        for (const membership::gang_member_record& member : ended.members) {
            if (member.outcome == membership::task_outcome::failed) {
                const absl::Status ignored =
                    this->engine->report_failure(ended.job, member.worker, job->job.service);
                static_cast<void>(ignored);
            }
        }
    }
    this->release_cells(ended.job, ended.reason == membership::gang_end_reason::reclaimed);
}

void controller::release_cells(std::string_view job, bool checkpointed)
{
    this->pending_stops.erase(std::string(job));
    const job_record* const record = this->state.find_job(job);
    const bool over = record == nullptr || is_final(record->state);
    if (over) {
        // The engine then drops the job when report_stopped is called below.
        const absl::Status ignored = this->engine->cancel(job);
        static_cast<void>(ignored);
    }
    const absl::Status freed = this->engine->report_stopped(job, checkpointed);
    if (!freed.ok()) {
        spdlog::debug("event=no_cells_to_release job={} error=\"{}\"", job,
                      errors::message_of(freed));
    }
}

void controller::end_claims_of_replaced_incarnations()
{
    const steady_time now = this->clock();
    std::vector<replaced_incarnation> waiting;
    for (replaced_incarnation& each : this->replaced_incarnations) {
        const membership::worker_view* const view = this->workers.find(each.worker);
        if (now < each.deadline) {
            waiting.push_back(std::move(each));
        }
        else if (view == nullptr || view->incarnation != each.incarnation) {
            this->mark_claims_unknown(each.worker, each.incarnation);
        }
    }
    this->replaced_incarnations = std::move(waiting);
}

void controller::mark_claims_unknown(const std::string& worker, std::uint64_t incarnation)
{
    this->propose(apply_claim_command{
        request::mark_unknown{worker, incarnation, this->hooks.wall_clock_ms()}});
}

void controller::submit(const job_description& job, command_callback done)
{
    if (this->state.find_job(job.id) == nullptr) {
        // Checks only whether the job can ever be placed. The job is queued when its submission is
        // applied, so that no job is placed whose submission is not in the log.
        const absl::Status fits = this->engine->submit(spec_of(job));
        if (!fits.ok()) {
            spdlog::info("event=placement_decision job={} outcome=refused reason=\"{}\"", job.id,
                         errors::message_of(fits));
            done(fits);
            return;
        }
        const absl::Status ignored = this->engine->cancel(job.id);
        static_cast<void>(ignored);
    }
    this->hooks.propose(submit_job{job, this->hooks.wall_clock_ms()}, std::move(done));
}

void controller::tick()
{
    if (!this->is_leading) {
        return;
    }
    this->handle_lost_workers();
    this->end_claims_of_replaced_incarnations();
    this->review_configuration();
    this->coordinator.tick();
    for (membership::gang_proposal& proposal : this->coordinator.take_proposals()) {
        this->propose(apply_gang_proposal{std::move(proposal), this->hooks.wall_clock_ms()});
    }
    this->place_jobs();
}

void controller::review_configuration()
{
    constexpr milliseconds review_period{1000};
    const steady_time now = this->clock();
    if (now < this->next_review || !this->knows_all_processes()) {
        return;
    }
    this->next_review = now + review_period;
    if (day_of(this->hooks.wall_clock_ms()) != this->guarantees_day) {
        this->update_guarantees();
    }
    const std::uint64_t revision = this->state.configuration().revision();
    for (const auto& [name, view] : this->process_views) {
        if (view.revision < revision && !this->permit_has_ended(view)) {
            return;
        }
    }
    const config::ending_things ending = this->state.configuration().ending();
    for (const config::service& each : ending.services) {
        if (!this->has_open_job("", each.name)) {
            this->propose(remove_withdrawn{config::thing_kind::services, each.name});
        }
    }
    for (const config::client_account& each : ending.client_accounts) {
        if (!this->has_open_job(each.name, "")) {
            this->propose(remove_withdrawn{config::thing_kind::client_accounts, each.name});
        }
    }
}

bool controller::has_open_job(std::string_view account, std::string_view service) const
{
    return std::any_of(this->state.jobs().begin(), this->state.jobs().end(),
                       [account, service](const auto& entry) {
                           const job_record& job = entry.second;
                           return !is_final(job.state) &&
                                  (account.empty() || job.job.account == account) &&
                                  (service.empty() || job.job.service == service);
                       });
}

void controller::handle_lost_workers()
{
    for (const std::string& worker : this->workers.take_lost()) {
        spdlog::warn("event=worker_lost worker={}", worker);
        this->coordinator.on_worker_lost(worker);
        const absl::Status ignored = this->engine->remove_worker(worker);
        static_cast<void>(ignored);
        const auto row = this->agent_table.find(worker);
        if (row != this->agent_table.end()) {
            row->second.agent.lost = true;
            this->increment_version(row->second);
        }
    }
    const steady_time now = this->clock();
    for (const membership::worker_view& view : this->workers.list()) {
        const bool gone = view.lost && view.incarnation != 0 &&
                          now >= view.last_poll + this->options.worker_gone_after;
        if (gone && this->marked_gone.insert(view.worker).second) {
            this->mark_claims_unknown(view.worker, view.incarnation);
        }
    }
}

void controller::place_jobs()
{
    // One call decides a bounded number of jobs; the others wait for the next round, so that polls
    // are answered in between.
    for (const placement::decision& each : this->engine->decide()) {
        log_decision(each.record);
        std::visit([this](const auto& action) { this->carry_out(action); }, each.requested_action);
    }
}

void controller::carry_out(const placement::start_gang& action)
{
    const job_record* const job = this->state.find_job(action.placement.job);
    if (job == nullptr) {
        // The submission is not applied yet: the engine decided before it was committed.
        this->release_cells(action.placement.job, true);
        return;
    }
    place_job placed;
    placed.id = action.placement.job;
    placed.epoch = job->epoch + 1;
    placed.borrowed = action.placement.borrowed;
    placed.uses_guarantee = action.placement.uses_guarantee;
    for (const placement::member_placement& member : action.placement.members) {
        const membership::worker_view* const view = this->workers.find(member.worker);
        membership::gang_member_record record;
        record.worker = member.worker;
        record.incarnation = view == nullptr ? 0 : view->incarnation;
        record.accelerator_mask = member.accelerators;
        // Tasks are limited by accelerators; slots limit requests only.
        record.slots = 0;
        placed.members.push_back(std::move(record));
    }
    this->propose(placed);
}

void controller::carry_out(const placement::reclaim_gang& action)
{
    this->stop_gang(action.job, action.checkpoint_deadline, action.stop_deadline);
}

void controller::carry_out(const placement::move_gang& action)
{
    this->stop_gang(action.job, action.checkpoint_deadline, action.stop_deadline);
}

void controller::stop_gang(const std::string& job, steady_time checkpoint, steady_time stop)
{
    if (this->coordinator.contains(job)) {
        this->coordinator.reclaim(job, checkpoint, stop);
    }
    else {
        this->pending_stops[job] = {checkpoint, stop};
    }
}

void controller::carry_out(const placement::refuse_job& action)
{
    this->propose(
        end_job{action.job, job_state::failed, action.reason, this->hooks.wall_clock_ms()});
}

void controller::propose(const command& of)
{
    this->hooks.propose(of, [](const absl::StatusOr<command_result>& result) {
        if (!result.ok()) {
            spdlog::warn("event=proposal_failed error=\"{}\"", errors::message_of(result.status()));
        }
    });
}

membership::withdrawal_state controller::withdrawal(std::string_view data_centre) const
{
    return this->granter.withdrawal(data_centre);
}

std::vector<process_view> controller::processes() const
{
    std::vector<process_view> views;
    for (const auto& [name, view] : this->process_views) {
        views.push_back(view);
    }
    return views;
}

bool controller::worker_lost(std::string_view worker) const
{
    const membership::worker_view* const view = this->workers.find(worker);
    return view == nullptr || view->lost;
}

bool controller::worker_shutting_down(std::string_view worker) const
{
    const auto found = this->agent_table.find(worker);
    return found != this->agent_table.end() && found->second.agent.shutting_down;
}

bool controller::knows_all_processes() const
{
    return this->is_leading && this->clock() >= this->former_permits_end;
}

bool controller::permit_has_ended(const process_view& process) const
{
    return this->clock() >= process.last_poll + this->options.permits.lifetime_with_margin();
}

} // namespace redwingwheel::control
