#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "simulation.h"

namespace redwingwheel::bench_routing {

/// Quantile `share` (0 to 1) of the latencies in milliseconds; 0 without any.
[[nodiscard]] double quantile_ms(const class_outcome& outcome, double share);

/// Done slot time per second, in slots.
[[nodiscard]] double goodput_slots(const run_outcome& outcome);

void print_table(std::ostream& out, const std::vector<run_outcome>& outcomes);
void print_json_lines(std::ostream& out, const std::vector<run_outcome>& outcomes,
                      std::uint64_t seed);

/// Prints each goal that this comparison can judge, with the measured value.
void print_goals(std::ostream& out, const std::vector<run_outcome>& outcomes);

} // namespace redwingwheel::bench_routing
