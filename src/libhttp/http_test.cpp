#include "redwingwheel/http_client.h"

#include <atomic>
#include <ctime>
#include <future>
#include <thread>
#include <vector>

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace http = redwingwheel::http;
namespace wire = redwingwheel::wire;
namespace asio = boost::asio;
using asio::ip::tcp;
using redwingwheel::milliseconds;
using redwingwheel::steady_time;

namespace {

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

absl::StatusOr<http::client_response> get(http::client& client, const wire::address& from,
                                          const std::string& path, milliseconds timeout,
                                          const std::string& body = "")
{
    std::promise<absl::StatusOr<http::client_response>> result;
    http::client_request request;
    request.method = body.empty() ? "GET" : "POST";
    request.url = fmt::format("http://{}{}", wire::to_string(from), path);
    request.body = body;
    request.deadline = deadline_after(timeout);
    client.send(request, [&result](absl::StatusOr<http::client_response> response) {
        result.set_value(std::move(response));
    });
    return result.get_future().get();
}

/// Responds to /late/N after 100 ms from another thread, and to any other path at once with the
/// path and body of the request.
class delaying_server {
public:
    delaying_server()
        : server(options(), [this](http::server_request request, http::responder respond) {
              if (request.path.starts_with("/late/")) {
                  this->respond_later(request.path, std::move(respond));
                  return;
              }
              respond({200, "text/plain", request.path + request.body, {{"X-Test", "yes"}}});
          })
    {
        REQUIRE(this->server.start(this->address).ok());
    }
    ~delaying_server()
    {
        for (std::thread& each : this->threads) {
            each.join();
        }
    }
    delaying_server(const delaying_server&) = delete;
    delaying_server& operator=(const delaying_server&) = delete;

    static http::server_options options()
    {
        http::server_options limits;
        limits.max_request_bytes = 64 * 1024;
        return limits;
    }

    wire::address address = free_address();
    std::mutex lock;
    std::vector<std::thread> threads;
    http::server server;

private:
    void respond_later(const std::string& path, http::responder respond)
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        this->threads.emplace_back([path, respond = std::move(respond)] {
            std::this_thread::sleep_for(milliseconds(100));
            respond({200, "text/plain", path, {}});
        });
    }
};

/// Accepts one connection, reads the request headers, sends fixed bytes and closes the connection.
class fixed_response_server {
public:
    explicit fixed_response_server(std::string bytes)
        : thread([this, bytes] { this->serve(bytes); })
    {
    }
    ~fixed_response_server() { this->thread.join(); }
    fixed_response_server(const fixed_response_server&) = delete;
    fixed_response_server& operator=(const fixed_response_server&) = delete;

    [[nodiscard]] wire::address address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    void serve(const std::string& bytes)
    {
        tcp::socket peer = this->acceptor.accept();
        asio::streambuf request;
        asio::read_until(peer, request, "\r\n\r\n");
        asio::write(peer, asio::buffer(bytes));
    }

    asio::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::thread thread;
};

std::optional<http::http_errc> error_of(const absl::StatusOr<http::client_response>& result)
{
    return redwingwheel::error_code<http::http_errc>(result.status());
}

} // namespace

// Guards against headers that Pistache drops, and against connections closed after each response.
TEST_CASE("responses carry their headers and keep the connection open", "[http]")
{
    delaying_server test;
    http::client client({});
    const absl::StatusOr<http::client_response> response =
        get(client, test.address, "/x", milliseconds(3000));
    REQUIRE(response.ok());
    REQUIRE(response->content_type == "text/plain");
    REQUIRE(response->headers.at("x-test") == "yes");
    REQUIRE(response->headers.at("connection") == "Keep-Alive");
    REQUIRE(get(client, test.address, "/y", milliseconds(3000))->body == "/y");
}

// Guards against the loss of a response that another thread sends later.
TEST_CASE("a handler may respond later from another thread", "[http]")
{
    delaying_server test;
    http::client client({});
    const absl::StatusOr<http::client_response> response =
        get(client, test.address, "/late/1", milliseconds(3000));
    REQUIRE(response.ok());
    REQUIRE(response->body == "/late/1");
}

// Guards against a response to a disconnected client that is sent over a new connection with the
// same file descriptor.
TEST_CASE("responses to disconnected clients reach no other client", "[http]")
{
    delaying_server test;
    http::client idle({});
    http::client waiting({});
    int wrong = 0;
    for (int round = 0; round < 20; ++round) {
        const std::string late = fmt::format("/late/{}", round);
        std::vector<std::thread> disconnecting_clients;
        for (int index = 0; index < 4; ++index) {
            disconnecting_clients.emplace_back([&test, &late] {
                http::client disconnecting({});
                static_cast<void>(get(disconnecting, test.address, late, milliseconds(95)));
            });
        }
        const std::string own_path = fmt::format("/late/own-{}", round);
        const absl::StatusOr<http::client_response> own =
            get(waiting, test.address, own_path, milliseconds(3000));
        for (std::thread& each : disconnecting_clients) {
            each.join();
        }
        if (!own.ok() || own->body != own_path) {
            ++wrong;
        }
    }
    REQUIRE(wrong == 0);
}

