#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "redwingwheel/clock.h"

/// Permits: time-limited permissions to start work in a data centre and to keep tasks running.
/// The idea is that of leases (Gray and Cheriton, 1989), counted on steady clocks only.
namespace redwingwheel::membership {

/// Faults that tests put in on purpose, to show that a broken rule is noticed. All false in a
/// daemon.
struct permit_faults {
    /// Counts a permit from the arrival of the answer instead of the sending of the request.
    bool count_from_arrival = false;
    /// Leaves out the drift margin.
    bool no_drift_margin = false;
    /// A new leader does not wait for what the former leader may have granted.
    bool no_wait_after_leader_change = false;
};

struct permit_options {
    /// Life of a permit on the granter's clock.
    milliseconds lifetime{3000};
    /// Time between two polls of a holder; the caller adds jitter.
    milliseconds poll_period{500};
    /// Largest drift of any clock from true time, in percent. The holder counts that much less and
    /// the granter waits that much longer, so both may drift at once in opposite directions.
    unsigned drift_percent = 1;
    permit_faults faults;

    /// What a holder may use of `remaining`.
    [[nodiscard]] std::chrono::nanoseconds
    minus_drift_margin(std::chrono::nanoseconds remaining) const;
    /// Time after a grant at which no holder can still use the permit: 3.03 s by default.
    [[nodiscard]] std::chrono::nanoseconds lifetime_with_margin() const;
};

/// Message: what a holder may do in one data centre. Carries remaining times, no points in time.
struct permit {
    std::string data_centre;
    /// False while the data centre is withdrawn.
    bool may_start = false;
    /// Log index of the last change of the data centre's state.
    std::uint64_t change_index = 0;
    /// Configuration revision that the holder must have in force before it starts work.
    std::uint64_t revision = 0;
    std::uint64_t start_remaining_ms = 0;
    std::uint64_t lease_remaining_ms = 0;

    MSGPACK_DEFINE(data_centre, may_start, change_index, revision, start_remaining_ms,
                   lease_remaining_ms)
};

enum class permit_result_kind {
    accepted,
    /// Leases count from now on and a withdrawal is in force, but starts need `needed_revision`.
    /// Fetch it, then accept the same permit again with the same `sent_at`.
    fetch_revision,
    other_data_centre,
    older_change,
    lower_revision,
};

struct permit_result {
    permit_result_kind kind = permit_result_kind::accepted;
    /// Only with fetch_revision.
    std::uint64_t needed_revision = 0;
};

/// Holds the permit of one process for its data centre. Nothing is kept on disk: after a restart
/// nothing starts until a new permit arrives.
class permit_holder {
public:
    /// With an empty `data_centre` the first permit decides it.
    explicit permit_holder(clock_function clock, permit_options options = {},
                           std::string data_centre = "");

    /// Takes a permit from the answer to a request that was sent at `sent_at` on this process's
    /// clock. `own_revision` is the configuration revision in force here.
    [[nodiscard]] permit_result accept(const permit& offered, steady_time sent_at,
                                       std::uint64_t own_revision);

    /// Whether work may start at this very moment. Call it at the act, after any wait.
    [[nodiscard]] bool may_start() const;

    /// Whether running tasks may go on at this very moment.
    [[nodiscard]] bool lease_valid() const;

    /// End of the lease on this process's clock; the clock's origin before the first permit.
    [[nodiscard]] steady_time lease_deadline() const { return this->lease_until; }
    [[nodiscard]] steady_time start_deadline() const { return this->start_until; }

    /// True when the last known change took the data centre out.
    [[nodiscard]] bool withdrawn() const { return this->change_known && !this->in_service; }

    /// Highest revision under which a permit was accepted; 0 before the first.
    [[nodiscard]] std::uint64_t accepted_revision() const { return this->revision; }
    [[nodiscard]] std::uint64_t change_index() const { return this->last_change_index; }

    /// The permit with only what remains of it at `now`; empty when nothing remains. Safe to hand
    /// to entries. An agent's lease may be relayed only together with the leader's commands for it.
    [[nodiscard]] std::optional<permit> relay(steady_time now) const;

private:
    void apply_change(const permit& offered);

    clock_function clock;
    permit_options options;
    std::string data_centre;
    bool change_known = false;
    bool in_service = false;
    std::uint64_t last_change_index = 0;
    std::uint64_t revision = 0;
    steady_time start_until{};
    steady_time lease_until{};
};

/// Where the withdrawal of a data centre stands.
struct withdrawal_state {
    bool withdrawn = false;
    /// True once no process can start work there any more.
    bool in_force = false;
    /// When it will be in force, on the leader's clock.
    steady_time in_force_at{};
    std::uint64_t change_index = 0;
};

/// Grants permits at the leader. Followers note changes as well, so that a new leader knows them.
class permit_granter {
public:
    explicit permit_granter(clock_function clock, permit_options options = {});

    /// Called once the no-op entry of this leader's term has committed and every earlier entry is
    /// applied. Assumes that the former leader granted a moment ago: withdrawals wait again.
    void begin_leadership();

    /// From here on nothing is granted.
    void end_leadership() { this->leading = false; }

    /// Applies a logged change. Changes with a lower index than the known one are ignored.
    void apply_change(std::string_view data_centre, bool in_service, std::uint64_t change_index);

    /// The permit for an answer that leaves now. Without leadership nothing remains in it; an
    /// unknown data centre gets no starts.
    [[nodiscard]] permit grant(std::string_view data_centre, std::uint64_t revision) const;

    [[nodiscard]] withdrawal_state withdrawal(std::string_view data_centre) const;
    [[nodiscard]] bool withdrawal_in_force(std::string_view data_centre) const
    {
        return this->withdrawal(data_centre).in_force;
    }

private:
    struct data_centre_state {
        bool in_service = false;
        std::uint64_t change_index = 0;
        steady_time in_force_at{};
    };

    clock_function clock;
    permit_options options;
    bool leading = false;
    std::map<std::string, data_centre_state, std::less<>> data_centres;
};

} // namespace redwingwheel::membership
