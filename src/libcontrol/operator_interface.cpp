#include "operator_interface.h"

#include <charconv>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "operator_json.h"
#include "redwingwheel/digest.h"

namespace redwingwheel::control {

namespace {

using nlohmann::json;

constexpr std::uint64_t max_wait_ms = 20'000;
constexpr std::uint64_t default_limit = 100;
constexpr std::uint64_t max_listed_jobs = 1'000;
constexpr std::uint64_t max_listed_notes = 10'000;

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t at = text.find(separator);
        const std::string_view part = text.substr(0, at);
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        if (at == std::string_view::npos) {
            break;
        }
        text.remove_prefix(at + 1);
    }
    return parts;
}

parsed_call parse(const messages::operator_call& call)
{
    parsed_call parsed;
    parsed.role = call.role;
    parsed.caller = call.caller;
    parsed.method = call.method;
    parsed.body = call.body;
    parsed.path_segments = split(call.path, '/');
    if (!parsed.path_segments.empty() && parsed.path_segments.front() == "v1") {
        parsed.path_segments.erase(parsed.path_segments.begin());
    }
    else {
        parsed.path_segments.clear();
    }
    for (const std::string& each : split(call.query, '&')) {
        const std::size_t at = each.find('=');
        parsed.query[each.substr(0, at)] = at == std::string::npos ? "" : each.substr(at + 1);
    }
    return parsed;
}

/// Returns a number of the query, `fallback` when it is missing, or nothing when it is malformed or
/// above `max`.
std::optional<std::uint64_t> query_number(const parsed_call& call, std::string_view name,
                                          std::uint64_t fallback, std::uint64_t max)
{
    const auto found = call.query.find(name);
    if (found == call.query.end()) {
        return fallback;
    }
    const std::string& text = found->second;
    std::uint64_t number = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size() || number > max) {
        return std::nullopt;
    }
    return number;
}

messages::operator_answer invalid_query(const parsed_call& call, std::string_view name,
                                        std::uint64_t max)
{
    const auto found = call.query.find(name);
    return answer_problem(name, found == call.query.end() ? "(missing)" : found->second,
                          fmt::format("a whole number up to {}", max));
}

messages::operator_answer unavailable(const absl::Status& status)
{
    // The command may still be committed by the next leader, so the outcome is unknown.
    return answer_json(504, {{"outcome", "unknown"}, {"reason", errors::message_of(status)}});
}

messages::operator_answer unknown_path()
{
    return answer_refusal(404, "no such path");
}

int status_of(config::apply_outcome outcome)
{
    switch (outcome) {
    case config::apply_outcome::accepted:
        return 200;
    case config::apply_outcome::invalid:
        return 400;
    case config::apply_outcome::infeasible:
        return 422;
    default:
        return 409;
    }
}

} // namespace

operator_interface::operator_interface(const control_state& applied_state,
                                       controller& leader_decisions, const room_options& limits,
                                       controller_hooks callbacks, clock_function clock_source,
                                       std::function<replication::replica_status()> replica_status)
    : state(applied_state), decisions(leader_decisions), hooks(std::move(callbacks)),
      clock(std::move(clock_source)), room(limits, this->clock, applied_state.open_job_usage()),
      log_status(std::move(replica_status))
{
}

void operator_interface::serve(const messages::operator_call& call, const operator_callback& done)
{
    const parsed_call parsed = parse(call);
    const std::string_view subject = parsed.path_segments.empty()
                                         ? std::string_view()
                                         : std::string_view(parsed.path_segments.front());
    if (subject == "jobs") {
        this->serve_jobs(parsed, done);
        return;
    }
    if (subject == "accounts") {
        this->serve_accounts(parsed, done);
        return;
    }
    const bool known = subject == "releases" || subject == "data-centres" || subject == "status";
    if (!known) {
        done(unknown_path());
        return;
    }
    if (!parsed.is_from_operator()) {
        done(answer_refusal(403, "operators only"));
        return;
    }
    if (subject == "releases") {
        this->serve_releases(parsed, done);
    }
    else if (subject == "data-centres") {
        this->serve_data_centres(parsed, done);
    }
    else if (parsed.matches("GET", 1)) {
        done(answer_json(
            200, status_json(this->state, this->decisions, this->log_status(), this->clock())));
    }
    else {
        done(unknown_path());
    }
}

