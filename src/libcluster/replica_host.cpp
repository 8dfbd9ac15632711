#include "redwingwheel/replica_host.h"

#include <random>

#include "redwingwheel/message_reading.h"
#include "redwingwheel/messages.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::cluster {

namespace {

constexpr milliseconds peer_call_timeout{2000};
/// Short enough that a restarted replica is reconnected within one election timeout.
constexpr milliseconds max_peer_reconnect_wait{200};

std::uint64_t random_bits()
{
    static thread_local std::mt19937_64 engine(std::random_device{}());
    return engine();
}

} // namespace

replica_host::replica_host(std::string data_folder, const replication::replica_options& chosen,
                           std::string_view cluster_secret, kernel::control_loop& control_loop,
                           kernel::traffic_loop& traffic_loop)
    : folder(std::move(data_folder)), options(chosen), secret(cluster_secret), loop(control_loop),
      traffic(traffic_loop)
{
}

replica_host::~replica_host() = default;

absl::Status replica_host::open(replication::replica_hooks hooks)
{
    hooks.send = [this](replication::replica_id to, const replication::peer_message& message) {
        this->send(to, message);
    };
    hooks.random = random_bits;
    this->files = std::make_unique<replication::posix_file_system>(this->folder);
    this->storage = std::make_unique<replication::file_log_storage>(*this->files, random_bits);
    this->active_replica = std::make_unique<replication::replica>(
        this->options, *this->storage, boot_clock_function(), std::move(hooks));
    return this->active_replica->start();
}

void replica_host::close()
{
    this->active_replica.reset();
}

void replica_host::propose(std::string command, replication::replica::propose_callback done)
{
    if (!this->is_open()) {
        done(make_error(replication::replication_errc::not_leader,
                        "this process has no open replica"));
        return;
    }
    this->active_replica->propose(std::move(command), std::move(done));
    this->schedule_flush();
}

void replica_host::confirm_leadership(replication::replica::status_callback done)
{
    if (!this->is_open()) {
        done(make_error(replication::replication_errc::not_leader,
                        "this process has no open replica"));
        return;
    }
    this->active_replica->read_barrier(std::move(done));
    this->schedule_flush();
}

void replica_host::receive(const wire::incoming_request& request)
{
    const std::optional<replication::peer_message> message =
        wire::read_message<replication::peer_message>(request);
    if (!message.has_value() || !this->is_open()) {
        return;
    }
    if (!message->reply_address.empty()) {
        this->reply_addresses[message->from] = message->reply_address;
    }
    this->active_replica->receive(message->from, *message);
}

void replica_host::schedule_flush()
{
    if (this->flush_scheduled) {
        return;
    }
    this->flush_scheduled = true;
    this->loop.post([this] {
        this->flush_scheduled = false;
        if (this->is_open()) {
            this->active_replica->flush();
        }
    });
}

std::string replica_host::leader_address() const
{
    if (!this->is_open()) {
        return "";
    }
    const std::optional<replication::replica_id> leader = this->active_replica->known_leader();
    if (!leader.has_value()) {
        return "";
    }
    const replication::member* const member =
        replication::find_member(this->active_replica->members(), *leader);
    return member == nullptr ? "" : member->address;
}

void replica_host::send(replication::replica_id to, const replication::peer_message& message)
{
    std::string address;
    const replication::member* const member =
        replication::find_member(this->active_replica->members(), to);
    if (member != nullptr) {
        address = member->address;
    }
    else {
        const auto found = this->reply_addresses.find(to);
        if (found == this->reply_addresses.end()) {
            return;
        }
        address = found->second;
    }
    this->client_for(address).call(static_cast<std::uint16_t>(messages::kind::replication),
                                   pack(message), boot_clock::now() + peer_call_timeout,
                                   [](const absl::StatusOr<std::string>&) {});
}

wire::rpc_client& replica_host::client_for(const std::string& address)
{
    std::unique_ptr<wire::rpc_client>& found = this->clients[address];
    if (found == nullptr) {
        wire::rpc_options client_options;
        client_options.max_reconnect_wait = max_peer_reconnect_wait;
        found = std::make_unique<wire::rpc_client>(
            this->traffic, wire::parse_address(address).value_or(wire::address()), this->secret,
            client_options);
    }
    return *found;
}

void replica_host::disconnect()
{
    this->clients.clear();
}

} // namespace redwingwheel::cluster
