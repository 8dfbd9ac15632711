#include "redwingwheel/job_state.h"

#include <algorithm>

#include "redwingwheel/packing.h"

namespace redwingwheel::jobs {

namespace {

/// Steps of an ended job that are kept.
constexpr std::size_t max_steps_of_ended_job = 16;

/// A task is seldom released so often before a worker that was lost with one of its runs is back.
constexpr std::ptrdiff_t max_released_runs_of_task = 16;

occurrence_record make_occurrence(const job_definition& definition, std::int64_t due_unix_ms)
{
    occurrence_record occurrence;
    occurrence.due_unix_ms = due_unix_ms;
    occurrence.steps.reserve(definition.steps.size());
    for (const step_definition& step : definition.steps) {
        step_record record;
        record.tasks = task_table(step.tasks);
        occurrence.steps.push_back(std::move(record));
    }
    return occurrence;
}

bool all_tasks_done(const occurrence_record& occurrence)
{
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](const step_record& step) { return step.done == step.tasks.size(); });
}

/// True when no task of the occurrence is assigned to a worker.
bool has_no_assigned_task(const occurrence_record& occurrence)
{
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](const step_record& step) { return step.assigned == 0; });
}

} // namespace

bool is_well_formed(const job_definition& definition)
{
    std::int64_t tasks = 0;
    for (std::size_t step = 0; step < definition.steps.size(); ++step) {
        const step_definition& each = definition.steps[step];
        const bool depends_on_earlier_steps =
            std::all_of(each.depends_on.begin(), each.depends_on.end(),
                        [step](std::uint32_t earlier) { return earlier < step; });
        const resources& need = each.per_task;
        tasks += each.tasks;
        if (tasks > max_tasks_of_occurrence) {
            return false;
        }
        if (each.tasks == 0 || !depends_on_earlier_steps || need.cpu_millis < 0 ||
            need.memory_mb < 0 || need.accelerators < 0) {
            return false;
        }
    }
    const std::int64_t occurrences = std::max<std::int64_t>(1, definition.occurrences);
    return !definition.steps.empty() && tasks * occurrences <= max_tasks_of_job;
}

bool is_ready(const job_definition& definition, const occurrence_record& occurrence,
              std::uint32_t step)
{
    const std::vector<std::uint32_t>& dependencies = definition.steps[step].depends_on;
    return std::all_of(
        dependencies.begin(), dependencies.end(), [&occurrence](std::uint32_t earlier) {
            return occurrence.steps[earlier].done == occurrence.steps[earlier].tasks.size();
        });
}

command_result job_state::apply(const job_command& command)
{
    return std::visit([this](const auto& each) { return this->apply_command(each); }, command);
}

command_result job_state::apply_command(const install_configuration& command)
{
    const job_configuration& installed = this->replicated.configuration;
    if (command.configuration.version == installed.version &&
        command.configuration.document != installed.document) {
        return command_result::conflicting_version;
    }
    if (command.configuration.version > installed.version) {
        this->replicated.configuration = command.configuration;
    }
    return command_result::accepted;
}

command_result job_state::apply_command(const set_evacuation& command)
{
    if (command.expected_revision.has_value()) {
        const bool changes_state =
            this->replicated.evacuated.contains(command.data_centre) != command.evacuated;
        if (changes_state &&
            *command.expected_revision != this->evacuation_revision(command.data_centre)) {
            return command_result::stale;
        }
        ++this->replicated.evacuation_revisions[command.data_centre];
    }
    if (command.evacuated) {
        this->replicated.evacuated.insert(command.data_centre);
    }
    else {
        this->replicated.evacuated.erase(command.data_centre);
    }
    return command_result::accepted;
}

command_result job_state::apply_command(const submit_job& command)
{
    if (this->replicated.jobs.contains(command.id)) {
        return command_result::accepted;
    }
    if (!is_well_formed(command.definition)) {
        return command_result::invalid_job;
    }
    const queue_definition* const queue = this->find_queue(command.host, command.path);
    if (queue == nullptr) {
        return this->replicated.configuration.version == 0 ? command_result::no_configuration
                                                           : command_result::unknown_queue;
    }
    const account_definition* const account = this->find_account(command.key);
    if (account == nullptr && !queue->public_access) {
        return command_result::unknown_key;
    }
    if (this->is_withdrawn(account == nullptr ? "" : account->name, command.id)) {
        return command_result::withdrawn_job;
    }
    job_record job;
    job.queue = queue->name;
    job.service = queue->service;
    job.account = account == nullptr ? "" : account->name;
    job.priority = queue->priority;
    job.max_attempts = std::max<std::uint32_t>(1, queue->max_attempts);
    job.stretch = queue->stretch;
    job.latency_target_ms = queue->latency_target_ms;
    job.definition = command.definition;
    job.submitted_unix_ms = command.now_unix_ms;
    job.max_unstarted_occurrences = command.max_unstarted_occurrences;
    this->begin_occurrences(job, command.now_unix_ms);
    this->charge(this->replicated.jobs.emplace(command.id, std::move(job)).first->second);
    return command_result::accepted;
}

