#include "tamarackcove/Observe/TraceContext.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("a malformed traceparent is rejected and a well-formed one keeps its trace id")
{
    const auto context = TraceContext::create();
    const auto parsed = TraceContext::parse(context.header());
    REQUIRE(parsed);
    CHECK(parsed->traceId == context.traceId);
    CHECK(parsed->child().spanId != parsed->spanId);
    CHECK_FALSE(TraceContext::parse("00-zz"));
    CHECK_FALSE(TraceContext::parse(std::string(55, '0')));
}
