#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "redwingwheel/placement.h"

/// Traces: what happens to a region, and what must come of it. The format is described in
/// docs/trace-format.md.
namespace redwingwheel::replay {

/// A job with what only the trace knows about it.
struct traced_job {
    placement::job_spec spec;
    std::string job_class;                          ///< For outcomes; the service by default.
    milliseconds true_run_time{0};                  ///< On a worker of normal speed.
    std::uint32_t true_accelerators_per_member = 0; ///< More than declared: its tasks fail.
    bool always_fails = false;
};

enum class event_kind {
    worker_added,
    worker_lost,
    worker_returned,
    guarantee_added,
    guarantee_withdrawn,
    job_arrives,
    job_cancelled,
    straggler_begins,
    straggler_ends,
    data_centre_withdrawn,
    data_centre_returned
};

struct trace_event {
    milliseconds at{0};
    event_kind kind = event_kind::worker_added;
    std::string name; ///< Worker, agreement, job or data centre, as the kind says.
    placement::worker_spec worker;
    placement::guarantee terms;
    traced_job job;
    double slowdown = 1;        ///< Stragglers: factor on run times.
    bool fails = false;         ///< Stragglers: every task fails.
    milliseconds fail_after{0}; ///< Stragglers: from a task's start to its failure.
};

/// A stated outcome.
struct expectation {
    std::size_t line = 0;
    std::string kind;
    std::string job;
    std::string job_class;
    std::string name; ///< Data centre, worker or agreement.
    std::optional<milliseconds> by;
    std::optional<milliseconds> from;
    std::optional<milliseconds> to;
    std::optional<milliseconds> bound;
    std::optional<milliseconds> mean;
    std::optional<milliseconds> p99;
    std::optional<double> share;
};

struct trace {
    std::string name;
    std::uint64_t seed = 0;
    milliseconds end{0};
    std::vector<trace_event> events; ///< By time; at one time in order of lines.
    std::vector<expectation> expectations;
};

/// Reads a trace. `seed` replaces the trace's own. The error is one line: "file:line: field: value;
/// allowed: ...".
[[nodiscard]] absl::StatusOr<trace> read_trace(const std::string& path,
                                               std::optional<std::uint64_t> seed);

/// As read_trace, from text; `path` is used in errors only.
[[nodiscard]] absl::StatusOr<trace> parse_trace(std::string_view text, const std::string& path,
                                                std::optional<std::uint64_t> seed);

} // namespace redwingwheel::replay
