#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace redwingwheel::soak {

/// A child process that can be restarted. Signals are sent to its process id only, never to a
/// group.
class child_process {
public:
    /// `command` is the path of the program and its arguments. The standard output and standard
    /// error of the program are appended to the file `output`.
    child_process(std::vector<std::string> command, std::filesystem::path output);
    /// Kills the process if it runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Starts the program. Throws `std::runtime_error` when the fork fails; a program that cannot
    /// be executed exits with status 127.
    void start();
    /// True while the process runs. Reaps a process that has exited, and counts the exit if it was
    /// unexpected.
    [[nodiscard]] bool running();
    /// Sends a signal to the process; does nothing when it does not run.
    void signal(int number);
    /// Sends SIGKILL and waits for the exit, which is not counted as unexpected.
    void kill();
    /// Limits the size in bytes up to which the running process may write files, so that its writes
    /// fail as on a full disk; 0 removes the limit.
    void limit_file_size(std::uint64_t bytes);

    /// Number of exits that were neither caused by `kill` nor announced by `expect_exit`.
    [[nodiscard]] std::uint32_t unexpected_exits() const { return this->unexpected_exit_count; }
    /// The next exit is not counted as unexpected.
    void expect_exit() { this->exit_expected = true; }
    [[nodiscard]] const std::filesystem::path& log() const { return this->output; }

private:
    std::vector<std::string> command;
    std::filesystem::path output;
    pid_t pid = 0;
    bool exit_expected = false;
    std::uint32_t unexpected_exit_count = 0;
};

} // namespace redwingwheel::soak
