#pragma once

#include <catch2/catch.hpp>

#include "redwingwheel/scheduler.h"

namespace redwingwheel::jobs {

/// Test fixture: the scheduler of a leader with a job state to which its decisions are applied
/// immediately.
class scheduler_world {
public:
    explicit scheduler_world(const scheduler_options& options = scheduler_options())
        : decisions(options, this->time.function(), this->state)
    {
        job_configuration made;
        made.version = 1;
        made.services = {"inspector"};
        made.queues = {{"urgent", "h", "/urgent/", "inspector", 0, 2, 1.5, 300, false},
                       {"batch", "h", "/batch/", "inspector", 1, 2, 3.0, 1000, false}};
        made.accounts = {{"owner", {"key"}, 16}, {"other", {"other"}, 0}};
        this->state.apply(install_configuration{made});
        this->decisions.begin_leadership();
    }

    void add_worker(const std::string& id, const std::string& rack, const std::string& zone = "dc")
    {
        worker_description worker;
        worker.incarnation = {id, 1, "host-" + id};
        worker.service = "inspector";
        worker.data_centre = zone;
        worker.rack = rack;
        worker.labels = {"kind", rack};
        worker.capacity = {32000, 64000, 8};
        this->workers[id] = worker;
        this->report(id);
    }

    void report(const std::string& id, const std::vector<run_progress>& running = {})
    {
        // Like a supervisor, which polls again as soon as its poll is answered.
        this->decisions.record_permit(this->workers[id].incarnation);
        this->decisions.record_report(this->workers[id], running);
    }

    /// Reports like a supervisor whose worker has listed `running` last and does not answer any
    /// more. It gets no permit.
    void report_lost_contact(const std::string& id, const std::vector<run_progress>& running = {},
                             worker_contact contact = worker_contact::lost)
    {
        worker_description described = this->workers[id];
        described.reachable = false;
        this->decisions.record_report(described, running, contact);
    }

    void submit(const std::string& id, const std::string& queue, std::uint32_t tasks,
                std::int64_t accelerators, bool gang = false, bool same_rack = false,
                const std::string& key = "key", std::int64_t estimate_ms = 5000)
    {
        step_definition step;
        step.tasks = tasks;
        step.gang = gang;
        step.same_rack = same_rack;
        step.estimate_ms = estimate_ms;
        step.per_task = {1000, 1000, accelerators};
        this->submit_step(id, queue, step, key);
    }

    void submit_step(const std::string& id, const std::string& queue, const step_definition& step,
                     const std::string& key = "key")
    {
        job_definition job;
        job.steps = {step};
        REQUIRE(this->state.apply(submit_job{id, "h", "/" + queue + "/" + id, key, job,
                                             this->unix_ms}) == command_result::accepted);
    }

    schedule decide()
    {
        const schedule made = this->decisions.decide(this->unix_ms);
        this->state.apply(release_runs{made.releases, this->unix_ms});
        for (const assign_runs& each : made.assignments) {
            REQUIRE(this->state.apply(each) == command_result::accepted);
        }
        return made;
    }

    void advance_time(milliseconds by)
    {
        this->time.advance(by);
        this->unix_ms += by.count();
    }

    /// Lets the worker crash and return as its next incarnation, as its supervisor reports it.
    void crash(const std::string& id, bool observed = true)
    {
        worker_description& worker = this->workers[id];
        record_worker_crash crash{worker.incarnation, {}, {}, this->unix_ms, observed};
        for (const run_id& run : this->state.runs_on(worker.incarnation)) {
            (this->decisions.has_progressed(run) ? crash.progressed_runs : crash.suspected_runs)
                .push_back(run);
        }
        this->state.apply(crash);
        this->decisions.record_worker_end(worker.incarnation);
        worker.incarnation.started_unix_ms += 1;
        this->report(id);
    }

    void end_run(const run_id& run, run_outcome outcome)
    {
        const worker_incarnation worker = this->state.find(run.task)->worker;
        const ended_run listed{this->state.last_recorded_end(worker) + 1, run, outcome, ""};
        this->decisions.record_run_end(worker, listed);
        this->state.apply(record_ended_runs{
            worker, {listed}, this->unix_ms, true, {this->decisions.run_time_ms(run)}});
    }

    /// Adds a worker and a run of another account that has used all of its accelerators for 500 ms.
    run_id add_worker_with_borrower()
    {
        this->add_worker("a", "r1");
        this->submit("borrower", "batch", 1, 8, false, false, "other");
        this->decide();
        const run_id borrower{{"borrower", 0, 0, 0}, 1};
        this->report("a", {{borrower, "", 0}});
        this->advance_time(milliseconds(500));
        return borrower;
    }

    [[nodiscard]] std::set<std::string> workers_of(const std::string& job) const
    {
        std::set<std::string> found;
        for (const auto& [worker, runs] : this->state.assigned_runs()) {
            for (const run_id& run : runs) {
                if (run.task.job == job) {
                    found.insert(worker.id);
                }
            }
        }
        return found;
    }

    manual_clock time;
    std::int64_t unix_ms = 1'000'000;
    job_state state;
    scheduler decisions;
    std::map<std::string, worker_description> workers;
};

} // namespace redwingwheel::jobs
