#include "redwingwheel/http_server.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>

#include <fmt/format.h>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <pistache/transport.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include "redwingwheel/descriptor_limit.h"
#include "server_connections.h"

namespace redwingwheel::http {

namespace {

// Long, because Pistache also closes a connection that waits for a slow response after this time.
// Its other timeouts have no effect: it never sees an incomplete request.
constexpr std::chrono::hours keepalive_timeout{1};
/// Bytes that wait unread in the receive buffer of a connection count as memory of the process as
/// well. Takes in a job at once, and 3 MB a second over a round trip of 10 ms.
constexpr int receive_buffer_bytes = 32 * 1024;
/// For header fields only; a body is not passed to Pistache's parser.
constexpr std::size_t max_parsed_bytes = std::size_t{64} * 1024;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
/// Larger responses are not left to Pistache. A response of this size fits into the send buffer of
/// a connection on which nothing else waits.
constexpr std::size_t max_pistache_response_bytes = std::size_t{8} * 1024;

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/// A header with any name; Pistache writes only typed headers into a response.
class named_header : public Pistache::Http::Header::Header {
public:
    named_header(std::string header_name, std::string header_value)
        : own_name(std::move(header_name)), value(std::move(header_value))
    {
    }
    [[nodiscard]] const char* name() const override { return this->own_name.c_str(); }
    void write(std::ostream& stream) const override { stream << this->value; }
    [[nodiscard]] std::uint64_t hash() const override { return 0; }

private:
    std::string own_name;
    std::string value;
};

/// State shared by the server, its responders and the handler, which Pistache clones per thread.
struct shared_state {
    explicit shared_state(const server_options& limits, server_handler on_request)
        : options(limits), handler(std::move(on_request)),
          connections({connections_within(limits.max_connections, limits.descriptor_share),
                       limits.max_unfinished_bytes, limits.max_stall, limits.max_request_time},
                      limits.on_limit)
    {
    }

    [[nodiscard]] framing_limits framing() const
    {
        framing_limits limits;
        limits.max_request_bytes = this->options.max_request_bytes;
        return limits;
    }

    server_options options;
    server_handler handler;

    // One lock serializes responses and disconnections: Pistache addresses a queued response by
    // file descriptor, so a response queued during a disconnection could be sent over the next
    // connection that gets the same descriptor.
    std::mutex lock;
    std::condition_variable idle;
    bool stopped = false;
    /// The open connections, by Pistache's peer id.
    server_connections connections;
    std::size_t open_requests = 0;
    /// Responses carry "Connection: Close".
    bool closing = false;
    std::size_t abandoned = 0;
    std::shared_ptr<response_writer_loop> writer_loop = std::make_shared<response_writer_loop>();
};

/// True when the peer has closed the connection, even if input from before is still unread.
bool is_closed_by_peer(int descriptor)
{
    pollfd events{descriptor, POLLRDHUP, 0};
    return ::poll(&events, 1, 0) > 0;
}

/// The response to one request. Sends status 500 when it is destroyed without respond().
class pending_response {
public:
    pending_response(std::shared_ptr<shared_state> owner,
                     std::shared_ptr<connection_state> on_connection,
                     Pistache::Http::ResponseWriter to, std::size_t connection_id, bool keep)
        : state(std::move(owner)), connection(std::move(on_connection)), writer(std::move(to)),
          peer_id(connection_id), keep_alive(keep)
    {
    }

    ~pending_response()
    {
        if (!this->responded) {
            this->respond({500, "application/json", R"({"error":"the request was dropped"})", {}});
        }
    }
    pending_response(const pending_response&) = delete;
    pending_response& operator=(const pending_response&) = delete;

    bool respond(const server_response& response)
    {
        const std::lock_guard<std::mutex> guard(this->state->lock);
        if (this->responded) {
            return false;
        }
        this->responded = true;
        this->state->connections.answer(this->peer_id, boot_clock::now());
        const bool reachable =
            !this->state->stopped && this->state->connections.contains(this->peer_id);
        const bool is_large = response.body.size() > max_pistache_response_bytes;
        const bool follows_large =
            this->connection->writer != nullptr && !this->connection->writer->idle();
        if (reachable && (is_large || follows_large)) {
            this->write_large(response);
            return true;
        }
        --this->state->open_requests;
        if (reachable) {
            this->write(response);
        }
        else {
            ++this->state->abandoned;
        }
        this->state->idle.notify_all();
        return reachable;
    }

