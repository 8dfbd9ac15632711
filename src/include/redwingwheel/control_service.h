#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/control_loop.h"
#include "redwingwheel/control_state.h"
#include "redwingwheel/controller.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/member_change_plan.h"
#include "redwingwheel/replica_host.h"
#include "redwingwheel/replication.h"
#include "redwingwheel/rpc.h"
#include "redwingwheel/settings.h"

namespace redwingwheel::control {

/// Serves the HTTP API for operators and jobs: proposes commands and answers from the state.
class operator_interface;

/// A control replica. Holds the replicated log and the control state; on the leader it also runs
/// the controller.
class control_service : public kernel::service {
public:
    control_service(const config::settings& settings, std::string_view secret,
                    kernel::control_loop& control_loop, kernel::traffic_loop& traffic);
    ~control_service() override;

    [[nodiscard]] std::string_view name() const override { return "control"; }
    /// Opens the data folder and the port. Errors: the folder is damaged or locked, or the port is
    /// taken.
    [[nodiscard]] absl::Status start() override;
    /// Gives up leadership, so that another replica takes over before this one stops.
    void drain(steady_time deadline) override;
    void stop() override;

    /// State of the replica and traffic counters. Call `read_gauges` from outside the control
    /// thread.
    struct gauges {
        bool leads = false;
        std::uint64_t term = 0;
        std::uint64_t commit_index = 0;
        std::uint64_t revision = 0;
        std::uint64_t bytes_in = 0;
        std::uint64_t bytes_out = 0;
    };
    [[nodiscard]] gauges read_gauges();

private:
    using body_callback = std::function<void(absl::StatusOr<std::string>)>;

    [[nodiscard]] replication::replica_hooks replica_hooks();
    void on_request(wire::incoming_request request, const wire::reply_function& reply);
    void serve(wire::incoming_request request, const wire::reply_function& reply);
    void serve_leader(wire::incoming_request request, const wire::reply_function& reply);
    void serve_agent_poll(const wire::incoming_request& request, const body_callback& done);
    void serve_entry_poll(const wire::incoming_request& request, const body_callback& done);
    void serve_claim(const wire::incoming_request& request, const body_callback& done);
    void serve_claim_look_up(const wire::incoming_request& request, const body_callback& done);
    void serve_operator_call(const wire::incoming_request& request, const body_callback& done);
    [[nodiscard]] std::string formation_reply();
    void serve_join(const wire::incoming_request& request);

    void apply(const replication::log_entry& entry);
    void restore(const replication::snapshot& from);
    void on_leadership_changed(const replication::leadership& current);
    void propose(const command& of, command_callback done);
    void schedule_decision_round();

    void tick();
    void run_decision_round();
    void find_or_form_group();
    void request_formation(const std::string& address);
    void request_join();
    void advance_replacement();
    void start_replacement_step(const replication::replacement_step& step);
    [[nodiscard]] replication::formation_answer own_formation() const;

    config::settings settings;
    std::string secret;
    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    cluster::replica_host host;
    control_state state;
    std::unique_ptr<controller> decisions;
    std::unique_ptr<operator_interface> operator_api;
    std::unique_ptr<wire::rpc_server> server;
    /// Latest answer of each replica address.
    std::map<std::string, replication::formation_answer> formation_answers;
    /// Of replicas that replace a lost member; only on the leader.
    cluster::join_request_list join_requests;
    /// Results of applied commands by log index, until their proposer takes them.
    std::map<std::uint64_t, command_result> unclaimed_results;
    bool decision_round_scheduled = false;
    bool stopping = false;
    steady_time next_decision_round;
    steady_time next_group_search;
};

} // namespace redwingwheel::control
