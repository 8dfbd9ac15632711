#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "overlap_simulation.h"

/// The leader, the replicated log and the jobs of the simulation.
namespace redwingwheel::jobs::testing {

namespace {

constexpr milliseconds leader_tick{25};
constexpr milliseconds submission_retry{200};

} // namespace

// --- leader -------------------------------------------------------------------------------------

void overlap_simulation::begin_term()
{
    this->term += 1 + this->random.index(2);
    spdlog::info("sim: leader of term {} begins", this->term);
    leader_hooks hooks;
    hooks.propose = [this](const job_command& command,
                           std::function<void(absl::StatusOr<command_result>)> done) {
        this->propose(command, std::move(done));
    };
    hooks.leads = [this] { return this->leader_has_majority; };
    hooks.unix_ms = [this] { return this->unix_ms(); };
    this->leader = std::make_unique<leader_model>(scheduler_options(), this->events.function(),
                                                  std::move(hooks), this->term, this->committed);
    this->leader_has_majority = true;
}

/// Of the commands that are not committed yet, the next leader may have received the first ones.
void overlap_simulation::end_term()
{
    spdlog::info("sim: leader of term {} ends", this->term);
    std::size_t kept = this->random.index(this->log.size() + 1);
    for (const proposal& each : this->log) {
        if (kept > 0) {
            --kept;
            this->committed.apply(each.command);
        }
    }
    std::deque<proposal> unanswered;
    unanswered.swap(this->log);
    for (const proposal& each : unanswered) {
        each.done(absl::AbortedError("leadership has changed"));
    }
    if (this->random.chance(0.5)) {
        this->leader->abandon();
    }
    this->leader.reset();
    this->leader_has_majority = false;
}

void overlap_simulation::tick_leader()
{
    if (this->leader != nullptr) {
        this->leader->tick();
    }
    this->events.run_after(leader_tick, [this] { this->tick_leader(); });
}

void overlap_simulation::propose(const job_command& command,
                                 std::function<void(absl::StatusOr<command_result>)> done)
{
    this->log.push_back({command, std::move(done)});
    const std::chrono::microseconds delay =
        this->random.between(milliseconds(1), milliseconds(1) + this->commit_delay);
    this->last_commit_at = std::max(this->last_commit_at, this->events.now() + delay);
    this->events.run_at(this->last_commit_at,
                        [this, proposed_in = this->term] { this->commit_next(proposed_in); });
}

void overlap_simulation::commit_next(std::uint64_t proposed_in)
{
    if (this->leader == nullptr || proposed_in != this->term) {
        return;
    }
    if (!this->leader_has_majority) {
        this->events.run_after(milliseconds(10),
                               [this, proposed_in] { this->commit_next(proposed_in); });
        return;
    }
    const proposal next = std::move(this->log.front());
    this->log.pop_front();
    this->committed.apply(next.command);
    next.done(this->leader->apply(next.command));
}

// --- jobs ---------------------------------------------------------------------------------------

/// Proposes the command until it is committed.
void overlap_simulation::change_job(const job_command& command)
{
    const auto retry = [this, command] {
        this->events.run_after(submission_retry, [this, command] { this->change_job(command); });
    };
    if (this->leader == nullptr || !this->leader_has_majority) {
        retry();
        return;
    }
    this->propose(command, [retry](const absl::StatusOr<command_result>& committed_as) {
        if (!committed_as.ok()) {
            retry();
        }
    });
}

job_definition overlap_simulation::make_definition(std::string& queue)
{
    constexpr std::int64_t cpu_unit = 500;
    queue = "batch";
    task_model task;
    task.work_ms = 200 + static_cast<std::int64_t>(this->random.index(6000));
    task.per_task.cpu_millis = cpu_unit * static_cast<std::int64_t>(1 + this->random.index(4));
    task.per_task.memory_mb = 100;
    step_definition step;
    step.tasks = 1 + static_cast<std::uint32_t>(this->random.index(4));
    std::size_t steps = 1;
    const std::uint64_t kind = this->random.index(10);
    if (kind < 3) {
        step.tasks = 2 + static_cast<std::uint32_t>(this->random.index(2));
        step.gang = true;
        task.gang_size = step.tasks;
    }
    else if (kind == 3) {
        step.tasks = 1;
        task.work_ms += 12'000;
    }
    else if (kind == 4) {
        queue = "urgent";
        task.per_task.accelerators = 2;
    }
    else if (kind == 5) {
        task.work_ms /= 2;
        steps = 2;
    }
    step.per_task = task.per_task;
    step.estimate_ms = task.work_ms;
    job_definition made;
    made.payload = task.to_payload();
    made.steps.assign(steps, step);
    if (steps > 1) {
        made.steps.back().depends_on = {0};
    }
    return made;
}

void overlap_simulation::submit_jobs()
{
    if (this->quiet()) {
        return;
    }
    std::string queue;
    submit_job command;
    command.definition = this->make_definition(queue);
    command.id = fmt::format("{:016x}", ++this->last_job);
    command.host = "h";
    command.path = "/" + queue + "/" + command.id;
    command.key = "key";
    command.now_unix_ms = this->unix_ms();
    this->change_job(command);
    if (this->random.chance(0.1)) {
        this->events.run_after(this->random.between(milliseconds(0), milliseconds(5000)),
                               [this, id = command.id] {
                                   this->change_job(cancel_job{id, this->unix_ms()});
                               });
    }
    this->events.run_after(this->random.between(milliseconds(200), milliseconds(1500)),
                           [this] { this->submit_jobs(); });
}

} // namespace redwingwheel::jobs::testing
