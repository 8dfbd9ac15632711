#include "redwingwheel/settings.h"

#include <algorithm>
#include <array>

#include "field_reader.h"

namespace redwingwheel::config {

namespace {

constexpr std::array<std::string_view, 5> log_levels{"trace", "debug", "info", "warning", "error"};
constexpr std::array<std::string_view, 5> role_names{"entry", "control", "agent", "gateway",
                                                     "supervisor"};
constexpr std::size_t max_replicas = 9;
constexpr std::size_t max_operators = 1000;
/// Stays under the 4 MiB frame limit between daemons with room for the headers.
constexpr std::int64_t max_body_kb = 3072;
/// A growing buffer takes up to twice the size of the largest request.
constexpr std::int64_t min_unfinished_kb = 2 * max_body_kb;
/// A permit must outlive one lost poll, or a single lost message would stop work.
constexpr int polls_per_permit = 2;

template <class Number>
void read_number(const field& source, integer_range range, Number& target)
{
    const std::optional<std::int64_t> number = source.integer(range);
    if (number.has_value()) {
        target = static_cast<Number>(*number);
    }
}

void read_duration(const field& source, integer_range range, milliseconds& target)
{
    std::int64_t count = target.count();
    read_number(source, range, count);
    target = milliseconds(count);
}

role_set read_roles(const field& source)
{
    role_set roles;
    const std::array<bool*, 5> flags{&roles.entry, &roles.control, &roles.agent, &roles.gateway,
                                     &roles.supervisor};
    const std::vector<field> items = source.list(role_names.size());
    if (source.present() && items.empty()) {
        source.reject("a list of one or more of entry, control, agent, gateway, supervisor");
    }
    for (const field& item : items) {
        const std::optional<std::size_t> role = item.one_of(role_names);
        if (role.has_value() && *flags.at(*role)) {
            item.reject("each role once");
        }
        if (role.has_value()) {
            *flags.at(*role) = true;
        }
    }
    return roles;
}

log_settings read_log(map_reader map)
{
    log_settings log;
    const std::optional<std::size_t> level = map.optional("level").one_of(log_levels);
    if (level.has_value()) {
        log.level = log_levels.at(*level);
    }
    log.file = map.optional("file").text().value_or("");
    map.finish();
    return log;
}

control_settings read_control(map_reader map, const role_set& roles)
{
    control_settings control;
    const field listen = roles.control ? map.required("listen") : map.optional("listen");
    control.listen = listen.address().value_or("");
    const field replicas = map.required("replicas");
    const std::vector<field> items = replicas.list(max_replicas);
    if (replicas.present() && items.empty()) {
        replicas.reject("a list of 1 to 9 addresses");
    }
    for (const field& item : items) {
        const std::string address = item.address().value_or("");
        const bool known = std::find(control.replicas.begin(), control.replicas.end(), address) !=
                           control.replicas.end();
        if (known && !address.empty()) {
            item.reject("each address once");
        }
        control.replicas.push_back(address);
    }
    if (roles.control && !control.listen.empty() &&
        std::find(control.replicas.begin(), control.replicas.end(), control.listen) ==
            control.replicas.end()) {
        listen.reject("one of control.replicas");
    }
    map.finish();
    return control;
}

std::vector<operator_settings> read_operators(const field& source)
{
    std::vector<operator_settings> operators;
    for (const field& item : source.list(max_operators)) {
        map_reader map = item.map();
        operator_settings read;
        const field name = map.required("name");
        read.name = name.name().value_or("");
        read.token_digest = map.required("token_digest").token_digest().value_or("");
        map.finish();
        const bool known = std::any_of(
            operators.begin(), operators.end(),
            [&read](const operator_settings& earlier) { return earlier.name == read.name; });
        if (known && !read.name.empty()) {
            name.reject("each name once");
        }
        operators.push_back(read);
    }
    return operators;
}

entry_settings read_entry(map_reader map)
{
    entry_settings entry;
    entry.listen = map.required("listen").address().value_or("");
    read_number(map.required("threads"), {1, 64}, entry.threads);
    read_number(map.required("max_body_kb"), {1, max_body_kb}, entry.max_body_kb);
    read_duration(map.required("drain_notice_ms"), {0, 60'000}, entry.drain_notice);
    entry.operators = read_operators(map.required("operators"));
    map.finish();
    return entry;
}

agent_settings read_agent(map_reader map)
{
    agent_settings agent;
    agent.worker = map.required("worker").name().value_or("");
    agent.rack = map.required("rack").name().value_or("");
    agent.listen = map.required("listen").address().value_or("");
    agent.backend = map.required("backend").address().value_or("");
    const field accelerators = map.required("accelerators");
    read_number(accelerators, {0, 64}, agent.accelerators);
    const field per_group = map.required("accelerators_per_group");
    read_number(per_group, {1, 64}, agent.accelerators_per_group);
    if (agent.accelerators_per_group != 0 &&
        agent.accelerators % agent.accelerators_per_group != 0) {
        per_group.reject("a divisor of agent.accelerators");
    }
    read_number(map.required("cores"), {1, 4096}, agent.cores);
    read_number(map.required("memory_mb"), {1, std::int64_t{1} << 24}, agent.memory_mb);
    read_number(map.required("slots"), {1, 1024}, agent.slots);
    read_number(map.required("connections"), {1, 65'535}, agent.connections);
    map.finish();
    return agent;
}

timing_settings read_timing(map_reader map)
{
    timing_settings timing;
    read_duration(map.optional("poll_ms"), {50, 5'000}, timing.poll);
    const field permit = map.optional("permit_ms");
    read_duration(permit, {500, 60'000}, timing.permit);
    if (timing.permit < timing.poll * polls_per_permit) {
        (permit.present() ? permit : map.optional("poll_ms"))
            .reject("timing.permit_ms of at least twice timing.poll_ms");
    }
    read_duration(map.optional("drain_ms"), {0, 600'000}, timing.drain);
    map.finish();
    return timing;
}

cluster_settings read_cluster(map_reader map, const role_set& roles)
{
    cluster_settings cluster;
    const field listen = roles.gateway ? map.required("listen") : map.optional("listen");
    cluster.listen = listen.address().value_or("");
    cluster.bind = map.optional("bind").address().value_or(cluster.listen);
    const field seeds = map.required("seeds");
    const std::vector<field> items = seeds.list(max_replicas);
    if (seeds.present() && items.empty()) {
        seeds.reject("a list of 1 to 9 addresses");
    }
    read_number(map.optional("port"), {1, 65'535}, cluster.port);
    for (const field& item : items) {
        std::string seed = item.address().value_or("");
        if (cluster.port != 0) {
            seed = seed.substr(0, seed.rfind(':') + 1) + std::to_string(cluster.port);
        }
        cluster.seeds.push_back(std::move(seed));
    }
    cluster.founding = map.optional("founding").boolean().value_or(false);
    read_number(map.optional("tolerated_losses"), {0, 4}, cluster.tolerated_losses);
    map.finish();
    return cluster;
}

gateway_settings read_gateway(map_reader map)
{
    gateway_settings gateway;
    gateway.listen = map.required("listen").address().value_or("");
    gateway.readiness = map.required("readiness").address().value_or("");
    gateway.administration = map.required("administration").address().value_or("");
    map.finish();
    return gateway;
}

supervisor_settings read_supervisor(map_reader map)
{
    supervisor_settings supervisor;
    supervisor.listen = map.required("listen").address().value_or("");
    supervisor.worker = map.required("worker").address().value_or("");
    read_duration(map.required("lease_ms"), {500, 600'000}, supervisor.lease);
    map.finish();
    return supervisor;
}

limit_settings read_limits(map_reader map)
{
    limit_settings limits;
    read_number(map.optional("connections"), {16, 65'535}, limits.connections);
    read_number(map.optional("unfinished_kb"), {min_unfinished_kb, 1'048'576},
                limits.unfinished_kb);
    read_duration(map.optional("stall_ms"), {1'000, 600'000}, limits.stall);
    read_duration(map.optional("request_ms"), {1'000, 600'000}, limits.request);
    read_number(map.optional("job_memory_mb"), {1, 1'024}, limits.job_memory_mb);
    map.finish();
    return limits;
}

scheduling_settings read_scheduling(map_reader map)
{
    scheduling_settings scheduling;
    read_number(map.optional("urgent_headroom_percent"), {0, 50},
                scheduling.urgent_headroom_percent);
    map.finish();
    return scheduling;
}

settings read_settings(map_reader map)
{
    settings read;
    read.name = map.required("name").name().value_or("");
    read.region = map.required("region").name().value_or("");
    read.data_centre = map.required("data_centre").name().value_or("");
    read.roles = read_roles(map.required("roles"));
    const field folder =
        read.roles.control ? map.required("data_folder") : map.optional("data_folder");
    read.data_folder = folder.text().value_or("");
    if (folder.present() && read.roles.control && read.data_folder.empty()) {
        folder.reject("the path of a folder");
    }
    const field secret = map.required("cluster_secret_file");
    read.cluster_secret_file = secret.text().value_or("");
    if (secret.present() && read.cluster_secret_file.empty()) {
        secret.reject("the path of a file");
    }
    read.log = read_log(map.optional("log").map());
    const bool uses_control = read.roles.entry || read.roles.control || read.roles.agent;
    read.control = read_control(
        (uses_control ? map.required("control") : map.optional("control")).map(), read.roles);
    const bool uses_cluster = read.roles.gateway || read.roles.supervisor;
    read.cluster = read_cluster(
        (uses_cluster ? map.required("cluster") : map.optional("cluster")).map(), read.roles);
    read.gateway = read_gateway(
        (read.roles.gateway ? map.required("gateway") : map.optional("gateway")).map());
    read.supervisor = read_supervisor(
        (read.roles.supervisor ? map.required("supervisor") : map.optional("supervisor")).map());
    map_reader metrics = map.optional("metrics").map();
    read.metrics.listen = metrics.optional("listen").address().value_or("");
    metrics.finish();
    read.entry =
        read_entry((read.roles.entry ? map.required("entry") : map.optional("entry")).map());
    read.agent =
        read_agent((read.roles.agent ? map.required("agent") : map.optional("agent")).map());
    read.timing = read_timing(map.optional("timing").map());
    read.scheduling = read_scheduling(map.optional("scheduling").map());
    read.limits = read_limits(map.optional("limits").map());
    map.finish();
    return read;
}

} // namespace

absl::StatusOr<settings> load_settings(std::string_view yaml, std::string_view file_name)
{
    problem_list problems(file_name);
    const document_value document = read_yaml(yaml, problems);
    if (!problems.empty()) {
        return problems.status();
    }
    const field root(&document, "", problems);
    if (document.kind != value_kind::map) {
        problems.add("(document)", "not a map", "a map of settings");
        return problems.status();
    }
    settings read = read_settings(root.map());
    if (!problems.empty()) {
        return problems.status();
    }
    return read;
}

} // namespace redwingwheel::config
