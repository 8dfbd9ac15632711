#include <catch2/catch.hpp>

#include "outcomes.h"
#include "simulation.h"
#include "trace.h"

namespace replay = redwingwheel::replay;

namespace {

const std::string nothing;

const std::string header = R"({"type":"trace","version":1,"name":"t","end_ms":60000})"
                           "\n"
                           R"({"type":"worker","name":"w0","data_centre":"a","rack":"r0",)"
                           R"("accelerators":8,"accelerators_per_group":4})"
                           "\n"
                           R"({"type":"account","name":"market"})"
                           "\n";
const std::string series = R"({"type":"job","at_ms":0,"id":"j","account":"market","service":"s",)"
                           R"("true_run_time_ms":5000,"count":20,"every_ms":500,)"
                           R"("spread_percent":50,"idempotent":true})"
                           "\n";

std::string error_of(const std::string& text)
{
    const absl::StatusOr<replay::trace> read = replay::parse_trace(text, "t.jsonl", {});
    return read.ok() ? "" : redwingwheel::errors::message_of(read.status());
}

std::string lines_of(const replay::trace& source)
{
    std::string lines;
    replay::simulation run(source, replay::own_policy_name,
                           [&lines](const std::string& line) { lines += line + "\n"; });
    static_cast<void>(run.run());
    return lines;
}

} // namespace

// Guards against errors that do not say where and what is wrong, and against silently ignored
// fields.
TEST_CASE("a malformed line is one error with file, line, field, value and what is allowed",
          "[replay]")
{
    REQUIRE(error_of(header) == nothing);
    REQUIRE(error_of(header + "{\"type\":\"party\"}\n")
                .starts_with("t.jsonl:4: type: \"party\"; allowed: trace, worker, account"));
    REQUIRE(error_of(header + R"({"type":"account","name":"x","colour":1})")
                .starts_with("t.jsonl:4: colour: 1; allowed: only the fields"));
    REQUIRE(error_of(header + R"({"type":"worker_lost","at_ms":-1,"worker":"w0"})")
                .starts_with("t.jsonl:4: at_ms: -1; allowed: a whole number"));
    REQUIRE(error_of(header + R"({"type":"worker_lost","at_ms":1,"worker":"w9"})") ==
            "t.jsonl:4: worker: w9; allowed: a worker of an earlier line");
    REQUIRE(error_of(header + "not json").starts_with("t.jsonl:4: line: not json; allowed:"));
    REQUIRE(error_of("").starts_with("t.jsonl:1: type: missing"));
}

// Failure: a deeply nested line overflows the stack, and a long value fills the terminal.
TEST_CASE("a hostile line is one short error", "[replay]")
{
    const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
    REQUIRE(error_of(header + R"({"type":"account","name":"x","colour":)" + deep + "}") ==
            "t.jsonl:4: line: nested 300001 deep; allowed: nested at most 64 deep");
    for (const std::string& value :
         {std::string("1e400"), "\"" + std::string(1'000'000, 'n') + "\"", std::string("\"\xff\""),
          std::string("-9223372036854775809"), std::string("[[1]]"), std::string("\"\\n\"")}) {
        const std::string error =
            error_of(header + R"({"type":"worker_lost","worker":"w0","at_ms":)" + value + "}");
        CAPTURE(error);
        REQUIRE_FALSE(error.empty());
        REQUIRE(error.size() < 300);
        REQUIRE(std::all_of(error.begin(), error.end(),
                            [](char letter) { return letter >= 0x20 && letter < 0x7f; }));
    }
}

// Guards against replays that differ from run to run, and against a seed that changes nothing.
TEST_CASE("the same trace and seed give the same bytes", "[replay]")
{
    const replay::trace first = *replay::parse_trace(header + series, "t", 1);
    const replay::trace other = *replay::parse_trace(header + series, "t", 2);
    REQUIRE_FALSE(lines_of(first).empty());
    REQUIRE(lines_of(first) == lines_of(first));
    REQUIRE(lines_of(first) != lines_of(other));
}

// Guards against outcomes that are met whatever happens.
TEST_CASE("outcomes can be missed", "[replay]")
{
    const std::string wanted =
        R"({"type":"expect","outcome":"starts_by","job":"j","by_ms":60000})"
        "\n"
        R"({"type":"expect","outcome":"starts_by","job":"j","by_ms":100})"
        "\n"
        R"({"type":"expect","outcome":"never_starts","job":"j-00003"})"
        "\n"
        R"({"type":"expect","outcome":"completion","class":"s","mean_ms":10})"
        "\n"
        R"({"type":"expect","outcome":"fragmentation","share":0})"
        "\n"
        R"({"type":"expect","outcome":"nothing_starts_in","data_centre":"a","from_ms":0,"to_ms":9000})"
        "\n"
        R"({"type":"expect","outcome":"quarantined","worker":"w0"})"
        "\n";
    const replay::trace source = *replay::parse_trace(header + series + wanted, "t", {});
    replay::simulation run(source, "first-fit", [](const std::string&) {});
    const std::vector<replay::outcome> verdicts = replay::judge(source, run.run());
    REQUIRE(verdicts.size() == 7);
    REQUIRE(verdicts[0].met);
    for (std::size_t index = 1; index < verdicts.size(); ++index) {
        INFO(verdicts[index].kind);
        REQUIRE_FALSE(verdicts[index].met);
    }
}
