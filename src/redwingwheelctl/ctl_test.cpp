#include <deque>
#include <mutex>
#include <sstream>
#include <thread>

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "command.h"

namespace ctl = redwingwheel::ctl;
namespace asio = boost::asio;

namespace {

struct canned_reply {
    int status = 200;
    std::string body;
    std::string headers;
    bool lose = false; ///< Closes the connection after reading the request.
};

/// Answers one request for each connection with the canned replies in order; the last one is
/// repeated.
class fake_entry {
public:
    explicit fake_entry(std::deque<canned_reply> canned)
        : replies(std::move(canned)), worker([this] { this->serve(); })
    {
    }
    ~fake_entry()
    {
        this->stopping = true;
        asio::ip::tcp::socket wake(this->context);
        boost::system::error_code ignored;
        wake.connect(this->acceptor.local_endpoint(), ignored);
        this->worker.join();
    }
    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port());
    }
    std::vector<std::string> requests()
    {
        const std::lock_guard<std::mutex> held(this->lock);
        return this->seen;
    }

private:
    void serve()
    {
        while (true) {
            asio::ip::tcp::socket socket(this->context);
            this->acceptor.accept(socket);
            if (this->stopping) {
                return;
            }
            boost::system::error_code error;
            asio::streambuf buffer;
            std::size_t head = asio::read_until(socket, buffer, "\r\n\r\n", error);
            std::string text(asio::buffers_begin(buffer.data()), asio::buffers_end(buffer.data()));
            const std::size_t place = text.find("Content-Length: ");
            const std::size_t length =
                place == std::string::npos ? 0 : std::stoul(text.substr(place + 16));
            std::string rest(head + length - text.size(), '\0');
            asio::read(socket, asio::buffer(rest), error);
            {
                const std::lock_guard<std::mutex> held(this->lock);
                this->seen.push_back(text + rest);
            }
            const canned_reply reply = this->replies.front();
            if (this->replies.size() > 1) {
                this->replies.pop_front();
            }
            if (!reply.lose) {
                const std::string answer =
                    fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n{}\r\n{}", reply.status,
                                reply.body.size(), reply.headers, reply.body);
                asio::write(socket, asio::buffer(answer), error);
            }
        }
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{this->context, {asio::ip::address_v4::loopback(), 0}};
    std::deque<canned_reply> replies;
    std::mutex lock;
    std::vector<std::string> seen;
    std::atomic<bool> stopping{false};
    std::thread worker;
};

struct tool_run {
    int status = 0;
    std::string out;
    std::string err;
};

const std::string sample_note =
    "note: n1\nbase: 0\nadded: {data_centres: [{name: dc1, region: r}]}\n";

struct tool_fixture {
    /// Starts at the real time, because libcurl measures its own timeouts by the real clock.
    redwingwheel::steady_time now = redwingwheel::boot_clock::now();
    int pauses_left = 1000;

    tool_run run(std::vector<std::string> arguments)
    {
        ctl::surroundings around;
        around.variable = [](std::string_view name) -> std::optional<std::string> {
            return name == "REDWINGWHEEL_TOKEN_FILE" ? std::optional<std::string>("token")
                                                     : std::nullopt;
        };
        around.read_file = [](std::string_view name) -> std::optional<std::string> {
            if (name == "token") {
                return "very-secret\n";
            }
            return name == "note.yaml" ? std::optional<std::string>(sample_note) : std::nullopt;
        };
        around.pause = [this](redwingwheel::milliseconds time) {
            this->now += time;
            return --this->pauses_left > 0;
        };
        around.unix_seconds = [] { return 1767225600; };
        around.random = [] { return 0xabcU; };
        around.clock = [this] { return this->now; };
        std::ostringstream out;
        std::ostringstream err;
        const int status = ctl::run_tool(arguments, around, out, err);
        return {status, out.str(), err.str()};
    }
};

std::string body_of(const std::string& request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// A port on which nothing listens.
std::string closed_address()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

} // namespace

// Guards against a resend under another identity, which could take effect a second time.
TEST_CASE_METHOD(tool_fixture, "a lost answer is followed by the same call", "[ctl]")
{
    fake_entry entry({{0, "", "", true}, {200, R"({"outcome":"accepted","revision":1})", ""}});
    const tool_run applied =
        this->run({"release", "apply", "note.yaml", "--entry", entry.address()});
    REQUIRE(applied.status == 0);
    REQUIRE(contains(applied.out, "accepted as revision 1"));
    REQUIRE(entry.requests().size() == 2);
    REQUIRE(entry.requests()[0] == entry.requests()[1]);
    REQUIRE(contains(entry.requests()[0], "Authorization: Bearer very-secret"));
    REQUIRE(contains(body_of(entry.requests()[0]), R"("note":"n1")"));

    fake_entry busy({{0, "", "", true}, {200, "fine", "X-Outcome: done\r\nX-Attempt: 1\r\n"}});
    const tool_run sent = this->run({"request", "send", "s1", "--entry", busy.address()});
    REQUIRE((sent.status == 0 && sent.out == "fine"));
    REQUIRE(contains(busy.requests()[0], "Idempotency-Key: 1767225600-0000000000000abc"));
    REQUIRE(busy.requests()[0] == busy.requests()[1]);

    fake_entry deaf({{0, "", "", true}});
    const tool_run lost = this->run({"request", "send", "s1", "--entry", deaf.address()});
    REQUIRE(lost.status == 1);
    REQUIRE(contains(lost.err, "--key 1767225600-0000000000000abc"));
    REQUIRE(deaf.requests().size() == 2);
}

