#include "ledger.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::soak {

namespace {

using platform::testing::call_outcome;

/// A task may still be started this long after its job's cancelling was acknowledged: a lease and
/// an election, as long as a supervisor that was cut off may go on.
constexpr std::chrono::seconds cancel_bound{10};

std::string text_of(const jobs::run_id& run)
{
    return fmt::format("{}.{}.{}.{} run {}", run.task.job, run.task.occurrence, run.task.step,
                       run.task.index, run.number);
}

} // namespace

void ledger::note(std::string fault)
{
    fmt::print(stderr, "FAULT {}\n", fault);
    this->found.push_back(std::move(fault));
}

void ledger::started(const std::string& worker, const jobs::run_id& run, const std::string& payload)
{
    const std::lock_guard<std::mutex> held(this->lock);
    ++this->counts["runs"];
    const auto job = this->jobs.find(run.task.job);
    if (job == this->jobs.end() || job->second.definition.payload != payload) {
        this->note(fmt::format("{} on {}: nobody asked for it", text_of(run), worker));
        return;
    }
    job->second.has_started = true;
    if (job->second.cancel_acknowledged &&
        boot_clock::now() > job->second.cancelled_at + cancel_bound) {
        this->note(fmt::format("{} on {}: started after its cancelling", text_of(run), worker));
    }
    task_entry& task = this->tasks[run.task];
    if (!task.live.empty()) {
        this->note(fmt::format("{} on {}: run {} is still running", text_of(run), worker,
                               *task.live.begin()));
    }
    if (task.done) {
        task.started_after_done = true;
        if (task.done_recorded) {
            this->note(fmt::format("{} on {}: the task was done", text_of(run), worker));
        }
    }
    const jobs::step_definition& step = job->second.definition.steps[run.task.step];
    for (const std::uint32_t earlier : step.depends_on) {
        jobs::task_id before = run.task;
        before.step = earlier;
        for (before.index = 0; before.index < job->second.definition.steps[earlier].tasks;
             ++before.index) {
            if (!this->tasks[before].done) {
                this->note(
                    fmt::format("{} on {}: step {} is not done", text_of(run), worker, earlier));
                break;
            }
        }
    }
    task.live.insert(run.number);
}

void ledger::ended(const jobs::run_id& run, jobs::run_outcome how)
{
    const std::lock_guard<std::mutex> held(this->lock);
    ++this->counts[fmt::format("ended {}", jobs::run_outcome_name(how))];
    task_entry& task = this->tasks[run.task];
    task.live.erase(run.number);
    if (how != jobs::run_outcome::done) {
        return;
    }
    task.done = true;
    task.done_run = run.number;
    task.started_after_done = false;
}

void ledger::acknowledged(const jobs::run_id& run, jobs::run_outcome how)
{
    const std::lock_guard<std::mutex> held(this->lock);
    if (how != jobs::run_outcome::done) {
        return;
    }
    task_entry& task = this->tasks[run.task];
    if (task.started_after_done && task.done_run == run.number) {
        this->note(fmt::format("{}: recorded as done, and started again after it", text_of(run)));
    }
    task.done_recorded = true;
}

void ledger::submitting(const std::string& job, const jobs::job_definition& definition)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->jobs[job].definition = definition;
}

void ledger::submitted(const std::string& job, call_outcome outcome)
{
    const std::lock_guard<std::mutex> held(this->lock);
    job_entry& entry = this->jobs[job];
    switch (outcome) {
    case call_outcome::accepted:
        entry.accepted = true;
        ++this->counts["accepted"];
        return;
    case call_outcome::refused:
        ++entry.refused;
        ++this->counts["refused"];
        return;
    case call_outcome::unknown:
        ++entry.unknown;
        ++this->counts["unanswered"];
        return;
    default:
        this->note(fmt::format("{}: a proper submission was rejected", job));
    }
}

void ledger::cancelling(const std::string& job)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->jobs[job].cancel_sent = true;
}

void ledger::cancelled(const std::string& job, call_outcome outcome)
{
    const std::lock_guard<std::mutex> held(this->lock);
    job_entry& entry = this->jobs[job];
    if (outcome == call_outcome::accepted && !entry.cancel_acknowledged) {
        entry.cancel_acknowledged = true;
        entry.cancelled_at = boot_clock::now();
        ++this->counts["cancelled"];
    }
    if (outcome == call_outcome::gone && entry.accepted) {
        this->note(fmt::format("{}: accepted, and unknown when it was cancelled", job));
    }
}

