#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <random>
#include <sstream>

#include <nlohmann/json.hpp>

namespace lab {

using nlohmann::json;
using std::chrono::milliseconds;

void pause_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

record::record(const std::string& path) : file(path, std::ios::trunc), begun(clock_type::now()) {}

double record::seconds() const
{
    return std::chrono::duration<double>(clock_type::now() - this->begun).count();
}

void record::line(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", this->seconds());
    const std::lock_guard<std::mutex> guard(this->lock);
    this->file << time << text << "\n" << std::flush;
}

namespace {

sockaddr_in to_sockaddr(const address& of)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(of.port));
    inet_pton(AF_INET, of.ip.c_str(), &made.sin_addr);
    return made;
}

std::string text_of(const address& of)
{
    return of.ip + ":" + std::to_string(of.port);
}

int listen_on(const address& on)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in bound = to_sockaddr(on);
    if (::bind(made, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
        ::listen(made, 256) != 0) {
        ::close(made);
        return -1;
    }
    return made;
}

bool wait_for(int socket, short events, clock_type::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
    if (left <= 0) {
        return false;
    }
    pollfd asked{socket, events, 0};
    return ::poll(&asked, 1, static_cast<int>(left)) > 0;
}

int connect_to(const address& to, clock_type::time_point until)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int yes = 1;
    ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const sockaddr_in target = to_sockaddr(to);
    if (::connect(made, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        int error = errno;
        socklen_t size = sizeof(error);
        if (error != EINPROGRESS || !wait_for(made, POLLOUT, until) ||
            ::getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(made);
            return -1;
        }
    }
    return made;
}

bool send_all(int socket, const std::string& bytes, clock_type::time_point until)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t written =
            ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (written > 0) {
            sent += static_cast<std::size_t>(written);
        }
        else if (errno != EAGAIN || !wait_for(socket, POLLOUT, until)) {
            return false;
        }
    }
    return true;
}

/// The first line, the fields in lower case, and the body of a message.
struct http_message {
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;
};

bool read_message(int socket, std::string& buffer, http_message& read, clock_type::time_point until)
{
    std::size_t end = 0;
    std::size_t length = 0;
    bool has_header = false;
    while (true) {
        if (!has_header && (end = buffer.find("\r\n\r\n")) != std::string::npos) {
            has_header = true;
            std::istringstream header(buffer.substr(0, end));
            std::getline(header, read.first_line);
            if (!read.first_line.empty() && read.first_line.back() == '\r') {
                read.first_line.pop_back();
            }
            std::string line;
            while (std::getline(header, line)) {
                const std::size_t colon = line.find(':');
                if (colon == std::string::npos) {
                    continue;
                }
                std::string key = line.substr(0, colon);
                std::transform(key.begin(), key.end(), key.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                std::string value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(" \t"));
                while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
                    value.pop_back();
                }
                read.fields[key] = value;
            }
            const auto found = read.fields.find("content-length");
            length = found == read.fields.end() ? 0 : std::stoul(found->second);
        }
        if (has_header && buffer.size() >= end + 4 + length) {
            read.body = buffer.substr(end + 4, length);
            buffer.erase(0, end + 4 + length);
            return true;
        }
        if (!wait_for(socket, POLLIN, until)) {
            return false;
        }
        char block[16384];
        const ssize_t count = ::recv(socket, block, sizeof(block), 0);
        if (count <= 0 && !(count < 0 && errno == EAGAIN)) {
            return false;
        }
        if (count > 0) {
            buffer.append(block, static_cast<std::size_t>(count));
        }
    }
}

} // namespace

