#include "stand_in.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::mutex record_lock;
std::ofstream record_file;
const clock_type::time_point begun = clock_type::now();

sockaddr_in address_of(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int open_listener(const std::string& ip, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = address_of(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, 128) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

/// Splits the head of a message into its first line and its headers.
std::string read_head(const std::string& head, std::map<std::string, std::string>& headers)
{
    std::istringstream lines(head);
    std::string first;
    std::getline(lines, first);
    std::string line;
    while (std::getline(lines, line)) {
        while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            headers[lower(line.substr(0, colon))] = line.substr(value);
        }
    }
    return first;
}

bool wait_for(int descriptor, short events, std::int64_t deadline)
{
    while (true) {
        const std::int64_t left = deadline - now_ms();
        if (left <= 0) {
            return false;
        }
        pollfd entry{descriptor, events, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(left));
        if (ready > 0) {
            return true;
        }
        if (ready < 0 && errno != EINTR) {
            return false;
        }
    }
}

const char* reason_of(int status)
{
    return status == 200 ? "OK" : "Answer";
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - begun).count();
}

void open_record(const std::filesystem::path& file)
{
    record_file.open(file, std::ios::trunc);
}

void record(const std::string& line)
{
    const std::lock_guard<std::mutex> guard(record_lock);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(now_ms()) / 1000.0);
    record_file << time << line << '\n' << std::flush;
    std::printf("%s%s\n", time, line.c_str());
    std::fflush(stdout);
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// --- HTTP ---------------------------------------------------------------------------------------

http_reply call(const std::string& ip, std::uint16_t port, const std::string& method,
                const std::string& path, const std::string& body, const headers_type& headers,
                std::int64_t timeout_ms)
{
    http_reply reply;
    const std::int64_t deadline = now_ms() + timeout_ms;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = address_of(ip, port);
    const auto failed = [&reply, descriptor](const char* why) {
        reply.status = 0;
        reply.error = why;
        ::close(descriptor);
        return reply;
    };
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        return failed("refused");
    }
    if (!wait_for(descriptor, POLLOUT, deadline)) {
        return failed("no connection in time");
    }
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        return failed("refused");
    }
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    bool has_host = false;
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
        has_host |= name == "Host";
    }
    if (!has_host) {
        text += "Host: " + ip + "\r\n";
    }
    if (!body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count =
            ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
        }
        else if (errno != EAGAIN || !wait_for(descriptor, POLLOUT, deadline)) {
            return failed("broken while sending");
        }
    }
    std::string received;
    while (true) {
        const std::size_t end = received.find("\r\n\r\n");
        if (end != std::string::npos) {
            std::map<std::string, std::string> reply_headers;
            const std::string first = read_head(received.substr(0, end), reply_headers);
            const std::size_t size =
                reply_headers.contains("content-length")
                    ? static_cast<std::size_t>(std::stoul(reply_headers["content-length"]))
                    : 0;
            if (received.size() >= end + 4 + size) {
                reply.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
                reply.body = received.substr(end + 4, size);
                ::close(descriptor);
                return reply;
            }
        }
        if (!wait_for(descriptor, POLLIN, deadline)) {
            return failed("no answer in time");
        }
        char buffer[8192];
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
            return failed("channel ended without an answer");
        }
        if (count > 0) {
            received.append(buffer, static_cast<std::size_t>(count));
        }
    }
}

http_server::http_server(handler chosen) : on_request(std::move(chosen)) {}

http_server::~http_server()
{
    this->stop();
}

void http_server::start(const std::string& ip, std::uint16_t port)
{
    this->listener = open_listener(ip, port);
    if (this->listener < 0) {
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    this->acceptor = std::thread([this] { this->accept_loop(); });
}

void http_server::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    if (this->acceptor.joinable()) {
        this->acceptor.join();
    }
    if (this->listener >= 0) {
        ::close(this->listener);
    }
    std::vector<std::thread> ending;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        for (const int each : this->open) {
            ::shutdown(each, SHUT_RDWR);
        }
        ending.swap(this->connections);
    }
    for (std::thread& each : ending) {
        each.join();
    }
}

