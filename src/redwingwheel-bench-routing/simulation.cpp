#include "simulation.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::bench_routing {

namespace {

constexpr std::array<std::uint32_t, 3> workers_per_data_centre{4, 4, 3};
constexpr std::uint32_t data_centre_count = workers_per_data_centre.size();
constexpr std::uint32_t slots_per_worker = 8;
constexpr std::uint32_t worker_count = 11;
/// One way, within a data centre and between two.
constexpr double near_link_ms = 0.1;
constexpr double far_link_ms = 3.5;
constexpr double report_period_ms = 500.0;
constexpr double expiry_period_ms = 10.0;
constexpr double warm_up_ms = 2'000.0;
constexpr double ramp_ms = 10'000.0;
constexpr double straggler_ms = 1.0;
constexpr double slow_factor = 4.0;
/// The faulty worker: the first of the first data centre.
constexpr std::size_t faulty_worker = 0;
constexpr std::uint32_t withdrawn_data_centre = 2;
/// Agents do not restart here.
constexpr request::incarnation_id incarnation = 1;
constexpr std::array<std::string_view, class_count> service_names{"price-check", "inspection",
                                                                  "recount"};

std::string data_centre_name(std::uint32_t index)
{
    return fmt::format("dc{}", index + 1);
}

std::chrono::nanoseconds to_time(double length_ms)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(length_ms * 1e6));
}

