#include "backend_model.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "redwingwheel/boot_timer.h"
#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <popt.h>
#include <sys/socket.h>

/// Test scaffolding: a backend server as section 4 of the design page describes it, with faults.
namespace redwingwheel::stand_in {
namespace {

namespace http = Pistache::Http;
namespace asio = boost::asio;

constexpr int exit_bad_input = 2;
constexpr int exit_by_fault = 9;
constexpr std::size_t largest_request_bytes = 8U << 20;
constexpr std::int64_t longest_work_ms = 600'000;
constexpr std::uint32_t default_run_ms = 1000;

struct settings {
    int port = 0;
    int lifetime_s = 600;
    std::string name = "backend";
    backend_limits limits;
    backend_faults faults;
};

/// State that all server threads share, and the thread of timers.
struct shared_state {
    explicit shared_state(const settings& chosen)
        : model(boot_clock_function(), chosen.name, chosen.limits), faults(chosen.faults)
    {
        if (this->faults.drain) {
            this->model.begin_drain();
        }
    }

    std::mutex mutex;
    backend_model model;
    backend_faults faults;
    std::set<std::size_t> connections;
    /// Requests that are never answered; kept so that their connections stay open.
    std::vector<std::shared_ptr<http::ResponseWriter>> held;
    asio::io_context timers;
};

class handler : public http::Handler {
public:
    HTTP_PROTOTYPE(handler)

    explicit handler(std::shared_ptr<shared_state> shared) : state(std::move(shared)) {}

    void onRequest(const http::Request& request, http::ResponseWriter writer) override
    {
        const std::lock_guard<std::mutex> lock(this->state->mutex);
        const std::shared_ptr<http::ResponseWriter> response =
            std::make_shared<http::ResponseWriter>(std::move(writer));
        const std::string& path = request.resource();
        if (path == "/fault" || path == "/log") {
            this->control(request, path, *response);
        }
        else if (!this->admit(*response)) {
            response->send(http::Code::Service_Unavailable, "too many connections\n");
        }
        else if (this->state->faults.silent) {
            this->state->held.push_back(response);
        }
        else if (path == "/health") {
            const bool draining = this->state->faults.drain;
            response->send(draining ? http::Code::Service_Unavailable : http::Code::Ok,
                           draining ? "shutting down\n" : "serving\n");
        }
        else if (path == "/request") {
            this->execute(request, response);
        }
        else if (path.rfind("/tasks", 0) == 0) {
            this->task(request, path, *response);
        }
        else {
            response->send(http::Code::Not_Found, "no such path\n");
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const std::lock_guard<std::mutex> lock(this->state->mutex);
        if (this->state->connections.erase(peer->getID()) > 0) {
            this->state->model.close_connection();
        }
    }

private:
    /// Counts a connection at its first request; Pistache does not announce connections.
    bool admit(const http::ResponseWriter& response)
    {
        const std::shared_ptr<Pistache::Tcp::Peer> peer = response.peer();
        if (this->state->connections.contains(peer->getID())) {
            return true;
        }
        const bool admitted = this->state->model.open_connection();
        if (admitted) {
            this->state->connections.insert(peer->getID());
        }
        return admitted;
    }

    void control(const http::Request& request, const std::string& path,
                 http::ResponseWriter& response)
    {
        if (path == "/log") {
            response.send(http::Code::Ok, this->state->model.log().dump() + "\n");
            return;
        }
        const nlohmann::json given = nlohmann::json::parse(request.body(), nullptr, false);
        const std::string wrong = apply_faults(given, this->state->faults);
        if (this->state->faults.drain) {
            this->state->model.begin_drain();
        }
        response.send(wrong.empty() ? http::Code::Ok : http::Code::Bad_Request, wrong + "\n");
    }

    static std::string header(const http::Request& request, const std::string& name)
    {
        const std::optional<http::Header::Raw> found = request.headers().tryGetRaw(name);
        return found.has_value() ? found->value() : "";
    }

    void execute(const http::Request& request,
                 const std::shared_ptr<http::ResponseWriter>& response)
    {
        const backend_faults faults = this->state->faults;
        const std::string attempt = header(request, "X-Attempt");
        const std::int64_t asked = std::atoll(header(request, "X-Work-Ms").c_str());
        const milliseconds work =
            milliseconds(std::clamp<std::int64_t>(asked, 0, longest_work_ms)) + faults.slow;
        this->state->model.begin_request(attempt);
        const std::string body = this->state->model.answer(attempt, request.body());
        if (work.count() == 0 && !faults.die) {
            this->finish(*response, body, faults);
            return;
        }
        const auto timer = std::make_shared<redwingwheel::boot_timer>(this->state->timers,
                                                                      faults.die ? work / 2 : work);
        timer->async_wait([self = *this, timer, response, body,
                           faults](const boost::system::error_code&) mutable {
            if (faults.die) {
                std::_Exit(exit_by_fault);
            }
            const std::lock_guard<std::mutex> lock(self.state->mutex);
            self.finish(*response, body, faults);
        });
    }

    void finish(http::ResponseWriter& response, const std::string& body,
                const backend_faults& faults)
    {
        this->state->model.end_request();
        if (faults.fail_all) {
            response.send(http::Code::Internal_Server_Error, "failed by fault\n");
        }
        else if (faults.truncate) {
            send_half(response, body);
        }
        else {
            response.send(http::Code::Ok, body);
        }
    }

    static void send_half(const http::ResponseWriter& response, const std::string& body)
    {
        const std::string text = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                                             body.size(), body.substr(0, body.size() / 2));
        try {
            const int socket = static_cast<int>(response.peer()->fd());
            static_cast<void>(::send(socket, text.data(), text.size(), MSG_NOSIGNAL));
            ::shutdown(socket, SHUT_RDWR);
        }
        catch (const std::exception& error) {
            std::cerr << "connection is gone: " << error.what() << "\n";
        }
    }