command_result job_state::apply_command(const cancel_job& command)
{
    const auto found = this->replicated.jobs.find(command.id);
    if (found == this->replicated.jobs.end()) {
        return this->withdraw(command);
    }
    job_record& job = found->second;
    if (!job.ended()) {
        job.status = job_status::cancelled;
        job.ended_unix_ms = command.now_unix_ms;
        this->release_ended(job);
    }
    return command_result::accepted;
}

command_result job_state::withdraw(const cancel_job& command)
{
    std::map<std::string, std::int64_t>& ids = this->replicated.withdrawn_ids[command.account];
    if (!ids.contains(command.id) && ids.size() >= max_withdrawn_ids) {
        return command_result::too_many_withdrawn;
    }
    ids[command.id] = command.now_unix_ms;
    return command_result::unknown_job;
}

bool job_state::is_withdrawn(const std::string& account, const std::string& id) const
{
    const auto found = this->replicated.withdrawn_ids.find(account);
    return found != this->replicated.withdrawn_ids.end() && found->second.contains(id);
}

bool job_state::can_assign(const assignment& each) const
{
    const job_record* const job = this->find(each.run.task.job);
    const task_record* const task = this->find(each.run.task);
    return job != nullptr && !job->ended() && task != nullptr &&
           task->phase == task_phase::waiting && each.run.number > task->last_run &&
           !has_crashed_too_often(job->definition.steps[each.run.task.step], *task) &&
           is_ready(job->definition, job->open_occurrences.at(each.run.task.occurrence),
                    each.run.task.step);
}

command_result job_state::apply_command(const assign_runs& command)
{
    const bool possible =
        std::all_of(command.runs.begin(), command.runs.end(),
                    [this](const assignment& each) { return this->can_assign(each); });
    if (!possible) {
        return command_result::stale;
    }
    for (const assignment& each : command.runs) {
        const task_id& id = each.run.task;
        job_record& job = this->replicated.jobs.at(id.job);
        step_record& step = job.open_occurrences.at(id.occurrence).steps[id.step];
        task_record& task = step.tasks.open(id.index);
        task.phase = task_phase::assigned;
        task.last_run = each.run.number;
        task.worker = each.worker;
        ++step.assigned;
        job.status = job_status::running;
        this->runs_by_worker[each.worker].insert(each.run);
    }
    // All runs of a command are of one step.
    if (!command.runs.empty()) {
        this->charge(this->replicated.jobs.at(command.runs.front().run.task.job));
    }
    return command_result::accepted;
}

command_result job_state::apply_command(const record_ended_runs& command)
{
    std::uint64_t& recorded = this->replicated.last_recorded_ends[command.worker];
    for (std::size_t each = 0; each < command.ended_runs.size(); ++each) {
        const ended_run& end = command.ended_runs[each];
        if (end.number <= recorded) {
            continue;
        }
        recorded = end.number;
        if (this->is_superseded(end)) {
            this->replicated.last_superseded_ends[command.worker] = end.number;
        }
        if (each < command.run_times_ms.size()) {
            this->learn_run_time(end, command.run_times_ms[each]);
        }
        this->record_end(end, command);
        const auto job = this->replicated.jobs.find(end.run.task.job);
        if (job != this->replicated.jobs.end()) {
            job->second.released_runs.erase(end.run);
            this->charge(job->second);
        }
    }
    return command_result::accepted;
}

command_result job_state::apply_command(const release_runs& command)
{
    for (const released_run& each : command.runs) {
        const task_id& id = each.run.task;
        const task_record* const known = this->find(id);
        if (known == nullptr || known->phase != task_phase::assigned ||
            known->last_run != each.run.number) {
            continue;
        }
        job_record& job = this->replicated.jobs.at(id.job);
        remember_released(job, each.run);
        step_record& step = job.open_occurrences.at(id.occurrence).steps[id.step];
        store_checkpoint(job.definition.steps[id.step], step, each.run, each.checkpoint, false);
        this->unassign(each.run, step.tasks.open(id.index), step);
        this->close_ended_occurrences(job, id.occurrence, command.now_unix_ms);
        this->charge(job);
    }
    return command_result::accepted;
}

