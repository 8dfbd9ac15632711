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
