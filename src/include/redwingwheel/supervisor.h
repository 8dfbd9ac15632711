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

/// Carries out the leader's orders on one worker and renews the worker's lease.
namespace redwingwheel::jobs {

struct supervisor_options {
    std::string name;
    /// Distinguishes this process from earlier ones of the same supervisor.
    std::uint64_t process = 0;
    /// Longest lease that the worker accepts.
    milliseconds max_lease{6000};
    /// Time within which the worker must receive a start order. It refuses the order afterwards.
    milliseconds start_window{1500};
    /// Longest time for which the worker may hold a renewal until a run ends.
    milliseconds renewal_wait{1000};
    /// Pause after a failed renewal or poll.
    milliseconds pause_after_failure{150};
    /// Pause after a failed renewal of a worker that has deregistered.
    milliseconds pause_after_deregistration{30};
    /// Pause after a failed renewal, and between polls that get no orders, once the lease of a
    /// worker without contact has expired. It may never come back.
    milliseconds pause_after_lease_expiry{1000};
    /// Added to the lease before it counts as expired. Covers the time in which the worker ends its
    /// runs.
    milliseconds lease_margin{300};
    /// An order without an answer is carried out at most this long after it was sent.
    milliseconds max_order_delay{12'000};
    /// An announced incarnation that the worker has not confirmed is forgotten after this time
    /// without a further announcement. Covers several announcement intervals.
    milliseconds unconfirmed_lifetime{5000};
    /// Time after which an unanswered start or stop is sent again.
    milliseconds retry_interval{400};
    /// Longest time for which the leader may hold a poll, plus a margin for the network.
    milliseconds poll_timeout{1800};
};

struct supervisor_hooks {
    /// Sends a poll to the leader.
    std::function<void(const messages::worker_poll&, steady_time deadline,
                       std::function<void(absl::StatusOr<messages::worker_poll_answer>)>)>
        poll;
    /// Runs the callback on the control thread, not before the given time.
    std::function<void(steady_time, std::function<void()>)> run_at;
};

/// Runs on the control thread.
///
/// Announcements and deregistrations may be lost, late or sent by others, so neither is proof that
/// an incarnation of the worker has begun or ended. An announced incarnation replaces the current
/// one only when the worker itself has listed its runs as this incarnation, under a fencing token
/// that voids all orders that were sent before. A deregistered worker has ended once its host
/// refuses connections.
///
/// The lease counts on the worker's clock, which stands still while the host is suspended, and the
/// leader may give runs away in that time. An end from before is acknowledged only after the lease
/// has expired, which voids it.
///
/// A worker that does not answer may have crashed, or run on. Its runs are over when its clock has
/// passed every deadline that it may have received. The clock is at most 2% slow, but stands still
/// with the host. A start that got no answer may still be carried out by the next incarnation,
/// whose clock begins anew; it is waited for as well. The supervisor then gives its permit back,
/// and reports the lease as expired.
class supervisor {
public:
    /// `clock` counts the time while the host is suspended, `awake_clock` does not.
    supervisor(const supervisor_options& options, clock_function clock,
               awake_clock_function awake_clock, worker_port& port, supervisor_hooks hooks);

    /// Handles an announcement of the worker. `sequence` increases with each announcement of an
    /// incarnation; outdated announcements are ignored.
    void announce(worker_description worker, std::uint64_t sequence);

    /// Handles the notice that the worker with this id shuts down. Ignored for other workers. The
    /// worker gets no new runs from then on, unless it announces itself as ready again.
    void worker_deregistered(std::string_view id);

    /// True while the leader permits the supervisor to renew leases and start runs.
    [[nodiscard]] bool has_permit() const;

private:
    /// A start order, kept from its arrival until the leader no longer desires the run.
    struct tracked_start {
        messages::start_order order;
        worker_incarnation worker;
        worker_time_ms deadline = 0;
        std::uint32_t unanswered_attempts = 0;
        bool in_flight = false;
        bool refused = false;
        std::string reason;
        steady_time sent_at;
    };

    /// A stop order, which is repeated until the worker acknowledges it.
    struct tracked_stop {
        steady_time sent_at;
        std::optional<steady_time> acknowledged_at;
        bool refused = false; ///< The run did not start and can no longer start.
    };

    /// An announced incarnation that the worker has not confirmed yet.
    struct unconfirmed_worker {
        worker_description description;
        std::uint64_t sequence = 0;
        steady_time drain_deadline;
        steady_time expires_at;
        std::uint64_t token = 0; ///< 0 until the leader has issued one.
        bool listing = false;    ///< The worker was asked and has not answered yet.
    };

