#include "redwingwheel/metrics.h"

#include <catch2/catch.hpp>

// Guards against a metrics page that a scraper cannot parse, and against inaccurate quantiles.
TEST_CASE("the metrics page has counters, gauges and summaries", "[metrics]")
{
    redwingwheel::metrics::registry metrics;
    metrics.add("requests_total", "outcome=\"done\"", 2);
    metrics.set("revision", "", 7);
    for (int value = 1; value <= 1000; ++value) {
        metrics.observe("latency_ms", "class=\"batch\"", value);
    }
    const std::string page = metrics.render();
    REQUIRE(page.find("# TYPE requests_total counter\nrequests_total{outcome=\"done\"} 2\n") !=
            std::string::npos);
    REQUIRE(page.find("revision 7\n") != std::string::npos);
    REQUIRE(page.find("latency_ms_count{class=\"batch\"} 1000\n") != std::string::npos);
    const std::string label = "latency_ms{class=\"batch\",quantile=\"0.5\"} ";
    const std::size_t position = page.find(label);
    REQUIRE(position != std::string::npos);
    REQUIRE(std::stod(page.substr(position + label.size())) == Approx(500).epsilon(0.05));
}
