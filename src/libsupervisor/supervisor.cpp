#include "redwingwheel/supervisor.h"

#include <algorithm>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace redwingwheel::jobs {

namespace {

/// Lowest rate of the worker's clock relative to the local one. A lease of L on the worker's clock
/// lasts up to L / 0.98 here.
constexpr double min_worker_clock_rate = 0.98;
constexpr std::size_t max_polls_in_flight = 2;
/// Number of ended incarnations that are listed in polls. The leader has seen older ones, or their
/// leases have expired.
constexpr std::size_t max_ended_incarnations = 8;
/// Consecutive refused connections after which a draining worker is taken for ended when the time
/// for which it announced to work is ended.
constexpr std::size_t refusals_until_ended = 2;

bool is_listed(const worker_listing& listing, const run_id& run)
{
    return std::any_of(listing.running.begin(), listing.running.end(),
                       [&run](const run_progress& each) { return each.run == run; }) ||
           std::any_of(listing.ended_runs.begin(), listing.ended_runs.end(),
                       [&run](const ended_run& each) { return each.run == run; });
}

std::string format_run(const run_id& run)
{
    return fmt::format("{}.{}.{}.{} run={}", run.task.job, run.task.occurrence, run.task.step,
                       run.task.index, run.number);
}

} // namespace

std::string_view start_result_name(start_result result)
{
    switch (result) {
    case start_result::started:
        return "started";
    case start_result::no_room:
        return "no_room";
    case start_result::too_late:
        return "too_late";
    case start_result::outdated:
        return "outdated";
    case start_result::fenced:
        return "fenced";
    case start_result::not_healthy:
        return "not_healthy";
    case start_result::not_sent:
        return "not_sent";
    case start_result::other_incarnation:
        return "other_incarnation";
    case start_result::invalid:
        return "invalid";
    case start_result::no_answer:
        return "no_answer";
    }
    return "unknown";
}

std::string_view error_name(worker_errc code)
{
    switch (code) {
    case worker_errc::not_listening:
        return "not listening";
    case worker_errc::no_answer:
        return "no answer";
    case worker_errc::refused:
        return "refused";
    }
    return "unknown";
}

absl::StatusCode error_category(worker_errc code)
{
    switch (code) {
    case worker_errc::not_listening:
        return absl::StatusCode::kUnavailable;
    case worker_errc::no_answer:
        return absl::StatusCode::kUnknown;
    case worker_errc::refused:
        return absl::StatusCode::kFailedPrecondition;
    }
    return absl::StatusCode::kUnknown;
}

supervisor::supervisor(const supervisor_options& chosen, clock_function now, worker_port& to_worker,
                       supervisor_hooks callbacks)
    : options(chosen), clock(std::move(now)), port(to_worker), hooks(std::move(callbacks))
{
}

bool supervisor::has_permit() const
{
    return this->clock() < this->permit_until;
}

void supervisor::announce(worker_description announced, std::uint64_t sequence)
{
    announced.incarnation.host = this->options.name;
    const bool has_ended =
        std::any_of(this->ended_incarnations.begin(), this->ended_incarnations.end(),
                    [&announced](const messages::ended_incarnation& each) {
                        return each.worker == announced.incarnation;
                    });
    if (has_ended) {
        return;
    }
    if (this->worker.has_value()) {
        const worker_incarnation& current_incarnation = this->worker->incarnation;
        if (announced.incarnation.started_unix_ms < current_incarnation.started_unix_ms ||
            (announced.incarnation == current_incarnation && sequence <= this->last_sequence)) {
            spdlog::info("event=announcement_ignored worker={} born={} sequence={} present={} "
                         "present_born={}",
                         announced.incarnation.id, announced.incarnation.started_unix_ms, sequence,
                         current_incarnation.id, current_incarnation.started_unix_ms);
            return;
        }
    }
    const bool is_new =
        !this->worker.has_value() || this->worker->incarnation != announced.incarnation;
    if (is_new) {
        this->begin_incarnation(announced.incarnation, "announcement");
    }
    announced.reachable = is_new || this->worker->reachable;
    this->drain_deadline = this->clock() + milliseconds(announced.remaining_ms);
    const bool changed = is_new || *this->worker != announced;
    this->worker = announced;
    this->last_sequence = sequence;
    if (changed) {
        spdlog::info("event=worker_announced worker={} born={} draining={} sequence={}",
                     announced.incarnation.id, announced.incarnation.started_unix_ms,
                     announced.draining, sequence);
        this->schedule_poll();
    }
    if (!this->renewing) {
        this->renew();
    }
}

