#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

/// Counters, gauges and distributions, shown in the text exposition format that monitoring systems
/// scrape. Distributions are estimated by Boost.Accumulators.
namespace redwingwheel::metrics {

/// May be used from any thread.
class registry {
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// Adds to a counter. `labels` is empty or of the form `name="value",name="value"`.
    void add(std::string_view name, std::string_view labels = "", std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, std::string_view labels, double value);

    /// Adds a sample to a distribution, in the unit that the name ends with.
    void observe(std::string_view name, std::string_view labels, double value);

    /// The page. Distributions appear as summaries with the quantiles 0.5, 0.9 and 0.99.
    [[nodiscard]] std::string render() const;

private:
    struct series_key {
        std::string name;
        std::string labels;
        [[nodiscard]] bool operator<(const series_key& other) const
        {
            return std::tie(this->name, this->labels) < std::tie(other.name, other.labels);
        }
    };
    class distribution;

    mutable std::mutex lock;
    std::map<series_key, std::uint64_t> counters;
    std::map<series_key, double> gauges;
    std::map<series_key, std::unique_ptr<distribution>> distributions;
};

} // namespace redwingwheel::metrics
