#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "redwingwheel/address.h"
#include "redwingwheel/clock.h"
#include "redwingwheel/errors.h"

/// HTTP server (Pistache) and client (libcurl) with defined behaviour on lost connections,
/// oversized messages and shutdown.
namespace redwingwheel::http {

enum class http_errc {
    /// The server cannot listen on the address.
    listen_failed = 1,
    /// No connection to the server was made; the request was not sent.
    not_connected,
    /// The connection was refused: no process listens on the address. The request was not sent.
    connection_refused,
    /// The connection was lost or the request timed out after sending had begun; whether the
    /// request was executed is unknown.
    lost_after_send,
    /// The response body is shorter than its declared length, or its end was not received.
    incomplete_response,
    /// The response body exceeds client_options::max_response_bytes.
    response_too_large,
};

[[nodiscard]] constexpr std::string_view error_layer(http_errc)
{
    return "http";
}
[[nodiscard]] std::string_view error_name(http_errc code);
[[nodiscard]] absl::StatusCode error_category(http_errc code);

/// True when the error implies that no part of the request was sent.
[[nodiscard]] bool was_not_sent(const absl::Status& status);

/// Header names are in lower case.
using header_map = std::map<std::string, std::string, std::less<>>;

struct server_request {
    std::string method;
    std::string path;
    /// Query parameters by name.
    header_map query;
    header_map headers;
    std::string body;
    /// IP address of the client.
    std::string peer;
    /// False once the client has closed its connection or the server has stopped. A close that has
    /// not reached this host yet is not seen. May be called from any thread, at any time.
    std::function<bool()> client_connected = [] { return true; };

    /// Value of a header; empty when it is absent. `name` is in lower case.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct server_response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    header_map headers;
};

/// Sends the response. May be called later, from any thread; only the first call has an effect.
/// Returns false when the response was dropped because the client has disconnected or the server
/// has stopped, and for every further call.
using responder = std::function<bool(const server_response&)>;

/// Called on one of the server's threads. May store the responder; when its last copy is destroyed
/// without a call, the client gets status 500.
using server_handler = std::function<void(server_request, responder)>;

struct server_options {
    int threads = 2;
    /// Larger requests get status 413, and their connection is closed.
    std::size_t max_request_bytes = std::size_t{1024} * 1024;
    /// A connection over this number takes the place of one that is idle; when none is, its request
    /// gets status 503 and it is closed.
    std::size_t max_connections = 1024;
    /// Share of the descriptors that the process may open: connections are limited to it as well,
    /// so that clients cannot keep the process from opening files and other connections.
    double descriptor_share = 0.5;
    /// Memory that all unfinished requests may hold together. Over it, requests that stall get
    /// status 503 first, then the largest ones, and their connections are closed. At least the
    /// memory of one request, which is up to twice max_request_bytes.
    std::size_t max_unfinished_bytes = std::size_t{8} * 1024 * 1024;
    /// An unfinished request that has received nothing for this long gets status 408.
    milliseconds max_stall{15'000};
    /// A request that takes longer than this to arrive gets status 408.
    milliseconds max_request_time{60'000};
    /// Called for each connection that is closed for one of these limits, with the name of the
    /// cause: connections, memory, stalled, too_slow, unreadable. Called on any thread of the
    /// server.
    std::function<void(std::string_view cause)> on_limit = [](std::string_view) {};
};

/// HTTP server that passes requests to a handler, one at a time per connection. When a client sends
/// more before it has its response, the further input is dropped and the connection is closed after
/// that response.
class server {
public:
    server(const server_options& options, server_handler handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Opens the port and starts the server's threads. Errors: listen_failed.
    [[nodiscard]] absl::Status start(const wire::address& on);

    /// Waits until each request passed to the handler has its response, then up to a second for
    /// clients to read their responses and disconnect; not beyond `deadline`. From this call on
    /// responses carry "Connection: Close". Returns the number of requests without a response.
    std::size_t wait_until_idle(steady_time deadline);

    /// Closes the port and all connections; later responses are dropped.
    void stop();

    /// Requests that were passed to the handler and have no response yet.
    [[nodiscard]] std::size_t open_requests() const;

    /// Responses dropped since the start because the client had disconnected or the server had
    /// stopped.
    [[nodiscard]] std::size_t abandoned_requests() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace redwingwheel::http
