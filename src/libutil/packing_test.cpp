#include "redwingwheel/packing.h"

#include <cstdint>
#include <vector>

#include <catch2/catch.hpp>

namespace {

struct sample {
    std::uint64_t number = 0;
    std::vector<std::string> names;
    MSGPACK_DEFINE(number, names)
};

} // namespace

// Guards against a truncated message, or one with trailing bytes, that is accepted.
TEST_CASE("unpack accepts exactly one complete value", "[packing]")
{
    const std::string bytes = redwingwheel::pack(sample{42, {"a", "b"}});
    const absl::StatusOr<sample> unpacked = redwingwheel::unpack<sample>(bytes);
    REQUIRE(unpacked.ok());
    REQUIRE(unpacked->names.size() == 2);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        REQUIRE_FALSE(redwingwheel::unpack<sample>(std::string_view(bytes).substr(0, size)).ok());
    }
    REQUIRE_FALSE(redwingwheel::unpack<sample>(bytes + "x").ok());
}

// Guards against a corrupt length field that makes unpack allocate gigabytes.
TEST_CASE("a length field over the size of the message is refused", "[packing]")
{
    const std::string huge_array{"\xDD\x7F\xFF\xFF\xFF", 5};
    REQUIRE_FALSE(redwingwheel::unpack<std::vector<std::uint64_t>>(huge_array).ok());
    const std::string huge_text{"\xDB\x7F\xFF\xFF\xFF", 5};
    REQUIRE_FALSE(redwingwheel::unpack<std::string>(huge_text).ok());
}
