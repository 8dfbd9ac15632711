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

/// What must hold in every run, checked as events happen.
class invariants {
public:
    /// A host with state `before` applies the next command.
    void check_apply(std::size_t host, const std::vector<applied_command>& before,
                     const applied_command& next);
    /// A host takes over the state of a snapshot.
    void check_restore(std::size_t host, const std::vector<applied_command>& state);
    /// `acknowledged_before` is what highest_acknowledged() was when the command was proposed.
    void check_acknowledged(const applied_command& command, log_index acknowledged_before);
    void check_term_leader(term_number term, replica_id leader);
    /// Everything acknowledged is in `state`, in its place.
    void check_complete(std::size_t host, const std::vector<applied_command>& state);
    /// Counts a check; a false `holds` is a violation.
    void expect(bool holds, std::string_view violation);

    [[nodiscard]] log_index highest_acknowledged() const { return this->highest; }
    [[nodiscard]] std::size_t acknowledged_count() const { return this->acknowledged.size(); }
    [[nodiscard]] std::uint64_t checks() const { return this->check_count; }
    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found; }

private:
    /// The one sequence that all replicas apply.
    std::map<log_index, std::string> sequence;
    std::map<log_index, std::string> acknowledged;
    std::map<term_number, replica_id> term_leaders;
    log_index highest;
    std::uint64_t check_count = 0;
    std::vector<std::string> found;
};

} // namespace redwingwheel::replication::testing
