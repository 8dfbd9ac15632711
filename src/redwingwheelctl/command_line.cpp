#include "command_line.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>

#include <fmt/format.h>
#include <popt.h>

namespace redwingwheel::ctl {

namespace {

constexpr std::array<option_spec, 23> option_table{{
    {"help", "", "show help and examples"},
    {"entry", "ADDRESS", "IP:port of an entry; repeat it to name entries that are tried in turn"},
    {"token-file", "FILE", "file that holds the access token"},
    {"json", "", "print answers as JSON"},
    {"timeout-ms", "N", "time for the whole command"},
    {"wait", "", "wait until the change is in force everywhere"},
    {"limit", "N", "at most this many lines"},
    {"file", "FILE", "body of the request; - reads standard input"},
    {"key", "KEY", "idempotency key, <unix seconds>-<rest>; repeat it to send again"},
    {"deadline-ms", "N", "time given to the request"},
    {"content-type", "TYPE", "type of the body"},
    {"watch", "", "repeat every second until interrupted"},
    {"id", "ID", "identity of the job; repeat it to submit again"},
    {"service", "NAME", "service of the job"},
    {"account", "NAME", "account of the job; for operators"},
    {"members", "N", "members of the gang"},
    {"accelerators", "N", "accelerators of each member"},
    {"adjacency", "LEVEL", "accelerator, group, host, rack or data_centre"},
    {"priority", "P", "urgent, normal or low"},
    {"run-ms", "N", "declared run time"},
    {"parameters", "JSON", "value that each task receives"},
    {"state", "STATE", "only jobs in this state"},
}};

/// The context of popt, freed at the end of the scope.
struct popt_deleter {
    void operator()(poptContext_s* context) const { poptFreeContext(context); }
};

std::vector<poptOption> popt_table()
{
    std::vector<poptOption> table;
    for (const option_spec& option : option_table) {
        const unsigned int kind = option.argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({option.name.data(), '\0', kind, nullptr,
                         static_cast<int>(table.size()) + 1, nullptr, nullptr});
    }
    table.push_back(POPT_TABLEEND);
    return table;
}

} // namespace

std::span<const option_spec> all_options()
{
    return option_table;
}

const option_spec& find_option(std::string_view name)
{
    for (const option_spec& option : option_table) {
        if (option.name == name) {
            return option;
        }
    }
    throw std::logic_error(fmt::format("no such option: {}", name));
}

void command_line::add(std::string_view option, std::string_view value)
{
    this->options[std::string(option)].emplace_back(value);
}

bool command_line::has(std::string_view option) const
{
    return this->options.find(option) != this->options.end();
}

std::optional<std::string> command_line::value(std::string_view option) const
{
    const auto found = this->options.find(option);
    if (found == this->options.end()) {
        return std::nullopt;
    }
    return found->second.back();
}

std::vector<std::string> command_line::values(std::string_view option) const
{
    const auto found = this->options.find(option);
    return found == this->options.end() ? std::vector<std::string>() : found->second;
}

std::vector<std::string> command_line::names() const
{
    std::vector<std::string> names;
    for (const auto& [name, given] : this->options) {
        names.push_back(name);
    }
    return names;
}

command_line parse_command_line(std::span<const std::string> arguments,
                                config::problem_list& problems)
{
    command_line line;
    std::vector<const char*> pointers{"redwingwheelctl"};
    for (const std::string& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    const int count = static_cast<int>(pointers.size());
    pointers.push_back(nullptr);
    const std::vector<poptOption> table = popt_table();
    const std::unique_ptr<poptContext_s, popt_deleter> context(
        poptGetContext("redwingwheelctl", count, pointers.data(), table.data(), 0));
    for (int found = poptGetNextOpt(context.get()); found != -1;
         found = poptGetNextOpt(context.get())) {
        if (found < -1) {
            const char* const bad = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
            problems.add(bad == nullptr ? "(option)" : bad, poptStrerror(found),
                         "the options that --help lists");
            return line;
        }
        char* const value = poptGetOptArg(context.get());
        line.add(option_table.at(static_cast<std::size_t>(found - 1)).name,
                 value == nullptr ? "" : value);
        std::free(value);
    }
    for (const char* word = poptGetArg(context.get()); word != nullptr;
         word = poptGetArg(context.get())) {
        line.words.emplace_back(word);
    }
    return line;
}

} // namespace redwingwheel::ctl
