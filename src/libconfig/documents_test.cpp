#include <fstream>
#include <iterator>
#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "redwingwheel/configuration.h"
#include "redwingwheel/settings.h"

namespace config = redwingwheel::config;

namespace {

struct documented_key {
    std::string allowed;
    std::string fallback;
};

std::string read_source(const std::string& name)
{
    std::ifstream file(std::string(RWW_SOURCE_DIR) + "/" + name);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::vector<std::string> lines_of(const std::string& text)
{
    std::vector<std::string> lines(1);
    for (const char letter : text) {
        if (letter == '\n') {
            lines.emplace_back();
        }
        else {
            lines.back() += letter;
        }
    }
    return lines;
}

/// The rows "| `key` | allowed | default | meaning |" of the settings reference.
std::map<std::string, documented_key> documented_keys()
{
    const std::string page = read_source("docs/OPERATIONS.md");
    const std::size_t begin = page.find("## Settings reference");
    const std::string section = page.substr(begin, page.find("\n## ", begin) - begin);
    std::map<std::string, documented_key> keys;
    for (const std::string& line : lines_of(section)) {
        if (line.substr(0, 3) != "| `") {
            continue;
        }
        std::vector<std::string> cells;
        for (std::size_t at = 2; at < line.size();) {
            const std::size_t end = line.find(" | ", at);
            cells.push_back(line.substr(at, end - at));
            at = end == std::string::npos ? line.size() : end + 3;
        }
        REQUIRE(cells.size() == 4);
        keys[cells[0].substr(1, cells[0].size() - 2)] = {cells[1], cells[2]};
    }
    return keys;
}

/// The YAML blocks of the page.
std::vector<std::string> yaml_blocks()
{
    std::vector<std::string> blocks;
    const std::string page = read_source("docs/OPERATIONS.md");
    const std::string fence = "```yaml\n";
    for (std::size_t at = page.find(fence); at != std::string::npos; at = page.find(fence, at)) {
        at += fence.size();
        blocks.push_back(page.substr(at, page.find("```", at) - at));
    }
    return blocks;
}

/// Settings with every key, as a map from section to its keys and values.
using sections = std::map<std::string, std::map<std::string, std::string>>;

sections whole_settings()
{
    const std::string address = "127.0.0.1:71";
    return {{"",
             {{"name", "a"},
              {"region", "r"},
              {"data_centre", "d"},
              {"roles", "[entry, control, agent, gateway, supervisor]"},
              {"data_folder", "f"},
              {"cluster_secret_file", "s"}}},
            {"log", {{"level", "info"}, {"file", "x"}}},
            {"control", {{"listen", address}, {"replicas", "[" + address + "]"}}},
            {"entry",
             {{"listen", address},
              {"threads", "1"},
              {"max_body_kb", "1"},
              {"drain_notice_ms", "1"},
              {"operators", "[]"}}},
            {"agent",
             {{"worker", "w"},
              {"rack", "r"},
              {"listen", address},
              {"backend", address},
              {"accelerators", "8"},
              {"accelerators_per_group", "4"},
              {"cores", "1"},
              {"memory_mb", "1"},
              {"slots", "1"},
              {"connections", "1"}}},
            {"cluster",
             {{"listen", address},
              {"bind", address},
              {"seeds", "[" + address + "]"},
              {"port", "1"},
              {"founding", "true"},
              {"tolerated_losses", "1"}}},
            {"gateway", {{"listen", address}, {"readiness", address}, {"administration", address}}},
            {"supervisor", {{"listen", address}, {"worker", address}, {"lease_ms", "6000"}}},
            {"metrics", {{"listen", address}}},
            {"timing", {{"poll_ms", "500"}, {"permit_ms", "3000"}, {"drain_ms", "1"}}}};
}

std::string render(const sections& all)
{
    std::string text;
    for (const auto& [section, keys] : all) {
        text += section.empty() ? "" : section + ":\n";
        for (const auto& [key, value] : keys) {
            text += fmt::format("{}{}: {}\n", section.empty() ? "" : "  ", key, value);
        }
    }
    return text;
}

std::vector<config::problem> problems_with(const sections& all)
{
    return config::problems_of(config::load_settings(render(all), "f").status());
}

/// Sets `path` in the settings; "[]" in it stands for the one item of a list.
sections with_value(const std::string& path, const std::string& value)
{
    sections all = whole_settings();
    const std::size_t list = path.find("[].");
    if (list != std::string::npos) {
        all["entry"]["operators"] = fmt::format("[{{{}: {}}}]", path.substr(list + 3), value);
        return all;
    }
    const std::size_t dot = path.find('.');
    const std::string section = dot == std::string::npos ? "" : path.substr(0, dot);
    all[section][dot == std::string::npos ? path : path.substr(dot + 1)] = value;
    return all;
}

/// The problem at `path`, or an empty one.
config::problem problem_at(const std::vector<config::problem>& problems, std::string path)
{
    const std::size_t list = path.find("[]");
    if (list != std::string::npos) {
        path.insert(list + 1, "0");
    }
    for (const config::problem& found : problems) {
        if (found.field == path) {
            return found;
        }
    }
    return {};
}

} // namespace

// Guards against a settings reference that lacks a key or names one that does not exist.
TEST_CASE("the settings reference has exactly the keys of the loader", "[documents]")
{
    REQUIRE(problems_with(whole_settings()).empty());
    std::set<std::string> documented;
    for (const auto& [key, row] : documented_keys()) {
        documented.insert(key);
    }
    std::set<std::string> known;
    for (const char* const section :
         {"", "log.", "control.", "entry.", "agent.", "timing.", "entry.operators[].", "cluster.",
          "gateway.", "supervisor.", "metrics.", "limits.", "scheduling."}) {
        const std::string path = fmt::format("{}zz", section);
        const std::string allowed = problem_at(problems_with(with_value(path, "1")), path).allowed;
        REQUIRE(allowed.substr(0, 7) == "one of ");
        for (std::size_t at = 7; at < allowed.size();) {
            const std::size_t end = std::min(allowed.find(", ", at), allowed.size());
            known.insert(section + allowed.substr(at, end - at));
            at = end + 2;
        }
    }
    for (const char* const section : {"log", "control", "entry", "agent", "timing", "cluster",
                                      "gateway", "supervisor", "metrics", "limits", "scheduling"}) {
        REQUIRE(known.erase(section) == 1);
    }
    REQUIRE(documented == known);
}

// Guards against a reference whose ranges or defaults differ from the loader's.
TEST_CASE("the settings reference has the ranges and defaults of the loader", "[documents]")
{
    const std::map<std::string, std::string> defaults{
        {"log.level", config::log_settings().level},
        {"log.file", "empty"},
        {"metrics.listen", "empty"},
        {"cluster.bind", "listen"},
        {"cluster.port", fmt::format("{}", config::cluster_settings().port)},
        {"cluster.founding", "false"},
        {"cluster.tolerated_losses",
         fmt::format("{}", config::cluster_settings().tolerated_losses)},
        {"scheduling.urgent_headroom_percent",
         fmt::format("{}", config::scheduling_settings().urgent_headroom_percent)},
        {"limits.connections", fmt::format("{}", config::limit_settings().connections)},
        {"limits.unfinished_kb", fmt::format("{}", config::limit_settings().unfinished_kb)},
        {"limits.stall_ms", fmt::format("{}", config::limit_settings().stall.count())},
        {"limits.request_ms", fmt::format("{}", config::limit_settings().request.count())},
        {"limits.job_memory_mb", fmt::format("{}", config::limit_settings().job_memory_mb)},
        {"timing.poll_ms", fmt::format("{}", config::timing_settings().poll.count())},
        {"timing.permit_ms", fmt::format("{}", config::timing_settings().permit.count())},
        {"timing.drain_ms", fmt::format("{}", config::timing_settings().drain.count())}};
    for (const auto& [key, row] : documented_keys()) {
        INFO(key);
        // A map of a map is wrong for every key, so the loader says what is allowed.
        const std::string allowed =
            problem_at(problems_with(with_value(key, "{zz: {zz: 1}}")), key).allowed;
        REQUIRE_FALSE(allowed.empty());
        REQUIRE(row.allowed.substr(0, allowed.size()) == allowed);

        const auto found = defaults.find(key);
        REQUIRE(row.fallback.substr(0, 8) ==
                (found == defaults.end() ? "required" : found->second));
        sections without = with_value(key, "1");
        const std::size_t dot = key.find('.');
        if (key.find("[]") == std::string::npos) {
            without[dot == std::string::npos ? "" : key.substr(0, dot)].erase(
                dot == std::string::npos ? key : key.substr(dot + 1));
            const bool missing = problem_at(problems_with(without), key).value == "(missing)";
            REQUIRE(missing == (found == defaults.end()));
        }
    }
}

// Guards against examples that the loader or the configuration refuses.
TEST_CASE("the documents' and the examples' files are accepted", "[documents]")
{
    config::configuration documented;
    int notes = 0;
    for (const std::string& block : yaml_blocks()) {
        INFO(block);
        if (!config::looks_like_release_note(block)) {
            REQUIRE(config::load_settings(block, "f").ok());
            continue;
        }
        ++notes;
        const absl::StatusOr<config::release_note> note =
            config::parse_release_note_yaml(block, "f");
        REQUIRE(note.ok());
        REQUIRE(documented.apply(*note).outcome == config::apply_outcome::accepted);
    }
    REQUIRE(notes == 2);
    for (const char* const example : {"inspector", "planner"}) {
        config::configuration held;
        for (const char* const file : {"release-note", "release-note-2"}) {
            const std::string name = fmt::format("examples/{}/{}.yaml", example, file);
            INFO(name);
            const absl::StatusOr<config::release_note> note =
                config::parse_release_note_yaml(read_source(name), name);
            REQUIRE(note.ok());
            REQUIRE(held.apply(*note).outcome == config::apply_outcome::accepted);
        }
        REQUIRE(held.client_accounts().size() == 4);
    }
}
