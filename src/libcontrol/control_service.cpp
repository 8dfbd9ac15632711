#include "redwingwheel/control_service.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "operator_interface.h"
#include "redwingwheel/message_reading.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::control {

namespace {

constexpr milliseconds tick_period{20};
constexpr milliseconds decision_round_period{50};
constexpr milliseconds group_search_period{250};
/// The oldest results of applied commands that no proposer on this replica has taken are dropped
/// beyond this number.
constexpr std::size_t max_unclaimed_results = 4096;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

replication::replica_options replica_options_from(const config::settings& settings)
{
    replication::replica_options options;
    options.address = settings.control.listen;
    options.data_centre = settings.data_centre;
    return options;
}

controller_options options_from(const config::settings& settings)
{
    controller_options options;
    options.permits.lifetime = settings.timing.permit;
    options.permits.poll_period = settings.timing.poll;
    options.gangs.permits = options.permits;
    return options;
}

absl::Status unreadable()
{
    return absl::InvalidArgumentError("the message is not readable");
}

} // namespace

control_service::control_service(const config::settings& chosen, std::string_view cluster_secret,
                                 kernel::control_loop& control_loop,
                                 kernel::traffic_loop& traffic_loop)
    : settings(chosen), secret(cluster_secret), loop(control_loop), traffic(traffic_loop),
      host(chosen.data_folder, replica_options_from(chosen), cluster_secret, control_loop,
           traffic_loop),
      state(check_feasibility)
{
    controller_hooks hooks;
    hooks.propose = [this](const command& of, command_callback done) {
        this->propose(of, std::move(done));
    };
    hooks.wall_clock_ms = unix_ms;
    this->decisions = std::make_unique<controller>(options_from(chosen), boot_clock_function(),
                                                   this->state, hooks);
    this->operator_api = std::make_unique<operator_interface>(
        this->state, *this->decisions, room_of_mb(chosen.limits.job_memory_mb), hooks,
        boot_clock_function(), [this] { return this->host.replica().status(); });
}

control_service::~control_service() = default;

replication::replica_hooks control_service::replica_hooks()
{
    replication::replica_hooks hooks;
    hooks.apply = [this](const replication::log_entry& entry) { this->apply(entry); };
    hooks.take_snapshot = [this] { return this->state.pack_snapshot(); };
    hooks.restore_snapshot = [this](const replication::snapshot& from) { this->restore(from); };
    hooks.leadership_changed = [this](const replication::leadership& current) {
        this->on_leadership_changed(current);
    };
    return hooks;
}

absl::Status control_service::start()
{
    const absl::Status opened = this->host.open(this->replica_hooks());
    if (!opened.ok()) {
        return opened;
    }
    const absl::StatusOr<wire::address> listen_address =
        wire::parse_address(this->settings.control.listen);
    if (!listen_address.ok()) {
        return listen_address.status();
    }
    this->server = std::make_unique<wire::rpc_server>(
        this->traffic, this->secret, wire::rpc_options(),
        [this](wire::incoming_request request, const wire::reply_function& reply) {
            this->on_request(std::move(request), reply);
        });
    const absl::Status listening = this->server->listen(*listen_address);
    if (!listening.ok()) {
        return listening;
    }
    this->loop.run_every(tick_period, [this] { this->tick(); });
    spdlog::info("event=control_started address={} identity={:016x} has_state={}",
                 this->settings.control.listen, this->host.replica().identity().value,
                 this->host.replica().has_state());
    return absl::OkStatus();
}

void control_service::drain(steady_time deadline)
{
    static_cast<void>(deadline);
    this->loop.run_and_wait([this] { this->host.replica().resign(); });
}

void control_service::stop()
{
    this->server->stop();
    this->loop.run_and_wait([this] {
        this->stopping = true;
        this->decisions->end_leadership();
        this->host.disconnect();
    });
}

