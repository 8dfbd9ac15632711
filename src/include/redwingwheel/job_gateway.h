#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "redwingwheel/byte_budget.h"
#include "redwingwheel/control_loop.h"
#include "redwingwheel/group_service.h"
#include "redwingwheel/job_messages.h"
#include "redwingwheel/metrics.h"
#include "redwingwheel/standstill_detector.h"

/// Forwards the calls of clients and operators to the leader.
namespace redwingwheel::jobs {

enum class gateway_errc {
    /// The call was not carried out and will not be: no leader accepted it, or this process has no
    /// room for it.
    not_carried_out = 1,
    /// The leader's answer was lost. The call may have been carried out.
    unknown,
};

[[nodiscard]] constexpr std::string_view error_layer(gateway_errc)
{
    return "gateway";
}
[[nodiscard]] std::string_view error_name(gateway_errc code);
[[nodiscard]] absl::StatusCode error_category(gateway_errc code);

struct gateway_options {
    /// Time after which a call that finds no leader fails. Most elections end within it, and it is
    /// less than a third of the callers' timeout of 3 s.
    milliseconds call_timeout{950};
    /// Time for which a call that may have been carried out is retried. Longer than a change of
    /// leader and shorter than the callers' timeout of 3 s.
    milliseconds retry_timeout{2500};
    /// Interval between health checks of the leader.
    milliseconds probe_period{500};
    /// The gateway is not ready when no leader has answered for this long.
    milliseconds readiness_timeout{2000};
    /// Memory that submissions may hold while they are forwarded, in bytes, and as much again for
    /// configurations. More of them are refused.
    std::size_t max_forwarded_bytes = std::size_t{12} * 1024 * 1024;
};

/// Forwards calls to the leader and holds no job state. `call` and `leader_reachable` may be called
/// from any thread, all other functions from the control thread only.
class job_gateway {
public:
    using call_done = std::function<void(absl::StatusOr<messages::job_answer>)>;
    /// False once the caller no longer waits for the response. Called on the control thread.
    using caller_waits_function = std::function<bool()>;

    job_gateway(const gateway_options& options, cluster::group_service& group,
                kernel::control_loop& control_loop, metrics::registry& counters,
                const clock_function& clock = boot_clock_function());

    /// Starts the periodic health checks of the leader.
    void start();

    /// Sends the call to the leader. `done` runs on the control thread, at the latest
    /// `retry_timeout` after the call. Errors: gateway_errc.
    ///
    /// The caller gives up `caller_timeout` after it has sent its request, and may then withdraw it
    /// at another gateway. The call is not sent from then on, and a change that may be older than
    /// that when it is read is not carried out.
    ///
    /// An evacuation, or its end, is carried out only if the caller still waits after the revision
    /// that the order rests on has been read. No order that was accepted since the caller has given
    /// up is undone then, however late this one is read or arrives.
    void call(messages::job_call call, milliseconds caller_timeout,
              caller_waits_function caller_waits, call_done done);

    /// True when a leader has answered within `readiness_timeout`. May be called from any thread.
    [[nodiscard]] bool leader_reachable() const;

private:
    struct forwarded_call;

    void probe();
    /// Reads the revision that the order rests on, then sends the order.
    void send_evacuation_order(const std::shared_ptr<forwarded_call>& order);
    void send(const std::shared_ptr<forwarded_call>& forwarded);
    void finish(const forwarded_call& forwarded, const absl::StatusOr<std::string>& body,
                bool earlier_unanswered);

    gateway_options options;
    cluster::group_service& group;
    kernel::control_loop& loop;
    metrics::registry& metrics;
    kernel::standstill_detector standstills;
    kernel::byte_budget submission_bytes;
    kernel::byte_budget configuration_bytes;
    std::atomic<steady_time> last_answer{steady_time()};
    bool was_leader_reachable = false;
};

} // namespace redwingwheel::jobs