void http_server::accept_loop()
{
    while (!this->stopping) {
        pollfd entry{this->listener, POLLIN, 0};
        if (::poll(&entry, 1, 20) <= 0) {
            continue;
        }
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int yes = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const std::lock_guard<std::mutex> guard(this->lock);
        this->open.insert(descriptor);
        this->connections.emplace_back([this, descriptor] { this->serve(descriptor); });
    }
}

void http_server::serve(int descriptor)
{
    std::string received;
    while (!this->stopping) {
        const std::size_t end = received.find("\r\n\r\n");
        std::size_t size = 0;
        http_request request;
        if (end != std::string::npos) {
            const std::string first = read_head(received.substr(0, end), request.headers);
            const auto length = request.headers.find("content-length");
            size = length == request.headers.end()
                       ? 0
                       : static_cast<std::size_t>(std::stoul(length->second));
            std::istringstream words(first);
            words >> request.method >> request.path;
        }
        if (end == std::string::npos || received.size() < end + 4 + size) {
            char buffer[8192];
            const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            received.append(buffer, static_cast<std::size_t>(count));
            continue;
        }
        request.body = received.substr(end + 4, size);
        received.erase(0, end + 4 + size);
        const http_reply reply = this->on_request(request);
        if (this->stopping || reply.status == 0) {
            break;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " " +
                                 reason_of(reply.status) +
                                 "\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        if (::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(text.size())) {
            break;
        }
    }
    const std::lock_guard<std::mutex> guard(this->lock);
    this->open.erase(descriptor);
    ::close(descriptor);
}

// --- processes ----------------------------------------------------------------------------------

paths& places()
{
    static paths known;
    return known;
}

const port_table& ports()
{
    static const port_table chosen = [] {
        // The same free ports on all addresses that a scenario uses.
        for (std::uint16_t base = static_cast<std::uint16_t>(20000 + ::getpid() % 700 * 16);; base += 16) {
            bool free = true;
            for (int machine = 1; machine <= 30 && free; ++machine) {
                for (std::uint16_t offset = 0; offset < 6 && free; ++offset) {
                    const int probe = open_listener("127.66.0." + std::to_string(machine),
                                                    static_cast<std::uint16_t>(base + offset));
                    free = probe >= 0;
                    if (free) {
                        ::close(probe);
                    }
                }
            }
            if (free) {
                const auto port = [base](int offset) {
                    return static_cast<std::uint16_t>(base + offset);
                };
                return port_table{port(0), port(1), port(2), port(3), port(4), port(5)};
            }
        }
    }();
    return chosen;
}

daemon::daemon(std::string chosen_name, std::string settings_text)
    : name(std::move(chosen_name)), settings_file(places().folder / (name + ".yaml")),
      log_file(places().folder / (name + ".log"))
{
    this->write_settings(settings_text);
}

daemon::~daemon()
{
    this->kill();
}

void daemon::write_settings(const std::string& text)
{
    std::ofstream(this->settings_file, std::ios::trunc) << text;
}

void daemon::start()
{
    const std::string program = places().program;
    const std::string settings = this->settings_file.string();
    const std::string log = this->log_file.string();
    const std::string folder = places().repository.string();
    this->pid = ::fork();
    if (this->pid == 0) {
        // The process ends with the scenario, also when the scenario is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        if (::chdir(folder.c_str()) == 0) {
            ::execl(program.c_str(), program.c_str(), "--config", settings.c_str(), nullptr);
        }
        ::_exit(127);
    }
}

void daemon::signal(int number)
{
    if (this->pid != 0) {
        ::kill(this->pid, number);
    }
}

void daemon::kill()
{
    if (this->pid == 0) {
        return;
    }
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = 0;
}

bool daemon::running()
{
    if (this->pid == 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) == 0) {
        return true;
    }
    this->pid = 0;
    ++this->unexpected;
    record("process " + this->name + " has ended by itself, status " + std::to_string(status));
    return false;
}

// --- worker -------------------------------------------------------------------------------------

