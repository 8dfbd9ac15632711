#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/job_messages.h"
#include "redwingwheel/worker_port.h"

/// Carries out the leader's orders on one worker and keeps the worker's lease.
namespace redwingwheel::jobs {

struct supervisor_options {
    std::string name;
    /// Longest lease that the worker grants.
    milliseconds max_lease{6000};
    /// A start that the worker carries out later than this is refused by the worker.
    milliseconds start_window{1500};
    /// How long the worker may wait for an end before it answers a renewal.
    milliseconds renewal_wait{1000};
    milliseconds pause_after_failure{150};
    milliseconds retry_interval{400};
    /// How long the leader may hold a poll, and a margin for the network.
    milliseconds poll_timeout{1800};
};

struct supervisor_hooks {
    /// Sends a poll to the leader.
    std::function<void(const messages::worker_poll&, steady_time deadline,
                       std::function<void(absl::StatusOr<messages::worker_poll_answer>)>)>
        poll;
    /// Runs the work on the control thread at the deadline or soon after.
    std::function<void(steady_time, std::function<void()>)> run_at;
};

/// Lives on the control thread.
class supervisor {
public:
    supervisor(const supervisor_options& options, clock_function clock, worker_port& port,
               supervisor_hooks hooks);

    /// The worker announced itself. `sequence` rises with each announcement of an incarnation;
    /// older ones are ignored.
    void announce(worker_description worker, std::uint64_t sequence);

    /// The worker said that it ends.
    void worker_left(const std::string& id);

    [[nodiscard]] bool has_permit() const;

private:
    /// A start order from its arrival until the leader no longer names it.
    struct tracked_start {
        messages::start_order order;
        worker_incarnation worker;
        worker_time_ms deadline = 0;
        std::uint32_t unanswered = 0;
        bool in_flight = false;
        bool refused = false;
        std::string reason;
        steady_time sent_at;
    };

    /// A stop order, repeated until the worker acknowledges it.
    struct tracked_stop {
        steady_time sent_at;
        std::optional<steady_time> acknowledged_at;
        bool refused = false; ///< The run never started and never will.
    };

    void begin_incarnation(const worker_incarnation& incarnation);
    void renew();
    void set_reachable(bool reachable);
    void on_renewal_failed(const absl::Status& status);
    void on_listing(const worker_listing& listing);
    void stop_unwanted();
    void send_stop(const run_id& run);
    void send_start(const run_id& run);
    void on_start_result(const run_id& run, start_result result);
    void refuse(const run_id& run, tracked_start& start, std::string_view reason);
    void settle_starts(const worker_listing& listing);
    void settle_stops(const worker_listing& listing);
    void poll_now();
    void send_poll();
    void forget_settled(const std::vector<worker_incarnation>& settled);
    void on_answer(const messages::worker_poll_answer& answer, steady_time sent_at);
    [[nodiscard]] std::optional<worker_time_ms> lease_limit() const;

    supervisor_options options;
    clock_function clock;
    worker_port& port;
    supervisor_hooks hooks;
    std::optional<worker_description> worker;
    std::uint64_t last_sequence = 0;
    /// The latest last.
    std::vector<messages::ended_incarnation> ended;

    std::optional<worker_time_ms> worker_clock;
    steady_time worker_clock_read_at;
    /// Until then on the worker's clock, starts of an earlier process may be carried out.
    worker_time_ms predecessor_until = 0;
    std::vector<run_progress> running;
    std::map<std::uint64_t, ended_run> ended_runs;
    std::uint64_t last_recorded_end = 0;

    std::uint64_t term = 0;
    steady_time permit_until;
    bool has_orders = false;
    std::set<run_id> wanted;
    std::uint64_t orders_digest = 0;
    std::map<run_id, tracked_start> starts;
    std::set<run_id> withdrawn;
    std::map<run_id, tracked_stop> stops;

    bool renewing = false;
    steady_time renewal_sent_at;
    std::uint64_t renewal = 0;
    /// In a row, because nobody listened at the worker's address.
    std::size_t refused_renewals = 0;
    /// A draining worker works at least until then.
    steady_time drained_at;
    std::uint64_t poll_sequence = 0;
    std::uint64_t answered_poll = 0;
    std::size_t polls_in_flight = 0;
    bool poll_scheduled = false;
    /// There was news while as many polls were out as may be.
    bool news_waits = false;
};

} // namespace redwingwheel::jobs
