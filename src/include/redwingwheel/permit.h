#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "redwingwheel/clock.h"

/// Permits: time-limited permissions to start work in a data centre and to keep tasks running. They
/// are leases (Gray and Cheriton, 1989) that are measured on steady clocks only.
namespace redwingwheel::membership {

/// Faults that tests inject to show that their checks detect a broken rule. All false in a daemon.
struct permit_faults {
    /// Measures a permit from the arrival of the answer instead of the sending of the request.
    bool count_from_arrival = false;
    /// Omits the clock drift margin.
    bool no_drift_margin = false;
    /// A new leader does not wait until permits of the former leader have expired.
    bool no_wait_after_leader_change = false;
};

struct permit_options {
    /// Lifetime of a permit on the granter's clock.
    milliseconds lifetime{3000};
    /// Time between two polls of a holder; the caller adds jitter.
    milliseconds poll_period{500};
    /// Largest drift of any clock from true time, in percent. The holder shortens a permit by it
    /// and the granter waits longer by it, so both clocks may drift in opposite directions.
    unsigned drift_percent = 1;
    permit_faults faults;

    /// `remaining` less the drift margin: the time for which a holder may use a permit.
    [[nodiscard]] std::chrono::nanoseconds
    minus_drift_margin(std::chrono::nanoseconds remaining) const;
    /// Lifetime plus the drift margin: the time after a grant when every holder's permit has
    /// expired, 3.03 s by default.
    [[nodiscard]] std::chrono::nanoseconds lifetime_with_margin() const;
};

/// Message: what a holder may do in one data centre. Carries remaining times rather than points in
/// time, since clocks are not synchronised.
struct permit {
    std::string data_centre;
    /// Whether work may be started; false while the data centre is withdrawn.
    bool may_start = false;
    /// Log index of the last change of the data centre's state.
    std::uint64_t change_index = 0;
    /// Configuration revision that the holder must have in force before it starts work.
    std::uint64_t revision = 0;
    /// Time in which work may be started.
    std::uint64_t start_remaining_ms = 0;
    /// Time in which running tasks may continue.
    std::uint64_t lease_remaining_ms = 0;

    MSGPACK_DEFINE(data_centre, may_start, change_index, revision, start_remaining_ms,
                   lease_remaining_ms)
};

enum class permit_result_kind {
    accepted,
    /// The lease is renewed and a withdrawal takes effect, but starts need `needed_revision`. Fetch
    /// it, then accept the same permit again with the same `sent_at`.
    fetch_revision,
    /// Rejected: the permit is for another data centre.
    other_data_centre,
    /// Rejected: a newer change of the data centre's state is known.
    older_change,
    /// Rejected: the permit's revision is below the one in force or accepted before.
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
    /// When `data_centre` is empty, the data centre of the first permit is used.
    explicit permit_holder(clock_function clock, permit_options options = {},
                           std::string data_centre = "");

    /// Takes a permit from the answer to a request that was sent at `sent_at` on this process's
    /// clock. `own_revision` is the configuration revision in force here.
    [[nodiscard]] permit_result accept(const permit& offered, steady_time sent_at,
                                       std::uint64_t own_revision);

    /// Whether work may be started now. Call it immediately before the start, after any wait.
    [[nodiscard]] bool may_start() const;

    /// Whether running tasks may continue now.
    [[nodiscard]] bool lease_valid() const;

    /// End of the lease on this process's clock; the clock's origin before the first permit.
    [[nodiscard]] steady_time lease_deadline() const { return this->lease_until; }
    [[nodiscard]] steady_time start_deadline() const { return this->start_until; }

    /// True when the last known change withdrew the data centre.
    [[nodiscard]] bool withdrawn() const { return this->change_known && !this->in_service; }

    /// Highest revision under which a permit was accepted; 0 before the first.
    [[nodiscard]] std::uint64_t accepted_revision() const { return this->revision; }
    [[nodiscard]] std::uint64_t change_index() const { return this->last_change_index; }

    /// The held permit with the times that remain at `now`; empty when nothing remains. Safe to
    /// pass on to entries. An agent's lease may be relayed only together with the leader's commands
    /// for it.
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

/// Progress of the withdrawal of a data centre.
struct withdrawal_state {
    bool withdrawn = false;
    /// True at the leader once every permit that allowed starts there has expired.
    bool in_force = false;
    /// When the withdrawal takes effect, on the leader's clock.
    steady_time in_force_at{};
    std::uint64_t change_index = 0;
};

/// Grants permits at the leader. Followers apply changes as well, so that a new leader knows them.
class permit_granter {
public:
    explicit permit_granter(clock_function clock, permit_options options = {});

    /// Called once the no-op entry of this leader's term has committed and every earlier entry is
    /// applied. The former leader may have granted a permit just before, so every withdrawal waits
    /// for `lifetime_with_margin` again.
    void begin_leadership();

    /// Permits granted after this have no remaining time.
    void end_leadership() { this->leading = false; }

    /// Applies a committed change of a data centre's state. Ignored unless `change_index` is higher
    /// than that of the last change.
    void apply_change(std::string_view data_centre, bool in_service, std::uint64_t change_index);

    /// The permit for an answer that is sent now. Its remaining times are 0 when this process does
    /// not lead; in an unknown data centre no starts are allowed.
    [[nodiscard]] permit grant(std::string_view data_centre, std::uint64_t revision) const;

    /// Default values when the data centre is unknown or in service.
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
