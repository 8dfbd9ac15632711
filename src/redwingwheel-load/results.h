#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "redwingwheel/http_client.h"

namespace redwingwheel::load {

enum class request_result {
    done,
    failed,
    not_run,
    unknown,
    /// The connection broke or gave nothing in time: no answer after the request was sent.
    lost,
    /// No connection, so that nothing was sent.
    not_connected,
};

/// Reads the outcome from the `X-Outcome` header, else from the JSON body, else from the status.
[[nodiscard]] request_result classify(const absl::StatusOr<http::client_response>& answer);

/// Whether an answer of the backend server carries length and digest of `body`.
[[nodiscard]] bool answer_matches(std::string_view answer, std::size_t length,
                                  std::uint64_t digest);

/// The value at nearest rank: the smallest one that at least `percent` of all values do not
/// exceed. 0 without values. `percent` is above 0 and at most 100.
[[nodiscard]] double percentile(std::vector<double> values, double percent);

struct service_results {
    std::string service;
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
    std::uint64_t not_connected = 0;
    /// Done answers that belong to another body.
    std::uint64_t wrong = 0;
    /// Done with the right answer before the deadline, counted from the intended send time.
    std::uint64_t in_time = 0;
    /// From the intended send time; of done requests only.
    std::vector<double> latencies_ms;

    void note(request_result result, bool right_answer, double latency_ms, double deadline_ms);
};

/// All services together, under the name "all".
[[nodiscard]] service_results sum_results(const std::vector<service_results>& services);

void print_table(std::ostream& out, const std::vector<service_results>& rows, double seconds);
void print_json_lines(std::ostream& out, const std::vector<service_results>& rows, double seconds,
                      std::uint64_t seed, std::string_view label);

} // namespace redwingwheel::load
