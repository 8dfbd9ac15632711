#include <deque>
#include <future>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "connection.h"
#include "redwingwheel/descriptor_limit.h"
#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::wire {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Share of the descriptors of the process that connections from other processes may take.
constexpr double descriptor_share = 0.25;

} // namespace

struct rpc_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(kernel::traffic_loop& loop, std::string_view shared_secret,
                   const rpc_options& limits, request_handler on_request)
        : context(loop.context()), acceptor(loop.context()), secret(shared_secret), options(limits),
          handler(std::move(on_request))
    {
        this->options.max_connections =
            connections_within(limits.max_connections, descriptor_share);
    }

    /// A connection from a client.
    struct session {
        std::shared_ptr<connection> link;
        std::string challenge = random_challenge();
        bool authenticated = false;
    };

    void accept();
    bool make_room();
    void start_session(tcp::socket accepted);
    void on_frame(const std::shared_ptr<session>& from, frame received);
    void authenticate(session& from, const frame& received);
    void dispatch(const std::shared_ptr<session>& from, frame received);
    void close_all();

    asio::io_context& context;
    tcp::acceptor acceptor;
    std::string secret;
    rpc_options options;
    request_handler handler;
    rpc_counters counters;
    std::set<std::shared_ptr<session>> sessions;
    /// Connections that have not been authenticated, the oldest first.
    std::deque<std::weak_ptr<session>> unauthenticated;
};

void rpc_server::implementation::accept()
{
    const std::shared_ptr<implementation> self = this->shared_from_this();
    this->acceptor.async_accept(
        [self](const boost::system::error_code& error, tcp::socket accepted) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (!error && self->make_room()) {
                self->start_session(std::move(accepted));
            }
            self->accept();
        });
}

/// Closes the oldest connection that is not authenticated when there are too many, so that clients
/// without the secret cannot keep the processes of the deployment out.
bool rpc_server::implementation::make_room()
{
    if (this->sessions.size() < this->options.max_connections) {
        return true;
    }
    while (!this->unauthenticated.empty()) {
        const std::shared_ptr<session> oldest = this->unauthenticated.front().lock();
        this->unauthenticated.pop_front();
        if (oldest != nullptr && oldest->link->is_open() && !oldest->authenticated) {
            ++this->counters.refused_unauthenticated;
            oldest->link->close(connection::close_reason::requested);
            return true;
        }
    }
    return false;
}

void rpc_server::implementation::start_session(tcp::socket accepted)
{
    ++this->counters.accepted;
    const std::shared_ptr<session> new_session = std::make_shared<session>();
    new_session->link =
        std::make_shared<connection>(std::move(accepted), this->options, this->counters);
    new_session->link->set_max_frame_bytes(max_handshake_bytes);
    this->sessions.insert(new_session);
    std::erase_if(this->unauthenticated, [](const std::weak_ptr<session>& each) {
        const std::shared_ptr<session> earlier = each.lock();
        return earlier == nullptr || earlier->authenticated || !earlier->link->is_open();
    });
    this->unauthenticated.push_back(new_session);
    const std::shared_ptr<implementation> self = this->shared_from_this();
    connection::event_handlers handlers;
    handlers.received = [self, new_session](frame received) {
        self->on_frame(new_session, std::move(received));
    };
    handlers.sent = [](std::uint64_t) {};
    handlers.closed = [self, new_session](connection::close_reason) {
        self->sessions.erase(new_session);
    };
    new_session->link->open(std::move(handlers));
    new_session->link->send({frame_type::challenge, 0, 0, 0, new_session->challenge}).IgnoreError();
}

void rpc_server::implementation::on_frame(const std::shared_ptr<session>& from, frame received)
{
    if (!from->authenticated) {
        this->authenticate(*from, received);
        return;
    }
    if (received.type != frame_type::request) {
        from->link->close(connection::close_reason::bad_frame);
        return;
    }
    this->dispatch(from, std::move(received));
}

