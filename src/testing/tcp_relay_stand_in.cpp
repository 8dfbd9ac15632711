#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <fmt/format.h>
#include <popt.h>

#include "redwingwheel/boot_timer.h"

/// Test scaffolding: a TCP relay that stands in for a long, lossy link between hosts.
///
/// Control port, one command a line, each answered with a line:
///   delay MS JITTER_MS    for bytes that arrive from now on
///   drop forward|backward on|off
///                         a connection that lost bytes stays silent in that direction, since the
///                         rest of its stream would be of no use
///   silence               what is open goes silent for good; new connections work
///   close                 resets what is open
///   status
namespace redwingwheel::stand_in {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr int exit_bad_input = 2;
constexpr std::size_t chunk_bytes = 64 * 1024;
/// Reading pauses while more than this is waiting to be sent on.
constexpr std::size_t queue_limit_bytes = 1 << 20;
constexpr int longest_delay_ms = 60'000;
constexpr std::size_t longest_command_bytes = 256;

struct link_settings {
    milliseconds delay{0};
    milliseconds jitter{0};
    bool drop_forward = false;
    bool drop_backward = false;
    std::mt19937_64 random;

    [[nodiscard]] milliseconds next_delay()
    {
        const std::uint64_t spread = static_cast<std::uint64_t>(this->jitter.count()) + 1;
        return this->delay + milliseconds(static_cast<std::int64_t>(this->random() % spread));
    }
};

enum class end_kind { finished, failed };

/// One direction of one connection. Bytes stay in order; the delay shifts them.
class one_way : public std::enable_shared_from_this<one_way> {
public:
    one_way(tcp::socket& source, tcp::socket& sink, link_settings& shared, const bool& drops,
            const bool& silenced, std::function<void(end_kind)> on_end)
        : from(source), to(sink), timer(source.get_executor()), settings(shared), drop(drops),
          silent(silenced), report_end(std::move(on_end))
    {
    }

    void read()
    {
        this->reading = true;
        this->from.async_read_some(
            asio::buffer(this->buffer),
            [self = this->shared_from_this()](const boost::system::error_code& error,
                                              std::size_t size) { self->on_read(error, size); });
    }

private:
    struct chunk {
        redwingwheel::steady_time due;
        std::string bytes;
    };

    void on_read(const boost::system::error_code& error, std::size_t size)
    {
        this->reading = false;
        if (error && error != asio::error::eof) {
            this->report_end(end_kind::failed);
            return;
        }
        this->lost = this->lost || this->drop || this->silent;
        if (!this->lost) {
            // An empty chunk stands for the end of the stream.
            const auto due = redwingwheel::boot_clock::now() + this->settings.next_delay();
            this->last_due = std::max(this->last_due, due);
            this->queue.push_back({this->last_due, std::string(this->buffer.data(), size)});
            this->queued += size;
            this->write();
        }
        if (!error && this->queued < queue_limit_bytes) {
            this->read();
        }
        this->ended = static_cast<bool>(error);
    }

    void write()
    {
        if (this->writing || this->queue.empty()) {
            return;
        }
        this->writing = true;
        this->timer.expires_at(this->queue.front().due);
        this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code&) {
            self->write_front();
        });
    }

    void write_front()
    {
        if (this->silent) {
            this->queue.clear();
            this->queued = 0;
        }
        if (this->queue.empty()) {
            this->writing = false;
            return;
        }
        if (this->queue.front().bytes.empty()) {
            boost::system::error_code ignored;
            this->to.shutdown(tcp::socket::shutdown_send, ignored);
            this->report_end(end_kind::finished);
            return;
        }
        asio::async_write(
            this->to, asio::buffer(this->queue.front().bytes),
            [self = this->shared_from_this()](const boost::system::error_code& error,
                                              std::size_t size) { self->on_write(error, size); });
    }

    void on_write(const boost::system::error_code& error, std::size_t size)
    {
        this->writing = false;
        if (error) {
            this->report_end(end_kind::failed);
            return;
        }
        this->queue.pop_front();
        this->queued -= size;
        this->write();
        if (!this->reading && !this->ended) {
            this->read();
        }
    }

    tcp::socket& from;
    tcp::socket& to;
    redwingwheel::boot_timer timer;
    link_settings& settings;
    const bool& drop;
    const bool& silent;
    std::function<void(end_kind)> report_end;
    std::array<char, chunk_bytes> buffer{};
    std::deque<chunk> queue;
    std::size_t queued = 0;
    redwingwheel::steady_time last_due{};
    bool lost = false;
    bool reading = false;
    bool writing = false;
    bool ended = false;
};

