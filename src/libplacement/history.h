#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "topology.h"

/// Statistics of past runs: run times per service and failures per worker.
namespace redwingwheel::placement {

/// Predicts run times from declared run times and the recent runs of the service. Predictions
/// influence the order of jobs only; no guarantee depends on them.
class run_history {
public:
    void record(std::string_view service, milliseconds declared, milliseconds actual);

    /// The declared run time times the median ratio of actual to declared run time, or as declared
    /// while the service has few samples. Without a declared run time: the median of the actual run
    /// times, or 60 s if there are none. The result is at least 1 ms, unless declared run times are
    /// returned unchanged.
    [[nodiscard]] milliseconds predict(std::string_view service, milliseconds declared) const;

private:
    struct samples {
        std::deque<double> ratios;        ///< Actual by declared run time, oldest first.
        std::deque<milliseconds> actuals; ///< Actual run times, oldest first.
    };
    std::map<std::string, samples, std::less<>> by_service;
};

/// Failures per worker and service. They lead to the quarantine of a worker.
class worker_health {
public:
    void record_failure(host_index host, std::string_view service, std::string_view job,
                        steady_time now);
    /// Clears the failures of the service on the worker.
    void record_success(host_index host, std::string_view service);

    /// Removes the failures of a job that fails everywhere. Returns the workers whose failures
    /// changed.
    std::vector<host_index> clear_job_failures(std::string_view job);
    void clear_host(host_index host);

    /// Number of distinct services with a recorded failure on the worker.
    [[nodiscard]] std::size_t failed_service_count(host_index host) const;

    /// Workers with a failure in the last 60 s, sorted. Placements avoid them if possible.
    [[nodiscard]] std::vector<host_index> recently_failed_hosts(steady_time now) const;

    /// Workers with any recorded failure, sorted.
    [[nodiscard]] std::vector<host_index> hosts_with_failures() const;

private:
    struct failure_record {
        std::map<std::string, std::set<std::string, std::less<>>, std::less<>> jobs_by_service;
        steady_time last_failure;
    };
    std::map<host_index, failure_record> by_host;
};

} // namespace redwingwheel::placement
