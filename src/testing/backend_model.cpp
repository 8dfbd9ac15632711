#include "backend_model.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "redwingwheel/digest.h"

namespace redwingwheel::stand_in {

namespace {

constexpr std::int64_t longest_ms = 3'600'000;

std::int64_t as_ms(steady_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

std::uint64_t doubles(const std::map<std::string, std::uint64_t, std::less<>>& counts)
{
    return static_cast<std::uint64_t>(std::count_if(
        counts.begin(), counts.end(), [](const auto& entry) { return entry.second > 1; }));
}

} // namespace

std::string apply_faults(const nlohmann::json& given, backend_faults& faults)
{
    if (!given.is_object()) {
        return "faults are a JSON object";
    }
    backend_faults changed = faults;
    const std::map<std::string, bool*> switches{{"fail_all", &changed.fail_all},
                                                {"silent", &changed.silent},
                                                {"truncate", &changed.truncate},
                                                {"die", &changed.die},
                                                {"drain", &changed.drain}};
    const std::map<std::string, milliseconds*> times{{"slow_ms", &changed.slow},
                                                     {"usage_lag_ms", &changed.usage_lag}};
    for (const auto& [key, value] : given.items()) {
        const auto as_switch = switches.find(key);
        const auto as_time = times.find(key);
        if (as_switch != switches.end() && value.is_boolean()) {
            *as_switch->second = value.get<bool>();
        }
        else if (as_time != times.end() && value.is_number_integer() &&
                 value.get<std::int64_t>() >= 0 && value.get<std::int64_t>() <= longest_ms) {
            *as_time->second = milliseconds(value.get<std::int64_t>());
        }
        else {
            return fmt::format("{}: {} is not allowed", key, value.dump());
        }
    }
    faults = changed;
    return "";
}

backend_model::backend_model(clock_function clock_source, std::string own_name,
                             backend_limits chosen_limits)
    : clock(std::move(clock_source)), name(std::move(own_name)), limits(chosen_limits)
{
}

void backend_model::begin_request(std::string_view attempt)
{
    ++this->request_counts[std::string(attempt)];
    ++this->active_requests;
    this->note_arrival();
}

void backend_model::end_request()
{
    --this->active_requests;
}

std::string backend_model::answer(std::string_view attempt, std::string_view body) const
{
    const nlohmann::json answer{{"backend", this->name},
                                {"attempt", attempt},
                                {"length", body.size()},
                                {"digest", fmt::format("{:016x}", digest::content_hash(body))}};
    return answer.dump();
}

void backend_model::start_task(const task_spec& spec)
{
    const steady_time now = this->clock();
    this->note_accelerators(spec);
    ++this->task_counts[spec.id];
    task_state& task = this->tasks[spec.id];
    task = {};
    task.spec = spec;
    task.computed_at = task.started_at = now;
    task.lease_end = now + spec.lease;
    this->note_arrival();
}

/// Counts a start on an accelerator that another task still uses.
void backend_model::note_accelerators(const task_spec& spec)
{
    this->advance();
    for (const auto& [id, task] : this->tasks) {
        const bool shared = (task.spec.accelerator_mask & spec.accelerator_mask) != 0;
        this->double_accelerators += shared && task.at == task_step::running ? 1 : 0;
    }
}

backend_model::task_state* backend_model::running(std::string_view id)
{
    this->advance();
    const auto found = this->tasks.find(id);
    const bool runs = found != this->tasks.end() && found->second.at == task_step::running;
    return runs ? &found->second : nullptr;
}

bool backend_model::renew_lease(std::string_view id, milliseconds lease)
{
    task_state* const task = this->running(id);
    if (task != nullptr) {
        task->lease_end = std::max(task->lease_end, this->clock() + lease);
    }
    return task != nullptr;
}

bool backend_model::checkpoint(std::string_view id)
{
    task_state* const task = this->running(id);
    if (task != nullptr) {
        task->checkpoint_ms = static_cast<std::int64_t>(task->work_ms);
    }
    return task != nullptr;
}

bool backend_model::throttle(std::string_view id, std::uint32_t speed_percent)
{
    task_state* const task = this->running(id);
    if (task != nullptr) {
        task->speed_percent = speed_percent;
    }
    return task != nullptr;
}

bool backend_model::stop(std::string_view id)
{
    task_state* const task = this->running(id);
    if (task != nullptr) {
        task->at = task_step::stopped;
        task->ended_at = this->clock();
    }
    return task != nullptr;
}

void backend_model::advance()
{
    const steady_time now = this->clock();
    for (auto& [id, task] : this->tasks) {
        this->advance(task, now);
    }
}

void backend_model::advance(task_state& task, steady_time now)
{
    if (task.at != task_step::running) {
        return;
    }
    const steady_time until = std::min(now, task.lease_end);
    const double per_ms = task.speed_percent / 100.0;
    const double passed_ms =
        std::chrono::duration<double, std::milli>(until - task.computed_at).count();
    const double left_ms = static_cast<double>(task.spec.run.count()) - task.work_ms;
    const double needed_ms = left_ms / per_ms;
    if (needed_ms <= passed_ms) {
        task.at = task.spec.fails ? task_step::failed : task_step::done;
        task.work_ms += left_ms;
        task.ended_at =
            task.computed_at + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                   std::chrono::duration<double, std::milli>(needed_ms));
        return;
    }
    task.work_ms += passed_ms * per_ms;
    task.computed_at = until;
    if (now >= task.lease_end) {
        task.at = task_step::lease_ended;
        task.ended_at = task.lease_end;
    }
}

std::optional<nlohmann::json> backend_model::describe_task(std::string_view id, milliseconds lag)
{
    this->advance();
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end()) {
        return std::nullopt;
    }
    const task_state& task = found->second;
    const bool runs = task.at == task_step::running;
    const steady_time until = std::min(runs ? this->clock() : task.ended_at, this->clock() - lag);
    const milliseconds used = std::max(
        milliseconds(0), std::chrono::duration_cast<milliseconds>(until - task.started_at));
    return nlohmann::json{{"id", task.spec.id},
                          {"state", to_text(task.at)},
                          {"speed_percent", task.speed_percent},
                          {"checkpoint_ms", task.checkpoint_ms},
                          {"usage", {{"run_ms", used.count()}, {"slots", task.spec.slots}}}};
}

