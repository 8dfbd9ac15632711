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

/// Records what callers, operators and workers observe and checks it against the guarantees of the
/// system: no two runs of a task at the same time, no run after a recorded success or, beyond a
/// margin, after a cancel, no accepted job lost, no configuration older than an acknowledged one.
/// Thread-safe.
class history_checker {
public:
    // --- observed by workers ---
    /// A worker has started a run with this payload.
    void record_run_started(const std::string& worker, const jobs::run_id& run,
                            const std::string& payload);
    /// A run has ended at its worker; its supervisor may not know yet.
    void record_run_ended(const jobs::run_id& run, jobs::run_outcome outcome);
    /// The worker was told that the system has recorded the end of the run.
    void record_end_acknowledged(const jobs::run_id& run, jobs::run_outcome outcome);

    // --- observed by callers ---
    /// To be called before the job is submitted for the first time.
    void record_submit_sent(const std::string& job, const jobs::job_definition& definition);
    /// Result of one attempt to submit the job.
    void record_submit_result(const std::string& job, platform::testing::call_outcome outcome);
    /// To be called before the job is cancelled for the first time.
    void record_cancel_sent(const std::string& job);
    /// Result of one attempt to cancel the job.
    void record_cancel_result(const std::string& job, platform::testing::call_outcome outcome);
    /// Result of a look-up of the job; `state` is used only if `outcome` is `accepted`.
    void record_job_state(const std::string& job, platform::testing::call_outcome outcome,
                          const std::string& state);

    // --- observed by operators ---
    /// To be called before a configuration with this version is sent.
    void record_install_sent(std::uint64_t version);
    /// The configuration with this version was accepted.
    void record_install_acknowledged(std::uint64_t version);
    /// The newest acknowledged version, 0 if there is none. A read that begins after this call must
    /// not return an older one.
    [[nodiscard]] std::uint64_t acknowledged_version() const;
    /// Checks a version that was read: at least `min_version`, which is what `acknowledged_version`
    /// returned before the read began, and at most the newest version sent.
    void check_version_read(std::uint64_t version, std::uint64_t min_version);

    // --- results ---
    /// Ids of the jobs that must complete: accepted, and no cancel was sent.
    [[nodiscard]] std::vector<std::string> expected_completions() const;
    /// Id of a job that was accepted, has no cancel sent and was not seen as completed yet;
    /// `random_number` selects among these. Empty if there is none.
    [[nodiscard]] std::string pick_open_job(std::uint64_t random_number) const;
    /// Checks what must hold after the faults have ended and the jobs have had time to complete:
    /// every job that must complete has been seen as completed, no cancelled job runs, no refused
    /// job ran.
    void check_final_state();
    /// Adds a violation that was found elsewhere.
    void report_violation(const std::string& violation);
    /// Descriptions of all violations so far; empty if every check passed.
    [[nodiscard]] std::vector<std::string> violations() const;
    /// Number of events of each kind, such as "3 accepted, 9 runs".
    [[nodiscard]] std::string summary() const;

private:
    struct observed_job {
        jobs::job_definition definition;
        std::uint32_t refused_attempts = 0;
        std::uint32_t unanswered_attempts = 0;
        bool accepted = false;
        bool cancel_sent = false;
        bool cancel_acknowledged = false;
        steady_time cancelled_at;
        bool shown_completed = false;
        bool has_run = false;
    };
    struct observed_task {
        std::set<std::uint32_t> running; ///< Numbers of the runs that have not ended.
        bool done = false;               ///< A run ended as done at its worker.
        bool end_recorded = false;       ///< The system acknowledged such an end.
        /// Number of the last run that ended as done, and whether another run started after it.
        std::uint32_t done_run = 0;
        bool restarted_after_done = false;
    };

    /// Prints and stores a violation. Requires `lock`.
    void add_violation(std::string violation);

    mutable std::mutex lock;
    std::map<std::string, observed_job> jobs;
    std::map<jobs::task_id, observed_task> tasks;
    std::uint64_t newest_sent_version = 0;
    std::uint64_t newest_acknowledged_version = 0;
    std::vector<std::string> violation_texts;
    std::map<std::string, std::uint64_t> event_counts;
};

} // namespace redwingwheel::soak
