#include <array>
#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "redwingwheel/configuration.h"
#include "redwingwheel/settings.h"
#include "redwingwheel/socket_address.h"

namespace config = redwingwheel::config;

namespace {

constexpr std::uint32_t seed = 20261204;
constexpr int mutations = 4000;

const std::string digest_text(64, 'd');

const std::string settings_text =
    "name: a1\nregion: r\ndata_centre: d\nroles: [entry, control, agent]\ndata_folder: f\n"
    "cluster_secret_file: s\nlog: {level: info, file: \"\"}\n"
    "control: {listen: 127.0.0.1:71, replicas: [127.0.0.1:71, 127.0.0.1:72]}\n"
    "entry: {listen: 127.0.0.1:81, threads: 4, max_body_kb: 1024, drain_notice_ms: 5, "
    "operators: [{name: ops, token_digest: " +
    digest_text +
    "}]}\nagent: {worker: w1, rack: r1, listen: 127.0.0.1:91, backend: 127.0.0.1:92, "
    "accelerators: 8, accelerators_per_group: 4, cores: 32, memory_mb: 65536, slots: 8, "
    "connections: 64}\ntiming: {poll_ms: 500, permit_ms: 3000, drain_ms: 30000}\n";

const std::string base_note =
    "note: n0\nbase: 0\nadded:\n  data_centres: [{name: dc1, region: r}]\n"
    "  client_accounts: [{name: acme, token_digest: " +
    digest_text + ", weight: 1}, {name: beta, token_digest: " + digest_text +
    ", weight: 2}]\n"
    "  agreements: [{id: a1, account: acme, level: host, count: 1, starts: 2026-01-01, ends: "
    "2027-01-01}, {id: a2, account: beta, level: rack, count: 1, starts: 2026-01-01, ends: "
    "2027-01-01}]\n"
    "  services: [{name: s1, class: batch, idempotent: true, can_checkpoint: false, accounts: "
    "[acme], default_deadline_ms: 9}]\n";

const std::string note_text =
    "note: n1\nbase: 1\nadded:\n  data_centres: [{name: dc2, region: r}]\n"
    "  agreements: [{id: a3, account: acme, level: host, count: 1, data_centre: dc2, starts: "
    "2026-01-01, ends: 2027-01-01}]\n"
    "changed:\n  client_accounts: [{name: beta, weight: 5}]\n"
    "  services: [{name: s1, accounts: [acme, beta], idempotent: false}]\n"
    "withdrawn:\n  agreements: [a1]\n";

/// Makes one to three random changes to a text: bytes, runs, lines and values.
class mutator {
public:
    explicit mutator(std::uint32_t start) : random(start) {}

    std::string mutate(std::string text)
    {
        const std::size_t rounds = 1 + this->below(3);
        for (std::size_t round = 0; round < rounds && !text.empty(); ++round) {
            this->change_once(text);
        }
        return text;
    }
    std::size_t below(std::size_t limit) { return this->random() % limit; }

private:
    void change_once(std::string& text)
    {
        static const std::array<std::string_view, 20> values{
            "-1",         "0",         "99999999999999999999",
            "\"\"",       "~",         "[]",
            "{}",         "&a x",      "*a",
            "1e3",        "0x10",      "true",
            "[a, a]",     "{a: b}",    "\"\\x00\"",
            "|\n x",      "- x",       "a1",
            "2026-02-30", "!!binary x"};
        const std::size_t place = this->below(text.size());
        switch (this->below(8)) {
        case 0:
            text[place] = static_cast<char>(this->below(256));
            break;
        case 1:
            text.erase(place, 1 + this->below(8));
            break;
        case 2:
            text.insert(place, 1, static_cast<char>(this->below(128)));
            break;
        case 3:
            text.insert(place, text.substr(this->below(text.size()), this->below(40)));
            break;
        case 4:
            text.resize(place);
            break;
        case 5:
        case 6: {
            // Stays well formed, so that range checks are met and not only the syntax.
            const std::size_t digit = text.find_first_of("0123456789", place);
            if (digit != std::string::npos) {
                text[digit] = static_cast<char>('0' + this->below(10));
            }
            break;
        }
        default: {
            const std::size_t begin = text.find(": ", place);
            if (begin != std::string::npos) {
                const std::size_t end = std::min(text.find_first_of(",}\n", begin), text.size());
                text.replace(begin + 2, end - begin - 2, values.at(this->below(values.size())));
            }
        }
        }
    }

