#include "operator_json.h"

#include <algorithm>
#include <bit>
#include <random>

#include <fmt/format.h>

#include "redwingwheel/json_text.h"
#include "redwingwheel/printable.h"

namespace redwingwheel::control {

namespace {

using nlohmann::json;

constexpr std::size_t max_job_id_length = 64;
constexpr std::uint64_t max_declared_run_ms = 2'592'000'000;
constexpr std::size_t max_parameters_bytes = std::size_t{64} * 1024;

std::string generate_job_id(std::int64_t unix_ms)
{
    static thread_local std::mt19937_64 engine(std::random_device{}());
    return fmt::format("{}-{:016x}", unix_ms / 1000, engine());
}

bool is_job_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_job_id_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char letter) {
               return std::isalnum(letter) != 0 || letter == '.' || letter == '_' || letter == '-';
           });
}

/// Reads fields of a JSON object and keeps a refusal for the first invalid one.
class field_reader {
public:
    explicit field_reader(const json& object) : source(object) {}

    void number(std::string_view name, std::uint64_t min, std::uint64_t max, std::uint64_t& value)
    {
        const auto found = this->find(name);
        if (found == this->source.end()) {
            return;
        }
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() < min ||
            found->get<std::uint64_t>() > max) {
            this->refuse(name, *found, fmt::format("{} to {}", min, max));
            return;
        }
        value = found->get<std::uint64_t>();
    }

    void text(std::string_view name, std::string& value)
    {
        const auto found = this->find(name);
        if (found == this->source.end()) {
            return;
        }
        if (!found->is_string()) {
            this->refuse(name, *found, "a text");
            return;
        }
        value = found->get<std::string>();
    }

    /// Reads an enum value from its name, as returned by `name_of`. Allows the values from `first`
    /// to `last`.
    template <class Value>
    void choice(std::string_view name, Value first, Value last, Value& value)
    {
        std::string given;
        this->text(name, given);
        if (given.empty()) {
            return;
        }
        std::string allowed;
        for (int index = static_cast<int>(first); index <= static_cast<int>(last); ++index) {
            const Value candidate = static_cast<Value>(index);
            if (placement::name_of(candidate) == given) {
                value = candidate;
                return;
            }
            allowed +=
                fmt::format("{}{}", allowed.empty() ? "" : ", ", placement::name_of(candidate));
        }
        this->refuse(name, given, allowed);
    }

    void refuse(std::string_view name, const json& value, std::string_view allowed)
    {
        if (!this->refusal.has_value()) {
            this->refusal = answer_problem(
                name, value.is_string() ? value.get<std::string>() : json_text::dump(value),
                allowed);
        }
    }

    [[nodiscard]] const std::optional<messages::operator_answer>& problem() const
    {
        return this->refusal;
    }

private:
    [[nodiscard]] json::const_iterator find(std::string_view name) const
    {
        return this->source.find(std::string(name));
    }

    const json& source;
    std::optional<messages::operator_answer> refusal;
};

void refuse_unknown_fields(const json& body, field_reader& reader)
{
    constexpr std::array<std::string_view, 9> known{
        "id",        "account",  "service",         "members",   "accelerators_per_member",
        "adjacency", "priority", "declared_run_ms", "parameters"};
    for (const auto& item : body.items()) {
        if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
            reader.refuse(item.key(), item.value(), "a field of docs/http-api.md");
        }
    }
}

std::uint32_t accelerators_free(const placement::worker_summary& worker)
{
    if (worker.lost) {
        return 0;
    }
    return worker.worker.accelerators - static_cast<std::uint32_t>(std::popcount(worker.held));
}

json data_centres_json(const control_state& state, const controller& decisions,
                       const std::vector<placement::worker_summary>& workers)
{
    json list = json::array();
    for (const config::data_centre& each : state.configuration().data_centres()) {
        std::size_t count = 0;
        std::size_t lost = 0;
        std::uint32_t accelerators = 0;
        std::uint32_t free = 0;
        for (const placement::worker_summary& worker : workers) {
            if (worker.worker.data_centre == each.name) {
                ++count;
                lost += worker.lost ? 1 : 0;
                accelerators += worker.worker.accelerators;
                free += accelerators_free(worker);
            }
        }
        const bool in_service = state.data_centre(each.name).in_service;
        list.push_back({{"name", each.name},
                        {"region", each.region},
                        {"state", in_service ? "in_service" : "withdrawn"},
                        {"in_force", in_service || decisions.withdrawal(each.name).in_force},
                        {"workers", count},
                        {"workers_lost", lost},
                        {"accelerators", accelerators},
                        {"accelerators_free", free}});
    }
    return list;
}

