#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "redwingwheel/control_loop.h"
#include "redwingwheel/file_log_storage.h"
#include "redwingwheel/replication.h"
#include "redwingwheel/rpc.h"

namespace redwingwheel::cluster {

/// Runs one replica: opens its data folder, connects it to the other replicas, and batches commands
/// so that they share a sync. Use on the control thread only.
class replica_host {
public:
    /// `options.address` (IP:port) is where the other replicas reach this one. Opens nothing yet.
    replica_host(std::string data_folder, const replication::replica_options& options,
                 std::string_view secret, kernel::control_loop& control_loop,
                 kernel::traffic_loop& traffic);
    ~replica_host();

    /// Opens the data folder and starts the replica from the state in it. Overwrites `hooks.send`
    /// and `hooks.random`. Errors: the folder is damaged, locked or not writable.
    [[nodiscard]] absl::Status open(replication::replica_hooks hooks);

    /// Destroys the replica; `open` starts it again from the data folder.
    void close();

    [[nodiscard]] bool is_open() const { return this->active_replica != nullptr; }

    /// Call only while the host is open.
    [[nodiscard]] replication::replica& replica() { return *this->active_replica; }
    [[nodiscard]] const replication::replica& replica() const { return *this->active_replica; }

    /// Queues a command; see replication::replica::propose. Errors: replication_errc, `not_leader`
    /// while the host is closed.
    void propose(std::string command, replication::replica::propose_callback done);

    /// See replication::replica::read_barrier. Errors as for `propose`.
    void confirm_leadership(replication::replica::status_callback done);

    /// Passes a message from another replica to this one; drops malformed messages, and all
    /// messages while the host is closed.
    void receive(const wire::incoming_request& request);

    /// Queues a flush on the control loop, so that everything proposed before it runs is written
    /// with one sync. No effect while a flush is queued.
    void schedule_flush();

    /// Address of the current leader; empty when this replica knows none or is closed.
    [[nodiscard]] std::string leader_address() const;

    /// Returns the client for the replica at `address`, created on first use and kept until
    /// `disconnect`.
    [[nodiscard]] wire::rpc_client& client_for(const std::string& address);

    /// Closes the connections to all other replicas.
    void disconnect();

private:
    void send(replication::replica_id to, const replication::peer_message& message);

    std::string folder;
    replication::replica_options options;
    std::string secret;
    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    std::unique_ptr<replication::posix_file_system> files;
    std::unique_ptr<replication::file_log_storage> storage;
    std::unique_ptr<replication::replica> active_replica;
    std::map<std::string, std::unique_ptr<wire::rpc_client>> clients;
    /// Addresses for answers to replicas that are not in the member list, from their messages.
    std::map<replication::replica_id, std::string> reply_addresses;
    bool flush_scheduled = false;
};

} // namespace redwingwheel::cluster
