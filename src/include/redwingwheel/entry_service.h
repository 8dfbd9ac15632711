#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/byte_budget.h"
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
#include "redwingwheel/standstill_detector.h"

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
    /// Opens the HTTP port and starts polling the control leader. Errors: `entry.listen` is not an
    /// address, or its port is in use.
    [[nodiscard]] absl::Status start() override;
    /// Reports unhealthy for `entry.drain_notice`, so that load balancers stop sending requests.
    /// Then refuses new requests and waits for those in progress, at the latest until `deadline`.
    void drain(steady_time deadline) override;
    void stop() override;

private:
    friend class request_flow;

    /// Runs on a thread of the HTTP server. Answers /metrics there and posts everything else to the
    /// control thread.
    void on_http(http::server_request request, http::responder respond);
    /// `sent_at` is the earliest time at which the caller may have sent the request.
    void serve(http::server_request request, steady_time sent_at, const http::responder& respond);
    /// Authenticates and checks a request to a service, then starts a `request_flow` for it. The
    /// deadline counts from `sent_at`, since the caller may have given up while the process stood
    /// still.
    void serve_request(http::server_request request, steady_time sent_at,
                       const http::responder& respond);
    /// Sends an operator's or client account's call to the control leader and returns its answer.
    void forward(http::server_request request, const http::responder& respond);
    /// Reads which order for the data centre was accepted last. Sends the order only if its
    /// operator still waits then, and so that it is refused once a later one has been accepted.
    void forward_data_centre_order(const http::server_request& request,
                                   const messages::operator_call& call,
                                   const http::responder& respond);
    void send_to_leader(const messages::operator_call& call, steady_time deadline,
                        const std::function<void(const http::server_response&)>& done);
    /// Whether this entry may serve requests: the lease has not expired and the configuration has
    /// the revision that the last permit requires.
    [[nodiscard]] bool has_valid_permit() const;
    /// Name of the client account or operator with this token digest; empty when there is none.
    [[nodiscard]] std::string find_account(std::string_view token_digest) const;
    [[nodiscard]] std::string find_operator(std::string_view token_digest) const;

    void poll();
    void on_poll_answer(steady_time sent_at, const absl::StatusOr<std::string>& body);
    /// Applies the configuration changes and the permit of a poll answer.
    void apply_permit(const messages::entry_poll_answer& answer, steady_time sent_at);
    /// Updates the router and the connections to agents from the agent table of a poll answer.
    void update_agents(const messages::entry_poll_answer& answer);
    /// Connection to the agent of `worker`; null when it was never in the agent table.
    [[nodiscard]] wire::rpc_client* agent_client(std::string_view worker);
    void remove_flow(const request_flow* ended_flow);

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
    kernel::standstill_detector standstills;
    request::router router;
    request::retry_policy retries;
    std::map<std::string, agent_link, std::less<>> agents;
    std::map<const request_flow*, std::shared_ptr<request_flow>> flows;
    /// Of the bodies of requests that have not been answered.
    kernel::byte_budget open_bodies;
    std::unique_ptr<http::server> server;
    /// Version of the agent table received last, and the leader's term that it belongs to.
    std::uint64_t table_version = 0;
    std::uint64_t table_term = 0;
    /// The last permit was accepted for the configuration revision that this entry has.
    bool revision_permitted = false;
    /// /health answers 503 while requests are still accepted.
    bool unhealthy = false;
    /// New requests are refused.
    bool draining = false;
    bool stopping = false;
};

} // namespace redwingwheel::entry
