#include "redwingwheel/control_state.h"

#include <algorithm>

#include <fmt/format.h>

#include "redwingwheel/digest.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::control {

namespace {

/// Number of ended jobs that can still be queried: about a week at 5,600 jobs a day.
constexpr std::size_t max_ended_jobs = 40'000;
constexpr std::uint32_t snapshot_version = 1;

/// A command in the log: the index of its type in the `command` variant and its packed value.
struct tagged_command {
    std::uint32_t type = 0;
    std::string bytes;
    MSGPACK_DEFINE(type, bytes)
};

struct packed_gang_proposal {
    std::uint32_t type = 0;
    std::string bytes;
    std::int64_t now_ms = 0;
    MSGPACK_DEFINE(type, bytes, now_ms)
};

template <class Variant, std::size_t Index = 0>
absl::StatusOr<Variant> unpack_alternative(std::uint32_t type, std::string_view bytes)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (type != Index) {
            return unpack_alternative<Variant, Index + 1>(type, bytes);
        }
        absl::StatusOr<std::variant_alternative_t<Index, Variant>> value =
            unpack<std::variant_alternative_t<Index, Variant>>(bytes);
        if (!value.ok()) {
            return translate_error(control_errc::malformed_command, value.status());
        }
        return Variant(*std::move(value));
    }
    else {
        return make_error(control_errc::malformed_command,
                          fmt::format("unknown command type {}", type));
    }
}

std::string pack_body(const apply_gang_proposal& of)
{
    const std::string proposal =
        std::visit([](const auto& value) { return redwingwheel::pack(value); }, of.proposal);
    return pack(
        packed_gang_proposal{static_cast<std::uint32_t>(of.proposal.index()), proposal, of.now_ms});
}

std::string pack_body(const apply_claim_command& of)
{
    return request::pack_command(of.command);
}

template <class Command>
std::string pack_body(const Command& of)
{
    return pack(of);
}

absl::StatusOr<command> unpack_gang_proposal(std::string_view bytes)
{
    const absl::StatusOr<packed_gang_proposal> outer = unpack<packed_gang_proposal>(bytes);
    if (!outer.ok()) {
        return translate_error(control_errc::malformed_command, outer.status());
    }
    absl::StatusOr<membership::gang_proposal> proposal =
        unpack_alternative<membership::gang_proposal>(outer->type, outer->bytes);
    if (!proposal.ok()) {
        return proposal.status();
    }
    return command(apply_gang_proposal{*std::move(proposal), outer->now_ms});
}

absl::StatusOr<command> unpack_claim_command(std::string_view bytes)
{
    absl::StatusOr<request::claim_command> inner = request::unpack_command(bytes);
    if (!inner.ok()) {
        return translate_error(control_errc::malformed_command, inner.status());
    }
    return command(apply_claim_command{*std::move(inner)});
}

template <class Type, std::size_t Index = 0>
constexpr std::uint32_t type_of()
{
    if constexpr (std::is_same_v<std::variant_alternative_t<Index, command>, Type>) {
        return Index;
    }
    else {
        return type_of<Type, Index + 1>();
    }
}

template <class Type>
absl::StatusOr<command> unpack_as(std::string_view bytes)
{
    absl::StatusOr<Type> value = unpack<Type>(bytes);
    if (!value.ok()) {
        return translate_error(control_errc::malformed_command, value.status());
    }
    return command(*std::move(value));
}

/// The first alternatives of `command`, in the same order. Each has MSGPACK_DEFINE, which
/// unpack_alternative needs.
using plain_command = std::variant<apply_release_note, set_data_centre, announce_worker, submit_job,
                                   cancel_job, end_job, place_job>;

command_result refused(std::string_view reason)
{
    command_result result;
    result.accepted = false;
    result.reason = reason;
    return result;
}

/// True for a job whose task code may have started and cannot be repeated: it is neither idempotent
/// nor checkpointed.
bool must_not_run_again(const job_record& record)
{
    return record.starts > 0 && !record.job.idempotent && !record.job.can_checkpoint;
}

} // namespace

