#include "redwingwheel/frame.h"

#include <fmt/format.h>

#include "redwingwheel/packing.h"

namespace redwingwheel::wire {

std::string_view error_name(wire_errc code)
{
    switch (code) {
    case wire_errc::not_sent:
        return "not sent";
    case wire_errc::lost_after_send:
        return "connection lost after send";
    case wire_errc::deadline_exceeded:
        return "deadline exceeded";
    case wire_errc::rejected:
        return "rejected";
    case wire_errc::bad_frame:
        return "bad frame";
    case wire_errc::unauthenticated:
        return "unauthenticated";
    case wire_errc::listen_failed:
        return "listen failed";
    }
    return "unknown";
}

absl::StatusCode error_category(wire_errc code)
{
    switch (code) {
    case wire_errc::not_sent:
    case wire_errc::listen_failed:
        return absl::StatusCode::kUnavailable;
    case wire_errc::lost_after_send:
        return absl::StatusCode::kUnknown;
    case wire_errc::deadline_exceeded:
        return absl::StatusCode::kDeadlineExceeded;
    case wire_errc::rejected:
        return absl::StatusCode::kFailedPrecondition;
    case wire_errc::bad_frame:
        return absl::StatusCode::kInvalidArgument;
    case wire_errc::unauthenticated:
        return absl::StatusCode::kUnauthenticated;
    }
    return absl::StatusCode::kUnknown;
}

absl::StatusOr<std::string> encode_frame(const frame& outgoing)
{
    const std::string payload = pack(outgoing);
    const std::size_t size = payload.size() + 1;
    if (size > max_frame_bytes) {
        return make_error(wire_errc::bad_frame,
                          fmt::format("{} bytes, allowed {}", size, max_frame_bytes));
    }
    std::string bytes;
    bytes.reserve(frame_header_bytes + payload.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>((size >> shift) & 0xFF));
    }
    bytes.push_back(static_cast<char>(protocol_version));
    bytes.append(payload);
    return bytes;
}

absl::StatusOr<std::size_t> decode_header(std::string_view header, std::size_t max_bytes)
{
    if (header.size() != frame_header_bytes) {
        return make_error(wire_errc::bad_frame, "frame header is truncated");
    }
    std::size_t size = 0;
    for (std::size_t index = 0; index < 4; ++index) {
        size = (size << 8) | static_cast<unsigned char>(header[index]);
    }
    if (size < 1 || size > max_bytes) {
        return make_error(
            wire_errc::bad_frame,
            fmt::format("frame length is {} bytes, expected 1 to {}", size, max_bytes));
    }
    const std::uint8_t version = static_cast<std::uint8_t>(header[4]);
    if (version != protocol_version) {
        return make_error(wire_errc::bad_frame, fmt::format("protocol version is {}, expected {}",
                                                            version, protocol_version));
    }
    return size - 1;
}

absl::StatusOr<frame> decode_payload(std::string_view payload)
{
    absl::StatusOr<frame> decoded = unpack<frame>(payload);
    if (!decoded.ok()) {
        return translate_error(wire_errc::bad_frame, decoded.status());
    }
    if (decoded->type > frame_type::error_reply) {
        return make_error(wire_errc::bad_frame, "unknown frame type");
    }
    return decoded;
}

} // namespace redwingwheel::wire