command_result job_state::apply_command(const advance_time& command)
{
    for (auto each = this->replicated.jobs.begin(); each != this->replicated.jobs.end();) {
        job_record& job = each->second;
        this->begin_occurrences(job, command.now_unix_ms);
        const bool is_forgotten = job.ended() && job.open_occurrences.empty() &&
                                  job.ended_unix_ms < command.forget_ended_before_unix_ms;
        if (is_forgotten) {
            this->set_charge(job, 0);
            each = this->replicated.jobs.erase(each);
        }
        else {
            ++each;
        }
    }
    for (auto& [account, ids] : this->replicated.withdrawn_ids) {
        std::erase_if(ids, [&command](const auto& entry) {
            return entry.second < command.forget_ended_before_unix_ms;
        });
    }
    std::erase_if(this->replicated.withdrawn_ids,
                  [](const auto& entry) { return entry.second.empty(); });
    return command_result::accepted;
}

void job_state::remember_released(job_record& job, const run_id& run)
{
    if (job.definition.steps[run.task.step].long_running) {
        return;
    }
    job.released_runs.insert(run);
    const auto first = job.released_runs.lower_bound({run.task, 0});
    const auto last = job.released_runs.upper_bound(run);
    if (std::distance(first, last) > max_released_runs_of_task) {
        job.released_runs.erase(first);
    }
}

/// Only ends as done or failed matter: a task must not be started again after the one, and only so
/// often after the other. Long-running tasks have neither limit. A task whose occurrence is open
/// has been started again if the run is not its last one. In a closed occurrence the members of a
/// gang list their ends after the first one has counted, so that only released runs are superseded.
/// Of a forgotten job nothing is known.
bool job_state::is_superseded(const ended_run& end) const
{
    if (end.outcome != run_outcome::done && end.outcome != run_outcome::failed) {
        return false;
    }
    const job_record* const job = this->find(end.run.task.job);
    if (job == nullptr) {
        return true;
    }
    const std::vector<step_definition>& steps = job->definition.steps;
    if (end.run.task.step < steps.size() && steps[end.run.task.step].long_running) {
        return false;
    }
    const task_record* const task = this->find(end.run.task);
    return task != nullptr ? task->last_run > end.run.number : job->released_runs.contains(end.run);
}

void job_state::record_end(const ended_run& end, const record_ended_runs& command)
{
    const task_id& id = end.run.task;
    const task_record* const known = this->find(id);
    if (known == nullptr || known->last_run != end.run.number || known->phase == task_phase::done) {
        return;
    }
    job_record& job = this->replicated.jobs.at(id.job);
    step_record& step = job.open_occurrences.at(id.occurrence).steps[id.step];
    this->mark_sound(end.run);
    if (step.tasks[id.index].phase == task_phase::assigned) {
        this->unassign(end.run, step.tasks.open(id.index), step);
    }
    store_checkpoint(job.definition.steps[id.step], step, end.run, end.checkpoint,
                     end.outcome == run_outcome::stopped);
    const step_definition& definition = job.definition.steps[id.step];
    const bool is_restarted = definition.long_running && command.restart_long_running;
    if (end.outcome == run_outcome::done && !is_restarted) {
        this->mark_tasks_done(definition, step, id);
    }
    if (end.outcome == run_outcome::failed) {
        this->count_failure(job, end, command.now_unix_ms);
    }
    this->close_ended_occurrences(job, id.occurrence, command.now_unix_ms);
}

/// Stores the checkpoint of a run. All members of a gang resume from the same checkpoint, which any
/// of them may have saved. The one that a member saves when it is stopped takes precedence over
/// those that other members of the run saved earlier.
void job_state::store_checkpoint(const step_definition& definition, step_record& step,
                                 const run_id& run, const std::string& checkpoint, bool from_stop)
{
    if (checkpoint.empty()) {
        return;
    }
    if (!definition.gang) {
        step.tasks.open(run.task.index).checkpoint = checkpoint;
        return;
    }
    if (step.checkpoint_run == run.number && step.checkpoint_from_stop && !from_stop) {
        return;
    }
    step.checkpoint_run = run.number;
    step.checkpoint_from_stop = from_stop;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].phase != task_phase::done) {
            step.tasks.open(index).checkpoint = checkpoint;
        }
    }
}

/// Marks the task as done; in a gang all tasks, since its members are done together.
void job_state::mark_tasks_done(const step_definition& definition, step_record& step,
                                const task_id& ended)
{
    const std::uint32_t first = definition.gang ? 0 : ended.index;
    const std::uint32_t end = definition.gang ? step.tasks.size() : ended.index + 1;
    task_id id = ended;
    for (id.index = first; id.index < end; ++id.index) {
        if (step.tasks[id.index].phase == task_phase::done) {
            continue;
        }
        if (step.tasks[id.index].phase == task_phase::assigned) {
            task_record& task = step.tasks.open(id.index);
            this->unassign({id, task.last_run}, task, step);
        }
        step.tasks.mark_done(id.index);
        ++step.done;
    }
}

