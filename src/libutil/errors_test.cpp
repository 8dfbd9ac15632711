#include "redwingwheel/errors.h"

#include <catch2/catch.hpp>

namespace {

enum class lower_errc { broken = 7 };
constexpr std::string_view error_layer(lower_errc)
{
    return "lower";
}
constexpr std::string_view error_name(lower_errc)
{
    return "broken";
}
constexpr absl::StatusCode error_category(lower_errc)
{
    return absl::StatusCode::kInternal;
}

enum class upper_errc { unavailable = 3 };
constexpr std::string_view error_layer(upper_errc)
{
    return "upper";
}
constexpr std::string_view error_name(upper_errc)
{
    return "unavailable";
}
constexpr absl::StatusCode error_category(upper_errc)
{
    return absl::StatusCode::kUnavailable;
}

} // namespace

// Guards against a layer that takes the code of another layer for its own.
TEST_CASE("a status carries the code of its own layer only", "[errors]")
{
    const absl::Status lower = redwingwheel::make_error(lower_errc::broken, "disk");
    REQUIRE(redwingwheel::error_code<lower_errc>(lower) == lower_errc::broken);
    REQUIRE_FALSE(redwingwheel::error_code<upper_errc>(lower).has_value());

    const absl::Status upper = redwingwheel::translate_error(upper_errc::unavailable, lower);
    REQUIRE(redwingwheel::error_code<upper_errc>(upper) == upper_errc::unavailable);
    REQUIRE_FALSE(redwingwheel::error_code<lower_errc>(upper).has_value());
    REQUIRE(upper.code() == absl::StatusCode::kUnavailable);
    REQUIRE(std::string(upper.message()).find("disk") != std::string::npos);
}
