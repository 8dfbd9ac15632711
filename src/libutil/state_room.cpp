#include "redwingwheel/state_room.h"

#include <algorithm>
#include <limits>

namespace redwingwheel {

namespace {

/// Part of the free room that one job may take, as a divisor. The largest body that the platform
/// allows takes a fifth of the default room.
constexpr std::uint64_t largest_part = 4;
/// Part of the free room that owners beyond their share may take at once after a pause.
constexpr double burst_part = 0.125;
constexpr milliseconds halving_period{1000};
/// A caller that tries again a few times in a second is not frequent.
constexpr std::uint8_t max_infrequent = 16;

} // namespace

room_options room_of_mb(std::uint32_t megabytes)
{
    room_options options;
    options.max_bytes = std::uint64_t{megabytes} * 1024 * 1024;
    return options;
}

std::uint64_t largest_accepted_bytes(const room_options& options)
{
    return options.max_bytes / largest_part;
}

std::string_view room_verdict_name(room_verdict verdict)
{
    switch (verdict) {
    case room_verdict::accepted:
        return "accepted";
    case room_verdict::too_large:
        return "too_large";
    case room_verdict::in_progress:
        return "in_progress";
    case room_verdict::over_share:
        return "over_share";
    }
    return "unknown";
}

state_room::state_room(const room_options& chosen, clock_function now, room_usage taken)
    : options(chosen), clock(std::move(now)), usage(std::move(taken)), allowances_at(this->clock())
{
}

std::uint64_t state_room::free_bytes() const
{
    const std::uint64_t taken = this->usage.total() + this->all_proposed;
    return this->options.max_bytes - std::min(taken, this->options.max_bytes);
}

std::uint64_t state_room::bytes_of(const std::string& owner) const
{
    const auto found = this->proposed.find(owner);
    return this->usage.of_owner(owner) + (found == this->proposed.end() ? 0 : found->second);
}

room_verdict state_room::admit(const std::string& owner, std::uint64_t content, std::uint64_t bytes)
{
    const std::uint64_t free = this->free_bytes();
    if (bytes > free / largest_part) {
        return room_verdict::too_large;
    }
    if (this->all_proposed > 0 && this->all_proposed + bytes > this->options.max_proposed_bytes) {
        return room_verdict::in_progress;
    }
    const std::uint64_t lower_half = this->options.max_bytes / 2;
    const bool in_lower_half = free - bytes >= lower_half;
    const std::uint64_t share = lower_half / (this->usage.owners() + 1);
    if (!in_lower_half && this->bytes_of(owner) + bytes > share &&
        !this->take_slowly(content, bytes)) {
        return room_verdict::over_share;
    }
    this->proposed[owner] += bytes;
    this->all_proposed += bytes;
    return room_verdict::accepted;
}

bool state_room::take_slowly(std::uint64_t content, std::uint64_t bytes)
{
    const steady_time now = this->clock();
    const double lane_bytes = static_cast<double>(this->free_bytes()) / this->allowances.size();
    const std::chrono::duration<double, std::milli> passed = now - this->allowances_at;
    const double refilled = passed.count() / static_cast<double>(this->options.refill_time.count());
    this->allowances_at = now;
    for (double& each : this->allowances) {
        each = std::min(each + lane_bytes * refilled, lane_bytes * burst_part);
    }
    double& allowance = this->allowances[this->is_frequent(content, now) ? 0 : 1];
    if (static_cast<double>(bytes) > allowance) {
        return false;
    }
    allowance -= static_cast<double>(bytes);
    return true;
}

bool state_room::is_frequent(std::uint64_t content, steady_time now)
{
    if (now >= this->next_halving) {
        for (std::uint8_t& each : this->recent) {
            each /= 2;
        }
        this->next_halving = now + halving_period;
    }
    std::uint8_t& count = this->recent[content % this->recent.size()];
    if (count < std::numeric_limits<std::uint8_t>::max()) {
        ++count;
    }
    return count > max_infrequent;
}

void state_room::settle(const std::string& owner, std::uint64_t bytes)
{
    const auto found = this->proposed.find(owner);
    if (found == this->proposed.end()) {
        return;
    }
    const std::uint64_t settled = std::min(bytes, found->second);
    found->second -= settled;
    this->all_proposed -= settled;
    if (found->second == 0) {
        this->proposed.erase(found);
    }
}

void state_room::begin_leadership()
{
    this->proposed.clear();
    this->all_proposed = 0;
    this->allowances = {};
    this->allowances_at = this->clock();
}

} // namespace redwingwheel