    void task(const http::Request& request, const std::string& path, http::ResponseWriter& response)
    {
        const nlohmann::json given =
            nlohmann::json::parse(request.body().empty() ? "{}" : request.body(), nullptr, false);
        if (!given.is_object()) {
            response.send(http::Code::Bad_Request, "the body is not a JSON object\n");
            return;
        }
        try {
            this->checked_task(request, path, given, response);
        }
        catch (const nlohmann::json::exception& error) {
            response.send(http::Code::Bad_Request, fmt::format("{}\n", error.what()));
        }
    }

    void checked_task(const http::Request& request, const std::string& path,
                      const nlohmann::json& given, http::ResponseWriter& response)
    {
        backend_model& model = this->state->model;
        if (path == "/tasks") {
            if (this->state->faults.fail_all) {
                response.send(http::Code::Internal_Server_Error, "failed by fault\n");
                return;
            }
            model.start_task({given.at("id").get<std::string>(),
                              milliseconds(given.at("lease_ms").get<std::uint32_t>()),
                              milliseconds(given.value("run_ms", default_run_ms)),
                              given.value("slots", 0U), given.value("fails", false),
                              given.value("accelerator_mask", std::uint64_t{0})});
            response.send(http::Code::Created, "{}\n");
            return;
        }
        const std::string rest = path.substr(std::string("/tasks/").size());
        const std::size_t slash = rest.rfind('/');
        const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
        if (request.method() == http::Method::Get) {
            const std::optional<nlohmann::json> found =
                model.describe_task(rest, this->state->faults.usage_lag);
            response.send(found.has_value() ? http::Code::Ok : http::Code::Not_Found,
                          found.value_or(nlohmann::json::object()).dump() + "\n");
            return;
        }
        const std::string id = rest.substr(0, slash);
        const bool done =
            (verb == "checkpoint" && model.checkpoint(id)) ||
            (verb == "throttle" &&
             model.throttle(
                 id, std::clamp(given.at("speed_percent").get<std::uint32_t>(), 1U, 100U))) ||
            (verb == "stop" && model.stop(id)) ||
            (verb == "lease" &&
             model.renew_lease(id, milliseconds(given.at("lease_ms").get<std::uint32_t>())));
        response.send(done ? http::Code::Ok : http::Code::Conflict,
                      done ? "{}\n" : "{\"error\": \"no such running task or action\"}\n");
    }

