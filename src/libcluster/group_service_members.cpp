#include <algorithm>

#include <spdlog/spdlog.h>

#include "redwingwheel/group_service.h"
#include "redwingwheel/messages.h"
#include "redwingwheel/packing.h"

/// Discovery of processes, formation of the group and changes of its member list.
namespace redwingwheel::cluster {

namespace {

constexpr milliseconds call_timeout{1000};
/// The group is formed only when no new process has been discovered for this long.
constexpr milliseconds candidate_settle_time{600};
/// Each seed waits this much longer than the one before it in the list, and then forms the group if
/// the earlier ones have not.
constexpr milliseconds seed_takeover_delay{3000};

} // namespace

void group_service::send_hello()
{
    const messages::hello own_hello{this->own_info(), this->replica_addresses()};
    this->client->broadcast(messages::kind::hello, pack(own_hello),
                            boot_clock::now() + call_timeout,
                            [this](const std::string&, const std::string& body) {
                                const absl::StatusOr<messages::hello_answer> answer =
                                    unpack<messages::hello_answer>(body);
                                if (!answer.ok()) {
                                    spdlog::warn("event=hello_unreadable error=\"{}\"",
                                                 errors::message_of(answer.status()));
                                    return;
                                }
                                this->record_peer(answer->self);
                                this->client->add_addresses(answer->replicas);
                                if (!answer->leader.empty()) {
                                    this->client->set_leader(answer->leader, answer->term);
                                }
                            });
}

/// All processes of a new deployment have the same list of seeds. The first seed in it that is
/// alive chooses the founding replica.
void group_service::initiate_formation()
{
    const std::vector<std::string>& seeds = this->settings.cluster.seeds;
    const auto own = std::find(seeds.begin(), seeds.end(), this->settings.cluster.listen);
    const steady_time now = boot_clock::now();
    if (!this->settings.cluster.founding || own == seeds.end() ||
        now < this->started_at + candidate_settle_time +
                  seed_takeover_delay * (own - seeds.begin()) ||
        now < this->last_new_peer_at + candidate_settle_time) {
        return;
    }
    if (this->hosted_replica->is_open()) {
        this->record_peer(this->own_info());
    }
    std::vector<replication::member> candidates;
    for (const auto& [address, peer] : this->peers) {
        if (peer.info.has_state) {
            return;
        }
        if (peer.info.replica && peer.info.founding) {
            candidates.push_back({peer.info.identity, address, peer.info.data_centre, true});
        }
    }
    member_change_options options;
    options.tolerated_losses = this->settings.cluster.tolerated_losses;
    const std::vector<replication::member> initial_voters =
        choose_initial_voters(candidates, options);
    if (initial_voters.empty()) {
        return;
    }
    const auto founding_replica =
        std::min_element(initial_voters.begin(), initial_voters.end(),
                         [](const replication::member& left, const replication::member& right) {
                             return left.address < right.address;
                         });
    const std::string order = pack(messages::form_group{initial_voters});
    spdlog::info("event=founding_replica_chosen address={} members={}", founding_replica->address,
                 initial_voters.size());
    if (founding_replica->address == this->settings.cluster.listen) {
        this->handle_form_group({0, order, {}});
        return;
    }
    this->hosted_replica->client_for(founding_replica->address)
        .call(static_cast<std::uint16_t>(messages::kind::form_group), order, now + call_timeout,
              [](const absl::StatusOr<std::string>&) {});
}

void group_service::request_join()
{
    if (!this->hosted_replica->is_open() || this->leads()) {
        return;
    }
    const replication::member* const own = replication::find_member(
        this->hosted_replica->replica().members(), this->hosted_replica->replica().identity());
    // A member that knows no leader may have been removed from the group while it was down.
    if (own != nullptr && this->hosted_replica->replica().known_leader().has_value()) {
        return;
    }
    const replication::member self{this->hosted_replica->replica().identity(),
                                   this->settings.cluster.listen, this->settings.data_centre,
                                   false};
    this->client->broadcast(messages::kind::join, pack(self), boot_clock::now() + call_timeout,
                            [](const std::string&, const std::string&) {});
}

void group_service::start_member_change()
{
    if (!this->leads()) {
        return;
    }
    member_change_options options;
    options.tolerated_losses = this->settings.cluster.tolerated_losses;
    const replication::replica_status status = this->hosted_replica->replica().status();
    const steady_time now = boot_clock::now();
    this->join_requests.prune(status, options, now);
    const member_change_step step =
        plan_member_change(status, this->join_requests.requests(), options, now);
    const replication::replica::status_callback report = [step](const absl::Status& result) {
        spdlog::info("event=member_changed action={} address={} identity={:016x} reason={} "
                     "result=\"{}\"",
                     action_name(step.action), step.subject.address, step.subject.id.value,
                     step.reason, result.ToString());
    };
    switch (step.action) {
    case member_change_action::add_learner:
        this->hosted_replica->replica().add_learner(step.subject, report);
        break;
    case member_change_action::promote:
        this->hosted_replica->replica().promote(step.subject.id, report);
        break;
    case member_change_action::remove:
        this->hosted_replica->replica().remove(step.subject.id, report);
        break;
    case member_change_action::none:
        return;
    }
    this->hosted_replica->schedule_flush();
}

} // namespace redwingwheel::cluster
