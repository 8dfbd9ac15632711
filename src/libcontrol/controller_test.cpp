#include "redwingwheel/controller.h"

#include <deque>

#include <catch2/catch.hpp>

namespace control = redwingwheel::control;
namespace config = redwingwheel::config;
namespace membership = redwingwheel::membership;
namespace messages = redwingwheel::messages;
using redwingwheel::milliseconds;

namespace {

constexpr std::int64_t noon_ms = 1'796'300'000'000;

/// A leading controller whose proposals are committed by explicit calls, and polls of its workers.
class leader_fixture {
public:
    leader_fixture()
        : leader({}, this->clock.function(), this->state,
                 {[this](const control::command& of, control::command_callback done) {
                      this->proposed.push_back({of, std::move(done)});
                  },
                  [] { return noon_ms; }})
    {
        this->leader.begin_leadership(1);
        this->clock.advance(milliseconds(4000));
        config::release_note note;
        note.note = "first";
        note.added.data_centres = {{"dc1", "here"}};
        note.added.client_accounts = {{"norte", std::string(64, 'a'), 1}};
        config::service service;
        service.name = "builds";
        service.can_checkpoint = true;
        service.accounts = {"norte"};
        note.added.services = {service};
        this->commit(control::apply_release_note{note, {"ops", 1}});
    }

    void commit(const control::command& of)
    {
        const control::command_result result = this->state.apply(of, ++this->index);
        this->leader.applied(of, result, this->index);
    }

    /// Applies all proposals in order, also those that applying others adds.
    void commit_all()
    {
        while (!this->proposed.empty()) {
            const proposal next = std::move(this->proposed.front());
            this->proposed.pop_front();
            const control::command_result result = this->state.apply(next.of, ++this->index);
            this->leader.applied(next.of, result, this->index);
            next.done(result);
        }
    }

    std::optional<messages::agent_poll_answer> poll(const std::string& worker, bool shutting_down,
                                                    std::vector<membership::member_report> reports)
    {
        messages::agent_poll message;
        message.worker = worker;
        message.incarnation = 7;
        message.sequence = ++this->sequence;
        message.revision = this->state.configuration().revision();
        message.shutting_down = shutting_down;
        message.reports = std::move(reports);
        message.announcement.push_back({worker, "dc1", "r1", "127.0.0.1:1", 8, 4, 1, 1, 8, 64});
        std::optional<messages::agent_poll_answer> answer = this->leader.poll(message);
        this->commit_all();
        return answer;
    }

    void submit(const std::string& id, std::uint32_t accelerators)
    {
        control::job_description job;
        job.id = id;
        job.account = "norte";
        job.service = "builds";
        job.accelerators_per_member = accelerators;
        job.can_checkpoint = true;
        this->leader.submit(job, [this](const absl::StatusOr<control::command_result>& result) {
            this->submitted = result.ok();
        });
    }

    struct proposal {
        control::command of;
        control::command_callback done;
    };

    redwingwheel::manual_clock clock;
    control::control_state state{control::check_feasibility};
    std::deque<proposal> proposed;
    control::controller leader;
    std::uint64_t index = 0;
    std::uint64_t sequence = 0;
    bool submitted = false;
};

} // namespace

// Guards against the placement of a job whose submission is not in the log. It was seen when the
// job was queued in the engine before its submission was applied.
TEST_CASE("a job is not placed before its submission is applied", "[controller]")
{
    leader_fixture test;
    static_cast<void>(test.poll("w1", false, {}));
    static_cast<void>(test.poll("w1", false, {}));
    test.submit("a", 8);
    test.leader.tick();
    REQUIRE(test.proposed.size() == 1);
    test.commit_all();
    REQUIRE(test.submitted);
    test.leader.tick();
    test.commit_all();
    REQUIRE(test.state.find_job("a")->state == control::job_state::placed);
}

