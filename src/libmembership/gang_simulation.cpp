#include "gang_simulation.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace redwingwheel::membership::simulation {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds tick_period{20};
constexpr milliseconds max_run_time{90'000};
/// Time simulated after the last record. Longer than any message delay, so that late copies arrive.
constexpr milliseconds settle_time{8000};
constexpr int max_placements = 3;
constexpr std::size_t borrower_size = 3;
constexpr std::size_t owner_size = 2;
constexpr std::uint64_t revision = 1;

} // namespace

simulated_cluster::simulated_cluster(std::uint64_t seed, std::span<const injected_fault> planned,
                                     const mutation& chosen)
    : random(seed), faults(planned.begin(), planned.end()), mutated(chosen)
{
    this->permits.faults = chosen.permits;
    this->faulty_worker = this->draw(borrower_size);
    this->choose_clock_rates();
    this->polls_on_change = this->draw(2) == 0;
    this->reports_changes_only = this->draw(2) == 0;
    for (std::size_t index = 0; index < 2; ++index) {
        this->replicas.push_back(
            {permit_granter(this->node_clock(worker_count + index), this->permits), {}});
        this->replicas.back().granter.apply_change("north", true, this->change_index);
    }
}

std::uint64_t simulated_cluster::draw(std::uint64_t limit)
{
    return this->random() % limit;
}

milliseconds simulated_cluster::draw_ms(std::uint64_t from, std::uint64_t to)
{
    return milliseconds(static_cast<std::int64_t>(from + this->draw(to - from + 1)));
}

/// Half of all runs have drifting clocks: agents and replicas at the limit of 1% in opposite
/// directions, or each at a random rate within it.
void simulated_cluster::choose_clock_rates()
{
    const bool forced =
        std::any_of(this->faults.begin(), this->faults.end(), [](const injected_fault& fault) {
            return fault.kind == fault_kind::clock_rates;
        });
    const std::uint64_t choice = this->draw(6);
    const std::uint64_t mode = forced ? 1 + choice % 3 : choice;
    for (std::size_t node = 0; node < this->clock_rates_ppm.size(); ++node) {
        const std::int64_t sign = node < worker_count ? -1 : 1;
        const std::int64_t mixed = static_cast<std::int64_t>(this->draw(20'001)) - 10'000;
        const std::array<std::int64_t, 4> by_mode{0, sign * 10'000, -sign * 10'000, mixed};
        this->clock_rates_ppm[node] = 1'000'000 + (mode < by_mode.size() ? by_mode[mode] : 0);
    }
}

clock_function simulated_cluster::node_clock(std::size_t node)
{
    return [this, node] {
        const std::int64_t elapsed_ns = this->true_clock.now().time_since_epoch().count();
        const std::int64_t offset_ns = static_cast<std::int64_t>(node) * 1'000'000'007;
        return steady_time(std::chrono::nanoseconds(
            elapsed_ns / 1'000'000 * this->clock_rates_ppm[node] + offset_ns));
    };
}

void simulated_cluster::schedule_at(steady_time when, event what)
{
    this->events.emplace(when, std::move(what));
}

void simulated_cluster::schedule_after(std::chrono::nanoseconds delay, event what)
{
    this->schedule_at(this->true_clock.now() + delay, std::move(what));
}

void simulated_cluster::send(link& channel, event deliver)
{
    const steady_time now = this->true_clock.now();
    if (now < channel.lose_until) {
        return;
    }
    if (channel.lose_next > 0) {
        --channel.lose_next;
        return;
    }
    milliseconds delay = this->draw_ms(1, 6) + std::exchange(channel.delay_next, 0ms);
    if (now < channel.reorder_until) {
        delay += this->draw_ms(0, 1200);
    }
    if (now < channel.duplicate_until) {
        this->schedule_after(delay + this->draw_ms(0, 5000), deliver);
    }
    this->schedule_after(delay, std::move(deliver));
}

run_result simulated_cluster::run()
{
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        this->start_agent(worker);
    }
    this->begin_leadership();
    this->check_running_gangs();
    const steady_time begin = this->true_clock.now();
    while (!this->events.empty() && this->result.violations.empty()) {
        const auto next = this->events.begin();
        const bool over =
            this->owner_finished && next->first > this->last_progress_at + settle_time;
        if (over || next->first > begin + max_run_time) {
            break;
        }
        this->true_clock.advance_to(next->first);
        const event what = std::move(next->second);
        this->events.erase(next);
        what();
    }
    this->check_end();
    return this->result;
}

void simulated_cluster::begin_leadership()
{
    replica& leader = this->replicas[this->active_replica];
    const clock_function clock = this->node_clock(worker_count + this->active_replica);
    gang_options options;
    options.permits = this->permits;
    this->coordinator = std::make_unique<gang_coordinator>(clock, options);
    this->workers = std::make_unique<worker_table>(clock, this->permits);
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        this->workers->add(fmt::format("w{}", worker));
    }
    ++this->leadership;
    this->coordinator->restore(this->leadership, leader.log.records());
    leader.granter.begin_leadership();
    this->answering = true;
    this->committing = true;
    this->borrower_running_since.reset();
    this->leader_tick(this->leadership);
}

