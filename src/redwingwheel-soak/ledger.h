#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "platform/testing/caller.h"
#include "redwingwheel/clock.h"
#include "redwingwheel/job_model.h"

namespace redwingwheel::soak {

/// What callers, operators and workers saw, checked against the promises of the system. May be used
/// from any thread.
class ledger {
public:
    // --- workers ---
    void started(const std::string& worker, const jobs::run_id& run, const std::string& payload);
    void ended(const jobs::run_id& run, jobs::run_outcome how);
    void acknowledged(const jobs::run_id& run, jobs::run_outcome how);

    // --- callers ---
    void submitting(const std::string& job, const jobs::job_definition& definition);
    void submitted(const std::string& job, platform::testing::call_outcome outcome);
    void cancelling(const std::string& job);
    void cancelled(const std::string& job, platform::testing::call_outcome outcome);
    void shown(const std::string& job, platform::testing::call_outcome outcome,
               const std::string& state);

    // --- operators ---
    void installing(std::uint64_t version);
    void installed(std::uint64_t version);
    /// The newest acknowledged version; a read that begins now must not show an older one.
    [[nodiscard]] std::uint64_t acknowledged_version() const;
    void read_version(std::uint64_t shown, std::uint64_t at_least);

    // --- verdict ---
    /// Jobs that were accepted and not cancelled.
    [[nodiscard]] std::vector<std::string> owed_jobs() const;
    /// Jobs that were sent and not cancelled, accepted or not.
    [[nodiscard]] std::string some_job(std::uint64_t draw) const;
    /// Everything is calm again and jobs have had time to end.
    void check_at_end();
    void report(const std::string& fault);
    [[nodiscard]] std::vector<std::string> faults() const;
    [[nodiscard]] std::string summary() const;

private:
    struct job_entry {
        jobs::job_definition definition;
        std::uint32_t refused = 0;
        std::uint32_t unknown = 0;
        bool accepted = false;
        bool cancel_sent = false;
        bool cancel_acknowledged = false;
        steady_time cancelled_at;
        bool shown_completed = false;
        bool has_started = false;
    };
    struct task_entry {
        std::set<std::uint32_t> live;
        bool done = false;
        bool done_recorded = false;
        /// The run of the recorded end, and whether a later run was started after that end.
        std::uint32_t done_run = 0;
        bool started_after_done = false;
    };

    void note(std::string fault);

    mutable std::mutex lock;
    std::map<std::string, job_entry> jobs;
    std::map<jobs::task_id, task_entry> tasks;
    std::uint64_t newest_sent = 0;
    std::uint64_t newest_acknowledged = 0;
    std::vector<std::string> found;
    std::map<std::string, std::uint64_t> counts;
};

} // namespace redwingwheel::soak