worker::worker(std::string machine_ip, std::string machine_zone, std::string rack_label, int ordinal)
    : ip(std::move(machine_ip)), zone(std::move(machine_zone)), rack(std::move(rack_label)),
      index(ordinal), ticker([this] { this->tick(); })
{
}

worker::~worker()
{
    this->ending = true;
    this->ticker.join();
    for (std::thread& each : this->late_orders) {
        each.join();
    }
    this->crash();
}

std::int64_t worker::clock() const
{
    return (this->suspended ? this->suspended_at : now_ms()) - this->life_begun + this->first_clock;
}

void worker::suspend()
{
    this->suspended_at = now_ms();
    this->suspended = true;
}

void worker::resume()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->life_begun += now_ms() - this->suspended_at;
    this->suspended = false;
    this->changed.notify_all();
}

std::vector<end_record> worker::noted_ends()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->noted;
}

void worker::begin_life(bool same_id)
{
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        if (!same_id || this->lives == 0) {
            char text[32];
            std::snprintf(text, sizeof text, "i-%04x%04x", this->index, ++this->lives);
            this->life_id = text;
        }
        this->born = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
        this->life_begun = now_ms();
        this->highest_fence = 0;
        this->lease_until = 0;
        this->last_end = 0;
        this->sequence = 0;
        this->next_heartbeat = 0;
        this->runs.clear();
        this->ends.clear();
        this->ended_runs.clear();
    }
    this->server = std::make_unique<http_server>(
        [this](const http_request& request) { return this->serve(request); });
    this->server->start(this->ip, ports().app);
    this->up = true;
    record("worker " + this->life_id + " begins at " + this->ip);
}

void worker::crash()
{
    if (!this->up.exchange(false)) {
        return;
    }
    this->suspended = false;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        std::string lost;
        for (const run_state& each : this->runs) {
            lost += " " + each.task + "/" + std::to_string(each.number);
        }
        if (!this->ending) {
            record("worker " + this->life_id + " crashes; lost:" + lost);
        }
        this->runs.clear();
        this->ends.clear();
        this->changed.notify_all();
    }
    this->server.reset();
}

std::vector<start_record> worker::starts()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->started;
}

std::vector<std::string> worker::running()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    std::vector<std::string> names;
    for (const run_state& each : this->runs) {
        names.push_back(each.task);
    }
    return names;
}

json worker::heartbeat_body()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return {{"Service", service_name},
            {"Address", this->ip + ":" + std::to_string(ports().app)},
            {"Zone", this->zone},
            {"Version", "v1"},
            {"Slots", 8},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Capacity", {{"Cpu", 32000}, {"MemMb", 65536}, {"Gpu", 8}}},
            {"Labels", json::array({this->kind, this->rack})},
            {"ClockMs", this->clock()},
            {"born", this->born}};
}

void worker::send_heartbeat(const json& body)
{
    call(this->ip, ports().control, "POST", "/Instances.Heartbeat/" + this->life_id, body.dump(), {},
         1000);
}

void worker::tick()
{
    while (!this->ending) {
        sleep_ms(10);
        if (!this->up || this->suspended) {
            continue;
        }
        {
            const std::lock_guard<std::mutex> guard(this->lock);
            this->advance();
        }
        if (!this->quiet && now_ms() >= this->next_heartbeat) {
            this->next_heartbeat = now_ms() + heartbeat_ms;
            json body = this->heartbeat_body();
            body["Sequence"] = this->next_sequence();
            this->send_heartbeat(body);
        }
    }
}

void worker::end_run(std::size_t position, const std::string& how)
{
    const run_state ended = this->runs[position];
    this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(position));
    this->ends.push_back({++this->last_end, ended.task, ended.number, how, now_ms(), false});
    std::uint32_t& highest = this->ended_runs[ended.task];
    highest = std::max(highest, ended.number);
    record("worker " + this->life_id + " run " + ended.task + "/" + std::to_string(ended.number) +
           " ends " + how);
    if (this->on_end) {
        this->on_end(ended.task, how);
    }
    this->changed.notify_all();
}

