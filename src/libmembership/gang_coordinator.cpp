#include "redwingwheel/gang.h"

#include <algorithm>
#include <bit>
#include <utility>

#include <fmt/format.h>

/// The coordinator's public functions: placement, reports, log records and the commands for agents.
/// The phase transitions of a gang are in gang_coordinator_steps.cpp.
namespace redwingwheel::membership {

namespace {

/// Order of commands in an answer: those that free slots and accelerators come before reserve
/// commands that may need them.
int command_rank(gang_command_kind kind)
{
    switch (kind) {
    case gang_command_kind::stop:
    case gang_command_kind::acknowledge:
        return 0;
    case gang_command_kind::reserve:
        return 2;
    default:
        return 1;
    }
}

std::uint64_t remaining_ms(std::optional<steady_time> deadline, steady_time now)
{
    return deadline.has_value()
               ? static_cast<std::uint64_t>(remaining_until(*deadline, now).count())
               : 0;
}

} // namespace

gang_coordinator::gang_coordinator(clock_function clock_source, gang_options chosen_options)
    : clock(std::move(clock_source)), options(chosen_options)
{
}

void gang_coordinator::restore(std::uint64_t new_term, std::span<const gang_record> records)
{
    this->term = new_term;
    this->gangs.clear();
    this->workers.clear();
    this->proposals.clear();
    const steady_time now = this->clock();
    for (const gang_record& record : records) {
        gang_state& gang = this->gangs[record.job];
        gang.epoch = record.epoch;
        for (const gang_member_record& member : record.members) {
            member_state& state = gang.members.emplace_back();
            state.record = member;
            state.phase = record.phase == logged_gang_phase::placed ? member_phase::reserving
                                                                    : member_phase::ready;
        }
        this->index_by_worker(record.job, gang);
        gang.start_deadline = now + this->options.start_timeout;
        gang.phase = gang_phase::released;
        if (record.phase == logged_gang_phase::placed) {
            this->abandon(record.job, gang, gang_end_reason::leader_changed);
        }
        else if (record.phase == logged_gang_phase::broken) {
            gang.phase = gang_phase::stopping;
            gang.broken = true;
            gang.reason = record.broken_reason;
        }
    }
}

gang_coordinator::worker_state& gang_coordinator::find_or_add_worker(std::string_view worker)
{
    const auto [found, added] = this->workers.try_emplace(std::string(worker));
    if (added && !this->options.permits.faults.no_wait_after_leader_change) {
        // The former leader may have granted a permit just now, or one may have been sent by other
        // means than a poll's answer.
        found->second.last_grant = this->clock();
    }
    return found->second;
}

void gang_coordinator::index_by_worker(std::string_view job, gang_state& gang)
{
    for (std::uint32_t index = 0; index < gang.members.size(); ++index) {
        member_state& member = gang.members[index];
        member.worker = &this->find_or_add_worker(member.record.worker);
        local_members& local = member.worker->jobs[std::string(job)];
        local.gang = &gang;
        local.indexes.push_back(index);
    }
}

void gang_coordinator::remove(gang_map::iterator gang)
{
    for (const member_state& member : gang->second.members) {
        member.worker->jobs.erase(gang->first);
    }
    this->gangs.erase(gang);
}

absl::Status gang_coordinator::place(std::string_view job, std::uint64_t epoch,
                                     std::vector<gang_member_record> members)
{
    const bool worker_named =
        std::all_of(members.begin(), members.end(),
                    [](const gang_member_record& member) { return !member.worker.empty(); });
    if (job.empty() || members.empty() || !worker_named) {
        return make_error(
            membership_errc::malformed_gang,
            fmt::format("gang of job '{}' needs a job, at least one member and a worker for each",
                        job));
    }
    if (this->contains(job)) {
        return make_error(membership_errc::gang_exists,
                          fmt::format("job '{}' already has a live gang", job));
    }
    if (!this->accelerators_free(members)) {
        return make_error(
            membership_errc::cells_in_use,
            fmt::format("gang of job '{}' names accelerators that are in use or named twice", job));
    }
    gang_state& gang = this->gangs[std::string(job)];
    gang.epoch = epoch;
    gang.reservation_deadline = this->clock() + this->options.reservation_lifetime;
    for (gang_member_record& member : members) {
        const std::uint64_t current = this->find_or_add_worker(member.worker).incarnation;
        member_state& state = gang.members.emplace_back();
        state.lost = member.incarnation != 0 && current != 0 && member.incarnation != current;
        state.record = std::move(member);
    }
    this->index_by_worker(job, gang);
    return absl::OkStatus();
}

bool gang_coordinator::accelerators_free(std::span<const gang_member_record> members) const
{
    std::map<std::string_view, std::uint64_t> taken;
    for (const gang_member_record& member : members) {
        std::uint64_t& mask = taken[member.worker];
        if ((mask & member.accelerator_mask) != 0) {
            return false;
        }
        mask |= member.accelerator_mask;
    }
    for (const auto& [worker, mask] : taken) {
        const auto known = this->workers.find(worker);
        if (known == this->workers.end()) {
            continue;
        }
        for (const auto& [job, local] : known->second.jobs) {
            for (const std::uint32_t index : local.indexes) {
                if ((local.gang->members[index].record.accelerator_mask & mask) != 0) {
                    return false;
                }
            }
        }
    }
    return true;
}

void gang_coordinator::on_report(std::string_view worker, std::uint64_t incarnation,
                                 const member_report& report)
{
    worker_state& sender = this->find_or_add_worker(worker);
    this->change_incarnation(sender, incarnation);
    const auto found = sender.jobs.find(report.task.job);
    const bool known =
        found != sender.jobs.end() && found->second.gang->epoch == report.task.epoch &&
        std::find(found->second.indexes.begin(), found->second.indexes.end(), report.task.member) !=
            found->second.indexes.end();
    if (!known) {
        this->reply_to_unknown(sender, report);
        return;
    }
    gang_state& gang = *found->second.gang;
    if (apply_report(gang.members[report.task.member], incarnation, report)) {
        this->evaluate(found->first, gang);
    }
}

/// Replies to a report of a gang that is not live: it has ended in the log, or its release was
/// never logged.
void gang_coordinator::reply_to_unknown(worker_state& worker, const member_report& report)
{
    const bool ended = report.kind == member_report_kind::ended ||
                       report.kind == member_report_kind::reservation_expired;
    this->counts.unknown_reports += ended ? 0 : 1;
    gang_command reply;
    reply.kind = ended ? gang_command_kind::acknowledge : gang_command_kind::stop;
    reply.task = report.task;
    worker.replies.push_back(std::move(reply));
}

void gang_coordinator::on_worker_lost(std::string_view worker)
{
    for (auto& [job, local] : this->find_or_add_worker(worker).jobs) {
        for (const std::uint32_t index : local.indexes) {
            member_state& member = local.gang->members[index];
            member.lost = member.lost || member.phase != member_phase::ended;
        }
        this->evaluate(job, *local.gang);
    }
}

void gang_coordinator::on_worker_incarnation(std::string_view worker, std::uint64_t incarnation)
{
    this->change_incarnation(this->find_or_add_worker(worker), incarnation);
}

void gang_coordinator::change_incarnation(worker_state& worker, std::uint64_t incarnation)
{
    if (worker.incarnation == incarnation) {
        return;
    }
    worker.incarnation = incarnation;
    worker.replies.clear();
    const steady_time former_end = worker.last_grant + this->options.permits.lifetime_with_margin();
    for (auto& [job, local] : worker.jobs) {
        for (const std::uint32_t index : local.indexes) {
            member_state& member = local.gang->members[index];
            if (member.record.incarnation == incarnation) {
                // The change to the other incarnation came from a delayed message of a former
                // process. This incarnation receives permits again, so its lease is that of the
                // last grant.
                member.former_lease_end.reset();
            }
            else if (member.record.incarnation != 0 && !member.former_lease_end.has_value()) {
                member.former_lease_end = former_end;
                member.lost = member.lost || member.phase != member_phase::ended;
            }
        }
        this->evaluate(job, *local.gang);
    }
}

void gang_coordinator::reclaim(std::string_view job, steady_time checkpoint_deadline,
                               steady_time stop_deadline)
{
    const auto gang = this->gangs.find(job);
    if (gang == this->gangs.end()) {
        return;
    }
    gang->second.stop_deadline = stop_deadline;
    if (gang->second.phase == gang_phase::running) {
        std::optional<steady_time>& known = gang->second.checkpoint_deadline;
        known = std::min(known.value_or(checkpoint_deadline), checkpoint_deadline);
        this->evaluate(gang->first, gang->second);
    }
    else {
        this->stop_gang(gang->first, gang->second, gang_end_reason::reclaimed);
    }
}

void gang_coordinator::cancel(std::string_view job)
{
    const auto gang = this->gangs.find(job);
    if (gang != this->gangs.end()) {
        this->stop_gang(gang->first, gang->second, gang_end_reason::cancelled);
    }
}

void gang_coordinator::throttle(std::string_view job, std::uint32_t speed_percent)
{
    const auto gang = this->gangs.find(job);
    if (gang != this->gangs.end()) {
        gang->second.speed_percent = std::clamp(speed_percent, 1U, 100U);
    }
}

void gang_coordinator::tick()
{
    for (auto& [job, gang] : this->gangs) {
        this->evaluate(job, gang);
    }
}

std::vector<gang_command> gang_coordinator::commands_for(std::string_view worker,
                                                         std::uint64_t incarnation)
{
    worker_state& known = this->find_or_add_worker(worker);
    this->change_incarnation(known, incarnation);
    known.last_grant = this->clock();
    std::vector<gang_command> out = std::exchange(known.replies, {});
    for (const auto& [job, local] : known.jobs) {
        this->append_commands(job, local, out);
    }
    for (gang_command& command : out) {
        command.incarnation = incarnation;
        command.term = this->term;
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const gang_command& left, const gang_command& right) {
                         return command_rank(left.kind) < command_rank(right.kind);
                     });
    return out;
}

