#include <spdlog/spdlog.h>

#include "operator_interface.h"
#include "redwingwheel/control_service.h"
#include "redwingwheel/message_reading.h"
#include "redwingwheel/packing.h"

/// How a control replica finds its group, and how the leader replaces a lost member.
namespace redwingwheel::control {

namespace {

constexpr milliseconds answer_patience{250};

} // namespace

replication::formation_answer control_service::own_formation() const
{
    return {this->settings.control.listen, this->settings.data_centre,
            this->member.replica().identity(), this->member.replica().has_state()};
}

std::string control_service::formation_reply()
{
    return pack(this->own_formation());
}

void control_service::serve_join(const wire::incoming_request& request)
{
    const std::optional<replication::member> joiner =
        wire::read_message<replication::member>(request);
    if (!joiner.has_value() || !this->member.replica().leads()) {
        return;
    }
    for (const replication::member& known : this->joiners) {
        if (known.id == joiner->id) {
            return;
        }
    }
    spdlog::info("event=replica_wants_to_join address={} identity={:016x}", joiner->address,
                 joiner->id.value);
    this->joiners.push_back(*joiner);
}

void control_service::seek_group()
{
    if (this->member.replica().has_state()) {
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
        const absl::Status formed = this->member.replica().form_group(decision.members);
        spdlog::info("event=group_formed members={} result=\"{}\"", decision.members.size(),
                     formed.ToString());
        return;
    }
    if (decision.action == replication::formation_action::join) {
        this->ask_to_join();
    }
    for (const std::string& address : this->settings.control.replicas) {
        if (address != this->settings.control.listen) {
            this->ask_formation(address);
        }
    }
}

void control_service::ask_formation(const std::string& address)
{
    const steady_time deadline = boot_clock::now() + answer_patience;
    this->member.client_for(address).call(
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

void control_service::ask_to_join()
{
    const replication::member self{this->member.replica().identity(), this->settings.control.listen,
                                   this->settings.data_centre, false};
    const steady_time deadline = boot_clock::now() + answer_patience;
    for (const std::string& address : this->settings.control.replicas) {
        if (address != this->settings.control.listen) {
            this->member.client_for(address).call(static_cast<std::uint16_t>(messages::kind::join),
                                                  pack(self), deadline,
                                                  [](const absl::StatusOr<std::string>&) {});
        }
    }
}

void control_service::advance_replacement()
{
    if (this->joiners.empty() || !this->member.replica().leads()) {
        return;
    }
    const replication::member joiner = this->joiners.front();
    const replication::replica_status status = this->member.replica().status();
    bool caught_up = false;
    for (const replication::member_status& each : status.members) {
        if (each.member_entry.id == joiner.id) {
            caught_up = each.caught_up;
        }
    }
    const replication::replacement_step step =
        replication::plan_replacement(this->member.replica().members(), joiner, caught_up);
    const replication::replica::status_callback report = [address = step.subject.address](
                                                             const absl::Status& result) {
        spdlog::info("event=member_changed address={} result=\"{}\"", address, result.ToString());
    };
    switch (step.action) {
    case replication::replacement_action::add_learner:
        this->member.replica().add_learner(step.subject, report);
        return;
    case replication::replacement_action::promote:
        this->member.replica().promote(step.subject.id, report);
        return;
    case replication::replacement_action::remove:
        this->member.replica().remove(step.subject.id, report);
        return;
    case replication::replacement_action::none:
        this->joiners.erase(this->joiners.begin());
        return;
    case replication::replacement_action::wait:
        return;
    }
}

} // namespace redwingwheel::control
