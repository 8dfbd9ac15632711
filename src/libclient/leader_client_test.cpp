#include <catch2/catch.hpp>

#include <atomic>
#include <future>

#include <boost/asio/ip/tcp.hpp>

#include "redwingwheel/leader_client.h"
#include "redwingwheel/packing.h"

using namespace redwingwheel;

namespace {

constexpr std::string_view secret = "secret";
/// Longer than any test waits for an answer.
constexpr milliseconds outcome_timeout{6000};

wire::address free_address()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return *wire::parse_address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
}

std::string not_leader_reply()
{
    messages::control_reply reply;
    reply.result = messages::control_reply::result_kind::not_leader;
    return pack(reply);
}

/// Starts the control and traffic loops, and servers that answer as replicas with test handlers.
class test_replicas {
public:
    test_replicas()
    {
        this->loop.start();
        this->traffic.start();
    }
    ~test_replicas()
    {
        this->loop.run_and_wait([this] { this->client.reset(); });
        for (const std::unique_ptr<wire::rpc_server>& each : this->servers) {
            each->stop();
        }
        this->loop.stop();
        this->traffic.stop();
    }
    test_replicas(const test_replicas&) = delete;
    test_replicas& operator=(const test_replicas&) = delete;

    std::string add_replica(wire::request_handler handler)
    {
        const wire::address on = free_address();
        this->servers.push_back(std::make_unique<wire::rpc_server>(
            this->traffic, secret, wire::rpc_options(), std::move(handler)));
        REQUIRE(this->servers.back()->listen(on).ok());
        return wire::to_string(on);
    }

    absl::StatusOr<std::string> call(const std::vector<std::string>& addresses,
                                     milliseconds timeout)
    {
        std::promise<absl::StatusOr<std::string>> result;
        this->loop.run_and_wait([&] {
            this->client = std::make_unique<control::leader_client>(this->loop, this->traffic,
                                                                    addresses, secret);
            this->client->call_until_known(messages::kind::job_call, "body",
                                           boot_clock::now() + timeout,
                                           boot_clock::now() + outcome_timeout,
                                           [&result](absl::StatusOr<std::string> answer, bool) {
                                               result.set_value(std::move(answer));
                                           });
        });
        return result.get_future().get();
    }

    kernel::control_loop loop;
    kernel::traffic_loop traffic;
    std::vector<std::unique_ptr<wire::rpc_server>> servers;
    std::unique_ptr<control::leader_client> client;
};

constexpr milliseconds call_timeout{600};

} // namespace

// Failure: a call that no leader received is reported as possibly carried out, so that the caller
// must not send it again.
TEST_CASE("a call that reached no leader is reported as not carried out")
{
    test_replicas replicas;
    const std::string unreachable = wire::to_string(free_address());
    const std::string follower =
        replicas.add_replica([](const wire::incoming_request&, const wire::reply_function& reply) {
            reply(not_leader_reply());
        });
    const absl::StatusOr<std::string> answer = replicas.call({unreachable, follower}, call_timeout);
    CHECK(error_code<control::leader_errc>(answer.status()) == control::leader_errc::no_leader);
}

// Failure: the leader receives a call and crashes before it answers, a follower refuses the next
// attempt, and the caller is told that the call was not carried out.
TEST_CASE("an unanswered attempt keeps the outcome unknown when a follower refuses a later one")
{
    test_replicas replicas;
    const std::string unresponsive =
        replicas.add_replica([](const wire::incoming_request&, const wire::reply_function&) {});
    const std::string follower =
        replicas.add_replica([](const wire::incoming_request&, const wire::reply_function& reply) {
            reply(not_leader_reply());
        });
    const absl::StatusOr<std::string> answer =
        replicas.call({unresponsive, follower}, milliseconds(1500));
    CHECK(error_code<control::leader_errc>(answer.status()) == control::leader_errc::unanswered);
}

// Failure: the client stops at the deadline and reports an unknown outcome, although the next
// leader could still answer.
TEST_CASE("a call that may have been carried out is retried until its outcome is known")
{
    test_replicas replicas;
    const std::string unresponsive =
        replicas.add_replica([](const wire::incoming_request&, const wire::reply_function&) {});
    const steady_time leadership_start = boot_clock::now() + milliseconds(1500);
    const std::string successor = replicas.add_replica(
        [leadership_start](const wire::incoming_request&, const wire::reply_function& reply) {
            messages::control_reply served;
            served.result = messages::control_reply::result_kind::served;
            served.body = "outcome";
            reply(boot_clock::now() < leadership_start ? not_leader_reply() : pack(served));
        });
    const absl::StatusOr<std::string> answer =
        replicas.call({unresponsive, successor}, milliseconds(1000));
    REQUIRE(answer.ok());
    CHECK(*answer == "outcome");
}

// Load: a leader with too many calls in progress. Failure: each of them is repeated at once, which
// keeps the leader busy, or is reported as possibly carried out.
TEST_CASE("a call that a busy leader refuses is repeated with a pause")
{
    test_replicas replicas;
    std::atomic<int> calls{0};
    const std::string leader = replicas.add_replica(
        [&calls](const wire::incoming_request&, const wire::reply_function& reply) {
            ++calls;
            messages::control_reply busy;
            busy.result = messages::control_reply::result_kind::busy;
            reply(pack(busy));
        });
    const absl::StatusOr<std::string> answer = replicas.call({leader}, milliseconds(900));
    CHECK(error_code<control::leader_errc>(answer.status()) == control::leader_errc::no_leader);
    CHECK(calls >= 1);
    CHECK(calls <= 4);
}

// Failure: a call fails because the first replica is not the leader, although it names the leader.
TEST_CASE("a call is redirected to the leader")
{
    test_replicas replicas;
    const std::string leader = replicas.add_replica(
        [](const wire::incoming_request& request, const wire::reply_function& reply) {
            messages::control_reply served;
            served.result = messages::control_reply::result_kind::served;
            served.body = "answer to " + std::string(request.body);
            reply(pack(served));
        });
    const std::string follower = replicas.add_replica(
        [leader](const wire::incoming_request&, const wire::reply_function& reply) {
            messages::control_reply redirection;
            redirection.result = messages::control_reply::result_kind::not_leader;
            redirection.leader = leader;
            reply(pack(redirection));
        });
    const absl::StatusOr<std::string> answer = replicas.call({follower, leader}, call_timeout);
    REQUIRE(answer.ok());
    CHECK(*answer == "answer to body");
}
