#include "command.h"

#include <algorithm>
#include <charconv>
#include <ostream>

#include <fmt/format.h>

#include "redwingwheel/json_text.h"
#include "redwingwheel/release_note.h"
#include "table.h"

namespace redwingwheel::ctl {

namespace {

constexpr int status_bad_input = 400;
constexpr int status_too_large = 413;
/// The longest that a server holds an answer back; docs/http-api.md.
constexpr milliseconds max_server_wait{20'000};
/// Room for the way there and back, so that the server's wait ends before the tool's.
constexpr milliseconds wait_margin{500};
constexpr milliseconds resend_pause{200};

bool is_success(const absl::StatusOr<entry_reply>& reply)
{
    return reply.ok() && reply->status >= 200 && reply->status < 300;
}

void print_problems(std::ostream& err, const nlohmann::json& answer)
{
    for (const nlohmann::json& found : list_of(answer, "problems")) {
        err << fmt::format("{}: {}: value {}: allowed {}\n", text_of(found, "file"),
                           text_of(found, "field"), text_of(found, "value"),
                           text_of(found, "allowed"));
    }
    for (const nlohmann::json& found : list_of(answer, "conflicts")) {
        err << fmt::format("conflict: {} changed at revision {}\n", text_of(found, "field"),
                           text_of(found, "revision"));
    }
}

/// A discarded value when the body cannot be read or nests too deep to be printed.
nlohmann::json parse_body(const std::string& body)
{
    const absl::StatusOr<nlohmann::json> read = json_text::parse(body);
    return read.ok() ? *read : nlohmann::json(nlohmann::json::value_t::discarded);
}

} // namespace

exit_status report_bad_argument(const command_context& context, std::string_view field,
                                std::string_view value, std::string_view allowed)
{
    config::problem_list problems("command line");
    problems.add(field, value, allowed);
    return report_problems(context.err, problems.status());
}

exit_status report_problems(std::ostream& err, const absl::Status& status)
{
    for (const std::string& line : config::problem_lines(status)) {
        err << line << '\n';
    }
    return exit_status::bad_input;
}

std::optional<std::int64_t> number_option(const command_context& context, std::string_view option,
                                          std::int64_t least, std::int64_t most, bool& bad)
{
    const std::optional<std::string> text = context.line.value(option);
    if (!text.has_value()) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const char* const end = text->data() + text->size();
    const std::from_chars_result read = std::from_chars(text->data(), end, number);
    if (read.ec != std::errc() || read.ptr != end || number < least || number > most) {
        bad = true;
        report_bad_argument(context, fmt::format("--{}", option), *text,
                            fmt::format("a whole number {}..{}", least, most));
        return std::nullopt;
    }
    return number;
}

std::optional<std::string> name_argument(const command_context& context)
{
    const std::string& name = context.arguments.at(0);
    if (config::is_name(name)) {
        return name;
    }
    report_bad_argument(context, "name", name,
                        "1 to 64 of A-Z a-z 0-9 . _ -, beginning with a letter or digit");
    return std::nullopt;
}

exit_status report_failure(const command_context& context, const absl::StatusOr<entry_reply>& reply)
{
    if (!reply.ok()) {
        context.err << errors::message_of(reply.status()) << '\n';
        if (error_code<client_errc>(reply.status()) == client_errc::answer_lost) {
            context.err << "the call may have taken effect; the same command can be repeated\n";
        }
        return exit_status::refused;
    }
    const nlohmann::json answer = parse_body(reply->body);
    if (context.json && !answer.is_discarded()) {
        context.out << answer.dump(2) << '\n';
    }
    else {
        print_problems(context.err, answer);
        if (list_of(answer, "problems").empty()) {
            const std::string reason = text_of(answer, "reason");
            context.err << fmt::format("status {}: {}{}\n", reply->status,
                                       text_of(answer, "outcome"),
                                       reason == "-" ? "" : ": " + reason);
        }
    }
    const bool bad = reply->status == status_bad_input || reply->status == status_too_large;
    return bad ? exit_status::bad_input : exit_status::refused;
}

exit_status print_reply(const command_context& context, const absl::StatusOr<entry_reply>& reply,
                        void (*print)(std::ostream& out, const nlohmann::json& answer))
{
    if (!is_success(reply)) {
        return report_failure(context, reply);
    }
    const nlohmann::json answer = parse_body(reply->body);
    if (!answer.is_object()) {
        context.err << "the answer is not a JSON object\n";
        return exit_status::refused;
    }
    if (context.json) {
        context.out << answer.dump(2) << '\n';
    }
    else {
        print(context.out, answer);
    }
    return exit_status::done;
}

absl::StatusOr<entry_reply> send_and_wait(const command_context& context, const entry_call& call)
{
    while (true) {
        const milliseconds left = remaining_until(context.deadline, context.around.clock());
        const milliseconds wait = std::clamp(left - wait_margin, milliseconds(0), max_server_wait);
        entry_call waiting = call;
        waiting.path += fmt::format("?wait_ms={}", wait.count());
        absl::StatusOr<entry_reply> reply = context.send(waiting);
        if (!is_success(reply)) {
            return reply;
        }
        const nlohmann::json answer = parse_body(reply->body);
        const bool in_force = answer.is_object() && answer.value("in_force", false);
        if (in_force || left <= wait_margin || !context.around.pause(resend_pause)) {
            return reply;
        }
    }
}

} // namespace redwingwheel::ctl
