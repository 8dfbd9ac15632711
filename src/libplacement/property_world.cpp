#include "property_world.h"

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

property_world::property_world(std::uint64_t seed, rule_switches rules)
    : random(seed), decisions(engine_options{}, this->clock.function(), rules)
{
    for (std::uint32_t place = 0; place < data_centres; ++place) {
        for (std::uint32_t n = 0; n < workers_per_data_centre; ++n) {
            const std::string name = fmt::format("dc{}", place);
            this->workers.push_back(
                {fmt::format("{}-w{}", name, n), name, fmt::format("r{}", n / 3), 8, 4});
            if (!this->decisions.add_worker(this->workers.back()).ok()) {
                this->fail("a worker is refused");
            }
        }
    }
}

std::uint32_t property_world::pick(std::uint32_t count)
{
    return static_cast<std::uint32_t>(this->random() % count);
}

void property_world::fail(const std::string& reason)
{
    if (this->broken.empty()) {
        this->broken = fmt::format("step {}: {}", this->step_number, reason);
    }
}

std::string property_world::run(std::uint32_t steps)
{
    for (std::uint32_t n = 0; n < steps && this->broken.empty(); ++n) {
        ++this->step_number;
        this->step();
        this->settle_stops();
        this->turn();
    }
    return this->broken;
}

std::string property_world::random_running()
{
    std::vector<std::string> running;
    for (const auto& [id, job] : this->jobs) {
        if (job.runs) {
            running.push_back(id);
        }
    }
    return running.empty() ? "" : running[this->pick(static_cast<std::uint32_t>(running.size()))];
}

