#include "redwingwheel/controller.h"

#include <algorithm>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::control {

namespace {

placement::worker_spec spec_of(const messages::worker_announcement& worker)
{
    placement::worker_spec spec;
    spec.name = worker.worker;
    spec.data_centre = worker.data_centre;
    spec.rack = worker.rack;
    spec.accelerators = worker.accelerators;
    spec.accelerators_per_group = worker.accelerators_per_group;
    return spec;
}

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

std::chrono::sys_days day_of(std::int64_t unix_ms)
{
    const std::chrono::sys_time<milliseconds> time{milliseconds(unix_ms)};
    return std::chrono::floor<std::chrono::days>(time);
}

void log_decision(const placement::decision_record& record)
{
    std::string refused;
    for (const placement::refused_candidate& candidate : record.refused) {
        refused +=
            fmt::format("{}{}:{}", refused.empty() ? "" : ";", candidate.place, candidate.reason);
    }
    spdlog::info("event=placement_decision job={} outcome={} workers=[{}] reason=\"{}\" "
                 "refused=\"{}\"",
                 record.job, record.outcome, fmt::join(record.workers, ","), record.reason,
                 refused);
}

} // namespace

std::vector<placement::guarantee> guarantees_of(const config::configuration& configuration,
                                                std::optional<std::int64_t> now_ms)
{
    std::vector<config::agreement> agreements = configuration.agreements();
    std::stable_sort(agreements.begin(), agreements.end(),
                     [](const config::agreement& left, const config::agreement& right) {
                         return left.starts < right.starts;
                     });
    std::vector<placement::guarantee> guarantees;
    for (const config::agreement& each : agreements) {
        if (now_ms.has_value() && !config::in_term(each, day_of(*now_ms))) {
            continue;
        }
        placement::guarantee wanted;
        wanted.agreement = each.id;
        wanted.account = each.account;
        wanted.level = static_cast<placement::cell_level>(each.level);
        wanted.count = each.count;
        wanted.data_centre = each.data_centre;
        guarantees.push_back(std::move(wanted));
    }
    return guarantees;
}

std::vector<config::problem>
check_feasibility(const config::configuration& proposed,
                  const std::vector<messages::worker_announcement>& inventory)
{
    std::vector<config::problem> problems;
    // The engine needs a clock, which this check does not use.
    placement::engine trial({}, [] { return steady_time(); });
    for (const messages::worker_announcement& worker : inventory) {
        const absl::Status added = trial.add_worker(spec_of(worker));
        if (!added.ok()) {
            spdlog::warn("event=worker_refused worker={} error=\"{}\"", worker.worker,
                         errors::message_of(added));
        }
    }
    const std::vector<placement::guarantee> wanted = guarantees_of(proposed, std::nullopt);
    for (const placement::shortfall& each : trial.check_guarantees(wanted)) {
        problems.push_back(
            {"", fmt::format("agreements.{}.count", each.agreement), fmt::format("{}", each.wanted),
             fmt::format("at most {} cells of level {} in {}", each.wanted - each.missing,
                         placement::name_of(each.level),
                         each.data_centre.empty() ? "any data centre" : each.data_centre)});
    }
    return problems;
}

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
    this->former_permits_end = this->clock() + this->options.permits.surely_ended_after();
    this->granter.begin_leadership();
    this->workers.clear();
    this->engine = std::make_unique<placement::engine>(this->options.placement, this->clock);
    this->rows.clear();
    this->process_views.clear();
    this->early_stops.clear();
    this->announcing.clear();
    this->recording_usage.clear();
    this->marked_gone.clear();
    this->replaced.clear();
    for (const auto& [name, worker] : this->state.workers()) {
        this->add_worker(worker);
        this->workers.expect(name);
    }
    this->note_data_centres();
    const std::vector<membership::gang_record> gangs = this->state.gangs().records();
    this->coordinator.restore(leader_term, gangs);
    // Placements first: the cells of guarantees are then chosen with what runs in view.
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
    this->note_data_centres();
}

