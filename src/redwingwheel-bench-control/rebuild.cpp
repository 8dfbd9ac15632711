#include "rebuild.h"

#include <algorithm>
#include <array>

#include <malloc.h>

#include <fmt/format.h>

#include "agent_fleet.h"
#include "documents.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::control::bench {

namespace {

constexpr std::size_t data_centre_count = 3;
constexpr std::size_t rebuild_runs = 3;
constexpr std::size_t ticks_timed = 20;
/// Near the target size of 4,600 workers and 630 accounts.
constexpr std::size_t workers_per_agreement = 8;

std::uint64_t heap_bytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

double elapsed_us(steady_time since)
{
    return std::chrono::duration<double, std::micro>(boot_clock::now() - since).count();
}

std::uint64_t incarnation_of(std::size_t worker)
{
    return 1'000'000 + worker;
}

/// The replicated state, as the commands of the log build it.
class state_builder {
public:
    explicit state_builder(control_state& built) : state(built) {}

    void configure(std::size_t workers)
    {
        apply_release_note command;
        command.note.note = "bench-1";
        for (std::size_t index = 0; index < data_centre_count; ++index) {
            command.note.added.data_centres.push_back({fmt::format("dc{}", index + 1), "r1"});
        }
        config::service service;
        service.name = "builds";
        service.request_class = config::service_class::batch;
        service.default_deadline_ms = 60'000;
        for (std::size_t index = 0; index < 8 + workers / workers_per_agreement; ++index) {
            config::client_account account;
            account.name = fmt::format("account-{}", index);
            account.token_digest = fmt::format("{:064x}", index + 1);
            command.note.added.client_accounts.push_back(account);
            service.accounts.push_back(account.name);
        }
        command.note.added.services.push_back(service);
        for (std::size_t index = 0; index < workers / workers_per_agreement; ++index) {
            config::agreement agreement;
            agreement.id = fmt::format("agreement-{}", index);
            agreement.account = fmt::format("account-{}", index % 8);
            agreement.level = config::agreement_level::group;
            agreement.count = 1;
            agreement.starts = "2026-01-01";
            agreement.ends = "2036-01-01";
            command.note.added.agreements.push_back(agreement);
        }
        this->apply(command);
    }

    void announce(std::size_t workers)
    {
        for (std::size_t index = 0; index < workers; ++index) {
            this->apply(announce_worker{announcement_of(index)});
        }
    }

    /// Job `index` runs on the next five accelerators of its data centre.
    void run_job(std::size_t index, std::size_t workers)
    {
        submit_job submit;
        submit.job.id = fmt::format("job-{}", index);
        submit.job.account = fmt::format("account-{}", index % 8);
        submit.job.service = "builds";
        submit.job.members = tasks_per_job;
        submit.job.parameters = "{}";
        this->apply(submit);
        place_job place;
        place.id = submit.job.id;
        place.epoch = 1;
        const std::size_t centre = index % data_centre_count;
        for (std::size_t member = 0; member < tasks_per_job; ++member) {
            const std::size_t cell = this->next_cell[centre]++;
            const std::size_t worker = cell / 8 * data_centre_count + centre;
            if (worker >= workers) {
                return;
            }
            membership::gang_member_record record;
            record.worker = announcement_of(worker).worker;
            record.incarnation = incarnation_of(worker);
            record.accelerator_mask = std::uint64_t{1} << (cell % 8);
            place.members.push_back(record);
        }
        this->apply(place);
        this->apply(apply_gang_proposal{membership::gang_released{place.id, 1, place.members}, 0});
    }

private:
    void apply(const command& of) { static_cast<void>(this->state.apply(of, ++this->last_index)); }