void ledger::shown(const std::string& job, call_outcome outcome, const std::string& state)
{
    const std::lock_guard<std::mutex> held(this->lock);
    job_entry& entry = this->jobs[job];
    if (outcome == call_outcome::gone && entry.accepted) {
        this->note(fmt::format("{}: accepted, and unknown later", job));
    }
    if (outcome != call_outcome::accepted) {
        return;
    }
    if (entry.shown_completed && state != "completed") {
        this->note(fmt::format("{}: shown as completed, later as {}", job, state));
    }
    if (state == "cancelled" && !entry.cancel_sent) {
        this->note(fmt::format("{}: shown as cancelled, and nobody cancelled it", job));
    }
    if (state == "failed") {
        this->note(fmt::format("{}: shown as failed, and no run has failed", job));
    }
    if (state != "completed" || entry.shown_completed) {
        return;
    }
    entry.shown_completed = true;
    ++this->counts["completed"];
    for (std::uint32_t step = 0; step < entry.definition.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < entry.definition.steps[step].tasks; ++index) {
            if (!this->tasks[{job, 0, step, index}].done) {
                this->note(fmt::format("{}: shown as completed, task {}.{} is not done", job, step,
                                       index));
            }
        }
    }
}

void ledger::installing(std::uint64_t version)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->newest_sent = std::max(this->newest_sent, version);
}

void ledger::installed(std::uint64_t version)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->newest_acknowledged = std::max(this->newest_acknowledged, version);
    ++this->counts["configurations"];
}

std::uint64_t ledger::acknowledged_version() const
{
    const std::lock_guard<std::mutex> held(this->lock);
    return this->newest_acknowledged;
}

void ledger::read_version(std::uint64_t version, std::uint64_t at_least)
{
    const std::lock_guard<std::mutex> held(this->lock);
    ++this->counts["configuration reads"];
    if (version < at_least || version > this->newest_sent) {
        this->note(fmt::format("configuration {} is shown, {} was acknowledged, {} was sent",
                               version, at_least, this->newest_sent));
    }
}

std::vector<std::string> ledger::owed_jobs() const
{
    const std::lock_guard<std::mutex> held(this->lock);
    std::vector<std::string> owed;
    for (const auto& [id, entry] : this->jobs) {
        if (entry.accepted && !entry.cancel_sent) {
            owed.push_back(id);
        }
    }
    return owed;
}

std::string ledger::some_job(std::uint64_t draw) const
{
    const std::lock_guard<std::mutex> held(this->lock);
    std::vector<const std::string*> open;
    for (const auto& [id, entry] : this->jobs) {
        if (entry.accepted && !entry.cancel_sent && !entry.shown_completed) {
            open.push_back(&id);
        }
    }
    return open.empty() ? "" : *open[draw % open.size()];
}

void ledger::check_at_end()
{
    const std::lock_guard<std::mutex> held(this->lock);
    for (const auto& [id, entry] : this->jobs) {
        const bool rejected = !entry.accepted && entry.refused > 0 && entry.unknown == 0;
        if (rejected && entry.has_started) {
            this->note(fmt::format("{}: refused each time it was sent, and run", id));
        }
        if (entry.accepted && !entry.cancel_sent && !entry.shown_completed) {
            this->note(fmt::format("{}: accepted, and not completed", id));
        }
    }
    for (const auto& [id, task] : this->tasks) {
        const auto job = this->jobs.find(id.job);
        if (job != this->jobs.end() && job->second.cancel_acknowledged && !task.live.empty()) {
            this->note(fmt::format("{}: cancelled, and still running", id.job));
        }
    }
}

void ledger::report(const std::string& fault)
{
    const std::lock_guard<std::mutex> held(this->lock);
    this->note(fault);
}

std::vector<std::string> ledger::faults() const
{
    const std::lock_guard<std::mutex> held(this->lock);
    return this->found;
}

std::string ledger::summary() const
{
    const std::lock_guard<std::mutex> held(this->lock);
    std::string text;
    for (const auto& [what, count] : this->counts) {
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, what);
    }
    return text;
}

} // namespace redwingwheel::soak