/// A connection from a client and the one that was opened for it.
class relayed_connection : public std::enable_shared_from_this<relayed_connection> {
public:
    relayed_connection(tcp::socket accepted, link_settings& shared)
        : client(std::move(accepted)), server(this->client.get_executor()), settings(shared)
    {
    }

    void start(const tcp::endpoint& target)
    {
        this->server.async_connect(
            target, [self = this->shared_from_this()](const boost::system::error_code& error) {
                if (error) {
                    self->reset();
                    return;
                }
                self->relay();
            });
    }

    void silence() { this->silent = true; }

    /// Without lingering the peers see a reset, as when a host fails.
    void reset()
    {
        boost::system::error_code ignored;
        this->client.set_option(asio::socket_base::linger(true, 0), ignored);
        this->server.set_option(asio::socket_base::linger(true, 0), ignored);
        this->close();
    }

    [[nodiscard]] bool open() const { return this->client.is_open(); }

private:
    void relay()
    {
        const tcp::no_delay at_once(true);
        this->client.set_option(at_once);
        this->server.set_option(at_once);
        const auto end = [self = this->shared_from_this()](end_kind kind) { self->on_end(kind); };
        std::make_shared<one_way>(this->client, this->server, this->settings,
                                  this->settings.drop_forward, this->silent, end)
            ->read();
        std::make_shared<one_way>(this->server, this->client, this->settings,
                                  this->settings.drop_backward, this->silent, end)
            ->read();
    }

    void on_end(end_kind kind)
    {
        ++this->finished_ways;
        if (this->silent) {
            return;
        }
        if (kind == end_kind::failed) {
            this->reset();
        }
        else if (this->finished_ways == 2) {
            this->close();
        }
    }

    void close()
    {
        boost::system::error_code ignored;
        this->client.close(ignored);
        this->server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
    link_settings& settings;
    bool silent = false;
    int finished_ways = 0;
};

class relay {
public:
    relay(asio::io_context& context, const tcp::endpoint& listen, const tcp::endpoint& control,
          tcp::endpoint forward_to, link_settings& shared)
        : listener(context, listen), commands(context, control), target(std::move(forward_to)),
          settings(shared)
    {
        this->accept();
        this->accept_control();
    }

    [[nodiscard]] int port() const { return this->listener.local_endpoint().port(); }
    [[nodiscard]] int control_port() const { return this->commands.local_endpoint().port(); }

private:
    struct control_session {
        explicit control_session(tcp::socket accepted) : socket(std::move(accepted)) {}
        tcp::socket socket;
        std::string buffer;
    };

    void accept()
    {
        this->listener.async_accept(
            [this](const boost::system::error_code& error, tcp::socket accepted) {
                if (!error) {
                    this->forget_closed();
                    this->connections.push_back(
                        std::make_shared<relayed_connection>(std::move(accepted), this->settings));
                    this->connections.back()->start(this->target);
                }
                this->accept();
            });
    }

    void forget_closed()
    {
        std::erase_if(this->connections, [](const std::shared_ptr<relayed_connection>& each) {
            return !each->open();
        });
    }

    void accept_control()
    {
        this->commands.async_accept(
            [this](const boost::system::error_code& error, tcp::socket accepted) {
                if (!error) {
                    this->read_command(std::make_shared<control_session>(std::move(accepted)));
                }
                this->accept_control();
            });
    }

    void read_command(const std::shared_ptr<control_session>& session)
    {
        asio::async_read_until(
            session->socket, asio::dynamic_buffer(session->buffer, longest_command_bytes), '\n',
            [this, session](const boost::system::error_code& error, std::size_t size) {
                if (error) {
                    return;
                }
                const std::string answer = this->obey(session->buffer.substr(0, size));
                session->buffer.erase(0, size);
                boost::system::error_code failed;
                asio::write(session->socket, asio::buffer(answer + "\n"), failed);
                this->read_command(session);
            });
    }

    std::string obey(const std::string& line)
    {
        std::istringstream words(line);
        std::string verb;
        words >> verb;
        if (verb == "delay") {
            int delay_ms = -1;
            int jitter_ms = -1;
            words >> delay_ms >> jitter_ms;
            if (delay_ms < 0 || jitter_ms < 0 || delay_ms + jitter_ms > longest_delay_ms) {
                return "bad delay";
            }
            this->settings.delay = milliseconds(delay_ms);
            this->settings.jitter = milliseconds(jitter_ms);
            return "ok";
        }
        if (verb == "drop") {
            std::string direction;
            std::string state;
            words >> direction >> state;
            if ((direction != "forward" && direction != "backward") ||
                (state != "on" && state != "off")) {
                return "bad drop";
            }
            (direction == "forward" ? this->settings.drop_forward : this->settings.drop_backward) =
                state == "on";
            return "ok";
        }
        this->forget_closed();
        if (verb == "status") {
            return fmt::format("connections {} delay {} jitter {} drop_forward {} drop_backward {}",
                               this->connections.size(), this->settings.delay.count(),
                               this->settings.jitter.count(), this->settings.drop_forward,
                               this->settings.drop_backward);
        }
        if (verb != "silence" && verb != "close") {
            return "unknown command";
        }
        for (const std::shared_ptr<relayed_connection>& each : this->connections) {
            verb == "silence" ? each->silence() : each->reset();
        }
        return "ok";
    }

