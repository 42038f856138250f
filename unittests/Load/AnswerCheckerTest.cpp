#include "tamarackcove/Load/AnswerChecker.h"
#include "tamarackcove/Engine/TokenFunction.h"
#include "tamarackcove/Load/LoadSummary.h"
#include "tamarackcove/Load/TraceGenerator.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace tamarackcove;

TEST_CASE("checkAnswer detects missing, repeated and surplus tokens and those of another adapter or prompt")
{
    TracedRequest request;
    request.adapter = "a@1";
    request.prompt = "hello";
    request.answerTokens = 4;
    const TokenFunction correct("a@1", "hello");
    CHECK(checkAnswer(request, correct.text(0, 4)) == AnswerVerdict::Correct);
    CHECK(checkAnswer(request, "") == AnswerVerdict::Cut);
    CHECK(checkAnswer(request, correct.text(0, 3)) == AnswerVerdict::Cut);
    CHECK(checkAnswer(request, correct.text(0, 2) + correct.text(3, 4)) == AnswerVerdict::Cut);
    CHECK(checkAnswer(request, correct.text(1, 4)) == AnswerVerdict::Cut);
    CHECK(checkAnswer(request, correct.text(0, 2) + correct.text(1, 4)) == AnswerVerdict::Doubled);
    CHECK(checkAnswer(request, correct.text(0, 4) + correct.text(3, 4)) == AnswerVerdict::Doubled);
    CHECK(checkAnswer(request, correct.text(0, 5)) == AnswerVerdict::Doubled);
    CHECK(checkAnswer(request, TokenFunction("a@2", "hello").text(0, 4)) == AnswerVerdict::WrongAdapter);
    CHECK(checkAnswer(request, correct.text(0, 2) + TokenFunction("a@1", "other").text(2, 4))
          == AnswerVerdict::Crossed);
    CHECK(checkAnswer(request, correct.text(0, 4).substr(0, 60)) == AnswerVerdict::Cut);
}

TEST_CASE("the same seed gives the same trace and a different seed gives a different one")
{
    TraceSettings settings;
    settings.length = seconds(20);
    const auto first = generateTrace(settings);
    const auto second = generateTrace(settings);
    REQUIRE(first.size() == second.size());
    CHECK(first.back().prompt == second.back().prompt);
    CHECK(first.back().adapter == second.back().adapter);
    settings.seed = 2;
    CHECK(generateTrace(settings).back().prompt != first.back().prompt);
}

TEST_CASE("a trace has the set rate and a skewed popularity, and its most popular adapter changes at shiftAt")
{
    TraceSettings settings;
    settings.length = seconds(100);
    settings.requestsPerSecond = 100;
    settings.shiftAt = seconds(50);
    const auto trace = generateTrace(settings);
    CHECK(trace.size() > 9500);
    CHECK(trace.size() < 10500);
    std::map<bool, std::map<std::string, int>> counts;
    for (const auto &request : trace) {
        ++counts[request.at >= settings.shiftAt][request.adapter];
    }
    const auto hottest = [](const std::map<std::string, int> &half) {
        return *std::max_element(half.begin(), half.end(),
                                 [](const auto &left, const auto &right) { return left.second < right.second; });
    };
    CHECK(hottest(counts[false]).second > 700);
    CHECK(hottest(counts[false]).first != hottest(counts[true]).first);
}

TEST_CASE("the request rate is multiplied by burstFactor during bursts only")
{
    TraceSettings settings;
    settings.length = seconds(100);
    settings.requestsPerSecond = 20;
    settings.burstEvery = seconds(10);
    settings.burstLength = seconds(1);
    settings.burstFactor = 10;
    std::size_t inBurst = 0;
    const auto trace = generateTrace(settings);
    for (const auto &request : trace) {
        inBurst += request.at % settings.burstEvery < settings.burstLength ? 1 : 0;
    }
    CHECK(inBurst > 1500);
    CHECK(trace.size() - inBurst < 2200);
}

TEST_CASE("quantiles are exact, and a summary is sound with a refused request but not with a lost one")
{
    LoadSummary summary;
    for (int i = 1; i <= 100; ++i) {
        RequestRecord record;
        record.outcome = RequestOutcome::Ok;
        record.total = milliseconds(i);
        summary.add(record);
    }
    CHECK(summary.viaEntries.total.quantile(0.5) == milliseconds(50));
    CHECK(summary.viaEntries.total.quantile(0.99) == milliseconds(99));
    CHECK(summary.allCorrect());
    RequestRecord refused;
    refused.outcome = RequestOutcome::Refused;
    summary.add(refused);
    CHECK(summary.allCorrect());
    summary.add(RequestRecord());
    CHECK_FALSE(summary.allCorrect());
}
