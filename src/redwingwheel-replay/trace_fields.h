#pragma once

#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "redwingwheel/clock.h"
#include "redwingwheel/printable.h"

namespace redwingwheel::replay {

/// A line of a trace that is not as the format says. Never leaves the trace reader.
class bad_field : public std::runtime_error {
public:
    bad_field(std::string_view field, std::string_view value, std::string_view allowed)
        : std::runtime_error(
              fmt::format("{}: {}; allowed: {}", printable(field), printable(value), allowed))
    {
    }
};

/// Typed access to the fields of one line; remembers which fields were asked for.
class trace_fields {
public:
    explicit trace_fields(std::string_view text);

    [[nodiscard]] bool has(std::string_view field) const;
    std::string text(std::string_view field);
    std::string text_or(std::string_view field, std::string_view fallback);
    std::string one_of(std::string_view field, const std::vector<std::string>& allowed,
                       std::string_view fallback);
    std::uint64_t number(std::string_view field, std::uint64_t low, std::uint64_t high);
    std::uint64_t number_or(std::string_view field, std::uint64_t low, std::uint64_t high,
                            std::uint64_t fallback);
    milliseconds time(std::string_view field);
    milliseconds time_or(std::string_view field, milliseconds fallback);
    double real(std::string_view field, double low, double high);
    bool flag_or(std::string_view field, bool fallback);

    /// Throws when the line has a field that was not asked for.
    void reject_unknown() const;

private:
    const nlohmann::json* find(std::string_view field);

    nlohmann::json line;
    std::set<std::string, std::less<>> known;
};

} // namespace redwingwheel::replay