/// The former leader stops committing now. In half of the runs it is unaware of that and answers
/// polls until its successor begins; the quorum check of the consensus protocol rules out more.
void simulated_cluster::change_leader()
{
    if (!this->committing) {
        return;
    }
    this->leader_changed = true;
    this->committing = false;
    this->answering = this->draw(2) == 0;
    this->schedule_after(this->draw_ms(300, 2000), [this] {
        const std::size_t committed_count = this->draw(this->uncommitted.size() + 1);
        const std::vector<gang_proposal> records = std::exchange(this->uncommitted, {});
        this->replicas[this->active_replica].granter.end_leadership();
        this->coordinator.reset();
        for (std::size_t index = 0; index < committed_count; ++index) {
            this->commit(records[index]);
        }
        const bool in_service = !this->withdrawn_since.has_value();
        this->replicas[this->active_replica].granter.apply_change("north", in_service,
                                                                  this->change_index);
        this->active_replica = 1 - this->active_replica;
        if (this->withdrawn_since.has_value()) {
            this->withdrawn_since = this->true_clock.now();
        }
        this->begin_leadership();
    });
}

void simulated_cluster::leader_tick(std::uint64_t expected_leadership)
{
    if (expected_leadership != this->leadership || this->coordinator == nullptr) {
        return;
    }
    if (this->answering) {
        for (const std::string& worker : this->workers->take_lost()) {
            this->coordinator->on_worker_lost(worker);
        }
        this->coordinator->tick();
        this->collect_proposals();
    }
    if (this->committing) {
        this->schedule_gangs();
    }
    this->schedule_after(tick_period,
                         [this, expected_leadership] { this->leader_tick(expected_leadership); });
}

void simulated_cluster::receive_poll(const poll_message& poll)
{
    if (!this->answering) {
        return;
    }
    const std::string worker = fmt::format("w{}", poll.worker);
    if (!this->workers->record_poll(worker, poll.incarnation, poll.sequence).accepted) {
        return;
    }
    for (const member_report& report : poll.reports) {
        this->coordinator->on_report(worker, poll.incarnation, report);
    }
    poll_answer answer{poll.incarnation, poll.sequence, this->leadership, {}, {}};
    answer.commands = this->coordinator->commands_for(worker, poll.incarnation);
    const bool north = poll.worker < borrower_size;
    answer.granted =
        this->replicas[this->active_replica].granter.grant(north ? "north" : "south", revision);
    this->collect_proposals();
    const std::size_t index = poll.worker;
    const bool releases = std::any_of(
        answer.commands.begin(), answer.commands.end(),
        [](const gang_command& command) { return command.kind == gang_command_kind::release; });
    this->send(this->to_agent[index],
               [this, index, answer] { this->receive_answer(index, answer); });
    // A withdrawal is most critical just after the grant of a permit under which a task will start.
    if (this->withdraw_after_grant && index == this->faulty_worker && releases) {
        this->withdraw_after_grant = false;
        this->change_data_centre(false);
    }
}

void simulated_cluster::collect_proposals()
{
    for (gang_proposal& proposal : this->coordinator->take_proposals()) {
        if (const gang_ended* const ended = std::get_if<gang_ended>(&proposal)) {
            this->check_gang_stopped(
                ended->job, ended->epoch,
                "accelerators are freed only after the gang's tasks have ended");
        }
        if (std::holds_alternative<gang_released>(proposal)) {
            this->reach_point(gang_point::record);
        }
        this->uncommitted.push_back(std::move(proposal));
        const std::uint64_t current_leadership = this->leadership;
        this->schedule_after(this->draw_ms(3, 15),
                             [this, current_leadership] { this->commit_next(current_leadership); });
    }
}

void simulated_cluster::commit_next(std::uint64_t expected_leadership)
{
    if (expected_leadership != this->leadership || !this->committing || this->uncommitted.empty()) {
        return;
    }
    const gang_proposal record = this->uncommitted.front();
    this->uncommitted.erase(this->uncommitted.begin());
    this->commit(record);
    this->coordinator->applied(record);
    this->collect_proposals();
}

