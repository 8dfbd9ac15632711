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

/// What a call is about, split from its path and query.
struct parsed_call {
    messages::caller_role role = messages::caller_role::client_account;
    std::string caller;
    std::string method;
    /// Parts of the path behind /v1.
    std::vector<std::string> parts;
    std::map<std::string, std::string, std::less<>> query;
    std::string body;

    [[nodiscard]] bool by_operator() const
    {
        return this->role == messages::caller_role::operator_role;
    }
    [[nodiscard]] bool is(std::string_view wanted_method, std::size_t part_count) const
    {
        return this->method == wanted_method && this->parts.size() == part_count;
    }
};

/// Serves the operators' and the job interface at the leader; docs/http-api.md describes it.
/// Callers are authenticated by the entry; what they may do is decided here.
class operator_interface {
public:
    operator_interface(const control_state& applied_state, controller& leader_decisions,
                       controller_hooks callbacks, clock_function clock_source,
                       std::function<replication::replica_status()> replica_status);

    /// `done` is called once. Calls that wait for a change to be in force are answered by `tick`.
    void serve(const messages::operator_call& call, const operator_done& done);

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

    void serve_releases(const parsed_call& call, const operator_done& done);
    void apply_release_note(const parsed_call& call, const operator_done& done);
    void answer_note(const config::apply_result& result, milliseconds patience,
                     const operator_done& done);
    void serve_history(const parsed_call& call, const operator_done& done) const;
    void serve_diff(const parsed_call& call, const operator_done& done) const;
    void serve_revision(const parsed_call& call, const operator_done& done) const;
    void serve_data_centres(const parsed_call& call, const operator_done& done);
    void serve_jobs(const parsed_call& call, const operator_done& done);
    void submit_job(const parsed_call& call, const operator_done& done);
    void list_jobs(const parsed_call& call, const operator_done& done) const;
    void cancel_job(const job_record& job, const operator_done& done);
    void explain_job(const job_record& job, const operator_done& done) const;
    void serve_accounts(const parsed_call& call, const operator_done& done) const;
    void wait_for(waiting_call call);
    [[nodiscard]] bool in_force_everywhere(std::uint64_t revision) const;

    const control_state& state;
    controller& decisions;
    controller_hooks hooks;
    clock_function clock;
    std::function<replication::replica_status()> log_status;
    std::vector<waiting_call> waiting;
};

} // namespace redwingwheel::control
