#include "redwingwheel/group_service.h"

#include <algorithm>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/message_reading.h"
#include "redwingwheel/messages.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::cluster {

namespace {

/// Four times per heartbeat of the replicated log at the least.
constexpr milliseconds tick_period{25};
/// Several round trips and a lost packet's repetition, so that a lossy link unseats no leader.
constexpr milliseconds election_timeout{700};
constexpr milliseconds heartbeat_interval{150};
/// Introductions until the process has found a leader, and from then on.
constexpr milliseconds eager_introduction_period{150};
constexpr milliseconds calm_introduction_period{2000};
/// A storage that failed is opened again after this long; full disks are cleared in seconds.
constexpr milliseconds reopen_wait{1000};
constexpr milliseconds seat_step_period{200};
/// Peers that were not heard of for this long are not passed on.
constexpr milliseconds peer_life{10000};

} // namespace

group_service::group_service(const config::settings& chosen, std::string_view cluster_secret,
                             kernel::control_loop& control_loop, kernel::traffic_loop& traffic_loop)
    : settings(chosen), secret(cluster_secret), loop(control_loop), traffic(traffic_loop)
{
    this->client = std::make_unique<control::leader_client>(
        this->loop, this->traffic, this->settings.cluster.seeds, this->secret);
    replication::replica_options options;
    options.address = this->settings.cluster.listen;
    options.data_centre = this->settings.data_centre;
    options.election_timeout = election_timeout;
    options.heartbeat_interval = heartbeat_interval;
    this->member = std::make_unique<replica_host>(this->settings.data_folder, options, this->secret,
                                                  this->loop, this->traffic);
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
    hooks.restore_snapshot = [this](const replication::snapshot& from) {
        const absl::Status restored = this->state_machine.restore_snapshot(from.state);
        if (!restored.ok()) {
            throw std::runtime_error("a snapshot that passed its checksum is not readable: " +
                                     errors::message_of(restored));
        }
    };
    hooks.leadership_changed = [this](const replication::leadership& now) {
        spdlog::info("event=leadership term={} leader={:016x} self={}", now.term.value,
                     now.leader.value_or(replication::replica_id()).value, now.self_leads);
        if (now.self_leads != this->led) {
            this->led = now.self_leads;
            this->joiners.clear();
            this->state_machine.leadership_changed(now.self_leads, now.term.value);
        }
    };
    return hooks;
}

absl::Status group_service::start()
{
    this->started_at = boot_clock::now();
    this->last_new_peer = this->started_at;
    if (!this->settings.data_folder.empty()) {
        const absl::Status opened = this->member->open(this->replica_hooks());
        if (!opened.ok()) {
            return opened;
        }
        this->client->add_addresses(this->replica_addresses());
    }
    if (!this->settings.cluster.listen.empty()) {
        const absl::StatusOr<wire::address> on = wire::parse_address(this->settings.cluster.bind);
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
    }
    this->loop.post([this] { this->tick(); });
    this->loop.run_every(this->member->is_open() ? tick_period : eager_introduction_period,
                         [this] { this->tick(); });
    spdlog::info("event=group_started address={} replica={} has_state={} founding={}",
                 this->settings.cluster.listen, this->member->is_open(),
                 this->member->is_open() && this->member->replica().has_state(),
                 this->settings.cluster.founding);
    return absl::OkStatus();
}

