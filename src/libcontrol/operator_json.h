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
[[nodiscard]] nlohmann::json to_json(const placement::guarantee_summary& summary);

/// Body of the answer to GET /v1/status.
[[nodiscard]] nlohmann::json status_json(const control_state& state, const controller& decisions,
                                         const replication::replica_status& log, steady_time now);

struct job_counts {
    std::size_t queued = 0;
    std::size_t running = 0;
};
/// Counts the queued jobs and the placed or running jobs of an account; of all accounts when
/// `account` is empty.
[[nodiscard]] job_counts count_jobs(const control_state& state, std::string_view account);

/// Result of parse_job_body. `refusal` is set when the job is refused; `job` is then incomplete.
struct parsed_job {
    job_description job;
    std::optional<messages::operator_answer> refusal;
};
/// Parses and checks the body of POST /v1/jobs.
[[nodiscard]] parsed_job parse_job_body(const parsed_call& call, const control_state& state);

} // namespace redwingwheel::control
