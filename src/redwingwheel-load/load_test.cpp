#include <algorithm>
#include <cmath>

#include <catch2/catch.hpp>

#include "results.h"
#include "schedule.h"

namespace redwingwheel::load {
namespace {

constexpr std::uint64_t seed = 7;

double count_of(const std::vector<arrival>& schedule, std::size_t service)
{
    return static_cast<double>(
        std::count_if(schedule.begin(), schedule.end(),
                      [service](const arrival& each) { return each.service_index == service; }));
}

// Guards against arrivals at even distances or at a wrong rate, which hide queueing, and against
// schedules that differ between two runs of one seed.
TEST_CASE("arrivals are Poisson, in order and repeatable")
{
    INFO("seed " << seed);
    const std::vector<service_load> mix{{"a", 500.0, 10}, {"b", 50.0, 10}};
    const std::vector<arrival> schedule = make_schedule(mix, 20.0, seed);
    // Within four standard deviations of the expected counts.
    CHECK(std::abs(count_of(schedule, 0) - 10'000.0) < 4.0 * std::sqrt(10'000.0));
    CHECK(std::abs(count_of(schedule, 1) - 1'000.0) < 4.0 * std::sqrt(1'000.0));
    double sum_s = 0.0;
    double squares = 0.0;
    double count = 0.0;
    double last_s = 0.0;
    std::chrono::nanoseconds last{0};
    for (std::size_t index = 0; index < schedule.size(); ++index) {
        REQUIRE(schedule[index].number == index);
        REQUIRE(schedule[index].offset >= last);
        last = schedule[index].offset;
        if (schedule[index].service_index == 0) {
            const double at_s = std::chrono::duration<double>(last).count();
            sum_s += at_s - last_s;
            squares += (at_s - last_s) * (at_s - last_s);
            count += 1.0;
            last_s = at_s;
        }
    }
    const double mean = sum_s / count;
    // Exponential distances have a variance of the mean squared; even ones have none.
    CHECK((squares / count - mean * mean) / (mean * mean) == Approx(1.0).margin(0.1));
    const std::vector<arrival> again = make_schedule(mix, 20.0, seed);
    REQUIRE(again.size() == schedule.size());
    CHECK(again.back().offset == schedule.back().offset);
    const std::vector<arrival> other = make_schedule(mix, 20.0, seed + 1);
    CHECK(other.front().offset != schedule.front().offset);
    CHECK(make_body(seed, 3, 100) == make_body(seed, 3, 100));
    CHECK(make_body(seed, 3, 100) != make_body(seed, 4, 100));
}

// Guards against percentiles that are off by a rank, which hides the slowest request of a hundred.
TEST_CASE("percentiles are values at the nearest rank")
{
    std::vector<double> values;
    for (int value = 200; value >= 1; --value) {
        values.push_back(value);
    }
    CHECK(percentile(values, 50.0) == 100.0);
    CHECK(percentile(values, 99.0) == 198.0);
    CHECK(percentile(values, 100.0) == 200.0);
    CHECK(percentile({3.0}, 99.0) == 3.0);
    CHECK(percentile({}, 50.0) == 0.0);
}

// Guards against refusals, late answers and answers to another body that count as goodput.
TEST_CASE("only right answers in time count as goodput")
{
    service_results results;
    results.note(request_result::done, true, 10.0, 20.0);
    results.note(request_result::done, true, 21.0, 20.0);
    results.note(request_result::done, false, 10.0, 20.0);
    results.note(request_result::not_run, false, 1.0, 20.0);
    results.note(request_result::lost, false, 1.0, 20.0);
    CHECK(results.sent == 5);
    CHECK(results.done == 3);
    CHECK(results.wrong == 1);
    CHECK(results.in_time == 1);
    CHECK(results.latencies_ms.size() == 3);
    CHECK(answer_matches(R"({"length": 2, "digest": "00000000000000ff"})", 2, 255));
    CHECK_FALSE(answer_matches(R"({"length": 3, "digest": "00000000000000ff"})", 2, 255));
    CHECK_FALSE(answer_matches(R"({"length": 2, "digest": "00000000000000fe"})", 2, 255));
    CHECK_FALSE(answer_matches("half an ans", 2, 255));
}

// Guards against a mix that is read in part, so that a run measures another load than was asked.
TEST_CASE("a malformed mix is refused whole")
{
    REQUIRE(parse_mix("a:10.5:100,b:1:0").has_value());
    CHECK(parse_mix("a:10.5:100,b:1:0")->at(0).rate_per_s == 10.5);
    for (const char* wrong : {"", "a", "a:1", "a:0:1", "a:-1:1", "a:nan:1", "a:1:1x", "a:1:1,",
                              "a:1:1,a:2:2", "a:1:1048577"}) {
        INFO(wrong);
        CHECK_FALSE(parse_mix(wrong).has_value());
    }
}

} // namespace
} // namespace redwingwheel::load
