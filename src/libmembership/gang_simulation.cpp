#include "gang_simulation.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace redwingwheel::membership::simulation {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds tick_period{20};
constexpr milliseconds longest_run{90'000};
/// Longer than any delay of a message, so that late copies still arrive.
constexpr milliseconds run_on{8000};
constexpr int attempts = 3;
constexpr std::size_t borrower_size = 3;
constexpr std::size_t owner_size = 2;
constexpr std::uint64_t revision = 1;

} // namespace

world::world(std::uint64_t seed, std::span<const planted_fault> planned, const mutation& chosen)
    : random(seed), faults(planned.begin(), planned.end()), mutated(chosen)
{
    this->permits.faults = chosen.permits;
    this->victim = this->draw(borrower_size);
    this->choose_rates();
    this->polls_on_change = this->draw(2) == 0;
    this->reports_changes_only = this->draw(2) == 0;
    for (std::size_t index = 0; index < 2; ++index) {
        this->replicas.push_back(
            {permit_granter(this->node_clock(worker_count + index), this->permits), {}});
        this->replicas.back().granter.apply_change("north", true, this->change_index);
    }
}

std::uint64_t world::draw(std::uint64_t limit)
{
    return this->random() % limit;
}

milliseconds world::draw_ms(std::uint64_t from, std::uint64_t to)
{
    return milliseconds(static_cast<std::int64_t>(from + this->draw(to - from + 1)));
}

