#include "redwingwheel/leader_client.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"

namespace redwingwheel::control {

namespace {

/// One try: longer than a commit between data centres, short enough for several within a permit.
constexpr milliseconds try_patience{800};
constexpr milliseconds pause_between_tries{30};

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
    }
    return "unknown";
}

absl::StatusCode error_category(leader_errc code)
{
    switch (code) {
    case leader_errc::no_leader:
        return absl::StatusCode::kUnavailable;
    case leader_errc::unanswered:
        return absl::StatusCode::kUnknown;
    case leader_errc::refused:
        return absl::StatusCode::kFailedPrecondition;
    }
    return absl::StatusCode::kUnknown;
}

struct leader_client::repeated_call {
    messages::kind kind;
    std::string body;
    steady_time deadline;
    steady_time settle_by;
    leader_callback done;
    bool may_have_run = false;

    [[nodiscard]] steady_time end() const
    {
        return this->may_have_run ? this->settle_by : this->deadline;
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
            spdlog::warn("event=peer_ignored address={} reason=unreadable", each);
            continue;
        }
        if (!this->place_of(each).has_value()) {
            this->replicas.push_back(
                std::make_unique<wire::rpc_client>(this->traffic, *parsed, this->secret, options));
        }
    }
}

std::optional<std::size_t> leader_client::place_of(std::string_view address) const
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
    if (term < this->followed_term) {
        return;
    }
    const std::string named(address);
    this->add_addresses(std::span(&named, 1));
    const std::optional<std::size_t> place = this->place_of(address);
    if (place.has_value()) {
        this->followed_term = term;
        this->believed = *place;
    }
}

void leader_client::broadcast(
    messages::kind kind, const std::string& body, steady_time deadline,
    const std::function<void(const std::string& address, std::string body)>& done)
{
    const std::shared_ptr<bool> still = this->alive;
    kernel::control_loop& control = this->loop;
    for (const std::unique_ptr<wire::rpc_client>& each : this->replicas) {
        each->call(static_cast<std::uint16_t>(kind), body, deadline,
                   [&control, still, done,
                    address = wire::to_string(each->remote())](absl::StatusOr<std::string> reply) {
                       if (!reply.ok()) {
                           return;
                       }
                       control.post([still, done, address, reply = *std::move(reply)] {
                           if (*still) {
                               done(address, reply);
                           }
                       });
                   });
    }
}

std::string leader_client::target_address() const
{
    return wire::to_string(this->replicas[this->believed]->remote());
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
    const std::size_t target = this->believed;
    const std::shared_ptr<bool> still = this->alive;
    kernel::control_loop& control = this->loop;
    this->replicas[target]->call(
        static_cast<std::uint16_t>(kind), std::move(body), deadline,
        [this, still, &control, target,
         done = std::move(done)](absl::StatusOr<std::string> reply) mutable {
            control.post([this, still, target, reply = std::move(reply), done = std::move(done)] {
                if (*still) {
                    this->on_reply(target, reply, done);
                }
            });
        });
}

void leader_client::on_reply(std::size_t target, absl::StatusOr<std::string> body,
                             const leader_callback& done)
{
    if (!body.ok()) {
        this->touched = false;
        const std::optional<wire::wire_errc> code = error_code<wire::wire_errc>(body.status());
        if (code == wire::wire_errc::rejected) {
            done(translate_error(leader_errc::refused, body.status()));
            return;
        }
        this->move_on(target);
        const leader_errc own =
            code == wire::wire_errc::not_sent ? leader_errc::no_leader : leader_errc::unanswered;
        done(translate_error(own, body.status()));
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
    if (reply->result != messages::control_reply::result_kind::served) {
        this->touched = false;
        this->believe(reply->leader, target);
        done(make_error(leader_errc::no_leader, wire::to_string(this->replicas[target]->remote())));
        return;
    }
    this->touched = true;
    done(std::move(reply->body));
}

void leader_client::believe(std::string_view address, std::size_t from)
{
    const std::string named(address);
    if (!named.empty()) {
        this->add_addresses(std::span(&named, 1));
    }
    const std::optional<std::size_t> place = this->place_of(address);
    if (place.has_value()) {
        this->believed = *place;
        return;
    }
    this->move_on(from);
}

void leader_client::move_on(std::size_t from)
{
    if (this->believed == from) {
        this->believed = (from + 1) % this->replicas.size();
    }
}

void leader_client::call(messages::kind kind, std::string body, steady_time deadline,
                         leader_callback done)
{
    this->call_until_known(kind, std::move(body), deadline, deadline, std::move(done));
}

void leader_client::call_until_known(messages::kind kind, std::string body, steady_time deadline,
                                     steady_time settle_by, leader_callback done)
{
    this->repeat(std::make_shared<repeated_call>(
        repeated_call{kind, std::move(body), deadline, settle_by, std::move(done)}));
}

void leader_client::repeat(const std::shared_ptr<repeated_call>& call)
{
    const steady_time now = boot_clock::now();
    const steady_time try_deadline = std::min(call->end(), now + try_patience);
    this->call_once(
        call->kind, call->body, try_deadline, [this, call](absl::StatusOr<std::string> result) {
            if (result.ok() || error_code<leader_errc>(result.status()) == leader_errc::refused) {
                call->done(std::move(result));
                return;
            }
            call->may_have_run |=
                error_code<leader_errc>(result.status()) == leader_errc::unanswered;
            const steady_time next = boot_clock::now() + pause_between_tries;
            if (next >= call->end()) {
                const leader_errc code =
                    call->may_have_run ? leader_errc::unanswered : leader_errc::no_leader;
                call->done(translate_error(code, result.status()));
                return;
            }
            const std::shared_ptr<bool> still = this->alive;
            this->loop.run_at(next, [this, still, call] {
                if (*still) {
                    this->repeat(call);
                }
            });
        });
}

} // namespace redwingwheel::control
