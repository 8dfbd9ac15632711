#include "redwingwheel/permit.h"

#include <utility>

namespace redwingwheel::membership {

permit_granter::permit_granter(clock_function clock_source, permit_options chosen_options)
    : clock(std::move(clock_source)), options(chosen_options)
{
}

void permit_granter::begin_leadership()
{
    this->leading = true;
    if (this->options.faults.no_wait_after_leader_change) {
        return;
    }
    const steady_time in_force_at = this->clock() + this->options.lifetime_with_margin();
    for (auto& [name, state] : this->data_centres) {
        state.in_force_at = in_force_at;
    }
}

void permit_granter::apply_change(std::string_view data_centre, bool in_service,
                                  std::uint64_t change_index)
{
    const auto [found, added] = this->data_centres.try_emplace(std::string(data_centre));
    data_centre_state& state = found->second;
    if (!added && change_index <= state.change_index) {
        return;
    }
    // When the data centre is withdrawn already, no start has been permitted since the withdrawal,
    // so its deadline stays.
    if (!in_service && (added || state.in_service)) {
        state.in_force_at = this->clock() + this->options.lifetime_with_margin();
    }
    state.in_service = in_service;
    state.change_index = change_index;
}

permit permit_granter::grant(std::string_view data_centre, std::uint64_t revision) const
{
    permit granted;
    granted.data_centre = data_centre;
    granted.revision = revision;
    const std::uint64_t lifetime_ms =
        this->leading ? static_cast<std::uint64_t>(this->options.lifetime.count()) : 0;
    granted.lease_remaining_ms = lifetime_ms;
    const auto found = this->data_centres.find(data_centre);
    if (found != this->data_centres.end()) {
        granted.may_start = found->second.in_service;
        granted.change_index = found->second.change_index;
        granted.start_remaining_ms = granted.may_start ? lifetime_ms : 0;
    }
    return granted;
}

withdrawal_state permit_granter::withdrawal(std::string_view data_centre) const
{
    const auto found = this->data_centres.find(data_centre);
    if (found == this->data_centres.end() || found->second.in_service) {
        return {};
    }
    const data_centre_state& state = found->second;
    const bool in_force = this->leading && this->clock() >= state.in_force_at;
    return {true, in_force, state.in_force_at, state.change_index};
}

} // namespace redwingwheel::membership