http_response http(const address& to, const std::string& method, const std::string& path,
                   const std::vector<std::string>& headers, const std::string& body, int timeout_ms)
{
    const clock_type::time_point until = clock_type::now() + milliseconds(timeout_ms);
    const int socket = connect_to(to, until);
    if (socket < 0) {
        return {};
    }
    std::string request = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n";
    for (const std::string& each : headers) {
        request += each + "\r\n";
    }
    if (!body.empty()) {
        request += "Content-Type: application/json\r\n";
    }
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    http_response made;
    std::string buffer;
    http_message answer;
    if (send_all(socket, request, until) && read_message(socket, buffer, answer, until) &&
        answer.first_line.size() > 12) {
        made.status = std::atoi(answer.first_line.c_str() + 9);
        made.body = answer.body;
    }
    ::close(socket);
    return made;
}

program::program(std::vector<std::string> chosen, std::string in, std::string to)
    : command(std::move(chosen)), folder(std::move(in)), log(std::move(to))
{
}

program::~program()
{
    this->kill();
}

void program::start()
{
    std::vector<char*> words;
    for (std::string& each : this->command) {
        words.push_back(each.data());
    }
    words.push_back(nullptr);
    this->process = ::fork();
    if (this->process == 0) {
        // The program ends with the test, also when the test is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        if (::chdir(this->folder.c_str()) == 0) {
            ::execv(words[0], words.data());
        }
        ::_exit(127);
    }
}

void program::signal(int number) const
{
    if (this->process > 0) {
        ::kill(this->process, number);
    }
}

bool program::running()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = -1;
    }
    return this->process > 0;
}

void program::kill()
{
    if (this->running()) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

int free_port(const std::vector<std::string>& ips)
{
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 1000; ++attempt) {
        // Below the range from which the system takes the ports of clients.
        const int port = 10'000 + static_cast<int>(random() % 20'000);
        bool is_free = true;
        for (const std::string& ip : ips) {
            for (int offset = 0; offset < 8 && is_free; ++offset) {
                const int socket = listen_on({ip, port + offset});
                is_free = socket >= 0;
                if (is_free) {
                    ::close(socket);
                }
            }
        }
        if (is_free) {
            return port;
        }
    }
    return -1;
}

worker::worker(std::string chosen, worker_options settings, record& to)
    : name(std::move(chosen)), options(std::move(settings)), log(to)
{
}

worker::~worker()
{
    this->stop();
}

std::int64_t worker::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - this->born_at).count() + 1;
}

/// The caller holds the lock.
void worker::begin_life()
{
    ++this->lives;
    this->id = "i-" + this->name + "-" + std::to_string(this->lives);
    this->born_at = clock_type::now();
    this->born = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    this->fence = 0;
    this->deadline = 0;
    this->sequence = 0;
    this->last_end = 0;
    this->tasks.clear();
    this->ends.clear();
    this->highest_ended.clear();
    this->listener = listen_on(this->options.listen);
    this->up = this->listener >= 0;
    this->log.line("worker " + this->name + " starts as " + this->id);
}

void worker::start()
{
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        this->begin_life();
    }
    this->threads.emplace_back([this] { this->accept_loop(); });
    this->threads.emplace_back([this] { this->tick_loop(); });
    this->threads.emplace_back([this] { this->announce_loop(); });
}

void worker::stop()
{
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        this->stopping = true;
        for (const int each : this->sockets) {
            ::shutdown(each, SHUT_RDWR);
        }
    }
    this->changed.notify_all();
    for (std::thread& each : this->threads) {
        each.join();
    }
    this->threads.clear();
    while (this->open > 0) {
        pause_ms(5);
    }
    if (this->listener >= 0) {
        ::close(this->listener);
        this->listener = -1;
    }
}

void worker::crash(int down_ms)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->log.line("worker " + this->name + " crashes");
    for (const auto& [task_name, each] : this->tasks) {
        this->tell(task_name, each.run, "crashed");
    }
    this->up = false;
    this->up_again = clock_type::now() + milliseconds(down_ms);
    this->tasks.clear();
    ::close(this->listener);
    this->listener = -1;
    for (const int each : this->sockets) {
        ::shutdown(each, SHUT_RDWR);
    }
    this->changed.notify_all();
}

