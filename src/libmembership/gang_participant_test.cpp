#include <catch2/catch.hpp>

#include "redwingwheel/gang.h"

using namespace redwingwheel;
using namespace redwingwheel::membership;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t own = 77;

struct fixture {
    manual_clock clock;
    permit_holder permits{this->clock.function()};
    gang_participant member{this->clock.function(), this->permits, own};
    task_key task{"job", 1, 0};

    explicit fixture(gang_participant_options options = {})
        : member(this->clock.function(), this->permits, own, options)
    {
        this->renew();
    }

    void renew()
    {
        static_cast<void>(
            this->permits.accept({"north", true, 1, 1, 3000, 3000}, this->clock.now(), 1));
    }

    gang_command command(gang_command_kind kind, std::uint64_t incarnation = own) const
    {
        return {kind, this->task, incarnation, 1, 3, 1, 2000, 100};
    }

    std::vector<gang_action> send(gang_command_kind kind, std::uint64_t incarnation = own)
    {
        return this->member.handle(this->command(kind, incarnation));
    }

    void run()
    {
        static_cast<void>(this->send(gang_command_kind::reserve));
        REQUIRE(this->send(gang_command_kind::release).size() == 1);
        REQUIRE(this->member.begin_start(this->task));
        this->member.task_started(this->task);
    }

    member_report only_report() const
    {
        REQUIRE(this->member.reports().size() == 1);
        return this->member.reports().front();
    }
};

} // namespace

// Guards against a start on a release for another attempt, another process or a second time.
TEST_CASE("a task starts once, on a release of its epoch and incarnation")
{
    fixture agent;
    CHECK(agent.send(gang_command_kind::release).empty());
    static_cast<void>(agent.send(gang_command_kind::reserve));
    CHECK(agent.only_report().kind == member_report_kind::reserved_ready);
    CHECK(agent.send(gang_command_kind::release, own + 1).empty());
    gang_command other_epoch = agent.command(gang_command_kind::release);
    other_epoch.task.epoch = 2;
    CHECK(agent.member.handle(other_epoch).empty());
    CHECK(agent.send(gang_command_kind::release).size() == 1);
    CHECK(agent.send(gang_command_kind::release).empty());
    CHECK(agent.member.begin_start(agent.task));
    CHECK_FALSE(agent.member.begin_start(agent.task));
    agent.member.task_started(agent.task);
    CHECK(agent.only_report().kind == member_report_kind::running);
}

// Guards against a second run by commands that arrive after the end was acknowledged.
TEST_CASE("late commands for an ended task do nothing")
{
    fixture agent;
    agent.run();
    agent.member.task_ended(agent.task, task_outcome::done);
    CHECK(agent.only_report().outcome == task_outcome::done);
    static_cast<void>(agent.send(gang_command_kind::acknowledge));
    CHECK(agent.member.reports().empty());
    CHECK(agent.send(gang_command_kind::reserve).empty());
    CHECK(agent.send(gang_command_kind::release).empty());
    CHECK(agent.member.reports().empty());
}

// Guards against a reserve that overtakes the stop of the same attempt and holds cells.
TEST_CASE("a stop for an unknown attempt keeps a late reserve from it")
{
    fixture agent;
    CHECK(agent.send(gang_command_kind::stop).empty());
    CHECK(agent.only_report().outcome == task_outcome::not_run);
    static_cast<void>(agent.send(gang_command_kind::reserve));
    CHECK(agent.member.accelerators_in_use() == 0);
}

// Guards against a process that was paused between the decision to start and the act.
TEST_CASE("the permit is checked again at the act")
{
    fixture agent;
    static_cast<void>(agent.send(gang_command_kind::reserve));
    CHECK(agent.send(gang_command_kind::release).size() == 1);
    agent.clock.advance(2920ms);
    CHECK_FALSE(agent.member.begin_start(agent.task));
    CHECK(agent.only_report().outcome == task_outcome::not_run);
}

// Guards against a gang that waits for its start limit when an executor cannot even try.
TEST_CASE("an executor may give up before the start")
{
    fixture agent;
    static_cast<void>(agent.send(gang_command_kind::reserve));
    agent.member.task_ended(agent.task, task_outcome::failed);
    CHECK(agent.only_report().kind == member_report_kind::reserved_ready);
    static_cast<void>(agent.send(gang_command_kind::release));
    agent.member.task_ended(agent.task, task_outcome::failed);
    CHECK(agent.only_report().outcome == task_outcome::not_run);
    CHECK_FALSE(agent.member.begin_start(agent.task));
}

// Guards against a release that starts work in a withdrawn data centre or hangs there.
TEST_CASE("a release in a withdrawn data centre ends as not run")
{
    fixture agent;
    static_cast<void>(agent.send(gang_command_kind::reserve));
    static_cast<void>(agent.permits.accept({"north", false, 2, 1, 0, 3000}, agent.clock.now(), 1));
    CHECK(agent.send(gang_command_kind::release).empty());
    CHECK(agent.only_report().outcome == task_outcome::not_run);
}