/// Ends what is done, stopped, or without a lease.
void worker::advance()
{
    const std::int64_t now = this->clock();
    for (finished& each : this->ends) {
        each.lapsed |= now > this->lease_until;
    }
    for (std::size_t each = 0; each < this->runs.size() && !this->suspended;) {
        const run_state& run = this->runs[each];
        if (run.stop_at != 0 && now >= run.stop_at) {
            this->end_run(each, "stopped");
        }
        else if (now > this->lease_until) {
            this->end_run(each, "lapsed");
        }
        else if (run.work_ms > 0 && now >= run.started_at + run.work_ms) {
            this->end_run(each, run.how);
        }
        else {
            ++each;
        }
    }
}

bool worker::fenced(const json& body)
{
    const std::uint64_t fence = body.value("FencingToken", std::uint64_t{0});
    if (fence < this->highest_fence) {
        return true;
    }
    this->highest_fence = fence;
    return false;
}

void worker::extend_lease(const json& body)
{
    const std::int64_t wanted = body.value("DeadlineMs", std::int64_t{0});
    this->lease_until = std::max(this->lease_until, std::min(wanted, this->clock() + lease_limit_ms));
}

http_reply worker::serve(const http_request& request)
{
    std::unique_lock<std::mutex> guard(this->lock);
    this->changed.wait(guard, [this] { return !this->suspended || !this->up; });
    const auto intended = request.headers.find("x-expect-instance");
    if (intended != request.headers.end() && intended->second != this->life_id) {
        return {421, "{}", ""};
    }
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        return {400, "{}", ""};
    }
    this->advance();
    if (request.path == "/run-start" && this->hold_up > 0) {
        const std::int64_t delay = this->hold_up.exchange(0);
        record("worker " + this->life_id + " leaves the start of " +
               body.value("Task", std::string()) + " unanswered");
        this->late_orders.emplace_back([this, body, delay, id = this->life_id] {
            sleep_ms(delay);
            const std::lock_guard<std::mutex> late_guard(this->lock);
            if (this->up && this->life_id == id) {
                record("it is carried out late: " + std::to_string(this->start_run(body).status));
            }
        });
        guard.unlock();
        sleep_ms(1500);
        return {};
    }
    if (request.path == "/run-start") {
        return this->start_run(body);
    }
    if (request.path == "/run-stop") {
        return this->stop_run(body);
    }
    if (request.path == "/hold") {
        return this->hold(body, guard);
    }
    return {404, "{}", ""};
}

http_reply worker::start_run(const json& body)
{
    const auto refuse = [this](const char* reason) {
        return http_reply{409, json{{"ClockMs", this->clock()}, {"Reason", reason}}.dump(), ""};
    };
    if (!this->healthy) {
        ++this->refusals;
        return {503, "{}", ""};
    }
    if (this->fenced(body)) {
        return refuse("fence");
    }
    const std::string task = body.at("Task");
    const std::uint32_t number = body.at("RunId");
    const bool there =
        std::any_of(this->runs.begin(), this->runs.end(), [&](const run_state& each) {
            return each.task == task && each.number == number;
        });
    if (there) {
        this->extend_lease(body);
        return {200, json{{"ClockMs", this->clock()}}.dump(), ""};
    }
    if (body.value("DeadlineMs", std::int64_t{0}) < this->clock()) {
        return refuse("late");
    }
    const auto ended = this->ended_runs.find(task);
    if (ended != this->ended_runs.end() && number <= ended->second) {
        this->extend_lease(body);
        return refuse("old");
    }
    run_state added;
    added.task = task;
    added.number = number;
    const json spec = json::parse(body.value("Spec", std::string("{}")));
    added.work_ms = spec.value("work_ms", std::int64_t{0});
    added.how = spec.value("how", std::string("done"));
    added.cpu = spec.value("cpu", std::int64_t{1000});
    added.gpu = spec.value("gpu", std::int64_t{0});
    added.lasts = spec.value("lasts", false);
    std::int64_t cpu = added.cpu;
    std::int64_t gpu = added.gpu;
    for (const run_state& each : this->runs) {
        cpu += each.cpu;
        gpu += each.gpu;
    }
    if (cpu > 32000 || gpu > 8) {
        this->extend_lease(body);
        return refuse("room");
    }
    this->extend_lease(body);
    added.started_at = this->clock();
    this->runs.push_back(added);
    this->started.push_back({now_ms(), this->life_id, task, number});
    record("worker " + this->life_id + " (" + this->zone + ") starts " + task + "/" +
           std::to_string(number));
    return {200, json{{"ClockMs", this->clock()}}.dump(), ""};
}

