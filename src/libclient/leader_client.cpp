#include "redwingwheel/leader_client.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"

namespace redwingwheel::control {

namespace {

/// Timeout of one attempt. Longer than a commit across data centres, and short enough that several
/// attempts fit into the lifetime of a permit.
constexpr milliseconds attempt_timeout{800};
constexpr milliseconds retry_delay{30};
/// Delay after a busy leader's answer, so that the repeated calls do not add to its load.
constexpr milliseconds busy_retry_delay{250};

} // namespace

std::string_view error_name(leader_errc code)
{
    switch (code) {
    case leader_errc::no_leader:
        return "no leader";
    case leader_errc::unanswered:
        return "unanswered";
    case leader_errc::refused:
        return "refused";
    case leader_errc::busy:
        return "busy";
    }
    return "unknown";
}

absl::StatusCode error_category(leader_errc code)
{
    switch (code) {
    case leader_errc::no_leader:
    case leader_errc::busy:
        return absl::StatusCode::kUnavailable;
    case leader_errc::unanswered:
        return absl::StatusCode::kUnknown;
    case leader_errc::refused:
        return absl::StatusCode::kFailedPrecondition;
    }
    return absl::StatusCode::kUnknown;
}

struct leader_client::retried_call {
    messages::kind kind;
    std::string body;
    steady_time deadline;
    /// Replaces `deadline` once `may_have_run` is true.
    steady_time outcome_deadline;
    outcome_callback done;
    /// True once an attempt has failed with `unanswered`.
    bool may_have_run = false;

