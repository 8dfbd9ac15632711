#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "redwingwheel/errors.h"

/// Frames between daemons: a 4-byte big-endian length, one byte of protocol version, then a msgpack
/// array. The length counts the version byte and the array.
namespace redwingwheel::wire {

enum class wire_errc {
    /// The request never left this host whole; the other side cannot have acted on it.
    not_sent = 1,
    /// The connection ended after the request was sent; whether it was carried out is unknown.
    lost_after_send,
    /// The deadline passed after the request was sent; whether it was carried out is unknown.
    deadline_exceeded,
    /// The other side answered with an error.
    rejected,
    /// A frame is truncated, over the size limit, of another version or not readable.
    bad_frame,
    /// The other side does not hold the cluster secret.
    unauthenticated,
    /// An address cannot be listened on.
    listen_failed,
};

[[nodiscard]] constexpr std::string_view error_layer(wire_errc)
{
    return "wire";
}
[[nodiscard]] std::string_view error_name(wire_errc code);
[[nodiscard]] absl::StatusCode error_category(wire_errc code);

constexpr std::uint8_t protocol_version = 1;
constexpr std::size_t frame_header_bytes = 5;
/// Bounds the memory that one peer can make this process hold for one message.
constexpr std::size_t max_frame_bytes = std::size_t{4} * 1024 * 1024;

enum class frame_type : std::uint8_t {
    challenge = 0,
    challenge_answer,
    welcome,
    probe,
    probe_answer,
    request,
    reply,
    error_reply,
};

} // namespace redwingwheel::wire

MSGPACK_ADD_ENUM(redwingwheel::wire::frame_type)

namespace redwingwheel::wire {

struct frame {
    frame_type type = frame_type::probe;
    /// What the body is; meaning belongs to the services above.
    std::uint16_t kind = 0;
    /// Ties a reply to its request; unique per connection.
    std::uint64_t correlation = 0;
    /// Milliseconds that the sender still waits for the reply.
    std::uint32_t remaining_ms = 0;
    std::string body;

    MSGPACK_DEFINE(type, kind, correlation, remaining_ms, body)
};

/// The bytes of `of`, header included. Errors: bad_frame when the limit is exceeded.
[[nodiscard]] absl::StatusOr<std::string> encode_frame(const frame& of);

/// Reads the size of what follows a header of frame_header_bytes.
/// Errors: bad_frame for an unknown version or a size over the limit.
[[nodiscard]] absl::StatusOr<std::size_t> decode_header(std::string_view header);

/// Reads the array that follows the header. Errors: bad_frame.
[[nodiscard]] absl::StatusOr<frame> decode_payload(std::string_view payload);

} // namespace redwingwheel::wire
