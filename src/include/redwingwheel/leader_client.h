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
    /// No leader was reached before the deadline; the call was not carried out.
    no_leader = 1,
    /// The call was sent but no valid answer arrived; it may have been carried out.
    unanswered,
    /// The leader refused the call as malformed or out of order.
    refused,
    /// The leader has too many calls in progress; the call was not carried out.
    busy,
};

[[nodiscard]] constexpr std::string_view error_layer(leader_errc)
{
    return "leader";
}
[[nodiscard]] std::string_view error_name(leader_errc code);
[[nodiscard]] absl::StatusCode error_category(leader_errc code);

using leader_callback = std::function<void(absl::StatusOr<std::string>)>;
/// `earlier_unanswered` is true when an earlier attempt of the call was sent and not answered. It
/// may have been carried out, or may yet be, whatever `body` says.
using outcome_callback =
    std::function<void(absl::StatusOr<std::string> body, bool earlier_unanswered)>;

/// Sends calls to the leader of the replication group. When a call fails or a replica is not the
/// leader, the next call goes to the leader that the replica names, or else to the next known
/// replica. Use on the control thread only.
class leader_client {
public:
    /// `replicas` are the addresses (IP:port) from the settings; must not be empty.
    leader_client(kernel::control_loop& control_loop, kernel::traffic_loop& traffic,
                  std::span<const std::string> replicas, std::string_view secret);

    /// Adds replica addresses (IP:port); known ones are skipped, malformed ones logged and skipped.
    void add_addresses(std::span<const std::string> addresses);

    /// Directs the next calls to `address`, the leader of `term`. Ignored when `term` is older than
    /// that of an earlier call, or when `address` is malformed.
    void set_leader(std::string_view address, std::uint64_t term);

    /// Sends `body` to every known address. `done` runs on the control thread once per answer, with
    /// the address that answered; calls that fail are not reported.
    void broadcast(messages::kind kind, const std::string& body, steady_time deadline,
                   const std::function<void(const std::string& address, std::string body)>& done);

    [[nodiscard]] std::vector<std::string> known_addresses() const;

    /// True when the leader has answered a call and no call has failed since.
    [[nodiscard]] bool leader_reachable() const { return this->reachable; }

    /// Address of the replica that gets the next call.
    [[nodiscard]] std::string target_address() const;
    /// Latest term accepted by `set_leader`; 0 before the first one.
    [[nodiscard]] std::uint64_t leader_term() const { return this->known_leader_term; }
    ~leader_client();
    leader_client(const leader_client&) = delete;
    leader_client& operator=(const leader_client&) = delete;

    /// Sends one attempt to the current target; a failure other than `refused` may change the
    /// target of the next call. `done` runs on the control thread. Errors: leader_errc.
    void call_once(messages::kind kind, std::string body, steady_time deadline,
                   leader_callback done);

    /// Retries until the call succeeds, is refused or `deadline` has passed. Only for idempotent
    /// calls; commands of the replicated log are, since each carries an identity by which repeats
    /// are recognized. `done` runs on the control thread. Errors: leader_errc.
    void call(messages::kind kind, std::string body, steady_time deadline, leader_callback done);

    /// As `call`, but once an attempt may have been carried out, retries until `outcome_deadline`
    /// instead of `deadline`, to learn the outcome.
    void call_until_known(messages::kind kind, std::string body, steady_time deadline,
                          steady_time outcome_deadline, outcome_callback done);

private:
    struct retried_call;

    void on_reply(std::size_t target, absl::StatusOr<std::string> body,
                  const leader_callback& done);
    void send_attempt(const std::shared_ptr<retried_call>& call);
    /// Makes the next known replica the target, unless the target is no longer `from`.
    void advance_target(std::size_t from);
    /// Makes `address` the target; the replica after `from` when it is empty or malformed.
    void redirect(std::string_view address, std::size_t from);

    [[nodiscard]] std::optional<std::size_t> index_of(std::string_view address) const;

    kernel::control_loop& loop;
    kernel::traffic_loop& traffic;
    std::string secret;
    bool reachable = false;
    std::uint64_t known_leader_term = 0;
    std::vector<std::unique_ptr<wire::rpc_client>> replicas;
    std::size_t target_index = 0;
    /// False once this object is destroyed; checked by callbacks that run later.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace redwingwheel::control
