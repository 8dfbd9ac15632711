#include "redwingwheel/job_gateway.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"

namespace redwingwheel::jobs {

namespace {

bool changes_state(messages::job_operation operation)
{
    return operation != messages::job_operation::status &&
           operation != messages::job_operation::count_pending &&
           operation != messages::job_operation::read_configuration;
}

} // namespace

std::string_view error_name(gateway_errc code)
{
    return code == gateway_errc::not_carried_out ? "not carried out" : "unknown";
}

absl::StatusCode error_category(gateway_errc code)
{
    return code == gateway_errc::not_carried_out ? absl::StatusCode::kUnavailable
                                                 : absl::StatusCode::kUnknown;
}

job_gateway::job_gateway(const gateway_options& chosen, cluster::group_service& group_to_call,
                         kernel::control_loop& control_loop, metrics::registry& counters,
                         const clock_function& clock)
    : options(chosen), group(group_to_call), loop(control_loop), metrics(counters),
      standstills(clock, [&control_loop](milliseconds period, std::function<void()> work) {
          control_loop.run_every(period, std::move(work));
      })
{
}

void job_gateway::start()
{
    this->loop.post([this] { this->probe(); });
    this->loop.run_every(this->options.probe_period, [this] { this->probe(); });
}

bool job_gateway::leader_reachable() const
{
    return boot_clock::now() < this->last_answer.load() + this->options.readiness_timeout;
}

void job_gateway::probe()
{
    const bool now_leader_reachable = this->leader_reachable();
    if (now_leader_reachable != this->was_leader_reachable) {
        spdlog::info("event={}", now_leader_reachable ? "leader_regained" : "leader_lost");
        this->was_leader_reachable = now_leader_reachable;
    }
    messages::job_call call;
    call.operation = messages::job_operation::count_pending;
    this->group.leader().call_once(messages::kind::job_call, pack(call),
                                   boot_clock::now() + this->options.call_timeout,
                                   [this](const absl::StatusOr<std::string>& answer) {
                                       if (answer.ok()) {
                                           this->last_answer = boot_clock::now();
                                       }
                                   });
}

void job_gateway::call(messages::job_call call, milliseconds caller_timeout, call_done done)
{
    const steady_time begun = boot_clock::now();
    const milliseconds waited = this->standstills.max_waiting_time();
    if (waited >= caller_timeout && changes_state(call.operation)) {
        this->metrics.add("stale_calls_total");
        spdlog::warn("event=call_stale operation={} job={} waited_ms={} caller_timeout_ms={}",
                     static_cast<int>(call.operation), call.job, waited.count(),
                     caller_timeout.count());
        this->loop.post([done = std::move(done)] {
            done(make_error(gateway_errc::not_carried_out,
                            "the caller may have given up before the call was read"));
        });
        return;
    }
    const steady_time caller_deadline = begun + caller_timeout - std::min(waited, caller_timeout);
    this->loop.post([this, begun, caller_deadline, call = std::move(call), done = std::move(done)] {
        this->group.leader().call_until_known(
            messages::kind::job_call, pack(call),
            std::min(begun + this->options.call_timeout, caller_deadline),
            std::min(begun + this->options.retry_timeout, caller_deadline),
            [this, begun, done](const absl::StatusOr<std::string>& body) {
                this->metrics.observe(
                    "leader_call_ms", "",
                    std::chrono::duration<double, std::milli>(boot_clock::now() - begun).count());
                if (!body.ok()) {
                    const bool not_executed = error_code<control::leader_errc>(body.status()) ==
                                              control::leader_errc::no_leader;
                    done(translate_error(not_executed ? gateway_errc::not_carried_out
                                                      : gateway_errc::unknown,
                                         body.status()));
                    return;
                }
                this->last_answer = boot_clock::now();
                absl::StatusOr<messages::job_answer> answer = unpack<messages::job_answer>(*body);
                if (!answer.ok()) {
                    done(translate_error(gateway_errc::unknown, answer.status()));
                    return;
                }
                done(*std::move(answer));
            });
    });
}

} // namespace redwingwheel::jobs
