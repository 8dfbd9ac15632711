#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "redwingwheel/errors.h"

/// Frames between daemons: a 4-byte big-endian length, one byte of protocol version, then a msgpack
/// array as payload. The length counts the version byte and the payload.
namespace redwingwheel::wire {

enum class wire_errc {
    /// The request was not sent completely, so the remote daemon cannot have executed it.
    not_sent = 1,
    /// The connection was lost after the request was sent at least in part; whether it was executed
    /// is unknown.
    lost_after_send,
    /// The deadline passed after the request was queued for sending; whether it was executed is
    /// unknown.
    deadline_exceeded,
    /// The remote daemon replied with an error.
    rejected,
    /// A frame is truncated, over the size limit, of another protocol version or malformed.
    bad_frame,
    /// The remote daemon does not have the cluster secret.
    unauthenticated,
    /// The server cannot listen on the address.
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
/// Limit of the length field. Bounds the memory that a peer can make this process allocate for one
/// message.
constexpr std::size_t max_frame_bytes = std::size_t{4} * 1024 * 1024;
/// Limit of the length field until a client has proved that it has the secret. The proof, its
/// client's challenge and the framing take less than 200 bytes.
constexpr std::size_t max_handshake_bytes = 1024;

enum class frame_type : std::uint8_t {
    /// Handshake, from the server: its random challenge.
    challenge = 0,
    /// Handshake, from the client: proof that it has the secret, then the client's own challenge.
    challenge_response,
    /// Handshake, from the server: proof that it has the secret.
    server_proof,
    /// Keep-alive; a connection replies to it by itself.
    probe,
    probe_reply,
    request,
    reply,
    /// The body is the error text.
    error_reply,
};

} // namespace redwingwheel::wire

MSGPACK_ADD_ENUM(redwingwheel::wire::frame_type)

namespace redwingwheel::wire {

struct frame {
    frame_type type = frame_type::probe;
    /// Message type of the body, defined by the service that handles the request.
    std::uint16_t kind = 0;
    /// Matches a reply to its request; unique per client. 0 in handshake and probe
    /// frames.
    std::uint64_t correlation = 0;
    /// Milliseconds until the deadline of the request; 0 in other frames.
    std::uint32_t remaining_ms = 0;
    std::string body;

    MSGPACK_DEFINE(type, kind, correlation, remaining_ms, body)
};

/// Serializes a frame, header included. Errors: bad_frame when it exceeds max_frame_bytes.
[[nodiscard]] absl::StatusOr<std::string> encode_frame(const frame& outgoing);

/// Returns the size in bytes of the payload after a header of frame_header_bytes.
/// Errors: bad_frame for a truncated header, another protocol version, or a length of 0 or over
/// `max_bytes`.
[[nodiscard]] absl::StatusOr<std::size_t> decode_header(std::string_view header,
                                                        std::size_t max_bytes = max_frame_bytes);

/// Deserializes the payload after the header. Errors: bad_frame when it is malformed or has an
/// unknown frame type.
[[nodiscard]] absl::StatusOr<frame> decode_payload(std::string_view payload);

} // namespace redwingwheel::wire