    std::shared_ptr<shared_state> state;
};

bool read_options(int argc, const char** argv, settings& chosen)
{
    char* name = nullptr;
    char* fault = nullptr;
    int slots = static_cast<int>(chosen.limits.slots);
    int connections = static_cast<int>(chosen.limits.connections);
    const poptOption options[] = {
        {"port", 'p', POPT_ARG_INT, &chosen.port, 0, "port on 127.0.0.1; 0 for a free one", "N"},
        {"name", 'n', POPT_ARG_STRING, &name, 0, "own name in answers", "NAME"},
        {"slots", 0, POPT_ARG_INT, &slots, 0, "slots before excess is counted", "N"},
        {"connections", 0, POPT_ARG_INT, &connections, 0, "connections that are served", "N"},
        {"fault", 'f', POPT_ARG_STRING, &fault, 0, "faults from the start, as for /fault", "JSON"},
        {"lifetime-s", 0, POPT_ARG_INT, &chosen.lifetime_s, 0, "exits after this time", "S"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const int result = poptGetNextOpt(context);
    const bool trailing = poptPeekArg(context) != nullptr;
    poptFreeContext(context);
    std::string wrong;
    if (result != -1 || trailing || chosen.port < 0 || chosen.port > 65535 ||
        chosen.lifetime_s < 1 || slots < 1 || connections < 1) {
        wrong = "see --help for what is allowed";
    }
    else if (fault != nullptr) {
        wrong = apply_faults(nlohmann::json::parse(fault, nullptr, false), chosen.faults);
    }
    chosen.name = name != nullptr ? name : chosen.name;
    chosen.limits = {static_cast<std::uint32_t>(slots), static_cast<std::uint32_t>(connections)};
    std::free(name);
    std::free(fault);
    if (!wrong.empty()) {
        std::cerr << "bad options: " << wrong << "\n";
    }
    return wrong.empty();
}

int run(const settings& chosen)
{
    // Blocked before any thread starts, so that only this thread takes the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const std::shared_ptr<shared_state> state = std::make_shared<shared_state>(chosen);
    std::thread timers([state] {
        const auto guard = asio::make_work_guard(state->timers);
        state->timers.run();
    });
    http::Endpoint endpoint(
        Pistache::Address("127.0.0.1", Pistache::Port(static_cast<std::uint16_t>(chosen.port))));
    endpoint.init(http::Endpoint::options()
                      .threads(2)
                      .maxRequestSize(largest_request_bytes)
                      .flags(Pistache::Tcp::Options::ReuseAddr));
    endpoint.setHandler(std::make_shared<handler>(state));
    endpoint.serveThreaded();
    std::cout << "ready " << endpoint.getPort() << std::endl;
    const timespec lifetime{chosen.lifetime_s, 0};
    sigtimedwait(&signals, nullptr, &lifetime);
    // Held requests and running timers need no orderly end in test scaffolding.
    std::_Exit(0);
}

} // namespace
} // namespace redwingwheel::stand_in

int main(int argc, const char** argv)
{
    redwingwheel::stand_in::settings chosen;
    if (!redwingwheel::stand_in::read_options(argc, argv, chosen)) {
        return redwingwheel::stand_in::exit_bad_input;
    }
    try {
        return redwingwheel::stand_in::run(chosen);
    }
    catch (const std::exception& error) {
        std::cerr << "backend-server-stand-in: " << error.what() << "\n";
        std::_Exit(1);
    }
}