std::string_view error_name(control_errc code)
{
    return code == control_errc::malformed_command ? "malformed command" : "malformed snapshot";
}

std::string_view to_text(job_state state)
{
    switch (state) {
    case job_state::queued:
        return "queued";
    case job_state::placed:
        return "placed";
    case job_state::running:
        return "running";
    case job_state::done:
        return "done";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    case job_state::unknown:
        return "unknown";
    }
    return "unknown";
}

bool is_same_job(const job_record& known, const job_description& submitted)
{
    if (known.parameters_hash == 0) {
        return known.job == submitted;
    }
    job_description without_parameters = submitted;
    without_parameters.parameters.clear();
    return known.job == without_parameters &&
           known.parameters_hash == digest::content_hash(submitted.parameters);
}

std::uint64_t estimated_bytes(const job_description& job)
{
    // The record, the entry in the placement queue and, while it is placed, its members.
    constexpr std::uint64_t bytes_of_record = 1024;
    constexpr std::uint64_t bytes_of_member = 128;
    return bytes_of_record + job.members * bytes_of_member + job.parameters.size();
}

bool is_final(job_state state)
{
    return state >= job_state::done;
}

std::string pack_command(const command& of)
{
    const std::string bytes = std::visit([](const auto& value) { return pack_body(value); }, of);
    return pack(tagged_command{static_cast<std::uint32_t>(of.index()), bytes});
}

absl::StatusOr<command> unpack_command(std::string_view bytes)
{
    const absl::StatusOr<tagged_command> outer = unpack<tagged_command>(bytes);
    if (!outer.ok()) {
        return translate_error(control_errc::malformed_command, outer.status());
    }
    if (outer->type == type_of<apply_gang_proposal>()) {
        return unpack_gang_proposal(outer->bytes);
    }
    if (outer->type == type_of<apply_claim_command>()) {
        return unpack_claim_command(outer->bytes);
    }
    if (outer->type == type_of<record_usage>()) {
        return unpack_as<record_usage>(outer->bytes);
    }
    if (outer->type == type_of<remove_withdrawn>()) {
        return unpack_as<remove_withdrawn>(outer->bytes);
    }
    absl::StatusOr<plain_command> plain =
        unpack_alternative<plain_command>(outer->type, outer->bytes);
    if (!plain.ok()) {
        return plain.status();
    }
    return std::visit([](auto& value) { return command(std::move(value)); }, *plain);
}

control_state::control_state(feasibility_function check) : feasibility_check(std::move(check))
{
    this->config.emplace(this->configuration_options());
}

config::configuration_options control_state::configuration_options() const
{
    config::configuration_options options;
    options.admission = [this](const config::configuration& proposed) {
        std::vector<messages::worker_announcement> inventory;
        for (const auto& [name, worker] : this->worker_records) {
            inventory.push_back(worker);
        }
        return this->feasibility_check(proposed, inventory);
    };
    return options;
}

command_result control_state::apply(const command& of, std::uint64_t index)
{
    return std::visit([this, index](const auto& each) { return this->apply_one(each, index); }, of);
}

data_centre_record control_state::data_centre(std::string_view name) const
{
    const auto found = this->data_centre_records.find(std::string(name));
    return found == this->data_centre_records.end() ? data_centre_record() : found->second;
}

const job_record* control_state::find_job(std::string_view id) const
{
    const auto found = this->job_records.find(id);
    return found == this->job_records.end() ? nullptr : &found->second;
}

