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
    Record log()
    {
        const Record record = this->proposal<Record>();
        this->leader.applied(record);
        return record;
    }

    void release()
    {
        this->place();
        this->report_both(member_report_kind::reserved_ready);
        static_cast<void>(this->log<gang_released>());
    }

    bool sends(std::string_view worker, gang_command_kind kind)
    {
        const std::vector<gang_command> commands =
            this->leader.commands_for(worker, worker == "w1" ? 11 : 12);
        return commands.size() == 1 && commands.front().kind == kind;
    }
};

} // namespace

// Guards against a release that leaves before its record is in the log.
TEST_CASE("a gang is released after the record and ends when all members are done")
{
    fixture control;
    control.place();
    CHECK(control.sends("w1", gang_command_kind::reserve));
    control.report("w1", member_report_kind::reserved_ready);
    CHECK(control.leader.take_proposals().empty());
    control.report("w2", member_report_kind::reserved_ready);
    const gang_released record = control.proposal<gang_released>();
    CHECK(record.members.at(1).incarnation == 12);
    CHECK(control.leader.commands_for("w1", 11).empty());
    control.leader.applied(record);
    CHECK(control.sends("w1", gang_command_kind::release));
    CHECK(control.sends("w1", gang_command_kind::release));
    control.report_both(member_report_kind::running);
    CHECK(control.leader.commands_for("w1", 11).empty());
    control.report_both(member_report_kind::ended, task_outcome::done);
    const gang_ended ended = control.log<gang_ended>();
    CHECK(ended.reason == gang_end_reason::completed);
    CHECK_FALSE(control.leader.contains("job"));
    control.report("w1", member_report_kind::ended, task_outcome::done);
    CHECK(control.sends("w1", gang_command_kind::acknowledge));
}

// Guards against cells that stay reserved for a member that never answers.
TEST_CASE("a gang that is not ready in time is abandoned")
{
    fixture control;
    control.place();
    control.report("w1", member_report_kind::reserved_ready);
    control.clock.advance(1400ms);
    control.leader.tick();
    CHECK(control.sends("w1", gang_command_kind::stop));
    CHECK(control.log<gang_abandoned>().reason == gang_end_reason::timed_out);
    control.report("w1", member_report_kind::reserved_ready);
    CHECK(control.sends("w1", gang_command_kind::stop));
}

// Guards against a part of a gang that runs on when a member missed the release.
TEST_CASE("a member that does not run by its deadline breaks the gang")
{
    fixture control;
    control.release();
    control.report("w1", member_report_kind::running);
    control.clock.advance(1500ms);
    static_cast<void>(control.leader.commands_for("w1", 11));
    control.leader.tick();
    CHECK(control.log<gang_broken>().reason == gang_end_reason::timed_out);
    CHECK(control.sends("w1", gang_command_kind::stop));
    control.report_both(member_report_kind::ended, task_outcome::not_run);
    CHECK(control.log<gang_ended>().reason == gang_end_reason::timed_out);
    CHECK(control.leader.statistics().overlaps == 1);
    CHECK(control.leader.statistics().overlaps_over_bound == 0);
}

// Guards against cells that are given on while a lost member may still run.
TEST_CASE("a lost member's cells are in use until its lease surely ended")
{
    fixture control;
    control.release();
    control.report_both(member_report_kind::running);
    static_cast<void>(control.leader.commands_for("w1", 11));
    control.clock.advance(3000ms);
    static_cast<void>(control.leader.commands_for("w2", 12));
    control.leader.on_worker_lost("w1");
    CHECK(control.log<gang_broken>().reason == gang_end_reason::member_lost);
    control.report("w2", member_report_kind::ended, task_outcome::failed);
    control.clock.advance(29ms);
    control.leader.tick();
    CHECK(control.leader.take_proposals().empty());
    CHECK(error_code<membership_errc>(control.leader.place("other", 1, {{"w1", 0, 1, 1}})) ==
          membership_errc::cells_in_use);
    control.clock.advance(1ms);
    control.leader.tick();
    CHECK(control.log<gang_ended>().members.at(0).outcome == task_outcome::unknown);
    CHECK(control.leader.place("other", 1, {{"w1", 0, 1, 1}}).ok());
}

