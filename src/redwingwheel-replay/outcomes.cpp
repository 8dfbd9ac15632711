#include "outcomes.h"

#include <algorithm>
#include <functional>

#include <fmt/format.h>

namespace redwingwheel::replay {

namespace {

time_summary summarize(std::vector<double> values)
{
    time_summary found;
    found.jobs = values.size();
    if (values.empty()) {
        return found;
    }
    std::sort(values.begin(), values.end());
    for (const double value : values) {
        found.mean_ms += value / static_cast<double>(values.size());
    }
    const std::size_t rank = (values.size() * 99 + 99) / 100;
    found.p99_ms = values[rank - 1];
    return found;
}

time_summary times_of(const replay_result& result, std::string_view job_class,
                      const std::function<std::optional<milliseconds>(const job_result&)>& end_of)
{
    std::vector<double> values;
    for (const auto& [id, job] : result.jobs) {
        if (job.job_class == job_class && !job.refused && !job.cancelled) {
            const milliseconds end = end_of(job).value_or(result.end);
            values.push_back(static_cast<double>((end - job.arrived).count()));
        }
    }
    return summarize(std::move(values));
}

milliseconds overlap(milliseconds from, milliseconds to, milliseconds low, milliseconds high)
{
    return std::max(milliseconds(0), std::min(to, high) - std::max(from, low));
}

std::string seconds_of(milliseconds at)
{
    return fmt::format("{}.{:03} s", at.count() / 1000, at.count() % 1000);
}

/// Jobs with this name, or of the series with this name.
std::vector<const job_result*> named(const replay_result& result, const std::string& name)
{
    std::vector<const job_result*> found;
    for (const auto& [id, job] : result.jobs) {
        if (id == name || (id.size() == name.size() + 6 && id.starts_with(name + "-"))) {
            found.push_back(&job);
        }
    }
    return found;
}

outcome judge_time(const replay_result& result, const expectation& wanted)
{
    outcome verdict{wanted.line, wanted.kind, true, "no such job arrived"};
    const bool start = wanted.kind == "starts_by";
    std::optional<milliseconds> latest = milliseconds(0);
    const std::vector<const job_result*> jobs = named(result, wanted.job);
    for (const job_result* const job : jobs) {
        const std::optional<milliseconds> at = start ? job->first_started : job->finished;
        latest = at.has_value() && latest.has_value() ? std::max(latest, at) : std::nullopt;
    }
    verdict.met = !jobs.empty() && latest.has_value() && *latest <= *wanted.by;
    if (!jobs.empty()) {
        verdict.found = latest.has_value() ? seconds_of(*latest) : "not within the trace";
    }
    return verdict;
}

outcome judge_fate(const replay_result& result, const expectation& wanted)
{
    const std::vector<const job_result*> jobs = named(result, wanted.job);
    const auto started = std::count_if(jobs.begin(), jobs.end(), [](const job_result* job) {
        return job->first_started.has_value();
    });
    const auto refused =
        std::count_if(jobs.begin(), jobs.end(), [](const job_result* job) { return job->refused; });
    const bool met = wanted.kind == "refused"
                         ? refused == static_cast<std::ptrdiff_t>(jobs.size()) && !jobs.empty()
                         : started == 0;
    return {wanted.line, wanted.kind, met,
            fmt::format("{} of {} started, {} refused", started, jobs.size(), refused)};
}

outcome judge_limits(const expectation& wanted, const time_summary& found)
{
    const bool met =
        found.jobs > 0 &&
        (!wanted.mean.has_value() || found.mean_ms <= static_cast<double>(wanted.mean->count())) &&
        (!wanted.p99.has_value() || found.p99_ms <= static_cast<double>(wanted.p99->count()));
    return {wanted.line, wanted.kind, met,
            fmt::format("{} jobs, mean {:.0f} ms, p99 {:.0f} ms", found.jobs, found.mean_ms,
                        found.p99_ms)};
}

outcome judge_counts(const replay_result& result, const expectation& wanted)
{
    if (wanted.kind == "whole_gangs") {
        return {wanted.line, wanted.kind, result.split_gangs == 0 && result.overlaps == 0,
                fmt::format("{} split gangs, {} accelerators held twice", result.split_gangs,
                            result.overlaps)};
    }
    if (wanted.kind == "at_most_once") {
        std::uint32_t reruns = 0;
        for (const auto& [id, job] : result.jobs) {
            reruns += job.idempotent ? 0 : job.reruns;
        }
        return {wanted.line, wanted.kind, reruns == 0,
                fmt::format("{} second runs of non-idempotent jobs", reruns)};
    }
    if (wanted.kind == "reclaim") {
        std::size_t late = 0;
        for (const auto& [id, job] : result.jobs) {
            const bool open = job.reclaimed_at.has_value() && !job.reclaim_time.has_value() &&
                              !job.cancelled && !job.refused;
            late += (job.reclaim_time.has_value() && *job.reclaim_time > *wanted.bound) ||
                            (open && result.end - *job.reclaimed_at > *wanted.bound)
                        ? 1
                        : 0;
        }
        const time_summary found = reclaim_of(result);
        return {wanted.line, wanted.kind, late == 0,
                fmt::format("{} reclaims, p99 {:.0f} ms, {} late", found.jobs, found.p99_ms, late)};
    }
    const guarantee_count found = guarantees_of(result, *wanted.bound);
    return {wanted.line, wanted.kind, found.missed == 0,
            fmt::format("{} of {} missed", found.missed, found.entitled)};
}

outcome judge_place(const replay_result& result, const expectation& wanted)
{
    if (wanted.kind == "nothing_starts_in") {
        const auto count = std::count_if(
            result.starts.begin(), result.starts.end(), [&wanted](const placed_start& start) {
                return start.data_centre == wanted.name && start.at >= *wanted.from &&
                       start.at < *wanted.to;
            });
        return {wanted.line, wanted.kind, count == 0, fmt::format("{} starts", count)};
    }
    if (wanted.kind == "guarantee_whole") {
        bool whole = false;
        for (const guarantee_sample& one : result.guarantees) {
            if (one.agreement == wanted.name && one.at <= *wanted.by) {
                whole = one.whole;
            }
        }
        return {wanted.line, wanted.kind, whole, whole ? "whole" : "not whole"};
    }
    const bool quarantined = result.quarantined.contains(wanted.name);
    return {wanted.line, wanted.kind, quarantined == (wanted.kind == "quarantined"),
            quarantined ? "quarantined" : "not quarantined"};
}

outcome judge_one(const replay_result& result, const expectation& wanted)
{
    if (wanted.kind == "starts_by" || wanted.kind == "finishes_by") {
        return judge_time(result, wanted);
    }
    if (wanted.kind == "never_starts" || wanted.kind == "refused") {
        return judge_fate(result, wanted);
    }
    if (wanted.kind == "completion") {
        return judge_limits(wanted, completion_of(result, wanted.job_class));
    }
    if (wanted.kind == "wait") {
        return judge_limits(wanted, wait_of(result, wanted.job_class));
    }
    if (wanted.kind == "fragmentation") {
        const double found = fragmentation_of(result);
        return {wanted.line, wanted.kind, found <= *wanted.share, fmt::format("{:.3f}", found)};
    }
    if (wanted.kind == "useful_work") {
        const double found = useful_share(result, *wanted.from, *wanted.to);
        return {wanted.line, wanted.kind, found >= *wanted.share, fmt::format("{:.3f}", found)};
    }
    if (wanted.kind == "nothing_starts_in" || wanted.kind == "guarantee_whole" ||
        wanted.kind == "quarantined" || wanted.kind == "not_quarantined") {
        return judge_place(result, wanted);
    }
    return judge_counts(result, wanted);
}

} // namespace

std::vector<outcome> judge(const trace& source, const replay_result& result)
{
    std::vector<outcome> verdicts;
    for (const expectation& wanted : source.expectations) {
        verdicts.push_back(judge_one(result, wanted));
    }
    return verdicts;
}

time_summary completion_of(const replay_result& result, std::string_view job_class)
{
    return times_of(result, job_class, [](const job_result& job) { return job.finished; });
}

time_summary wait_of(const replay_result& result, std::string_view job_class)
{
    return times_of(result, job_class, [](const job_result& job) { return job.first_started; });
}

double fragmentation_of(const replay_result& result)
{
    double broken = 0;
    double time = 0;
    for (std::size_t index = 0; index < result.load.size(); ++index) {
        const load_sample& one = result.load[index];
        const milliseconds until =
            index + 1 < result.load.size() ? result.load[index + 1].at : result.end;
        if (one.free > 0) {
            const double span = static_cast<double>((until - one.at).count());
            time += span;
            broken += span * (1 - static_cast<double>(one.free_in_whole_hosts) / one.free);
        }
    }
    return time > 0 ? broken / time : 0;
}

double useful_share(const replay_result& result, milliseconds from, milliseconds to)
{
    double possible = 0;
    double done = 0;
    for (std::size_t index = 0; index < result.load.size(); ++index) {
        const load_sample& one = result.load[index];
        const milliseconds until =
            index + 1 < result.load.size() ? result.load[index + 1].at : result.end;
        const double span = static_cast<double>(overlap(one.at, until, from, to).count());
        possible += span * std::min(one.capacity, one.demand);
        done += span * one.used;
    }
    for (const work_segment& one : result.work) {
        if (!one.kept) {
            done -=
                static_cast<double>(overlap(one.from, one.to, from, to).count()) * one.accelerators;
        }
    }
    return possible > 0 ? done / possible : 1;
}

guarantee_count guarantees_of(const replay_result& result, milliseconds bound)
{
    guarantee_count found;
    for (const auto& [id, job] : result.jobs) {
        if (job.entitled && !job.cancelled) {
            ++found.entitled;
            const milliseconds start = job.first_started.value_or(result.end + bound);
            found.missed += start - job.arrived > bound ? 1 : 0;
        }
    }
    return found;
}

time_summary reclaim_of(const replay_result& result)
{
    std::vector<double> values;
    for (const auto& [id, job] : result.jobs) {
        if (job.reclaim_time.has_value()) {
            values.push_back(static_cast<double>(job.reclaim_time->count()));
        }
    }
    return summarize(std::move(values));
}

} // namespace redwingwheel::replay
