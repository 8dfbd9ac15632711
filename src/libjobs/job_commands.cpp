#include "redwingwheel/job_state.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::jobs {

namespace {

/// A command in the log: its index among the alternatives of `job_command`, and its packed fields.
struct command_envelope {
    std::uint32_t alternative = 0;
    std::string fields;
    MSGPACK_DEFINE(alternative, fields)
};

template <std::size_t Index = 0>
absl::StatusOr<job_command> unpack_alternative(const command_envelope& envelope)
{
    if constexpr (Index == std::variant_size_v<job_command>) {
        return make_error(packing_errc::malformed, "unknown job command");
    }
    else {
        if (envelope.alternative != Index) {
            return unpack_alternative<Index + 1>(envelope);
        }
        absl::StatusOr<std::variant_alternative_t<Index, job_command>> fields =
            unpack<std::variant_alternative_t<Index, job_command>>(envelope.fields);
        if (!fields.ok()) {
            return fields.status();
        }
        return job_command(*std::move(fields));
    }
}

} // namespace

std::string_view run_outcome_name(run_outcome end)
{
    switch (end) {
    case run_outcome::done:
        return "done";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::lapsed:
        return "lapsed";
    case run_outcome::broken:
        return "broken";
    case run_outcome::alone:
        return "alone";
    }
    return "unknown";
}

std::string pack_job_command(const job_command& command)
{
    command_envelope envelope;
    envelope.alternative = static_cast<std::uint32_t>(command.index());
    envelope.fields = std::visit([](const auto& fields) { return pack(fields); }, command);
    return pack(envelope);
}

absl::StatusOr<job_command> unpack_job_command(std::string_view bytes)
{
    const absl::StatusOr<command_envelope> envelope = unpack<command_envelope>(bytes);
    if (!envelope.ok()) {
        return envelope.status();
    }
    return unpack_alternative(*envelope);
}

} // namespace redwingwheel::jobs