void supervisor::begin_incarnation(const worker_incarnation& incarnation, std::string_view evidence)
{
    if (this->worker.has_value()) {
        messages::ended_incarnation ended;
        ended.worker = this->worker->incarnation;
        ended.evidence = evidence;
        ended.crashed = !incarnation.id.empty() && !this->worker->draining;
        ended.runs_at_end = this->runs_on_worker();
        spdlog::info("event=worker_replaced worker={} born={} new={} new_born={} evidence={} "
                     "crashed={} running={} runs_at_end={} permit={}",
                     this->worker->incarnation.id, this->worker->incarnation.started_unix_ms,
                     incarnation.id, incarnation.started_unix_ms, evidence, ended.crashed,
                     this->running.size(), ended.runs_at_end.size(), this->has_permit());
        if (ended.crashed) {
            for (const run_id& run : ended.runs_at_end) {
                spdlog::info("event=run_crashed task={} worker={} born={}", format_run(run),
                             ended.worker.id, ended.worker.started_unix_ms);
            }
        }
        for (const auto& [number, end] : this->ended_runs) {
            if (number > this->last_recorded_end) {
                ended.ended_runs.push_back(end);
            }
        }
        this->ended_incarnations.push_back(std::move(ended));
        if (this->ended_incarnations.size() > max_ended_incarnations) {
            this->ended_incarnations.erase(this->ended_incarnations.begin());
        }
    }
    this->worker_clock.reset();
    this->running.clear();
    this->ended_runs.clear();
    this->last_recorded_end = 0;
    this->has_orders = false;
    this->desired_runs.clear();
    this->starts.clear();
    this->withdrawn.clear();
    this->stops.clear();
    this->orders_digest = 0;
    this->last_sequence = 0;
    this->renewing = false;
    this->refused_renewals = 0;
    ++this->renewal_number;
}

/// Returns the runs that the worker listed last, and those that it may have started since.
std::vector<run_id> supervisor::runs_on_worker() const
{
    std::set<run_id> found;
    for (const run_progress& each : this->running) {
        found.insert(each.run);
    }
    for (const auto& [run, start] : this->starts) {
        const bool was_sent = start.deadline != 0;
        if (was_sent && !start.refused) {
            found.insert(run);
        }
    }
    for (const auto& [number, end] : this->ended_runs) {
        found.erase(end.run);
    }
    return {found.begin(), found.end()};
}

void supervisor::worker_left(const std::string& id)
{
    if (!this->worker.has_value() || this->worker->incarnation.id != id) {
        return;
    }
    this->end_worker("deregistration");
}

void supervisor::end_worker(std::string_view evidence)
{
    spdlog::info("event=worker_left worker={} born={} evidence={}", this->worker->incarnation.id,
                 this->worker->incarnation.started_unix_ms, evidence);
    this->begin_incarnation({}, evidence);
    this->worker.reset();
    this->schedule_poll();
}

// --- lease and listing --------------------------------------------------------------------------

