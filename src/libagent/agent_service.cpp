#include "redwingwheel/agent_service.h"

#include <future>
#include <random>
#include <thread>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"
#include "request_runner.h"
#include "task_runner.h"

namespace redwingwheel::agent {

namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds health_check_interval{500};
constexpr milliseconds health_check_timeout{1000};
constexpr milliseconds drain_check_interval{20};
constexpr milliseconds poll_timeout{900};
/// Each batch is one log entry: 66 entries per second in a region of 660 agents.
constexpr milliseconds usage_interval{10'000};
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
/// The time between polls varies by this fraction either way, so that agents do not poll in step.
constexpr double poll_jitter_fraction = 0.2;

std::uint64_t draw_random()
{
    static thread_local std::mt19937_64 engine(std::random_device{}());
    return engine();
}

std::uint64_t draw_incarnation()
{
    std::uint64_t drawn = 0;
    while (drawn == 0) {
        drawn = draw_random();
    }
    return drawn;
}

membership::permit_options permit_options_from(const config::settings& settings)
{
    membership::permit_options options;
    options.lifetime = settings.timing.permit;
    options.poll_period = settings.timing.poll;
    return options;
}

membership::gang_participant_options participant_options_from(const config::settings& settings)
{
    membership::gang_participant_options options;
    options.slots = settings.agent.slots;
    options.accelerators = settings.agent.accelerators;
    return options;
}

request_runner_options runner_options_from(const config::settings& settings,
                                           std::uint64_t incarnation)
{
    request_runner_options options;
    options.backend = settings.agent.backend;
    options.admission.slots = settings.agent.slots;
    options.admission.connections = settings.agent.connections;
    options.admission.incarnation = incarnation;
    return options;
}

template <class Message>
void answer_with(const wire::incoming_request& request, const wire::reply_function& reply,
                 const std::function<std::string(const Message&)>& serve)
{
    const absl::StatusOr<Message> message = unpack<Message>(request.body);
    if (!message.ok()) {
        reply(message.status());
        return;
    }
    reply(serve(*message));
}

} // namespace

agent_service::agent_service(const config::settings& chosen, std::string_view cluster_secret,
                             kernel::control_loop& control_loop, kernel::traffic_loop& traffic_loop,
                             http::client& http_client)
    : settings(chosen), secret(cluster_secret), loop(control_loop), traffic(traffic_loop),
      client(http_client), incarnation(draw_incarnation()),
      permits(boot_clock_function(), permit_options_from(chosen), chosen.data_centre),
      participant(boot_clock_function(), this->permits, this->incarnation,
                  participant_options_from(chosen)),
      control(control_loop, traffic_loop, chosen.control.replicas, cluster_secret),
      requests(std::make_unique<request_runner>(runner_options_from(chosen, this->incarnation),
                                                boot_clock_function(), control_loop, http_client,
                                                [this] { return this->may_start(); }))
{
    task_runner::slot_hooks slots;
    slots.hold = [this](std::uint64_t task, std::uint32_t count) {
        return this->requests->hold_slots(task, count);
    };
    slots.release = [this](std::uint64_t task) { this->requests->release_slots(task); };
    this->tasks =
        std::make_unique<task_runner>(chosen.agent.backend, boot_clock_function(), control_loop,
                                      http_client, this->participant, slots);
}

agent_service::~agent_service() = default;

absl::Status agent_service::start()
{
    const absl::StatusOr<wire::address> listen_address =
        wire::parse_address(this->settings.agent.listen);
    if (!listen_address.ok()) {
        return listen_address.status();
    }
    this->server = std::make_unique<wire::rpc_server>(
        this->traffic, this->secret, wire::rpc_options(),
        [this](wire::incoming_request request, const wire::reply_function& reply) {
            this->on_request(std::move(request), reply);
        });
    const absl::Status started = this->server->listen(*listen_address);
    if (!started.ok()) {
        return started;
    }
    this->loop.run_every(tick_interval, [this] { this->tick(); });
    this->loop.run_every(health_check_interval, [this] { this->check_health(); });
    this->loop.post([this] {
        this->check_health();
        this->poll();
    });
    spdlog::info("event=agent_started worker={} incarnation={:016x} backend={}",
                 this->settings.agent.worker, this->incarnation, this->settings.agent.backend);
    return absl::OkStatus();
}

void agent_service::drain(steady_time deadline)
{
    this->loop.run_and_wait([this] {
        this->draining = true;
        this->poll();
    });
    bool busy = true;
    while (busy && boot_clock::now() < deadline) {
        this->loop.run_and_wait([this, &busy] {
            this->requests->tick();
            busy = !this->requests->idle() || !this->tasks->idle();
        });
        if (busy) {
            std::this_thread::sleep_for(drain_check_interval);
        }
    }
    spdlog::info("event=agent_drained worker={} work_left={}", this->settings.agent.worker, busy);
}

void agent_service::stop()
{
    this->server->stop();
    this->loop.run_and_wait([this] { this->stopping = true; });
}

bool agent_service::may_start() const
{
    return !this->draining && this->backend_serving && this->permits.may_start();
}

void agent_service::on_request(wire::incoming_request request, const wire::reply_function& reply)
{
    this->loop.post([this, request = std::move(request), reply] {
        if (!this->stopping) {
            this->serve(request, reply);
        }
    });
}

void agent_service::serve(const wire::incoming_request& request, const wire::reply_function& reply)
{
    switch (static_cast<messages::kind>(request.kind)) {
    case messages::kind::execute:
        this->serve_execute(request, reply);
        return;
    case messages::kind::cancel_attempt:
        answer_with<messages::cancel_attempt>(request, reply,
                                              [this](const messages::cancel_attempt& message) {
                                                  return pack(this->requests->cancel(message));
                                              });
        return;
    case messages::kind::fetch_answer:
        answer_with<messages::fetch_answer>(request, reply,
                                            [this](const messages::fetch_answer& message) {
                                                return pack(this->requests->fetch(message));
                                            });
        return;
    default:
        reply(absl::InvalidArgumentError(fmt::format("unknown message kind {}", request.kind)));
    }
}

void agent_service::serve_execute(const wire::incoming_request& request,
                                  const wire::reply_function& reply)
{
    absl::StatusOr<messages::execute> message = unpack<messages::execute>(request.body);
    if (!message.ok()) {
        reply(message.status());
        return;
    }
    if (!this->knows_service(message->account, message->service)) {
        messages::execute_answer refusal;
        refusal.answer = request::make_bodyless_answer(
            message->attempt, request::outcome_kind::not_run, "the service is not configured here");
        refusal.load = this->requests->load();
        refusal.refused = true;
        reply(pack(refusal));
        return;
    }
    this->requests->execute(*std::move(message), [reply](const messages::execute_answer& answer) {
        reply(pack(answer));
    });
}

bool agent_service::knows_service(std::string_view account, std::string_view wanted) const
{
    return this->configuration.find_service(wanted) != nullptr &&
           this->configuration.find_client_account(account) != nullptr;
}

messages::worker_announcement agent_service::announcement() const
{
    const config::agent_settings& own = this->settings.agent;
    messages::worker_announcement described;
    described.worker = own.worker;
    described.data_centre = this->settings.data_centre;
    described.rack = own.rack;
    described.address = own.listen;
    described.accelerators = own.accelerators;
    described.accelerators_per_group = own.accelerators_per_group;
    described.cores = own.cores;
    described.memory_mb = own.memory_mb;
    described.slots = own.slots;
    described.connections = own.connections;
    return described;
}

void agent_service::poll()
{
    if (this->stopping) {
        return;
    }
    if (this->polling) {
        this->poll_again = true;
        return;
    }
    this->polling = true;
    this->poll_again = false;
    ++this->poll_number;
    static_cast<void>(this->participant.take_changed());
    this->collect_usage();
    messages::agent_poll message;
    message.worker = this->settings.agent.worker;
    message.incarnation = this->incarnation;
    message.sequence = ++this->sequence;
    message.revision = this->configuration.revision();
    message.shutting_down = this->draining || !this->backend_serving;
    message.load = this->requests->load();
    message.reports = this->participant.reports();
    message.usage_batch = this->usage_batch;
    message.usage = this->unrecorded_usage;
    if (this->send_announcement) {
        message.announcement.push_back(this->announcement());
    }
    const steady_time sent_at = boot_clock::now();
    this->control.call_once(messages::kind::agent_poll, pack(message), sent_at + poll_timeout,
                            [this, sent_at](const absl::StatusOr<std::string>& body) {
                                this->on_poll_answer(sent_at, body);
                            });
}

void agent_service::schedule_poll(milliseconds after)
{
    const std::uint64_t scheduled_at_poll = this->poll_number;
    this->loop.run_at(boot_clock::now() + after, [this, scheduled_at_poll] {
        // A poll that was sent in the meantime schedules the next one itself.
        if (scheduled_at_poll == this->poll_number) {
            this->poll();
        }
    });
}

void agent_service::on_poll_answer(steady_time sent_at, const absl::StatusOr<std::string>& body)
{
    this->polling = false;
    constexpr milliseconds poll_retry_interval{100};
    milliseconds poll_delay = poll_retry_interval;
    if (body.ok()) {
        const absl::StatusOr<messages::agent_poll_answer> answer =
            unpack<messages::agent_poll_answer>(*body);
        if (answer.ok()) {
            this->send_announcement = answer->want_announcement;
            if (answer->usage_batch_recorded >= this->usage_batch) {
                this->unrecorded_usage.clear();
            }
            if (!answer->granted.data_centre.empty()) {
                this->apply_permit(answer->granted, sent_at, answer->catch_up);
            }
            for (const messages::task_description& job : answer->tasks) {
                this->tasks->store_description(job);
            }
            for (const membership::gang_command& command : answer->commands) {
                this->tasks->carry_out(this->participant.handle(command));
            }
            const double jitter_factor =
                1.0 +
                poll_jitter_fraction * (static_cast<double>(draw_random() % 2001) / 1000.0 - 1.0);
            poll_delay = milliseconds(static_cast<std::int64_t>(
                static_cast<double>(this->settings.timing.poll.count()) * jitter_factor));
        }
    }
    if (this->send_announcement && body.ok()) {
        poll_delay = poll_retry_interval;
    }
    if (this->poll_again || this->participant.take_changed()) {
        this->poll();
        return;
    }
    this->schedule_poll(poll_delay);
}

void agent_service::apply_permit(const membership::permit& granted, steady_time sent_at,
                                 const std::vector<config::catch_up>& missing)
{
    for (const config::catch_up& each : missing) {
        const absl::Status advanced = this->configuration.advance(each);
        if (!advanced.ok()) {
            spdlog::warn("event=catch_up_failed error=\"{}\"", errors::message_of(advanced));
            this->configuration = config::configuration();
            return;
        }
        spdlog::info("event=revision_in_force revision={}", this->configuration.revision());
        this->poll_again = true;
    }
    const membership::permit_result result =
        this->permits.accept(granted, sent_at, this->configuration.revision());
    if (result.kind != membership::permit_result_kind::accepted) {
        spdlog::debug("event=permit_not_accepted result={} revision={}",
                      static_cast<int>(result.kind), this->configuration.revision());
    }
}

void agent_service::check_health()
{
    if (this->stopping || this->health_check_pending) {
        return;
    }
    this->health_check_pending = true;
    http::client_request request;
    request.url = fmt::format("http://{}/health", this->settings.agent.backend);
    request.deadline = boot_clock::now() + health_check_timeout;
    this->client.send(std::move(request), [this](absl::StatusOr<http::client_response> reply) {
        const bool serving = reply.ok() && reply->status == status_ok;
        const bool conclusive = serving || !reply.ok() || reply->status == status_unavailable;
        this->loop.post([this, serving, conclusive] {
            this->health_check_pending = false;
            if (conclusive) {
                this->on_health(serving);
            }
        });
    });
}

void agent_service::on_health(bool serving)
{
    if (serving == this->backend_serving) {
        return;
    }
    this->backend_serving = serving;
    spdlog::info("event=backend_health worker={} serving={}", this->settings.agent.worker, serving);
    this->poll();
}

void agent_service::tick()
{
    if (this->stopping) {
        return;
    }
    this->requests->tick();
    this->tasks->carry_out(this->participant.tick());
    this->tasks->tick();
    if (this->participant.take_changed()) {
        this->poll();
    }
}

void agent_service::collect_usage()
{
    // At most one batch is unrecorded. It is sent again under the same number until the leader has
    // recorded it, so a lost answer does not count it twice.
    const steady_time now = boot_clock::now();
    if (!this->unrecorded_usage.empty() || now < this->next_usage) {
        return;
    }
    this->next_usage = now + usage_interval;
    this->unrecorded_usage = this->requests->take_usage();
    for (messages::usage_delta& each : this->tasks->take_usage()) {
        this->unrecorded_usage.push_back(std::move(each));
    }
    if (!this->unrecorded_usage.empty()) {
        ++this->usage_batch;
    }
}

} // namespace redwingwheel::agent
