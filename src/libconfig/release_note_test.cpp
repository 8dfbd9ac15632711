#include "redwingwheel/release_note.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "redwingwheel/calendar.h"

namespace config = redwingwheel::config;

namespace {

const std::string whole = R"(note: n1
base: 3
added:
  data_centres: [{name: dc1, region: santiago}]
  client_accounts:
    - {name: acme, token_digest: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef, weight: 3}
  agreements:
    - {id: a1, account: acme, level: group, count: 2, data_centre: dc1, starts: 2026-01-01, ends: 2027-01-01}
  services:
    - {name: recount, class: batch, idempotent: false, can_checkpoint: true, accounts: [acme], default_deadline_ms: 60000}
changed:
  services: [{name: check, idempotent: true, accounts: []}]
  agreements: [{id: a2, data_centre: ""}]
withdrawn:
  agreements: [a0]
)";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text = whole;
    const std::size_t place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

} // namespace

// Guards against a field that is lost or altered on the way through YAML and JSON.
TEST_CASE("a note reads the same from YAML and from its own JSON", "[release_note]")
{
    const absl::StatusOr<config::release_note> note =
        config::parse_release_note_yaml(whole, "n.yaml");
    REQUIRE(note.ok());
    REQUIRE((note->note == "n1" && note->base == 3));
    REQUIRE(note->added.agreements.at(0).level == config::agreement_level::group);
    REQUIRE(note->added.services.at(0).request_class == config::service_class::batch);
    REQUIRE(note->added.services.at(0).can_checkpoint);
    REQUIRE(note->changed.services.at(0).fields ==
            std::vector<std::string>{"idempotent", "accounts"});
    REQUIRE(note->changed.agreements.at(0).fields == std::vector<std::string>{"data_centre"});

    const std::string json = config::to_json(*note).dump();
    const absl::StatusOr<config::release_note> again =
        config::parse_release_note_json(json, "body");
    REQUIRE(again.ok());
    REQUIRE(config::to_json(*again).dump() == json);
}

// Guards against a faulty note that is accepted, or refused without naming the fault.
TEST_CASE("one fault in a note gives one line", "[release_note]")
{
    struct bad_case {
        std::string_view from;
        std::string_view to;
        std::string_view line_start;
    };
    const std::vector<bad_case> cases{
        {"note: n1", "note: n 1", "n.yaml: note: value n 1: allowed 1 to 64 of"},
        {"base: 3", "base: -3", "n.yaml: base: value -3: allowed a whole number 0.."},
        {"added:", "aded:", "n.yaml: aded: value (unknown key): allowed one of note, base"},
        {"data_centres: [{", "centres: [{", "n.yaml: added.centres: value (unknown key)"},
        {"level: group", "level: slice", "n.yaml: added.agreements[0].level: value slice: allow"},
        {"count: 2, ", "", "n.yaml: added.agreements[0].count: value (missing): allowed"},
        {"count: 2", "count: 0", "n.yaml: added.agreements[0].count: value 0: allowed a whole"},
        {"2026-01-01", "2026-02-30", "n.yaml: added.agreements[0].starts: value 2026-02-30"},
        {"2026-01-01", "2027-01-01", "n.yaml: added.agreements.a1.ends: value 2027-01-01: allo"},
        {"idempotent: false", "idempotent: no", "n.yaml: added.services[0].idempotent: value no"},
        {"accounts: [acme]", "accounts: [acme, acme]", "n.yaml: added.services[0].accounts[1]"},
        {"[a0]", "[a0, a0]", "n.yaml: withdrawn.agreements: value a0: allowed each thing once"},
        {"[a0]", "[a2]", "n.yaml: withdrawn.agreements: value a2: allowed each thing once"},
        {"[a0]", "[a1]", "n.yaml: withdrawn.agreements: value a1: allowed each thing once"},
        {"{id: a2, data_centre: \"\"}", "{id: a2}", "n.yaml: changed.agreements: value a2: allo"},
        {"weight: 3", "weight: 3, level: gold", "n.yaml: added.client_accounts[0].level: value ("},
    };
    for (const bad_case& bad : cases) {
        INFO(bad.to);
        const absl::StatusOr<config::release_note> note =
            config::parse_release_note_yaml(replaced(bad.from, bad.to), "n.yaml");
        REQUIRE_FALSE(note.ok());
        const std::vector<std::string> lines = config::problem_lines(note.status());
        REQUIRE(lines.size() == 1);
        REQUIRE(lines[0].substr(0, bad.line_start.size()) == bad.line_start);
    }
    REQUIRE_FALSE(config::parse_release_note_yaml("note: n\nbase: 0\n", "n.yaml").ok());
}

// Guards against JSON bodies whose duplicate keys or broken syntax pass unseen.
TEST_CASE("JSON bodies are held to the same rules", "[release_note]")
{
    for (const std::string& text :
         {std::string(R"({"note":"a","note":"b","base":0,"withdrawn":{"services":["s"]}})"),
          std::string(R"({"note":"a","base":"0","withdrawn":{"services":["s"]}})"),
          std::string(R"({"note":"a","base":0.5,"withdrawn":{"services":["s"]}})"),
          std::string(R"({"note":"a","base":0,)"), std::string(200'000, '['),
          std::string("\xff")}) {
        INFO(text.substr(0, 60));
        const absl::StatusOr<config::release_note> note =
            config::parse_release_note_json(text, "body");
        REQUIRE_FALSE(note.ok());
        REQUIRE(config::problems_of(note.status()).size() == 1);
    }
}

// Guards against a guarantee that is in force a day too long or too short.
TEST_CASE("a term includes its first day and excludes its last date", "[release_note]")
{
    config::agreement held;
    held.starts = "2026-01-31";
    held.ends = "2026-03-01";
    const std::chrono::sys_days starts = *redwingwheel::parse_date(held.starts);
    const std::chrono::sys_days ends = *redwingwheel::parse_date(held.ends);
    REQUIRE(ends - starts == std::chrono::days(29));
    REQUIRE(config::in_term(held, starts));
    REQUIRE_FALSE(config::in_term(held, starts - std::chrono::days(1)));
    REQUIRE(config::in_term(held, ends - std::chrono::days(1)));
    REQUIRE_FALSE(config::in_term(held, ends));
}
