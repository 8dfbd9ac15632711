#include "baseline.h"

#include <algorithm>
#include <bit>
#include <numeric>

#include <fmt/format.h>

namespace redwingwheel::replay {

using namespace placement;

namespace {

accelerator_mask all_of(const worker_spec& worker)
{
    return worker.accelerators >= 64 ? ~accelerator_mask{0}
                                     : (accelerator_mask{1} << worker.accelerators) - 1;
}

accelerator_mask lowest(accelerator_mask mask, std::uint32_t count)
{
    accelerator_mask chosen = 0;
    for (std::uint32_t n = 0; n < count; ++n) {
        const accelerator_mask lowest_bit = mask & (~mask + 1);
        chosen |= lowest_bit;
        mask &= ~lowest_bit;
    }
    return chosen;
}

std::uint32_t size_of(accelerator_mask mask)
{
    return static_cast<std::uint32_t>(std::popcount(mask));
}

} // namespace

void baseline::add_worker(const worker_spec& worker)
{
    for (host& known : this->hosts) {
        if (known.spec.name == worker.name) {
            known.lost = false;
            return;
        }
    }
    host added{worker, false, all_of(worker)};
    if (added.spec.accelerators_per_group == 0) {
        added.spec.accelerators_per_group = worker.accelerators;
    }
    this->hosts.push_back(std::move(added));
}

void baseline::remove_worker(std::string_view worker)
{
    for (host& known : this->hosts) {
        known.lost = known.lost || known.spec.name == worker;
    }
    for (auto& [id, one] : this->jobs) {
        for (const member_placement& member : one.members) {
            if (member.worker == worker && one.runs) {
                this->broken.insert(id);
            }
        }
    }
}

void baseline::set_data_centre_state(std::string_view data_centre, data_centre_state state)
{
    if (state == data_centre_state::withdrawn) {
        this->withdrawn.emplace(data_centre);
    }
    else {
        this->withdrawn.erase(std::string(data_centre));
    }
}

std::vector<shortfall> baseline::check_guarantees(std::span<const guarantee>) const
{
    return {};
}

void baseline::set_guarantees(std::span<const guarantee> wanted)
{
    this->terms.assign(wanted.begin(), wanted.end());
    this->quotas.clear();
    if (this->hosts.empty()) {
        return;
    }
    const worker_spec& typical = this->hosts.front().spec;
    std::map<std::string, std::uint64_t> by_rack;
    std::map<std::string, std::uint64_t> by_data_centre;
    for (const host& one : this->hosts) {
        by_rack[this->area_of(one, cell_level::rack)] += one.spec.accelerators;
        by_data_centre[one.spec.data_centre] += one.spec.accelerators;
    }
    const auto largest = [](const std::map<std::string, std::uint64_t>& sizes) {
        std::uint64_t size = 0;
        for (const auto& [name, accelerators] : sizes) {
            size = std::max(size, accelerators);
        }
        return size;
    };
    const std::array<std::uint64_t, 5> sizes = {1, typical.accelerators_per_group,
                                                typical.accelerators, largest(by_rack),
                                                largest(by_data_centre)};
    for (const guarantee& one : this->terms) {
        this->quotas[one.account] += one.count * sizes[static_cast<std::size_t>(one.level)];
    }
}

std::string baseline::area_of(const host& one, cell_level level) const
{
    std::string area = one.spec.data_centre;
    if (level <= cell_level::rack) {
        area += "/" + one.spec.rack;
    }
    if (level <= cell_level::host) {
        area += "/" + one.spec.name;
    }
    return area;
}

bool baseline::fit(const job_spec& spec, bool empty, std::vector<member_placement>& members) const
{
    std::vector<std::size_t> order(this->hosts.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto free_of = [&](const host& one) {
        return empty                                                        ? all_of(one.spec)
               : one.lost || this->withdrawn.contains(one.spec.data_centre) ? 0
                                                                            : one.free;
    };
    if (this->kind != baseline_kind::first_fit) {
        std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return size_of(free_of(this->hosts[left])) < size_of(free_of(this->hosts[right]));
        });
    }
    std::map<std::string, std::vector<member_placement>> by_area;
    const std::uint32_t size = spec.accelerators_per_member;
    for (const std::size_t index : order) {
        const host& one = this->hosts[index];
        const bool in_group = spec.adjacency <= cell_level::group;
        const std::uint32_t part =
            in_group ? one.spec.accelerators_per_group : one.spec.accelerators;
        for (std::uint32_t first = 0; first < one.spec.accelerators; first += part) {
            const accelerator_mask window =
                (part >= 64 ? ~accelerator_mask{0} : (accelerator_mask{1} << part) - 1) << first;
            accelerator_mask free = free_of(one) & window;
            std::string area = this->area_of(one, spec.adjacency);
            if (in_group) {
                area += fmt::format("/{}", first);
            }
            std::vector<member_placement>& found = by_area[area];
            while (size_of(free) >= size && found.size() < spec.members) {
                const accelerator_mask chosen = lowest(free, size);
                found.push_back({static_cast<std::uint32_t>(found.size()), one.spec.name, chosen});
                free &= ~chosen;
            }
            if (found.size() == spec.members) {
                members = found;
                return true;
            }
        }
    }
    return false;
}