void operator_interface::answer_when_in_force(waiting_call call)
{
    if (call.in_force() || call.deadline <= this->clock()) {
        call.done(call.answer(call.in_force()));
        return;
    }
    this->waiting_calls.push_back(std::move(call));
}

void operator_interface::tick()
{
    const steady_time now = this->clock();
    std::vector<waiting_call> still_waiting;
    for (waiting_call& call : this->waiting_calls) {
        const bool in_force = call.in_force();
        if (in_force || now >= call.deadline) {
            call.done(call.answer(in_force));
        }
        else {
            still_waiting.push_back(std::move(call));
        }
    }
    this->waiting_calls = std::move(still_waiting);
}

void operator_interface::serve_releases(const parsed_call& call, const operator_callback& done)
{
    if (call.matches("POST", 1)) {
        this->apply_release_note(call, done);
    }
    else if (call.matches("GET", 1)) {
        this->serve_history(call, done);
    }
    else if (call.matches("GET", 2) && call.path_segments[1] == "current") {
        done(answer_json(200, this->state.configuration().contents_json()));
    }
    else if (call.matches("GET", 2) && call.path_segments[1] == "diff") {
        this->serve_diff(call, done);
    }
    else if (call.matches("GET", 2)) {
        this->serve_revision(call, done);
    }
    else {
        done(unknown_path());
    }
}

void operator_interface::apply_release_note(const parsed_call& call, const operator_callback& done)
{
    const std::optional<std::uint64_t> wait = query_number(call, "wait_ms", 0, max_wait_ms);
    if (!wait.has_value()) {
        done(invalid_query(call, "wait_ms", max_wait_ms));
        return;
    }
    absl::StatusOr<config::release_note> note =
        config::parse_release_note_json(call.body, "request");
    if (!note.ok()) {
        json body = {{"outcome", "invalid"}};
        for (const config::problem& each : config::problems_of(note.status())) {
            body["problems"].push_back(config::to_json(each));
        }
        done(answer_json(400, body));
        return;
    }
    control::apply_release_note proposed;
    proposed.note = *std::move(note);
    proposed.origin = {call.caller, this->hooks.wall_clock_ms()};
    const milliseconds timeout(*wait);
    this->hooks.propose(proposed,
                        [this, timeout, done](const absl::StatusOr<command_result>& result) {
                            if (!result.ok()) {
                                done(unavailable(result.status()));
                                return;
                            }
                            this->answer_note(*result->note_result, timeout, done);
                        });
}

void operator_interface::answer_note(const config::apply_result& result, milliseconds timeout,
                                     const operator_callback& done)
{
    if (result.outcome != config::apply_outcome::accepted) {
        done(answer_json(status_of(result.outcome), config::to_json(result)));
        return;
    }
    waiting_call call;
    call.in_force = [this, revision = result.revision] {
        return this->in_force_everywhere(revision);
    };
    call.answer = [this, result](bool in_force) {
        json body = config::to_json(result);
        body["in_force"] = in_force;
        if (!in_force) {
            body["lagging"] = json::array();
            for (const process_view& each : this->decisions.processes()) {
                if (each.revision < result.revision) {
                    body["lagging"].push_back(each.name);
                }
            }
        }
        return answer_json(200, body);
    };
    call.deadline = this->clock() + timeout;
    call.done = done;
    this->answer_when_in_force(std::move(call));
}

bool operator_interface::in_force_everywhere(std::uint64_t revision) const
{
    if (!this->decisions.knows_all_processes()) {
        return false;
    }
    for (const process_view& each : this->decisions.processes()) {
        if (each.revision < revision && !this->decisions.permit_has_ended(each)) {
            return false;
        }
    }
    return true;
}