// Guards against a release command that is sent before the release is committed, and against a gang
// that starts before its members are ready.
TEST_CASE("a release command is sent only after the release is committed", "[controller]")
{
    leader_fixture test;
    static_cast<void>(test.poll("w1", false, {}));
    static_cast<void>(test.poll("w1", false, {}));
    test.submit("a", 8);
    test.commit_all();
    test.leader.tick();
    test.commit_all();
    const std::optional<messages::agent_poll_answer> reserve = test.poll("w1", false, {});
    REQUIRE(reserve->commands.size() == 1);
    REQUIRE(reserve->commands[0].kind == membership::gang_command_kind::reserve);
    REQUIRE(reserve->tasks.size() == 1);

    membership::member_report ready;
    ready.kind = membership::member_report_kind::reserved_ready;
    ready.task = reserve->commands[0].task;
    static_cast<void>(test.poll("w1", false, {ready}));
    test.leader.tick();
    REQUIRE(test.proposed.size() == 1);
    messages::agent_poll early;
    early.worker = "w1";
    early.incarnation = 7;
    early.sequence = ++test.sequence;
    early.reports = {ready};
    const std::optional<messages::agent_poll_answer> unrecorded = test.leader.poll(early);
    for (const membership::gang_command& each : unrecorded->commands) {
        REQUIRE(each.kind != membership::gang_command_kind::release);
    }
    test.commit_all();
    const std::optional<messages::agent_poll_answer> release = test.poll("w1", false, {ready});
    REQUIRE(release->commands.size() == 1);
    REQUIRE(release->commands[0].kind == membership::gang_command_kind::release);
}

// Guards against jobs that are placed on a worker whose backend server is shutting down.
TEST_CASE("a draining worker gets no placement", "[controller]")
{
    leader_fixture test;
    static_cast<void>(test.poll("w1", true, {}));
    static_cast<void>(test.poll("w1", true, {}));
    test.submit("a", 8);
    test.commit_all();
    test.leader.tick();
    test.commit_all();
    REQUIRE(test.state.find_job("a")->state == control::job_state::queued);
    static_cast<void>(test.poll("w1", false, {}));
    test.leader.tick();
    test.commit_all();
    REQUIRE(test.state.find_job("a")->state == control::job_state::placed);
}

// Guards against a permit in the answer to a replayed poll, and against permits from a replica that
// no longer leads.
TEST_CASE("a replayed poll and a former leader get no permit granted", "[controller]")
{
    leader_fixture test;
    static_cast<void>(test.poll("w1", false, {}));
    const std::optional<messages::agent_poll_answer> granted = test.poll("w1", false, {});
    REQUIRE(granted->granted.may_start);
    messages::agent_poll replayed;
    replayed.worker = "w1";
    replayed.incarnation = 7;
    replayed.sequence = 1;
    REQUIRE_FALSE(test.leader.poll(replayed).has_value());
    test.leader.end_leadership();
    const std::optional<messages::agent_poll_answer> late = test.poll("w1", false, {});
    REQUIRE(late->granted.start_remaining_ms == 0);
    REQUIRE(late->granted.lease_remaining_ms == 0);
}

// Guards against a withdrawal that is reported in force while a permit may still be valid.
TEST_CASE("a withdrawal is in force only after all earlier permits have ended", "[controller]")
{
    leader_fixture test;
    static_cast<void>(test.poll("w1", false, {}));
    static_cast<void>(test.poll("w1", false, {}));
    test.commit(control::set_data_centre{"dc1", false, "ops", noon_ms});
    REQUIRE_FALSE(test.poll("w1", false, {})->granted.may_start);
    REQUIRE_FALSE(test.leader.withdrawal("dc1").in_force);
    test.clock.advance(milliseconds(3000));
    REQUIRE_FALSE(test.leader.withdrawal("dc1").in_force);
    test.clock.advance(milliseconds(100));
    REQUIRE(test.leader.withdrawal("dc1").in_force);
}