/// Returns the latest time on the worker's clock up to which the permit is certain to be valid, or
/// nothing without a permit.
std::optional<worker_time_ms> supervisor::lease_limit() const
{
    if (!this->worker_clock.has_value() || !this->has_permit()) {
        return std::nullopt;
    }
    const double covered_ms =
        std::chrono::duration<double, std::milli>(this->permit_until - this->worker_clock_read_at)
            .count();
    return *this->worker_clock + static_cast<worker_time_ms>(covered_ms * min_worker_clock_rate);
}

void supervisor::renew()
{
    if (!this->worker.has_value()) {
        this->renewing = false;
        return;
    }
    this->renewing = true;
    this->log_permit(this->has_permit());
    renew_request order;
    order.worker = this->worker->incarnation;
    order.fencing_token = this->term;
    order.last_recorded_end = this->last_recorded_end;
    // An immediate answer shows as early as possible that the worker can be reached again.
    const bool may_wait = this->worker_clock.has_value() && this->worker->reachable;
    order.wait = may_wait ? this->options.renewal_wait : milliseconds(0);
    const std::optional<worker_time_ms> limit = this->lease_limit();
    if (limit.has_value()) {
        order.lease_until = std::min(*limit, *this->worker_clock + this->options.max_lease.count());
    }
    const std::uint64_t number = ++this->renewal_number;
    this->renewal_sent_at = this->clock();
    this->port.renew(order, [this, number](const absl::StatusOr<worker_listing>& listing) {
        if (number != this->renewal_number) {
            return;
        }
        if (listing.ok() && this->worker.has_value() &&
            listing->worker.id == this->worker->incarnation.id &&
            listing->worker.started_unix_ms == this->worker->incarnation.started_unix_ms) {
            this->refused_renewals = 0;
            this->set_reachable(true);
            this->on_listing(*listing);
            this->renew();
            return;
        }
        spdlog::warn("event=worker_renewal_failed worker={} error=\"{}\"",
                     this->worker.has_value() ? this->worker->incarnation.id : "",
                     listing.ok() ? "the answer is from another incarnation of the worker"
                                  : std::string(listing.status().message()));
        this->on_renewal_failed(listing.status());
        this->hooks.run_at(this->clock() + this->options.pause_after_failure, [this, number] {
            if (number == this->renewal_number) {
                this->renew();
            }
        });
    });
}

void supervisor::set_reachable(bool reachable)
{
    if (this->worker->reachable != reachable) {
        this->worker->reachable = reachable;
        spdlog::info("event={} worker={} born={}",
                     reachable ? "worker_regained" : "worker_unreachable",
                     this->worker->incarnation.id, this->worker->incarnation.started_unix_ms);
        this->schedule_poll();
    }
}

void supervisor::on_renewal_failed(const absl::Status& status)
{
    if (!this->worker.has_value()) {
        return;
    }
    this->set_reachable(false);
    const bool refused = error_code<worker_errc>(status) == worker_errc::not_listening;
    this->refused_renewals = refused ? this->refused_renewals + 1 : 0;
    // A draining worker listens for at least as long as it announced to work. Not every worker
    // gives notice when it ends.
    if (this->worker->draining && this->clock() >= this->drain_deadline &&
        this->refused_renewals >= refusals_until_ended) {
        this->end_worker("refused_connections");
    }
}

/// Logs the runs that the worker lists although this process has not ordered them from this
/// incarnation: runs of an earlier process of the supervisor, and orders for an earlier incarnation
/// that were carried out late.
void supervisor::log_unordered_runs(const worker_listing& listing)
{
    const bool first = !this->worker_clock.has_value();
    for (const run_progress& each : listing.running) {
        const bool known =
            std::any_of(this->running.begin(), this->running.end(),
                        [&each](const run_progress& earlier) { return earlier.run == each.run; });
        if (!known && !this->starts.contains(each.run)) {
            spdlog::info("event={} task={} worker={} born={} percent={}",
                         first ? "run_found" : "run_not_ordered", format_run(each.run),
                         this->worker->incarnation.id, this->worker->incarnation.started_unix_ms,
                         each.percent);
        }
    }
}

