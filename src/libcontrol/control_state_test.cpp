#include "redwingwheel/control_state.h"

#include <catch2/catch.hpp>

#include "redwingwheel/packing.h"

namespace control = redwingwheel::control;
namespace config = redwingwheel::config;
namespace membership = redwingwheel::membership;
namespace request = redwingwheel::request;

namespace {

std::vector<config::problem>
always_feasible(const config::configuration&,
                const std::vector<redwingwheel::messages::worker_announcement>&)
{
    return {};
}

config::release_note first_note()
{
    config::release_note note;
    note.note = "first";
    note.added.data_centres.push_back({"dc1", "here"});
    note.added.client_accounts.push_back({"norte", std::string(64, 'a'), 1});
    config::service once;
    once.name = "recounts";
    once.accounts = {"norte"};
    once.default_deadline_ms = 1000;
    note.added.services.push_back(once);
    return note;
}

control::job_description job_of(std::string id, bool idempotent)
{
    control::job_description job;
    job.id = std::move(id);
    job.account = "norte";
    job.service = "recounts";
    job.idempotent = idempotent;
    return job;
}

/// Applies commands through their packed form, as the log does.
class log_fixture {
public:
    log_fixture() { this->apply(control::apply_release_note{first_note(), {"ops", 1}}); }

    control::command_result apply(const control::command& of)
    {
        const absl::StatusOr<control::command> read =
            control::unpack_command(control::pack_command(of));
        REQUIRE(read.ok());
        return this->state.apply(*read, ++this->index);
    }

    void run_gang(const std::string& job, std::uint64_t epoch, membership::gang_end_reason end)
    {
        control::place_job placed;
        placed.id = job;
        placed.epoch = epoch;
        placed.members.push_back({"w1", 7, 1, 0, membership::task_outcome::none});
        REQUIRE(this->apply(placed).accepted);
        this->apply(
            control::apply_gang_proposal{membership::gang_released{job, epoch, placed.members}, 5});
        this->apply(control::apply_gang_proposal{
            membership::gang_ended{job, epoch, end, placed.members}, 6});
    }

    control::control_state state{always_feasible};
    std::uint64_t index = 0;
};

} // namespace

// Guards against a non-idempotent job that runs a second time after its gang lost a member.
TEST_CASE("a non-idempotent job that has started is not queued again", "[control_state]")
{
    log_fixture log;
    REQUIRE(log.apply(control::submit_job{job_of("once", false), 1}).accepted);
    REQUIRE(log.apply(control::submit_job{job_of("again", true), 1}).accepted);
    log.run_gang("once", 1, membership::gang_end_reason::member_lost);
    log.run_gang("again", 1, membership::gang_end_reason::member_lost);
    REQUIRE(control::is_final(log.state.find_job("once")->state));
    REQUIRE(log.state.find_job("again")->state == control::job_state::queued);
    control::place_job second;
    second.id = "once";
    second.epoch = 2;
    REQUIRE_FALSE(log.apply(second).accepted);
}

// Guards against an epoch that is used twice: a late command for the first gang would then act on
// the second one.
TEST_CASE("a placement with an epoch that was used is refused", "[control_state]")
{
    log_fixture log;
    log.apply(control::submit_job{job_of("again", true), 1});
    log.run_gang("again", 3, membership::gang_end_reason::reclaimed);
    control::place_job old;
    old.id = "again";
    old.epoch = 3;
    REQUIRE_FALSE(log.apply(old).accepted);
}

// Guards against a repeated submission that becomes a second job, and against two jobs of one id.
TEST_CASE("a repeated submission is accepted, and another job under the same id is refused",
          "[control_state]")
{
    log_fixture log;
    REQUIRE(log.apply(control::submit_job{job_of("a", false), 1}).accepted);
    REQUIRE(log.apply(control::submit_job{job_of("a", false), 2}).accepted);
    REQUIRE(log.state.jobs().size() == 1);
    REQUIRE_FALSE(log.apply(control::submit_job{job_of("a", true), 3}).accepted);
}

