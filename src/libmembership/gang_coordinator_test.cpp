#include <catch2/catch.hpp>

#include "redwingwheel/gang.h"

using namespace redwingwheel;
using namespace redwingwheel::membership;
using namespace std::chrono_literals;

namespace {

struct fixture {
    manual_clock clock;
    gang_coordinator leader{this->clock.function()};

    fixture() { this->leader.restore(1, {}); }

    void place(std::uint64_t epoch = 1)
    {
        REQUIRE(this->leader.place("job", epoch, {{"w1", 0, 1, 1}, {"w2", 0, 1, 1}}).ok());
    }

    void report(std::string_view worker, member_report_kind kind,
                task_outcome outcome = task_outcome::none)
    {
        const std::uint32_t index = worker == "w1" ? 0 : 1;
        const std::uint64_t incarnation = worker == "w1" ? 11 : 12;
        this->leader.on_report(worker, incarnation, {kind, {"job", 1, index}, outcome});
    }

    void report_both(member_report_kind kind, task_outcome outcome = task_outcome::none)
    {
        this->report("w1", kind, outcome);
        this->report("w2", kind, outcome);
    }

    template <class Record>
    Record proposal()
    {
        const std::vector<gang_proposal> proposals = this->leader.take_proposals();
        REQUIRE(proposals.size() == 1);
        REQUIRE(std::holds_alternative<Record>(proposals.front()));
        return std::get<Record>(proposals.front());
    }

    template <class Record>
    Record log_proposal()
    {
        const Record record = this->proposal<Record>();
        this->leader.applied(record);
        return record;
    }

    void release()
    {
        this->place();
        this->report_both(member_report_kind::reserved_ready);
        static_cast<void>(this->log_proposal<gang_released>());
    }

    bool sends_only(std::string_view worker, gang_command_kind kind)
    {
        const std::vector<gang_command> commands =
            this->leader.commands_for(worker, worker == "w1" ? 11 : 12);
        return commands.size() == 1 && commands.front().kind == kind;
    }
};

} // namespace

// A release command must not be sent before the release record is committed.
TEST_CASE("a gang is released after its record is applied and ends when all members are done")
{
    fixture control;
    control.place();
    CHECK(control.sends_only("w1", gang_command_kind::reserve));
    control.report("w1", member_report_kind::reserved_ready);
    CHECK(control.leader.take_proposals().empty());
    control.report("w2", member_report_kind::reserved_ready);
    const gang_released record = control.proposal<gang_released>();
    CHECK(record.members.at(1).incarnation == 12);
    CHECK(control.leader.commands_for("w1", 11).empty());
    control.leader.applied(record);
    CHECK(control.sends_only("w1", gang_command_kind::release));
    CHECK(control.sends_only("w1", gang_command_kind::release));
    control.report_both(member_report_kind::running);
    CHECK(control.leader.commands_for("w1", 11).empty());
    control.report_both(member_report_kind::ended, task_outcome::done);
    const gang_ended ended = control.log_proposal<gang_ended>();
    CHECK(ended.reason == gang_end_reason::completed);
    CHECK_FALSE(control.leader.contains("job"));
    control.report("w1", member_report_kind::ended, task_outcome::done);
    CHECK(control.sends_only("w1", gang_command_kind::acknowledge));
}

// Accelerators must not stay reserved for a gang of which one member never answers.
TEST_CASE("a gang whose members are not all ready in time is abandoned")
{
    fixture control;
    control.place();
    control.report("w1", member_report_kind::reserved_ready);
    control.clock.advance(1400ms);
    control.leader.tick();
    CHECK(control.sends_only("w1", gang_command_kind::stop));
    CHECK(control.log_proposal<gang_abandoned>().reason == gang_end_reason::timed_out);
    control.report("w1", member_report_kind::reserved_ready);
    CHECK(control.sends_only("w1", gang_command_kind::stop));
}

// When one member misses the release, the members that run must be stopped.
TEST_CASE("a member that is not running by the start deadline breaks the gang")
{
    fixture control;
    control.release();
    control.report("w1", member_report_kind::running);
    control.clock.advance(1500ms);
    static_cast<void>(control.leader.commands_for("w1", 11));
    control.leader.tick();
    CHECK(control.log_proposal<gang_broken>().reason == gang_end_reason::timed_out);
    CHECK(control.sends_only("w1", gang_command_kind::stop));
    control.report_both(member_report_kind::ended, task_outcome::not_run);
    CHECK(control.log_proposal<gang_ended>().reason == gang_end_reason::timed_out);
    CHECK(control.leader.statistics().partial_runs == 1);
    CHECK(control.leader.statistics().partial_runs_over_bound == 0);
}