/// Logs each change between a valid and an expired permit.
void supervisor::log_permit(bool valid)
{
    if (this->permit_logged == valid || !this->worker.has_value()) {
        return;
    }
    this->permit_logged = valid;
    spdlog::info("event={} worker={} born={} term={} running={}",
                 valid ? "permit_obtained" : "permit_expired", this->worker->incarnation.id,
                 this->worker->incarnation.started_unix_ms, this->term, this->running.size());
}

void supervisor::on_listing(const worker_listing& listing)
{
    this->log_unordered_runs(listing);
    if (!this->worker_clock.has_value()) {
        this->predecessor_deadline = listing.clock + this->options.start_window.count();
    }
    this->worker_clock = listing.clock;
    this->worker_clock_read_at = this->clock();
    this->running = listing.running;
    std::erase_if(this->ended_runs,
                  [this](const auto& each) { return each.first <= this->last_recorded_end; });
    bool has_new_ends = false;
    for (const ended_run& end : listing.ended_runs) {
        if (end.number <= this->last_recorded_end) {
            continue;
        }
        has_new_ends |= this->ended_runs.emplace(end.number, end).second;
    }
    this->check_starts(listing);
    this->check_stops(listing);
    this->stop_unwanted();
    if (has_new_ends) {
        this->schedule_poll();
    }
}

void supervisor::check_starts(const worker_listing& listing)
{
    for (auto& [run, start] : this->starts) {
        if (start.refused || start.in_flight || is_listed(listing, run)) {
            continue;
        }
        if (start.deadline == 0) {
            this->send_start(run);
        }
        else if (listing.clock > start.deadline &&
                 this->clock() > start.sent_at + milliseconds(50)) {
            this->mark_refused(run, start, "not_started_in_time");
        }
        else if (start.unanswered_attempts > 0 &&
                 listing.clock<start.deadline&& this->clock()> start.sent_at +
                     this->options.retry_interval) {
            this->send_start(run);
        }
    }
}

void supervisor::stop_unwanted()
{
    if (!this->has_orders) {
        return;
    }
    std::set<run_id> unwanted = this->withdrawn;
    for (const run_progress& each : this->running) {
        if (!this->desired_runs.contains(each.run)) {
            unwanted.insert(each.run);
        }
    }
    std::erase_if(this->stops,
                  [&unwanted](const auto& each) { return !unwanted.contains(each.first); });
    const steady_time now = this->clock();
    for (const run_id& run : unwanted) {
        tracked_stop& stop = this->stops[run];
        if (!stop.acknowledged_at.has_value() &&
            now > stop.sent_at + this->options.retry_interval) {
            stop.sent_at = now;
            this->send_stop(run);
        }
    }
}

/// Marks withdrawn runs as refused that the worker does not list after it has acknowledged their
/// stop: they can no longer start.
void supervisor::check_stops(const worker_listing& listing)
{
    for (auto& [run, stop] : this->stops) {
        if (stop.refused || !stop.acknowledged_at.has_value() ||
            this->renewal_sent_at < *stop.acknowledged_at || is_listed(listing, run) ||
            !this->withdrawn.contains(run)) {
            continue;
        }
        stop.refused = true;
        spdlog::info("event=start_refused task={} worker={} reason=withdrawn", format_run(run),
                     this->worker->incarnation.id);
        this->schedule_poll();
    }
}

void supervisor::send_stop(const run_id& run)
{
    spdlog::info("event=run_stopping task={} worker={} term={}", format_run(run),
                 this->worker->incarnation.id, this->term);
    const worker_incarnation incarnation = this->worker->incarnation;
    this->port.stop_run({incarnation, run, this->term},
                        [this, run, incarnation](bool acknowledged) {
                            if (!acknowledged) {
                                spdlog::warn("event=stop_unanswered task={} worker={}",
                                             format_run(run), incarnation.id);
                                return;
                            }
                            const auto found = this->stops.find(run);
                            if (found != this->stops.end() && this->worker.has_value() &&
                                this->worker->incarnation == incarnation) {
                                found->second.acknowledged_at = this->clock();
                            }
                        });
}

