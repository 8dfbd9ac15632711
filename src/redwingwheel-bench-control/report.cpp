#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace redwingwheel::control::bench {

line_fit fit_line(std::span<const point> points)
{
    const double count = static_cast<double>(points.size());
    double mean_x = 0.0;
    double mean_y = 0.0;
    for (const point& each : points) {
        mean_x += each.x / count;
        mean_y += each.y / count;
    }
    double covariance = 0.0;
    double variance = 0.0;
    for (const point& each : points) {
        covariance += (each.x - mean_x) * (each.y - mean_y);
        variance += (each.x - mean_x) * (each.x - mean_x);
    }
    line_fit fit;
    fit.slope = variance > 0.0 ? covariance / variance : 0.0;
    fit.offset = mean_y - fit.slope * mean_x;
    for (const point& each : points) {
        fit.largest_residual =
            std::max(fit.largest_residual, std::abs(each.y - fit.slope * each.x - fit.offset));
    }
    return fit;
}

void print_fit(std::string_view what, std::string_view x_unit, std::string_view y_unit,
               std::span<const point> points)
{
    const line_fit fit = fit_line(points);
    fmt::print("fit {}: {:.5g} {} per {} + {:.5g} {}, largest residual {:.3g}\n", what, fit.slope,
               y_unit, x_unit, fit.offset, y_unit, fit.largest_residual);
    nlohmann::json listed = nlohmann::json::array();
    for (const point& each : points) {
        listed.push_back({each.x, each.y});
    }
    print_json("fit", {{"of", what},
                       {"x", x_unit},
                       {"y", y_unit},
                       {"slope", fit.slope},
                       {"offset", fit.offset},
                       {"largest_residual", fit.largest_residual},
                       {"points", listed}});
}

void print_json(std::string_view what, nlohmann::json fields)
{
    fields["measure"] = what;
    fmt::print("{}\n", fields.dump());
    std::fflush(stdout);
}

} // namespace redwingwheel::control::bench
