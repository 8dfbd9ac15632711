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
    std::atomic<std::size_t> unsent_answers{0};
    std::size_t abandoned = 0;
};

/// One request's way back to its caller.
class pending_answer {
public:
    pending_answer(std::shared_ptr<shared_state> owner, Pistache::Http::ResponseWriter to,
                   std::size_t connection, bool keep)
        : state(std::move(owner)), writer(std::move(to)), peer_id(connection), keep_alive(keep)
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
        if (this->keep_alive) {
            // Pistache announces a close unless the request asks for the default of HTTP/1.1.
            headers.remove<Pistache::Http::Header::Connection>();
            headers.add<Pistache::Http::Header::Connection>(
                Pistache::Http::ConnectionControl::KeepAlive);
        }
        ++this->state->unsent_answers;
        const std::shared_ptr<shared_state> shared = this->state;
        // Runs under Pistache's own locks, so it must not take the state's lock.
        const auto settled = [shared] { --shared->unsent_answers; };
        this->writer.send(static_cast<Pistache::Http::Code>(answer.status), answer.body)
            .then([settled](ssize_t) { settled(); },
                  [settled](const std::exception_ptr&) { settled(); });
    }

    std::shared_ptr<shared_state> state;
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

class pistache_handler : public Pistache::Http::Handler {
public:
    HTTP_PROTOTYPE(pistache_handler)

    explicit pistache_handler(std::shared_ptr<shared_state> shared) : state(std::move(shared)) {}

    void onRequest(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter response) override
    {
        const std::size_t peer_id = response.peer()->getID();
        {
            const std::lock_guard<std::mutex> guard(this->state->lock);
            this->state->connected.insert(peer_id);
            ++this->state->open_requests;
        }
        const bool keep_alive = request.version() == Pistache::Http::Version::Http11 &&
                                !request.headers().has<Pistache::Http::Header::Connection>();
        const std::shared_ptr<pending_answer> pending =
            std::make_shared<pending_answer>(this->state, std::move(response), peer_id, keep_alive);
        this->state->handler(read_request(request), [pending](const server_response& answer) {
            return pending->respond(answer);
        });
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const std::lock_guard<std::mutex> guard(this->state->lock);
        // Answers queued for this peer leave the queue while its descriptor is still its own.
        this->transport()->flush();
        this->state->connected.erase(peer->getID());
    }

private:
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
    shared_state& state = *this->impl->state;
    constexpr milliseconds poll_period{5};
    while (state.open_requests + state.unsent_answers > 0 &&
           std::chrono::steady_clock::now() < deadline) {
        state.idle.wait_for(guard, poll_period);
    }
    return state.open_requests + state.unsent_answers;
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
