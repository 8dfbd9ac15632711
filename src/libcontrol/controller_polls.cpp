#include "redwingwheel/controller.h"

#include <utility>

#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"

/// Answers of the controller to the polls of agents and entries.
namespace redwingwheel::control {

std::optional<messages::agent_poll_answer> controller::poll(const messages::agent_poll& from)
{
    const membership::worker_view* const known = this->workers.find(from.worker);
    const std::uint64_t former = known == nullptr ? 0 : known->incarnation;
    const membership::poll_result result =
        this->workers.record_poll(from.worker, from.incarnation, from.sequence);
    if (!result.accepted) {
        spdlog::warn("event=stale_poll_refused worker={} sequence={}", from.worker, from.sequence);
        return std::nullopt;
    }
    messages::agent_poll_answer answer;
    this->handle_announcement(from, answer);
    const auto worker = this->state.workers().find(from.worker);
    if (worker == this->state.workers().end()) {
        return answer;
    }
    if (result.new_incarnation) {
        this->coordinator.on_worker_incarnation(from.worker, from.incarnation);
        if (former != 0) {
            this->replaced_incarnations.push_back(
                {from.worker, former,
                 this->clock() + this->options.permits.lifetime_with_margin()});
        }
    }
    if (result.returned) {
        spdlog::info("event=worker_returned worker={}", from.worker);
        this->add_worker(worker->second);
        this->marked_gone.erase(from.worker);
    }
    for (const membership::member_report& report : from.reports) {
        this->coordinator.on_report(from.worker, from.incarnation, report);
    }
    this->handle_usage(from, answer);
    this->update_row(from);
    const std::uint64_t digest = digest::content_hash(pack(from.reports));
    this->reports_changed |=
        digest != std::exchange(this->agent_table[from.worker].reports_digest, digest);
    const std::uint64_t revision = this->state.configuration().revision();
    if (from.revision < revision) {
        answer.catch_up.push_back(this->state.configuration().catch_up_after(from.revision));
    }
    answer.granted = this->granter.grant(worker->second.data_centre, revision);
    answer.commands = this->coordinator.commands_for(from.worker, from.incarnation);
    this->describe_tasks(answer);
    this->record_process(from.worker, "agent", worker->second.data_centre, from.revision);
    return answer;
}

void controller::handle_announcement(const messages::agent_poll& from,
                                     messages::agent_poll_answer& answer)
{
    const auto known = this->state.workers().find(from.worker);
    if (from.announcement.empty()) {
        answer.want_announcement = known == this->state.workers().end();
        return;
    }
    const messages::worker_announcement& announced = from.announcement.front();
    const bool unchanged = known != this->state.workers().end() && known->second == announced;
    if (unchanged || this->pending_announcements.contains(announced.worker)) {
        answer.want_announcement = !unchanged;
        return;
    }
    answer.want_announcement = true;
    this->pending_announcements.insert(announced.worker);
    spdlog::info("event=worker_announced worker={} data_centre={} rack={} accelerators={}",
                 announced.worker, announced.data_centre, announced.rack, announced.accelerators);
    this->propose(announce_worker{announced});
}

void controller::handle_usage(const messages::agent_poll& from, messages::agent_poll_answer& answer)
{
    answer.usage_batch_recorded = this->state.recorded_usage_batch(from.worker, from.incarnation);
    const bool fresh = !from.usage.empty() && from.usage_batch > answer.usage_batch_recorded;
    if (!fresh || this->pending_usage_records.contains(from.worker)) {
        return;
    }
    this->pending_usage_records.insert(from.worker);
    const std::string worker = from.worker;
    this->hooks.propose(record_usage{worker, from.incarnation, from.usage_batch, from.usage},
                        [this, worker](const absl::StatusOr<command_result>&) {
                            this->pending_usage_records.erase(worker);
                        });
}

void controller::update_row(const messages::agent_poll& from)
{
    const messages::worker_announcement& worker = this->state.workers().at(from.worker);
    agent_row& row = this->agent_table[from.worker];
    messages::agent_state next = row.agent;
    next.worker = from.worker;
    next.data_centre = worker.data_centre;
    next.address = worker.address;
    next.incarnation = from.incarnation;
    next.may_start = this->state.data_centre(worker.data_centre).in_service;
    next.shutting_down = from.shutting_down;
    next.lost = false;
    const bool load_changed = row.agent.load.running != from.load.running ||
                              row.agent.load.queued != from.load.queued ||
                              row.agent.load.held_slots != from.load.held_slots ||
                              row.agent.load.error_rate != from.load.error_rate;
    const bool changed =
        row.version == 0 || load_changed || row.agent.lost ||
        row.agent.incarnation != next.incarnation || row.agent.address != next.address ||
        row.agent.may_start != next.may_start || row.agent.shutting_down != next.shutting_down;
    next.load = from.load;
    const absl::Status known = this->engine->set_worker_draining(from.worker, from.shutting_down);
    if (!known.ok()) {
        spdlog::debug("event=worker_not_in_placement worker={}", from.worker);
    }
    row.agent = std::move(next);
    if (changed) {
        this->increment_version(row);
    }
}

void controller::increment_version(agent_row& row)
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

void controller::record_process(std::string_view name, std::string_view role,
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
    for (const auto& [worker, row] : this->agent_table) {
        if (row.version > seen) {
            answer.agents.push_back(row.agent);
        }
    }
    answer.table_version = this->table_version;
    answer.table_term = this->term;
    this->record_process(from.entry, "entry", from.data_centre, from.revision);
    return answer;
}

} // namespace redwingwheel::control
