#include "server_connections.h"

#include <fmt/format.h>
#include <pistache/http_defs.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace redwingwheel::http {

namespace {

constexpr int status_request_timeout = 408;
constexpr int status_unavailable = 503;

/// The response to a request that was not passed on. Sent to the socket itself, since no other
/// response is under way on a connection that is refused.
void send_refusal(int descriptor, int status, std::string_view reason)
{
    const std::string body = fmt::format(R"({{"outcome":"not_run","reason":"{}"}})", reason);
    const std::string response =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n{}Connection: Close\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    status, Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status)),
                    status == status_unavailable ? "Retry-After: 1\r\n" : "", body.size(), body);
    // A client that does not read loses the response.
    static_cast<void>(
        ::send(descriptor, response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

} // namespace

server_connections::server_connections(const connection_limits& limits, limit_hook hook)
    : table(limits), on_limit(std::move(hook))
{
}

bool server_connections::open(connection_id id, int descriptor,
                              const std::shared_ptr<connection_state>& state, steady_time now)
{
    this->expire(now);
    std::optional<connection_to_close> displaced;
    const admission admitted = this->table.open(id, now, displaced);
    if (displaced.has_value()) {
        this->carry_out(*displaced);
    }
    if (admitted != admission::accepted) {
        this->on_limit(close_cause_name(close_cause::connections));
        spdlog::warn("event=connection_over_limit admitted={}", admitted == admission::refused);
        state->no_room = true;
    }
    if (admitted == admission::closed) {
        state->input_closed = true;
        ::shutdown(descriptor, SHUT_RDWR);
        return false;
    }
    this->by_id[id] = {descriptor, state};
    return true;
}

void server_connections::receive(connection_id id, std::size_t held_bytes, steady_time now)
{
    for (const connection_to_close& each : this->table.receive(id, held_bytes, now)) {
        this->carry_out(each);
    }
    this->expire(now);
}

void server_connections::refuse(connection_id id, int status, std::string_view reason,
                                steady_time now)
{
    const auto found = this->by_id.find(id);
    if (found == this->by_id.end()) {
        return;
    }
    spdlog::warn("event=http_request_refused status={} reason=\"{}\"", status, reason);
    const open_connection& refused = found->second;
    refused.state->input_closed = true;
    this->table.refuse(id, now);
    send_refusal(refused.descriptor, status, reason);
    // The client closes the connection when it has read this; expire() closes it otherwise.
    ::shutdown(refused.descriptor, SHUT_WR);
}

void server_connections::expire(steady_time now)
{
    for (const connection_to_close& each : this->table.expire(now)) {
        this->carry_out(each);
    }
}

void server_connections::remove(connection_id id)
{
    this->table.close(id);
    this->by_id.erase(id);
}

/// Frees the memory of the request at once; the transport's thread removes the connection later.
void server_connections::carry_out(const connection_to_close& decided)
{
    const auto found = this->by_id.find(decided.id);
    if (found == this->by_id.end()) {
        return;
    }
    const open_connection closed = found->second;
    closed.state->input_closed = true;
    {
        const std::lock_guard<std::mutex> guard(closed.state->framer_lock);
        closed.state->framer.abandon();
    }
    if (decided.cause != close_cause::refused) {
        this->on_limit(close_cause_name(decided.cause));
        spdlog::warn("event=connection_closed cause={} has_request={}",
                     close_cause_name(decided.cause), decided.has_request);
    }
    if (decided.has_request) {
        const bool is_late =
            decided.cause == close_cause::stalled || decided.cause == close_cause::too_slow;
        send_refusal(closed.descriptor, is_late ? status_request_timeout : status_unavailable,
                     is_late ? "the request did not arrive in time"
                             : "too many requests are arriving");
    }
    ::shutdown(closed.descriptor, decided.cause == close_cause::memory ? SHUT_WR : SHUT_RDWR);
}

} // namespace redwingwheel::http
