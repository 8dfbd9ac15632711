#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

/// Stand-ins for the users' platform, clients, operator and workers, on loopback addresses. They do
/// what PROTOCOL.md allows and nothing else.
namespace review {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the scenario.
std::int64_t now_ms();
/// Writes a line with the time to record.txt and to standard output.
void record(const std::string& line);
void open_record(const std::filesystem::path& file);
void sleep_ms(std::int64_t ms);

// --- HTTP ---------------------------------------------------------------------------------------

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_reply {
    int status = 0; ///< 0: no complete answer.
    std::string body;
    std::string error;
};

using headers_type = std::vector<std::pair<std::string, std::string>>;

/// Sends one request over a new connection.
http_reply call(const std::string& ip, std::uint16_t port, const std::string& method,
                const std::string& path, const std::string& body, const headers_type& headers,
                std::int64_t timeout_ms);

/// A server with one thread for each connection.
class http_server {
public:
    using handler = std::function<http_reply(const http_request&)>;

    explicit http_server(handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    void start(const std::string& ip, std::uint16_t port);
    /// Closes the listening socket and all connections.
    void stop();

private:
    void accept_loop();
    void serve(int descriptor);

    handler on_request;
    std::atomic<bool> stopping{false};
    int listener = -1;
    std::thread acceptor;
    std::mutex lock;
    std::set<int> open;
    std::vector<std::thread> connections;
};

// --- processes ----------------------------------------------------------------------------------

/// A process of the project, started with the command of the deploy file.
class daemon {
public:
    daemon(std::string chosen_name, std::string settings_text);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    void write_settings(const std::string& text);
    void start();
    void signal(int number);
    /// SIGKILL, and waits for the end.
    void kill();
    /// True while it runs. A process that has ended by itself is recorded.
    bool running();
    [[nodiscard]] int ends_by_itself() const { return this->unexpected; }

private:
    std::string name;
    std::filesystem::path settings_file;
    std::filesystem::path log_file;
    int pid = 0;
    int unexpected = 0;
};

/// Ports of all machines, as on the platform: the same on each address.
struct port_table {
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t inner = 0;
    std::uint16_t metrics = 0;
    std::uint16_t app = 0;
};

struct paths {
    std::filesystem::path repository;
    std::filesystem::path folder; ///< A temporary folder.
    std::string program;          ///< From deploy/system.toml.
};
paths& places();
const port_table& ports();

// --- machines -----------------------------------------------------------------------------------

struct gateway {
    std::string ip;
    std::string zone;
    std::filesystem::path data;
    std::unique_ptr<daemon> process;
};

/// What a started task does, read from its Spec: {"work_ms":N,"how":"done"}.
struct run_state {
    std::string task;
    std::uint32_t number = 0;
    std::int64_t started_at = 0; ///< On the worker's clock.
    std::int64_t work_ms = 0;
    std::string how;
    std::int64_t cpu = 0;
    std::int64_t gpu = 0;
    bool lasts = false;
    std::int64_t stop_at = 0; ///< 0: not being stopped.
};

/// A start as the worker has carried it out.
struct start_record {
    std::int64_t at = 0;
    std::string worker;
    std::string task;
    std::uint32_t number = 0;
};

/// An end that AckCursor has reached.
struct end_record {
    std::int64_t ended_at = 0;
    std::int64_t noted_at = 0;
    std::string task;
    std::uint32_t number = 0;
    std::string how;
};

/// One worker: a life after another at one address.
class worker {
public:
    worker(std::string machine_ip, std::string machine_zone, std::string rack_label, int ordinal);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Begins a life, with a new id unless `same_id`.
    void begin_life(bool same_id = false);
    /// Ends the present life without a word: everything on it is gone, and its port is closed.
    void crash();
    [[nodiscard]] bool alive() const { return this->up; }
    /// The machine of the worker is suspended: it does nothing, and its steady clock stands still.
    void suspend();
    void resume();
    /// Called when a run ends, before anybody learns of it.
    std::function<void(const std::string& task, const std::string& how)> on_end;
    /// While unhealthy it answers starts with 503 and does nothing.
    void set_healthy(bool value) { this->healthy = value; }
    [[nodiscard]] std::string id() const { return this->life_id; }
    [[nodiscard]] std::vector<start_record> starts();
    [[nodiscard]] std::vector<std::string> running();
    /// Ends that were taken note of, with the time, where the lease had not lapsed since the end.
    [[nodiscard]] std::vector<end_record> noted_ends();
    [[nodiscard]] std::int64_t refused_starts() const { return this->refusals; }
    /// The body of a heartbeat as this worker sends it now.
    json heartbeat_body();
    std::uint64_t next_sequence() { return ++this->sequence; }
    void send_heartbeat(const json& body);

