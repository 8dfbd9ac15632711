#include "region_model.h"

#include <algorithm>
#include <bit>

#include <fmt/format.h>

namespace redwingwheel::placement::testing {

namespace {

constexpr std::uint32_t data_centres = 3;
constexpr std::uint32_t workers_per_data_centre = 4;
const std::vector<std::string> accounts = {"market", "traders", "growers", "planner"};
const std::vector<std::string> services = {"inspect", "check", "recount"};

bool is_stoppable(const job_spec& job)
{
    return job.idempotent || job.can_checkpoint;
}

} // namespace

region_model::region_model(std::uint64_t seed, rule_switches rules)
    : random(seed), tested_engine(engine_options{}, this->clock.function(), rules)
{
    for (std::uint32_t data_centre = 0; data_centre < data_centres; ++data_centre) {
        for (std::uint32_t n = 0; n < workers_per_data_centre; ++n) {
            const std::string name = fmt::format("dc{}", data_centre);
            this->workers.push_back(
                {fmt::format("{}-w{}", name, n), name, fmt::format("r{}", n / 3), 8, 4});
            if (!this->tested_engine.add_worker(this->workers.back()).ok()) {
                this->record_violation("add_worker refuses a valid worker");
            }
        }
    }
}

std::uint32_t region_model::random_below(std::uint32_t count)
{
    return static_cast<std::uint32_t>(this->random() % count);
}

void region_model::record_violation(const std::string& reason)
{
    if (this->first_violation.empty()) {
        this->first_violation = fmt::format("step {}: {}", this->step_number, reason);
    }
}

std::string region_model::run(std::uint32_t steps)
{
    for (std::uint32_t n = 0; n < steps && this->first_violation.empty(); ++n) {
        ++this->step_number;
        this->random_step();
        this->complete_due_stops();
        this->apply_decisions();
    }
    return this->first_violation;
}

std::string region_model::random_running_job()
{
    std::vector<std::string> running;
    for (const auto& [id, job] : this->jobs) {
        if (job.running) {
            running.push_back(id);
        }
    }
    return running.empty()
               ? ""
               : running[this->random_below(static_cast<std::uint32_t>(running.size()))];
}

void region_model::random_step()
{
    const std::uint32_t choice = this->random_below(100);
    if (choice < 40) {
        this->submit_random();
    }
    else if (choice < 58) {
        const std::string job = this->random_running_job();
        if (!job.empty() && this->tested_engine.report_finished(job).ok()) {
            this->release_gang(job);
            this->jobs.erase(job);
        }
    }
    else if (choice < 76) {
        this->clock.advance(milliseconds(this->random_below(2000)));
    }
    else if (choice < 82) {
        this->fail_random_task();
    }
    else if (choice < 88) {
        this->change_inventory();
    }
    else if (choice < 91) {
        this->change_guarantees();
    }
    else if (choice < 95 && !this->jobs.empty()) {
        const auto cancelled = std::next(
            this->jobs.begin(), this->random_below(static_cast<std::uint32_t>(this->jobs.size())));
        static_cast<void>(this->tested_engine.cancel(cancelled->first));
        if (!cancelled->second.running) {
            this->jobs.erase(cancelled);
        }
        else {
            cancelled->second.may_start = false;
        }
    }
    else {
        this->probe_guarantee();
    }
}

void region_model::submit_random()
{
    constexpr std::array<std::uint32_t, 5> member_counts = {1, 1, 2, 3, 4};
    constexpr std::array<std::uint32_t, 5> sizes = {1, 2, 4, 8, 8};
    job_spec job;
    job.id = fmt::format("job{:05}", ++this->last_id);
    job.account = accounts[this->random_below(4)];
    job.service = services[this->random_below(3)];
    job.members = member_counts[this->random_below(5)];
    job.accelerators_per_member = sizes[this->random_below(5)];
    job.adjacency = static_cast<cell_level>(2 + this->random_below(3));
    if (job.members * job.accelerators_per_member <= 4 && this->random_bool(50)) {
        job.adjacency = cell_level::group;
    }
    job.priority = static_cast<job_priority>(this->random_below(3));
    job.idempotent = this->random_bool(50);
    job.can_checkpoint = this->random_bool(50);
    job.declared_run_time = milliseconds(1 + this->random_below(60000));
    if (this->tested_engine.submit(job).ok()) {
        this->jobs[job.id].spec = job;
    }
}

/// Cells may be reassigned: earlier reclaims no longer identify the cells that are being reclaimed.
void region_model::clear_reclaim_events()
{
    for (auto& [id, job] : this->jobs) {
        job.reclaim_event = 0;
    }
}

void region_model::change_inventory()
{
    this->clear_reclaim_events();
    if (this->random_bool(60)) {
        const worker_spec& worker =
            this->workers[this->random_below(static_cast<std::uint32_t>(this->workers.size()))];
        if (this->lost.contains(worker.name)) {
            this->lost.erase(worker.name);
            static_cast<void>(this->tested_engine.add_worker(worker));
        }
        else if (this->lost.size() < 4) {
            this->lost.insert(worker.name);
            static_cast<void>(this->tested_engine.remove_worker(worker.name));
        }
        return;
    }
    const std::string data_centre = fmt::format("dc{}", this->random_below(data_centres));
    const bool returns = this->withdrawn.contains(data_centre);
    if (returns) {
        this->withdrawn.erase(data_centre);
    }
    else {
        this->withdrawn.insert(data_centre);
    }
    static_cast<void>(this->tested_engine.set_data_centre_state(
        data_centre, returns ? data_centre_state::in_service : data_centre_state::withdrawn));
}

void region_model::change_guarantees()
{
    this->clear_reclaim_events();
    std::vector<guarantee> wanted = this->guarantees;
    if (!wanted.empty() && this->random_bool(40)) {
        wanted.erase(wanted.begin() +
                     this->random_below(static_cast<std::uint32_t>(wanted.size())));
    }
    else {
        guarantee added;
        added.agreement = fmt::format("agreement{}", ++this->last_id);
        added.account = accounts[this->random_below(4)];
        added.level = static_cast<cell_level>(this->random_below(4));
        added.count = 1 + this->random_below(added.level == cell_level::rack ? 1 : 3);
        added.data_centre =
            this->random_bool(50) ? "" : fmt::format("dc{}", this->random_below(data_centres));
        wanted.push_back(added);
    }
    if (this->tested_engine.check_guarantees(wanted).empty()) {
        this->guarantees = wanted;
        if (!this->tested_engine.set_guarantees(wanted).ok()) {
            this->record_violation(
                "set_guarantees refuses guarantees that check_guarantees accepted");
        }
    }
}

void region_model::fail_random_task()
{
    const std::string job = this->random_running_job();
    if (job.empty()) {
        return;
    }
    const job_model& failed = this->jobs[job];
    const std::string worker =
        failed.members[this->random_below(static_cast<std::uint32_t>(failed.members.size()))]
            .worker;
    this->jobs[job].planned_stop = false;
    static_cast<void>(this->tested_engine.report_failure(job, worker, failed.spec.service));
}

/// Checks that an urgent job with the shape of a cell starts within 2 s if the cell contains
/// nothing but borrowers.
void region_model::probe_guarantee()
{
    this->cells = this->tested_engine.cell_assignments();
    std::vector<cell_assignment> candidates;
    for (const cell_assignment& cell : this->cells) {
        const auto guarantee_of_cell =
            std::find_if(this->guarantees.begin(), this->guarantees.end(),
                         [&cell](const guarantee& one) { return one.agreement == cell.agreement; });
        bool usable = cell.whole && cell.level != cell_level::data_centre;
        for (const auto& [name, job] : this->jobs) {
            const std::string& id = name;
            const bool is_own = job.spec.account == guarantee_of_cell->account;
            // Cells of an account with waiting jobs are skipped because those may use the cell.
            const bool is_stopping =
                std::any_of(this->stops.begin(), this->stops.end(),
                            [&id](const pending_stop& stop) { return stop.job == id; });
            usable = usable && (!is_own || (job.running && !is_stopping) ||
                                job.spec.priority == job_priority::low);
            for (const member_placement& member : job.members) {
                const bool must_stay = !is_stoppable(job.spec) ||
                                       (is_own && job.spec.priority == job_priority::urgent);
                usable = usable && !(job.running && must_stay && this->overlaps(cell, member));
            }
        }
        if (usable) {
            candidates.push_back(cell);
        }
    }
    if (candidates.empty()) {
        return;
    }
    const cell_assignment cell =
        candidates[this->random_below(static_cast<std::uint32_t>(candidates.size()))];
    job_spec probe;
    probe.id = fmt::format("probe{:05}", ++this->last_id);
    probe.service = "probe";
    probe.priority = job_priority::urgent;
    probe.declared_run_time = milliseconds(1000);
    for (const guarantee& one : this->guarantees) {
        if (one.agreement == cell.agreement) {
            probe.account = one.account;
        }
    }
    probe.adjacency = std::max(cell.level, cell_level::group);
    probe.accelerators_per_member =
        cell.level == cell_level::rack
            ? 8
            : static_cast<std::uint32_t>(std::popcount(cell.accelerators));
    probe.members = 0;
    for (const worker_spec& worker : this->workers) {
        probe.members += worker.data_centre == cell.data_centre && worker.rack == cell.rack ? 1 : 0;
    }
    probe.members = cell.level == cell_level::rack ? probe.members : 1;
    if (!this->tested_engine.submit(probe).ok()) {
        this->record_violation("submit refuses an urgent job with the shape of a guaranteed cell");
        return;
    }
    this->jobs[probe.id].spec = probe;
    const steady_time bound = this->clock.now() + milliseconds(2000);
    while (this->first_violation.empty() && !this->jobs[probe.id].running) {
        this->complete_due_stops();
        this->apply_decisions();
        if (!this->jobs[probe.id].running && this->clock.now() >= bound) {
            this->record_violation(
                fmt::format("cell {}/{} of account {} is not reclaimed within 2000 ms",
                            cell.agreement, cell.index, probe.account));
        }
        this->clock.advance(milliseconds(250));
    }
}

void region_model::release_gang(const std::string& job)
{
    job_model& ended = this->jobs[job];
    ended.running = false;
    ended.members.clear();
    for (auto& [worker, held] : this->accelerators) {
        for (auto& [number, accelerator] : held) {
            if (accelerator.holder == job) {
                accelerator.holder.clear();
            }
        }
    }
    std::erase_if(this->stops, [&job](const pending_stop& stop) { return stop.job == job; });
}

void region_model::complete_due_stops()
{
    const std::vector<pending_stop> due = this->stops;
    for (const pending_stop& stop : due) {
        const auto found = this->jobs.find(stop.job);
        if (stop.due > this->clock.now() || found == this->jobs.end() || !found->second.running) {
            continue;
        }
        job_model& job = found->second;
        const bool checkpointed = job.spec.can_checkpoint && this->random_bool(90);
        job.may_start =
            job.may_start && (job.spec.idempotent || (job.planned_stop && checkpointed));
        this->release_gang(stop.job);
        static_cast<void>(this->tested_engine.report_stopped(stop.job, checkpointed));
    }
}

void region_model::apply_decisions()
{
    const std::vector<decision> decided = this->tested_engine.decide();
    const std::vector<cell_assignment> now = this->tested_engine.cell_assignments();
    if (!std::equal(now.begin(), now.end(), this->cells.begin(), this->cells.end(),
                    [](const cell_assignment& left, const cell_assignment& right) {
                        return left.agreement == right.agreement && left.version == right.version;
                    })) {
        this->clear_reclaim_events();
    }
    this->cells = now;
    for (const decision& one : decided) {
        ++this->event_number;
        this->decision_log +=
            fmt::format("{} {} {} {} {}\n", this->step_number, one.record.job, one.record.outcome,
                        fmt::join(one.record.workers, ","), one.record.reason);
        if (const start_gang* const start = std::get_if<start_gang>(&one.requested_action)) {
            this->check_start(start->placement);
        }
        else if (const reclaim_gang* const stop =
                     std::get_if<reclaim_gang>(&one.requested_action)) {
            this->jobs[stop->job].planned_stop = !stop->for_job.empty();
            this->stops.push_back({stop->job, stop->stop_deadline});
            if (!stop->for_job.empty()) {
                this->jobs[stop->for_job].reclaim_event = this->event_number;
            }
        }
        else if (const move_gang* const move = std::get_if<move_gang>(&one.requested_action)) {
            this->jobs[move->job].planned_stop = true;
            this->stops.push_back({move->job, move->stop_deadline});
        }
        else if (const refuse_job* const refused = std::get_if<refuse_job>(&one.requested_action)) {
            this->jobs.erase(refused->job);
        }
    }
    this->check_state();
}

} // namespace redwingwheel::placement::testing
