#include "redwingwheel/admission.h"

#include <algorithm>

/// Selection of the next request to start, and the estimated waiting time.
namespace redwingwheel::request {

namespace {

double in_ms(std::chrono::nanoseconds length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

std::uint32_t admission_queue::slots_open_to(request_class priority) const
{
    const std::uint32_t open = this->options.slots - this->held_slots;
    if (priority != request_class::batch) {
        return open;
    }
    return open - std::min({this->options.reserved_non_batch_slots, open, this->options.slots - 1});
}

bool admission_queue::fits(const request_info& candidate) const
{
    if (!this->rules.limit_slots) {
        return true;
    }
    if (this->running.size() + this->held_by_task.size() >= this->options.connections ||
        this->used_slots + this->held_slots + candidate.slots > this->options.slots) {
        return false;
    }
    return candidate.priority != request_class::batch ||
           this->state_of(request_class::batch).slots_used + candidate.slots <=
               this->slots_open_to(request_class::batch);
}

double admission_queue::expected_ms(const request_info& candidate) const
{
    const auto history = this->service_duration_ms.find(candidate.service);
    return history == this->service_duration_ms.end() ? in_ms(candidate.expected_duration)
                                                      : history->second;
}

double admission_queue::estimated_wait_ms(const request_info& offered) const
{
    double completions_per_ms = 0.0;
    double ahead = 0.0;
    for (std::size_t index = 0; index < class_count; ++index) {
        const class_state& state = this->classes[index];
        if (state.duration_ms > 0.0) {
            completions_per_ms += state.running / state.duration_ms;
        }
        if (index < static_cast<std::size_t>(offered.priority)) {
            ahead += state.waiting.size();
        }
    }
    ahead += this->state_of(offered.priority)
                 .waiting.count_ahead_of(offered.account, offered.account_weight);
    // Without a completed attempt there is no completion rate, and the estimate is 0.
    return completions_per_ms > 0.0 ? ahead / completions_per_ms : 0.0;
}

std::uint32_t admission_queue::waiting_count() const
{
    return static_cast<std::uint32_t>(this->queued.size());
}

std::uint32_t admission_queue::account_waiting(std::string_view account) const
{
    std::uint32_t waiting = 0;
    for (const class_state& state : this->classes) {
        waiting += state.waiting.account_size(account);
    }
    return waiting;
}

std::optional<request_class> admission_queue::next_background_class() const
{
    const class_state& standard = this->state_of(request_class::standard);
    const class_state& batch = this->state_of(request_class::batch);
    if (standard.waiting.size() == 0 && batch.waiting.size() == 0) {
        return std::nullopt;
    }
    if (batch.waiting.size() == 0) {
        return request_class::standard;
    }
    // A batch request that does not fit into the free slots does not delay standard work.
    if (standard.waiting.size() == 0 ||
        (!this->fits(*batch.waiting.head()) && this->fits(*standard.waiting.head()))) {
        return standard.waiting.size() == 0 ? request_class::batch : request_class::standard;
    }
    return std::max(batch.finish_tag, this->background_virtual_time) <
                   std::max(standard.finish_tag, this->background_virtual_time)
               ? request_class::batch
               : request_class::standard;
}

std::optional<request_class> admission_queue::next_class() const
{
    const std::optional<request_class> background = this->next_background_class();
    if (this->state_of(request_class::interactive).waiting.size() == 0 ||
        (background.has_value() && !this->rules.interactive_first)) {
        return background;
    }
    const std::uint32_t background_slots = this->state_of(request_class::standard).slots_used +
                                           this->state_of(request_class::batch).slots_used;
    if (background.has_value() && background_slots < this->options.min_background_slots &&
        this->fits(*this->state_of(*background).waiting.head())) {
        return background;
    }
    return request_class::interactive;
}

} // namespace redwingwheel::request
