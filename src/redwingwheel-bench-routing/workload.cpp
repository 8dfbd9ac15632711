#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace redwingwheel::bench_routing {

namespace {

constexpr double pi = 3.14159265358979323846;
/// Spread of run times: the logarithm's standard deviation.
constexpr double run_sigma = 0.7;
/// Largest factor by which a declared run time is off.
constexpr double declared_factor = 4.0;
/// Shares of the four accounts in the arrivals, summed up: one large, one small.
constexpr std::array<double, 4> account_bounds{0.4, 0.7, 0.9, 1.0};

/// Random numbers by formulas of our own: those of the standard library differ between versions.
class draws {
public:
    explicit draws(std::uint64_t seed) : engine(seed) {}
    /// Uniform in (0, 1).
    double uniform()
    {
        return (static_cast<double>(this->engine() >> 11) + 0.5) / 9007199254740992.0;
    }
    double exponential(double mean) { return -mean * std::log(this->uniform()); }
    double normal()
    {
        const double radius = std::sqrt(-2.0 * std::log(this->uniform()));
        return radius * std::cos(2.0 * pi * this->uniform());
    }
    /// Log-normal with mean `mean`.
    double run_time(double mean)
    {
        return mean * std::exp(run_sigma * this->normal() - run_sigma * run_sigma / 2.0);
    }

private:
    std::mt19937_64 engine;
};

arrival draw_arrival(draws& random, request_class priority, double at_ms, std::uint32_t entries)
{
    const class_profile& profile = profiles[static_cast<std::size_t>(priority)];
    arrival made;
    made.at_ms = at_ms;
    made.priority = priority;
    made.run_ms = random.run_time(profile.mean_ms);
    made.declared_ms = made.run_ms * std::pow(declared_factor, 2.0 * random.uniform() - 1.0);
    const double account = random.uniform();
    made.account = static_cast<std::uint32_t>(
        std::lower_bound(account_bounds.begin(), account_bounds.end(), account) -
        account_bounds.begin());
    made.entry = static_cast<std::uint32_t>(random.uniform() * entries);
    return made;
}

} // namespace

std::vector<arrival> make_arrivals(std::uint64_t seed, double seconds, double load,
                                   std::uint32_t slots, std::uint32_t entries)
{
    std::vector<arrival> made;
    for (std::size_t index = 0; index < class_count; ++index) {
        // Each class has a sequence of its own, so that a change to one leaves the others alone.
        draws random(seed * class_count + index);
        const class_profile& profile = profiles[index];
        const double gap_ms = profile.mean_ms / (load * slots * profile.work_share);
        double at_ms = random.exponential(gap_ms);
        while (at_ms < seconds * 1'000.0) {
            made.push_back(draw_arrival(random, static_cast<request_class>(index), at_ms, entries));
            at_ms += random.exponential(gap_ms);
        }
    }
    std::stable_sort(made.begin(), made.end(), [](const arrival& left, const arrival& right) {
        return left.at_ms < right.at_ms;
    });
    return made;
}

} // namespace redwingwheel::bench_routing
