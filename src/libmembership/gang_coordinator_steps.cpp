#include "redwingwheel/gang.h"

#include <algorithm>
#include <utility>

/// The phase transitions of a gang in the coordinator.
namespace redwingwheel::membership {

std::string_view to_text(gang_phase phase)
{
    switch (phase) {
    case gang_phase::reserving:
        return "reserving";
    case gang_phase::recording:
        return "recording";
    case gang_phase::released:
        return "released";
    case gang_phase::running:
        return "running";
    case gang_phase::stopping:
        return "stopping";
    case gang_phase::ending:
        return "ending";
    case gang_phase::abandoning:
        return "abandoning";
    }
    return "invalid";
}

bool gang_coordinator::apply_report(member_state& member, std::uint64_t incarnation,
                                    const member_report& report)
{
    if (member.record.incarnation == 0) {
        member.record.incarnation = incarnation;
    }
    if (member.record.incarnation != incarnation || member.phase == member_phase::ended) {
        return false;
    }
    const member_phase before = member.phase;
    const bool checkpointed_before = member.checkpointed;
    member.checkpointed = report.checkpointed;
    member.speed_percent = report.speed_percent;
    switch (report.kind) {
    case member_report_kind::reserved_ready:
        if (member.phase == member_phase::reserving) {
            member.phase = member_phase::ready;
        }
        break;
    case member_report_kind::starting:
        break;
    case member_report_kind::running:
    case member_report_kind::stopping:
        member.phase = member_phase::running;
        break;
    case member_report_kind::ended:
        member.phase = member_phase::ended;
        member.record.outcome = report.outcome;
        break;
    case member_report_kind::reservation_expired:
        member.phase = member_phase::ended;
        member.record.outcome = task_outcome::not_run;
        break;
    }
    return member.phase != before || member.checkpointed != checkpointed_before;
}

void gang_coordinator::evaluate(const std::string& job, gang_state& gang)
{
    switch (gang.phase) {
    case gang_phase::reserving:
        this->evaluate_reserving(job, gang);
        break;
    case gang_phase::released:
    case gang_phase::running:
        this->end_expired_members(gang);
        this->evaluate_released(job, gang);
        this->update_partial_run(gang);
        break;
    case gang_phase::stopping:
        this->end_expired_members(gang);
        this->update_partial_run(gang);
        this->evaluate_stopping(job, gang);
        break;
    case gang_phase::recording:
    case gang_phase::ending:
    case gang_phase::abandoning:
        break;
    }
}

void gang_coordinator::evaluate_reserving(const std::string& job, gang_state& gang)
{
    const auto ended = [](const member_state& member) {
        return member.phase == member_phase::ended;
    };
    const auto lost = [](const member_state& member) { return member.lost; };
    const auto ready = [](const member_state& member) {
        return member.phase == member_phase::ready;
    };
    if (std::any_of(gang.members.begin(), gang.members.end(), ended)) {
        this->abandon(job, gang, gang_end_reason::refused);
    }
    else if (std::any_of(gang.members.begin(), gang.members.end(), lost)) {
        this->abandon(job, gang, gang_end_reason::member_lost);
    }
    else if (this->clock() >= gang.reservation_deadline - this->options.release_margin) {
        this->abandon(job, gang, gang_end_reason::timed_out);
    }
    else if (std::all_of(gang.members.begin(), gang.members.end(), ready)) {
        gang.phase = gang_phase::recording;
        gang_released record{job, gang.epoch, {}};
        for (const member_state& member : gang.members) {
            record.members.push_back(member.record);
        }
        this->proposals.emplace_back(std::move(record));
    }
}

/// Marks members as ended once their lease has expired: they cannot run any more, whether or
/// not their agent can be reached.
void gang_coordinator::end_expired_members(gang_state& gang)
{
    const steady_time now = this->clock();
    for (member_state& member : gang.members) {
        if (member.phase == member_phase::ended) {
            continue;
        }
        const steady_time lease_end = member.former_lease_end.value_or(
            member.worker->last_grant + this->options.permits.lifetime_with_margin());
        if (now >= lease_end) {
            member.lost = true;
            member.phase = member_phase::ended;
            member.record.outcome = task_outcome::unknown;
        }
    }
}

void gang_coordinator::evaluate_released(const std::string& job, gang_state& gang)
{
    bool all_ended = true;
    bool all_started = true;
    for (const member_state& member : gang.members) {
        const bool ended = member.phase == member_phase::ended;
        if (member.lost) {
            this->break_gang(job, gang, gang_end_reason::member_lost);
            return;
        }
        if (ended && member.record.outcome != task_outcome::done) {
            const bool not_run = member.record.outcome == task_outcome::not_run;
            this->break_gang(job, gang,
                             not_run ? gang_end_reason::refused : gang_end_reason::member_failed);
            return;
        }
        all_ended = all_ended && ended;
        all_started = all_started && (ended || member.phase == member_phase::running);
    }
    if (all_ended) {
        this->propose_end(job, gang, gang_end_reason::completed);
    }
    else if (all_started) {
        gang.phase = gang_phase::running;
        const bool all_checkpointed =
            std::all_of(gang.members.begin(), gang.members.end(), [](const member_state& member) {
                return member.checkpointed || member.phase == member_phase::ended;
            });
        if (gang.checkpoint_deadline.has_value() &&
            (all_checkpointed || this->clock() >= *gang.checkpoint_deadline)) {
            this->stop_gang(job, gang, gang_end_reason::reclaimed);
        }
    }
    else if (this->clock() >= gang.start_deadline) {
        this->break_gang(job, gang, gang_end_reason::timed_out);
    }
}

void gang_coordinator::evaluate_stopping(const std::string& job, gang_state& gang)
{
    const bool all_ended =
        std::all_of(gang.members.begin(), gang.members.end(),
                    [](const member_state& member) { return member.phase == member_phase::ended; });
    if (all_ended) {
        this->propose_end(job, gang, *gang.reason);
    }
}

void gang_coordinator::abandon(const std::string& job, gang_state& gang, gang_end_reason reason)
{
    gang.phase = gang_phase::abandoning;
    gang.reason = reason;
    this->proposals.emplace_back(gang_abandoned{job, gang.epoch, reason});
}

void gang_coordinator::break_gang(const std::string& job, gang_state& gang, gang_end_reason reason)
{
    gang.phase = gang_phase::stopping;
    gang.reason = reason;
    gang.broken = true;
    this->proposals.emplace_back(gang_broken{job, gang.epoch, reason});
}

void gang_coordinator::stop_gang(const std::string& job, gang_state& gang, gang_end_reason reason)
{
    switch (gang.phase) {
    case gang_phase::reserving:
        this->abandon(job, gang, reason);
        break;
    case gang_phase::recording:
        // The release record may be committed already, so the gang is stopped once it is applied.
        gang.reason = gang.reason.value_or(reason);
        break;
    case gang_phase::released:
    case gang_phase::running:
        gang.phase = gang_phase::stopping;
        gang.reason = reason;
        break;
    case gang_phase::stopping:
    case gang_phase::ending:
    case gang_phase::abandoning:
        break;
    }
}

void gang_coordinator::propose_end(const std::string& job, gang_state& gang, gang_end_reason reason)
{
    this->finish_partial_run(gang);
    gang.phase = gang_phase::ending;
    gang_ended record{job, gang.epoch, reason, {}};
    for (const member_state& member : gang.members) {
        record.members.push_back(member.record);
    }
    this->proposals.emplace_back(std::move(record));
}

void gang_coordinator::applied(const gang_proposal& record)
{
    const auto live = [this](const auto& change) {
        const auto found = this->gangs.find(change.job);
        const bool known = found != this->gangs.end() && found->second.epoch == change.epoch;
        return known ? found : this->gangs.end();
    };
    if (const gang_released* const released = std::get_if<gang_released>(&record)) {
        this->apply_released(*released);
    }
    else if (std::holds_alternative<gang_broken>(record)) {
        ++this->counts.broken;
    }
    else if (const gang_ended* const ended = std::get_if<gang_ended>(&record)) {
        const auto found = live(*ended);
        if (found != this->gangs.end()) {
            ++this->counts.ended;
            this->remove(found);
        }
    }
    else {
        const auto found = live(std::get<gang_abandoned>(record));
        if (found != this->gangs.end()) {
            ++this->counts.abandoned;
            this->remove(found);
        }
    }
}

void gang_coordinator::apply_released(const gang_released& record)
{
    const auto found = this->gangs.find(record.job);
    if (found == this->gangs.end() || found->second.epoch != record.epoch ||
        found->second.phase != gang_phase::recording) {
        return;
    }
    gang_state& gang = found->second;
    const steady_time now = this->clock();
    ++this->counts.released;
    gang.phase = gang_phase::released;
    gang.start_deadline = now + this->options.start_timeout;
    if (gang.reason.has_value()) {
        this->stop_gang(found->first, gang, *gang.reason);
    }
    else if (now >= gang.reservation_deadline) {
        // The reservations expired while the release record was being committed.
        this->break_gang(found->first, gang, gang_end_reason::timed_out);
    }
    this->evaluate(found->first, gang);
}

/// Measures how long some members run while others do not.
void gang_coordinator::update_partial_run(gang_state& gang)
{
    bool running = false;
    bool missing = false;
    for (const member_state& member : gang.members) {
        const bool runs = member.phase == member_phase::running && !member.lost;
        const bool finished =
            member.phase == member_phase::ended && member.record.outcome == task_outcome::done;
        running = running || member.phase == member_phase::running;
        missing = missing || (!runs && !finished);
    }
    if (running && missing) {
        gang.partial_since = gang.partial_since.value_or(this->clock());
    }
    else {
        this->finish_partial_run(gang);
    }
}

void gang_coordinator::finish_partial_run(gang_state& gang)
{
    if (!gang.partial_since.has_value()) {
        return;
    }
    const milliseconds length =
        std::chrono::ceil<milliseconds>(this->clock() - *gang.partial_since);
    gang.partial_since.reset();
    if (gang.broken) {
        ++this->counts.partial_runs;
        this->counts.longest_partial_run = std::max(this->counts.longest_partial_run, length);
        const std::chrono::nanoseconds bound =
            this->options.start_timeout + this->options.permits.lifetime_with_margin();
        this->counts.partial_runs_over_bound += length > bound ? 1 : 0;
    }
    else if (gang.phase == gang_phase::running) {
        this->counts.longest_start_skew = std::max(this->counts.longest_start_skew, length);
    }
}

} // namespace redwingwheel::membership
