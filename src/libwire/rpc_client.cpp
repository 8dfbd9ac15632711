#include <map>
#include <random>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "connection.h"
#include "redwingwheel/digest.h"

namespace redwingwheel::wire {

namespace asio = boost::asio;
using asio::ip::tcp;

struct rpc_client::implementation : std::enable_shared_from_this<implementation> {
    implementation(kernel::traffic_loop& loop, const address& to, std::string_view shared_secret,
                   const rpc_options& limits)
        : context(loop.context()), remote(to), secret(shared_secret), options(limits),
          random(std::random_device{}())
    {
    }

    /// A call from call() until its reply_function is called.
    struct pending_call {
        frame request;
        steady_time deadline;
        reply_function done;
        std::shared_ptr<redwingwheel::boot_timer> timer;
        /// The request was passed to the connection.
        bool queued = false;
        /// The request was completely written to the socket.
        bool sent = false;
    };

    void start_call(pending_call new_call);
    void connect();
    void on_connected(tcp::socket connected);
    void on_frame(frame received);
    void on_handshake(const frame& received);
    void on_reply(frame received);
    void on_connection_closed();
    void on_deadline(std::uint64_t correlation);
    void send_request(pending_call& call);
    void finish(std::uint64_t correlation, absl::StatusOr<std::string> result);
    void fail_all_calls();
    void shut_down();
    void schedule_reconnect();

    /// State of the connection. In `idle` the next call connects; in `backoff` calls fail.
    enum class link_state { idle, connecting, handshaking, ready, backoff };

