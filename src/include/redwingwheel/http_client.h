#pragma once

#include <functional>
#include <memory>
#include <string>

#include "redwingwheel/http_server.h"

namespace redwingwheel::http {

struct client_request {
    std::string method = "GET";
    /// Absolute URL: http://IP:PORT/PATH.
    std::string url;
    header_map headers;
    std::string body;
    /// Uses a new connection that is not pooled: when a pooled connection turns out to be closed,
    /// libcurl sends the request a second time.
    bool at_most_once = false;
    /// Unlike `at_most_once`, may use a pooled connection; when that turns out to be closed after a
    /// part of the body was sent, the request ends with lost_after_send. Needs a body.
    bool send_once = false;
    /// Without a complete response by this time the request ends with lost_after_send, or with
    /// not_connected when no connection was made.
    steady_time deadline;
};

struct client_response {
    int status = 0;
    std::string content_type;
    header_map headers;
    std::string body;
};

/// Receives the response, or the error.
using response_function = std::function<void(absl::StatusOr<client_response>)>;

struct client_options {
    long max_connections_per_host = 64;
    /// Limit of the response body.
    std::size_t max_response_bytes = std::size_t{3} * 1024 * 1024;
};

/// Asynchronous HTTP client: runs all requests on one thread through libcurl's multi interface.
class client {
public:
    explicit client(const client_options& options);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends a request. `done` is called once, on the client's thread.
    /// Errors: not_connected, connection_refused, lost_after_send, incomplete_response,
    /// response_too_large.
    /// Returns the request number for `cancel`.
    std::uint64_t send(client_request request, response_function done);

    /// Cancels a request; its `done` is called with lost_after_send, or with not_connected when no
    /// connection was made. No effect when the request has ended.
    void cancel(std::uint64_t request);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace redwingwheel::http
