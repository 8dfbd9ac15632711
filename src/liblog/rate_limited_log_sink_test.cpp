#include <catch2/catch.hpp>

#include <sstream>

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/rate_limited_log_sink.h"

using namespace redwingwheel;

// Guards against a burst of lines with one event name that fills the disk or suppresses other
// events.
TEST_CASE(
    "lines over the limit of one event name are suppressed and counted, other events are written")
{
    manual_clock time;
    std::ostringstream text;
    logs::log_rate_limits limits;
    limits.max_lines_per_period = 3;
    spdlog::logger logger("test", std::make_shared<logs::rate_limited_log_sink>(
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

// Guards against lines without an event name that are counted under the name of another event.
TEST_CASE("the event name of a line is the value of event=")
{
    CHECK(logs::event_name_of("event=started") == "started");
    CHECK(logs::event_name_of("x=1 event=call status=200") == "call");
    CHECK(logs::event_name_of("plain").empty());
}
