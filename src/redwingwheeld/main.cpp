#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include <popt.h>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "daemon.h"
#include "redwingwheel/rate_limited_log_sink.h"
#include "redwingwheel/settings.h"

namespace {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;

struct arguments {
    std::string config_file;
    bool check_only = false;
};

/// Reads the command line. Returns the exit status when the program is to end at once.
std::optional<int> read_arguments(int argc, const char** argv, arguments& read)
{
    char* config_file = nullptr;
    int check_only = 0;
    const poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &config_file, 0, "settings of this process (YAML)",
         "FILE"},
        {"check", 0, POPT_ARG_NONE, &check_only, 0, "check the settings and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("redwingwheeld", argc, argv, options, 0);
    poptSetOtherOptionHelp(context, "--config FILE");
    const int result = poptGetNextOpt(context);
    if (result < -1) {
        std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(result) << "\n";
        poptFreeContext(context);
        return exit_bad_input;
    }
    if (config_file == nullptr || poptPeekArg(context) != nullptr) {
        poptPrintUsage(context, stderr, 0);
        poptFreeContext(context);
        return exit_bad_input;
    }
    read.config_file = config_file;
    read.check_only = check_only != 0;
    std::free(config_file);
    poptFreeContext(context);
    return std::nullopt;
}

std::optional<std::string> read_file(const std::string& name)
{
    const std::ifstream file(name, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Lines that wait to be written; when more come, the oldest are dropped and nobody waits.
constexpr std::size_t log_queue_lines = 1024;

void set_up_log(const redwingwheel::config::settings& settings)
{
    std::shared_ptr<spdlog::sinks::sink> target;
    if (settings.log.file.empty()) {
        target = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    }
    else {
        target = std::make_shared<spdlog::sinks::basic_file_sink_mt>(settings.log.file);
    }
    spdlog::init_thread_pool(log_queue_lines, 1);
    const std::shared_ptr<spdlog::logger> logger = std::make_shared<spdlog::async_logger>(
        "redwingwheel",
        std::make_shared<redwingwheel::logs::rate_limited_log_sink>(
            target, redwingwheel::logs::log_rate_limits(), redwingwheel::boot_clock_function()),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l process=" + settings.name + " %v");
    logger->set_level(spdlog::level::from_str(settings.log.level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

/// Blocks the stop signals in this thread and all that it starts.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Settings files may change without a signal; they are read again this often.
constexpr std::chrono::seconds settings_check_period{2};

/// Puts changed settings in force as far as a running process can. A rejected document changes
/// nothing.
void reload(const std::string& file_name, std::string& known_text,
            redwingwheel::daemon::process& process)
{
    const std::optional<std::string> text = read_file(file_name);
    if (!text.has_value() || *text == known_text) {
        return;
    }
    known_text = *text;
    const absl::StatusOr<redwingwheel::config::settings> settings =
        redwingwheel::config::load_settings(*text, file_name);
    if (!settings.ok()) {
        for (const std::string& line : redwingwheel::config::problem_lines(settings.status())) {
            spdlog::error("event=settings_refused problem=\"{}\"", line);
        }
        return;
    }
    spdlog::info("event=settings_reloaded");
    process.reload(*settings);
}

/// Runs the process until a stop signal and ends all its threads. Returns the exit status.
int run(const redwingwheel::config::settings& settings, const std::string& secret,
        const std::string& file_name, std::string text, const sigset_t& signals)
{
    redwingwheel::daemon::process process(settings, secret);
    const absl::Status started = process.start();
    if (!started.ok()) {
        spdlog::error("event=start_failed error=\"{}\"", started.ToString());
        return exit_failed;
    }
    spdlog::info("event=started");
    const timespec period{settings_check_period.count(), 0};
    int received = 0;
    do {
        received = sigtimedwait(&signals, nullptr, &period);
        if (received == SIGHUP || received < 0) {
            reload(file_name, text, process);
        }
    } while (received == SIGHUP || received < 0);
    spdlog::info("event=stopping signal={}", received);
    process.drain_and_stop();
    spdlog::info("event=stopped");
    return exit_done;
}

std::string trimmed(std::string text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.pop_back();
    }
    return text;
}

} // namespace

int main(int argc, const char** argv)
{
    arguments given;
    const std::optional<int> early = read_arguments(argc, argv, given);
    if (early.has_value()) {
        return *early;
    }
    const std::optional<std::string> text = read_file(given.config_file);
    if (!text.has_value()) {
        std::cerr << given.config_file << ": cannot be read\n";
        return exit_bad_input;
    }
    const absl::StatusOr<redwingwheel::config::settings> settings =
        redwingwheel::config::load_settings(*text, given.config_file);
    if (!settings.ok()) {
        for (const std::string& line : redwingwheel::config::problem_lines(settings.status())) {
            std::cerr << line << "\n";
        }
        return exit_bad_input;
    }
    if (given.check_only) {
        return exit_done;
    }
    const std::optional<std::string> secret = read_file(settings->cluster_secret_file);
    if (!secret.has_value() || trimmed(*secret).empty()) {
        std::cerr << given.config_file << ": cluster_secret_file: value "
                  << settings->cluster_secret_file
                  << ": allowed a readable file that is not empty\n";
        return exit_bad_input;
    }
    // Before the first thread starts, the log's: one that does not block a signal would let it end
    // the process while the main thread is not waiting for it.
    const sigset_t signals = block_stop_signals();
    set_up_log(*settings);
    const int status = run(*settings, trimmed(*secret), given.config_file, *text, signals);
    // Only now: a thread of the process that logs after this would use a logger that is gone.
    spdlog::shutdown();
    return status;
}