void rpc_server::implementation::authenticate(session& from, const frame& received)
{
    // The body is the client's proof of 64 hexadecimal digits, followed by its own challenge.
    constexpr std::size_t proof_digits = 64;
    const std::string_view body = received.body;
    const std::string expected = handshake_proof(this->secret, "client", from.challenge);
    const bool valid = received.type == frame_type::challenge_response &&
                       body.size() > proof_digits &&
                       digest::equal_in_constant_time(body.substr(0, proof_digits), expected);
    if (!valid) {
        ++this->counters.refused_unauthenticated;
        spdlog::warn("event=connection_refused reason=unauthenticated");
        from.link->close(connection::close_reason::requested);
        return;
    }
    from.authenticated = true;
    from.link->set_max_frame_bytes(max_frame_bytes);
    const std::string proof = handshake_proof(this->secret, "server", body.substr(proof_digits));
    from.link->send({frame_type::server_proof, 0, 0, 0, proof}).IgnoreError();
}

void rpc_server::implementation::dispatch(const std::shared_ptr<session>& from, frame received)
{
    incoming_request request{received.kind, std::move(received.body),
                             boot_clock::now() + milliseconds(received.remaining_ms)};
    const std::uint64_t correlation = received.correlation;
    const std::uint16_t kind = received.kind;
    const std::weak_ptr<connection> link = from->link;
    const std::shared_ptr<implementation> self = this->shared_from_this();
    reply_function reply = [self, link, correlation, kind](absl::StatusOr<std::string> result) {
        asio::post(self->context, [link, correlation, kind, result = std::move(result)] {
            const std::shared_ptr<connection> target = link.lock();
            if (target == nullptr || !target->is_open()) {
                return;
            }
            frame reply_frame{frame_type::reply, kind, correlation, 0, ""};
            if (result.ok()) {
                reply_frame.body = *result;
            }
            else {
                reply_frame.type = frame_type::error_reply;
                reply_frame.body = errors::message_of(result.status());
            }
            if (!target->send(reply_frame).ok()) {
                reply_frame.type = frame_type::error_reply;
                reply_frame.body = "reply over the size limit";
                target->send(reply_frame).IgnoreError();
            }
        });
    };
    this->handler(std::move(request), std::move(reply));
}

void rpc_server::implementation::close_all()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const std::set<std::shared_ptr<session>> open_sessions = this->sessions;
    for (const std::shared_ptr<session>& each : open_sessions) {
        each->link->close(connection::close_reason::requested);
    }
    this->sessions.clear();
}

rpc_server::rpc_server(kernel::traffic_loop& loop, std::string_view secret,
                       const rpc_options& options, request_handler handler)
    : impl(std::make_shared<implementation>(loop, secret, options, std::move(handler)))
{
}

rpc_server::~rpc_server() = default;

absl::Status rpc_server::listen(const address& on)
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(on.ip, error), on.port);
    tcp::acceptor& acceptor = this->impl->acceptor;
    if (!error) {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return make_error(wire_errc::listen_failed,
                          fmt::format("{}: {}", to_string(on), error.message()));
    }
    const std::shared_ptr<implementation> self = this->impl;
    asio::post(self->context, [self] { self->accept(); });
    return absl::OkStatus();
}

void rpc_server::stop()
{
    const std::shared_ptr<std::promise<void>> closed = std::make_shared<std::promise<void>>();
    const std::shared_ptr<implementation> self = this->impl;
    asio::post(self->context, [self, closed] {
        self->close_all();
        closed->set_value();
    });
    // Bounded, because the traffic thread may have ended already and then never sets the promise.
    constexpr milliseconds max_wait{1000};
    closed->get_future().wait_for(max_wait);
}

rpc_statistics rpc_server::statistics() const
{
    return this->impl->counters.read();
}

} // namespace redwingwheel::wire
