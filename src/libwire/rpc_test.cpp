#include "redwingwheel/rpc.h"

#include <future>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace wire = redwingwheel::wire;
namespace kernel = redwingwheel::kernel;
namespace asio = boost::asio;
using asio::ip::tcp;
using redwingwheel::milliseconds;
using redwingwheel::steady_time;

namespace {

constexpr std::uint16_t echo_kind = 1;
constexpr std::uint16_t never_answered_kind = 2;

redwingwheel::steady_time deadline_after(milliseconds timeout)
{
    return redwingwheel::boot_clock::now() + timeout;
}

wire::address free_address()
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

void echo(wire::incoming_request request, const wire::reply_function& reply)
{
    if (request.kind == echo_kind) {
        reply(std::move(request.body));
    }
}

absl::StatusOr<std::string> call(wire::rpc_client& client, std::uint16_t kind, std::string body,
                                 milliseconds timeout)
{
    std::promise<absl::StatusOr<std::string>> result;
    client.call(kind, std::move(body), deadline_after(timeout),
                [&result](absl::StatusOr<std::string> value) { result.set_value(value); });
    return result.get_future().get();
}

std::optional<wire::wire_errc> error_of(const absl::StatusOr<std::string>& result)
{
    return redwingwheel::error_code<wire::wire_errc>(result.status());
}

/// A server that echoes requests of echo_kind, and the loop of its clients.
struct fixture {
    wire::rpc_options options;
    wire::address address = free_address();
    kernel::traffic_loop server_loop;
    kernel::traffic_loop client_loop;
    wire::rpc_server server{server_loop, "secret", options, echo};

    fixture()
    {
        REQUIRE(this->server.listen(this->address).ok());
        this->server_loop.start();
        this->client_loop.start();
    }
};

} // namespace

// Guards against a reply that is matched to another call.
TEST_CASE("concurrent calls each get their own reply", "[rpc]")
{
    fixture test;
    wire::rpc_client client(test.client_loop, test.address, "secret", test.options);
    constexpr int calls = 200;
    std::atomic<int> answered{0};
    std::atomic<int> wrong{0};
    std::promise<void> all;
    for (int index = 0; index < calls; ++index) {
        const std::string body = std::to_string(index);
        client.call(echo_kind, body, deadline_after(milliseconds(5000)),
                    [&, body](const absl::StatusOr<std::string>& result) {
                        if (!result.ok() || *result != body) {
                            ++wrong;
                        }
                        if (++answered == calls) {
                            all.set_value();
                        }
                    });
    }
    REQUIRE(all.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    REQUIRE(wrong == 0);
}

// Guards against commands from daemons of another cluster or other unauthenticated clients.
TEST_CASE("a client without the secret is refused and its request is not sent", "[rpc]")
{
    fixture test;
    wire::rpc_client unauthenticated(test.client_loop, test.address, "guess", test.options);
    REQUIRE(error_of(call(unauthenticated, echo_kind, "x", milliseconds(2000))) ==
            wire::wire_errc::not_sent);
    REQUIRE(test.server.statistics().refused_unauthenticated == 1);
}

// Guards against "not sent" being reported for a request that the server has received.
TEST_CASE("errors tell whether the request was sent", "[rpc]")
{
    fixture test;
    wire::rpc_client client(test.client_loop, test.address, "secret", test.options);
    REQUIRE(call(client, echo_kind, "x", milliseconds(2000)).ok());
    REQUIRE(error_of(call(client, never_answered_kind, "x", milliseconds(200))) ==
            wire::wire_errc::deadline_exceeded);

    std::promise<absl::StatusOr<std::string>> lost;
    client.call(never_answered_kind, "x", deadline_after(milliseconds(5000)),
                [&lost](absl::StatusOr<std::string> result) { lost.set_value(result); });
    std::this_thread::sleep_for(milliseconds(100));
    test.server.stop();
    REQUIRE(error_of(lost.get_future().get()) == wire::wire_errc::lost_after_send);
    REQUIRE(error_of(call(client, echo_kind, "x", milliseconds(300))) == wire::wire_errc::not_sent);
}

// Failure: a process that stood still sends a request whose caller has given up since.
TEST_CASE("a call whose deadline has passed is not sent", "[rpc]")
{
    fixture test;
    wire::rpc_client client(test.client_loop, test.address, "secret", test.options);
    REQUIRE(call(client, echo_kind, "x", milliseconds(2000)).ok());
    REQUIRE(error_of(call(client, echo_kind, "x", milliseconds(-1))) == wire::wire_errc::not_sent);
}

// Guards against a malformed frame that affects other connections.
TEST_CASE("a malformed frame closes only its own connection", "[rpc]")
{
    fixture test;
    wire::rpc_client client(test.client_loop, test.address, "secret", test.options);
    REQUIRE(call(client, echo_kind, "x", milliseconds(2000)).ok());

    asio::io_context context;
    tcp::socket raw(context);
    raw.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), test.address.port));
    asio::write(raw, asio::buffer(std::string("\x7F\xFF\xFF\xFF\x01 junk", 10)));
    std::string discarded(1024, '\0');
    boost::system::error_code error;
    while (!error) {
        raw.read_some(asio::buffer(discarded), error);
    }
    REQUIRE(test.server.statistics().closed_bad_frame == 1);
    REQUIRE(call(client, echo_kind, "y", milliseconds(2000)).ok());
}

// Guards against calls that wait until their deadline on a connection that receives nothing.
TEST_CASE("a connection that receives nothing is closed after its receive timeout", "[rpc]")
{
    kernel::traffic_loop loop;
    loop.start();
    asio::io_context context;
    tcp::acceptor unresponsive(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    wire::rpc_options options;
    options.probe_interval = milliseconds(50);
    options.receive_timeout = milliseconds(200);
    wire::rpc_client client(loop, {"127.0.0.1", unresponsive.local_endpoint().port()}, "secret",
                            options);
    const redwingwheel::steady_time started = redwingwheel::boot_clock::now();
    REQUIRE(error_of(call(client, echo_kind, "x", milliseconds(10000))) ==
            wire::wire_errc::not_sent);
    REQUIRE(redwingwheel::boot_clock::now() - started < milliseconds(5000));
    REQUIRE(client.statistics().closed_receive_timeout == 1);
}