    [[nodiscard]] bool client_connected() const
    {
        // The descriptor is not closed while the lock is held; see onDisconnection.
        const std::lock_guard<std::mutex> guard(this->state->lock);
        return !this->state->stopped && this->state->connections.contains(this->peer_id) &&
               !is_closed_by_peer(this->writer.peer()->fd());
    }

private:
    [[nodiscard]] bool keeps_connection() const
    {
        return this->keep_alive && !this->connection->input_closed && !this->state->closing;
    }

    void write(const server_response& response)
    {
        Pistache::Http::Header::Collection& headers = this->writer.headers();
        for (const auto& [name, value] : response.headers) {
            headers.add(std::make_shared<named_header>(name, value));
        }
        headers.add(std::make_shared<named_header>("Content-Type", response.content_type));
        headers.add<Pistache::Http::Header::Connection>(
            this->keeps_connection() ? Pistache::Http::ConnectionControl::KeepAlive
                                     : Pistache::Http::ConnectionControl::Close);
        // The next request is read only after this response is in the queue.
        this->connection->response_pending = false;
        // No continuation is attached to the promise that send returns: Pistache resolves the
        // promise without its lock, so attaching one from this thread races with the transport's
        // thread.
        this->writer.send(static_cast<Pistache::Http::Code>(response.status), response.body);
    }

    /// The request counts as open until the response is sent, so that a planned stop waits for it.
    void write_large(const server_response& response)
    {
        if (this->connection->writer == nullptr) {
            this->connection->writer_loop = this->state->writer_loop;
            this->connection->writer = std::make_shared<response_writer>(
                this->state->writer_loop->context(), this->writer.peer()->fd());
        }
        this->connection->response_pending = false;
        this->connection->writer->send(
            this->serialize(response), [observed = std::weak_ptr(this->state)](bool sent) {
                const std::shared_ptr<shared_state> owner = observed.lock();
                if (owner == nullptr) {
                    return;
                }
                const std::lock_guard<std::mutex> guard(owner->lock);
                --owner->open_requests;
                owner->abandoned += sent ? 0 : 1;
                owner->idle.notify_all();
            });
    }

    [[nodiscard]] std::string serialize(const server_response& response) const
    {
        std::string bytes = fmt::format(
            "HTTP/1.1 {} {}\r\n", response.status,
            Pistache::Http::codeString(static_cast<Pistache::Http::Code>(response.status)));
        for (const auto& [name, value] : response.headers) {
            bytes += fmt::format("{}: {}\r\n", name, value);
        }
        bytes +=
            fmt::format("Content-Type: {}\r\nConnection: {}\r\nContent-Length: {}\r\n\r\n",
                        response.content_type, this->keeps_connection() ? "Keep-Alive" : "Close",
                        response.body.size());
        return bytes + response.body;
    }

