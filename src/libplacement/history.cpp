#include "history.h"

#include <algorithm>

namespace redwingwheel::placement {

namespace {

constexpr std::size_t max_samples = 32;
// With fewer samples, the ratio reflects single jobs rather than the service.
constexpr std::size_t min_samples = 3;
constexpr milliseconds default_run_time{60000};
constexpr milliseconds recent_failure_window{60000};
// Limits the memory used for a worker on which everything fails. The quarantine depends on the
// number of failed services, not of jobs.
constexpr std::size_t max_jobs_per_service = 16;

template <class Value>
Value median(const std::deque<Value>& values)
{
    std::vector<Value> sorted(values.begin(), values.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

template <class Value>
void push_bounded(std::deque<Value>& values, Value value)
{
    values.push_back(value);
    if (values.size() > max_samples) {
        values.pop_front();
    }
}

} // namespace

void run_history::record(std::string_view service, milliseconds declared, milliseconds actual)
{
    samples& known = this->by_service[std::string(service)];
    push_bounded(known.actuals, actual);
    if (declared.count() > 0) {
        push_bounded(known.ratios,
                     static_cast<double>(actual.count()) / static_cast<double>(declared.count()));
    }
}

milliseconds run_history::predict(std::string_view service, milliseconds declared) const
{
    const auto found = this->by_service.find(service);
    if (declared.count() <= 0) {
        return found == this->by_service.end() || found->second.actuals.empty()
                   ? default_run_time
                   : std::max(milliseconds(1), median(found->second.actuals));
    }
    if (found == this->by_service.end() || found->second.ratios.size() < min_samples) {
        return declared;
    }
    const double corrected = static_cast<double>(declared.count()) * median(found->second.ratios);
    return std::max(milliseconds(1), milliseconds(static_cast<milliseconds::rep>(corrected)));
}

void worker_health::record_failure(host_index host, std::string_view service, std::string_view job,
                                   steady_time now)
{
    failure_record& entry = this->by_host[host];
    entry.last_failure = now;
    std::set<std::string, std::less<>>& jobs = entry.jobs_by_service[std::string(service)];
    if (jobs.size() < max_jobs_per_service) {
        jobs.emplace(job);
    }
}

void worker_health::record_success(host_index host, std::string_view service)
{
    const auto found = this->by_host.find(host);
    if (found == this->by_host.end()) {
        return;
    }
    const auto entry = found->second.jobs_by_service.find(service);
    if (entry != found->second.jobs_by_service.end()) {
        found->second.jobs_by_service.erase(entry);
    }
    if (found->second.jobs_by_service.empty()) {
        this->by_host.erase(found);
    }
}

std::vector<host_index> worker_health::clear_job_failures(std::string_view job)
{
    std::vector<host_index> affected;
    for (auto entry = this->by_host.begin(); entry != this->by_host.end();) {
        bool changed = false;
        auto& services = entry->second.jobs_by_service;
        for (auto service = services.begin(); service != services.end();) {
            const auto found = service->second.find(job);
            if (found != service->second.end()) {
                service->second.erase(found);
                changed = true;
            }
            service = service->second.empty() ? services.erase(service) : std::next(service);
        }
        if (changed) {
            affected.push_back(entry->first);
        }
        entry = services.empty() ? this->by_host.erase(entry) : std::next(entry);
    }
    return affected;
}

void worker_health::clear_host(host_index host)
{
    this->by_host.erase(host);
}

std::size_t worker_health::failed_service_count(host_index host) const
{
    const auto found = this->by_host.find(host);
    return found == this->by_host.end() ? 0 : found->second.jobs_by_service.size();
}

std::vector<host_index> worker_health::recently_failed_hosts(steady_time now) const
{
    std::vector<host_index> found;
    for (const auto& [host, entry] : this->by_host) {
        if (now < entry.last_failure + recent_failure_window) {
            found.push_back(host);
        }
    }
    return found;
}

std::vector<host_index> worker_health::hosts_with_failures() const
{
    std::vector<host_index> found;
    for (const auto& [host, entry] : this->by_host) {
        found.push_back(host);
    }
    return found;
}

} // namespace redwingwheel::placement
