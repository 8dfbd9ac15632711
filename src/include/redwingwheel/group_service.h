#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

/// The replicated state machine that a group carries. Called on the control thread.
struct state_machine_hooks {
    std::function<void(std::uint64_t index, const std::string& command)> apply;
    std::function<std::string()> take_snapshot;
    std::function<absl::Status(std::string_view)> restore_snapshot;
    /// Forgets all state: it is applied again from the beginning.
    std::function<void()> reset;
    /// The replica began to lead in `term`, or leads no longer.
    std::function<void(bool leads, std::uint64_t term)> leadership_changed;
};

/// Finds the other processes of a deployment from seeds, and with a data folder holds a replica of
/// the group's log: founds the group, joins it, or takes a lost replica's seat. Lives on the
/// control thread.
class group_service : public kernel::service {
public:
    using answer_function = std::function<void(absl::StatusOr<std::string>)>;
    using leader_handler = std::function<void(const wire::incoming_request&, answer_function)>;

    group_service(const config::settings& settings, std::string_view secret,
                  kernel::control_loop& control_loop, kernel::traffic_loop& traffic);
    ~group_service() override;

    [[nodiscard]] std::string_view name() const override { return "group"; }
    /// Opens the data folder and the port. Errors: the folder is damaged, or the port is taken.
    [[nodiscard]] absl::Status start() override;
    /// Hands leadership to another replica and goes on serving.
    void drain(steady_time deadline) override;
    void stop() override;

    /// Sets what the log carries. Call before `start`.
    void set_state_machine(state_machine_hooks state_machine);

    /// Sets who serves calls of `kind` on the leader. Call before `start`.
    void set_leader_handler(messages::kind kind, leader_handler handler);

    /// Calls the leader, wherever it is.
    [[nodiscard]] control::leader_client& leader() { return *this->client; }

    /// Queues a command; see replication::replica::propose.
    void propose(std::string command, replication::replica::propose_callback done);

    /// See replication::replica::read_barrier.
    void confirm_leadership(replication::replica::status_callback done);

    [[nodiscard]] bool leads() const;

    /// Takes the place of the seeds in the settings.
    void set_seeds(const std::vector<std::string>& seeds);

private:
    void reopen_stopped_replica();
    [[nodiscard]] replication::replica_hooks replica_hooks();
    void on_request(wire::incoming_request request, const wire::reply_function& reply);
    void serve_request(wire::incoming_request request, const wire::reply_function& reply);
    void serve_leader(const wire::incoming_request& request, const wire::reply_function& reply);
    [[nodiscard]] std::string hello_reply(const wire::incoming_request& request);
    void handle_form_group(const wire::incoming_request& request);
    void serve_join(const wire::incoming_request& request);

    [[nodiscard]] messages::peer_info own_info() const;
    [[nodiscard]] std::vector<std::string> replica_addresses() const;
    [[nodiscard]] std::string leader_address() const;
    void note_peer(const messages::peer_info& peer);

    void tick();
    void introduce();
    void consider_founding();
    void ask_to_join();
    void advance_seats();

    struct known_peer {
        messages::peer_info info;
        steady_time last_heard;
    };

    config::settings settings;
    std::string secret;
    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    state_machine_hooks state_machine;
    std::map<std::uint16_t, leader_handler> handlers;
    std::unique_ptr<control::leader_client> client;
    std::unique_ptr<replica_host> member;
    std::unique_ptr<wire::rpc_server> server;
    std::map<std::string, known_peer> peers;
    std::map<replication::replica_id, join_request> joiners;
    bool stopping = false;
    bool draining = false;
    bool led = false;
    steady_time started_at;
    steady_time last_new_peer;
    steady_time next_introduction;
    steady_time next_seat_step;
    /// Set while the replica is stopped: when its storage is opened again.
    std::optional<steady_time> reopen_at;
};

} // namespace redwingwheel::cluster
