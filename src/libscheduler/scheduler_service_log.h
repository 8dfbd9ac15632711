#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "redwingwheel/job_state.h"

/// What the parts of the scheduler service share for their log lines.
namespace redwingwheel::jobs {

/// Wall clock time of this process in Unix milliseconds.
[[nodiscard]] std::int64_t unix_ms();
[[nodiscard]] std::string format_task(const task_id& id);
/// Thousandths of a core, MiB and accelerators.
[[nodiscard]] std::string format_resources(const resources& each);
[[nodiscard]] std::string_view command_result_name(command_result result);

} // namespace redwingwheel::jobs
