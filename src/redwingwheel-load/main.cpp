#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <fmt/format.h>
#include <popt.h>

#include "load_run.h"

namespace {

namespace load = redwingwheel::load;

constexpr int exit_faults = 1;
constexpr int exit_bad_input = 2;
constexpr double max_seconds = 600.0;
constexpr int max_deadline_ms = 120'000;

struct tool_options {
    load::run_settings run;
    std::string json_file;
    std::string label;
};

/// Takes over a text that popt allocated.
std::string take_text(char*& text)
{
    std::string taken = text == nullptr ? "" : text;
    std::free(text);
    text = nullptr;
    return taken;
}

std::string read_token(const std::string& name)
{
    std::ifstream file(name);
    std::string token;
    std::getline(file, token);
    return token;
}

/// Empty when everything is allowed, else what is wrong.
std::string check(const tool_options& options, const std::string& mix_text)
{
    if (options.run.entries.empty()) {
        return "--entry: required";
    }
    if (options.run.mix.empty()) {
        return fmt::format("--mix: value {}: allowed SERVICE:RATE_PER_S:BODY_BYTES,...", mix_text);
    }
    if (!options.run.direct && options.run.token.empty()) {
        return "--token-file: allowed a file that begins with a token";
    }
    const double all_s = options.run.seconds + options.run.warm_up_s;
    if (!(options.run.seconds > 0.0) || !(options.run.warm_up_s >= 0.0) || all_s > max_seconds) {
        return fmt::format("--seconds, --warm-up-s: allowed together up to {}", max_seconds);
    }
    if (options.run.deadline.count() < 1 || options.run.deadline.count() > max_deadline_ms) {
        return fmt::format("--deadline-ms: allowed 1..{}", max_deadline_ms);
    }
    double arrivals = 0.0;
    for (const load::service_load& each : options.run.mix) {
        arrivals += each.rate_per_s * all_s;
    }
    return arrivals <= load::max_arrivals
               ? ""
               : fmt::format("--mix: allowed up to {} requests in all", load::max_arrivals);
}

/// Returns what is wrong, or nothing.
std::string read_options(int argc, const char** argv, tool_options& chosen)
{
    constexpr int entry_option = 1;
    constexpr int keyed_option = 2;
    char* entry = nullptr;
    char* token_file = nullptr;
    char* mix = nullptr;
    char* keyed = nullptr;
    char* json_file = nullptr;
    char* label = nullptr;
    long seed = 1;
    int deadline_ms = 2000;
    int direct = 0;
    const std::array<poptOption, 13> table{{
        {"entry", 'e', POPT_ARG_STRING, &entry, entry_option, "Entry to use; repeated", "IP:PORT"},
        {"token-file", 't', POPT_ARG_STRING, &token_file, 0, "Token of the account", "FILE"},
        {"mix", 'm', POPT_ARG_STRING, &mix, 0, "Load", "SERVICE:RATE_PER_S:BODY_BYTES,..."},
        {"keyed", 'k', POPT_ARG_STRING, &keyed, keyed_option,
         "Service whose requests carry an idempotency key; repeated", "SERVICE"},
        {"seconds", 's', POPT_ARG_DOUBLE, &chosen.run.seconds, 0, "Measured time", "N"},
        {"warm-up-s", 'w', POPT_ARG_DOUBLE, &chosen.run.warm_up_s, 0, "Unmeasured time before",
         "N"},
        {"seed", 0, POPT_ARG_LONG, &seed, 0, "Seed of arrivals and bodies", "N"},
        {"deadline-ms", 'd', POPT_ARG_INT, &deadline_ms, 0, "Deadline of each request", "N"},
        {"direct", 0, POPT_ARG_NONE, &direct, 0, "The addresses are backend servers", nullptr},
        {"json", 'j', POPT_ARG_STRING, &json_file, 0, "File that JSON lines are added to", "FILE"},
        {"label", 'l', POPT_ARG_STRING, &label, 0, "Name of the run in JSON lines", "TEXT"},
        POPT_AUTOHELP POPT_TABLEEND,
    }};
    const poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
    int next = 0;
    while ((next = poptGetNextOpt(context)) > 0) {
        if (next == entry_option) {
            chosen.run.entries.push_back(take_text(entry));
        }
        else {
            chosen.run.keyed.insert(take_text(keyed));
        }
    }
    std::string wrong;
    if (next < -1) {
        wrong = fmt::format("{}: {}", poptBadOption(context, 0), poptStrerror(next));
    }
    else if (poptPeekArg(context) != nullptr) {
        wrong = fmt::format("{}: not an option", poptPeekArg(context));
    }
    poptFreeContext(context);
    const std::string mix_text = take_text(mix);
    chosen.run.token = read_token(take_text(token_file));
    chosen.run.mix = load::parse_mix(mix_text).value_or(std::vector<load::service_load>());
    chosen.run.seed = static_cast<std::uint64_t>(seed);
    chosen.run.deadline = redwingwheel::milliseconds(deadline_ms);
    chosen.run.direct = direct != 0;
    chosen.json_file = take_text(json_file);
    chosen.label = take_text(label);
    return wrong.empty() ? check(chosen, mix_text) : wrong;
}

} // namespace

int main(int argc, const char** argv)
{
    tool_options options;
    const std::string wrong = read_options(argc, argv, options);
    if (!wrong.empty()) {
        std::cerr << wrong << "\n";
        return exit_bad_input;
    }
    const load::run_outcome outcome = load::run_load(options.run);
    std::vector<load::service_results> rows = outcome.measured;
    rows.push_back(load::sum_results(outcome.measured));
    const load::service_results& all = rows.back();
    const std::uint64_t faults =
        all.wrong + all.lost + outcome.warm_up.wrong + outcome.warm_up.lost;
    rows.push_back(outcome.warm_up);
    load::print_table(std::cout, rows, options.run.seconds);
    std::cout << fmt::format("seed {}, sender at most {:.1f} ms behind its schedule\n",
                             options.run.seed, outcome.most_behind_ms);
    if (!options.json_file.empty()) {
        std::ofstream file(options.json_file, std::ios::app);
        load::print_json_lines(file, rows, options.run.seconds, options.run.seed, options.label);
        if (!file.good()) {
            std::cerr << fmt::format("{}: cannot be written\n", options.json_file);
            return exit_faults;
        }
    }
    return faults == 0 ? 0 : exit_faults;
}