    tcp::acceptor listener;
    tcp::acceptor commands;
    tcp::endpoint target;
    link_settings& settings;
    std::vector<std::shared_ptr<relayed_connection>> connections;
};

struct options {
    std::string listen = "127.0.0.1:0";
    std::string control = "127.0.0.1:0";
    std::string to;
    int delay_ms = 0;
    int jitter_ms = 0;
    int seed = 1;
    int lifetime_s = 600;
};

/// ADDRESS:PORT on the loopback interface. Throws std::exception for anything else.
tcp::endpoint parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument(fmt::format("'{}' is not ADDRESS:PORT", text));
    }
    const asio::ip::address address = asio::ip::make_address(text.substr(0, colon));
    const int port = std::stoi(text.substr(colon + 1));
    if (!address.is_loopback() || port < 0 || port > 65535) {
        throw std::invalid_argument(fmt::format("'{}' is not a loopback address and port", text));
    }
    return {address, static_cast<std::uint16_t>(port)};
}

bool read_options(int argc, const char** argv, options& chosen)
{
    char* listen = nullptr;
    char* control = nullptr;
    char* to = nullptr;
    const poptOption table[] = {
        {"listen", 'l', POPT_ARG_STRING, &listen, 0, "where to listen", "ADDRESS:PORT"},
        {"to", 't', POPT_ARG_STRING, &to, 0, "where to connect to", "ADDRESS:PORT"},
        {"control", 'c', POPT_ARG_STRING, &control, 0, "where to take commands", "ADDRESS:PORT"},
        {"delay-ms", 0, POPT_ARG_INT, &chosen.delay_ms, 0, "delay one way", "MS"},
        {"jitter-ms", 0, POPT_ARG_INT, &chosen.jitter_ms, 0, "added at most to the delay", "MS"},
        {"seed", 0, POPT_ARG_INT, &chosen.seed, 0, "seed of the jitter", "N"},
        {"lifetime-s", 0, POPT_ARG_INT, &chosen.lifetime_s, 0, "exits after this time", "S"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int result = poptGetNextOpt(context);
    const bool trailing = poptPeekArg(context) != nullptr;
    poptFreeContext(context);
    chosen.listen = listen != nullptr ? listen : chosen.listen;
    chosen.control = control != nullptr ? control : chosen.control;
    chosen.to = to != nullptr ? to : "";
    std::free(listen);
    std::free(control);
    std::free(to);
    return result == -1 && !trailing && !chosen.to.empty() && chosen.delay_ms >= 0 &&
           chosen.jitter_ms >= 0 && chosen.delay_ms <= longest_delay_ms &&
           chosen.jitter_ms <= longest_delay_ms && chosen.lifetime_s >= 1;
}

void run(const options& chosen)
{
    asio::io_context context(1);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    redwingwheel::boot_timer lifetime(context, std::chrono::seconds(chosen.lifetime_s));
    lifetime.async_wait([&context](const boost::system::error_code&) { context.stop(); });
    link_settings settings;
    settings.delay = milliseconds(chosen.delay_ms);
    settings.jitter = milliseconds(chosen.jitter_ms);
    settings.random.seed(static_cast<std::uint64_t>(chosen.seed));
    const relay relayed(context, parse_endpoint(chosen.listen), parse_endpoint(chosen.control),
                        parse_endpoint(chosen.to), settings);
    std::cout << "ready " << relayed.port() << " control " << relayed.control_port() << std::endl;
    context.run();
}

} // namespace
} // namespace redwingwheel::stand_in

int main(int argc, const char** argv)
{
    redwingwheel::stand_in::options chosen;
    if (!redwingwheel::stand_in::read_options(argc, argv, chosen)) {
        std::cerr << "bad options: --to is needed; see --help for what is allowed\n";
        return redwingwheel::stand_in::exit_bad_input;
    }
    try {
        redwingwheel::stand_in::run(chosen);
        return 0;
    }
    catch (const std::invalid_argument& error) {
        std::cerr << "bad options: " << error.what() << "\n";
        return redwingwheel::stand_in::exit_bad_input;
    }
    catch (const std::exception& error) {
        std::cerr << "tcp-relay-stand-in: " << error.what() << "\n";
        return 1;
    }
}