http_reply worker::stop_run(const json& body)
{
    if (this->fenced(body)) {
        return {409, json{{"ClockMs", this->clock()}, {"Reason", "fence"}}.dump(), ""};
    }
    const std::string task = body.at("Task");
    const std::uint32_t number = body.at("RunId");
    std::uint32_t& highest = this->ended_runs[task];
    highest = std::max(highest, number);
    for (run_state& each : this->runs) {
        if (each.task == task && each.number <= number && each.stop_at == 0) {
            each.stop_at = this->clock() + stop_grace_ms / 2;
            record("worker " + this->life_id + " is told to stop " + task + "/" +
                   std::to_string(each.number));
        }
    }
    return {200, json{{"ClockMs", this->clock()}}.dump(), ""};
}

http_reply worker::hold(const json& body, std::unique_lock<std::mutex>& guard)
{
    if (this->fenced(body)) {
        return {409, json{{"ClockMs", this->clock()}, {"Reason", "fence"}}.dump(), ""};
    }
    this->extend_lease(body);
    const std::uint64_t seen = body.value("AckCursor", std::uint64_t{0});
    for (const finished& each : this->ends) {
        if (each.number <= seen) {
            if (!each.lapsed) {
                this->noted.push_back({each.at, now_ms(), each.task, each.run, each.how});
            }
            record("worker " + this->life_id + " end of " + each.task + "/" +
                   std::to_string(each.run) + " " + each.how + " is taken note of");
        }
    }
    std::erase_if(this->ends, [seen](const finished& each) { return each.number <= seen; });
    const std::int64_t wait = std::min<std::int64_t>(body.value("WaitMs", std::int64_t{0}), 2000);
    if (this->ends.empty() && wait > 0) {
        this->changed.wait_for(guard, milliseconds(wait),
                               [this] { return !this->ends.empty() || !this->up; });
    }
    this->changed.wait(guard, [this] { return !this->suspended || !this->up; });
    if (!this->up) {
        return {};
    }
    json running_rows = json::array();
    for (const run_state& each : this->runs) {
        const std::int64_t worked = this->clock() - each.started_at;
        const std::int64_t percent =
            each.lasts         ? (worked > 300 ? 100 : 0)
            : each.work_ms > 0 ? std::min<std::int64_t>(99, worked * 100 / each.work_ms)
                               : 0;
        running_rows.push_back({each.task, each.number, "", percent, 0});
    }
    json finished_rows = json::array();
    for (const finished& each : this->ends) {
        finished_rows.push_back({each.number, each.task, each.run, each.how, ""});
    }
    return {200,
            json{{"ClockMs", this->clock()},
                 {"born", this->born},
                 {"Running", running_rows},
                 {"Finished", finished_rows}}
                .dump(),
            ""};
}

// --- deployment ---------------------------------------------------------------------------------

namespace {

const char* const zone_names[] = {"scl-a", "scl-b", "scl-c"};

std::string at(const std::string& ip, std::uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

} // namespace

json manifest(std::uint64_t version)
{
    return {{"Version", version},
            {"Routes",
             json::array({{{"Name", "r-ce7ejsm"},
                           {"Host", queue_host},
                           {"PathPrefix", queue_prefix},
                           {"Type", "non_idempotent"},
                           {"TimeoutMs", 3000},
                           {"TargetLatencyMs", 1000},
                           {"Priority", 1},
                           {"Service", service_name},
                           {"MaxAttempts", 2},
                           {"Stretch", 3.0},
                           {"Public", false}}})},
            {"Services",
             json::array({{{"Name", service_name},
                           {"HealthCheckPath", "/health"},
                           {"MaxConnections", 64},
                           {"Protocol", "h1"},
                           {"Tls", false},
                           {"ColdStartS", 0.0},
                           {"ColdPerS", 0.0},
                           {"AdmissionControl", true},
                           {"Standby", false}}})},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 262144},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}},
            {"Tenants",
             json::array({{{"Name", "kaje80"},
                           {"ApiKeys", json::array({api_key})},
                           {"Priority", 1},
                           {"GuaranteedGpus", {{"Gpu", 16}}}}})}};
}