    std::mt19937 random;
};

bool is_address(const std::string& text)
{
    const std::optional<redwingwheel::socket_address> read = redwingwheel::parse_address(text);
    return read.has_value() && read->port != 0;
}

/// Checks independently of the loader that what it gave is whole: nothing is left at "unset".
bool is_whole(const config::settings& read)
{
    const config::role_set& roles = read.roles;
    bool good = config::is_name(read.name) && config::is_name(read.region) &&
                config::is_name(read.data_centre) && !read.cluster_secret_file.empty() &&
                (roles.entry || roles.control || roles.agent) && !read.control.replicas.empty() &&
                read.timing.permit >= 2 * read.timing.poll && read.timing.poll.count() > 0;
    for (const std::string& replica : read.control.replicas) {
        good = good && is_address(replica);
    }
    if (roles.control) {
        good = good && is_address(read.control.listen) && !read.data_folder.empty();
    }
    if (roles.entry) {
        good = good && is_address(read.entry.listen) && read.entry.threads > 0 &&
               read.entry.max_body_kb > 0;
    }
    if (roles.agent) {
        good = good && config::is_name(read.agent.worker) && config::is_name(read.agent.rack) &&
               is_address(read.agent.listen) && is_address(read.agent.backend) &&
               read.agent.accelerators_per_group > 0 && read.agent.slots > 0 &&
               read.agent.cores > 0 && read.agent.memory_mb > 0 && read.agent.connections > 0 &&
               read.agent.accelerators % read.agent.accelerators_per_group == 0;
    }
    return good;
}

/// True when every part of a note is in force.
bool in_force(const config::release_note& note, const config::configuration& held)
{
    const nlohmann::json contents = held.contents_json();
    const nlohmann::json wanted = config::to_json(note);
    bool good = true;
    for (const char* const kind : {"data_centres", "client_accounts", "agreements", "services"}) {
        const char* const key = std::string_view(kind) == "agreements" ? "id" : "name";
        const auto find = [&](const nlohmann::json& wanted_key) -> const nlohmann::json* {
            for (const nlohmann::json& thing : contents.at(kind)) {
                if (thing.at(key) == wanted_key) {
                    return &thing;
                }
            }
            return nullptr;
        };
        for (const char* const section : {"added", "changed"}) {
            const nlohmann::json things = wanted.value(section, nlohmann::json::object());
            for (const nlohmann::json& thing : things.value(kind, nlohmann::json::array())) {
                const nlohmann::json* const found = find(thing.at(key));
                good = good && found != nullptr;
                for (const auto& [field, value] : thing.items()) {
                    const bool cleared = value == nlohmann::json("");
                    good =
                        good && found != nullptr &&
                        (cleared ? !found->contains(field) : found->value(field, value) == value);
                }
            }
        }
        const nlohmann::json withdrawn = wanted.value("withdrawn", nlohmann::json::object());
        for (const nlohmann::json& gone : withdrawn.value(kind, nlohmann::json::array())) {
            good = good && find(gone) == nullptr;
        }
    }
    return good;
}

config::configuration base_configuration()
{
    config::configuration held;
    const config::apply_result result =
        held.apply(*config::parse_release_note_yaml(base_note, "base"));
    REQUIRE(result.outcome == config::apply_outcome::accepted);
    return held;
}

void require_clean_lines(const absl::Status& status)
{
    const std::vector<std::string> lines = config::problem_lines(status);
    REQUIRE_FALSE(lines.empty());
    for (const std::string& line : lines) {
        REQUIRE(line.substr(0, 3) == "f: ");
        REQUIRE(line.find(": allowed ") != std::string::npos);
        REQUIRE(std::all_of(line.begin(), line.end(),
                            [](char letter) { return letter >= 0x20 && letter < 0x7f; }));
    }
}

} // namespace