command_result control_state::apply_one(const apply_release_note& of, std::uint64_t index)
{
    command_result result;
    result.note_result = this->config->apply(of.note, of.origin);
    result.accepted = result.note_result->outcome == config::apply_outcome::accepted;
    if (!result.accepted || result.note_result->resend) {
        return result;
    }
    const std::string& who = of.origin.operator_name;
    for (const config::data_centre& added : of.note.added.data_centres) {
        this->data_centre_records[added.name] = {true, index, who, of.origin.unix_ms};
    }
    for (const std::string& withdrawn : of.note.withdrawn.data_centres) {
        this->data_centre_records[withdrawn] = {false, index, who, of.origin.unix_ms};
    }
    return result;
}

command_result control_state::apply_one(const set_data_centre& of, std::uint64_t index)
{
    if (this->config->find_data_centre(of.data_centre) == nullptr) {
        return refused(fmt::format("data centre {} is not configured", of.data_centre));
    }
    data_centre_record& record = this->data_centre_records[of.data_centre];
    if (of.expected_order_index.has_value()) {
        if (record.in_service == of.in_service) {
            record.repeat_index = index;
            return {};
        }
        if (*of.expected_order_index != record.order_index()) {
            return refused("a later order for the data centre has been accepted");
        }
    }
    record = {of.in_service, index, of.operator_name, of.now_ms};
    return {};
}

command_result control_state::apply_one(const announce_worker& of, std::uint64_t)
{
    this->worker_records[of.worker.worker] = of.worker;
    return {};
}

command_result control_state::apply_one(const submit_job& of, std::uint64_t)
{
    const job_record* const known = this->find_job(of.job.id);
    if (known != nullptr) {
        // A repeated submission of the same job is accepted again; another job under its id is
        // refused.
        return is_same_job(*known, of.job) ? command_result()
                                           : refused("the job identity is taken by another job");
    }
    const config::service* const service = this->config->find_service(of.job.service);
    if (service == nullptr || this->config->find_client_account(of.job.account) == nullptr) {
        return refused("the service or the account is not configured");
    }
    job_record added;
    added.job = of.job;
    added.submitted_ms = of.now_ms;
    this->charge(added);
    this->job_records.emplace(of.job.id, std::move(added));
    return {};
}

command_result control_state::apply_one(const cancel_job& of, std::uint64_t)
{
    const auto found = this->job_records.find(of.id);
    if (found == this->job_records.end() || found->second.job.account != of.account) {
        return refused("no such job");
    }
    job_record& job = found->second;
    if (job.state == job_state::queued) {
        this->finish_job(job, job_state::cancelled, "cancelled by its account", of.now_ms);
    }
    else if (!is_final(job.state)) {
        job.cancel_requested = true;
    }
    return {};
}

command_result control_state::apply_one(const end_job& of, std::uint64_t)
{
    const auto found = this->job_records.find(of.id);
    if (found == this->job_records.end() || found->second.state != job_state::queued) {
        return refused("the job is not queued");
    }
    this->finish_job(found->second, of.final_state, of.reason, of.now_ms);
    return {};
}

command_result control_state::apply_one(const place_job& of, std::uint64_t)
{
    const auto found = this->job_records.find(of.id);
    if (found == this->job_records.end()) {
        return refused("no such job");
    }
    job_record& job = found->second;
    if (job.state != job_state::queued || of.epoch <= job.epoch) {
        return refused("the job is not queued, or the epoch is old");
    }
    job.state = job_state::placed;
    job.epoch = of.epoch;
    job.members = of.members;
    job.borrowed = of.borrowed;
    job.uses_guarantee = of.uses_guarantee;
    this->gang_records.place(of.id, of.epoch, of.members);
    return {};
}

