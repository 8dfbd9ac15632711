#include "lab.h"

#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <signal.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

// --- record -------------------------------------------------------------------------------------

namespace {
std::ofstream record_file;
std::mutex record_lock;
const steady::time_point begun = steady::now();

sockaddr_in to_sockaddr(const address& of)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(of.port));
    inet_pton(AF_INET, of.ip.c_str(), &result.sin_addr);
    return result;
}

bool send_all(int descriptor, const char* data, std::size_t size)
{
    while (size > 0) {
        const ssize_t sent = ::send(descriptor, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

std::string lower(std::string text)
{
    for (char& each : text) {
        each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    }
    return text;
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Reads one HTTP message; `rest` keeps what follows it.
bool read_message(int descriptor, std::string& rest, message& found, steady::time_point deadline)
{
    found = message();
    std::size_t head_end = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (head_end == std::string::npos) {
            head_end = rest.find("\r\n\r\n");
            if (head_end != std::string::npos) {
                std::istringstream head(rest.substr(0, head_end));
                std::string line;
                std::getline(head, line);
                found.first_line = line.substr(0, line.find('\r'));
                while (std::getline(head, line)) {
                    const std::size_t colon = line.find(':');
                    if (colon == std::string::npos) {
                        continue;
                    }
                    std::string value = line.substr(colon + 1);
                    value.erase(0, value.find_first_not_of(" \t"));
                    value.erase(value.find_last_not_of(" \r\t") + 1);
                    found.headers[lower(line.substr(0, colon))] = value;
                }
                length = found.headers.contains("content-length") ? std::stoul(found.headers["content-length"]) : 0;
            }
        }
        if (head_end != std::string::npos && rest.size() >= head_end + 4 + length) {
            found.body = rest.substr(head_end + 4, length);
            rest.erase(0, head_end + 4 + length);
            return true;
        }
        const auto left = std::chrono::duration_cast<ms>(deadline - steady::now()).count();
        if (left <= 0) {
            return false;
        }
        pollfd events{descriptor, POLLIN, 0};
        if (::poll(&events, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char buffer[16384];
        const ssize_t received = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (received <= 0) {
            return false;
        }
        rest.append(buffer, static_cast<std::size_t>(received));
    }
}

long unix_ms()
{
    return std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}
} // namespace

long now_ms()
{
    return std::chrono::duration_cast<ms>(steady::now() - begun).count();
}

void open_record(const std::string& path)
{
    record_file.open(path, std::ios::trunc);
    if (!record_file) {
        throw cannot_run("cannot write the record");
    }
}

void record(const std::string& line)
{
    const std::lock_guard<std::mutex> guard(record_lock);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%9.3f ", static_cast<double>(now_ms()) / 1000.0);
    record_file << stamp << line << std::endl;
}

void sleep_until_ms(long at)
{
    std::this_thread::sleep_until(begun + ms(at));
}

// --- processes ----------------------------------------------------------------------------------

daemon_process::daemon_process(std::string chosen_name, std::vector<std::string> chosen_command,
                               std::string in_folder, std::string log_file)
    : name(std::move(chosen_name)), command(std::move(chosen_command)), folder(std::move(in_folder)),
      log(std::move(log_file))
{
}

daemon_process::~daemon_process()
{
    this->end();
}

void daemon_process::start()
{
    std::vector<char*> arguments;
    for (std::string& each : this->command) {
        arguments.push_back(each.data());
    }
    arguments.push_back(nullptr);
    this->pid = ::fork();
    if (this->pid < 0) {
        throw cannot_run("fork failed");
    }
    if (this->pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also ends when this program is killed.
        const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        for (int each = 3; each < 4096; ++each) {
            ::close(each);
        }
        if (::chdir(this->folder.c_str()) != 0) {
            ::_exit(127);
        }
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    record("process " + this->name + " started");
}

void daemon_process::signal(int number)
{
    if (this->pid > 0) {
        ::kill(this->pid, number);
        record("process " + this->name + " gets signal " + std::to_string(number) + " (" + strsignal(number) + ")");
    }
}

bool daemon_process::running()
{
    return this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == 0;
}

void daemon_process::end()
{
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
}

// --- HTTP ---------------------------------------------------------------------------------------

int listen_on(const address& at)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = to_sockaddr(at);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 ||
        ::listen(descriptor, 128) != 0) {
        ::close(descriptor);
        throw cannot_run("cannot listen on " + at.text());
    }
    return descriptor;
}

int connect_to(const address& to, int timeout_ms)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in name = to_sockaddr(to);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0) {
        pollfd events{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&events, 1, timeout_ms) <= 0 ||
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(descriptor);
            return -1;
        }
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

response call(const address& to, const std::string& method, const std::string& path, const std::string& body,
              const std::map<std::string, std::string>& headers, int timeout_ms)
{
    const steady::time_point deadline = steady::now() + ms(timeout_ms);
    const int descriptor = connect_to(to, timeout_ms);
    if (descriptor < 0) {
        return {};
    }
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host")) {
        text += "Host: " + to.text() + "\r\n";
    }
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    if (method == "POST" || !body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    response result;
    std::string rest;
    message answer;
    if (send_all(descriptor, text.data(), text.size()) && read_message(descriptor, rest, answer, deadline)) {
        result.status = std::atoi(answer.first_line.substr(9).c_str());
        result.body = answer.body;
    }
    ::close(descriptor);
    return result;
}

// --- relay --------------------------------------------------------------------------------------

relay::relay(address listen, address to, int delay)
    : at(std::move(listen)), target(std::move(to)), delay_us(delay), listener(listen_on(at))
{
    this->acceptor = std::thread([this] { this->serve(); });
}

relay::~relay()
{
    this->stopping = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        for (const int each : this->descriptors) {
            ::shutdown(each, SHUT_RDWR);
        }
    }
    for (std::thread& each : this->threads) {
        each.join();
    }
    for (const int each : this->descriptors) {
        ::close(each);
    }
    ::close(this->listener);
}

std::atomic<bool> relay::silenced{false};
std::mutex relay::trigger_lock;
std::string relay::trigger;

void relay::silence_channel_with(const std::string& text)
{
    const std::lock_guard<std::mutex> guard(trigger_lock);
    trigger = text;
}

void relay::serve()
{
    while (!this->stopping) {
        const int from = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (from < 0) {
            return;
        }
        const int to = connect_to(this->target, 1000);
        if (to < 0) {
            ::close(from);
            continue;
        }
        const int on = 1;
        ::setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto silent = std::make_shared<std::atomic<bool>>(false);
        const std::lock_guard<std::mutex> guard(this->lock);
        this->descriptors.push_back(from);
        this->descriptors.push_back(to);
        this->threads.emplace_back([this, from, to, silent] { this->pump(from, to, true, silent); });
        this->threads.emplace_back([this, from, to, silent] { this->pump(to, from, false, silent); });
    }
}

void relay::pump(int from, int to, bool forward, std::shared_ptr<std::atomic<bool>> silent)
{
    char buffer[65536];
    std::minstd_rand random(std::random_device{}());
    while (true) {
        const ssize_t received = ::recv(from, buffer, sizeof buffer, 0);
        if (received <= 0) {
            break;
        }
        if (forward) {
            const std::lock_guard<std::mutex> guard(trigger_lock);
            const std::string_view text(buffer, static_cast<std::size_t>(received));
            if (!trigger.empty() && text.find(trigger) != std::string_view::npos) {
                trigger.clear();
                silenced = true;
                *silent = true;
                record("a channel to " + this->at.text() + " goes silent towards the one that opened it");
            }
        }
        if (!forward && *silent) {
            continue;
        }
        if (this->delay_us > 0) {
            const int spread = this->delay_us * 3 / 10;
            std::this_thread::sleep_for(std::chrono::microseconds(
                this->delay_us - spread + static_cast<int>(random() % static_cast<unsigned>(2 * spread + 1))));
        }
        if (!send_all(to, buffer, static_cast<std::size_t>(received))) {
            break;
        }
    }
    ::shutdown(to, SHUT_WR);
    ::shutdown(from, SHUT_RD);
}

// --- jobs ---------------------------------------------------------------------------------------

json step_spec::to_json() const
{
    json step{{"Count", this->count}, {"Cpu", this->cpu}, {"MemMb", this->mem}, {"EstimatedMs", this->work_ms}};
    if (this->gpu > 0) {
        step["Gpu"] = this->gpu;
    }
    if (!this->label.empty()) {
        step["Requirements"] = this->label;
    }
    if (this->lasts) {
        step["LongRunning"] = true;
    }
    if (this->gang) {
        step["Gang"] = true;
    }
    if (!this->affinity.empty()) {
        step["Affinity"] = this->affinity;
    }
    return step;
}

void job_book::add(const std::string& id, const std::vector<step_spec>& steps)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->jobs[id] = steps;
}