void job_state::count_failure(job_record& job, const ended_run& end, std::int64_t now_unix_ms)
{
    const task_id& id = end.run.task;
    const step_definition& definition = job.definition.steps[id.step];
    step_record& step = job.open_occurrences.at(id.occurrence).steps[id.step];
    std::uint32_t failures = ++step.tasks.open(id.index).failures;
    if (definition.gang) {
        if (step.last_failed_run != end.run.number) {
            step.last_failed_run = end.run.number;
            ++step.gang_failures;
        }
        failures = step.gang_failures;
    }
    if (failures >= job.max_attempts && !definition.long_running && !job.ended()) {
        job.status = job_status::failed;
        job.ended_unix_ms = now_unix_ms;
    }
}

void job_state::unassign(const run_id& run, task_record& task, step_record& step)
{
    task.phase = task_phase::waiting;
    --step.assigned;
    const auto found = this->runs_by_worker.find(task.worker);
    if (found != this->runs_by_worker.end()) {
        found->second.erase(run);
        if (found->second.empty()) {
            this->runs_by_worker.erase(found);
        }
    }
}

/// Closes an occurrence of which all tasks are done, and completes the job with its last
/// occurrence. Occurrences of an ended job stay open until their last run has ended.
void job_state::close_ended_occurrences(job_record& job, std::uint32_t occurrence,
                                        std::int64_t now_unix_ms)
{
    const auto found = job.open_occurrences.find(occurrence);
    if (found != job.open_occurrences.end() && all_tasks_done(found->second)) {
        job.open_occurrences.erase(found);
    }
    if (!job.ended() && job.open_occurrences.empty() &&
        job.begun_occurrences == job.occurrence_count()) {
        job.status = job_status::completed;
        job.ended_unix_ms = now_unix_ms;
    }
    if (job.ended()) {
        this->release_ended(job);
    }
}

void job_state::release_ended(job_record& job)
{
    std::erase_if(job.open_occurrences,
                  [](const auto& entry) { return has_no_assigned_task(entry.second); });
    if (job.open_occurrences.empty()) {
        std::string().swap(job.definition.payload);
        // Workers may list runs of the job for a moment, whose resources count until then.
        if (job.definition.steps.size() > max_steps_of_ended_job) {
            std::vector<step_definition>().swap(job.definition.steps);
        }
    }
    this->charge(job);
}

void job_state::begin_occurrences(job_record& job, std::int64_t now_unix_ms)
{
    while (!job.ended() && can_begin_occurrence(job) &&
           due_unix_ms(job, job.begun_occurrences) <= now_unix_ms) {
        job.open_occurrences.emplace(
            job.begun_occurrences,
            make_occurrence(job.definition, due_unix_ms(job, job.begun_occurrences)));
        ++job.begun_occurrences;
    }
}

void job_state::rebuild_derived()
{
    this->runs_by_worker.clear();
    this->total_charge = 0;
    this->charges_by_owner.clear();
    this->pending_by_queue.clear();
    for (auto& [name, job] : this->replicated.jobs) {
        job.charged_bytes = 0;
        job.counts_as_pending = false;
        this->charge(job);
        for (const auto& [number, occurrence] : job.open_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                for (const auto& [index, task] : occurrence.steps[step].tasks.started()) {
                    if (task.phase == task_phase::assigned) {
                        this->runs_by_worker[task.worker].insert(
                            {{name, number, step, index}, task.last_run});
                    }
                }
            }
        }
    }
}

void job_map::msgpack_unpack(const msgpack::object& object)
{
    if (object.type != msgpack::type::MAP) {
        throw msgpack::type_error();
    }
    this->clear();
    for (std::uint32_t each = 0; each < object.via.map.size; ++each) {
        const msgpack::object_kv& entry = object.via.map.ptr[each];
        job_record& job = (*this)[entry.key.as<std::string>()];
        if (entry.val.type != msgpack::type::BIN) {
            entry.val.convert(job);
            continue;
        }
        absl::StatusOr<job_record> read =
            unpack<job_record>({entry.val.via.bin.ptr, entry.val.via.bin.size});
        if (!read.ok()) {
            throw msgpack::type_error();
        }
        job = *std::move(read);
    }
}

std::string job_state::pack_snapshot() const
{
    std::string bytes;
    // The packed jobs are smaller than what they are charged for.
    bytes.reserve(this->total_charge + 2 * this->replicated.configuration.document.size());
    string_stream stream(bytes);
    msgpack::pack(stream, this->replicated);
    return bytes;
}

absl::Status job_state::restore_snapshot(std::string_view bytes)
{
    absl::StatusOr<replicated_data> read = unpack<replicated_data>(bytes);
    if (!read.ok()) {
        return read.status();
    }
    this->replicated = *std::move(read);
    this->rebuild_derived();
    return absl::OkStatus();
}

} // namespace redwingwheel::jobs
