#include <algorithm>
#include <cerrno>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <popt.h>
#include <sys/socket.h>
#include <unistd.h>

#include "redwingwheel/clock.h"

/// Test scaffolding: clients that submit many jobs with the same body, each job under an id of its
/// own. Each connection carries one request at a time. Prints how often each status was received
/// once every job has been submitted.
namespace redwingwheel::stand_in {
namespace {

using std::chrono::milliseconds;

constexpr int exit_bad_input = 2;
constexpr std::string_view number_mark = "@number@";
constexpr std::size_t read_buffer_bytes = 16 * 1024;
/// A request without a response after this time is given up.
constexpr milliseconds max_response_time{20'000};

struct crowd_options {
    sockaddr_in to{};
    std::string host;
    std::string path;   ///< At its end a slash, unless `fixed_path`; the job's id follows.
    std::string header; ///< A further header field; empty: none.
    bool fixed_path = false;
    std::string body; ///< `number_mark` in it is replaced by the number of the request, from 1.
    std::size_t jobs = 0;
    std::size_t connections = 1;
    bool cancel = false;            ///< Each job is cancelled after it was submitted.
    std::ostream* report = nullptr; ///< Gets the id and the status of each submission.
    steady_time end;
};

/// Parses the start of an HTTP response as far as it has arrived.
struct response_reader {
    std::string received;

    /// Status of the response; 0 while it is incomplete.
    [[nodiscard]] int status() const
    {
        const std::size_t header_end = this->received.find("\r\n\r\n");
        constexpr std::string_view version = "HTTP/1.1 ";
        if (header_end == std::string::npos || !this->received.starts_with(version)) {
            return 0;
        }
        constexpr std::string_view length_name = "Content-Length: ";
        std::size_t length = 0;
        const std::size_t at = this->received.find(length_name);
        if (at < header_end) {
            const char* const first = this->received.data() + at + length_name.size();
            std::from_chars(first, this->received.data() + header_end, length);
        }
        constexpr std::size_t blank_line = 4;
        if (this->received.size() < header_end + blank_line + length) {
            return 0;
        }
        int read = 0;
        const char* const first = this->received.data() + version.size();
        std::from_chars(first, first + 3, read);
        return read;
    }
};

struct client {
    int descriptor = -1;
    std::string request;
    std::size_t sent = 0;
    response_reader response;
    std::string job; ///< The job of the last submission.
    bool cancels = false;
    steady_time give_up_at;
};

class crowd {
public:
    explicit crowd(const crowd_options& chosen) : options(chosen), clients(chosen.connections) {}

    void run()
    {
        for (client& each : this->clients) {
            this->begin_next(each);
        }
        while (this->open() && boot_clock::now() < this->options.end) {
            this->advance();
        }
    }

    /// Number of requests by status; 0: no response.
    [[nodiscard]] const std::map<int, std::size_t>& statuses() const { return this->counts; }

private:
    [[nodiscard]] bool open() const
    {
        return std::any_of(this->clients.begin(), this->clients.end(),
                           [](const client& each) { return !each.request.empty(); });
    }

    void begin_next(client& of)
    {
        of.cancels = this->options.cancel && !of.cancels && !of.job.empty();
        if (!of.cancels) {
            of.request.clear();
            if (this->begun == this->options.jobs) {
                return;
            }
            ++this->begun;
            of.job = fmt::format("{:016x}", this->random());
        }
        const std::string header =
            this->options.header.empty() ? "" : this->options.header + "\r\n";
        const std::string_view id = this->options.fixed_path ? std::string_view() : of.job;
        std::string body = of.cancels ? "" : this->options.body;
        const std::size_t mark = body.find(number_mark);
        if (mark != std::string::npos) {
            body.replace(mark, number_mark.size(), std::to_string(this->begun));
        }
        of.request = fmt::format("{} {}{} HTTP/1.1\r\nHost: {}\r\n{}Content-Type: application/json"
                                 "\r\nContent-Length: {}\r\n\r\n{}",
                                 of.cancels ? "DELETE" : "POST", this->options.path, id,
                                 this->options.host, header, body.size(), body);
        of.sent = 0;
        of.response.received.clear();
        of.give_up_at = boot_clock::now() + max_response_time;
        if (of.descriptor < 0) {
            of.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(::connect(of.descriptor,
                                        reinterpret_cast<const sockaddr*>(&this->options.to),
                                        sizeof(this->options.to)));
        }
    }

    void finish(client& of, int status)
    {
        ++this->counts[status];
        if (this->options.report != nullptr && !of.cancels) {
            *this->options.report << of.job << ' ' << status << '\n';
        }
        const bool closes = of.response.received.find("onnection: Close") != std::string::npos;
        if (status == 0 || closes) {
            ::close(of.descriptor);
            of.descriptor = -1;
        }
        this->begin_next(of);
    }

    void receive(client& of)
    {
        char buffer[read_buffer_bytes];
        const ssize_t count = ::recv(of.descriptor, buffer, sizeof(buffer), 0);
        if (count > 0) {
            of.response.received.append(buffer, static_cast<std::size_t>(count));
        }
        const int status = of.response.status();
        if (status != 0) {
            this->finish(of, status);
        }
        else if (count == 0 || (count < 0 && errno != EAGAIN)) {
            this->finish(of, 0);
        }
    }

    void send(client& of)
    {
        const std::string_view rest = std::string_view(of.request).substr(of.sent);
        const ssize_t count = ::send(of.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (count > 0) {
            of.sent += static_cast<std::size_t>(count);
        }
    }

    void advance()
    {
        std::vector<pollfd> waiting;
        std::vector<client*> owners;
        for (client& each : this->clients) {
            if (!each.request.empty()) {
                const bool writes = each.sent < each.request.size();
                waiting.push_back(
                    {each.descriptor, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
                owners.push_back(&each);
            }
        }
        constexpr int poll_ms = 100;
        ::poll(waiting.data(), waiting.size(), poll_ms);
        for (std::size_t index = 0; index < waiting.size(); ++index) {
            if ((waiting[index].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                this->receive(*owners[index]);
            }
            else if ((waiting[index].revents & POLLOUT) != 0) {
                this->send(*owners[index]);
            }
            else if (boot_clock::now() >= owners[index]->give_up_at) {
                this->finish(*owners[index], 0);
            }
        }
    }

    const crowd_options& options;
    std::vector<client> clients;
    std::size_t begun = 0;
    std::map<int, std::size_t> counts;
    std::mt19937_64 random{std::random_device{}()};
};

} // namespace
} // namespace redwingwheel::stand_in

int main(int argc, const char** argv)
{
    char* ip = nullptr;
    char* host = nullptr;
    char* path = nullptr;
    char* header = nullptr;
    int fixed_path = 0;
    char* body_file = nullptr;
    char* report_file = nullptr;
    int port = 0;
    int jobs = 0;
    int connections = 1;
    int seconds = 120;
    int cancel = 0;
    const poptOption options[] = {
        {"ip", 0, POPT_ARG_STRING, &ip, 0, "address in 127.0.0.0/8", "IP"},
        {"port", 0, POPT_ARG_INT, &port, 0, "port", "PORT"},
        {"host", 0, POPT_ARG_STRING, &host, 0, "host of the queue", "HOST"},
        {"path", 0, POPT_ARG_STRING, &path, 0, "path to which the id of each job is added", "PATH"},
        {"fixed-path", 0, POPT_ARG_NONE, &fixed_path, 0, "add no id to the path", nullptr},
        {"header", 0, POPT_ARG_STRING, &header, 0, "further header field", "NAME: VALUE"},
        {"body-file", 0, POPT_ARG_STRING, &body_file, 0,
         "body of each request; @number@ in it is replaced by the request's number", "FILE"},
        {"report", 0, POPT_ARG_STRING, &report_file, 0, "gets a line for each submission", "FILE"},
        {"jobs", 0, POPT_ARG_INT, &jobs, 0, "number of jobs", "N"},
        {"connections", 0, POPT_ARG_INT, &connections, 0, "number of clients", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "bounds the run", "N"},
        {"cancel", 0, POPT_ARG_NONE, &cancel, 0, "cancel each job after its submission", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("job-crowd-stand-in", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    redwingwheel::stand_in::crowd_options chosen;
    chosen.to.sin_family = AF_INET;
    chosen.to.sin_port = htons(static_cast<std::uint16_t>(port));
    std::ifstream body(body_file == nullptr ? "" : body_file);
    const bool valid = parsed == -1 && ip != nullptr && host != nullptr && path != nullptr &&
                       body.is_open() && port > 0 && jobs > 0 && connections > 0 && seconds > 0 &&
                       ::inet_pton(AF_INET, ip, &chosen.to.sin_addr) == 1;
    if (!valid) {
        poptPrintUsage(context, stderr, 0);
        return redwingwheel::stand_in::exit_bad_input;
    }
    chosen.host = host;
    chosen.path = path;
    chosen.header = header == nullptr ? "" : header;
    chosen.fixed_path = fixed_path != 0;
    chosen.body.assign(std::istreambuf_iterator<char>(body), {});
    chosen.jobs = static_cast<std::size_t>(jobs);
    chosen.connections = static_cast<std::size_t>(connections);
    chosen.cancel = cancel != 0;
    chosen.end = redwingwheel::boot_clock::now() + std::chrono::seconds(seconds);
    std::ofstream report(report_file == nullptr ? "" : report_file);
    chosen.report = report.is_open() ? &report : nullptr;
    poptFreeContext(context);
    redwingwheel::stand_in::crowd clients(chosen);
    clients.run();
    std::cout << "sent";
    for (const auto& [status, count] : clients.statuses()) {
        std::cout << ' ' << status << '=' << count;
    }
    std::cout << std::endl;
    return 0;
}
