#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>

#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include "bench_group.h"

namespace replication = redwingwheel::replication;
using redwingwheel::errors::message_of;
using replication::bench::bench_group;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
/// About the size of a placement decision.
constexpr std::size_t command_bytes = 128;
constexpr std::size_t recovery_batch = 500;

using seconds_double = std::chrono::duration<double>;

double seconds_since(redwingwheel::steady_time start)
{
    return seconds_double(redwingwheel::boot_clock::now() - start).count();
}

std::vector<std::string> make_commands(std::size_t count)
{
    return std::vector<std::string>(count, std::string(command_bytes, 'c'));
}

void start_or_exit(bench_group& group)
{
    const absl::Status status = group.start();
    if (!status.ok()) {
        fmt::print(stderr, "start: {}\n", message_of(status));
        std::exit(exit_failed);
    }
}

/// Commits batches for `length` s; prints commits per second and bytes per command and follower.
void measure_commits(const std::filesystem::path& folder, std::size_t replicas, std::size_t batch,
                     double length)
{
    bench_group group(folder / fmt::format("commits-{}-{}", replicas, batch), replicas, {});
    start_or_exit(group);
    const std::vector<std::string> commands = make_commands(batch);
    group.commit_batch(commands);
    const std::uint64_t bytes_before = group.bytes_to_followers();
    const redwingwheel::steady_time start = redwingwheel::boot_clock::now();
    std::size_t batches = 0;
    while (seconds_since(start) < length) {
        group.commit_batch(commands);
        ++batches;
    }
    const double elapsed = seconds_since(start);
    const double commits = static_cast<double>(batches * batch);
    const double followers = static_cast<double>(std::max<std::size_t>(replicas - 1, 1));
    const double bytes =
        static_cast<double>(group.bytes_to_followers() - bytes_before) / commits / followers;
    const double batch_ms = elapsed * 1000 / static_cast<double>(batches);
    fmt::print("{:>8} {:>8} {:>14.0f} {:>14.3f} {:>20.1f}\n", replicas, batch, commits / elapsed,
               batch_ms, bytes);
    const nlohmann::json line{{"measure", "commits"},
                              {"replicas", replicas},
                              {"batch", batch},
                              {"command_bytes", command_bytes},
                              {"commits_per_second", commits / elapsed},
                              {"batch_ms", batch_ms},
                              {"bytes_per_command_per_follower", bytes}};
    fmt::print("{}\n", line.dump());
}

/// Writes `entries` commands, then measures how long a group of one takes from the start until it
/// leads with all of them applied.
void measure_recovery(const std::filesystem::path& folder, std::size_t entries, bool with_snapshot)
{
    replication::replica_options options;
    options.snapshot_interval_entries = with_snapshot ? entries : 10 * entries;
    options.trailing_entries = 0;
    const std::filesystem::path own =
        folder / fmt::format("recovery-{}-{}", entries, with_snapshot);
    {
        bench_group group(own, 1, options);
        start_or_exit(group);
        for (std::size_t written = 0; written < entries; written += recovery_batch) {
            group.commit_batch(make_commands(std::min(recovery_batch, entries - written)));
        }
    }
    const redwingwheel::steady_time start = redwingwheel::boot_clock::now();
    bench_group group(own, 1, options);
    start_or_exit(group);
    const double elapsed_ms = seconds_since(start) * 1000;
    if (group.applied_by_leader() < entries) {
        fmt::print(stderr, "recovery: {} of {} entries\n", group.applied_by_leader(), entries);
        std::exit(exit_failed);
    }
    fmt::print("{:>8} {:>10} {:>12.2f}\n", entries, with_snapshot ? "yes" : "no", elapsed_ms);
    const nlohmann::json line{{"measure", "recovery"},
                              {"entries", entries},
                              {"snapshot", with_snapshot},
                              {"command_bytes", command_bytes},
                              {"recovery_ms", elapsed_ms}};
    fmt::print("{}\n", line.dump());
}

} // namespace

int main(int argc, const char** argv)
{
    char* folder_text = nullptr;
    double length = 1.0;
    const poptOption table[] = {
        {"folder", 'f', POPT_ARG_STRING, &folder_text, 0, "new folder for the files", "PATH"},
        {"seconds", 'n', POPT_ARG_DOUBLE, &length, 0, "time per batch size", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int status = poptGetNextOpt(context);
    const std::filesystem::path folder = folder_text == nullptr ? "" : folder_text;
    std::free(folder_text);
    const bool valid = status == -1 && !folder.empty() && !std::filesystem::exists(folder) &&
                       length > 0 && length <= 60;
    poptFreeContext(context);
    if (!valid) {
        fmt::print(stderr, "usage: --folder PATH (must not exist) [--seconds N] (over 0, to 60)\n");
        return exit_bad_input;
    }
    fmt::print("{:>8} {:>8} {:>14} {:>14} {:>20}\n", "replicas", "batch", "commits/s", "ms/batch",
               "bytes/cmd/follower");
    for (const std::size_t replicas : {1, 3}) {
        for (const std::size_t batch : {1, 10, 100, 1000}) {
            measure_commits(folder, replicas, batch, length);
        }
    }
    fmt::print("{:>8} {:>10} {:>12}\n", "entries", "snapshot", "recovery ms");
    for (const std::size_t entries : {1'000, 10'000, 50'000}) {
        for (const bool with_snapshot : {false, true}) {
            measure_recovery(folder, entries, with_snapshot);
        }
    }
    std::filesystem::remove_all(folder);
    return EXIT_SUCCESS;
}
