#include "leader_model.h"

#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"
#include "run_history.h"

namespace redwingwheel::jobs::testing {

namespace {

constexpr milliseconds full_round_period{250};
constexpr milliseconds max_poll_wait{900};
constexpr milliseconds release_retry_interval{1000};

void log_evictions(const std::vector<eviction>& evictions)
{
    for (const eviction& each : evictions) {
        spdlog::info("leader: run_evicted {} reason=\"{}\"", format_run(each.run), each.reason);
    }
}

} // namespace

leader_model::leader_model(const scheduler_options& options, clock_function now,
                           leader_hooks callbacks, std::uint64_t leader_term, job_state committed)
    : clock(std::move(now)), hooks(std::move(callbacks)), term(leader_term),
      state(std::move(committed)), job_scheduler(options, this->clock, this->state)
{
    this->tokens.begin_term(this->term);
    this->job_scheduler.begin_leadership();
}

command_result leader_model::apply(const job_command& command)
{
    this->state_changed = true;
    return this->state.apply(command);
}

void leader_model::abandon()
{
    std::map<std::string, waiting_poll> waiting;
    waiting.swap(this->polls);
    for (const auto& [supervisor, each] : waiting) {
        each.done(absl::AbortedError("leadership has changed while the poll waited"));
    }
}

void leader_model::serve_poll(messages::worker_poll poll, poll_done done)
{
    ++this->served;
    const auto earlier = this->polls.find(poll.supervisor);
    if (earlier != this->polls.end()) {
        const messages::worker_poll& waiting = earlier->second.poll;
        if (waiting.process == poll.process && waiting.sequence > poll.sequence) {
            done(absl::AbortedError("a newer poll has arrived"));
            return;
        }
        earlier->second.done(absl::AbortedError("a newer poll has arrived"));
        this->polls.erase(earlier);
    }
    for (const messages::ended_incarnation& ended : poll.ended_incarnations) {
        this->propose_ended_runs(ended.worker, ended.ended_runs);
        if (!this->job_scheduler.has_ended(ended.worker) &&
            !this->state.runs_on(ended.worker).empty()) {
            spdlog::info("leader: worker_ended worker={} born={} host={} evidence={} runs={} "
                         "permit_expired_ms={}",
                         ended.worker.id, ended.worker.started_unix_ms, ended.worker.host,
                         ended.evidence, this->state.runs_on(ended.worker).size(),
                         this->job_scheduler.time_since_permit(ended.worker).count());
        }
        this->job_scheduler.record_worker_end(ended.worker);
    }
    const bool current = !poll.worker.incarnation.id.empty() &&
                         this->tokens.accept_report(poll.supervisor, poll.process, poll.sequence,
                                                    poll.worker.incarnation, poll.fencing_token);
    if (current) {
        this->record_report(poll);
    }
    this->propose_ended_runs(poll.worker.incarnation, poll.ended_runs);
    this->release_refused_starts(poll);
    this->state_changed = true;
    const std::string supervisor = poll.supervisor;
    this->polls[supervisor] = {std::move(poll), std::move(done), this->clock() + max_poll_wait,
                               current};
}

void leader_model::record_report(const messages::worker_poll& poll)
{
    const worker_incarnation& worker = poll.worker.incarnation;
    const std::optional<resources> before = this->job_scheduler.announced_capacity(worker);
    worker_description described = poll.worker;
    described.reachable =
        described.reachable && !this->state.has_superseded_end(worker, poll.ended_runs);
    this->job_scheduler.record_report(described, poll.running, poll.contact);
    if (before.has_value() && *before != poll.worker.capacity) {
        log_evictions(this->job_scheduler.withdraw_excess_starts(worker));
    }
}

void leader_model::propose_ended_runs(const worker_incarnation& worker,
                                      const std::vector<ended_run>& ended_runs)
{
    if (ended_runs.empty()) {
        return;
    }
    const std::uint64_t last_known =
        std::max(this->state.last_recorded_end(worker), this->proposed_end_numbers[worker]);
    record_ended_runs command;
    command.worker = worker;
    command.now_unix_ms = this->hooks.unix_ms();
    command.restart_long_running = true;
    for (const ended_run& end : ended_runs) {
        if (end.number > last_known) {
            command.ended_runs.push_back(end);
            this->job_scheduler.record_run_end(worker, end);
            spdlog::info("leader: run_ended {} how={} worker={} born={} number={}",
                         format_run(end.run), run_outcome_name(end.outcome), worker.id,
                         worker.started_unix_ms, end.number);
        }
    }
    if (command.ended_runs.empty()) {
        return;
    }
    this->proposed_end_numbers[worker] = command.ended_runs.back().number;
    this->hooks.propose(command, [this, worker](const absl::StatusOr<command_result>& result) {
        if (!result.ok()) {
            this->proposed_end_numbers.erase(worker);
        }
    });
}

void leader_model::release_refused_starts(const messages::worker_poll& poll)
{
    release_runs command;
    command.now_unix_ms = this->hooks.unix_ms();
    const steady_time now = this->clock();
    std::erase_if(this->proposed_releases,
                  [now](const auto& each) { return now > each.second + release_retry_interval; });
    for (const messages::refused_start& each : poll.refused_starts) {
        const task_record* const task = this->state.find(each.run.task);
        if (task == nullptr || task->phase != task_phase::assigned ||
            task->last_run != each.run.number ||
            !this->proposed_releases.emplace(each.run, now).second) {
            continue;
        }
        this->job_scheduler.record_refused_start(poll.worker.incarnation, each.run);
        spdlog::info("leader: start_refused {} worker={} reason={}", format_run(each.run),
                     poll.worker.incarnation.id, each.reason);
        command.runs.push_back({each.run, ""});
    }
    if (!command.runs.empty()) {
        this->hooks.propose(command, [](const absl::StatusOr<command_result>&) {});
    }
}

messages::worker_poll_answer
leader_model::build_poll_answer(const messages::worker_poll& poll) const
{
    const worker_incarnation& worker = poll.worker.incarnation;
    messages::worker_poll_answer made;
    made.has_orders = true;
    if (poll.contact != worker_contact::lease_expired) {
        made.permit_ms =
            static_cast<std::uint64_t>(this->job_scheduler.settings().permit_lifetime.count());
    }
    made.last_recorded_end = this->state.last_recorded_end(worker);
    made.last_superseded_end = this->state.last_superseded_end(worker);
    std::vector<run_id> unconfirmed;
    for (const run_id& run : this->state.runs_on(worker)) {
        if (this->job_scheduler.is_releasing(run)) {
            continue;
        }
        if (!this->job_scheduler.should_run(run)) {
            made.withdrawn.push_back(run);
            continue;
        }
        made.desired_runs.push_back(run);
        if (!this->job_scheduler.is_confirmed(run)) {
            unconfirmed.push_back(run);
            const job_record* const job = this->state.find(run.task.job);
            made.starts.push_back(
                {run, job->definition.payload, this->state.find(run.task)->checkpoint});
        }
    }
    made.orders_digest =
        digest::content_hash(pack(std::make_tuple(made.last_recorded_end, made.last_superseded_end,
                                                  made.desired_runs, unconfirmed, made.withdrawn)));
    return made;
}

std::vector<worker_incarnation>
leader_model::recorded_incarnations(const messages::worker_poll& poll) const
{
    std::vector<worker_incarnation> recorded;
    for (const messages::ended_incarnation& ended : poll.ended_incarnations) {
        if (ended.ended_runs.empty() ||
            ended.ended_runs.back().number <= this->state.last_recorded_end(ended.worker)) {
            recorded.push_back(ended.worker);
        }
    }
    return recorded;
}

bool leader_model::has_recorded_ends(const messages::worker_poll& poll) const
{
    return std::any_of(poll.ended_incarnations.begin(), poll.ended_incarnations.end(),
                       [this](const messages::ended_incarnation& ended) {
                           return !ended.ended_runs.empty() &&
                                  ended.ended_runs.back().number <=
                                      this->state.last_recorded_end(ended.worker);
                       });
}

std::vector<messages::issued_token> leader_model::issue_tokens(const waiting_poll& waiting)
{
    const messages::worker_poll& poll = waiting.poll;
    std::vector<worker_incarnation> needed = poll.unconfirmed;
    const worker_incarnation& worker = poll.worker.incarnation;
    if (!worker.id.empty() && !waiting.current &&
        std::find(needed.begin(), needed.end(), worker) == needed.end()) {
        needed.push_back(worker);
    }
    std::vector<messages::issued_token> issued;
    for (const worker_incarnation& each : needed) {
        issued.push_back({each, this->tokens.issue(poll.supervisor, poll.process, each)});
        spdlog::info("leader: token_issued supervisor={} process={} worker={} born={} token={}",
                     poll.supervisor, poll.process, each.id, each.started_unix_ms,
                     issued.back().token);
    }
    return issued;
}

void leader_model::answer_polls()
{
    const steady_time now = this->clock();
    for (auto each = this->polls.begin(); each != this->polls.end();) {
        const waiting_poll& waiting = each->second;
        const worker_incarnation& worker = waiting.poll.worker.incarnation;
        if (waiting.current) {
            log_evictions(this->job_scheduler.withdraw_excess_starts(worker));
        }
        messages::worker_poll_answer made = waiting.current ? this->build_poll_answer(waiting.poll)
                                                            : messages::worker_poll_answer();
        made.term = this->term;
        const bool needs_token =
            !waiting.poll.unconfirmed.empty() || (!worker.id.empty() && !waiting.current);
        const bool has_news = waiting.current ? made.orders_digest != waiting.poll.orders_digest
                                              : this->has_recorded_ends(waiting.poll);
        if (!needs_token && !has_news && now < waiting.answer_deadline) {
            ++each;
            continue;
        }
        if (made.permit_ms > 0) {
            this->job_scheduler.record_permit(worker);
        }
        made.tokens = this->issue_tokens(waiting);
        made.recorded_incarnations = this->recorded_incarnations(waiting.poll);
        waiting.done(made);
        each = this->polls.erase(each);
    }
}

void leader_model::tick()
{
    if (!this->hooks.leads()) {
        return;
    }
    const steady_time now = this->clock();
    if (this->uncommitted_decisions == 0 && (this->state_changed || now >= this->next_full_round)) {
        this->state_changed = false;
        this->next_full_round = now + full_round_period;
        this->decide();
    }
    this->answer_polls();
}

void leader_model::decide()
{
    const schedule made = this->job_scheduler.decide(this->hooks.unix_ms());
    log_evictions(made.evictions);
    const auto on_committed = [this](const absl::StatusOr<command_result>&) {
        if (this->uncommitted_decisions > 0) {
            --this->uncommitted_decisions;
        }
    };
    if (!made.releases.empty()) {
        for (const released_run& each : made.releases) {
            const worker_incarnation& worker = this->state.find(each.run.task)->worker;
            spdlog::info("leader: run_given_up {} worker={} born={} reason={} permit_expired_ms={}",
                         format_run(each.run), worker.id, worker.started_unix_ms,
                         this->job_scheduler.loss_reason(worker),
                         this->job_scheduler.time_since_permit(worker).count());
        }
        ++this->uncommitted_decisions;
        this->hooks.propose(release_runs{made.releases, this->hooks.unix_ms()}, on_committed);
    }
    for (const assign_runs& each : made.assignments) {
        ++this->uncommitted_decisions;
        for (const assignment& assigned : each.runs) {
            spdlog::info("leader: run_assigned {} worker={} born={} host={} term={}",
                         format_run(assigned.run), assigned.worker.id,
                         assigned.worker.started_unix_ms, assigned.worker.host, this->term);
        }
        this->hooks.propose(each, on_committed);
    }
}

} // namespace redwingwheel::jobs::testing
