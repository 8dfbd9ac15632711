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

/// Carries out the actions of a gang_participant on the backend server. Used on the control thread
/// only.
class task_runner {
public:
    /// Reserves and releases slots of the backend server. `hold` returns false when not enough are
    /// free.
    struct slot_hooks {
        std::function<bool(std::uint64_t task, std::uint32_t count)> hold;
        std::function<void(std::uint64_t task)> release;
    };

    /// `backend` is IP:port.
    task_runner(std::string_view backend, clock_function clock_source,
                kernel::control_loop& control_loop, http::client& http_client,
                membership::gang_participant& participant, slot_hooks slots);

    /// Stores what the tasks of a job run. Must precede the job's start actions.
    void store_description(const messages::task_description& job);

    /// Performs the actions in order. Results are reported to the gang_participant.
    void carry_out(const std::vector<membership::gang_action>& actions);

    /// Requests the states of running tasks from the backend server. Call it periodically.
    void tick();

    [[nodiscard]] bool idle() const { return this->tasks.empty(); }

    /// Accelerator usage per client account since the last call.
    [[nodiscard]] std::vector<messages::usage_delta> take_usage();

private:
    struct running_task {
        std::string account;
        std::uint32_t accelerators = 0;
        /// The backend server has confirmed the start.
        bool confirmed = false;
        /// A request for the task's state is pending.
        bool state_requested = false;
        /// Usage before this time has been added to the account's.
        steady_time usage_counted_until;
    };
    using response_handler = std::function<void(absl::StatusOr<http::client_response>)>;

    void perform(const membership::start_task& action);
    void perform(const membership::checkpoint_task& action);
    void perform(const membership::throttle_task& action);
    void perform(const membership::stop_task& action);
    void perform(const membership::renew_lease& action);
    void send(std::string_view method, std::string_view path, const std::string& body,
              response_handler on_response);
    void on_start_reply(const membership::task_key& task,
                        absl::StatusOr<http::client_response> reply);
    void on_state_reply(const membership::task_key& task,
                        absl::StatusOr<http::client_response> reply);
    void end_task(const membership::task_key& task, membership::task_outcome outcome);
    /// Adds the task's usage since `usage_counted_until` to its account's.
    void count_usage(running_task& task);

    std::string backend;
    clock_function clock;
    kernel::control_loop& loop;
    http::client& client;
    membership::gang_participant& participant;
    slot_hooks slots;
    std::map<std::string, messages::task_description, std::less<>> jobs;
    std::map<membership::task_key, running_task> tasks;
    std::map<std::string, messages::usage_delta, std::less<>> usage;
};

} // namespace redwingwheel::agent