json one_step(int tasks, std::int64_t cpu, std::int64_t gpu, std::int64_t estimate_ms)
{
    json step{{"Count", tasks}, {"Cpu", cpu}, {"MemMb", 256}, {"EstimatedMs", estimate_ms}};
    if (gpu > 0) {
        step["Gpu"] = gpu;
    }
    return json::array({step});
}

std::string spec_of(std::int64_t work_ms, const std::string& how, std::int64_t cpu,
                    std::int64_t gpu, bool lasts)
{
    return json{{"work_ms", work_ms}, {"how", how}, {"cpu", cpu}, {"gpu", gpu}, {"lasts", lasts}}
        .dump();
}

deployment::deployment(int gateway_count, int worker_count, int diskless)
{
    for (int index = 0; index < gateway_count; ++index) {
        this->seeds.push_back(at("127.66.0." + std::to_string(index + 1), ports().control));
    }
    for (int index = 0; index < gateway_count; ++index) {
        this->add_gateway(true);
    }
    for (int index = 0; index < diskless; ++index) {
        this->add_gateway(true, false);
    }
    for (int index = 0; index < worker_count; ++index) {
        const std::string ip = "127.66.0." + std::to_string(index + 15);
        const std::string zone = zone_names[index % 3];
        this->workers.push_back(std::make_unique<worker>(
            ip, zone, "r" + std::to_string(index % 3 + 1) + "-1", index));
        std::string text = "name: \"side-" + std::to_string(index) + "-supervisor\"\n" +
                           "region: \"scl\"\ndata_centre: \"" + zone + "\"\n" +
                           "cluster_secret_file: deploy/cluster-secret\nlog:\n  level: info\n" +
                           "metrics:\n  listen: \"" + at(ip, ports().metrics) + "\"\n" +
                           "cluster:\n  port: " + std::to_string(ports().inner) + "\n  seeds: [";
        for (std::size_t each = 0; each < this->seeds.size(); ++each) {
            text += (each == 0 ? "\"" : ", \"") + this->seeds[each] + "\"";
        }
        text += "]\n  founding: true\n  tolerated_losses: 1\nroles: [supervisor]\nsupervisor:\n" +
                std::string("  listen: \"") + at(ip, ports().control) + "\"\n  worker: \"" +
                at(ip, ports().app) + "\"\n  lease_ms: " + std::to_string(lease_limit_ms) +
                "\ntiming:\n  drain_ms: 500\n";
        this->supervisors.push_back(
            std::make_unique<daemon>("supervisor-" + std::to_string(index), text));
    }
}

deployment::~deployment()
{
    this->stop();
}

std::string deployment::gateway_settings(const gateway& host, bool founding) const
{
    std::string text = "name: \"frontend-" + host.ip + "-gateway\"\n" +
                       "region: \"scl\"\ndata_centre: \"" + host.zone + "\"\n" +
                       "cluster_secret_file: deploy/cluster-secret\nlog:\n  level: info\n" +
                       "metrics:\n  listen: \"" + at(host.ip, ports().metrics) + "\"\n" +
                       "cluster:\n  port: " + std::to_string(ports().inner) + "\n  seeds: [";
    for (std::size_t each = 0; each < this->seeds.size(); ++each) {
        text += (each == 0 ? "\"" : ", \"") + this->seeds[each] + "\"";
    }
    return text + "]\n  founding: " + (founding ? "true" : "false") +
           "\n  tolerated_losses: 1\n  listen: \"" + at(host.ip, ports().inner) + "\"\n" +
           (host.data.empty() ? std::string()
                              : "data_folder: \"" + host.data.string() + "\"\n") +
           "roles: [gateway]\ngateway:\n" +
           "  listen: \"" + at(host.ip, ports().front) + "\"\n  readiness: \"" +
           at(host.ip, ports().ready) + "\"\n  administration: \"" + at(host.ip, ports().control) +
           "\"\ntiming:\n  drain_ms: 5000\n";
}