void group_service::drain(steady_time deadline)
{
    static_cast<void>(deadline);
    this->loop.run_and_wait([this] {
        this->draining = true;
        if (this->member->is_open()) {
            this->member->replica().resign();
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
        this->member->disconnect();
    });
}

bool group_service::leads() const
{
    return this->member->is_open() && this->member->replica().leads();
}

void group_service::propose(std::string command, replication::replica::propose_callback done)
{
    this->member->propose(std::move(command), std::move(done));
}

void group_service::confirm_leadership(replication::replica::status_callback done)
{
    this->member->confirm_leadership(std::move(done));
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
    this->loop.post([this, request = std::move(request), reply]() mutable {
        if (!this->stopping) {
            this->serve_request(std::move(request), reply);
        }
    });
}

void group_service::serve_request(wire::incoming_request request, const wire::reply_function& reply)
{
    switch (static_cast<messages::kind>(request.kind)) {
    case messages::kind::hello:
        reply(this->hello_reply(request));
        return;
    case messages::kind::form_group:
        this->handle_form_group(request);
        reply(std::string());
        return;
    case messages::kind::join:
        this->serve_join(request);
        reply(std::string());
        return;
    case messages::kind::replication:
        this->member->receive(request);
        reply(std::string());
        return;
    default:
        this->serve_leader(request, reply);
    }
}

void group_service::serve_leader(const wire::incoming_request& request,
                                 const wire::reply_function& reply)
{
    messages::control_reply answer;
    if (!this->led || !this->leads()) {
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
            // Only these two are refused before anything is written.
            const bool not_written = code == replication::replication_errc::not_leader ||
                                     code == replication::replication_errc::busy;
            served.result = not_written ? messages::control_reply::result_kind::not_leader
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
    if (this->member->is_open()) {
        info.replica = true;
        info.identity = this->member->replica().identity();
        info.has_state = this->member->replica().has_state();
    }
    return info;
}

std::vector<std::string> group_service::replica_addresses() const
{
    std::vector<std::string> addresses;
    if (this->member->is_open()) {
        for (const replication::member& each : this->member->replica().members()) {
            addresses.push_back(each.address);
        }
    }
    const steady_time now = boot_clock::now();
    for (const auto& [address, peer] : this->peers) {
        if (peer.info.replica && now - peer.last_heard < peer_life) {
            addresses.push_back(address);
        }
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    return addresses;
}

std::string group_service::leader_address() const
{
    if (!this->member->is_open()) {
        return this->client->leader_reachable() ? this->client->target_address() : "";
    }
    return this->draining && this->leads() ? "" : this->member->leader_address();
}

void group_service::note_peer(const messages::peer_info& peer)
{
    if (peer.address.empty()) {
        return;
    }
    const steady_time now = boot_clock::now();
    const bool is_new = !this->peers.contains(peer.address);
    this->peers[peer.address] = {peer, now};
    if (is_new) {
        this->last_new_peer = now;
    }
    if (peer.replica && peer.address != this->settings.cluster.listen) {
        this->client->add_addresses(std::span(&peer.address, 1));
    }
}

std::string group_service::hello_reply(const wire::incoming_request& request)
{
    const std::optional<messages::hello> from = wire::read_message<messages::hello>(request);
    if (from.has_value()) {
        this->note_peer(from->self);
        this->client->add_addresses(from->replicas);
    }
    messages::hello_answer answer;
    answer.self = this->own_info();
    answer.replicas = this->replica_addresses();
    answer.leader = this->leader_address();
    answer.term = !this->member->is_open() ? this->client->leader_term()
                                           : this->member->replica().status().term.value;
    return pack(answer);
}

void group_service::handle_form_group(const wire::incoming_request& request)
{
    const std::optional<messages::form_group> order =
        wire::read_message<messages::form_group>(request);
    if (!order.has_value() || !this->member->is_open() || this->member->replica().has_state() ||
        !this->settings.cluster.founding) {
        return;
    }
    const absl::Status formed = this->member->replica().form_group(order->members);
    spdlog::info("event=group_founded members={} result=\"{}\"", order->members.size(),
                 formed.ToString());
}

void group_service::serve_join(const wire::incoming_request& request)
{
    const std::optional<replication::member> joiner =
        wire::read_message<replication::member>(request);
    if (!joiner.has_value() || !this->leads()) {
        return;
    }
    if (!this->joiners.contains(joiner->id)) {
        spdlog::info("event=replica_wants_seat address={} identity={:016x}", joiner->address,
                     joiner->id.value);
    }
    this->joiners[joiner->id] = {*joiner, boot_clock::now()};
}

void group_service::tick()
{
    if (this->stopping) {
        return;
    }
    const steady_time now = boot_clock::now();
    this->reopen_stopped_replica();
    if (this->member->is_open()) {
        this->member->replica().tick();
        if (this->draining && this->leads()) {
            this->member->replica().resign();
        }
    }
    if (now >= this->next_introduction) {
        this->next_introduction =
            now + (this->client->leader_reachable() || this->leads() ? calm_introduction_period
                                                                     : eager_introduction_period);
        this->introduce();
        this->consider_founding();
        this->ask_to_join();
    }
    if (now >= this->next_seat_step) {
        this->next_seat_step = now + seat_step_period;
        this->advance_seats();
    }
}

/// A storage takes nothing more after a failed write or sync. What is on the disk is read again, so
/// that nothing that was not synced is relied on.
void group_service::reopen_stopped_replica()
{
    const steady_time now = boot_clock::now();
    if (this->member->is_open() &&
        this->member->replica().status().role == replication::replica_role::stopped) {
        spdlog::error("event=replica_stopped reason=\"{}\"",
                      this->member->replica().status().stopped_reason);
        if (this->led) {
            this->led = false;
            this->state_machine.leadership_changed(false,
                                                   this->member->replica().status().term.value);
        }
        this->member->close();
        this->reopen_at = now + reopen_wait;
    }
    if (!this->reopen_at.has_value() || now < *this->reopen_at) {
        return;
    }
    this->state_machine.reset();
    const absl::Status opened = this->member->open(this->replica_hooks());
    if (opened.ok()) {
        spdlog::info("event=replica_reopened has_state={}", this->member->replica().has_state());
        this->reopen_at.reset();
        return;
    }
    spdlog::warn("event=replica_not_reopened error=\"{}\"", errors::message_of(opened));
    this->member->close();
    this->reopen_at = now + reopen_wait;
}

} // namespace redwingwheel::cluster