bool job_book::find(const std::string& task, step_spec& found) const
{
    const std::lock_guard<std::mutex> guard(this->lock);
    const auto job = this->jobs.find(job_of(task));
    unsigned occurrence = 0;
    unsigned step = 0;
    unsigned index = 0;
    if (job == this->jobs.end() ||
        std::sscanf(task.c_str() + task.find('.'), ".%u.%u.%u", &occurrence, &step, &index) != 3 ||
        step >= job->second.size()) {
        return false;
    }
    found = job->second[step];
    return true;
}

// --- workers ------------------------------------------------------------------------------------

std::mutex worker::events_lock;
std::vector<start_event> worker::starts;
std::vector<end_event> worker::ends;

bool worker::has_started(const std::string& job)
{
    const std::lock_guard<std::mutex> guard(events_lock);
    return std::any_of(starts.begin(), starts.end(),
                       [&job](const start_event& each) { return job_book::job_of(each.task) == job; });
}

std::string worker::find_second_run()
{
    const std::lock_guard<std::mutex> guard(events_lock);
    for (const start_event& first : starts) {
        const end_event* end = nullptr;
        for (const end_event& each : ends) {
            if (each.worker == first.worker && each.task == first.task && each.run == first.run && each.at >= first.at) {
                end = &each;
            }
        }
        for (const start_event& second : starts) {
            if (second.task != first.task || second.at < first.at || &second == &first) {
                continue;
            }
            const bool together = second.worker != first.worker && (end == nullptr || second.at < end->at);
            const bool after_done =
                end != nullptr && end->how == "done" && end->noted >= 0 && second.at >= end->at;
            if (together || after_done) {
                return "task " + first.task + " is started on " + first.worker + " (run " +
                       std::to_string(first.run) + ") and on " + second.worker + " (run " +
                       std::to_string(second.run) + ") " + std::to_string(second.at - first.at) + " ms later, " +
                       (together ? "while the first one is running" : "after the first one has ended done");
            }
        }
    }
    return "";
}

