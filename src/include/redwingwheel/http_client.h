#pragma once

#include <functional>
#include <memory>
#include <string>

#include "redwingwheel/http_server.h"

namespace redwingwheel::http {

struct client_request {
    std::string method = "GET";
    /// Whole address: http://IP:PORT/PATH.
    std::string url;
    header_map headers;
    std::string body;
    /// Uses a connection of its own, because a pooled one that turns out to be dead makes libcurl
    /// send the request a second time.
    bool at_most_once = false;
    /// The answer is wanted by then; later it is lost_after_send, or not_connected.
    steady_time deadline;
};

struct client_response {
    int status = 0;
    std::string content_type;
    header_map headers;
    std::string body;
};

using response_function = std::function<void(absl::StatusOr<client_response>)>;

struct client_options {
    long max_connections_per_host = 64;
    std::size_t max_response_bytes = std::size_t{3} * 1024 * 1024;
};

/// HTTP requests over libcurl's multi interface on one thread of its own.
class client {
public:
    explicit client(const client_options& options);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends a request; `done` is called once, on the client's thread.
    /// Errors: not_connected, connection_refused, lost_after_send, incomplete_answer,
    /// answer_too_large.
    /// Returns a number that `cancel` takes.
    std::uint64_t send(client_request request, response_function done);

    /// Ends a request early; `done` is called with lost_after_send or not_connected.
    void cancel(std::uint64_t request);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace redwingwheel::http
