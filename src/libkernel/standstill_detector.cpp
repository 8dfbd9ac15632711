#include "redwingwheel/standstill_detector.h"

#include <spdlog/spdlog.h>

namespace redwingwheel::kernel {

namespace {

constexpr milliseconds tick_period{100};
/// A busy process may delay a tick; longer gaps count as standstills.
constexpr milliseconds min_standstill{500};
/// Time within which a process has read what arrived during a standstill.
constexpr milliseconds backlog_time{1000};

} // namespace

standstill_detector::standstill_detector(clock_function now, const run_every_function& run_every)
    : clock(std::move(now)), last_tick(this->clock())
{
    run_every(tick_period, [this] { this->tick(); });
}

void standstill_detector::tick()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    const steady_time now = this->clock();
    if (now - this->last_tick >= min_standstill) {
        this->last_standstill = {this->last_tick, now};
        spdlog::warn("event=standstill duration_ms={}",
                     remaining_until(now, this->last_tick).count());
    }
    this->last_tick = now;
}

milliseconds standstill_detector::max_waiting_time() const
{
    const std::lock_guard<std::mutex> guard(this->lock);
    const steady_time now = this->clock();
    if (now - this->last_tick >= min_standstill) {
        return remaining_until(now, this->last_tick);
    }
    if (this->last_standstill.has_value() && now < this->last_standstill->end + backlog_time) {
        return remaining_until(now, this->last_standstill->begin);
    }
    return milliseconds(0);
}

} // namespace redwingwheel::kernel
