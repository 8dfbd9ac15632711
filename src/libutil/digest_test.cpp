#include "redwingwheel/digest.h"

#include <catch2/catch.hpp>

namespace digest = redwingwheel::digest;

// Guards against log files that other CRC-32C tools cannot verify. Source: RFC 3720, B.4.
TEST_CASE("crc32c matches the published test vector", "[digest]")
{
    REQUIRE(digest::crc32c(std::string(32, '\0')) == 0x8A9136AA);
    REQUIRE(digest::crc32c("123456789") == 0xE3069283);
}

// Guards against digests that differ from the standard ones. Source: RFC 4231, test case 2.
TEST_CASE("the keyed digest is HMAC-SHA-256", "[digest]")
{
    REQUIRE(digest::keyed_digest("Jefe", "what do ya want for nothing?") ==
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against a comparison that accepts a prefix.
TEST_CASE("constant-time comparison is false for different lengths", "[digest]")
{
    REQUIRE(digest::equal_in_constant_time("abc", "abc"));
    REQUIRE_FALSE(digest::equal_in_constant_time("abc", "abcd"));
    REQUIRE_FALSE(digest::equal_in_constant_time("abc", "abd"));
}
