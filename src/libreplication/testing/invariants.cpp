#include "invariants.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::replication::testing {

void invariants::expect(bool holds, std::string_view violation)
{
    ++this->check_count;
    if (!holds) {
        this->found_violations.emplace_back(violation);
    }
}

void invariants::check_apply(std::size_t host, const std::vector<applied_command>& before,
                             const applied_command& next)
{
    const auto next_applied = this->applied_sequence.lower_bound(next.index);
    const log_index previous = next_applied == this->applied_sequence.begin()
                                   ? log_index()
                                   : std::prev(next_applied)->first;
    const log_index host_previous = before.empty() ? log_index() : before.back().index;
    this->expect(previous == host_previous,
                 fmt::format("host {} applied index {} after index {}, other hosts after index {}",
                             host, next.index.value, host_previous.value, previous.value));
    if (next_applied == this->applied_sequence.end()) {
        this->applied_sequence.emplace(next.index, next.command);
        return;
    }
    this->expect(next_applied->first == next.index && next_applied->second == next.command,
                 fmt::format("host {} applied {} at index {}, other hosts {} at index {}", host,
                             next.command, next.index.value, next_applied->second,
                             next_applied->first.value));
}

void invariants::check_restore(std::size_t host, const std::vector<applied_command>& state)
{
    bool same = state.size() <= this->applied_sequence.size();
    auto next = this->applied_sequence.begin();
    for (std::size_t position = 0; same && position < state.size(); ++position, ++next) {
        same = next->first == state[position].index && next->second == state[position].command;
    }
    this->expect(same, fmt::format("host {} restored a state that no host applied", host));
}

void invariants::check_acknowledged(const applied_command& command, log_index acknowledged_before)
{
    this->expect(
        command.index > acknowledged_before,
        fmt::format("{} acknowledged at index {}, not after index {} that was acknowledged earlier",
                    command.command, command.index.value, acknowledged_before.value));
    const auto applied = this->applied_sequence.find(command.index);
    this->expect(applied != this->applied_sequence.end() && applied->second == command.command,
                 fmt::format("{} acknowledged at index {}, but not applied there", command.command,
                             command.index.value));
    this->acknowledged.emplace(command.index, command.command);
    this->highest_acknowledged_index = std::max(this->highest_acknowledged_index, command.index);
}

void invariants::check_term_leader(term_number term, replica_id leader)
{
    const auto [known, added] = this->term_leaders.emplace(term, leader);
    this->expect(known->second == leader, fmt::format("two leaders in term {}", term.value));
}

void invariants::check_complete(std::size_t host, const std::vector<applied_command>& state)
{
    for (const auto& [index, command] : this->acknowledged) {
        const bool present =
            std::binary_search(state.begin(), state.end(), applied_command{index, command},
                               [](const applied_command& left, const applied_command& right) {
                                   return left.index < right.index;
                               });
        this->expect(present, fmt::format("host {} lost acknowledged command {} at index {}", host,
                                          command, index.value));
    }
    this->check_restore(host, state);
}

} // namespace redwingwheel::replication::testing
