#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackcove {

/// The outcome of the last attempt of a request. Cut and the values after it correspond to the values of AnswerVerdict
/// with the same names.
enum class RequestOutcome {
    Ok,
    /// An error response with status 429 or 503, which says that the request did not run.
    Refused,
    /// Any other error response, an error event in a stream, or an adapter's response that is not valid JSON.
    Failed,
    /// The connection failed, broke or timed out before the response was complete.
    Lost,
    /// AnswerVerdict::Cut, a stream without its final event, or a response of a plain service that lacks a field.
    Cut,
    Doubled,
    WrongAdapter,
    Crossed,
};

[[nodiscard]] std::string_view toString(RequestOutcome outcome);

/// The result of one request over all its attempts.
struct RequestRecord
{
    std::string key;
    std::string adapter;
    bool direct = false;
    bool stream = false;
    RequestOutcome outcome = RequestOutcome::Lost;
    /// The error code, the connection error, or the text of a wrong answer.
    std::string detail;
    int attempts = 0;
    int tokens = 0;
    /// Planned send time, from the start of the trace.
    Duration at{0};
    /// Time from the planned send time to the first token.
    Duration firstToken{0};
    /// Time from the planned send time to the end of the answer.
    Duration total{0};
    /// Time that entries reported as spent waiting for the adapter to load, summed over all attempts.
    milliseconds loadWait{0};
    std::vector<Duration> tokenGaps;
};

/// A set of durations and its quantiles.
///
/// Thread safety: a value type; quantile() sorts the stored values, so it must not run concurrently with any other
/// call.
class Durations
{
public:
    void add(Duration value);
    /// The nearest-rank quantile at this share, 0 to 1; 0 when there are no durations.
    [[nodiscard]] Duration quantile(double share) const;
    [[nodiscard]] std::size_t count() const;

private:
    mutable std::vector<Duration> m_values;
    mutable bool m_sorted = true;
};

/// Latencies of the successful requests that were sent on one path: through the entries or directly to engines.
struct LatencySummary
{
    /// Times to the first token; streamed requests only.
    Durations firstToken;
    Durations betweenTokens;
    Durations total;
};

/// The results of all requests of one run of the load generator.
struct LoadSummary
{
    std::uint64_t sent = 0;
    std::map<RequestOutcome, std::uint64_t> outcomes;
    /// Error responses, error events and connection errors by code, over all attempts.
    std::map<std::string, std::uint64_t> errorsByCode;
    std::uint64_t attempts = 0;
    std::uint64_t tokens = 0;
    /// Sum of RequestRecord::loadWait over all requests.
    milliseconds loadStall{0};
    /// Number of requests whose RequestRecord::loadWait is not 0.
    std::uint64_t stalledRequests = 0;
    LatencySummary viaEntries;
    LatencySummary direct;

    void add(const RequestRecord &record);
    [[nodiscard]] std::uint64_t count(RequestOutcome outcome) const;
    /// Whether no request has the outcome Lost, Cut, Doubled, Crossed or WrongAdapter.
    [[nodiscard]] bool allCorrect() const;
};

/// The summary as JSON. Thread safe.
[[nodiscard]] std::string summaryJson(const LoadSummary &summary);
/// The summary as lines of text. Thread safe.
[[nodiscard]] std::string summaryText(const LoadSummary &summary);
/// The records as CSV with a header line. Thread safe.
[[nodiscard]] std::string recordsCsv(const std::vector<RequestRecord> &records);

} // namespace tamarackcove
