#include <algorithm>
#include <array>
#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "command.h"
#include "redwingwheel/printable.h"
#include "redwingwheel/socket_address.h"

namespace redwingwheel::ctl {

namespace {

constexpr std::array<std::string_view, 5> global_options{"entry", "token-file", "json",
                                                         "timeout-ms", "help"};
constexpr std::int64_t max_timeout_ms = 3'600'000;
constexpr milliseconds default_timeout{10'000};
constexpr milliseconds default_wait_timeout{30'000};
/// Added to the time of a request, so that the entry's own answer arrives.
constexpr milliseconds deadline_margin{2'000};
constexpr std::string_view entry_variable = "REDWINGWHEEL_ENTRY";
constexpr std::string_view token_variable = "REDWINGWHEEL_TOKEN_FILE";
constexpr std::size_t max_token_bytes = 1024;

std::vector<command> all_commands()
{
    std::vector<command> commands;
    for (const auto make :
         {release_commands, job_commands, request_commands, status_commands, local_commands}) {
        for (const command& each : make()) {
            commands.push_back(each);
        }
    }
    return commands;
}

std::string name_of(const command& of)
{
    return fmt::format("{}", fmt::join(of.words, " "));
}

std::string usage_of(const command& of)
{
    std::string text = name_of(of);
    for (const std::string_view argument : of.arguments) {
        text += fmt::format(" {}", argument);
    }
    return text;
}

void print_option(std::ostream& out, std::string_view name)
{
    const option_spec& option = find_option(name);
    const std::string left =
        fmt::format("--{}{}{}", option.name, option.argument.empty() ? "" : " ", option.argument);
    out << fmt::format("  {:<22} {}\n", left, option.help);
}

void print_overview(std::ostream& out, const std::vector<command>& commands)
{
    out << "Usage: redwingwheelctl [OPTION...] COMMAND [ARGUMENT...]\n\nCommands:\n";
    for (const command& each : commands) {
        out << fmt::format("  {:<28} {}\n", usage_of(each), each.summary);
    }
    out << "\nOptions of every command:\n";
    for (const std::string_view option : global_options) {
        print_option(out, option);
    }
    out << fmt::format("\nEnvironment:\n"
                       "  {:<24} entries, separated by commas, when --entry is absent\n"
                       "  {:<24} token file, when --token-file is absent\n"
                       "\nExit status: 0 done, 1 refused or not reachable, 2 bad input.\n"
                       "\"redwingwheelctl COMMAND --help\" shows a command with examples.\n",
                       entry_variable, token_variable);
}

void print_help(std::ostream& out, const command& of)
{
    out << fmt::format("Usage: redwingwheelctl {} [OPTION...]\n\n{}.\n", usage_of(of), of.summary);
    if (!of.details.empty()) {
        out << fmt::format("{}\n", of.details);
    }
    out << "\nOptions:\n";
    for (const std::string_view option : of.options) {
        print_option(out, option);
    }
    for (const std::string_view option : global_options) {
        const bool of_calls = option != "json" && option != "help";
        if (of.needs_server || !of_calls) {
            print_option(out, option);
        }
    }
    out << "\nExamples:\n";
    for (const std::string_view example : of.examples) {
        out << fmt::format("  redwingwheelctl {}\n", example);
    }
}

const command* find_command(const std::vector<command>& commands, const command_line& line)
{
    const command* best = nullptr;
    for (const command& each : commands) {
        const bool matches = each.words.size() <= line.words.size() &&
                             std::equal(each.words.begin(), each.words.end(), line.words.begin());
        if (matches && (best == nullptr || each.words.size() > best->words.size())) {
            best = &each;
        }
    }
    return best;
}

void check_options(const command& of, const command_line& line, config::problem_list& problems)
{
    for (const std::string& name : line.names()) {
        const bool known =
            std::find(global_options.begin(), global_options.end(), name) != global_options.end() ||
            std::find(of.options.begin(), of.options.end(), name) != of.options.end();
        if (!known) {
            problems.add(fmt::format("--{}", name), "(given)",
                         fmt::format("the options of \"{}\"", name_of(of)));
        }
    }
}

void check_arguments(const command& of, const std::vector<std::string>& arguments,
                     config::problem_list& problems)
{
    const std::ptrdiff_t least =
        std::count_if(of.arguments.begin(), of.arguments.end(),
                      [](std::string_view argument) { return argument.front() != '['; });
    if (arguments.size() < static_cast<std::size_t>(least) ||
        arguments.size() > of.arguments.size()) {
        problems.add(name_of(of), fmt::format("{} arguments", arguments.size()), usage_of(of));
    }
}

std::vector<std::string> read_entries(const command_line& line, const surroundings& around,
                                      config::problem_list& problems)
{
    std::vector<std::string> entries = line.values("entry");
    std::string_view field = "--entry";
    if (entries.empty()) {
        field = entry_variable;
        std::string rest = around.variable(entry_variable).value_or("");
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            entries.push_back(rest.substr(0, comma));
            rest.erase(0, comma + 1);
        }
    }
    if (entries.empty()) {
        problems.add("--entry", "(missing)", "IP:port of an entry");
    }
    for (const std::string& entry : entries) {
        if (!parse_address(entry).has_value()) {
            problems.add(field, entry, "IP:port of an entry");
        }
    }
    return entries;
}

std::string read_token(const command_line& line, const surroundings& around,
                       config::problem_list& problems)
{
    const std::optional<std::string> option = line.value("token-file");
    const std::string file =
        option.has_value() ? *option : around.variable(token_variable).value_or("");
    if (file.empty()) {
        problems.add("--token-file", "(missing)", "a file that holds the access token");
        return "";
    }
    const std::optional<std::string> text = around.read_file(file);
    if (!text.has_value()) {
        problems.add("--token-file", file, "a readable file");
        return "";
    }
    const std::string token = text->substr(0, text->find_last_not_of(" \t\r\n") + 1);
    const bool good = !token.empty() && token.size() <= max_token_bytes &&
                      std::all_of(token.begin(), token.end(),
                                  [](char letter) { return letter > ' ' && letter < 0x7f; });
    if (!good) {
        problems.add(file, "(hidden)", "a token of 1 to 1024 printable characters without spaces");
    }
    return token;
}

milliseconds time_for(const command_context& context, bool& bad)
{
    const std::optional<std::int64_t> given =
        number_option(context, "timeout-ms", 1, max_timeout_ms, bad);
    const std::optional<std::int64_t> request =
        number_option(context, "deadline-ms", 1, max_timeout_ms, bad);
    if (given.has_value()) {
        return milliseconds(*given);
    }
    if (request.has_value()) {
        return milliseconds(*request) + deadline_margin;
    }
    return context.line.has("wait") ? default_wait_timeout : default_timeout;
}

exit_status run_command(const command& of, const command_line& line, const surroundings& around,
                        std::ostream& out, std::ostream& err)
{
    config::problem_list problems("command line");
    const std::vector<std::string> arguments(
        line.words.begin() + static_cast<std::ptrdiff_t>(of.words.size()), line.words.end());
    check_options(of, line, problems);
    check_arguments(of, arguments, problems);
    std::vector<std::string> entries;
    std::string token;
    if (of.needs_server && problems.empty()) {
        entries = read_entries(line, around, problems);
        token = read_token(line, around, problems);
    }
    if (!problems.empty()) {
        return report_problems(err, problems.status());
    }
    const entry_client client(entries, token, around.clock);
    command_context context{
        line,          arguments,        around, of.needs_server ? &client : nullptr,
        steady_time(), line.has("json"), out,    err};
    bool bad = false;
    context.deadline = around.clock() + time_for(context, bad);
    if (bad) {
        return exit_status::bad_input;
    }
    try {
        return of.run(context);
    }
    catch (const nlohmann::json::exception& error) {
        err << fmt::format("the answer is not as documented: {}\n", printable(error.what()));
        return exit_status::refused;
    }
}

} // namespace

int run_tool(std::span<const std::string> arguments, const surroundings& around, std::ostream& out,
             std::ostream& err)
{
    config::problem_list problems("command line");
    const std::vector<command> commands = all_commands();
    const command_line line = parse_command_line(arguments, problems);
    if (!problems.empty()) {
        return static_cast<int>(report_problems(err, problems.status()));
    }
    const command* const found = find_command(commands, line);
    if (found != nullptr && line.has("help")) {
        print_help(out, *found);
        return static_cast<int>(exit_status::done);
    }
    if (line.has("help") && line.words.empty()) {
        print_overview(out, commands);
        return static_cast<int>(exit_status::done);
    }
    if (found == nullptr) {
        problems.add("command",
                     line.words.empty() ? "(missing)"
                                        : fmt::format("{}", fmt::join(line.words, " ")),
                     "the commands that \"redwingwheelctl --help\" lists");
        return static_cast<int>(report_problems(err, problems.status()));
    }
    return static_cast<int>(run_command(*found, line, around, out, err));
}

} // namespace redwingwheel::ctl