worker::worker(std::string chosen_name, std::string in_zone, std::vector<std::string> own_labels, address own,
               address its_supervisor, const job_book& jobs)
    : name(std::move(chosen_name)), labels(std::move(own_labels)), zone(std::move(in_zone)), app(std::move(own)),
      supervisor(std::move(its_supervisor)), book(jobs)
{
}

worker::~worker()
{
    this->stop();
}

long worker::clock() const
{
    return std::chrono::duration_cast<ms>(steady::now() - this->life_begun).count() + 1;
}

/// Begins a new life. The caller holds the lock.
void worker::open()
{
    this->down = false;
    this->born = unix_ms();
    this->life_begun = steady::now();
    this->next_beat = this->life_begun;
    this->sequence = 0;
    this->last_end = 0;
    this->fence = 0;
    this->lease_until = 0;
    this->running.clear();
    this->highest_ended.clear();
    this->finished.clear();
    this->listener = listen_on(this->app);
    this->acceptor = std::thread([this] { this->serve(); });
}

void worker::start()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->id = "i-" + this->name + "-" + std::to_string(++this->life);
    this->open();
    this->ticker = std::thread([this] { this->tick(); });
}

void worker::crash()
{
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        if (!this->stopped) {
            record("worker " + this->name + " crashes, running " + std::to_string(this->running.size()) + " tasks");
        }
        this->down = true;
        this->running.clear();
        ::shutdown(this->listener, SHUT_RDWR);
        for (const int each : this->connections) {
            ::shutdown(each, SHUT_RDWR);
        }
        this->changed.notify_all();
    }
    this->acceptor.join();
    ::close(this->listener);
}

void worker::restart(bool same_id)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    if (!same_id) {
        this->id = "i-" + this->name + "-" + std::to_string(++this->life);
    }
    this->open();
    record("worker " + this->name + " begins a new life as " + this->id);
}