// Guards against damaged settings that crash the loader, are accepted in part, or put raw bytes
// into the log.
TEST_CASE("damaged settings are refused whole or read whole", "[mutation]")
{
    WARN("seed " << seed);
    REQUIRE(is_whole(*config::load_settings(settings_text, "f")));
    REQUIRE_FALSE(is_whole(config::settings()));
    mutator changes(seed);
    int accepted = 0;
    for (int round = 0; round < mutations; ++round) {
        const std::string text = changes.mutate(settings_text);
        INFO("round " << round << "\n" << text);
        const absl::StatusOr<config::settings> read = config::load_settings(text, "f");
        if (read.ok()) {
            ++accepted;
            REQUIRE(is_whole(*read));
        }
        else {
            require_clean_lines(read.status());
        }
    }
    // Both branches must have been taken often enough to mean something.
    INFO("accepted " << accepted);
    REQUIRE(accepted > mutations / 50);
    REQUIRE(accepted < mutations * 9 / 10);
}

// Failure: a hostile document overflows the stack, takes minutes, or is refused without the limit.
TEST_CASE("hostile documents are refused with the limit that they exceed", "[mutation]")
{
    const auto repeated = [](std::string_view piece, std::size_t count) {
        std::string text;
        for (std::size_t index = 0; index < count; ++index) {
            text += piece;
        }
        return text;
    };
    std::string aliases = "a0: &x0 [1, 1]\n";
    for (int index = 1; index < 60; ++index) {
        aliases += fmt::format("a{0}: &x{0} [*x{1}, *x{1}]\n", index, index - 1);
    }
    constexpr std::size_t many = 300'000;
    const std::vector<std::string> too_complex{repeated("[", many),
                                               repeated("[", many) + repeated("]", many),
                                               repeated("{a: ", many),
                                               repeated("- ", many),
                                               "a: " + repeated("[", 17) + repeated("]", 17),
                                               aliases,
                                               "a: &a [*a]\n",
                                               "[" + repeated("a,", many) + "]"};
    for (const std::string& text : too_complex) {
        INFO(text.substr(0, 40));
        for (const absl::Status& status : {config::load_settings(text, "f").status(),
                                           config::parse_release_note_yaml(text, "f").status()}) {
            require_clean_lines(status);
            CHECK(config::problem_lines(status).front().find("nested at most 16 deep") !=
                  std::string::npos);
        }
    }
    for (const std::string& text :
         {repeated("[", many), repeated("{\"a\":", many), "[" + repeated("1,", many) + "1]"}) {
        INFO(text.substr(0, 40));
        const absl::Status status = config::parse_release_note_json(text, "f").status();
        require_clean_lines(status);
        CHECK(config::problem_lines(status).front().find("nested at most 16 deep") !=
              std::string::npos);
    }
    for (const std::string& text :
         {repeated("? ", many), repeated("&a ", many), repeated("---\n", many), repeated("!", many),
          std::string(1000, '\0'), std::string("note: \xff\nbase: 0\n"),
          std::string("note: n\nbase: 1e400\n"), std::string("note: n\nbase: .nan\n"),
          std::string("note: n\nbase: -1\n"), std::string("note: n\nbase: 99999999999999999999\n"),
          std::string("note: n\nnote: m\nbase: 0\n"), "note: " + repeated("n", many),
          std::string("{\"note\":\"\xff\",\"base\":0}")}) {
        INFO(text.substr(0, 40));
        require_clean_lines(config::load_settings(text, "f").status());
        require_clean_lines(config::parse_release_note_yaml(text, "f").status());
        require_clean_lines(config::parse_release_note_json(text, "f").status());
    }
    for (const std::string port : {"0", "65536", "-1", "99999999999999999999", "1e3", "", "080x"}) {
        INFO(port);
        std::string text = settings_text;
        text.replace(text.find("127.0.0.1:81"), 12, "127.0.0.1:" + port);
        require_clean_lines(config::load_settings(text, "f").status());
    }
}

