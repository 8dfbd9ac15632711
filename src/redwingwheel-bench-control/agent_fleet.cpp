#include "agent_fleet.h"

#include <algorithm>
#include <future>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "redwingwheel/packing.h"

namespace redwingwheel::control::bench {

namespace {

// As in the agent service.
constexpr milliseconds poll_period{500};
constexpr double poll_jitter = 0.2;
constexpr milliseconds retry_pause{100};
constexpr milliseconds poll_patience{900};

constexpr std::size_t data_centre_count = 3;
constexpr std::size_t workers_per_rack = 3;
constexpr std::uint32_t accelerators = 8;

} // namespace

messages::worker_announcement announcement_of(std::size_t index)
{
    messages::worker_announcement made;
    made.worker = fmt::format("w{}", index + 1);
    made.data_centre = fmt::format("dc{}", index % data_centre_count + 1);
    made.rack = fmt::format("r{}", index / data_centre_count / workers_per_rack);
    made.address = fmt::format("127.0.0.1:{}", 30000 + index);
    made.accelerators = accelerators;
    made.accelerators_per_group = 4;
    made.cores = 32;
    made.memory_mb = 65536;
    made.slots = 8;
    made.connections = 64;
    return made;
}

struct agent_fleet::agent {
    agent(kernel::traffic_loop& traffic, const wire::address& control, std::size_t index)
        : announcement(announcement_of(index)), timer(traffic.context()),
          client(traffic, control, bench_secret, wire::rpc_options())
    {
    }

    messages::worker_announcement announcement;
    redwingwheel::boot_timer timer;
    wire::rpc_client client;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    bool announce = true;
    bool permitted = false;
    steady_time answered_at;
    std::map<membership::task_key, membership::member_report> tasks;
};

agent_fleet::agent_fleet(const wire::address& control, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        this->agents.push_back(std::make_unique<agent>(this->traffic, control, index));
        this->agents.back()->incarnation = this->random();
    }
}

agent_fleet::~agent_fleet()
{
    this->traffic.stop();
}

void agent_fleet::start()
{
    for (const std::unique_ptr<agent>& each : this->agents) {
        this->poll_after(
            *each, milliseconds(this->random() % static_cast<std::uint64_t>(poll_period.count())));
    }
    this->traffic.start();
}

void agent_fleet::poll(agent& of)
{
    messages::agent_poll message;
    message.worker = of.announcement.worker;
    message.incarnation = of.incarnation;
    message.sequence = ++of.sequence;
    message.revision = of.revision;
    message.load.slots = of.announcement.slots;
    message.load.held_slots = static_cast<std::uint32_t>(of.tasks.size());
    for (const auto& [key, report] : of.tasks) {
        message.reports.push_back(report);
    }
    if (of.announce) {
        message.announcement.push_back(of.announcement);
    }
    of.client.call(
        static_cast<std::uint16_t>(messages::kind::agent_poll), pack(message),
        boot_clock::now() + poll_patience,
        [this, &of](const absl::StatusOr<std::string>& body) { this->on_answer(of, body); });
}

void agent_fleet::on_answer(agent& of, const absl::StatusOr<std::string>& body)
{
    const absl::StatusOr<messages::control_reply> reply =
        body.ok() ? unpack<messages::control_reply>(*body)
                  : absl::StatusOr<messages::control_reply>(body.status());
    if (!reply.ok() || reply->result != messages::control_reply::result_kind::served) {
        ++this->failed;
        this->poll_after(of, retry_pause);
        return;
    }
    const absl::StatusOr<messages::agent_poll_answer> answer =
        unpack<messages::agent_poll_answer>(reply->body);
    if (!answer.ok()) {
        ++this->failed;
        this->poll_after(of, retry_pause);
        return;
    }
    ++this->answered;
    of.answered_at = boot_clock::now();
    of.announce = answer->want_announcement;
    of.permitted = of.permitted || !answer->granted.data_centre.empty();
    bool again = false;
    for (const config::catch_up& each : answer->catch_up) {
        of.revision = each.revision;
        again = true;
    }
    for (const membership::gang_command& command : answer->commands) {
        again = this->carry_out(of, command) || again;
    }
    if (again) {
        this->poll(of);
        return;
    }
    this->poll_after(of, of.announce ? retry_pause : this->jittered_period());
}

bool agent_fleet::carry_out(agent& of, const membership::gang_command& command)
{
    using membership::gang_command_kind;
    using membership::member_report_kind;
    if (command.kind == gang_command_kind::acknowledge) {
        of.tasks.erase(command.task);
        return false;
    }
    membership::member_report& report = of.tasks[command.task];
    const member_report_kind before = report.kind;
    const bool fresh = report.task.job.empty();
    report.task = command.task;
    if (command.kind == gang_command_kind::reserve) {
        report.kind = fresh ? member_report_kind::reserved_ready : before;
    }
    else if (command.kind == gang_command_kind::release) {
        report.kind = member_report_kind::running;
    }
    else if (command.kind == gang_command_kind::stop) {
        report.kind = member_report_kind::ended;
        report.outcome = before == member_report_kind::running ? membership::task_outcome::failed
                                                               : membership::task_outcome::not_run;
    }
    return fresh || report.kind != before;
}

void agent_fleet::poll_after(agent& of, milliseconds wait)
{
    of.timer.expires_after(wait);
    of.timer.async_wait([this, &of](const boost::system::error_code& error) {
        if (!error) {
            this->poll(of);
        }
    });
}

milliseconds agent_fleet::jittered_period()
{
    std::uniform_real_distribution<double> share(1.0 - poll_jitter, 1.0 + poll_jitter);
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(poll_period.count()) * share(this->random)));
}

agent_fleet::progress agent_fleet::read()
{
    std::promise<progress> result;
    boost::asio::post(this->traffic.context(), [this, &result] {
        progress now;
        now.polls_answered = this->answered;
        now.polls_failed = this->failed;
        now.lowest_revision = this->agents.front()->revision;
        now.oldest_answer = this->agents.front()->answered_at;
        for (const std::unique_ptr<agent>& each : this->agents) {
            now.permitted += each->permitted ? 1 : 0;
            now.lowest_revision = std::min(now.lowest_revision, each->revision);
            now.oldest_answer = std::min(now.oldest_answer, each->answered_at);
            for (const auto& [key, report] : each->tasks) {
                now.tasks_running += report.kind == membership::member_report_kind::running ? 1 : 0;
            }
        }
        result.set_value(now);
    });
    return result.get_future().get();
}

} // namespace redwingwheel::control::bench