command_result control_state::apply_one(const apply_gang_proposal& of, std::uint64_t)
{
    this->gang_records.apply(of.proposal);
    if (const auto* ended = std::get_if<membership::gang_ended>(&of.proposal)) {
        this->apply_gang_end(*ended, of.now_ms);
        return {};
    }
    if (const auto* released = std::get_if<membership::gang_released>(&of.proposal)) {
        const auto found = this->job_records.find(released->job);
        if (found != this->job_records.end() && found->second.epoch == released->epoch) {
            job_record& job = found->second;
            job.state = job_state::running;
            job.members = released->members;
            ++job.starts;
            job.started_ms = of.now_ms;
        }
        return {};
    }
    if (const auto* abandoned = std::get_if<membership::gang_abandoned>(&of.proposal)) {
        const auto found = this->job_records.find(abandoned->job);
        if (found != this->job_records.end() && found->second.epoch == abandoned->epoch) {
            job_record& job = found->second;
            job.state = job_state::queued;
            job.members.clear();
            if (job.cancel_requested) {
                this->finish_job(job, job_state::cancelled, "cancelled by its account", of.now_ms);
            }
        }
    }
    return {};
}

void control_state::apply_gang_end(const membership::gang_ended& ended, std::int64_t now_ms)
{
    const auto found = this->job_records.find(ended.job);
    if (found == this->job_records.end() || found->second.epoch != ended.epoch) {
        return;
    }
    job_record& job = found->second;
    job.members.clear();
    const std::string reason(membership::to_text(ended.reason));
    if (ended.reason == membership::gang_end_reason::completed) {
        this->finish_job(job, job_state::done, reason, now_ms);
    }
    else if (job.cancel_requested) {
        this->finish_job(job, job_state::cancelled, "cancelled by its account", now_ms);
    }
    else if (must_not_run_again(job)) {
        const bool any_unknown =
            std::any_of(ended.members.begin(), ended.members.end(),
                        [](const membership::gang_member_record& member) {
                            return member.outcome == membership::task_outcome::unknown;
                        });
        this->finish_job(job, any_unknown ? job_state::unknown : job_state::failed, reason, now_ms);
    }
    else {
        job.state = job_state::queued;
        job.reason = reason;
    }
}

void control_state::finish_job(job_record& job, job_state state, std::string_view reason,
                               std::int64_t now_ms)
{
    job.state = state;
    job.reason = reason;
    job.ended_ms = now_ms;
    job.members.clear();
    this->release_charge(job);
    job.parameters_hash = digest::content_hash(job.job.parameters);
    std::string().swap(job.job.parameters);
    this->ended_jobs.push_back(job.job.id);
    this->remove_oldest_ended_jobs();
}

void control_state::charge(const job_record& job)
{
    const std::uint64_t bytes = estimated_bytes(job.job);
    this->open_bytes += bytes;
    this->open_bytes_by_account[job.job.account] += bytes;
}

void control_state::release_charge(const job_record& job)
{
    const std::uint64_t bytes = estimated_bytes(job.job);
    this->open_bytes -= bytes;
    const auto of_account = this->open_bytes_by_account.find(job.job.account);
    of_account->second -= bytes;
    if (of_account->second == 0) {
        this->open_bytes_by_account.erase(of_account);
    }
}

room_usage control_state::open_job_usage() const
{
    return {[this] { return this->open_bytes; },
            [this](const std::string& account) {
                const auto found = this->open_bytes_by_account.find(account);
                return found == this->open_bytes_by_account.end() ? 0 : found->second;
            },
            [this] { return this->open_bytes_by_account.size(); }};
}

void control_state::remove_oldest_ended_jobs()
{
    if (this->ended_jobs.size() <= max_ended_jobs) {
        return;
    }
    // Removes a batch, so that the vector is not shifted each time a job ends.
    constexpr std::size_t batch = 1'000;
    const std::size_t count = std::min(batch, this->ended_jobs.size());
    for (std::size_t index = 0; index < count; ++index) {
        this->job_records.erase(this->ended_jobs[index]);
    }
    this->ended_jobs.erase(this->ended_jobs.begin(),
                           this->ended_jobs.begin() + static_cast<std::ptrdiff_t>(count));
}

command_result control_state::apply_one(const apply_claim_command& of, std::uint64_t)
{
    command_result result;
    result.claim_result = this->claim_records.apply(of.command);
    return result;
}

