#include "backend_messages.h"

#include <fmt/format.h>

#include "redwingwheel/json_text.h"

namespace redwingwheel::agent {

using nlohmann::json;

std::string backend_task_id(const membership::task_key& task)
{
    return fmt::format("{}.{}.{}", task.job, task.epoch, task.member);
}

absl::StatusOr<std::string> encode_task_start(const membership::start_task& start,
                                              const messages::task_description& job,
                                              milliseconds lease)
{
    const absl::StatusOr<json> read = json_text::parse(job.parameters);
    if (error_code<json_text::json_errc>(read.status()) == json_text::json_errc::too_deep) {
        return read.status();
    }
    const bool is_object = read.ok() && read->is_object();
    json body = {{"id", backend_task_id(start.task)},
                 {"job", start.task.job},
                 {"epoch", start.task.epoch},
                 {"member", start.task.member},
                 {"account", job.account},
                 {"service", job.service},
                 {"accelerator_mask", start.accelerator_mask},
                 {"lease_ms", lease.count()},
                 {"parameters", is_object ? *read : json::object()}};
    if (is_object && read->contains("run_ms")) {
        body["run_ms"] = (*read)["run_ms"];
    }
    return json_text::dump(body);
}

std::string decode_task_state(std::string_view body)
{
    const absl::StatusOr<json> read = json_text::parse(body);
    if (!read.ok() || !read->is_object()) {
        return "";
    }
    const auto state = read->find("state");
    return state != read->end() && state->is_string() ? state->get<std::string>() : "";
}

} // namespace redwingwheel::agent
