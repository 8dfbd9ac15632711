#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <msgpack.hpp>

/// Durations of runs, learned from those that have ended.
namespace redwingwheel::jobs {

struct step_definition;

/// What a run has in common with those from which its duration is predicted.
struct run_kind {
    std::string_view queue;
    std::string_view account;
    std::int64_t declared_ms = 0; ///< 0: not declared.
    std::int64_t accelerators = 0;
    bool gang = false;
};

[[nodiscard]] run_kind kind_of(const step_definition& step, std::string_view queue,
                               std::string_view account);

/// A prediction on a worker of ordinary speed. Never a reason to break a guarantee: it may be wrong
/// by any factor.
struct duration_prediction {
    double median_ms = 0.0;
    /// The run is expected to end within this with a probability of about nine in ten.
    double upper_ms = 0.0;
};

/// A mean and a variance that follow a shift. In 1/1024 of an octave, as integers, so that every
/// replica computes the same.
struct running_mean {
    std::uint32_t count = 0; ///< Stops at the number of samples that are remembered.
    std::int64_t mean = 0;
    std::int64_t variance = 0;

    void add(std::int64_t value, std::uint32_t memory);
    MSGPACK_DEFINE(count, mean, variance)
};

/// Statistics of the runs of a group.
struct duration_group {
    running_mean took;  ///< Durations on a worker of ordinary speed.
    running_mean error; ///< Durations relative to the declared ones.
    std::uint64_t last_change = 0;
    MSGPACK_DEFINE(took, error, last_change)
};

/// How much longer than ordinary runs take on a host, and how well that is known.
struct host_pace {
    running_mean excess;
    std::uint64_t last_change = 0;
    MSGPACK_DEFINE(excess, last_change)
};

/// Part of the replicated state: every replica derives it from the log, so that it outlives a
/// change of leader and a restart. Bounded in size.
///
/// Predictions come from the finest group with samples: queue, account and shape, then queue and
/// shape, then queue. A group with few samples leans on the next coarser one, and the declared
/// duration counts by how right it was.
class duration_model {
public:
    /// Records a run that took `took_ms` from its assignment to its end. `slowest_host` ran it, or
    /// the slowest member of its gang; `alone` is false when other hosts had part in the duration.
    void record(const run_kind& kind, std::int64_t took_ms, const std::string& slowest_host,
                bool alone);

    /// Records a run that was cut short after `lasted_ms`: it would have taken at least as long.
    /// Changes nothing unless that is longer than expected.
    void record_cut_short(const run_kind& kind, std::int64_t lasted_ms, const std::string& host);

    [[nodiscard]] duration_prediction predict(const run_kind& kind) const;

    /// Factor by which runs take longer on the host than ordinary; 1.0 while too little is known.
    [[nodiscard]] double slowdown(const std::string& host) const;

    MSGPACK_DEFINE(groups, hosts, all_hosts, changes)

private:
    struct estimate {
        double mean = 0.0;
        double variance = 0.0;
    };

    [[nodiscard]] estimate estimate_of(const run_kind& kind) const;
    [[nodiscard]] std::int64_t host_excess(const std::string& host) const;
    void add_to_groups(const run_kind& kind, std::int64_t took);

    std::map<std::string, duration_group> groups;
    std::map<std::string, host_pace> hosts;
    running_mean all_hosts; ///< Of what runs took beyond their prediction.
    std::uint64_t changes = 0;
};

} // namespace redwingwheel::jobs
