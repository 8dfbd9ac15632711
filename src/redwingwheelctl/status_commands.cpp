#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "command.h"
#include "table.h"

namespace redwingwheel::ctl {

namespace {

constexpr milliseconds watch_period{1000};

void print_status(std::ostream& out, const nlohmann::json& answer)
{
    const nlohmann::json jobs = answer.value("jobs", nlohmann::json::object());
    out << fmt::format("revision {}  term {}  leader {}  jobs queued {} running {}\n\n",
                       text_of(answer, "revision"), text_of(answer, "term"),
                       text_of(answer, "leader"), text_of(jobs, "queued"),
                       text_of(jobs, "running"));
    print_table(out,
                {"name", "region", "state", "in_force", "workers", "workers_lost", "accelerators",
                 "accelerators_free"},
                list_of(answer, "data_centres"));
    out << '\n';
    print_table(
        out,
        {"agreement", "account", "level", "count", "data_centre", "whole", "pinned", "missing"},
        list_of(answer, "guarantees"));
    out << '\n';
    print_table(out, {"name", "data_centre", "rack", "state", "accelerators", "accelerators_free"},
                list_of(answer, "workers"));
    out << '\n';
    print_table(out, {"address", "role", "commit"}, list_of(answer, "replicas"));
    out << '\n';
    print_table(out, {"name", "role", "data_centre", "revision", "last_poll_ms"},
                list_of(answer, "processes"));
}

exit_status status(const command_context& context)
{
    entry_call call;
    call.path = "/v1/status";
    if (!context.line.has("watch")) {
        return print_reply(context, context.send(call), print_status);
    }
    // The time of the command is the time of each call: watching itself has no end.
    const milliseconds time = remaining_until(context.deadline, context.around.clock());
    exit_status last = exit_status::done;
    do {
        const absl::StatusOr<entry_reply> reply =
            context.client->send(call, context.around.clock() + time);
        last = print_reply(context, reply, print_status);
        context.out << '\n';
        context.out.flush();
    } while (context.around.pause(watch_period));
    return last;
}

void print_data_centre(std::ostream& out, const nlohmann::json& answer)
{
    out << fmt::format("{} is {}{}\n", text_of(answer, "data_centre"), text_of(answer, "state"),
                       answer.value("in_force", false) ? ", in force everywhere"
                                                       : ", not yet everywhere");
}

exit_status set_data_centre(const command_context& context, std::string_view action)
{
    const std::optional<std::string> name = name_argument(context);
    if (!name.has_value()) {
        return exit_status::bad_input;
    }
    entry_call call;
    call.method = "POST";
    call.path = fmt::format("/v1/data-centres/{}/{}", *name, action);
    if (!context.line.has("wait")) {
        return print_reply(context, context.send(call), print_data_centre);
    }
    const absl::StatusOr<entry_reply> reply = send_and_wait(context, call);
    const exit_status printed = print_reply(context, reply, print_data_centre);
    const bool late = printed == exit_status::done &&
                      !nlohmann::json::parse(reply->body).value("in_force", false);
    return late ? exit_status::refused : printed;
}

exit_status withdraw(const command_context& context)
{
    return set_data_centre(context, "withdraw");
}

exit_status restore(const command_context& context)
{
    return set_data_centre(context, "restore");
}

void print_account(std::ostream& out, const nlohmann::json& answer)
{
    const nlohmann::json account = answer.value("account", nlohmann::json::object());
    const nlohmann::json jobs = answer.value("jobs", nlohmann::json::object());
    out << fmt::format("account {}  weight {}  jobs queued {} running {}\nservices {}\n\n",
                       text_of(account, "name"), text_of(account, "weight"),
                       text_of(jobs, "queued"), text_of(jobs, "running"),
                       text_of(answer, "services"));
    print_table(out, {"id", "level", "count", "data_centre", "starts", "ends"},
                list_of(answer, "agreements"));
    out << '\n';
    print_table(out, {"agreement", "level", "count", "data_centre", "whole", "pinned", "missing"},
                list_of(answer, "guarantees"));
}

void print_usage(std::ostream& out, const nlohmann::json& answer)
{
    print_table(out, {"account", "accelerator_ms", "requests", "request_ms"},
                nlohmann::json::array({answer}));
}

exit_status call_account(const command_context& context, const char* suffix,
                         void (*print)(std::ostream&, const nlohmann::json&))
{
    const std::optional<std::string> name = name_argument(context);
    if (!name.has_value()) {
        return exit_status::bad_input;
    }
    entry_call call;
    call.path = fmt::format("/v1/accounts/{}{}", *name, suffix);
    return print_reply(context, context.send(call), print);
}

exit_status show_account(const command_context& context)
{
    return call_account(context, "", print_account);
}

exit_status show_usage(const command_context& context)
{
    return call_account(context, "/usage", print_usage);
}

} // namespace

std::vector<command> status_commands()
{
    return {
        {{"status"},
         {},
         "Show data centres, guarantees, workers, replicas and processes",
         "",
         {"watch"},
         {"status", "status --watch", "status --json"},
         true,
         status},
        {{"datacentre", "withdraw"},
         {"NAME"},
         "Take a data centre out of service",
         "Nothing new starts there once the change is in force; what runs goes on. With --wait the "
         "exit status\nis 1 when that takes longer than the time given.",
         {"wait"},
         {"datacentre withdraw dc2", "datacentre withdraw dc2 --wait --timeout-ms 20000"},
         true,
         withdraw},
        {{"datacentre", "restore"},
         {"NAME"},
         "Take a data centre back into service",
         "Its share of new work rises over some seconds.",
         {"wait"},
         {"datacentre restore dc2 --wait"},
         true,
         restore},
        {{"account", "show"},
         {"NAME"},
         "Show an account with its agreements and guarantees",
         "",
         {},
         {"account show andina"},
         true,
         show_account},
        {{"account", "usage"},
         {"NAME"},
         "Show the recorded usage of an account",
         "Usage lags a few seconds behind.",
         {},
         {"account usage andina", "account usage andina --json"},
         true,
         show_usage},
    };
}

} // namespace redwingwheel::ctl
