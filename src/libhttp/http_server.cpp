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
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace redwingwheel::http {

namespace {

// Pistache would otherwise close a connection that waits for a slow answer.
constexpr std::chrono::hours keepalive_timeout{1};
constexpr std::chrono::seconds header_timeout{10};
constexpr std::chrono::seconds body_timeout{60};

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/// A header by its name; Pistache leaves untyped headers out of an answer.
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

/// State that the handler clones, the responders and the server share.
struct shared_state {
    explicit shared_state(const server_options& limits, server_handler on_request)
        : options(limits), handler(std::move(on_request))
    {
    }

    server_options options;
    server_handler handler;

    // One lock orders answers against disconnections: Pistache addresses a queued answer by file
    // descriptor, so an answer queued around a disconnection could reach the next connection that
    // gets the same descriptor.
    std::mutex lock;
    std::condition_variable idle;
    bool stopped = false;
    std::set<std::size_t> connected;
    std::size_t open_requests = 0;
    /// Answers tell their callers to close.
    bool closing = false;
    std::size_t abandoned = 0;
};

/// What this layer keeps of a connection, beside Pistache's parser.
struct connection_state {
    /// An answer is outstanding.
    std::atomic<bool> busy{false};
    /// Nothing more is read from the connection; it closes with the answer that is outstanding.
    std::atomic<bool> refused{false};
};

/// Tells the caller that nothing follows. The caller then closes, and the descriptor is freed.
void end_output(const Pistache::Tcp::Peer& peer)
{
    ::shutdown(peer.fd(), SHUT_WR);
}

/// One request's way back to its caller.
class pending_answer {
public:
    pending_answer(std::shared_ptr<shared_state> owner,
                   std::shared_ptr<connection_state> on_connection,
                   Pistache::Http::ResponseWriter to, std::size_t connection_id, bool keep)
        : state(std::move(owner)), connection(std::move(on_connection)), writer(std::move(to)),
          peer_id(connection_id), keep_alive(keep)
    {
    }

    ~pending_answer()
    {
        if (!this->answered) {
            this->respond({500, "application/json", R"({"error":"the request was dropped"})", {}});
        }
    }
    pending_answer(const pending_answer&) = delete;
    pending_answer& operator=(const pending_answer&) = delete;

    bool respond(const server_response& answer)
    {
        const std::lock_guard<std::mutex> guard(this->state->lock);
        if (this->answered) {
            return false;
        }
        this->answered = true;
        --this->state->open_requests;
        const bool reachable =
            !this->state->stopped && this->state->connected.contains(this->peer_id);
        if (reachable) {
            this->write(answer);
        }
        else {
            ++this->state->abandoned;
        }
        this->state->idle.notify_all();
        return reachable;
    }

private:
    void write(const server_response& answer)
    {
        Pistache::Http::Header::Collection& headers = this->writer.headers();
        for (const auto& [name, value] : answer.headers) {
            headers.add(std::make_shared<named_header>(name, value));
        }
        headers.add(std::make_shared<named_header>("Content-Type", answer.content_type));
        const bool keep = this->keep_alive && !this->connection->refused && !this->state->closing;
        headers.add<Pistache::Http::Header::Connection>(
            keep ? Pistache::Http::ConnectionControl::KeepAlive
                 : Pistache::Http::ConnectionControl::Close);
        // The next request is read only once this answer is in the queue.
        this->connection->busy = false;
        // No continuation is attached: Pistache resolves the promise that send returns without its
        // lock, so that attaching one from this thread races with the transport's.
        this->writer.send(static_cast<Pistache::Http::Code>(answer.status), answer.body);
    }

    std::shared_ptr<shared_state> state;
    std::shared_ptr<connection_state> connection;
    Pistache::Http::ResponseWriter writer;
    std::size_t peer_id;
    bool keep_alive;
    bool answered = false;
};

server_request read_request(const Pistache::Http::Request& from)
{
    server_request request;
    request.method = Pistache::Http::methodString(from.method());
    request.path = from.resource();
    for (auto each = from.query().parameters_begin(); each != from.query().parameters_end();
         ++each) {
        request.query.emplace(each->first, each->second);
    }
    for (const auto& [name, raw] : from.headers().rawList()) {
        request.headers.emplace(lower_case(raw.name()), raw.value());
    }
    request.body = from.body();
    request.peer = from.address().host();
    return request;
}

constexpr const char* connection_data = "redwingwheel";

std::shared_ptr<connection_state> state_of(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
{
    std::shared_ptr<void> found = peer->tryGetData(connection_data);
    if (found == nullptr) {
        found = std::make_shared<connection_state>();
        peer->putData(connection_data, found);
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
        const std::shared_ptr<connection_state> connection = state_of(peer);
        {
            const std::lock_guard<std::mutex> guard(this->state->lock);
            ++this->state->open_requests;
        }
        connection->busy = true;
        const std::shared_ptr<pending_answer> pending = std::make_shared<pending_answer>(
            this->state, connection, std::move(response), peer->getID(), wants_keep_alive(request));
        this->state->handler(read_request(request), [pending](const server_response& answer) {
            return pending->respond(answer);
        });
    }

    /// Replaces Pistache's own reading, which answers a body over the limit once for each piece
    /// that arrives, so that the next request on the connection gets an answer that is not its own,
    /// and which lets the answers of pipelined requests overtake each other.
    void onInput(const char* buffer, size_t size,
                 const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const std::shared_ptr<connection_state> connection = state_of(peer);
        if (connection->refused) {
            return;
        }
        if (connection->busy) {
            connection->refused = true;
            return;
        }
        if (!this->admit(*peer)) {
            this->refuse(peer, *connection, Pistache::Http::Code::Service_Unavailable);
            return;
        }
        const std::shared_ptr<Pistache::Http::RequestParser> parser = getParser(peer);
        try {
            if (!parser->feed(buffer, size)) {
                this->refuse(peer, *connection, Pistache::Http::Code::Request_Entity_Too_Large);
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
            this->refuse(peer, *connection, static_cast<Pistache::Http::Code>(error.code()));
        }
        catch (const std::exception& error) {
            spdlog::warn("event=http_request_refused error=\"{}\"", error.what());
            this->refuse(peer, *connection, Pistache::Http::Code::Bad_Request);
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const std::lock_guard<std::mutex> guard(this->state->lock);
        // Answers queued for this peer leave the queue while its descriptor is still its own.
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

    /// Counts the connection; false when it would be one too many.
    bool admit(const Pistache::Tcp::Peer& peer)
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

    /// Answers with an error, once, and ends the connection.
    void refuse(const std::shared_ptr<Pistache::Tcp::Peer>& peer, connection_state& connection,
                Pistache::Http::Code code)
    {
        connection.refused = true;
        Pistache::Http::ResponseWriter writer(Pistache::Http::Version::Http11, this->transport(),
                                              this, peer);
        writer.headers().add<Pistache::Http::Header::Connection>(
            Pistache::Http::ConnectionControl::Close);
        writer
            .send(code, R"({"outcome":"not_run","reason":"the request cannot be read"})")
            // Attached on the transport's own thread, which alone resolves it.
            .then([peer](ssize_t) { end_output(*peer); }, Pistache::Async::NoExcept);
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
    // Callers close once they have their whole answer; one that keeps its connection idle is not
    // waited for longer than this.
    constexpr milliseconds close_patience{1000};
    // A caller may send another request over a connection that is still open, and needs time to
    // take the answer.
    steady_time give_up = boot_clock::now() + close_patience;
    while (boot_clock::now() < deadline &&
           (state.open_requests > 0 || (!state.connected.empty() && boot_clock::now() < give_up))) {
        if (state.open_requests > 0) {
            give_up = boot_clock::now() + close_patience;
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
