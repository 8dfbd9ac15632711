#include "redwingwheel/entry_service.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <thread>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/json_text.h"
#include "redwingwheel/listener_options.h"
#include "redwingwheel/packing.h"
#include "redwingwheel/printable.h"
#include "request_flow.h"

namespace redwingwheel::entry {

namespace {

using nlohmann::json;

constexpr milliseconds poll_timeout{900};
constexpr milliseconds poll_retry_interval{100};
/// Some operator calls return only once a change is in force, which can take this long.
constexpr milliseconds operator_call_timeout{30'000};
constexpr std::uint64_t max_deadline_ms = 3'600'000;
/// Memory that the bodies of open requests may take, each of which is held up to three times on its
/// way, and the part of the free memory that one of them may take, as a divisor.
constexpr std::size_t max_open_body_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t largest_part_of_bodies = 4;
constexpr std::string_view request_path = "/v1/requests/";
constexpr std::string_view jobs_path = "/v1/jobs";
constexpr std::string_view data_centres_path = "/v1/data-centres/";
constexpr std::string_view expected_order_parameter = "expected_order_index";
constexpr std::string_view bearer_prefix = "Bearer ";

std::uint64_t draw_random()
{
    static thread_local std::mt19937_64 engine(std::random_device{}());
    return engine();
}

membership::permit_options permit_options_from(const config::settings& settings)
{
    membership::permit_options options;
    options.lifetime = settings.timing.permit;
    options.poll_period = settings.timing.poll;
    return options;
}

request::router_options router_options_from(const config::settings& settings)
{
    request::router_options options;
    options.local_data_centre = settings.data_centre;
    return options;
}

http::server_response error_response(int status, std::string_view outcome, std::string_view reason)
{
    http::server_response response;
    response.status = status;
    response.body = json_text::dump({{"outcome", outcome}, {"reason", reason}});
    response.headers = {{"X-Outcome", std::string(outcome)}};
    return response;
}

http::server_response bad_input(std::string_view field, std::string_view value,
                                std::string_view allowed)
{
    http::server_response response;
    response.status = 400;
    response.body = json_text::dump({{"outcome", "not_run"},
                                     {"problems",
                                      {{{"file", "request"},
                                        {"field", field},
                                        {"value", printable(value)},
                                        {"allowed", allowed}}}}});
    response.headers = {{"X-Outcome", "not_run"}};
    return response;
}

std::string token_digest_of(const http::server_request& request)
{
    const std::string_view header = request.header("authorization");
    if (!header.starts_with(bearer_prefix)) {
        return "";
    }
    return digest::token_digest(header.substr(bearer_prefix.size()));
}

std::string query_text(const http::header_map& query)
{
    std::string text;
    for (const auto& [name, value] : query) {
        text += fmt::format("{}{}={}", text.empty() ? "" : "&", name, value);
    }
    return text;
}

} // namespace

entry_service::entry_service(const config::settings& chosen, std::string_view cluster_secret,
                             kernel::control_loop& control_loop, kernel::traffic_loop& traffic_loop,
                             metrics::registry& registry)
    : settings(chosen), secret(cluster_secret), loop(control_loop), traffic(traffic_loop),
      metrics(registry),
      permits(boot_clock_function(), permit_options_from(chosen), chosen.data_centre),
      control(control_loop, traffic_loop, chosen.control.replicas, cluster_secret),
      standstills(boot_clock_function(),
                  [&control_loop](milliseconds period, std::function<void()> work) {
                      control_loop.run_every(period, std::move(work));
                  }),
      router(router_options_from(chosen), boot_clock_function(), draw_random),
      retries({}, boot_clock_function()), open_bodies(max_open_body_bytes, largest_part_of_bodies)
{
}

entry_service::~entry_service() = default;

absl::Status entry_service::start()
{
    const absl::StatusOr<wire::address> listen_address =
        wire::parse_address(this->settings.entry.listen);
    if (!listen_address.ok()) {
        return listen_address.status();
    }
    http::server_options options =
        http::listener_options(this->settings.limits, "entry", this->metrics);
    options.threads = static_cast<int>(this->settings.entry.threads);
    options.max_request_bytes = std::size_t{this->settings.entry.max_body_kb} * 1024;
    this->server = std::make_unique<http::server>(
        options, [this](http::server_request request, http::responder respond) {
            this->on_http(std::move(request), std::move(respond));
        });
    const absl::Status started = this->server->start(*listen_address);
    if (!started.ok()) {
        return started;
    }
    this->loop.post([this] { this->poll(); });
    spdlog::info("event=entry_started address={}", this->settings.entry.listen);
    return absl::OkStatus();
}

void entry_service::drain(steady_time deadline)
{
    this->loop.run_and_wait([this] { this->unhealthy = true; });
    const steady_time notice_end =
        std::min(deadline, boot_clock::now() + this->settings.entry.drain_notice);
    std::this_thread::sleep_until(notice_end);
    this->loop.run_and_wait([this] { this->draining = true; });
    const std::size_t open_requests = this->server->wait_until_idle(deadline);
    spdlog::info("event=entry_drained open_requests={}", open_requests);
}

void entry_service::stop()
{
    this->server->stop();
    this->loop.run_and_wait([this] { this->stopping = true; });
}

void entry_service::on_http(http::server_request request, http::responder respond)
{
    if (request.path == "/metrics") {
        respond({200, "text/plain; version=0.0.4", this->metrics.render(), {}});
        return;
    }
    const kernel::byte_budget::lease memory = this->open_bodies.take(request.body.size());
    if (memory == nullptr) {
        this->metrics.add("requests_without_room_total");
        const bool keyed = !request.header("idempotency-key").empty();
        respond(error_response(status_unavailable, keyed ? "unknown" : "not_run",
                               "too many requests are in progress"));
        return;
    }
    const steady_time sent_at = boot_clock::now() - this->standstills.max_waiting_time();
    const http::responder respond_and_release = [respond = std::move(respond),
                                                 memory](const http::server_response& response) {
        return respond(response);
    };
    this->loop.post(
        [this, sent_at, request = std::move(request), respond = respond_and_release]() mutable {
            if (!this->stopping) {
                this->serve(std::move(request), sent_at, respond);
            }
        });
}

void entry_service::serve(http::server_request request, steady_time sent_at,
                          const http::responder& respond)
{
    if (request.path == "/health") {
        const bool healthy = !this->unhealthy && this->has_valid_permit();
        const json body = {{"status", healthy           ? "serving"
                                      : this->unhealthy ? "draining"
                                                        : "no permit"},
                           {"revision", this->configuration.revision()}};
        respond({healthy ? 200 : 503, "application/json", json_text::dump(body), {}});
        return;
    }
    if (request.path.starts_with(request_path)) {
        this->serve_request(std::move(request), sent_at, respond);
        return;
    }
    this->forward(std::move(request), respond);
}

bool entry_service::has_valid_permit() const
{
    return this->revision_permitted && this->permits.lease_valid();
}

std::string entry_service::find_account(std::string_view token_digest) const
{
    std::string found;
    // Compares all digests, so that the response time does not reveal which one matched.
    for (const config::client_account& each : this->configuration.client_accounts()) {
        if (digest::equal_in_constant_time(each.token_digest, token_digest)) {
            found = each.name;
        }
    }
    return found;
}

std::string entry_service::find_operator(std::string_view token_digest) const
{
    std::string found;
    for (const config::operator_settings& each : this->settings.entry.operators) {
        if (digest::equal_in_constant_time(each.token_digest, token_digest)) {
            found = each.name;
        }
    }
    return found;
}

void entry_service::serve_request(http::server_request request, steady_time sent_at,
                                  const http::responder& respond)
{
    // With an idempotency key an earlier send may have run; its claim is not looked up here.
    const std::string_view unattempted_outcome =
        request.header("idempotency-key").empty() ? "not_run" : "unknown";
    if (this->draining) {
        respond(error_response(503, unattempted_outcome, "this entry is shutting down"));
        return;
    }
    if (!this->has_valid_permit()) {
        respond(error_response(503, unattempted_outcome, "this entry has no permit from control"));
        return;
    }
    const std::string account = this->find_account(token_digest_of(request));
    if (account.empty()) {
        respond(error_response(401, unattempted_outcome, "unknown token"));
        return;
    }
    const std::string service_name = request.path.substr(request_path.size());
    const config::service* const requested = this->configuration.find_service(service_name);
    const bool allowed =
        requested != nullptr && std::find(requested->accounts.begin(), requested->accounts.end(),
                                          account) != requested->accounts.end();
    if (!allowed) {
        respond(error_response(404, unattempted_outcome, "no such service for this account"));
        return;
    }
    caller_request incoming;
    incoming.account = account;
    incoming.service = *requested;
    incoming.account_weight = this->configuration.find_client_account(account)->weight;
    incoming.key = request.header("idempotency-key");
    if (!requested->idempotent && incoming.key.empty()) {
        respond(bad_input("Idempotency-Key", "(missing)",
                          "<unix seconds>-<rest>; the service is not idempotent"));
        return;
    }
    std::uint64_t deadline_ms = requested->default_deadline_ms;
    const std::string_view deadline_header = request.header("x-deadline-ms");
    if (!deadline_header.empty()) {
        const std::from_chars_result parsed = std::from_chars(
            deadline_header.data(), deadline_header.data() + deadline_header.size(), deadline_ms);
        if (parsed.ec != std::errc() ||
            parsed.ptr != deadline_header.data() + deadline_header.size() || deadline_ms == 0 ||
            deadline_ms > max_deadline_ms) {
            respond(bad_input("X-Deadline-Ms", deadline_header, "1 to 3600000"));
            return;
        }
    }
    incoming.deadline = sent_at + milliseconds(deadline_ms);
    if (boot_clock::now() >= incoming.deadline) {
        this->metrics.add("stale_requests_total");
        spdlog::warn("event=request_stale service={} account={} deadline_ms={}", service_name,
                     account, deadline_ms);
        respond(error_response(504, unattempted_outcome,
                               "the deadline may have passed before the request was read"));
        return;
    }
    incoming.content_type = request.header("content-type");
    incoming.body = std::move(request.body);
    const std::shared_ptr<request_flow> flow =
        std::make_shared<request_flow>(*this, std::move(incoming), respond);
    this->flows.emplace(flow.get(), flow);
    flow->start();
}

void entry_service::forward(http::server_request request, const http::responder& respond)
{
    const std::string caller_digest = token_digest_of(request);
    messages::operator_call call;
    call.caller = this->find_operator(caller_digest);
    call.role = messages::caller_role::operator_role;
    if (call.caller.empty()) {
        call.caller = this->find_account(caller_digest);
        call.role = messages::caller_role::client_account;
    }
    if (call.caller.empty()) {
        respond(error_response(401, "not_run", "unknown token"));
        return;
    }
    call.method = request.method;
    call.path = request.path;
    call.query = query_text(request.query);
    call.body = std::move(request.body);
    if (call.method == "POST" && call.path.starts_with(data_centres_path) &&
        !request.query.contains(expected_order_parameter)) {
        this->forward_data_centre_order(request, call, respond);
        return;
    }
    this->send_to_leader(call, boot_clock::now() + operator_call_timeout, respond);
}

void entry_service::forward_data_centre_order(const http::server_request& request,
                                              const messages::operator_call& call,
                                              const http::responder& respond)
{
    const steady_time deadline = boot_clock::now() + operator_call_timeout;
    messages::operator_call read = call;
    read.method = "GET";
    read.path = call.path.substr(0, call.path.rfind('/'));
    read.query.clear();
    this->send_to_leader(
        read, deadline,
        [this, call, deadline, waits = request.client_connected,
         respond](const http::server_response& response) {
            const json answer = json::parse(response.body, nullptr, false);
            if (response.status != 200 || !answer.is_object() || !answer.contains("order_index")) {
                respond(response);
                return;
            }
            // Checked after the read. A conflicting order that was accepted before the read was
            // sent after this operator had left; one accepted later changes the index.
            if (!waits()) {
                this->metrics.add("abandoned_orders_total");
                spdlog::warn("event=order_abandoned path={} operator={}", printable(call.path),
                             call.caller);
                respond(error_response(503, "not_run", "the operator has disconnected"));
                return;
            }
            messages::operator_call order = call;
            order.query +=
                fmt::format("{}{}={}", order.query.empty() ? "" : "&", expected_order_parameter,
                            json_text::dump(answer.at("order_index")));
            this->send_to_leader(order, deadline, respond);
        });
}

void entry_service::send_to_leader(const messages::operator_call& call, steady_time deadline,
                                   const std::function<void(const http::server_response&)>& done)
{
    const bool submits = call.method == "POST" && call.path == jobs_path;
    this->control.call_until_known(
        messages::kind::operator_call, pack(call), deadline, deadline,
        [done, submits](const absl::StatusOr<std::string>& body, bool earlier_unanswered) {
            if (!body.ok()) {
                const bool not_carried_out = error_code<control::leader_errc>(body.status()) ==
                                             control::leader_errc::no_leader;
                done(error_response(status_unavailable, not_carried_out ? "not_run" : "unknown",
                                    errors::message_of(body.status())));
                return;
            }
            const absl::StatusOr<messages::operator_answer> answer =
                unpack<messages::operator_answer>(*body);
            if (!answer.ok()) {
                done(error_response(status_bad_gateway, "unknown", "the answer is not readable"));
                return;
            }
            if (submits && earlier_unanswered && answer->status == status_unavailable) {
                // The earlier attempt may still reach a leader that has room.
                done(error_response(status_timeout, "unknown",
                                    "refused after an attempt that may yet be carried out"));
                return;
            }
            done({answer->status, "application/json", answer->body, {}});
        });
}

void entry_service::poll()
{
    if (this->stopping) {
        return;
    }
    messages::entry_poll message;
    message.entry = this->settings.name;
    message.data_centre = this->settings.data_centre;
    message.revision = this->configuration.revision();
    message.table_version = this->table_version;
    message.table_term = this->table_term;
    const steady_time sent_at = boot_clock::now();
    this->control.call_once(messages::kind::entry_poll, pack(message), sent_at + poll_timeout,
                            [this, sent_at](const absl::StatusOr<std::string>& body) {
                                this->on_poll_answer(sent_at, body);
                            });
}

void entry_service::on_poll_answer(steady_time sent_at, const absl::StatusOr<std::string>& body)
{
    milliseconds poll_delay = poll_retry_interval;
    if (body.ok()) {
        const absl::StatusOr<messages::entry_poll_answer> answer =
            unpack<messages::entry_poll_answer>(*body);
        if (answer.ok()) {
            this->apply_permit(*answer, sent_at);
            this->update_agents(*answer);
            // Reports a configuration change that was just applied at once.
            poll_delay = answer->catch_up.empty() ? this->settings.timing.poll : milliseconds(0);
        }
    }
    this->loop.run_at(boot_clock::now() + poll_delay, [this] { this->poll(); });
}

void entry_service::apply_permit(const messages::entry_poll_answer& answer, steady_time sent_at)
{
    for (const config::catch_up& each : answer.catch_up) {
        const absl::Status advanced = this->configuration.advance(each);
        if (!advanced.ok()) {
            spdlog::warn("event=catch_up_failed error=\"{}\"", errors::message_of(advanced));
            this->configuration = config::configuration();
            this->revision_permitted = false;
            return;
        }
        spdlog::info("event=revision_in_force revision={}", this->configuration.revision());
    }
    const membership::permit_result result =
        this->permits.accept(answer.granted, sent_at, this->configuration.revision());
    this->revision_permitted = result.kind == membership::permit_result_kind::accepted;
    this->metrics.set("redwingwheel_configuration_revision", "",
                      static_cast<double>(this->configuration.revision()));
}

void entry_service::update_agents(const messages::entry_poll_answer& answer)
{
    const steady_time now = boot_clock::now();
    for (const messages::agent_state& each : answer.agents) {
        if (each.lost) {
            this->router.remove_agent(each.worker);
            continue;
        }
        agent_link& link = this->agents[each.worker];
        if (link.client == nullptr || link.address != each.address) {
            link.address = each.address;
            link.client = std::make_unique<wire::rpc_client>(
                this->traffic, wire::parse_address(each.address).value_or(wire::address()),
                this->secret, wire::rpc_options());
        }
        request::agent_info info;
        info.worker = each.worker;
        info.data_centre = each.data_centre;
        info.incarnation = each.incarnation;
        info.may_start = each.may_start;
        info.shutting_down = each.shutting_down;
        info.ramp_end = now + milliseconds(each.ramp_remaining_ms);
        info.load = each.load;
        this->router.update_agent(info);
    }
    this->table_version = answer.table_version;
    this->table_term = answer.table_term;
}

wire::rpc_client* entry_service::agent_client(std::string_view worker)
{
    const auto found = this->agents.find(worker);
    return found == this->agents.end() ? nullptr : found->second.client.get();
}

void entry_service::remove_flow(const request_flow* ended_flow)
{
    this->flows.erase(ended_flow);
}

} // namespace redwingwheel::entry
