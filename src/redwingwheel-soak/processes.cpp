#include "processes.h"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace redwingwheel::soak {

child_process::child_process(std::vector<std::string> with, std::filesystem::path to)
    : command(std::move(with)), output(std::move(to))
{
}

child_process::~child_process()
{
    this->kill();
}

void child_process::start()
{
    std::vector<char*> arguments;
    for (std::string& each : this->command) {
        arguments.push_back(each.data());
    }
    arguments.push_back(nullptr);
    const std::string log = this->output.string();
    this->end_expected = false;
    this->pid = fork();
    if (this->pid < 0) {
        throw std::runtime_error("no process can be started");
    }
    if (this->pid == 0) {
        constexpr int log_mode = 0644;
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        // A write beyond the limit of `limit_files` fails instead of ending the program.
        std::signal(SIGXFSZ, SIG_IGN);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
}

bool child_process::running()
{
    if (this->pid == 0) {
        return false;
    }
    if (waitpid(this->pid, nullptr, WNOHANG) == 0) {
        return true;
    }
    this->pid = 0;
    this->unexpected_ends += this->end_expected ? 0 : 1;
    return false;
}

void child_process::signal(int number)
{
    if (this->running()) {
        ::kill(this->pid, number);
    }
}

void child_process::kill()
{
    if (this->pid == 0) {
        return;
    }
    this->end_expected = true;
    ::kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
}

void child_process::limit_files(std::uint64_t bytes)
{
    if (!this->running()) {
        return;
    }
    rlimit limit{};
    prlimit(this->pid, RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = bytes == 0 ? limit.rlim_max : bytes;
    prlimit(this->pid, RLIMIT_FSIZE, &limit, nullptr);
}

} // namespace redwingwheel::soak
