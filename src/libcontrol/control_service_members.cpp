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
    for (const replication::member& known : this->join_candidates) {
        if (known.id == candidate->id) {
            return;
        }
    }
    spdlog::info("event=join_requested address={} identity={:016x}", candidate->address,
                 candidate->id.value);
    this->join_candidates.push_back(*candidate);
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
    if (this->join_candidates.empty() || !this->host.replica().leads()) {
        return;
    }
    const replication::member candidate = this->join_candidates.front();
    const replication::replica_status status = this->host.replica().status();
    bool caught_up = false;
    for (const replication::member_status& each : status.members) {
        if (each.member_entry.id == candidate.id) {
            caught_up = each.caught_up;
        }
    }
    const replication::replacement_step step =
        replication::plan_replacement(this->host.replica().members(), candidate, caught_up);
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
        this->join_candidates.erase(this->join_candidates.begin());
        return;
    case replication::replacement_action::wait:
        return;
    }
}

} // namespace redwingwheel::control