void worker::stop()
{
    if (this->stopped.exchange(true) || !this->ticker.joinable()) {
        return;
    }
    this->ticker.join();
    bool was_down = false;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        was_down = this->down;
    }
    if (!was_down) {
        this->crash();
    }
    for (std::thread& each : this->servers) {
        each.join();
    }
}

void worker::serve()
{
    const int own = this->listener;
    while (true) {
        const int descriptor = ::accept4(own, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const std::lock_guard<std::mutex> guard(this->lock);
        if (this->down) {
            ::close(descriptor);
            continue;
        }
        this->connections.insert(descriptor);
        this->servers.emplace_back([this, descriptor] { this->serve_connection(descriptor); });
    }
}

void worker::serve_connection(int descriptor)
{
    std::string rest;
    message request;
    while (read_message(descriptor, rest, request, steady::now() + std::chrono::minutes(3))) {
        std::istringstream line(request.first_line);
        std::string method;
        std::string path;
        line >> method >> path;
        const json body = json::parse(request.body, nullptr, false);
        const auto [status, answer] = this->handle(path, body, request.headers["x-expect-instance"]);
        if (status == 0) {
            break;
        }
        const std::string text = answer.dump();
        const std::string head = "HTTP/1.1 " + std::to_string(status) +
                                 " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(text.size()) + "\r\n\r\n";
        if (!send_all(descriptor, (head + text).data(), head.size() + text.size())) {
            break;
        }
    }
    const std::lock_guard<std::mutex> guard(this->lock);
    this->connections.erase(descriptor);
    ::close(descriptor);
}

std::pair<int, json> worker::handle(const std::string& path, const json& body, const std::string& instance)
{
    std::unique_lock<std::mutex> guard(this->lock);
    if (this->down) {
        return {0, {}};
    }
    if (!body.is_object()) {
        return {400, json::object()};
    }
    if (instance != this->id) {
        return {421, json{{"ClockMs", this->clock()}, {"born", this->born}}};
    }
    const auto answer = [this](int status, const char* reason) {
        json made{{"ClockMs", this->clock()}, {"born", this->born}};
        if (reason != nullptr) {
            made["Reason"] = reason;
        }
        return std::pair<int, json>(status, made);
    };
    const unsigned long token = body.value("FencingToken", 0UL);
    if (token < this->fence) {
        return answer(409, "fence");
    }
    this->fence = token;
    if (path == "/hold") {
        return this->hold(body, guard);
    }
    const std::string task = body.value("Task", "");
    const unsigned run = body.value("RunId", 0U);
    if (path == "/run-stop") {
        unsigned& highest = this->highest_ended[task];
        highest = std::max(highest, run);
        const auto found = this->running.find(task);
        if (found != this->running.end() && found->second.number == run && !found->second.stopping) {
            found->second.stopping = true;
            found->second.stop_at = steady::now() + ms(bounds::stop_grace_ms / 2);
        }
        record("worker " + this->name + " is told to stop " + task + " run " + std::to_string(run));
        return answer(200, nullptr);
    }
    if (path != "/run-start") {
        return {404, json::object()};
    }
    if (this->shedding) {
        record("worker " + this->name + " answers 503 to the start of " + task + " run " + std::to_string(run));
        return {503, json::object()};
    }
    step_spec spec;
    if (!this->book.find(task, spec)) {
        record("worker " + this->name + " is told to start the unknown task " + task);
        return {400, json::object()};
    }
    const auto there = this->running.find(task);
    if (there != this->running.end() && there->second.number == run) {
        return answer(200, nullptr);
    }
    const long deadline = body.value("DeadlineMs", 0L);
    if (deadline < this->clock()) {
        return answer(409, "late");
    }
    this->lease_until = std::max(this->lease_until, std::min(deadline, this->clock() + bounds::max_hold_ms));
    if (this->highest_ended.contains(task) && run <= this->highest_ended[task]) {
        return answer(409, "old");
    }
    int cpu = spec.cpu;
    int mem = spec.mem;
    int gpu = spec.gpu;
    for (const auto& [other, state] : this->running) {
        cpu += state.spec.cpu;
        mem += state.spec.mem;
        gpu += state.spec.gpu;
    }
    if (there != this->running.end() || cpu > 32000 || mem > 65536 || gpu > 8) {
        return answer(409, "room");
    }
    this->running[task] = {run, spec, steady::now(), false, {}};
    record("worker " + this->name + " starts " + task + " run " + std::to_string(run) + " fence " +
           std::to_string(token));
    {
        const std::lock_guard<std::mutex> events(events_lock);
        starts.push_back({now_ms(), task, this->name, run, token});
    }
    return answer(200, nullptr);
}

std::pair<int, json> worker::hold(const json& body, std::unique_lock<std::mutex>& guard)
{
    const long acknowledged = body.value("AckCursor", 0L);
    std::erase_if(this->finished, [this, acknowledged](const end_row& each) {
        if (each.n > acknowledged) {
            return false;
        }
        const std::lock_guard<std::mutex> events(events_lock);
        for (end_event& known : ends) {
            if (known.worker == this->name && known.task == each.task && known.run == each.run && !each.lapsed) {
                known.noted = now_ms();
            }
        }
        return true;
    });
    if (body.contains("DeadlineMs")) {
        this->lease_until = std::max(
            this->lease_until, std::min(body["DeadlineMs"].get<long>(), this->clock() + bounds::max_hold_ms));
    }
    const long life_of_call = this->born;
    this->changed.wait_until(guard, steady::now() + ms(std::min(2000, body.value("WaitMs", 0))),
                             [&] { return !this->finished.empty() || this->down || this->born != life_of_call; });
    if (this->down || this->born != life_of_call) {
        return {0, {}};
    }
    json rows = json::array();
    for (const auto& [task, state] : this->running) {
        const long worked = std::chrono::duration_cast<ms>(steady::now() - state.begun).count();
        const long percent = state.spec.lasts ? 100 : std::min(99L, worked * 100 / std::max(1, state.spec.work_ms));
        rows.push_back({task, state.number, "", percent, 0});
    }
    json ended = json::array();
    for (const end_row& each : this->finished) {
        if (ended.size() < 500) {
            ended.push_back({each.n, each.task, each.run, each.how, ""});
        }
    }
    return {200, json{{"ClockMs", this->clock()}, {"born", this->born}, {"Running", rows}, {"Finished", ended}}};
}

void worker::end_run(const std::string& task, const std::string& how)
{
    const auto found = this->running.find(task);
    const unsigned run = found->second.number;
    this->running.erase(found);
    unsigned& highest = this->highest_ended[task];
    highest = std::max(highest, run);
    this->finished.push_back({++this->last_end, task, run, how});
    record("worker " + this->name + " lists " + task + " run " + std::to_string(run) + " as " + how);
    {
        const std::lock_guard<std::mutex> events(events_lock);
        ends.push_back({now_ms(), task, this->name, how, run, -1});
    }
    this->changed.notify_all();
}

void worker::tick()
{
    while (!this->stopped) {
        bool beat = false;
        {
            const std::lock_guard<std::mutex> guard(this->lock);
            if (!this->down) {
                const steady::time_point now = steady::now();
                std::map<std::string, std::string> over;
                for (const auto& [task, state] : this->running) {
                    const bool worked = now >= state.begun + ms(state.spec.work_ms);
                    const bool faulty = this->failing && now >= state.begun + ms(300);
                    if (this->clock() > this->lease_until) {
                        over[task] = "lapsed";
                    }
                    else if (state.stopping) {
                        if (now >= state.stop_at) {
                            over[task] = "stopped";
                        }
                    }
                    else if (faulty || (worked && state.spec.fails)) {
                        over[task] = "failed";
                    }
                    else if (worked && !state.spec.lasts) {
                        over[task] = "done";
                    }
                }
                for (const auto& [task, how] : over) {
                    this->end_run(task, how);
                }
                for (end_row& each : this->finished) {
                    each.lapsed = each.lapsed || this->clock() > this->lease_until;
                }
                beat = now >= this->next_beat;
            }
        }
        if (beat) {
            this->heartbeat();
        }
        std::this_thread::sleep_for(ms(10));
    }
}

void worker::heartbeat()
{
    json body;
    std::string path;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        this->next_beat = steady::now() + ms(bounds::heartbeat_ms);
        path = "/Instances.Heartbeat/" + this->id;
        body = {{"Service", "huvo11a"},
                {"Address", this->app.text()},
                {"Zone", this->zone},
                {"Version", "v1"},
                {"Slots", 8},
                {"State", "ready"},
                {"ColdRemainingMs", 0},
                {"Capacity", {{"Cpu", 32000}, {"MemMb", 65536}, {"Gpu", 8}}},
                {"Labels", this->labels},
                {"ClockMs", this->clock()},
                {"Sequence", ++this->sequence},
                {"born", this->born}};
    }
    const response answer = call(this->supervisor, "POST", path, body.dump(), {}, 1000);
    if (answer.status != 200) {
        const std::lock_guard<std::mutex> guard(this->lock);
        this->next_beat = steady::now() + ms(200);
    }
}