    std::string ip;
    std::string zone;
    std::string rack;
    std::string kind = "a";
    /// Sends no heartbeat while set.
    std::atomic<bool> quiet{false};
    /// The next start gets no answer and is carried out after this time; 0: as usual.
    std::atomic<std::int64_t> hold_up{0};
    /// The steady clock at the beginning of a life.
    std::int64_t first_clock = 1000;

private:
    struct finished {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::int64_t at = 0;
        bool lapsed = false; ///< The lease has lapsed since.
    };

    http_reply serve(const http_request& request);
    http_reply start_run(const json& body);
    http_reply stop_run(const json& body);
    http_reply hold(const json& body, std::unique_lock<std::mutex>& guard);
    void advance();
    void end_run(std::size_t position, const std::string& how);
    void tick();
    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] bool fenced(const json& body);
    void extend_lease(const json& body);

    int index;
    int lives = 0;
    std::atomic<bool> up{false};
    std::atomic<bool> ending{false};
    std::atomic<bool> healthy{true};
    std::atomic<std::int64_t> refusals{0};
    std::atomic<std::uint64_t> sequence{0};
    std::string life_id;
    std::int64_t born = 0;
    std::int64_t life_begun = 0;
    std::mutex lock;
    std::condition_variable changed;
    std::uint64_t highest_fence = 0;
    std::int64_t lease_until = 0;
    std::uint64_t last_end = 0;
    std::vector<run_state> runs;
    std::vector<finished> ends;
    std::map<std::string, std::uint32_t> ended_runs;
    std::vector<start_record> started;
    std::vector<end_record> noted;
    std::atomic<bool> suspended{false};
    std::int64_t suspended_at = 0;
    std::unique_ptr<http_server> server;
    std::thread ticker;
    std::vector<std::thread> late_orders;
    std::int64_t next_heartbeat = 0;
};

constexpr std::int64_t lease_limit_ms = 6000; // MaxHoldMs
constexpr std::int64_t stop_grace_ms = 200;   // StopGraceMs
constexpr std::int64_t heartbeat_ms = 1500;   // HeartbeatMs

/// A small deployment: gateways with a disk in three zones, and workers with a supervisor each.
class deployment {
public:
    /// `diskless` further gateways have no disk.
    deployment(int gateway_count, int worker_count, int diskless = 0);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void start();
    void stop();
    /// Starts processes that have ended, as the platform does.
    void restart_ended();

    /// The machine loses its disk: killed, and back at its address after `down` with an empty
    /// folder and Bootstrap = false.
    void lose_disk(std::size_t index, std::int64_t down);
    /// The machine is gone for good. An empty one comes at another address. Returns its index.
    std::size_t replace(std::size_t index, std::int64_t down);
    void restart_gateway(std::size_t index, std::int64_t down);

    /// Sends a manifest until it is acknowledged or the time is over. Tries the machines in turn.
    bool put_manifest(std::uint64_t version, std::int64_t timeout_ms);
    /// The version that a machine returns; 0: no clear answer.
    std::uint64_t get_manifest(std::int64_t timeout_ms);
    /// POST of a job, by a client that retries at other machines until the time is over.
    int submit(const std::string& id, const json& steps, const std::string& spec,
               std::int64_t timeout_ms);
    int cancel(const std::string& id, std::int64_t timeout_ms);
    /// The state of a job, or "" with the last status.
    std::string state(const std::string& id, int& status, std::int64_t timeout_ms);
    int pending(std::size_t gateway_index, std::int64_t& value);
    int evacuate(std::size_t gateway_index, const std::string& zone, bool begin,
                 std::int64_t timeout_ms);
    /// Index of the gateway whose log says that it leads; -1: none.
    int leader();
    /// Number of processes that have ended by themselves.
    int unexpected_ends();

    std::vector<gateway> gateways;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<daemon>> supervisors;
    /// Machines that are out of use.
    std::set<std::size_t> gone;

private:
    http_reply any_gateway(const std::string& what, bool front, const std::string& method,
                           const std::string& path, const std::string& body,
                           std::int64_t timeout_ms, const std::function<bool(int)>& is_final);
    [[nodiscard]] std::string gateway_settings(const gateway& host, bool founding) const;
    void add_gateway(bool founding, bool has_disk = true);
    std::vector<std::string> seeds;
    std::size_t next_gateway = 0;
};

inline const std::string queue_host = "nony24.example";
inline const std::string queue_prefix = "/lohu930/";
inline const std::string service_name = "huvo11a";
inline const std::string api_key = "d4a3hwrr6x73d3zji9n7";

json manifest(std::uint64_t version);
json one_step(int tasks, std::int64_t cpu, std::int64_t gpu, std::int64_t estimate_ms);
std::string spec_of(std::int64_t work_ms, const std::string& how = "done", std::int64_t cpu = 1000,
                    std::int64_t gpu = 0, bool lasts = false);

} // namespace review
