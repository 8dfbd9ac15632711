#include "redwingwheel/duration_model.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

#include <fmt/format.h>

#include "redwingwheel/job_model.h"

namespace redwingwheel::jobs {

namespace {

constexpr int fraction_bits = 10;
constexpr std::int64_t octave = std::int64_t{1} << fraction_bits;
/// A group follows a shift within about this many runs.
constexpr std::uint32_t group_memory = 32;
constexpr std::uint32_t host_memory = 24;
/// Until so many runs of a queue have ended, its predictions change too much to compare hosts by.
constexpr std::uint32_t runs_before_pace = 8;
constexpr std::uint32_t all_hosts_memory = 24;
/// A group with this many samples counts as much as the coarser one that it leans on.
constexpr double group_lean = 4.0;
/// Number of ordinary runs with which the pace of a host is averaged. Runs of one kind vary by
/// about a third, which a few samples cannot tell from a slow host.
constexpr std::int64_t host_lean = 3;
/// Without samples a declared duration is taken to be right within a factor of 1.6 in two of three
/// cases.
constexpr double initial_variance = 0.7 * octave * 0.7 * octave;
/// Two runs of a kind are never expected to agree better than this.
constexpr double least_variance = 0.1 * octave * 0.1 * octave;
/// Standard deviations above the mean within which nine in ten samples of a normal distribution
/// are.
constexpr double upper_deviations = 1.28;
/// Deployments have a few queues and hundreds of accounts; a host is a machine with a worker.
constexpr std::size_t max_groups = 4096;
constexpr std::size_t max_hosts = 16384;

/// Returns the binary logarithm in 1/1024 of an octave, by integer arithmetic alone.
std::int64_t fixed_log2(std::int64_t value)
{
    const std::uint64_t positive = static_cast<std::uint64_t>(std::max<std::int64_t>(value, 1));
    const int whole = std::bit_width(positive) - 1;
    constexpr int mantissa_bits = 31;
    std::uint64_t mantissa = whole > mantissa_bits ? positive >> (whole - mantissa_bits)
                                                   : positive << (mantissa_bits - whole);
    std::int64_t result = static_cast<std::int64_t>(whole) << fraction_bits;
    for (int bit = fraction_bits - 1; bit >= 0; --bit) {
        mantissa = (mantissa * mantissa) >> mantissa_bits;
        if ((mantissa >> (mantissa_bits + 1)) != 0) {
            mantissa >>= 1;
            result += std::int64_t{1} << bit;
        }
    }
    return result;
}

double milliseconds_of(double logarithm)
{
    return std::exp2(logarithm / static_cast<double>(octave));
}

/// Names of the groups of a run, the finest first.
std::array<std::string, 3> group_names(const run_kind& kind)
{
    const std::string shape = fmt::format(
        "{}{}",
        std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(kind.accelerators, 0))),
        kind.gang ? "g" : "");
    return {fmt::format("{}/{}/{}", kind.queue, shape, kind.account),
            fmt::format("{}/{}", kind.queue, shape), std::string(kind.queue)};
}

/// Removes the entry that has not changed for the longest time when there are too many.
template <class Map>
void limit_size(Map& entries, std::size_t max_entries)
{
    if (entries.size() > max_entries) {
        entries.erase(std::min_element(
            entries.begin(), entries.end(), [](const auto& left, const auto& right) {
                return left.second.last_change < right.second.last_change;
            }));
    }
}

} // namespace

run_kind kind_of(const step_definition& step, std::string_view queue, std::string_view account)
{
    return {queue, account, step.estimate_ms, step.per_task.accelerators, step.gang};
}

void running_mean::add(std::int64_t value, std::uint32_t memory)
{
    this->count = std::min(this->count + 1, memory);
    const std::int64_t deviation = value - this->mean;
    this->mean += deviation / static_cast<std::int64_t>(this->count);
    if (this->count > 1) {
        this->variance +=
            (deviation * deviation - this->variance) / static_cast<std::int64_t>(this->count);
    }
}