std::set<std::string> worker::running()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    std::set<std::string> found;
    for (const auto& [task_name, each] : this->tasks) {
        found.insert(task_name);
    }
    return found;
}

std::int64_t worker::cpu_in_use()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    std::int64_t sum = 0;
    for (const auto& [task_name, each] : this->tasks) {
        sum += each.cpu;
    }
    return sum;
}

void worker::accept_loop()
{
    while (true) {
        int on = -1;
        {
            const std::lock_guard<std::mutex> guard(this->lock);
            if (this->stopping) {
                return;
            }
            on = this->listener;
        }
        if (on < 0 || !wait_for(on, POLLIN, clock_type::now() + milliseconds(20))) {
            pause_ms(on < 0 ? 5 : 0);
            continue;
        }
        const std::lock_guard<std::mutex> guard(this->lock);
        if (on != this->listener) {
            continue;
        }
        const int socket = ::accept4(on, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (socket >= 0) {
            const int yes = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            this->sockets.insert(socket);
            ++this->open;
            std::thread([this, socket] {
                this->serve(socket);
                {
                    const std::lock_guard<std::mutex> closing(this->lock);
                    this->sockets.erase(socket);
                    ::close(socket);
                }
                --this->open;
            }).detach();
        }
    }
}

void worker::serve(int socket)
{
    std::string buffer;
    while (true) {
        http_message request;
        if (!read_message(socket, buffer, request, clock_type::now() + std::chrono::seconds(100))) {
            return;
        }
        std::istringstream first(request.first_line);
        std::string method;
        std::string path;
        first >> method >> path;
        const auto instance = request.fields.find("x-expect-instance");
        const http_response answer = this->carry_out(
            path, instance == request.fields.end() ? "" : instance->second, request.body);
        if (answer.status == 0 ||
            !send_all(socket,
                      "HTTP/1.1 " + std::to_string(answer.status) +
                          " X\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body,
                      clock_type::now() + milliseconds(1000))) {
            return;
        }
    }
}

http_response worker::carry_out(const std::string& path, const std::string& instance,
                                const std::string& body)
{
    std::unique_lock<std::mutex> guard(this->lock);
    if (!this->up || this->stopping) {
        return {};
    }
    if (!instance.empty() && instance != this->id) {
        return {421, "{}"};
    }
    this->advance();
    if (path == "/run-start") {
        return this->run_start(body);
    }
    if (path == "/run-stop") {
        return this->run_stop(body);
    }
    if (path == "/hold") {
        return this->hold(body, guard);
    }
    return {404, "{}"};
}

http_response worker::run_start(const std::string& body)
{
    const json order = json::parse(body, nullptr, false);
    const auto refuse = [this](const char* reason) {
        return http_response{409, json({{"ClockMs", this->clock_ms()}, {"Reason", reason}}).dump()};
    };
    if (!order.is_object()) {
        return {400, "{}"};
    }
    const std::string task_name = order.value("Task", "");
    const std::uint32_t run = order.value("RunId", 0U);
    const std::uint64_t token = order.value("FencingToken", std::uint64_t{0});
    const std::int64_t until = order.value("DeadlineMs", std::int64_t{0});
    if (token < this->fence) {
        return refuse("fence");
    }
    this->fence = token;
    const std::int64_t now = this->clock_ms();
    if (until <= now) {
        return refuse("late");
    }
    this->deadline = std::max(this->deadline, std::min(until, now + this->options.max_hold_ms));
    const auto known = this->tasks.find(task_name);
    if (known != this->tasks.end() && known->second.run == run) {
        return {200, json({{"ClockMs", now}}).dump()};
    }
    const auto highest = this->highest_ended.find(task_name);
    if (known != this->tasks.end() ||
        (highest != this->highest_ended.end() && run <= highest->second)) {
        return refuse("old");
    }
    task added;
    std::istringstream spec(order.value("Spec", ""));
    spec >> added.work_ms >> added.how >> added.cpu >> added.memory_mb >> added.gpu;
    std::int64_t cpu = added.cpu;
    std::int64_t memory_mb = added.memory_mb;
    std::int64_t gpu = added.gpu;
    for (const auto& [other, each] : this->tasks) {
        cpu += each.cpu;
        memory_mb += each.memory_mb;
        gpu += each.gpu;
    }
    if (cpu > this->options.cpu || memory_mb > this->options.memory_mb || gpu > this->options.gpu) {
        return refuse("room");
    }
    added.run = run;
    added.begun = clock_type::now();
    this->tasks[task_name] = added;
    this->tell(task_name, run, "started");
    return {200, json({{"ClockMs", now}}).dump()};
}

http_response worker::run_stop(const std::string& body)
{
    const json order = json::parse(body, nullptr, false);
    if (!order.is_object()) {
        return {400, "{}"};
    }
    const std::uint64_t token = order.value("FencingToken", std::uint64_t{0});
    if (token < this->fence) {
        return {409, json({{"ClockMs", this->clock_ms()}, {"Reason", "fence"}}).dump()};
    }
    this->fence = token;
    const std::string task_name = order.value("Task", "");
    const std::uint32_t run = order.value("RunId", 0U);
    std::uint32_t& highest = this->highest_ended[task_name];
    highest = std::max(highest, run);
    const auto known = this->tasks.find(task_name);
    if (known != this->tasks.end() && known->second.run <= run) {
        this->end(task_name, "stopped");
    }
    return {200, json({{"ClockMs", this->clock_ms()}}).dump()};
}

http_response worker::hold(const std::string& body, std::unique_lock<std::mutex>& guard)
{
    const json order = json::parse(body, nullptr, false);
    if (!order.is_object()) {
        return {400, "{}"};
    }
    const std::uint64_t token = order.value("FencingToken", std::uint64_t{0});
    if (token < this->fence) {
        return {409, json({{"ClockMs", this->clock_ms()}, {"Reason", "fence"}}).dump()};
    }
    this->fence = token;
    const std::uint64_t taken = order.value("AckCursor", std::uint64_t{0});
    std::erase_if(this->ends, [taken](const finished& each) { return each.number <= taken; });
    const std::int64_t until = order.value("DeadlineMs", std::int64_t{0});
    if (until > 0) {
        this->deadline =
            std::max(this->deadline, std::min(until, this->clock_ms() + this->options.max_hold_ms));
    }
    const clock_type::time_point answer_by =
        clock_type::now() + milliseconds(order.value("WaitMs", 0));
    const std::uint32_t life = this->lives;
    while (this->ends.empty() && this->up && this->lives == life && !this->stopping &&
           clock_type::now() < answer_by) {
        this->changed.wait_until(guard, answer_by);
    }
    if (!this->up || this->lives != life || this->stopping) {
        return {};
    }
    this->advance();
    json running = json::array();
    for (const auto& [task_name, each] : this->tasks) {
        const std::int64_t worked =
            std::chrono::duration_cast<milliseconds>(clock_type::now() - each.begun).count();
        running.push_back(
            json::array({task_name, each.run, "",
                         std::min<std::int64_t>(100, worked * 100 / each.work_ms), each.cpu}));
    }
    json listed = json::array();
    for (const finished& each : this->ends) {
        if (listed.size() < 500) {
            listed.push_back(json::array({each.number, each.task, each.run, each.how, ""}));
        }
    }
    return {200, json({{"ClockMs", this->clock_ms()},
                       {"Running", running},
                       {"Finished", listed},
                       {"born", this->born}})
                     .dump()};
}

/// The caller holds the lock.
void worker::end(const std::string& task_name, const std::string& how)
{
    const auto known = this->tasks.find(task_name);
    const std::uint32_t run = known->second.run;
    this->tasks.erase(known);
    std::uint32_t& highest = this->highest_ended[task_name];
    highest = std::max(highest, run);
    this->ends.push_back({++this->last_end, task_name, run, how});
    this->tell(task_name, run, how);
    this->changed.notify_all();
}

/// Ends what has worked long enough or has no lease. The caller holds the lock.
void worker::advance()
{
    const clock_type::time_point now = clock_type::now();
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task_name, each] : this->tasks) {
        if (now >= each.begun + milliseconds(each.work_ms)) {
            over.emplace_back(task_name, each.how);
        }
        else if (this->clock_ms() > this->deadline) {
            over.emplace_back(task_name, "lapsed");
        }
    }
    for (const auto& [task_name, how] : over) {
        this->end(task_name, how);
    }
}

