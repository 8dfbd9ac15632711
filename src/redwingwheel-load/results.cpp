#include "results.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "redwingwheel/errors.h"

namespace redwingwheel::load {

namespace {

constexpr int status_ok = 200;
constexpr double median_percent = 50.0;
constexpr double tail_percent = 99.0;

std::string outcome_text(const http::client_response& answer)
{
    const auto header = answer.headers.find("x-outcome");
    if (header != answer.headers.end()) {
        return header->second;
    }
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    const auto member = body.is_object() ? body.find("outcome") : body.end();
    if (member != body.end() && member->is_string()) {
        return member->get<std::string>();
    }
    return answer.status == status_ok ? "done" : "failed";
}

} // namespace

request_result classify(const absl::StatusOr<http::client_response>& answer)
{
    if (!answer.ok()) {
        return http::was_not_sent(answer.status()) ? request_result::not_connected
                                                   : request_result::lost;
    }
    const std::string text = outcome_text(*answer);
    if (text == "done") {
        return request_result::done;
    }
    if (text == "not_run") {
        return request_result::not_run;
    }
    return text == "unknown" ? request_result::unknown : request_result::failed;
}

bool answer_matches(std::string_view answer, std::size_t length, std::uint64_t digest)
{
    const nlohmann::json read = nlohmann::json::parse(answer, nullptr, false);
    if (!read.is_object()) {
        return false;
    }
    const auto read_length = read.find("length");
    const auto read_digest = read.find("digest");
    return read_length != read.end() && *read_length == length && read_digest != read.end() &&
           *read_digest == fmt::format("{:016x}", digest);
}

double percentile(std::vector<double> values, double percent)
{
    if (values.empty()) {
        return 0.0;
    }
    const double rank = std::ceil(static_cast<double>(values.size()) * percent / 100.0);
    const std::size_t index =
        std::clamp<std::size_t>(static_cast<std::size_t>(rank), 1, values.size()) - 1;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void service_results::note(request_result result, bool right_answer, double latency_ms,
                           double deadline_ms)
{
    ++this->sent;
    switch (result) {
    case request_result::done:
        ++this->done;
        this->wrong += right_answer ? 0 : 1;
        this->in_time += right_answer && latency_ms <= deadline_ms ? 1 : 0;
        this->latencies_ms.push_back(latency_ms);
        break;
    case request_result::failed:
        ++this->failed;
        break;
    case request_result::not_run:
        ++this->not_run;
        break;
    case request_result::unknown:
        ++this->unknown;
        break;
    case request_result::lost:
        ++this->lost;
        break;
    case request_result::not_connected:
        ++this->not_connected;
        break;
    }
}

service_results sum_results(const std::vector<service_results>& services)
{
    service_results sum;
    sum.service = "all";
    for (const service_results& each : services) {
        sum.sent += each.sent;
        sum.done += each.done;
        sum.failed += each.failed;
        sum.not_run += each.not_run;
        sum.unknown += each.unknown;
        sum.lost += each.lost;
        sum.not_connected += each.not_connected;
        sum.wrong += each.wrong;
        sum.in_time += each.in_time;
        sum.latencies_ms.insert(sum.latencies_ms.end(), each.latencies_ms.begin(),
                                each.latencies_ms.end());
    }
    return sum;
}

void print_table(std::ostream& out, const std::vector<service_results>& rows, double seconds)
{
    out << fmt::format("{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}{:>8}{:>6}{:>10}{:>10}{:>10}\n",
                       "service", "sent", "done", "failed", "not_run", "unknown", "lost", "no_conn",
                       "wrong", "goodput/s", "median_ms", "p99_ms");
    for (const service_results& row : rows) {
        out << fmt::format(
            "{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}{:>8}{:>6}{:>10.1f}{:>10.2f}{:>10.2f}\n",
            row.service, row.sent, row.done, row.failed, row.not_run, row.unknown, row.lost,
            row.not_connected, row.wrong, static_cast<double>(row.in_time) / seconds,
            percentile(row.latencies_ms, median_percent),
            percentile(row.latencies_ms, tail_percent));
    }
}

void print_json_lines(std::ostream& out, const std::vector<service_results>& rows, double seconds,
                      std::uint64_t seed, std::string_view label)
{
    for (const service_results& row : rows) {
        const nlohmann::ordered_json line{
            {"label", label},
            {"service", row.service},
            {"seed", seed},
            {"seconds", seconds},
            {"sent", row.sent},
            {"done", row.done},
            {"failed", row.failed},
            {"not_run", row.not_run},
            {"unknown", row.unknown},
            {"lost", row.lost},
            {"not_connected", row.not_connected},
            {"wrong", row.wrong},
            {"goodput_per_s", static_cast<double>(row.in_time) / seconds},
            {"median_ms", percentile(row.latencies_ms, median_percent)},
            {"p99_ms", percentile(row.latencies_ms, tail_percent)}};
        out << line.dump() << "\n";
    }
}

} // namespace redwingwheel::load
