#include "redwingwheel/http_client.h"

#include <atomic>
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

redwingwheel::steady_time in(milliseconds time)
{
    return redwingwheel::boot_clock::now() + time;
}

wire::address free_address()
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

absl::StatusOr<http::client_response> get(http::client& client, const wire::address& from,
                                          const std::string& path, milliseconds patience,
                                          const std::string& body = "")
{
    std::promise<absl::StatusOr<http::client_response>> result;
    http::client_request request;
    request.method = body.empty() ? "GET" : "POST";
    request.url = fmt::format("http://{}{}", wire::to_string(from), path);
    request.body = body;
    request.deadline = in(patience);
    client.send(request, [&result](absl::StatusOr<http::client_response> response) {
        result.set_value(std::move(response));
    });
    return result.get_future().get();
}

/// Answers /late/N after a moment from another thread, everything else at once with its path.
class late_server {
public:
    late_server()
        : server(options(), [this](http::server_request request, http::responder respond) {
              if (request.path.starts_with("/late/")) {
                  this->answer_later(request.path, std::move(respond));
                  return;
              }
              respond({200, "text/plain", request.path + request.body, {{"X-Test", "yes"}}});
          })
    {
        REQUIRE(this->server.start(this->address).ok());
    }
    ~late_server()
    {
        for (std::thread& each : this->threads) {
            each.join();
        }
    }
    late_server(const late_server&) = delete;
    late_server& operator=(const late_server&) = delete;

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
    void answer_later(const std::string& path, http::responder respond)
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        this->threads.emplace_back([path, respond = std::move(respond)] {
            std::this_thread::sleep_for(milliseconds(100));
            respond({200, "text/plain", path, {}});
        });
    }
};

/// A server that sends fixed bytes to the first connection and closes it.
class raw_server {
public:
    explicit raw_server(std::string bytes) : thread([this, bytes] { this->serve(bytes); }) {}
    ~raw_server() { this->thread.join(); }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

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

std::optional<http::http_errc> failure(const absl::StatusOr<http::client_response>& result)
{
    return redwingwheel::error_code<http::http_errc>(result.status());
}

} // namespace

// Guards against headers that Pistache drops, and against connections closed after each answer.
TEST_CASE("answers carry their headers and keep the connection", "[http]")
{
    late_server test;
    http::client client({});
    const absl::StatusOr<http::client_response> response =
        get(client, test.address, "/x", milliseconds(3000));
    REQUIRE(response.ok());
    REQUIRE(response->content_type == "text/plain");
    REQUIRE(response->headers.at("x-test") == "yes");
    REQUIRE(response->headers.at("connection") == "Keep-Alive");
    REQUIRE(get(client, test.address, "/y", milliseconds(3000))->body == "/y");
}

// Guards against an answer given late, from another thread, being lost.
TEST_CASE("a handler may answer later from another thread", "[http]")
{
    late_server test;
    http::client client({});
    const absl::StatusOr<http::client_response> response =
        get(client, test.address, "/late/1", milliseconds(3000));
    REQUIRE(response.ok());
    REQUIRE(response->body == "/late/1");
}

// Guards against an answer to a caller that went away reaching the next connection, which may get
// the same file descriptor.
TEST_CASE("answers of vanished callers reach nobody else", "[http]")
{
    late_server test;
    http::client impatient({});
    http::client patient({});
    int wrong = 0;
    for (int round = 0; round < 20; ++round) {
        const std::string late = fmt::format("/late/{}", round);
        std::vector<std::thread> leaving;
        for (int index = 0; index < 4; ++index) {
            leaving.emplace_back([&test, &late] {
                http::client own({});
                static_cast<void>(get(own, test.address, late, milliseconds(95)));
            });
        }
        const std::string own_path = fmt::format("/late/own-{}", round);
        const absl::StatusOr<http::client_response> own =
            get(patient, test.address, own_path, milliseconds(3000));
        for (std::thread& each : leaving) {
            each.join();
        }
        if (!own.ok() || own->body != own_path) {
            ++wrong;
        }
    }
    REQUIRE(wrong == 0);
}

// Guards against memory being taken by a body over the limit, and against harm to other callers.
TEST_CASE("a body over the limit is refused and others go on", "[http]")
{
    late_server test;
    http::client client({});
    const absl::StatusOr<http::client_response> large =
        get(client, test.address, "/x", milliseconds(3000), std::string(200 * 1024, 'a'));
    REQUIRE((!large.ok() || large->status == 413));
    REQUIRE(get(client, test.address, "/y", milliseconds(3000))->body == "/y");
    REQUIRE(test.server.open_requests() == 0);
}

