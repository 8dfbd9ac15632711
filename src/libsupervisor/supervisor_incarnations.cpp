#include "redwingwheel/supervisor.h"

#include <algorithm>

#include <spdlog/spdlog.h>

/// How a supervisor learns which incarnation of its worker is running.
namespace redwingwheel::jobs {

namespace {

/// Number of ended incarnations that are listed in polls. The leader has seen older ones, or their
/// leases have expired.
constexpr std::size_t max_ended_incarnations = 8;
/// Number of announced incarnations that are kept until the worker confirms one of them.
constexpr std::size_t max_unconfirmed = 4;

} // namespace

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
    if (this->worker.has_value() && this->worker->incarnation == announced.incarnation) {
        this->update_worker(std::move(announced), sequence);
    }
    else {
        this->add_unconfirmed(announced, sequence);
    }
}

void supervisor::update_worker(worker_description announced, std::uint64_t sequence)
{
    if (sequence <= this->last_sequence) {
        spdlog::info("event=announcement_ignored worker={} born={} sequence={} last_sequence={}",
                     announced.incarnation.id, announced.incarnation.started_unix_ms, sequence,
                     this->last_sequence);
        return;
    }
    this->last_sequence = sequence;
    const bool is_back = this->deregistered && !announced.draining;
    this->deregistered = this->deregistered && !is_back;
    announced.reachable = this->worker->reachable;
    this->drain_deadline = this->clock() + milliseconds(announced.remaining_ms);
    if (is_back || *this->worker != announced) {
        this->worker = std::move(announced);
        spdlog::info("event=worker_announced worker={} born={} draining={} sequence={}",
                     this->worker->incarnation.id, this->worker->incarnation.started_unix_ms,
                     this->worker->draining, sequence);
        this->schedule_poll();
    }
    // A worker whose renewals are paced after the end of its lease may answer again.
    if (!this->renewing || this->lease_expired) {
        this->renew();
    }
}

void supervisor::add_unconfirmed(const worker_description& announced, std::uint64_t sequence)
{
    const auto found = this->unconfirmed.find(announced.incarnation);
    const bool is_new = found == this->unconfirmed.end();
    if (!is_new && sequence <= found->second.sequence) {
        return;
    }
    if (is_new && this->unconfirmed.size() >= max_unconfirmed) {
        this->unconfirmed.erase(std::min_element(this->unconfirmed.begin(), this->unconfirmed.end(),
                                                 [](const auto& left, const auto& right) {
                                                     return left.second.expires_at <
                                                            right.second.expires_at;
                                                 }));
    }
    unconfirmed_worker& added = this->unconfirmed[announced.incarnation];
    added.description = announced;
    added.sequence = sequence;
    added.drain_deadline = this->clock() + milliseconds(announced.remaining_ms);
    added.expires_at = this->clock() + this->options.unconfirmed_lifetime;
    if (is_new) {
        spdlog::info("event=incarnation_announced worker={} born={} present={} present_born={}",
                     announced.incarnation.id, announced.incarnation.started_unix_ms,
                     this->worker.has_value() ? this->worker->incarnation.id : "",
                     this->worker.has_value() ? this->worker->incarnation.started_unix_ms : 0);
        this->schedule_poll();
    }
}

void supervisor::accept_token(const messages::issued_token& issued)
{
    if (this->worker.has_value() && this->worker->incarnation == issued.worker) {
        if (issued.token > this->fencing_token) {
            this->fencing_token = issued.token;
            this->renew();
        }
        return;
    }
    const auto found = this->unconfirmed.find(issued.worker);
    if (found != this->unconfirmed.end() && issued.token > found->second.token) {
        found->second.token = issued.token;
        this->confirm(issued.worker);
    }
}

/// Asks the leader for a new token after the worker has seen a higher one.
void supervisor::request_token()
{
    this->fencing_token = 0;
    this->hooks.run_at(this->clock() + this->options.pause_after_failure,
                       [this] { this->schedule_poll(); });
}

/// Asks the worker for its runs as the announced incarnation.
void supervisor::confirm(const worker_incarnation& incarnation)
{
    const auto found = this->unconfirmed.find(incarnation);
    if (found == this->unconfirmed.end() || found->second.listing) {
        return;
    }
    found->second.listing = true;
    renew_request order;
    order.worker = incarnation;
    order.fencing_token = found->second.token;
    this->port.renew(order, [this, incarnation, token = order.fencing_token](
                                const absl::StatusOr<worker_listing>& listing) {
        this->on_confirmation(incarnation, token, listing);
    });
}