/// Half of all runs have drifting clocks, at the limit of 1% in the worst direction or mixed.
void world::choose_rates()
{
    const bool forced =
        std::any_of(this->faults.begin(), this->faults.end(), [](const planted_fault& fault) {
            return fault.kind == fault_kind::clock_rates;
        });
    const std::uint64_t choice = this->draw(6);
    const std::uint64_t mode = forced ? 1 + choice % 3 : choice;
    for (std::size_t node = 0; node < this->rates_ppm.size(); ++node) {
        const std::int64_t side = node < worker_count ? -1 : 1;
        const std::int64_t mixed = static_cast<std::int64_t>(this->draw(20'001)) - 10'000;
        const std::array<std::int64_t, 4> by_mode{0, side * 10'000, -side * 10'000, mixed};
        this->rates_ppm[node] = 1'000'000 + (mode < by_mode.size() ? by_mode[mode] : 0);
    }
}

clock_function world::node_clock(std::size_t node)
{
    return [this, node] {
        const std::int64_t elapsed_ns = this->truth.now().time_since_epoch().count();
        const std::int64_t offset_ns = static_cast<std::int64_t>(node) * 1'000'000'007;
        return steady_time(
            std::chrono::nanoseconds(elapsed_ns / 1'000'000 * this->rates_ppm[node] + offset_ns));
    };
}

void world::at(steady_time when, event what)
{
    this->events.emplace(when, std::move(what));
}

void world::after(std::chrono::nanoseconds delay, event what)
{
    this->at(this->truth.now() + delay, std::move(what));
}

void world::send(link& channel, event deliver)
{
    const steady_time now = this->truth.now();
    if (now < channel.lose_until) {
        return;
    }
    if (channel.lose_next > 0) {
        --channel.lose_next;
        return;
    }
    milliseconds delay = this->draw_ms(1, 6) + std::exchange(channel.delay_next, 0ms);
    if (now < channel.shuffle_until) {
        delay += this->draw_ms(0, 1200);
    }
    if (now < channel.repeat_until) {
        this->after(delay + this->draw_ms(0, 5000), deliver);
    }
    this->after(delay, std::move(deliver));
}

run_result world::run()
{
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        this->start_agent(worker);
    }
    this->begin_leadership();
    this->check_running_gangs();
    const steady_time begin = this->truth.now();
    while (!this->events.empty() && this->result.violations.empty()) {
        const auto next = this->events.begin();
        const bool over = this->owner_over && next->first > this->finished_at + run_on;
        if (over || next->first > begin + longest_run) {
            break;
        }
        this->truth.advance_to(next->first);
        const event what = std::move(next->second);
        this->events.erase(next);
        what();
    }
    this->check_end();
    return this->result;
}

void world::begin_leadership()
{
    replica& leader = this->replicas[this->active];
    const clock_function clock = this->node_clock(worker_count + this->active);
    gang_options options;
    options.permits = this->permits;
    this->coordinator = std::make_unique<gang_coordinator>(clock, options);
    this->table = std::make_unique<worker_table>(clock, this->permits);
    for (std::size_t worker = 0; worker < worker_count; ++worker) {
        this->table->add(fmt::format("w{}", worker));
    }
    ++this->leadership;
    this->coordinator->restore(this->leadership, leader.log.records());
    leader.granter.begin_leadership();
    this->answering = true;
    this->committing = true;
    this->borrower_running_since.reset();
    this->leader_tick(this->leadership);
}

/// The former leader stops committing now. In some runs it does not know and answers polls until
/// its successor begins; a quorum check allows no more than that.
void world::change_leader()
{
    if (!this->committing) {
        return;
    }
    this->leader_changed = true;
    this->committing = false;
    this->answering = this->draw(2) == 0;
    this->after(this->draw_ms(300, 2000), [this] {
        const std::size_t kept = this->draw(this->outstanding.size() + 1);
        const std::vector<gang_proposal> records = std::exchange(this->outstanding, {});
        this->replicas[this->active].granter.end_leadership();
        this->coordinator.reset();
        for (std::size_t index = 0; index < kept; ++index) {
            this->commit(records[index]);
        }
        const bool in_service = !this->withdrawn_since.has_value();
        this->replicas[this->active].granter.apply_change("north", in_service, this->change_index);
        this->active = 1 - this->active;
        if (this->withdrawn_since.has_value()) {
            this->withdrawn_since = this->truth.now();
        }
        this->begin_leadership();
    });
}

void world::leader_tick(std::uint64_t of_leadership)
{
    if (of_leadership != this->leadership || this->coordinator == nullptr) {
        return;
    }
    if (this->answering) {
        for (const std::string& worker : this->table->take_lost()) {
            this->coordinator->on_worker_lost(worker);
        }
        this->coordinator->tick();
        this->collect_proposals();
    }
    if (this->committing) {
        this->schedule_gangs();
    }
    this->after(tick_period, [this, of_leadership] { this->leader_tick(of_leadership); });
}

void world::receive_poll(const poll_message& poll)
{
    if (!this->answering) {
        return;
    }
    const std::string worker = fmt::format("w{}", poll.worker);
    if (!this->table->record_poll(worker, poll.incarnation, poll.sequence).accepted) {
        return;
    }
    for (const member_report& report : poll.reports) {
        this->coordinator->on_report(worker, poll.incarnation, report);
    }
    poll_answer answer{poll.incarnation, poll.sequence, this->leadership, {}, {}};
    answer.commands = this->coordinator->commands_for(worker, poll.incarnation);
    const bool north = poll.worker < borrower_size;
    answer.granted =
        this->replicas[this->active].granter.grant(north ? "north" : "south", revision);
    this->collect_proposals();
    const std::size_t index = poll.worker;
    const bool releases = std::any_of(
        answer.commands.begin(), answer.commands.end(),
        [](const gang_command& command) { return command.kind == gang_command_kind::release; });
    this->send(this->to_agent[index],
               [this, index, answer] { this->receive_answer(index, answer); });
    // The worst moment for a withdrawal is just after a grant that a start will use.
    if (this->withdraw_after_grant && index == this->victim && releases) {
        this->withdraw_after_grant = false;
        this->change_data_centre(false);
    }
}

void world::collect_proposals()
{
    for (gang_proposal& proposal : this->coordinator->take_proposals()) {
        if (const gang_ended* const ended = std::get_if<gang_ended>(&proposal)) {
            this->check_gang_stopped(ended->job, ended->epoch, "cells are free only after the end");
        }
        if (std::holds_alternative<gang_released>(proposal)) {
            this->reach(gang_point::record);
        }
        this->outstanding.push_back(std::move(proposal));
        const std::uint64_t now_leading = this->leadership;
        this->after(this->draw_ms(3, 15), [this, now_leading] { this->commit_next(now_leading); });
    }
}

void world::commit_next(std::uint64_t of_leadership)
{
    if (of_leadership != this->leadership || !this->committing || this->outstanding.empty()) {
        return;
    }
    const gang_proposal record = this->outstanding.front();
    this->outstanding.erase(this->outstanding.begin());
    this->commit(record);
    this->coordinator->applied(record);
    this->collect_proposals();
}

void world::commit(const gang_proposal& record)
{
    for (replica& each : this->replicas) {
        each.log.apply(record);
    }
    this->note("record", record.index());
    if (const gang_released* const released = std::get_if<gang_released>(&record)) {
        gang_truth& gang = this->gangs[released->job][released->epoch];
        gang.size = released->members.size();
        for (std::uint32_t index = 0; index < gang.size; ++index) {
            gang.released_incarnations[index] = released->members[index].incarnation;
        }
        this->reach(gang_point::release);
    }
    else if (const gang_broken* const broken = std::get_if<gang_broken>(&record)) {
        this->gangs[broken->job][broken->epoch].broken_at = this->truth.now();
        ++this->result.gangs_broken;
    }
    else if (const gang_ended* const ended = std::get_if<gang_ended>(&record)) {
        this->gangs[ended->job][ended->epoch].ended = true;
        this->check_gang_stopped(ended->job, ended->epoch, "an ended gang does not run");
        this->owner_over |= ended->job == "owner" && ended->reason == gang_end_reason::completed;
    }
    else {
        const gang_abandoned& abandoned = std::get<gang_abandoned>(record);
        this->gangs[abandoned.job][abandoned.epoch].ended = true;
        this->check_gang_stopped(abandoned.job, abandoned.epoch, "an abandoned gang does not run");
    }
    this->finished_at = this->truth.now();
}

void world::change_data_centre(bool in_service)
{
    ++this->change_index;
    const std::uint64_t index = this->change_index;
    for (std::size_t each = 0; each < this->replicas.size(); ++each) {
        // A leader that is being replaced may not have applied the change yet.
        if (each != this->active || this->committing) {
            this->replicas[each].granter.apply_change("north", in_service, index);
        }
    }
    // The state machine may meet an older entry again, for instance from a snapshot.
    this->replicas[1 - this->active].granter.apply_change("north", !in_service, index - 1);
    if (in_service) {
        this->withdrawn_since.reset();
    }
    else if (!this->withdrawn_since.has_value()) {
        this->withdrawn_since = this->truth.now();
    }
}

void world::place(const std::string& job, std::size_t members)
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
    this->check(placed.ok(), "free cells can be placed", errors::message_of(placed));
}

