#pragma once

#include <optional>

#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"
#include "redwingwheel/rpc.h"

namespace redwingwheel::wire {

/// Decodes the body of a request. Returns nothing, and logs a warning, when the body is not a valid
/// `Message`.
template <class Message>
std::optional<Message> read_message(const incoming_request& request)
{
    absl::StatusOr<Message> message = unpack<Message>(request.body);
    if (!message.ok()) {
        spdlog::warn("event=message_refused kind={} error=\"{}\"", request.kind,
                     errors::message_of(message.status()));
        return std::nullopt;
    }
    return *std::move(message);
}

} // namespace redwingwheel::wire
