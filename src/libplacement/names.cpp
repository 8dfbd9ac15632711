#include "redwingwheel/placement.h"

namespace redwingwheel::placement {

std::string_view name_of(cell_level level)
{
    switch (level) {
    case cell_level::accelerator:
        return "accelerator";
    case cell_level::group:
        return "group";
    case cell_level::host:
        return "host";
    case cell_level::rack:
        return "rack";
    case cell_level::data_centre:
        return "data_centre";
    }
    return "unknown";
}

std::string_view name_of(job_priority priority)
{
    switch (priority) {
    case job_priority::urgent:
        return "urgent";
    case job_priority::normal:
        return "normal";
    case job_priority::low:
        return "low";
    }
    return "unknown";
}

std::string_view error_layer(placement_errc)
{
    return "placement";
}

std::string_view error_name(placement_errc code)
{
    switch (code) {
    case placement_errc::never_fits:
        return "never_fits";
    case placement_errc::invalid_job:
        return "invalid_job";
    case placement_errc::duplicate_job:
        return "duplicate_job";
    case placement_errc::unknown_job:
        return "unknown_job";
    case placement_errc::invalid_worker:
        return "invalid_worker";
    case placement_errc::unknown_worker:
        return "unknown_worker";
    case placement_errc::invalid_guarantee:
        return "invalid_guarantee";
    case placement_errc::unknown_data_centre:
        return "unknown_data_centre";
    case placement_errc::conflicting_placement:
        return "conflicting_placement";
    }
    return "unknown";
}

absl::StatusCode error_category(placement_errc code)
{
    switch (code) {
    case placement_errc::unknown_job:
    case placement_errc::unknown_worker:
    case placement_errc::unknown_data_centre:
        return absl::StatusCode::kNotFound;
    case placement_errc::duplicate_job:
        return absl::StatusCode::kAlreadyExists;
    case placement_errc::never_fits:
    case placement_errc::conflicting_placement:
        return absl::StatusCode::kFailedPrecondition;
    default:
        return absl::StatusCode::kInvalidArgument;
    }
}

} // namespace redwingwheel::placement
