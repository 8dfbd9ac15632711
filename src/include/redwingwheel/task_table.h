#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "redwingwheel/job_model.h"

/// The tasks of one step in the replicated state.
namespace redwingwheel::jobs {

enum class task_phase : std::uint8_t { waiting, assigned, done };

/// A crash of the worker that had just started a run of the task.
struct crash_record {
    std::uint32_t run = 0;
    std::string host;
    /// All other runs that may have caused the crash were of the same job.
    bool alone = false;
    bool observed = true; ///< The supervisor of the worker has observed the crash.
    MSGPACK_DEFINE(run, host, alone, observed)
};

struct task_record {
    task_phase phase = task_phase::waiting;
    std::uint32_t last_run = 0;
    std::uint32_t failures = 0;
    worker_incarnation worker; ///< Worker of the last run.
    std::string checkpoint;
    /// Crashes since the last run that did not crash its worker.
    std::vector<crash_record> crashes;
    std::uint32_t last_sound_run = 0; ///< Highest run that is known not to have crashed its worker.
    MSGPACK_DEFINE(phase, last_run, failures, worker, checkpoint, crashes, last_sound_run)
};

/// The records of a step's tasks. A task has a record of its own only from its first run until it
/// is done, so that a step costs no more memory than its started tasks, however many it has.
/// Adjacent done tasks with the same last run share one.
class task_table {
public:
    task_table() = default;
    explicit task_table(std::uint32_t tasks) : count(tasks) {}
    task_table(const task_table& other);
    task_table& operator=(const task_table& other);
    task_table(task_table&&) noexcept = default;
    task_table& operator=(task_table&&) noexcept = default;
    ~task_table() = default;

    [[nodiscard]] std::uint32_t size() const { return this->count; }

    /// The task's record; `index` is less than `size`. Valid until a task of the table changes. Of
    /// a task that is done only the phase and the last run are kept.
    [[nodiscard]] const task_record& operator[](std::uint32_t index) const;

    /// The record of a task that is not done, for changes. From then on the task has a record of
    /// its own.
    [[nodiscard]] task_record& open(std::uint32_t index);

    /// Marks a task as done, which it stays.
    void mark_done(std::uint32_t index);

    /// The tasks that have a record of their own, by index.
    [[nodiscard]] const std::map<std::uint32_t, task_record>& started() const;

    /// Indices of the first waiting tasks in order, at most `max_tasks`.
    [[nodiscard]] std::vector<std::uint32_t> waiting(std::size_t max_tasks) const;

    /// Number of records, for the memory that the table takes.
    [[nodiscard]] std::size_t record_count() const;

    template <class Packer>
    void msgpack_pack(Packer& packer) const
    {
        packer.pack_array(3);
        packer.pack(this->count);
        packer.pack(this->started());
        const std::vector<packed_range> done = this->packed_ranges();
        packer.pack(done);
    }
    /// Reads the list of all records, as snapshots of earlier versions have it, as well.
    void msgpack_unpack(const msgpack::object& object);

private:
    /// Consecutive done tasks with the same last run.
    struct done_range {
        std::uint32_t last_index = 0;
        task_record record;
    };
    struct packed_range {
        std::uint32_t first_index = 0;
        std::uint32_t last_index = 0;
        std::uint32_t last_run = 0;
        MSGPACK_DEFINE(first_index, last_index, last_run)
    };
    struct records {
        std::map<std::uint32_t, task_record> started;
        std::map<std::uint32_t, done_range> done; ///< By the first index of the range.
    };

    [[nodiscard]] std::vector<packed_range> packed_ranges() const;
    [[nodiscard]] records& own_records();
    void add_done(std::uint32_t first_index, std::uint32_t last_index, std::uint32_t last_run);

    std::uint32_t count = 0;
    std::unique_ptr<records> kept; ///< Null while no task has been started.
};

} // namespace redwingwheel::jobs

MSGPACK_ADD_ENUM(redwingwheel::jobs::task_phase)
