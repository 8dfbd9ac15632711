#include "redwingwheel/job_gateway.h"

#include <atomic>
#include <filesystem>
#include <future>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "redwingwheel/packing.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

/// A gateway in front of a group without a leader, with a clock that the test controls.
class gateway_world {
public:
    /// `leader` is the address of the only replica. Nothing listens on the discard port.
    explicit gateway_world(const std::string& leader = "127.0.0.1:9",
                           const gateway_options& options = gateway_options())
        : group(make_settings(leader), "secret", this->loop, this->traffic),
          gateway(options, this->group, this->loop, this->metrics,
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

    static config::settings make_settings(const std::string& seed)
    {
        config::settings settings;
        settings.name = "gateway";
        settings.data_centre = "dc";
        settings.cluster.seeds = {seed};
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
        return this->call(std::move(call), caller_timeout).status();
    }

    absl::StatusOr<messages::job_answer> call(messages::job_call call, milliseconds caller_timeout)
    {
        std::promise<absl::StatusOr<messages::job_answer>> result;
        this->gateway.call(
            std::move(call), caller_timeout, [] { return true; },
            [&result](absl::StatusOr<messages::job_answer> answer) {
                result.set_value(std::move(answer));
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

/// Stands in for the leader. It answers no call before the given one, and that and later ones with
/// the result.
class leader_stand_in {
public:
    leader_stand_in(int first_answered, command_result result)
        : server(this->traffic, "secret", wire::rpc_options(),
                 [this, first_answered, result](const wire::incoming_request&,
                                                const wire::reply_function& reply) {
                     if (++this->calls >= first_answered) {
                         messages::control_reply served;
                         served.result = messages::control_reply::result_kind::served;
                         served.body = pack(messages::job_answer{result, {}, 0, ""});
                         reply(pack(served));
                     }
                 })
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(
            context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        this->address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        acceptor.close();
        REQUIRE(this->server.listen(*wire::parse_address(this->address)).ok());
        this->traffic.start();
    }
    ~leader_stand_in()
    {
        this->server.stop();
        this->traffic.stop();
    }
    leader_stand_in(const leader_stand_in&) = delete;
    leader_stand_in& operator=(const leader_stand_in&) = delete;

    std::string address;

private:
    std::atomic<int> calls{0};
    kernel::traffic_loop traffic;
    wire::rpc_server server;
};

messages::job_call submission(std::size_t payload_bytes = 1)
{
    messages::job_call call;
    call.operation = messages::job_operation::submit;
    call.definition.payload = std::string(payload_bytes, 'x');
    call.definition.steps.resize(1);
    return call;
}

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

// Failure: the leader has not answered the first attempt, refuses the second one for want of room,
// and accepts the first one when it arrives late; the caller was told that the job never runs.
TEST_CASE("a refusal after an unanswered attempt leaves the outcome unknown")
{
    constexpr milliseconds caller_timeout{3000};
    for (const command_result refusal : {command_result::no_room, command_result::unknown_key}) {
        leader_stand_in silent_at_first(2, refusal);
        gateway_world world(silent_at_first.address);
        const absl::StatusOr<messages::job_answer> late = world.call(submission(), caller_timeout);
        CHECK(error_code<gateway_errc>(late.status()) == gateway_errc::unknown);
        leader_stand_in leader(1, refusal);
        gateway_world other(leader.address);
        const absl::StatusOr<messages::job_answer> first = other.call(submission(), caller_timeout);
        REQUIRE(first.ok());
        CHECK(first->result == refusal);
    }
}

// Load: many large submissions while the leader does not answer. Failure: together they take all
// memory of the gateway.
TEST_CASE("submissions that are forwarded hold a limited amount of memory")
{
    constexpr milliseconds caller_timeout{1200};
    leader_stand_in silent(1000, command_result::accepted);
    gateway_options options;
    options.max_forwarded_bytes = 1'000'000;
    gateway_world world(silent.address, options);
    std::atomic<int> refused{0};
    std::atomic<int> ended{0};
    constexpr int crowd = 50;
    const auto count = [&refused, &ended](const absl::StatusOr<messages::job_answer>& answer) {
        refused += error_code<gateway_errc>(answer.status()) == gateway_errc::not_carried_out;
        ++ended;
    };
    for (int each = 0; each < crowd; ++each) {
        world.gateway.call(
            submission(50'000), caller_timeout, [] { return true; }, count);
    }
    // A small one still finds room: its outcome is unknown, since the leader may have got it.
    const absl::Status small = world.call(submission(), caller_timeout).status();
    CHECK(error_code<gateway_errc>(small) == gateway_errc::unknown);
    while (ended < crowd) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(refused >= crowd - 6);
    CHECK(refused < crowd);
}
