#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "redwingwheel/attempt_history.h"
#include "redwingwheel/clock.h"
#include "redwingwheel/outcome.h"

/// The agent's queue: decides when an attempt gets a slot, waits or is refused.
namespace redwingwheel::request {

/// Order of precedence. The numbers index the per-class arrays below.
enum class request_class : std::uint8_t { interactive, standard, batch };
inline constexpr std::size_t class_count = 3;

[[nodiscard]] std::string_view to_string(request_class priority);

/// One request as the decisions see it.
struct request_info {
    attempt_id attempt = 0;
    std::string account;
    std::string service;
    request_class priority = request_class::standard;
    /// Share of the account within its class; values below 1 count as 1.
    std::uint32_t account_weight = 1;
    steady_time deadline;
    /// Declared run time; 0 when not declared. History of the service replaces it once there is
    /// any.
    milliseconds expected_duration{0};
    /// Slots taken while it runs; 0 takes a connection only.
    std::uint32_t slots = 1;
    /// Incarnation named by the claim; empty for idempotent work, which has no claim.
    std::optional<incarnation_id> claim_incarnation;
};

/// The load of an agent as it travels in answers and polls. Arrays are by request_class.
struct load_report {
    std::uint32_t slots = 0;
    std::array<std::uint32_t, class_count> running{};
    std::array<std::uint32_t, class_count> queued{};
    /// Slots held by long-lived tasks.
    std::uint32_t held_slots = 0;
    /// Moving average of the run time in milliseconds of attempts that ended as done; 0 before any.
    std::array<double, class_count> duration_ms{};
    /// Moving average of the share of attempts that ended as failed or unknown.
    double error_share = 0.0;
    MSGPACK_DEFINE(slots, running, queued, held_slots, duration_ms, error_share)
};

enum class refusal_reason : std::uint8_t {
    full,
    account_share_full,
    deadline_unmeetable,
    deadline_passed,
    shutting_down,
    no_permit,
    duplicate_attempt,
    wrong_incarnation,
    revoked,
    too_many_slots,
    history_full,
    cancelled
};

[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// The outcome that a refusal allows the entry to conclude for the attempt. `first_send` is true
/// when the entry has handed this attempt to exactly one connection, once. A duplicate or a
/// restarted agent proves not_run only for a first send: an earlier send may have run.
[[nodiscard]] outcome_kind outcome_of_refusal(refusal_reason reason, bool first_send);

struct refused_attempt {
    attempt_id attempt = 0;
    refusal_reason reason = refusal_reason::full;
};

/// What the agent does next: start these, answer not_run for those. No attempt is in both.
struct dispatch {
    std::vector<request_info> started;
    std::vector<refused_attempt> refused;
};

enum class offer_kind : std::uint8_t { started, queued, refused };

struct offer_result {
    offer_kind kind = offer_kind::refused;
    /// Set when refused.
    refusal_reason reason = refusal_reason::full;
    /// Other attempts that the offer made the queue give up, such as expired ones.
    dispatch others;
};

/// What a cancel found. After `revoked` the attempt can never start in this incarnation.
enum class cancel_kind : std::uint8_t { removed_from_queue, running, finished, revoked };

struct cancel_result {
    cancel_kind kind = cancel_kind::revoked;
    dispatch others;
};

struct admission_options {
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    /// Attempts that may wait, all classes together.
    std::uint32_t queue_bound = 128;
    /// Share of the queue that one account may fill while others may come.
    double account_queue_share = 0.5;
    /// Slots that neither batch work nor long-lived tasks may take, so that an interactive attempt
    /// waits for interactive or standard work at most.
    std::uint32_t slots_kept_from_batch = 1;
    /// Slots that waiting standard or batch work gets even under a flood of interactive work.
    std::uint32_t background_floor_slots = 1;
    /// Shares of slot time of standard and batch work against each other.
    std::uint32_t standard_weight = 4;
    std::uint32_t batch_weight = 1;
    incarnation_id incarnation = 0;
    history_options history;
};

/// The only authority over one backend server's slots and connections. Driven on one thread.
class admission_queue {
public:
    /// `may_start` is asked at the instant of every start: the permit may have ended in the queue.
    admission_queue(
        admission_options chosen, clock_function clock_source,
        std::function<bool()> permit_check = [] { return true; });

    /// Starts, queues or refuses `offered`.
    [[nodiscard]] offer_result offer(const request_info& offered);

    /// Records the end of a running attempt; frees its slots. Unknown attempts change nothing.
    [[nodiscard]] dispatch finished(attempt_id attempt, outcome_kind outcome);

    /// Takes a waiting attempt out, or bars one that never arrived. A running one goes on.
    [[nodiscard]] cancel_result cancel(attempt_id attempt);

    /// Refuses new work from now on; what is queued is refused as shutting_down, what runs goes on.
    [[nodiscard]] dispatch drain();

    /// Gives up queued attempts whose deadline has passed or whose permit is gone, starts others.
    [[nodiscard]] dispatch expire();

    /// Gives slots to a long-lived task; false when they are not free.
    [[nodiscard]] bool hold_slots(std::uint64_t task, std::uint32_t count);
    [[nodiscard]] dispatch release_slots(std::uint64_t task);

    [[nodiscard]] load_report load() const;
    [[nodiscard]] bool idle() const;
    /// The earliest deadline of a queued attempt; empty when none waits.
    [[nodiscard]] std::optional<steady_time> next_deadline() const;
    [[nodiscard]] const attempt_history& history() const { return this->ended; }

private:
    struct running_attempt {
        request_info info;
        steady_time started_at;
        /// Milliseconds of slot time charged to the account at the start.
        double charged_ms = 0.0;
    };
    struct account_queue {
        std::deque<request_info> waiting;
        /// Virtual time up to which the account has used its share.
        double finish_tag = 0.0;
        std::uint32_t weight = 1;
    };
    struct class_queue {
        std::map<std::string, account_queue, std::less<>> accounts;
        double virtual_time = 0.0;
        /// Virtual time of the class itself against the other background class.
        double class_tag = 0.0;
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        std::uint32_t slots_used = 0;
        double duration_ms = 0.0;
    };

    [[nodiscard]] std::optional<refusal_reason> reason_to_refuse(const request_info& offered) const;
    [[nodiscard]] std::optional<refusal_reason> reason_not_to_queue(const request_info& offered);
    [[nodiscard]] bool fits(const request_info& candidate) const;
    [[nodiscard]] bool deadline_unmeetable(const request_info& candidate, double wait_ms) const;
    [[nodiscard]] double expected_ms(const request_info& candidate) const;
    [[nodiscard]] double estimated_wait_ms(const request_info& offered) const;
    [[nodiscard]] std::uint32_t used_slots() const;
    [[nodiscard]] std::uint32_t background_slots() const;
    [[nodiscard]] std::optional<request_class> next_class();
    [[nodiscard]] account_queue* next_account(class_queue& from);
    [[nodiscard]] const request_info* head_of(request_class priority);
    [[nodiscard]] request_info take_head(request_class priority);
    void enqueue(const request_info& offered);
    void start(const request_info& begun);
    void fill_slots(dispatch& out);
    void give_up_expired(dispatch& out);
    void give_up_all(refusal_reason reason, dispatch& out);
    void refuse_queued(const request_info& queued, refusal_reason reason, dispatch& out);
    void note_duration(const running_attempt& ended_attempt, double duration_ms);
    [[nodiscard]] class_queue& queue_of(request_class priority);
    [[nodiscard]] const class_queue& queue_of(request_class priority) const;

    admission_options options;
    clock_function clock;
    std::function<bool()> may_start;
    std::array<class_queue, class_count> classes;
    std::unordered_map<attempt_id, running_attempt> running;
    std::unordered_map<attempt_id, request_class> queued;
    std::map<std::uint64_t, std::uint32_t> held;
    std::map<std::string, double, std::less<>> service_duration_ms;
    attempt_history ended;
    std::uint32_t held_slots = 0;
    double background_virtual_time = 0.0;
    double error_share = 0.0;
    bool draining = false;
};

} // namespace redwingwheel::request