absl::Status baseline::submit(const job_spec& spec)
{
    std::vector<member_placement> members;
    if (!this->fit(spec, true, members)) {
        return make_error(placement_errc::never_fits, spec.id);
    }
    this->jobs[spec.id].spec = spec;
    this->queue.push_back(spec.id);
    return absl::OkStatus();
}

void baseline::release(job& one)
{
    for (const member_placement& member : one.members) {
        for (host& known : this->hosts) {
            if (known.spec.name == member.worker) {
                known.free |= member.accelerators;
            }
        }
    }
    if (one.runs) {
        this->held[one.spec.account] -=
            std::uint64_t{one.spec.members} * one.spec.accelerators_per_member;
    }
    one.members.clear();
    one.runs = false;
    one.stopping = false;
    this->broken.erase(one.spec.id);
}

void baseline::cancel(std::string_view id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return;
    }
    if (found->second.runs) {
        found->second.cancelled = true;
        this->broken.emplace(id);
        return;
    }
    std::erase(this->queue, std::string(id));
    this->jobs.erase(found);
}

void baseline::finish(std::string_view id)
{
    const auto found = this->jobs.find(id);
    if (found != this->jobs.end()) {
        this->release(found->second);
        this->jobs.erase(found);
    }
}

void baseline::stopped(std::string_view id, bool checkpointed)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return;
    }
    job& one = found->second;
    const bool resumes = one.planned_stop && checkpointed && one.spec.can_checkpoint;
    this->release(one);
    if (one.cancelled) {
        this->jobs.erase(found);
        return;
    }
    one.refused = one.failed_on.size() >= 3 || (!resumes && !one.spec.idempotent);
    this->queue.insert(this->queue.begin(), std::string(id));
}

void baseline::report_failure(std::string_view id, std::string_view worker, std::string_view)
{
    const auto found = this->jobs.find(id);
    if (found != this->jobs.end()) {
        found->second.failed_on.emplace(worker);
        this->broken.emplace(id);
    }
}

std::uint64_t baseline::held_by(std::string_view account) const
{
    const auto found = this->held.find(account);
    return found == this->held.end() ? 0 : found->second;
}

bool baseline::within_quota(const job& one) const
{
    const auto quota = this->quotas.find(one.spec.account);
    return quota != this->quotas.end() &&
           this->held_by(one.spec.account) +
                   std::uint64_t{one.spec.members} * one.spec.accelerators_per_member <=
               quota->second;
}

void baseline::stop(job& one, const std::string& for_job, const std::string& reason,
                    std::vector<decision>& out)
{
    const steady_time now = this->clock();
    one.planned_stop = !for_job.empty();
    one.stopping = true;
    const steady_time deadline =
        one.planned_stop && one.spec.can_checkpoint ? now + std::chrono::seconds(1) : now;
    out.push_back({reclaim_gang{one.spec.id, deadline, deadline, for_job, reason, one.planned_stop},
                   {one.spec.id, "reclaimed", {}, reason, {}}});
}