void worker::tell(const std::string& task_name, std::uint32_t run, const std::string& what)
{
    this->log.line("worker " + this->name + " (" + this->id + ") task " + task_name + " run " +
                   std::to_string(run) + " " + what);
    this->untold.push_back({this->log.seconds(), this->name, task_name, run, what});
}

void worker::tick_loop()
{
    while (true) {
        std::vector<event> events;
        {
            const std::lock_guard<std::mutex> guard(this->lock);
            if (this->stopping) {
                return;
            }
            if (!this->up && clock_type::now() >= this->up_again) {
                this->begin_life();
            }
            if (this->up) {
                this->advance();
            }
            events.swap(this->untold);
        }
        for (const event& each : events) {
            if (this->on_event) {
                this->on_event(each);
            }
        }
        pause_ms(5);
    }
}

void worker::announce_loop()
{
    std::uint32_t announced_life = 0;
    clock_type::time_point next;
    while (true) {
        std::string path;
        json body;
        {
            const std::lock_guard<std::mutex> guard(this->lock);
            if (this->stopping) {
                return;
            }
            if (this->up && (this->lives != announced_life || clock_type::now() >= next)) {
                announced_life = this->lives;
                next = clock_type::now() + milliseconds(this->options.heartbeat_ms);
                path = "/Instances.Heartbeat/" + this->id;
                body = {{"Service", this->options.service},
                        {"Address", text_of(this->options.listen)},
                        {"Zone", this->options.zone},
                        {"Version", "v1"},
                        {"Slots", 8},
                        {"State", "ready"},
                        {"ColdRemainingMs", 0},
                        {"Capacity",
                         {{"Cpu", this->options.cpu},
                          {"MemMb", this->options.memory_mb},
                          {"Gpu", this->options.gpu}}},
                        {"Labels", {"a", this->options.rack}},
                        {"ClockMs", this->clock_ms()},
                        {"Sequence", ++this->sequence},
                        {"born", this->born}};
            }
        }
        if (!path.empty() &&
            http(this->options.supervisor, "POST", path, {"Host: worker"}, body.dump(), 1000)
                    .status != 200) {
            // Not acknowledged: the next one follows soon.
            next = clock_type::now() + milliseconds(300);
        }
        pause_ms(10);
    }
}

