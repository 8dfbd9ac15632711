#include "redwingwheel/permit.h"

#include <algorithm>
#include <utility>

namespace redwingwheel::membership {

namespace {

std::uint64_t ms_until(steady_time deadline, steady_time now)
{
    return static_cast<std::uint64_t>(remaining_until(deadline, now).count());
}

/// Limits a remaining time from a message to `lifetime`, so that a corrupt value cannot overflow
/// the clock.
milliseconds bounded_remaining(std::uint64_t remaining_ms, milliseconds lifetime)
{
    const std::uint64_t limit = static_cast<std::uint64_t>(lifetime.count());
    return milliseconds(static_cast<std::int64_t>(std::min(remaining_ms, limit)));
}

} // namespace

std::chrono::nanoseconds
permit_options::minus_drift_margin(std::chrono::nanoseconds remaining) const
{
    return this->faults.no_drift_margin ? remaining
                                        : remaining - remaining * this->drift_percent / 100;
}

std::chrono::nanoseconds permit_options::lifetime_with_margin() const
{
    const std::chrono::nanoseconds unadjusted = this->lifetime;
    return this->faults.no_drift_margin ? unadjusted
                                        : unadjusted + unadjusted * this->drift_percent / 100;
}

permit_holder::permit_holder(clock_function clock_source, permit_options chosen_options,
                             std::string own_data_centre)
    : clock(std::move(clock_source)), options(chosen_options),
      data_centre(std::move(own_data_centre))
{
}

permit_result permit_holder::accept(const permit& offered, steady_time sent_at,
                                    std::uint64_t own_revision)
{
    if (this->data_centre.empty()) {
        this->data_centre = offered.data_centre;
    }
    if (offered.data_centre != this->data_centre) {
        return {permit_result_kind::other_data_centre, 0};
    }
    if (this->change_known && offered.change_index < this->last_change_index) {
        return {permit_result_kind::older_change, 0};
    }
    if (offered.revision < std::max(this->revision, own_revision)) {
        return {permit_result_kind::lower_revision, 0};
    }
    const steady_time counted_from =
        this->options.faults.count_from_arrival ? this->clock() : sent_at;
    this->apply_change(offered);
    const milliseconds lease =
        bounded_remaining(offered.lease_remaining_ms, this->options.lifetime);
    this->lease_until =
        std::max(this->lease_until, counted_from + this->options.minus_drift_margin(lease));
    if (offered.revision > own_revision) {
        return {permit_result_kind::fetch_revision, offered.revision};
    }
    this->revision = offered.revision;
    if (offered.may_start) {
        const milliseconds start =
            bounded_remaining(offered.start_remaining_ms, this->options.lifetime);
        this->start_until =
            std::max(this->start_until, counted_from + this->options.minus_drift_margin(start));
    }
    return {permit_result_kind::accepted, 0};
}

/// A newer change takes effect at once, even when its revision is still to be fetched: refusing
/// starts is always safe.
void permit_holder::apply_change(const permit& offered)
{
    if (!this->change_known || offered.change_index > this->last_change_index) {
        this->change_known = true;
        this->last_change_index = offered.change_index;
        this->in_service = offered.may_start;
    }
    if (!this->in_service) {
        this->start_until = steady_time{};
    }
}

bool permit_holder::may_start() const
{
    return this->in_service && this->clock() < this->start_until;
}

bool permit_holder::lease_valid() const
{
    return this->clock() < this->lease_until;
}

std::optional<permit> permit_holder::relay(steady_time now) const
{
    const std::uint64_t lease = ms_until(this->lease_until, now);
    const std::uint64_t start = this->in_service ? ms_until(this->start_until, now) : 0;
    if (!this->change_known || (lease == 0 && start == 0)) {
        return std::nullopt;
    }
    return permit{
        this->data_centre, this->in_service, this->last_change_index, this->revision, start, lease};
}

} // namespace redwingwheel::membership
