#include "redwingwheel/worker_table.h"

#include <algorithm>
#include <utility>

namespace redwingwheel::membership {

namespace {

/// Former incarnations kept per worker to recognise their delayed polls.
constexpr std::size_t max_former_incarnations = 8;

} // namespace

worker_table::worker_table(clock_function clock_source, permit_options chosen_options)
    : clock(std::move(clock_source)), options(chosen_options)
{
}

void worker_table::add(std::string_view worker)
{
    const auto [found, added] = this->workers.try_emplace(std::string(worker));
    if (added) {
        found->second.view.worker = worker;
        found->second.view.last_poll = this->clock();
    }
}

void worker_table::remove(std::string_view worker)
{
    const auto found = this->workers.find(worker);
    if (found != this->workers.end()) {
        this->workers.erase(found);
    }
}

poll_result worker_table::record_poll(std::string_view worker, std::uint64_t incarnation,
                                      std::uint64_t sequence)
{
    this->add(worker);
    worker_state& known = this->workers.find(worker)->second;
    poll_result result;
    if (known.view.incarnation != incarnation) {
        if (!accept_incarnation(known, incarnation, sequence)) {
            return result;
        }
        result.new_incarnation = true;
    }
    else if (sequence <= known.view.sequence) {
        return result;
    }
    result.accepted = true;
    result.returned = known.view.lost;
    known.view.incarnation = incarnation;
    known.view.sequence = sequence;
    known.view.last_poll = this->clock();
    known.view.lost = false;
    return result;
}

bool worker_table::accept_incarnation(worker_state& known, std::uint64_t incarnation,
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
    if (known.former.size() > max_former_incarnations) {
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
