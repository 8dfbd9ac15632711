#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "redwingwheel/admission.h"
#include "redwingwheel/control_loop.h"
#include "redwingwheel/http_client.h"
#include "redwingwheel/messages.h"

namespace redwingwheel::agent {

using execute_reply = std::function<void(const messages::execute_answer&)>;

struct request_runner_options {
    /// IP:port of the backend server.
    std::string backend;
    request::admission_options admission;
    /// A request to a service that is not idempotent may run this long after its caller's deadline,
    /// so that its answer can still be recorded in the claim.
    milliseconds max_claimed_overrun{600'000};
    /// An idempotent request keeps its slot up to this long after its deadline. The backend server
    /// still works on it, so releasing the slot earlier would let two requests use it.
    milliseconds max_idempotent_overrun{30'000};
};

/// Admits attempts of requests and sends them to the backend server. Used on the control thread
/// only.
class request_runner {
public:
    /// `may_start` is called immediately before each start.
    request_runner(const request_runner_options& chosen, clock_function clock_source,
                   kernel::control_loop& control_loop, http::client& http_client,
                   std::function<bool()> may_start);

    /// Starts, queues or refuses an attempt. `reply` is called once, with its answer or the
    /// refusal.
    void execute(messages::execute message, execute_reply reply);

    /// Removes a queued attempt, revokes one that has not arrived, and aborts a running one if it
    /// is idempotent.
    [[nodiscard]] messages::cancel_answer cancel(const messages::cancel_attempt& message);

    /// The stored answer of a claimed attempt, for an entry that has not received it. Without an
    /// answer the result says why: the attempt is running or was never seen, its answer is no
    /// longer stored, or `incarnation` is not this one.
    [[nodiscard]] messages::fetched_answer fetch(const messages::fetch_answer& message) const;

    /// Refuses queued attempts that can no longer be served in time. Call it periodically.
    void tick();

    [[nodiscard]] request::load_report load() const { return this->admission.load(); }
    [[nodiscard]] bool idle() const { return this->admission.idle(); }

    /// Reserves slots for a task; false when not enough are free.
    [[nodiscard]] bool hold_slots(std::uint64_t task, std::uint32_t count);
    void release_slots(std::uint64_t task);

    /// Usage per client account since the last call.
    [[nodiscard]] std::vector<messages::usage_delta> take_usage();

private:
    struct open_attempt {
        messages::execute message;
        steady_time deadline;
        execute_reply reply;
        steady_time started_at;
        std::uint64_t http_request_id = 0;
        bool running = false;
    };

    /// Starts and refuses the attempts that the admission queue has decided on.
    void carry_out(const request::dispatch_result& next);
    void start(std::uint64_t attempt);
    void on_response(std::uint64_t attempt, absl::StatusOr<http::client_response> response);
    /// The attempt's answer from the backend server's response. Errors become an answer without a
    /// body, whose outcome says whether the request may have run.
    [[nodiscard]] request::answer make_answer(const open_attempt& ended,
                                              absl::StatusOr<http::client_response> response);
    void refuse(std::uint64_t attempt, request::refusal_reason reason);
    void finish(std::uint64_t attempt, request::answer answer, bool refused);

    request_runner_options options;
    clock_function clock;
    kernel::control_loop& loop;
    http::client& client;
    request::admission_queue admission;
    request::attempt_history answer_history;
    std::unordered_map<std::uint64_t, open_attempt> open_attempts;
    std::map<std::string, messages::usage_delta, std::less<>> usage;
};

} // namespace redwingwheel::agent
