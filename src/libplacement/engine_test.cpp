#include "redwingwheel/placement.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace redwingwheel::placement;
using redwingwheel::milliseconds;
using std::chrono::seconds;

namespace {

/// An engine with data centres a, b, ... of `racks` racks each. A rack has three workers with 8
/// accelerators in two groups.
struct fixture {
    redwingwheel::manual_clock clock;
    engine tested_engine;

    explicit fixture(int data_centres = 1, int racks = 1, engine_options options = {},
                     rule_switches rules = {})
        : tested_engine(options, this->clock.function(), rules)
    {
        for (int index = 0; index < data_centres; ++index) {
            const std::string name(1, static_cast<char>('a' + index));
            for (int worker = 0; worker < racks * 3; ++worker) {
                REQUIRE(this->tested_engine
                            .add_worker({fmt::format("{}{}", name, worker), name,
                                         fmt::format("{}r{}", name, worker / 3), 8, 4})
                            .ok());
            }
        }
    }

    static job_spec job(std::string id, std::string account, std::uint32_t members,
                        std::uint32_t accelerators)
    {
        job_spec result;
        result.id = std::move(id);
        result.account = std::move(account);
        result.service = "inspect";
        result.members = members;
        result.accelerators_per_member = accelerators;
        result.declared_run_time = seconds(60);
        return result;
    }
    static job_spec stoppable(std::string id, std::string account, std::uint32_t members,
                              std::uint32_t accelerators)
    {
        job_spec result = job(std::move(id), std::move(account), members, accelerators);
        result.can_checkpoint = true;
        return result;
    }