void baseline::stop_over_quota(const job& wanting, std::vector<decision>& out)
{
    std::vector<job*> victims;
    std::int64_t needed = std::int64_t{wanting.spec.members} * wanting.spec.accelerators_per_member;
    for (const host& one : this->hosts) {
        if (!one.lost && !this->withdrawn.contains(one.spec.data_centre)) {
            needed -= size_of(one.free);
        }
    }
    for (auto& [id, one] : this->jobs) {
        const std::int64_t size = std::int64_t{one.spec.members} * one.spec.accelerators_per_member;
        if (one.runs && one.stopping) {
            needed -= size;
        }
        const auto quota = this->quotas.find(one.spec.account);
        const bool over =
            quota == this->quotas.end() || this->held_by(one.spec.account) > quota->second;
        if (one.runs && !one.stopping && over && (one.spec.can_checkpoint || one.spec.idempotent) &&
            one.spec.account != wanting.spec.account) {
            victims.push_back(&one);
        }
    }
    std::stable_sort(victims.begin(), victims.end(), [](const job* left, const job* right) {
        return left->started > right->started;
    });
    for (job* const victim : victims) {
        if (needed <= 0) {
            return;
        }
        needed -= std::int64_t{victim->spec.members} * victim->spec.accelerators_per_member;
        this->stop(*victim, wanting.spec.id, "over its quota", out);
    }
}

std::vector<decision> baseline::decide()
{
    std::vector<decision> out;
    const std::set<std::string, std::less<>> stops = std::move(this->broken);
    this->broken.clear();
    for (const std::string& id : stops) {
        job& one = this->jobs[id];
        if (!one.stopping) {
            this->stop(one, "", one.cancelled ? "cancelled" : "broken", out);
        }
    }
    std::vector<std::string> order = this->queue;
    if (this->kind == baseline_kind::quota_only) {
        std::stable_partition(order.begin(), order.end(), [this](const std::string& id) {
            return this->within_quota(this->jobs[id]);
        });
    }
    std::set<std::tuple<std::uint32_t, std::uint32_t, cell_level>> useless;
    bool has_stopped = false; // One wanting job per turn bounds the cost of a turn.
    for (const std::string& id : order) {
        job& one = this->jobs[id];
        if (one.refused) {
            out.push_back({refuse_job{id, "must not run again"},
                           {id, "refused", {}, "must not run again", {}}});
            std::erase(this->queue, id);
            this->jobs.erase(id);
            continue;
        }
        const std::tuple<std::uint32_t, std::uint32_t, cell_level> shape(
            one.spec.members, one.spec.accelerators_per_member, one.spec.adjacency);
        std::vector<member_placement> members;
        if (useless.contains(shape) || !this->fit(one.spec, false, members)) {
            useless.insert(shape);
            if (this->kind == baseline_kind::quota_only && !has_stopped &&
                this->within_quota(one)) {
                has_stopped = true;
                this->stop_over_quota(one, out);
            }
            continue;
        }
        for (const member_placement& member : members) {
            for (host& known : this->hosts) {
                if (known.spec.name == member.worker) {
                    known.free &= ~member.accelerators;
                }
            }
        }
        one.members = members;
        this->held[one.spec.account] +=
            std::uint64_t{one.spec.members} * one.spec.accelerators_per_member;
        one.runs = true;
        one.planned_stop = false;
        one.started = ++this->starts;
        std::erase(this->queue, id);
        out.push_back({start_gang{{id, members, false, false}}, {id, "started", {}, "fits", {}}});
    }
    return out;
}

std::vector<guarantee_summary> baseline::guarantee_summaries() const
{
    std::vector<guarantee_summary> found;
    for (const guarantee& one : this->terms) {
        found.push_back({one, 0, 0, one.count});
    }
    return found;
}

} // namespace redwingwheel::replay