void controller::note_data_centres()
{
    for (const auto& [name, record] : this->state.data_centres()) {
        this->granter.note_change(name, record.in_service, record.change_index);
        // The engine knows a data centre once a worker of it is announced.
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
        if (job.step == job_step::placed || job.step == job_step::running) {
            status = this->engine->restore(spec_of(job.job), placement_of(job));
            if (job.cancel_requested) {
                this->coordinator.cancel(id);
            }
        }
        else if (job.step == job_step::queued) {
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

void controller::on_applied(const apply_note& of, const command_result& result, std::uint64_t)
{
    if (!result.accepted || result.note->resend) {
        return;
    }
    spdlog::info("event=note_in_log note={} revision={}", of.note.note, result.note->revision);
    this->note_data_centres();
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
    this->note_data_centres();
    for (auto& [worker, row] : this->rows) {
        if (row.entry.data_centre != of.data_centre) {
            continue;
        }
        const bool returned = of.in_service && !row.entry.may_start;
        row.entry.may_start = of.in_service;
        row.entry.ramp_remaining_ms =
            returned ? static_cast<std::uint64_t>(this->options.placement.ramp_time.count()) : 0;
        this->touch(row);
    }
}

void controller::on_applied(const announce_worker& of, const command_result&, std::uint64_t)
{
    this->announcing.erase(of.worker.worker);
    if (!this->is_leading) {
        return;
    }
    this->add_worker(of.worker);
    this->note_data_centres();
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
        this->propose(end_job{of.job.id, job_step::failed, errors::message_of(queued),
                              this->hooks.wall_clock_ms()});
    }
}

void controller::on_applied(const cancel_job& of, const command_result& result, std::uint64_t)
{
    if (!this->is_leading || !result.accepted) {
        return;
    }
    const job_record* const job = this->state.find_job(of.id);
    if (job->step == job_step::cancelled) {
        const absl::Status ignored = this->engine->cancel(of.id);
        static_cast<void>(ignored);
    }
    else if (!is_final(job->step)) {
        this->coordinator.cancel(of.id);
    }
}

void controller::on_applied(const end_job& of, const command_result& result, std::uint64_t)
{
    if (result.accepted) {
        spdlog::info("event=job_ended job={} outcome={} reason=\"{}\"", of.id, to_text(of.step),
                     of.reason);
    }
}

void controller::on_applied(const place_job& of, const command_result& result, std::uint64_t)
{
    if (!this->is_leading) {
        return;
    }
    if (!result.accepted) {
        // The job was cancelled between the decision and its record.
        this->release_cells(of.id, true);
        return;
    }
    const absl::Status placed = this->coordinator.place(of.id, of.epoch, of.members);
    if (!placed.ok()) {
        spdlog::error("event=gang_not_placed job={} error=\"{}\"", of.id,
                      errors::message_of(placed));
        this->propose(gang_step_command{
            membership::gang_abandoned{of.id, of.epoch, membership::gang_end_reason::refused},
            this->hooks.wall_clock_ms()});
        return;
    }
    const auto early = this->early_stops.find(of.id);
    if (early != this->early_stops.end()) {
        this->coordinator.reclaim(of.id, early->second.checkpoint_deadline,
                                  early->second.stop_deadline);
        this->early_stops.erase(early);
    }
}

void controller::on_applied(const gang_step_command& of, const command_result&, std::uint64_t)
{
    if (!this->is_leading) {
        return;
    }
    this->coordinator.applied(of.step);
    if (const auto* released = std::get_if<membership::gang_released>(&of.step)) {
        spdlog::info("event=gang_released job={} epoch={} members={}", released->job,
                     released->epoch, released->members.size());
    }
    else if (const auto* abandoned = std::get_if<membership::gang_abandoned>(&of.step)) {
        spdlog::info("event=gang_abandoned job={} epoch={} reason={}", abandoned->job,
                     abandoned->epoch, membership::to_text(abandoned->reason));
        this->release_cells(abandoned->job, true);
    }
    else if (const auto* broken = std::get_if<membership::gang_broken>(&of.step)) {
        spdlog::warn("event=gang_broken job={} epoch={} reason={}", broken->job, broken->epoch,
                     membership::to_text(broken->reason));
    }
    else if (const auto* ended = std::get_if<membership::gang_ended>(&of.step)) {
        this->note_gang_end(*ended);
    }
}

void controller::note_gang_end(const membership::gang_ended& step)
{
    const job_record* const job = this->state.find_job(step.job);
    const std::string_view outcome = job == nullptr ? "forgotten" : to_text(job->step);
    spdlog::info("event=gang_ended job={} epoch={} reason={} job_state={}", step.job, step.epoch,
                 membership::to_text(step.reason), outcome);
    if (step.reason == membership::gang_end_reason::completed) {
        const absl::Status ignored = this->engine->finish(step.job);
        static_cast<void>(ignored);
        return;
    }
    if (job != nullptr && step.reason == membership::gang_end_reason::member_failed) {
        for (const membership::gang_member_record& member : step.members) {
            if (member.outcome == membership::task_outcome::failed) {
                const absl::Status ignored =
                    this->engine->report_failure(step.job, member.worker, job->job.service);
                static_cast<void>(ignored);
            }
        }
    }
    this->release_cells(step.job, step.reason == membership::gang_end_reason::reclaimed);
}

void controller::release_cells(std::string_view job, bool checkpointed)
{
    this->early_stops.erase(std::string(job));
    const job_record* const record = this->state.find_job(job);
    const bool over = record == nullptr || is_final(record->step);
    if (over) {
        // The engine then forgets the job once it has stopped, which it has.
        const absl::Status ignored = this->engine->cancel(job);
        static_cast<void>(ignored);
    }
    const absl::Status freed = this->engine->stopped(job, checkpointed);
    if (!freed.ok()) {
        spdlog::debug("event=cells_not_held job={} error=\"{}\"", job, errors::message_of(freed));
    }
}

std::optional<messages::agent_poll_answer> controller::poll(const messages::agent_poll& from)
{
    const membership::worker_view* const known = this->workers.find(from.worker);
    const std::uint64_t former = known == nullptr ? 0 : known->incarnation;
    const membership::poll_verdict verdict =
        this->workers.poll(from.worker, from.incarnation, from.sequence);
    if (!verdict.accepted) {
        spdlog::warn("event=poll_refused worker={} sequence={}", from.worker, from.sequence);
        return std::nullopt;
    }
    messages::agent_poll_answer answer;
    this->take_announcement(from, answer);
    const auto worker = this->state.workers().find(from.worker);
    if (worker == this->state.workers().end()) {
        return answer;
    }
    if (verdict.new_incarnation) {
        this->coordinator.on_worker_incarnation(from.worker, from.incarnation);
        if (former != 0) {
            this->replaced.push_back(
                {from.worker, former, this->clock() + this->options.permits.surely_ended_after()});
        }
    }
    if (verdict.returned) {
        spdlog::info("event=worker_returned worker={}", from.worker);
        this->add_worker(worker->second);
        this->marked_gone.erase(from.worker);
    }
    for (const membership::member_report& report : from.reports) {
        this->coordinator.on_report(from.worker, from.incarnation, report);
    }
    this->take_usage(from, answer);
    this->update_row(from);
    const std::uint64_t digest = digest::content_hash(pack(from.reports));
    this->reports_changed |=
        digest != std::exchange(this->rows[from.worker].reports_digest, digest);
    const std::uint64_t revision = this->state.configuration().revision();
    if (from.revision < revision) {
        answer.catch_up.push_back(this->state.configuration().catch_up_after(from.revision));
    }
    answer.granted = this->granter.grant(worker->second.data_centre, revision);
    answer.commands = this->coordinator.commands_for(from.worker, from.incarnation);
    this->describe_tasks(answer);
    this->note_process(from.worker, "agent", worker->second.data_centre, from.revision);
    return answer;
}

void controller::end_claims_of_replaced()
{
    const steady_time now = this->clock();
    std::vector<replaced_incarnation> waiting;
    for (replaced_incarnation& each : this->replaced) {
        const membership::worker_view* const view = this->workers.find(each.worker);
        if (now < each.deadline) {
            waiting.push_back(std::move(each));
        }
        else if (view == nullptr || view->incarnation != each.incarnation) {
            this->mark_claims_unknown(each.worker, each.incarnation);
        }
    }
    this->replaced = std::move(waiting);
}

void controller::mark_claims_unknown(const std::string& worker, std::uint64_t incarnation)
{
    this->propose(
        claim_step{request::mark_unknown{worker, incarnation, this->hooks.wall_clock_ms()}});
}

void controller::take_announcement(const messages::agent_poll& from,
                                   messages::agent_poll_answer& answer)
{
    const auto known = this->state.workers().find(from.worker);
    if (from.announcement.empty()) {
        answer.want_announcement = known == this->state.workers().end();
        return;
    }
    const messages::worker_announcement& announced = from.announcement.front();
    const bool unchanged = known != this->state.workers().end() && known->second == announced;
    if (unchanged || this->announcing.contains(announced.worker)) {
        answer.want_announcement = !unchanged;
        return;
    }
    answer.want_announcement = true;
    this->announcing.insert(announced.worker);
    spdlog::info("event=worker_announced worker={} data_centre={} rack={} accelerators={}",
                 announced.worker, announced.data_centre, announced.rack, announced.accelerators);
    this->propose(announce_worker{announced});
}

void controller::take_usage(const messages::agent_poll& from, messages::agent_poll_answer& answer)
{
    answer.usage_batch_recorded = this->state.recorded_usage_batch(from.worker, from.incarnation);
    const bool fresh = !from.usage.empty() && from.usage_batch > answer.usage_batch_recorded;
    if (!fresh || this->recording_usage.contains(from.worker)) {
        return;
    }
    this->recording_usage.insert(from.worker);
    const std::string worker = from.worker;
    this->hooks.propose(record_usage{worker, from.incarnation, from.usage_batch, from.usage},
                        [this, worker](const absl::StatusOr<command_result>&) {
                            this->recording_usage.erase(worker);
                        });
}

void controller::update_row(const messages::agent_poll& from)
{
    const messages::worker_announcement& worker = this->state.workers().at(from.worker);
    agent_row& row = this->rows[from.worker];
    messages::agent_entry next = row.entry;
    next.worker = from.worker;
    next.data_centre = worker.data_centre;
    next.address = worker.address;
    next.incarnation = from.incarnation;
    next.may_start = this->state.data_centre(worker.data_centre).in_service;
    next.shutting_down = from.shutting_down;
    next.lost = false;
    const bool load_changed = row.entry.load.running != from.load.running ||
                              row.entry.load.queued != from.load.queued ||
                              row.entry.load.held_slots != from.load.held_slots ||
                              row.entry.load.error_share != from.load.error_share;
    const bool changed =
        row.version == 0 || load_changed || row.entry.lost ||
        row.entry.incarnation != next.incarnation || row.entry.address != next.address ||
        row.entry.may_start != next.may_start || row.entry.shutting_down != next.shutting_down;
    next.load = from.load;
    const absl::Status known = this->engine->set_worker_draining(from.worker, from.shutting_down);
    if (!known.ok()) {
        spdlog::debug("event=worker_not_placed_on worker={}", from.worker);
    }
    row.entry = std::move(next);
    if (changed) {
        this->touch(row);
    }
}

void controller::touch(agent_row& row)
{
    row.version = ++this->table_version;
}

void controller::describe_tasks(messages::agent_poll_answer& answer) const
{
    for (const membership::gang_command& each : answer.commands) {
        if (each.kind != membership::gang_command_kind::reserve) {
            continue;
        }
        const job_record* const job = this->state.find_job(each.task.job);
        if (job != nullptr) {
            answer.tasks.push_back({each.task.job, job->job.account, job->job.service,
                                    job->job.parameters, job->job.can_checkpoint});
        }
    }
}

void controller::note_process(std::string_view name, std::string_view role,
                              std::string_view data_centre, std::uint64_t revision)
{
    process_view& view = this->process_views[std::string(name)];
    view.name = name;
    view.role = role;
    view.data_centre = data_centre;
    view.revision = revision;
    view.last_poll = this->clock();
}

messages::entry_poll_answer controller::poll(const messages::entry_poll& from)
{
    messages::entry_poll_answer answer;
    const std::uint64_t revision = this->state.configuration().revision();
    answer.granted = this->granter.grant(from.data_centre, revision);
    if (from.revision < revision) {
        answer.catch_up.push_back(this->state.configuration().catch_up_after(from.revision));
    }
    const std::uint64_t seen = from.table_term == this->term ? from.table_version : 0;
    for (const auto& [worker, row] : this->rows) {
        if (row.version > seen) {
            answer.agents.push_back(row.entry);
        }
    }
    answer.table_version = this->table_version;
    answer.table_term = this->term;
    this->note_process(from.entry, "entry", from.data_centre, from.revision);
    return answer;
}

void controller::submit(const job_description& job, command_done done)
{
    if (this->state.find_job(job.id) == nullptr) {
        // Only asks whether the job can ever run: it is queued once its submission is applied, so
        // that nothing is placed that the log does not know.
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
    this->lose_workers();
    this->end_claims_of_replaced();
    this->review_configuration();
    this->coordinator.tick();
    for (membership::gang_proposal& step : this->coordinator.take_proposals()) {
        this->propose(gang_step_command{std::move(step), this->hooks.wall_clock_ms()});
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
        if (view.revision < revision && !this->permit_surely_ended(view)) {
            return;
        }
    }
    const config::ending_things ending = this->state.configuration().ending();
    for (const config::service& each : ending.services) {
        if (!this->has_open_job("", each.name)) {
            this->propose(forget_withdrawn{config::thing_kind::services, each.name});
        }
    }
    for (const config::client_account& each : ending.client_accounts) {
        if (!this->has_open_job(each.name, "")) {
            this->propose(forget_withdrawn{config::thing_kind::client_accounts, each.name});
        }
    }
}

bool controller::has_open_job(std::string_view account, std::string_view service) const
{
    return std::any_of(this->state.jobs().begin(), this->state.jobs().end(),
                       [account, service](const auto& entry) {
                           const job_record& job = entry.second;
                           return !is_final(job.step) &&
                                  (account.empty() || job.job.account == account) &&
                                  (service.empty() || job.job.service == service);
                       });
}

void controller::lose_workers()
{
    for (const std::string& worker : this->workers.take_lost()) {
        spdlog::warn("event=worker_lost worker={}", worker);
        this->coordinator.on_worker_lost(worker);
        const absl::Status ignored = this->engine->remove_worker(worker);
        static_cast<void>(ignored);
        const auto row = this->rows.find(worker);
        if (row != this->rows.end()) {
            row->second.entry.lost = true;
            this->touch(row->second);
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
    // A turn is bounded; the rest waits, so that polls are answered meanwhile.
    for (const placement::decision& each : this->engine->decide()) {
        log_decision(each.record);
        std::visit([this](const auto& what) { this->act(what); }, each.what);
    }
}

void controller::act(const placement::start_gang& what)
{
    const job_record* const job = this->state.find_job(what.placement.job);
    if (job == nullptr) {
        // Its submission is not applied yet; the engine has decided ahead of the log.
        this->release_cells(what.placement.job, true);
        return;
    }
    place_job placed;
    placed.id = what.placement.job;
    placed.epoch = job->epoch + 1;
    placed.borrowed = what.placement.borrowed;
    placed.uses_guarantee = what.placement.uses_guarantee;
    for (const placement::member_placement& member : what.placement.members) {
        const membership::worker_view* const view = this->workers.find(member.worker);
        membership::gang_member_record record;
        record.worker = member.worker;
        record.incarnation = view == nullptr ? 0 : view->incarnation;
        record.accelerator_mask = member.accelerators;
        // Tasks are counted by their accelerators; slots are for requests.
        record.slots = 0;
        placed.members.push_back(std::move(record));
    }
    this->propose(placed);
}

void controller::act(const placement::reclaim_gang& what)
{
    this->stop_gang(what.job, what.checkpoint_deadline, what.stop_deadline);
}

void controller::act(const placement::move_gang& what)
{
    this->stop_gang(what.job, what.checkpoint_deadline, what.stop_deadline);
}

void controller::stop_gang(const std::string& job, steady_time checkpoint, steady_time stop)
{
    if (this->coordinator.contains(job)) {
        this->coordinator.reclaim(job, checkpoint, stop);
    }
    else {
        this->early_stops[job] = {checkpoint, stop};
    }
}

void controller::act(const placement::refuse_job& what)
{
    this->propose(end_job{what.job, job_step::failed, what.reason, this->hooks.wall_clock_ms()});
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
    const auto found = this->rows.find(worker);
    return found != this->rows.end() && found->second.entry.shutting_down;
}

bool controller::knows_all_processes() const
{
    return this->is_leading && this->clock() >= this->former_permits_end;
}

bool controller::permit_surely_ended(const process_view& of) const
{
    return this->clock() >= of.last_poll + this->options.permits.surely_ended_after();
}

} // namespace redwingwheel::control
