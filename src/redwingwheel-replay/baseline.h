#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy.h"

namespace redwingwheel::replay {

/// All place gangs whole and respect adjacency, lost workers and withdrawn data centres. None knows
/// cells, history, reservations or quarantine.
enum class baseline_kind {
    first_fit, ///< Jobs in order of arrival, the first workers in order of announcement that fit.
    best_fit,  ///< As first_fit, but the workers with the fewest free accelerators that fit.
    /// As best_fit; accounts within the accelerators that their guarantees add up to come first and
    /// stop the latest stoppable work of accounts over theirs, by count.
    quota_only
};

class baseline : public policy {
public:
    baseline(baseline_kind chosen, clock_function now) : kind(chosen), clock(std::move(now)) {}

    void add_worker(const placement::worker_spec& worker) override;
    void remove_worker(std::string_view worker) override;
    void set_data_centre_state(std::string_view data_centre,
                               placement::data_centre_state state) override;
    [[nodiscard]] std::vector<placement::shortfall>
    check_guarantees(std::span<const placement::guarantee> wanted) const override;
    void set_guarantees(std::span<const placement::guarantee> wanted) override;
    [[nodiscard]] absl::Status submit(const placement::job_spec& job) override;
    void cancel(std::string_view job) override;
    void finish(std::string_view job) override;
    void stopped(std::string_view job, bool checkpointed) override;
    void report_failure(std::string_view job, std::string_view worker,
                        std::string_view service) override;
    [[nodiscard]] std::vector<placement::decision> decide() override;
    [[nodiscard]] bool has_more() const override { return false; }
    [[nodiscard]] std::vector<placement::guarantee_summary> guarantee_summaries() const override;
    [[nodiscard]] std::vector<std::string> quarantined_workers() const override { return {}; }

private:
    struct host {
        placement::worker_spec spec;
        bool lost = false;
        placement::accelerator_mask free = 0;
    };
    struct job {
        placement::job_spec spec;
        bool runs = false;
        bool stopping = false;
        bool planned_stop = false;
        bool cancelled = false;
        bool refused = false;
        std::uint64_t started = 0;
        std::set<std::string> failed_on;
        std::vector<placement::member_placement> members;
    };

    std::string area_of(const host& one, placement::cell_level level) const;
    bool fit(const placement::job_spec& spec, bool empty,
             std::vector<placement::member_placement>& members) const;
    std::uint64_t held_by(std::string_view account) const;
    bool within_quota(const job& one) const;
    void stop_over_quota(const job& wanting, std::vector<placement::decision>& out);
    void stop(job& one, const std::string& for_job, const std::string& reason,
              std::vector<placement::decision>& out);
    void release(job& one);

    baseline_kind kind;
    clock_function clock;
    std::vector<host> hosts;
    std::set<std::string, std::less<>> withdrawn;
    std::vector<placement::guarantee> terms;
    std::map<std::string, std::uint64_t, std::less<>> quotas;
    std::map<std::string, std::uint64_t, std::less<>> held; ///< Accelerators by account.
    std::map<std::string, job, std::less<>> jobs;
    std::vector<std::string> queue; ///< In order of arrival.
    std::set<std::string, std::less<>> broken;
    std::uint64_t starts = 0;
};

} // namespace redwingwheel::replay
