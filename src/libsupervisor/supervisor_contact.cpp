#include "redwingwheel/supervisor.h"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "worker_clock.h"

/// Whether the worker answers its supervisor, and what follows when it does not.
namespace redwingwheel::jobs {

void supervisor::set_reachable(bool reachable)
{
    this->lease_expired = this->lease_expired && !reachable;
    if (this->worker->reachable != reachable) {
        this->worker->reachable = reachable;
        spdlog::info("event={} worker={} born={}",
                     reachable ? "worker_regained" : "worker_unreachable",
                     this->worker->incarnation.id, this->worker->incarnation.started_unix_ms);
        this->schedule_poll();
    }
}

worker_contact supervisor::contact() const
{
    if (this->worker->reachable) {
        return worker_contact::answers;
    }
    return this->lease_expired ? worker_contact::lease_expired : worker_contact::lost;
}

/// Gives the permit back once no lease of a worker that does not answer can be valid any more.
void supervisor::check_lease_expired()
{
    if (!this->worker.has_value() || this->worker->reachable || this->lease_expired) {
        return;
    }
    const awake_time now = this->awake_clock();
    const bool start_in_flight =
        std::any_of(this->starts.begin(), this->starts.end(),
                    [](const auto& each) { return each.second.in_flight; });
    if (start_in_flight || now < this->unanswered_start_at + this->options.max_order_delay) {
        return;
    }
    const double passed_ms =
        std::chrono::duration<double, std::milli>(now - this->worker_clock_read_awake_at).count();
    const worker_time_ms earliest =
        *this->worker_clock + static_cast<worker_time_ms>(passed_ms * min_worker_clock_rate);
    if (earliest <= this->granted_until + this->options.lease_margin.count()) {
        return;
    }
    this->lease_expired = true;
    this->permit_given_back_at = this->clock();
    this->permit_until = std::min(this->permit_until, this->permit_given_back_at);
    spdlog::info(
        "event=lease_expired worker={} born={} granted_until={} worker_clock={} running={}",
        this->worker->incarnation.id, this->worker->incarnation.started_unix_ms,
        this->granted_until, earliest, this->running.size());
    this->log_permit(false);
    this->schedule_poll();
}

milliseconds supervisor::pause_before_renewal() const
{
    if (this->lease_expired) {
        return this->options.pause_after_lease_expiry;
    }
    return this->deregistered ? this->options.pause_after_deregistration
                              : this->options.pause_after_failure;
}

} // namespace redwingwheel::jobs
