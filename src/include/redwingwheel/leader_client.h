#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/control_loop.h"
#include "redwingwheel/messages.h"
#include "redwingwheel/rpc.h"

namespace redwingwheel::control {

enum class leader_errc {
    /// No replica that leads was reached before the deadline; nothing was carried out.
    no_leader = 1,
    /// The call reached a replica and its answer was lost; it may have been carried out.
    unanswered,
    /// The leader refused the call as malformed or out of order.
    refused,
};

[[nodiscard]] constexpr std::string_view error_layer(leader_errc)
{
    return "leader";
}
[[nodiscard]] std::string_view error_name(leader_errc code);
[[nodiscard]] absl::StatusCode error_category(leader_errc code);

using leader_callback = std::function<void(absl::StatusOr<std::string>)>;

/// Calls the control replica that leads, wherever it is. Moves on from a replica that is silent or
/// that does not lead. Lives on the control thread.
class leader_client {
public:
    /// `replicas` are addresses from the settings; never empty.
    leader_client(kernel::control_loop& control_loop, kernel::traffic_loop& traffic,
                  std::span<const std::string> replicas, std::string_view secret);

    /// Adds addresses that were not known.
    void add_addresses(std::span<const std::string> addresses);

    /// Directs the next calls to `address`. An older term than the last one given is ignored.
    void set_leader(std::string_view address, std::uint64_t term);

    /// Sends `body` to every known address; `done` runs on the control thread for each answer.
    void broadcast(messages::kind kind, const std::string& body, steady_time deadline,
                   const std::function<void(const std::string& address, std::string body)>& done);

    [[nodiscard]] std::vector<std::string> known_addresses() const;

    /// True when a leader answered a call and none has failed since.
    [[nodiscard]] bool leader_reachable() const { return this->touched; }

    /// Where the next call goes, and the newest term that `follow` was given.
    [[nodiscard]] std::string target_address() const;
    [[nodiscard]] std::uint64_t leader_term() const { return this->followed_term; }
    ~leader_client();
    leader_client(const leader_client&) = delete;
    leader_client& operator=(const leader_client&) = delete;

    /// One try at the replica that is believed to lead; a failure moves the belief on. `done` runs
    /// on the control thread. Errors: leader_errc.
    void call_once(messages::kind kind, std::string body, steady_time deadline,
                   leader_callback done);

    /// Tries until `deadline`. Only for calls that are safe to repeat: every command of the log is,
    /// by the identity it carries. Errors: leader_errc.
    void call(messages::kind kind, std::string body, steady_time deadline, leader_callback done);

    /// As `call`, but once a try may have been carried out, goes on until `settle_by` so that the
    /// outcome is known.
    void call_until_known(messages::kind kind, std::string body, steady_time deadline,
                          steady_time settle_by, leader_callback done);

private:
    struct repeated_call;

    void on_reply(std::size_t target, absl::StatusOr<std::string> body,
                  const leader_callback& done);
    void repeat(const std::shared_ptr<repeated_call>& call);
    void move_on(std::size_t from);
    void believe(std::string_view address, std::size_t from);

    [[nodiscard]] std::optional<std::size_t> place_of(std::string_view address) const;

    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    std::string secret;
    bool touched = false;
    std::uint64_t followed_term = 0;
    std::vector<std::unique_ptr<wire::rpc_client>> replicas;
    std::size_t believed = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace redwingwheel::control
