#include "tamarackcove/Observe/Metrics.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("metrics of one name with different labels share one family in the exposition")
{
    Metrics metrics;
    metrics.count("requests_total{status=\"200\",zone=\"a\"}");
    metrics.count("requests_total{status=\"429\",zone=\"a\"}", 2);
    metrics.observe("wait_seconds", milliseconds(5));
    const auto text = metrics.exposition();
    CHECK(text.find("tamarackcove_requests_total{status=\"429\",zone=\"a\"} 2") != std::string::npos);
    CHECK(text.find("# TYPE tamarackcove_requests_total counter") == text.rfind("# TYPE tamarackcove_requests_total"));
    CHECK(text.find("tamarackcove_wait_seconds_count 1") != std::string::npos);
}

TEST_CASE("the histogram of a duration has a bucket at each latency goal")
{
    Metrics metrics;
    metrics.observe("wait_seconds{route=\"a\"}", milliseconds(150));
    metrics.observe("wait_seconds{route=\"a\"}", milliseconds(151));
    metrics.observe("wait_seconds{route=\"a\"}", seconds(60));
    const auto text = metrics.exposition();
    CHECK(text.find("# TYPE tamarackcove_wait_seconds histogram") != std::string::npos);
    CHECK(text.find("tamarackcove_wait_seconds_bucket{route=\"a\",le=\"0.15\"} 1") != std::string::npos);
    CHECK(text.find("tamarackcove_wait_seconds_bucket{route=\"a\",le=\"0.8\"} 2") != std::string::npos);
    CHECK(text.find("tamarackcove_wait_seconds_bucket{route=\"a\",le=\"1\"} 2") != std::string::npos);
    CHECK(text.find("tamarackcove_wait_seconds_bucket{route=\"a\",le=\"+Inf\"} 3") != std::string::npos);
}

TEST_CASE("special characters in a label value are replaced, so that the exposition stays well-formed")
{
    Metrics metrics;
    metrics.count(Metrics::labelled("requests_total", {{"route", "a\"b\nc\\"}, {"outcome", "answered"}}));
    CHECK(metrics.exposition().find("tamarackcove_requests_total{route=\"a_b_c_\",outcome=\"answered\"} 1")
          != std::string::npos);
}