void duration_model::record(const run_kind& kind, std::int64_t took_ms,
                            const std::string& slowest_host, bool alone)
{
    ++this->changes;
    const std::int64_t took = fixed_log2(took_ms);
    const std::int64_t excess_before = this->host_excess(slowest_host);
    if (alone) {
        const auto group = this->groups.find(std::string(kind.queue));
        const bool known =
            group != this->groups.end() && group->second.took.count >= runs_before_pace;
        const std::int64_t expected = static_cast<std::int64_t>(this->estimate_of(kind).mean);
        host_pace& host = this->hosts[slowest_host];
        host.last_change = this->changes;
        if (known) {
            // Relative to all hosts: a change of the work is not the pace of any of them.
            this->all_hosts.add(took - expected, all_hosts_memory);
            host.excess.add(took - expected - this->all_hosts.mean, host_memory);
        }
        limit_size(this->hosts, max_hosts);
    }
    this->add_to_groups(kind, took - excess_before);
}

void duration_model::record_cut_short(const run_kind& kind, std::int64_t lasted_ms,
                                      const std::string& host)
{
    const std::int64_t lasted = fixed_log2(lasted_ms) - this->host_excess(host);
    if (static_cast<double>(lasted) > this->estimate_of(kind).mean) {
        ++this->changes;
        this->add_to_groups(kind, lasted);
    }
}

duration_prediction duration_model::predict(const run_kind& kind) const
{
    const estimate expected = this->estimate_of(kind);
    return {milliseconds_of(expected.mean),
            milliseconds_of(expected.mean + upper_deviations * std::sqrt(expected.variance))};
}

double duration_model::slowdown(const std::string& host) const
{
    return milliseconds_of(static_cast<double>(this->host_excess(host)));
}

/// The excess of a host, drawn towards 0 while it has few samples.
std::int64_t duration_model::host_excess(const std::string& host) const
{
    const auto found = this->hosts.find(host);
    if (found == this->hosts.end()) {
        return 0;
    }
    const running_mean& excess = found->second.excess;
    return excess.mean * excess.count / (static_cast<std::int64_t>(excess.count) + host_lean);
}

void duration_model::add_to_groups(const run_kind& kind, std::int64_t took)
{
    for (const std::string& name : group_names(kind)) {
        duration_group& group = this->groups[name];
        group.last_change = this->changes;
        group.took.add(took, group_memory);
        if (kind.declared_ms > 0) {
            group.error.add(took - fixed_log2(kind.declared_ms), group_memory);
        }
    }
    while (this->groups.size() > max_groups) {
        limit_size(this->groups, max_groups);
    }
}

/// Combines the mean of the group and the declared duration, corrected by its usual error, each
/// weighted by the inverse of its variance.
duration_model::estimate duration_model::estimate_of(const run_kind& kind) const
{
    const bool declared = kind.declared_ms > 0;
    const double declared_log =
        static_cast<double>(fixed_log2(std::max<std::int64_t>(kind.declared_ms, 1)));
    estimate took{declared_log, initial_variance};
    estimate error{0.0, initial_variance};
    bool known = false;
    const std::array<std::string, 3> names = group_names(kind);
    const auto lean = [](estimate& on, const running_mean& samples) {
        const double weight = samples.count / (samples.count + group_lean);
        on.mean += weight * (static_cast<double>(samples.mean) - on.mean);
        on.variance += weight * (static_cast<double>(samples.variance) - on.variance);
    };
    for (auto name = names.rbegin(); name != names.rend(); ++name) {
        const auto found = this->groups.find(*name);
        if (found == this->groups.end()) {
            continue;
        }
        if (!known) {
            took.mean = static_cast<double>(found->second.took.mean);
            known = true;
        }
        lean(took, found->second.took);
        lean(error, found->second.error);
    }
    if (!known) {
        return took;
    }
    took.variance = std::max(took.variance, least_variance);
    error.variance = std::max(error.variance, least_variance);
    if (!declared) {
        return took;
    }
    const double weight = took.variance / (took.variance + error.variance);
    return {weight * (declared_log + error.mean) + (1.0 - weight) * took.mean,
            std::min(took.variance, error.variance)};
}

} // namespace redwingwheel::jobs
