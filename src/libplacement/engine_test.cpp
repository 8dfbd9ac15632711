#include "redwingwheel/placement.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace redwingwheel::placement;
using redwingwheel::milliseconds;
using std::chrono::seconds;

namespace {

/// Three workers of 8 accelerators in a rack, `racks` racks in each data centre a, b, ...
struct fixture {
    redwingwheel::manual_clock clock;
    engine decisions;

    explicit fixture(int data_centres = 1, int racks = 1, engine_options options = {},
                     rule_switches rules = {})
        : decisions(options, this->clock.function(), rules)
    {
        for (int place = 0; place < data_centres; ++place) {
            const std::string name(1, static_cast<char>('a' + place));
            for (int worker = 0; worker < racks * 3; ++worker) {
                REQUIRE(this->decisions
                            .add_worker({fmt::format("{}{}", name, worker), name,
                                         fmt::format("{}r{}", name, worker / 3), 8, 4})
                            .ok());
            }
        }
    }

    static job_spec job(std::string id, std::string account, std::uint32_t members,
                        std::uint32_t accelerators)
    {
        job_spec made;
        made.id = std::move(id);
        made.account = std::move(account);
        made.service = "inspect";
        made.members = members;
        made.accelerators_per_member = accelerators;
        made.declared_run_time = seconds(60);
        return made;
    }
    static job_spec stoppable(std::string id, std::string account, std::uint32_t members,
                              std::uint32_t accelerators)
    {
        job_spec made = job(std::move(id), std::move(account), members, accelerators);
        made.can_checkpoint = true;
        return made;
    }

