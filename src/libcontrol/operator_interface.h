#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "redwingwheel/control_state.h"
#include "redwingwheel/controller.h"
#include "redwingwheel/replication.h"

namespace redwingwheel::control {

using operator_done = std::function<void(const messages::operator_answer&)>;

/// Serves the operators' and the job interface at the leader; docs/http-api.md describes it.
/// Callers are authenticated by the entry; what they may do is decided here.
class operator_interface {
public:
    operator_interface(const control_state& applied_state, controller& decisions,
                       controller_hooks callbacks, clock_function clock_source,
                       std::function<replication::replica_status()> log_status);

    /// `done` is called once, by `deadline` or soon after. Calls that wait for a change to be in
    /// force are answered by `tick`.
    void serve(const messages::operator_call& call, steady_time deadline, operator_done done);

    /// Answers the calls whose change is in force, or whose time is over.
    void tick();

private:
    /// A call that waits until a change is in force.
    struct waiting_call {
        std::function<bool()> in_force;
        std::function<messages::operator_answer(bool)> answer;
        steady_time deadline;
        operator_done done;
    };

    void serve_release(const messages::operator_call& call, steady_time deadline,
                       const operator_done& done);
    void apply_note(const messages::operator_call& call, steady_time deadline,
                    const operator_done& done);
    void serve_data_centre(const messages::operator_call& call, steady_time deadline,
                           const operator_done& done);
    void serve_jobs(const messages::operator_call& call, const operator_done& done);
    void submit_job(const messages::operator_call& call, const operator_done& done);
    void cancel_job(const messages::operator_call& call, const std::string& id,
                    const operator_done& done);
    void serve_account(const messages::operator_call& call, const operator_done& done);

    [[nodiscard]] nlohmann::json status_json() const;
    [[nodiscard]] nlohmann::json data_centres_json() const;
    [[nodiscard]] nlohmann::json workers_json() const;
    [[nodiscard]] nlohmann::json guarantees_json() const;
    [[nodiscard]] nlohmann::json replicas_json() const;
    [[nodiscard]] nlohmann::json processes_json(std::uint64_t revision) const;
    [[nodiscard]] bool in_force_everywhere(std::uint64_t revision) const;
    [[nodiscard]] bool may_see(const messages::operator_call& call, std::string_view account) const;

    const control_state& state;
    controller& decisions;
    controller_hooks hooks;
    clock_function clock;
    std::function<replication::replica_status()> log_status;
    std::vector<waiting_call> waiting;
};

} // namespace redwingwheel::control
