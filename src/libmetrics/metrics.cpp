// GCC 12 reports a member of Boost.Accumulators as maybe uninitialized when it is copied in place.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include "redwingwheel/metrics.h"

#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace redwingwheel::metrics {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

/// Returns `name{labels}`, or `name` when there are no labels.
std::string series_text(std::string_view name, std::string_view labels)
{
    return labels.empty() ? std::string(name) : fmt::format("{}{{{}}}", name, labels);
}

} // namespace

class registry::distribution {
public:
    distribution() : samples(accumulators::extended_p_square_probabilities = quantiles) {}

    void add(double value) { this->samples(value); }

    void render(std::string& page, const series_key& key) const
    {
        const std::string separator = key.labels.empty() ? "" : ",";
        for (const double quantile : quantiles) {
            const double value = accumulators::quantile(
                this->samples, accumulators::quantile_probability = quantile);
            page += fmt::format("{} {}\n",
                                series_text(key.name, fmt::format("{}{}quantile=\"{}\"", key.labels,
                                                                  separator, quantile)),
                                value);
        }
        page += fmt::format("{} {}\n", series_text(key.name + "_sum", key.labels),
                            accumulators::sum(this->samples));
        page += fmt::format("{} {}\n", series_text(key.name + "_count", key.labels),
                            accumulators::count(this->samples));
    }

private:
    accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                    accumulators::tag::extended_p_square_quantile>>
        samples;
};

registry::registry() = default;
registry::~registry() = default;

void registry::add(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->counters[{std::string(name), std::string(labels)}] += amount;
}

void registry::set(std::string_view name, std::string_view labels, double value)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->gauges[{std::string(name), std::string(labels)}] = value;
}

void registry::observe(std::string_view name, std::string_view labels, double value)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    std::unique_ptr<distribution>& found =
        this->distributions[{std::string(name), std::string(labels)}];
    if (found == nullptr) {
        found = std::make_unique<distribution>();
    }
    found->add(value);
}

std::string registry::render() const
{
    const std::lock_guard<std::mutex> guard(this->lock);
    std::string page;
    std::string previous_name;
    const auto append_type_line = [&page, &previous_name](const std::string& name,
                                                          std::string_view type) {
        if (name != previous_name) {
            page += fmt::format("# TYPE {} {}\n", name, type);
            previous_name = name;
        }
    };
    for (const auto& [key, value] : this->counters) {
        append_type_line(key.name, "counter");
        page += fmt::format("{} {}\n", series_text(key.name, key.labels), value);
    }
    for (const auto& [key, value] : this->gauges) {
        append_type_line(key.name, "gauge");
        page += fmt::format("{} {}\n", series_text(key.name, key.labels), value);
    }
    for (const auto& [key, value] : this->distributions) {
        append_type_line(key.name, "summary");
        value->render(page, key);
    }
    return page;
}

} // namespace redwingwheel::metrics
