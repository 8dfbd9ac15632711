#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

#include <curl/curl.h>

#include "command.h"

namespace {

std::optional<std::string> read_file(std::string_view name)
{
    std::ostringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    // A folder can be opened as a file; only reading it fails.
    if (std::filesystem::is_directory(name)) {
        return std::nullopt;
    }
    std::ifstream file(std::string(name), std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

std::optional<std::string> variable(std::string_view name)
{
    const char* const value = std::getenv(std::string(name).c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace

int main(int count, const char** values)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::vector<std::string> arguments(values + 1, values + count);
    redwingwheel::ctl::surroundings around;
    around.variable = variable;
    around.read_file = read_file;
    around.pause = [](redwingwheel::milliseconds time) {
        std::this_thread::sleep_for(time);
        return true;
    };
    around.unix_seconds = [] {
        return std::chrono::duration_cast<std::chrono::seconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    };
    around.random = [] {
        std::random_device device;
        return (std::uint64_t{device()} << 32U) | device();
    };
    around.clock = redwingwheel::boot_clock_function();
    const int status = redwingwheel::ctl::run_tool(arguments, around, std::cout, std::cerr);
    curl_global_cleanup();
    return status;
}