// Guards against a tool that gives up at the first entry, or that retries requests which the entry
// has tried already.
TEST_CASE_METHOD(tool_fixture, "entries are tried in turn", "[ctl]")
{
    fake_entry closing({{503, R"({"outcome":"not_run","reason":"no permit"})", ""}});
    fake_entry good({{200, R"({"revision":4})", ""}});
    const tool_run status = this->run({"status", "--entry", closed_address(), "--entry",
                                       closing.address(), "--entry", good.address()});
    REQUIRE(status.status == 0);
    REQUIRE(contains(status.out, "revision 4"));

    const tool_run request = this->run(
        {"request", "send", "s1", "--entry", closing.address(), "--entry", good.address()});
    REQUIRE(request.status == 1);
    REQUIRE(contains(request.err, "not_run: no permit"));
    REQUIRE(good.requests().size() == 1);
    REQUIRE(this->run({"status", "--entry", closed_address()}).status == 1);
}

// Guards against --wait that ends before the change is in force, or never.
TEST_CASE_METHOD(tool_fixture, "wait repeats the call until the change is in force", "[ctl]")
{
    const canned_reply not_yet{200, R"({"data_centre":"dc2","state":"withdrawn","in_force":false})",
                               ""};
    const canned_reply in_force{200, R"({"data_centre":"dc2","state":"withdrawn","in_force":true})",
                                ""};
    fake_entry entry({not_yet, not_yet, in_force});
    const tool_run done =
        this->run({"datacentre", "withdraw", "dc2", "--wait", "--entry", entry.address()});
    REQUIRE((done.status == 0 && done.out == "dc2 is withdrawn, in force everywhere\n"));
    REQUIRE(entry.requests().size() == 3);
    REQUIRE(contains(entry.requests()[0], "POST /v1/data-centres/dc2/withdraw?wait_ms=20000 "));

    fake_entry never({not_yet});
    const tool_run late = this->run({"datacentre", "withdraw", "dc2", "--wait", "--timeout-ms",
                                     "2000", "--entry", never.address()});
    REQUIRE((late.status == 1 && contains(late.out, "not yet everywhere")));
    REQUIRE(never.requests().size() < 15);
}

// Guards against an exit status that takes a refusal for a success or for a typing error.
TEST_CASE_METHOD(tool_fixture, "the exit status follows the answer", "[ctl]")
{
    struct answer_case {
        canned_reply reply;
        int status;
        std::string_view err;
    };
    const std::string problems =
        R"({"outcome":"invalid","problems":[{"file":"note n1","field":"f","value":"v","allowed":"a"}]})";
    const std::vector<answer_case> cases{
        {{409,
          R"({"outcome":"conflict","revision":3,"conflicts":[{"field":"a/b/c","revision":2}]})",
          ""},
         1,
         "conflict: a/b/c changed at revision 2"},
        {{409, R"({"outcome":"identity_reused","revision":3})", ""}, 1, "409: identity_reused"},
        {{400, problems, ""}, 2, "note n1: f: value v: allowed a\n"},
        {{422, problems, ""}, 1, "note n1: f: value v: allowed a\n"},
        {{401, R"({"outcome":"not_run","reason":"unknown token"})", ""}, 1, "unknown token"},
        {{500, "not json", ""}, 1, "status 500"},
        {{200, "not json", ""}, 1, "not a JSON object"},
    };
    for (const answer_case& each : cases) {
        INFO(each.reply.body);
        fake_entry entry({each.reply});
        const tool_run applied =
            this->run({"release", "apply", "note.yaml", "--entry", entry.address()});
        REQUIRE(applied.status == each.status);
        REQUIRE(contains(applied.err, each.err));
    }
}

// Failure: an answer with a field of another type, or nested deeply, ends the tool with a signal.
TEST_CASE_METHOD(tool_fixture, "an answer that is not as documented is an error", "[ctl]")
{
    const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
    const std::vector<std::pair<std::vector<std::string>, std::string>> cases{
        {{"release", "apply", "note.yaml"}, R"({"in_force":5})"},
        {{"release", "apply", "note.yaml", "--wait"}, R"({"in_force":"yes"})"},
        {{"release", "diff", "1", "2"}, R"({"differences":[5]})"},
        {{"release", "show", "1"}, R"({"note":)" + deep + "}"},
        {{"release", "show", "1", "--json"}, R"({"note":)" + deep + "}"},
        {{"job", "list"}, R"({"jobs":[],"more":[]})"},
        {{"job", "show", "j"}, R"({"id":)" + deep + "}"},
        {{"datacentre", "withdraw", "dc1"}, R"({"in_force":null})"},
    };
    for (const auto& [command, body] : cases) {
        INFO(command[0] << " " << command[1] << " " << body.substr(0, 40));
        fake_entry entry({{200, body, ""}});
        std::vector<std::string> arguments = command;
        arguments.insert(arguments.end(), {"--entry", entry.address()});
        const tool_run read = this->run(arguments);
        CHECK(read.status == 1);
        CHECK(contains(read.err, "the answer is not"));
        fake_entry refusing({{400, body, ""}});
        arguments.back() = refusing.address();
        CHECK(this->run(arguments).status == 2);
    }
}

