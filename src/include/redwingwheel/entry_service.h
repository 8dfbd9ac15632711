#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/configuration.h"
#include "redwingwheel/control_loop.h"
#include "redwingwheel/http_server.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/leader_client.h"
#include "redwingwheel/metrics.h"
#include "redwingwheel/permit.h"
#include "redwingwheel/retry.h"
#include "redwingwheel/router.h"
#include "redwingwheel/rpc.h"
#include "redwingwheel/settings.h"

namespace redwingwheel::entry {

class request_flow;

/// Serves callers and operators over HTTP: authenticates them, routes requests to agents and
/// forwards the rest to the control leader.
class entry_service : public kernel::service {
public:
    entry_service(const config::settings& settings, std::string_view secret,
                  kernel::control_loop& control_loop, kernel::traffic_loop& traffic,
                  metrics::registry& metrics);
    ~entry_service() override;

    [[nodiscard]] std::string_view name() const override { return "entry"; }
    /// Opens the HTTP port. Errors: the port is taken.
    [[nodiscard]] absl::Status start() override;
    /// Turns unhealthy, waits for the balancer's notice, then for the requests in progress.
    void drain(steady_time deadline) override;
    void stop() override;

private:
    friend class request_flow;

    void on_http(http::server_request request, http::responder respond);
    void serve(http::server_request request, const http::responder& respond);
    void serve_request(http::server_request request, const http::responder& respond);
    void forward(http::server_request request, const http::responder& respond);
    [[nodiscard]] bool in_force() const;
    [[nodiscard]] std::string find_account(std::string_view token_digest) const;
    [[nodiscard]] std::string find_operator(std::string_view token_digest) const;

    void poll();
    void on_poll_answer(steady_time sent_at, const absl::StatusOr<std::string>& body);
    void take_permit(const messages::entry_poll_answer& answer, steady_time sent_at);
    void take_agents(const messages::entry_poll_answer& answer);
    [[nodiscard]] wire::rpc_client* agent_client(std::string_view worker);
    void end_flow(const request_flow* ended);

    struct agent_link {
        std::string address;
        std::unique_ptr<wire::rpc_client> client;
    };

    config::settings settings;
    std::string secret;
    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    metrics::registry& metrics;
    membership::permit_holder permits;
    config::configuration configuration;
    control::leader_client control;
    request::router router;
    request::retry_policy retries;
    std::map<std::string, agent_link, std::less<>> agents;
    std::map<const request_flow*, std::shared_ptr<request_flow>> flows;
    std::unique_ptr<http::server> server;
    std::uint64_t table_version = 0;
    std::uint64_t table_term = 0;
    /// The permit's revision is in force here.
    bool current = false;
    bool unhealthy = false;
    bool draining = false;
    bool stopping = false;
};

} // namespace redwingwheel::entry