// Guards against a release that is lost because the permit's revision was still being fetched.
TEST_CASE("a release waits for a permit until the reserve ends")
{
    fixture agent;
    agent.clock.advance(2970ms);
    static_cast<void>(agent.send(gang_command_kind::reserve));
    CHECK(agent.send(gang_command_kind::release).empty());
    agent.renew();
    CHECK(agent.member.tick().size() == 1);
}

// Guards against cells that stay reserved when the leader never comes back.
TEST_CASE("a reserve ends by itself at its deadline")
{
    fixture agent;
    static_cast<void>(agent.send(gang_command_kind::reserve));
    agent.clock.advance(2000ms);
    static_cast<void>(agent.member.tick());
    CHECK(agent.only_report().kind == member_report_kind::reserve_expired);
    CHECK(agent.send(gang_command_kind::release).empty());
    CHECK(agent.member.accelerators_in_use() == 0);
}

// Guards against two tasks on one accelerator and against more slots than there are.
TEST_CASE("accelerators and slots are never given twice")
{
    gang_participant_options options;
    options.slots = 2;
    fixture agent(options);
    static_cast<void>(agent.send(gang_command_kind::reserve));
    gang_command second = agent.command(gang_command_kind::reserve);
    second.task = {"other", 1, 0};
    second.accelerator_mask = 2;
    static_cast<void>(agent.member.handle(second));
    CHECK(agent.member.accelerators_in_use() == 3);
    second.task = {"third", 1, 0};
    second.accelerator_mask = 4;
    second.slots = 2;
    static_cast<void>(agent.member.handle(second));
    second.task = {"fourth", 1, 0};
    second.accelerator_mask = 1ULL << 8;
    second.slots = 1;
    static_cast<void>(agent.member.handle(second));
    CHECK(agent.member.accelerators_in_use() == 3);
    CHECK(agent.member.slots_in_use() == 1);
}

// Guards against tasks that run on without a lease, also when a new permit arrives first.
TEST_CASE("tasks stop when the lease runs out, even if it is renewed later")
{
    fixture agent;
    agent.run();
    agent.clock.advance(500ms);
    agent.renew();
    const std::vector<gang_action> renewed = agent.member.tick();
    REQUIRE(renewed.size() == 1);
    CHECK(std::get<renew_lease>(renewed.front()).lease_deadline == agent.clock.now() + 2920ms);
    agent.clock.advance(2920ms);
    agent.renew();
    const std::vector<gang_action> late = agent.member.tick();
    REQUIRE(late.size() == 1);
    CHECK(std::holds_alternative<stop_task>(late.front()));
    agent.clock.advance(500ms);
    static_cast<void>(agent.member.tick());
    CHECK(agent.only_report().outcome == task_outcome::unknown);
}

// Guards against commands of a deposed leader that arrive after those of its successor.
TEST_CASE("commands of a lower term are ignored")
{
    fixture agent;
    agent.run();
    gang_command newer = agent.command(gang_command_kind::throttle);
    newer.term = 5;
    newer.speed_percent = 40;
    CHECK(agent.member.handle(newer).size() == 1);
    CHECK(agent.send(gang_command_kind::stop).empty());
    CHECK(agent.only_report().speed_percent == 40);
}

// Guards against a report that is left out before the present leader has seen it.
TEST_CASE("unchanged members are left out once the present leader has seen them")
{
    fixture agent;
    agent.run();
    const report_batch first = agent.member.changed_reports();
    CHECK(first.reports.size() == 1);
    agent.member.reports_delivered(first.from, first.version, 1);
    const report_batch second = agent.member.changed_reports();
    CHECK(second.reports.empty());
    // The second poll is answered by a new leader, which has not seen the first.
    agent.member.reports_delivered(second.from, second.version, 2);
    CHECK(agent.member.changed_reports().reports.size() == 1);
    agent.member.reports_delivered(first.from, first.version, 1);
    agent.member.reports_delivered(second.from, second.version, 2);
    CHECK(agent.member.changed_reports().reports.size() == 1);
    const report_batch third = agent.member.changed_reports();
    agent.member.reports_delivered(third.from, third.version, 2);
    CHECK(agent.member.changed_reports().reports.empty());
    agent.member.task_ended(agent.task, task_outcome::done);
    const report_batch last = agent.member.changed_reports();
    agent.member.reports_delivered(last.from, last.version, 2);
    CHECK(agent.member.changed_reports().reports.size() == 1);
}

// Guards against repeated checkpoints and against a stop that is given up after one lost action.
TEST_CASE("a checkpoint is asked once and a stop is repeated until the end")
{
    fixture agent;
    agent.run();
    CHECK(agent.send(gang_command_kind::checkpoint).size() == 1);
    CHECK(agent.send(gang_command_kind::checkpoint).empty());
    agent.member.task_checkpointed(agent.task);
    CHECK(agent.only_report().checkpointed);
    CHECK(agent.send(gang_command_kind::stop).size() == 1);
    agent.clock.advance(500ms);
    CHECK(agent.member.tick().size() == 1);
    agent.member.task_ended(agent.task, task_outcome::failed);
    CHECK(agent.only_report().outcome == task_outcome::failed);
}