// Failure: deeply nested parameters overflow the stack of the tool.
TEST_CASE_METHOD(tool_fixture, "deeply nested parameters are refused by the tool", "[ctl]")
{
    const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
    const tool_run bad = this->run(
        {"job", "submit", "--service", "s", "--entry", "127.0.0.1:9", "--parameters", deep});
    CHECK(bad.status == 2);
    CHECK(bad.err == "command line: --parameters: value nested 300000 deep: allowed nested at most "
                     "64 deep\n");
}

// Guards against the outcome of a request being lost behind the status of a backend server.
TEST_CASE_METHOD(tool_fixture, "a request's exit status follows its outcome", "[ctl]")
{
    const std::string ran = "X-Attempt: 1\r\nX-Worker: w1\r\nX-Outcome: ";
    fake_entry failed({{500, "oops", ran + "failed\r\n"}});
    REQUIRE(this->run({"request", "send", "s1", "--entry", failed.address()}).status == 1);
    fake_entry refusing({{404, "none", ran + "done\r\n"}});
    REQUIRE(this->run({"request", "send", "s1", "--entry", refusing.address()}).status == 1);
    fake_entry unknown({{504, R"({"outcome":"unknown"})", "X-Outcome: unknown\r\n"}});
    const tool_run asked =
        this->run({"request", "send", "s1", "--key", "1-a", "--entry", unknown.address()});
    REQUIRE((asked.status == 1 && contains(asked.err, "--key 1-a")));
}

// Guards against bad arguments that reach the server, and against a token in a message.
TEST_CASE_METHOD(tool_fixture, "bad input is reported and nothing is sent", "[ctl]")
{
    fake_entry entry({{200, "{}", ""}});
    const std::vector<std::vector<std::string>> cases{
        {"job", "submit"},
        {"job", "submit", "--service", "s", "--members", "513"},
        {"job", "submit", "--service", "s", "--parameters", "{"},
        {"job", "submit", "--service", "s", "--parameters", "1e400"},
        {"job", "submit", "--service", "s", "--parameters", "\"\xff\""},
        {"job", "show", "../status"},
        {"job", "list", "--state", "lost"},
        {"request", "send", "s", "--key", "nokey"},
        {"request", "send", "s", "--file", "missing"},
        {"release", "apply", "missing.yaml"},
        {"release", "diff", "1", "x"},
        {"release", "history", "--wait"},
        {"status", "extra"},
        {"status", "--token-file", "missing"},
        {"status", "--timeout-ms", "0"},
        {"no", "such"},
    };
    for (std::vector<std::string> each : cases) {
        INFO(each.back());
        each.insert(each.end(), {"--entry", entry.address()});
        const tool_run bad = this->run(each);
        REQUIRE(bad.status == 2);
        REQUIRE(contains(bad.err, ": allowed "));
        REQUIRE_FALSE(contains(bad.err + bad.out, "very-secret"));
    }
    REQUIRE(this->run({"status", "--entry", "localhost:80"}).status == 2);
    REQUIRE(entry.requests().empty());
}

// Guards against printed differences in which an empty value looks like a missing thing.
TEST_CASE_METHOD(tool_fixture, "differences and processes that lag are printed", "[ctl]")
{
    fake_entry entry({{200,
                       R"({"differences":[{"kind":"agreements","key":"a1","field":"data_centre",)"
                       R"("before":"","after":null}]})",
                       ""},
                      {200, R"({"revision":2,"in_force":false,"lagging":["w1","w2"]})", ""}});
    REQUIRE(this->run({"release", "diff", "1", "2", "--entry", entry.address()}).out ==
            "agreements/a1/data_centre: \"\" -> null\n");
    REQUIRE(this->run({"release", "apply", "note.yaml", "--entry", entry.address()}).out ==
            "accepted as revision 2\nnot yet everywhere; missing: w1,w2\n");
    REQUIRE(contains(entry.requests()[0], "GET /v1/releases/diff?from=1&to=2 "));
}

// Guards against a watch that stops at the first answer.
TEST_CASE_METHOD(tool_fixture, "watch repeats the status", "[ctl]")
{
    fake_entry entry({{200, R"({"revision":1})", ""}, {200, R"({"revision":2})", ""}});
    this->pauses_left = 2;
    const tool_run watched = this->run({"status", "--watch", "--entry", entry.address()});
    REQUIRE(watched.status == 0);
    REQUIRE((contains(watched.out, "revision 1") && contains(watched.out, "revision 2")));
}
