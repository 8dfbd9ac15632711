#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "redwingwheel/clock.h"
#include "redwingwheel/errors.h"
#include "redwingwheel/job_model.h"
#include "redwingwheel/scheduler.h"

/// Interface through which a supervisor controls the worker on its host.
namespace redwingwheel::jobs {

/// Milliseconds on the worker's own steady clock, which may run up to 2% slow.
using worker_time_ms = std::int64_t;

struct start_request {
    worker_incarnation worker;
    run_id run;
    std::string payload;
    std::string checkpoint;
    worker_time_ms deadline = 0;     ///< The worker refuses the start after this time.
    std::uint64_t fencing_token = 0; ///< The worker does nothing if it has seen a higher one.
};

enum class start_result : std::uint8_t {
    started,     ///< Started now or earlier.
    no_room,     ///< The resources are not available; nothing was done.
    too_late,    ///< The deadline had passed; nothing was done.
    outdated,    ///< A run of the task with this number or a higher one was stopped or has ended.
    fenced,      ///< The worker has seen a higher fencing token; nothing was done.
    not_healthy, ///< The worker does not accept work; nothing was done.
    not_sent,    ///< No connection to the worker; nothing was sent.
    other_incarnation, ///< The order was for another incarnation; nothing was done.
    invalid,           ///< The worker rejected the order as malformed; nothing was done.
    no_answer          ///< The order may be carried out, now or seconds later.
};

[[nodiscard]] std::string_view start_result_name(start_result result);

/// Errors of requests to the worker.
enum class worker_errc {
    not_listening = 1, ///< The worker's host refused the connection: no process listens there.
    no_answer,         ///< The request may have been carried out.
    refused,           ///< The worker's answer is not a listing.
    fenced,            ///< The worker has seen a higher fencing token; nothing was done.
    other_incarnation, ///< The worker has another id; nothing was done.
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
    std::uint64_t fencing_token = 0; ///< The worker does nothing if it has seen a higher one.
};

struct renew_request {
    worker_incarnation worker;
    worker_time_ms lease_until = 0;      ///< 0: the lease is not extended.
    std::uint64_t fencing_token = 0;     ///< The worker does nothing if it has seen a higher one.
    std::uint64_t last_recorded_end = 0; ///< The worker no longer lists ended runs up to this
                                         ///< number.
    milliseconds wait{0}; ///< Longest time until the worker answers, unless a run ends.
};

/// Answer to a renewal: the runs of the worker.
struct worker_listing {
    worker_incarnation worker;
    worker_time_ms clock = 0;
    std::vector<run_progress> running;
    std::vector<ended_run> ended_runs;
};

/// Sends orders to the worker. Callbacks run on the control thread. An order without an answer may
/// have been carried out or may be carried out later.
class worker_port {
public:
    worker_port() = default;
    worker_port(const worker_port&) = delete;
    worker_port& operator=(const worker_port&) = delete;
    virtual ~worker_port() = default;

    virtual void start_run(const start_request& order, std::function<void(start_result)> done) = 0;
    /// Calls `done` with true when the worker has acknowledged the stop, otherwise with false.
    virtual void stop_run(const stop_request& order, std::function<void(bool)> done) = 0;
    /// Extends the lease and lists the running and the ended runs.
    /// Errors: worker_errc.
    virtual void renew(const renew_request& order,
                       std::function<void(absl::StatusOr<worker_listing>)> done) = 0;
};

} // namespace redwingwheel::jobs
