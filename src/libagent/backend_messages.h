#pragma once

#include <string>
#include <string_view>

#include "redwingwheel/gang.h"
#include "redwingwheel/messages.h"

/// The bodies that an agent exchanges with its backend server about tasks.
namespace redwingwheel::agent {

/// Id of a task at the backend server: "JOB.EPOCH.MEMBER".
[[nodiscard]] std::string backend_task_id(const membership::task_key& task);

/// Body of the call that starts a task. `lease` is the time that the task's first lease has left.
/// Parameters that are not an object are sent as {}. Errors: json_errc::too_deep when the
/// parameters nest deeper than json_text::max_depth, as control versions before that limit
/// accepted.
[[nodiscard]] absl::StatusOr<std::string> encode_task_start(const membership::start_task& start,
                                                            const messages::task_description& job,
                                                            milliseconds lease);

/// The state in a backend server's answer about a task; empty when the answer names none.
[[nodiscard]] std::string decode_task_state(std::string_view body);

} // namespace redwingwheel::agent
