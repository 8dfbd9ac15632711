#include <catch2/catch.hpp>

#include <future>

#include <boost/asio/ip/tcp.hpp>

#include "redwingwheel/leader_client.h"
#include "redwingwheel/packing.h"

using namespace redwingwheel;

namespace {

constexpr std::string_view secret = "secret";
/// Far beyond the times to answer of the tests.
constexpr milliseconds settle_within{6000};

wire::address free_address()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return *wire::parse_address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
}

std::string refusal()
{
    messages::control_reply reply;
    reply.result = messages::control_reply::result_kind::not_leader;
    return pack(reply);
}

/// Loops, and replicas whose answers a test chooses.
class replicas_world {
public:
    replicas_world()
    {
        this->loop.start();
        this->traffic.start();
    }
    ~replicas_world()
    {
        this->loop.run_and_wait([this] { this->client.reset(); });
        for (const std::unique_ptr<wire::rpc_server>& each : this->servers) {
            each->stop();
        }
        this->loop.stop();
        this->traffic.stop();
    }
    replicas_world(const replicas_world&) = delete;
    replicas_world& operator=(const replicas_world&) = delete;

    std::string add_replica(wire::request_handler handler)
    {
        const wire::address on = free_address();
        this->servers.push_back(std::make_unique<wire::rpc_server>(
            this->traffic, secret, wire::rpc_options(), std::move(handler)));
        REQUIRE(this->servers.back()->listen(on).ok());
        return wire::to_string(on);
    }

    absl::StatusOr<std::string> call(const std::vector<std::string>& addresses, milliseconds within)
    {
        std::promise<absl::StatusOr<std::string>> result;
        this->loop.run_and_wait([&] {
            this->client = std::make_unique<control::leader_client>(this->loop, this->traffic,
                                                                    addresses, secret);
            this->client->call_until_known(
                messages::kind::job_call, "body", boot_clock::now() + within,
                boot_clock::now() + settle_within, [&result](absl::StatusOr<std::string> answer) {
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

constexpr milliseconds patience{600};

} // namespace

// Failure: a call that no replica has seen is reported as one that may have been carried out, so
// that its caller does not dare to send it again.
TEST_CASE("a call that reached no leader was not carried out")
{
    replicas_world world;
    const std::string silent = wire::to_string(free_address());
    const std::string follower = world.add_replica(
        [](const wire::incoming_request&, const wire::reply_function& reply) { reply(refusal()); });
    const absl::StatusOr<std::string> answer = world.call({silent, follower}, patience);
    CHECK(error_code<control::leader_errc>(answer.status()) == control::leader_errc::no_leader);
}

// Failure: the leader takes a call and dies, a follower refuses the next try, and the caller is
// told that nothing was carried out.
TEST_CASE("a call whose first try was not answered stays unknown when a later try is refused")
{
    replicas_world world;
    const std::string mute =
        world.add_replica([](const wire::incoming_request&, const wire::reply_function&) {});
    const std::string follower = world.add_replica(
        [](const wire::incoming_request&, const wire::reply_function& reply) { reply(refusal()); });
    const absl::StatusOr<std::string> answer = world.call({mute, follower}, milliseconds(1500));
    CHECK(error_code<control::leader_errc>(answer.status()) == control::leader_errc::unanswered);
}

// Failure: the caller is told that the outcome is unknown although the next leader could tell it.
TEST_CASE("a call that may have been carried out is tried until its outcome is known")
{
    replicas_world world;
    const std::string mute =
        world.add_replica([](const wire::incoming_request&, const wire::reply_function&) {});
    const steady_time leads_from = boot_clock::now() + milliseconds(1500);
    const std::string successor = world.add_replica(
        [leads_from](const wire::incoming_request&, const wire::reply_function& reply) {
            messages::control_reply served;
            served.result = messages::control_reply::result_kind::served;
            served.body = "outcome";
            reply(boot_clock::now() < leads_from ? refusal() : pack(served));
        });
    const absl::StatusOr<std::string> answer = world.call({mute, successor}, milliseconds(1000));
    REQUIRE(answer.ok());
    CHECK(*answer == "outcome");
}

// Failure: a call is lost with the leader that was asked first although another one leads by now.
TEST_CASE("a call goes on to the replica that leads")
{
    replicas_world world;
    const std::string leader = world.add_replica(
        [](const wire::incoming_request& request, const wire::reply_function& reply) {
            messages::control_reply served;
            served.result = messages::control_reply::result_kind::served;
            served.body = "answer to " + std::string(request.body);
            reply(pack(served));
        });
    const std::string follower = world.add_replica(
        [leader](const wire::incoming_request&, const wire::reply_function& reply) {
            messages::control_reply elsewhere;
            elsewhere.result = messages::control_reply::result_kind::not_leader;
            elsewhere.leader = leader;
            reply(pack(elsewhere));
        });
    const absl::StatusOr<std::string> answer = world.call({follower, leader}, patience);
    REQUIRE(answer.ok());
    CHECK(*answer == "answer to body");
}
