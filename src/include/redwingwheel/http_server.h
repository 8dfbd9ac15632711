#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "redwingwheel/address.h"
#include "redwingwheel/clock.h"
#include "redwingwheel/errors.h"

/// A thin layer over Pistache that gives its behaviour under faults one place.
namespace redwingwheel::http {

enum class http_errc {
    listen_failed = 1,
    /// No connection to the server was made; the request was not sent.
    not_connected,
    /// The server's host refused the connection: no process listens there. Nothing was sent.
    connection_refused,
    /// The connection ended or timed out after the request had begun to leave.
    lost_after_send,
    /// The answer's body is shorter than announced, or its end did not arrive.
    incomplete_answer,
    /// The answer is larger than the limit.
    answer_too_large,
};

[[nodiscard]] constexpr std::string_view error_layer(http_errc)
{
    return "http";
}
[[nodiscard]] std::string_view error_name(http_errc code);
[[nodiscard]] absl::StatusCode error_category(http_errc code);

/// True when the status says that no byte of the request left.
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
    std::string peer;

    /// Value of a header, empty when it is absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct server_response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    header_map headers;
};

/// Sends the answer; may be called later and from any thread, once. Returns false when the caller
/// has gone or the server has stopped, and the answer was dropped.
using responder = std::function<bool(const server_response&)>;

/// Runs on one of the server's threads; may keep the responder.
using server_handler = std::function<void(server_request, responder)>;

struct server_options {
    int threads = 2;
    /// Larger requests are answered 413 and their connection is closed.
    std::size_t max_request_bytes = std::size_t{1024} * 1024;
    /// A request on a connection beyond this is answered 503 and its connection is closed.
    std::size_t max_connections = 1024;
};

/// Listens for callers.
class server {
public:
    server(const server_options& options, server_handler handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Opens the port and begins to serve. Errors: listen_failed.
    [[nodiscard]] absl::Status start(const wire::address& on);

    /// Waits until every request that was handed to the handler is answered, then up to a second
    /// for callers to take their answers and close; not beyond `deadline`. From here on answers
    /// tell their callers to close. Returns the number of requests that are still open.
    std::size_t wait_until_idle(steady_time deadline);

    /// Closes the port and all connections; answers given later are dropped.
    void stop();

    [[nodiscard]] std::size_t open_requests() const;

    /// Requests whose caller went away before the answer.
    [[nodiscard]] std::size_t abandoned_requests() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace redwingwheel::http
