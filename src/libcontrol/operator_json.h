#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "operator_interface.h"

namespace redwingwheel::control {

[[nodiscard]] messages::operator_answer answer_json(int status, const nlohmann::json& body);
/// {"outcome": "not_run", "reason": ...}
[[nodiscard]] messages::operator_answer answer_refusal(int status, std::string_view reason);
/// 400 with one problem.
[[nodiscard]] messages::operator_answer
answer_problem(std::string_view field, std::string_view value, std::string_view allowed);

[[nodiscard]] nlohmann::json to_json(const job_record& job);
[[nodiscard]] nlohmann::json to_json(const placement::guarantee_summary& of);

/// Everything that GET /v1/status shows.
[[nodiscard]] nlohmann::json status_json(const control_state& state, const controller& decisions,
                                         const replication::replica_status& log, steady_time now);

struct job_counts {
    std::size_t queued = 0;
    std::size_t running = 0;
};
/// Counts of jobs that have not ended, of one account or, without a name, of all.
[[nodiscard]] job_counts count_jobs(const control_state& state, std::string_view account);

/// Reads the body of POST /v1/jobs. The answer is set when the body is refused.
struct read_job {
    job_description job;
    std::optional<messages::operator_answer> refusal;
};
[[nodiscard]] read_job read_job_body(const parsed_call& call, const control_state& state);

} // namespace redwingwheel::control