void operator_interface::serve_history(const parsed_call& call, const operator_callback& done) const
{
    const std::optional<std::uint64_t> limit =
        query_number(call, "limit", default_limit, max_listed_notes);
    if (!limit.has_value()) {
        done(invalid_query(call, "limit", max_listed_notes));
        return;
    }
    const std::vector<config::history_entry>& history = this->state.configuration().history();
    json notes = json::array();
    const std::size_t first = history.size() > *limit ? history.size() - *limit : 0;
    for (std::size_t index = first; index < history.size(); ++index) {
        const config::history_entry& each = history[index];
        notes.push_back({{"revision", each.revision},
                         {"note", each.note.note},
                         {"base", each.note.base},
                         {"operator", each.origin.operator_name},
                         {"unix_ms", each.origin.unix_ms},
                         {"changes", each.differences.size()}});
    }
    done(
        answer_json(200, {{"revision", this->state.configuration().revision()}, {"notes", notes}}));
}

void operator_interface::serve_diff(const parsed_call& call, const operator_callback& done) const
{
    constexpr std::uint64_t max_revision = std::numeric_limits<std::uint64_t>::max();
    const std::optional<std::uint64_t> from = query_number(call, "from", 0, max_revision);
    const std::optional<std::uint64_t> to =
        query_number(call, "to", this->state.configuration().revision(), max_revision);
    if (!from.has_value() || !to.has_value()) {
        done(invalid_query(call, from.has_value() ? "to" : "from", max_revision));
        return;
    }
    const absl::StatusOr<std::vector<config::field_difference>> differences =
        this->state.configuration().diff(*from, *to);
    if (!differences.ok()) {
        done(answer_refusal(404, errors::message_of(differences.status())));
        return;
    }
    json list = json::array();
    for (const config::field_difference& each : *differences) {
        list.push_back(config::to_json(each));
    }
    done(answer_json(200, {{"from", *from}, {"to", *to}, {"differences", list}}));
}

void operator_interface::serve_revision(const parsed_call& call,
                                        const operator_callback& done) const
{
    for (const config::history_entry& each : this->state.configuration().history()) {
        if (fmt::format("{}", each.revision) == call.path_segments[1]) {
            done(answer_json(200, {{"revision", each.revision},
                                   {"operator", each.origin.operator_name},
                                   {"unix_ms", each.origin.unix_ms},
                                   {"note", config::to_json(each.note)}}));
            return;
        }
    }
    done(answer_refusal(404, "no such revision, or it is no longer kept"));
}

void operator_interface::serve_data_centres(const parsed_call& call, const operator_callback& done)
{
    if (call.matches("GET", 2)) {
        const std::string& name = call.path_segments[1];
        if (this->state.configuration().find_data_centre(name) == nullptr) {
            done(answer_refusal(404, fmt::format("data centre {} is not configured", name)));
            return;
        }
        done(answer_json(200, this->data_centre_json(name)));
    }
    else if (call.matches("POST", 3) &&
             (call.path_segments[2] == "withdraw" || call.path_segments[2] == "restore")) {
        this->set_data_centre(call, done);
    }
    else {
        done(unknown_path());
    }
}

void operator_interface::set_data_centre(const parsed_call& call, const operator_callback& done)
{
    constexpr std::uint64_t max_index = std::numeric_limits<std::uint64_t>::max();
    const std::string name = call.path_segments[1];
    const std::optional<std::uint64_t> wait = query_number(call, "wait_ms", 0, max_wait_ms);
    const std::optional<std::uint64_t> expected_index = query_number(
        call, "expected_order_index", this->state.data_centre(name).order_index(), max_index);
    if (!wait.has_value()) {
        done(invalid_query(call, "wait_ms", max_wait_ms));
        return;
    }
    if (!expected_index.has_value()) {
        done(invalid_query(call, "expected_order_index", max_index));
        return;
    }
    const bool restore = call.path_segments[2] == "restore";
    const milliseconds timeout(*wait);
    this->hooks.propose(control::set_data_centre{name, restore, call.caller,
                                                 this->hooks.wall_clock_ms(), *expected_index},
                        [this, name, timeout, done](const absl::StatusOr<command_result>& result) {
                            if (!result.ok()) {
                                done(unavailable(result.status()));
                                return;
                            }
                            if (!result->accepted) {
                                const bool configured =
                                    this->state.configuration().find_data_centre(name) != nullptr;
                                done(answer_refusal(configured ? 409 : 404, result->reason));
                                return;
                            }
                            waiting_call waiter;
                            waiter.in_force = [this, name] {
                                const bool in_service = this->state.data_centre(name).in_service;
                                return in_service || this->decisions.withdrawal(name).in_force;
                            };
                            waiter.answer = [this, name](bool) {
                                return answer_json(200, this->data_centre_json(name));
                            };
                            waiter.deadline = this->clock() + timeout;
                            waiter.done = done;
                            this->answer_when_in_force(std::move(waiter));
                        });
}