// Guards against a body over the limit that exhausts memory or affects other clients.
TEST_CASE("a body over the limit is refused and other requests are served", "[http]")
{
    delaying_server test;
    http::client client({});
    const absl::StatusOr<http::client_response> large =
        get(client, test.address, "/x", milliseconds(3000), std::string(200 * 1024, 'a'));
    REQUIRE((!large.ok() || large->status == 413));
    REQUIRE(get(client, test.address, "/y", milliseconds(3000))->body == "/y");
    REQUIRE(test.server.open_requests() == 0);
}

// Guards against a refusal that leaves an operator without a hint why a large document is refused.
TEST_CASE("the refusal of a large body names the limit", "[http]")
{
    delaying_server test;
    asio::io_context context;
    tcp::socket raw(context);
    raw.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), test.address.port));
    const std::size_t limit = delaying_server::options().max_request_bytes;
    asio::write(raw, asio::buffer(fmt::format("POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}",
                                              limit, std::string(limit, 'a'))));
    asio::streambuf received;
    asio::read_until(raw, received, "\"}");
    const std::string response(asio::buffers_begin(received.data()),
                               asio::buffers_end(received.data()));
    CHECK(response.find(" 413 ") != std::string::npos);
    CHECK(response.find(fmt::format("larger than {} bytes", limit)) != std::string::npos);
}

// Guards against a transport that busy-waits for a client with a full receive window, and against a
// large response that is cut off: other clients are served meanwhile, and the whole body arrives.
TEST_CASE("a large response to a slow reader arrives whole and uses no processor time", "[http]")
{
    const std::string body(std::size_t{8} * 1024 * 1024, 'r');
    http::server server(
        {}, [&body](const http::server_request& request, const http::responder& respond) {
            respond({200, "text/plain", request.path == "/large" ? body : "small", {}});
        });
    const wire::address address = free_address();
    REQUIRE(server.start(address).ok());
    asio::io_context context;
    tcp::socket raw(context);
    raw.open(tcp::v4());
    raw.set_option(asio::socket_base::receive_buffer_size(8 * 1024));
    raw.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), address.port));
    asio::write(raw, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: a\r\n\r\n")));

    const std::clock_t before = std::clock();
    std::this_thread::sleep_for(milliseconds(400));
    const double used_s = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    CHECK(used_s < 0.1);
    http::client other({});
    CHECK(get(other, address, "/x", milliseconds(3000))->body == "small");

    asio::streambuf received;
    const std::size_t header_bytes = asio::read_until(raw, received, "\r\n\r\n");
    const std::size_t read_with_header = received.size() - header_bytes;
    asio::read(raw, received, asio::transfer_exactly(body.size() - read_with_header));
    REQUIRE(received.size() == header_bytes + body.size());
}

