#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include "command_line.h"
#include "entry_client.h"

namespace redwingwheel::ctl {

enum class exit_status { done = 0, refused = 1, bad_input = 2 };

/// What the tool takes from its surroundings, so that tests can stand in for them.
struct surroundings {
    std::function<std::optional<std::string>(std::string_view name)> variable;
    /// The content of a file; "-" is standard input.
    std::function<std::optional<std::string>(std::string_view name)> read_file;
    /// Waits; false when the command is to end.
    std::function<bool(milliseconds)> pause;
    std::function<std::int64_t()> unix_seconds;
    std::function<std::uint64_t()> random;
    clock_function clock;
};

/// What a command works with.
struct command_context {
    const command_line& line;
    std::vector<std::string> arguments; ///< The words after the command.
    const surroundings& around;
    const entry_client* client; ///< Null for commands that need no server.
    steady_time deadline;
    bool json;
    std::ostream& out;
    std::ostream& err;

    /// Sends a call and waits for its answer until the command's deadline.
    [[nodiscard]] absl::StatusOr<entry_reply> send(const entry_call& call) const
    {
        return this->client->send(call, this->deadline);
    }
};

struct command {
    std::vector<std::string_view> words;     ///< For instance {"release", "apply"}.
    std::vector<std::string_view> arguments; ///< In square brackets: may be left out.
    std::string_view summary;
    std::string_view details; ///< More lines of help; may be empty.
    std::vector<std::string_view> options;
    std::vector<std::string_view> examples; ///< Command lines without the program's name.
    bool needs_server = true;
    exit_status (*run)(const command_context&) = nullptr;
};

[[nodiscard]] std::vector<command> release_commands();
[[nodiscard]] std::vector<command> job_commands();
[[nodiscard]] std::vector<command> request_commands();
[[nodiscard]] std::vector<command> status_commands();
[[nodiscard]] std::vector<command> local_commands();

/// Runs the tool on the arguments that follow the program's name.
[[nodiscard]] int run_tool(std::span<const std::string> arguments, const surroundings& around,
                           std::ostream& out, std::ostream& err);

/// Writes "command line: FIELD: value V: allowed A".
exit_status report_bad_argument(const command_context& context, std::string_view field,
                                std::string_view value, std::string_view allowed);
exit_status report_problems(std::ostream& err, const absl::Status& status);

/// A whole number of an option. Empty when the option is absent or `bad` is set.
[[nodiscard]] std::optional<std::int64_t> number_option(const command_context& context,
                                                        std::string_view option, std::int64_t least,
                                                        std::int64_t most, bool& bad);

/// The first argument, when it is a name; otherwise reports it.
[[nodiscard]] std::optional<std::string> name_argument(const command_context& context);

/// Prints an answer that is no success, or says that none came, and gives the exit status.
exit_status report_failure(const command_context& context,
                           const absl::StatusOr<entry_reply>& reply);

/// Prints the answer: with --json as it is, otherwise by `print`.
exit_status print_reply(const command_context& context, const absl::StatusOr<entry_reply>& reply,
                        void (*print)(std::ostream& out, const nlohmann::json& answer));

/// Repeats a call with wait_ms until the answer says that the change is in force everywhere, the
/// answer is no success, or the time is over.
[[nodiscard]] absl::StatusOr<entry_reply> send_and_wait(const command_context& context,
                                                        const entry_call& call);

} // namespace redwingwheel::ctl