double to_ms(std::chrono::nanoseconds length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

simulation::simulation(scenario chosen, std::uint64_t seed, double seconds)
    : settings(std::move(chosen)), run_ms(seconds * 1'000.0),
      arrivals(make_arrivals(seed, seconds, this->settings.load, worker_count * slots_per_worker,
                             this->settings.entries)),
      begin(this->clock.now()), random(seed)
{
    this->result.settings = this->settings;
    this->result.measured_seconds = (this->run_ms - warm_up_ms) / 1'000.0;
    this->calls.resize(this->arrivals.size());
    this->build_workers();
    this->build_entries();
}

void simulation::build_workers()
{
    this->workers.reserve(worker_count);
    for (std::uint32_t centre = 0; centre < workers_per_data_centre.size(); ++centre) {
        for (std::uint32_t one = 0; one < workers_per_data_centre[centre]; ++one) {
            const std::size_t index = this->workers.size();
            worker_state& worker = this->workers.emplace_back();
            worker.name = fmt::format("worker-{}", index);
            worker.data_centre = centre;
            this->worker_index.emplace(worker.name, index);
            request::admission_options options;
            options.slots = slots_per_worker;
            options.incarnation = incarnation;
            if (this->settings.plain_queue) {
                options.reserved_non_batch_slots = 0;
                options.max_account_queue_share = 1.0;
            }
            worker.queue = std::make_unique<request::admission_queue>(
                options, this->clock.function(),
                [this, index] { return !this->workers[index].withdrawn; });
        }
    }
}

void simulation::build_entries()
{
    for (std::uint32_t index = 0; index < this->settings.entries; ++index) {
        request::router_options options;
        options.policy = this->settings.policy;
        options.candidates_per_choice = this->settings.choices;
        options.local_data_centre = data_centre_name(index % data_centre_count);
        request::retry_options retrying;
        retrying.hedging = this->settings.hedging;
        entry_state& entry = this->entries.emplace_back();
        entry.routes = std::make_unique<request::router>(options, this->clock.function(),
                                                         [this] { return this->random(); });
        entry.retries = std::make_unique<request::retry_policy>(retrying, this->clock.function());
    }
}

void simulation::schedule(double in_ms, std::function<void()> action)
{
    const std::chrono::nanoseconds at = this->clock.now() - this->begin + to_time(in_ms);
    this->events.push(event{at.count(), this->next_order++, std::move(action)});
}

run_outcome simulation::run()
{
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        this->report(worker);
        // Reports of the workers are spread over the period.
        this->schedule(report_period_ms * static_cast<double>(worker + 1) / worker_count,
                       [this, worker] { this->schedule_reports(worker); });
        this->schedule_expiry(worker);
    }
    if (this->settings.withdrawal) {
        this->schedule(this->run_ms / 3.0, [this] { this->set_withdrawn(true); });
        this->schedule(this->run_ms * 2.0 / 3.0, [this] { this->set_withdrawn(false); });
    }
    if (!this->arrivals.empty()) {
        this->schedule_arrival(0);
    }
    while (!this->events.empty()) {
        const event next = this->events.top();
        this->events.pop();
        this->clock.advance_to(this->begin + std::chrono::nanoseconds(next.at_ns));
        next.action();
    }
    return std::move(this->result);
}

void simulation::schedule_reports(std::size_t worker)
{
    this->report(worker);
    if (to_ms(this->clock.now() - this->begin) < this->run_ms) {
        this->schedule(report_period_ms, [this, worker] { this->schedule_reports(worker); });
    }
}

void simulation::schedule_expiry(std::size_t worker)
{
    this->carry_out(worker, this->workers[worker].queue->expire());
    const bool arriving = to_ms(this->clock.now() - this->begin) < this->run_ms;
    if (arriving || !this->workers[worker].queue->idle()) {
        this->schedule(expiry_period_ms, [this, worker] { this->schedule_expiry(worker); });
    }
}

void simulation::report(std::size_t worker)
{
    const worker_state& from = this->workers[worker];
    request::agent_info info;
    info.worker = from.name;
    info.data_centre = data_centre_name(from.data_centre);
    info.incarnation = incarnation;
    info.may_start = !from.withdrawn;
    info.ramp_end = from.ramp_deadline;
    info.load = from.queue->load();
    for (entry_state& entry : this->entries) {
        entry.routes->update_agent(info);
    }
}

void simulation::set_withdrawn(bool withdrawn)
{
    for (worker_state& worker : this->workers) {
        if (worker.data_centre == withdrawn_data_centre) {
            worker.withdrawn = withdrawn;
            worker.ramp_deadline = this->clock.now() + to_time(withdrawn ? 0.0 : ramp_ms);
        }
    }
}

void simulation::schedule_arrival(std::size_t index)
{
    const double now_ms = to_ms(this->clock.now() - this->begin);
    this->schedule(std::max(0.0, this->arrivals[index].at_ms - now_ms), [this, index] {
        this->arrive(index);
        if (index + 1 < this->arrivals.size()) {
            this->schedule_arrival(index + 1);
        }
    });
}

void simulation::arrive(std::size_t index)
{
    call& made = this->calls[index];
    made.from = this->arrivals[index];
    const std::size_t priority = static_cast<std::size_t>(made.from.priority);
    made.arrived = this->clock.now();
    made.deadline = made.arrived + to_time(profiles[priority].deadline_ms);
    entry_state& entry = this->entries[made.from.entry];
    entry.retries->record_request(service_names[priority]);
    this->try_once(index);
    const std::optional<steady_time> hedge_at =
        entry.retries->hedge_at(service_names[priority], made.from.priority != request_class::batch,
                                milliseconds(static_cast<std::int64_t>(made.from.declared_ms)));
    if (hedge_at.has_value()) {
        this->schedule(to_ms(*hedge_at - made.arrived), [this, index] { this->hedge(index); });
    }
}

request::request_info simulation::describe(const call& from, request::attempt_id attempt) const
{
    request::request_info info;
    info.attempt = attempt;
    info.account = fmt::format("account-{}", from.from.account);
    info.service = service_names[static_cast<std::size_t>(from.from.priority)];
    info.priority = from.from.priority;
    info.deadline = from.deadline;
    // Recounts, the batch class, are not idempotent and hold a claim.
    if (from.from.priority == request_class::batch) {
        info.claim_incarnation = incarnation;
    }
    info.expected_duration = milliseconds(static_cast<std::int64_t>(from.from.declared_ms));
    return info;
}

double simulation::link_ms(std::uint32_t entry, std::size_t worker) const
{
    return this->workers[worker].data_centre == entry % data_centre_count ? near_link_ms
                                                                          : far_link_ms;
}

void simulation::try_once(std::size_t call_index)
{
    call& made = this->calls[call_index];
    const request::attempt_id attempt = this->next_attempt++;
    request::router& routes = *this->entries[made.from.entry].routes;
    const request::routing_decision decided =
        routes.choose(this->describe(made, attempt), made.excluded);
    ++made.tries;
    if (!decided.chosen.has_value()) {
        if (made.open_tries == 0) {
            this->end_call(call_index, false);
        }
        return;
    }
    routes.record_sent(*decided.chosen);
    ++made.open_tries;
    ++this->result.tries;
    const std::size_t worker = this->worker_index.at(decided.chosen->worker);
    made.excluded.push_back(decided.chosen->worker);
    this->attempts.emplace(attempt,
                           attempt_state{call_index, worker, *decided.chosen, this->clock.now()});
    this->result.straggler_tries += this->settings.straggler && worker == faulty_worker ? 1 : 0;
    this->schedule(this->link_ms(made.from.entry, worker),
                   [this, attempt] { this->deliver(attempt); });
}

void simulation::hedge(std::size_t call_index)
{
    call& made = this->calls[call_index];
    request::retry_policy& retries = *this->entries[made.from.entry].retries;
    const std::size_t priority = static_cast<std::size_t>(made.from.priority);
    if (!made.ended && made.open_tries == 1 && retries.try_take_hedge(service_names[priority])) {
        ++this->result.hedges;
        this->try_once(call_index);
    }
}

void simulation::deliver(request::attempt_id attempt)
{
    const attempt_state& state = this->attempts.at(attempt);
    const std::size_t worker = state.worker;
    this->result.withdrawn_tries += this->workers[worker].withdrawn ? 1 : 0;
    request::request_info info = this->describe(this->calls[state.call_index], attempt);
    if (this->settings.plain_queue) {
        info.priority = request_class::standard;
        info.account = "all";
    }
    const request::offer_result offered = this->workers[worker].queue->offer(info);
    this->carry_out(worker, offered.other_attempts);
    if (offered.kind == request::offer_kind::started) {
        this->start(attempt);
    }
    else if (offered.kind == request::offer_kind::refused) {
        ++this->result.refusals;
        this->answer(attempt, request::outcome_of_refusal(offered.reason, true));
    }
}

void simulation::carry_out(std::size_t worker, const request::dispatch_result& out)
{
    static_cast<void>(worker);
    for (const request::request_info& one : out.started) {
        this->start(one.attempt);
    }
    for (const request::refused_attempt& one : out.refused) {
        ++this->result.refusals;
        this->answer(one.attempt, request::outcome_of_refusal(one.reason, true));
    }
}

void simulation::start(request::attempt_id attempt)
{
    const attempt_state& state = this->attempts.at(attempt);
    const bool faulty = state.worker == faulty_worker;
    const bool fails = this->settings.straggler && faulty;
    const double factor = this->settings.slow_worker && faulty ? slow_factor : 1.0;
    const double run = fails ? straggler_ms : this->calls[state.call_index].from.run_ms * factor;
    this->schedule(run, [this, attempt, fails] { this->complete(attempt, fails); });
}

void simulation::complete(request::attempt_id attempt, bool failed)
{
    const std::size_t worker = this->attempts.at(attempt).worker;
    const request::outcome_kind outcome =
        failed ? request::outcome_kind::failed : request::outcome_kind::done;
    this->result.failures += failed ? 1 : 0;
    const request::dispatch_result next = this->workers[worker].queue->finished(attempt, outcome);
    this->answer(attempt, outcome);
    this->carry_out(worker, next);
}

void simulation::answer(request::attempt_id attempt, request::outcome_kind outcome)
{
    const attempt_state& state = this->attempts.at(attempt);
    const request::load_report load = this->workers[state.worker].queue->load();
    this->schedule(this->link_ms(this->calls[state.call_index].from.entry, state.worker),
                   [this, attempt, outcome, load] { this->receive(attempt, outcome, load); });
}

void simulation::receive(request::attempt_id attempt, request::outcome_kind outcome,
                         const request::load_report& load)
{
    const attempt_state state = std::move(this->attempts.at(attempt));
    this->attempts.erase(attempt);
    call& made = this->calls[state.call_index];
    entry_state& entry = this->entries[made.from.entry];
    request::attempt_observation seen;
    seen.outcome = outcome;
    seen.latency = std::chrono::duration_cast<milliseconds>(this->clock.now() - state.sent_at);
    if (!this->settings.polls_only) {
        seen.load = load;
    }
    entry.routes->record_ended(state.made, seen);
    --made.open_tries;
    if (made.ended) {
        return;
    }
    if (outcome == request::outcome_kind::done) {
        entry.retries->record_latency(service_names[static_cast<std::size_t>(made.from.priority)],
                                      seen.latency);
        this->end_call(state.call_index, this->clock.now() <= made.deadline);
        return;
    }
    if (made.open_tries == 0) {
        this->retry_or_end(state.call_index, outcome);
    }
}

void simulation::retry_or_end(std::size_t call_index, request::outcome_kind outcome)
{
    call& made = this->calls[call_index];
    request::retry_context question;
    question.service = service_names[static_cast<std::size_t>(made.from.priority)];
    question.outcome = outcome;
    question.cause = outcome == request::outcome_kind::not_run ? request::end_cause::refused
                                                               : request::end_cause::failed;
    question.idempotent = made.from.priority != request_class::batch;
    question.attempts_made = made.tries;
    question.deadline = made.deadline;
    const request::retry_verdict verdict =
        this->entries[made.from.entry].retries->decide_retry(question);
    if (verdict == request::retry_verdict::retry) {
        this->try_once(call_index);
        return;
    }
    this->result.budget_refusals += verdict == request::retry_verdict::budget_used_up ? 1 : 0;
    this->end_call(call_index, false);
}

void simulation::end_call(std::size_t call_index, bool done)
{
    call& made = this->calls[call_index];
    made.ended = true;
    if (to_ms(made.arrived - this->begin) < warm_up_ms) {
        return;
    }
    const std::size_t priority = static_cast<std::size_t>(made.from.priority);
    class_outcome& outcome = this->result.classes[priority];
    ++outcome.offered;
    outcome.done += done ? 1 : 0;
    outcome.done_work_ms += done ? made.from.run_ms : 0.0;
    outcome.latency_ms.push_back(done ? to_ms(this->clock.now() - made.arrived)
                                      : profiles[priority].deadline_ms);
}

} // namespace redwingwheel::bench_routing
