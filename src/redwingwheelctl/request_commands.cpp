#include <algorithm>
#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "command.h"

namespace redwingwheel::ctl {

namespace {

constexpr std::size_t max_key_bytes = 128;
constexpr int first_error_status = 400;

bool is_key(std::string_view text)
{
    const std::size_t dash = text.find('-');
    return dash != std::string_view::npos && dash > 0 && dash + 1 < text.size() &&
           text.size() <= max_key_bytes &&
           text.substr(0, dash).find_first_not_of("0123456789") == std::string_view::npos &&
           std::all_of(text.begin(), text.end(),
                       [](char letter) { return letter > ' ' && letter < 0x7f; });
}

bool is_content_type(std::string_view text)
{
    return text.find('/') != std::string_view::npos &&
           std::all_of(text.begin(), text.end(),
                       [](char letter) { return letter >= ' ' && letter < 0x7f; });
}

/// Prints the outcome of a request that an entry or a backend server answered.
exit_status print_outcome(const command_context& context, const entry_reply& reply,
                          std::string_view key)
{
    const bool done = reply.outcome == "done" && reply.status < first_error_status;
    const bool from_entry = reply.attempt.empty();
    if (!done && from_entry) {
        const exit_status status = report_failure(context, reply);
        if (reply.outcome == "unknown") {
            context.err << fmt::format("to ask again for the same request use --key {}\n", key);
        }
        return status;
    }
    if (context.json) {
        context.out << nlohmann::json{{"status", reply.status},
                                      {"outcome", reply.outcome},
                                      {"attempt", reply.attempt},
                                      {"worker", reply.worker},
                                      {"key", key},
                                      {"content_type", reply.content_type},
                                      {"body", reply.body}}
                           .dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
                    << '\n';
    }
    else {
        context.out << reply.body;
        context.err << fmt::format("{}: status {} from worker {}\n", reply.outcome, reply.status,
                                   reply.worker);
    }
    return done ? exit_status::done : exit_status::refused;
}

exit_status send(const command_context& context)
{
    const std::optional<std::string> service = name_argument(context);
    if (!service.has_value()) {
        return exit_status::bad_input;
    }
    const std::string drawn_key =
        fmt::format("{}-{:016x}", context.around.unix_seconds(), context.around.random());
    const std::string key = context.line.value("key").value_or(drawn_key);
    if (!is_key(key)) {
        return report_bad_argument(context, "--key", key,
                                   "<unix seconds>-<rest>, at most 128 printable characters");
    }
    entry_call call;
    call.content_type = context.line.value("content-type").value_or("application/octet-stream");
    if (!is_content_type(call.content_type)) {
        return report_bad_argument(context, "--content-type", call.content_type, "TYPE/SUBTYPE");
    }
    const std::optional<std::string> file = context.line.value("file");
    if (file.has_value()) {
        const std::optional<std::string> body = context.around.read_file(*file);
        if (!body.has_value()) {
            return report_bad_argument(context, "--file", *file, "a readable file");
        }
        call.body = *body;
    }
    call.method = "POST";
    call.path = fmt::format("/v1/requests/{}", *service);
    call.headers.push_back(fmt::format("Idempotency-Key: {}", key));
    const std::optional<std::string> deadline = context.line.value("deadline-ms");
    if (deadline.has_value()) {
        call.headers.push_back(fmt::format("X-Deadline-Ms: {}", *deadline));
    }
    call.next_entry_on_503 = false;
    const absl::StatusOr<entry_reply> reply = context.send(call);
    if (!reply.ok()) {
        const exit_status status = report_failure(context, reply);
        context.err << fmt::format("to send the same request again use --key {}\n", key);
        return status;
    }
    return print_outcome(context, *reply, key);
}

} // namespace

std::vector<command> request_commands()
{
    return {
        {{"request", "send"},
         {"SERVICE"},
         "Send one request",
         "The answer's body goes to standard output. Without --key one is drawn. After a lost "
         "answer or the\noutcome \"unknown\" send again with the same --key: work that is not "
         "idempotent never runs twice.",
         {"file", "key", "deadline-ms", "content-type"},
         {"request send price-checks --file crate.jpg --content-type image/jpeg",
          "request send recounts --file lot.json --key 1767225600-lot17 --deadline-ms 5000",
          "request send inspections --file - < batch.json"},
         true,
         send},
    };
}

} // namespace redwingwheel::ctl
