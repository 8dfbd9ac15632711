#include "invariants.h"

#include <algorithm>

#include <fmt/format.h>

namespace redwingwheel::replication::testing {

void invariants::expect(bool holds, std::string_view violation)
{
    ++this->check_count;
    if (!holds) {
        this->found.emplace_back(violation);
    }
}

void invariants::check_apply(std::size_t host, const std::vector<applied_command>& before,
                             const applied_command& next)
{
    const auto place = this->sequence.lower_bound(next.index);
    const log_index previous =
        place == this->sequence.begin() ? log_index() : std::prev(place)->first;
    const log_index own_previous = before.empty() ? log_index() : before.back().index;
    this->expect(previous == own_previous,
                 fmt::format("host {} applied index {} after {}, others after {}", host,
                             next.index.value, own_previous.value, previous.value));
    if (place == this->sequence.end()) {
        this->sequence.emplace(next.index, next.command);
        return;
    }
    this->expect(place->first == next.index && place->second == next.command,
                 fmt::format("host {} applied {} at {}, others {} at {}", host, next.command,
                             next.index.value, place->second, place->first.value));
}

void invariants::check_restore(std::size_t host, const std::vector<applied_command>& state)
{
    bool same = state.size() <= this->sequence.size();
    auto next = this->sequence.begin();
    for (std::size_t place = 0; same && place < state.size(); ++place, ++next) {
        same = next->first == state[place].index && next->second == state[place].command;
    }
    this->expect(same, fmt::format("host {} restored a state that nobody applied", host));
}

void invariants::check_acknowledged(const applied_command& command, log_index acknowledged_before)
{
    this->expect(command.index > acknowledged_before,
                 fmt::format("{} acknowledged at {}, before {} that was acknowledged earlier",
                             command.command, command.index.value, acknowledged_before.value));
    const auto applied = this->sequence.find(command.index);
    this->expect(applied != this->sequence.end() && applied->second == command.command,
                 fmt::format("{} acknowledged at {} and not applied there", command.command,
                             command.index.value));
    this->acknowledged.emplace(command.index, command.command);
    this->highest = std::max(this->highest, command.index);
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
        this->expect(present, fmt::format("host {} lost {} at {}", host, command, index.value));
    }
    this->check_restore(host, state);
}

} // namespace redwingwheel::replication::testing
