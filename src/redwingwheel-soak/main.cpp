#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <thread>

#include <fmt/core.h>
#include <popt.h>

#include "deployment.h"
#include "faults.h"
#include "ledger.h"

/// Runs daemons as separate processes under random faults, and checks what callers, operators and
/// workers see against the promises of the system.

namespace {

using namespace redwingwheel;
using namespace redwingwheel::soak;
using platform::testing::call_outcome;

constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
constexpr std::uint16_t lowest_port = 1024;
constexpr int longest_soak_s = 86'400;
constexpr std::size_t callers_at_once = 4;
constexpr std::size_t tries_per_job = 5;
/// Time for the deployment to come up, and to finish what it owes once it is calm.
constexpr std::chrono::seconds start_patience{20};
constexpr std::chrono::seconds end_patience{40};
constexpr milliseconds pause_between_tries{200};
constexpr milliseconds fault_step{50};

struct arguments {
    int seconds = 30;
    long long seed = 1;
    int first_port = 23000;
    std::string programs;
    std::string folder;
};

bool read_arguments(int argc, const char** argv, arguments& read)
{
    char* programs = nullptr;
    char* folder = nullptr;
    const poptOption table[] = {
        {"seconds", 'n', POPT_ARG_INT, &read.seconds, 0, "time under faults", "N"},
        {"seed", 's', POPT_ARG_LONGLONG, &read.seed, 0, "seed of load and faults", "S"},
        {"port", 'p', POPT_ARG_INT, &read.first_port, 0, "first of 100 ports", "PORT"},
        {"programs", 'b', POPT_ARG_STRING, &programs, 0, "folder of the daemon", "DIR"},
        {"folder", 'f', POPT_ARG_STRING, &folder, 0, "empty folder for data and logs", "DIR"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int status = poptGetNextOpt(context);
    if (status < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(status));
    }
    read.programs = programs == nullptr ? "" : programs;
    read.folder = folder == nullptr ? "" : folder;
    std::free(programs);
    std::free(folder);
    poptFreeContext(context);
    if (read.seconds < 1 || read.seconds > longest_soak_s) {
        fmt::print(stderr, "--seconds: {}: allowed are 1 to {}\n", read.seconds, longest_soak_s);
        return false;
    }
    if (read.first_port < lowest_port || read.first_port > 65'000) {
        fmt::print(stderr, "--port: {}: allowed are {} to 65000\n", read.first_port, lowest_port);
        return false;
    }
    for (const auto& [name, value] :
         {std::pair("--programs", read.programs), std::pair("--folder", read.folder)}) {
        if (!std::filesystem::is_directory(value)) {
            fmt::print(stderr, "{}: {}: an existing folder is wanted\n", name, value);
            return false;
        }
    }
    return status == -1;
}

platform::testing::caller_options caller_settings()
{
    return {"soak.example", "/soak/", "key-of-the-soak"};
}

jobs::job_definition draw_job(std::mt19937_64& random)
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

/// Callers, operators and the checks of one run.
class soak_run {
public:
    explicit soak_run(const arguments& chosen)
        : seed(static_cast<std::uint64_t>(chosen.seed)),
          target(
              {chosen.programs, chosen.folder, 3, 6, static_cast<std::uint16_t>(chosen.first_port)},
              this->observer())
    {
    }

    int run(std::chrono::seconds under_faults)
    {
        const absl::Status started = this->target.start();
        if (!started.ok() || !this->wait_until_serving()) {
            fmt::print(stderr, "the deployment does not come up: {}\n", started.ToString());
            this->target.stop();
            return exit_failed;
        }
        std::vector<std::thread> threads;
        for (std::size_t each = 0; each < callers_at_once; ++each) {
            threads.emplace_back([this, each] { this->call_jobs(each); });
        }
        threads.emplace_back([this] { this->operate(); });
        fault_plan faults(this->target, this->seed);
        const steady_time end = boot_clock::now() + under_faults;
        while (boot_clock::now() < end) {
            faults.advance();
            std::this_thread::sleep_for(fault_step);
        }
        faults.end_all();
        this->done = true;
        for (std::thread& each : threads) {
            each.join();
        }
        this->settle();
        this->target.stop();
        if (this->target.own_ends() > 0) {
            this->seen.report(
                fmt::format("{} daemons ended by themselves", this->target.own_ends()));
        }
        const std::size_t faults_found = this->seen.faults().size();
        fmt::print("seed {}: {} faults; {}\n", this->seed, faults_found, this->seen.summary());
        return faults_found == 0 ? 0 : exit_failed;
    }

private:
    platform::testing::worker_observer observer()
    {
        return {
            [this](const std::string& worker, const jobs::run_id& run, const std::string& payload) {
                this->seen.started(worker, run, payload);
            },
            [this](const jobs::run_id& run, jobs::run_outcome how) { this->seen.ended(run, how); },
            [this](const jobs::run_id& run, jobs::run_outcome how) {
                this->seen.acknowledged(run, how);
            }};
    }

    const gateway_host& some_gateway(std::mt19937_64& random)
    {
        return *this->target.gateways()[random() % this->target.gateways().size()];
    }

    bool wait_until_serving()
    {
        platform::testing::caller caller(caller_settings());
        const steady_time end = boot_clock::now() + start_patience;
        while (boot_clock::now() < end) {
            this->seen.installing(1);
            if (caller.install(this->target.gateways().front()->administration, 1,
                               deployment::service) == call_outcome::accepted) {
                this->seen.installed(1);
                return true;
            }
            std::this_thread::sleep_for(pause_between_tries);
        }
        return false;
    }

    void call_jobs(std::size_t number)
    {
        std::mt19937_64 random(this->seed * callers_at_once + number);
        platform::testing::caller caller(caller_settings());
        std::uint64_t count = 0;
        while (!this->done) {
            const std::string job = fmt::format("{:08x}{:08x}", number + 1, ++count);
            const jobs::job_definition definition = draw_job(random);
            this->seen.submitting(job, definition);
            call_outcome outcome = call_outcome::refused;
            for (std::size_t each = 0; each < tries_per_job && outcome != call_outcome::accepted;
                 ++each) {
                outcome = caller.submit(this->some_gateway(random).callers, job, definition);
                this->seen.submitted(job, outcome);
                if (outcome != call_outcome::accepted) {
                    std::this_thread::sleep_for(pause_between_tries);
                }
            }
            if (random() % 4 == 0) {
                this->cancel(caller, random);
            }
            const std::string other = this->seen.some_job(random());
            std::string state;
            if (!other.empty()) {
                const call_outcome shown =
                    caller.look_up(this->some_gateway(random).callers, other, state);
                this->seen.shown(other, shown, state);
            }
            std::this_thread::sleep_for(milliseconds(random() % 400));
        }
    }

    void cancel(platform::testing::caller& caller, std::mt19937_64& random)
    {
        const std::string job = this->seen.some_job(random());
        if (job.empty()) {
            return;
        }
        this->seen.cancelling(job);
        call_outcome outcome = call_outcome::refused;
        for (std::size_t each = 0; each < tries_per_job && outcome != call_outcome::accepted;
             ++each) {
            outcome = caller.cancel(this->some_gateway(random).callers, job);
            this->seen.cancelled(job, outcome);
        }
    }

    void operate()
    {
        std::mt19937_64 random(~this->seed);
        platform::testing::caller caller(caller_settings());
        std::uint64_t version = 1;
        while (!this->done) {
            version += 1 + random() % 3;
            this->seen.installing(version);
            if (caller.install(this->some_gateway(random).administration, version,
                               deployment::service) == call_outcome::accepted) {
                this->seen.installed(version);
            }
            this->read_configuration(caller, this->some_gateway(random));
            std::this_thread::sleep_for(milliseconds(random() % 600));
        }
    }

    bool read_configuration(platform::testing::caller& caller, const gateway_host& from)
    {
        const std::uint64_t at_least = this->seen.acknowledged_version();
        const std::optional<std::uint64_t> shown = caller.version(from.administration);
        if (shown.has_value()) {
            this->seen.read_version(*shown, at_least);
        }
        return shown.has_value();
    }

    /// Waits until everything that is owed is completed, then checks what must hold in calm.
    void settle()
    {
        platform::testing::caller caller(caller_settings());
        std::vector<std::string> open = this->seen.owed_jobs();
        const steady_time end = boot_clock::now() + end_patience;
        while (!open.empty() && boot_clock::now() < end) {
            std::erase_if(open, [this, &caller](const std::string& job) {
                std::string state;
                const call_outcome outcome =
                    caller.look_up(this->target.gateways().front()->callers, job, state);
                this->seen.shown(job, outcome, state);
                return state == "completed";
            });
            this->target.restart_ended();
            std::this_thread::sleep_for(pause_between_tries);
        }
        for (const std::unique_ptr<gateway_host>& each : this->target.gateways()) {
            bool answers = false;
            while (!answers && boot_clock::now() < end) {
                answers = this->read_configuration(caller, *each) && caller.ready(each->readiness);
                std::this_thread::sleep_for(pause_between_tries);
            }
            if (!answers) {
                this->seen.report(each->callers + " does not serve when all is calm");
            }
        }
        this->seen.check_at_end();
    }

    std::uint64_t seed;
    ledger seen;
    deployment target;
    std::atomic<bool> done{false};
};

} // namespace

int main(int argc, const char** argv)
{
    arguments read;
    if (!read_arguments(argc, argv, read)) {
        return exit_bad_input;
    }
    soak_run run(read);
    return run.run(std::chrono::seconds(read.seconds));
}