// Guards against a restarted agent that is taken for the member, or whose old task is forgotten.
TEST_CASE("a restart breaks the gang and the former lease still counts")
{
    fixture control;
    control.release();
    static_cast<void>(control.leader.commands_for("w1", 11));
    control.clock.advance(1000ms);
    CHECK(control.leader.commands_for("w1", 99).empty());
    static_cast<void>(control.log<gang_broken>());
    control.report("w2", member_report_kind::ended, task_outcome::not_run);
    control.clock.advance(2029ms);
    static_cast<void>(control.leader.commands_for("w1", 99));
    control.leader.tick();
    CHECK(control.leader.take_proposals().empty());
    control.clock.advance(1ms);
    control.leader.tick();
    static_cast<void>(control.log<gang_ended>());
}

// Guards against a lease that is taken for ended while the agent goes on renewing it.
TEST_CASE("a member whose incarnation returns is stopped and keeps its lease until then")
{
    fixture control;
    control.release();
    control.report_both(member_report_kind::running);
    static_cast<void>(control.leader.commands_for("w1", 99));
    control.clock.advance(2000ms);
    CHECK(control.sends("w1", gang_command_kind::stop));
    static_cast<void>(control.leader.commands_for("w2", 12));
    control.clock.advance(2000ms);
    control.leader.tick();
    CHECK(control.log<gang_broken>().reason == gang_end_reason::member_lost);
}

// Guards against a new leader that loses a released gang or resumes a half reserved one.
TEST_CASE("a new leader delivers a logged release and abandons what was only placed")
{
    fixture control;
    gang_log log;
    log.place("job", 1, {{"w1", 11, 1, 1}, {"w2", 12, 1, 1}});
    log.place("half", 4, {{"w1", 0, 2, 1}});
    log.apply(gang_released{"job", 1, {{"w1", 11, 1, 1}, {"w2", 12, 1, 1}}});
    control.leader.restore(2, log.records());
    CHECK(control.log<gang_abandoned>().job == "half");
    const std::vector<gang_command> commands = control.leader.commands_for("w1", 11);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().kind == gang_command_kind::release);
    CHECK(commands.front().term == 2);
    control.report_both(member_report_kind::running);
    CHECK(control.leader.list().front().phase == gang_phase::running);
}

// Guards against a borrower that is stopped without its grace period, or kept beyond it.
TEST_CASE("a reclaim checkpoints first and then stops")
{
    fixture control;
    control.release();
    control.report_both(member_report_kind::running);
    const redwingwheel::steady_time now = control.clock.now();
    control.leader.reclaim("job", now + 1000ms, now + 1500ms);
    CHECK(control.sends("w1", gang_command_kind::checkpoint));
    control.clock.advance(1000ms);
    control.leader.tick();
    CHECK(control.sends("w1", gang_command_kind::stop));
    control.report_both(member_report_kind::ended, task_outcome::failed);
    CHECK(control.log<gang_ended>().reason == gang_end_reason::reclaimed);
    CHECK(control.leader.statistics().overlaps == 0);
}

// Guards against a cancelled gang that runs because its release was on the way to the log.
TEST_CASE("a cancel during the commit of the release stops the gang")
{
    fixture control;
    control.place();
    control.report_both(member_report_kind::reserved_ready);
    const gang_released record = control.proposal<gang_released>();
    control.leader.cancel("job");
    control.leader.applied(record);
    CHECK(control.sends("w1", gang_command_kind::stop));
}

// Guards against malformed and double placements.
TEST_CASE("placements are checked")
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
