#pragma once

#include "AdapterUse.h"
#include "MemoryReservation.h"
#include "tamarackcove/Fleet/CrashSuspect.h"
#include "tamarackcove/Fleet/PlannedStop.h"
#include "tamarackcove/Fleet/RequestCost.h"
#include "tamarackcove/Fleet/RouteTable.h"
#include "tamarackcove/Gateway/AnswerBuffer.h"
#include "tamarackcove/Gateway/EventStreamSplitter.h"
#include "tamarackcove/Gateway/RequestRelay.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Http/HttpConnection.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace tamarackcove {

/// How a request ended for its caller.
enum class RequestOutcome {
    Answered,
    /// A server's answer with a 5xx status was relayed.
    ServerFailed,
    /// The entry answered with a refusal.
    Refused,
    /// The stream to the caller was closed before its last event.
    StreamCut,
    /// The caller disconnected before its answer was complete.
    CallerGone,
};

/// One attempt of a request at a server, from the moment at which it is sent until its answer has ended or is given up.
///
/// Thread safety: used by the coroutine of its request.
struct RequestRelay::Attempt
{
    Attempt(ServerDirectory::Choice chosen, std::unique_ptr<HttpConnection> openConnection, AnswerBudget &budget)
        : choice(std::move(chosen))
        , connection(std::move(openConnection))
        , eventBuffer(budget)
    {
    }

    ServerDirectory::Choice choice;
    std::unique_ptr<HttpConnection> connection;
    std::optional<AdapterUse> adapterUse;
    std::optional<MemoryReservation> memoryReservation;
    TimePoint sentAt;
    /// Whether the request may have run at another server before.
    bool sentAgain = false;
    /// The head of the event stream that the server sends; absent until it has arrived.
    std::optional<HttpResponse> streamHead;
    /// When the request was sent, or the head of the stream or its last whole event arrived.
    TimePoint progressAt;
    /// What has arrived of the stream when the server fell silent.
    EventStreamSplitter splitterWhenSilent;
    /// Counts the bytes of the event that has not arrived in full.
    AnswerBuffer eventBuffer;
    /// Whether the head of an answer that is no stream has arrived.
    bool answerBegun = false;
    /// Whether an event of the stream has arrived.
    bool streamBegun = false;
    /// Whether the server was recorded as giving no answer when it fell silent.
    bool silenceRecorded = false;
};

/// State of one request while it is served: its route, the servers that were tried, and the progress of its answer.
///
/// Thread safety: used by the coroutine of its request.
struct RequestRelay::Exchange
{
    Exchange(const HttpRequest &httpRequest, HttpResponder &httpResponder, CallerWatch &watch,
             const std::optional<PlannedStop> &plannedStop)
        : request(httpRequest)
        , responder(httpResponder)
        , watched(watch, httpResponder)
        , stop(plannedStop)
    {
    }

    /// The entry refuses a request after this many attempts in which no server ran it.
    static constexpr int MaxRefusals = 6;
    /// Time reserved for sending the answer to the caller before the timeout of the request.
    static constexpr milliseconds AnswerMargin{25};
    /// When a caller may come back whose request found no server, unless the servers say when they return.
    static constexpr milliseconds RefusalRetryAfter{300};

