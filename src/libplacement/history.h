#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "topology.h"

/// What the past says about services' run times and workers' failures.
namespace redwingwheel::placement {

/// Corrects declared run times by the service's recent runs. A forecast only: nothing that must
/// hold depends on it.
class run_history {
public:
    void record(std::string_view service, milliseconds declared, milliseconds actual);

    /// The expected run time; at least 1 ms.
    [[nodiscard]] milliseconds predict(std::string_view service, milliseconds declared) const;

private:
    struct samples {
        std::deque<double> ratios;        ///< Actual over declared, latest last.
        std::deque<milliseconds> actuals; ///< For runs that declare nothing.
    };
    std::map<std::string, samples, std::less<>> by_service;
};

/// Blame per worker across services.
class worker_health {
public:
    void record_failure(host_index host, std::string_view service, std::string_view job,
                        steady_time now);
    void record_success(host_index host, std::string_view service);

    /// Takes back the blame that came from a job which fails everywhere. Returns the workers
    /// concerned.
    std::vector<host_index> forget_job(std::string_view job);
    void forget_host(host_index host);

    [[nodiscard]] std::size_t services_failed(host_index host) const;

    /// Workers with a recent failure, sorted; work goes elsewhere when it can.
    [[nodiscard]] std::vector<host_index> suspects(steady_time now) const;

    /// Workers with any blame, sorted.
    [[nodiscard]] std::vector<host_index> blamed() const;

private:
    struct blame {
        std::map<std::string, std::set<std::string, std::less<>>, std::less<>> jobs_by_service;
        steady_time last_failure;
    };
    std::map<host_index, blame> by_host;
};

} // namespace redwingwheel::placement
