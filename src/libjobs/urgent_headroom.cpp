#include "urgent_headroom.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace redwingwheel::jobs {

namespace {

/// A rack whose workers can get new runs, with sums over them.
struct usable_rack {
    std::string_view name;
    std::int64_t accelerators = 0;
    std::int64_t ordinary_use = 0;
    int pace_sum = 0;
    std::vector<std::size_t> workers;
};

std::vector<usable_rack> usable_racks(std::span<const headroom_worker> workers)
{
    std::map<std::string_view, usable_rack> by_name;
    for (std::size_t each = 0; each < workers.size(); ++each) {
        const headroom_worker& worker = workers[each];
        if (!worker.usable) {
            continue;
        }
        usable_rack& rack = by_name[worker.rack];
        rack.name = worker.rack;
        rack.accelerators += worker.accelerators;
        rack.ordinary_use += worker.ordinary_use;
        rack.pace_sum += worker.pace_class;
        rack.workers.push_back(each);
    }
    std::vector<usable_rack> found;
    for (auto& [name, rack] : by_name) {
        found.push_back(std::move(rack));
    }
    return found;
}

} // namespace

urgent_headroom::urgent_headroom(const headroom_options& chosen) : options(chosen) {}

void urgent_headroom::reset()
{
    this->peak = 0.0;
    this->racks.clear();
}

std::vector<std::size_t> urgent_headroom::choose(std::span<const headroom_worker> workers,
                                                 std::int64_t waiting, std::int64_t running,
                                                 steady_time now)
{
    this->update_peak(waiting + running, now);
    std::vector<usable_rack> usable = usable_racks(workers);
    std::int64_t total = 0;
    std::int64_t used = 0;
    for (const headroom_worker& each : workers) {
        total += each.usable ? each.accelerators : 0;
        used += each.usable ? each.ordinary_use + each.urgent_use : 0;
    }
    const double limit = this->options.max_share * static_cast<double>(total);
    if (limit <= 0.0 ||
        static_cast<double>(used + waiting) < this->options.min_use * static_cast<double>(total)) {
        return {};
    }
    std::sort(usable.begin(), usable.end(),
              [this](const usable_rack& left, const usable_rack& right) {
                  const auto order = [this](const usable_rack& of) {
                      return std::make_tuple(!this->racks.contains(of.name), of.pace_sum,
                                             of.ordinary_use);
                  };
                  return order(left) < order(right);
              });
    // A demand that has faded below one accelerator is none.
    const double target = this->peak < 1.0 ? 0.0 : std::min(this->peak, limit);
    std::vector<std::size_t> chosen;
    std::set<std::string, std::less<>> chosen_racks;
    std::int64_t kept = 0;
    for (const usable_rack& rack : usable) {
        if (static_cast<double>(kept) >= target ||
            static_cast<double>(kept + rack.accelerators) > limit) {
            break;
        }
        kept += rack.accelerators;
        chosen_racks.emplace(rack.name);
        chosen.insert(chosen.end(), rack.workers.begin(), rack.workers.end());
    }
    this->racks = std::move(chosen_racks);
    return chosen;
}

void urgent_headroom::update_peak(std::int64_t demand, steady_time now)
{
    const std::chrono::duration<double> passed = now - this->peak_updated_at;
    const std::chrono::duration<double> half_life = this->options.peak_half_life;
    this->peak_updated_at = now;
    this->peak = std::max(static_cast<double>(demand),
                          this->peak * std::exp2(-passed.count() / half_life.count()));
}

} // namespace redwingwheel::jobs