void deployment::add_gateway(bool founding, bool has_disk)
{
    gateway host;
    const std::size_t index = this->next_gateway++;
    host.ip = "127.66.0." + std::to_string(index + 1);
    host.zone = zone_names[index % 3];
    if (has_disk) {
        host.data = places().folder / ("data-" + std::to_string(index));
        std::filesystem::create_directory(host.data);
    }
    host.process = std::make_unique<daemon>("gateway-" + std::to_string(index),
                                            this->gateway_settings(host, founding));
    this->gateways.push_back(std::move(host));
}

void deployment::start()
{
    for (gateway& each : this->gateways) {
        each.process->start();
    }
    for (const std::unique_ptr<daemon>& each : this->supervisors) {
        each->start();
    }
    for (const std::unique_ptr<worker>& each : this->workers) {
        each->begin_life();
    }
}

void deployment::stop()
{
    for (gateway& each : this->gateways) {
        each.process->kill();
    }
    for (const std::unique_ptr<daemon>& each : this->supervisors) {
        each->kill();
    }
}

void deployment::restart_ended()
{
    for (std::size_t each = 0; each < this->gateways.size(); ++each) {
        if (!this->gone.contains(each) && !this->gateways[each].process->running()) {
            this->gateways[each].process->start();
        }
    }
    for (const std::unique_ptr<daemon>& each : this->supervisors) {
        if (!each->running()) {
            each->start();
        }
    }
}

void deployment::restart_gateway(std::size_t index, std::int64_t down)
{
    gateway& host = this->gateways[index];
    record("gateway " + host.ip + " is killed");
    host.process->kill();
    sleep_ms(down);
    host.process->start();
    record("gateway " + host.ip + " is back with its disk");
}

void deployment::lose_disk(std::size_t index, std::int64_t down)
{
    gateway& host = this->gateways[index];
    record("gateway " + host.ip + " is killed and loses its disk");
    host.process->kill();
    std::filesystem::remove_all(host.data);
    std::filesystem::create_directory(host.data);
    host.process->write_settings(this->gateway_settings(host, false));
    sleep_ms(down);
    host.process->start();
    record("gateway " + host.ip + " is back with an empty disk");
}

std::size_t deployment::replace(std::size_t index, std::int64_t down)
{
    record("gateway " + this->gateways[index].ip + " is gone for good");
    this->gateways[index].process->kill();
    this->gone.insert(index);
    sleep_ms(down);
    const std::string zone = this->gateways[index].zone;
    this->add_gateway(false);
    gateway& host = this->gateways.back();
    host.zone = zone;
    host.process->write_settings(this->gateway_settings(host, false));
    host.process->start();
    record("an empty machine comes at " + host.ip);
    return this->gateways.size() - 1;
}

http_reply deployment::any_gateway(const std::string& what, bool front, const std::string& method,
                                   const std::string& path, const std::string& body,
                                   std::int64_t timeout_ms,
                                   const std::function<bool(int)>& is_final)
{
    const std::int64_t deadline = now_ms() + timeout_ms;
    std::int64_t pause = 100;
    http_reply reply;
    for (std::size_t attempt = 0;; ++attempt) {
        const std::size_t index = attempt % this->gateways.size();
        if (!this->gone.contains(index)) {
            headers_type headers;
            if (front) {
                headers = {
                    {"Host", queue_host}, {"Api-Key", api_key}, {"X-Deadline-Ms", "3000"}};
            }
            reply = call(this->gateways[index].ip, front ? ports().front : ports().control, method,
                         path, body, headers, front ? 3000 : 1000);
            if (reply.status != 200 || attempt > 0 || !what.starts_with("~")) {
                record(what + " at " + this->gateways[index].ip + " -> " +
                       (reply.status == 0 ? reply.error : std::to_string(reply.status)) +
                       (method == "GET" && front ? " " + reply.body : ""));
            }
            if (is_final(reply.status) || now_ms() >= deadline) {
                return reply;
            }
            sleep_ms(pause);
            pause = std::min<std::int64_t>(pause * 2, 1000);
        }
    }
}