namespace {

constexpr int tolerated_losses = 1;
constexpr int cluster_offset = 0;
constexpr int metrics_offset = 1;
constexpr int caller_offset = 2;
constexpr int readiness_offset = 3;
constexpr int operators_offset = 4;
constexpr int app_offset = 5;

} // namespace

std::string deployment::ip_of_gateway(int gateway) const
{
    return "127.31." + std::to_string(gateway + 1) + ".19";
}

std::string deployment::ip_of_worker(int number) const
{
    return "127.31." + std::to_string(number % 3 + 1) + "." + std::to_string(100 + number);
}

address deployment::caller(int gateway) const
{
    return {this->ip_of_gateway(gateway), this->base + caller_offset};
}

address deployment::operators(int gateway) const
{
    return {this->ip_of_gateway(gateway), this->base + operators_offset};
}

address deployment::readiness(int gateway) const
{
    return {this->ip_of_gateway(gateway), this->base + readiness_offset};
}

deployment::deployment(const deployment_options& chosen, record& to) : options(chosen), log(to)
{
    std::vector<std::string> ips;
    for (int each = 0; each < this->options.gateways; ++each) {
        ips.push_back(this->ip_of_gateway(each));
    }
    for (int each = 0; each < this->options.workers; ++each) {
        ips.push_back(this->ip_of_worker(each));
    }
    this->base = free_port(ips);
    std::string seeds;
    for (int each = 0; each < std::min(3, this->options.gateways); ++each) {
        seeds += (each == 0 ? "\"" : ", \"") + this->ip_of_gateway(each) + ":" +
                 std::to_string(this->base + operators_offset) + "\"";
    }
    const auto common = [this, &seeds](const std::string& name, const std::string& zone,
                                       const std::string& ip) {
        return "name: \"" + name + "\"\nregion: \"r\"\ndata_centre: \"" + zone +
               "\"\ncluster_secret_file: deploy/cluster-secret\nlog:\n  level: info\n"
               "metrics:\n  listen: \"" +
               ip + ":" + std::to_string(this->base + metrics_offset) +
               "\"\ncluster:\n  port: " + std::to_string(this->base + cluster_offset) +
               "\n  seeds: [" + seeds +
               "]\n  founding: true\n  tolerated_losses: " + std::to_string(tolerated_losses) +
               "\n";
    };
    const std::string binary = "target/bin/redwingwheeld";
    for (int each = 0; each < this->options.gateways; ++each) {
        const std::string ip = this->ip_of_gateway(each);
        const std::string name = "frontend-z" + std::to_string(each + 1) + "-1-gateway";
        const std::string data = this->options.folder + "/data-" + std::to_string(each);
        ::mkdir(data.c_str(), 0755);
        std::string text = common(name, "z" + std::to_string(each + 1), ip);
        text += "  listen: \"" + ip + ":" + std::to_string(this->base + cluster_offset) + "\"\n";
        text += "scheduling:\n  urgent_headroom_percent: 25\ndata_folder: \"" + data +
                "\"\nroles: [gateway]\ngateway:\n  listen: \"" + text_of(this->caller(each)) +
                "\"\n  readiness: \"" + text_of(this->readiness(each)) +
                "\"\n  administration: \"" + text_of(this->operators(each)) +
                "\"\ntiming:\n  drain_ms: 5000\n";
        const std::string file = this->options.folder + "/gateway-" + std::to_string(each);
        std::ofstream(file + ".yaml") << text;
        this->gateways.push_back(
            std::make_unique<program>(std::vector<std::string>{binary, "--config", file + ".yaml"},
                                      this->options.root, file + ".log"));
    }
    for (int each = 0; each < this->options.workers; ++each) {
        const std::string ip = this->ip_of_worker(each);
        const std::string zone = "z" + std::to_string(each % 3 + 1);
        worker_options made;
        made.zone = zone;
        made.rack = "r" + std::to_string(each % 3 + 1) + "-1";
        made.listen = {ip, this->base + app_offset};
        made.supervisor = {ip, this->base + operators_offset};
        std::string text =
            common("side-" + zone + "-" + std::to_string(each) + "-supervisor", zone, ip);
        text += "roles: [supervisor]\nsupervisor:\n  listen: \"" + text_of(made.supervisor) +
                "\"\n  worker: \"" + text_of(made.listen) +
                "\"\n  lease_ms: " + std::to_string(made.max_hold_ms) +
                "\ntiming:\n  drain_ms: 500\n";
        const std::string file = this->options.folder + "/supervisor-" + std::to_string(each);
        std::ofstream(file + ".yaml") << text;
        this->supervisors.push_back(
            std::make_unique<program>(std::vector<std::string>{binary, "--config", file + ".yaml"},
                                      this->options.root, file + ".log"));
        this->workers.push_back(
            std::make_unique<worker>("w" + std::to_string(each), made, this->log));
    }
}

