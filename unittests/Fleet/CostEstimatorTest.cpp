#include "tamarackcove/Fleet/CostEstimator.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const ServiceName Service("s");

TEST_CASE("the output of a request is estimated by its hint, else by recent requests of the route, up to its limit")
{
    CostEstimator costs;
    CHECK(costs.estimate("r", {.promptTokens = 600, .maxOutputTokens = 400}).memoryTokens() == 1000);
    CHECK(costs.estimate("r", {.promptTokens = 600, .maxOutputTokens = 400, .expectedOutputTokens = 50}).outputTokens
          == 50);
    CHECK(costs.estimate("r", {.promptTokens = 600, .maxOutputTokens = 400, .expectedOutputTokens = 900}).outputTokens
          == 400);
    costs.recordServed("r", Service, {.promptTokens = 600, .outputTokens = 400}, 100);
    CHECK(costs.estimate("r", {.promptTokens = 600, .maxOutputTokens = 400}).outputTokens == 100);
    CHECK(costs.estimate("r", {.promptTokens = 600, .maxOutputTokens = 40}).outputTokens == 40);
    CHECK(costs.estimate("other", {.promptTokens = 600, .maxOutputTokens = 400}).outputTokens == 400);
}

// Guards against servers that count as free although they run long requests: 24 of 660 streams a second have a prompt
// of 9,190 tokens. And against a caller that makes a server count as full by what it states.
TEST_CASE("the weight of a request grows with its work, and is bounded")
{
    CostEstimator costs;
    CHECK(costs.weight(Service, {.promptTokens = 9190, .outputTokens = 100}) == 1);
    costs.recordServed("r", Service, {.promptTokens = 650, .outputTokens = 100}, 100);
    CHECK(costs.weight(Service, {.promptTokens = 650, .outputTokens = 100}) == doctest::Approx(1));
    CHECK(costs.weight(Service, {}) == 1);
    CHECK(costs.weight(Service, {.promptTokens = 9190, .outputTokens = 100}) > 3);
    CHECK(costs.weight(Service, {.promptTokens = 2e9, .outputTokens = 2e9}) == CostEstimator::MaxWeight);
    CHECK(costs.estimate("other", {.promptTokens = -5, .maxOutputTokens = -5}).memoryTokens() == 0);
}
