#include "redwingwheel/job_gateway.h"

#include <atomic>
#include <filesystem>
#include <future>

#include <catch2/catch.hpp>

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

/// A gateway in front of a group without a leader, with a clock that the test controls.
class gateway_world {
public:
    gateway_world()
        : group(make_settings(), "secret", this->loop, this->traffic),
          gateway(gateway_options(), this->group, this->loop, this->metrics,
                  [this] { return steady_time(std::chrono::nanoseconds(this->now_ns)); })
    {
        this->loop.start();
        this->traffic.start();
    }
    ~gateway_world()
    {
        this->loop.stop();
        this->traffic.stop();
    }
    gateway_world(const gateway_world&) = delete;
    gateway_world& operator=(const gateway_world&) = delete;

    static config::settings make_settings()
    {
        config::settings settings;
        settings.name = "gateway";
        settings.data_centre = "dc";
        // Nothing listens on the discard port.
        settings.cluster.seeds = {"127.0.0.1:9"};
        return settings;
    }

    void stand_still(milliseconds duration)
    {
        this->now_ns += std::chrono::nanoseconds(duration).count();
    }

    absl::Status call(messages::job_operation operation, milliseconds caller_timeout)
    {
        messages::job_call call;
        call.operation = operation;
        std::promise<absl::Status> result;
        this->gateway.call(
            call, caller_timeout, [] { return true; },
            [&result](const absl::StatusOr<messages::job_answer>& answer) {
                result.set_value(answer.status());
            });
        return result.get_future().get();
    }

    [[nodiscard]] bool counted_stale_call() const
    {
        return this->metrics.render().find("stale_calls_total") != std::string::npos;
    }

    std::atomic<std::int64_t> now_ns{std::chrono::nanoseconds(std::chrono::hours(1)).count()};
    kernel::control_loop loop;
    kernel::traffic_loop traffic;
    metrics::registry metrics;
    cluster::group_service group;
    job_gateway gateway;
};

} // namespace

// Failure: a gateway that was frozen hands in a job, or carries out an operator's order, that its
// caller has given up and withdrawn elsewhere since.
TEST_CASE("a change that its caller may have given up is not carried out")
{
    for (const messages::job_operation operation :
         {messages::job_operation::submit, messages::job_operation::cancel,
          messages::job_operation::evacuate, messages::job_operation::restore,
          messages::job_operation::install_configuration}) {
        gateway_world w;
        w.stand_still(milliseconds(7000));
        const absl::Status status = w.call(operation, milliseconds(3000));
        CHECK(error_code<gateway_errc>(status) == gateway_errc::not_carried_out);
        CHECK(w.counted_stale_call());
    }
}

// Failure: calls are refused although their callers still wait.
TEST_CASE("a call whose caller still waits is sent after a standstill, and so is a read")
{
    gateway_world w;
    w.stand_still(milliseconds(2800));
    CHECK_FALSE(w.call(messages::job_operation::submit, milliseconds(3000)).ok());
    CHECK_FALSE(w.call(messages::job_operation::status, milliseconds(1000)).ok());
    CHECK_FALSE(w.counted_stale_call());
}

// Failure: a call is sent again after its caller has given up.
TEST_CASE("a call without a leader ends when its caller gives up")
{
    gateway_world w;
    const steady_time begun = boot_clock::now();
    CHECK_FALSE(w.call(messages::job_operation::submit, milliseconds(200)).ok());
    CHECK(boot_clock::now() - begun < milliseconds(800));
}
