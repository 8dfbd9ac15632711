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
#include "redwingwheel/replica_host.h"
#include "redwingwheel/replication.h"
#include "redwingwheel/rpc.h"
#include "redwingwheel/settings.h"

namespace redwingwheel::control {

/// Turns calls of the operators' and the job interface into commands and answers.
class operator_interface;

/// A control replica: carries the replicated log, the state and, on the leader, the decisions.
class control_service : public kernel::service {
public:
    control_service(const config::settings& settings, std::string_view secret,
                    kernel::control_loop& control_loop, kernel::traffic_loop& traffic);
    ~control_service() override;

    [[nodiscard]] std::string_view name() const override { return "control"; }
    /// Opens the data folder and the port. Errors: the folder is damaged or locked, or the port is
    /// taken.
    [[nodiscard]] absl::Status start() override;
    /// Hands leadership to another replica.
    void drain(steady_time deadline) override;
    void stop() override;

    /// Counts and gauges for the metrics page, by name.
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
    using served = std::function<void(absl::StatusOr<std::string>)>;

    [[nodiscard]] replication::replica_hooks replica_hooks();
    void on_request(wire::incoming_request request, const wire::reply_function& reply);
    void serve(wire::incoming_request request, const wire::reply_function& reply);
    void serve_leader(wire::incoming_request request, const wire::reply_function& reply);
    void serve_agent_poll(const wire::incoming_request& request, const served& done);
    void serve_entry_poll(const wire::incoming_request& request, const served& done);
    void serve_claim(const wire::incoming_request& request, const served& done);
    void serve_claim_look_up(const wire::incoming_request& request, const served& done);
    void serve_operator_call(const wire::incoming_request& request, const served& done);
    [[nodiscard]] std::string formation_reply();
    void serve_join(const wire::incoming_request& request);

    void apply(const replication::log_entry& entry);
    void restore(const replication::snapshot& from);
    void on_leadership(const replication::leadership& now);
    void propose(const command& of, command_callback done);
    void schedule_decisions();

    void tick();
    void decide();
    void seek_group();
    void ask_formation(const std::string& address);
    void ask_to_join();
    void advance_replacement();
    [[nodiscard]] replication::formation_answer own_formation() const;

    config::settings settings;
    std::string secret;
    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    cluster::replica_host member;
    control_state state;
    std::unique_ptr<controller> decisions;
    std::unique_ptr<operator_interface> operators;
    std::unique_ptr<wire::rpc_server> server;
    std::map<std::string, replication::formation_answer> formation_answers;
    std::vector<replication::member> joiners;
    std::map<std::uint64_t, command_result> results;
    bool decisions_scheduled = false;
    bool stopping = false;
    steady_time next_decision;
    steady_time next_group_search;
};

} // namespace redwingwheel::control