    template <class Action>
    std::vector<Action> decide()
    {
        std::vector<Action> found;
        for (const decision& one : this->tested_engine.decide()) {
            if (const Action* const wanted = std::get_if<Action>(&one.requested_action)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }
    std::string state_of(std::string_view id)
    {
        for (const job_summary& one : this->tested_engine.job_summaries()) {
            if (one.job.id == id) {
                switch (one.state) {
                case job_state::queued:
                    return "queued";
                case job_state::reserved:
                    return "reserved";
                case job_state::running:
                    return "running";
                case job_state::stopping:
                    return "stopping";
                }
            }
        }
        return "unknown";
    }
};

} // namespace

// Guards against an owner that does not get its guaranteed cells back, or that starts before their
// borrower has stopped.
TEST_CASE("an urgent job reclaims lent cells and starts after the borrower has stopped",
          "[placement]")
{
    fixture f;
    const std::vector<guarantee> guarantees = {{"g1", "market", cell_level::host, 2, ""}};
    REQUIRE(f.tested_engine.set_guarantees(guarantees).ok());
    REQUIRE(f.tested_engine.submit(f.stoppable("loan", "trader", 3, 8)).ok());
    REQUIRE(f.decide<start_gang>().at(0).placement.borrowed);

    job_spec urgent = f.job("auction", "market", 2, 8);
    urgent.priority = job_priority::urgent;
    REQUIRE(f.tested_engine.submit(urgent).ok());
    const std::vector<reclaim_gang> stops = f.decide<reclaim_gang>();
    REQUIRE(stops.size() == 1);
    REQUIRE(stops[0].job == "loan");
    REQUIRE(stops[0].for_job == "auction");
    REQUIRE(stops[0].stop_deadline == f.clock.now() + seconds(1));
    REQUIRE(f.decide<start_gang>().empty());

    REQUIRE(f.tested_engine.submit(f.stoppable("second", "trader", 1, 8)).ok());
    REQUIRE(f.tested_engine.report_stopped("loan").ok());
    const std::vector<start_gang> starts = f.decide<start_gang>();
    REQUIRE(starts.at(0).placement.job == "auction");
    REQUIRE(starts.at(0).placement.uses_guarantee);
    REQUIRE(f.state_of("loan") == "queued");
}

// Guards against borrowers that cannot be stopped, and against an urgent job that cannot reclaim
// cells from low-priority jobs of its own account.
TEST_CASE("only stoppable jobs borrow, and an account's low-priority jobs count as borrowers",
          "[placement]")
{
    fixture f;
    const std::vector<guarantee> guarantees = {{"g1", "market", cell_level::rack, 1, ""}};
    REQUIRE(f.tested_engine.set_guarantees(guarantees).ok());
    REQUIRE_FALSE(f.tested_engine.submit(f.job("fixed", "trader", 1, 1)).ok());
    job_spec recount = f.stoppable("recount", "market", 3, 8);
    recount.priority = job_priority::low;
    REQUIRE(f.tested_engine.submit(recount).ok());
    REQUIRE(f.decide<start_gang>().size() == 1);
    job_spec urgent = f.job("auction", "market", 1, 4);
    urgent.priority = job_priority::urgent;
    REQUIRE(f.tested_engine.submit(urgent).ok());
    REQUIRE(f.decide<reclaim_gang>().at(0).job == "recount");
}

// Guards against a second run of a job that must run at most once, after its workers were lost.
TEST_CASE("a broken gang runs again only if its job is idempotent", "[placement]")
{
    fixture f;
    job_spec once = f.stoppable("once", "market", 2, 8);
    job_spec again = f.job("again", "market", 1, 8);
    again.idempotent = true;
    REQUIRE(f.tested_engine.submit(once).ok());
    REQUIRE(f.tested_engine.submit(again).ok());
    REQUIRE(f.decide<start_gang>().size() == 2);
    for (const char* const worker : {"a0", "a1", "a2"}) {
        REQUIRE(f.tested_engine.remove_worker(worker).ok());
    }
    REQUIRE(f.decide<reclaim_gang>().size() == 2);
    REQUIRE(f.tested_engine.report_stopped("once").ok());
    REQUIRE(f.tested_engine.report_stopped("again").ok());
    REQUIRE(f.decide<refuse_job>().at(0).job == "once");
    REQUIRE(f.state_of("again") == "queued");
    REQUIRE(f.tested_engine.add_worker({"a0", "a", "ar0", 8, 4}).ok());
    REQUIRE(f.decide<start_gang>().at(0).placement.job == "again");
}

// Guards against starts in a withdrawn data centre, and against full load on one that has just
// returned to service.
TEST_CASE("no gang starts in a withdrawn data centre, and its load ramps up on return",
          "[placement]")
{
    fixture f(2, 1);
    REQUIRE(f.tested_engine.set_data_centre_state("a", data_centre_state::withdrawn).ok());
    for (int n = 0; n < 48; ++n) {
        REQUIRE(f.tested_engine.submit(f.job(fmt::format("j{:02}", n), "market", 1, 1)).ok());
    }
    for (const start_gang& start : f.decide<start_gang>()) {
        REQUIRE(start.placement.members[0].worker[0] == 'b');
    }
    REQUIRE(f.tested_engine.set_data_centre_state("a", data_centre_state::in_service).ok());
    REQUIRE(f.decide<start_gang>().size() == 2);
    f.clock.advance(seconds(5));
    REQUIRE(f.decide<start_gang>().size() == 11);
    f.clock.advance(seconds(5));
    REQUIRE(f.decide<start_gang>().size() == 11);
}

// Guards against cells that stay in a withdrawn data centre, and against younger agreements that
// are served before older ones.
TEST_CASE("guaranteed cells are reassigned to other data centres, oldest agreement first",
          "[placement]")
{
    fixture f(2, 1);
    const std::vector<guarantee> guarantees = {{"old", "market", cell_level::rack, 1, "a"},
                                               {"young", "planner", cell_level::rack, 1, "b"}};
    REQUIRE(f.tested_engine.check_guarantees(guarantees).empty());
    REQUIRE(f.tested_engine.set_guarantees(guarantees).ok());
    REQUIRE(f.tested_engine.set_data_centre_state("a", data_centre_state::withdrawn).ok());
    std::vector<guarantee_summary> summaries = f.tested_engine.guarantee_summaries();
    REQUIRE(summaries[0].whole == 1);
    REQUIRE(summaries[1].missing == 1);
    REQUIRE(f.tested_engine.cell_assignments().at(0).data_centre == "b");
    REQUIRE(f.tested_engine.set_data_centre_state("a", data_centre_state::in_service).ok());
    summaries = f.tested_engine.guarantee_summaries();
    REQUIRE(summaries[0].whole + summaries[1].whole == 2);

    std::vector<guarantee> wanted = guarantees;
    wanted.push_back({"third", "trader", cell_level::host, 1, "b"});
    const std::vector<shortfall> shortfalls = f.tested_engine.check_guarantees(wanted);
    REQUIRE(shortfalls.size() == 1);
    REQUIRE(shortfalls[0].agreement == "third");
    REQUIRE(shortfalls[0].missing == 1);
}

// Guards against a faulty worker that keeps receiving jobs, and against a faulty job that causes
// the quarantine of one worker after the other.
TEST_CASE("a faulty worker is quarantined and a job that fails on every worker is refused",
          "[placement]")
{
    fixture f;
    job_spec one = f.job("one", "market", 1, 1);
    one.idempotent = true;
    job_spec two = one;
    two.id = "two";
    two.service = "count";
    REQUIRE(f.tested_engine.submit(one).ok());
    REQUIRE(f.tested_engine.submit(two).ok());
    const std::vector<start_gang> starts = f.decide<start_gang>();
    const std::string bad = starts.at(0).placement.members[0].worker;
    REQUIRE(starts.at(1).placement.members[0].worker == bad);
    REQUIRE(f.tested_engine.report_failure("one", bad, "inspect").ok());
    REQUIRE(f.tested_engine.level_summaries()[0].quarantined_workers == 0);
    REQUIRE(f.tested_engine.report_failure("two", bad, "count").ok());
    REQUIRE(f.tested_engine.level_summaries()[0].quarantined_workers == 1);
    for (int attempt = 0; attempt < 2; ++attempt) {
        static_cast<void>(f.tested_engine.decide());
        REQUIRE(f.tested_engine.report_stopped("one").ok());
        const std::vector<start_gang> again = f.decide<start_gang>();
        REQUIRE(again.at(0).placement.members[0].worker != bad);
        REQUIRE(
            f.tested_engine.report_failure("one", again[0].placement.members[0].worker, "inspect")
                .ok());
    }
    static_cast<void>(f.tested_engine.decide());
    REQUIRE(f.tested_engine.report_stopped("one").ok());
    REQUIRE(f.decide<refuse_job>().at(0).job == "one");
}

// Guards against large jobs that starve because small jobs take every accelerator that becomes
// free.
TEST_CASE("a large job reserves accelerators and only short jobs are backfilled", "[placement]")
{
    fixture f;
    for (int n = 0; n < 6; ++n) {
        job_spec small = f.job(fmt::format("small{}", n), "market", 1, 4);
        small.declared_run_time = seconds(10 + n * 10);
        REQUIRE(f.tested_engine.submit(small).ok());
    }
    REQUIRE(f.decide<start_gang>().size() == 6);
    REQUIRE(f.tested_engine.submit(f.job("large", "planner", 2, 8)).ok());
    f.clock.advance(seconds(3));
    static_cast<void>(f.tested_engine.decide());
    REQUIRE(f.tested_engine.explain("large")->outcome == "reserved");
    REQUIRE(f.tested_engine.report_finished("small0").ok());
    job_spec long_job = f.job("long", "market", 1, 4);
    long_job.declared_run_time = seconds(600);
    job_spec short_job = f.job("short", "market", 1, 4);
    short_job.declared_run_time = seconds(5);
    REQUIRE(f.tested_engine.submit(long_job).ok());
    REQUIRE(f.tested_engine.submit(short_job).ok());
    const std::vector<start_gang> starts = f.decide<start_gang>();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].placement.job == "short");
}

