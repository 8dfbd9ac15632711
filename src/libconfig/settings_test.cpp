#include "redwingwheel/settings.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "redwingwheel/socket_address.h"

namespace config = redwingwheel::config;

namespace {

const std::string whole = R"(name: dc1-control
region: santiago
data_centre: dc1
roles: [entry, control, agent]
data_folder: run/dc1
cluster_secret_file: run/secret
log: {level: info, file: ""}
control:
  listen: 127.0.0.1:7101
  replicas: [127.0.0.1:7101, 127.0.0.1:7102, 127.0.0.1:7103]
entry:
  listen: 127.0.0.1:8101
  threads: 4
  max_body_kb: 1024
  drain_notice_ms: 400
  operators: [{name: ops, token_digest: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef}]
agent:
  worker: w1
  rack: r1
  listen: 127.0.0.1:9101
  backend: 127.0.0.1:9201
  accelerators: 8
  accelerators_per_group: 4
  cores: 32
  memory_mb: 65536
  slots: 8
  connections: 64
timing: {poll_ms: 250, permit_ms: 2000, drain_ms: 10000}
)";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text = whole;
    const std::size_t place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

std::vector<std::string> lines_of(std::string_view yaml)
{
    const absl::StatusOr<config::settings> read = config::load_settings(yaml, "s.yaml");
    return read.ok() ? std::vector<std::string>() : config::problem_lines(read.status());
}

} // namespace

// Guards against a key that is accepted and then read into the wrong member.
TEST_CASE("every key of the settings reaches its member", "[settings]")
{
    const absl::StatusOr<config::settings> read = config::load_settings(whole, "s.yaml");
    REQUIRE(read.ok());
    REQUIRE((read->name == "dc1-control" && read->region == "santiago"));
    REQUIRE((read->roles.entry && read->roles.control && read->roles.agent));
    REQUIRE((read->data_folder == "run/dc1" && read->cluster_secret_file == "run/secret"));
    REQUIRE((read->control.listen == "127.0.0.1:7101" && read->control.replicas.size() == 3));
    REQUIRE((read->entry.threads == 4 && read->entry.max_body_kb == 1024));
    REQUIRE(read->entry.drain_notice.count() == 400);
    REQUIRE(read->entry.operators.at(0).name == "ops");
    REQUIRE((read->agent.worker == "w1" && read->agent.rack == "r1"));
    REQUIRE((read->agent.listen == "127.0.0.1:9101" && read->agent.backend == "127.0.0.1:9201"));
    REQUIRE((read->agent.accelerators == 8 && read->agent.accelerators_per_group == 4));
    REQUIRE((read->agent.cores == 32 && read->agent.memory_mb == 65536));
    REQUIRE((read->agent.slots == 8 && read->agent.connections == 64));
    REQUIRE((read->timing.poll.count() == 250 && read->timing.permit.count() == 2000));
    REQUIRE(read->timing.drain.count() == 10000);
}

