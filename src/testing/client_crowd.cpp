#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <iostream>
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

/// Test scaffolding: a crowd of clients that send as much as they may and stop just short of the
/// end of their requests. It prints "sent" when no connection takes further bytes, and keeps the
/// connections open until its standard input ends.
namespace redwingwheel::stand_in {
namespace {

using std::chrono::milliseconds;

constexpr int exit_bad_input = 2;
constexpr std::size_t read_buffer_bytes = 16 * 1024;
/// The crowd has sent what it can when no connection has taken bytes for this long.
constexpr milliseconds quiet_period{1500};
/// Bounds the whole run, so that the crowd ends by itself.
constexpr milliseconds max_run{240'000};

/// What each client of the crowd sends, and how many bytes at a time.
struct traffic {
    std::string bytes;
    std::size_t piece = std::string::npos;
};

std::string post_header(std::string_view path, std::string_view framing)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: crowd.example\r\n"
                       "Content-Type: application/json\r\n{}\r\n\r\n",
                       path, framing);
}

std::string chunked_body(std::size_t body_bytes, std::size_t chunk_bytes)
{
    std::string body;
    for (std::size_t sent = 0; sent < body_bytes; sent += chunk_bytes) {
        const std::size_t size = std::min(chunk_bytes, body_bytes - sent);
        body += fmt::format("{:x}\r\n", size) + std::string(size, ' ') + "\r\n";
    }
    return body;
}

/// Returns the traffic of the kind; no bytes for an unknown one except "silent".
traffic make_traffic(std::string_view kind, std::string_view path, std::size_t bytes)
{
    constexpr std::size_t piece_bytes = 8 * 1024;
    constexpr std::size_t large_chunk_bytes = 64 * 1024;
    constexpr std::size_t excess = 16;
    const std::string length = fmt::format("Content-Length: {}", bytes);
    const std::string chunked = "Transfer-Encoding: chunked";
    if (kind == "whole") {
        return {post_header(path, length) + std::string(bytes - 1, ' ')};
    }
    if (kind == "pieces") {
        return {post_header(path, length) + std::string(bytes - 1, ' '), piece_bytes};
    }
    if (kind == "complete") {
        return {post_header(path, length) + std::string(bytes, ' ')};
    }
    if (kind == "large-chunks") {
        return {post_header(path, chunked) + chunked_body(bytes, large_chunk_bytes)};
    }
    if (kind == "small-chunks") {
        constexpr std::size_t framed_byte = 6;
        return {post_header(path, chunked) + chunked_body(bytes / framed_byte, 1)};
    }
    if (kind == "announced") {
        return {post_header(path, fmt::format("Content-Length: {}", bytes * excess)) +
                std::string(bytes * excess - 1, ' ')};
    }
    if (kind == "endless") {
        return {post_header(path, chunked) + chunked_body(bytes * excess, large_chunk_bytes)};
    }
    if (kind == "header") {
        return {fmt::format("GET {} HTTP/1.1\r\nX: {}", path, std::string(bytes, 'x'))};
    }
    if (kind == "frame") {
        // A length of 4 MiB less one and the protocol version, as the processes among themselves
        // send them, and all but one byte of the payload.
        constexpr std::size_t payload_bytes = 4 * 1024 * 1024 - 2;
        return {std::string("\x00\x3f\xff\xff\x01", 5) + std::string(payload_bytes - 1, ' ')};
    }
    return {};
}

struct client {
    int descriptor = -1;
    std::size_t sent = 0;
};

int open_connection(const sockaddr_in& to)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (descriptor >= 0 &&
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

void close_client(client& each)
{
    ::close(each.descriptor);
    each.descriptor = -1;
}

/// Sends and receives once on each connection that is ready. Returns true when bytes were sent.
bool advance(std::vector<client>& clients, const traffic& to_send)
{
    std::vector<pollfd> waiting;
    std::vector<client*> owners;
    for (client& each : clients) {
        if (each.descriptor >= 0) {
            const bool writes = each.sent < to_send.bytes.size();
            waiting.push_back(
                {each.descriptor, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
            owners.push_back(&each);
        }
    }
    constexpr int poll_ms = 100;
    ::poll(waiting.data(), waiting.size(), poll_ms);
    bool progressed = false;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        client& each = *owners[index];
        if ((waiting[index].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            char buffer[read_buffer_bytes];
            const ssize_t received = ::recv(each.descriptor, buffer, sizeof(buffer), 0);
            if (received == 0 || (received < 0 && errno != EAGAIN)) {
                close_client(each);
                continue;
            }
        }
        if ((waiting[index].revents & POLLOUT) != 0) {
            const std::string_view rest =
                std::string_view(to_send.bytes).substr(each.sent, to_send.piece);
            const ssize_t count = ::send(each.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
            if (count > 0) {
                each.sent += static_cast<std::size_t>(count);
                progressed = true;
            }
            else if (count < 0 && errno != EAGAIN) {
                close_client(each);
            }
        }
    }
    return progressed;
}

bool input_ended()
{
    pollfd input{STDIN_FILENO, POLLIN, 0};
    char ignored = 0;
    return ::poll(&input, 1, 0) > 0 && ::read(STDIN_FILENO, &ignored, 1) <= 0;
}

int run(const sockaddr_in& to, std::size_t connections, const traffic& to_send)
{
    const steady_time end = boot_clock::now() + max_run;
    std::vector<client> clients(connections);
    for (client& each : clients) {
        each.descriptor = open_connection(to);
    }
    steady_time quiet_since = boot_clock::now();
    bool reported = false;
    while (boot_clock::now() < end && !input_ended()) {
        if (advance(clients, to_send)) {
            quiet_since = boot_clock::now();
        }
        if (!reported && boot_clock::now() >= quiet_since + quiet_period) {
            const auto open = std::count_if(clients.begin(), clients.end(), [](const client& each) {
                return each.descriptor >= 0;
            });
            std::cout << "sent open=" << open << std::endl;
            reported = true;
        }
    }
    return 0;
}

} // namespace
} // namespace redwingwheel::stand_in

int main(int argc, const char** argv)
{
    char* ip = nullptr;
    char* kind = nullptr;
    char* path = nullptr;
    int port = 0;
    int connections = 0;
    int bytes = 0;
    const poptOption options[] = {
        {"ip", 0, POPT_ARG_STRING, &ip, 0, "address in 127.0.0.0/8", "IP"},
        {"port", 0, POPT_ARG_INT, &port, 0, "port", "PORT"},
        {"path", 0, POPT_ARG_STRING, &path, 0, "path of the requests", "PATH"},
        {"kind", 0, POPT_ARG_STRING, &kind, 0,
         "silent, header, whole, pieces, complete, large-chunks, small-chunks, announced, endless "
         "or frame",
         "KIND"},
        {"connections", 0, POPT_ARG_INT, &connections, 0, "size of the crowd", "N"},
        {"bytes", 0, POPT_ARG_INT, &bytes, 0, "size of a legal body", "BYTES"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("client-crowd-stand-in", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool valid = parsed == -1 && kind != nullptr && ip != nullptr && port > 0 &&
                       connections > 0 && bytes > 0 && ::inet_pton(AF_INET, ip, &to.sin_addr) == 1;
    if (!valid) {
        poptPrintUsage(context, stderr, 0);
        return redwingwheel::stand_in::exit_bad_input;
    }
    const redwingwheel::stand_in::traffic to_send = redwingwheel::stand_in::make_traffic(
        kind, path == nullptr ? "/" : path, static_cast<std::size_t>(bytes));
    poptFreeContext(context);
    return redwingwheel::stand_in::run(to, static_cast<std::size_t>(connections), to_send);
}