void control_service::on_request(wire::incoming_request request, const wire::reply_function& reply)
{
    this->loop.post([this, request = std::move(request), reply]() mutable {
        if (!this->stopping) {
            this->serve(std::move(request), reply);
        }
    });
}

void control_service::serve(wire::incoming_request request, const wire::reply_function& reply)
{
    switch (static_cast<messages::kind>(request.kind)) {
    case messages::kind::replication:
        this->host.receive(request);
        reply(std::string());
        return;
    case messages::kind::formation:
        reply(this->formation_reply());
        return;
    case messages::kind::join:
        this->serve_join(request);
        reply(std::string());
        return;
    default:
        this->serve_leader(std::move(request), reply);
    }
}

void control_service::serve_leader(wire::incoming_request request,
                                   const wire::reply_function& reply)
{
    messages::control_reply answer;
    if (!this->host.replica().leads() || !this->decisions->leading()) {
        answer.result = messages::control_reply::result_kind::not_leader;
        answer.leader = this->host.leader_address();
        reply(pack(answer));
        return;
    }
    const body_callback done = [reply](absl::StatusOr<std::string> body) {
        messages::control_reply outcome;
        if (!body.ok()) {
            reply(body.status());
            return;
        }
        outcome.result = messages::control_reply::result_kind::served;
        outcome.body = *std::move(body);
        reply(pack(outcome));
    };
    switch (static_cast<messages::kind>(request.kind)) {
    case messages::kind::agent_poll:
        this->serve_agent_poll(request, done);
        return;
    case messages::kind::entry_poll:
        this->serve_entry_poll(request, done);
        return;
    case messages::kind::claim:
        this->serve_claim(request, done);
        return;
    case messages::kind::look_up_claim:
        this->serve_claim_look_up(request, done);
        return;
    case messages::kind::operator_call:
        this->serve_operator_call(request, done);
        return;
    default:
        done(absl::InvalidArgumentError(fmt::format("unknown message kind {}", request.kind)));
    }
}

void control_service::serve_agent_poll(const wire::incoming_request& request,
                                       const body_callback& done)
{
    const std::optional<messages::agent_poll> poll =
        wire::read_message<messages::agent_poll>(request);
    if (!poll.has_value()) {
        done(unreadable());
        return;
    }
    const std::optional<messages::agent_poll_answer> answer = this->decisions->poll(*poll);
    if (!answer.has_value()) {
        done(absl::FailedPreconditionError("the poll is older than one that was answered"));
        return;
    }
    done(pack(*answer));
    if (this->decisions->take_reports_changed()) {
        this->schedule_decision_round();
    }
}

void control_service::serve_entry_poll(const wire::incoming_request& request,
                                       const body_callback& done)
{
    const std::optional<messages::entry_poll> poll =
        wire::read_message<messages::entry_poll>(request);
    if (!poll.has_value()) {
        done(unreadable());
        return;
    }
    done(pack(this->decisions->poll(*poll)));
}

void control_service::serve_claim(const wire::incoming_request& request, const body_callback& done)
{
    absl::StatusOr<request::claim_command> claim = request::unpack_command(request.body);
    if (!claim.ok()) {
        done(claim.status());
        return;
    }
    // Claims carry the time of the leader's clock, so that the age of a claim does not depend on
    // the clock of an entry.
    std::visit(
        [](auto& each) {
            if constexpr (requires { each.now; }) {
                each.now = unix_ms();
            }
            else {
                each.issued_at = unix_ms();
            }
        },
        *claim);
    this->propose(apply_claim_command{*std::move(claim)},
                  [done](const absl::StatusOr<command_result>& result) {
                      if (!result.ok()) {
                          done(result.status());
                          return;
                      }
                      done(pack(messages::to_message(*result->claim_result)));
                  });
}

void control_service::serve_claim_look_up(const wire::incoming_request& request,
                                          const body_callback& done)
{
    const std::optional<messages::look_up_claim> wanted =
        wire::read_message<messages::look_up_claim>(request);
    if (!wanted.has_value()) {
        done(unreadable());
        return;
    }
    done(pack(messages::to_message(
        this->state.claims().look_up(wanted->account, wanted->key, wanted->payload_digest))));
}

