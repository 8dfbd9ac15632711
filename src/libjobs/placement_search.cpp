#include "placement_search.h"

#include <cmath>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace redwingwheel::jobs {

namespace {

/// True when the runs on the worker use more than its capacity in any resource.
bool is_over_capacity(const worker_availability& worker)
{
    resources unused = worker.available;
    unused += worker.reserved;
    return !resources().fits_in(unused);
}

/// Number of tasks of `step` that can be added to `worker`. A worker that is over its capacity gets
/// none, whatever they need.
std::uint32_t tasks_that_fit(const step_definition& step, const worker_availability& worker)
{
    if (is_over_capacity(worker)) {
        return 0;
    }
    const resources& available = worker.available;
    const resources need = counted_resources(step);
    std::int64_t count = std::numeric_limits<std::uint32_t>::max();
    const auto limit = [&count](std::int64_t available_amount, std::int64_t needed) {
        if (needed > 0) {
            count = std::min(count, std::max<std::int64_t>(0, available_amount) / needed);
        }
    };
    limit(available.cpu_millis, need.cpu_millis);
    limit(available.memory_mb, need.memory_mb);
    limit(available.accelerators, need.accelerators);
    if (step.per_worker_limit > 0) {
        const std::uint32_t left = step.per_worker_limit > worker.tasks_of_step
                                       ? step.per_worker_limit - worker.tasks_of_step
                                       : 0;
        count = std::min<std::int64_t>(count, left);
    }
    if (worker.max_new_tasks.has_value()) {
        count = std::min<std::int64_t>(count, *worker.max_new_tasks);
    }
    return static_cast<std::uint32_t>(count);
}

/// Best-fit placement: fills one worker after the other, healthy workers before suspect ones, then
/// those of the preferred pace, and those with the fewest available resources first, so that whole
/// workers stay free for large tasks.
std::vector<std::size_t> fill_workers(const placement_request& request, std::uint32_t tasks,
                                      std::span<const worker_availability> workers,
                                      const std::vector<std::size_t>& candidates)
{
    std::vector<std::size_t> order = candidates;
    const bool headroom_first = request.prefer_headroom;
    const int sign = request.pace == pace_preference::fast ? 1 : -1;
    std::stable_sort(order.begin(), order.end(),
                     [workers, sign, headroom_first](std::size_t left, std::size_t right) {
                         const worker_availability& a = workers[left];
                         const worker_availability& b = workers[right];
                         if (a.suspect != b.suspect) {
                             return b.suspect;
                         }
                         if (headroom_first && a.in_headroom != b.in_headroom) {
                             return a.in_headroom;
                         }
                         if (a.pace_class != b.pace_class) {
                             return sign * a.pace_class < sign * b.pace_class;
                         }
                         if (a.available.accelerators != b.available.accelerators) {
                             return a.available.accelerators < b.available.accelerators;
                         }
                         return a.available.cpu_millis < b.available.cpu_millis;
                     });
    std::vector<std::size_t> worker_indices;
    for (const std::size_t each : order) {
        std::uint32_t fitting = tasks_that_fit(*request.step, workers[each]);
        while (fitting > 0 && worker_indices.size() < tasks) {
            worker_indices.push_back(each);
            --fitting;
        }
    }
    return worker_indices;
}

std::vector<std::size_t> eligible_workers(std::span<const worker_availability> workers,
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

std::int64_t free_accelerators(std::span<const worker_availability> workers,
                               const std::vector<std::size_t>& candidates)
{
    return std::accumulate(candidates.begin(), candidates.end(), std::int64_t{0},
                           [workers](std::int64_t sum, std::size_t each) {
                               return sum + std::max<std::int64_t>(
                                                0, workers[each].available.accelerators);
                           });
}

std::size_t count_suspects(std::span<const worker_availability> workers,
                           const std::vector<std::size_t>& worker_indices)
{
    return static_cast<std::size_t>(
        std::count_if(worker_indices.begin(), worker_indices.end(),
                      [workers](std::size_t each) { return workers[each].suspect; }));
}

/// A gang is as slow as its slowest member.
int slowest_pace(std::span<const worker_availability> workers,
                 const std::vector<std::size_t>& worker_indices)
{
    int slowest = std::numeric_limits<int>::min();
    for (const std::size_t each : worker_indices) {
        slowest = std::max(slowest, workers[each].pace_class);
    }
    return slowest;
}

/// Places the whole gang in the rack with the fastest workers, then the fewest free accelerators.
/// Avoids suspect workers and racks without the step's data.
std::vector<std::size_t> fill_one_rack(const placement_request& request,
                                       std::span<const worker_availability> workers)
{
    std::set<std::string> racks;
    for (const worker_availability& each : workers) {
        racks.insert(each.rack);
    }
    std::vector<std::size_t> best;
    std::tuple<std::size_t, int, std::int64_t> best_score;
    for (const std::string& rack : racks) {
        const std::vector<std::size_t> candidates = eligible_workers(workers, &rack);
        std::vector<std::size_t> worker_indices =
            fill_workers(request, request.tasks, workers, candidates);
        if (worker_indices.size() < request.tasks) {
            continue;
        }
        const bool is_remote = !request.step->data_rack.empty() && rack != request.step->data_rack;
        const std::tuple<std::size_t, int, std::int64_t> score(
            count_suspects(workers, worker_indices) + (is_remote ? workers.size() : 0),
            slowest_pace(workers, worker_indices),
            request.prefer_headroom && workers[candidates.front()].in_headroom
                ? -1
                : free_accelerators(workers, candidates));
        if (best.empty() || score < best_score) {
            best = std::move(worker_indices);
            best_score = score;
        }
    }
    return best;
}

std::vector<std::size_t> fill_near_data(const placement_request& request,
                                        std::span<const worker_availability> workers)
{
    const step_definition& step = *request.step;
    std::vector<std::size_t> worker_indices =
        fill_workers(request, request.tasks, workers, eligible_workers(workers, &step.data_rack));
    if (worker_indices.size() < request.tasks && request.allow_remote_data) {
        std::vector<std::size_t> remote_workers;
        for (const std::size_t each : eligible_workers(workers, nullptr)) {
            if (workers[each].rack != step.data_rack) {
                remote_workers.push_back(each);
            }
        }
        const std::vector<std::size_t> rest =
            fill_workers(request, request.tasks - static_cast<std::uint32_t>(worker_indices.size()),
                         workers, remote_workers);
        worker_indices.insert(worker_indices.end(), rest.begin(), rest.end());
    }
    return worker_indices;
}

} // namespace

int pace_class_of(double slowdown)
{
    constexpr double classes_per_octave = 4.0;
    return static_cast<int>(std::lround(classes_per_octave * std::log2(slowdown)));
}

resources counted_resources(const step_definition& step)
{
    resources counted = step.per_task;
    if (step.best_effort_cpu) {
        counted.cpu_millis = 0;
    }
    return counted;
}

std::vector<std::size_t> find_placement(const placement_request& request,
                                        std::span<const worker_availability> workers)
{
    const step_definition& step = *request.step;
    std::vector<std::size_t> worker_indices;
    if (step.gang && step.same_rack && !request.allow_any_rack) {
        worker_indices = fill_one_rack(request, workers);
    }
    else if (!step.data_rack.empty()) {
        worker_indices = fill_near_data(request, workers);
    }
    else {
        worker_indices =
            fill_workers(request, request.tasks, workers, eligible_workers(workers, nullptr));
    }
    if (step.gang && worker_indices.size() < request.tasks) {
        worker_indices.clear();
    }
    return worker_indices;
}

bool fits_when_empty(const placement_request& request, std::span<const worker_availability> workers)
{
    std::vector<worker_availability> empty(workers.begin(), workers.end());
    for (worker_availability& each : empty) {
        each.available = each.capacity;
        each.reserved = resources();
        each.tasks_of_step = 0;
        each.max_new_tasks.reset();
    }
    return find_placement(request, empty).size() >= request.tasks;
}

} // namespace redwingwheel::jobs
