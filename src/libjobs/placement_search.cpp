#include "placement_search.h"

#include <limits>
#include <numeric>
#include <set>

namespace redwingwheel::jobs {

namespace {

/// How many tasks of `step` fit into `room`.
std::uint32_t tasks_that_fit(const step_definition& step, const resources& room,
                             std::uint32_t same_step)
{
    resources need = step.per_task;
    if (step.best_effort_cpu) {
        need.cpu_millis = 0;
    }
    std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    const auto limit = [&most](std::int64_t has, std::int64_t wants) {
        if (wants > 0) {
            most = std::min(most, std::max<std::int64_t>(0, has) / wants);
        }
    };
    limit(room.cpu_millis, need.cpu_millis);
    limit(room.memory_mb, need.memory_mb);
    limit(room.accelerators, need.accelerators);
    if (step.per_worker_limit > 0) {
        const std::uint32_t left =
            step.per_worker_limit > same_step ? step.per_worker_limit - same_step : 0;
        most = std::min<std::int64_t>(most, left);
    }
    return static_cast<std::uint32_t>(most);
}

/// Fills workers one after the other: sound ones first, and among these the fullest, so that
/// whole workers stay free for large tasks.
std::vector<std::size_t> fill(const step_definition& step, std::uint32_t tasks,
                              std::span<const worker_room> workers,
                              const std::vector<std::size_t>& among)
{
    std::vector<std::size_t> order = among;
    std::stable_sort(order.begin(), order.end(), [workers](std::size_t left, std::size_t right) {
        const worker_room& a = workers[left];
        const worker_room& b = workers[right];
        if (a.suspect != b.suspect) {
            return b.suspect;
        }
        if (a.room.accelerators != b.room.accelerators) {
            return a.room.accelerators < b.room.accelerators;
        }
        return a.room.cpu_millis < b.room.cpu_millis;
    });
    std::vector<std::size_t> places;
    for (const std::size_t each : order) {
        std::uint32_t fitting = tasks_that_fit(step, workers[each].room, workers[each].same_step);
        while (fitting > 0 && places.size() < tasks) {
            places.push_back(each);
            --fitting;
        }
    }
    return places;
}

std::vector<std::size_t> eligible_workers(std::span<const worker_room> workers,
                                          const std::string* rack)
{
    std::vector<std::size_t> found;
    for (std::size_t each = 0; each < workers.size(); ++each) {
        if (workers[each].eligible && (rack == nullptr || workers[each].rack == *rack)) {
            found.push_back(each);
        }
    }
    return found;
}

std::int64_t free_accelerators(std::span<const worker_room> workers,
                               const std::vector<std::size_t>& among)
{
    return std::accumulate(among.begin(), among.end(), std::int64_t{0},
                           [workers](std::int64_t sum, std::size_t each) {
                               return sum + workers[each].room.accelerators;
                           });
}

std::size_t count_suspects(std::span<const worker_room> workers,
                           const std::vector<std::size_t>& places)
{
    return static_cast<std::size_t>(
        std::count_if(places.begin(), places.end(),
                      [workers](std::size_t each) { return workers[each].suspect; }));
}

/// The rack that holds the whole gang and is left with the least room.
std::vector<std::size_t> fill_one_rack(const placement_request& request,
                                       std::span<const worker_room> workers)
{
    std::set<std::string> racks;
    for (const worker_room& each : workers) {
        racks.insert(each.rack);
    }
    std::vector<std::size_t> best;
    std::pair<std::size_t, std::int64_t> best_score;
    for (const std::string& rack : racks) {
        const std::vector<std::size_t> among = eligible_workers(workers, &rack);
        std::vector<std::size_t> places = fill(*request.step, request.tasks, workers, among);
        if (places.size() < request.tasks) {
            continue;
        }
        const bool away = !request.step->data_rack.empty() && rack != request.step->data_rack;
        const std::pair<std::size_t, std::int64_t> score(count_suspects(workers, places) +
                                                             (away ? workers.size() : 0),
                                                         free_accelerators(workers, among));
        if (best.empty() || score < best_score) {
            best = std::move(places);
            best_score = score;
        }
    }
    return best;
}

std::vector<std::size_t> fill_near_data(const placement_request& request,
                                        std::span<const worker_room> workers)
{
    const step_definition& step = *request.step;
    std::vector<std::size_t> places =
        fill(step, request.tasks, workers, eligible_workers(workers, &step.data_rack));
    if (places.size() < request.tasks && request.away_from_data) {
        std::vector<std::size_t> others;
        for (const std::size_t each : eligible_workers(workers, nullptr)) {
            if (workers[each].rack != step.data_rack) {
                others.push_back(each);
            }
        }
        const std::vector<std::size_t> rest =
            fill(step, request.tasks - static_cast<std::uint32_t>(places.size()), workers, others);
        places.insert(places.end(), rest.begin(), rest.end());
    }
    return places;
}

} // namespace

std::vector<std::size_t> find_places(const placement_request& request,
                                     std::span<const worker_room> workers)
{
    const step_definition& step = *request.step;
    std::vector<std::size_t> places;
    if (step.gang && step.same_rack && !request.any_rack) {
        places = fill_one_rack(request, workers);
    }
    else if (!step.data_rack.empty()) {
        places = fill_near_data(request, workers);
    }
    else {
        places = fill(step, request.tasks, workers, eligible_workers(workers, nullptr));
    }
    if (step.gang && places.size() < request.tasks) {
        places.clear();
    }
    return places;
}

bool fits_when_empty(const placement_request& request, std::span<const worker_room> workers)
{
    std::vector<worker_room> empty(workers.begin(), workers.end());
    for (worker_room& each : empty) {
        each.room = each.capacity;
        each.same_step = 0;
    }
    return find_places(request, empty).size() >= request.tasks;
}

} // namespace redwingwheel::jobs