void control_service::serve_operator_call(const wire::incoming_request& request,
                                          const body_callback& done)
{
    const std::optional<messages::operator_call> call =
        wire::read_message<messages::operator_call>(request);
    if (!call.has_value()) {
        done(unreadable());
        return;
    }
    this->operator_api->serve(
        *call, [done](const messages::operator_answer& answer) { done(pack(answer)); });
    this->schedule_decision_round();
}

void control_service::apply(const replication::log_entry& entry)
{
    const absl::StatusOr<command> read_command = unpack_command(entry.payload);
    if (!read_command.ok()) {
        // Decoding is deterministic: every replica skips this entry, and their states stay equal.
        spdlog::error("event=command_skipped index={} error=\"{}\"", entry.index.value,
                      errors::message_of(read_command.status()));
        return;
    }
    command_result result = this->state.apply(*read_command, entry.index.value);
    this->decisions->applied(*read_command, result, entry.index.value);
    this->unclaimed_results.emplace(entry.index.value, std::move(result));
    while (this->unclaimed_results.size() > max_unclaimed_results) {
        this->unclaimed_results.erase(this->unclaimed_results.begin());
    }
}

void control_service::restore(const replication::snapshot& from)
{
    const absl::Status restored = this->state.restore_snapshot(from.state);
    if (!restored.ok()) {
        throw std::runtime_error(
            "cannot decode the control state of a snapshot whose checksum matches: " +
            errors::message_of(restored));
    }
    this->decisions->state_replaced();
}

void control_service::on_leadership_changed(const replication::leadership& current)
{
    if (current.self_leads) {
        this->decisions->begin_leadership(current.term.value);
        return;
    }
    this->decisions->end_leadership();
    this->join_requests.clear();
}

void control_service::propose(const command& of, command_callback done)
{
    this->host.propose(pack_command(of), [this, done = std::move(done)](
                                             absl::StatusOr<replication::log_index> index) {
        if (!index.ok()) {
            done(index.status());
            return;
        }
        const auto found = this->unclaimed_results.find(index->value);
        if (found == this->unclaimed_results.end()) {
            done(absl::InternalError("the result of the command is not kept"));
            return;
        }
        const command_result result = std::move(found->second);
        this->unclaimed_results.erase(found);
        done(result);
    });
}

void control_service::schedule_decision_round()
{
    if (this->decision_round_scheduled) {
        return;
    }
    this->decision_round_scheduled = true;
    this->loop.post([this] {
        this->decision_round_scheduled = false;
        this->run_decision_round();
    });
}

void control_service::tick()
{
    if (this->stopping) {
        return;
    }
    this->host.replica().tick();
    const steady_time now = boot_clock::now();
    if (now >= this->next_decision_round) {
        this->next_decision_round = now + decision_round_period;
        this->run_decision_round();
    }
    if (now >= this->next_group_search) {
        this->next_group_search = now + group_search_period;
        this->find_or_form_group();
        this->advance_replacement();
    }
}

void control_service::run_decision_round()
{
    if (!this->stopping && this->host.replica().leads()) {
        this->decisions->tick();
        this->operator_api->tick();
    }
}

control_service::gauges control_service::read_gauges()
{
    gauges read;
    this->loop.run_and_wait([this, &read] {
        const replication::replica_status status = this->host.replica().status();
        read.leads = this->host.replica().leads();
        read.term = status.term.value;
        read.commit_index = status.commit_index.value;
        read.revision = this->state.configuration().revision();
    });
    const wire::rpc_statistics traffic_counts = this->server->statistics();
    read.bytes_in = traffic_counts.bytes_in;
    read.bytes_out = traffic_counts.bytes_out;
    return read;
}

} // namespace redwingwheel::control
