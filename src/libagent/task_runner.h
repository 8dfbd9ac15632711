#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/control_loop.h"
#include "redwingwheel/gang.h"
#include "redwingwheel/http_client.h"
#include "redwingwheel/messages.h"

namespace redwingwheel::agent {

/// Carries out the actions of a gang_participant on the backend server. Lives on the control
/// thread.
class task_runner {
public:
    /// `backend` is IP:port. `slots` lends slots of the backend server to tasks.
    struct slot_hooks {
        std::function<bool(std::uint64_t task, std::uint32_t count)> hold;
        std::function<void(std::uint64_t task)> release;
    };

    task_runner(std::string_view backend, clock_function clock_source,
                kernel::control_loop& control_loop, http::client& http_client,
                membership::gang_participant& member, slot_hooks slots);

    /// Notes what is to be run for a job, before its release.
    void describe(const messages::task_description& job);

    void carry_out(const std::vector<membership::gang_action>& actions);

    /// Asks the backend server for the states of running tasks.
    void tick();

    [[nodiscard]] bool idle() const { return this->tasks.empty(); }

    /// Usage by account since the last call.
    [[nodiscard]] std::vector<messages::usage_delta> take_usage();

private:
    struct running_task {
        std::string account;
        std::uint32_t accelerators = 0;
        bool confirmed = false;
        bool asking = false;
        steady_time usage_from;
    };
    using response_handler = std::function<void(absl::StatusOr<http::client_response>)>;

    void act(const membership::start_task& what);
    void act(const membership::checkpoint_task& what);
    void act(const membership::throttle_task& what);
    void act(const membership::stop_task& what);
    void act(const membership::renew_lease& what);
    void send(std::string_view method, std::string_view path, const std::string& body,
              response_handler done);
    void on_started(const membership::task_key& task, absl::StatusOr<http::client_response> reply);
    void on_state(const membership::task_key& task, absl::StatusOr<http::client_response> reply);
    void end(const membership::task_key& task, membership::task_outcome outcome);
    void count_usage(running_task& task);

    std::string backend;
    clock_function clock;
    kernel::control_loop& loop;
    http::client& client;
    membership::gang_participant& member;
    slot_hooks slots;
    std::map<std::string, messages::task_description, std::less<>> jobs;
    std::map<membership::task_key, running_task> tasks;
    std::map<std::string, messages::usage_delta, std::less<>> usage;
};

/// Identity of a task at the backend server: job, epoch and member.
[[nodiscard]] std::string task_name(const membership::task_key& task);

} // namespace redwingwheel::agent
