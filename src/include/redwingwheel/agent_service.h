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

/// The process part beside one backend server: announces it, holds its permit and admits its work.
class agent_service : public kernel::service {
public:
    agent_service(const config::settings& settings, std::string_view secret,
                  kernel::control_loop& control_loop, kernel::traffic_loop& traffic,
                  http::client& http_client);
    ~agent_service() override;

    [[nodiscard]] std::string_view name() const override { return "agent"; }
    /// Opens the port for entries. Errors: the port is taken.
    [[nodiscard]] absl::Status start() override;
    /// Refuses new work and waits for what runs.
    void drain(steady_time deadline) override;
    void stop() override;

private:
    void on_request(wire::incoming_request request, const wire::reply_function& reply);
    void serve(const wire::incoming_request& request, const wire::reply_function& reply);
    void serve_execute(const wire::incoming_request& request, const wire::reply_function& reply);
    [[nodiscard]] bool may_start() const;
    [[nodiscard]] bool knows_service(std::string_view account, std::string_view service) const;

    void poll();
    void schedule_poll(milliseconds after);
    void on_poll_answer(steady_time sent_at, const absl::StatusOr<std::string>& body);
    void take_permit(const membership::permit& granted, steady_time sent_at,
                     const std::vector<config::catch_up>& missing);
    void check_health();
    void on_health(bool serving);
    void tick();
    void collect_usage();
    [[nodiscard]] messages::worker_announcement announcement() const;

    config::settings settings;
    std::string secret;
    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    http::client& client;
    std::uint64_t incarnation;
    membership::permit_holder permits;
    membership::gang_participant member;
    config::configuration configuration;
    control::leader_client control;
    std::unique_ptr<request_runner> requests;
    std::unique_ptr<task_runner> tasks;
    std::unique_ptr<wire::rpc_server> server;
    std::uint64_t sequence = 0;
    std::uint64_t poll_number = 0;
    std::uint64_t usage_batch = 0;
    std::vector<messages::usage_delta> unrecorded_usage;
    steady_time next_usage;
    bool polling = false;
    bool poll_again = false;
    bool announce = true;
    bool backend_serving = false;
    bool draining = false;
    bool stopping = false;
    bool health_asked = false;
};

} // namespace redwingwheel::agent
