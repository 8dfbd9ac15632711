#include "scheduler_world.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

using world = scheduler_world;

/// Times after which a scheduling round takes place.
constexpr milliseconds round_period{250};

/// Crashes each worker that starts the task, as often as it is started within `duration`. Returns
/// the number of crashes.
std::size_t crash_each_starter(world& w, const task_id& task, milliseconds duration)
{
    std::size_t crashes = 0;
    for (milliseconds waited{0}; waited < duration; waited += round_period) {
        w.decide();
        const task_record* const record = w.state.find(task);
        if (record != nullptr && record->phase == task_phase::assigned) {
            w.crash(record->worker.id);
            ++crashes;
        }
        w.advance_time(round_period);
        for (const auto& [id, worker] : w.workers) {
            w.report(id);
        }
    }
    return crashes;
}

} // namespace

// Failure: a task that crashes each worker that starts it is started on one worker after the other.
TEST_CASE("a task is not started three times more after three workers have crashed under it")
{
    world w;
    const std::size_t workers = GENERATE(1, 2, 6);
    for (std::size_t each = 0; each < workers; ++each) {
        w.add_worker("w" + std::to_string(each), "r1");
    }
    w.submit("deadly", "batch", 1, 8);
    CHECK(crash_each_starter(w, {"deadly", 0, 0, 0}, milliseconds(60'000)) <= 5);
}