bool deployment::put_manifest(std::uint64_t version, std::int64_t timeout_ms)
{
    return this
               ->any_gateway("operator: manifest " + std::to_string(version), false, "POST",
                             "/Config.Put", manifest(version).dump(), timeout_ms,
                             [](int status) { return status == 200; })
               .status == 200;
}

std::uint64_t deployment::get_manifest(std::int64_t timeout_ms)
{
    const http_reply reply =
        this->any_gateway("operator: read of the manifest", false, "GET", "/Config.Get", "",
                          timeout_ms, [](int status) { return status == 200; });
    const json body = json::parse(reply.body, nullptr, false);
    return reply.status == 200 && body.is_object() ? body.value("Version", std::uint64_t{0}) : 0;
}

int deployment::submit(const std::string& id, const json& steps, const std::string& spec,
                       std::int64_t timeout_ms)
{
    return this
        ->any_gateway("client: POST job " + id, true, "POST", queue_prefix + id,
                      json{{"Spec", spec}, {"Steps", steps}}.dump(), timeout_ms,
                      [](int status) {
                          return status != 0 && status != 429 && status < 500;
                      })
        .status;
}

int deployment::cancel(const std::string& id, std::int64_t timeout_ms)
{
    return this
        ->any_gateway("client: DELETE job " + id, true, "DELETE", queue_prefix + id, "", timeout_ms,
                      [](int status) { return status != 0 && status < 500; })
        .status;
}

std::string deployment::state(const std::string& id, int& status, std::int64_t timeout_ms)
{
    const http_reply reply =
        this->any_gateway("client: GET job " + id, true, "GET", queue_prefix + id, "", timeout_ms,
                          [](int code) { return code != 0 && code < 500; });
    status = reply.status;
    const json body = json::parse(reply.body, nullptr, false);
    return reply.status == 200 && body.is_object() ? body.value("State", std::string()) : "";
}

int deployment::pending(std::size_t gateway_index, std::int64_t& value)
{
    const http_reply reply =
        call(this->gateways[gateway_index].ip, ports().front, "GET", queue_prefix, "",
             {{"Host", queue_host}, {"Api-Key", api_key}, {"X-Deadline-Ms", "3000"}}, 3000);
    const json body = json::parse(reply.body, nullptr, false);
    value = reply.status == 200 && body.is_object() ? body.value("Pending", std::int64_t{-1}) : -1;
    return reply.status;
}

int deployment::evacuate(std::size_t gateway_index, const std::string& zone, bool begin,
                         std::int64_t timeout_ms)
{
    const std::string path =
        std::string(begin ? "/Evacuation.Start/" : "/Evacuation.Finish/") + zone;
    const http_reply reply = call(this->gateways[gateway_index].ip, ports().control, "POST", path,
                                  "", {}, timeout_ms);
    record("operator: POST " + path + " at " + this->gateways[gateway_index].ip + " -> " +
           (reply.status == 0 ? reply.error : std::to_string(reply.status)));
    return reply.status;
}

int deployment::leader()
{
    std::size_t best_term = 0;
    int best = -1;
    for (std::size_t index = 0; index < this->gateways.size(); ++index) {
        std::ifstream log(places().folder / ("gateway-" + std::to_string(index) + ".log"));
        std::string line;
        while (std::getline(log, line)) {
            const std::size_t found = line.find("event=leadership term=");
            if (found == std::string::npos || line.find("self=true") == std::string::npos) {
                continue;
            }
            const std::size_t term = std::stoul(line.substr(found + 22));
            if (term >= best_term) {
                best_term = term;
                best = static_cast<int>(index);
            }
        }
    }
    return best;
}

int deployment::unexpected_ends()
{
    int count = 0;
    for (gateway& each : this->gateways) {
        each.process->running();
        count += each.process->ends_by_itself();
    }
    for (const std::unique_ptr<daemon>& each : this->supervisors) {
        each->running();
        count += each->ends_by_itself();
    }
    return count;
}

} // namespace review
