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

constexpr milliseconds tick_period{50};
constexpr milliseconds health_period{500};
constexpr milliseconds health_patience{1000};
constexpr milliseconds drain_check_period{20};
constexpr milliseconds poll_patience{900};
/// Each batch is an entry of the log; at 660 agents in a region this is 66 entries a second.
constexpr milliseconds usage_period{10'000};
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
/// Polls are spread by this share of their period, so that agents do not poll together.
constexpr double poll_jitter = 0.2;

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

membership::gang_participant_options member_options_from(const config::settings& settings)
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
      member(boot_clock_function(), this->permits, this->incarnation, member_options_from(chosen)),
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
    this->tasks = std::make_unique<task_runner>(chosen.agent.backend, boot_clock_function(),
                                                control_loop, http_client, this->member, slots);
}

agent_service::~agent_service() = default;

absl::Status agent_service::start()
{
    const absl::StatusOr<wire::address> on = wire::parse_address(this->settings.agent.listen);
    if (!on.ok()) {
        return on.status();
    }
    this->server = std::make_unique<wire::rpc_server>(
        this->traffic, this->secret, wire::rpc_options(),
        [this](wire::incoming_request request, const wire::reply_function& reply) {
            this->on_request(std::move(request), reply);
        });
    const absl::Status listening = this->server->listen(*on);
    if (!listening.ok()) {
        return listening;
    }
    this->loop.run_every(tick_period, [this] { this->tick(); });
    this->loop.run_every(health_period, [this] { this->check_health(); });
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
            std::this_thread::sleep_for(drain_check_period);
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
                                              [this](const messages::cancel_attempt& of) {
                                                  return pack(this->requests->cancel(of));
                                              });
        return;
    case messages::kind::fetch_answer:
        answer_with<messages::fetch_answer>(
            request, reply,
            [this](const messages::fetch_answer& of) { return pack(this->requests->fetch(of)); });
        return;
    default:
        reply(absl::InvalidArgumentError(fmt::format("unknown message kind {}", request.kind)));
    }
}

void agent_service::serve_execute(const wire::incoming_request& request,
                                  const wire::reply_function& reply)
{
    absl::StatusOr<messages::execute> of = unpack<messages::execute>(request.body);
    if (!of.ok()) {
        reply(of.status());
        return;
    }
    if (!this->knows_service(of->account, of->service)) {
        messages::execute_answer refusal;
        refusal.answer = request::make_bodyless_answer(of->attempt, request::outcome_kind::not_run,
                                                       "the service is not configured here");
        refusal.load = this->requests->load();
        refusal.refused = true;
        reply(pack(refusal));
        return;
    }
    this->requests->execute(
        *std::move(of), [reply](const messages::execute_answer& answer) { reply(pack(answer)); });
}

bool agent_service::knows_service(std::string_view account, std::string_view wanted) const
{
    return this->configuration.find_service(wanted) != nullptr &&
           this->configuration.find_client_account(account) != nullptr;
}

messages::worker_announcement agent_service::announcement() const
{
    const config::agent_settings& own = this->settings.agent;
    messages::worker_announcement made;
    made.worker = own.worker;
    made.data_centre = this->settings.data_centre;
    made.rack = own.rack;
    made.address = own.listen;
    made.accelerators = own.accelerators;
    made.accelerators_per_group = own.accelerators_per_group;
    made.cores = own.cores;
    made.memory_mb = own.memory_mb;
    made.slots = own.slots;
    made.connections = own.connections;
    return made;
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
    static_cast<void>(this->member.take_changed());
    this->collect_usage();
    messages::agent_poll message;
    message.worker = this->settings.agent.worker;
    message.incarnation = this->incarnation;
    message.sequence = ++this->sequence;
    message.revision = this->configuration.revision();
    message.shutting_down = this->draining || !this->backend_serving;
    message.load = this->requests->load();
    message.reports = this->member.reports();
    message.usage_batch = this->usage_batch;
    message.usage = this->unrecorded_usage;
    if (this->announce) {
        message.announcement.push_back(this->announcement());
    }
    const steady_time sent_at = boot_clock::now();
    this->control.call_once(messages::kind::agent_poll, pack(message), sent_at + poll_patience,
                            [this, sent_at](const absl::StatusOr<std::string>& body) {
                                this->on_poll_answer(sent_at, body);
                            });
}

