#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "redwingwheel/json_text.h"

using namespace redwingwheel;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Failure: a deeply nested document overflows the stack of the process that copies or writes it.
TEST_CASE("parse refuses a document that nests deeper than the limit and names both depths")
{
    const absl::StatusOr<nlohmann::json> allowed = json_text::parse(nested(json_text::max_depth));
    REQUIRE(allowed.ok());
    CHECK(json_text::dump(*allowed) == nested(json_text::max_depth));
    for (const std::size_t depth : {json_text::max_depth + 1, std::size_t{2'000'000}}) {
        const absl::Status refused = json_text::parse(nested(depth)).status();
        CHECK(error_code<json_text::json_errc>(refused) == json_text::json_errc::too_deep);
        CHECK(errors::message_of(refused) ==
              fmt::format("json: too deep: nested {} deep, allowed 64", depth));
    }
    CHECK(error_code<json_text::json_errc>(json_text::parse(std::string(4 << 20, '[')).status()) ==
          json_text::json_errc::too_deep);
}

// Failure: brackets inside strings count as nesting, or hide it.
TEST_CASE("nesting_depth counts the brackets outside strings")
{
    CHECK(json_text::nesting_depth("17") == 0);
    CHECK(json_text::nesting_depth(R"({"a":[1,[2]],"b":{}})") == 3);
    CHECK(json_text::nesting_depth(R"({"[[[":"{{{"})") == 1);
    CHECK(json_text::nesting_depth(R"(["\"[[[","\\",[[]]])") == 3);
    CHECK(json_text::nesting_depth("]]]][") == 1);
    CHECK(json_text::nesting_depth(R"({"a":"unfinished [[[)") == 1);
}

// Failure: a number out of range, a literal that is no JSON or invalid UTF-8 raises an exception.
TEST_CASE("parse reports malformed documents as an error")
{
    for (const std::string text :
         {"", "1e400", "-1e400", "NaN", "Infinity", "[1e400]", "{\"a\":\"\xff\"}", "\"\xc3\"",
          "\"\\ud800\"", "[1] [2]", "{\"a\":1,}", "[", "\xef\xbb"}) {
        CAPTURE(text);
        CHECK(error_code<json_text::json_errc>(json_text::parse(text).status()) ==
              json_text::json_errc::malformed);
    }
}

// Failure: a text that is not UTF-8 raises an exception when an answer quotes it.
TEST_CASE("dump replaces bytes that are not UTF-8")
{
    CHECK(json_text::dump({{"value", "a\xff"
                                     "b"}}) == "{\"value\":\"a\xef\xbf\xbd"
                                               "b\"}");
    CHECK(json_text::dump("\xc3") == "\"\xef\xbf\xbd\"");
}
