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

/// Carries one replica: its data folder, its connections to the other replicas, and the syncs that
/// commands share. Lives on the control thread.
class replica_host {
public:
    /// `options.address` is where the other replicas reach this one.
    replica_host(std::string data_folder, const replication::replica_options& options,
                 std::string_view secret, kernel::control_loop& control_loop,
                 kernel::traffic_loop& traffic);
    ~replica_host();

    /// Opens the data folder and starts the replica on what it holds. `hooks.send` and
    /// `hooks.random` are set here. Errors: the folder is damaged or locked, or not writable.
    [[nodiscard]] absl::Status open(replication::replica_hooks hooks);

    /// Drops the replica; `open` reads the folder again.
    void close();

    [[nodiscard]] bool is_open() const { return this->opened != nullptr; }

    /// Call only while the host is open.
    [[nodiscard]] replication::replica& replica() { return *this->opened; }
    [[nodiscard]] const replication::replica& replica() const { return *this->opened; }

    /// Queues a command; see replication::replica::propose. Errors, also while the host is closed:
    /// replication_errc.
    void propose(std::string command, replication::replica::propose_callback done);

    /// See replication::replica::read_barrier. Errors as for `propose`.
    void confirm_leadership(replication::replica::status_callback done);

    /// Hands a message of another replica to this one; bytes that cannot be read are dropped.
    void receive(const wire::incoming_request& request);

    /// Writes, in one sync, everything that is proposed until the control thread is idle.
    void schedule_flush();

    /// Address of the leader that this replica follows; empty when it knows none.
    [[nodiscard]] std::string leader_address() const;

    /// A connection to another replica that is kept open.
    [[nodiscard]] wire::rpc_client& client_for(const std::string& address);

    /// Closes all connections.
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
    std::unique_ptr<replication::replica> opened;
    std::map<std::string, std::unique_ptr<wire::rpc_client>> clients;
    /// Where replicas that are not members yet want their answers.
    std::map<replication::replica_id, std::string> reply_addresses;
    bool flush_scheduled = false;
};

} // namespace redwingwheel::cluster
