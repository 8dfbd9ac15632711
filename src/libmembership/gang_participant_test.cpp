#include <catch2/catch.hpp>

#include "redwingwheel/gang.h"

using namespace redwingwheel;
using namespace redwingwheel::membership;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t own_incarnation = 77;

struct fixture {
    manual_clock clock;
    permit_holder permits{this->clock.function()};
    gang_participant participant{this->clock.function(), this->permits, own_incarnation};
    task_key task{"job", 1, 0};

    explicit fixture(gang_participant_options options = {})
        : participant(this->clock.function(), this->permits, own_incarnation, options)
    {
        this->renew();
    }

    void renew()
    {
        static_cast<void>(
            this->permits.accept({"north", true, 1, 1, 3000, 3000}, this->clock.now(), 1));
    }

    gang_command command(gang_command_kind kind, std::uint64_t incarnation = own_incarnation) const
    {
        return {kind, this->task, incarnation, 1, 3, 1, 2000, 100};
    }

    std::vector<gang_action> send(gang_command_kind kind,
                                  std::uint64_t incarnation = own_incarnation)
    {
        return this->participant.handle(this->command(kind, incarnation));
    }

    void run()
    {
        static_cast<void>(this->send(gang_command_kind::reserve));
        REQUIRE(this->send(gang_command_kind::release).size() == 1);
        REQUIRE(this->participant.begin_start(this->task));
        this->participant.task_started(this->task);
    }

    member_report only_report() const
    {
        REQUIRE(this->participant.reports().size() == 1);
        return this->participant.reports().front();
    }
};

} // namespace

// A release for another attempt or another process, or a repeated one, must not start a task.
TEST_CASE("a task starts once, on a release for its epoch and incarnation")
{
    fixture agent;
    CHECK(agent.send(gang_command_kind::release).empty());
    static_cast<void>(agent.send(gang_command_kind::reserve));
    CHECK(agent.only_report().kind == member_report_kind::reserved_ready);
    CHECK(agent.send(gang_command_kind::release, own_incarnation + 1).empty());
    gang_command other_epoch = agent.command(gang_command_kind::release);
    other_epoch.task.epoch = 2;
    CHECK(agent.participant.handle(other_epoch).empty());
    CHECK(agent.send(gang_command_kind::release).size() == 1);
    CHECK(agent.send(gang_command_kind::release).empty());
    CHECK(agent.participant.begin_start(agent.task));
    CHECK_FALSE(agent.participant.begin_start(agent.task));
    agent.participant.task_started(agent.task);
    CHECK(agent.only_report().kind == member_report_kind::running);
}

// Commands that arrive after the end was acknowledged must not run the task again.
TEST_CASE("delayed commands for an ended task have no effect")
{
    fixture agent;
    agent.run();
    agent.participant.task_ended(agent.task, task_outcome::done);
    CHECK(agent.only_report().outcome == task_outcome::done);
    static_cast<void>(agent.send(gang_command_kind::acknowledge));
    CHECK(agent.participant.reports().empty());
    CHECK(agent.send(gang_command_kind::reserve).empty());
    CHECK(agent.send(gang_command_kind::release).empty());
    CHECK(agent.participant.reports().empty());
}

// A reserve command that arrives after the stop of the same attempt must not hold accelerators.
TEST_CASE("a stop for an unknown attempt makes a delayed reserve ineffective")
{
    fixture agent;
    CHECK(agent.send(gang_command_kind::stop).empty());
    CHECK(agent.only_report().outcome == task_outcome::not_run);
    static_cast<void>(agent.send(gang_command_kind::reserve));
    CHECK(agent.participant.accelerators_in_use() == 0);
}

// A process may be paused between the decision to start a task and the start itself. A permit that
// expired meanwhile must prevent the start.
TEST_CASE("the permit is checked again immediately before the start")
{
    fixture agent;
    static_cast<void>(agent.send(gang_command_kind::reserve));
    CHECK(agent.send(gang_command_kind::release).size() == 1);
    agent.clock.advance(2920ms);
    CHECK_FALSE(agent.participant.begin_start(agent.task));
    CHECK(agent.only_report().outcome == task_outcome::not_run);
}

// When an executor cannot attempt the start, the gang must not wait for its start timeout.
TEST_CASE("an executor may report the end of a task that it did not start")
{
    fixture agent;
    static_cast<void>(agent.send(gang_command_kind::reserve));
    agent.participant.task_ended(agent.task, task_outcome::failed);
    CHECK(agent.only_report().kind == member_report_kind::reserved_ready);
    static_cast<void>(agent.send(gang_command_kind::release));
    agent.participant.task_ended(agent.task, task_outcome::failed);
    CHECK(agent.only_report().outcome == task_outcome::not_run);
    CHECK_FALSE(agent.participant.begin_start(agent.task));
}

// A release in a withdrawn data centre must neither start work nor stay pending.
TEST_CASE("a release in a withdrawn data centre ends the task as not run")
{
    fixture agent;
    static_cast<void>(agent.send(gang_command_kind::reserve));
    static_cast<void>(agent.permits.accept({"north", false, 2, 1, 0, 3000}, agent.clock.now(), 1));
    CHECK(agent.send(gang_command_kind::release).empty());
    CHECK(agent.only_report().outcome == task_outcome::not_run);
}

