#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <fmt/core.h>
#include <popt.h>

#include "testing/fault_matrix.h"

namespace replication = redwingwheel::replication;
using replication::testing::all_cells;
using replication::testing::cell_name;
using replication::testing::cell_result;
using replication::testing::fault_cell;
using replication::testing::run_cell;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;

struct settings {
    int seconds = 30;
    long long seed = 0;
    std::string cell;
};

struct totals {
    std::uint64_t cells = 0;
    std::uint64_t runs = 0;
    std::uint64_t struck = 0;
    std::uint64_t checks = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t failed = 0;
};

/// False when the arguments are wrong; a line on the error stream says how.
bool read_settings(int argc, const char** argv, settings& chosen)
{
    char* cell = nullptr;
    const poptOption table[] = {
        {"seconds", 'n', POPT_ARG_INT, &chosen.seconds, 0, "time to run", "N"},
        {"seed", 's', POPT_ARG_LONGLONG, &chosen.seed, 0, "first seed", "S"},
        {"cell", 'c', POPT_ARG_STRING, &cell, 0, "run only this cell, once", "NAME"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int status = poptGetNextOpt(context);
    if (status < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(status));
    }
    else if (chosen.seconds < 0 || chosen.seconds > 86'400) {
        fmt::print(stderr, "--seconds: {}: allowed are 0 to 86400\n", chosen.seconds);
    }
    chosen.cell = cell == nullptr ? "" : cell;
    std::free(cell);
    poptFreeContext(context);
    return status == -1 && chosen.seconds >= 0 && chosen.seconds <= 86'400;
}

void run_one(const fault_cell& cell, std::uint64_t seed, totals& total)
{
    const cell_result result = run_cell(cell, seed);
    ++total.runs;
    total.struck += result.fault_injected ? 1 : 0;
    total.checks += result.checks;
    total.acknowledged += result.acknowledged;
    if (result.violations.empty()) {
        return;
    }
    ++total.failed;
    const std::string name = cell_name(cell);
    fmt::print("failed: cell {} seed {}: {} violations, the first: {}\n", name, seed,
               result.violations.size(), result.violations.front());
    fmt::print("repeat: redwingwheel-faults --seed {} --cell {}\n", seed, name);
}

} // namespace

int main(int argc, const char** argv)
{
    settings chosen;
    if (!read_settings(argc, argv, chosen)) {
        return exit_bad_input;
    }
    const redwingwheel::steady_time end =
        redwingwheel::boot_clock::now() + std::chrono::seconds(chosen.seconds);
    totals total;
    const std::vector<fault_cell> cells = all_cells();
    std::uint64_t seed = static_cast<std::uint64_t>(chosen.seed);
    for (bool on = true; on; ++seed) {
        std::uint64_t run_in_pass = 0;
        for (const fault_cell& cell : cells) {
            if (!chosen.cell.empty() && cell_name(cell) != chosen.cell) {
                continue;
            }
            if (chosen.cell.empty() && redwingwheel::boot_clock::now() >= end) {
                on = false;
                break;
            }
            run_one(cell, seed, total);
            ++run_in_pass;
        }
        total.cells = std::max(total.cells, run_in_pass);
        on = on && chosen.cell.empty();
    }
    if (!chosen.cell.empty() && total.runs == 0) {
        fmt::print(stderr, "--cell: {}: no such cell, allowed are FAULT[+FAULT]@STEP\n",
                   chosen.cell);
        return exit_bad_input;
    }
    fmt::print(
        "faults: {} of {} cells, {} runs from seed {}, {} with the fault struck, {} commands "
        "acknowledged, {} invariants checked, {} runs failed\n",
        total.cells, cells.size(), total.runs, chosen.seed, total.struck, total.acknowledged,
        total.checks, total.failed);
    return total.failed == 0 ? EXIT_SUCCESS : exit_failed;
}
