#include "history_checker.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::soak {

namespace {

using platform::testing::call_outcome;

/// Time for which tasks of a job may still be started after its cancel was acknowledged: a
/// supervisor that is cut off may go on for a lease and an election.
constexpr std::chrono::seconds max_start_after_cancel{10};

std::string run_text(const jobs::run_id& run)
{
    return fmt::format("{}.{}.{}.{} run {}", run.task.job, run.task.occurrence, run.task.step,
                       run.task.index, run.number);
}

} // namespace

void history_checker::add_violation(std::string violation)
{
    fmt::print(stderr, "FAULT {}\n", violation);
    this->violation_texts.push_back(std::move(violation));
}

void history_checker::record_run_started(const std::string& worker, const jobs::run_id& run,
                                         const std::string& payload)
{
    const std::lock_guard<std::mutex> held(this->lock);
    ++this->event_counts["runs"];
    const auto job = this->jobs.find(run.task.job);
    if (job == this->jobs.end() || job->second.definition.payload != payload) {
        this->add_violation(fmt::format(
            "{} on {}: its job was not submitted or has another payload", run_text(run), worker));
        return;
    }
    job->second.has_run = true;
    if (job->second.cancel_acknowledged &&
        boot_clock::now() > job->second.cancelled_at + max_start_after_cancel) {
        this->add_violation(fmt::format("{} on {}: started too late after its job was cancelled",
                                        run_text(run), worker));
    }
    observed_task& task = this->tasks[run.task];
    if (!task.running.empty()) {
        this->add_violation(fmt::format("{} on {}: run {} is still running", run_text(run), worker,
                                        *task.running.begin()));
    }
    if (task.done) {
        task.restarted_after_done = true;
        if (task.end_recorded) {
            this->add_violation(fmt::format("{} on {}: started after the task was recorded as done",
                                            run_text(run), worker));
        }
    }
    const jobs::step_definition& step = job->second.definition.steps[run.task.step];
    for (const std::uint32_t dependency_step : step.depends_on) {
        jobs::task_id dependency = run.task;
        dependency.step = dependency_step;
        for (dependency.index = 0;
             dependency.index < job->second.definition.steps[dependency_step].tasks;
             ++dependency.index) {
            if (!this->tasks[dependency].done) {
                this->add_violation(
                    fmt::format("{} on {}: started before step {}, which it depends on, was done",
                                run_text(run), worker, dependency_step));
                break;
            }
        }
    }
    task.running.insert(run.number);
}

void history_checker::record_run_ended(const jobs::run_id& run, jobs::run_outcome outcome)
{
    const std::lock_guard<std::mutex> held(this->lock);
    ++this->event_counts[fmt::format("ended {}", jobs::run_outcome_name(outcome))];
    observed_task& task = this->tasks[run.task];
    task.running.erase(run.number);
    if (outcome != jobs::run_outcome::done) {
        return;
    }
    task.done = true;
    task.done_run = run.number;
    task.restarted_after_done = false;
}

void history_checker::record_end_acknowledged(const jobs::run_id& run, jobs::run_outcome outcome)
{
    const std::lock_guard<std::mutex> held(this->lock);
    if (outcome != jobs::run_outcome::done) {
        return;
    }
    observed_task& task = this->tasks[run.task];
    if (task.restarted_after_done && task.done_run == run.number) {
        this->add_violation(
            fmt::format("{}: recorded as done although the task was started again after this run",
                        run_text(run)));
    }
    task.end_recorded = true;
}

void history_checker::record_submit_sent(const std::string& job,
                                         const jobs::job_definition& definition)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->jobs[job].definition = definition;
}

void history_checker::record_submit_result(const std::string& job, call_outcome outcome)
{
    const std::lock_guard<std::mutex> held(this->lock);
    observed_job& entry = this->jobs[job];
    switch (outcome) {
    case call_outcome::accepted:
        entry.accepted = true;
        ++this->event_counts["accepted"];
        return;
    case call_outcome::refused:
        ++entry.refused_attempts;
        ++this->event_counts["refused"];
        return;
    case call_outcome::unknown:
        ++entry.unanswered_attempts;
        ++this->event_counts["unanswered"];
        return;
    default:
        this->add_violation(fmt::format("job {}: a valid submission was rejected as invalid", job));
    }
}

void history_checker::record_cancel_sent(const std::string& job)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->jobs[job].cancel_sent = true;
}

void history_checker::record_cancel_result(const std::string& job, call_outcome outcome)
{
    const std::lock_guard<std::mutex> held(this->lock);
    observed_job& entry = this->jobs[job];
    if (outcome == call_outcome::accepted && !entry.cancel_acknowledged) {
        entry.cancel_acknowledged = true;
        entry.cancelled_at = boot_clock::now();
        ++this->event_counts["cancelled"];
    }
    if (outcome == call_outcome::gone && entry.accepted) {
        this->add_violation(fmt::format("job {}: accepted, but not found by a cancel", job));
    }
}

