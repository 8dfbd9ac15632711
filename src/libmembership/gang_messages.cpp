#include "redwingwheel/gang_messages.h"

#include <utility>

namespace redwingwheel::membership {

std::string_view error_name(membership_errc code)
{
    switch (code) {
    case membership_errc::malformed_gang:
        return "malformed_gang";
    case membership_errc::gang_exists:
        return "gang_exists";
    case membership_errc::cells_in_use:
        return "cells_in_use";
    }
    return "unknown";
}

absl::StatusCode error_category(membership_errc code)
{
    switch (code) {
    case membership_errc::malformed_gang:
        return absl::StatusCode::kInvalidArgument;
    case membership_errc::gang_exists:
        return absl::StatusCode::kAlreadyExists;
    case membership_errc::cells_in_use:
        return absl::StatusCode::kFailedPrecondition;
    }
    return absl::StatusCode::kUnknown;
}

std::string_view to_text(task_outcome outcome)
{
    switch (outcome) {
    case task_outcome::none:
        return "none";
    case task_outcome::done:
        return "done";
    case task_outcome::failed:
        return "failed";
    case task_outcome::not_run:
        return "not_run";
    case task_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

std::string_view to_text(gang_end_reason reason)
{
    switch (reason) {
    case gang_end_reason::completed:
        return "completed";
    case gang_end_reason::member_failed:
        return "member_failed";
    case gang_end_reason::member_lost:
        return "member_lost";
    case gang_end_reason::refused:
        return "refused";
    case gang_end_reason::timed_out:
        return "timed_out";
    case gang_end_reason::reclaimed:
        return "reclaimed";
    case gang_end_reason::cancelled:
        return "cancelled";
    case gang_end_reason::leader_changed:
        return "leader_changed";
    }
    return "invalid";
}

void gang_record_store::place(std::string_view job, std::uint64_t epoch,
                              std::vector<gang_member_record> members)
{
    this->gangs.insert_or_assign(std::string(job),
                                 gang_record{std::string(job), epoch, logged_gang_phase::placed,
                                             gang_end_reason::member_lost, std::move(members)});
}

void gang_record_store::apply(const gang_proposal& record)
{
    const auto live = [this](const auto& change) {
        const auto found = this->gangs.find(change.job);
        const bool known = found != this->gangs.end() && found->second.epoch == change.epoch;
        return known ? found : this->gangs.end();
    };
    if (const gang_released* const released = std::get_if<gang_released>(&record)) {
        const auto found = live(*released);
        if (found != this->gangs.end()) {
            found->second.phase = logged_gang_phase::released;
            found->second.members = released->members;
        }
    }
    else if (const gang_broken* const broken = std::get_if<gang_broken>(&record)) {
        const auto found = live(*broken);
        if (found != this->gangs.end()) {
            found->second.phase = logged_gang_phase::broken;
            found->second.broken_reason = broken->reason;
        }
    }
    else {
        const gang_ended* const ended = std::get_if<gang_ended>(&record);
        const auto found = ended != nullptr ? live(*ended) : live(std::get<gang_abandoned>(record));
        if (found != this->gangs.end()) {
            this->gangs.erase(found);
        }
    }
}

std::vector<gang_record> gang_record_store::records() const
{
    std::vector<gang_record> all;
    all.reserve(this->gangs.size());
    for (const auto& [job, record] : this->gangs) {
        all.push_back(record);
    }
    return all;
}

void gang_record_store::load(std::vector<gang_record> records)
{
    this->gangs.clear();
    for (gang_record& record : records) {
        std::string job = record.job;
        this->gangs.insert_or_assign(std::move(job), std::move(record));
    }
}

} // namespace redwingwheel::membership
