#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "redwingwheel/clock.h"

/// Test scaffolding: the state of a stand-in for a backend server, without sockets.
namespace redwingwheel::stand_in {

struct backend_limits {
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
};

/// Faults that can be switched at start and by POST /fault.
struct backend_faults {
    milliseconds slow{0};
    milliseconds usage_lag{0};
    bool fail_all = false;
    bool silent = false;
    bool truncate = false;
    bool die = false;
    bool drain = false;
};

/// Applies the members of a JSON object {"slow_ms", "usage_lag_ms", "fail_all", "silent",
/// "truncate", "die", "drain"}. Empty on success, else what is wrong; then nothing is applied.
[[nodiscard]] std::string apply_faults(const nlohmann::json& given, backend_faults& faults);

struct task_spec {
    std::string id;
    milliseconds lease{0};
    milliseconds run{0};
    /// Tasks hold accelerators; they count as slots only when they say so.
    std::uint32_t slots = 0;
    /// The task fails at its end.
    bool fails = false;
    std::uint64_t accelerator_mask = 0;
};

/// Executes whatever it is told to, as a simple server does, and counts executions per id so that
/// double execution and use beyond the limits can be seen. Not thread-safe.
class backend_model {
public:
    backend_model(clock_function clock, std::string name, backend_limits limits = {});

    /// Notes the start of a request.
    void begin_request(std::string_view attempt);
    void end_request();
    /// The answer's body: a JSON object with the name, the attempt, and length and digest of
    /// `body`.
    [[nodiscard]] std::string answer(std::string_view attempt, std::string_view body) const;

    void start_task(const task_spec& spec);
    /// These are false when no such task is running.
    [[nodiscard]] bool renew_lease(std::string_view id, milliseconds lease);
    [[nodiscard]] bool checkpoint(std::string_view id);
    [[nodiscard]] bool throttle(std::string_view id, std::uint32_t speed_percent);
    [[nodiscard]] bool stop(std::string_view id);
    /// State and usage of a task; usage as it was `lag` ago. Empty when the id is unknown.
    [[nodiscard]] std::optional<nlohmann::json> describe_task(std::string_view id,
                                                              milliseconds lag);

    /// False when the connection is beyond the limit; it is then counted as excess only.
    [[nodiscard]] bool open_connection();
    void close_connection();

    void begin_drain();
    /// Times are of the steady clock, which the processes of one host share.
    [[nodiscard]] nlohmann::json log();

private:
    enum class task_step { running, done, failed, stopped, lease_ended };
    struct task_state {
        task_spec spec;
        task_step at = task_step::running;
        /// Work done at full speed, and when that was computed.
        double work_ms = 0;
        steady_time computed_at{};
        steady_time lease_end{};
        steady_time started_at{};
        steady_time ended_at{};
        std::uint32_t speed_percent = 100;
        std::int64_t checkpoint_ms = -1;
    };
    using counts = std::map<std::string, std::uint64_t, std::less<>>;

    [[nodiscard]] static std::string_view to_text(task_step step);
    [[nodiscard]] task_state* running(std::string_view id);
    void advance();
    void advance(task_state& task, steady_time now);
    void note_accelerators(const task_spec& spec);
    void note_arrival();
    void note_slots();

    clock_function clock;
    std::string name;
    backend_limits limits;
    counts request_counts;
    counts task_counts;
    std::map<std::string, task_state, std::less<>> tasks;
    std::uint32_t active_requests = 0;
    std::uint32_t connections = 0;
    std::uint32_t most_slots = 0;
    std::uint32_t most_connections = 0;
    std::uint64_t excess_slots = 0;
    std::uint64_t excess_connections = 0;
    std::uint64_t double_accelerators = 0;
    std::optional<steady_time> drain_began;
    std::uint64_t arrivals_after_drain = 0;
    std::int64_t last_arrival_after_drain_ms = 0;
};

} // namespace redwingwheel::stand_in