json operator_interface::data_centre_json(const std::string& name) const
{
    const data_centre_record record = this->state.data_centre(name);
    return {{"data_centre", name},
            {"state", record.in_service ? "in_service" : "withdrawn"},
            {"in_force", record.in_service || this->decisions.withdrawal(name).in_force},
            {"change_index", record.change_index},
            {"order_index", record.order_index()}};
}

void operator_interface::serve_jobs(const parsed_call& call, const operator_callback& done)
{
    if (call.matches("POST", 1)) {
        this->submit_job(call, done);
        return;
    }
    if (call.matches("GET", 1)) {
        this->list_jobs(call, done);
        return;
    }
    const job_record* const job =
        call.path_segments.size() >= 2 ? this->state.find_job(call.path_segments[1]) : nullptr;
    // A job of another account is reported as unknown, so that its existence is not disclosed.
    if (job == nullptr || (!call.is_from_operator() && job->job.account != call.caller)) {
        done(answer_refusal(404, "no such job"));
    }
    else if (call.matches("GET", 2)) {
        done(answer_json(200, to_json(*job)));
    }
    else if (call.matches("DELETE", 2)) {
        this->cancel_job(*job, done);
    }
    else if (call.matches("GET", 3) && call.path_segments[2] == "explain") {
        this->explain_job(*job, done);
    }
    else {
        done(unknown_path());
    }
}

void operator_interface::submit_job(const parsed_call& call, const operator_callback& done)
{
    parsed_job parsed = parse_job_body(call, this->state);
    if (parsed.refusal.has_value()) {
        done(*parsed.refusal);
        return;
    }
    const std::string id = parsed.job.id;
    const std::string account = parsed.job.account;
    // A job that is known takes no further room.
    const std::uint64_t bytes =
        this->state.find_job(id) == nullptr ? estimated_bytes(parsed.job) : 0;
    const room_verdict verdict =
        this->room.admit(account, digest::content_hash(parsed.job.parameters), bytes);
    if (verdict != room_verdict::accepted) {
        spdlog::info("event=job_refused job={} account={} reason={} bytes={} free_bytes={}", id,
                     account, room_verdict_name(verdict), bytes, this->room.free_bytes());
        done(answer_refusal(503, "there is no room for the job now"));
        return;
    }
    this->decisions.submit(parsed.job, [this, id, account, bytes,
                                        done](const absl::StatusOr<command_result>& result) {
        this->room.settle(account, bytes);
        if (!result.ok()) {
            const bool never = error_code<placement::placement_errc>(result.status()).has_value();
            done(never ? answer_refusal(422, errors::message_of(result.status()))
                       : unavailable(result.status()));
            return;
        }
        if (!result->accepted) {
            done(answer_refusal(409, result->reason));
            return;
        }
        done(answer_json(200, to_json(*this->state.find_job(id))));
    });
}

