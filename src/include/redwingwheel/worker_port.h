#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/errors.h"
#include "redwingwheel/job_model.h"
#include "redwingwheel/scheduler.h"

/// How a supervisor reaches the worker beside it.
namespace redwingwheel::jobs {

/// Milliseconds on the worker's own steady clock, which may run 2% slow.
using worker_time_ms = std::int64_t;

struct start_request {
    worker_incarnation worker;
    run_id run;
    std::string payload;
    std::string checkpoint;
    worker_time_ms deadline = 0; ///< The start is refused later than this.
    std::uint64_t fencing_token = 0;
};

enum class start_result : std::uint8_t {
    started,     ///< Or it was there already.
    no_room,     ///< Nothing was done.
    too_late,    ///< The deadline had passed; nothing was done.
    outdated,    ///< A run that is not lower has been stopped or has ended there.
    fenced,      ///< A leader of a later term has given orders.
    not_healthy, ///< The worker refuses work; nothing was done.
    not_sent,    ///< There was no connection to the worker; nothing was done.
    other_incarnation,
    invalid,  ///< The worker cannot read the order; nothing was done.
    no_answer ///< May be carried out, now or seconds later.
};

[[nodiscard]] std::string_view start_result_name(start_result result);

/// What went wrong on the way to the worker.
enum class worker_errc {
    not_listening = 1, ///< The worker's host refused the connection: no process listens there.
    no_answer,
    refused, ///< The answer is not a listing of the worker.
};

[[nodiscard]] constexpr std::string_view error_layer(worker_errc)
{
    return "worker";
}
[[nodiscard]] std::string_view error_name(worker_errc code);
[[nodiscard]] absl::StatusCode error_category(worker_errc code);

struct stop_request {
    worker_incarnation worker;
    run_id run;
    std::uint64_t fencing_token = 0;
};

struct renew_request {
    worker_incarnation worker;
    worker_time_ms lease_until = 0; ///< 0: leaves the lease as it is.
    std::uint64_t fencing_token = 0;
    std::uint64_t last_recorded_end = 0; ///< The worker forgets ends up to this.
    milliseconds wait{0};                ///< The worker answers at once when a run ends.
};

struct worker_listing {
    worker_incarnation worker;
    worker_time_ms clock = 0;
    std::vector<run_progress> running;
    std::vector<ended_run> ended_runs;
    /// The order carried a fencing token of an earlier term.
    bool fenced = false;
};

/// Orders to the worker. Answers come on the control thread. Any order without an answer may have
/// been carried out, or may be later.
class worker_port {
public:
    worker_port() = default;
    worker_port(const worker_port&) = delete;
    worker_port& operator=(const worker_port&) = delete;
    virtual ~worker_port() = default;

    virtual void start_run(const start_request& order, std::function<void(start_result)> done) = 0;
    /// `done` gets true when the worker has acknowledged the stop.
    virtual void stop_run(const stop_request& order, std::function<void(bool)> done) = 0;
    /// Extends the lease and lists what runs and what has ended.
    /// Errors: worker_errc.
    virtual void renew(const renew_request& order,
                       std::function<void(absl::StatusOr<worker_listing>)> done) = 0;
};

} // namespace redwingwheel::jobs