void property_world::step()
{
    const std::uint32_t choice = this->pick(100);
    if (choice < 40) {
        this->submit_random();
    }
    else if (choice < 58) {
        const std::string job = this->random_running();
        if (!job.empty() && this->decisions.report_finished(job).ok()) {
            this->end_gang(job);
            this->jobs.erase(job);
        }
    }
    else if (choice < 76) {
        this->clock.advance(milliseconds(this->pick(2000)));
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
        const auto cancelled = std::next(this->jobs.begin(),
                                         this->pick(static_cast<std::uint32_t>(this->jobs.size())));
        static_cast<void>(this->decisions.cancel(cancelled->first));
        if (!cancelled->second.runs) {
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

void property_world::submit_random()
{
    constexpr std::array<std::uint32_t, 5> member_counts = {1, 1, 2, 3, 4};
    constexpr std::array<std::uint32_t, 5> sizes = {1, 2, 4, 8, 8};
    job_spec job;
    job.id = fmt::format("job{:05}", ++this->sequence);
    job.account = accounts[this->pick(4)];
    job.service = services[this->pick(3)];
    job.members = member_counts[this->pick(5)];
    job.accelerators_per_member = sizes[this->pick(5)];
    job.adjacency = static_cast<cell_level>(2 + this->pick(3));
    if (job.members * job.accelerators_per_member <= 4 && this->chance(50)) {
        job.adjacency = cell_level::group;
    }
    job.priority = static_cast<job_priority>(this->pick(3));
    job.idempotent = this->chance(50);
    job.can_checkpoint = this->chance(50);
    job.declared_run_time = milliseconds(1 + this->pick(60000));
    if (this->decisions.submit(job).ok()) {
        this->jobs[job.id].spec = job;
    }
}

/// Cells may move: which ones a job reclaimed before says nothing any more.
void property_world::forget_reclaims()
{
    for (auto& [id, job] : this->jobs) {
        job.reclaim_step = 0;
    }
}

void property_world::change_inventory()
{
    this->forget_reclaims();
    if (this->chance(60)) {
        const worker_spec& worker =
            this->workers[this->pick(static_cast<std::uint32_t>(this->workers.size()))];
        if (this->lost.contains(worker.name)) {
            this->lost.erase(worker.name);
            static_cast<void>(this->decisions.add_worker(worker));
        }
        else if (this->lost.size() < 4) {
            this->lost.insert(worker.name);
            static_cast<void>(this->decisions.remove_worker(worker.name));
        }
        return;
    }
    const std::string place = fmt::format("dc{}", this->pick(data_centres));
    const bool returns = this->withdrawn.contains(place);
    if (returns) {
        this->withdrawn.erase(place);
    }
    else {
        this->withdrawn.insert(place);
    }
    static_cast<void>(this->decisions.set_data_centre_state(
        place, returns ? data_centre_state::in_service : data_centre_state::withdrawn));
}

void property_world::change_guarantees()
{
    this->forget_reclaims();
    std::vector<guarantee> wanted = this->terms;
    if (!wanted.empty() && this->chance(40)) {
        wanted.erase(wanted.begin() + this->pick(static_cast<std::uint32_t>(wanted.size())));
    }
    else {
        guarantee added;
        added.agreement = fmt::format("agreement{}", ++this->sequence);
        added.account = accounts[this->pick(4)];
        added.level = static_cast<cell_level>(this->pick(4));
        added.count = 1 + this->pick(added.level == cell_level::rack ? 1 : 3);
        added.data_centre = this->chance(50) ? "" : fmt::format("dc{}", this->pick(data_centres));
        wanted.push_back(added);
    }
    if (this->decisions.check_guarantees(wanted).empty()) {
        this->terms = wanted;
        if (!this->decisions.set_guarantees(wanted).ok()) {
            this->fail("valid guarantees are refused");
        }
    }
}

void property_world::fail_random_task()
{
    const std::string job = this->random_running();
    if (job.empty()) {
        return;
    }
    const known_job& failed = this->jobs[job];
    const std::string worker =
        failed.members[this->pick(static_cast<std::uint32_t>(failed.members.size()))].worker;
    this->jobs[job].planned_stop = false;
    static_cast<void>(this->decisions.report_failure(job, worker, failed.spec.service));
}

/// An urgent job of the shape of one cell must start within the reclaim bound when nothing but
/// borrowers is in the cell.
void property_world::probe_guarantee()
{
    this->cells = this->decisions.cell_assignments();
    std::vector<cell_assignment> open;
    for (const cell_assignment& cell : this->cells) {
        const auto terms_of =
            std::find_if(this->terms.begin(), this->terms.end(),
                         [&cell](const guarantee& one) { return one.agreement == cell.agreement; });
        bool usable = cell.whole && cell.level != cell_level::data_centre;
        for (const auto& [name, job] : this->jobs) {
            const std::string& id = name;
            const bool is_own = job.spec.account == terms_of->account;
            // The account's own waiting work may take the cell; it counts as in use then.
            const bool is_stopping =
                std::any_of(this->stops.begin(), this->stops.end(),
                            [&id](const pending_stop& stop) { return stop.job == id; });
            usable = usable && (!is_own || (job.runs && !is_stopping) ||
                                job.spec.priority == job_priority::low);
            for (const member_placement& member : job.members) {
                const bool stays = !is_stoppable(job.spec) ||
                                   (is_own && job.spec.priority == job_priority::urgent);
                usable = usable && !(job.runs && stays && this->covers(cell, member));
            }
        }
        if (usable) {
            open.push_back(cell);
        }
    }
    if (open.empty()) {
        return;
    }
    const cell_assignment cell = open[this->pick(static_cast<std::uint32_t>(open.size()))];
    job_spec probe;
    probe.id = fmt::format("probe{:05}", ++this->sequence);
    probe.service = "probe";
    probe.priority = job_priority::urgent;
    probe.declared_run_time = milliseconds(1000);
    for (const guarantee& one : this->terms) {
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
    if (!this->decisions.submit(probe).ok()) {
        this->fail("a job of the guaranteed shape is refused");
        return;
    }
    this->jobs[probe.id].spec = probe;
    const steady_time bound = this->clock.now() + milliseconds(2000);
    while (this->broken.empty() && !this->jobs[probe.id].runs) {
        this->settle_stops();
        this->turn();
        if (!this->jobs[probe.id].runs && this->clock.now() >= bound) {
            this->fail(fmt::format("cell {}/{} of {} is not given back within the bound",
                                   cell.agreement, cell.index, probe.account));
        }
        this->clock.advance(milliseconds(250));
    }
}

void property_world::end_gang(const std::string& job)
{
    known_job& ended = this->jobs[job];
    ended.runs = false;
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

void property_world::settle_stops()
{
    const std::vector<pending_stop> due = this->stops;
    for (const pending_stop& stop : due) {
        const auto found = this->jobs.find(stop.job);
        if (stop.due > this->clock.now() || found == this->jobs.end() || !found->second.runs) {
            continue;
        }
        known_job& job = found->second;
        const bool checkpointed = job.spec.can_checkpoint && this->chance(90);
        job.may_start =
            job.may_start && (job.spec.idempotent || (job.planned_stop && checkpointed));
        this->end_gang(stop.job);
        static_cast<void>(this->decisions.report_stopped(stop.job, checkpointed));
    }
}

void property_world::turn()
{
    const std::vector<decision> decided = this->decisions.decide();
    const std::vector<cell_assignment> now = this->decisions.cell_assignments();
    if (!std::equal(now.begin(), now.end(), this->cells.begin(), this->cells.end(),
                    [](const cell_assignment& left, const cell_assignment& right) {
                        return left.agreement == right.agreement && left.version == right.version;
                    })) {
        this->forget_reclaims();
    }
    this->cells = now;
    for (const decision& one : decided) {
        ++this->event_number;
        this->lines +=
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
                this->jobs[stop->for_job].reclaim_step = this->event_number;
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
