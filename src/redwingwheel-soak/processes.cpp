#include "processes.h"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace redwingwheel::soak {

child_process::child_process(std::vector<std::string> program_and_arguments,
                             std::filesystem::path output_file)
    : command(std::move(program_and_arguments)), output(std::move(output_file))
{
}

child_process::~child_process()
{
    this->kill();
}

void child_process::start()
{
    std::vector<char*> argument_pointers;
    for (std::string& argument : this->command) {
        argument_pointers.push_back(argument.data());
    }
    argument_pointers.push_back(nullptr);
    const std::string log = this->output.string();
    this->exit_expected = false;
    this->pid = fork();
    if (this->pid < 0) {
        throw std::runtime_error("cannot fork a child process of the soak");
    }
    if (this->pid == 0) {
        constexpr int log_mode = 0644;
        const int log_file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
        dup2(log_file, STDOUT_FILENO);
        dup2(log_file, STDERR_FILENO);
        // With SIGXFSZ ignored, a write beyond the limit that `limit_file_size` sets fails with
        // EFBIG instead of terminating the process.
        std::signal(SIGXFSZ, SIG_IGN);
        execv(argument_pointers.front(), argument_pointers.data());
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
    this->unexpected_exit_count += this->exit_expected ? 0 : 1;
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
    this->exit_expected = true;
    ::kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
}

void child_process::limit_file_size(std::uint64_t bytes)
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
