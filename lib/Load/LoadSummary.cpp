#include "tamarackcove/Load/LoadSummary.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace tamarackcove {

static constexpr std::array AllOutcomes{RequestOutcome::Ok,           RequestOutcome::Refused, RequestOutcome::Failed,
                                        RequestOutcome::Lost,         RequestOutcome::Cut,     RequestOutcome::Doubled,
                                        RequestOutcome::WrongAdapter, RequestOutcome::Crossed};

std::string_view toString(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Ok:
        return "ok";
    case RequestOutcome::Refused:
        return "refused";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::Lost:
        return "lost";
    case RequestOutcome::Cut:
        return "cut";
    case RequestOutcome::Doubled:
        return "doubled";
    case RequestOutcome::WrongAdapter:
        return "wrong_adapter";
    case RequestOutcome::Crossed:
        return "crossed";
    }
    return "lost";
}

void Durations::add(Duration value)
{
    m_values.push_back(value);
    m_sorted = false;
}

Duration Durations::quantile(double share) const
{
    if (m_values.empty()) {
        return Duration(0);
    }
    if (!m_sorted) {
        std::sort(m_values.begin(), m_values.end());
        m_sorted = true;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(m_values.size())));
    return m_values[std::clamp<std::size_t>(rank, 1, m_values.size()) - 1];
}

std::size_t Durations::count() const
{
    return m_values.size();
}

void LoadSummary::add(const RequestRecord &record)
{
    ++sent;
    ++outcomes[record.outcome];
    attempts += static_cast<std::uint64_t>(record.attempts);
    loadStall += record.loadWait;
    stalledRequests += record.loadWait > milliseconds(0) ? 1 : 0;
    if (record.outcome != RequestOutcome::Ok) {
        return;
    }
    tokens += static_cast<std::uint64_t>(record.tokens);
    auto &latency = record.direct ? direct : viaEntries;
    latency.total.add(record.total);
    if (record.stream) {
        latency.firstToken.add(record.firstToken);
    }
    for (const auto gap : record.tokenGaps) {
        latency.betweenTokens.add(gap);
    }
}

std::uint64_t LoadSummary::count(RequestOutcome outcome) const
{
    const auto found = outcomes.find(outcome);
    return found == outcomes.end() ? 0 : found->second;
}

bool LoadSummary::allCorrect() const
{
    return count(RequestOutcome::Lost) + count(RequestOutcome::Cut) + count(RequestOutcome::Doubled)
        + count(RequestOutcome::WrongAdapter) + count(RequestOutcome::Crossed)
        == 0;
}

static double inMilliseconds(Duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

static nlohmann::json quantilesJson(const Durations &durations)
{
    return {{"count", durations.count()},
            {"p50_ms", inMilliseconds(durations.quantile(0.5))},
            {"p95_ms", inMilliseconds(durations.quantile(0.95))},
            {"p99_ms", inMilliseconds(durations.quantile(0.99))},
            {"max_ms", inMilliseconds(durations.quantile(1))}};
}

static nlohmann::json latencyJson(const LatencySummary &latency)
{
    return {{"first_token", quantilesJson(latency.firstToken)},
            {"between_tokens", quantilesJson(latency.betweenTokens)},
            {"total", quantilesJson(latency.total)}};
}

static nlohmann::json toJson(const LoadSummary &summary)
{
    nlohmann::json body = {{"sent", summary.sent},
                           {"attempts", summary.attempts},
                           {"tokens", summary.tokens},
                           {"errors_by_code", summary.errorsByCode},
                           {"load_stall_ms", summary.loadStall.count()},
                           {"stalled_requests", summary.stalledRequests},
                           {"sound", summary.allCorrect()},
                           {"latency", latencyJson(summary.viaEntries)}};
    for (const auto outcome : AllOutcomes) {
        body[std::string(toString(outcome))] = summary.count(outcome);
    }
    if (summary.direct.total.count() > 0) {
        body["latency_direct"] = latencyJson(summary.direct);
    }
    return body;
}

std::string summaryJson(const LoadSummary &summary)
{
    return toJson(summary).dump(2);
}

static std::string latencyText(std::string_view name, const LatencySummary &latency)
{
    std::string text;
    const auto line = [&](std::string_view what, const Durations &durations) {
        text += fmt::format("{} {}: p50 {:.2f} ms, p95 {:.2f} ms, p99 {:.2f} ms of {}\n", name, what,
                            inMilliseconds(durations.quantile(0.5)), inMilliseconds(durations.quantile(0.95)),
                            inMilliseconds(durations.quantile(0.99)), durations.count());
    };
    line("first token", latency.firstToken);
    line("between tokens", latency.betweenTokens);
    line("total", latency.total);
    return text;
}

std::string summaryText(const LoadSummary &summary)
{
    std::string text = fmt::format("sent {} in {} attempts:", summary.sent, summary.attempts);
    for (const auto outcome : AllOutcomes) {
        text += fmt::format(" {} {}", toString(outcome), summary.count(outcome));
    }
    text += '\n';
    for (const auto &[code, count] : summary.errorsByCode) {
        text += fmt::format("error {}: {}\n", code, count);
    }
    text += fmt::format("load stalls: {} ms over {} requests\n", summary.loadStall.count(), summary.stalledRequests);
    if (summary.viaEntries.total.count() > 0) {
        text += latencyText("entries", summary.viaEntries);
    }
    if (summary.direct.total.count() > 0) {
        text += latencyText("direct", summary.direct);
    }
    return text;
}

std::string recordsCsv(const std::vector<RequestRecord> &records)
{
    std::string text = "key,adapter,direct,stream,outcome,detail,attempts,tokens,at_ms,first_token_ms,total_ms,"
                       "load_wait_ms\n";
    for (const auto &record : records) {
        auto detail = record.detail;
        std::replace(detail.begin(), detail.end(), ',', ';');
        text += fmt::format("{},{},{:d},{:d},{},{},{},{},{:.3f},{:.3f},{:.3f},{}\n", record.key, record.adapter,
                            record.direct, record.stream, toString(record.outcome), detail, record.attempts,
                            record.tokens, inMilliseconds(record.at), inMilliseconds(record.firstToken),
                            inMilliseconds(record.total), record.loadWait.count());
    }
    return text;
}

} // namespace tamarackcove
