#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace redwingwheel::soak {

/// A program that the soak started. Its signals go to this process only, by its id.
class child_process {
public:
    /// `output` takes what the program prints; it is appended to.
    child_process(std::vector<std::string> command, std::filesystem::path output);
    /// Kills the program if it runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void start();
    /// True when the program runs; takes note of an end.
    [[nodiscard]] bool running();
    void signal(int number);
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Limits the size of files that the program may write to, as a full disk does; 0 lifts it.
    void limit_files(std::uint64_t bytes);

    /// Ends that nobody asked for.
    [[nodiscard]] std::uint32_t own_ends() const { return this->unexpected_ends; }
    /// The next end is asked for.
    void expect_end() { this->end_expected = true; }
    [[nodiscard]] const std::filesystem::path& log() const { return this->output; }

private:
    std::vector<std::string> command;
    std::filesystem::path output;
    pid_t pid = 0;
    bool end_expected = false;
    std::uint32_t unexpected_ends = 0;
};

} // namespace redwingwheel::soak
