#include "redwingwheel/group_service.h"

#include <algorithm>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/message_reading.h"
#include "redwingwheel/messages.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::cluster {

namespace {

/// replica::tick must run at least four times per heartbeat interval.
constexpr milliseconds tick_period{25};
/// Covers several round trips and the retransmission of a lost packet, so that packet loss on a
/// link does not cost the leader its leadership.
constexpr milliseconds election_timeout{700};
constexpr milliseconds heartbeat_interval{150};
/// Interval of hello messages until the process knows a leader, and from then on.
constexpr milliseconds hello_period_without_leader{150};
constexpr milliseconds hello_period_with_leader{2000};
/// Delay before failed storage is opened again; full disks are usually cleared within seconds.
constexpr milliseconds reopen_delay{1000};
constexpr milliseconds member_change_period{200};
/// The address of a peer is passed on to others for this long after its last message.
constexpr milliseconds peer_lifetime{10000};
/// Memory that the calls of clients may hold until the control thread serves them. Gateways repeat
/// those that are refused.
constexpr std::size_t max_waiting_call_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t largest_part_of_waiting = 2;
constexpr std::size_t bytes_of_waiting_call = 4096;

} // namespace

group_service::group_service(const config::settings& chosen, std::string_view cluster_secret,
                             kernel::control_loop& control_loop, kernel::traffic_loop& traffic_loop)
    : settings(chosen), secret(cluster_secret), loop(control_loop), traffic(traffic_loop),
      waiting_calls(max_waiting_call_bytes, largest_part_of_waiting)
{
    this->client = std::make_unique<control::leader_client>(
        this->loop, this->traffic, this->settings.cluster.seeds, this->secret);
    replication::replica_options options;
    options.address = this->settings.cluster.listen;
    options.data_centre = this->settings.data_centre;
    options.election_timeout = election_timeout;
    options.heartbeat_interval = heartbeat_interval;
    this->hosted_replica = std::make_unique<replica_host>(this->settings.data_folder, options,
                                                          this->secret, this->loop, this->traffic);
}

group_service::~group_service() = default;

void group_service::set_state_machine(state_machine_hooks hooks)
{
    this->state_machine = std::move(hooks);
}

void group_service::set_leader_handler(messages::kind kind, leader_handler handler)
{
    this->handlers[static_cast<std::uint16_t>(kind)] = std::move(handler);
}

replication::replica_hooks group_service::replica_hooks()
{
    replication::replica_hooks hooks;
    hooks.apply = [this](const replication::log_entry& entry) {
        this->state_machine.apply(entry.index.value, entry.payload);
    };
    hooks.take_snapshot = [this] { return this->state_machine.take_snapshot(); };
    hooks.restore_snapshot = [this](const replication::snapshot& latest) {
        const absl::Status restored = this->state_machine.restore_snapshot(latest.state);
        if (!restored.ok()) {
            throw std::runtime_error("a snapshot that passed its checksum is not readable: " +
                                     errors::message_of(restored));
        }
    };
    hooks.leadership_changed = [this](const replication::leadership& now) {
        spdlog::info("event=leadership term={} leader={:016x} self={}", now.term.value,
                     now.leader.value_or(replication::replica_id()).value, now.self_leads);
        if (now.self_leads != this->reported_leading) {
            this->reported_leading = now.self_leads;
            this->join_requests.clear();
            this->state_machine.leadership_changed(now.self_leads, now.term.value);
        }
    };
    return hooks;
}

absl::Status group_service::start()
{
    this->started_at = boot_clock::now();
    this->last_new_peer_at = this->started_at;
    if (!this->settings.data_folder.empty()) {
        const absl::Status opened = this->hosted_replica->open(this->replica_hooks());
        if (!opened.ok()) {
            return opened;
        }
        this->client->add_addresses(this->replica_addresses());
    }
    if (!this->settings.cluster.listen.empty()) {
        const absl::StatusOr<wire::address> bind_address =
            wire::parse_address(this->settings.cluster.bind);
        if (!bind_address.ok()) {
            return bind_address.status();
        }
        this->server = std::make_unique<wire::rpc_server>(
            this->traffic, this->secret, wire::rpc_options(),
            [this](wire::incoming_request request, const wire::reply_function& reply) {
                this->on_request(std::move(request), reply);
            });
        const absl::Status listening = this->server->listen(*bind_address);
        if (!listening.ok()) {
            return listening;
        }
    }
    this->loop.post([this] { this->tick(); });
    this->loop.run_every(this->hosted_replica->is_open() ? tick_period
                                                         : hello_period_without_leader,
                         [this] { this->tick(); });
    spdlog::info("event=group_started address={} replica={} has_state={} founding={}",
                 this->settings.cluster.listen, this->hosted_replica->is_open(),
                 this->hosted_replica->is_open() && this->hosted_replica->replica().has_state(),
                 this->settings.cluster.founding);
    return absl::OkStatus();
}

