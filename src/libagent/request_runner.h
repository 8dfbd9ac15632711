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
    /// Work that must not run twice may go on this long after its caller's deadline, so that its
    /// answer can still be recorded.
    milliseconds longest_claimed_run{600'000};
    /// Other work keeps its slot this long after its deadline: the backend server goes on with it,
    /// and a slot that is given away earlier is used twice.
    milliseconds longest_overrun{30'000};
};

/// Passes admitted requests to the backend server. Lives on the control thread.
class request_runner {
public:
    /// `may_start` is asked at the instant of every start.
    request_runner(const request_runner_options& chosen, clock_function clock_source,
                   kernel::control_loop& control_loop, http::client& http_client,
                   std::function<bool()> may_start);

    /// Admits, queues or refuses an attempt; `reply` is called once with its end.
    void execute(messages::execute of, execute_reply reply);

    /// Takes back an attempt that has not started, and ends an idempotent one that runs.
    [[nodiscard]] messages::cancel_answer cancel(const messages::cancel_attempt& of);

    /// The answer of a claimed attempt, for an entry that lost it.
    [[nodiscard]] messages::fetched_answer fetch(const messages::fetch_answer& of) const;

    /// Gives up queued attempts that cannot be served any more.
    void tick();

    [[nodiscard]] request::load_report load() const { return this->admission.load(); }
    [[nodiscard]] bool idle() const { return this->admission.idle(); }

    /// Slots for tasks; false when they are not free.
    [[nodiscard]] bool hold_slots(std::uint64_t task, std::uint32_t count);
    void release_slots(std::uint64_t task);

    /// Usage by account since the last call.
    [[nodiscard]] std::vector<messages::usage_delta> take_usage();

private:
    struct open_attempt {
        messages::execute of;
        steady_time deadline;
        execute_reply reply;
        steady_time started_at;
        std::uint64_t http_number = 0;
        bool running = false;
    };

    void carry_out(const request::dispatch_result& next);
    void start(std::uint64_t attempt);
    void on_response(std::uint64_t attempt, absl::StatusOr<http::client_response> response);
    [[nodiscard]] request::answer read_response(const open_attempt& of,
                                                absl::StatusOr<http::client_response> response);
    void refuse(std::uint64_t attempt, request::refusal_reason reason);
    void finish(std::uint64_t attempt, request::answer answer, bool refused);

    request_runner_options options;
    clock_function clock;
    kernel::control_loop& loop;
    http::client& client;
    request::admission_queue admission;
    request::attempt_history answers;
    std::unordered_map<std::uint64_t, open_attempt> open;
    std::map<std::string, messages::usage_delta, std::less<>> usage;
};

} // namespace redwingwheel::agent
