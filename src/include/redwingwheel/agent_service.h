#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/configuration.h"
#include "redwingwheel/control_loop.h"
#include "redwingwheel/gang.h"
#include "redwingwheel/http_client.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/leader_client.h"
#include "redwingwheel/permit.h"
#include "redwingwheel/rpc.h"
#include "redwingwheel/settings.h"

namespace redwingwheel::agent {

class request_runner;
class task_runner;

/// Runs next to one backend server. Announces it to the control leader as a worker, holds the
/// worker's permit, and admits requests and tasks for it.
class agent_service : public kernel::service {
public:
    agent_service(const config::settings& settings, std::string_view secret,
                  kernel::control_loop& control_loop, kernel::traffic_loop& traffic,
                  http::client& http_client);
    ~agent_service() override;

    [[nodiscard]] std::string_view name() const override { return "agent"; }
    /// Opens the port for calls of entries and starts polling the control leader. Errors:
    /// `agent.listen` is not an address, or its port is in use.
    [[nodiscard]] absl::Status start() override;
    /// Refuses new work and waits until requests and tasks have ended, at the latest until
    /// `deadline`.
    void drain(steady_time deadline) override;
    void stop() override;

private:
    void on_request(wire::incoming_request request, const wire::reply_function& reply);
    void serve(const wire::incoming_request& request, const wire::reply_function& reply);
    void serve_execute(const wire::incoming_request& request, const wire::reply_function& reply);
    /// Whether a request may start now: the backend server is healthy and the permit allows it.
    [[nodiscard]] bool may_start() const;
    /// Whether the configuration held here has both the client account and the service.
    [[nodiscard]] bool knows_service(std::string_view account, std::string_view service) const;

    /// Sends a poll to the control leader; while one is pending, another follows its answer.
    void poll();
    void schedule_poll(milliseconds after);
    void on_poll_answer(steady_time sent_at, const absl::StatusOr<std::string>& body);
    /// Applies the configuration changes in `missing`, then the permit.
    void apply_permit(const membership::permit& granted, steady_time sent_at,
                      const std::vector<config::catch_up>& missing);
    /// Requests /health of the backend server, unless a check is pending.
    void check_health();
    void on_health(bool serving);
    void tick();
    /// Fills the next usage batch, unless the last one is not yet recorded by the leader.
    void collect_usage();
    [[nodiscard]] messages::worker_announcement announcement() const;

    config::settings settings;
    std::string secret;
    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    http::client& client;
    std::uint64_t incarnation;
    membership::permit_holder permits;
    membership::gang_participant participant;
    config::configuration configuration;
    control::leader_client control;
    std::unique_ptr<request_runner> requests;
    std::unique_ptr<task_runner> tasks;
    std::unique_ptr<wire::rpc_server> server;
    /// Number of the last poll message of this incarnation.
    std::uint64_t sequence = 0;
    /// Number of polls sent; a scheduled poll is dropped when another was sent before it.
    std::uint64_t poll_number = 0;
    std::uint64_t usage_batch = 0;
    /// Contents of `usage_batch` until the leader has recorded it.
    std::vector<messages::usage_delta> unrecorded_usage;
    steady_time next_usage;
    /// A poll has been sent and not yet been answered.
    bool polling = false;
    bool poll_again = false;
    /// The next poll carries the worker's description.
    bool send_announcement = true;
    bool backend_serving = false;
    bool draining = false;
    bool stopping = false;
    bool health_check_pending = false;
};

} // namespace redwingwheel::agent
