#include "redwingwheel/job_gateway.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"

namespace redwingwheel::jobs {

std::string_view error_name(gateway_errc code)
{
    return code == gateway_errc::not_carried_out ? "not carried out" : "unknown";
}

absl::StatusCode error_category(gateway_errc code)
{
    return code == gateway_errc::not_carried_out ? absl::StatusCode::kUnavailable
                                                 : absl::StatusCode::kUnknown;
}

job_gateway::job_gateway(const gateway_options& chosen, cluster::group_service& of,
                         kernel::control_loop& control_loop, metrics::registry& counters)
    : options(chosen), group(of), loop(control_loop), metrics(counters)
{
}

void job_gateway::start()
{
    this->loop.post([this] { this->probe(); });
    this->loop.run_every(this->options.probe_period, [this] { this->probe(); });
}

bool job_gateway::in_touch() const
{
    return boot_clock::now() < this->last_answer.load() + this->options.touch_life;
}

void job_gateway::probe()
{
    const bool now_in_touch = this->in_touch();
    if (now_in_touch != this->was_in_touch) {
        spdlog::info("event={}", now_in_touch ? "leader_regained" : "leader_lost");
        this->was_in_touch = now_in_touch;
    }
    messages::job_call call;
    call.operation = messages::job_operation::count_pending;
    this->group.leader().call_once(messages::kind::job_call, pack(call),
                                   boot_clock::now() + this->options.call_patience,
                                   [this](const absl::StatusOr<std::string>& answer) {
                                       if (answer.ok()) {
                                           this->last_answer = boot_clock::now();
                                       }
                                   });
}

void job_gateway::call(messages::job_call call, call_done done)
{
    const steady_time begun = boot_clock::now();
    this->loop.post([this, begun, call = std::move(call), done = std::move(done)] {
        this->group.leader().settle(
            messages::kind::job_call, pack(call), begun + this->options.call_patience,
            begun + this->options.settle_patience,
            [this, begun, done](const absl::StatusOr<std::string>& body) {
                this->metrics.observe(
                    "leader_call_ms", "",
                    std::chrono::duration<double, std::milli>(boot_clock::now() - begun).count());
                if (!body.ok()) {
                    const bool nothing_done = error_code<control::leader_errc>(body.status()) ==
                                              control::leader_errc::no_leader;
                    done(translate_error(nothing_done ? gateway_errc::not_carried_out
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
