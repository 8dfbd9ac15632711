#include <catch2/catch.hpp>

#include "redwingwheel/fencing_tokens.h"

using namespace redwingwheel::jobs;

namespace {

const worker_incarnation first{"w", 5, "host"};
const worker_incarnation second{"w", 9, "host"};
constexpr std::uint64_t process = 77;

} // namespace

// Failure: an order for an ended incarnation is carried out by the next one with the same id.
TEST_CASE("each incarnation, process and term gets a higher token than those before it")
{
    fencing_tokens tokens;
    tokens.begin_term(3);
    const std::uint64_t of_first = tokens.issue("s", process, first);
    const std::uint64_t of_second = tokens.issue("s", process, second);
    CHECK(of_second > of_first);
    CHECK(tokens.issue("s", process, second) == of_second);
    const std::uint64_t of_next_process = tokens.issue("s", process + 1, second);
    CHECK(of_next_process > of_second);
    tokens.begin_term(4);
    CHECK(tokens.issue("s", process + 1, second) > of_next_process);
}

// Failure: a worker that has seen a higher token refuses all orders for good.
TEST_CASE("a token that is no longer the highest is replaced when it is asked for again")
{
    fencing_tokens tokens;
    tokens.begin_term(3);
    const std::uint64_t of_first = tokens.issue("s", process, first);
    const std::uint64_t of_second = tokens.issue("s", process, second);
    CHECK(tokens.issue("s", process, first) > of_second);
    CHECK(tokens.accept_report("s", process, 1, first, of_first) == false);
}

// Failure: a delayed report on an earlier incarnation ends the current one, and its tasks run
// twice.
TEST_CASE("reports of earlier incarnations, processes, terms and polls are outdated")
{
    fencing_tokens tokens;
    tokens.begin_term(3);
    const std::uint64_t of_first = tokens.issue("s", process, first);
    CHECK(tokens.accept_report("s", process, 1, first, of_first));
    CHECK(tokens.accept_report("s", process, 3, first, of_first));
    CHECK_FALSE(tokens.accept_report("s", process, 2, first, of_first));
    CHECK_FALSE(tokens.accept_report("s", process, 4, second, of_first));

    const std::uint64_t of_second = tokens.issue("s", process, second);
    CHECK(tokens.accept_report("s", process, 5, second, of_second));
    CHECK_FALSE(tokens.accept_report("s", process, 6, first, of_first));

    const std::uint64_t of_next_process = tokens.issue("s", process + 1, second);
    CHECK(tokens.accept_report("s", process + 1, 1, second, of_next_process));
    CHECK_FALSE(tokens.accept_report("s", process, 7, second, of_second));

    tokens.begin_term(4);
    CHECK_FALSE(tokens.accept_report("s", process + 1, 2, second, of_next_process));
}