void agent_service::schedule_poll(milliseconds after)
{
    const std::uint64_t number = this->poll_number;
    this->loop.run_at(boot_clock::now() + after, [this, number] {
        // A poll that was sent meanwhile has its own successor.
        if (number == this->poll_number) {
            this->poll();
        }
    });
}

void agent_service::on_poll_answer(steady_time sent_at, const absl::StatusOr<std::string>& body)
{
    this->polling = false;
    constexpr milliseconds retry_pause{100};
    milliseconds next = retry_pause;
    if (body.ok()) {
        const absl::StatusOr<messages::agent_poll_answer> answer =
            unpack<messages::agent_poll_answer>(*body);
        if (answer.ok()) {
            this->announce = answer->want_announcement;
            if (answer->usage_batch_recorded >= this->usage_batch) {
                this->unrecorded_usage.clear();
            }
            if (!answer->granted.data_centre.empty()) {
                this->take_permit(answer->granted, sent_at, answer->catch_up);
            }
            for (const messages::task_description& job : answer->tasks) {
                this->tasks->describe(job);
            }
            for (const membership::gang_command& command : answer->commands) {
                this->tasks->carry_out(this->member.handle(command));
            }
            const double share =
                1.0 + poll_jitter * (static_cast<double>(draw_random() % 2001) / 1000.0 - 1.0);
            next = milliseconds(static_cast<std::int64_t>(
                static_cast<double>(this->settings.timing.poll.count()) * share));
        }
    }
    if (this->announce && body.ok()) {
        next = retry_pause;
    }
    if (this->poll_again || this->member.take_changed()) {
        this->poll();
        return;
    }
    this->schedule_poll(next);
}

void agent_service::take_permit(const membership::permit& granted, steady_time sent_at,
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
    const membership::permit_result verdict =
        this->permits.accept(granted, sent_at, this->configuration.revision());
    if (verdict.kind != membership::permit_result_kind::accepted) {
        spdlog::debug("event=permit_not_accepted verdict={} revision={}",
                      static_cast<int>(verdict.kind), this->configuration.revision());
    }
}

void agent_service::check_health()
{
    if (this->stopping || this->health_asked) {
        return;
    }
    this->health_asked = true;
    http::client_request request;
    request.url = fmt::format("http://{}/health", this->settings.agent.backend);
    request.deadline = boot_clock::now() + health_patience;
    this->client.send(std::move(request), [this](absl::StatusOr<http::client_response> reply) {
        const bool serving = reply.ok() && reply->status == status_ok;
        const bool known = serving || !reply.ok() || reply->status == status_unavailable;
        this->loop.post([this, serving, known] {
            this->health_asked = false;
            if (known) {
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
    this->tasks->carry_out(this->member.tick());
    this->tasks->tick();
    if (this->member.take_changed()) {
        this->poll();
    }
}

void agent_service::collect_usage()
{
    // One batch at a time is on its way, so that a lost answer cannot make it count twice.
    const steady_time now = boot_clock::now();
    if (!this->unrecorded_usage.empty() || now < this->next_usage) {
        return;
    }
    this->next_usage = now + usage_period;
    this->unrecorded_usage = this->requests->take_usage();
    for (messages::usage_delta& each : this->tasks->take_usage()) {
        this->unrecorded_usage.push_back(std::move(each));
    }
    if (!this->unrecorded_usage.empty()) {
        ++this->usage_batch;
    }
}

} // namespace redwingwheel::agent
