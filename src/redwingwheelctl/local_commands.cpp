#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "command.h"
#include "redwingwheel/digest.h"
#include "redwingwheel/release_note.h"
#include "redwingwheel/settings.h"

namespace redwingwheel::ctl {

namespace {

exit_status print_good(const command_context& context, std::string_view kind, std::string_view name)
{
    if (context.json) {
        context.out << nlohmann::json{{"kind", kind}, {"name", name}}.dump(2) << '\n';
    }
    else {
        context.out << fmt::format("{}: {} {}: good\n", context.arguments.at(0), kind, name);
    }
    return exit_status::done;
}

exit_status check(const command_context& context)
{
    const std::string& file = context.arguments.at(0);
    const std::optional<std::string> text = context.around.read_file(file);
    if (!text.has_value()) {
        return report_bad_argument(context, "FILE", file, "a readable file");
    }
    if (config::looks_like_release_note(*text)) {
        const absl::StatusOr<config::release_note> note =
            text->starts_with("{") ? config::parse_release_note_json(*text, file)
                                   : config::parse_release_note_yaml(*text, file);
        return note.ok() ? print_good(context, "release note", note->note)
                         : report_problems(context.err, note.status());
    }
    const absl::StatusOr<config::settings> settings = config::load_settings(*text, file);
    return settings.ok() ? print_good(context, "settings", settings->name)
                         : report_problems(context.err, settings.status());
}

exit_status digest_token(const command_context& context)
{
    const std::string file = context.arguments.empty() ? "-" : context.arguments.at(0);
    const std::optional<std::string> text = context.around.read_file(file);
    const std::string token =
        text.has_value() ? text->substr(0, text->find_last_not_of(" \t\r\n") + 1) : "";
    if (token.empty() || token.find_first_of(" \t\r\n") != std::string::npos) {
        return report_bad_argument(context, "FILE", file, "a file that holds one token");
    }
    context.out << digest::token_digest(token) << '\n';
    return exit_status::done;
}

} // namespace

std::vector<command> local_commands()
{
    return {
        {{"config", "check"},
         {"FILE"},
         "Check settings or a release note",
         "Needs no server. References to things in the configuration are checked by \"release "
         "apply\".",
         {},
         {"config check dc1.yaml", "config check note.yaml"},
         false,
         check},
        {{"token", "digest"},
         {"[FILE]"},
         "Print the digest of an access token",
         "Reads the token from FILE or from standard input. Tokens are never arguments, because "
         "other users\nof a host can read those.",
         {},
         {"token digest ops.token", "token digest < ops.token"},
         false,
         digest_token},
    };
}

} // namespace redwingwheel::ctl
