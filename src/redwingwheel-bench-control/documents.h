#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

/// Release notes and jobs that the bench sends.
namespace redwingwheel::control::bench {

inline constexpr std::size_t tasks_per_job = 5;

/// Data centres, accounts and one service; makes revision 1.
[[nodiscard]] nlohmann::json first_note();

/// One guaranteed group for every eight workers; makes revision 2.
[[nodiscard]] nlohmann::json agreements_note(std::size_t workers);

/// One change of an account on top of revision `base`.
[[nodiscard]] nlohmann::json weight_note(std::uint64_t base);

/// Jobs of five members with one accelerator each.
[[nodiscard]] std::vector<nlohmann::json> make_jobs(std::size_t count);

} // namespace redwingwheel::control::bench
