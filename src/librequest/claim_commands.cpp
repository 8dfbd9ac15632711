#include "redwingwheel/claims.h"

namespace redwingwheel::request {

namespace {

struct tagged_command {
    std::uint32_t kind = 0;
    std::string body;
    MSGPACK_DEFINE(kind, body)
};

template <class Command>
absl::StatusOr<claim_command> unpack_as(std::string_view body)
{
    absl::StatusOr<Command> command = unpack<Command>(body);
    if (!command.ok()) {
        return translate_error(claim_errc::malformed_command, command.status());
    }
    return claim_command(std::move(*command));
}

} // namespace

std::string_view error_name(claim_errc code)
{
    return code == claim_errc::malformed_command ? "malformed_command" : "malformed_snapshot";
}

std::string pack_command(const claim_command& command)
{
    tagged_command tagged;
    tagged.kind = static_cast<std::uint32_t>(command.index());
    tagged.body = std::visit([](const auto& body) { return pack(body); }, command);
    return pack(tagged);
}

absl::StatusOr<claim_command> unpack_command(std::string_view bytes)
{
    const absl::StatusOr<tagged_command> tagged = unpack<tagged_command>(bytes);
    if (!tagged.ok()) {
        return translate_error(claim_errc::malformed_command, tagged.status());
    }
    // The numbers are the indexes of the alternatives of claim_command.
    switch (tagged->kind) {
    case 0:
        return unpack_as<begin_claim>(tagged->body);
    case 1:
        return unpack_as<reassign_claim>(tagged->body);
    case 2:
        return unpack_as<finish_claim>(tagged->body);
    case 3:
        return unpack_as<abandon_claim>(tagged->body);
    case 4:
        return unpack_as<mark_unknown>(tagged->body);
    case 5:
        return unpack_as<expire_claims>(tagged->body);
    default:
        return make_error(claim_errc::malformed_command, "unknown kind of claim command");
    }
}

std::string_view to_string(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::granted:
        return "granted";
    case claim_verdict::in_progress:
        return "in_progress";
    case claim_verdict::answered:
        return "answered";
    case claim_verdict::conflict:
        return "conflict";
    case claim_verdict::unknown:
        return "unknown";
    case claim_verdict::expired:
        return "expired";
    case claim_verdict::issued_in_future:
        return "issued_in_future";
    case claim_verdict::malformed_key:
        return "malformed_key";
    case claim_verdict::worker_gone:
        return "worker_gone";
    case claim_verdict::attempt_in_use:
        return "attempt_in_use";
    case claim_verdict::full:
        return "full";
    case claim_verdict::recorded:
        return "recorded";
    case claim_verdict::unclaimed:
        return "unclaimed";
    case claim_verdict::stale:
        return "stale";
    case claim_verdict::bad_answer:
        return "bad_answer";
    }
    return "invalid";
}

} // namespace redwingwheel::request
