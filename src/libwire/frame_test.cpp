#include "redwingwheel/frame.h"

#include <catch2/catch.hpp>

#include "redwingwheel/address.h"

namespace wire = redwingwheel::wire;

// Guards against a truncated frame, or one of another protocol version, that is read as a message.
TEST_CASE("a frame is decoded completely or refused", "[frame]")
{
    const wire::frame original{wire::frame_type::request, 7, 42, 1500, "body"};
    const std::string bytes = *wire::encode_frame(original);
    const std::string_view view = bytes;
    const absl::StatusOr<std::size_t> size =
        wire::decode_header(view.substr(0, wire::frame_header_bytes));
    REQUIRE(size.ok());
    REQUIRE(*size == bytes.size() - wire::frame_header_bytes);
    const std::string_view payload = view.substr(wire::frame_header_bytes);
    const absl::StatusOr<wire::frame> decoded = wire::decode_payload(payload);
    REQUIRE(decoded.ok());
    REQUIRE(decoded->correlation == 42);
    REQUIRE(decoded->body == "body");

    REQUIRE_FALSE(wire::decode_payload(payload.substr(0, payload.size() - 1)).ok());
    std::string other_version = bytes;
    other_version[4] = 99;
    REQUIRE_FALSE(
        wire::decode_header(std::string_view(other_version).substr(0, wire::frame_header_bytes))
            .ok());
    const std::string too_long{"\x7F\xFF\xFF\xFF\x01", 5};
    REQUIRE_FALSE(wire::decode_header(too_long).ok());
}

// Guards against a message that exhausts the memory of its receiver.
TEST_CASE("a frame over the size limit is not encoded", "[frame]")
{
    wire::frame large{wire::frame_type::request, 1, 1, 0, ""};
    large.body.resize(wire::max_frame_bytes);
    REQUIRE_FALSE(wire::encode_frame(large).ok());
}

// Guards against addresses in settings that have a host name or no port.
TEST_CASE("an address is an IP address with a port", "[address]")
{
    REQUIRE(wire::parse_address("127.0.0.1:80")->port == 80);
    REQUIRE(wire::to_string(*wire::parse_address("[::1]:80")) == "[::1]:80");
    for (const char* invalid :
         {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", ""}) {
        REQUIRE_FALSE(wire::parse_address(invalid).ok());
    }
}