deployment::~deployment()
{
    for (const std::unique_ptr<worker>& each : this->workers) {
        each->stop();
    }
    for (const std::unique_ptr<program>& each : this->supervisors) {
        each->kill();
    }
    for (const std::unique_ptr<program>& each : this->gateways) {
        each->kill();
    }
}

void deployment::start()
{
    for (const std::unique_ptr<program>& each : this->gateways) {
        each->start();
    }
    for (const std::unique_ptr<program>& each : this->supervisors) {
        each->start();
    }
    for (const std::unique_ptr<worker>& each : this->workers) {
        each->start();
    }
}

std::string manifest(std::uint64_t version, int max_attempts)
{
    return R"({"Version":)" + std::to_string(version) +
           R"(,"Routes":[{"Name":"r-q","Host":"h.example","PathPrefix":"/q/",)"
           R"("Type":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,)"
           R"("Service":"svc","MaxAttempts":)" +
           std::to_string(max_attempts) +
           R"(,"Stretch":3.0,"Public":true}],"Services":[{"Name":"svc",)"
           R"("HealthCheckPath":"/health","MaxConnections":64,"Protocol":"h1","Tls":false,)"
           R"("ColdStartS":0.0,"ColdPerS":0.0,"AdmissionControl":true,"Standby":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,)"
           R"("IdleTimeoutMs":15000},"Tenants":[]})";
}