// Guards against usage that is charged twice when the answer to a poll was lost and the agent sends
// the batch again.
TEST_CASE("a usage batch is recorded once per incarnation", "[control_state]")
{
    log_fixture log;
    const control::record_usage batch{"w1", 7, 1, {{"norte", 100, 1, 10}}};
    REQUIRE(log.apply(batch).accepted);
    REQUIRE_FALSE(log.apply(batch).accepted);
    REQUIRE(log.state.usage().at("norte").accelerator_ms == 100);
    REQUIRE(log.apply(control::record_usage{"w1", 8, 1, {{"norte", 50, 1, 10}}}).accepted);
    REQUIRE(log.state.usage().at("norte").accelerator_ms == 150);
}

// Guards against an account that cancels the job of another account, and against a cancelled job
// that stays queued and is placed.
TEST_CASE("a job is cancelled by its own account only", "[control_state]")
{
    log_fixture log;
    log.apply(control::submit_job{job_of("a", true), 1});
    REQUIRE_FALSE(log.apply(control::cancel_job{"a", "sur", 2}).accepted);
    REQUIRE(log.apply(control::cancel_job{"a", "norte", 2}).accepted);
    REQUIRE(log.state.find_job("a")->state == control::job_state::cancelled);
}

// Guards against an order for a data centre that its operator has given up and that undoes a later
// one, which may have changed nothing.
TEST_CASE("an order for a data centre is refused once a later one has been accepted",
          "[control_state]")
{
    const auto order = [](bool in_service, std::uint64_t expected_order_index) {
        return control::set_data_centre{"dc1", in_service, "ops", 9, expected_order_index};
    };
    for (const bool late : {false, true}) {
        for (const bool accepted_before : {false, true}) {
            log_fixture log;
            const auto latest = [&log] { return log.state.data_centre("dc1").order_index(); };
            REQUIRE(log.apply(order(!late, latest())).accepted);
            const std::uint64_t read = latest();
            if (accepted_before) {
                REQUIRE(log.apply(order(late, read)).accepted);
                // A retry whose first attempt was accepted.
                REQUIRE(log.apply(order(late, read)).accepted);
            }
            REQUIRE(log.apply(order(!late, latest())).accepted);
            CHECK_FALSE(log.apply(order(late, read)).accepted);
            CHECK(log.state.data_centre("dc1").in_service == !late);
            CHECK(log.apply(order(late, latest())).accepted);
            CHECK(log.state.data_centre("dc1").in_service == late);
        }
    }
}

// Guards against parts of the state that a restarted or a new replica would lose, and against a
// truncated snapshot that changes the state.
TEST_CASE("a snapshot restores the whole state", "[control_state]")
{
    log_fixture log;
    log.apply(control::announce_worker{{"w1", "dc1", "r1", "127.0.0.1:1", 8, 4, 1, 1, 8, 64}});
    log.apply(control::set_data_centre{"dc1", false, "ops", 9});
    log.apply(control::submit_job{job_of("a", true), 1});
    log.apply(control::record_usage{"w1", 7, 1, {{"norte", 100, 1, 10}}});
    const std::string key = "1700000000-lot";
    log.apply(control::apply_claim_command{
        request::begin_claim{"norte", key, 1, 42, "w1", 7, 1'700'000'000'000}});
    const std::string bytes = log.state.pack_snapshot();
    control::control_state restored(always_feasible);
    REQUIRE(restored.restore_snapshot(bytes).ok());
    REQUIRE(restored.pack_snapshot() == bytes);
    REQUIRE_FALSE(restored.data_centre("dc1").in_service);
    REQUIRE(restored.claims().look_up("norte", key, 1).verdict ==
            request::claim_verdict::in_progress);
    REQUIRE_FALSE(restored.restore_snapshot(bytes.substr(0, bytes.size() / 2)).ok());
    REQUIRE(restored.pack_snapshot() == bytes);
}

// Guards against the name of a withdrawn service that stays taken for ever.
TEST_CASE("remove_withdrawn removes a withdrawn service once", "[control_state]")
{
    log_fixture log;
    config::release_note withdrawal;
    withdrawal.note = "second";
    withdrawal.base = 1;
    withdrawal.withdrawn.services = {"recounts"};
    REQUIRE(log.apply(control::apply_release_note{withdrawal, {"ops", 2}}).accepted);
    REQUIRE(log.state.configuration().ending().services.size() == 1);
    const control::remove_withdrawn forget{config::thing_kind::services, "recounts"};
    REQUIRE(log.apply(forget).accepted);
    REQUIRE(log.state.configuration().ending().services.empty());
    REQUIRE_FALSE(log.apply(forget).accepted);
}
