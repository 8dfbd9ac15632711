#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include <malloc.h>
#include <popt.h>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "daemon.h"
#include "redwingwheel/rate_limited_log_sink.h"
#include "redwingwheel/settings.h"

namespace {

constexpr int exit_success = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;

struct arguments {
    std::string config_file;
    bool check_only = false;
};

/// Parses the command line into `parsed`. Returns an exit status if the program must exit at once,
/// else nothing.
std::optional<int> parse_arguments(int argc, const char** argv, arguments& parsed)
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
    parsed.config_file = config_file;
    parsed.check_only = check_only != 0;
    std::free(config_file);
    poptFreeContext(context);
    return std::nullopt;
}

/// Returns the content of the file, or nothing if it cannot be opened.
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

/// Capacity of the queue of the asynchronous logger. When it is full the oldest line is dropped, so
/// that logging never blocks the calling thread.
constexpr std::size_t max_queued_log_lines = 1024;

void set_up_log(const redwingwheel::config::settings& settings)
{
    std::shared_ptr<spdlog::sinks::sink> output_sink;
    if (settings.log.file.empty()) {
        output_sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    }
    else {
        output_sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(settings.log.file);
    }
    spdlog::init_thread_pool(max_queued_log_lines, 1);
    const std::shared_ptr<spdlog::logger> logger = std::make_shared<spdlog::async_logger>(
        "redwingwheel",
        std::make_shared<redwingwheel::logs::rate_limited_log_sink>(
            output_sink, redwingwheel::logs::log_rate_limits(),
            redwingwheel::boot_clock_function()),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l process=" + settings.name + " %v");
    logger->set_level(spdlog::level::from_str(settings.log.level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in all threads that it starts later, and
/// ignores SIGPIPE. Returns the set of blocked signals.
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

/// Interval at which the settings file is read again, since it may change without a SIGHUP.
constexpr std::chrono::seconds settings_check_interval{2};

/// Reads the settings file again and, if its text has changed, applies the settings that can change
/// at run time. If the new text is invalid, logs each problem and keeps the current settings.
void reload(const std::string& file_name, std::string& current_text,
            redwingwheel::daemon::process& process)
{
    const std::optional<std::string> text = read_file(file_name);
    if (!text.has_value() || *text == current_text) {
        return;
    }
    current_text = *text;
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

/// Runs the process until SIGTERM or SIGINT, then stops all its threads. Returns the exit status.
int run(const redwingwheel::config::settings& settings, const std::string& secret,
        const std::string& file_name, std::string text, const sigset_t& signals)
{
    redwingwheel::daemon::process process(settings, secret);
    const absl::Status start_status = process.start();
    if (!start_status.ok()) {
        spdlog::error("event=start_failed error=\"{}\"", start_status.ToString());
        return exit_failed;
    }
    spdlog::info("event=started");
    const timespec check_interval{settings_check_interval.count(), 0};
    int received = 0;
    do {
        received = sigtimedwait(&signals, nullptr, &check_interval);
        if (received == SIGHUP || received < 0) {
            reload(file_name, text, process);
        }
    } while (received == SIGHUP || received < 0);
    spdlog::info("event=stopping signal={}", received);
    process.drain_and_stop();
    spdlog::info("event=stopped");
    return exit_success;
}

/// Large buffers, such as those of snapshots and bodies, are returned to the system when they are
/// freed. By default the allocator soon keeps them in the heap of one of many threads.
void limit_kept_memory()
{
    constexpr int mapped_from_bytes = 256 * 1024;
    constexpr int max_arenas = 2;
    mallopt(M_MMAP_THRESHOLD, mapped_from_bytes);
    mallopt(M_TRIM_THRESHOLD, 2 * mapped_from_bytes);
    mallopt(M_ARENA_MAX, max_arenas);
}

std::string strip_trailing_whitespace(std::string text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.pop_back();
    }
    return text;
}

} // namespace

int main(int argc, const char** argv)
{
    limit_kept_memory();
    arguments parsed_arguments;
    const std::optional<int> early_exit_status = parse_arguments(argc, argv, parsed_arguments);
    if (early_exit_status.has_value()) {
        return *early_exit_status;
    }
    const std::optional<std::string> text = read_file(parsed_arguments.config_file);
    if (!text.has_value()) {
        std::cerr << parsed_arguments.config_file << ": cannot be read\n";
        return exit_bad_input;
    }
    const absl::StatusOr<redwingwheel::config::settings> settings =
        redwingwheel::config::load_settings(*text, parsed_arguments.config_file);
    if (!settings.ok()) {
        for (const std::string& line : redwingwheel::config::problem_lines(settings.status())) {
            std::cerr << line << "\n";
        }
        return exit_bad_input;
    }
    if (parsed_arguments.check_only) {
        return exit_success;
    }
    const std::optional<std::string> secret = read_file(settings->cluster_secret_file);
    if (!secret.has_value() || strip_trailing_whitespace(*secret).empty()) {
        std::cerr << parsed_arguments.config_file << ": cluster_secret_file: value "
                  << settings->cluster_secret_file
                  << ": allowed a readable file that is not empty\n";
        return exit_bad_input;
    }
    // The signals must be blocked before the first thread, the one of the logger, starts: a thread
    // that does not block them would let a signal kill the process instead of reaching
    // `sigtimedwait` in the main thread.
    const sigset_t signals = block_stop_signals();
    set_up_log(*settings);
    const int status = run(*settings, strip_trailing_whitespace(*secret),
                           parsed_arguments.config_file, *text, signals);
    // Only after all threads of the process have ended: one that logs later would use a destroyed
    // logger.
    spdlog::shutdown();
    return status;
}