// Guards against a bad value that is accepted, or reported without field, value or allowed values.
TEST_CASE("one bad value gives one line with the field, the value and what is allowed",
          "[settings]")
{
    struct bad_case {
        std::string_view from;
        std::string_view to;
        std::string_view line_start;
    };
    const std::vector<bad_case> cases{
        {"name: dc1-control", "name: \"\"", "s.yaml: name: value \"\": allowed 1 to 64 of"},
        {"region: santiago\n", "", "s.yaml: region: value (missing): allowed"},
        {"region:", "area: x\nregion:", "s.yaml: area: value (unknown key): allowed one of name"},
        {"region:", "name: x\nregion:", "s.yaml: name: value (duplicate key): allowed each key"},
        {"[entry, control, agent]", "[entry, control, agnt]", "s.yaml: roles[2]: value agnt: allo"},
        {"[entry, control, agent]", "[]", "s.yaml: roles: value a list of 0: allowed a list of"},
        {"data_folder: run/dc1\n", "", "s.yaml: data_folder: value (missing): allowed"},
        {"level: info", "level: loud", "s.yaml: log.level: value loud: allowed one of trace"},
        {"listen: 127.0.0.1:7101", "listen: 127.0.0.1:7999", "s.yaml: control.listen: value 127"},
        {"127.0.0.1:7102", "127.0.0.1:7103", "s.yaml: control.replicas[2]: value 127.0.0.1:7103"},
        {"127.0.0.1:7102", "control.example:7102", "s.yaml: control.replicas[1]: value control."},
        {"127.0.0.1:8101", "127.0.0.1:0", "s.yaml: entry.listen: value 127.0.0.1:0: allowed IP:p"},
        {"threads: 4", "threads: four", "s.yaml: entry.threads: value four: allowed a whole num"},
        {"threads: 4", "threads: \"4\"", "s.yaml: entry.threads: value 4: allowed a whole num"},
        {"max_body_kb: 1024", "max_body_kb: 4096", "s.yaml: entry.max_body_kb: value 4096: allo"},
        {"cores: 32", "cores: -1", "s.yaml: agent.cores: value -1: allowed a whole number 1..4096"},
        {"accelerators_per_group: 4", "accelerators_per_group: 3", "s.yaml: agent.accelerators_p"},
        {"slots: 8", "slots: {a: b}", "s.yaml: agent.slots: value a map of 1: allowed a whole"},
        {"permit_ms: 2000", "permit_ms: 500", ""},
        {"permit_ms: 2000, ", "permit_ms: 501, poll_ms: 251, ", "s.yaml: timing.poll_ms: value ("},
        {"poll_ms: 250", "poll_ms: 1001", "s.yaml: timing.permit_ms: value 2000: allowed timing"},
    };
    for (const bad_case& bad : cases) {
        INFO(bad.to);
        const std::vector<std::string> lines = lines_of(replaced(bad.from, bad.to));
        REQUIRE(lines.size() == (bad.line_start.empty() ? 0 : 1));
        if (!lines.empty()) {
            REQUIRE(lines[0].substr(0, bad.line_start.size()) == bad.line_start);
        }
    }
}

// Guards against a token written into a log by the message about its digest.
TEST_CASE("a bad token digest is not shown", "[settings]")
{
    const std::vector<std::string> lines = lines_of(replaced("0123456789abcdef", "my-secret"));
    REQUIRE(lines.size() == 1);
    REQUIRE(lines[0].find("my-secret") == std::string::npos);
    REQUIRE(lines[0].find("entry.operators[0].token_digest: value (hidden)") != std::string::npos);
}

// Guards against an agent that must carry settings of roles it does not have.
TEST_CASE("sections of other roles and timing may be left out", "[settings]")
{
    const std::string agent_only =
        "name: a\nregion: r\ndata_centre: d\nroles: [agent]\ncluster_secret_file: s\n"
        "control: {replicas: [127.0.0.1:1]}\n" +
        whole.substr(whole.find("agent:\n"), whole.find("timing:") - whole.find("agent:\n"));
    const absl::StatusOr<config::settings> read = config::load_settings(agent_only, "a.yaml");
    REQUIRE(read.ok());
    REQUIRE((read->timing.poll.count() == 500 && read->timing.permit.count() == 3000));
    REQUIRE((read->timing.drain.count() == 30000 && read->log.level == "info"));
}

// Guards against a crash or an endless expansion on text that is no settings file.
TEST_CASE("documents of another form are refused in one line", "[settings]")
{
    std::string bomb = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int level = 1; level < 9; ++level) {
        const std::string below = "*a" + std::to_string(level - 1);
        bomb += "a" + std::to_string(level) + ": &a" + std::to_string(level) + " [";
        for (int copy = 0; copy < 10; ++copy) {
            bomb += below + (copy < 9 ? ", " : "]\n");
        }
    }
    for (const std::string& text : {std::string(), std::string("[1, 2]"), std::string("a: [b"),
                                    std::string("a: 1\n---\nb: 2"), bomb, std::string(100'000, '['),
                                    std::string("&a [*a]"), std::string("\0\xff", 2)}) {
        INFO(text.substr(0, 40));
        REQUIRE(lines_of(text).size() == 1);
    }
}

// Guards against addresses that only some of the libraries understand.
TEST_CASE("addresses are an IP and a port", "[address]")
{
    REQUIRE(redwingwheel::parse_address("[::1]:80")->text() == "[::1]:80");
    for (const std::string_view bad : {"::1:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                                       "localhost:80", "[127.0.0.1]:80", ":80", "127.0.0.1:+1"}) {
        INFO(bad);
        REQUIRE_FALSE(redwingwheel::parse_address(bad).has_value());
    }
}
