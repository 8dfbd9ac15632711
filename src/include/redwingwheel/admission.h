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
#include "redwingwheel/fair_queue.h"
#include "redwingwheel/request_info.h"

/// The agent's admission control: starts, queues or refuses each attempt.
namespace redwingwheel::request {

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

/// The outcome that the entry may infer from a refusal. `first_send` is true when the entry has
/// sent the attempt exactly once, on one connection. A `wrong_incarnation` refusal proves `not_run`
/// only then, since an earlier send may have run. A `duplicate_attempt` refusal never proves it.
[[nodiscard]] outcome_kind outcome_of_refusal(refusal_reason reason, bool first_send);

struct refused_attempt {
    attempt_id attempt = 0;
    refusal_reason reason = refusal_reason::full;
};

/// Attempts that the agent has to start, and attempts for which it has to answer `not_run`. No
/// attempt is in both lists.
struct dispatch_result {
    std::vector<request_info> started;
    std::vector<refused_attempt> refused;
};

enum class offer_kind : std::uint8_t { started, queued, refused };

struct offer_result {
    offer_kind kind = offer_kind::refused;
    /// Valid only when `kind` is `refused`.
    refusal_reason reason = refusal_reason::full;
    /// Other attempts that the offer caused to start or to be refused, such as expired ones.
    dispatch_result other_attempts;
};

/// State in which a cancel found the attempt. `revoked`: neither queued, running nor finished; it
/// cannot start later in this incarnation.
enum class cancel_kind : std::uint8_t { removed_from_queue, running, finished, revoked };

struct cancel_result {
    cancel_kind kind = cancel_kind::revoked;
    /// Other attempts that the cancel caused to start or to be refused.
    dispatch_result other_attempts;
};

struct admission_options {
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    /// Limit of queued attempts of all classes together.
    std::uint32_t max_queued = 128;
    /// Fraction of `max_queued` that the attempts of one account may occupy.
    double max_account_queue_share = 0.5;
    /// Slots that neither batch work nor long-lived tasks may occupy, so that an interactive
    /// attempt never waits for those alone. Limited to `slots` - 1.
    std::uint32_t reserved_non_batch_slots = 1;
    /// Slots guaranteed to queued standard and batch work under any interactive load.
    std::uint32_t min_background_slots = 1;
    /// Relative weights by which standard and batch work share slot time.
    std::uint32_t standard_weight = 4;
    std::uint32_t batch_weight = 1;
    incarnation_id incarnation = 0;
    history_options history;
};

/// Rules of admission. Mutation tests switch single rules off to verify that the test detects it.
struct admission_rules {
    bool check_duplicates = true;
    bool check_incarnation = true;
    bool refuse_revoked = true;
    bool limit_slots = true;
    bool interactive_first = true;
    bool fair_shares = true;
};

/// Allocates the slots and connections of one backend server; nothing else allocates them. Not
/// thread-safe.
class admission_queue {
public:
    /// `permit_check` is called right before every start, because the permit may end while an
    /// attempt is queued.
    admission_queue(
        admission_options chosen, clock_function clock_source,
        std::function<bool()> permit_check = [] { return true; },
        admission_rules chosen_rules = {});

    /// Starts, queues or refuses `offered`.
    [[nodiscard]] offer_result offer(const request_info& offered);

    /// Records the end of a running attempt and frees its slots. An unknown attempt is ignored.
    [[nodiscard]] dispatch_result finished(attempt_id attempt, outcome_kind outcome);

    /// Removes a queued attempt, or revokes one that has not arrived so that it cannot start later.
    /// A running attempt continues. `claimed` selects the retention of an attempt that has not
    /// arrived: see history_options.
    [[nodiscard]] cancel_result cancel(attempt_id attempt, bool claimed = true);

    /// Refuses queued and all later attempts as `shutting_down`. Running attempts continue.
    [[nodiscard]] dispatch_result drain();

    /// Refuses queued attempts whose deadline has passed, or all of them without a permit; then
    /// starts queued attempts that fit.
    [[nodiscard]] dispatch_result expire();

    /// Allocates `count` slots and one connection to a long-lived task. Returns false, allocating
    /// nothing, when they are not free, the agent is draining or has no permit, or the task already
    /// holds slots.
    [[nodiscard]] bool hold_slots(std::uint64_t task, std::uint32_t count);
    /// Frees the slots of a long-lived task and starts queued attempts that fit. An unknown task is
    /// ignored.
    [[nodiscard]] dispatch_result release_slots(std::uint64_t task);

    [[nodiscard]] load_report load() const;
    /// True when nothing is running or queued and no long-lived task holds slots.
    [[nodiscard]] bool idle() const;
    /// The earliest deadline of the queued attempts; empty when none is queued.
    [[nodiscard]] std::optional<steady_time> next_deadline() const;
    /// Stores the answer of a claimed attempt for an entry that takes over the claim.
    void store_answer(const answer& stored) { this->ended_attempts.store_answer(stored); }
    [[nodiscard]] const attempt_history& history() const { return this->ended_attempts; }

private:
    struct running_attempt {
        request_info info;
        steady_time started_at;
        /// Slot time, in milliseconds, charged to the account at the start.
        double charged_ms = 0.0;
    };
    struct class_state {
        fair_queue waiting;
        std::uint32_t running = 0;
        std::uint32_t slots_used = 0;
        double duration_ms = 0.0;
        /// Virtual time up to which slot time has been charged to the class; unused for
        /// interactive.
        double finish_tag = 0.0;
    };

    [[nodiscard]] std::optional<refusal_reason> reason_to_refuse(const request_info& offered) const;
    [[nodiscard]] std::optional<refusal_reason> reason_not_to_queue(const request_info& offered);
    [[nodiscard]] std::optional<refusal_reason> reason_not_to_start(const request_info& candidate);
    [[nodiscard]] bool make_room_for(const request_info& offered, dispatch_result& out);
    [[nodiscard]] bool fits(const request_info& candidate) const;
    [[nodiscard]] std::uint32_t slots_open_to(request_class priority) const;
    [[nodiscard]] double expected_ms(const request_info& candidate) const;
    [[nodiscard]] double estimated_wait_ms(const request_info& offered) const;
    [[nodiscard]] std::uint32_t waiting_count() const;
    [[nodiscard]] std::uint32_t account_waiting(std::string_view account) const;
    [[nodiscard]] std::optional<request_class> next_class() const;
    [[nodiscard]] std::optional<request_class> next_background_class() const;
    void start(const request_info& begun, dispatch_result& out);
    void charge_class(request_class priority, double cost_ms);
    void fill_slots(dispatch_result& out);
    void refuse_all_queued(refusal_reason reason, dispatch_result& out);
    void refuse_queued(const request_info& waiting, refusal_reason reason, dispatch_result& out);
    void record_end(const running_attempt& ended_attempt, outcome_kind outcome);
    [[nodiscard]] class_state& state_of(request_class priority);
    [[nodiscard]] const class_state& state_of(request_class priority) const;

    admission_options options;
    clock_function clock;
    std::function<bool()> may_start;
    admission_rules rules;
    std::array<class_state, class_count> classes;
    std::unordered_map<attempt_id, running_attempt> running;
    std::unordered_map<attempt_id, request_class> queued;
    std::map<std::uint64_t, std::uint32_t> held_by_task;
    std::map<std::string, double, std::less<>> service_duration_ms;
    attempt_history ended_attempts;
    std::uint32_t held_slots = 0;
    std::uint32_t used_slots = 0;
    double background_virtual_time = 0.0;
    double error_rate = 0.0;
    bool draining = false;
};

} // namespace redwingwheel::request