std::string job_body(const std::string& spec, int tasks, std::int64_t cpu, std::int64_t estimate_ms)
{
    return json({{"Spec", spec},
                 {"Steps", json::array({{{"Count", tasks},
                                         {"Cpu", cpu},
                                         {"MemMb", 256},
                                         {"EstimatedMs", estimate_ms}}})}})
        .dump();
}

std::string new_id()
{
    static std::mt19937_64 random(std::random_device{}());
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

bool put_manifest(deployment& system, record& log, std::uint64_t version, int first, int until_ms,
                  int max_attempts)
{
    const clock_type::time_point until = clock_type::now() + milliseconds(until_ms);
    const int count = static_cast<int>(system.gateways.size());
    for (int each = first; clock_type::now() < until; ++each) {
        const int status = http(system.operators(each % count), "POST", "/Config.Put",
                                {"Host: operator"}, manifest(version, max_attempts), 1000)
                               .status;
        log.line("operator: Config.Put version " + std::to_string(version) + " at gateway " +
                 std::to_string(each % count) + ": " + std::to_string(status));
        if (status == 200) {
            return true;
        }
        pause_ms(200);
    }
    return false;
}

bool submit(deployment& system, record& log, const std::string& id, const std::string& body,
            int first, int until_ms)
{
    const clock_type::time_point until = clock_type::now() + milliseconds(until_ms);
    const int count = static_cast<int>(system.gateways.size());
    for (int each = first; clock_type::now() < until; ++each) {
        const int status = http(system.caller(each % count), "POST", "/q/" + id,
                                {"Host: h.example", "X-Deadline-Ms: 3000"}, body, 3000)
                               .status;
        log.line("client: POST " + id + " at gateway " + std::to_string(each % count) + ": " +
                 std::to_string(status));
        if (status >= 200 && status < 300) {
            return true;
        }
        pause_ms(200);
    }
    return false;
}

std::string state_of(deployment& system, const std::string& id, int gateway)
{
    const http_response answer = http(system.caller(gateway), "GET", "/q/" + id,
                                      {"Host: h.example", "X-Deadline-Ms: 3000"}, "", 3000);
    if (answer.status != 200) {
        return std::to_string(answer.status);
    }
    return json::parse(answer.body, nullptr, false).value("State", "unreadable");
}

} // namespace lab