std::set<std::string> worker::running_tasks()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    std::set<std::string> found;
    for (const auto& [task, state] : this->running) {
        found.insert(task);
    }
    return found;
}

int worker::gpus_in_use()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    int used = 0;
    for (const auto& [task, state] : this->running) {
        used += state.spec.gpu;
    }
    return used;
}

// --- deployment ---------------------------------------------------------------------------------

namespace {

constexpr int core_gateways = 3;
const char* const zone_names[] = {"scl-a", "scl-b", "scl-c"};

/// Finds a part of the loopback range in which the ports are free.
std::string choose_network(int machines, int first_port, int ports)
{
    std::random_device device;
    for (int attempt = 0; attempt < 50; ++attempt) {
        const std::string network = "127." + std::to_string(10 + device() % 240) + "." + std::to_string(device() % 250);
        try {
            std::vector<int> opened;
            for (int machine = 0; machine < machines; ++machine) {
                for (int port = 0; port < ports; ++port) {
                    opened.push_back(listen_on({network + "." + std::to_string(10 + machine), first_port + port}));
                }
            }
            for (const int each : opened) {
                ::close(each);
            }
            return network;
        }
        catch (const cannot_run&) {
        }
    }
    throw cannot_run("no free addresses");
}

} // namespace

deployment::deployment(const deployment_plan& plan, const std::string& daemon, const std::string& repository)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw cannot_run("no temporary folder");
    }
    this->folder = pattern;
    std::filesystem::create_directory(this->folder + "/deploy");
    std::filesystem::copy_file(repository + "/deploy/cluster-secret", this->folder + "/deploy/cluster-secret");
    std::filesystem::permissions(this->folder + "/deploy/cluster-secret",
                                 std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
    const int gateway_count = core_gateways + plan.plain_gateways;
    constexpr int internal = 27000; // InternalPorts: 27000 for the processes, 27001 for metrics, 27002 behind a relay
    constexpr int front = 28521;
    const std::string network = choose_network(gateway_count + plan.workers, internal, 3);
    const auto ip_of = [&network](int machine) { return network + "." + std::to_string(10 + machine); };
    std::string seeds;
    for (int each = 0; each < core_gateways; ++each) {
        seeds += (each > 0 ? "," : "") + std::string("\"") + ip_of(each) + ":" + std::to_string(front + 5) + "\"";
    }
    // What deploy/settings.yaml.in gives for these machines.
    const auto common = [&](const std::string& process_name, const std::string& zone, const std::string& ip) {
        return "name: \"" + process_name + "\"\nregion: \"scl\"\ndata_centre: \"" + zone +
               "\"\ncluster_secret_file: deploy/cluster-secret\nlog:\n  level: info\nmetrics:\n  listen: \"" + ip +
               ":" + std::to_string(internal + 1) + "\"\ncluster:\n  port: " + std::to_string(internal) +
               "\n  seeds: [" + seeds + "]\n  founding: true\n  tolerated_losses: 1\n";
    };
    for (int each = 0; each < gateway_count; ++each) {
        const std::string ip = ip_of(each);
        const std::string process_name = "frontend-" + std::to_string(each) + "-gateway";
        std::string settings = common(process_name, zone_names[each % 3], ip);
        settings += "  listen: \"" + ip + ":" + std::to_string(internal) + "\"\n";
        std::unique_ptr<gateway> made = std::make_unique<gateway>();
        if (plan.relays && each < core_gateways) {
            settings += "  bind: \"" + ip + ":" + std::to_string(internal + 2) + "\"\n";
            made->link = std::make_unique<relay>(address{ip, internal}, address{ip, internal + 2},
                                                  plan.link_delay_us);
        }
        if (each < core_gateways) {
            const std::string data = this->folder + "/data-" + std::to_string(each);
            std::filesystem::create_directory(data);
            settings += "data_folder: \"" + data + "\"\n";
        }
        made->front = {ip, front};
        made->ready = {ip, front + 2};
        made->control = {ip, front + 5};
        settings += "roles: [gateway]\ngateway:\n  listen: \"" + made->front.text() + "\"\n  readiness: \"" +
                    made->ready.text() + "\"\n  administration: \"" + made->control.text() +
                    "\"\ntiming:\n  drain_ms: 5000\n";
        const std::string file = this->folder + "/" + process_name + ".yaml";
        std::ofstream(file) << settings;
        made->process = std::make_unique<daemon_process>(process_name,
                                                         std::vector<std::string>{daemon, "--config", file},
                                                         this->folder, this->folder + "/" + process_name + ".log");
        this->gateways.push_back(std::move(made));
    }
    for (int each = 0; each < plan.workers; ++each) {
        const std::string ip = ip_of(gateway_count + each);
        const std::string zone = zone_names[each % 3];
        const std::string process_name = "side-" + std::to_string(each) + "-supervisor";
        const address control{ip, front + 5};
        const address app{ip, front + 9};
        const std::string file = this->folder + "/" + process_name + ".yaml";
        std::ofstream(file) << common(process_name, zone, ip) << "roles: [supervisor]\nsupervisor:\n  listen: \""
                            << control.text() << "\"\n  worker: \"" << app.text() << "\"\n  lease_ms: "
                            << bounds::max_hold_ms << "\ntiming:\n  drain_ms: 500\n";
        this->supervisors.push_back(std::make_unique<daemon_process>(
            process_name, std::vector<std::string>{daemon, "--config", file}, this->folder,
            this->folder + "/" + process_name + ".log"));
        this->workers.push_back(std::make_unique<worker>(
            "w" + std::to_string(each), zone,
            std::vector<std::string>{plan.kind(each), "r1-" + std::to_string(each / 3)}, app, control, this->book));
    }
}