command_result control_state::apply_one(const record_usage& of, std::uint64_t)
{
    usage_source& source = this->usage_sources[of.source];
    if (source.incarnation == of.incarnation && of.batch <= source.batch) {
        return refused("the batch is recorded");
    }
    source = {of.incarnation, of.batch};
    for (const messages::usage_delta& delta : of.usage) {
        usage_record& account = this->usage_records[delta.account];
        account.accelerator_ms += delta.accelerator_ms;
        account.requests += delta.requests;
        account.request_ms += delta.request_ms;
    }
    return {};
}

command_result control_state::apply_one(const remove_withdrawn& of, std::uint64_t)
{
    return this->config->mark_unused(of.kind, of.key) ? command_result()
                                                      : refused("nothing of this name is ending");
}

std::uint64_t control_state::recorded_usage_batch(std::string_view source,
                                                  std::uint64_t incarnation) const
{
    const auto found = this->usage_sources.find(source);
    if (found == this->usage_sources.end() || found->second.incarnation != incarnation) {
        return 0;
    }
    return found->second.batch;
}

struct control_state::snapshot {
    std::uint32_t version = snapshot_version;
    std::string config;
    std::map<std::string, data_centre_record> data_centres;
    std::map<std::string, messages::worker_announcement> workers;
    std::vector<job_record> jobs;
    std::vector<std::string> ended_jobs;
    std::vector<membership::gang_record> gangs;
    std::string claims;
    std::map<std::string, usage_record> usage;
    std::map<std::string, usage_source> usage_sources;
    MSGPACK_DEFINE(version, config, data_centres, workers, jobs, ended_jobs, gangs, claims, usage,
                   usage_sources)
};

std::string control_state::pack_snapshot() const
{
    snapshot whole;
    whole.config = this->config->snapshot();
    whole.data_centres = this->data_centre_records;
    whole.workers = this->worker_records;
    for (const auto& [id, job] : this->job_records) {
        whole.jobs.push_back(job);
    }
    whole.ended_jobs = this->ended_jobs;
    whole.gangs = this->gang_records.records();
    whole.claims = this->claim_records.pack_snapshot();
    whole.usage = this->usage_records;
    whole.usage_sources.insert(this->usage_sources.begin(), this->usage_sources.end());
    return pack(whole);
}

absl::Status control_state::restore_snapshot(std::string_view bytes)
{
    absl::StatusOr<snapshot> whole = unpack<snapshot>(bytes);
    if (!whole.ok()) {
        return translate_error(control_errc::malformed_snapshot, whole.status());
    }
    if (whole->version != snapshot_version) {
        return make_error(control_errc::malformed_snapshot,
                          fmt::format("unsupported snapshot version {}", whole->version));
    }
    absl::StatusOr<config::configuration> restored =
        config::configuration::restore(whole->config, this->configuration_options());
    if (!restored.ok()) {
        return translate_error(control_errc::malformed_snapshot, restored.status());
    }
    request::claim_table claims;
    const absl::Status claims_restored = claims.restore_snapshot(whole->claims);
    if (!claims_restored.ok()) {
        return translate_error(control_errc::malformed_snapshot, claims_restored);
    }
    this->config = *std::move(restored);
    this->claim_records = std::move(claims);
    this->data_centre_records = std::move(whole->data_centres);
    this->worker_records = std::move(whole->workers);
    this->job_records.clear();
    this->open_bytes = 0;
    this->open_bytes_by_account.clear();
    for (job_record& job : whole->jobs) {
        std::string id = job.job.id;
        if (!is_final(job.state)) {
            this->charge(job);
        }
        this->job_records.emplace(std::move(id), std::move(job));
    }
    this->ended_jobs = std::move(whole->ended_jobs);
    this->gang_records.load(std::move(whole->gangs));
    this->usage_records = std::move(whole->usage);
    this->usage_sources.clear();
    this->usage_sources.insert(whole->usage_sources.begin(), whole->usage_sources.end());
    return absl::OkStatus();
}

} // namespace redwingwheel::control