/// The caller of the coordinator: the borrower first, its reclaim, then the owner.
void world::schedule_gangs()
{
    const std::vector<gang_view> live = this->coordinator->list();
    if (!live.empty() && live.front().job == "borrower") {
        const bool running = live.front().phase == gang_phase::running;
        if (running) {
            this->reach(gang_point::run);
            this->borrower_running_since = this->borrower_running_since.value_or(this->truth.now());
        }
        const bool due =
            running && this->truth.now() >= *this->borrower_running_since + milliseconds(900);
        if (due && !this->reclaimed) {
            this->reclaimed = true;
            this->reclaimed_at = this->truth.now();
            this->reach(gang_point::reclaim);
        }
        if (this->reclaimed && running) {
            const steady_time now = this->node_clock(worker_count + this->active)();
            this->coordinator->reclaim("borrower", now + 1000ms, now + 1500ms);
        }
        return;
    }
    this->borrower_running_since.reset();
    if (!live.empty() || this->owner_over) {
        return;
    }
    this->borrower_over = this->reclaimed || this->borrower_places >= attempts;
    if (!this->borrower_over) {
        ++this->borrower_places;
        this->place("borrower", borrower_size);
        this->reach(gang_point::reserve);
    }
    else if (this->owner_places < attempts) {
        ++this->owner_places;
        this->place("owner", owner_size);
    }
    else {
        this->owner_over = true;
        this->finished_at = this->truth.now();
    }
}

run_result run(std::uint64_t seed, std::span<const planted_fault> faults, const mutation& mutated)
{
    return world(seed, faults, mutated).run();
}

} // namespace redwingwheel::membership::simulation