    void update_worker(worker_description announced, std::uint64_t sequence);
    void add_unconfirmed(const worker_description& announced, std::uint64_t sequence);
    void confirm(const worker_incarnation& incarnation);
    void on_confirmation(const worker_incarnation& incarnation, std::uint64_t token,
                         const absl::StatusOr<worker_listing>& listing);
    void replace_worker(const unconfirmed_worker& confirmed, std::uint64_t token,
                        const worker_listing& listing);
    void end_incarnation(std::string_view evidence, bool crashed);
    [[nodiscard]] std::vector<run_id> possibly_running() const;
    void accept_token(const messages::issued_token& issued);
    void request_token();
    void log_unordered_runs(const worker_listing& listing);
    void log_permit(bool valid);
    void renew();
    void renew_after(milliseconds pause);
    void set_reachable(bool reachable);
    [[nodiscard]] worker_contact contact() const;
    void check_lease_expired();
    [[nodiscard]] milliseconds pause_before_renewal() const;
    void on_renewal(std::uint64_t token, const absl::StatusOr<worker_listing>& listing);
    void on_renewal_failed(const absl::Status& status);
    void watch_permit();
    void on_listing(const worker_listing& listing);
    void stop_unwanted();
    void send_stop(const run_id& run);
    void send_start(const run_id& run);
    void on_start_result(const run_id& run, start_result result);
    void mark_refused(const run_id& run, tracked_start& start, std::string_view reason);
    void check_starts(const worker_listing& listing);
    void check_stops(const worker_listing& listing);
    void schedule_poll();
    void send_poll();
    void on_poll_result(const absl::StatusOr<messages::worker_poll_answer>& answer,
                        const worker_incarnation& incarnation, std::uint64_t sequence,
                        steady_time sent_at);
    void clear_recorded_ends(const std::vector<worker_incarnation>& recorded_incarnations);
    void on_poll_answer(const messages::worker_poll_answer& answer, steady_time sent_at);
    [[nodiscard]] std::optional<worker_time_ms> lease_limit() const;
    /// True while the worker lists an end that must not be acknowledged before its lease has
    /// expired. Until then the lease is not extended and nothing is started.
    [[nodiscard]] bool must_lapse() const;
    void check_lapse(const worker_listing& listing);
    [[nodiscard]] bool is_available() const;

    supervisor_options options;
    clock_function clock;
    awake_clock_function awake_clock;
    worker_port& port;
    supervisor_hooks hooks;
    std::optional<worker_description> worker;
    std::uint64_t last_sequence = 0;
    /// The worker has deregistered and has not announced itself as ready since.
    bool deregistered = false;
    std::map<worker_incarnation, unconfirmed_worker> unconfirmed;
    /// In the order in which they ended.
    std::vector<messages::ended_incarnation> ended_incarnations;
    /// Token for orders to the worker; 0 while a new one is needed.
    std::uint64_t fencing_token = 0;
    /// Token under which the worker has listed its runs last.
    std::uint64_t listed_token = 0;

    std::optional<worker_time_ms> worker_clock;
    steady_time worker_clock_read_at;
    awake_time worker_clock_read_awake_at;
    /// On the worker's clock. Starts that an earlier process of the supervisor sent may be carried
    /// out until then.
    worker_time_ms predecessor_deadline = 0;
    std::vector<run_progress> running;
    std::map<std::uint64_t, ended_run> ended_runs;
    std::uint64_t last_recorded_end = 0;
    /// Highest lease end and start deadline that the worker may have received.
    worker_time_ms granted_until = 0;
    /// Number of the first ended run in the last listing; 0: none.
    std::uint64_t first_listed_end = 0;
    std::uint64_t last_superseded_end = 0;
    /// The lease has expired since the ends up to this number were listed.
    std::uint64_t last_lapsed_end = 0;

    std::uint64_t term = 0;
    steady_time permit_until;
    /// Answers to polls that were sent before give no permit.
    steady_time permit_given_back_at;
    bool lease_expired = false; ///< And the worker has not answered since.
    /// When the last start was sent that got no answer, also by an earlier process of the
    /// supervisor.
    awake_time unanswered_start_at;
    bool permit_logged = false;
    bool permit_watched = false;
    bool has_orders = false;
    std::set<run_id> desired_runs;
    std::uint64_t orders_digest = 0;
    std::map<run_id, tracked_start> starts;
    std::set<run_id> withdrawn;
    std::map<run_id, tracked_stop> stops;

    bool renewing = false;
    steady_time renewal_sent_at;
    /// When the renewal was sent that the worker has answered last.
    steady_time listing_requested_at;
    std::uint64_t renewal_number = 0;
    /// Consecutive renewals that failed because the worker's host refused the connection.
    std::size_t refused_renewals = 0;
    /// A draining worker announced that it works at least until then.
    steady_time drain_deadline;
    std::uint64_t poll_sequence = 0;
    std::uint64_t last_answered_poll = 0;
    std::size_t polls_in_flight = 0;
    bool poll_scheduled = false;
    /// A poll was requested while the maximum number of polls was in flight.
    bool poll_requested = false;
};

} // namespace redwingwheel::jobs
