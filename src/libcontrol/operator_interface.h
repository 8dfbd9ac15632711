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

using operator_callback = std::function<void(const messages::operator_answer&)>;

/// A call with its path and query split into parts.
struct parsed_call {
    messages::caller_role role = messages::caller_role::client_account;
    std::string caller;
    std::string method;
    /// Segments of the path after /v1; empty for a path outside /v1.
    std::vector<std::string> path_segments;
    std::map<std::string, std::string, std::less<>> query;
    std::string body;

    [[nodiscard]] bool is_from_operator() const
    {
        return this->role == messages::caller_role::operator_role;
    }
    [[nodiscard]] bool matches(std::string_view wanted_method, std::size_t segment_count) const
    {
        return this->method == wanted_method && this->path_segments.size() == segment_count;
    }
};

/// Serves the HTTP API for operators and jobs on the leader; docs/http-api.md describes it. The
/// entry has authenticated the caller; this class authorizes the call.
class operator_interface {
public:
    operator_interface(const control_state& applied_state, controller& leader_decisions,
                       const room_options& limits, controller_hooks callbacks,
                       clock_function clock_source,
                       std::function<replication::replica_status()> replica_status);

    /// `done` is called once. Calls that wait for a change to be in force are answered by `tick`.
    void serve(const messages::operator_call& call, const operator_callback& done);

    /// Answers the waiting calls whose change is in force or whose deadline has passed.
    void tick();

private:
    /// A call that waits until a change is in force.
    struct waiting_call {
        std::function<bool()> in_force;
        std::function<messages::operator_answer(bool)> answer;
        steady_time deadline;
        operator_callback done;
    };

    void serve_releases(const parsed_call& call, const operator_callback& done);
    void apply_release_note(const parsed_call& call, const operator_callback& done);
    void answer_note(const config::apply_result& result, milliseconds timeout,
                     const operator_callback& done);
    void serve_history(const parsed_call& call, const operator_callback& done) const;
    void serve_diff(const parsed_call& call, const operator_callback& done) const;
    void serve_revision(const parsed_call& call, const operator_callback& done) const;
    void serve_data_centres(const parsed_call& call, const operator_callback& done);
    void set_data_centre(const parsed_call& call, const operator_callback& done);
    [[nodiscard]] nlohmann::json data_centre_json(const std::string& name) const;
    void serve_jobs(const parsed_call& call, const operator_callback& done);
    void submit_job(const parsed_call& call, const operator_callback& done);
    void list_jobs(const parsed_call& call, const operator_callback& done) const;
    void cancel_job(const job_record& job, const operator_callback& done);
    void explain_job(const job_record& job, const operator_callback& done) const;
    void serve_accounts(const parsed_call& call, const operator_callback& done) const;
    void answer_when_in_force(waiting_call call);
    [[nodiscard]] bool in_force_everywhere(std::uint64_t revision) const;

    const control_state& state;
    controller& decisions;
    controller_hooks hooks;
    clock_function clock;
    state_room room;
    std::function<replication::replica_status()> log_status;
    std::vector<waiting_call> waiting_calls;
};

} // namespace redwingwheel::control
