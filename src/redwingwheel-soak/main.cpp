#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <thread>

#include <fmt/core.h>
#include <popt.h>

#include "deployment.h"
#include "fault_injector.h"
#include "history_checker.h"

/// Soak test: runs the daemons as separate processes under random faults, and checks that what
/// callers, operators and workers observe keeps the guarantees of the system.

namespace {

using namespace redwingwheel;
using namespace redwingwheel::soak;
using platform::testing::call_outcome;

constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
constexpr std::uint16_t min_port = 1024;
constexpr int max_soak_seconds = 86'400;
constexpr std::size_t concurrent_callers = 4;
constexpr std::size_t max_attempts_per_call = 5;
/// Time for the deployment to start serving.
constexpr std::chrono::seconds start_timeout{20};
/// Time for the accepted jobs to complete and the gateways to serve after the faults have ended.
constexpr std::chrono::seconds completion_timeout{40};
constexpr milliseconds retry_interval{200};
constexpr milliseconds fault_poll_interval{50};

struct arguments {
    int seconds = 30;
    long long seed = 1;
    int first_port = 23000;
    std::string programs;
    std::string folder;
};

/// Parses the command line into `parsed`. Returns false, after a message, if it is invalid.
bool parse_arguments(int argc, const char** argv, arguments& parsed)
{
    char* programs = nullptr;
    char* folder = nullptr;
    const poptOption table[] = {
        {"seconds", 'n', POPT_ARG_INT, &parsed.seconds, 0, "time under faults", "N"},
        {"seed", 's', POPT_ARG_LONGLONG, &parsed.seed, 0, "seed of load and faults", "S"},
        {"port", 'p', POPT_ARG_INT, &parsed.first_port, 0, "first of 100 ports", "PORT"},
        {"programs", 'b', POPT_ARG_STRING, &programs, 0, "folder of the daemon", "DIR"},
        {"folder", 'f', POPT_ARG_STRING, &folder, 0, "empty folder for data and logs", "DIR"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int status = poptGetNextOpt(context);
    if (status < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(status));
    }
    parsed.programs = programs == nullptr ? "" : programs;
    parsed.folder = folder == nullptr ? "" : folder;
    std::free(programs);
    std::free(folder);
    poptFreeContext(context);
    if (parsed.seconds < 1 || parsed.seconds > max_soak_seconds) {
        fmt::print(stderr, "--seconds: {}: expected 1 to {}\n", parsed.seconds, max_soak_seconds);
        return false;
    }
    if (parsed.first_port < min_port || parsed.first_port > 65'000) {
        fmt::print(stderr, "--port: {}: expected {} to 65000\n", parsed.first_port, min_port);
        return false;
    }
    for (const auto& [name, value] :
         {std::pair("--programs", parsed.programs), std::pair("--folder", parsed.folder)}) {
        if (!std::filesystem::is_directory(value)) {
            fmt::print(stderr, "{}: \"{}\": expected an existing folder\n", name, value);
            return false;
        }
    }
    return status == -1;
}

platform::testing::caller_options caller_settings()
{
    return {"soak.example", "/soak/", "key-of-the-soak"};
}

/// A job of one or two steps with random size, gang and rack requirements.
jobs::job_definition random_job(std::mt19937_64& random)
{
    jobs::job_definition job;
    platform::testing::task_behaviour behaviour;
    behaviour.work_ms = 100 + static_cast<std::int64_t>(random() % 1500);
    behaviour.per_task = {1000, 1000, static_cast<std::int64_t>(random() % 5)};
    jobs::step_definition step;
    step.tasks = 1 + static_cast<std::uint32_t>(random() % 5);
    step.gang = random() % 2 == 0;
    step.same_rack = step.gang && random() % 2 == 0;
    step.per_task = behaviour.per_task;
    step.estimate_ms = behaviour.work_ms;
    behaviour.gang_size = step.gang ? step.tasks : 0;
    job.steps.push_back(step);
    if (random() % 4 == 0) {
        step.depends_on = {0};
        job.steps.push_back(step);
    }
    job.payload = behaviour.to_payload();
    return job;
}

/// One soak: the deployment, its concurrent callers, an operator, the faults and the final checks.
class soak_run {
public:
    explicit soak_run(const arguments& parsed)
        : seed(static_cast<std::uint64_t>(parsed.seed)),
          target(
              {parsed.programs, parsed.folder, 3, 6, static_cast<std::uint16_t>(parsed.first_port)},
              this->observer())
    {
    }

    /// Runs the soak and returns the exit status.
    int run(std::chrono::seconds fault_duration)
    {
        const absl::Status start_status = this->target.start();
        if (!start_status.ok() || !this->wait_until_serving()) {
            fmt::print(stderr, "the deployment does not start serving: {}\n",
                       start_status.ToString());
            this->target.stop();
            return exit_failed;
        }
        std::vector<std::thread> threads;
        for (std::size_t caller_index = 0; caller_index < concurrent_callers; ++caller_index) {
            threads.emplace_back([this, caller_index] { this->run_caller(caller_index); });
        }
        threads.emplace_back([this] { this->run_operator(); });
        fault_injector faults(this->target, this->seed);
        const steady_time end = boot_clock::now() + fault_duration;
        while (boot_clock::now() < end) {
            faults.apply_due_faults();
            std::this_thread::sleep_for(fault_poll_interval);
        }
        faults.end_active_faults();
        this->stopping = true;
        for (std::thread& each : threads) {
            each.join();
        }
        this->check_after_faults();
        this->target.stop();
        if (this->target.unexpected_exits() > 0) {
            this->history.report_violation(
                fmt::format("{} daemons exited unexpectedly", this->target.unexpected_exits()));
        }
        const std::size_t violation_count = this->history.violations().size();
        fmt::print("seed {}: {} violations; {}\n", this->seed, violation_count,
                   this->history.summary());
        return violation_count == 0 ? 0 : exit_failed;
    }

private:
    platform::testing::worker_observer observer()
    {
        return {
            [this](const std::string& worker, const jobs::run_id& run, const std::string& payload) {
                this->history.record_run_started(worker, run, payload);
            },
            [this](const jobs::run_id& run, jobs::run_outcome outcome) {
                this->history.record_run_ended(run, outcome);
            },
            [this](const jobs::run_id& run, jobs::run_outcome outcome) {
                this->history.record_end_acknowledged(run, outcome);
            }};
    }

    const gateway_host& random_gateway(std::mt19937_64& random)
    {
        return *this->target.gateways()[random() % this->target.gateways().size()];
    }

    /// Installs configuration 1 as soon as a gateway accepts it. Returns false after
    /// `start_timeout`.
    bool wait_until_serving()
    {
        platform::testing::caller caller(caller_settings());
        const steady_time end = boot_clock::now() + start_timeout;
        while (boot_clock::now() < end) {
            this->history.record_install_sent(1);
            if (caller.install(this->target.gateways().front()->administration_address, 1,
                               deployment::service) == call_outcome::accepted) {
                this->history.record_install_acknowledged(1);
                return true;
            }
            std::this_thread::sleep_for(retry_interval);
        }
        return false;
    }

    /// Submits, cancels and looks up random jobs until `stopping`.
    void run_caller(std::size_t caller_index)
    {
        std::mt19937_64 random(this->seed * concurrent_callers + caller_index);
        platform::testing::caller caller(caller_settings());
        std::uint64_t job_count = 0;
        while (!this->stopping) {
            const std::string job = fmt::format("{:08x}{:08x}", caller_index + 1, ++job_count);
            const jobs::job_definition definition = random_job(random);
            this->history.record_submit_sent(job, definition);
            call_outcome outcome = call_outcome::refused;
            for (std::size_t attempt = 0;
                 attempt < max_attempts_per_call && outcome != call_outcome::accepted; ++attempt) {
                outcome =
                    caller.submit(this->random_gateway(random).caller_address, job, definition);
                this->history.record_submit_result(job, outcome);
                if (outcome != call_outcome::accepted) {
                    std::this_thread::sleep_for(retry_interval);
                }
            }
            if (random() % 4 == 0) {
                this->cancel(caller, random);
            }
            const std::string open_job = this->history.pick_open_job(random());
            std::string state;
            if (!open_job.empty()) {
                const call_outcome look_up_outcome =
                    caller.look_up(this->random_gateway(random).caller_address, open_job, state);
                this->history.record_job_state(open_job, look_up_outcome, state);
            }
            std::this_thread::sleep_for(milliseconds(random() % 400));
        }
    }

    void cancel(platform::testing::caller& caller, std::mt19937_64& random)
    {
        const std::string job = this->history.pick_open_job(random());
        if (job.empty()) {
            return;
        }
        this->history.record_cancel_sent(job);
        call_outcome outcome = call_outcome::refused;
        for (std::size_t attempt = 0;
             attempt < max_attempts_per_call && outcome != call_outcome::accepted; ++attempt) {
            outcome = caller.cancel(this->random_gateway(random).caller_address, job);
            this->history.record_cancel_result(job, outcome);
        }
    }

    /// Installs and reads configurations until `stopping`.
    void run_operator()
    {
        std::mt19937_64 random(~this->seed);
        platform::testing::caller caller(caller_settings());
        std::uint64_t version = 1;
        while (!this->stopping) {
            version += 1 + random() % 3;
            this->history.record_install_sent(version);
            if (caller.install(this->random_gateway(random).administration_address, version,
                               deployment::service) == call_outcome::accepted) {
                this->history.record_install_acknowledged(version);
            }
            this->check_configuration_version(caller, this->random_gateway(random));
            std::this_thread::sleep_for(milliseconds(random() % 600));
        }
    }

    /// Reads the configuration version from the gateway and checks it. Returns false if there was
    /// no answer.
    bool check_configuration_version(platform::testing::caller& caller, const gateway_host& gateway)
    {
        const std::uint64_t min_version = this->history.acknowledged_version();
        const std::optional<std::uint64_t> version = caller.version(gateway.administration_address);
        if (version.has_value()) {
            this->history.check_version_read(*version, min_version);
        }
        return version.has_value();
    }

    /// Waits until the accepted jobs have completed and all gateways serve, at most
    /// `completion_timeout`, then checks the final state.
    void check_after_faults()
    {
        platform::testing::caller caller(caller_settings());
        std::vector<std::string> pending_jobs = this->history.expected_completions();
        const steady_time end = boot_clock::now() + completion_timeout;
        while (!pending_jobs.empty() && boot_clock::now() < end) {
            std::erase_if(pending_jobs, [this, &caller](const std::string& job) {
                std::string state;
                const call_outcome outcome =
                    caller.look_up(this->target.gateways().front()->caller_address, job, state);
                this->history.record_job_state(job, outcome, state);
                return state == "completed";
            });
            this->target.restart_ended();
            std::this_thread::sleep_for(retry_interval);
        }
        for (const std::unique_ptr<gateway_host>& each : this->target.gateways()) {
            bool serving = false;
            while (!serving && boot_clock::now() < end) {
                serving = this->check_configuration_version(caller, *each) &&
                          caller.ready(each->readiness_address);
                std::this_thread::sleep_for(retry_interval);
            }
            if (!serving) {
                this->history.report_violation(
                    each->caller_address +
                    ": the gateway does not serve after the faults have ended");
            }
        }
        this->history.check_final_state();
    }

    std::uint64_t seed;
    history_checker history;
    deployment target;
    std::atomic<bool> stopping{false};
};

} // namespace

int main(int argc, const char** argv)
{
    arguments parsed;
    if (!parse_arguments(argc, argv, parsed)) {
        return exit_bad_input;
    }
    soak_run run(parsed);
    return run.run(std::chrono::seconds(parsed.seconds));
}
