#include <catch2/catch.hpp>

#include <random>

#include "redwingwheel/packing.h"
#include "redwingwheel/task_table.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

// Failure: each of the tasks of a step takes memory on every replica before it is started, or after
// it is done.
TEST_CASE("tasks that have not been started, and adjacent done ones, have no records")
{
    constexpr std::uint32_t tasks = 100'000;
    task_table table(tasks);
    CHECK(table.record_count() == 0);
    CHECK(pack(table).size() < 16);
    for (std::uint32_t index = 0; index < tasks; ++index) {
        table.open(index).last_run = 1;
        CHECK(table.record_count() <= 2);
        table.mark_done(index);
    }
    CHECK(table.record_count() == 1);
    CHECK(table[tasks / 2].phase == task_phase::done);
    CHECK(table[tasks / 2].last_run == 1);
    CHECK(table.waiting(tasks).empty());
}

// Failure: a task is read as another one, or a restored table differs from the one it was packed
// from, so that replicas diverge.
TEST_CASE("a table holds the same records as a list of them, also from earlier snapshots")
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const std::uint32_t tasks = 1 + random() % 24;
        task_table table(tasks);
        std::vector<task_record> list(tasks);
        for (int change = 0; change < 60; ++change) {
            const std::uint32_t index = static_cast<std::uint32_t>(random() % tasks);
            task_record& listed = list[index];
            if (listed.phase == task_phase::done) {
                continue;
            }
            task_record& record = table.open(index);
            listed.last_run += random() % 2 == 0 || listed.last_run == 0 ? 1 : 0;
            listed.phase = random() % 2 == 0 ? task_phase::waiting : task_phase::assigned;
            record.last_run = listed.last_run;
            record.phase = listed.phase;
            if (random() % 3 == 0) {
                table.mark_done(index);
                listed.phase = task_phase::done;
            }
        }
        const absl::StatusOr<task_table> restored = unpack<task_table>(pack(table));
        const absl::StatusOr<task_table> from_list = unpack<task_table>(pack(list));
        REQUIRE(restored.ok());
        REQUIRE(from_list.ok());
        const task_table copy = table;
        const std::vector<const task_table*> tables = {&table, &*restored, &*from_list, &copy};
        for (const task_table* const each : tables) {
            REQUIRE(each->size() == tasks);
            std::vector<std::uint32_t> waiting;
            for (std::uint32_t index = 0; index < tasks; ++index) {
                CHECK((*each)[index].phase == list[index].phase);
                CHECK((*each)[index].last_run == list[index].last_run);
                if (list[index].phase == task_phase::waiting) {
                    waiting.push_back(index);
                }
            }
            CHECK(each->waiting(tasks) == waiting);
            waiting.resize(std::min<std::size_t>(waiting.size(), 3));
            CHECK(each->waiting(3) == waiting);
        }
    }
}
