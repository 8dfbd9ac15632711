#include <algorithm>
#include <array>
#include <ostream>

#include <fmt/format.h>

#include "command.h"
#include "redwingwheel/json_text.h"
#include "redwingwheel/release_note.h"
#include "table.h"

namespace redwingwheel::ctl {

namespace {

constexpr std::int64_t max_run_ms = 2'592'000'000;
constexpr std::array<std::string_view, 3> priorities{"urgent", "normal", "low"};
constexpr std::array<std::string_view, 5> levels{"accelerator", "group", "host", "rack",
                                                 "data_centre"};
constexpr std::array<std::string_view, 7> states{"queued", "placed",    "running", "done",
                                                 "failed", "cancelled", "unknown"};

void print_job(std::ostream& out, const nlohmann::json& job)
{
    for (const std::string_view key :
         {"id", "account", "service", "state", "reason", "members", "accelerators_per_member",
          "adjacency", "priority", "workers", "starts", "cancel_requested", "borrowed",
          "uses_guarantee", "submitted_unix_ms", "started_unix_ms", "ended_unix_ms"}) {
        out << fmt::format("{:<24} {}\n", key, text_of(job, key));
    }
}

/// Options that go into the job as text.
void add_word(const command_context& context, nlohmann::json& job, std::string_view option,
              std::span<const std::string_view> allowed, bool& bad)
{
    const std::optional<std::string> value = context.line.value(option);
    if (!value.has_value()) {
        return;
    }
    const bool good = allowed.empty()
                          ? config::is_name(*value)
                          : std::find(allowed.begin(), allowed.end(), *value) != allowed.end();
    if (!good) {
        bad = true;
        report_bad_argument(context, fmt::format("--{}", option), *value,
                            allowed.empty() ? "1 to 64 of A-Z a-z 0-9 . _ -"
                                            : fmt::format("one of {}", fmt::join(allowed, ", ")));
    }
    job[std::string(option)] = *value;
}

void add_number(const command_context& context, nlohmann::json& job, const char* key,
                std::string_view option, std::int64_t least, std::int64_t most, bool& bad)
{
    const std::optional<std::int64_t> number = number_option(context, option, least, most, bad);
    if (number.has_value()) {
        job[key] = *number;
    }
}

void add_parameters(const command_context& context, nlohmann::json& job, bool& bad)
{
    const std::optional<std::string> text = context.line.value("parameters");
    if (!text.has_value()) {
        return;
    }
    const absl::StatusOr<nlohmann::json> value = json_text::parse(*text);
    if (!value.ok()) {
        bad = true;
        const json_text::refusal why = json_text::describe_refusal(*text);
        const bool deep =
            error_code<json_text::json_errc>(value.status()) == json_text::json_errc::too_deep;
        report_bad_argument(context, "--parameters", deep ? why.found : *text, why.allowed);
        return;
    }
    job["parameters"] = *value;
}

exit_status submit(const command_context& context)
{
    nlohmann::json job;
    bool bad = false;
    add_word(context, job, "id", {}, bad);
    add_word(context, job, "service", {}, bad);
    add_word(context, job, "account", {}, bad);
    add_word(context, job, "adjacency", levels, bad);
    add_word(context, job, "priority", priorities, bad);
    add_number(context, job, "members", "members", 1, 512, bad);
    add_number(context, job, "accelerators_per_member", "accelerators", 1, 64, bad);
    add_number(context, job, "declared_run_ms", "run-ms", 0, max_run_ms, bad);
    add_parameters(context, job, bad);
    if (!context.line.has("service")) {
        bad = true;
        report_bad_argument(context, "--service", "(missing)", "a service of the account");
    }
    if (bad) {
        return exit_status::bad_input;
    }
    if (!context.line.has("id")) {
        job["id"] =
            fmt::format("{}-{:016x}", context.around.unix_seconds(), context.around.random());
    }
    entry_call call;
    call.method = "POST";
    call.path = "/v1/jobs";
    call.body = job.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const absl::StatusOr<entry_reply> reply = context.send(call);
    if (!reply.ok()) {
        context.err << fmt::format("to submit the same job again add --id {}\n",
                                   job["id"].get<std::string>());
    }
    return print_reply(context, reply, print_job);
}

exit_status call_job(const command_context& context, const char* method, const char* suffix,
                     void (*print)(std::ostream&, const nlohmann::json&))
{
    const std::optional<std::string> id = name_argument(context);
    if (!id.has_value()) {
        return exit_status::bad_input;
    }
    entry_call call;
    call.method = method;
    call.path = fmt::format("/v1/jobs/{}{}", *id, suffix);
    return print_reply(context, context.send(call), print);
}

exit_status show(const command_context& context)
{
    return call_job(context, "GET", "", print_job);
}

exit_status cancel(const command_context& context)
{
    return call_job(context, "DELETE", "", print_job);
}

void print_explanation(std::ostream& out, const nlohmann::json& answer)
{
    out << fmt::format("job {} is {}: {}\n", text_of(answer, "id"), text_of(answer, "state"),
                       text_of(answer, "reason"));
    for (const nlohmann::json& decision : list_of(answer, "decisions")) {
        out << fmt::format("{} workers {}: {}\n", text_of(decision, "outcome"),
                           text_of(decision, "workers"), text_of(decision, "reason"));
        for (const nlohmann::json& refused : list_of(decision, "refused")) {
            out << fmt::format("  {}: {}\n", text_of(refused, "place"), text_of(refused, "reason"));
        }
    }
}

exit_status explain(const command_context& context)
{
    return call_job(context, "GET", "/explain", print_explanation);
}

void print_jobs(std::ostream& out, const nlohmann::json& answer)
{
    print_table(out,
                {"id", "account", "service", "state", "priority", "members",
                 "accelerators_per_member", "workers", "reason"},
                list_of(answer, "jobs"));
    if (answer.value("more", false)) {
        out << "there are more; raise --limit\n";
    }
}

exit_status list(const command_context& context)
{
    bool bad = false;
    nlohmann::json checked;
    add_word(context, checked, "state", states, bad);
    add_word(context, checked, "account", {}, bad);
    const std::optional<std::int64_t> limit = number_option(context, "limit", 1, 1'000, bad);
    if (bad) {
        return exit_status::bad_input;
    }
    entry_call call;
    call.path = fmt::format("/v1/jobs?limit={}", limit.value_or(100));
    for (const std::string_view option : {"state", "account"}) {
        const std::optional<std::string> value = context.line.value(option);
        if (value.has_value()) {
            call.path += fmt::format("&{}={}", option, *value);
        }
    }
    return print_reply(context, context.send(call), print_jobs);
}

} // namespace

std::vector<command> job_commands()
{
    return {
        {{"job", "submit"},
         {},
         "Submit a job",
         "Without --id an identity is drawn. After a lost answer submit again with the same --id.",
         {"service", "id", "account", "members", "accelerators", "adjacency", "priority", "run-ms",
          "parameters"},
         {"job submit --service recounts --accelerators 4 --adjacency group",
          "job submit --service timetable-builds --members 4 --accelerators 2 --adjacency rack "
          "--run-ms 600000 --id 1767225600-s4",
          "job submit --service recounts --priority urgent --parameters '{\"lot\": 17}'"},
         true,
         submit},
        {{"job", "show"}, {"ID"}, "Show a job", "", {}, {"job show 1767225600-s4"}, true, show},
        {{"job", "list"},
         {},
         "List jobs, newest first",
         "",
         {"state", "account", "limit"},
         {"job list", "job list --state queued --limit 20", "job list --account andina --json"},
         true,
         list},
        {{"job", "cancel"},
         {"ID"},
         "Cancel a job",
         "A running job is stopped; a job that has ended stays as it is.",
         {},
         {"job cancel 1767225600-s4"},
         true,
         cancel},
        {{"explain"},
         {"JOB"},
         "Explain why a job is where it is",
         "Shows the latest placement decisions with the places that were refused.",
         {},
         {"explain 1767225600-s4"},
         true,
         explain},
    };
}

} // namespace redwingwheel::ctl
