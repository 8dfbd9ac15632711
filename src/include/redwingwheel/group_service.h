#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/byte_budget.h"
#include "redwingwheel/cluster_messages.h"
#include "redwingwheel/control_loop.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/leader_client.h"
#include "redwingwheel/member_change_plan.h"
#include "redwingwheel/replica_host.h"
#include "redwingwheel/replication.h"
#include "redwingwheel/rpc.h"
#include "redwingwheel/settings.h"

namespace redwingwheel::cluster {

/// Callbacks of the state machine that the group replicates. Called on the control thread.
struct state_machine_hooks {
    /// Applies the committed command at log index `index`. Commands arrive in log order.
    std::function<void(std::uint64_t index, const std::string& command)> apply;
    /// Returns the serialized state.
    std::function<std::string()> take_snapshot;
    /// Replaces the state by a serialized one. Errors: the bytes are malformed.
    std::function<absl::Status(std::string_view)> restore_snapshot;
    /// Clears the state, which is then rebuilt from the latest snapshot and the log.
    std::function<void()> reset;
    /// Called when this replica has become the leader of `term`, or is no longer the leader.
    std::function<void(bool leads, std::uint64_t term)> leadership_changed;
};

/// Discovers the other processes of a deployment, starting from the seed addresses. With a data
/// folder it also runs a replica of the replicated log, which helps to form the group, joins it, or
/// replaces a lost replica. Use on the control thread, but for `start`, `drain` and `stop`, which
/// run on another one, and `set_seeds`, which may be called from any thread.
class group_service : public kernel::service {
public:
    using answer_function = std::function<void(absl::StatusOr<std::string>)>;
    using leader_handler = std::function<void(const wire::incoming_request&, answer_function)>;

    group_service(const config::settings& settings, std::string_view secret,
                  kernel::control_loop& control_loop, kernel::traffic_loop& traffic);
    ~group_service() override;

    [[nodiscard]] std::string_view name() const override { return "group"; }
    /// Opens the data folder and the listening port. Errors: those of replica_host::open; the bind
    /// address is malformed or in use.
    [[nodiscard]] absl::Status start() override;
    /// Transfers leadership to another replica and keeps serving as a follower. Ignores `deadline`.
    void drain(steady_time deadline) override;
    void stop() override;

    /// Sets the state machine to which committed commands are applied. Call before `start`.
    void set_state_machine(state_machine_hooks state_machine);

    /// Sets the handler of calls of `kind`, which only the leader serves. Call before `start`.
    void set_leader_handler(messages::kind kind, leader_handler handler);

    /// Client that sends calls to the current leader, which may be this process.
    [[nodiscard]] control::leader_client& leader() { return *this->client; }

    /// Queues a command; see replication::replica::propose.
    void propose(std::string command, replication::replica::propose_callback done);

    /// See replication::replica::read_barrier.
    void confirm_leadership(replication::replica::status_callback done);

    /// See replication::replica::leads; false without a replica.
    [[nodiscard]] bool leads() const;

    /// Replaces the seed addresses from the settings.
    void set_seeds(const std::vector<std::string>& seeds);

private:
    void reopen_stopped_replica();
    [[nodiscard]] replication::replica_hooks replica_hooks();
    void on_request(wire::incoming_request request, const wire::reply_function& reply);
    void serve_request(wire::incoming_request request, const wire::reply_function& reply);
    void serve_leader_call(const wire::incoming_request& request,
                           const wire::reply_function& reply);
    [[nodiscard]] std::string make_hello_answer(const wire::incoming_request& request);
    void handle_form_group(const wire::incoming_request& request);
    void handle_join(const wire::incoming_request& request);

    [[nodiscard]] messages::peer_info own_info() const;
    [[nodiscard]] std::vector<std::string> replica_addresses() const;
    [[nodiscard]] std::string leader_address() const;
    void record_peer(const messages::peer_info& peer);

    void tick();
    void send_hello();
    /// Chooses the replica that forms the group and orders it to do so, when this process is the
    /// seed whose turn it is.
    void initiate_formation();
    /// Asks the leader to add this replica, unless it is a member with a known leader.
    void request_join();
    /// On the leader, starts the next change of the member list, if any.
    void start_member_change();

    struct known_peer {
        messages::peer_info info;
        steady_time last_received;
    };

    config::settings settings;
    std::string secret;
    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    state_machine_hooks state_machine;
    std::map<std::uint16_t, leader_handler> handlers;
    std::unique_ptr<control::leader_client> client;
    std::unique_ptr<replica_host> hosted_replica;
    std::unique_ptr<wire::rpc_server> server;
    /// Of the calls of clients that wait for the control thread.
    kernel::byte_budget waiting_calls;
    /// By address.
    std::map<std::string, known_peer> peers;
    /// Received while leading in the current term.
    join_request_list join_requests;
    bool stopping = false;
    bool draining = false;
    /// Leadership as last reported to the state machine.
    bool reported_leading = false;
    steady_time started_at;
    steady_time last_new_peer_at;
    steady_time next_hello;
    steady_time next_member_change;
    /// When to reopen the storage; set only while the replica is stopped by a storage failure.
    std::optional<steady_time> reopen_at;
};

} // namespace redwingwheel::cluster
