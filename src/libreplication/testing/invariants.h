#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/replication_types.h"

namespace redwingwheel::replication::testing {

struct applied_command {
    log_index index;
    std::string command;

    friend bool operator==(const applied_command&, const applied_command&) = default;
    MSGPACK_DEFINE(index, command)
};

/// Safety invariants of the replicated log, checked during a run.
class invariants {
public:
    /// Call before a host with state `before` applies `next`: all hosts must apply the same
    /// sequence.
    void check_apply(std::size_t host, const std::vector<applied_command>& before,
                     const applied_command& next);
    /// Call when a host restores `state` from a snapshot: it must be a prefix of the applied
    /// sequence.
    void check_restore(std::size_t host, const std::vector<applied_command>& state);
    /// Call when a command is acknowledged. `acknowledged_before` is the value of
    /// highest_acknowledged() when the command was proposed.
    void check_acknowledged(const applied_command& command, log_index acknowledged_before);
    /// Call for each leader seen: a term has at most one.
    void check_term_leader(term_number term, replica_id leader);
    /// Checks that `state` contains every acknowledged command at its index.
    void check_complete(std::size_t host, const std::vector<applied_command>& state);
    /// Counts a check, and records `violation` when `holds` is false.
    void expect(bool holds, std::string_view violation);

    [[nodiscard]] log_index highest_acknowledged() const
    {
        return this->highest_acknowledged_index;
    }
    [[nodiscard]] std::size_t acknowledged_count() const { return this->acknowledged.size(); }
    [[nodiscard]] std::uint64_t checks() const { return this->check_count; }
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return this->found_violations;
    }

private:
    /// The commands that any replica has applied, by index.
    std::map<log_index, std::string> applied_sequence;
    std::map<log_index, std::string> acknowledged;
    std::map<term_number, replica_id> term_leaders;
    log_index highest_acknowledged_index;
    std::uint64_t check_count = 0;
    std::vector<std::string> found_violations;
};

} // namespace redwingwheel::replication::testing