// --- starts -------------------------------------------------------------------------------------

void supervisor::send_start(const run_id& run)
{
    tracked_start& start = this->starts.at(run);
    const bool listed = std::any_of(this->running.begin(), this->running.end(),
                                    [&run](const run_progress& each) { return each.run == run; });
    if (listed) {
        return;
    }
    const std::optional<worker_time_ms> limit = this->lease_limit();
    const worker_time_ms now = *this->worker_clock + std::chrono::duration_cast<milliseconds>(
                                                         this->clock() - this->worker_clock_read_at)
                                                         .count();
    if (!limit.has_value() || this->worker->draining) {
        // An earlier attempt may still be carried out, until its deadline.
        if (start.unanswered_attempts == 0) {
            this->mark_refused(run, start, this->worker->draining ? "draining" : "no_permit");
        }
        else if (start.deadline == 0) {
            start.deadline = std::max(now, this->predecessor_deadline);
            start.sent_at = this->clock();
        }
        return;
    }
    if (start.deadline == 0) {
        start.deadline = std::min(*limit, now + this->options.start_window.count());
    }
    start.in_flight = true;
    start.sent_at = this->clock();
    const worker_incarnation incarnation = start.worker;
    this->port.start_run({start.worker, run, start.order.payload, start.order.checkpoint,
                          start.deadline, this->term},
                         [this, run, incarnation](start_result result) {
                             if (this->worker.has_value() &&
                                 this->worker->incarnation == incarnation) {
                                 this->on_start_result(run, result);
                             }
                         });
}

void supervisor::on_start_result(const run_id& run, start_result result)
{
    const auto found = this->starts.find(run);
    if (found == this->starts.end()) {
        return;
    }
    tracked_start& start = found->second;
    start.in_flight = false;
    spdlog::info("event=start_answered task={} worker={} result={} unanswered={} term={}",
                 format_run(run), start.worker.id, start_result_name(result),
                 start.unanswered_attempts, this->term);
    switch (result) {
    case start_result::started:
        if (!this->desired_runs.contains(run)) {
            this->send_stop(run);
        }
        return;
    case start_result::no_answer:
        ++start.unanswered_attempts;
        return;
    case start_result::too_late:
        this->mark_refused(run, start, "too_late");
        return;
    case start_result::outdated:
        // Either the run has ended and is listed, or it is refused after the deadline.
        return;
    default:
        if (start.unanswered_attempts == 0) {
            this->mark_refused(run, start, start_result_name(result));
        }
    }
}

void supervisor::mark_refused(const run_id& run, tracked_start& start, std::string_view reason)
{
    start.refused = true;
    start.reason = reason;
    spdlog::info("event=start_refused task={} worker={} reason={}", format_run(run),
                 start.worker.id, reason);
    this->schedule_poll();
}

// --- leader -------------------------------------------------------------------------------------

void supervisor::schedule_poll()
{
    if (this->poll_scheduled) {
        return;
    }
    this->poll_scheduled = true;
    this->hooks.run_at(this->clock(), [this] {
        this->poll_scheduled = false;
        this->send_poll();
    });
}

