#include "request_framer.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace http = redwingwheel::http;
using http::framing_state;

namespace {

constexpr std::size_t limit = 4096;

http::request_framer make_framer()
{
    return http::request_framer({1024, limit});
}

framing_state feed_in_pieces(http::request_framer& framer, std::string_view text, std::size_t size)
{
    for (std::size_t at = 0; at < text.size(); at += size) {
        framer.feed(text.substr(at, size));
    }
    return framer.state();
}

} // namespace

// Failure: a request whose pieces end anywhere is cut, or runs into the next one.
TEST_CASE("a request is read whatever its pieces are", "[http][limits]")
{
    const std::string counted = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    const std::string chunked = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n"
                                "3;name=value\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: t\r\n\r\n";
    for (const std::string& text : {counted, chunked}) {
        for (std::size_t size = 1; size <= text.size(); ++size) {
            http::request_framer framer = make_framer();
            REQUIRE(feed_in_pieces(framer, text, size) == framing_state::complete);
            CHECK_FALSE(framer.has_excess());
            CHECK(framer.take_header() == "POST /a HTTP/1.1\r\nHost: x\r\n\r\n");
            CHECK(framer.take_body() == "hello");
        }
    }
    http::request_framer framer = make_framer();
    REQUIRE(framer.feed(counted + "GET") == framing_state::complete);
    CHECK(framer.has_excess());
}

// Failure: a body over the limit is collected before it is refused.
TEST_CASE("a request over the limit is refused as soon as that is known", "[http][limits]")
{
    http::request_framer announced = make_framer();
    announced.feed(fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", limit));
    CHECK(announced.state() == framing_state::refused);
    CHECK(announced.status() == 413);
    http::request_framer chunked = make_framer();
    chunked.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int chunk = 0; chunk < 5; ++chunk) {
        chunked.feed("400\r\n" + std::string(0x400, 'a') + "\r\n");
    }
    CHECK(chunked.status() == 413);
    CHECK(chunked.held_bytes() < 100);
    http::request_framer header = make_framer();
    header.feed("GET / HTTP/1.1\r\nX: " + std::string(limit, 'x'));
    CHECK(header.status() == 431);
}

// Failure: a front end and this server disagree about where a request ends.
TEST_CASE("framing that can be read in two ways is refused", "[http][limits]")
{
    for (const std::string fields :
         {"Content-Length: 1\r\nContent-Length: 2", "Content-Length: -1", "Content-Length: 1x",
          "Content-Length: 99999999999999999999", "Content-Length: ",
          "Content-Length: 3\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip, chunked"}) {
        http::request_framer framer = make_framer();
        framer.feed("POST / HTTP/1.1\r\n" + fields + "\r\n\r\n");
        CAPTURE(fields);
        CHECK(framer.status() == 400);
    }
    for (const std::string body : {"x\r\n", "\r\n", "-1\r\n", "FFFFFFFFFFFFFFFFFFFF\r\n",
                                   "1\r\nab\r\n", "1\na\r\n", "1 2\r\n"}) {
        http::request_framer framer = make_framer();
        framer.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
        CAPTURE(body);
        CHECK(framer.state() == framing_state::refused);
    }
}