// A release must not be lost when the permit has expired or its revision is still being fetched.
TEST_CASE("a release waits for a permit until the reservation ends")
{
    fixture agent;
    agent.clock.advance(2970ms);
    static_cast<void>(agent.send(gang_command_kind::reserve));
    CHECK(agent.send(gang_command_kind::release).empty());
    agent.renew();
    CHECK(agent.participant.tick().size() == 1);
}

// Accelerators must not stay reserved when no leader returns.
TEST_CASE("a reservation expires at its deadline without a command")
{
    fixture agent;
    static_cast<void>(agent.send(gang_command_kind::reserve));
    agent.clock.advance(2000ms);
    static_cast<void>(agent.participant.tick());
    CHECK(agent.only_report().kind == member_report_kind::reservation_expired);
    CHECK(agent.send(gang_command_kind::release).empty());
    CHECK(agent.participant.accelerators_in_use() == 0);
}

// Two tasks must not hold one accelerator, nor more slots or accelerators than the worker has.
TEST_CASE("accelerators and slots are not reserved twice")
{
    gang_participant_options options;
    options.slots = 2;
    fixture agent(options);
    static_cast<void>(agent.send(gang_command_kind::reserve));
    gang_command second = agent.command(gang_command_kind::reserve);
    second.task = {"other", 1, 0};
    second.accelerator_mask = 2;
    static_cast<void>(agent.participant.handle(second));
    CHECK(agent.participant.accelerators_in_use() == 3);
    second.task = {"third", 1, 0};
    second.accelerator_mask = 4;
    second.slots = 2;
    static_cast<void>(agent.participant.handle(second));
    second.task = {"fourth", 1, 0};
    second.accelerator_mask = 1ULL << 8;
    second.slots = 1;
    static_cast<void>(agent.participant.handle(second));
    CHECK(agent.participant.accelerators_in_use() == 3);
    CHECK(agent.participant.slots_in_use() == 1);
}

// A task whose lease has expired must be stopped, even if a new permit arrives before the expiry is
// noticed.
TEST_CASE("tasks stop when the lease expires, even if it is renewed later")
{
    fixture agent;
    agent.run();
    agent.clock.advance(500ms);
    agent.renew();
    const std::vector<gang_action> renewed = agent.participant.tick();
    REQUIRE(renewed.size() == 1);
    CHECK(std::get<renew_lease>(renewed.front()).lease_deadline == agent.clock.now() + 2920ms);
    agent.clock.advance(2920ms);
    agent.renew();
    const std::vector<gang_action> late = agent.participant.tick();
    REQUIRE(late.size() == 1);
    CHECK(std::holds_alternative<stop_task>(late.front()));
    agent.clock.advance(500ms);
    static_cast<void>(agent.participant.tick());
    CHECK(agent.only_report().outcome == task_outcome::unknown);
}

// Commands of a former leader that arrive after those of its successor must have no effect.
TEST_CASE("commands of a lower term are ignored")
{
    fixture agent;
    agent.run();
    gang_command newer = agent.command(gang_command_kind::throttle);
    newer.term = 5;
    newer.speed_percent = 40;
    CHECK(agent.participant.handle(newer).size() == 1);
    CHECK(agent.send(gang_command_kind::stop).empty());
    CHECK(agent.only_report().speed_percent == 40);
}

// A report must not be omitted before the current leader has received it.
TEST_CASE("unchanged tasks are omitted from reports once the current leader has received them")
{
    fixture agent;
    agent.run();
    const report_batch first = agent.participant.changed_reports();
    CHECK(first.reports.size() == 1);
    agent.participant.reports_delivered(first.from, first.version, 1);
    const report_batch second = agent.participant.changed_reports();
    CHECK(second.reports.empty());
    // The second poll is answered by a new leader, which has not seen the first.
    agent.participant.reports_delivered(second.from, second.version, 2);
    CHECK(agent.participant.changed_reports().reports.size() == 1);
    agent.participant.reports_delivered(first.from, first.version, 1);
    agent.participant.reports_delivered(second.from, second.version, 2);
    CHECK(agent.participant.changed_reports().reports.size() == 1);
    const report_batch third = agent.participant.changed_reports();
    agent.participant.reports_delivered(third.from, third.version, 2);
    CHECK(agent.participant.changed_reports().reports.empty());
    agent.participant.task_ended(agent.task, task_outcome::done);
    const report_batch last = agent.participant.changed_reports();
    agent.participant.reports_delivered(last.from, last.version, 2);
    CHECK(agent.participant.changed_reports().reports.size() == 1);
}

// A repeated checkpoint command must not cause a second checkpoint, and one lost stop action must
// not leave the task running.
TEST_CASE("a checkpoint is requested once and a stop is repeated until the task ends")
{
    fixture agent;
    agent.run();
    CHECK(agent.send(gang_command_kind::checkpoint).size() == 1);
    CHECK(agent.send(gang_command_kind::checkpoint).empty());
    agent.participant.task_checkpointed(agent.task);
    CHECK(agent.only_report().checkpointed);
    CHECK(agent.send(gang_command_kind::stop).size() == 1);
    agent.clock.advance(500ms);
    CHECK(agent.participant.tick().size() == 1);
    agent.participant.task_ended(agent.task, task_outcome::failed);
    CHECK(agent.only_report().outcome == task_outcome::failed);
}
