#include "redwingwheel/fencing_tokens.h"

#include <algorithm>

namespace redwingwheel::jobs {

namespace {

/// A token is the leader's term and, in these low bits, an ordinal number within the term.
constexpr std::uint32_t ordinal_bits = 20;
constexpr std::uint64_t max_ordinal = (std::uint64_t{1} << ordinal_bits) - 1;
/// Incarnations of one worker for which a process of its supervisor keeps its tokens.
constexpr std::size_t max_incarnations = 16;

} // namespace

void fencing_tokens::begin_term(std::uint64_t new_term)
{
    this->term = new_term;
    this->by_supervisor.clear();
}

std::uint64_t fencing_tokens::issue(std::string_view supervisor, std::uint64_t process,
                                    const worker_incarnation& worker)
{
    issued_tokens& issued = this->by_supervisor.try_emplace(std::string(supervisor)).first->second;
    if (issued.process != process) {
        issued.process = process;
        issued.by_incarnation.clear();
    }
    const auto known = issued.by_incarnation.find(worker);
    const std::uint64_t highest = (this->term << ordinal_bits) | issued.last_ordinal;
    if (known != issued.by_incarnation.end() && known->second == highest) {
        return highest;
    }
    if (issued.by_incarnation.size() >= max_incarnations) {
        const auto oldest = std::min_element(
            issued.by_incarnation.begin(), issued.by_incarnation.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        issued.by_incarnation.erase(oldest);
    }
    issued.last_ordinal = std::min(issued.last_ordinal + 1, max_ordinal);
    const std::uint64_t token = (this->term << ordinal_bits) | issued.last_ordinal;
    issued.by_incarnation[worker] = token;
    return token;
}

bool fencing_tokens::accept_report(std::string_view supervisor, std::uint64_t process,
                                   std::uint64_t sequence, const worker_incarnation& worker,
                                   std::uint64_t token)
{
    const auto found = this->by_supervisor.find(supervisor);
    if (found == this->by_supervisor.end() || found->second.process != process) {
        return false;
    }
    issued_tokens& issued = found->second;
    const auto known = issued.by_incarnation.find(worker);
    if (known == issued.by_incarnation.end() || known->second != token ||
        token < issued.reported_token ||
        (token == issued.reported_token && sequence <= issued.reported_sequence)) {
        return false;
    }
    issued.reported_token = token;
    issued.reported_sequence = sequence;
    return true;
}

} // namespace redwingwheel::jobs
