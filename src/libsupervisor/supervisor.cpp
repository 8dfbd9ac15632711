#include "redwingwheel/supervisor.h"

#include <algorithm>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "worker_clock.h"

namespace redwingwheel::jobs {

namespace {

/// Consecutive refused connections after which a worker that has deregistered, or that is draining
/// and has worked for the time that it announced, is taken for ended.
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
    case worker_errc::fenced:
        return "fenced";
    case worker_errc::other_incarnation:
        return "other incarnation";
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
    case worker_errc::fenced:
    case worker_errc::other_incarnation:
        return absl::StatusCode::kFailedPrecondition;
    }
    return absl::StatusCode::kUnknown;
}

supervisor::supervisor(const supervisor_options& chosen, clock_function now,
                       awake_clock_function awake_now, worker_port& to_worker,
                       supervisor_hooks callbacks)
    : options(chosen), clock(std::move(now)), awake_clock(std::move(awake_now)), port(to_worker),
      hooks(std::move(callbacks)), unanswered_start_at(this->awake_clock())
{
}

bool supervisor::has_permit() const
{
    return this->clock() < this->permit_until;
}

// --- lease and listing --------------------------------------------------------------------------

/// Returns the latest time on the worker's clock up to which the permit is certain to be valid, or
/// nothing without a permit.
std::optional<worker_time_ms> supervisor::lease_limit() const
{
    if (!this->worker_clock.has_value() || !this->has_permit() || this->must_lapse()) {
        return std::nullopt;
    }
    const double covered_ms =
        std::chrono::duration<double, std::milli>(this->permit_until - this->worker_clock_read_at)
            .count();
    return *this->worker_clock + static_cast<worker_time_ms>(covered_ms * min_worker_clock_rate);
}

bool supervisor::must_lapse() const
{
    return this->first_listed_end != 0 && this->first_listed_end <= this->last_superseded_end &&
           this->last_superseded_end > this->last_lapsed_end;
}

/// Records that the lease has expired: the worker's clock is past every deadline that it received.
void supervisor::check_lapse(const worker_listing& listing)
{
    this->first_listed_end = listing.ended_runs.empty() ? 0 : listing.ended_runs.front().number;
    if (this->must_lapse() && listing.clock > this->granted_until) {
        this->last_lapsed_end = this->last_superseded_end;
        spdlog::info("event=lease_lapsed worker={} born={} last_superseded_end={}",
                     this->worker->incarnation.id, this->worker->incarnation.started_unix_ms,
                     this->last_superseded_end);
        this->schedule_poll();
    }
}

/// True when the worker may get new runs. When the permit has expired, the leader may have given
/// its runs away, and what it lists must be known first.
bool supervisor::is_available() const
{
    const bool listed = this->has_permit() || this->listing_requested_at >= this->permit_until;
    return this->worker->reachable && !this->deregistered && !this->must_lapse() && listed;
}

void supervisor::renew()
{
    if (!this->worker.has_value() || this->fencing_token == 0) {
        this->renewing = false;
        return;
    }
    const std::string& id = this->worker->incarnation.id;
    const bool may_be_replaced =
        std::any_of(this->unconfirmed.begin(), this->unconfirmed.end(),
                    [&id](const auto& each) { return each.first.id == id; });
    if (may_be_replaced) {
        // The renewal would reach the incarnation that is to be confirmed.
        this->renewing = false;
        return;
    }
    this->renewing = true;
    this->log_permit(this->has_permit());
    renew_request order;
    order.worker = this->worker->incarnation;
    order.fencing_token = this->fencing_token;
    // After a failed renewal the worker may have been restarted under the same id. The first
    // renewal then changes nothing and is answered at once.
    const bool confirmed = this->worker_clock.has_value() && this->worker->reachable &&
                           this->listed_token == this->fencing_token;
    const bool listing_outdated =
        !this->has_permit() && this->listing_requested_at < this->permit_until;
    order.wait = confirmed && !listing_outdated ? this->options.renewal_wait : milliseconds(0);
    order.last_recorded_end = confirmed && !this->must_lapse() ? this->last_recorded_end : 0;
    const std::optional<worker_time_ms> limit = this->lease_limit();
    if (confirmed && limit.has_value()) {
        order.lease_until = std::min(*limit, *this->worker_clock + this->options.max_lease.count());
        this->granted_until = std::max(this->granted_until, order.lease_until);
    }
    const std::uint64_t number = ++this->renewal_number;
    this->renewal_sent_at = this->clock();
    this->port.renew(order, [this, number, token = order.fencing_token](
                                const absl::StatusOr<worker_listing>& listing) {
        if (number == this->renewal_number) {
            this->on_renewal(token, listing);
        }
    });
}