void history_checker::record_job_state(const std::string& job, call_outcome outcome,
                                       const std::string& state)
{
    const std::lock_guard<std::mutex> held(this->lock);
    observed_job& entry = this->jobs[job];
    if (outcome == call_outcome::gone && entry.accepted) {
        this->add_violation(fmt::format("job {}: accepted, but not found by a look-up", job));
    }
    if (outcome != call_outcome::accepted) {
        return;
    }
    if (entry.shown_completed && state != "completed") {
        this->add_violation(fmt::format("job {}: shown as completed, later as {}", job, state));
    }
    if (state == "cancelled" && !entry.cancel_sent) {
        this->add_violation(fmt::format("job {}: shown as cancelled, but no cancel was sent", job));
    }
    if (state == "failed") {
        this->add_violation(fmt::format("job {}: shown as failed, but no run has failed", job));
    }
    if (state != "completed" || entry.shown_completed) {
        return;
    }
    entry.shown_completed = true;
    ++this->event_counts["completed"];
    for (std::uint32_t step = 0; step < entry.definition.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < entry.definition.steps[step].tasks; ++index) {
            if (!this->tasks[{job, 0, step, index}].done) {
                this->add_violation(fmt::format(
                    "job {}: shown as completed, but task {}.{} is not done", job, step, index));
            }
        }
    }
}

void history_checker::record_install_sent(std::uint64_t version)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->newest_sent_version = std::max(this->newest_sent_version, version);
}

void history_checker::record_install_acknowledged(std::uint64_t version)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->newest_acknowledged_version = std::max(this->newest_acknowledged_version, version);
    ++this->event_counts["configurations"];
}

std::uint64_t history_checker::acknowledged_version() const
{
    const std::lock_guard<std::mutex> held(this->lock);
    return this->newest_acknowledged_version;
}

void history_checker::check_version_read(std::uint64_t version, std::uint64_t min_version)
{
    const std::lock_guard<std::mutex> held(this->lock);
    ++this->event_counts["configuration reads"];
    if (version < min_version || version > this->newest_sent_version) {
        this->add_violation(fmt::format("configuration version {} was read; expected at least {} "
                                        "(acknowledged) and at most {} (sent)",
                                        version, min_version, this->newest_sent_version));
    }
}

std::vector<std::string> history_checker::expected_completions() const
{
    const std::lock_guard<std::mutex> held(this->lock);
    std::vector<std::string> expected;
    for (const auto& [id, entry] : this->jobs) {
        if (entry.accepted && !entry.cancel_sent) {
            expected.push_back(id);
        }
    }
    return expected;
}

std::string history_checker::pick_open_job(std::uint64_t random_number) const
{
    const std::lock_guard<std::mutex> held(this->lock);
    std::vector<const std::string*> open_jobs;
    for (const auto& [id, entry] : this->jobs) {
        if (entry.accepted && !entry.cancel_sent && !entry.shown_completed) {
            open_jobs.push_back(&id);
        }
    }
    return open_jobs.empty() ? "" : *open_jobs[random_number % open_jobs.size()];
}

void history_checker::check_final_state()
{
    const std::lock_guard<std::mutex> held(this->lock);
    for (const auto& [id, entry] : this->jobs) {
        const bool always_refused =
            !entry.accepted && entry.refused_attempts > 0 && entry.unanswered_attempts == 0;
        if (always_refused && entry.has_run) {
            this->add_violation(
                fmt::format("job {}: refused at every attempt to submit it, but it ran", id));
        }
        if (entry.accepted && !entry.cancel_sent && !entry.shown_completed) {
            this->add_violation(fmt::format("job {}: accepted, but not completed", id));
        }
    }
    for (const auto& [id, task] : this->tasks) {
        const auto job = this->jobs.find(id.job);
        if (job != this->jobs.end() && job->second.cancel_acknowledged && !task.running.empty()) {
            this->add_violation(fmt::format("job {}: cancelled, but still running", id.job));
        }
    }
}

void history_checker::report_violation(const std::string& violation)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->add_violation(violation);
}

std::vector<std::string> history_checker::violations() const
{
    const std::lock_guard<std::mutex> held(this->lock);
    return this->violation_texts;
}

std::string history_checker::summary() const
{
    const std::lock_guard<std::mutex> held(this->lock);
    std::string text;
    for (const auto& [event, count] : this->event_counts) {
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, event);
    }
    return text;
}

} // namespace redwingwheel::soak