void group_service::drain(steady_time deadline)
{
    static_cast<void>(deadline);
    this->loop.run_and_wait([this] {
        this->draining = true;
        if (this->hosted_replica->is_open()) {
            this->hosted_replica->replica().resign();
        }
    });
}

void group_service::stop()
{
    if (this->server != nullptr) {
        this->server->stop();
    }
    this->loop.run_and_wait([this] {
        this->stopping = true;
        this->hosted_replica->disconnect();
    });
}

bool group_service::leads() const
{
    return this->hosted_replica->is_open() && this->hosted_replica->replica().leads();
}

void group_service::propose(std::string command, replication::replica::propose_callback done)
{
    this->hosted_replica->propose(std::move(command), std::move(done));
}

void group_service::confirm_leadership(replication::replica::status_callback done)
{
    this->hosted_replica->confirm_leadership(std::move(done));
}

void group_service::set_seeds(const std::vector<std::string>& seeds)
{
    this->loop.post([this, seeds] {
        this->settings.cluster.seeds = seeds;
        this->client->add_addresses(seeds);
    });
}

void group_service::on_request(wire::incoming_request request, const wire::reply_function& reply)
{
    kernel::byte_budget::lease memory;
    if (static_cast<messages::kind>(request.kind) == messages::kind::job_call) {
        memory = this->waiting_calls.take(request.body.size() + bytes_of_waiting_call);
        if (memory == nullptr) {
            messages::control_reply refused;
            refused.result = messages::control_reply::result_kind::busy;
            reply(pack(refused));
            return;
        }
    }
    this->loop.post([this, request = std::move(request), reply, memory]() mutable {
        if (!this->stopping) {
            this->serve_request(std::move(request), reply);
        }
    });
}

void group_service::serve_request(wire::incoming_request request, const wire::reply_function& reply)
{
    switch (static_cast<messages::kind>(request.kind)) {
    case messages::kind::hello:
        reply(this->make_hello_answer(request));
        return;
    case messages::kind::form_group:
        this->handle_form_group(request);
        reply(std::string());
        return;
    case messages::kind::join:
        this->handle_join(request);
        reply(std::string());
        return;
    case messages::kind::replication:
        this->hosted_replica->receive(request);
        reply(std::string());
        return;
    default:
        this->serve_leader_call(request, reply);
    }
}

void group_service::serve_leader_call(const wire::incoming_request& request,
                                      const wire::reply_function& reply)
{
    messages::control_reply answer;
    if (!this->reported_leading || !this->leads()) {
        answer.result = messages::control_reply::result_kind::not_leader;
        answer.leader = this->leader_address();
        reply(pack(answer));
        return;
    }
    const auto handler = this->handlers.find(request.kind);
    if (handler == this->handlers.end()) {
        reply(absl::InvalidArgumentError(fmt::format("unknown message kind {}", request.kind)));
        return;
    }
    handler->second(request, [reply](absl::StatusOr<std::string> body) {
        messages::control_reply served;
        if (!body.ok()) {
            const std::optional<replication::replication_errc> code =
                error_code<replication::replication_errc>(body.status());
            if (!code.has_value()) {
                reply(body.status());
                return;
            }
            // Only with these two errors is the command certainly not written to the log.
            served.result = code == replication::replication_errc::not_leader
                                ? messages::control_reply::result_kind::not_leader
                            : code == replication::replication_errc::busy
                                ? messages::control_reply::result_kind::busy
                                : messages::control_reply::result_kind::unavailable;
            reply(pack(served));
            return;
        }
        served.result = messages::control_reply::result_kind::served;
        served.body = *std::move(body);
        reply(pack(served));
    });
}

messages::peer_info group_service::own_info() const
{
    messages::peer_info info;
    info.address = this->settings.cluster.listen;
    info.data_centre = this->settings.data_centre;
    info.founding = this->settings.cluster.founding;
    if (this->hosted_replica->is_open()) {
        info.replica = true;
        info.identity = this->hosted_replica->replica().identity();
        info.has_state = this->hosted_replica->replica().has_state();
    }
    return info;
}

