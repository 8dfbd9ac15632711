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

// Guards against a truncated or overlong message being taken for a whole one.
TEST_CASE("unpack accepts exactly one whole value", "[packing]")
{
    const std::string bytes = redwingwheel::pack(sample{42, {"a", "b"}});
    const absl::StatusOr<sample> whole = redwingwheel::unpack<sample>(bytes);
    REQUIRE(whole.ok());
    REQUIRE(whole->names.size() == 2);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        REQUIRE_FALSE(redwingwheel::unpack<sample>(std::string_view(bytes).substr(0, size)).ok());
    }
    REQUIRE_FALSE(redwingwheel::unpack<sample>(bytes + "x").ok());
}

// Guards against a damaged length that makes the reader allocate gigabytes.
TEST_CASE("a length beyond the message is refused", "[packing]")
{
    const std::string huge_array{"\xDD\x7F\xFF\xFF\xFF", 5};
    REQUIRE_FALSE(redwingwheel::unpack<std::vector<std::uint64_t>>(huge_array).ok());
    const std::string huge_text{"\xDB\x7F\xFF\xFF\xFF", 5};
    REQUIRE_FALSE(redwingwheel::unpack<std::string>(huge_text).ok());
}
