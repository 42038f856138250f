#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackcove {

enum class RequestOutcome {
    Ok,
    /// An error response that says that the request did not run.
    Refused,
    /// Any other error response, or an error event in a stream.
    Failed,
    /// No response and no error arrived.
    Lost,
    Cut,
    Doubled,
    WrongAdapter,
    Crossed,
};

[[nodiscard]] std::string_view toString(RequestOutcome outcome);

/// How one request went, over all its attempts.
struct RequestRecord
{
    std::string key;
    std::string adapter;
    bool direct = false;
    bool stream = false;
    RequestOutcome outcome = RequestOutcome::Lost;
    /// The error code, or what went wrong with the connection.
    std::string detail;
    int attempts = 0;
    int tokens = 0;
    Duration at{0};
    /// From the planned time of the request.
    Duration firstToken{0};
    Duration total{0};
    milliseconds loadWait{0};
    std::vector<Duration> tokenGaps;
};

/// Durations with their quantiles.
///
/// Thread safety: a value type.
class Durations
{
public:
    void add(Duration value);
    /// The value at this share of the sorted durations; 0 without any.
    [[nodiscard]] Duration quantile(double share) const;
    [[nodiscard]] std::size_t count() const;

private:
    mutable std::vector<Duration> m_values;
    mutable bool m_sorted = true;
};

/// Latencies of the requests that went one way.
struct LatencySummary
{
    Durations firstToken;
    Durations betweenTokens;
    Durations total;
};

/// The result of a load.
struct LoadSummary
{
    std::uint64_t sent = 0;
    std::map<RequestOutcome, std::uint64_t> outcomes;
    /// By code, over all attempts.
    std::map<std::string, std::uint64_t> errorsByCode;
    std::uint64_t attempts = 0;
    std::uint64_t tokens = 0;
    milliseconds loadStall{0};
    std::uint64_t stalledRequests = 0;
    LatencySummary viaEntries;
    LatencySummary direct;

    void add(const RequestRecord &record);
    [[nodiscard]] std::uint64_t count(RequestOutcome outcome) const;
    /// Nothing was lost, cut, doubled, crossed, or served by a wrong adapter.
    [[nodiscard]] bool sound() const;
};

/// The summary as JSON. Thread safe.
[[nodiscard]] std::string summaryJson(const LoadSummary &summary);
/// The summary as lines of text. Thread safe.
[[nodiscard]] std::string summaryText(const LoadSummary &summary);
/// One line for each request, with a head line. Thread safe.
[[nodiscard]] std::string recordsCsv(const std::vector<RequestRecord> &records);

} // namespace tamarackcove
