#include <catch2/catch.hpp>

#include <sstream>

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/bounded_log_sink.h"

using namespace redwingwheel;

// Failure: a burst of one kind of line fills the disk of the log, or hides all other lines.
TEST_CASE("a burst of one kind is cut and counted, other kinds are not")
{
    manual_clock time;
    std::ostringstream text;
    logs::log_limits limits;
    limits.lines_per_second = 3;
    spdlog::logger logger("test", std::make_shared<logs::bounded_log_sink>(
                                      std::make_shared<spdlog::sinks::ostream_sink_mt>(text),
                                      limits, time.function()));
    logger.set_pattern("%v");
    for (int line = 0; line < 10; ++line) {
        logger.info("event=burst line={}", line);
    }
    logger.info("event=other");
    time.advance(milliseconds(1000));
    logger.info("event=burst line=10");
    CHECK(text.str() == "event=burst line=0\nevent=burst line=1\nevent=burst line=2\nevent=other\n"
                        "event=lines_left_out of=burst count=7\nevent=burst line=10\n");
}

// Failure: lines without a kind are lost or counted under another.
TEST_CASE("the kind of a line is its event")
{
    CHECK(logs::kind_of("event=started") == "started");
    CHECK(logs::kind_of("x=1 event=call status=200") == "call");
    CHECK(logs::kind_of("plain").empty());
}
