#pragma once

#include <functional>
#include <string>

#include "redwingwheel/control_loop.h"
#include "redwingwheel/group_service.h"
#include "redwingwheel/job_messages.h"
#include "redwingwheel/metrics.h"

/// Callers' and operators' way to the leader.
namespace redwingwheel::jobs {

enum class gateway_errc {
    /// No leader took the call; nothing was carried out and nothing will be.
    not_carried_out = 1,
    /// The leader's answer was lost; the call may have been carried out.
    unknown,
};

[[nodiscard]] constexpr std::string_view error_layer(gateway_errc)
{
    return "gateway";
}
[[nodiscard]] std::string_view error_name(gateway_errc code);
[[nodiscard]] absl::StatusCode error_category(gateway_errc code);

struct gateway_options {
    /// A call that finds no leader is refused after this long: most elections are over by then, and
    /// it is less than a third of the time that callers have.
    milliseconds call_timeout{950};
    /// A call that may have been carried out is tried again for this long: past a change of leader,
    /// and within the 3 s that callers wait.
    milliseconds retry_timeout{2500};
    /// The gateway asks the leader for a sign of life this often.
    milliseconds probe_period{500};
    /// Without an answer of a leader for this long the gateway is not ready.
    milliseconds readiness_timeout{2000};
};

/// Keeps no state of jobs. `call` may be used from any thread; all else on the control thread.
class job_gateway {
public:
    using call_done = std::function<void(absl::StatusOr<messages::job_answer>)>;

    job_gateway(const gateway_options& options, cluster::group_service& group,
                kernel::control_loop& control_loop, metrics::registry& counters);

    /// Begins to probe the leader.
    void start();

    /// Carries the call to the leader. `done` runs on the control thread, after
    /// `settle_patience` at the latest. Errors: gateway_errc.
    void call(messages::job_call call, call_done done);

    /// True while the leader has answered lately; may be used from any thread.
    [[nodiscard]] bool leader_reachable() const;

private:
    void probe();

    gateway_options options;
    cluster::group_service& group;
    kernel::control_loop& loop;
    metrics::registry& metrics;
    std::atomic<steady_time> last_answer{steady_time()};
    bool was_leader_reachable = false;
};

} // namespace redwingwheel::jobs
