#include "scheduler_service_log.h"

#include <chrono>

#include <fmt/format.h>

namespace redwingwheel::jobs {

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string format_task(const task_id& id)
{
    return fmt::format("{}.{}.{}.{}", id.job, id.occurrence, id.step, id.index);
}

std::string format_resources(const resources& each)
{
    return fmt::format("{}/{}/{}", each.cpu_millis, each.memory_mb, each.accelerators);
}

std::string_view command_result_name(command_result result)
{
    switch (result) {
    case command_result::accepted:
        return "accepted";
    case command_result::unknown_queue:
        return "unknown_queue";
    case command_result::unknown_key:
        return "unknown_key";
    case command_result::unknown_job:
        return "unknown_job";
    case command_result::conflicting_version:
        return "conflicting_version";
    case command_result::no_configuration:
        return "no_configuration";
    case command_result::stale:
        return "stale";
    case command_result::invalid_job:
        return "invalid_job";
    case command_result::withdrawn_job:
        return "withdrawn_job";
    case command_result::too_many_withdrawn:
        return "too_many_withdrawn";
    case command_result::no_room:
        return "no_room";
    }
    return "unknown";
}

} // namespace redwingwheel::jobs
