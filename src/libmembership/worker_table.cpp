#include "redwingwheel/worker_table.h"

#include <algorithm>
#include <utility>

namespace redwingwheel::membership {

namespace {

/// Restarts of one agent whose late polls are recognised.
constexpr std::size_t remembered_incarnations = 8;

} // namespace

worker_table::worker_table(clock_function clock_source, permit_options chosen_options)
    : clock(std::move(clock_source)), options(chosen_options)
{
}

void worker_table::expect(std::string_view worker)
{
    const auto [found, added] = this->workers.try_emplace(std::string(worker));
    if (added) {
        found->second.view.worker = worker;
        found->second.view.last_poll = this->clock();
    }
}

void worker_table::forget(std::string_view worker)
{
    const auto found = this->workers.find(worker);
    if (found != this->workers.end()) {
        this->workers.erase(found);
    }
}

poll_verdict worker_table::poll(std::string_view worker, std::uint64_t incarnation,
                                std::uint64_t sequence)
{
    this->expect(worker);
    entry& known = this->workers.find(worker)->second;
    poll_verdict verdict;
    if (known.view.incarnation != incarnation) {
        if (!change_incarnation(known, incarnation, sequence)) {
            return verdict;
        }
        verdict.new_incarnation = true;
    }
    else if (sequence <= known.view.sequence) {
        return verdict;
    }
    verdict.accepted = true;
    verdict.returned = known.view.lost;
    known.view.incarnation = incarnation;
    known.view.sequence = sequence;
    known.view.last_poll = this->clock();
    known.view.lost = false;
    return verdict;
}

/// False when the poll is a replay of a former incarnation's.
bool worker_table::change_incarnation(entry& known, std::uint64_t incarnation,
                                      std::uint64_t sequence)
{
    const auto found = std::find_if(
        known.former.begin(), known.former.end(),
        [incarnation](const former_incarnation& each) { return each.incarnation == incarnation; });
    if (found != known.former.end()) {
        if (sequence <= found->sequence) {
            return false;
        }
        known.former.erase(found);
    }
    if (known.view.incarnation != 0) {
        known.former.push_back({known.view.incarnation, known.view.sequence});
    }
    if (known.former.size() > remembered_incarnations) {
        known.former.erase(known.former.begin());
    }
    return true;
}

std::vector<std::string> worker_table::take_lost()
{
    std::vector<std::string> lost;
    const steady_time now = this->clock();
    for (auto& [name, known] : this->workers) {
        if (!known.view.lost && now - known.view.last_poll >= this->options.lifetime) {
            known.view.lost = true;
            lost.push_back(name);
        }
    }
    return lost;
}

std::vector<worker_view> worker_table::list() const
{
    std::vector<worker_view> views;
    views.reserve(this->workers.size());
    for (const auto& [name, known] : this->workers) {
        views.push_back(known.view);
    }
    return views;
}

const worker_view* worker_table::find(std::string_view worker) const
{
    const auto found = this->workers.find(worker);
    return found == this->workers.end() ? nullptr : &found->second.view;
}

} // namespace redwingwheel::membership