    control_state& state;
    std::uint64_t last_index = 0;
    std::array<std::size_t, data_centre_count> next_cell{};
};

/// The polls of all agents; with `tasks` each reports its members as running.
std::vector<messages::agent_poll> make_polls(const control_state& state, std::size_t workers,
                                             bool tasks)
{
    std::vector<messages::agent_poll> polls(workers);
    std::map<std::string, std::size_t> by_name;
    for (std::size_t index = 0; index < workers; ++index) {
        polls[index].worker = announcement_of(index).worker;
        polls[index].incarnation = incarnation_of(index);
        polls[index].revision = state.configuration().revision();
        polls[index].load.slots = 8;
        by_name[polls[index].worker] = index;
    }
    if (!tasks) {
        return polls;
    }
    for (const auto& [id, job] : state.jobs()) {
        std::uint32_t member = 0;
        for (const membership::gang_member_record& record : job.members) {
            membership::member_report report;
            report.kind = membership::member_report_kind::running;
            report.task = {id, job.epoch, member++};
            polls[by_name.at(record.worker)].reports.push_back(report);
        }
    }
    return polls;
}

/// Microseconds for each poll.
double time_polls(controller& leader, std::vector<messages::agent_poll>& polls,
                  std::uint64_t sequence)
{
    const steady_time start = boot_clock::now();
    for (messages::agent_poll& each : polls) {
        each.sequence = sequence;
        const std::optional<messages::agent_poll_answer> answer = leader.poll(each);
        static_cast<void>(answer);
    }
    return elapsed_us(start) / static_cast<double>(polls.size());
}

void time_ticks(rebuild_cost& cost, controller& leader)
{
    std::array<double, ticks_timed> times{};
    for (double& each : times) {
        const steady_time start = boot_clock::now();
        leader.tick();
        each = elapsed_us(start);
    }
    cost.first_tick_us = times.front();
    std::sort(times.begin(), times.end());
    cost.tick_us = times[ticks_timed / 2];
}

void measure_leader(rebuild_cost& cost, const control_state& state)
{
    controller_hooks hooks;
    hooks.propose = [](const command&, const command_callback&) {};
    hooks.wall_clock_ms = [] { return std::int64_t{0}; };
    std::vector<messages::agent_poll> polls = make_polls(state, cost.workers, true);
    const std::uint64_t heap_before = heap_bytes();
    controller leader({}, boot_clock_function(), state, hooks);
    std::array<double, rebuild_runs> begin_ms{};
    for (std::size_t run = 0; run < rebuild_runs; ++run) {
        const steady_time start = boot_clock::now();
        leader.begin_leadership(run + 1);
        begin_ms[run] = elapsed_us(start) / 1000.0;
    }
    std::sort(begin_ms.begin(), begin_ms.end());
    cost.begin_least_ms = begin_ms.front();
    cost.begin_ms = begin_ms[rebuild_runs / 2];
    cost.begin_most_ms = begin_ms.back();
    // The first polls build the rows and are not counted.
    static_cast<void>(time_polls(leader, polls, 1));
    cost.poll_us = time_polls(leader, polls, 2);
    cost.leader_bytes = heap_bytes() - heap_before;
    time_ticks(cost, leader);
    const messages::entry_poll_answer table = leader.poll(messages::entry_poll{});
    cost.entry_table_bytes = pack(table).size();
    messages::entry_poll current;
    current.revision = state.configuration().revision();
    current.table_version = table.table_version;
    current.table_term = table.table_term;
    cost.entry_idle_bytes = pack(leader.poll(current)).size();
    // Last, because a poll without reports of running tasks breaks their gangs.
    leader.begin_leadership(rebuild_runs + 1);
    std::vector<messages::agent_poll> idle = make_polls(state, cost.workers, false);
    static_cast<void>(time_polls(leader, idle, 3));
    cost.idle_poll_us = time_polls(leader, idle, 4);
}

} // namespace

rebuild_cost measure_rebuild(std::size_t workers, std::size_t jobs)
{
    rebuild_cost cost;
    cost.workers = workers;
    cost.jobs = jobs;
    const std::uint64_t heap_before = heap_bytes();
    control_state state(
        [](const config::configuration&, const std::vector<messages::worker_announcement>&) {
            return std::vector<config::problem>();
        });
    state_builder builder(state);
    builder.configure(workers);
    builder.announce(workers);
    for (std::size_t index = 0; index < jobs; ++index) {
        builder.run_job(index, workers);
    }
    cost.state_bytes = heap_bytes() - heap_before;
    const steady_time start = boot_clock::now();
    cost.snapshot_bytes = state.pack_snapshot().size();
    cost.snapshot_ms = elapsed_us(start) / 1000.0;
    cost.catch_up_bytes = pack(state.configuration().catch_up_after(0)).size();
    measure_leader(cost, state);
    return cost;
}

} // namespace redwingwheel::control::bench
