#include "tamarackcove/Observe/TraceContext.h"
#include "tamarackcove/Observe/Metrics.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("a malformed traceparent is ignored and a good one keeps its trace id")
{
    const auto context = TraceContext::create();
    const auto parsed = TraceContext::parse(context.header());
    REQUIRE(parsed);
    CHECK(parsed->traceId == context.traceId);
    CHECK(parsed->child().spanId != parsed->spanId);
    CHECK_FALSE(TraceContext::parse("00-zz"));
    CHECK_FALSE(TraceContext::parse(std::string(55, '0')));
}

TEST_CASE("labelled figures of one name share a family in the exposition")
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