    asio::io_context& context;
    address remote;
    std::string secret;
    rpc_options options;
    rpc_counters counters;
    std::mt19937_64 random;
    link_state state = link_state::idle;
    bool shutting_down = false;
    unsigned failed_attempts = 0;
    std::uint64_t next_correlation = 1;
    /// This side's challenge in the current handshake.
    std::string challenge;
    std::shared_ptr<connection> link;
    std::map<std::uint64_t, pending_call> calls;
};

void rpc_client::implementation::start_call(pending_call new_call)
{
    // After a standstill of the process the deadline may have passed before the call begins.
    if (boot_clock::now() >= new_call.deadline) {
        new_call.done(make_error(wire_errc::not_sent, "the deadline of the call has passed"));
        return;
    }
    if (this->shutting_down || this->state == link_state::backoff) {
        new_call.done(make_error(wire_errc::not_sent,
                                 fmt::format("no connection to {}", to_string(this->remote))));
        return;
    }
    const std::uint64_t correlation = this->next_correlation++;
    new_call.request.correlation = correlation;
    new_call.timer = std::make_shared<redwingwheel::boot_timer>(this->context, new_call.deadline);
    const std::weak_ptr<implementation> weak = this->weak_from_this();
    new_call.timer->async_wait([weak, correlation](const boost::system::error_code& error) {
        const std::shared_ptr<implementation> self = weak.lock();
        if (!error && self != nullptr) {
            self->on_deadline(correlation);
        }
    });
    pending_call& call = this->calls.emplace(correlation, std::move(new_call)).first->second;
    if (this->state == link_state::ready) {
        this->send_request(call);
    }
    else if (this->state == link_state::idle) {
        this->connect();
    }
}

void rpc_client::implementation::send_request(pending_call& call)
{
    const std::uint64_t correlation = call.request.correlation;
    call.request.remaining_ms =
        static_cast<std::uint32_t>(remaining_until(call.deadline, boot_clock::now()).count());
    call.queued = true;
    const absl::Status status = this->link->send(call.request);
    if (!status.ok()) {
        this->finish(correlation, translate_error(wire_errc::not_sent, status));
    }
}

void rpc_client::implementation::connect()
{
    this->state = link_state::connecting;
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(this->remote.ip, error), this->remote.port);
    const std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(this->context);
    const std::shared_ptr<redwingwheel::boot_timer> timer =
        std::make_shared<redwingwheel::boot_timer>(
            this->context, boot_clock::now() + this->options.receive_timeout);
    timer->async_wait([socket](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    const std::shared_ptr<implementation> self = this->shared_from_this();
    socket->async_connect(endpoint, [self, socket, timer](const boost::system::error_code& failed) {
        timer->cancel();
        if (failed || !socket->is_open() || self->shutting_down) {
            self->on_connection_closed();
            return;
        }
        self->on_connected(std::move(*socket));
    });
}

void rpc_client::implementation::on_connected(tcp::socket connected)
{
    this->state = link_state::handshaking;
    this->link = std::make_shared<connection>(std::move(connected), this->options, this->counters);
    const std::weak_ptr<implementation> weak = this->weak_from_this();
    connection::event_handlers handlers;
    handlers.received = [weak](frame received) {
        if (const std::shared_ptr<implementation> self = weak.lock()) {
            self->on_frame(std::move(received));
        }
    };
    handlers.sent = [weak](std::uint64_t correlation) {
        const std::shared_ptr<implementation> self = weak.lock();
        if (self == nullptr) {
            return;
        }
        const auto found = self->calls.find(correlation);
        if (found != self->calls.end()) {
            found->second.sent = true;
        }
    };
    handlers.closed = [weak](connection::close_reason) {
        if (const std::shared_ptr<implementation> self = weak.lock()) {
            self->on_connection_closed();
        }
    };
    this->link->open(std::move(handlers));
}

void rpc_client::implementation::on_frame(frame received)
{
    if (this->state == link_state::handshaking) {
        this->on_handshake(received);
        return;
    }
    this->on_reply(std::move(received));
}

void rpc_client::implementation::on_handshake(const frame& received)
{
    if (received.type == frame_type::challenge) {
        this->challenge = random_challenge();
        const std::string proof = handshake_proof(this->secret, "client", received.body);
        this->link->send({frame_type::challenge_response, 0, 0, 0, proof + this->challenge})
            .IgnoreError();
        return;
    }
    const std::string expected = handshake_proof(this->secret, "server", this->challenge);
    if (received.type != frame_type::server_proof || this->challenge.empty() ||
        !digest::equal_in_constant_time(received.body, expected)) {
        ++this->counters.refused_unauthenticated;
        spdlog::warn("event=connection_refused remote={} reason=unauthenticated",
                     to_string(this->remote));
        this->link->close(connection::close_reason::requested);
        return;
    }
    this->state = link_state::ready;
    this->failed_attempts = 0;
    for (auto& [correlation, call] : this->calls) {
        // An expired call ends with its timer.
        if (!call.queued && boot_clock::now() < call.deadline) {
            this->send_request(call);
        }
    }
}

void rpc_client::implementation::on_reply(frame received)
{
    if (received.type == frame_type::reply) {
        this->finish(received.correlation, std::move(received.body));
    }
    else if (received.type == frame_type::error_reply) {
        this->finish(received.correlation, make_error(wire_errc::rejected, received.body));
    }
    else {
        this->link->close(connection::close_reason::bad_frame);
    }
}

void rpc_client::implementation::finish(std::uint64_t correlation,
                                        absl::StatusOr<std::string> result)
{
    const auto found = this->calls.find(correlation);
    if (found == this->calls.end()) {
        ++this->counters.late_replies;
        return;
    }
    pending_call ended = std::move(found->second);
    this->calls.erase(found);
    ended.timer->cancel();
    ended.done(std::move(result));
}

void rpc_client::implementation::on_deadline(std::uint64_t correlation)
{
    const auto found = this->calls.find(correlation);
    if (found == this->calls.end()) {
        return;
    }
    const pending_call& call = found->second;
    // A request that is queued is still written after its deadline, so it counts as sent.
    const wire_errc code = call.queued ? wire_errc::deadline_exceeded : wire_errc::not_sent;
    this->finish(correlation, make_error(code, to_string(this->remote)));
}

void rpc_client::implementation::on_connection_closed()
{
    this->fail_all_calls();
    this->link.reset();
    this->challenge.clear();
    if (this->shutting_down) {
        this->state = link_state::idle;
        return;
    }
    this->schedule_reconnect();
}

void rpc_client::implementation::fail_all_calls()
{
    std::map<std::uint64_t, pending_call> failed;
    failed.swap(this->calls);
    for (auto& [correlation, call] : failed) {
        const bool unsent = !call.queued || (this->link != nullptr && !call.sent &&
                                             this->link->is_awaiting_write(correlation));
        const wire_errc code = unsent ? wire_errc::not_sent : wire_errc::lost_after_send;
        call.timer->cancel();
        call.done(make_error(code, to_string(this->remote)));
    }
}

void rpc_client::implementation::schedule_reconnect()
{
    // Exponential backoff with full jitter, so that the clients of a restarted server do not all
    // reconnect at the same time.
    constexpr std::int64_t initial_backoff_ms = 50;
    constexpr unsigned max_doublings = 8;
    const unsigned doublings = std::min(this->failed_attempts, max_doublings);
    const std::int64_t max_backoff_ms = std::min<std::int64_t>(
        initial_backoff_ms << doublings, this->options.max_reconnect_wait.count());
    ++this->failed_attempts;
    std::uniform_int_distribution<std::int64_t> backoff_ms(1, max_backoff_ms);
    this->state = link_state::backoff;
    const std::shared_ptr<redwingwheel::boot_timer> timer =
        std::make_shared<redwingwheel::boot_timer>(
            this->context, boot_clock::now() + milliseconds(backoff_ms(this->random)));
    const std::weak_ptr<implementation> weak = this->weak_from_this();
    timer->async_wait([weak, timer](const boost::system::error_code& error) {
        const std::shared_ptr<implementation> self = weak.lock();
        if (!error && self != nullptr && !self->shutting_down) {
            self->state = link_state::idle;
        }
    });
}

void rpc_client::implementation::shut_down()
{
    this->shutting_down = true;
    if (this->link != nullptr) {
        this->link->close(connection::close_reason::requested);
    }
    else {
        this->fail_all_calls();
    }
}

rpc_client::rpc_client(kernel::traffic_loop& loop, const address& to, std::string_view secret,
                       const rpc_options& options)
    : impl(std::make_shared<implementation>(loop, to, secret, options))
{
}

rpc_client::~rpc_client()
{
    const std::shared_ptr<implementation> self = this->impl;
    asio::post(self->context, [self] { self->shut_down(); });
}

void rpc_client::call(std::uint16_t kind, std::string body, steady_time deadline,
                      reply_function done)
{
    implementation::pending_call new_call;
    new_call.request = {frame_type::request, kind, 0, 0, std::move(body)};
    new_call.deadline = deadline;
    new_call.done = std::move(done);
    const std::shared_ptr<implementation> self = this->impl;
    asio::post(self->context, [self, new_call = std::move(new_call)]() mutable {
        self->start_call(std::move(new_call));
    });
}

const address& rpc_client::remote() const
{
    return this->impl->remote;
}

rpc_statistics rpc_client::statistics() const
{
    return this->impl->counters.read();
}

} // namespace redwingwheel::wire
