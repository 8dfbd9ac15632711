#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "policy.h"
#include "trace.h"

/// Runs a trace through a policy on a manual clock. An event loop stands for the workers.
namespace redwingwheel::replay {

/// What became of one job. Times count from the beginning of the trace.
struct job_result {
    std::string job_class;
    std::string account;
    milliseconds arrived{0};
    std::optional<milliseconds> first_started;
    std::optional<milliseconds> finished;
    bool idempotent = false;
    bool refused = false;
    bool cancelled = false;
    std::uint32_t reruns = 0; ///< Starts after a run whose work was lost.
    bool entitled = false;    ///< Urgent and within the account's guarantee on arrival.
    std::optional<milliseconds> reclaimed_at; ///< First time a gang was stopped for it.
    std::optional<milliseconds> reclaim_time; ///< From then to its start.
};

/// Accelerators that worked for a while.
struct work_segment {
    milliseconds from{0};
    milliseconds to{0};
    std::uint32_t accelerators = 0;
    bool kept = true; ///< False: the work was lost by a stop.
};

/// The state from `at` until the next sample.
struct load_sample {
    milliseconds at{0};
    std::uint32_t capacity = 0; ///< Accelerators of workers present in places in service.
    std::uint32_t demand = 0;   ///< Of jobs that wait or run there.
    std::uint32_t used = 0;     ///< Of jobs that run there.
    std::uint32_t free = 0;
    std::uint32_t free_in_whole_hosts = 0;
};

struct placed_start {
    milliseconds at{0};
    std::string data_centre;
};

struct guarantee_sample {
    milliseconds at{0};
    std::string agreement;
    bool whole = false;
};

struct replay_result {
    milliseconds end{0};
    std::map<std::string, job_result> jobs;
    std::vector<work_segment> work;
    std::vector<load_sample> load;
    std::vector<placed_start> starts;
    std::vector<guarantee_sample> guarantees;
    std::set<std::string> quarantined; ///< Workers, at any time.
    std::uint32_t split_gangs = 0;
    std::uint32_t overlaps = 0; ///< Accelerators taken while another gang held them.
};

class simulation {
public:
    using line_sink = std::function<void(const std::string&)>;

    /// `sink` gets one line per decision. The trace outlives the simulation.
    simulation(const trace& chosen, std::string_view policy_name, line_sink sink);
    ~simulation();
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;

    [[nodiscard]] replay_result run();

private:
    enum class internal_kind { begins, ends, fails, stops, tick };
    struct internal_event {
        milliseconds at{0};
        std::uint64_t sequence = 0;
        internal_kind kind = internal_kind::tick;
        std::string job;
        std::uint64_t generation = 0;
        std::string worker;
        friend bool operator>(const internal_event& left, const internal_event& right)
        {
            return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
        }
    };
    struct live_job {
        traced_job traced;
        bool waits = true;
        std::uint64_t generation = 0; ///< Of its latest start.
        std::vector<placement::member_placement> members;
        bool begun = false;
        bool stopping = false;
        bool planned_stop = false;
        bool work_lost = false; ///< The latest run ended without a checkpoint.
        milliseconds begin{0};
        double factor = 1;
        milliseconds done{0};
    };
    struct live_worker {
        placement::worker_spec spec;
        bool lost = false;
        bool fails = false;
        milliseconds fail_after{0};
        double factor = 1;
        std::vector<std::string> holder;
    };

    milliseconds now() const;
    milliseconds jitter();
    void schedule(milliseconds at, internal_kind kind, const std::string& job,
                  std::uint64_t generation, const std::string& worker = "");
    void apply(const trace_event& event);
    void apply_guarantees(const trace_event& event);
    void apply_straggler(const trace_event& event);
    void arrive(const traced_job& job);
    void cancel(const std::string& name);
    void handle(const internal_event& event);
    void begin(const std::string& id);
    void finish(const std::string& id);
    void stop(const std::string& id);
    void turn();
    void start(const placement::gang_placement& placement);
    void order_stop(const std::string& job, const std::string& for_job, steady_time deadline);
    void check_shape(const live_job& job, const placement::gang_placement& placement);
    void release(live_job& job);
    void end_segment(const live_job& job, bool kept);
    bool is_entitled(const traced_job& job);
    bool guarantees_are_feasible();
    void sample();
    void log(const placement::decision& one);

    const trace& source;
    line_sink print;
    manual_clock clock;
    steady_time origin;
    std::unique_ptr<policy> scheduler;
    std::mt19937_64 random;
    std::priority_queue<internal_event, std::vector<internal_event>, std::greater<>> pending;
    std::map<std::string, live_job> jobs;
    std::map<std::string, live_worker> workers;
    std::set<std::string> withdrawn;
    std::vector<placement::guarantee> terms;
    std::optional<bool> feasible; ///< Cached until inventory or guarantees change.
    replay_result result;
    std::uint64_t last_sequence = 0;
    std::uint64_t last_generation = 0;
    bool tick_pending = false;
};

} // namespace redwingwheel::replay