json workers_json(const controller& decisions,
                  const std::vector<placement::worker_summary>& workers)
{
    json list = json::array();
    for (const placement::worker_summary& each : workers) {
        std::string_view condition = "serving";
        if (each.lost || decisions.worker_lost(each.worker.name)) {
            condition = "lost";
        }
        else if (decisions.worker_shutting_down(each.worker.name)) {
            condition = "shutting_down";
        }
        else if (each.quarantined) {
            condition = "quarantined";
        }
        list.push_back({{"name", each.worker.name},
                        {"data_centre", each.worker.data_centre},
                        {"rack", each.worker.rack},
                        {"state", condition},
                        {"accelerators", each.worker.accelerators},
                        {"accelerators_free", accelerators_free(each)}});
    }
    return list;
}

json replicas_json(const replication::replica_status& log)
{
    json list = json::array();
    for (const replication::member_status& each : log.members) {
        const bool leads = log.leader.has_value() && each.member_entry.id == *log.leader;
        std::string_view role = each.member_entry.voter ? "follower" : "learner";
        if (leads) {
            role = "leader";
        }
        list.push_back({{"address", each.member_entry.address},
                        {"identity", fmt::format("{:016x}", each.member_entry.id.value)},
                        {"data_centre", each.member_entry.data_centre},
                        {"role", role},
                        {"commit", leads ? log.commit_index.value : each.match_index.value}});
    }
    return list;
}

json processes_json(const controller& decisions, steady_time now)
{
    json list = json::array();
    for (const process_view& each : decisions.processes()) {
        const milliseconds age = std::chrono::duration_cast<milliseconds>(now - each.last_poll);
        list.push_back({{"name", each.name},
                        {"role", each.role},
                        {"data_centre", each.data_centre},
                        {"revision", each.revision},
                        {"last_poll_ms", age.count()}});
    }
    return list;
}

} // namespace

messages::operator_answer answer_json(int status, const json& body)
{
    return {status, json_text::dump(body)};
}

messages::operator_answer answer_refusal(int status, std::string_view reason)
{
    return answer_json(status, {{"outcome", "not_run"}, {"reason", reason}});
}

messages::operator_answer answer_problem(std::string_view field, std::string_view value,
                                         std::string_view allowed)
{
    const json problem = {{"file", "request"},
                          {"field", printable(field)},
                          {"value", printable(value)},
                          {"allowed", allowed}};
    return answer_json(400, {{"outcome", "not_run"}, {"problems", json::array({problem})}});
}

json to_json(const job_record& job)
{
    json workers = json::array();
    for (const membership::gang_member_record& member : job.members) {
        workers.push_back(member.worker);
    }
    return {{"id", job.job.id},
            {"account", job.job.account},
            {"service", job.job.service},
            {"state", to_text(job.state)},
            {"members", job.job.members},
            {"accelerators_per_member", job.job.accelerators_per_member},
            {"adjacency", placement::name_of(job.job.adjacency)},
            {"priority", placement::name_of(job.job.priority)},
            {"declared_run_ms", job.job.declared_run_ms},
            {"epoch", job.epoch},
            {"starts", job.starts},
            {"cancel_requested", job.cancel_requested},
            {"borrowed", job.borrowed},
            {"uses_guarantee", job.uses_guarantee},
            {"reason", job.reason},
            {"workers", workers},
            {"submitted_unix_ms", job.submitted_ms},
            {"started_unix_ms", job.started_ms},
            {"ended_unix_ms", job.ended_ms}};
}

json to_json(const placement::guarantee_summary& summary)
{
    return {{"agreement", summary.terms.agreement},
            {"account", summary.terms.account},
            {"level", placement::name_of(summary.terms.level)},
            {"count", summary.terms.count},
            {"data_centre", summary.terms.data_centre},
            {"whole", summary.whole},
            {"pinned", summary.pinned},
            {"missing", summary.missing}};
}

