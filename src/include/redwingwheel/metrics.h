#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

/// Counters, gauges and distributions, rendered in the Prometheus text exposition format.
/// Boost.Accumulators estimates the quantiles of distributions.
namespace redwingwheel::metrics {

/// Holds the metrics of a process. Thread-safe.
class registry {
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// Increments a counter; a new one starts at 0. `labels` is empty or of the form
    /// `name="value",name="value"`.
    void add(std::string_view name, std::string_view labels = "", std::uint64_t amount = 1);

    /// Sets the value of a gauge.
    void set(std::string_view name, std::string_view labels, double value);

    /// Adds a sample to a distribution. The unit of `value` is the suffix of `name`, such as `_ms`.
    void observe(std::string_view name, std::string_view labels, double value);

    /// Returns all metrics in the exposition format. Distributions become summaries with the
    /// quantiles 0.5, 0.9 and 0.99.
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