    const HttpRequest &request;
    HttpResponder &responder;
    CallerWatch::WatchedRequest watched;
    /// The stop of this entry; absent while none has begun.
    const std::optional<PlannedStop> &stop;
    CallerRequest caller;
    /// What may make servers crash in this request: the parts of its prompt, and the request as a whole.
    std::vector<CrashSuspect> suspects;
    std::shared_ptr<const RouteTable> routes;
    const RouteRule *route = nullptr;
    /// The workspace that holds the key of the request; null if the request needs no key.
    const Workspace *workspace = nullptr;
    /// What was taken from the allowance of the workspace.
    double allowanceUnits = 0;
    ServiceName service;
    /// That of the workspace if it has one, otherwise that of the route; 0 is the most urgent.
    int priority = 0;
    TimePoint arrivedAt;
    /// The time by which the answer must be sent to the caller. While this entry is being stopped, answerBy() may be
    /// earlier.
    TimePoint deadline;
    /// When the caller first sent the request, which may have been an earlier attempt.
    TimePoint firstSentAt;
    /// When the request was last sent to a server.
    TimePoint sentAt;
    /// Servers to which this request is not sent again.
    std::set<TargetId> excludedServers;
    /// How often the request was sent to a server.
    int sendCount = 0;
    /// Number of servers at which the request may have run, apart from attempts that are still open.
    int possibleRuns = 0;
    /// The attempt at a server that has fallen silent, kept open until another server has taken the request over.
    std::unique_ptr<Attempt> silentAttempt;
    /// How often another server was to take the request over from a silent one.
    int takeoverCount = 0;
    /// When the next server may be asked to take the request over.
    TimePoint nextTakeoverAt;
    /// Whether a retry was already taken from the budget for the next attempt.
    bool retryGranted = false;
    /// Number of attempts that ended without the request having run.
    int serverRefusals = 0;
    /// What the request is expected to cost its server.
    RequestCost cost;
    /// What the request adds to the request load of a server, in units of an ordinary request.
    double weight = 1;
    /// Connections on which a server that may get this request again has refused it. They are given back once the
    /// request has ended: a refusal that the server writes once more has the id of this request, so that it could not
    /// be told from the answer to the next attempt.
    std::vector<std::pair<ServerIdentity, std::unique_ptr<HttpConnection>>> refusedConnections;
    EventStreamSplitter splitter;
    /// Whether the head of the stream was sent to the caller.
    bool streamStarted = false;
    /// Blocks of events relayed to the caller; the end of the stream counts as one.
    int eventCount = 0;
    /// Tokens that had been generated when the first block arrived, and whether the time between events was recorded.
    int tokensInFirstBlock = 0;
    bool eventTimeRecorded = false;
    /// When the request was last sent or the last event arrived, whichever is later.
    TimePoint lastProgressAt;
    /// A server's answer with a 5xx status, kept while another server is tried and relayed if none answers.
    std::optional<HttpResponse> failureResponse;
    /// Counts the bytes of `failureResponse`.
    std::unique_ptr<AnswerBuffer> failureBuffer;
    /// The suspect for which the request is refused.
    std::optional<CrashSuspect> quarantinedSuspect;
    RequestOutcome outcome = RequestOutcome::CallerGone;
    /// Why the request was not answered: a fixed word, used as metric label and log value.
    std::string_view failureReason;
    /// Why the last attempt failed, as text for the log.
    std::string_view failureDetail;
    /// Total time that the request waited for its adapter.
    Duration adapterWait{0};
    std::optional<TimePoint> firstEventAt;
    TargetId lastServer;
    /// Whether all steps of the request are logged, even if it succeeds at once.
    bool sampled = false;

    /// Empty if the request has no workspace.
    [[nodiscard]] std::string_view workspaceName() const
    {
        return workspace == nullptr ? std::string_view() : std::string_view(workspace->name.value());
    }
    /// How long the next read of an answer may wait. At the deadline, this is the shortest wait, so that bytes that
    /// have arrived are still relayed; nothing once MaxLateAnswerTime has passed as well, when bytes arrive without a
    /// pause.
    [[nodiscard]] std::optional<milliseconds> answerReadTimeout(TimePoint now) const
    {
        constexpr milliseconds MaxLateAnswerTime{100};
        if (now >= answerBy() + MaxLateAnswerTime) {
            return std::nullopt;
        }
        return std::max(remainingTime(now), milliseconds(1));
    }
    /// The deadline of the request, or the end of the stop of this entry if that is earlier.
    [[nodiscard]] TimePoint answerBy() const
    {
        return stop ? std::min(deadline, stop->answersDueAt()) : deadline;
    }
    /// Time until answerBy(); negative after it.
    [[nodiscard]] milliseconds remainingTime(TimePoint now) const
    {
        return duration_cast<milliseconds>(answerBy() - now);
    }
};

} // namespace tamarackcove
