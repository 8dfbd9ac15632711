#include <algorithm>

#include <spdlog/spdlog.h>

#include "redwingwheel/group_service.h"
#include "redwingwheel/messages.h"
#include "redwingwheel/packing.h"

/// How processes find each other, who founds the group, and who gets a seat in it.
namespace redwingwheel::cluster {

namespace {

constexpr milliseconds introduction_patience{1000};
/// No founder is chosen until no further candidate has appeared for this long.
constexpr milliseconds founding_settles{600};
/// The next seed in order chooses the founder when those before it stay silent.
constexpr milliseconds founding_turn{3000};

} // namespace

void group_service::introduce()
{
    const messages::hello greeting{this->own_info(), this->replica_addresses()};
    this->client->broadcast(messages::kind::hello, pack(greeting),
                            boot_clock::now() + introduction_patience,
                            [this](const std::string&, const std::string& body) {
                                const absl::StatusOr<messages::hello_answer> answer =
                                    unpack<messages::hello_answer>(body);
                                if (!answer.ok()) {
                                    spdlog::warn("event=hello_unreadable error=\"{}\"",
                                                 errors::message_of(answer.status()));
                                    return;
                                }
                                this->note_peer(answer->self);
                                this->client->add_addresses(answer->replicas);
                                if (!answer->leader.empty()) {
                                    this->client->set_leader(answer->leader, answer->term);
                                }
                            });
}

/// One of the seeds, which all processes of a new deployment share, chooses the founder.
void group_service::consider_founding()
{
    const std::vector<std::string>& seeds = this->settings.cluster.seeds;
    const auto own = std::find(seeds.begin(), seeds.end(), this->settings.cluster.listen);
    const steady_time now = boot_clock::now();
    if (!this->settings.cluster.founding || own == seeds.end() ||
        now < this->started_at + founding_settles + founding_turn * (own - seeds.begin()) ||
        now < this->last_new_peer + founding_settles) {
        return;
    }
    if (this->member->is_open()) {
        this->note_peer(this->own_info());
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
    const std::vector<replication::member> founders = choose_initial_voters(candidates, options);
    if (founders.empty()) {
        return;
    }
    const auto lowest =
        std::min_element(founders.begin(), founders.end(),
                         [](const replication::member& left, const replication::member& right) {
                             return left.address < right.address;
                         });
    const std::string order = pack(messages::form_group{founders});
    spdlog::info("event=founder_chosen address={} members={}", lowest->address, founders.size());
    if (lowest->address == this->settings.cluster.listen) {
        this->handle_form_group({0, order, {}});
        return;
    }
    this->member->client_for(lowest->address)
        .call(static_cast<std::uint16_t>(messages::kind::form_group), order,
              now + introduction_patience, [](const absl::StatusOr<std::string>&) {});
}

void group_service::ask_to_join()
{
    if (!this->member->is_open() || this->leads()) {
        return;
    }
    const replication::member* const own = replication::find_member(
        this->member->replica().members(), this->member->replica().identity());
    // A member that hears of no leader may have lost its seat while it was away.
    if (own != nullptr && this->member->replica().known_leader().has_value()) {
        return;
    }
    const replication::member self{this->member->replica().identity(),
                                   this->settings.cluster.listen, this->settings.data_centre,
                                   false};
    this->client->broadcast(messages::kind::join, pack(self),
                            boot_clock::now() + introduction_patience,
                            [](const std::string&, const std::string&) {});
}

void group_service::advance_seats()
{
    if (!this->leads()) {
        return;
    }
    member_change_options options;
    options.tolerated_losses = this->settings.cluster.tolerated_losses;
    std::vector<join_request> claims;
    for (const auto& [id, claim] : this->joiners) {
        claims.push_back(claim);
    }
    const member_change_step step =
        plan_member_change(this->member->replica().status(), claims, options, boot_clock::now());
    const replication::replica::status_callback report =
        [address = step.subject.address, id = step.subject.id,
         action = static_cast<int>(step.action)](const absl::Status& result) {
            spdlog::info("event=member_changed action={} address={} identity={:016x} result=\"{}\"",
                         action, address, id.value, result.ToString());
        };
    switch (step.action) {
    case member_change_action::add_learner:
        this->member->replica().add_learner(step.subject, report);
        break;
    case member_change_action::promote:
        this->member->replica().promote(step.subject.id, report);
        break;
    case member_change_action::remove:
        this->member->replica().remove(step.subject.id, report);
        break;
    case member_change_action::none:
        return;
    }
    this->member->schedule_flush();
}

} // namespace redwingwheel::cluster
