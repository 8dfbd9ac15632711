#pragma once

// Stand-ins for the cases 11 to 14: workers, clients and the operator. They
// speak what the users' PROTOCOL.md says and depend on no code of the project.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using clock_type = std::chrono::steady_clock;

struct address {
    std::string ip;
    int port = 0;
};

/// What was sent, answered and run, with the seconds since the start.
class record {
public:
    explicit record(const std::string& path);
    void line(const std::string& text);
    [[nodiscard]] double seconds() const;

private:
    std::mutex lock;
    std::ofstream file;
    clock_type::time_point begun;
};

struct http_response {
    int status = 0; ///< 0: no response.
    std::string body;
};

/// Sends one request over a new connection.
http_response http(const address& to, const std::string& method, const std::string& path,
                   const std::vector<std::string>& headers, const std::string& body,
                   int timeout_ms);

/// A program that the test has started.
class program {
public:
    program(std::vector<std::string> command, std::string folder, std::string log);
    ~program();
    program(const program&) = delete;
    program& operator=(const program&) = delete;
    void start();
    void signal(int number) const;
    void kill();
    [[nodiscard]] pid_t id() const { return this->process; }
    [[nodiscard]] bool running();

private:
    std::vector<std::string> command;
    std::string folder;
    std::string log;
    pid_t process = -1;
};

/// Finds a port that is free on all of the addresses.
int free_port(const std::vector<std::string>& ips);

struct worker_options {
    std::string service = "svc";
    std::string zone;
    std::string rack;
    address listen;
    address supervisor;
    std::int64_t cpu = 32'000;
    std::int64_t memory_mb = 65'536;
    std::int64_t gpu = 8;
    std::int64_t max_hold_ms = 6'000;
    std::int64_t heartbeat_ms = 1'500;
};

/// One worker, with one life after the other. The Spec of a task says what it does:
/// "WORK_MS HOW CPU MEM GPU", where HOW is how it ends, `done` or `failed`.
class worker {
public:
    worker(std::string name, worker_options options, record& to);
    ~worker();
    void start();
    void stop();
    /// Ends this life; the worker is silent for the time and then starts anew.
    void crash(int down_ms);

    struct event {
        double at = 0;
        std::string worker;
        std::string task;
        std::uint32_t run = 0;
        std::string what; ///< `started`, or how it ended; `crashed` for the end of the worker.
    };
    /// Called for each event, with no lock held by the caller.
    std::function<void(const event&)> on_event;
    /// Tasks that run now.
    [[nodiscard]] std::set<std::string> running();
    [[nodiscard]] std::int64_t cpu_in_use();
    [[nodiscard]] const worker_options& settings() const { return this->options; }
    [[nodiscard]] const std::string& own_name() const { return this->name; }

private:
    struct task {
        std::uint32_t run = 0;
        clock_type::time_point begun;
        std::int64_t work_ms = 0;
        std::string how;
        std::int64_t cpu = 0;
        std::int64_t memory_mb = 0;
        std::int64_t gpu = 0;
    };
    struct finished {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    void begin_life();
    void accept_loop();
    void tick_loop();
    void announce_loop();
    void serve(int socket);
    http_response carry_out(const std::string& path, const std::string& instance,
                            const std::string& body);
    http_response run_start(const std::string& body);
    http_response run_stop(const std::string& body);
    http_response hold(const std::string& body, std::unique_lock<std::mutex>& guard);
    void end(const std::string& name, const std::string& how);
    void advance();
    void tell(const std::string& task_name, std::uint32_t run, const std::string& what);
    [[nodiscard]] std::int64_t clock_ms() const;

    std::string name;
    worker_options options;
    record& log;
    std::mutex lock;
    std::condition_variable changed;
    bool stopping = false;
    bool up = false;
    clock_type::time_point up_again;
    std::uint32_t lives = 0;
    std::string id;
    std::int64_t born = 0;
    clock_type::time_point born_at;
    std::uint64_t fence = 0;
    std::int64_t deadline = 0;
    std::uint64_t sequence = 0;
    std::uint64_t last_end = 0;
    std::map<std::string, task> tasks;
    std::vector<finished> ends;
    std::map<std::string, std::uint32_t> highest_ended;
    std::vector<event> untold;
    std::set<int> sockets;
    std::atomic<int> open = 0;
    int listener = -1;
    std::vector<std::thread> threads;
};

struct deployment_options {
    std::string root;   ///< The repository.
    std::string folder; ///< A temporary one.
    int gateways = 3;
    int workers = 0;
};

/// The processes of a small deployment, with settings as the template of the deploy file gives
/// them. Each machine has an address of its own; ports are the same on all machines.
class deployment {
public:
    deployment(const deployment_options& chosen, record& to);
    ~deployment();
    void start();
    [[nodiscard]] address caller(int gateway) const;
    [[nodiscard]] address operators(int gateway) const;
    [[nodiscard]] address readiness(int gateway) const;

    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<program>> gateways;
    std::vector<std::unique_ptr<program>> supervisors;

private:
    [[nodiscard]] std::string ip_of_gateway(int gateway) const;
    [[nodiscard]] std::string ip_of_worker(int number) const;

    deployment_options options;
    record& log;
    int base = 0;
};

/// A route `q` of the service `svc` that needs no key.
std::string manifest(std::uint64_t version, int max_attempts = 2);
std::string job_body(const std::string& spec, int tasks, std::int64_t cpu,
                     std::int64_t estimate_ms);
std::string new_id();
/// Sends a manifest to one gateway after the other until it is acknowledged.
bool put_manifest(deployment& system, record& log, std::uint64_t version, int first, int until_ms,
                  int max_attempts = 2);
/// Hands a job in at one gateway after the other until it is accepted.
bool submit(deployment& system, record& log, const std::string& id, const std::string& body,
            int first, int until_ms);
/// Returns the state of a job, or the status as text when it is not 200.
std::string state_of(deployment& system, const std::string& id, int gateway);
void pause_ms(int milliseconds);

} // namespace lab
