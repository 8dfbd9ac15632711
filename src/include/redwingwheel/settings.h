#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "redwingwheel/clock.h"
#include "redwingwheel/problems.h"

/// The settings of one process, read from YAML. docs/OPERATIONS.md lists every key.
namespace redwingwheel::config {

struct role_set {
    bool entry = false;
    bool control = false;
    bool agent = false;
    bool gateway = false;
    bool supervisor = false;
};

struct log_settings {
    std::string level = "info"; ///< trace, debug, info, warning or error.
    std::string file;           ///< Empty: standard error.
};

struct control_settings {
    std::string listen;                ///< IP:port; one of `replicas`. Empty without role control.
    std::vector<std::string> replicas; ///< IP:port of every control replica; never empty.
};

/// An operator who may change the configuration through this entry.
struct operator_settings {
    std::string name;
    std::string token_digest; ///< SHA-256 of the token, 64 hexadecimal digits.
};

struct entry_settings {
    std::string listen; ///< IP:port of the HTTP server. Empty without role entry.
    std::uint32_t threads = 0;
    std::uint32_t max_body_kb = 0;  ///< Larger request bodies are refused, KiB.
    milliseconds drain_notice{500}; ///< Health is unhealthy this long before the listener closes.
    std::vector<operator_settings> operators;
};

struct agent_settings {
    std::string worker; ///< Empty without role agent.
    std::string rack;
    std::string listen;  ///< IP:port for entries.
    std::string backend; ///< IP:port of the backend server.
    std::uint32_t accelerators = 0;
    std::uint32_t accelerators_per_group = 0; ///< Divides `accelerators`.
    std::uint32_t cores = 0;
    std::uint64_t memory_mb = 0;   ///< MiB.
    std::uint32_t slots = 0;       ///< Requests that run at once.
    std::uint32_t connections = 0; ///< Connections that the backend server accepts.
};

struct timing_settings {
    milliseconds poll{500};    ///< Period of polls for permits.
    milliseconds permit{3000}; ///< Life of a permit; at least two polls.
    milliseconds drain{30000}; ///< Longest wait for work in progress at a planned stop.
};

/// Processes that find each other from seeds. Used by the roles gateway and supervisor.
struct cluster_settings {
    std::string listen;                 ///< IP:port for other processes. Empty for a supervisor.
    std::string bind;                   ///< IP:port to open; `listen` unless others reach it there.
    std::vector<std::string> seeds;     ///< IP:port of processes that may know others; never empty.
    std::uint16_t port = 0;             ///< Unless 0, takes the place of the port in each seed.
    bool founding = false;              ///< Part of a new deployment: may found the group.
    std::uint32_t tolerated_losses = 1; ///< Replicas that may be lost at once.
};

/// Serves callers and operators of jobs, and with a data folder is a replica.
struct gateway_settings {
    std::string listen;         ///< IP:port for callers.
    std::string readiness;      ///< IP:port for the balancer's health checks.
    std::string administration; ///< IP:port for operators.
};

/// Runs tasks on the worker beside it.
struct supervisor_settings {
    std::string listen;       ///< IP:port where the worker announces itself.
    std::string worker;       ///< IP:port of the worker.
    milliseconds lease{6000}; ///< Longest lease that the worker grants.
};

/// What clients may take of the process, for each of its HTTP listeners.
struct limit_settings {
    std::uint32_t connections = 1024;
    std::uint32_t unfinished_kb = 8192; ///< Memory of all unfinished requests together, KiB.
    milliseconds stall{15'000};         ///< Longest time without input in an unfinished request.
    milliseconds request{60'000};       ///< Longest time for a request to arrive.
    /// Memory that the accepted jobs may take on each replica, MiB.
    std::uint32_t job_memory_mb = 24;
};

/// Decisions of the leader that a deployment can ask for.
struct scheduling_settings {
    std::uint32_t urgent_headroom_percent = 0; ///< Accelerators left to urgent jobs at most.
};

struct metrics_settings {
    std::string listen; ///< IP:port of the metrics page; empty: none.
};

struct settings {
    std::string name; ///< Unique among the processes of a deployment.
    std::string region;
    std::string data_centre;
    role_set roles;
    std::string data_folder; ///< Empty without role control.
    std::string cluster_secret_file;
    log_settings log;
    control_settings control;
    entry_settings entry;
    agent_settings agent;
    timing_settings timing;
    cluster_settings cluster;
    gateway_settings gateway;
    supervisor_settings supervisor;
    metrics_settings metrics;
    limit_settings limits;
    scheduling_settings scheduling;
};

/// Reads and checks settings. `file_name` is used in messages only. Sections of roles that the
/// process does not have may be present and are checked too.
/// Errors: config_errc::bad_input with one problem for each unknown, missing or bad value.
[[nodiscard]] absl::StatusOr<settings> load_settings(std::string_view yaml,
                                                     std::string_view file_name);

} // namespace redwingwheel::config
