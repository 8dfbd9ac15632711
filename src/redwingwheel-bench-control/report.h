#pragma once

#include <span>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace redwingwheel::control::bench {

struct point {
    double x = 0.0;
    double y = 0.0;
};

/// y = slope * x + offset, by least squares.
struct line_fit {
    double slope = 0.0;
    double offset = 0.0;
    double largest_residual = 0.0;
};
[[nodiscard]] line_fit fit_line(std::span<const point> points);

/// Prints the fit as a line of text and as a JSON line.
void print_fit(std::string_view what, std::string_view x_unit, std::string_view y_unit,
               std::span<const point> points);

/// One JSON line; `what` becomes its first field.
void print_json(std::string_view what, nlohmann::json fields);

} // namespace redwingwheel::control::bench
