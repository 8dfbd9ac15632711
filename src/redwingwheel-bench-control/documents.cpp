#include "documents.h"

#include <fmt/format.h>

namespace redwingwheel::control::bench {

namespace {

constexpr std::size_t account_count = 8;
constexpr std::size_t workers_per_agreement = 8;

} // namespace

nlohmann::json first_note()
{
    nlohmann::json centres = nlohmann::json::array();
    for (int index = 1; index <= 3; ++index) {
        centres.push_back({{"name", fmt::format("dc{}", index)}, {"region", "r1"}});
    }
    nlohmann::json accounts = nlohmann::json::array();
    nlohmann::json names = nlohmann::json::array();
    for (std::size_t index = 0; index < account_count; ++index) {
        const std::string name = fmt::format("account-{}", index);
        accounts.push_back(
            {{"name", name}, {"token_digest", fmt::format("{:064x}", index + 1)}, {"weight", 1}});
        names.push_back(name);
    }
    const nlohmann::json service = {{"name", "builds"},   {"class", "batch"},
                                    {"idempotent", true}, {"can_checkpoint", false},
                                    {"accounts", names},  {"default_deadline_ms", 60000}};
    return {{"note", "bench-1"},
            {"base", 0},
            {"added",
             {{"data_centres", centres},
              {"client_accounts", accounts},
              {"services", nlohmann::json::array({service})}}}};
}

nlohmann::json agreements_note(std::size_t workers)
{
    nlohmann::json agreements = nlohmann::json::array();
    for (std::size_t index = 0; index <= workers / workers_per_agreement; ++index) {
        agreements.push_back({{"id", fmt::format("agreement-{}", index)},
                              {"account", fmt::format("account-{}", index % account_count)},
                              {"level", "group"},
                              {"count", 1},
                              {"starts", "2026-01-01"},
                              {"ends", "2036-01-01"}});
    }
    return {{"note", "bench-2"}, {"base", 1}, {"added", {{"agreements", agreements}}}};
}

nlohmann::json weight_note(std::uint64_t base)
{
    const nlohmann::json change = {{"name", "account-0"}, {"weight", base % 50 + 2}};
    return {{"note", fmt::format("bench-{}", base + 1)},
            {"base", base},
            {"changed", {{"client_accounts", nlohmann::json::array({change})}}}};
}

std::vector<nlohmann::json> make_jobs(std::size_t count)
{
    std::vector<nlohmann::json> jobs;
    for (std::size_t index = 0; index < count; ++index) {
        jobs.push_back({{"id", fmt::format("job-{}", index)},
                        {"account", fmt::format("account-{}", index % account_count)},
                        {"service", "builds"},
                        {"members", tasks_per_job}});
    }
    return jobs;
}

} // namespace redwingwheel::control::bench