void gang_coordinator::append_commands(const std::string& job, const local_members& members,
                                       std::vector<gang_command>& out) const
{
    for (const std::uint32_t index : members.indexes) {
        const member_state& member = members.gang->members[index];
        // The agent ignores commands for a former incarnation.
        if (member.former_lease_end.has_value()) {
            continue;
        }
        std::optional<gang_command> command = this->command_for(*members.gang, member);
        if (command.has_value()) {
            command->task = {job, members.gang->epoch, index};
            out.push_back(std::move(*command));
        }
    }
}

std::optional<gang_command> gang_coordinator::command_for(const gang_state& gang,
                                                          const member_state& member) const
{
    const steady_time now = this->clock();
    gang_command command;
    switch (gang.phase) {
    case gang_phase::reserving:
        if (member.phase == member_phase::reserving && now < gang.reservation_deadline) {
            command.kind = gang_command_kind::reserve;
            command.accelerator_mask = member.record.accelerator_mask;
            command.slots = member.record.slots;
            command.remaining_ms = remaining_ms(gang.reservation_deadline, now);
            return command;
        }
        break;
    case gang_phase::released:
    case gang_phase::running:
        if (member.phase == member_phase::ready) {
            command.kind = gang_command_kind::release;
            return command;
        }
        if (member.phase == member_phase::running && gang.checkpoint_deadline.has_value() &&
            !member.checkpointed) {
            command.kind = gang_command_kind::checkpoint;
            command.remaining_ms = remaining_ms(gang.checkpoint_deadline, now);
            return command;
        }
        if (member.phase == member_phase::running && member.speed_percent != gang.speed_percent) {
            command.kind = gang_command_kind::throttle;
            command.speed_percent = gang.speed_percent;
            return command;
        }
        break;
    case gang_phase::stopping:
    case gang_phase::abandoning:
        if (member.phase != member_phase::ended) {
            command.kind = gang_command_kind::stop;
            command.remaining_ms = remaining_ms(gang.stop_deadline, now);
            return command;
        }
        break;
    case gang_phase::recording:
    case gang_phase::ending:
        break;
    }
    return std::nullopt;
}

void gang_coordinator::record_grant(std::string_view worker)
{
    this->find_or_add_worker(worker).last_grant = this->clock();
}

std::vector<gang_proposal> gang_coordinator::take_proposals()
{
    return std::exchange(this->proposals, {});
}

std::vector<gang_view> gang_coordinator::list() const
{
    std::vector<gang_view> views;
    views.reserve(this->gangs.size());
    for (const auto& [job, gang] : this->gangs) {
        gang_view& view = views.emplace_back();
        view.job = job;
        view.epoch = gang.epoch;
        view.phase = gang.phase;
        for (const member_state& member : gang.members) {
            view.members.push_back(member.record);
        }
    }
    return views;
}

bool gang_coordinator::contains(std::string_view job) const
{
    return this->gangs.find(job) != this->gangs.end();
}

} // namespace redwingwheel::membership