// The accelerators of a lost member must not be placed again while its task may still run.
TEST_CASE("a lost member's accelerators stay in use until its lease has expired")
{
    fixture control;
    control.release();
    control.report_both(member_report_kind::running);
    static_cast<void>(control.leader.commands_for("w1", 11));
    control.clock.advance(3000ms);
    static_cast<void>(control.leader.commands_for("w2", 12));
    control.leader.on_worker_lost("w1");
    CHECK(control.log_proposal<gang_broken>().reason == gang_end_reason::member_lost);
    control.report("w2", member_report_kind::ended, task_outcome::failed);
    control.clock.advance(29ms);
    control.leader.tick();
    CHECK(control.leader.take_proposals().empty());
    CHECK(error_code<membership_errc>(control.leader.place("other", 1, {{"w1", 0, 1, 1}})) ==
          membership_errc::cells_in_use);
    control.clock.advance(1ms);
    control.leader.tick();
    CHECK(control.log_proposal<gang_ended>().members.at(0).outcome == task_outcome::unknown);
    CHECK(control.leader.place("other", 1, {{"w1", 0, 1, 1}}).ok());
}

// A restarted agent must not be taken for the process that was released, and the task that the
// former process may still run must be waited for.
TEST_CASE("an agent's restart breaks the gang, which ends only after the former lease has expired")
{
    fixture control;
    control.release();
    static_cast<void>(control.leader.commands_for("w1", 11));
    control.clock.advance(1000ms);
    CHECK(control.leader.commands_for("w1", 99).empty());
    static_cast<void>(control.log_proposal<gang_broken>());
    control.report("w2", member_report_kind::ended, task_outcome::not_run);
    control.clock.advance(2029ms);
    static_cast<void>(control.leader.commands_for("w1", 99));
    control.leader.tick();
    CHECK(control.leader.take_proposals().empty());
    control.clock.advance(1ms);
    control.leader.tick();
    static_cast<void>(control.log_proposal<gang_ended>());
}

// A delayed message of a former process looks like a restart. When the real incarnation polls
// again, its renewed lease must not be taken for expired.
TEST_CASE("a member whose incarnation returns is stopped and its gang waits for the renewed lease")
{
    fixture control;
    control.release();
    control.report_both(member_report_kind::running);
    static_cast<void>(control.leader.commands_for("w1", 99));
    control.clock.advance(2000ms);
    CHECK(control.sends_only("w1", gang_command_kind::stop));
    static_cast<void>(control.leader.commands_for("w2", 12));
    control.clock.advance(2000ms);
    control.leader.tick();
    CHECK(control.log_proposal<gang_broken>().reason == gang_end_reason::member_lost);
}

// A new leader must not lose a released gang or resume one that was only partly reserved.
TEST_CASE(
    "a new leader sends the release of a released gang and abandons a gang that was only placed")
{
    fixture control;
    gang_record_store log;
    log.place("job", 1, {{"w1", 11, 1, 1}, {"w2", 12, 1, 1}});
    log.place("half", 4, {{"w1", 0, 2, 1}});
    log.apply(gang_released{"job", 1, {{"w1", 11, 1, 1}, {"w2", 12, 1, 1}}});
    control.leader.restore(2, log.records());
    CHECK(control.log_proposal<gang_abandoned>().job == "half");
    const std::vector<gang_command> commands = control.leader.commands_for("w1", 11);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().kind == gang_command_kind::release);
    CHECK(commands.front().term == 2);
    control.report_both(member_report_kind::running);
    CHECK(control.leader.list().front().phase == gang_phase::running);
}

// A reclaimed gang must get its time for a checkpoint, and no more than that.
TEST_CASE("a reclaim asks for checkpoints first and then stops the gang")
{
    fixture control;
    control.release();
    control.report_both(member_report_kind::running);
    const redwingwheel::steady_time now = control.clock.now();
    control.leader.reclaim("job", now + 1000ms, now + 1500ms);
    CHECK(control.sends_only("w1", gang_command_kind::checkpoint));
    control.clock.advance(1000ms);
    control.leader.tick();
    CHECK(control.sends_only("w1", gang_command_kind::stop));
    control.report_both(member_report_kind::ended, task_outcome::failed);
    CHECK(control.log_proposal<gang_ended>().reason == gang_end_reason::reclaimed);
    CHECK(control.leader.statistics().partial_runs == 0);
}

// A gang that is cancelled while its release record is being committed must not run.
TEST_CASE("a cancel during the commit of the release record stops the gang")
{
    fixture control;
    control.place();
    control.report_both(member_report_kind::reserved_ready);
    const gang_released record = control.proposal<gang_released>();
    control.leader.cancel("job");
    control.leader.applied(record);
    CHECK(control.sends_only("w1", gang_command_kind::stop));
}

// Malformed placements and placements on accelerators in use must be rejected.
TEST_CASE("invalid and conflicting placements are rejected")
{
    fixture control;
    control.place();
    const auto code = [&control](std::string_view job, std::vector<gang_member_record> members) {
        return error_code<membership_errc>(control.leader.place(job, 2, std::move(members)));
    };
    CHECK(code("job", {{"w3", 0, 1, 1}}) == membership_errc::gang_exists);
    CHECK(code("empty", {}) == membership_errc::malformed_gang);
    CHECK(code("twice", {{"w3", 0, 1, 1}, {"w3", 0, 3, 1}}) == membership_errc::cells_in_use);
    CHECK(code("taken", {{"w2", 0, 1, 1}}) == membership_errc::cells_in_use);
}