deployment::~deployment()
{
    for (const auto& each : this->gateways) {
        each->process->end();
    }
    for (const auto& each : this->supervisors) {
        each->end();
    }
    for (const auto& each : this->workers) {
        each->stop();
    }
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cerr << "logs: " << this->folder << "\n";
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

void deployment::start_rest(std::size_t except)
{
    for (std::size_t each = 0; each < this->gateways.size(); ++each) {
        if (each != except) {
            this->gateways[each]->process->start();
        }
    }
    for (const auto& each : this->supervisors) {
        each->start();
    }
    for (const auto& each : this->workers) {
        each->start();
    }
}

void deployment::start_all()
{
    this->start_rest(this->gateways.size());
}

response deployment::put_manifest(std::size_t index, const json& manifest)
{
    const response answer =
        call(this->gateways[index]->control, "POST", "/Config.Put", manifest.dump(), {}, 1000);
    record("operator: Config.Put version " + std::to_string(manifest["Version"].get<int>()) + " at gateway " +
           std::to_string(index) + " -> " + std::to_string(answer.status));
    return answer;
}

void deployment::put_until_acknowledged(const json& manifest, int limit_ms)
{
    const long until = now_ms() + limit_ms;
    for (std::size_t attempt = 0; now_ms() < until; ++attempt) {
        if (this->put_manifest(attempt % this->gateways.size(), manifest).status == 200) {
            return;
        }
        std::this_thread::sleep_for(ms(300));
    }
    throw cannot_run("the manifest was not acknowledged");
}

response deployment::get_manifest(std::size_t index)
{
    const response answer = call(this->gateways[index]->control, "GET", "/Config.Get", "", {}, 1000);
    const json body = json::parse(answer.body, nullptr, false);
    record("operator: Config.Get at gateway " + std::to_string(index) + " -> " + std::to_string(answer.status) +
           (body.is_object() && body.contains("Version") ? " version " + std::to_string(body["Version"].get<int>())
                                                         : ""));
    return answer;
}

namespace {
std::map<std::string, std::string> client_headers(const std::string& key, int wait_ms)
{
    return {{"Host", host}, {"Api-Key", key}, {"X-Deadline-Ms", std::to_string(wait_ms)}};
}
} // namespace

response deployment::submit(std::size_t index, const std::string& prefix, const std::string& id,
                            const std::vector<step_spec>& steps, const std::string& key, int wait_ms)
{
    this->book.add(id, steps);
    json body{{"Spec", "work " + id}, {"Steps", json::array()}};
    for (const step_spec& each : steps) {
        body["Steps"].push_back(each.to_json());
    }
    record("client: POST " + prefix + id + " at gateway " + std::to_string(index) + " sent");
    const response answer = call(this->gateways[index]->front, "POST", prefix + id, body.dump(),
                                 client_headers(key, wait_ms), wait_ms);
    record("client: POST " + prefix + id + " at gateway " + std::to_string(index) + " -> " +
           std::to_string(answer.status));
    return answer;
}

void deployment::submit_until_accepted(const std::string& prefix, const std::string& id,
                                       const std::vector<step_spec>& steps, const std::string& key, int limit_ms)
{
    const long until = now_ms() + limit_ms;
    for (std::size_t attempt = 0; now_ms() < until; ++attempt) {
        const int status = this->submit(attempt % this->gateways.size(), prefix, id, steps, key).status;
        if (status == 200) {
            return;
        }
        if (status != 0 && status != 502 && status != 503 && status != 504) {
            break;
        }
        std::this_thread::sleep_for(ms(300));
    }
    throw cannot_run("job " + id + " was not accepted");
}

response deployment::status(std::size_t index, const std::string& prefix, const std::string& id,
                            const std::string& key)
{
    const response answer =
        call(this->gateways[index]->front, "GET", prefix + id, "", client_headers(key, 3000), 3000);
    record("client: GET " + prefix + id + " at gateway " + std::to_string(index) + " -> " +
           std::to_string(answer.status) + " " + answer.body);
    return answer;
}

response deployment::pending(std::size_t index, const std::string& prefix, const std::string& key)
{
    const response answer = call(this->gateways[index]->front, "GET", prefix, "", client_headers(key, 3000), 3000);
    record("client: GET " + prefix + " at gateway " + std::to_string(index) + " -> " + std::to_string(answer.status) +
           " " + answer.body);
    return answer;
}

void deployment::wait_until_ready(int limit_ms)
{
    const long until = now_ms() + limit_ms;
    while (now_ms() < until) {
        bool all = true;
        for (const auto& each : this->gateways) {
            all = all && call(each->ready, "GET", "/readiness", "", {}, 500).status == 200;
        }
        if (all) {
            record("all gateways are ready");
            return;
        }
        std::this_thread::sleep_for(ms(200));
    }
    throw cannot_run("the gateways are not ready");
}

json make_tenant(const std::string& name, const std::vector<std::string>& keys, int guaranteed_gpus)
{
    return {{"Name", name}, {"ApiKeys", keys}, {"Priority", 1}, {"GuaranteedGpus", {{"Gpu", guaranteed_gpus}}}};
}

json make_manifest(int version, const std::vector<json>& tenants)
{
    const auto route = [](const char* name, const char* prefix, int priority, int target, double stretch) {
        return json{{"Name", name},         {"Host", host},         {"PathPrefix", prefix},
                    {"Type", "non_idempotent"}, {"TimeoutMs", 3000},    {"TargetLatencyMs", target},
                    {"Priority", priority}, {"Service", "huvo11a"}, {"MaxAttempts", 2},
                    {"Stretch", stretch},   {"Public", false}};
    };
    return {{"Version", version},
            {"Routes",
             {route("r-crate", "/crate/", 1, 1000, 3.0), route("r-price", "/price/", 0, 300, 1.5),
              route("r-recount", "/recount/", 2, 3000, 3.0)}},
            {"Services",
             {{{"Name", "huvo11a"},
               {"HealthCheckPath", "/health"},
               {"MaxConnections", 64},
               {"Protocol", "h1"},
               {"Tls", false},
               {"ColdStartS", 0.0},
               {"ColdPerS", 0.0},
               {"AdmissionControl", true},
               {"Standby", false}}}},
            {"Limits",
             {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 262144}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
            {"Tenants", tenants}};
}

std::string job_id(unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a21%08x", 0xd94b0000U + number);
    return text;
}

} // namespace lab