std::string_view backend_model::to_text(task_step step)
{
    switch (step) {
    case task_step::running:
        return "running";
    case task_step::done:
        return "done";
    case task_step::failed:
        return "failed";
    case task_step::stopped:
        return "stopped";
    case task_step::lease_ended:
        return "lease_ended";
    }
    return "invalid";
}

bool backend_model::open_connection()
{
    if (this->connections >= this->limits.connections) {
        ++this->excess_connections;
        return false;
    }
    ++this->connections;
    this->most_connections = std::max(this->most_connections, this->connections);
    return true;
}

void backend_model::close_connection()
{
    --this->connections;
}

void backend_model::begin_drain()
{
    this->drain_began = this->drain_began.value_or(this->clock());
}

void backend_model::note_arrival()
{
    this->note_slots();
    if (this->drain_began.has_value()) {
        ++this->arrivals_after_drain;
        this->last_arrival_after_drain_ms =
            std::chrono::duration_cast<milliseconds>(this->clock() - *this->drain_began).count();
    }
}

void backend_model::note_slots()
{
    this->advance();
    std::uint32_t used = this->active_requests;
    for (const auto& [id, task] : this->tasks) {
        used += task.at == task_step::running ? task.spec.slots : 0;
    }
    this->most_slots = std::max(this->most_slots, used);
    this->excess_slots += used > this->limits.slots ? 1 : 0;
}

nlohmann::json backend_model::log()
{
    this->advance();
    nlohmann::json times = nlohmann::json::object();
    for (const auto& [id, task] : this->tasks) {
        times[id] = {{"state", to_text(task.at)}, {"started_ms", as_ms(task.started_at)}};
        if (task.at != task_step::running) {
            times[id]["ended_ms"] = as_ms(task.ended_at);
        }
    }
    return {{"name", this->name},
            {"task_times", times},
            {"double_accelerators", this->double_accelerators},
            {"requests", this->request_counts},
            {"tasks", this->task_counts},
            {"double_requests", doubles(this->request_counts)},
            {"double_tasks", doubles(this->task_counts)},
            {"active_requests", this->active_requests},
            {"most_slots", this->most_slots},
            {"excess_slots", this->excess_slots},
            {"most_connections", this->most_connections},
            {"excess_connections", this->excess_connections},
            {"arrivals_after_drain", this->arrivals_after_drain},
            {"last_arrival_after_drain_ms", this->last_arrival_after_drain_ms}};
}

} // namespace redwingwheel::stand_in
