#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "command.h"
#include "redwingwheel/release_note.h"
#include "table.h"

namespace redwingwheel::ctl {

namespace {

constexpr std::int64_t max_revision = std::int64_t{1} << 53;

void print_applied(std::ostream& out, const nlohmann::json& answer)
{
    out << fmt::format("accepted as revision {}{}\n", text_of(answer, "revision"),
                       answer.value("resend", false) ? " by an earlier call" : "");
    if (answer.value("in_force", false)) {
        out << "in force everywhere\n";
        return;
    }
    const std::string lagging = text_of(answer, "lagging");
    out << fmt::format("not yet everywhere{}\n", lagging == "-" ? "" : "; missing: " + lagging);
}

exit_status apply(const command_context& context)
{
    const std::string& file = context.arguments.at(0);
    const std::optional<std::string> text = context.around.read_file(file);
    if (!text.has_value()) {
        return report_bad_argument(context, "FILE", file, "a readable file");
    }
    const absl::StatusOr<config::release_note> note =
        text->starts_with("{") ? config::parse_release_note_json(*text, file)
                               : config::parse_release_note_yaml(*text, file);
    if (!note.ok()) {
        return report_problems(context.err, note.status());
    }
    entry_call call;
    call.method = "POST";
    call.path = "/v1/releases";
    call.body = config::to_json(*note).dump();
    if (!context.line.has("wait")) {
        return print_reply(context, context.send(call), print_applied);
    }
    const absl::StatusOr<entry_reply> reply = send_and_wait(context, call);
    const exit_status status = print_reply(context, reply, print_applied);
    const bool late =
        status == exit_status::done && !nlohmann::json::parse(reply->body).value("in_force", false);
    return late ? exit_status::refused : status;
}

void print_configuration(std::ostream& out, const nlohmann::json& answer)
{
    out << fmt::format("revision {}\n\n", text_of(answer, "revision"));
    print_table(out, {"name", "region"}, list_of(answer, "data_centres"));
    out << '\n';
    print_table(out, {"name", "weight"}, list_of(answer, "client_accounts"));
    out << '\n';
    print_table(out, {"id", "account", "level", "count", "data_centre", "starts", "ends"},
                list_of(answer, "agreements"));
    out << '\n';
    print_table(
        out, {"name", "class", "idempotent", "can_checkpoint", "default_deadline_ms", "accounts"},
        list_of(answer, "services"));
    const nlohmann::json ending = answer.value("ending", nlohmann::json::object());
    for (const std::string_view kind : {"client_accounts", "services"}) {
        if (!list_of(ending, kind).empty()) {
            out << fmt::format("\nending {}: {}\n", kind, text_of(ending, kind));
        }
    }
}

void print_note(std::ostream& out, const nlohmann::json& answer)
{
    out << fmt::format("revision {} by {}\n{}\n", text_of(answer, "revision"),
                       text_of(answer, "operator"),
                       answer.value("note", nlohmann::json::object()).dump(2));
}

/// Reads a revision from an argument; reports a bad one.
std::optional<std::int64_t> revision_argument(const command_context& context, std::size_t index)
{
    const std::string& text = context.arguments.at(index);
    const bool digits = !text.empty() && text.size() < 17 &&
                        text.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || std::stoll(text) > max_revision) {
        report_bad_argument(context, "revision", text,
                            fmt::format("a whole number 0..{}", max_revision));
        return std::nullopt;
    }
    return std::stoll(text);
}

exit_status show(const command_context& context)
{
    entry_call call;
    if (context.arguments.empty()) {
        call.path = "/v1/releases/current";
        return print_reply(context, context.send(call), print_configuration);
    }
    const std::optional<std::int64_t> revision = revision_argument(context, 0);
    if (!revision.has_value()) {
        return exit_status::bad_input;
    }
    call.path = fmt::format("/v1/releases/{}", *revision);
    return print_reply(context, context.send(call), print_note);
}

void print_differences(std::ostream& out, const nlohmann::json& answer)
{
    for (const nlohmann::json& each : list_of(answer, "differences")) {
        // As JSON, so that an empty value differs from a thing that does not exist.
        out << fmt::format("{}/{}/{}: {} -> {}\n", text_of(each, "kind"), text_of(each, "key"),
                           text_of(each, "field"), each.value("before", nlohmann::json()).dump(),
                           each.value("after", nlohmann::json()).dump());
    }
}

exit_status diff(const command_context& context)
{
    const std::optional<std::int64_t> from = revision_argument(context, 0);
    const std::optional<std::int64_t> to = revision_argument(context, 1);
    if (!from.has_value() || !to.has_value()) {
        return exit_status::bad_input;
    }
    entry_call call;
    call.path = fmt::format("/v1/releases/diff?from={}&to={}", *from, *to);
    return print_reply(context, context.send(call), print_differences);
}

void print_history(std::ostream& out, const nlohmann::json& answer)
{
    print_table(out, {"revision", "note", "base", "operator", "changes", "unix_ms"},
                list_of(answer, "notes"));
}

exit_status history(const command_context& context)
{
    bool bad = false;
    const std::optional<std::int64_t> limit = number_option(context, "limit", 1, 10'000, bad);
    if (bad) {
        return exit_status::bad_input;
    }
    entry_call call;
    call.path = fmt::format("/v1/releases?limit={}", limit.value_or(100));
    return print_reply(context, context.send(call), print_history);
}

} // namespace

std::vector<command> release_commands()
{
    return {
        {{"release", "apply"},
         {"FILE"},
         "Apply a release note",
         "A repeated apply of the same file is safe: the first answer is given again. On a "
         "conflict "
         "nothing\nis changed; look at \"release diff\", set a new base and a new identity, and "
         "apply again. With --wait\nthe exit status is 1 when the note is accepted but not in "
         "force "
         "everywhere in time.",
         {"wait"},
         {"release apply note.yaml", "--entry 127.0.0.1:8101 release apply note.yaml --wait"},
         true,
         apply},
        {{"release", "show"},
         {"[REVISION]"},
         "Show the configuration in force, or the note of a revision",
         "",
         {},
         {"release show", "release show 7 --json"},
         true,
         show},
        {{"release", "diff"},
         {"FROM", "TO"},
         "Show the fields that differ between two revisions",
         "",
         {},
         {"release diff 5 7", "release diff 7 5"},
         true,
         diff},
        {{"release", "history"},
         {},
         "List the accepted release notes",
         "",
         {"limit"},
         {"release history", "release history --limit 10"},
         true,
         history},
    };
}

} // namespace redwingwheel::ctl
