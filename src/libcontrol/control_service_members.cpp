#include <spdlog/spdlog.h>

#include "operator_interface.h"
#include "redwingwheel/control_service.h"
#include "redwingwheel/message_reading.h"
#include "redwingwheel/packing.h"

/// Forming or joining the replication group, and replacing a lost member of it.
namespace redwingwheel::control {

namespace {

constexpr milliseconds call_timeout{250};

} // namespace

replication::formation_answer control_service::own_formation() const
{
    return {this->settings.control.listen, this->settings.data_centre,
            this->host.replica().identity(), this->host.replica().has_state()};
}

std::string control_service::formation_reply()
{
    return pack(this->own_formation());
}

void control_service::serve_join(const wire::incoming_request& request)
{
    const std::optional<replication::member> candidate =
        wire::read_message<replication::member>(request);
    if (!candidate.has_value() || !this->host.replica().leads()) {
        return;
    }
    if (this->join_requests.record(*candidate, boot_clock::now())) {
        spdlog::info("event=join_requested address={} identity={:016x}", candidate->address,
                     candidate->id.value);
    }
}

void control_service::find_or_form_group()
{
    if (this->host.replica().has_state()) {
        return;
    }
    replication::formation_input input;
    input.self = this->own_formation();
    input.configured_addresses = this->settings.control.replicas;
    for (const auto& [address, answer] : this->formation_answers) {
        input.answers.push_back(answer);
    }
    const replication::formation_decision decision = replication::decide_formation(input);
    if (decision.action == replication::formation_action::form) {
        const absl::Status formed = this->host.replica().form_group(decision.members);
        spdlog::info("event=group_formed members={} result=\"{}\"", decision.members.size(),
                     formed.ToString());
        return;
    }
    if (decision.action == replication::formation_action::join) {
        this->request_join();
    }
    for (const std::string& address : this->settings.control.replicas) {
        if (address != this->settings.control.listen) {
            this->request_formation(address);
        }
    }
}

void control_service::request_formation(const std::string& address)
{
    const steady_time deadline = boot_clock::now() + call_timeout;
    this->host.client_for(address).call(
        static_cast<std::uint16_t>(messages::kind::formation), "", deadline,
        [this, address](absl::StatusOr<std::string> body) {
            if (!body.ok()) {
                return;
            }
            const absl::StatusOr<replication::formation_answer> answer =
                unpack<replication::formation_answer>(*body);
            if (answer.ok()) {
                this->loop.post([this, address, answer = *answer] {
                    this->formation_answers[address] = answer;
                });
            }
        });
}

void control_service::request_join()
{
    const replication::member self{this->host.replica().identity(), this->settings.control.listen,
                                   this->settings.data_centre, false};
    const steady_time deadline = boot_clock::now() + call_timeout;
    for (const std::string& address : this->settings.control.replicas) {
        if (address != this->settings.control.listen) {
            this->host.client_for(address).call(static_cast<std::uint16_t>(messages::kind::join),
                                                pack(self), deadline,
                                                [](const absl::StatusOr<std::string>&) {});
        }
    }
}

void control_service::advance_replacement()
{
    if (!this->host.replica().leads()) {
        return;
    }
    const replication::replica_status status = this->host.replica().status();
    this->join_requests.prune(status, cluster::member_change_options(), boot_clock::now());
    // A member no longer asks to join, so that the list of members also counts.
    std::vector<replication::member> joiners;
    for (const replication::member_status& each : status.members) {
        joiners.push_back(each.member_entry);
    }
    for (const cluster::join_request& request : this->join_requests.requests()) {
        joiners.push_back(request.candidate);
    }
    for (const replication::member& joiner : joiners) {
        const replication::replacement_step step = replication::plan_replacement(status, joiner);
        if (step.action != replication::replacement_action::none &&
            step.action != replication::replacement_action::wait) {
            this->start_replacement_step(step);
            return;
        }
    }
}

void control_service::start_replacement_step(const replication::replacement_step& step)
{
    const replication::replica::status_callback report = [address = step.subject.address](
                                                             const absl::Status& result) {
        spdlog::info("event=member_changed address={} result=\"{}\"", address, result.ToString());
    };
    switch (step.action) {
    case replication::replacement_action::add_learner:
        this->host.replica().add_learner(step.subject, report);
        return;
    case replication::replacement_action::promote:
        this->host.replica().promote(step.subject.id, report);
        return;
    case replication::replacement_action::remove:
        this->host.replica().remove(step.subject.id, report);
        return;
    case replication::replacement_action::none:
    case replication::replacement_action::wait:
        return;
    }
}

} // namespace redwingwheel::control