std::vector<std::string> group_service::replica_addresses() const
{
    std::vector<std::string> addresses;
    if (this->hosted_replica->is_open()) {
        for (const replication::member& each : this->hosted_replica->replica().members()) {
            addresses.push_back(each.address);
        }
    }
    const steady_time now = boot_clock::now();
    for (const auto& [address, peer] : this->peers) {
        if (peer.info.replica && now - peer.last_received < peer_lifetime) {
            addresses.push_back(address);
        }
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    return addresses;
}

std::string group_service::leader_address() const
{
    if (!this->hosted_replica->is_open()) {
        return this->client->leader_reachable() ? this->client->target_address() : "";
    }
    return this->draining && this->leads() ? "" : this->hosted_replica->leader_address();
}

void group_service::record_peer(const messages::peer_info& peer)
{
    if (peer.address.empty()) {
        return;
    }
    const steady_time now = boot_clock::now();
    const bool is_new = !this->peers.contains(peer.address);
    this->peers[peer.address] = {peer, now};
    if (is_new) {
        this->last_new_peer_at = now;
    }
    if (peer.replica && peer.address != this->settings.cluster.listen) {
        this->client->add_addresses(std::span(&peer.address, 1));
    }
}

std::string group_service::make_hello_answer(const wire::incoming_request& request)
{
    const std::optional<messages::hello> hello = wire::read_message<messages::hello>(request);
    if (hello.has_value()) {
        this->record_peer(hello->self);
        this->client->add_addresses(hello->replicas);
    }
    messages::hello_answer answer;
    answer.self = this->own_info();
    answer.replicas = this->replica_addresses();
    answer.leader = this->leader_address();
    answer.term = !this->hosted_replica->is_open()
                      ? this->client->leader_term()
                      : this->hosted_replica->replica().status().term.value;
    return pack(answer);
}

void group_service::handle_form_group(const wire::incoming_request& request)
{
    const std::optional<messages::form_group> order =
        wire::read_message<messages::form_group>(request);
    if (!order.has_value() || !this->hosted_replica->is_open() ||
        this->hosted_replica->replica().has_state() || !this->settings.cluster.founding) {
        return;
    }
    const absl::Status formed = this->hosted_replica->replica().form_group(order->members);
    spdlog::info("event=group_formed members={} result=\"{}\"", order->members.size(),
                 formed.ToString());
}

void group_service::handle_join(const wire::incoming_request& request)
{
    const std::optional<replication::member> candidate =
        wire::read_message<replication::member>(request);
    if (!candidate.has_value() || !this->leads()) {
        return;
    }
    if (this->join_requests.record(*candidate, boot_clock::now())) {
        spdlog::info("event=join_requested address={} identity={:016x}", candidate->address,
                     candidate->id.value);
    }
}

void group_service::tick()
{
    if (this->stopping) {
        return;
    }
    const steady_time now = boot_clock::now();
    this->reopen_stopped_replica();
    if (this->hosted_replica->is_open()) {
        this->hosted_replica->replica().tick();
        if (this->draining && this->leads()) {
            this->hosted_replica->replica().resign();
        }
    }
    if (now >= this->next_hello) {
        this->next_hello =
            now + (this->client->leader_reachable() || this->leads() ? hello_period_with_leader
                                                                     : hello_period_without_leader);
        this->send_hello();
        this->initiate_formation();
        this->request_join();
    }
    if (now >= this->next_member_change) {
        this->next_member_change = now + member_change_period;
        this->start_member_change();
    }
}

/// Storage accepts no writes after a failed write or sync. The replica is therefore closed and,
/// after a delay, started again from what is on the disk, so that it does not rely on unsynced
/// data.
void group_service::reopen_stopped_replica()
{
    const steady_time now = boot_clock::now();
    if (this->hosted_replica->is_open() &&
        this->hosted_replica->replica().status().role == replication::replica_role::stopped) {
        spdlog::error("event=replica_stopped reason=\"{}\"",
                      this->hosted_replica->replica().status().stopped_reason);
        if (this->reported_leading) {
            this->reported_leading = false;
            this->state_machine.leadership_changed(
                false, this->hosted_replica->replica().status().term.value);
        }
        this->hosted_replica->close();
        this->reopen_at = now + reopen_delay;
    }
    if (!this->reopen_at.has_value() || now < *this->reopen_at) {
        return;
    }
    this->state_machine.reset();
    const absl::Status opened = this->hosted_replica->open(this->replica_hooks());
    if (opened.ok()) {
        spdlog::info("event=replica_reopened has_state={}",
                     this->hosted_replica->replica().has_state());
        this->reopen_at.reset();
        return;
    }
    spdlog::warn("event=replica_not_reopened error=\"{}\"", errors::message_of(opened));
    this->hosted_replica->close();
    this->reopen_at = now + reopen_delay;
}

} // namespace redwingwheel::cluster