// Guards against a planned stop that cuts off a large response.
TEST_CASE("a shutdown waits until a large response is sent", "[http]")
{
    const std::string body(std::size_t{8} * 1024 * 1024, 'r');
    http::server server({}, [&body](const http::server_request&, const http::responder& respond) {
        respond({200, "text/plain", body, {}});
    });
    const wire::address address = free_address();
    REQUIRE(server.start(address).ok());
    asio::io_context context;
    tcp::socket raw(context);
    raw.open(tcp::v4());
    raw.set_option(asio::socket_base::receive_buffer_size(8 * 1024));
    raw.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), address.port));
    asio::write(raw, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: a\r\n\r\n")));
    asio::streambuf received;
    const std::size_t header_bytes = asio::read_until(raw, received, "\r\n\r\n");
    std::future<std::size_t> open_requests = std::async(std::launch::async, [&server] {
        return server.wait_until_idle(deadline_after(milliseconds(10'000)));
    });
    // Longer than the time for which the server waits for idle connections to be closed.
    CHECK(open_requests.wait_for(milliseconds(1500)) == std::future_status::timeout);
    asio::read(raw, received, asio::transfer_exactly(header_bytes + body.size() - received.size()));
    raw.close();
    CHECK(open_requests.get() == 0);
    CHECK(server.abandoned_requests() == 0);
}

// Guards against the rest of a large response that is sent over the next connection with the same
// descriptor, and against requests that stay open after their client has gone.
TEST_CASE("a client that disconnects during a large response affects no other client", "[http]")
{
    const std::string body(std::size_t{8} * 1024 * 1024, 'r');
    http::server server(
        {}, [&body](const http::server_request& request, const http::responder& respond) {
            respond({200, "text/plain", request.path == "/large" ? body : request.path, {}});
        });
    const wire::address address = free_address();
    REQUIRE(server.start(address).ok());
    for (int round = 0; round < 20; ++round) {
        asio::io_context context;
        tcp::socket raw(context);
        raw.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), address.port));
        asio::write(raw, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: a\r\n\r\n")));
        asio::streambuf received;
        asio::read_until(raw, received, "\r\n\r\n");
        raw.close();
        http::client other({});
        const std::string path = fmt::format("/small-{}", round);
        const absl::StatusOr<http::client_response> response =
            get(other, address, path, milliseconds(3000));
        REQUIRE(response.ok());
        CHECK(response->body == path);
    }
    for (int wait = 0; wait < 100 && server.open_requests() > 0; ++wait) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(server.open_requests() == 0);
}

// Guards against a client that takes up all connections of a server.
TEST_CASE("connections over the limit are refused until another one is closed", "[http]")
{
    http::server_options limits;
    limits.max_connections = 1;
    http::server server(limits, [](const http::server_request&, const http::responder& respond) {
        respond({200, "text/plain", "served", {}});
    });
    const wire::address address = free_address();
    REQUIRE(server.start(address).ok());
    http::client other({});
    {
        http::client first({});
        REQUIRE(get(first, address, "/", milliseconds(3000))->body == "served");
        REQUIRE(get(other, address, "/", milliseconds(3000))->status == 503);
        REQUIRE(get(first, address, "/", milliseconds(3000))->body == "served");
    }
    int status = 503;
    for (int round = 0; round < 100 && status == 503; ++round) {
        std::this_thread::sleep_for(milliseconds(10));
        status = get(other, address, "/", milliseconds(3000))->status;
    }
    REQUIRE(status == 200);
}

// Guards against responses to pipelined requests that overtake each other: the second request here
// would get its response first.
TEST_CASE("a second request before the response to the first is not served", "[http]")
{
    delaying_server test;
    asio::io_context context;
    tcp::socket raw(context);
    raw.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), test.address.port));
    asio::write(raw, asio::buffer(std::string("GET /late/1 HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::this_thread::sleep_for(milliseconds(30));
    asio::write(raw, asio::buffer(std::string("GET /second HTTP/1.1\r\nHost: a\r\n\r\n")));
    asio::streambuf response_buffer;
    asio::read_until(raw, response_buffer, "/late/1");
    std::string all(asio::buffers_begin(response_buffer.data()),
                    asio::buffers_end(response_buffer.data()));
    std::this_thread::sleep_for(milliseconds(100));
    std::string rest(raw.available(), '\0');
    asio::read(raw, asio::buffer(rest));
    all += rest;
    REQUIRE(all.find("/late/1") != std::string::npos);
    REQUIRE(all.find("Connection: Close") != std::string::npos);
    REQUIRE(all.find("/second") == std::string::npos);
}

// Guards against a shutdown that truncates a response, and against a crash by a response after it.
TEST_CASE("a shutdown can wait for open requests, and later responses are dropped", "[http]")
{
    delaying_server test;
    http::client client({});
    std::promise<absl::StatusOr<http::client_response>> result;
    http::client_request request;
    request.url = fmt::format("http://{}/late/7", wire::to_string(test.address));
    request.deadline = deadline_after(milliseconds(3000));
    client.send(request, [&result](absl::StatusOr<http::client_response> response) {
        result.set_value(std::move(response));
    });
    while (test.server.open_requests() == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    SECTION("drained")
    {
        REQUIRE(test.server.wait_until_idle(deadline_after(milliseconds(3000))) == 0);
        test.server.stop();
        const absl::StatusOr<http::client_response> response = result.get_future().get();
        REQUIRE(response.ok());
        REQUIRE(response->body == "/late/7");
    }
    SECTION("not drained")
    {
        test.server.stop();
        REQUIRE(error_of(result.get_future().get()) == http::http_errc::lost_after_send);
    }
}

// Guards against a truncated body that is taken for a complete response.
TEST_CASE("a response shorter than its declared length is an error", "[http]")
{
    fixed_response_server truncating("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort");
    http::client client({});
    REQUIRE(error_of(get(client, truncating.address(), "/", milliseconds(3000))) ==
            http::http_errc::incomplete_response);
}

// Guards against "not run" being reported for a request that a server has received.
TEST_CASE("errors distinguish a refused connection from a lost one", "[http]")
{
    http::client client({});
    REQUIRE(error_of(get(client, free_address(), "/", milliseconds(3000))) ==
            http::http_errc::connection_refused);
    fixed_response_server closing("");
    REQUIRE(error_of(get(client, closing.address(), "/", milliseconds(3000))) ==
            http::http_errc::lost_after_send);
    delaying_server test;
    REQUIRE(error_of(get(client, test.address, "/late/1", milliseconds(30))) ==
            http::http_errc::lost_after_send);
}

// Failure: a status or content type that a backend server made up raises an exception on the thread
// that passes its answer on.
TEST_CASE("any status and content type can be passed on", "[http]")
{
    std::atomic<int> status = 0;
    http::server server({}, [&status](const http::server_request&, const http::responder& respond) {
        respond({status, "\xff/;=\t", "b", {{"X-Worker", "\xfe"}}});
    });
    const wire::address address = free_address();
    REQUIRE(server.start(address).ok());
    for (const int sent : {200, 299, 418, 599, 600, 999}) {
        CAPTURE(sent);
        status = sent;
        http::client client({});
        const absl::StatusOr<http::client_response> response =
            get(client, address, "/", milliseconds(3000));
        REQUIRE(response.ok());
        CHECK(response->status == sent);
        CHECK(response->body == "b");
    }
}

// Guards against the loss of a request that arrives during a shutdown, while the server waits for
// clients to disconnect.
TEST_CASE("a shutdown waits for a request that arrives while clients disconnect", "[http]")
{
    const wire::address address = free_address();
    std::promise<http::responder> received;
    http::server server(delaying_server::options(),
                        [&received](const http::server_request& request, http::responder respond) {
                            if (request.path == "/first") {
                                respond({200, "text/plain", "first", {}});
                                return;
                            }
                            received.set_value(std::move(respond));
                        });
    REQUIRE(server.start(address).ok());
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    asio::write(socket, asio::buffer(std::string("GET /first HTTP/1.1\r\nHost: x\r\n\r\n")));
    std::string first;
    REQUIRE(asio::read_until(socket, asio::dynamic_buffer(first), "\r\n\r\nfirst") > 0);
    std::thread stopping([&server] {
        server.wait_until_idle(deadline_after(milliseconds(5000)));
        server.stop();
    });
    std::this_thread::sleep_for(milliseconds(300));
    asio::write(socket, asio::buffer(std::string("GET /late HTTP/1.1\r\nHost: x\r\n\r\n")));
    http::responder respond = received.get_future().get();
    // Longer than wait_until_idle() waits for idle connections.
    std::this_thread::sleep_for(milliseconds(1200));
    CHECK(respond({200, "text/plain", "whole", {}}));
    std::string response_buffer;
    CHECK(asio::read_until(socket, asio::dynamic_buffer(response_buffer), "whole") > 0);
    socket.close();
    stopping.join();
}

// Failure: a request is carried out although its client has left while it was being prepared.
TEST_CASE("a handler learns that the client has closed its connection", "[http]")
{
    const wire::address address = free_address();
    std::promise<http::server_request> received;
    std::promise<http::responder> responder;
    http::server server({}, [&](const http::server_request& request, http::responder respond) {
        received.set_value(request);
        responder.set_value(std::move(respond));
    });
    REQUIRE(server.start(address).ok());
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    asio::write(socket, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: x\r\n\r\n")));
    const http::server_request request = received.get_future().get();
    const http::responder respond = responder.get_future().get();
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(request.client_connected());
    // Unread input must not hide the close behind it.
    asio::write(socket, asio::buffer(std::string("GET /b HTTP/1.1\r\nHost: x\r\n\r\n")));
    socket.close();
    CHECK_FALSE(request.client_connected());
    std::this_thread::sleep_for(milliseconds(50));
    CHECK_FALSE(request.client_connected());
    respond({200, "text/plain", "", {}});
    server.stop();
    CHECK_FALSE(request.client_connected());
}

// Failure: a body within the limit is refused, or takes quadratic time, because its chunks are
// small.
TEST_CASE("a body in chunks of one byte is served", "[http][limits]")
{
    delaying_server test;
    std::string request = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body(60 * 1024, 'b');
    for (const char each : body) {
        request += fmt::format("1\r\n{}\r\n", each);
    }
    asio::io_context context;
    tcp::socket raw(context);
    raw.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), test.address.port));
    asio::write(raw, asio::buffer(request + "0\r\n\r\n"));
    std::string received;
    asio::read_until(raw, asio::dynamic_buffer(received), "/x" + body);
    CHECK(received.find(" 200 ") != std::string::npos);
}