void simulated_cluster::commit(const gang_proposal& record)
{
    for (replica& each : this->replicas) {
        each.log.apply(record);
    }
    this->add_to_digest("record", record.index());
    if (const gang_released* const released = std::get_if<gang_released>(&record)) {
        observed_gang& gang = this->gangs[released->job][released->epoch];
        gang.size = released->members.size();
        for (std::uint32_t index = 0; index < gang.size; ++index) {
            gang.released_incarnations[index] = released->members[index].incarnation;
        }
        this->reach_point(gang_point::release);
    }
    else if (const gang_broken* const broken = std::get_if<gang_broken>(&record)) {
        this->gangs[broken->job][broken->epoch].broken_at = this->true_clock.now();
        ++this->result.gangs_broken;
    }
    else if (const gang_ended* const ended = std::get_if<gang_ended>(&record)) {
        this->gangs[ended->job][ended->epoch].ended = true;
        this->check_gang_stopped(ended->job, ended->epoch, "an ended gang does not run");
        this->owner_finished |=
            ended->job == "owner" && ended->reason == gang_end_reason::completed;
    }
    else {
        const gang_abandoned& abandoned = std::get<gang_abandoned>(record);
        this->gangs[abandoned.job][abandoned.epoch].ended = true;
        this->check_gang_stopped(abandoned.job, abandoned.epoch, "an abandoned gang does not run");
    }
    this->last_progress_at = this->true_clock.now();
}

void simulated_cluster::change_data_centre(bool in_service)
{
    ++this->change_index;
    const std::uint64_t index = this->change_index;
    for (std::size_t each = 0; each < this->replicas.size(); ++each) {
        // A leader that is being replaced may not have applied the change yet.
        if (each != this->active_replica || this->committing) {
            this->replicas[each].granter.apply_change("north", in_service, index);
        }
    }
    // A replica may apply an older change again, for instance from a snapshot.
    this->replicas[1 - this->active_replica].granter.apply_change("north", !in_service, index - 1);
    if (in_service) {
        this->withdrawn_since.reset();
    }
    else if (!this->withdrawn_since.has_value()) {
        this->withdrawn_since = this->true_clock.now();
    }
}

void simulated_cluster::place(const std::string& job, std::size_t members)
{
    ++this->last_epoch;
    std::vector<gang_member_record> records;
    for (std::size_t worker = 0; worker < members; ++worker) {
        records.push_back({fmt::format("w{}", worker), 0, 3, 1, task_outcome::none});
    }
    for (replica& each : this->replicas) {
        each.log.place(job, this->last_epoch, records);
    }
    const absl::Status placed = this->coordinator->place(job, this->last_epoch, records);
    this->check(placed.ok(), "a gang can be placed on free accelerators",
                errors::message_of(placed));
}

/// Drives the coordinator: places the borrower, reclaims it, then places the owner.
void simulated_cluster::schedule_gangs()
{
    const std::vector<gang_view> live = this->coordinator->list();
    if (!live.empty() && live.front().job == "borrower") {
        const bool running = live.front().phase == gang_phase::running;
        if (running) {
            this->reach_point(gang_point::run);
            this->borrower_running_since =
                this->borrower_running_since.value_or(this->true_clock.now());
        }
        const bool due =
            running && this->true_clock.now() >= *this->borrower_running_since + milliseconds(900);
        if (due && !this->reclaimed) {
            this->reclaimed = true;
            this->reclaimed_at = this->true_clock.now();
            this->reach_point(gang_point::reclaim);
        }
        if (this->reclaimed && running) {
            const steady_time now = this->node_clock(worker_count + this->active_replica)();
            this->coordinator->reclaim("borrower", now + 1000ms, now + 1500ms);
        }
        return;
    }
    this->borrower_running_since.reset();
    if (!live.empty() || this->owner_finished) {
        return;
    }
    this->borrower_finished = this->reclaimed || this->borrower_places >= max_placements;
    if (!this->borrower_finished) {
        ++this->borrower_places;
        this->place("borrower", borrower_size);
        this->reach_point(gang_point::reserve);
    }
    else if (this->owner_places < max_placements) {
        ++this->owner_places;
        this->place("owner", owner_size);
    }
    else {
        this->owner_finished = true;
        this->last_progress_at = this->true_clock.now();
    }
}

run_result run(std::uint64_t seed, std::span<const injected_fault> faults, const mutation& mutated)
{
    return simulated_cluster(seed, faults, mutated).run();
}

} // namespace redwingwheel::membership::simulation