void operator_interface::list_jobs(const parsed_call& call, const operator_callback& done) const
{
    const std::optional<std::uint64_t> limit =
        query_number(call, "limit", default_limit, max_listed_jobs);
    if (!limit.has_value()) {
        done(invalid_query(call, "limit", max_listed_jobs));
        return;
    }
    const auto wanted_state = call.query.find("state");
    const auto wanted_account = call.query.find("account");
    std::vector<const job_record*> found;
    for (const auto& [id, job] : this->state.jobs()) {
        const bool visible = call.is_from_operator() ? (wanted_account == call.query.end() ||
                                                        wanted_account->second == job.job.account)
                                                     : job.job.account == call.caller;
        if (visible &&
            (wanted_state == call.query.end() || wanted_state->second == to_text(job.state))) {
            found.push_back(&job);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const job_record* left, const job_record* right) {
                         return left->submitted_ms > right->submitted_ms;
                     });
    json list = json::array();
    for (std::size_t index = 0; index < found.size() && index < *limit; ++index) {
        list.push_back(to_json(*found[index]));
    }
    done(answer_json(200, {{"jobs", list}, {"more", found.size() > *limit}}));
}

void operator_interface::cancel_job(const job_record& job, const operator_callback& done)
{
    const std::string id = job.job.id;
    this->hooks.propose(control::cancel_job{id, job.job.account, this->hooks.wall_clock_ms()},
                        [this, id, done](const absl::StatusOr<command_result>& result) {
                            if (!result.ok()) {
                                done(unavailable(result.status()));
                                return;
                            }
                            const job_record* const now = this->state.find_job(id);
                            done(now == nullptr ? answer_refusal(404, "no such job")
                                                : answer_json(200, to_json(*now)));
                        });
}

void operator_interface::explain_job(const job_record& job, const operator_callback& done) const
{
    json body = {{"id", job.job.id},
                 {"state", to_text(job.state)},
                 {"reason", job.reason},
                 {"decisions", json::array()}};
    const absl::StatusOr<placement::decision_record> record =
        this->decisions.placement_engine().explain(job.job.id);
    if (record.ok()) {
        json refused = json::array();
        for (const placement::refused_candidate& each : record->refused) {
            refused.push_back({{"place", each.location}, {"reason", each.reason}});
        }
        body["decisions"].push_back({{"outcome", record->outcome},
                                     {"reason", record->reason},
                                     {"workers", record->workers},
                                     {"refused", refused}});
        if (!is_final(job.state)) {
            body["reason"] = record->reason;
        }
    }
    done(answer_json(200, body));
}

void operator_interface::serve_accounts(const parsed_call& call,
                                        const operator_callback& done) const
{
    const bool usage = call.matches("GET", 3) && call.path_segments[2] == "usage";
    if (!usage && !call.matches("GET", 2)) {
        done(unknown_path());
        return;
    }
    const std::string& name = call.path_segments[1];
    const config::client_account* const account =
        this->state.configuration().find_client_account(name);
    if (account == nullptr || (!call.is_from_operator() && name != call.caller)) {
        done(answer_refusal(404, "no such account"));
        return;
    }
    if (usage) {
        const auto found = this->state.usage().find(name);
        const usage_record used =
            found == this->state.usage().end() ? usage_record() : found->second;
        done(answer_json(200, {{"account", name},
                               {"accelerator_ms", used.accelerator_ms},
                               {"requests", used.requests},
                               {"request_ms", used.request_ms}}));
        return;
    }
    json agreements = json::array();
    for (const config::agreement& each : this->state.configuration().agreements()) {
        if (each.account == name) {
            agreements.push_back(config::to_json(each));
        }
    }
    json services = json::array();
    for (const config::service& each : this->state.configuration().services()) {
        if (std::find(each.accounts.begin(), each.accounts.end(), name) != each.accounts.end()) {
            services.push_back(each.name);
        }
    }
    json guarantees = json::array();
    for (const placement::guarantee_summary& each :
         this->decisions.placement_engine().guarantee_summaries()) {
        if (each.terms.account == name) {
            guarantees.push_back(to_json(each));
        }
    }
    const job_counts jobs = count_jobs(this->state, name);
    done(answer_json(200, {{"account", {{"name", name}, {"weight", account->weight}}},
                           {"agreements", agreements},
                           {"services", services},
                           {"guarantees", guarantees},
                           {"jobs", {{"queued", jobs.queued}, {"running", jobs.running}}}}));
}

} // namespace redwingwheel::control
