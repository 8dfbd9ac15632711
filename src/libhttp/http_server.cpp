#include "redwingwheel/http_server.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <set>

#include <fmt/format.h>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <pistache/transport.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include "response_writer.h"

namespace redwingwheel::http {

namespace {

// Long, because Pistache also closes a connection that waits for a slow response after this time.
constexpr std::chrono::hours keepalive_timeout{1};
constexpr std::chrono::seconds header_timeout{10};
constexpr std::chrono::seconds body_timeout{60};
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
        : options(limits), handler(std::move(on_request))
    {
    }

    server_options options;
    server_handler handler;

    // One lock serializes responses and disconnections: Pistache addresses a queued response by
    // file descriptor, so a response queued during a disconnection could be sent over the next
    // connection that gets the same descriptor.
    std::mutex lock;
    std::condition_variable idle;
    bool stopped = false;
    /// Peer ids of the open connections that have sent input.
    std::set<std::size_t> connected;
    std::size_t open_requests = 0;
    /// Responses carry "Connection: Close".
    bool closing = false;
    std::size_t abandoned = 0;
    std::shared_ptr<response_writer_loop> writer_loop = std::make_shared<response_writer_loop>();
};

/// State of a connection in addition to the one that Pistache keeps.
struct connection_state {
    /// A request has no response yet.
    std::atomic<bool> response_pending{false};
    /// Further input is dropped; the connection is closed after the pending response.
    std::atomic<bool> input_closed{false};
    /// The loop of `writer`, which must not outlive it.
    std::shared_ptr<response_writer_loop> writer_loop;
    /// Sends large responses; null until there is one. Guarded by `shared_state::lock`.
    std::shared_ptr<response_writer> writer;
};

/// Shuts down the sending side. The client then closes the connection, which frees the descriptor.
void shut_down_sending(const Pistache::Tcp::Peer& peer)
{
    ::shutdown(peer.fd(), SHUT_WR);
}

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
        const bool reachable =
            !this->state->stopped && this->state->connected.contains(this->peer_id);
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
        return !this->state->stopped && this->state->connected.contains(this->peer_id) &&
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
    request.body = source.body();
    request.peer = source.address().host();
    return request;
}

constexpr const char* connection_data_key = "redwingwheel";

/// Returns the state of a connection; creates it on the first call.
std::shared_ptr<connection_state>
connection_state_of(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
{
    std::shared_ptr<void> found = peer->tryGetData(connection_data_key);
    if (found == nullptr) {
        found = std::make_shared<connection_state>();
        peer->putData(connection_data_key, found);
    }
    return std::static_pointer_cast<connection_state>(found);
}

class pistache_handler : public Pistache::Http::Handler {
public:
    HTTP_PROTOTYPE(pistache_handler)

    explicit pistache_handler(std::shared_ptr<shared_state> shared) : state(std::move(shared)) {}

    void onRequest(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter response) override
    {
        const std::shared_ptr<Pistache::Tcp::Peer> peer = response.peer();
        const std::shared_ptr<connection_state> connection = connection_state_of(peer);
        {
            const std::lock_guard<std::mutex> guard(this->state->lock);
            ++this->state->open_requests;
        }
        connection->response_pending = true;
        const std::shared_ptr<pending_response> pending = std::make_shared<pending_response>(
            this->state, connection, std::move(response), peer->getID(), wants_keep_alive(request));
        server_request passed_on = to_server_request(request);
        passed_on.client_connected = [observed = std::weak_ptr(pending)] {
            const std::shared_ptr<pending_response> open = observed.lock();
            return open != nullptr && open->client_connected();
        };
        this->state->handler(std::move(passed_on), [pending](const server_response& response_data) {
            return pending->respond(response_data);
        });
    }

    /// Replaces Pistache's input handling, which has two faults. It responds to a body over the
    /// limit once for each piece received, so that the next request on the connection gets a
    /// response that belongs to an earlier one. It also lets responses to pipelined requests
    /// overtake each other.
    void onInput(const char* buffer, size_t size,
                 const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const std::shared_ptr<connection_state> connection = connection_state_of(peer);
        if (connection->input_closed) {
            return;
        }
        if (connection->response_pending) {
            connection->input_closed = true;
            return;
        }
        if (!this->register_connection(*peer)) {
            this->reject(peer, *connection, Pistache::Http::Code::Service_Unavailable,
                         fmt::format("more than {} connections are open",
                                     this->state->options.max_connections));
            return;
        }
        const std::shared_ptr<Pistache::Http::RequestParser> parser = getParser(peer);
        try {
            if (!parser->feed(buffer, size)) {
                this->reject(peer, *connection, Pistache::Http::Code::Request_Entity_Too_Large,
                             fmt::format("the request is larger than {} bytes",
                                         this->state->options.max_request_bytes));
                return;
            }
            if (parser->parse() != Pistache::Http::Private::State::Done) {
                return;
            }
            peer->setIdle(false);
            parser->request.copyAddress(peer->address());
            this->onRequest(parser->request,
                            Pistache::Http::ResponseWriter(parser->request.version(),
                                                           this->transport(), this, peer));
            parser->reset();
        }
        catch (const Pistache::Http::HttpError& error) {
            this->reject(peer, *connection, static_cast<Pistache::Http::Code>(error.code()),
                         "the request cannot be read");
        }
        catch (const std::exception& error) {
            spdlog::warn("event=http_request_unreadable error=\"{}\"", error.what());
            this->reject(peer, *connection, Pistache::Http::Code::Bad_Request,
                         "the request cannot be read");
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const std::lock_guard<std::mutex> guard(this->state->lock);
        // Sends the responses queued for this peer before its descriptor can be reused.
        this->transport()->flush();
        this->state->connected.erase(peer->getID());
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

    /// Adds the connection to the open ones; false when it would exceed max_connections.
    bool register_connection(const Pistache::Tcp::Peer& peer)
    {
        const std::lock_guard<std::mutex> guard(this->state->lock);
        std::set<std::size_t>& connected = this->state->connected;
        if (!connected.contains(peer.getID()) &&
            connected.size() >= this->state->options.max_connections) {
            return false;
        }
        connected.insert(peer.getID());
        return true;
    }

    /// Sends an error response and closes the connection.
    void reject(const std::shared_ptr<Pistache::Tcp::Peer>& peer, connection_state& connection,
                Pistache::Http::Code code, std::string_view reason)
    {
        spdlog::warn("event=http_request_refused status={} reason=\"{}\"", static_cast<int>(code),
                     reason);
        connection.input_closed = true;
        Pistache::Http::ResponseWriter writer(Pistache::Http::Version::Http11, this->transport(),
                                              this, peer);
        writer.headers().add<Pistache::Http::Header::Connection>(
            Pistache::Http::ConnectionControl::Close);
        writer
            .send(code, fmt::format(R"({{"outcome":"not_run","reason":"{}"}})", reason))
            // Safe here: this runs on the transport's thread, the only one that resolves the
            // promise.
            .then([peer](ssize_t) { shut_down_sending(*peer); }, Pistache::Async::NoExcept);
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
            .headerTimeout(header_timeout)
            .bodyTimeout(body_timeout)
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
            (!state.connected.empty() && boot_clock::now() < disconnect_deadline))) {
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
