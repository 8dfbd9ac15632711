#include <catch2/catch.hpp>

#include "backend_messages.h"
#include "redwingwheel/json_text.h"

using namespace redwingwheel;
using namespace redwingwheel::agent;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

messages::task_description job_with(const std::string& parameters)
{
    return {"job-1", "andina", "builds", parameters, false};
}

} // namespace

// Failure: a backend server's answer with a state that is not a text ends the agent.
TEST_CASE("decode_task_state reads any answer")
{
    CHECK(decode_task_state(R"({"state":"done"})") == "done");
    for (const std::string body :
         {R"({"state":5})", R"({"state":null})", R"({"state":{"state":"done"}})",
          R"({"state":["done"]})", R"({"state":1e400})", "{\"state\":\"\xff\"}", "{}", "[]", "",
          "\"done\"", "{\"state\":\"done\""}) {
        CAPTURE(body);
        CHECK(decode_task_state(body).empty());
    }
    CHECK(decode_task_state(R"({"state":"done","a":)" + nested(1'000'000) + "}").empty());
}

// Failure: a job that was stored with deep parameters overflows the stack of the agent.
TEST_CASE("encode_task_start refuses parameters that nest deeper than the limit")
{
    const membership::start_task start{{"job-1", 2, 3}, 0x30, 1, {}};
    const absl::StatusOr<std::string> body =
        encode_task_start(start, job_with(R"({"run_ms":70,"a":[1]})"), milliseconds(500));
    REQUIRE(body.ok());
    const nlohmann::json sent = nlohmann::json::parse(*body);
    CHECK(sent["id"] == "job-1.2.3");
    CHECK(sent["accelerator_mask"] == 0x30);
    CHECK(sent["lease_ms"] == 500);
    CHECK(sent["run_ms"] == 70);
    CHECK(sent["parameters"] == nlohmann::json{{"run_ms", 70}, {"a", {1}}});
    for (const std::string parameters : {"5", "", "[", "null"}) {
        CAPTURE(parameters);
        const absl::StatusOr<std::string> read =
            encode_task_start(start, job_with(parameters), milliseconds(500));
        REQUIRE(read.ok());
        CHECK(nlohmann::json::parse(*read)["parameters"] == nlohmann::json::object());
    }
    const absl::StatusOr<std::string> deep =
        encode_task_start(start, job_with("{\"a\":" + nested(2'000'000) + "}"), milliseconds(500));
    CHECK(error_code<json_text::json_errc>(deep.status()) == json_text::json_errc::too_deep);
}
