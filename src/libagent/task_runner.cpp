#include "task_runner.h"

#include <bit>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "backend_messages.h"
#include "redwingwheel/digest.h"

namespace redwingwheel::agent {

namespace {

using nlohmann::json;

constexpr milliseconds backend_timeout{2000};
constexpr int status_not_found = 404;

bool is_success(const absl::StatusOr<http::client_response>& reply)
{
    return reply.ok() && reply->status >= 200 && reply->status < 300;
}

std::uint64_t slot_key(const membership::task_key& task)
{
    return digest::content_hash(backend_task_id(task));
}

std::int64_t remaining_ms(steady_time deadline, steady_time now)
{
    return remaining_until(deadline, now).count();
}

} // namespace

task_runner::task_runner(std::string_view backend_address, clock_function clock_source,
                         kernel::control_loop& control_loop, http::client& http_client,
                         membership::gang_participant& participant_of_worker,
                         slot_hooks slot_functions)
    : backend(backend_address), clock(std::move(clock_source)), loop(control_loop),
      client(http_client), participant(participant_of_worker), slots(std::move(slot_functions))
{
}

void task_runner::store_description(const messages::task_description& job)
{
    this->jobs[job.job] = job;
}

void task_runner::carry_out(const std::vector<membership::gang_action>& actions)
{
    for (const membership::gang_action& each : actions) {
        std::visit([this](const auto& action) { this->perform(action); }, each);
    }
}

void task_runner::send(std::string_view method, std::string_view path, const std::string& body,
                       response_handler on_response)
{
    http::client_request request;
    request.method = method;
    request.url = fmt::format("http://{}{}", this->backend, path);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body;
    // If the HTTP library repeated a start, the task would be started twice.
    request.at_most_once = true;
    request.deadline = this->clock() + backend_timeout;
    this->client.send(std::move(request), [this, on_response = std::move(on_response)](
                                              absl::StatusOr<http::client_response> reply) {
        this->loop.post(
            [on_response, reply = std::move(reply)]() mutable { on_response(std::move(reply)); });
    });
}

void task_runner::perform(const membership::start_task& action)
{
    const membership::task_key task = action.task;
    const auto known = this->jobs.find(task.job);
    if (known == this->jobs.end() || !this->slots.hold(slot_key(task), action.slots)) {
        spdlog::warn("event=task_not_started task={} reason=\"{}\"", backend_task_id(task),
                     known == this->jobs.end() ? "no description of the job"
                                               : "not enough free slots");
        this->participant.task_ended(task, membership::task_outcome::not_run);
        return;
    }
    if (!this->participant.begin_start(task)) {
        this->slots.release(slot_key(task));
        return;
    }
    running_task added;
    added.account = known->second.account;
    added.accelerators = static_cast<std::uint32_t>(std::popcount(action.accelerator_mask));
    added.usage_counted_until = this->clock();
    this->tasks[task] = added;
    const absl::StatusOr<std::string> body = encode_task_start(
        action, known->second, remaining_until(action.lease_deadline, this->clock()));
    if (!body.ok()) {
        spdlog::warn("event=task_not_started task={} reason=\"{}\"", backend_task_id(task),
                     errors::message_of(body.status()));
        this->end_task(task, membership::task_outcome::failed);
        return;
    }
    spdlog::info("event=task_started task={} accelerators={:#x}", backend_task_id(task),
                 action.accelerator_mask);
    this->send("POST", "/tasks", *body, [this, task](absl::StatusOr<http::client_response> reply) {
        this->on_start_reply(task, std::move(reply));
    });
}

void task_runner::on_start_reply(const membership::task_key& task,
                                 absl::StatusOr<http::client_response> reply)
{
    const auto found = this->tasks.find(task);
    if (found == this->tasks.end()) {
        return;
    }
    if (is_success(reply)) {
        found->second.confirmed = true;
        this->participant.task_started(task);
        return;
    }
    if (reply.ok()) {
        this->end_task(task, membership::task_outcome::failed);
        return;
    }
    const bool unsent = http::was_not_sent(reply.status());
    this->end_task(task,
                   unsent ? membership::task_outcome::not_run : membership::task_outcome::unknown);
}

void task_runner::perform(const membership::checkpoint_task& action)
{
    const membership::task_key task = action.task;
    const json body = {{"deadline_ms", remaining_ms(action.deadline, this->clock())}};
    this->send("POST", fmt::format("/tasks/{}/checkpoint", backend_task_id(task)), body.dump(),
               [this, task](const absl::StatusOr<http::client_response>& reply) {
                   if (is_success(reply)) {
                       this->participant.task_checkpointed(task);
                   }
               });
}

void task_runner::perform(const membership::throttle_task& action)
{
    const json body = {{"speed_percent", action.speed_percent}};
    this->send("POST", fmt::format("/tasks/{}/throttle", backend_task_id(action.task)), body.dump(),
               [](const absl::StatusOr<http::client_response>&) {});
}

void task_runner::perform(const membership::stop_task& action)
{
    const membership::task_key task = action.task;
    if (!this->tasks.contains(task)) {
        this->participant.task_ended(task, membership::task_outcome::not_run);
        return;
    }
    spdlog::info("event=task_stop task={}", backend_task_id(task));
    const json body = {{"deadline_ms", remaining_ms(action.deadline, this->clock())}};
    this->send("POST", fmt::format("/tasks/{}/stop", backend_task_id(task)), body.dump(),
               [](const absl::StatusOr<http::client_response>&) {});
}

void task_runner::perform(const membership::renew_lease& action)
{
    const json body = {{"lease_ms", remaining_ms(action.lease_deadline, this->clock())}};
    this->send("POST", fmt::format("/tasks/{}/lease", backend_task_id(action.task)), body.dump(),
               [](const absl::StatusOr<http::client_response>&) {});
}

void task_runner::tick()
{
    for (auto& [task, state] : this->tasks) {
        if (!state.confirmed || state.state_requested) {
            continue;
        }
        state.state_requested = true;
        const membership::task_key key = task;
        this->send("GET", fmt::format("/tasks/{}", backend_task_id(key)), "",
                   [this, key](absl::StatusOr<http::client_response> reply) {
                       this->on_state_reply(key, std::move(reply));
                   });
    }
}

void task_runner::on_state_reply(const membership::task_key& task,
                                 absl::StatusOr<http::client_response> reply)
{
    const auto found = this->tasks.find(task);
    if (found == this->tasks.end()) {
        return;
    }
    found->second.state_requested = false;
    if (!reply.ok()) {
        // Nothing listens at the address: the backend server has ended, and so have its tasks.
        if (http::was_not_sent(reply.status())) {
            this->end_task(task, membership::task_outcome::unknown);
        }
        return;
    }
    if (reply->status == status_not_found) {
        this->end_task(task, membership::task_outcome::unknown);
        return;
    }
    const std::string state = decode_task_state(reply->body);
    if (state == "done") {
        this->end_task(task, membership::task_outcome::done);
    }
    else if (state == "failed") {
        this->end_task(task, membership::task_outcome::failed);
    }
    else if (state == "stopped" || state == "expired") {
        this->end_task(task, membership::task_outcome::unknown);
    }
}

void task_runner::end_task(const membership::task_key& task, membership::task_outcome outcome)
{
    const auto found = this->tasks.find(task);
    this->count_usage(found->second);
    this->tasks.erase(found);
    spdlog::info("event=task_ended task={} outcome={}", backend_task_id(task),
                 membership::to_text(outcome));
    this->participant.task_ended(task, outcome);
    this->slots.release(slot_key(task));
}

void task_runner::count_usage(running_task& task)
{
    const steady_time now = this->clock();
    const milliseconds ran =
        std::chrono::duration_cast<milliseconds>(now - task.usage_counted_until);
    messages::usage_delta& used = this->usage[task.account];
    used.account = task.account;
    used.accelerator_ms += static_cast<std::uint64_t>(ran.count()) * task.accelerators;
    task.usage_counted_until += ran;
}

std::vector<messages::usage_delta> task_runner::take_usage()
{
    for (auto& [key, task] : this->tasks) {
        this->count_usage(task);
    }
    std::vector<messages::usage_delta> taken;
    for (auto& [account, delta] : this->usage) {
        if (delta.accelerator_ms > 0) {
            taken.push_back(delta);
        }
    }
    this->usage.clear();
    return taken;
}

} // namespace redwingwheel::agent