// Guards against one caller that takes every connection of an entry.
TEST_CASE("connections beyond the limit are refused and freed ones are reused", "[http]")
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

// Guards against answers of pipelined requests that overtake each other: the second request here
// would be answered first.
TEST_CASE("a second request before the answer to the first is not served", "[http]")
{
    late_server test;
    asio::io_context context;
    tcp::socket raw(context);
    raw.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), test.address.port));
    asio::write(raw, asio::buffer(std::string("GET /late/1 HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::this_thread::sleep_for(milliseconds(30));
    asio::write(raw, asio::buffer(std::string("GET /second HTTP/1.1\r\nHost: a\r\n\r\n")));
    asio::streambuf answer;
    asio::read_until(raw, answer, "/late/1");
    std::string all(asio::buffers_begin(answer.data()), asio::buffers_end(answer.data()));
    std::this_thread::sleep_for(milliseconds(100));
    std::string rest(raw.available(), '\0');
    asio::read(raw, asio::buffer(rest));
    all += rest;
    REQUIRE(all.find("/late/1") != std::string::npos);
    REQUIRE(all.find("Connection: Close") != std::string::npos);
    REQUIRE(all.find("/second") == std::string::npos);
}

// Guards against a planned stop that cuts an answer, and against a crash by answers after it.
TEST_CASE("a stop waits for open requests and drops later answers", "[http]")
{
    late_server test;
    http::client client({});
    std::promise<absl::StatusOr<http::client_response>> result;
    http::client_request request;
    request.url = fmt::format("http://{}/late/7", wire::to_string(test.address));
    request.deadline = in(milliseconds(3000));
    client.send(request, [&result](absl::StatusOr<http::client_response> response) {
        result.set_value(std::move(response));
    });
    while (test.server.open_requests() == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    SECTION("drained")
    {
        REQUIRE(test.server.wait_until_idle(in(milliseconds(3000))) == 0);
        test.server.stop();
        const absl::StatusOr<http::client_response> response = result.get_future().get();
        REQUIRE(response.ok());
        REQUIRE(response->body == "/late/7");
    }
    SECTION("not drained")
    {
        test.server.stop();
        REQUIRE(failure(result.get_future().get()) == http::http_errc::lost_after_send);
    }
}

// Guards against a truncated body being taken for a whole answer.
TEST_CASE("an answer shorter than announced is reported", "[http]")
{
    raw_server truncating("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort");
    http::client client({});
    REQUIRE(failure(get(client, truncating.address(), "/", milliseconds(3000))) ==
            http::http_errc::incomplete_answer);
}

// Guards against "not run" being concluded for a request that a server received.
TEST_CASE("failures tell a missing connection from a lost one", "[http]")
{
    http::client client({});
    REQUIRE(failure(get(client, free_address(), "/", milliseconds(3000))) ==
            http::http_errc::connection_refused);
    raw_server closing("");
    REQUIRE(failure(get(client, closing.address(), "/", milliseconds(3000))) ==
            http::http_errc::lost_after_send);
    late_server test;
    REQUIRE(failure(get(client, test.address, "/late/1", milliseconds(30))) ==
            http::http_errc::lost_after_send);
}

// Guards against a request that comes while callers are given time to close, and is cut at the
// stop.
TEST_CASE("a request that comes late in a planned stop is waited for", "[http]")
{
    const wire::address address = free_address();
    std::promise<http::responder> taken;
    http::server server(late_server::options(),
                        [&taken](const http::server_request& request, http::responder respond) {
                            if (request.path == "/first") {
                                respond({200, "text/plain", "first", {}});
                                return;
                            }
                            taken.set_value(std::move(respond));
                        });
    REQUIRE(server.start(address).ok());
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    asio::write(socket, asio::buffer(std::string("GET /first HTTP/1.1\r\nHost: x\r\n\r\n")));
    std::string first;
    REQUIRE(asio::read_until(socket, asio::dynamic_buffer(first), "\r\n\r\nfirst") > 0);
    std::thread stopping([&server] {
        server.wait_until_idle(in(milliseconds(5000)));
        server.stop();
    });
    std::this_thread::sleep_for(milliseconds(300));
    asio::write(socket, asio::buffer(std::string("GET /late HTTP/1.1\r\nHost: x\r\n\r\n")));
    http::responder respond = taken.get_future().get();
    // Longer than the listener waits for idle connections.
    std::this_thread::sleep_for(milliseconds(1200));
    CHECK(respond({200, "text/plain", "whole", {}}));
    std::string answer;
    CHECK(asio::read_until(socket, asio::dynamic_buffer(answer), "whole") > 0);
    socket.close();
    stopping.join();
}