    template <class Action>
    std::vector<Action> decide()
    {
        std::vector<Action> found;
        for (const decision& one : this->decisions.decide()) {
            if (const Action* const wanted = std::get_if<Action>(&one.requested_action)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }
    std::string state_of(std::string_view id)
    {
        for (const job_summary& one : this->decisions.job_summaries()) {
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

// Guards against an owner that does not get its guaranteed shape back, or gets it too early.
TEST_CASE("an urgent owner takes lent cells back after the borrower has stopped", "[placement]")
{
    fixture f;
    const std::vector<guarantee> terms = {{"g1", "market", cell_level::host, 2, ""}};
    REQUIRE(f.decisions.set_guarantees(terms).ok());
    REQUIRE(f.decisions.submit(f.stoppable("loan", "trader", 3, 8)).ok());
    REQUIRE(f.decide<start_gang>().at(0).placement.borrowed);

    job_spec urgent = f.job("auction", "market", 2, 8);
    urgent.priority = job_priority::urgent;
    REQUIRE(f.decisions.submit(urgent).ok());
    const std::vector<reclaim_gang> stops = f.decide<reclaim_gang>();
    REQUIRE(stops.size() == 1);
    REQUIRE(stops[0].job == "loan");
    REQUIRE(stops[0].for_job == "auction");
    REQUIRE(stops[0].stop_deadline == f.clock.now() + seconds(1));
    REQUIRE(f.decide<start_gang>().empty());

    REQUIRE(f.decisions.submit(f.stoppable("second", "trader", 1, 8)).ok());
    REQUIRE(f.decisions.report_stopped("loan").ok());
    const std::vector<start_gang> starts = f.decide<start_gang>();
    REQUIRE(starts.at(0).placement.job == "auction");
    REQUIRE(starts.at(0).placement.uses_guarantee);
    REQUIRE(f.state_of("loan") == "queued");
}

// Guards against loans that cannot come back, and against an owner kept out by its own jobs.
TEST_CASE("only stoppable work borrows, and own low work counts as a borrower", "[placement]")
{
    fixture f;
    const std::vector<guarantee> terms = {{"g1", "market", cell_level::rack, 1, ""}};
    REQUIRE(f.decisions.set_guarantees(terms).ok());
    REQUIRE_FALSE(f.decisions.submit(f.job("fixed", "trader", 1, 1)).ok());
    job_spec recount = f.stoppable("recount", "market", 3, 8);
    recount.priority = job_priority::low;
    REQUIRE(f.decisions.submit(recount).ok());
    REQUIRE(f.decide<start_gang>().size() == 1);
    job_spec urgent = f.job("auction", "market", 1, 4);
    urgent.priority = job_priority::urgent;
    REQUIRE(f.decisions.submit(urgent).ok());
    REQUIRE(f.decide<reclaim_gang>().at(0).job == "recount");
}

// Guards against a second run of work that must run once at most.
TEST_CASE("broken work runs again only when it may", "[placement]")
{
    fixture f;
    job_spec once = f.stoppable("once", "market", 2, 8);
    job_spec again = f.job("again", "market", 1, 8);
    again.idempotent = true;
    REQUIRE(f.decisions.submit(once).ok());
    REQUIRE(f.decisions.submit(again).ok());
    REQUIRE(f.decide<start_gang>().size() == 2);
    for (const char* const worker : {"a0", "a1", "a2"}) {
        REQUIRE(f.decisions.remove_worker(worker).ok());
    }
    REQUIRE(f.decide<reclaim_gang>().size() == 2);
    REQUIRE(f.decisions.report_stopped("once").ok());
    REQUIRE(f.decisions.report_stopped("again").ok());
    REQUIRE(f.decide<refuse_job>().at(0).job == "once");
    REQUIRE(f.state_of("again") == "queued");
    REQUIRE(f.decisions.add_worker({"a0", "a", "ar0", 8, 4}).ok());
    REQUIRE(f.decide<start_gang>().at(0).placement.job == "again");
}

// Guards against starts in a withdrawn data centre, and against a cold one being flooded.
TEST_CASE("a withdrawn data centre gets nothing and ramps up on return", "[placement]")
{
    fixture f(2, 1);
    REQUIRE(f.decisions.set_data_centre_state("a", data_centre_state::withdrawn).ok());
    for (int n = 0; n < 48; ++n) {
        REQUIRE(f.decisions.submit(f.job(fmt::format("j{:02}", n), "market", 1, 1)).ok());
    }
    for (const start_gang& start : f.decide<start_gang>()) {
        REQUIRE(start.placement.members[0].worker[0] == 'b');
    }
    REQUIRE(f.decisions.set_data_centre_state("a", data_centre_state::in_service).ok());
    REQUIRE(f.decide<start_gang>().size() == 2);
    f.clock.advance(seconds(5));
    REQUIRE(f.decide<start_gang>().size() == 11);
    f.clock.advance(seconds(5));
    REQUIRE(f.decide<start_gang>().size() == 11);
}

// Guards against guarantees that stay on lost workers, and against younger ones served first.
TEST_CASE("guaranteed cells are rebuilt elsewhere, oldest agreement first", "[placement]")
{
    fixture f(2, 1);
    const std::vector<guarantee> terms = {{"old", "market", cell_level::rack, 1, "a"},
                                          {"young", "planner", cell_level::rack, 1, "b"}};
    REQUIRE(f.decisions.check_guarantees(terms).empty());
    REQUIRE(f.decisions.set_guarantees(terms).ok());
    REQUIRE(f.decisions.set_data_centre_state("a", data_centre_state::withdrawn).ok());
    std::vector<guarantee_summary> summaries = f.decisions.guarantee_summaries();
    REQUIRE(summaries[0].whole == 1);
    REQUIRE(summaries[1].missing == 1);
    REQUIRE(f.decisions.cell_assignments().at(0).data_centre == "b");
    REQUIRE(f.decisions.set_data_centre_state("a", data_centre_state::in_service).ok());
    summaries = f.decisions.guarantee_summaries();
    REQUIRE(summaries[0].whole + summaries[1].whole == 2);

    std::vector<guarantee> wanted = terms;
    wanted.push_back({"third", "trader", cell_level::host, 1, "b"});
    const std::vector<shortfall> lacking = f.decisions.check_guarantees(wanted);
    REQUIRE(lacking.size() == 1);
    REQUIRE(lacking[0].agreement == "third");
    REQUIRE(lacking[0].missing == 1);
}

// Guards against a straggler that goes on failing work, and against a bad job that empties a place.
TEST_CASE("a straggler is quarantined and a job that fails everywhere is failed", "[placement]")
{
    fixture f;
    job_spec one = f.job("one", "market", 1, 1);
    one.idempotent = true;
    job_spec two = one;
    two.id = "two";
    two.service = "count";
    REQUIRE(f.decisions.submit(one).ok());
    REQUIRE(f.decisions.submit(two).ok());
    const std::vector<start_gang> starts = f.decide<start_gang>();
    const std::string bad = starts.at(0).placement.members[0].worker;
    REQUIRE(starts.at(1).placement.members[0].worker == bad);
    REQUIRE(f.decisions.report_failure("one", bad, "inspect").ok());
    REQUIRE(f.decisions.level_summaries()[0].quarantined_workers == 0);
    REQUIRE(f.decisions.report_failure("two", bad, "count").ok());
    REQUIRE(f.decisions.level_summaries()[0].quarantined_workers == 1);
    for (int attempt = 0; attempt < 2; ++attempt) {
        static_cast<void>(f.decisions.decide());
        REQUIRE(f.decisions.report_stopped("one").ok());
        const std::vector<start_gang> again = f.decide<start_gang>();
        REQUIRE(again.at(0).placement.members[0].worker != bad);
        REQUIRE(f.decisions.report_failure("one", again[0].placement.members[0].worker, "inspect")
                    .ok());
    }
    static_cast<void>(f.decisions.decide());
    REQUIRE(f.decisions.report_stopped("one").ok());
    REQUIRE(f.decide<refuse_job>().at(0).job == "one");
}

// Guards against large adjacent jobs that starve behind a stream of small ones.
TEST_CASE("a large job reserves and short jobs fill the gap", "[placement]")
{
    fixture f;
    for (int n = 0; n < 6; ++n) {
        job_spec small = f.job(fmt::format("small{}", n), "market", 1, 4);
        small.declared_run_time = seconds(10 + n * 10);
        REQUIRE(f.decisions.submit(small).ok());
    }
    REQUIRE(f.decide<start_gang>().size() == 6);
    REQUIRE(f.decisions.submit(f.job("large", "planner", 2, 8)).ok());
    f.clock.advance(seconds(3));
    static_cast<void>(f.decisions.decide());
    REQUIRE(f.decisions.explain("large")->outcome == "reserved");
    REQUIRE(f.decisions.report_finished("small0").ok());
    job_spec long_job = f.job("long", "market", 1, 4);
    long_job.declared_run_time = seconds(600);
    job_spec short_job = f.job("short", "market", 1, 4);
    short_job.declared_run_time = seconds(5);
    REQUIRE(f.decisions.submit(long_job).ok());
    REQUIRE(f.decisions.submit(short_job).ok());
    const std::vector<start_gang> starts = f.decide<start_gang>();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].placement.job == "short");
}

// Guards against a job that can never run waiting without end, and against one refused wrongly.
TEST_CASE("a job that can never fit is refused at once with the reason", "[placement]")
{
    fixture f(2, 1);
    job_spec wide = f.job("wide", "market", 4, 8);
    REQUIRE_FALSE(f.decisions.submit(wide).ok());
    REQUIRE(redwingwheel::error_code<placement_errc>(f.decisions.submit(wide)) ==
            placement_errc::never_fits);
    job_spec group = f.job("group", "market", 1, 5);
    group.adjacency = cell_level::group;
    REQUIRE_FALSE(f.decisions.submit(group).ok());
    REQUIRE(f.decisions.remove_worker("a0").ok());
    REQUIRE(f.decisions.remove_worker("b0").ok());
    REQUIRE(f.decisions.submit(f.job("later", "market", 3, 8)).ok());
}

// Guards against a new leader that places work over gangs that run already.
TEST_CASE("a restored placement is held and conflicts are refused", "[placement]")
{
    fixture f;
    gang_placement known{"old", {{0, "a0", 0xFF}, {1, "a1", 0x0F}}, false, false};
    REQUIRE(f.decisions.restore(f.job("old", "market", 2, 8), known).ok());
    REQUIRE(redwingwheel::error_code<placement_errc>(f.decisions.restore(
                f.job("other", "market", 2, 8), known)) == placement_errc::conflicting_placement);
    REQUIRE(f.decisions.submit(f.job("new", "market", 1, 8)).ok());
    REQUIRE(f.decide<start_gang>().at(0).placement.members[0].worker == "a2");
}