void supervisor::on_renewal(std::uint64_t token, const absl::StatusOr<worker_listing>& listing)
{
    if (listing.ok() && listing->worker.id == this->worker->incarnation.id &&
        listing->worker.started_unix_ms == this->worker->incarnation.started_unix_ms) {
        this->refused_renewals = 0;
        this->set_reachable(true);
        if (this->listed_token != token) {
            this->listed_token = token;
            this->schedule_poll();
        }
        this->on_listing(*listing);
        if (this->must_lapse()) {
            // The worker does not hold a renewal while it lists an end that is not acknowledged.
            this->renew_after(this->options.pause_after_failure);
        }
        else {
            this->renew();
        }
        return;
    }
    spdlog::warn("event=worker_renewal_failed worker={} error=\"{}\"", this->worker->incarnation.id,
                 listing.ok() ? "the answer is from another incarnation of the worker"
                              : std::string(listing.status().message()));
    this->on_renewal_failed(listing.status());
    this->renew_after(this->pause_before_renewal());
}

void supervisor::renew_after(milliseconds pause)
{
    this->hooks.run_at(this->clock() + pause, [this, number = this->renewal_number] {
        if (number == this->renewal_number) {
            this->renew();
        }
    });
}

void supervisor::on_renewal_failed(const absl::Status& status)
{
    const std::optional<worker_errc> code = error_code<worker_errc>(status);
    if (code == worker_errc::fenced) {
        this->request_token();
        return;
    }
    this->set_reachable(false);
    this->check_lease_expired();
    const bool refused = code == worker_errc::not_listening;
    this->refused_renewals = refused ? this->refused_renewals + 1 : 0;
    // A draining worker listens for at least as long as it announced to work. Not every worker
    // gives notice when it ends.
    const bool may_end =
        this->deregistered || (this->worker->draining && this->clock() >= this->drain_deadline);
    if (may_end && this->refused_renewals >= refusals_until_ended) {
        this->end_incarnation(this->deregistered ? "deregistration" : "refused_connections", false);
    }
}

/// Stops the worker's runs when the permit has expired. The worker's lease ends by then as well,
/// but the worker may have been suspended in between, or have extended it late.
void supervisor::watch_permit()
{
    if (this->permit_watched) {
        return;
    }
    this->permit_watched = true;
    this->hooks.run_at(this->permit_until, [this] {
        this->permit_watched = false;
        if (this->has_permit()) {
            this->watch_permit();
            return;
        }
        this->log_permit(false);
        this->stop_unwanted();
        this->renew();
    });
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
        this->granted_until = listing.clock + this->options.max_lease.count();
    }
    this->worker_clock = listing.clock;
    this->worker_clock_read_at = this->clock();
    this->worker_clock_read_awake_at = this->awake_clock();
    this->listing_requested_at = this->renewal_sent_at;
    this->check_lapse(listing);
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
        const bool may_repeat = start.unanswered_attempts > 0 &&
                                this->clock() > start.sent_at + this->options.retry_interval;
        if (start.deadline == 0) {
            this->send_start(run);
        }
        else if (listing.clock > start.deadline &&
                 this->clock() > start.sent_at + milliseconds(50)) {
            this->mark_refused(run, start, "not_started_in_time");
        }
        else if (may_repeat && listing.clock < start.deadline) {
            this->send_start(run);
        }
    }
}

void supervisor::stop_unwanted()
{
    if (!this->has_orders || this->lease_expired) {
        return;
    }
    std::set<run_id> unwanted = this->withdrawn;
    if (!this->has_permit() || this->must_lapse()) {
        const std::vector<run_id> all = this->possibly_running();
        unwanted.insert(all.begin(), all.end());
    }
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
    spdlog::info("event=run_stopping task={} worker={} term={} permit={}", format_run(run),
                 this->worker->incarnation.id, this->term, this->has_permit());
    const worker_incarnation incarnation = this->worker->incarnation;
    this->port.stop_run({incarnation, run, this->fencing_token},
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
    if (!limit.has_value() || this->worker->draining || this->deregistered) {
        // An earlier attempt may still be carried out, until its deadline.
        if (start.unanswered_attempts == 0) {
            this->mark_refused(run, start,
                               limit.has_value()    ? "draining"
                               : this->must_lapse() ? "lease_lapses"
                                                    : "no_permit");
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
    this->granted_until = std::max(this->granted_until, start.deadline);
    start.in_flight = true;
    start.sent_at = this->clock();
    const worker_incarnation incarnation = start.worker;
    this->port.start_run(
        {start.worker, run, start.order.payload, start.order.checkpoint, start.deadline,
         this->fencing_token},
        [this, run, incarnation, sent_at = this->awake_clock()](start_result result) {
            if (result == start_result::no_answer) {
                this->unanswered_start_at = std::max(this->unanswered_start_at, sent_at);
            }
            if (this->worker.has_value() && this->worker->incarnation == incarnation) {
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
        // An earlier attempt may have started the run; the next list after the deadline shows it.
        if (start.unanswered_attempts == 0) {
            this->mark_refused(run, start, "too_late");
        }
        return;
    case start_result::fenced:
        this->request_token();
        if (start.unanswered_attempts == 0) {
            this->mark_refused(run, start, start_result_name(result));
        }
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

} // namespace redwingwheel::jobs