void supervisor::send_poll()
{
    if (!this->worker.has_value() && this->ended_incarnations.empty()) {
        return;
    }
    if (this->polls_in_flight >= max_polls_in_flight) {
        this->poll_requested = true;
        return;
    }
    this->poll_requested = false;
    messages::worker_poll poll;
    poll.supervisor = this->options.name;
    poll.sequence = ++this->poll_sequence;
    if (this->worker.has_value()) {
        poll.worker = *this->worker;
        poll.worker.remaining_ms = remaining_until(this->drain_deadline, this->clock()).count();
        poll.running = this->running;
    }
    for (const auto& [number, end] : this->ended_runs) {
        poll.ended_runs.push_back(end);
    }
    for (const auto& [run, start] : this->starts) {
        if (start.refused) {
            poll.refused_starts.push_back({run, start.reason});
        }
    }
    for (const auto& [run, stop] : this->stops) {
        if (stop.refused) {
            poll.refused_starts.push_back({run, "withdrawn"});
        }
    }
    poll.ended_incarnations = this->ended_incarnations;
    poll.orders_digest = this->orders_digest;
    ++this->polls_in_flight;
    const steady_time sent_at = this->clock();
    const std::uint64_t sequence = poll.sequence;
    const worker_incarnation incarnation = poll.worker.incarnation;
    this->hooks.poll(poll, sent_at + this->options.poll_timeout,
                     [this, sent_at, sequence,
                      incarnation](const absl::StatusOr<messages::worker_poll_answer>& answer) {
                         --this->polls_in_flight;
                         const bool current =
                             this->worker.has_value() && this->worker->incarnation == incarnation;
                         if (answer.ok()) {
                             this->clear_recorded_ends(answer->recorded_incarnations);
                         }
                         if (answer.ok() && current && sequence > this->last_answered_poll) {
                             this->last_answered_poll = sequence;
                             this->on_poll_answer(*answer, sent_at);
                         }
                         if (this->polls_in_flight > 0 && !this->poll_requested) {
                             return;
                         }
                         if (answer.ok() || this->polls_in_flight > 0) {
                             this->schedule_poll();
                             return;
                         }
                         this->hooks.run_at(this->clock() + this->options.pause_after_failure,
                                            [this] {
                                                if (this->polls_in_flight == 0) {
                                                    this->schedule_poll();
                                                }
                                            });
                     });
}

void supervisor::clear_recorded_ends(const std::vector<worker_incarnation>& recorded_incarnations)
{
    for (messages::ended_incarnation& each : this->ended_incarnations) {
        if (std::find(recorded_incarnations.begin(), recorded_incarnations.end(), each.worker) !=
            recorded_incarnations.end()) {
            each.ended_runs.clear();
        }
    }
}

void supervisor::on_poll_answer(const messages::worker_poll_answer& answer, steady_time sent_at)
{
    if (answer.term < this->term) {
        return;
    }
    if (answer.term > this->term) {
        spdlog::info("event=leader_followed term={} previous={}", answer.term, this->term);
    }
    const bool first = !this->has_orders;
    this->term = answer.term;
    this->permit_until = std::max(this->permit_until, sent_at + milliseconds(answer.permit_ms));
    this->has_orders = true;
    this->orders_digest = answer.orders_digest;
    this->last_recorded_end = std::max(this->last_recorded_end, answer.last_recorded_end);
    this->desired_runs = std::set<run_id>(answer.desired_runs.begin(), answer.desired_runs.end());
    this->withdrawn = std::set<run_id>(answer.withdrawn.begin(), answer.withdrawn.end());
    std::erase_if(this->starts, [this](const auto& each) {
        return !this->desired_runs.contains(each.first) && !each.second.in_flight;
    });
    for (const messages::start_order& order : answer.starts) {
        if (this->starts.contains(order.run)) {
            continue;
        }
        tracked_start& added = this->starts[order.run];
        added.order = order;
        added.worker = this->worker->incarnation;
        // A start that an earlier process of this supervisor sent may still be carried out, so the
        // run is not refused before the deadline.
        if (!this->worker_clock.has_value() || *this->worker_clock < this->predecessor_deadline) {
            added.unanswered_attempts = 1;
        }
        if (this->worker_clock.has_value()) {
            this->send_start(order.run);
        }
    }
    this->stop_unwanted();
    if (first && !this->renewing) {
        this->renew();
    }
}

} // namespace redwingwheel::jobs