    std::shared_ptr<shared_state> state;
    std::shared_ptr<connection_state> connection;
    Pistache::Http::ResponseWriter writer;
    std::size_t peer_id;
    bool keep_alive;
    bool responded = false;
};

server_request to_server_request(const Pistache::Http::Request& source)
{
    server_request request;
    request.method = Pistache::Http::methodString(source.method());
    request.path = source.resource();
    for (auto parameter = source.query().parameters_begin();
         parameter != source.query().parameters_end(); ++parameter) {
        request.query.emplace(parameter->first, parameter->second);
    }
    for (const auto& [name, raw] : source.headers().rawList()) {
        request.headers.emplace(lower_case(raw.name()), raw.value());
    }
    request.peer = source.address().host();
    return request;
}

constexpr const char* connection_data_key = "redwingwheel";

/// Returns the state that onConnection() has stored.
std::shared_ptr<connection_state>
connection_state_of(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
{
    return std::static_pointer_cast<connection_state>(peer->getData(connection_data_key));
}

class pistache_handler : public Pistache::Http::Handler {
public:
    HTTP_PROTOTYPE(pistache_handler)

    explicit pistache_handler(std::shared_ptr<shared_state> shared) : state(std::move(shared)) {}

    /// Called by Pistache only through its own input handling, which is replaced.
    void onRequest(const Pistache::Http::Request&, Pistache::Http::ResponseWriter) override {}

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        // Pistache looks for the parser's age in each connection.
        peer->putData(ParserData,
                      std::make_shared<Pistache::Http::RequestParser>(max_parsed_bytes));
        ::setsockopt(peer->fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof(receive_buffer_bytes));
        const std::shared_ptr<connection_state> connection =
            std::make_shared<connection_state>(this->state->framing());
        peer->putData(connection_data_key, connection);
        const std::lock_guard<std::mutex> guard(this->state->lock);
        this->state->connections.open(peer->getID(), peer->fd(), connection, boot_clock::now());
    }

    /// Replaces Pistache's input handling, which has several faults. It responds to a body over the
    /// limit once for each piece received, so that the next request on the connection gets a
    /// response that belongs to an earlier one. It lets responses to pipelined requests overtake
    /// each other. It copies the whole body for each chunk of it.
    void onInput(const char* buffer, size_t size,
                 const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const std::shared_ptr<connection_state> connection = connection_state_of(peer);
        if (connection->response_pending) {
            connection->input_closed = true;
        }
        if (connection->input_closed) {
            this->drop_input(size, *peer, *connection);
            return;
        }
        if (connection->no_room) {
            this->refuse(*peer, status_unavailable,
                         fmt::format("more than {} connections are open",
                                     this->state->options.max_connections));
            return;
        }
        const std::string_view input(buffer, size);
        framing_state framed{};
        std::size_t held_bytes = 0;
        {
            const std::lock_guard<std::mutex> guard(connection->framer_lock);
            framed = connection->framer.feed(input);
            held_bytes = connection->framer.held_bytes();
        }
        if (framed == framing_state::refused) {
            this->state->options.on_limit("unreadable");
            this->refuse(*peer, connection->framer.status(), connection->framer.reason());
        }
        else if (framed == framing_state::complete) {
            this->serve(peer, connection);
        }
        else {
            const std::lock_guard<std::mutex> guard(this->state->lock);
            this->state->connections.receive(peer->getID(), held_bytes, boot_clock::now());
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const std::lock_guard<std::mutex> guard(this->state->lock);
        // Sends the responses queued for this peer before its descriptor can be reused.
        this->transport()->flush();
        this->state->connections.remove(peer->getID());
        this->state->idle.notify_all();
    }

private:
    static bool wants_keep_alive(const Pistache::Http::Request& request)
    {
        const auto header = request.headers().tryGet<Pistache::Http::Header::Connection>();
        if (header != nullptr) {
            return header->control() == Pistache::Http::ConnectionControl::KeepAlive;
        }
        return request.version() == Pistache::Http::Version::Http11;
    }

    /// Passes the complete request of the connection to the handler.
    void serve(const std::shared_ptr<Pistache::Tcp::Peer>& peer,
               const std::shared_ptr<connection_state>& connection)
    {
        std::string header;
        std::string body;
        {
            const std::lock_guard<std::mutex> guard(connection->framer_lock);
            // Another thread may have closed the connection meanwhile.
            if (connection->input_closed) {
                return;
            }
            connection->input_closed = connection->framer.has_excess();
            header = connection->framer.take_header();
            body = connection->framer.take_body();
            connection->framer = request_framer(this->state->framing());
        }
        {
            const std::lock_guard<std::mutex> guard(this->state->lock);
            this->state->connections.complete(peer->getID());
        }
        const std::shared_ptr<Pistache::Http::RequestParser> parser = getParser(peer);
        try {
            if (!parser->feed(header.data(), header.size()) ||
                parser->parse() != Pistache::Http::Private::State::Done) {
                this->refuse(*peer, status_bad_request, "the request cannot be read");
                return;
            }
            peer->setIdle(false);
            parser->request.copyAddress(peer->address());
            this->pass_on(parser->request, std::move(body), peer, connection);
            parser->reset();
        }
        catch (const Pistache::Http::HttpError& error) {
            this->refuse(*peer, error.code(), "the request cannot be read");
        }
        catch (const std::exception& error) {
            spdlog::warn("event=http_request_unreadable error=\"{}\"", error.what());
            this->refuse(*peer, status_bad_request, "the request cannot be read");
        }
    }

    void pass_on(const Pistache::Http::Request& request, std::string body,
                 const std::shared_ptr<Pistache::Tcp::Peer>& peer,
                 const std::shared_ptr<connection_state>& connection)
    {
        {
            const std::lock_guard<std::mutex> guard(this->state->lock);
            ++this->state->open_requests;
        }
        connection->response_pending = true;
        const std::shared_ptr<pending_response> pending = std::make_shared<pending_response>(
            this->state, connection,
            Pistache::Http::ResponseWriter(request.version(), this->transport(), this, peer),
            peer->getID(), wants_keep_alive(request));
        server_request passed_on = to_server_request(request);
        passed_on.body = std::move(body);
        passed_on.client_connected = [observed = std::weak_ptr(pending)] {
            const std::shared_ptr<pending_response> open = observed.lock();
            return open != nullptr && open->client_connected();
        };
        this->state->handler(std::move(passed_on), [pending](const server_response& response_data) {
            return pending->respond(response_data);
        });
    }

    /// A client that sends without end would keep the other connections of this thread waiting.
    void drop_input(std::size_t size, const Pistache::Tcp::Peer& peer, connection_state& connection)
    {
        connection.dropped_bytes += size;
        if (connection.dropped_bytes > this->state->options.max_request_bytes) {
            ::shutdown(peer.fd(), SHUT_RDWR);
        }
        const std::lock_guard<std::mutex> guard(this->state->lock);
        this->state->connections.expire(boot_clock::now());
    }

    void refuse(const Pistache::Tcp::Peer& peer, int status, std::string_view reason)
    {
        const std::lock_guard<std::mutex> guard(this->state->lock);
        this->state->connections.refuse(peer.getID(), status, reason, boot_clock::now());
    }

    std::shared_ptr<shared_state> state;
};

} // namespace

std::string_view server_request::header(std::string_view name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string_view() : std::string_view(found->second);
}

struct server::implementation {
    std::shared_ptr<shared_state> state;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

server::server(const server_options& options, server_handler handler)
    : impl(std::make_shared<implementation>())
{
    this->impl->state = std::make_shared<shared_state>(options, std::move(handler));
}

server::~server()
{
    this->stop();
}

absl::Status server::start(const wire::address& on)
{
    try {
        this->impl->endpoint = std::make_unique<Pistache::Http::Endpoint>(
            Pistache::Address(on.ip, Pistache::Port(on.port)));
        Pistache::Http::Endpoint::Options options = Pistache::Http::Endpoint::options();
        options.threads(this->impl->state->options.threads)
            .maxRequestSize(this->impl->state->options.max_request_bytes)
            .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
            .keepaliveTimeout(keepalive_timeout);
        this->impl->endpoint->init(options);
        this->impl->endpoint->setHandler(std::make_shared<pistache_handler>(this->impl->state));
        this->impl->endpoint->serveThreaded();
    }
    catch (const std::exception& error) {
        this->impl->endpoint.reset();
        return make_error(http_errc::listen_failed,
                          fmt::format("{}: {}", wire::to_string(on), error.what()));
    }
    return absl::OkStatus();
}

std::size_t server::wait_until_idle(steady_time deadline)
{
    std::unique_lock<std::mutex> guard(this->impl->state->lock);
    this->impl->state->closing = true;
    shared_state& state = *this->impl->state;
    constexpr milliseconds poll_period{5};
    while (state.open_requests > 0 && boot_clock::now() < deadline) {
        state.idle.wait_for(guard, poll_period);
    }
    // Clients disconnect after they have read their response. A client that keeps an idle
    // connection open is waited for only this long.
    constexpr milliseconds disconnect_timeout{1000};
    // A client may send another request over a connection that is still open; the timeout restarts
    // so that it can read the response.
    steady_time disconnect_deadline = boot_clock::now() + disconnect_timeout;
    while (boot_clock::now() < deadline &&
           (state.open_requests > 0 ||
            (!state.connections.empty() && boot_clock::now() < disconnect_deadline))) {
        if (state.open_requests > 0) {
            disconnect_deadline = boot_clock::now() + disconnect_timeout;
        }
        state.idle.wait_for(guard, poll_period);
    }
    return state.open_requests;
}

void server::stop()
{
    {
        const std::lock_guard<std::mutex> guard(this->impl->state->lock);
        this->impl->state->stopped = true;
    }
    if (this->impl->endpoint != nullptr) {
        this->impl->endpoint->shutdown();
        this->impl->endpoint.reset();
    }
    this->impl->state->writer_loop->stop();
}

std::size_t server::open_requests() const
{
    const std::lock_guard<std::mutex> guard(this->impl->state->lock);
    return this->impl->state->open_requests;
}

std::size_t server::abandoned_requests() const
{
    const std::lock_guard<std::mutex> guard(this->impl->state->lock);
    return this->impl->state->abandoned;
}

} // namespace redwingwheel::http
