#include "redwingwheel/supervisor.h"

#include <algorithm>

#include <spdlog/spdlog.h>

/// Polls of a supervisor to the leader.
namespace redwingwheel::jobs {

namespace {

constexpr std::size_t max_polls_in_flight = 2;

} // namespace

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
    const steady_time now = this->clock();
    std::erase_if(this->unconfirmed,
                  [now](const auto& each) { return now >= each.second.expires_at; });
    if (!this->renewing) {
        this->renew();
    }
    this->check_lease_expired();
    if (!this->worker.has_value() && this->ended_incarnations.empty() &&
        this->unconfirmed.empty()) {
        return;
    }
    if (this->polls_in_flight >= max_polls_in_flight) {
        this->poll_requested = true;
        return;
    }
    this->poll_requested = false;
    messages::worker_poll poll;
    poll.supervisor = this->options.name;
    poll.process = this->options.process;
    poll.sequence = ++this->poll_sequence;
    poll.fencing_token = this->listed_token;
    for (const auto& [incarnation, each] : this->unconfirmed) {
        if (each.token == 0) {
            poll.unconfirmed.push_back(incarnation);
        }
    }
    if (this->worker.has_value()) {
        if (this->fencing_token == 0) {
            poll.unconfirmed.push_back(this->worker->incarnation);
        }
        poll.worker = *this->worker;
        poll.worker.reachable = this->is_available();
        poll.contact = this->contact();
        poll.worker.remaining_ms = remaining_until(this->drain_deadline, now).count();
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
    const std::uint64_t sequence = poll.sequence;
    const worker_incarnation incarnation = poll.worker.incarnation;
    this->hooks.poll(poll, now + this->options.poll_timeout,
                     [this, sent_at = now, sequence,
                      incarnation](const absl::StatusOr<messages::worker_poll_answer>& answer) {
                         --this->polls_in_flight;
                         this->on_poll_result(answer, incarnation, sequence, sent_at);
                     });
}

void supervisor::on_poll_result(const absl::StatusOr<messages::worker_poll_answer>& answer,
                                const worker_incarnation& incarnation, std::uint64_t sequence,
                                steady_time sent_at)
{
    if (answer.ok()) {
        this->clear_recorded_ends(answer->recorded_incarnations);
        const bool current = this->worker.has_value() && this->worker->incarnation == incarnation;
        if (current && answer->has_orders && sequence > this->last_answered_poll) {
            this->last_answered_poll = sequence;
            this->on_poll_answer(*answer, sent_at);
        }
        for (const messages::issued_token& each : answer->tokens) {
            this->accept_token(each);
        }
    }
    if (this->polls_in_flight > 0 && !this->poll_requested) {
        return;
    }
    // Without orders the next poll waits until the worker has answered under its new token.
    const bool progress = answer.ok() && (answer->has_orders || this->poll_requested);
    if (progress || this->polls_in_flight > 0) {
        this->schedule_poll();
        return;
    }
    // A new leader can only repeat the token of a worker that does not answer under it.
    const milliseconds pause = this->lease_expired ? this->options.pause_after_lease_expiry
                                                   : this->options.pause_after_failure;
    this->hooks.run_at(this->clock() + pause, [this] {
        if (this->polls_in_flight == 0) {
            this->schedule_poll();
        }
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
    if (sent_at >= this->permit_given_back_at) {
        this->permit_until = std::max(this->permit_until, sent_at + milliseconds(answer.permit_ms));
    }
    if (this->has_permit()) {
        this->watch_permit();
    }
    this->has_orders = true;
    this->orders_digest = answer.orders_digest;
    this->last_recorded_end = std::max(this->last_recorded_end, answer.last_recorded_end);
    const bool had_to_lapse = this->must_lapse();
    this->last_superseded_end = std::max(this->last_superseded_end, answer.last_superseded_end);
    if (this->must_lapse() && !had_to_lapse) {
        spdlog::info("event=lease_must_lapse worker={} born={} first_listed_end={} "
                     "last_superseded_end={}",
                     this->worker->incarnation.id, this->worker->incarnation.started_unix_ms,
                     this->first_listed_end, this->last_superseded_end);
        this->schedule_poll();
    }
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
