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

    struct pending_call {
        frame request;
        steady_time deadline;
        reply_function done;
        std::shared_ptr<redwingwheel::boot_timer> timer;
        bool queued = false;
        bool sent = false;
    };

    void start_call(pending_call added);
    void connect();
    void on_connected(tcp::socket connected);
    void on_frame(frame received);
    void on_handshake(const frame& received);
    void on_reply(frame received);
    void on_closed();
    void on_deadline(std::uint64_t correlation);
    void write(pending_call& call);
    void finish(std::uint64_t correlation, absl::StatusOr<std::string> result);
    void fail_all();
    void shut_down();
    void schedule_reconnect();

    enum class link_state { idle, connecting, handshaking, ready, waiting };

    asio::io_context& context;
    address remote;
    std::string secret;
    rpc_options options;
    rpc_counters counters;
    std::mt19937_64 random;
    link_state state = link_state::idle;
    bool closed = false;
    unsigned failed_attempts = 0;
    std::uint64_t next_correlation = 1;
    std::string challenge;
    std::shared_ptr<connection> link;
    std::map<std::uint64_t, pending_call> calls;
};

void rpc_client::implementation::start_call(pending_call added)
{
    if (this->closed || this->state == link_state::waiting) {
        added.done(make_error(wire_errc::not_sent,
                              fmt::format("no connection to {}", to_string(this->remote))));
        return;
    }
    const std::uint64_t correlation = this->next_correlation++;
    added.request.correlation = correlation;
    added.timer = std::make_shared<redwingwheel::boot_timer>(this->context, added.deadline);
    const std::weak_ptr<implementation> weak = this->weak_from_this();
    added.timer->async_wait([weak, correlation](const boost::system::error_code& error) {
        const std::shared_ptr<implementation> self = weak.lock();
        if (!error && self != nullptr) {
            self->on_deadline(correlation);
        }
    });
    pending_call& call = this->calls.emplace(correlation, std::move(added)).first->second;
    if (this->state == link_state::ready) {
        this->write(call);
    }
    else if (this->state == link_state::idle) {
        this->connect();
    }
}

void rpc_client::implementation::write(pending_call& call)
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
        std::make_shared<redwingwheel::boot_timer>(this->context,
                                                   boot_clock::now() + this->options.abandon_after);
    timer->async_wait([socket](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    const std::shared_ptr<implementation> self = this->shared_from_this();
    socket->async_connect(endpoint, [self, socket, timer](const boost::system::error_code& failed) {
        timer->cancel();
        if (failed || !socket->is_open() || self->closed) {
            self->on_closed();
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
    connection::hooks hooks;
    hooks.received = [weak](frame received) {
        if (const std::shared_ptr<implementation> self = weak.lock()) {
            self->on_frame(std::move(received));
        }
    };
    hooks.sent = [weak](std::uint64_t correlation) {
        const std::shared_ptr<implementation> self = weak.lock();
        if (self == nullptr) {
            return;
        }
        const auto found = self->calls.find(correlation);
        if (found != self->calls.end()) {
            found->second.sent = true;
        }
    };
    hooks.closed = [weak](connection::close_reason) {
        if (const std::shared_ptr<implementation> self = weak.lock()) {
            self->on_closed();
        }
    };
    this->link->open(std::move(hooks));
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
        const std::string proof = prove(this->secret, "client", received.body);
        this->link->send({frame_type::challenge_answer, 0, 0, 0, proof + this->challenge})
            .IgnoreError();
        return;
    }
    const std::string expected = prove(this->secret, "server", this->challenge);
    if (received.type != frame_type::welcome || this->challenge.empty() ||
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
        if (!call.queued) {
            this->write(call);
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
    // A frame that waits in the queue still goes out after this; only an unqueued one is not sent.
    const wire_errc code = call.queued ? wire_errc::deadline_exceeded : wire_errc::not_sent;
    this->finish(correlation, make_error(code, to_string(this->remote)));
}

void rpc_client::implementation::on_closed()
{
    this->fail_all();
    this->link.reset();
    this->challenge.clear();
    if (this->closed) {
        this->state = link_state::idle;
        return;
    }
    this->schedule_reconnect();
}

void rpc_client::implementation::fail_all()
{
    std::map<std::uint64_t, pending_call> failed;
    failed.swap(this->calls);
    for (auto& [correlation, call] : failed) {
        const bool unsent = !call.queued || (this->link != nullptr && !call.sent &&
                                             this->link->waits_to_be_written(correlation));
        const wire_errc code = unsent ? wire_errc::not_sent : wire_errc::lost_after_send;
        call.timer->cancel();
        call.done(make_error(code, to_string(this->remote)));
    }
}

void rpc_client::implementation::schedule_reconnect()
{
    // Exponential backoff with full jitter, so that callers of a restarted server do not return
    // together.
    constexpr std::int64_t first_wait_ms = 50;
    constexpr unsigned doubling_limit = 8;
    const unsigned doublings = std::min(this->failed_attempts, doubling_limit);
    const std::int64_t ceiling = std::min<std::int64_t>(first_wait_ms << doublings,
                                                        this->options.max_reconnect_wait.count());
    ++this->failed_attempts;
    std::uniform_int_distribution<std::int64_t> wait(1, ceiling);
    this->state = link_state::waiting;
    const std::shared_ptr<redwingwheel::boot_timer> timer =
        std::make_shared<redwingwheel::boot_timer>(
            this->context, boot_clock::now() + milliseconds(wait(this->random)));
    const std::weak_ptr<implementation> weak = this->weak_from_this();
    timer->async_wait([weak, timer](const boost::system::error_code& error) {
        const std::shared_ptr<implementation> self = weak.lock();
        if (!error && self != nullptr && !self->closed) {
            self->state = link_state::idle;
        }
    });
}

void rpc_client::implementation::shut_down()
{
    this->closed = true;
    if (this->link != nullptr) {
        this->link->close(connection::close_reason::requested);
    }
    else {
        this->fail_all();
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
    implementation::pending_call added;
    added.request = {frame_type::request, kind, 0, 0, std::move(body)};
    added.deadline = deadline;
    added.done = std::move(done);
    const std::shared_ptr<implementation> self = this->impl;
    asio::post(self->context,
               [self, added = std::move(added)]() mutable { self->start_call(std::move(added)); });
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