    [[nodiscard]] steady_time retry_end() const
    {
        return this->may_have_run ? this->outcome_deadline : this->deadline;
    }
};

leader_client::leader_client(kernel::control_loop& control_loop, kernel::traffic_loop& traffic_loop,
                             std::span<const std::string> addresses,
                             std::string_view cluster_secret)
    : loop(control_loop), traffic(traffic_loop), secret(cluster_secret)
{
    this->add_addresses(addresses);
}

void leader_client::add_addresses(std::span<const std::string> addresses)
{
    wire::rpc_options options;
    options.max_reconnect_wait = milliseconds(500);
    for (const std::string& each : addresses) {
        const absl::StatusOr<wire::address> parsed = wire::parse_address(each);
        if (!parsed.ok()) {
            spdlog::warn("event=peer_ignored address={} reason=\"expected IP:port\"", each);
            continue;
        }
        if (!this->index_of(each).has_value()) {
            this->replicas.push_back(
                std::make_unique<wire::rpc_client>(this->traffic, *parsed, this->secret, options));
        }
    }
}

std::optional<std::size_t> leader_client::index_of(std::string_view address) const
{
    for (std::size_t index = 0; index < this->replicas.size(); ++index) {
        if (wire::to_string(this->replicas[index]->remote()) == address) {
            return index;
        }
    }
    return std::nullopt;
}

void leader_client::set_leader(std::string_view address, std::uint64_t term)
{
    if (term < this->known_leader_term) {
        return;
    }
    const std::string address_text(address);
    this->add_addresses(std::span(&address_text, 1));
    const std::optional<std::size_t> index = this->index_of(address);
    if (index.has_value()) {
        this->known_leader_term = term;
        this->target_index = *index;
    }
}

void leader_client::broadcast(
    messages::kind kind, const std::string& body, steady_time deadline,
    const std::function<void(const std::string& address, std::string body)>& done)
{
    const std::shared_ptr<bool> client_alive = this->alive;
    kernel::control_loop& control = this->loop;
    for (const std::unique_ptr<wire::rpc_client>& each : this->replicas) {
        each->call(static_cast<std::uint16_t>(kind), body, deadline,
                   [&control, client_alive, done,
                    address = wire::to_string(each->remote())](absl::StatusOr<std::string> reply) {
                       if (!reply.ok()) {
                           return;
                       }
                       control.post([client_alive, done, address, reply = *std::move(reply)] {
                           if (*client_alive) {
                               done(address, reply);
                           }
                       });
                   });
    }
}

std::string leader_client::target_address() const
{
    return wire::to_string(this->replicas[this->target_index]->remote());
}

std::vector<std::string> leader_client::known_addresses() const
{
    std::vector<std::string> known;
    for (const std::unique_ptr<wire::rpc_client>& each : this->replicas) {
        known.push_back(wire::to_string(each->remote()));
    }
    return known;
}

leader_client::~leader_client()
{
    *this->alive = false;
}

void leader_client::call_once(messages::kind kind, std::string body, steady_time deadline,
                              leader_callback done)
{
    const std::size_t target = this->target_index;
    const std::shared_ptr<bool> client_alive = this->alive;
    kernel::control_loop& control = this->loop;
    this->replicas[target]->call(
        static_cast<std::uint16_t>(kind), std::move(body), deadline,
        [this, client_alive, &control, target,
         done = std::move(done)](absl::StatusOr<std::string> reply) mutable {
            control.post(
                [this, client_alive, target, reply = std::move(reply), done = std::move(done)] {
                    if (*client_alive) {
                        this->on_reply(target, reply, done);
                    }
                });
        });
}

void leader_client::on_reply(std::size_t target, absl::StatusOr<std::string> body,
                             const leader_callback& done)
{
    if (!body.ok()) {
        this->reachable = false;
        const std::optional<wire::wire_errc> code = error_code<wire::wire_errc>(body.status());
        if (code == wire::wire_errc::rejected) {
            done(translate_error(leader_errc::refused, body.status()));
            return;
        }
        this->advance_target(target);
        const leader_errc leader_code =
            code == wire::wire_errc::not_sent ? leader_errc::no_leader : leader_errc::unanswered;
        done(translate_error(leader_code, body.status()));
        return;
    }
    absl::StatusOr<messages::control_reply> reply = unpack<messages::control_reply>(*body);
    if (!reply.ok()) {
        done(translate_error(leader_errc::unanswered, reply.status()));
        return;
    }
    if (reply->result == messages::control_reply::result_kind::unavailable) {
        done(make_error(leader_errc::unanswered, "leadership was lost during the call"));
        return;
    }
    if (reply->result == messages::control_reply::result_kind::busy) {
        done(make_error(leader_errc::busy, "the leader has too many calls in progress"));
        return;
    }
    if (reply->result != messages::control_reply::result_kind::served) {
        this->reachable = false;
        this->redirect(reply->leader, target);
        done(make_error(leader_errc::no_leader, wire::to_string(this->replicas[target]->remote())));
        return;
    }
    this->reachable = true;
    done(std::move(reply->body));
}

void leader_client::redirect(std::string_view address, std::size_t from)
{
    const std::string address_text(address);
    if (!address_text.empty()) {
        this->add_addresses(std::span(&address_text, 1));
    }
    const std::optional<std::size_t> index = this->index_of(address);
    if (index.has_value()) {
        this->target_index = *index;
        return;
    }
    this->advance_target(from);
}

void leader_client::advance_target(std::size_t from)
{
    if (this->target_index == from) {
        this->target_index = (from + 1) % this->replicas.size();
    }
}

void leader_client::call(messages::kind kind, std::string body, steady_time deadline,
                         leader_callback done)
{
    this->call_until_known(kind, std::move(body), deadline, deadline,
                           [done = std::move(done)](absl::StatusOr<std::string> result, bool) {
                               done(std::move(result));
                           });
}

void leader_client::call_until_known(messages::kind kind, std::string body, steady_time deadline,
                                     steady_time outcome_deadline, outcome_callback done)
{
    this->send_attempt(std::make_shared<retried_call>(
        retried_call{kind, std::move(body), deadline, outcome_deadline, std::move(done)}));
}

void leader_client::send_attempt(const std::shared_ptr<retried_call>& call)
{
    const steady_time now = boot_clock::now();
    const steady_time attempt_deadline = std::min(call->retry_end(), now + attempt_timeout);
    this->call_once(
        call->kind, call->body, attempt_deadline, [this, call](absl::StatusOr<std::string> result) {
            if (result.ok() || error_code<leader_errc>(result.status()) == leader_errc::refused) {
                call->done(std::move(result), call->may_have_run);
                return;
            }
            call->may_have_run |=
                error_code<leader_errc>(result.status()) == leader_errc::unanswered;
            const bool busy = error_code<leader_errc>(result.status()) == leader_errc::busy;
            const steady_time next = boot_clock::now() + (busy ? busy_retry_delay : retry_delay);
            if (next >= call->retry_end()) {
                const leader_errc code =
                    call->may_have_run ? leader_errc::unanswered : leader_errc::no_leader;
                call->done(translate_error(code, result.status()), call->may_have_run);
                return;
            }
            const std::shared_ptr<bool> client_alive = this->alive;
            this->loop.run_at(next, [this, client_alive, call] {
                if (*client_alive) {
                    this->send_attempt(call);
                }
            });
        });
}

} // namespace redwingwheel::control
