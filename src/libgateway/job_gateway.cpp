#include "redwingwheel/job_gateway.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"
#include "redwingwheel/printable.h"

namespace redwingwheel::jobs {

namespace {

bool changes_state(messages::job_operation operation)
{
    return operation != messages::job_operation::status &&
           operation != messages::job_operation::count_pending &&
           operation != messages::job_operation::read_configuration &&
           operation != messages::job_operation::read_evacuation;
}

bool sets_evacuation(messages::job_operation operation)
{
    return operation == messages::job_operation::evacuate ||
           operation == messages::job_operation::restore;
}

/// Part of the free memory for submissions that one of them may take, as a divisor. A job in a body
/// of the largest size that the platform allows takes less.
constexpr std::size_t largest_part_of_submissions = 4;
/// A forwarded call is held for retries and, twice, on its way to a connection.
constexpr std::size_t copies_of_body = 3;
constexpr std::size_t bytes_of_call = 1024;

bool is_large(messages::job_operation operation)
{
    return operation == messages::job_operation::submit ||
           operation == messages::job_operation::install_configuration;
}

/// True when the same submission may be accepted at another time.
bool is_passing_refusal(command_result result)
{
    return result != command_result::accepted && result != command_result::withdrawn_job &&
           result != command_result::invalid_job;
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
      standstills(clock,
                  [&control_loop](milliseconds period, std::function<void()> work) {
                      control_loop.run_every(period, std::move(work));
                  }),
      submission_bytes(chosen.max_forwarded_bytes, largest_part_of_submissions),
      configuration_bytes(chosen.max_forwarded_bytes, 1)
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

struct job_gateway::forwarded_call {
    /// Without the job's definition or the configuration, which are in `body`.
    messages::job_call call;
    /// The packed call; empty for an order whose revision has not been read.
    std::string body;
    kernel::byte_budget::lease memory;
    steady_time begun;
    /// When the call ends if no leader has been found.
    steady_time deadline;
    /// When it ends if it may have been carried out.
    steady_time outcome_deadline;
    caller_waits_function caller_waits;
    call_done done;
};

void job_gateway::call(messages::job_call call, milliseconds caller_timeout,
                       caller_waits_function caller_waits, call_done done)
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
    std::string body;
    kernel::byte_budget::lease memory;
    if (is_large(call.operation)) {
        body = pack(call);
        call.definition = job_definition();
        call.configuration = job_configuration();
        kernel::byte_budget& budget = call.operation == messages::job_operation::submit
                                          ? this->submission_bytes
                                          : this->configuration_bytes;
        memory = budget.take(copies_of_body * body.size() + bytes_of_call);
        if (memory == nullptr) {
            this->metrics.add("calls_without_room_total");
            this->loop.post([done = std::move(done)] {
                done(make_error(gateway_errc::not_carried_out, "too many calls are in progress"));
            });
            return;
        }
    }
    const steady_time caller_deadline = begun + caller_timeout - std::min(waited, caller_timeout);
    const std::shared_ptr<forwarded_call> forwarded = std::make_shared<forwarded_call>(
        forwarded_call{std::move(call), std::move(body), std::move(memory), begun,
                       std::min(begun + this->options.call_timeout, caller_deadline),
                       std::min(begun + this->options.retry_timeout, caller_deadline),
                       std::move(caller_waits), std::move(done)});
    this->loop.post([this, forwarded] {
        if (sets_evacuation(forwarded->call.operation)) {
            this->send_evacuation_order(forwarded);
        }
        else {
            this->send(forwarded);
        }
    });
}

void job_gateway::send_evacuation_order(const std::shared_ptr<forwarded_call>& order)
{
    messages::job_call read;
    read.operation = messages::job_operation::read_evacuation;
    read.data_centre = order->call.data_centre;
    this->group.leader().call(
        messages::kind::job_call, pack(read), order->deadline,
        [this, order](const absl::StatusOr<std::string>& body) {
            const absl::StatusOr<messages::job_answer> answer =
                body.ok() ? unpack<messages::job_answer>(*body) : body.status();
            if (!answer.ok()) {
                order->done(translate_error(gateway_errc::not_carried_out, answer.status()));
                return;
            }
            if (answer->result != command_result::accepted) {
                order->done(make_error(gateway_errc::not_carried_out,
                                       "the leader did not return the evacuation's revision"));
                return;
            }
            // Checked after the read. A conflicting order that was accepted before the read was
            // sent after this caller had left; one accepted later changes the revision.
            if (!order->caller_waits()) {
                this->metrics.add("abandoned_orders_total");
                spdlog::warn("event=order_abandoned operation={} data_centre={} revision={}",
                             static_cast<int>(order->call.operation),
                             printable(order->call.data_centre), answer->evacuation_revision);
                order->done(make_error(gateway_errc::not_carried_out,
                                       "the caller gave up before the order was carried out"));
                return;
            }
            order->call.evacuation_revision = answer->evacuation_revision;
            this->send(order);
        });
}

void job_gateway::send(const std::shared_ptr<forwarded_call>& forwarded)
{
    std::string body = forwarded->body.empty() ? pack(forwarded->call) : std::move(forwarded->body);
    this->group.leader().call_until_known(
        messages::kind::job_call, std::move(body), forwarded->deadline, forwarded->outcome_deadline,
        [this, forwarded](const absl::StatusOr<std::string>& answer, bool earlier_unanswered) {
            this->metrics.observe(
                "leader_call_ms", "",
                std::chrono::duration<double, std::milli>(boot_clock::now() - forwarded->begun)
                    .count());
            this->finish(*forwarded, answer, earlier_unanswered);
        });
}

void job_gateway::finish(const forwarded_call& forwarded, const absl::StatusOr<std::string>& body,
                         bool earlier_unanswered)
{
    if (!body.ok()) {
        const bool not_executed =
            error_code<control::leader_errc>(body.status()) == control::leader_errc::no_leader;
        forwarded.done(translate_error(
            not_executed ? gateway_errc::not_carried_out : gateway_errc::unknown, body.status()));
        return;
    }
    this->last_answer = boot_clock::now();
    absl::StatusOr<messages::job_answer> answer = unpack<messages::job_answer>(*body);
    if (!answer.ok()) {
        forwarded.done(translate_error(gateway_errc::unknown, answer.status()));
        return;
    }
    if (earlier_unanswered && forwarded.call.operation == messages::job_operation::submit &&
        is_passing_refusal(answer->result)) {
        // The earlier attempt may still reach a leader, at a time when the job is accepted.
        forwarded.done(make_error(gateway_errc::unknown,
                                  "refused after an attempt that may yet be carried out"));
        return;
    }
    forwarded.done(*std::move(answer));
}

} // namespace redwingwheel::jobs