// Guards against a job that waits forever because it can never fit, and against the refusal of a
// job that fits once lost workers return.
TEST_CASE("a job that can never fit is refused on submission", "[placement]")
{
    fixture f(2, 1);
    job_spec wide = f.job("wide", "market", 4, 8);
    REQUIRE_FALSE(f.tested_engine.submit(wide).ok());
    REQUIRE(redwingwheel::error_code<placement_errc>(f.tested_engine.submit(wide)) ==
            placement_errc::never_fits);
    job_spec group = f.job("group", "market", 1, 5);
    group.adjacency = cell_level::group;
    REQUIRE_FALSE(f.tested_engine.submit(group).ok());
    REQUIRE(f.tested_engine.remove_worker("a0").ok());
    REQUIRE(f.tested_engine.remove_worker("b0").ok());
    REQUIRE(f.tested_engine.submit(f.job("later", "market", 3, 8)).ok());
}

// Guards against a new leader that starts gangs on accelerators of gangs that are already running.
TEST_CASE("a restored placement holds its accelerators and conflicting ones are refused",
          "[placement]")
{
    fixture f;
    gang_placement known{"old", {{0, "a0", 0xFF}, {1, "a1", 0x0F}}, false, false};
    REQUIRE(f.tested_engine.restore(f.job("old", "market", 2, 8), known).ok());
    REQUIRE(redwingwheel::error_code<placement_errc>(f.tested_engine.restore(
                f.job("other", "market", 2, 8), known)) == placement_errc::conflicting_placement);
    REQUIRE(f.tested_engine.submit(f.job("new", "market", 1, 8)).ok());
    REQUIRE(f.decide<start_gang>().at(0).placement.members[0].worker == "a2");
}
