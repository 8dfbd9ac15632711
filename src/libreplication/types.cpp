#include "redwingwheel/replication_types.h"

#include <algorithm>

namespace redwingwheel::replication {

std::string_view error_name(replication_errc code)
{
    switch (code) {
    case replication_errc::not_leader:
        return "not_leader";
    case replication_errc::outcome_unknown:
        return "outcome_unknown";
    case replication_errc::stopped:
        return "stopped";
    case replication_errc::busy:
        return "busy";
    case replication_errc::too_large:
        return "too_large";
    case replication_errc::change_in_progress:
        return "change_in_progress";
    case replication_errc::not_caught_up:
        return "not_caught_up";
    case replication_errc::invalid_member_change:
        return "invalid_member_change";
    case replication_errc::invalid_state:
        return "invalid_state";
    case replication_errc::corrupt:
        return "corrupt";
    case replication_errc::sync_failed:
        return "sync_failed";
    case replication_errc::disk_full:
        return "disk_full";
    }
    return "unknown";
}

absl::StatusCode error_category(replication_errc code)
{
    switch (code) {
    case replication_errc::not_leader:
    case replication_errc::stopped:
    case replication_errc::sync_failed:
        return absl::StatusCode::kUnavailable;
    case replication_errc::outcome_unknown:
        return absl::StatusCode::kUnknown;
    case replication_errc::busy:
    case replication_errc::disk_full:
        return absl::StatusCode::kResourceExhausted;
    case replication_errc::too_large:
        return absl::StatusCode::kInvalidArgument;
    case replication_errc::change_in_progress:
    case replication_errc::not_caught_up:
    case replication_errc::invalid_member_change:
    case replication_errc::invalid_state:
        return absl::StatusCode::kFailedPrecondition;
    case replication_errc::corrupt:
        return absl::StatusCode::kDataLoss;
    }
    return absl::StatusCode::kUnknown;
}

const member* find_member(const std::vector<member>& members, replica_id id)
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [id](const member& entry) { return entry.id == id; });
    return found == members.end() ? nullptr : &*found;
}

} // namespace redwingwheel::replication
