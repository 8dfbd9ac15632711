#include "simulation.h"

#include <algorithm>
#include <bit>

#include <fmt/format.h>

namespace redwingwheel::replay {

using namespace placement;

namespace {

// Commands and reports travel with the agents' polls.
constexpr std::uint64_t poll_period_ms = 500;
// A silent worker's tasks count as ended when their lease is over: permit life plus 1% margin.
constexpr milliseconds lease_time{3030};
constexpr milliseconds tick_period{250};
// A task that lacks accelerators, or is broken itself, fails this long after its start.
constexpr milliseconds own_failure_time{1000};
constexpr std::uint32_t max_turns_at_one_time = 10000;

std::string seconds_of(milliseconds at)
{
    return fmt::format("{}.{:03}", at.count() / 1000, at.count() % 1000);
}

} // namespace

simulation::simulation(const trace& chosen, std::string_view policy_name, line_sink sink)
    : source(chosen), print(std::move(sink)), origin(this->clock.now()),
      scheduler(make_policy(policy_name, this->clock.function())), random(chosen.seed)
{
}

simulation::~simulation() = default;

milliseconds simulation::now() const
{
    return std::chrono::duration_cast<milliseconds>(this->clock.now() - this->origin);
}

milliseconds simulation::jitter()
{
    return milliseconds(static_cast<std::int64_t>(this->random() % poll_period_ms));
}

void simulation::schedule(milliseconds at, internal_kind kind, const std::string& job,
                          std::uint64_t generation, const std::string& worker)
{
    this->pending.push({at, ++this->last_sequence, kind, job, generation, worker});
}

replay_result simulation::run()
{
    std::size_t next = 0;
    const std::vector<trace_event>& events = this->source.events;
    while (next < events.size() || !this->pending.empty()) {
        milliseconds at = this->pending.empty() ? this->source.end : this->pending.top().at;
        if (next < events.size()) {
            at = this->pending.empty() ? events[next].at : std::min(at, events[next].at);
        }
        if (at > this->source.end) {
            break;
        }
        this->clock.advance_to(this->origin + at);
        while (next < events.size() && events[next].at == at) {
            this->apply(events[next]);
            ++next;
        }
        while (!this->pending.empty() && this->pending.top().at == at) {
            const internal_event event = this->pending.top();
            this->pending.pop();
            this->handle(event);
        }
        this->turn();
        this->sample();
    }
    this->clock.advance_to(this->origin + this->source.end);
    for (auto& [id, job] : this->jobs) {
        this->end_segment(job, true);
    }
    this->result.end = this->source.end;
    return std::move(this->result);
}

void simulation::apply(const trace_event& event)
{
    switch (event.kind) {
    case event_kind::worker_added: {
        live_worker& added = this->workers[event.name];
        added.spec = event.worker;
        added.holder.assign(event.worker.accelerators, "");
        this->scheduler->add_worker(event.worker);
        break;
    }
    case event_kind::worker_lost:
        this->workers[event.name].lost = true;
        this->scheduler->remove_worker(event.name);
        break;
    case event_kind::worker_returned:
        this->workers[event.name].lost = false;
        this->scheduler->add_worker(this->workers[event.name].spec);
        break;
    case event_kind::guarantee_added:
    case event_kind::guarantee_withdrawn:
        this->apply_guarantees(event);
        break;
    case event_kind::job_arrives:
        this->arrive(event.job);
        break;
    case event_kind::job_cancelled:
        this->cancel(event.name);
        break;
    case event_kind::straggler_begins:
    case event_kind::straggler_ends:
        this->apply_straggler(event);
        break;
    case event_kind::data_centre_withdrawn:
        this->withdrawn.insert(event.name);
        this->scheduler->set_data_centre_state(event.name, data_centre_state::withdrawn);
        break;
    case event_kind::data_centre_returned:
        this->withdrawn.erase(event.name);
        this->scheduler->set_data_centre_state(event.name, data_centre_state::in_service);
        break;
    }
    this->feasible.reset();
}

void simulation::apply_guarantees(const trace_event& event)
{
    std::vector<guarantee> wanted = this->terms;
    const auto known = std::find_if(wanted.begin(), wanted.end(), [&](const guarantee& one) {
        return one.agreement == event.name;
    });
    if (event.kind == event_kind::guarantee_withdrawn) {
        if (known != wanted.end()) {
            wanted.erase(known);
        }
    }
    else if (known != wanted.end()) {
        *known = event.terms;
    }
    else {
        wanted.push_back(event.terms);
    }
    const std::vector<shortfall> lacking = this->scheduler->check_guarantees(wanted);
    if (event.kind == event_kind::guarantee_added && !lacking.empty()) {
        this->print(fmt::format("at={} agreement={} outcome=refused reason=\"{} of {} {} cells "
                                "are missing\"",
                                seconds_of(this->now()), lacking[0].agreement, lacking[0].missing,
                                lacking[0].wanted, name_of(lacking[0].level)));
        return;
    }
    this->terms = std::move(wanted);
    this->scheduler->set_guarantees(this->terms);
    this->print(fmt::format("at={} agreement={} outcome={}", seconds_of(this->now()), event.name,
                            event.kind == event_kind::guarantee_added ? "accepted" : "withdrawn"));
}

void simulation::apply_straggler(const trace_event& event)
{
    live_worker& worker = this->workers[event.name];
    const bool begins = event.kind == event_kind::straggler_begins;
    worker.fails = begins && event.fails;
    worker.fail_after = event.fail_after;
    worker.factor = begins ? event.slowdown : 1;
}

void simulation::arrive(const traced_job& job)
{
    job_result& entry = this->result.jobs[job.spec.id];
    entry.job_class = job.job_class;
    entry.account = job.spec.account;
    entry.arrived = this->now();
    entry.idempotent = job.spec.idempotent;
    entry.entitled = this->is_entitled(job);
    const absl::Status accepted = this->scheduler->submit(job.spec);
    if (!accepted.ok()) {
        entry.refused = true;
        this->print(fmt::format("at={} job={} outcome=refused reason=\"{}\"",
                                seconds_of(this->now()), job.spec.id,
                                errors::message_of(accepted)));
        return;
    }
    this->jobs[job.spec.id].traced = job;
}

void simulation::cancel(const std::string& name)
{
    // A name of a series stands for all of its jobs: "name-00000" and so on.
    std::vector<std::string> cancelled;
    for (const auto& [id, job] : this->jobs) {
        const bool in_series = id.size() == name.size() + 6 && id.starts_with(name + "-");
        if (id == name || in_series) {
            cancelled.push_back(id);
        }
    }
    for (const std::string& id : cancelled) {
        this->result.jobs[id].cancelled = true;
        this->scheduler->cancel(id);
        if (this->jobs[id].waits) {
            this->jobs.erase(id);
        }
    }
}

void simulation::handle(const internal_event& event)
{
    if (event.kind == internal_kind::tick) {
        this->tick_pending = false;
        return;
    }
    const auto found = this->jobs.find(event.job);
    if (found == this->jobs.end() || found->second.generation != event.generation ||
        found->second.waits) {
        return;
    }
    live_job& job = found->second;
    switch (event.kind) {
    case internal_kind::begins:
        if (!job.stopping) {
            this->begin(event.job);
        }
        break;
    case internal_kind::ends:
        this->finish(event.job);
        break;
    case internal_kind::fails:
        if (!job.stopping) {
            this->scheduler->report_failure(event.job, event.worker, job.traced.spec.service);
        }
        break;
    case internal_kind::stops:
        this->stop(event.job);
        break;
    case internal_kind::tick:
        break;
    }
}

void simulation::begin(const std::string& id)
{
    live_job& job = this->jobs[id];
    job.begun = true;
    job.begin = this->now();
    job_result& entry = this->result.jobs[id];
    if (!entry.first_started.has_value()) {
        entry.first_started = this->now();
    }
    if (entry.reclaimed_at.has_value() && !entry.reclaim_time.has_value()) {
        entry.reclaim_time = this->now() - *entry.reclaimed_at;
    }
    if (job.work_lost) {
        ++entry.reruns;
        job.work_lost = false;
    }
    job.factor = 1;
    std::optional<milliseconds> failure;
    std::string failing;
    const auto fails_at = [&](const std::string& worker, milliseconds after) {
        if (!failure.has_value() || this->now() + after < *failure) {
            failure = this->now() + after;
            failing = worker;
        }
    };
    for (const member_placement& member : job.members) {
        const live_worker& worker = this->workers[member.worker];
        job.factor = std::max(job.factor, worker.factor);
        if (worker.fails) {
            fails_at(member.worker, worker.fail_after);
        }
    }
    if (job.traced.always_fails ||
        job.traced.true_accelerators_per_member > job.traced.spec.accelerators_per_member) {
        fails_at(job.members.front().worker, own_failure_time);
    }
    const milliseconds left = std::max(milliseconds(0), job.traced.true_run_time - job.done);
    const milliseconds run(
        static_cast<std::int64_t>(static_cast<double>(left.count()) * job.factor));
    if (failure.has_value()) {
        this->schedule(*failure, internal_kind::fails, id, job.generation, failing);
    }
    else {
        this->schedule(this->now() + run + this->jitter(), internal_kind::ends, id, job.generation);
    }
}

void simulation::end_segment(const live_job& job, bool kept)
{
    if (!job.begun) {
        return;
    }
    std::uint32_t accelerators = 0;
    for (const member_placement& member : job.members) {
        accelerators += static_cast<std::uint32_t>(std::popcount(member.accelerators));
    }
    this->result.work.push_back({job.begin, this->now(), accelerators, kept});
}

void simulation::release(live_job& job)
{
    for (const member_placement& member : job.members) {
        live_worker& worker = this->workers[member.worker];
        for (std::uint32_t n = 0; n < worker.holder.size(); ++n) {
            if ((member.accelerators >> n & 1) != 0 && worker.holder[n] == job.traced.spec.id) {
                worker.holder[n].clear();
            }
        }
    }
    job.members.clear();
    job.begun = false;
    job.stopping = false;
    job.waits = true;
}

void simulation::finish(const std::string& id)
{
    live_job& job = this->jobs[id];
    const bool on_lost =
        std::any_of(job.members.begin(), job.members.end(),
                    [this](const member_placement& one) { return this->workers[one.worker].lost; });
    if (on_lost) {
        return;
    }
    this->end_segment(job, true);
    this->release(job);
    this->result.jobs[id].finished = this->now();
    this->scheduler->finish(id);
    this->jobs.erase(id);
}

void simulation::stop(const std::string& id)
{
    live_job& job = this->jobs[id];
    const bool kept = job.planned_stop && job.traced.spec.can_checkpoint;
    const bool lost = job.begun && !kept;
    this->end_segment(job, kept);
    if (job.begun && kept) {
        const double work = static_cast<double>((this->now() - job.begin).count()) / job.factor;
        job.done += milliseconds(static_cast<std::int64_t>(work));
    }
    else if (job.begun) {
        job.done = milliseconds(0);
    }
    job.work_lost = job.work_lost || lost;
    const bool checkpointed = kept || !job.begun;
    this->release(job);
    this->scheduler->stopped(id, checkpointed);
    if (this->result.jobs[id].cancelled) {
        this->jobs.erase(id);
    }
}

void simulation::turn()
{
    for (std::uint32_t n = 0; n < max_turns_at_one_time; ++n) {
        const std::vector<decision> decided = this->scheduler->decide();
        for (const decision& one : decided) {
            this->log(one);
            if (const start_gang* const start_action =
                    std::get_if<start_gang>(&one.requested_action)) {
                this->start(start_action->placement);
            }
            else if (const reclaim_gang* const reclaim =
                         std::get_if<reclaim_gang>(&one.requested_action)) {
                this->order_stop(reclaim->job, reclaim->for_job, reclaim->stop_deadline);
                if (reclaim->for_guarantee) {
                    job_result& waiting = this->result.jobs[reclaim->for_job];
                    waiting.reclaimed_at = waiting.reclaimed_at.value_or(this->now());
                }
            }
            else if (const move_gang* const move = std::get_if<move_gang>(&one.requested_action)) {
                this->order_stop(move->job, move->job, move->stop_deadline);
            }
            else if (const refuse_job* const refused =
                         std::get_if<refuse_job>(&one.requested_action)) {
                this->result.jobs[refused->job].refused = true;
                this->jobs.erase(refused->job);
            }
        }
        if (!this->scheduler->has_more()) {
            break;
        }
    }
    for (const std::string& worker : this->scheduler->quarantined_workers()) {
        this->result.quarantined.insert(worker);
    }
    const bool waiting = std::any_of(this->jobs.begin(), this->jobs.end(),
                                     [](const auto& entry) { return entry.second.waits; });
    if (waiting && !this->tick_pending) {
        this->tick_pending = true;
        this->schedule(this->now() + tick_period, internal_kind::tick, "", 0);
    }
}

void simulation::log(const decision& one)
{
    this->print(fmt::format("at={} job={} outcome={} workers={} reason=\"{}\"",
                            seconds_of(this->now()), one.record.job, one.record.outcome,
                            fmt::join(one.record.workers, ","), one.record.reason));
}

void simulation::start(const gang_placement& placement)
{
    live_job& job = this->jobs[placement.job];
    this->check_shape(job, placement);
    for (const member_placement& member : placement.members) {
        live_worker& worker = this->workers[member.worker];
        for (std::uint32_t n = 0; n < worker.holder.size(); ++n) {
            if ((member.accelerators >> n & 1) != 0) {
                this->result.overlaps += worker.holder[n].empty() ? 0 : 1;
                worker.holder[n] = placement.job;
            }
        }
    }
    this->result.starts.push_back(
        {this->now(), this->workers[placement.members.front().worker].spec.data_centre});
    job.members = placement.members;
    job.waits = false;
    job.stopping = false;
    job.generation = ++this->last_generation;
    this->schedule(this->now() + this->jitter(), internal_kind::begins, placement.job,
                   job.generation);
}

void simulation::order_stop(const std::string& id, const std::string& for_job, steady_time deadline)
{
    live_job& job = this->jobs[id];
    job.stopping = true;
    job.planned_stop = !for_job.empty();
    milliseconds at = std::chrono::duration_cast<milliseconds>(deadline - this->origin);
    const bool silent =
        std::any_of(job.members.begin(), job.members.end(),
                    [this](const member_placement& one) { return this->workers[one.worker].lost; });
    at = std::max(at, this->now()) + (silent ? lease_time : milliseconds(0)) + this->jitter();
    this->schedule(at, internal_kind::stops, id, job.generation);
}

} // namespace redwingwheel::replay
