#include "task_runner.h"

#include <bit>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"

namespace redwingwheel::agent {

namespace {

using nlohmann::json;

constexpr milliseconds backend_patience{2000};
constexpr int status_not_found = 404;

bool is_success(const absl::StatusOr<http::client_response>& reply)
{
    return reply.ok() && reply->status >= 200 && reply->status < 300;
}

std::uint64_t slot_key(const membership::task_key& task)
{
    return digest::content_hash(task_name(task));
}

std::int64_t remaining_ms(steady_time deadline, steady_time now)
{
    return remaining_until(deadline, now).count();
}

} // namespace

std::string task_name(const membership::task_key& task)
{
    return fmt::format("{}.{}.{}", task.job, task.epoch, task.member);
}

task_runner::task_runner(std::string_view backend_address, clock_function clock_source,
                         kernel::control_loop& control_loop, http::client& http_client,
                         membership::gang_participant& gang_side, slot_hooks slot_functions)
    : backend(backend_address), clock(std::move(clock_source)), loop(control_loop),
      client(http_client), member(gang_side), slots(std::move(slot_functions))
{
}

void task_runner::describe(const messages::task_description& job)
{
    this->jobs[job.job] = job;
}

void task_runner::carry_out(const std::vector<membership::gang_action>& actions)
{
    for (const membership::gang_action& each : actions) {
        std::visit([this](const auto& what) { this->act(what); }, each);
    }
}

void task_runner::send(std::string_view method, std::string_view path, const std::string& body,
                       response_handler done)
{
    http::client_request request;
    request.method = method;
    request.url = fmt::format("http://{}{}", this->backend, path);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body;
    // A start that is sent twice by the library would begin the task twice.
    request.at_most_once = true;
    request.deadline = this->clock() + backend_patience;
    this->client.send(std::move(request), [this, done = std::move(done)](
                                              absl::StatusOr<http::client_response> reply) {
        this->loop.post([done, reply = std::move(reply)]() mutable { done(std::move(reply)); });
    });
}

void task_runner::act(const membership::start_task& what)
{
    const membership::task_key task = what.task;
    const auto known = this->jobs.find(task.job);
    if (known == this->jobs.end() || !this->slots.hold(slot_key(task), what.slots)) {
        spdlog::warn("event=task_not_started task={} reason=\"{}\"", task_name(task),
                     known == this->jobs.end() ? "no description" : "no slots");
        this->member.task_ended(task, membership::task_outcome::not_run);
        return;
    }
    if (!this->member.begin_start(task)) {
        this->slots.release(slot_key(task));
        return;
    }
    running_task added;
    added.account = known->second.account;
    added.accelerators = static_cast<std::uint32_t>(std::popcount(what.accelerator_mask));
    added.usage_from = this->clock();
    this->tasks[task] = added;
    json parameters = json::parse(known->second.parameters, nullptr, false);
    if (!parameters.is_object()) {
        parameters = json::object();
    }
    json body = {{"id", task_name(task)},
                 {"job", task.job},
                 {"epoch", task.epoch},
                 {"member", task.member},
                 {"account", known->second.account},
                 {"service", known->second.service},
                 {"accelerator_mask", what.accelerator_mask},
                 {"lease_ms", remaining_ms(what.lease_deadline, this->clock())},
                 {"parameters", parameters}};
    if (parameters.contains("run_ms")) {
        body["run_ms"] = parameters["run_ms"];
    }
    spdlog::info("event=task_started task={} accelerators={:#x}", task_name(task),
                 what.accelerator_mask);
    this->send("POST", "/tasks", body.dump(),
               [this, task](absl::StatusOr<http::client_response> reply) {
                   this->on_started(task, std::move(reply));
               });
}

void task_runner::on_started(const membership::task_key& task,
                             absl::StatusOr<http::client_response> reply)
{
    const auto found = this->tasks.find(task);
    if (found == this->tasks.end()) {
        return;
    }
    if (is_success(reply)) {
        found->second.confirmed = true;
        this->member.task_started(task);
        return;
    }
    if (reply.ok()) {
        this->end(task, membership::task_outcome::failed);
        return;
    }
    const bool unsent = http::was_not_sent(reply.status());
    this->end(task, unsent ? membership::task_outcome::not_run : membership::task_outcome::unknown);
}

void task_runner::act(const membership::checkpoint_task& what)
{
    const membership::task_key task = what.task;
    const json body = {{"deadline_ms", remaining_ms(what.deadline, this->clock())}};
    this->send("POST", fmt::format("/tasks/{}/checkpoint", task_name(task)), body.dump(),
               [this, task](const absl::StatusOr<http::client_response>& reply) {
                   if (is_success(reply)) {
                       this->member.task_checkpointed(task);
                   }
               });
}

void task_runner::act(const membership::throttle_task& what)
{
    const json body = {{"speed_percent", what.speed_percent}};
    this->send("POST", fmt::format("/tasks/{}/throttle", task_name(what.task)), body.dump(),
               [](const absl::StatusOr<http::client_response>&) {});
}

void task_runner::act(const membership::stop_task& what)
{
    const membership::task_key task = what.task;
    if (!this->tasks.contains(task)) {
        this->member.task_ended(task, membership::task_outcome::not_run);
        return;
    }
    spdlog::info("event=task_stop task={}", task_name(task));
    const json body = {{"deadline_ms", remaining_ms(what.deadline, this->clock())}};
    this->send("POST", fmt::format("/tasks/{}/stop", task_name(task)), body.dump(),
               [](const absl::StatusOr<http::client_response>&) {});
}

void task_runner::act(const membership::renew_lease& what)
{
    const json body = {{"lease_ms", remaining_ms(what.lease_deadline, this->clock())}};
    this->send("POST", fmt::format("/tasks/{}/lease", task_name(what.task)), body.dump(),
               [](const absl::StatusOr<http::client_response>&) {});
}

void task_runner::tick()
{
    for (auto& [task, state] : this->tasks) {
        if (!state.confirmed || state.asking) {
            continue;
        }
        state.asking = true;
        const membership::task_key key = task;
        this->send("GET", fmt::format("/tasks/{}", task_name(key)), "",
                   [this, key](absl::StatusOr<http::client_response> reply) {
                       this->on_state(key, std::move(reply));
                   });
    }
}

void task_runner::on_state(const membership::task_key& task,
                           absl::StatusOr<http::client_response> reply)
{
    const auto found = this->tasks.find(task);
    if (found == this->tasks.end()) {
        return;
    }
    found->second.asking = false;
    if (!reply.ok()) {
        // Without a listener at the address the backend server is gone, and its tasks with it.
        if (http::was_not_sent(reply.status())) {
            this->end(task, membership::task_outcome::unknown);
        }
        return;
    }
    if (reply->status == status_not_found) {
        this->end(task, membership::task_outcome::unknown);
        return;
    }
    const json body = json::parse(reply->body, nullptr, false);
    const std::string state = body.is_object() ? body.value("state", "") : "";
    if (state == "done") {
        this->end(task, membership::task_outcome::done);
    }
    else if (state == "failed") {
        this->end(task, membership::task_outcome::failed);
    }
    else if (state == "stopped" || state == "expired") {
        this->end(task, membership::task_outcome::unknown);
    }
}

void task_runner::end(const membership::task_key& task, membership::task_outcome outcome)
{
    const auto found = this->tasks.find(task);
    this->count_usage(found->second);
    this->tasks.erase(found);
    spdlog::info("event=task_ended task={} outcome={}", task_name(task),
                 membership::to_text(outcome));
    this->member.task_ended(task, outcome);
    this->slots.release(slot_key(task));
}

void task_runner::count_usage(running_task& task)
{
    const steady_time now = this->clock();
    const milliseconds ran = std::chrono::duration_cast<milliseconds>(now - task.usage_from);
    messages::usage_delta& used = this->usage[task.account];
    used.account = task.account;
    used.accelerator_ms += static_cast<std::uint64_t>(ran.count()) * task.accelerators;
    task.usage_from += ran;
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