// Guards against damaged notes that crash the parser or the configuration, or take effect in part.
TEST_CASE("damaged notes take effect whole or not at all", "[mutation]")
{
    WARN("seed " << seed);
    const config::release_note whole = *config::parse_release_note_yaml(note_text, "f");
    config::configuration changed = base_configuration();
    REQUIRE_FALSE(in_force(whole, changed));
    REQUIRE(changed.apply(whole).outcome == config::apply_outcome::accepted);
    REQUIRE(in_force(whole, changed));
    config::release_note part = whole;
    part.withdrawn.agreements.clear();
    config::configuration partial = base_configuration();
    partial.apply(part);
    REQUIRE_FALSE(in_force(whole, partial));

    const std::string before = base_configuration().snapshot();
    const std::string json_text = config::to_json(whole).dump();
    mutator changes(seed);
    int accepted = 0;
    for (int round = 0; round < mutations; ++round) {
        const bool as_json = round % 2 == 0;
        const std::string text = changes.mutate(as_json ? json_text : note_text);
        INFO("round " << round << "\n" << text);
        const absl::StatusOr<config::release_note> note =
            as_json ? config::parse_release_note_json(text, "f")
                    : config::parse_release_note_yaml(text, "f");
        if (!note.ok()) {
            require_clean_lines(note.status());
            continue;
        }
        const absl::StatusOr<config::release_note> again =
            config::parse_release_note_json(config::to_json(*note).dump(), "f");
        REQUIRE(again.ok());
        config::configuration held = base_configuration();
        if (held.apply(*note).outcome == config::apply_outcome::accepted) {
            ++accepted;
            REQUIRE(in_force(*note, held));
        }
        else {
            REQUIRE(held.snapshot() == before);
        }
    }
    INFO("accepted " << accepted);
    REQUIRE(accepted > mutations / 50);
    REQUIRE(accepted < mutations * 9 / 10);
}

// Guards against a damaged snapshot or catch-up that crashes the process that reads it.
TEST_CASE("damaged snapshots and catch-ups are harmless", "[mutation]")
{
    WARN("seed " << seed);
    config::configuration leader = base_configuration();
    leader.apply(
        *config::parse_release_note_yaml("note: n1\nbase: 1\nwithdrawn: {services: [s1]}", "f"));
    REQUIRE(leader.ending().services.size() == 1);
    const std::string bytes = leader.snapshot();
    const config::catch_up sent = leader.catch_up_after(0);
    config::configuration follower;
    const std::string empty = follower.snapshot();
    mutator changes(seed);
    for (int round = 0; round < mutations; ++round) {
        INFO("round " << round);
        absl::StatusOr<config::configuration> read =
            config::configuration::restore(changes.mutate(bytes));
        if (read.ok()) {
            read->apply(*config::parse_release_note_yaml(note_text, "f"));
            static_cast<void>(read->contents_json());
        }
        config::catch_up damaged = sent;
        damaged.notes.clear();
        damaged.contents = changes.mutate(bytes);
        REQUIRE_FALSE(follower.advance(damaged).ok());
        REQUIRE(follower.snapshot() == empty);
        damaged = sent;
        damaged.ending = changes.mutate(sent.ending);
        config::configuration fresh;
        if (fresh.advance(damaged).ok()) {
            static_cast<void>(fresh.contents_json());
        }
        else {
            REQUIRE(fresh.snapshot() == empty);
        }
    }
    REQUIRE(follower.advance(sent).ok());
}