void supervisor::on_confirmation(const worker_incarnation& incarnation, std::uint64_t token,
                                 const absl::StatusOr<worker_listing>& listing)
{
    const auto found = this->unconfirmed.find(incarnation);
    if (found == this->unconfirmed.end()) {
        return;
    }
    found->second.listing = false;
    const std::optional<worker_errc> error = error_code<worker_errc>(listing.status());
    const bool is_other = listing.ok()
                              ? listing->worker.id != incarnation.id ||
                                    listing->worker.started_unix_ms != incarnation.started_unix_ms
                              : error == worker_errc::other_incarnation;
    if (is_other && this->worker.has_value() && this->worker->incarnation.id == incarnation.id) {
        // The present incarnation has seen the token.
        this->request_token();
    }
    if (is_other || this->clock() >= found->second.expires_at) {
        spdlog::warn("event=incarnation_not_confirmed worker={} born={} reason={}", incarnation.id,
                     incarnation.started_unix_ms, is_other ? "other_incarnation" : "no_answer");
        this->unconfirmed.erase(found);
        if (!this->renewing) {
            this->renew();
        }
        return;
    }
    if (listing.ok()) {
        const unconfirmed_worker confirmed = found->second;
        this->unconfirmed.erase(found);
        this->replace_worker(confirmed, token, *listing);
        return;
    }
    const bool fenced = error == worker_errc::fenced;
    if (fenced) {
        found->second.token = 0;
    }
    this->hooks.run_at(this->clock() + this->options.pause_after_failure,
                       [this, incarnation, fenced] {
                           if (fenced) {
                               this->schedule_poll();
                           }
                           else {
                               this->confirm(incarnation);
                           }
                       });
}

void supervisor::replace_worker(const unconfirmed_worker& confirmed, std::uint64_t token,
                                const worker_listing& listing)
{
    if (this->worker.has_value()) {
        const bool crashed = !this->worker->draining && !this->deregistered;
        this->end_incarnation("replaced", crashed);
    }
    this->worker = confirmed.description;
    this->last_sequence = confirmed.sequence;
    this->drain_deadline = confirmed.drain_deadline;
    this->fencing_token = token;
    this->listed_token = token;
    spdlog::info("event=worker_confirmed worker={} born={} draining={} token={} running={}",
                 this->worker->incarnation.id, this->worker->incarnation.started_unix_ms,
                 this->worker->draining, token, listing.running.size());
    this->on_listing(listing);
    this->renew();
    this->schedule_poll();
}

/// Returns the runs that were listed last, and those that were ordered and not refused.
std::vector<run_id> supervisor::possibly_running() const
{
    std::set<run_id> found;
    for (const run_progress& each : this->running) {
        found.insert(each.run);
    }
    for (const auto& [run, start] : this->starts) {
        const bool has_ended =
            std::any_of(this->ended_runs.begin(), this->ended_runs.end(),
                        [&ended = run](const auto& each) { return each.second.run == ended; });
        if (start.deadline != 0 && !start.refused && !has_ended) {
            found.insert(run);
        }
    }
    return {found.begin(), found.end()};
}

/// Records the end of the current incarnation and resets what is known of it.
void supervisor::end_incarnation(std::string_view evidence, bool crashed)
{
    spdlog::info("event=worker_ended worker={} born={} evidence={} crashed={} running={} permit={}",
                 this->worker->incarnation.id, this->worker->incarnation.started_unix_ms, evidence,
                 crashed, this->running.size(), this->has_permit());
    messages::ended_incarnation ended{
        this->worker->incarnation, {}, std::string(evidence), crashed, this->possibly_running()};
    if (crashed) {
        for (const run_id& run : ended.runs_at_end) {
            spdlog::info("event=run_crashed task={}.{}.{}.{} run={} worker={} born={}",
                         run.task.job, run.task.occurrence, run.task.step, run.task.index,
                         run.number, ended.worker.id, ended.worker.started_unix_ms);
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
    this->worker.reset();
    this->worker_clock.reset();
    this->running.clear();
    this->ended_runs.clear();
    this->last_recorded_end = 0;
    this->granted_until = 0;
    this->lease_expired = false;
    this->first_listed_end = 0;
    this->last_superseded_end = 0;
    this->last_lapsed_end = 0;
    this->has_orders = false;
    this->desired_runs.clear();
    this->starts.clear();
    this->withdrawn.clear();
    this->stops.clear();
    this->orders_digest = 0;
    this->last_sequence = 0;
    this->deregistered = false;
    this->fencing_token = 0;
    this->listed_token = 0;
    this->renewing = false;
    this->refused_renewals = 0;
    ++this->renewal_number;
    this->schedule_poll();
}

void supervisor::worker_deregistered(std::string_view id)
{
    if (!this->worker.has_value() || this->worker->incarnation.id != id || this->deregistered) {
        return;
    }
    spdlog::info("event=worker_deregistered worker={} born={} running={}", id,
                 this->worker->incarnation.started_unix_ms, this->running.size());
    this->deregistered = true;
    this->schedule_poll();
    this->renew();
}

} // namespace redwingwheel::jobs