job_counts count_jobs(const control_state& state, std::string_view account)
{
    job_counts counts;
    for (const auto& [id, job] : state.jobs()) {
        if (is_final(job.state) || (!account.empty() && job.job.account != account)) {
            continue;
        }
        if (job.state == job_state::queued) {
            ++counts.queued;
        }
        else {
            ++counts.running;
        }
    }
    return counts;
}

json status_json(const control_state& state, const controller& decisions,
                 const replication::replica_status& log, steady_time now)
{
    const std::vector<placement::worker_summary> workers =
        decisions.placement_engine().worker_summaries();
    json guarantees = json::array();
    for (const placement::guarantee_summary& each :
         decisions.placement_engine().guarantee_summaries()) {
        guarantees.push_back(to_json(each));
    }
    std::string leader;
    if (log.leader.has_value()) {
        for (const replication::member_status& each : log.members) {
            if (each.member_entry.id == *log.leader) {
                leader = each.member_entry.address;
            }
        }
    }
    const job_counts jobs = count_jobs(state, "");
    return {{"revision", state.configuration().revision()},
            {"term", log.term.value},
            {"leader", leader},
            {"data_centres", data_centres_json(state, decisions, workers)},
            {"jobs", {{"queued", jobs.queued}, {"running", jobs.running}}},
            {"guarantees", guarantees},
            {"workers", workers_json(decisions, workers)},
            {"replicas", replicas_json(log)},
            {"processes", processes_json(decisions, now)}};
}

parsed_job parse_job_body(const parsed_call& call, const control_state& state)
{
    parsed_job parsed;
    const absl::StatusOr<json> read = json_text::parse(call.body);
    if (!read.ok()) {
        const json_text::refusal why = json_text::describe_refusal(call.body);
        parsed.refusal = answer_problem("body", why.found, why.allowed);
        return parsed;
    }
    const json& body = *read;
    if (!body.is_object()) {
        parsed.refusal = answer_problem("body", body.type_name(), "a JSON object");
        return parsed;
    }
    field_reader reader(body);
    refuse_unknown_fields(body, reader);
    job_description& job = parsed.job;
    reader.text("id", job.id);
    reader.text("service", job.service);
    job.account = call.caller;
    if (call.is_from_operator()) {
        job.account.clear();
        reader.text("account", job.account);
    }
    std::uint64_t members = job.members;
    std::uint64_t accelerators = job.accelerators_per_member;
    reader.number("members", 1, placement::max_gang_members, members);
    reader.number("accelerators_per_member", 1, placement::max_accelerators_per_worker,
                  accelerators);
    reader.number("declared_run_ms", 0, max_declared_run_ms, job.declared_run_ms);
    reader.choice("adjacency", placement::cell_level::accelerator,
                  placement::cell_level::data_centre, job.adjacency);
    reader.choice("priority", placement::job_priority::urgent, placement::job_priority::low,
                  job.priority);
    job.members = static_cast<std::uint32_t>(members);
    job.accelerators_per_member = static_cast<std::uint32_t>(accelerators);
    job.parameters = body.contains("parameters") ? json_text::dump(body["parameters"]) : "{}";
    if (job.parameters.size() > max_parameters_bytes) {
        reader.refuse("parameters", fmt::format("{} bytes", job.parameters.size()),
                      "at most 65536 bytes");
    }
    if (job.id.empty()) {
        job.id = generate_job_id(std::chrono::duration_cast<milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
    }
    if (!is_job_id(job.id)) {
        reader.refuse("id", job.id, "1 to 64 of A-Z a-z 0-9 . _ -");
    }
    if (reader.problem().has_value()) {
        parsed.refusal = reader.problem();
        return parsed;
    }
    const config::service* const service = state.configuration().find_service(job.service);
    const bool allowed =
        service != nullptr && std::find(service->accounts.begin(), service->accounts.end(),
                                        job.account) != service->accounts.end();
    if (!allowed) {
        parsed.refusal = answer_refusal(404, "no such service for this account");
        return parsed;
    }
    job.idempotent = service->idempotent;
    job.can_checkpoint = service->can_checkpoint;
    return parsed;
}

} // namespace redwingwheel::control
